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
    /// VMs that are not maintained: they no longer exist, or the platform refused the
    /// order as invalid.
    pub skipped: BTreeSet<String>,
    /// Whether the record has changed since it last went into a commit.
    pub dirty: bool,
    /// When this owner first learnt of the wave, on the boot clock in milliseconds.
    pub first_seen_ms: u64,
}

impl WaveProgress {
    /// Returns the VMs whose maintenance is still to be ordered.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        let machines = self.order.machines.iter();
        machines.filter(|machine| {
            !self.record.ordered.contains(machine) && !self.skipped.contains(*machine)
        })
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
