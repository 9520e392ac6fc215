//! What the controller of a data centre does next.
//!
//! A planned stop goes through these writes, each made only once the one before
//! is seen in the platform's service:
//!
//! 1. a row in the pool's ledger, while the rows are fewer than the budget,
//! 2. the VM `Draining` in the fleet record,
//! 3. the VM `Stopped` under the operation of the row, once every entry VM has
//!    acknowledged the drain with nothing in progress on the VM,
//! 4. the operation at the platform; repeating it has no effect,
//! 5. the VM `Serving`, once the operation is done and the VM answers,
//! 6. the row removed.
//!
//! Every step is decided from the records as read, so the next controller goes
//! on wherever one has stopped. What [`ControllerState`] holds besides is lost
//! with the term; without it, drains are acknowledged again and rows whose drain
//! had not begun are removed.
//!
//! A paused former controller cannot do harm. Its writes to the record fail,
//! because taking over changes the record. Each reading of the ledgers is followed
//! by a reading of the record, so it never decides on rows of its successor; and a
//! row that it wrote and did not use is not used by the successor. So no write that
//! it may still make to a ledger takes away a row that a stop depends on. It calls the platform only with the
//! operation that the record names, and a VM serves again only when that
//! operation has ended there.

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
use observations::ProbeCount;

/// What the controller sees.
#[derive(Clone, Copy, Debug)]
pub struct StepView<'a> {
    /// Data centre of the controller.
    pub dc: &'a DcName,
    /// Entry VM that is the controller.
    pub author: &'a EntryName,
    /// Configuration in force.
    pub config: &'a FleetConfig,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Pool that the configuration gives each VM; see [`home_pools_of`].
    pub home_pools: &'a BTreeMap<VmName, PoolName>,
    /// The fleet record as read.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools as read.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// VMs of the data centre as the platform lists them.
    pub listed: &'a BTreeMap<VmName, ListedVm>,
    /// Last acknowledgement of each entry VM that may be serving.
    pub acks: &'a BTreeMap<EntryName, EntryAck>,
    /// VMs of other data centres that count as out of service.
    pub stale_dc_vms: &'a BTreeSet<VmName>,
    /// Sequence up to which audit rows stand in segments.
    pub moved_sequence: u64,
    /// Time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// What the controller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerAction {
    /// Write a pool's ledger over the one that was read.
    WriteLedger {
        /// Pool.
        pool: PoolName,
        /// All its rows.
        ledger: PoolLedger,
    },
    /// Write the fleet record over the one that was read.
    WriteFleet(Box<FleetRecord>),
    /// Start an operation at the platform, or ask how far it has come.
    Operate {
        /// VM.
        vm: VmName,
        /// Identifier, as the record names it.
        operation: OperationId,
        /// Kind.
        kind: OperationKind,
    },
}

/// End of a write to a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// Another write came first.
    Conflict,
    /// It may have taken effect or may still do so.
    Unknown,
}

/// What a controller remembers during its term.
#[derive(Clone, Debug, Default)]
pub struct ControllerState {
    /// Sequence of the record in which a drain was first seen.
    drain_sequences: BTreeMap<VmName, u64>,
    /// VMs whose stop was postponed.
    postponed: BTreeMap<VmName, PostponedStop>,
    /// States of operations as the platform told them in this term.
    operation_states: BTreeMap<OperationId, OperationState>,
    /// Results of probes.
    probe_counts: BTreeMap<VmName, ProbeCount>,
    /// Readings of the list in a row that lacked a VM.
    missing_counts: BTreeMap<VmName, u32>,
    /// Operations for which this term wrote rows.
    issued_operations: BTreeSet<OperationId>,
    /// Pools with a write to the ledger that may still take effect.
    unknown_writes: BTreeSet<PoolName>,
    /// Entry VMs that report each VM as failing.
    ejected_by: BTreeMap<VmName, BTreeSet<EntryName>>,
}

/// A stop that was postponed because entry VMs did not let go of the VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PostponedStop {
    /// Until when other VMs are taken first, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Entry VMs that did not answer or had work in progress.
    pub entries: Vec<EntryName>,
}

impl ControllerState {
    /// Returns what is to be done now, in this order.
    ///
    /// Each action depends only on records as read, so any of them may fail or be
    /// left out; the next step starts from what was read after them.
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

    /// Drops operations of failed VMs that have ended at the platform.
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

    /// Tells whether fresh ledgers could let a planned outage start.
    #[must_use]
    pub fn needs_fresh_ledgers(&self, view: &StepView<'_>) -> bool {
        let serving = view.fleet.vms.iter();
        let mut serving = serving.filter(|(_, vm)| vm.state.takes_work());
        serving.any(|(name, vm)| ledger_rows::wanted_outage(view, name, vm).is_some())
    }

    /// Returns the stops that were postponed.
    #[must_use]
    pub fn postponed(&self) -> &BTreeMap<VmName, PostponedStop> {
        &self.postponed
    }

    /// Returns, for each draining VM, the entry VMs that it waits for.
    #[must_use]
    pub fn drain_blockers(&self, view: &StepView<'_>) -> BTreeMap<VmName, Vec<EntryName>> {
        let vms = view.fleet.vms.iter();
        let draining = vms.filter(|(_, vm)| matches!(vm.state, VmState::Draining(_)));
        let blockers = draining.map(|(name, _)| (name.clone(), self.blockers(view, name)));
        blockers.collect()
    }
}

/// Returns the operations that the record names.
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

/// Returns the pool that the configuration gives each VM.
#[must_use]
pub fn home_pools_of(config: &FleetConfig) -> BTreeMap<VmName, PoolName> {
    let pools = config.pools.iter();
    let home_pools =
        pools.flat_map(|(name, pool)| pool.vms.iter().map(|vm| (vm.clone(), name.clone())));
    home_pools.collect()
}
