//! Workers that do not answer, stored for a successor.
//!
//! A successor cannot know until when its predecessor renewed the lease of a worker
//! that answers neither of them, and would have to wait for the longest possible one.
//! So an owner stores the end of a silent worker's lease, and grants that worker no
//! other lease until the row is surely removed again.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::engine::TimePair;

/// Added to the end of a lease that another entry VM has stored, in milliseconds:
/// clocks differ, and one may be set while the row is in the store.
const CLOCK_SLACK_MS: u64 = 2500;

/// The lease of a silent worker as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRow {
    /// Worker.
    pub worker: String,
    /// Start of its life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When its lease has surely ended, in milliseconds since the Unix epoch.
    pub lapse_ms: u64,
}

/// Silent workers as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRecord {
    /// Leases, at most one a worker.
    pub rows: Vec<UnresponsiveRow>,
}

/// The lease of a silent worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnresponsiveLease {
    /// Start of the worker's life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When the lease has surely ended, on the boot clock.
    pub expires_ms: u64,
}

/// Silent workers of the shard: as they are, and as the store has them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnresponsiveWorkers {
    current: BTreeMap<String, UnresponsiveLease>,
    storing: Option<BTreeMap<String, UnresponsiveLease>>,
    stored: BTreeMap<String, UnresponsiveLease>,
}

impl UnresponsiveWorkers {
    /// Takes over what a former owner stored.
    pub fn inherit(&mut self, record: UnresponsiveRecord, time: TimePair) {
        let leases = record.rows.into_iter().map(|row| {
            let left_ms = row.lapse_ms as i64 - time.unix as i64 + CLOCK_SLACK_MS as i64;
            let lease = UnresponsiveLease {
                born_ms: row.born_ms,
                expires_ms: time.boot.saturating_add_signed(left_ms),
            };
            (row.worker, lease)
        });
        self.current = leases.collect();
        self.stored = self.current.clone();
    }

    /// Notes that a worker is silent.
    pub fn insert(&mut self, worker: &str, lease: UnresponsiveLease) {
        self.current.insert(worker.to_owned(), lease);
    }

    /// Notes that a worker answers or has no runs any more.
    pub fn remove(&mut self, worker: &str) {
        self.current.remove(worker);
    }

    /// Returns the lease of a silent worker.
    #[must_use]
    pub fn lease(&self, worker: &str) -> Option<UnresponsiveLease> {
        self.current.get(worker).copied()
    }

    /// Returns the silent workers.
    pub fn workers(&self) -> impl Iterator<Item = &String> {
        self.current.keys()
    }

    /// Tells whether a worker may be granted a lease: no row of it is, may be or is to
    /// be stored.
    #[must_use]
    pub fn may_grant_lease(&self, worker: &str) -> bool {
        let storing = self.storing.as_ref();
        !self.current.contains_key(worker)
            && !self.stored.contains_key(worker)
            && !storing.is_some_and(|rows| rows.contains_key(worker))
    }

    /// Tells whether there is a change to be stored.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        self.storing.is_none() && self.current != self.stored
    }

    /// Returns the record to be stored.
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

    /// Takes in that the last record is stored.
    pub fn write_succeeded(&mut self) {
        if let Some(rows) = self.storing.take() {
            self.stored = rows;
        }
    }

    /// Takes in that the last record was not stored; it never will be.
    pub fn write_failed(&mut self) {
        self.storing = None;
    }
}
