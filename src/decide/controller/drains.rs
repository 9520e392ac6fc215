//! Drains: how they end, are given up, or are postponed.

use std::collections::BTreeMap;

use super::ControllerState;
use super::PostponedStop;
use super::StepView;
use super::changes::SECOND_MS;
use super::changes::StepFacts;
use super::changes::enter;
use super::changes::entered;
use super::changes::is_leaving;
use super::changes::removal;
use super::draft::VmChange;
use super::draft::row_pool;
use super::quiet::in_progress;
use super::rows::budget_of;
use super::rows::out_of_service;
use super::wave;
use crate::fleet::DrainPurpose;
use crate::fleet::OutageCause;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::EntryName;
use crate::names::PoolName;
use crate::names::VmName;

impl ControllerState {
    pub(super) fn follow_drain(
        &mut self,
        view: &StepView<'_>,
        facts: &mut StepFacts,
        name: &VmName,
        vm: &VmRecord,
        purpose: &DrainPurpose,
    ) -> Option<VmChange> {
        let quiet = self.is_quiet(view, name);
        if *purpose == DrainPurpose::Leave {
            return self.follow_leave(view, quiet, name, vm);
        }
        if let Some(reason) = facts.lost.get(name) {
            return Some(enter(view, name, vm, VmState::Failed, *reason));
        }
        if is_leaving(view, name) {
            let leave = VmState::Draining(DrainPurpose::Leave);
            return Some(enter(view, name, vm, leave, "listed as leaving"));
        }
        if let Some(reason) = cancel_reason(view, facts, name, vm, purpose) {
            return Some(enter(view, name, vm, VmState::Serving, reason));
        }
        if quiet {
            return end_drain(view, name, vm, purpose);
        }
        self.postpone(view, name, vm, purpose)
    }

    fn follow_leave(
        &self,
        view: &StepView<'_>,
        quiet: bool,
        name: &VmName,
        vm: &VmRecord,
    ) -> Option<VmChange> {
        let home = view.homes.get(name);
        if home.is_some() && !is_leaving(view, name) && view.listed.contains_key(name) {
            return Some(enter(view, name, vm, VmState::Serving, "no longer leaving"));
        }
        if home.is_none() && (quiet || self.is_gone(name)) {
            return Some(VmChange {
                in_progress: Some(in_progress(view, name)),
                ..removal(name, "in no pool")
            });
        }
        let gone = self.is_gone(name);
        gone.then(|| enter(view, name, vm, VmState::Failed, "gone"))
    }

    /// Puts a VM back into service whose drain takes too long.
    fn postpone(
        &mut self,
        view: &StepView<'_>,
        name: &VmName,
        vm: &VmRecord,
        purpose: &DrainPurpose,
    ) -> Option<VmChange> {
        let limit_ms = view.config.maintenance.drain_limit_s * SECOND_MS;
        let late = view.now_ms >= vm.since_ms + limit_ms;
        if !late || *purpose == DrainPurpose::Hold {
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
        Some(enter(view, name, vm, VmState::Serving, text))
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
            // The row may have been lost; it is entered again before the stop.
            let row = view.ledgers.get(&vm.pool)?.rows.get(name)?;
            if row.cause != OutageCause::Planned(operation.clone()) {
                return None;
            }
            let stopped = VmState::Stopped(operation.clone());
            VmChange {
                operation: Some(operation.clone()),
                ..enter(view, name, vm, stopped, "")
            }
        }
        DrainPurpose::Move(pool) => VmChange {
            next: Some(VmRecord {
                pool: pool.clone(),
                ..entered(view, vm, VmState::Serving)
            }),
            ..enter(view, name, vm, VmState::Serving, "moved")
        },
        DrainPurpose::Hold => enter(view, name, vm, VmState::Held, ""),
        DrainPurpose::Leave => return None,
    };
    Some(VmChange {
        in_progress: Some(in_progress(view, name)),
        ..change
    })
}

/// Tells why a drain is to be given up; none if it goes on.
fn cancel_reason(
    view: &StepView<'_>,
    facts: &mut StepFacts,
    name: &VmName,
    vm: &VmRecord,
    purpose: &DrainPurpose,
) -> Option<&'static str> {
    let over_budget = |facts: &mut StepFacts| {
        let excess = row_pool(vm).and_then(|pool| facts.excess.get_mut(pool));
        let excess = excess.filter(|excess| **excess > 0);
        excess.map(|excess| {
            *excess -= 1;
            "over budget"
        })
    };
    match purpose {
        DrainPurpose::Maintain(_) if !wave::is_due(view, vm) => Some("wave not running"),
        DrainPurpose::Maintain(_) => over_budget(facts),
        DrainPurpose::Move(pool) if view.homes.get(name) != Some(pool) => Some("move called off"),
        DrainPurpose::Move(_) => over_budget(facts),
        DrainPurpose::Hold if !view.config.drains.contains_key(name) => Some("hold ended"),
        DrainPurpose::Hold | DrainPurpose::Leave => None,
    }
}

/// Returns by how many VMs each pool is over its budget.
pub(super) fn excess_of(view: &StepView<'_>) -> BTreeMap<PoolName, usize> {
    let excess = view.ledgers.iter().map(|(pool, ledger)| {
        let out = out_of_service(view, pool, ledger);
        (pool.clone(), out.saturating_sub(budget_of(view, pool)))
    });
    excess.collect()
}
