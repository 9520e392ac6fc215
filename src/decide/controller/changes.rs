//! Decides for each VM the change from its state in the record to the next one.

use std::collections::BTreeMap;

use super::ControllerState;
use super::StepView;
use super::draft::RecordDraft;
use super::draft::VmChange;
use super::drains::budget_excess;
use super::wave;
use crate::fleet::DrainPurpose;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;
use crate::platform::OperationState;

pub(super) const SECOND_MS: u64 = 1000;

/// Values that are computed once per step for all VMs.
pub(super) struct StepContext {
    /// VMs that are unreachable or gone, each with the reason for its audit row.
    pub lost: BTreeMap<VmName, &'static str>,
    /// Number of VMs by which each pool exceeds its budget; lowered for each drain
    /// that is cancelled in the step.
    pub excess: BTreeMap<PoolName, usize>,
}

impl ControllerState {
    /// Adds VMs that the platform lists and that have a home pool, and updates
    /// addresses and racks that have changed.
    pub(super) fn add_listed_vms(&self, view: &StepView<'_>, draft: &mut RecordDraft<'_>) {
        for (name, listed) in view.listed {
            let known = view.fleet.vms.get(name);
            if known.is_some_and(|vm| vm.address == listed.address && vm.rack == listed.rack) {
                continue;
            }
            let home = view.home_pools.get(name).filter(|_| !listed.leaving);
            let added = home.map(|home| VmRecord {
                pool: home.clone(),
                address: listed.address,
                rack: listed.rack.clone(),
                state: VmState::Serving,
                since_ms: view.now_ms,
                maintained_ms: view.now_ms,
            });
            let updated = known.map(|vm| VmRecord {
                address: listed.address,
                rack: listed.rack.clone(),
                ..vm.clone()
            });
            if let Some(next) = updated.or(added) {
                draft.changed |= draft.apply(&vm_change(name, next, "listed"));
            }
        }
    }

    /// Applies the change that is due for each VM, if any, to the draft.
    pub(super) fn change_vms(&mut self, view: &StepView<'_>, draft: &mut RecordDraft<'_>) {
        let mut context = StepContext {
            lost: self.lost_vms(view),
            excess: budget_excess(view),
        };
        for name in view.fleet.vms.keys() {
            // The draft may already have a new address for the VM.
            let Some(vm) = draft.record.vms.get(name).cloned() else {
                continue;
            };
            let change = match &vm.state {
                VmState::Serving => self.change_serving(view, &context, name, &vm),
                VmState::Draining(purpose) => {
                    self.change_draining(view, &mut context, name, &vm, purpose)
                }
                VmState::Stopped(operation) => self.change_stopped(view, name, &vm, operation),
                VmState::Failed => self.change_failed(view, name, &vm),
                VmState::Held => change_held(view, self.is_gone(name), name, &vm),
            };
            if let Some(change) = change {
                self.apply_change(view, draft, &vm, &change);
            }
        }
    }

    /// Applies a change, and updates the wave's counters and the unfinished
    /// operations to match.
    fn apply_change(
        &mut self,
        view: &StepView<'_>,
        draft: &mut RecordDraft<'_>,
        before: &VmRecord,
        change: &VmChange,
    ) {
        if !draft.apply(change) {
            return;
        }
        draft.changed = true;
        let after = change.next.as_ref().map(|vm| &vm.state);
        match (&before.state, after) {
            (VmState::Draining(_), Some(VmState::Stopped(_))) => wave::count_started(draft),
            (VmState::Stopped(_), Some(VmState::Serving)) => wave::count_returned(draft, before),
            (VmState::Stopped(operation), Some(VmState::Failed)) => {
                // The platform may still start the operation, because a call of this
                // or a former controller may arrive late.
                if !self.has_ended(operation) {
                    let unfinished = &mut draft.record.unfinished;
                    unfinished.insert(change.vm.clone(), operation.clone());
                }
                wave::count_failed(view, draft, before);
            }
            (_, None) => {
                draft.record.unfinished.remove(&change.vm);
            }
            _ => {}
        }
    }

    fn change_serving(
        &self,
        view: &StepView<'_>,
        context: &StepContext,
        name: &VmName,
        vm: &VmRecord,
    ) -> Option<VmChange> {
        if let Some(reason) = context.lost.get(name) {
            return Some(state_change(view, name, vm, VmState::Failed, *reason));
        }
        let leave = VmState::Draining(DrainPurpose::Leave);
        if is_leaving(view, name) {
            return Some(state_change(view, name, vm, leave, "listed as leaving"));
        }
        if view.home_pools.get(name).is_none() {
            return Some(state_change(view, name, vm, leave, "in no pool"));
        }
        let mut pools = view.ledgers.keys();
        let purpose = pools.find_map(|pool| self.allowed_drain(view, pool, name, vm))?;
        let operation = match &purpose {
            DrainPurpose::Maintain(operation) => Some(operation.clone()),
            _ => None,
        };
        let text = match &purpose {
            DrainPurpose::Hold => view.config.drains.get(name).map_or("", String::as_str),
            _ => "",
        };
        Some(VmChange {
            operation,
            ..state_change(view, name, vm, VmState::Draining(purpose), text)
        })
    }

    fn change_stopped(
        &self,
        view: &StepView<'_>,
        name: &VmName,
        vm: &VmRecord,
        operation: &OperationId,
    ) -> Option<VmChange> {
        let state = self.operation_states.get(operation);
        let limit_ms = view.config.maintenance.return_limit_s * SECOND_MS;
        let overdue = view.now_ms >= vm.since_ms + limit_ms;
        let returned = self.is_reachable(name) && view.listed.contains_key(name);
        let change = match state {
            Some(OperationState::Done) if returned => VmChange {
                next: Some(VmRecord {
                    maintained_ms: view.now_ms,
                    ..with_state(view, vm, VmState::Serving)
                }),
                ..state_change(view, name, vm, VmState::Serving, "back")
            },
            Some(OperationState::Failed) => {
                state_change(view, name, vm, VmState::Failed, "operation failed")
            }
            _ if overdue => state_change(view, name, vm, VmState::Failed, "not back in time"),
            _ => return None,
        };
        Some(VmChange {
            operation: Some(operation.clone()),
            ..change
        })
    }

    fn change_failed(&self, view: &StepView<'_>, name: &VmName, vm: &VmRecord) -> Option<VmChange> {
        let gone = self.is_gone(name);
        if view.home_pools.get(name).is_none() && gone {
            return Some(removal(name, "gone"));
        }
        let listed = view.listed.get(name)?;
        let blocked = listed.leaving || gone || view.fleet.unfinished.contains_key(name);
        if blocked || !self.is_reachable(name) {
            return None;
        }
        Some(state_change(view, name, vm, VmState::Serving, "back"))
    }
}

fn change_held(view: &StepView<'_>, gone: bool, name: &VmName, vm: &VmRecord) -> Option<VmChange> {
    if view.home_pools.get(name).is_none() {
        return Some(removal(name, "in no pool"));
    }
    if gone {
        return Some(state_change(view, name, vm, VmState::Failed, "gone"));
    }
    let held = view.config.drains.contains_key(name);
    (!held).then(|| state_change(view, name, vm, VmState::Serving, "hold ended"))
}

pub(super) fn is_leaving(view: &StepView<'_>, vm: &VmName) -> bool {
    view.listed.get(vm).is_some_and(|listed| listed.leaving)
}

/// Returns the VM in a new state. `since_ms` always increases, so that every change of
/// state can be distinguished from the one before.
pub(super) fn with_state(view: &StepView<'_>, vm: &VmRecord, state: VmState) -> VmRecord {
    VmRecord {
        state,
        since_ms: view.now_ms.max(vm.since_ms + 1),
        ..vm.clone()
    }
}

/// Returns the change of a VM to a new state; `text` is its reason.
pub(super) fn state_change(
    view: &StepView<'_>,
    name: &VmName,
    vm: &VmRecord,
    state: VmState,
    text: impl Into<String>,
) -> VmChange {
    vm_change(name, with_state(view, vm, state), text)
}

fn vm_change(name: &VmName, next: VmRecord, text: impl Into<String>) -> VmChange {
    VmChange {
        vm: name.clone(),
        next: Some(next),
        operation: None,
        in_progress: None,
        text: text.into(),
    }
}

/// Returns the removal of a VM from the record; `text` is its reason.
pub(super) fn removal(name: &VmName, text: &str) -> VmChange {
    VmChange {
        vm: name.clone(),
        next: None,
        operation: None,
        in_progress: None,
        text: text.to_owned(),
    }
}
