//! Maintenance waves: which VMs are still due, and how many may go down.
//!
//! A wave is a set of VMs that must all go through maintenance within a time limit.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::engine::TimePair;
use crate::jobs::record::WaveExtension;
use crate::jobs::record::WaveRecord;

/// Factor by which the time left must exceed what a wave takes at full pace for it to be
/// deferred while the pools lack VMs.
const DEFER_FACTOR: f64 = 1.5;

/// Number of VMs that are evacuated beyond those that may be down now, so that the next one
/// can go down without delay.
const EVACUATE_AHEAD: usize = 1;

/// What the pace of a wave depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WavePace {
    /// Number of VMs that are due, evacuated or in maintenance.
    pub left: usize,
    /// Number of these that are evacuated or in maintenance.
    pub away: usize,
    /// Time left for the wave, in milliseconds.
    pub left_ms: u64,
    /// Time that a VM is unavailable, in milliseconds.
    pub per_vm_ms: u64,
    /// Maximum number of VMs in maintenance at the same time.
    pub most: usize,
    /// Whether the pools want more VMs than there are.
    pub is_short: bool,
}

impl WavePace {
    /// Returns how many more VMs are to be evacuated now: as few as the time limit requires, as
    /// a pool's next peak may want each of them.
    ///
    /// While the pools lack VMs, the wave is deferred as long as it could still be completed in
    /// time at full pace.
    #[must_use]
    pub fn evacuations(&self) -> usize {
        let most = self.most.max(1);
        let work_ms = self.left as u64 * self.per_vm_ms;
        let needed = work_ms.div_ceil(self.left_ms.max(1)) as usize;
        let needed = needed.clamp(1, most) + EVACUATE_AHEAD;
        let full_pace_ms = work_ms as f64 / most as f64;
        let may_defer = full_pace_ms * DEFER_FACTOR <= self.left_ms as f64;
        if self.is_short && may_defer {
            return 0;
        }
        needed.saturating_sub(self.away)
    }
}

/// A wave as it was requested.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveOrder {
    /// Number of the wave.
    pub wave: u64,
    /// Names of the VMs to maintain.
    pub machines: Vec<String>,
    /// Time limit of the whole wave, in seconds.
    pub limit_s: u64,
    /// Maximum number of VMs in maintenance at the same time; 0 counts as 1.
    pub most: usize,
}

impl WaveOrder {
    /// Returns the time limit of the whole wave, in milliseconds.
    #[must_use]
    pub fn limit_ms(&self) -> u64 {
        self.limit_s.saturating_mul(1000)
    }
}

/// Progress of a wave as a former owner stored it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredWave {
    /// Progress.
    pub record: WaveRecord,
    /// When an owner first learnt of the wave; none if an earlier version stored it.
    pub extension: Option<WaveExtension>,
}

/// A wave in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// The wave as it was requested.
    pub order: WaveOrder,
    /// Progress as it is stored.
    pub record: WaveRecord,
    /// VMs whose maintenance was ordered and which are not back in service yet.
    pub down: BTreeSet<String>,
    /// VMs whose maintenance is still to be ordered. Those that no longer exist, and those
    /// for which the platform refused the order as invalid, are left out.
    pub remaining: BTreeSet<String>,
    /// Whether the record has changed since it last went into a commit.
    pub dirty: bool,
    /// When an owner first learnt of the wave, on the boot clock in milliseconds; its time
    /// limit counts from then.
    pub first_seen_ms: u64,
}

impl WaveProgress {
    /// Returns a wave with the progress that a former owner stored, if it has begun.
    #[must_use]
    pub fn new(order: WaveOrder, stored: Option<StoredWave>, time: TimePair) -> Self {
        let dirty = stored.is_none();
        let stored = stored.unwrap_or_default();
        let seen_unix_ms = stored.extension.map(|extension| extension.seen_unix_ms);
        let age_ms = seen_unix_ms.map_or(0, |seen_ms| time.unix.saturating_sub(seen_ms));
        // The clock may have been changed since.
        let age_ms = age_ms.min(order.limit_ms());
        let record = stored.record;
        let ordered: BTreeSet<String> = record.ordered.iter().cloned().collect();
        let machines = order.machines.iter();
        let remaining = machines.filter(|machine| !ordered.contains(*machine));
        Self {
            remaining: remaining.cloned().collect(),
            // VMs that a former owner ordered may still be down.
            down: if record.complete {
                BTreeSet::new()
            } else {
                ordered
            },
            order,
            record,
            dirty,
            first_seen_ms: time.boot.saturating_sub(age_ms),
        }
    }

    /// Records that the maintenance of a VM was ordered.
    pub fn set_ordered(&mut self, machine: &str) {
        self.remaining.remove(machine);
        self.record.ordered.push(machine.to_owned());
        self.down.insert(machine.to_owned());
        self.dirty = true;
    }

    /// Returns what is stored with the record.
    #[must_use]
    pub fn extension(&self, time: TimePair) -> WaveExtension {
        let age_ms = time.boot.saturating_sub(self.first_seen_ms);
        WaveExtension {
            seen_unix_ms: time.unix.saturating_sub(age_ms),
        }
    }

    /// Returns the VMs whose maintenance is still to be ordered.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.remaining.iter()
    }

    /// Returns how many more VMs may go down now.
    #[must_use]
    pub fn disruptions_allowed(&self) -> usize {
        self.order.most.max(1).saturating_sub(self.down.len())
    }

    /// Returns whether no VM is left to maintain and all are back in service.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.down.is_empty() && self.due().next().is_none()
    }
}
