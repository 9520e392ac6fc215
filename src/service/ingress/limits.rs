//! Limits of a server, and how they follow from those of the VM.

use std::time::Duration;

use crate::decide::connections::ConnectionLimits;
use crate::decide::connections::StageLimits;
use crate::jobs::config::JobConfig;

/// Descriptors of a VM that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the other descriptors for callers: the rest is for other entry VMs, workers and
/// the platform's services.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;

/// Share of the memory for the unfinished requests of callers.
const BUFFER_DIVISOR: usize = 8;

/// Part of that share which is left to the allocator: freed memory is not reused at once.
const ALLOCATOR_DIVISOR: usize = 4;

/// Share of the memory for the connections of callers, besides their requests.
const CONNECTION_DIVISOR: usize = 2;

/// Memory allowed for a connection besides its request: the buffers of the HTTP library and
/// the tasks.
const CONNECTION_BYTES: usize = 32 * 1024;

/// Max number of connections of callers, whatever the VM allows.
const MAX_CONNECTIONS: usize = 2000;

/// Min memory for the requests of a server, for VMs whose memory is stated as very small.
const MIN_BUFFER_BYTES: usize = 1 << 20;

/// Limits of a server that hold for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Limits on all connections together.
    pub connections: ConnectionLimits,
    /// Max time between the head and the last byte of a request.
    pub body_limit: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            connections: ConnectionLimits::default(),
            body_limit: Duration::from_secs(15),
        }
    }
}

/// Limits of a server that a configuration may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Max size of the head of a request, in bytes; holds for new connections.
    pub head_bytes: usize,
    /// Time limits before a request is received.
    pub stages: StageLimits,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            stages: StageLimits::default(),
        }
    }
}

impl From<&JobConfig> for RequestLimits {
    fn from(config: &JobConfig) -> Self {
        let defaults = Self::default();
        let time = |millis: u64, default| match millis {
            0 => default,
            millis => Duration::from_millis(millis),
        };
        Self {
            head_bytes: match config.head_bytes {
                0 => defaults.head_bytes,
                bytes => bytes,
            },
            stages: StageLimits {
                idle: time(config.idle_ms, defaults.stages.idle),
                head: time(config.head_ms, defaults.stages.head),
            },
        }
    }
}

/// Memory and descriptors of the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Default for VmLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 160 << 20,
            descriptors: 4100,
        }
    }
}

impl VmLimits {
    /// Returns the limits of the server for callers.
    #[must_use]
    pub fn callers(&self) -> ServeLimits {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = self.memory_bytes / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let connections = (sockets / CALLER_DESCRIPTOR_DIVISOR)
            .min(by_memory)
            .clamp(1, MAX_CONNECTIONS);
        ServeLimits {
            connections: ConnectionLimits {
                connections,
                buffer_bytes: self.buffer_bytes(MIN_BUFFER_BYTES),
                ..ConnectionLimits::default()
            },
            ..ServeLimits::default()
        }
    }

    /// Returns the limits of a server for other entry VMs, whose messages have at most
    /// `message_bytes`.
    #[must_use]
    pub fn peers(&self, message_bytes: usize) -> ServeLimits {
        let callers = self.callers();
        ServeLimits {
            connections: ConnectionLimits {
                buffer_bytes: self.buffer_bytes(message_bytes * 2),
                ..callers.connections
            },
            ..callers
        }
    }

    /// Returns the limits of a server for small requests without bodies.
    #[must_use]
    pub fn probes() -> ServeLimits {
        ServeLimits {
            connections: ConnectionLimits {
                connections: 64,
                buffer_bytes: MIN_BUFFER_BYTES,
                ..ConnectionLimits::default()
            },
            ..ServeLimits::default()
        }
    }

    fn buffer_bytes(&self, min_bytes: usize) -> usize {
        let share = self.memory_bytes / BUFFER_DIVISOR;
        (share - share / ALLOCATOR_DIVISOR).max(min_bytes)
    }
}
