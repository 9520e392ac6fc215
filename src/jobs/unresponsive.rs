//! Leases of unresponsive workers, stored for the shard's next owner.
//!
//! A new owner cannot know until when the former owner renewed the lease of a worker
//! that answers neither of them; it would have to wait for the longest possible
//! lease. So an owner stores how much of an unresponsive worker's lease is left, and
//! grants this worker no further lease until the row is known to be removed from the
//! store.
//!
//! No time of day proves that a lease is over: a clock may be set by any amount between
//! the write and the read. What was left at the write is counted from the read, which is
//! later. So that this adds little, the record is written again with other commits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::codec::EncodeError;
use crate::jobs::codec::RecordError;
use crate::jobs::codec::decode_with;
use crate::jobs::codec::encode_with;
use crate::jobs::engine::TimePair;

/// Age from which on a stored record is written again with the next commit, in
/// milliseconds.
const REWRITE_MS: u64 = 500;

/// The lease of an unresponsive worker as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRow {
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// When the lease has certainly expired, in milliseconds since the Unix epoch. Only
    /// earlier versions use it.
    pub lapse_ms: u64,
    /// Time from the write until the lease has certainly expired, in milliseconds; none if
    /// an earlier version wrote the row. It is encoded as an [`UnresponsiveExtension`].
    #[serde(skip)]
    pub left_ms: Option<u64>,
}

/// Leases of all unresponsive workers as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveRecord {
    /// Leases, at most one for each worker.
    pub rows: Vec<UnresponsiveRow>,
}

/// Fields of an [`UnresponsiveRecord`] that are encoded after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnresponsiveExtension {
    /// Time until each row's lease has certainly expired, in milliseconds.
    pub left_ms: Vec<u64>,
}

impl UnresponsiveRecord {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let left_ms = self.rows.iter().map(|row| row.left_ms.unwrap_or_default());
        let extension = UnresponsiveExtension {
            left_ms: left_ms.collect(),
        };
        encode_with(self, &extension)
    }

    /// Decodes the record that is stored under `key`.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not an encoded record.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, RecordError> {
        let (mut record, extension): (Self, Option<UnresponsiveExtension>) =
            decode_with(key, bytes)?;
        let left_ms = extension.unwrap_or_default().left_ms;
        for (row, left_ms) in record.rows.iter_mut().zip(left_ms) {
            row.left_ms = Some(left_ms);
        }
        Ok(record)
    }
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
    /// Workers in commits that have failed since; these may still be carried out.
    maybe_stored: BTreeSet<String>,
    /// When the record was last written, on the boot clock in milliseconds.
    written_ms: u64,
}

impl UnresponsiveWorkers {
    /// Replaces all leases by those that a former owner stored, read at `now`. None lasts
    /// beyond `longest_ms`, when all leases that orders of former owners may have granted have
    /// expired; a row of an earlier version lasts until then.
    pub fn inherit(&mut self, record: UnresponsiveRecord, longest_ms: u64, now: u64) {
        let leases = record.rows.into_iter().map(|row| {
            let expires_ms = row.left_ms.map_or(longest_ms, |left_ms| now + left_ms);
            log::info!(
                event = "worker_lease_inherited", worker = row.worker.as_str(),
                born_ms = row.born_ms, left_ms:? = row.left_ms; ""
            );
            let lease = UnresponsiveLease {
                born_ms: row.born_ms,
                expires_ms: expires_ms.min(longest_ms),
            };
            (row.worker, lease)
        });
        self.current = leases.collect();
        self.stored = self.current.clone();
        self.written_ms = now;
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

    /// Returns whether a worker may be granted a lease: no row of it may be stored, is
    /// about to be stored or is in a commit in progress.
    #[must_use]
    pub fn may_grant_lease(&self, worker: &str) -> bool {
        let storing = self.storing.as_ref();
        !self.current.contains_key(worker)
            && !self.stored.contains_key(worker)
            && !self.maybe_stored.contains(worker)
            && !storing.is_some_and(|rows| rows.contains_key(worker))
    }

    /// Returns whether there is a change to store and no commit of it in progress.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        let is_changed = self.current != self.stored || !self.maybe_stored.is_empty();
        self.storing.is_none() && is_changed
    }

    /// Returns whether the record is to be part of the next commit: there is a change, or
    /// more of the leases has passed than the stored record says.
    #[must_use]
    pub fn is_rewrite_due(&self, now: u64) -> bool {
        let is_old = !self.current.is_empty() && now >= self.written_ms + REWRITE_MS;
        self.is_dirty() || self.storing.is_none() && is_old
    }

    /// Returns the record to store and records that its commit is in progress.
    pub fn begin_write(&mut self, time: TimePair) -> UnresponsiveRecord {
        self.storing = Some(self.current.clone());
        self.written_ms = time.boot;
        let rows = self.current.iter().map(|(worker, lease)| {
            let left_ms = lease.expires_ms.saturating_sub(time.boot);
            UnresponsiveRow {
                worker: worker.clone(),
                born_ms: lease.born_ms,
                lapse_ms: time.unix + left_ms,
                left_ms: Some(left_ms),
            }
        });
        UnresponsiveRecord {
            rows: rows.collect(),
        }
    }

    /// Handles the success of the commit in progress.
    pub fn write_succeeded(&mut self) {
        if let Some(rows) = self.storing.take() {
            self.stored = rows;
            self.maybe_stored.clear();
        }
    }

    /// Handles the failure of the commit in progress. An attempt at it may still be carried
    /// out, until a later commit has succeeded.
    pub fn write_failed(&mut self) {
        let failed = self.storing.take().unwrap_or_default();
        self.maybe_stored.extend(failed.into_keys());
    }
}
