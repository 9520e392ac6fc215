//! Limits of the request path.

use std::time::Duration;

use crate::decide::connections::ConnectionLimits;
use crate::decide::connections::StageLimits;
use crate::service::ingress::limits::RequestLimits;
use crate::service::ingress::limits::ServeLimits;

/// Limits of the request path.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryLimits {
    /// Max size of a request body, in bytes.
    pub request_bytes: usize,
    /// Max size of a response body, in bytes; a response is buffered until it is complete.
    pub answer_bytes: usize,
    /// Max memory of the requests that are incomplete or not answered yet, and of the answers
    /// that are being sent, in bytes.
    pub buffer_bytes: usize,
    /// Max size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Max time for receiving the head of a request.
    pub head_limit: Duration,
    /// Max time for receiving the body of a request.
    pub body_limit: Duration,
    /// Max time between two requests on a connection.
    pub idle_limit: Duration,
    /// Max time for which a caller may read nothing of its answer.
    pub read_limit: Duration,
    /// Max open connections of callers.
    pub connections: usize,
    /// Time limit for connecting to a backend server.
    pub connect_limit: Duration,
    /// Time between the start of a shutdown, when the health check begins to fail, and
    /// closing the listening socket; idle connections stay open for the same time after
    /// that.
    pub announce: Duration,
    /// Time after a request's deadline until its connection is closed and its slot freed.
    pub overrun_limit: Duration,
    /// Max time for requests in progress to finish at shutdown.
    pub shutdown_limit: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            request_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            buffer_bytes: 256 << 20,
            head_bytes: 64 << 10,
            head_limit: Duration::from_secs(10),
            body_limit: Duration::from_secs(600),
            idle_limit: Duration::from_secs(10),
            read_limit: Duration::from_secs(60),
            connections: 4096,
            connect_limit: Duration::from_millis(250),
            announce: Duration::from_secs(5),
            overrun_limit: Duration::from_secs(60),
            shutdown_limit: Duration::from_secs(30),
        }
    }
}

impl EntryLimits {
    /// Returns the limits on all connections of callers together.
    #[must_use]
    pub fn serve_limits(&self) -> ServeLimits {
        ServeLimits {
            connections: ConnectionLimits {
                connections: self.connections,
                buffer_bytes: self.buffer_bytes,
                answer_limit: self.read_limit,
            },
            body_limit: self.body_limit,
        }
    }

    /// Returns the limits on each request.
    #[must_use]
    pub fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            head_bytes: self.head_bytes,
            stages: StageLimits {
                idle: self.idle_limit,
                head: self.head_limit,
            },
        }
    }
}
