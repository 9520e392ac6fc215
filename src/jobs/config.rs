//! Configuration in force: queues, pools and limits.

use serde::Deserialize;
use serde::Serialize;

/// How the advice service of a queue answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Time for a question, in milliseconds.
    pub call_ms: u64,
    /// Time for each worker in it, in milliseconds.
    pub worker_ms: u64,
    /// How long a ticket holds, in milliseconds.
    pub valid_ms: u64,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueConfig {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the paths.
    pub prefix: String,
    /// Pool that runs the tasks.
    pub pool: String,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts: u32,
    /// Factor of the longest chain in a job's objective.
    pub slack: f64,
    /// Constant part of a job's objective, in milliseconds.
    pub target_ms: u64,
    /// Advice service, if the queue needs one.
    pub advice: Option<AdviceTiming>,
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolConfig {
    /// Name.
    pub name: String,
    /// Whether workers refuse what does not fit.
    pub guarded: bool,
    /// Whether its VMs are off.
    pub standby: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobConfig {
    /// Version; only a higher one replaces it.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueConfig>,
    /// Pools.
    pub pools: Vec<PoolConfig>,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's head, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl JobConfig {
    /// Finds the queue with the longest prefix of a path at a host, and the rest of the path.
    #[must_use]
    pub fn find_queue<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'a QueueConfig, &'p str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.queues.iter().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        });
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Finds a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
