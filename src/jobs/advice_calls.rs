//! Calls to the advice service: when the next one may be sent, and how long it is waited for.
//!
//! The service handles the calls of an entry VM one after the other, also those that are no longer
//! waited for. So there is one call in flight, and its time limit covers an earlier one that was
//! given up. The response time follows from the queue's configuration, which may be out of date:
//! after each call that exceeds its limit, the next one is waited for longer.

use crate::jobs::config::AdviceTiming;

/// Time in the limit of a call for what the configuration does not tell, in milliseconds: a few
/// round trips between data centres. Doubled by each consecutive call that exceeds its limit.
const ALLOWANCE_MS: u64 = 500;

/// Maximum number of times that the allowance is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Delay before the next call after one without an answer, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallAttempt {
    sent_ms: u64,
    limit_ms: u64,
    /// Whether a worker has started again or the advice of a queue has changed since.
    is_outdated: bool,
}

/// Calls of one owner to the advice service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceCalls {
    /// The call without a result yet.
    in_flight: Option<CallAttempt>,
    /// Number of consecutive calls that exceeded their limit.
    timeouts: u32,
    /// Earliest time of the next call.
    not_before_ms: u64,
}

impl AdviceTiming {
    /// Returns the response time of a call that names a number of workers, in milliseconds.
    #[must_use]
    pub fn response_ms(&self, workers: usize) -> u64 {
        let workers_ms = self.worker_ms.saturating_mul(workers as u64);
        self.call_ms.saturating_add(workers_ms)
    }
}

impl AdviceCalls {
    /// Returns whether a call may be sent.
    #[must_use]
    pub fn is_due(&self, now: u64) -> bool {
        self.in_flight.is_none() && now >= self.not_before_ms
    }

    /// Records that a call with this response time is sent; returns its time limit, in
    /// milliseconds.
    pub fn begin(&mut self, response_ms: u64, now: u64) -> u64 {
        let allowance_ms = ALLOWANCE_MS << self.timeouts.min(MAX_DOUBLINGS);
        let limit_ms = response_ms.saturating_mul(2).saturating_add(allowance_ms);
        self.in_flight = Some(CallAttempt {
            sent_ms: now,
            limit_ms,
            is_outdated: false,
        });
        limit_ms
    }

    /// Records that the answer to the call in flight may no longer hold.
    pub fn outdate(&mut self) {
        if let Some(attempt) = &mut self.in_flight {
            attempt.is_outdated = true;
        }
    }

    /// Records the result of the call in flight; `is_answered` is whether the service has
    /// answered it. Returns whether the answer still holds.
    pub fn end(&mut self, is_answered: bool, now: u64) -> bool {
        let attempt = self.in_flight.take();
        if is_answered {
            self.timeouts = 0;
            return attempt.is_none_or(|call| !call.is_outdated);
        }
        let expired = attempt.is_some_and(|call| now >= call.sent_ms.saturating_add(call.limit_ms));
        self.timeouts += u32::from(expired);
        self.not_before_ms = now + RETRY_DELAY_MS;
        log::info!(event = "advice_unavailable", expired = expired, timeouts = self.timeouts; "");
        false
    }
}
