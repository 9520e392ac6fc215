//! Decisions of the controller of a data centre.
//!
//! A planned stop is a sequence of steps. Each step is taken only after the result
//! of the one before has been read back from the platform:
//!
//! 1. Add a row to the pool's ledger, if it has fewer rows than the pool's budget.
//! 2. Set the VM to `Draining` in the fleet record.
//! 3. Set the VM to `Stopped` under the operation that the row names, once every
//!    entry VM has acknowledged the drain and has no request in progress on the VM.
//! 4. Call the platform to carry out the operation; the call is idempotent.
//! 5. Set the VM to `Serving`, once the operation is done and the VM answers probes.
//! 6. Remove the row.
//!
//! Every step is decided from the stored records, so a new controller continues
//! where the former one stopped. [`ControllerState`] is kept in memory and is lost
//! at the end of the term. The next controller therefore waits for new
//! acknowledgements of drains, and removes rows whose drain has not begun.
//!
//! A former controller that was paused and then resumes cannot do harm:
//!
//! - Its writes to the fleet record fail, because the claim of the new controller
//!   has changed the record.
//! - It does not decide on ledger rows of its successor, because it reads the record
//!   after each read of the ledgers and so sees the claim. The successor does not
//!   use rows that the former controller wrote but did not act on. Hence no late
//!   ledger write of a former controller can remove a row on which a stop depends.
//! - It calls the platform only with the operation that the record names, and a VM
//!   serves again only after that operation has ended at the platform.

mod acks;
mod changes;
mod draft;
mod drains;
mod ledger_rows;
mod observations;
mod wave;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::FleetConfig;
use crate::fleet::FleetRecord;
use crate::fleet::PoolLedger;
use crate::fleet::VmState;
use crate::names::DcName;
use crate::names::EntryName;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::platform::ListedVm;
use crate::platform::OperationKind;
use crate::platform::OperationState;

use draft::RecordDraft;
use observations::DrainSight;
use observations::ProbeCount;

/// Input of one step of the controller.
#[derive(Clone, Copy, Debug)]
pub struct StepView<'a> {
    /// Data centre of the controller.
    pub dc: &'a DcName,
    /// Entry VM that is the controller; audit rows name it as their author.
    pub author: &'a EntryName,
    /// Configuration in force.
    pub config: &'a FleetConfig,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Home pool of each VM; see [`home_pools_of`].
    pub home_pools: &'a BTreeMap<VmName, PoolName>,
    /// The fleet record as read.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools as read.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// VMs of the data centre as the platform lists them.
    pub listed: &'a BTreeMap<VmName, ListedVm>,
    /// Last acknowledgement of each entry VM that may be serving.
    pub acks: &'a BTreeMap<EntryName, EntryAck>,
    /// VMs of data centres that no longer refresh their roster; they count as out
    /// of service.
    pub stale_dc_vms: &'a BTreeSet<VmName>,
    /// Sequence of the last audit row that has been moved to a segment.
    pub moved_sequence: u64,
    /// Time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// An action for the controller's service to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Replace the ledger of a pool if it has not changed since it was read.
    WriteLedger {
        /// Pool that the ledger belongs to.
        pool: PoolName,
        /// New ledger with all rows of the pool.
        ledger: PoolLedger,
    },
    /// Replace the fleet record if it has not changed since it was read.
    WriteFleet(Box<FleetRecord>),
    /// Start an operation at the platform, or query its state if it has started.
    Operate {
        /// VM that the operation is carried out on.
        vm: VmName,
        /// Identifier of the operation in the fleet record.
        operation: OperationId,
        /// What the platform does to the VM.
        kind: OperationKind,
    },
}

/// Result of a compare-and-swap on the fleet record or a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The write failed because the value had changed since it was read.
    Conflict,
    /// The result is not known: the write may have taken effect, or may still do so.
    Unknown,
}

/// State that a controller keeps in memory during its term.
#[derive(Clone, Debug, Default)]
pub struct ControllerState {
    /// When this term first saw each drain.
    drains: BTreeMap<VmName, DrainSight>,
    /// Postponed stops by VM.
    postponed: BTreeMap<VmName, PostponedStop>,
    /// Last state of each operation that the platform has reported in this term.
    operation_states: BTreeMap<OperationId, OperationState>,
    /// Consecutive probe results of each VM.
    probe_counts: BTreeMap<VmName, ProbeCount>,
    /// Number of consecutive VM lists from the platform that lacked each VM.
    missing_counts: BTreeMap<VmName, u32>,
    /// Operations for which this term has written ledger rows.
    issued_operations: BTreeSet<OperationId>,
    /// Pools with a ledger write of unknown result, which may still take effect.
    unknown_writes: BTreeSet<PoolName>,
    /// Entry VMs that have ejected each VM because it fails requests.
    ejected_by: BTreeMap<VmName, BTreeSet<EntryName>>,
}

/// A planned move or stop that was postponed because entry VMs still used the VM at
/// the drain limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PostponedStop {
    /// When the VM may be drained again, in milliseconds since the Unix epoch; other
    /// VMs are stopped first.
    pub until_ms: u64,
    /// Entry VMs that did not answer or had requests in progress on the VM.
    pub entries: Vec<EntryName>,
}

impl ControllerState {
    /// Returns the actions to execute now, in order.
    ///
    /// Each action depends only on the records in `view`, not on the success of the
    /// actions before it. So any of them may fail or be skipped; the next step
    /// decides from records that were read afterwards.
    pub fn step(&mut self, view: &StepView<'_>) -> Vec<ControllerAction> {
        self.update_from_record(view);
        let mut actions = self.ledger_writes(view);
        let record = self.next_record(view);
        actions.extend(record.map(|record| ControllerAction::WriteFleet(Box::new(record))));
        actions.extend(open_operations(view.fleet));
        actions
    }

    fn next_record(&mut self, view: &StepView<'_>) -> Option<FleetRecord> {
        let mut draft = RecordDraft::new(view);
        draft.drop_moved_rows(view.moved_sequence);
        self.add_listed_vms(view, &mut draft);
        wave::start(view, &mut draft);
        self.change_vms(view, &mut draft);
        self.drop_ended_operations(&mut draft);
        wave::finish(view, &mut draft);
        acks::update_config_version(view, &mut draft);
        draft.finish()
    }

    /// Removes operations of failed VMs from the record once they have ended at the
    /// platform.
    fn drop_ended_operations(&self, draft: &mut RecordDraft<'_>) {
        let ended = draft.record.unfinished.iter();
        let ended = ended.filter(|(_, operation)| self.has_ended(operation));
        let ended: Vec<_> = ended.map(|(vm, _)| vm.clone()).collect();
        for vm in ended {
            draft.record.unfinished.remove(&vm);
            draft.changed = true;
        }
    }

    fn has_ended(&self, operation: &OperationId) -> bool {
        let state = self.operation_states.get(operation);
        matches!(state, Some(OperationState::Done | OperationState::Failed))
    }

    /// Returns whether the ledgers have to be read again because a serving VM is due
    /// for a planned outage.
    #[must_use]
    pub fn needs_fresh_ledgers(&self, view: &StepView<'_>) -> bool {
        let serving = view.fleet.vms.iter();
        let mut serving = serving.filter(|(_, vm)| vm.state.is_serving());
        serving.any(|(name, vm)| ledger_rows::due_outage(view, name, vm).is_some())
    }

    /// Returns the postponed stops by VM.
    #[must_use]
    pub fn postponed(&self) -> &BTreeMap<VmName, PostponedStop> {
        &self.postponed
    }

    /// Returns, for each draining VM, the entry VMs that its drain still waits for.
    #[must_use]
    pub fn drain_blockers(&self, view: &StepView<'_>) -> BTreeMap<VmName, Vec<EntryName>> {
        let vms = view.fleet.vms.iter();
        let draining = vms.filter(|(_, vm)| matches!(vm.state, VmState::Draining(_)));
        let blockers = draining.map(|(name, _)| (name.clone(), self.blockers(view, name)));
        blockers.collect()
    }
}

/// Returns a platform call for each open operation in the record: those of stopped
/// VMs, and those that had not ended when their VM failed.
fn open_operations(fleet: &FleetRecord) -> impl Iterator<Item = ControllerAction> + '_ {
    let stopped = fleet.vms.iter().filter_map(|(vm, record)| {
        let VmState::Stopped(operation) = &record.state else {
            return None;
        };
        Some((vm, operation))
    });
    let open = stopped.chain(&fleet.unfinished);
    open.map(|(vm, operation)| ControllerAction::Operate {
        vm: vm.clone(),
        operation: operation.clone(),
        kind: OperationKind::Reboot,
    })
}

/// Returns the home pool of each VM, which is the pool that lists it in `config`.
#[must_use]
pub fn home_pools_of(config: &FleetConfig) -> BTreeMap<VmName, PoolName> {
    let pools = config.pools.iter();
    let home_pools =
        pools.flat_map(|(name, pool)| pool.vms.iter().map(|vm| (vm.clone(), name.clone())));
    home_pools.collect()
}
