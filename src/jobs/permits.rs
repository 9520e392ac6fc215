//! Permits to order moves and maintenance of VMs.
//!
//! Two owners of a shard, called holders here, must not order the same VM shortly
//! after each other. So a holder stores a permit before its first order for a VM. The
//! permit names the VM and says for how long the holder may order it. A new holder
//! waits before it orders a VM with a former holder's permit, and orders all other
//! VMs without delay.
//!
//! What was left of a permit at the write is counted from the read, which is later; clocks
//! may be set in between. So that old permits do not block VMs after each takeover, the
//! record is written again with other commits until no permit is left.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::codec::EncodeError;
use crate::jobs::codec::RecordError;
use crate::jobs::codec::decode_with;
use crate::jobs::codec::encode_with;
use crate::jobs::engine::TimePair;

/// Validity of a permit, in milliseconds: enough for a few attempts at an order.
const PERMIT_MS: u64 = 1500;

/// Time before the end of a permit in which it is no longer used, in milliseconds:
/// the order must be sent before the permit ends.
const PERMIT_MARGIN_MS: u64 = 100;

/// How long a permit stays in the record after its end, in milliseconds; longer than
/// any new holder waits.
const RETENTION_MS: u64 = 10_000;

/// Age from which on a stored record is written again with the next commit, in
/// milliseconds.
const REWRITE_MS: u64 = 500;

/// A permit as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRow {
    /// Name of the VM.
    pub machine: String,
    /// Name of the holder that may order it.
    pub holder: String,
    /// End of the permit, in milliseconds since the Unix epoch. Only earlier versions use
    /// it.
    pub until_ms: u64,
    /// Time from the write until the end of the permit, in milliseconds, negative after it;
    /// none if an earlier version wrote the row. It is encoded as a [`PermitExtension`].
    #[serde(skip)]
    pub left_ms: Option<i64>,
}

/// Permits as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRecord {
    /// Permits, at most one for each VM.
    pub rows: Vec<PermitRow>,
}

/// Fields of a [`PermitRecord`] that are encoded after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitExtension {
    /// Time until the end of each row's permit, in milliseconds.
    pub left_ms: Vec<i64>,
}

impl PermitRecord {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let left_ms = self.rows.iter().map(|row| row.left_ms.unwrap_or_default());
        let extension = PermitExtension {
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
        let (mut record, extension): (Self, Option<PermitExtension>) = decode_with(key, bytes)?;
        let left_ms = extension.unwrap_or_default().left_ms;
        for (row, left_ms) in record.rows.iter_mut().zip(left_ms) {
            row.left_ms = Some(left_ms);
        }
        Ok(record)
    }
}

/// Permits of this holder and of former holders.
///
/// All times are on the boot clock, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderPermits {
    /// Ends of the requested permits that are not stored yet, by VM.
    requested: BTreeMap<String, u64>,
    /// Ends of the permits in the commit in progress, by VM.
    storing: BTreeMap<String, u64>,
    /// Ends of the stored permits, by VM.
    stored: BTreeMap<String, u64>,
    /// Holder and end of each permit of a former holder, by VM.
    former: BTreeMap<String, (String, u64)>,
    /// How long a VM stays blocked after the end of a former holder's permit.
    wait_ms: u64,
    /// All VMs are blocked until this time; set if the former holders' permits cannot
    /// be read.
    all_blocked_until_ms: u64,
    /// When the record was last written, or read from a former holder.
    written_ms: u64,
}

impl OrderPermits {
    /// Takes over the permits that former holders stored: their VMs are blocked until
    /// `wait_ms` milliseconds after the end of the permit. Permits that `holder` itself
    /// stored in an earlier incarnation are ignored.
    pub fn inherit(&mut self, record: PermitRecord, holder: &str, wait_ms: u64, time: TimePair) {
        self.wait_ms = wait_ms;
        self.written_ms = time.boot;
        for row in record.rows.into_iter().filter(|row| row.holder != holder) {
            let left_ms = row
                .left_ms
                .unwrap_or(PERMIT_MS as i64)
                .min(PERMIT_MS as i64);
            let until_ms = time.boot.saturating_add_signed(left_ms);
            self.former.insert(row.machine, (row.holder, until_ms));
        }
    }

    /// Blocks all VMs until `until_ms` on the boot clock.
    pub fn block_all(&mut self, until_ms: u64) {
        self.all_blocked_until_ms = until_ms;
    }

    /// Returns whether a VM must not be ordered yet, since a former holder may have
    /// ordered it a short time ago.
    #[must_use]
    pub fn is_blocked(&self, machine: &str, now: u64) -> bool {
        let former = self.former.get(machine);
        now < self.all_blocked_until_ms
            || former.is_some_and(|(_, until)| now < until + self.wait_ms)
    }

    /// Returns whether a VM may be ordered now: a permit for it is stored and valid.
    /// If not, requests one, unless the VM is blocked by a former holder's permit.
    pub fn request_permit(&mut self, machine: &str, now: u64) -> bool {
        if self.is_blocked(machine, now) {
            return false;
        }
        let is_valid_in = |permits: &BTreeMap<String, u64>| {
            let until = permits.get(machine);
            until.is_some_and(|until| now + PERMIT_MARGIN_MS < *until)
        };
        if is_valid_in(&self.stored) {
            return true;
        }
        if !is_valid_in(&self.storing) && !is_valid_in(&self.requested) {
            self.requested.insert(machine.to_owned(), now + PERMIT_MS);
        }
        false
    }

    /// Returns whether there are requested permits to store.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        !self.requested.is_empty()
    }

    /// Returns whether the record is to be part of the next commit: permits are requested, or
    /// more of the stored ones has passed than the record says.
    #[must_use]
    pub fn is_rewrite_due(&self, now: u64) -> bool {
        let is_empty = self.stored.is_empty() && self.former.is_empty();
        self.is_dirty() || !is_empty && now >= self.written_ms + REWRITE_MS
    }

    /// Returns the record to store and records that its commit is in progress. It
    /// contains the requested permits and the earlier ones that still bind a next holder.
    pub fn begin_write(&mut self, holder: &str, time: TimePair) -> PermitRecord {
        self.storing.append(&mut self.requested);
        self.written_ms = time.boot;
        let is_retained = |until: &u64| time.boot < *until + RETENTION_MS;
        self.stored.retain(|_, until| is_retained(until));
        self.former.retain(|_, (_, until)| is_retained(until));
        let mut own = self.stored.clone();
        own.extend(self.storing.clone());
        let former = self.former.iter();
        let former = former.filter(|(machine, _)| !own.contains_key(*machine));
        let former = former.map(|(machine, (holder, until))| (machine, holder.as_str(), until));
        let own = own.iter().map(|(machine, until)| (machine, holder, until));
        let rows = own.chain(former).map(|(machine, holder, until)| {
            let left_ms = *until as i64 - time.boot as i64;
            PermitRow {
                machine: machine.clone(),
                holder: holder.to_owned(),
                until_ms: time.unix.saturating_add_signed(left_ms),
                left_ms: Some(left_ms),
            }
        });
        PermitRecord {
            rows: rows.collect(),
        }
    }

    /// Handles the success of the commit in progress: its permits may be used.
    pub fn write_succeeded(&mut self) {
        self.stored.append(&mut self.storing);
    }

    /// Handles the failure of the commit in progress: its permits are requested again.
    pub fn write_failed(&mut self) {
        self.requested.append(&mut self.storing);
    }
}
