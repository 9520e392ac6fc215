//! Classes, outcomes and refusal reasons of callers' requests, and their headers.

pub mod headers;

use std::fmt;

/// Importance of a request; earlier variants have priority in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Requests with priority over all others.
    Urgent,
    /// Requests of normal importance; the default.
    #[default]
    Ordinary,
    /// Requests that can wait.
    Batch,
}

impl RequestClass {
    /// All classes, in order of priority.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Ordinary, Self::Batch];

    /// Returns the name used in headers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Whether a request ran, as stated in its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The request ran; this is the backend server's complete answer.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, but no complete answer was received in time.
    Unknown,
}

impl RequestOutcome {
    /// Returns the name used in headers and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome with this name, or `None` if there is none.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        [Self::Answered, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == name)
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Why a request was refused and did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The request is malformed or too large.
    BadRequest,
    /// The pool is not configured.
    UnknownPool,
    /// The deadline passed before the request got a slot.
    DeadlinePassed,
    /// The request would wait too long in the queue, for instance past its deadline.
    Overload,
    /// The queue of the pool is full.
    QueueFull,
    /// This entry VM has no VM of the pool to which it may send.
    NoBackend,
    /// The entry VM is shutting down.
    ShuttingDown,
    /// The entry VM has no configuration or fleet state, or it is too old to act on.
    NoState,
    /// No backend server ran the request: each send was refused or failed to connect.
    BackendRefused,
}

impl RefuseReason {
    /// Returns the name used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownPool => "unknown-pool",
            Self::DeadlinePassed => "deadline-passed",
            Self::Overload => "overload",
            Self::QueueFull => "queue-full",
            Self::NoBackend => "no-backend",
            Self::ShuttingDown => "shutting-down",
            Self::NoState => "no-state",
            Self::BackendRefused => "backend-refused",
        }
    }

    /// Returns the HTTP status of a response with this reason.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownPool => 404,
            _ => 503,
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
