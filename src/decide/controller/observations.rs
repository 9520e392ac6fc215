//! Results that the controller receives between its steps: probes, VM lists, states
//! of operations, ledger writes and ejections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::ControllerState;
use super::StepView;
use super::WriteOutcome;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::EntryName;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;
use crate::platform::ListedVm;
use crate::platform::OperationState;

/// Number of consecutive failed probes after which a VM counts as unreachable.
const UNREACHABLE_PROBES: u32 = 3;
/// Number of consecutive answered probes after which a stopped or failed VM may serve
/// again.
const REACHABLE_PROBES: u32 = 2;
/// Number of consecutive VM lists without a VM after which it counts as gone.
const GONE_LISTS: u32 = 2;

/// Consecutive probe results of a VM since its last change of state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbeCount {
    /// `since_ms` of the VM record that the probes belong to.
    since_ms: u64,
    answered: u32,
    failed: u32,
}

/// The first fleet record in which a term has seen a drain.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainSight {
    /// Sequence of the record.
    pub sequence: u64,
    /// When it was seen, in milliseconds since the Unix epoch.
    pub seen_ms: u64,
}

impl ControllerState {
    /// Counts the result of a probe of a VM.
    pub fn handle_probe_result(&mut self, vm: &VmName, answered: bool) {
        let count = self.probe_counts.entry(vm.clone()).or_default();
        if answered {
            count.answered = count.answered.saturating_add(1);
            count.failed = 0;
        } else {
            count.failed = count.failed.saturating_add(1);
            count.answered = 0;
        }
    }

    /// Counts, for each VM of the record (`known`), the consecutive lists from the
    /// platform that lack it.
    pub fn handle_vm_list(
        &mut self,
        known: &BTreeMap<VmName, VmRecord>,
        listed: &BTreeMap<VmName, ListedVm>,
    ) {
        self.missing_counts.retain(|vm, _| known.contains_key(vm));
        for vm in known.keys() {
            let count = self.missing_counts.entry(vm.clone()).or_default();
            *count = if listed.contains_key(vm) {
                0
            } else {
                count.saturating_add(1)
            };
        }
    }

    /// Stores the state of an operation that the platform has reported.
    pub fn handle_operation_state(&mut self, operation: &OperationId, state: OperationState) {
        self.operation_states.insert(operation.clone(), state);
    }

    /// Handles the result of a write to a ledger.
    ///
    /// After an unknown result, no row of the pool allows a drain to begin until a
    /// later write to its ledger is known to have succeeded: from then on, the
    /// unknown write can no longer take effect.
    pub fn handle_ledger_write(&mut self, pool: &PoolName, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Written => {
                self.unknown_writes.remove(pool);
            }
            WriteOutcome::Conflict => {}
            WriteOutcome::Unknown => {
                self.unknown_writes.insert(pool.clone());
            }
        }
    }

    /// Stores the VMs that an entry VM has ejected, in place of those that it
    /// reported before.
    pub fn handle_ejections(&mut self, entry: &EntryName, ejected: &BTreeSet<VmName>) {
        for entries in self.ejected_by.values_mut() {
            entries.remove(entry);
        }
        for vm in ejected {
            let entries = self.ejected_by.entry(vm.clone()).or_default();
            entries.insert(entry.clone());
        }
        self.ejected_by.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the VMs to probe now, in addition to those due in the regular sweep.
    #[must_use]
    pub fn suspects(&self, view: &StepView<'_>) -> Vec<VmName> {
        let vms = view.fleet.vms.iter();
        let suspects = vms.filter(|(name, vm)| match &vm.state {
            VmState::Failed => true,
            VmState::Stopped(operation) => self.has_ended(operation),
            _ => {
                let failing = self
                    .probe_counts
                    .get(*name)
                    .is_some_and(|count| count.failed > 0);
                failing || self.ejected_by.contains_key(*name)
            }
        });
        suspects.map(|(name, _)| name.clone()).collect()
    }

    /// Updates the state to the record as read: adds new drains, and drops what
    /// belongs to ended drains, former states of VMs, past postponements and closed
    /// operations.
    pub(super) fn update_from_record(&mut self, view: &StepView<'_>) {
        let vms = &view.fleet.vms;
        let draining = |vm: &VmName| {
            let vm = vms.get(vm);
            vm.is_some_and(|vm| matches!(vm.state, VmState::Draining(_)))
        };
        self.drains.retain(|vm, _| draining(vm));
        for vm in vms.keys().filter(|vm| draining(vm)) {
            self.drains.entry(vm.clone()).or_insert(DrainSight {
                sequence: view.fleet.sequence,
                seen_ms: view.now_ms,
            });
        }
        self.probe_counts.retain(|vm, _| vms.contains_key(vm));
        for (name, vm) in vms {
            let count = self.probe_counts.entry(name.clone()).or_default();
            if count.since_ms != vm.since_ms {
                *count = ProbeCount {
                    since_ms: vm.since_ms,
                    ..ProbeCount::default()
                };
            }
        }
        let now_ms = view.now_ms;
        self.postponed.retain(|_, stop| now_ms < stop.until_ms);
        let unfinished: BTreeSet<_> = view.fleet.unfinished.values().collect();
        let stopped = vms.values().filter_map(|vm| match &vm.state {
            VmState::Stopped(operation) => Some(operation),
            _ => None,
        });
        let open: BTreeSet<_> = stopped.chain(unfinished).collect();
        self.operation_states
            .retain(|operation, _| open.contains(operation));
    }

    /// Returns whether a VM has answered enough probes in a row since its last change of
    /// state.
    pub(super) fn is_reachable(&self, vm: &VmName) -> bool {
        let count = self.probe_counts.get(vm);
        count.is_some_and(|count| count.answered >= REACHABLE_PROBES)
    }

    /// Returns the serving and draining VMs that are unreachable or gone, each with
    /// the reason.
    ///
    /// Returns none if that holds for more than half of these VMs of the data centre:
    /// then the fault is more likely in the list or in the controller's own network,
    /// and entry VMs that still reach the VMs continue to use them.
    pub(super) fn lost_vms(&self, view: &StepView<'_>) -> BTreeMap<VmName, &'static str> {
        let vms = view.fleet.vms.iter();
        let used =
            vms.filter(|(_, vm)| matches!(vm.state, VmState::Serving | VmState::Draining(_)));
        let used: Vec<_> = used.map(|(name, _)| name).collect();
        let lost = used.iter().filter_map(|vm| {
            let reason = if self.is_gone(vm) {
                "gone"
            } else if self.is_unreachable(vm) {
                "unreachable"
            } else {
                return None;
            };
            Some(((*vm).clone(), reason))
        });
        let lost: BTreeMap<_, _> = lost.collect();
        if lost.len() * 2 > used.len() {
            return BTreeMap::new();
        }
        lost
    }

    /// Returns whether enough consecutive lists from the platform have lacked a VM.
    pub(super) fn is_gone(&self, vm: &VmName) -> bool {
        let count = self.missing_counts.get(vm);
        count.is_some_and(|count| *count >= GONE_LISTS)
    }

    fn is_unreachable(&self, vm: &VmName) -> bool {
        let count = self.probe_counts.get(vm);
        count.is_some_and(|count| count.failed >= UNREACHABLE_PROBES)
    }
}
