//! Which tasks of long-running steps are in service, for the check of what a stop takes away.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Time without service after which a task counts as away, in milliseconds.
const NOTICE_MS: u64 = 4500;

/// When each long-running task was last in service, and how that ended.
#[derive(Clone, Debug, Default)]
pub struct ServiceTracker {
    last_ms: BTreeMap<String, u64>,
    /// Tasks whose last time in service was ended by a stop.
    stopped: BTreeSet<String>,
}

impl ServiceTracker {
    /// Records that a task is in service.
    pub fn observe(&mut self, task: &str, now: u64) {
        self.last_ms.insert(task.to_owned(), now);
        self.stopped.remove(task);
    }

    /// Records that a stop has ended the service of a task.
    pub fn record_stop(&mut self, task: &str) {
        self.stopped.insert(task.to_owned());
    }

    /// Returns whether a task of a job that was submitted at `submitted_ms` is away: ended by a
    /// stop, or out of service for long.
    #[must_use]
    pub fn is_away(&self, task: &str, submitted_ms: u64, now: u64) -> bool {
        let last_ms = self.last_ms.get(task).copied().unwrap_or(submitted_ms);
        self.stopped.contains(task) || now >= last_ms + NOTICE_MS
    }
}
