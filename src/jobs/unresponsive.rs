//! Leases of unresponsive workers, stored for the shard's next owner.
//!
//! A new owner cannot know until when the former owner renewed the lease of a worker
//! that answers neither of them; it would have to wait for the longest possible
//! lease. So an owner stores when an unresponsive worker's lease ends, and grants
//! this worker no further lease until the row is known to be removed from the store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::engine::TimePair;

/// Added to the end of a lease that a former owner stored, in milliseconds: the
/// clocks of entry VMs differ, and one may be adjusted while the row is stored.
const CLOCK_SLACK_MS: u64 = 2500;

/// The lease of an unresponsive worker as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRow {
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When the lease has certainly expired, in milliseconds since the Unix epoch.
    pub lapse_ms: u64,
}

/// Leases of all unresponsive workers as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRecord {
    /// Leases, at most one for each worker.
    pub rows: Vec<UnresponsiveRow>,
}

/// The lease of an unresponsive worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnresponsiveLease {
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When the lease has certainly expired, on the boot clock in milliseconds.
    pub expires_ms: u64,
}

/// Unresponsive workers of the shard, in memory and in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnresponsiveWorkers {
    current: BTreeMap<String, UnresponsiveLease>,
    /// Leases in the commit in progress, if there is one.
    storing: Option<BTreeMap<String, UnresponsiveLease>>,
    /// Leases in the last commit that succeeded.
    stored: BTreeMap<String, UnresponsiveLease>,
}

impl UnresponsiveWorkers {
    /// Replaces all leases by those that a former owner stored.
    pub fn inherit(&mut self, record: UnresponsiveRecord, time: TimePair) {
        let leases = record.rows.into_iter().map(|row| {
            let left_ms = row.lapse_ms as i64 - time.unix as i64 + CLOCK_SLACK_MS as i64;
            log::info!(
                event = "worker_lease_inherited", worker = row.worker.as_str(),
                born_ms = row.born_ms, left_ms = left_ms; ""
            );
            let lease = UnresponsiveLease {
                born_ms: row.born_ms,
                expires_ms: time.boot.saturating_add_signed(left_ms),
            };
            (row.worker, lease)
        });
        self.current = leases.collect();
        self.stored = self.current.clone();
    }

    /// Records that a worker is unresponsive.
    pub fn insert(&mut self, worker: &str, lease: UnresponsiveLease) {
        self.current.insert(worker.to_owned(), lease);
    }

    /// Removes a worker that answers again or has no runs left.
    pub fn remove(&mut self, worker: &str) {
        self.current.remove(worker);
    }

    /// Returns the lease of an unresponsive worker; none for any other worker.
    #[must_use]
    pub fn lease(&self, worker: &str) -> Option<UnresponsiveLease> {
        self.current.get(worker).copied()
    }

    /// Returns the identifiers of the unresponsive workers.
    pub fn workers(&self) -> impl Iterator<Item = &String> {
        self.current.keys()
    }

    /// Returns whether a worker may be granted a lease: no row of it is stored, is
    /// about to be stored or is in a commit in progress.
    #[must_use]
    pub fn may_grant_lease(&self, worker: &str) -> bool {
        let storing = self.storing.as_ref();
        !self.current.contains_key(worker)
            && !self.stored.contains_key(worker)
            && !storing.is_some_and(|rows| rows.contains_key(worker))
    }

    /// Returns whether there is a change to store and no commit of it in progress.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        self.storing.is_none() && self.current != self.stored
    }

    /// Returns the record to store and records that its commit is in progress.
    pub fn begin_write(&mut self, time: TimePair) -> UnresponsiveRecord {
        self.storing = Some(self.current.clone());
        let rows = self.current.iter().map(|(worker, lease)| UnresponsiveRow {
            worker: worker.clone(),
            born_ms: lease.born_ms,
            lapse_ms: time
                .unix
                .saturating_add_signed(lease.expires_ms as i64 - time.boot as i64),
        });
        UnresponsiveRecord {
            rows: rows.collect(),
        }
    }

    /// Handles the success of the commit in progress.
    pub fn write_succeeded(&mut self) {
        if let Some(rows) = self.storing.take() {
            self.stored = rows;
        }
    }

    /// Handles the failure of the commit in progress: its record is not stored and
    /// cannot be stored later.
    pub fn write_failed(&mut self) {
        self.storing = None;
    }
}
