//! Limits on connections, their stages and why they are closed.

use std::time::Duration;

/// Identifies a connection in a table.
pub type ConnectionId = u64;

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Max number of connections.
    pub connections: usize,
    /// Max memory of the requests that are incomplete or not answered yet, in bytes; answers that
    /// are being sent count too.
    pub buffer_bytes: usize,
    /// Max time that a client may take to read its answer without progress.
    pub answer_limit: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            connections: 2000,
            buffer_bytes: 16 << 20,
            answer_limit: Duration::from_secs(15),
        }
    }
}

/// Time limits of the stages before a request is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageLimits {
    /// Max time without a request.
    pub idle: Duration,
    /// Max time between the first and the last byte of a request's head.
    pub head: Duration,
}

impl Default for StageLimits {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            head: Duration::from_secs(15),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// Nothing was received yet.
    New,
    /// The last request was answered and the next one has not begun.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request was received whole and is not answered yet.
    Whole,
    /// An answer is being sent.
    Answer,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseCause {
    /// No request arrived in time.
    Idle,
    /// The head of a request was not received in time.
    HeadTimeout,
    /// The body of a request was not received in time.
    BodyTimeout,
    /// The answer was not read in time.
    AnswerTimeout,
    /// Its place was needed for another connection.
    Connections,
    /// Its memory was needed for other requests.
    Memory,
    /// There was no room for it or its request, and no other connection could be closed.
    NoRoom,
}

impl CloseCause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::AnswerTimeout => "answer_timeout",
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::NoRoom => "no_room",
        }
    }
}

/// A connection that has to be closed.
pub type ConnectionClosure = (ConnectionId, CloseCause);
