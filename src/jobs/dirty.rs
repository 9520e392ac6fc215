//! Jobs whose changes are to be stored, in the order in which they are due.
//!
//! While a job is in a commit without a result, it goes into no other one: the two could
//! take effect in either order and leave the older state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::types::JobId;

/// Changed jobs and those in commits. Times are on the boot clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct DirtyJobs {
    /// Changed jobs, with the time by which they are to be stored.
    due: BTreeMap<JobId, u64>,
    /// The changed jobs that are in no commit, by due time.
    order: BTreeSet<(u64, JobId)>,
    /// Jobs in a commit that has no result yet.
    storing: BTreeSet<JobId>,
}

impl DirtyJobs {
    /// Marks a job to be stored by `due_ms`; an earlier time that was set before stays.
    pub fn mark(&mut self, id: &JobId, due_ms: u64) {
        let before = self.due.get(id).copied();
        if before.is_some_and(|before| before <= due_ms) {
            return;
        }
        self.due.insert(id.clone(), due_ms);
        if self.storing.contains(id) {
            return;
        }
        if let Some(before) = before {
            self.order.remove(&(before, id.clone()));
        }
        self.order.insert((due_ms, id.clone()));
    }

    /// Returns when the next job that is in no commit is due.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        self.order.first().map(|(due_ms, _)| *due_ms)
    }

    /// Returns the number of changed jobs that are in no commit.
    #[must_use]
    pub fn ready(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of changed jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Returns whether no job is to be stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Makes all jobs due at once.
    pub fn make_all_due(&mut self) {
        self.due.values_mut().for_each(|due| *due = 0);
        let order = std::mem::take(&mut self.order);
        self.order = order.into_iter().map(|(_, id)| (0, id)).collect();
    }

    /// Removes and returns the job that is due first, of those in no commit.
    pub fn take_first(&mut self) -> Option<JobId> {
        let (_, id) = self.order.pop_first()?;
        self.due.remove(&id);
        Some(id)
    }

    /// Records that a job that was taken is in a commit.
    pub fn begin_commit(&mut self, id: &JobId) {
        self.storing.insert(id.clone());
    }

    /// Records that a job's commit has ended.
    pub fn end_commit(&mut self, id: &JobId) {
        if self.storing.remove(id)
            && let Some(due_ms) = self.due.get(id)
        {
            self.order.insert((*due_ms, id.clone()));
        }
    }

    /// Forgets the changes of a job.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(due_ms) = self.due.remove(id) {
            self.order.remove(&(due_ms, id.clone()));
        }
    }
}
