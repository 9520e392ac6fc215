//! Decides which ledger rows are kept, added and removed, and which outages may
//! start.

use std::borrow::Cow;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::ControllerAction;
use super::ControllerState;
use super::StepView;
use super::draft::ledger_pool;
use super::wave;
use crate::decide::planner::WaveView;
use crate::decide::planner::next_stops;
use crate::fleet::DrainPurpose;
use crate::fleet::FleetRecord;
use crate::fleet::LedgerRow;
use crate::fleet::OutageCause;
use crate::fleet::PoolLedger;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;

/// A planned outage that the configuration or the wave asks for on a serving VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutagePurpose<'a> {
    Maintain,
    Move(&'a PoolName),
    Hold,
}

impl OutagePurpose<'_> {
    /// Returns the start of the identifier of an operation for the outage.
    fn prefix(self) -> &'static str {
        match self {
            Self::Maintain => "maintain",
            Self::Move(_) => "move",
            Self::Hold => "hold",
        }
    }

    /// Returns the pool whose budget the outage counts against.
    fn pool<'a>(&'a self, vm: &'a VmRecord) -> &'a PoolName {
        match self {
            Self::Move(pool) => pool,
            _ => &vm.pool,
        }
    }

    /// Returns the purpose of the drain that begins the outage.
    pub fn drain_purpose(self, operation: &OperationId) -> DrainPurpose {
        match self {
            Self::Maintain => DrainPurpose::Maintain(operation.clone()),
            Self::Move(pool) => DrainPurpose::Move(pool.clone()),
            Self::Hold => DrainPurpose::Hold,
        }
    }
}

/// Returns the planned outage that a VM is due for; none if the VM does not serve.
///
/// A hold comes before a move, and a move before maintenance.
pub(super) fn due_outage<'a>(
    view: &StepView<'a>,
    name: &VmName,
    vm: &VmRecord,
) -> Option<OutagePurpose<'a>> {
    let home = view.home_pools.get(name)?;
    if !vm.state.is_serving() || view.listed.get(name).is_some_and(|listed| listed.leaving) {
        return None;
    }
    if view.config.drains.contains_key(name) {
        return Some(OutagePurpose::Hold);
    }
    if *home != vm.pool {
        return Some(OutagePurpose::Move(home));
    }
    wave::is_due(view, vm).then_some(OutagePurpose::Maintain)
}

/// Returns the number of VMs of a pool that count as out of service: those with a
/// ledger row, and those of data centres that no longer refresh their roster.
pub(super) fn out_of_service(view: &StepView<'_>, pool: &PoolName, ledger: &PoolLedger) -> usize {
    let vms = view.config.pools.get(pool).map(|pool| &pool.vms);
    let stale = vms.into_iter().flatten();
    let stale =
        stale.filter(|vm| view.stale_dc_vms.contains(*vm) && !ledger.rows.contains_key(*vm));
    ledger.rows.len() + stale.count()
}

/// Returns the maximum number of VMs of a pool that may be out of service at once.
pub(super) fn budget_of(view: &StepView<'_>, pool: &PoolName) -> usize {
    let pool = view.config.pools.get(pool);
    pool.map_or(0, |pool| pool.budget as usize)
}

impl ControllerState {
    /// Returns the writes that make the ledgers agree with the fleet record and that
    /// add rows for the outages to be started.
    pub(super) fn ledger_writes(&mut self, view: &StepView<'_>) -> Vec<ControllerAction> {
        let mut next = view.ledgers.clone();
        for (pool, ledger) in &mut next {
            let is_needed = |vm: &VmName| self.is_row_needed(view, pool, vm);
            ledger
                .rows
                .retain(|vm, row| row.dc != *view.dc || is_needed(vm));
        }
        for (name, vm) in &view.fleet.vms {
            if let Some(pool) = ledger_pool(vm) {
                let ledger = next.entry(pool.clone()).or_default();
                set_outage_row(view, ledger, name, vm);
            }
        }
        self.start_outages(view, &mut next);
        let empty = PoolLedger::default();
        let changed = next.into_iter().filter(|(pool, ledger)| {
            let before = view.ledgers.get(pool).unwrap_or(&empty);
            ledger != before
        });
        let writes = changed.map(|(pool, ledger)| ControllerAction::WriteLedger { pool, ledger });
        writes.collect()
    }

    /// Returns whether a VM needs its row in the ledger of a pool: it is out of service
    /// there, or the row allows its drain to begin.
    fn is_row_needed(&self, view: &StepView<'_>, pool: &PoolName, name: &VmName) -> bool {
        let Some(vm) = view.fleet.vms.get(name) else {
            return false;
        };
        ledger_pool(vm) == Some(pool) || self.allowed_drain(view, pool, name, vm).is_some()
    }

    /// Returns the drain that a row allows to begin; none if the row allows none.
    ///
    /// Only rows written in this term count: writing one has changed the ledger, so
    /// a late write of a former controller fails and cannot remove it. For the same
    /// reason, no row counts while the result of a write of this term to the ledger
    /// is unknown, because that write could still remove it.
    pub(super) fn allowed_drain(
        &self,
        view: &StepView<'_>,
        pool: &PoolName,
        name: &VmName,
        vm: &VmRecord,
    ) -> Option<DrainPurpose> {
        let ledger = view.ledgers.get(pool)?;
        let row = ledger.rows.get(name).filter(|row| row.dc == *view.dc)?;
        let OutageCause::Planned(operation) = &row.cause else {
            return None;
        };
        let usable = self.issued_operations.contains(operation)
            && !self.unknown_writes.contains(pool)
            && !self.postponed.contains_key(name)
            && row.since_ms > vm.since_ms
            && out_of_service(view, pool, ledger) <= budget_of(view, pool);
        let purpose = due_outage(view, name, vm).filter(|purpose| purpose.pool(vm) == pool)?;
        usable.then(|| purpose.drain_purpose(operation))
    }

    /// Adds rows for the outages that are due, within the budgets.
    fn start_outages(&mut self, view: &StepView<'_>, next: &mut BTreeMap<PoolName, PoolLedger>) {
        for name in self.outage_order(view) {
            let Some(vm) = view.fleet.vms.get(&name) else {
                continue;
            };
            let Some(purpose) = due_outage(view, &name, vm) else {
                continue;
            };
            let mut ledgers = view.ledgers.values();
            let has_row = ledgers.any(|ledger| ledger.rows.contains_key(&name));
            if has_row || self.postponed.contains_key(&name) {
                continue;
            }
            let pool = purpose.pool(vm);
            let ledger = next.entry(pool.clone()).or_default();
            if out_of_service(view, pool, ledger) >= budget_of(view, pool) {
                continue;
            }
            let operation = operation_id(view, purpose.prefix(), &name);
            self.issued_operations.extend(operation.clone());
            let row = operation.map(|operation| LedgerRow {
                dc: view.dc.clone(),
                cause: OutageCause::Planned(operation),
                since_ms: view.now_ms.max(vm.since_ms + 1),
            });
            ledger.rows.extend(row.map(|row| (name, row)));
        }
    }

    /// Returns the VMs that are due for an outage: first holds and moves, then the
    /// stops of the wave in the order that the planner gives.
    fn outage_order(&self, view: &StepView<'_>) -> Vec<VmName> {
        let requested = view.fleet.vms.iter().filter(|(name, vm)| {
            let purpose = due_outage(view, name, vm);
            matches!(purpose, Some(OutagePurpose::Hold | OutagePurpose::Move(_)))
        });
        let mut order: Vec<_> = requested.map(|(name, _)| name.clone()).collect();
        if wave::is_running(view) {
            let fleet = self.without_postponed(view);
            let stops = next_stops(&WaveView {
                config: view.config,
                fleet: &fleet,
                ledgers: view.ledgers,
                stale_dc_vms: view.stale_dc_vms,
                now_ms: view.now_ms,
            });
            order.extend(stops);
        }
        order
    }

    /// Returns the record with postponed VMs marked as already maintained, so that
    /// the planner chooses others.
    fn without_postponed<'a>(&self, view: &StepView<'a>) -> Cow<'a, FleetRecord> {
        if self.postponed.is_empty() {
            return Cow::Borrowed(view.fleet);
        }
        let mut fleet = view.fleet.clone();
        for (name, vm) in &mut fleet.vms {
            if self.postponed.contains_key(name) {
                vm.maintained_ms = u64::MAX;
            }
        }
        Cow::Owned(fleet)
    }
}

/// Adds or corrects the ledger row of a VM that is out of service.
///
/// A hold or a move keeps the operation of its planned row, if it has one.
fn set_outage_row(view: &StepView<'_>, ledger: &mut PoolLedger, name: &VmName, vm: &VmRecord) {
    let current = ledger.rows.get(name);
    let planned = current.filter(|row| matches!(row.cause, OutageCause::Planned(_)));
    let cause = match &vm.state {
        VmState::Draining(DrainPurpose::Maintain(operation)) | VmState::Stopped(operation) => {
            Some(OutageCause::Planned(operation.clone()))
        }
        VmState::Draining(DrainPurpose::Hold | DrainPurpose::Move(_)) | VmState::Held => {
            let kept = planned.map(|row| row.cause.clone());
            let new = || operation_id(view, "hold", name).map(OutageCause::Planned);
            kept.or_else(new)
        }
        _ => Some(OutageCause::Failed),
    };
    let Some(cause) = cause.filter(|cause| current.is_none_or(|row| row.cause != *cause)) else {
        return;
    };
    let row = LedgerRow {
        dc: view.dc.clone(),
        cause,
        since_ms: vm.since_ms,
    };
    ledger.rows.insert(name.clone(), row);
}

/// Returns a unique operation identifier: it contains the epoch and the sequence of
/// the fleet record, and a hash of the data centre, the VM and the time.
fn operation_id(view: &StepView<'_>, prefix: &str, vm: &VmName) -> Option<OperationId> {
    let seed = format!("{}/{vm}/{}", view.dc, view.now_ms);
    let hash = xxh3_64(seed.as_bytes());
    let (epoch, sequence) = (view.fleet.epoch, view.fleet.sequence);
    // At any realistic epoch and sequence, the result is far below the length limit
    // of names, so it parses.
    format!("{prefix}-{epoch}-{sequence}-{hash:016x}")
        .parse()
        .ok()
}
