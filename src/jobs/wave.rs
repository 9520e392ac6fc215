//! Maintenance waves: which VM may go down next.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::record::WaveRecord;

/// A wave as it was requested.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveOrder {
    /// Number.
    pub wave: u64,
    /// VMs that are to be maintained.
    pub machines: Vec<String>,
    /// Time allowed for the whole wave, in seconds.
    pub limit_s: u64,
    /// Most VMs in maintenance at a time.
    pub most: usize,
}

/// A wave in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// The request.
    pub order: WaveOrder,
    /// What is stored.
    pub record: WaveRecord,
    /// VMs whose maintenance was ordered and which are not back yet.
    pub down: BTreeSet<String>,
    /// VMs that no longer exist.
    pub skipped: BTreeSet<String>,
    /// Whether the record has changed since it was last handed to the store.
    pub dirty: bool,
    /// When the wave was first seen, on the boot clock.
    pub first_seen_ms: u64,
}

impl WaveProgress {
    /// Returns the VMs that are still to be maintained.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        let machines = self.order.machines.iter();
        machines.filter(|machine| {
            !self.record.ordered.contains(machine) && !self.skipped.contains(*machine)
        })
    }

    /// Returns how many VMs may go down now.
    #[must_use]
    pub fn disruptions_allowed(&self) -> usize {
        self.order.most.max(1).saturating_sub(self.down.len())
    }

    /// Tells whether all VMs were maintained and are back.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.down.is_empty() && self.due().next().is_none()
    }
}
