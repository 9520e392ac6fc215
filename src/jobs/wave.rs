//! Maintenance waves: which VMs are still due, and how many may go down.
//!
//! A wave is a set of VMs that must all go through maintenance within a time limit.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::record::WaveRecord;

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
    /// When this owner first learnt of the wave, on the boot clock in milliseconds.
    pub first_seen_ms: u64,
}

impl WaveProgress {
    /// Returns a wave with the progress that a former owner stored, if it has begun.
    #[must_use]
    pub fn new(order: WaveOrder, record: Option<WaveRecord>, now: u64) -> Self {
        let dirty = record.is_none();
        let record = record.unwrap_or_default();
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
            first_seen_ms: now,
        }
    }

    /// Records that the maintenance of a VM was ordered.
    pub fn set_ordered(&mut self, machine: &str) {
        self.remaining.remove(machine);
        self.record.ordered.push(machine.to_owned());
        self.down.insert(machine.to_owned());
        self.dirty = true;
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
