//! Permits to order VMs: stored before the first order, so that a successor knows
//! which VMs its predecessor may just have ordered.
//!
//! Two holders must not give orders for one VM shortly after each other. A permit
//! names the VM and the time until which it may be ordered. A successor waits for
//! the VMs with a permit and orders all others at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::engine::TimePair;

/// How long a permit holds, in milliseconds: a few attempts at an order.
const PERMIT_MS: u64 = 1500;

/// A permit is not used in the last part of its time, in milliseconds: the order must
/// be sent before it ends.
const PERMIT_MARGIN_MS: u64 = 100;

/// How long a permit is kept after its end, in milliseconds; longer than any
/// successor waits.
const KEPT_MS: u64 = 10_000;

/// A permit as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRow {
    /// VM.
    pub machine: String,
    /// Who may order it.
    pub holder: String,
    /// Until when, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// Permits as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRecord {
    /// Permits, at most one a VM.
    pub rows: Vec<PermitRow>,
}

/// Permits of this holder, and those that a former holder left.
///
/// All times are on the boot clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderPermits {
    /// Ends of the permits that are to be stored.
    wanted: BTreeMap<String, u64>,
    /// Ends of the permits in a commit under way.
    storing: BTreeMap<String, u64>,
    /// Ends of the stored permits.
    stored: BTreeMap<String, u64>,
    /// Former holders of permits and the ends of these.
    former: BTreeMap<String, (String, u64)>,
    /// How long VMs wait after the end of a former holder's permit, in milliseconds.
    wait_ms: u64,
    /// No VM is ordered before this time; set if former permits cannot be read.
    all_ms: u64,
}

impl OrderPermits {
    /// Takes over what former holders left: their VMs are ordered `wait_ms` after the
    /// end of their permits, but for those of an earlier life of `holder` itself.
    pub fn inherit(&mut self, record: PermitRecord, holder: &str, wait_ms: u64, time: TimePair) {
        self.wait_ms = wait_ms;
        for row in record.rows.into_iter().filter(|row| row.holder != holder) {
            // A clock that runs ahead must not block a VM for long.
            let left_ms = (row.until_ms as i64 - time.unix as i64).min(PERMIT_MS as i64);
            let until_ms = time.boot.saturating_add_signed(left_ms);
            self.former.insert(row.machine, (row.holder, until_ms));
        }
    }

    /// Lets no VM be ordered before this time on the boot clock.
    pub fn block_all(&mut self, until_ms: u64) {
        self.all_ms = until_ms;
    }

    /// Tells whether a former holder may have ordered a VM lately.
    #[must_use]
    pub fn is_blocked(&self, machine: &str, now: u64) -> bool {
        let former = self.former.get(machine);
        now < self.all_ms || former.is_some_and(|(_, until)| now < until + self.wait_ms)
    }

    /// Tells whether a VM may be ordered now; if not, a permit is wanted from now on.
    pub fn request_permit(&mut self, machine: &str, now: u64) -> bool {
        if self.is_blocked(machine, now) {
            return false;
        }
        let holds = |permits: &BTreeMap<String, u64>| {
            let until = permits.get(machine);
            until.is_some_and(|until| now + PERMIT_MARGIN_MS < *until)
        };
        if holds(&self.stored) {
            return true;
        }
        if !holds(&self.storing) && !holds(&self.wanted) {
            self.wanted.insert(machine.to_owned(), now + PERMIT_MS);
        }
        false
    }

    /// Tells whether there are permits to be stored.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Returns the record to be stored: the permits that are wanted, and those that a
    /// successor still has to know.
    pub fn begin_write(&mut self, holder: &str, time: TimePair) -> PermitRecord {
        self.storing.append(&mut self.wanted);
        let is_kept = |until: &u64| time.boot < *until + KEPT_MS;
        self.stored.retain(|_, until| is_kept(until));
        self.former.retain(|_, (_, until)| is_kept(until));
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

    /// Takes in that the last record is stored.
    pub fn write_succeeded(&mut self) {
        self.stored.append(&mut self.storing);
    }

    /// Takes in that the last record was not stored.
    pub fn write_failed(&mut self) {
        self.wanted.append(&mut self.storing);
    }
}
