//! Decides whether a drain ends, is cancelled, or is postponed.

use std::collections::BTreeMap;

use super::ControllerState;
use super::PostponedStop;
use super::StepView;
use super::acks::in_progress;
use super::changes::SECOND_MS;
use super::changes::StepContext;
use super::changes::is_leaving;
use super::changes::removal;
use super::changes::state_change;
use super::changes::with_state;
use super::draft::VmChange;
use super::draft::ledger_pool;
use super::ledger_rows::budget_of;
use super::ledger_rows::out_of_service;
use super::wave;
use crate::fleet::DrainPurpose;
use crate::fleet::OutageCause;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::EntryName;
use crate::names::PoolName;
use crate::names::VmName;

/// Minimum time for acknowledgements of a drain that this term has read, in milliseconds.
const MIN_ACK_MS: u64 = 1000;

impl ControllerState {
    pub(super) fn change_draining(
        &mut self,
        view: &StepView<'_>,
        context: &mut StepContext,
        name: &VmName,
        vm: &VmRecord,
        purpose: &DrainPurpose,
    ) -> Option<VmChange> {
        let idle = self.is_idle(view, name);
        if *purpose == DrainPurpose::Leave {
            return self.change_leaving(view, idle, name, vm);
        }
        if let Some(reason) = context.lost.get(name) {
            return Some(state_change(view, name, vm, VmState::Failed, *reason));
        }
        if is_leaving(view, name) {
            let leave = VmState::Draining(DrainPurpose::Leave);
            return Some(state_change(view, name, vm, leave, "listed as leaving"));
        }
        if let Some(reason) = cancel_reason(view, context, name, vm, purpose) {
            return Some(state_change(view, name, vm, VmState::Serving, reason));
        }
        if idle {
            return end_drain(view, name, vm, purpose);
        }
        self.postpone(view, name, vm, purpose)
    }

    fn change_leaving(
        &self,
        view: &StepView<'_>,
        idle: bool,
        name: &VmName,
        vm: &VmRecord,
    ) -> Option<VmChange> {
        let home = view.home_pools.get(name);
        if home.is_some() && !is_leaving(view, name) && view.listed.contains_key(name) {
            return Some(state_change(
                view,
                name,
                vm,
                VmState::Serving,
                "no longer leaving",
            ));
        }
        if home.is_none() && (idle || self.is_gone(name)) {
            return Some(VmChange {
                in_progress: Some(in_progress(view, name)),
                ..removal(name, "in no pool")
            });
        }
        let gone = self.is_gone(name);
        gone.then(|| state_change(view, name, vm, VmState::Failed, "gone"))
    }

    /// Returns a VM to service if its drain has exceeded the drain limit.
    ///
    /// Entry VMs cannot acknowledge a drain before the controller has read it back, so
    /// they have [`MIN_ACK_MS`] from then on, also in a new term. A drain for an
    /// operator's hold has no limit.
    fn postpone(
        &mut self,
        view: &StepView<'_>,
        name: &VmName,
        vm: &VmRecord,
        purpose: &DrainPurpose,
    ) -> Option<VmChange> {
        let limit_ms = view.config.maintenance.drain_limit_s * SECOND_MS;
        let end_ms = vm.since_ms + limit_ms;
        let sight = self.drains.get(name);
        let overdue =
            sight.is_some_and(|sight| view.now_ms >= end_ms.max(sight.seen_ms + MIN_ACK_MS));
        if !overdue || *purpose == DrainPurpose::Hold {
            return None;
        }
        let entries = self.blockers(view, name);
        let names: Vec<_> = entries.iter().map(EntryName::as_str).collect();
        let text = format!("postponed, in use by {}", names.join(","));
        let stop = PostponedStop {
            until_ms: view.now_ms + limit_ms.max(SECOND_MS),
            entries,
        };
        self.postponed.insert(name.clone(), stop);
        Some(state_change(view, name, vm, VmState::Serving, text))
    }
}

fn end_drain(
    view: &StepView<'_>,
    name: &VmName,
    vm: &VmRecord,
    purpose: &DrainPurpose,
) -> Option<VmChange> {
    let change = match purpose {
        DrainPurpose::Maintain(operation) => {
            // If the row is missing, `ledger_writes` adds it again; until then, the VM
            // stays draining.
            let row = view.ledgers.get(&vm.pool)?.rows.get(name)?;
            if row.cause != OutageCause::Planned(operation.clone()) {
                return None;
            }
            let stopped = VmState::Stopped(operation.clone());
            VmChange {
                operation: Some(operation.clone()),
                ..state_change(view, name, vm, stopped, "")
            }
        }
        DrainPurpose::Move(pool) => VmChange {
            next: Some(VmRecord {
                pool: pool.clone(),
                ..with_state(view, vm, VmState::Serving)
            }),
            ..state_change(view, name, vm, VmState::Serving, "moved")
        },
        DrainPurpose::Hold => state_change(view, name, vm, VmState::Held, ""),
        DrainPurpose::Leave => return None,
    };
    Some(VmChange {
        in_progress: Some(in_progress(view, name)),
        ..change
    })
}

/// Returns the reason to cancel a drain; none if the drain continues.
fn cancel_reason(
    view: &StepView<'_>,
    context: &mut StepContext,
    name: &VmName,
    vm: &VmRecord,
    purpose: &DrainPurpose,
) -> Option<&'static str> {
    let over_budget = |context: &mut StepContext| {
        let excess = ledger_pool(vm).and_then(|pool| context.excess.get_mut(pool));
        let excess = excess.filter(|excess| **excess > 0);
        excess.map(|excess| {
            *excess -= 1;
            "over budget"
        })
    };
    match purpose {
        DrainPurpose::Maintain(_) if !wave::is_due(view, vm) => Some("wave not running"),
        DrainPurpose::Maintain(_) => over_budget(context),
        DrainPurpose::Move(pool) if view.home_pools.get(name) != Some(pool) => {
            Some("move called off")
        }
        DrainPurpose::Move(_) => over_budget(context),
        DrainPurpose::Hold if !view.config.drains.contains_key(name) => Some("hold ended"),
        DrainPurpose::Hold | DrainPurpose::Leave => None,
    }
}

/// Returns the number of VMs by which each pool exceeds its budget.
pub(super) fn budget_excess(view: &StepView<'_>) -> BTreeMap<PoolName, usize> {
    let excess = view.ledgers.iter().map(|(pool, ledger)| {
        let out = out_of_service(view, pool, ledger);
        (pool.clone(), out.saturating_sub(budget_of(view, pool)))
    });
    excess.collect()
}
