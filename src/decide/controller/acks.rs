//! Acknowledgements of the entry VMs.

use super::ControllerState;
use super::StepView;
use super::draft::RecordDraft;
use crate::names::EntryName;
use crate::names::VmName;

impl ControllerState {
    /// Returns the entry VMs that may still have work in progress on a draining VM.
    ///
    /// An entry VM lets go of it by acknowledging the drain, or a later record,
    /// with nothing in progress: its record in force only grows, so it cannot
    /// begin new work there before the VM serves again. One that does not answer
    /// keeps its last acknowledgement and so counts as using the VM.
    pub(super) fn blockers(&self, view: &StepView<'_>, vm: &VmName) -> Vec<EntryName> {
        let Some(sequence) = self.drain_sequences.get(vm) else {
            return view.acks.keys().cloned().collect();
        };
        let blocking = view.acks.iter().filter(|(_, ack)| {
            ack.fleet_sequence < *sequence || ack.in_use.get(vm).is_some_and(|count| *count > 0)
        });
        blocking.map(|(entry, _)| entry.clone()).collect()
    }

    /// Tells whether no entry VM can have work in progress on a draining VM.
    pub(super) fn is_idle(&self, view: &StepView<'_>, vm: &VmName) -> bool {
        !view.acks.is_empty()
            && self.drain_sequences.contains_key(vm)
            && self.blockers(view, vm).is_empty()
    }
}

/// Returns the requests in progress on a VM, as the entry VMs acknowledged them.
pub(super) fn in_progress(view: &StepView<'_>, vm: &VmName) -> u32 {
    let counts = view.acks.values().filter_map(|ack| ack.in_use.get(vm));
    counts.sum()
}

/// Notes the configuration version that all entry VMs have in force.
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
