//! What is known about a relayed request from the attempts to hand it to an owner.
//!
//! The outcome follows from what was handed over, whoever is known as the owner later: a
//! request that lies in an owner's inbox or socket may be executed at any time. So a later
//! attempt that is rejected does not speak for an earlier one; one that succeeds does, since
//! a job is accepted and cancelled once.

use crate::service::jobs::messages::RelayReply;

/// Outcome of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The owner answered.
    Answered(RelayReply),
    /// The request was handed to no owner, so it was certainly not executed.
    NotReached,
    /// The request may have been executed, or may still be.
    Unknown,
}

/// Result of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The owner answered.
    Answered(RelayReply),
    /// The request certainly reached no owner.
    NotSent,
    /// The request was handed over and not answered.
    Unknown,
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAttempts {
    /// Number of attempts that were begun.
    pub count: u32,
    /// Whether the current attempt has handed the request over.
    handed_over: bool,
    /// Whether an earlier attempt may have been executed.
    maybe_executed: bool,
}

impl RequestAttempts {
    /// Begins an attempt.
    pub fn begin(&mut self) {
        self.count += 1;
    }

    /// Records that the current attempt hands the request to an owner. An attempt that is
    /// abandoned after that may be executed.
    pub fn hand_over(&mut self) {
        self.handed_over = true;
    }

    /// Records the result of the current attempt; returns the outcome of the request, none
    /// if it needs another attempt.
    pub fn end(&mut self, result: AttemptResult) -> Option<RelayOutcome> {
        self.handed_over = false;
        match result {
            AttemptResult::NotSent | AttemptResult::Answered(RelayReply::NotOwner) => None,
            AttemptResult::Unknown | AttemptResult::Answered(RelayReply::Lost) => {
                self.maybe_executed = true;
                None
            }
            // The earlier message may still be accepted, after this one was rejected.
            AttemptResult::Answered(reply) if self.maybe_executed && is_rejection(reply) => {
                Some(RelayOutcome::Unknown)
            }
            AttemptResult::Answered(reply) => Some(RelayOutcome::Answered(reply)),
        }
    }

    /// Returns the outcome if no further attempt is made; the current one may not have ended.
    #[must_use]
    pub fn abandon(self) -> RelayOutcome {
        if self.handed_over || self.maybe_executed {
            RelayOutcome::Unknown
        } else {
            RelayOutcome::NotReached
        }
    }
}

/// Returns whether a reply says that a submission was not accepted.
fn is_rejection(reply: RelayReply) -> bool {
    match reply {
        RelayReply::Refused { .. }
        | RelayReply::Invalid
        | RelayReply::NoQueue
        | RelayReply::Conflict
        | RelayReply::NotOwner => true,
        RelayReply::Accepted
        | RelayReply::Cancelled
        | RelayReply::State(_)
        | RelayReply::Pending(_)
        | RelayReply::Unknown
        | RelayReply::Lost => false,
    }
}
