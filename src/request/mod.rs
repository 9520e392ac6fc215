//! Requests: what a caller states in headers and what becomes of it.

pub mod headers;

use std::fmt;

/// Importance of a request; earlier variants go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Starts before all others.
    Urgent,
    /// Ordinary work.
    #[default]
    Ordinary,
    /// Work that can wait.
    Batch,
}

impl RequestClass {
    /// All classes, most important first.
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

/// What is known of a request's execution once it has its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The backend server's whole answer is passed on.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; its answer is not known.
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

    /// Finds an outcome by its name in headers.
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

/// Why a request was refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The request is malformed.
    BadRequest,
    /// No such pool is configured.
    UnknownPool,
    /// The deadline had passed on arrival or passed in the queue.
    DeadlinePassed,
    /// The queue cannot be served before the deadline.
    Overload,
    /// The queue of the pool is full.
    QueueFull,
    /// No backend server of the pool can be reached from here.
    NoBackend,
    /// The entry VM is shutting down.
    ShuttingDown,
    /// The entry VM has no configuration or fleet state yet, or has to renew it.
    NoState,
    /// A backend server or peer said that it did not run the request.
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

    /// Returns the HTTP status that goes with the reason.
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
