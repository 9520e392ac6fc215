//! Permits to order moves and maintenance of VMs.
//!
//! Two owners of a shard, called holders here, must not order the same VM shortly
//! after each other. So a holder stores a permit before its first order for a VM. The
//! permit names the VM and the time until which the holder may order it. A new holder
//! waits before it orders a VM with a former holder's permit, and orders all other
//! VMs without delay.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::engine::TimePair;

/// Validity of a permit, in milliseconds: enough for a few attempts at an order.
const PERMIT_MS: u64 = 1500;

/// Time before the end of a permit in which it is no longer used, in milliseconds:
/// the order must be sent before the permit ends.
const PERMIT_MARGIN_MS: u64 = 100;

/// How long a permit stays in the record after its end, in milliseconds; longer than
/// any new holder waits.
const RETENTION_MS: u64 = 10_000;

/// A permit as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRow {
    /// Name of the VM.
    pub machine: String,
    /// Name of the holder that may order it.
    pub holder: String,
    /// End of the permit, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Permits as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRecord {
    /// Permits, at most one for each VM.
    pub rows: Vec<PermitRow>,
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
}

impl OrderPermits {
    /// Takes over the permits that former holders stored: their VMs are blocked until
    /// `wait_ms` milliseconds after the end of the permit. Permits that `holder` itself
    /// stored in an earlier incarnation are ignored.
    pub fn inherit(&mut self, record: PermitRecord, holder: &str, wait_ms: u64, time: TimePair) {
        self.wait_ms = wait_ms;
        for row in record.rows.into_iter().filter(|row| row.holder != holder) {
            // If the former holder's clock ran ahead, the VM must not stay blocked long.
            let left_ms = (row.until_ms as i64 - time.unix as i64).min(PERMIT_MS as i64);
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

    /// Returns the record to store and records that its commit is in progress. It
    /// contains the requested permits and the earlier ones that still bind a next holder.
    pub fn begin_write(&mut self, holder: &str, time: TimePair) -> PermitRecord {
        self.storing.append(&mut self.requested);
        let is_retained = |until: &u64| time.boot < *until + RETENTION_MS;
        self.stored.retain(|_, until| is_retained(until));
        self.former.retain(|_, (_, until)| is_retained(until));
        let mut own = self.stored.clone();
        own.extend(self.storing.clone());
        let former = self.former.iter();
        let former = former.filter(|(machine, _)| !own.contains_key(*machine));
        let former = former.map(|(machine, (holder, until))| (machine, holder.as_str(), until));
        let own = own.iter().map(|(machine, until)| (machine, holder, until));
        let rows = own.chain(former).map(|(machine, holder, until)| PermitRow {
            machine: machine.clone(),
            holder: holder.to_owned(),
            until_ms: time
                .unix
                .saturating_add_signed(*until as i64 - time.boot as i64),
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
