//! Evaluates the acknowledgements of the entry VMs.

use super::ControllerState;
use super::StepView;
use super::draft::RecordDraft;
use crate::names::EntryName;
use crate::names::VmName;

impl ControllerState {
    /// Returns the entry VMs that may still have requests in progress on a draining VM.
    ///
    /// An entry VM no longer blocks the drain once it has acknowledged the record
    /// with the drain, or a later one, and reports no request in progress on the VM.
    /// The sequence of its record in force never decreases, so it cannot send new
    /// requests to the VM before the VM serves again. An entry VM that does not
    /// answer keeps its last acknowledgement, and so blocks every drain that it has
    /// not acknowledged.
    pub(super) fn blockers(&self, view: &StepView<'_>, vm: &VmName) -> Vec<EntryName> {
        let Some(sight) = self.drains.get(vm) else {
            return view.acks.keys().cloned().collect();
        };
        let blocking = view.acks.iter().filter(|(_, ack)| {
            ack.fleet_sequence < sight.sequence
                || ack.in_use.get(vm).is_some_and(|count| *count > 0)
        });
        blocking.map(|(entry, _)| entry.clone()).collect()
    }

    /// Returns whether no entry VM can have requests in progress on a draining VM.
    pub(super) fn is_idle(&self, view: &StepView<'_>, vm: &VmName) -> bool {
        !view.acks.is_empty() && self.drains.contains_key(vm) && self.blockers(view, vm).is_empty()
    }
}

/// Returns the number of requests in progress on a VM, as reported by the entry VMs.
pub(super) fn in_progress(view: &StepView<'_>, vm: &VmName) -> u32 {
    let counts = view.acks.values().filter_map(|ack| ack.in_use.get(vm));
    counts.sum()
}

/// Updates the record's configuration version to the one that all entry VMs have in
/// force.
pub(super) fn update_config_version(view: &StepView<'_>, draft: &mut RecordDraft<'_>) {
    let versions = view.acks.values().map(|ack| ack.config_version);
    let version = versions.min().unwrap_or(0).min(view.config_version);
    let before = draft.record.config_version;
    if version <= before || !draft.has_space() {
        return;
    }
    draft.record.config_version = version;
    let reason = format!("dc={}", view.dc);
    draft.append_audit(
        format!("config/{version}"),
        "in_force",
        before.to_string(),
        version.to_string(),
        reason,
    );
}
