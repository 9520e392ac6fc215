//! Histories of the controller's decisions against a simulated platform.
//!
//! Two controllers are paused, replaced and killed between any two actions; answers
//! are lost, and writes take effect late. Throughout, each VM under a planned stop must
//! have its ledger row, no VM may serve two pools, no VM may be stopped in use, and
//! every change of state must have its audit row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicorygauge::audit::AuditRow;
use chicorygauge::audit::MAX_OUTBOX_ROWS;
use chicorygauge::audit::find_chain_break;
use chicorygauge::config::FleetConfig;
use chicorygauge::config::MaintenanceRules;
use chicorygauge::config::PoolConfig;
use chicorygauge::config::WaveRequest;
use chicorygauge::decide::controller::ControllerAction;
use chicorygauge::decide::controller::ControllerState;
use chicorygauge::decide::controller::StepView;
use chicorygauge::decide::controller::WriteOutcome;
use chicorygauge::decide::controller::home_pools_of;
use chicorygauge::fleet::DrainPurpose;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::OutageCause;
use chicorygauge::fleet::PoolLedger;
use chicorygauge::fleet::VmState;
use chicorygauge::names::EntryName;
use chicorygauge::names::OperationId;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use chicorygauge::peer::EntryAck;
use chicorygauge::platform::ListedVm;
use chicorygauge::platform::OperationState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VMS: usize = 6;
const ENTRIES: usize = 2;
/// Number of audit rows that are moved to a segment together.
const MOVE_BATCH_ROWS: u64 = 100;
const POOLS: [&str; 2] = ["a", "b"];

/// What becomes of a call to the platform and of its answer.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    AnswerLost,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum HistoryEvent {
    /// A controller claims the fleet record.
    Claim(usize),
    /// A controller decides on its actions; with `true` it first reads all records again.
    Decide(usize, bool),
    /// A controller executes its next action.
    Execute(usize, CallOutcome),
    /// A controller runs a whole round without disturbance.
    RunRound(usize),
    /// A controller loses its state.
    Crash(usize),
    /// The oldest delayed call takes effect.
    DeliverCall,
    /// An entry VM puts the stored fleet record in force.
    ApplyRecord(usize),
    /// An entry VM acknowledges its fleet record and its requests in progress.
    Acknowledge(usize),
    /// All entry VMs put the stored fleet record in force and acknowledge it.
    SyncEntries,
    /// An entry VM sends a request to a VM, if its record allows it.
    StartRequest(usize, usize),
    /// The request of an entry VM on a VM ends.
    EndRequest(usize, usize),
    /// A VM stops answering.
    FailVm(usize),
    /// Both VMs of a rack stop answering.
    FailRack(usize),
    /// A VM answers again.
    RecoverVm(usize),
    /// The running operations on a VM end, with success if `true`.
    EndOperation(usize, bool),
    /// The budget of a pool changes.
    SetBudget(usize, u32),
    /// Operators start a new wave (`true`) or pause the current one.
    SetWave(bool),
    /// Operators resume the current wave.
    ResumeWave,
    /// Operators hold a VM or end its hold.
    ToggleHold(usize),
    /// The home pool of a VM changes to the other pool.
    ToggleHome(usize),
    /// The platform lists a VM as leaving, or no longer so.
    ToggleLeaving(usize),
    /// Time advances by this many seconds.
    AdvanceTime(u64),
}

fn events() -> impl Strategy<Value = Vec<HistoryEvent>> {
    use HistoryEvent as E;
    let outcome = prop_oneof![
        4 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::Delayed),
    ];
    let event = prop_oneof![
        2 => (0..2usize).prop_map(E::Claim),
        8 => (0..2usize, any::<bool>()).prop_map(|(c, fresh)| E::Decide(c, fresh)),
        12 => (0..2usize, outcome).prop_map(|(c, outcome)| E::Execute(c, outcome)),
        12 => (0..2usize).prop_map(E::RunRound),
        1 => (0..2usize).prop_map(E::Crash),
        2 => Just(E::DeliverCall),
        4 => (0..ENTRIES).prop_map(E::ApplyRecord),
        4 => (0..ENTRIES).prop_map(E::Acknowledge),
        8 => Just(E::SyncEntries),
        8 => (0..ENTRIES, 0..VMS).prop_map(|(e, vm)| E::StartRequest(e, vm)),
        8 => (0..ENTRIES, 0..VMS).prop_map(|(e, vm)| E::EndRequest(e, vm)),
        1 => (0..VMS).prop_map(E::FailVm),
        1 => (0..VMS / 2).prop_map(E::FailRack),
        2 => (0..VMS).prop_map(E::RecoverVm),
        6 => (0..VMS, prop::bool::weighted(0.8)).prop_map(|(vm, ok)| E::EndOperation(vm, ok)),
        2 => (0..2usize, 0..3u32).prop_map(|(pool, budget)| E::SetBudget(pool, budget)),
        2 => prop::bool::weighted(0.8).prop_map(E::SetWave),
        2 => Just(E::ResumeWave),
        1 => (0..VMS).prop_map(E::ToggleHold),
        1 => (0..VMS).prop_map(E::ToggleHome),
        1 => (0..VMS).prop_map(E::ToggleLeaving),
        2 => prop_oneof![Just(1), Just(20), Just(70)].prop_map(E::AdvanceTime),
    ];
    prop::collection::vec(event, 20..160)
}

fn vm(index: usize) -> VmName {
    format!("vm-{index}").parse().expect("name")
}

fn pool(index: usize) -> PoolName {
    POOLS[index].parse().expect("name")
}

fn entry(index: usize) -> EntryName {
    format!("e-{index}").parse().expect("name")
}

/// A call to the platform that has been sent and has not taken effect yet.
#[derive(Clone)]
enum PendingCall {
    Ledger(PoolName, u64, PoolLedger),
    Fleet(u64, Box<FleetRecord>),
    Operate(VmName, OperationId),
}

/// A controller from its claim of the fleet record on, with the records that it knows.
#[derive(Default)]
struct ControllerTerm {
    nonce: u64,
    state: ControllerState,
    fleet: FleetRecord,
    fleet_revision: u64,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    revisions: BTreeMap<PoolName, u64>,
    stale: bool,
    actions: VecDeque<ControllerAction>,
}

/// An entry VM with the fleet record that it has in force.
#[derive(Default)]
struct EntryVm {
    fleet: FleetRecord,
    in_use: BTreeMap<VmName, u32>,
    ack: EntryAck,
}

/// The simulation: the stored records, the VMs, the entry VMs and two controllers.
#[derive(Default)]
struct World {
    now_ms: u64,
    revision: u64,
    fleet: FleetRecord,
    fleet_revision: u64,
    ledgers: BTreeMap<PoolName, (u64, PoolLedger)>,
    operations: BTreeMap<(VmName, OperationId), OperationState>,
    listed: BTreeMap<VmName, ListedVm>,
    down: BTreeSet<VmName>,
    config: FleetConfig,
    entries: Vec<EntryVm>,
    terms: [Option<ControllerTerm>; 2],
    delayed: VecDeque<PendingCall>,
    audit: Vec<AuditRow>,
    stale_dc_vms: BTreeSet<VmName>,
    /// Whether audit rows stay in the outbox instead of being moved to segments.
    keep_audit_rows: bool,
}

impl World {
    fn new() -> Self {
        let listed = (0..VMS).map(|index| {
            let listed = ListedVm {
                name: vm(index),
                dc: "dc-1".parse().expect("name"),
                rack: format!("rack-{}", index / 2).parse().expect("name"),
                address: ([127, 0, 0, 1], 1000 + index as u16).into(),
                leaving: false,
            };
            (vm(index), listed)
        });
        let pools = (0..2).map(|index| {
            let vms = (0..VMS).filter(|number| (number / 4) == index);
            let config = PoolConfig {
                budget: 1,
                vms: vms.map(vm).collect(),
                ..PoolConfig::default()
            };
            (pool(index), config)
        });
        Self {
            now_ms: 1_000_000,
            listed: listed.collect(),
            config: FleetConfig {
                pools: pools.collect(),
                maintenance: MaintenanceRules {
                    return_limit_s: 60,
                    drain_limit_s: 15,
                    failure_stop_share: 0.5,
                    ..MaintenanceRules::default()
                },
                ..FleetConfig::default()
            },
            entries: (0..ENTRIES).map(|_| EntryVm::default()).collect(),
            ..Self::default()
        }
    }

    fn apply(&mut self, event: &HistoryEvent) {
        use HistoryEvent as E;
        self.now_ms += 10;
        match event {
            E::Claim(c) => self.claim(*c),
            E::Decide(c, fresh) => self.decide(*c, *fresh),
            E::Execute(c, outcome) => self.execute(*c, *outcome),
            E::RunRound(c) => self.run_round(*c),
            E::Crash(c) => self.terms[*c] = None,
            E::DeliverCall => {
                if let Some(call) = self.delayed.pop_front() {
                    self.deliver(call);
                }
            }
            E::ApplyRecord(e) => self.apply_record(*e),
            E::Acknowledge(e) => self.acknowledge(*e),
            E::SyncEntries => self.sync_entries(),
            E::StartRequest(e, index) => self.start_request(*e, &vm(*index)),
            E::EndRequest(e, index) => {
                self.entries[*e].in_use.remove(&vm(*index));
            }
            E::FailVm(index) => {
                self.down.insert(vm(*index));
            }
            E::FailRack(rack) => self.down.extend([vm(rack * 2), vm(rack * 2 + 1)]),
            E::RecoverVm(index) => {
                self.down.remove(&vm(*index));
            }
            E::EndOperation(index, ok) => self.end_operation(&vm(*index), *ok),
            E::SetBudget(index, budget) => {
                let pool = self.config.pools.get_mut(&pool(*index));
                pool.expect("pool").budget = *budget;
            }
            E::SetWave(running) => self.set_wave(*running),
            E::ResumeWave => {
                if let Some(wave) = &mut self.config.wave {
                    wave.running = true;
                }
            }
            E::ToggleHold(index) => {
                let name = vm(*index);
                if self.config.drains.remove(&name).is_none() {
                    self.config.drains.insert(name, "test".to_owned());
                }
            }
            E::ToggleHome(index) => self.toggle_home(&vm(*index)),
            E::ToggleLeaving(index) => {
                let listed = self.listed.get_mut(&vm(*index)).expect("listed");
                listed.leaving = !listed.leaving;
            }
            E::AdvanceTime(seconds) => self.now_ms += seconds * 1000,
        }
    }

    fn set_wave(&mut self, running: bool) {
        let started_ms = self.now_ms;
        let wave = self.config.wave.get_or_insert_with(|| WaveRequest {
            id: String::new(),
            pools: BTreeSet::new(),
            running,
            started_ms,
        });
        wave.running = running;
        if running {
            wave.id = format!("w-{}", self.now_ms);
            wave.started_ms = started_ms;
        }
    }

    fn toggle_home(&mut self, name: &VmName) {
        let (mut from, mut to) = (pool(0), pool(1));
        if self.config.pools[&to].vms.contains(name) {
            std::mem::swap(&mut from, &mut to);
        }
        self.config
            .pools
            .get_mut(&from)
            .expect("pool")
            .vms
            .remove(name);
        let to = self.config.pools.get_mut(&to).expect("pool");
        to.vms.insert(name.clone());
    }

    fn claim(&mut self, c: usize) {
        let record = FleetRecord {
            epoch: self.fleet.epoch + 1,
            sequence: self.fleet.sequence + 1,
            nonce: self.revision + 1,
            ..self.fleet.clone()
        };
        let nonce = record.nonce;
        assert!(self.write_fleet(self.fleet_revision, record));
        self.terms[c] = Some(ControllerTerm {
            nonce,
            stale: true,
            ..ControllerTerm::default()
        });
    }

    fn decide(&mut self, c: usize, fresh: bool) {
        let Some(mut term) = self.terms[c].take() else {
            return;
        };
        if term.stale || fresh {
            if self.fleet.nonce != term.nonce {
                return;
            }
            term.fleet = self.fleet.clone();
            term.fleet_revision = self.fleet_revision;
            let stored = self.ledgers.iter();
            term.ledgers = stored
                .map(|(pool, (_, l))| (pool.clone(), l.clone()))
                .collect();
            let stored = self.ledgers.iter();
            term.revisions = stored.map(|(pool, (r, _))| (pool.clone(), *r)).collect();
        }
        term.stale = false;
        term.state.handle_vm_list(&term.fleet.vms, &self.listed);
        for name in term.fleet.vms.keys() {
            term.state
                .handle_probe_result(name, !self.down.contains(name));
        }
        let acks = self.entries.iter().enumerate();
        let acks = acks
            .map(|(index, e)| (entry(index), e.ack.clone()))
            .collect();
        let moved = term.fleet.outbox.last_sequence / MOVE_BATCH_ROWS * MOVE_BATCH_ROWS;
        let view = StepView {
            dc: &"dc-1".parse().expect("name"),
            author: &entry(c),
            config: &self.config,
            config_version: 1,
            home_pools: &home_pools_of(&self.config),
            fleet: &term.fleet,
            ledgers: &term.ledgers,
            listed: &self.listed,
            acks: &acks,
            stale_dc_vms: &self.stale_dc_vms,
            moved_sequence: if self.keep_audit_rows { 0 } else { moved },
            now_ms: self.now_ms,
        };
        term.actions = term.state.step(&view).into();
        for action in &term.actions {
            self.check_budget(&term, action);
        }
        self.terms[c] = Some(term);
    }

    /// Checks that a controller adds no planned row beyond the budget that it knows.
    fn check_budget(&self, term: &ControllerTerm, action: &ControllerAction) {
        let ControllerAction::WriteLedger { pool, ledger } = action else {
            return;
        };
        let before = term.ledgers.get(pool).cloned().unwrap_or_default();
        let starts = ledger.rows.iter().any(|(name, row)| {
            let serving = term.fleet.vms.get(name);
            let serving = serving.is_some_and(|vm| vm.state == VmState::Serving);
            let planned = matches!(row.cause, OutageCause::Planned(_));
            planned && serving && !before.rows.contains_key(name)
        });
        let budget = self.config.pools[pool].budget as usize;
        assert!(!starts || ledger.rows.len() <= budget, "{pool}: {ledger:?}");
    }

    fn execute(&mut self, c: usize, outcome: CallOutcome) {
        let Some(mut term) = self.terms[c].take() else {
            return;
        };
        let Some(action) = term.actions.pop_front() else {
            self.terms[c] = Some(term);
            return;
        };
        let call = match action {
            ControllerAction::WriteLedger { pool, ledger } => {
                let revision = term.revisions.get(&pool).copied().unwrap_or(0);
                PendingCall::Ledger(pool, revision, ledger)
            }
            ControllerAction::WriteFleet(record) => PendingCall::Fleet(term.fleet_revision, record),
            ControllerAction::Operate { vm, operation, .. } => PendingCall::Operate(vm, operation),
        };
        let is_write = !matches!(call, PendingCall::Operate(..));
        let result = match outcome {
            CallOutcome::Delayed => {
                self.delayed.push_back(call.clone());
                None
            }
            CallOutcome::AnswerLost => {
                self.deliver(call.clone());
                None
            }
            CallOutcome::Answered => Some(self.deliver(call.clone())),
        };
        term.stale |= is_write;
        let write_outcome = match result {
            Some(true) => WriteOutcome::Written,
            Some(false) => WriteOutcome::Conflict,
            None => WriteOutcome::Unknown,
        };
        match call {
            PendingCall::Ledger(pool, ..) => term.state.handle_ledger_write(&pool, write_outcome),
            PendingCall::Operate(vm, operation) if result.is_some() => {
                let state = self.operations[&(vm, operation.clone())];
                term.state.handle_operation_state(&operation, state);
            }
            _ => {}
        }
        self.terms[c] = Some(term);
    }

    /// Lets a call take effect, and checks the invariants.
    fn deliver(&mut self, call: PendingCall) -> bool {
        match call {
            PendingCall::Fleet(revision, record) => self.write_fleet(revision, *record),
            PendingCall::Ledger(pool, revision, ledger) => {
                let current = self.ledgers.get(&pool).map_or(0, |(current, _)| *current);
                if current != revision {
                    return false;
                }
                self.revision += 1;
                self.ledgers.insert(pool, (self.revision, ledger));
                self.check_rows();
                true
            }
            PendingCall::Operate(vm, operation) => {
                self.operate(vm, operation);
                true
            }
        }
    }

    fn write_fleet(&mut self, revision: u64, record: FleetRecord) -> bool {
        if revision != self.fleet_revision {
            return false;
        }
        self.check_audit(&record);
        self.revision += 1;
        self.fleet_revision = self.revision;
        self.fleet = record;
        self.check_rows();
        self.check_pools();
        true
    }

    /// Checks that each VM under a planned stop has its ledger row, whichever
    /// controller wrote last.
    fn check_rows(&self) {
        for (name, vm) in &self.fleet.vms {
            let (VmState::Draining(DrainPurpose::Maintain(operation))
            | VmState::Stopped(operation)) = &vm.state
            else {
                continue;
            };
            let row = self.ledgers.get(&vm.pool);
            let row = row.and_then(|(_, ledger)| ledger.rows.get(name));
            let cause = row.map(|row| &row.cause);
            let planned = OutageCause::Planned(operation.clone());
            assert_eq!(cause, Some(&planned), "{name} {:?}", vm.state);
        }
    }

    /// Checks that no two entry VMs send requests to a VM for different pools.
    fn check_pools(&self) {
        for name in self.fleet.vms.keys() {
            let records = self.entries.iter().map(|entry| &entry.fleet);
            let vms = records.chain([&self.fleet]);
            let vms = vms.filter_map(|record| record.vms.get(name));
            let serving = vms.filter(|vm| vm.state == VmState::Serving);
            let pools: BTreeSet<_> = serving.map(|vm| vm.pool.clone()).collect();
            assert!(pools.len() <= 1, "{name} in {pools:?}");
        }
    }

    /// Checks that every change of state has its audit row in the same write, and that
    /// the rows form one chain.
    fn check_audit(&mut self, next: &FleetRecord) {
        let known = self.audit.len() as u64;
        let rows = next.outbox.rows.iter();
        let new: Vec<_> = rows.filter(|row| row.sequence > known).cloned().collect();
        for name in self.fleet.vms.keys().chain(next.vms.keys()) {
            let state = |record: &FleetRecord| {
                let vm = record.vms.get(name);
                vm.map_or(String::new(), |vm| vm.state.to_string())
            };
            let (from, to) = (state(&self.fleet), state(next));
            let subject = format!("vm/{name}");
            let recorded = new.iter().any(|row| {
                row.subject == subject && row.action == "state" && row.from == from && row.to == to
            });
            assert!(from == to || recorded, "{name} from {from} to {to}");
        }
        let first = self.audit.last().cloned().unwrap_or_default();
        assert_eq!(find_chain_break(&first, &new), None);
        self.audit.extend(new);
    }

    fn operate(&mut self, vm: VmName, operation: OperationId) {
        if self
            .operations
            .contains_key(&(vm.clone(), operation.clone()))
        {
            return;
        }
        for entry in &self.entries {
            assert!(!entry.in_use.contains_key(&vm), "{vm} stopped in use");
            let state = entry.fleet.vms.get(&vm).map(|vm| &vm.state);
            assert_ne!(state, Some(&VmState::Serving), "{vm} stopped while serving");
        }
        self.down.insert(vm.clone());
        self.operations
            .insert((vm, operation), OperationState::Running);
    }

    fn end_operation(&mut self, vm: &VmName, ok: bool) {
        for ((name, _), state) in &mut self.operations {
            if name == vm && *state == OperationState::Running {
                *state = if ok {
                    OperationState::Done
                } else {
                    OperationState::Failed
                };
                if ok {
                    self.down.remove(vm);
                }
            }
        }
    }

    fn apply_record(&mut self, e: usize) {
        self.entries[e].fleet = self.fleet.clone();
        self.check_pools();
    }

    fn acknowledge(&mut self, e: usize) {
        let entry = &mut self.entries[e];
        entry.ack = EntryAck {
            config_version: 1,
            fleet_sequence: entry.fleet.sequence,
            generation: 1,
            in_use: entry.in_use.clone(),
        };
    }

    fn sync_entries(&mut self) {
        for e in 0..ENTRIES {
            self.apply_record(e);
            self.acknowledge(e);
        }
    }

    fn start_request(&mut self, e: usize, vm: &VmName) {
        let entry = &mut self.entries[e];
        let record = entry.fleet.vms.get(vm);
        if !record.is_some_and(|record| record.state.is_serving()) {
            return;
        }
        let mut operations = self.operations.iter();
        let stopping =
            operations.any(|((name, _), state)| name == vm && *state == OperationState::Running);
        assert!(!stopping, "{vm} gets work during its operation");
        entry.in_use.insert(vm.clone(), 1);
    }

    /// Runs a round in which all calls are answered.
    fn run_round(&mut self, c: usize) {
        self.decide(c, true);
        while self.terms[c]
            .as_ref()
            .is_some_and(|term| !term.actions.is_empty())
        {
            self.execute(c, CallOutcome::Answered);
        }
    }

    fn started_ms(&self) -> u64 {
        self.config.wave.as_ref().map_or(0, |wave| wave.started_ms)
    }

    fn is_wave_complete(&self) -> bool {
        let wave = self.fleet.wave.as_ref();
        let mut rows = self.ledgers.values().map(|(_, ledger)| &ledger.rows);
        let mut vms = self.fleet.vms.values();
        wave.is_some_and(|wave| wave.ended)
            && rows.all(BTreeMap::is_empty)
            && vms.all(|vm| vm.state.is_serving() && vm.maintained_ms >= self.started_ms())
    }

    /// Ends all failures, holds and delays, and lets one controller continue: a new
    /// wave must then complete, with all VMs serving and all ledgers empty.
    fn recover(&mut self) {
        self.delayed.clear();
        self.terms = [None, None];
        self.config.drains.clear();
        self.down.clear();
        for listed in self.listed.values_mut() {
            listed.leaving = false;
        }
        for pool in self.config.pools.values_mut() {
            pool.budget = 1;
        }
        self.claim(0);
        self.now_ms += 100_000;
        self.set_wave(true);
        for _ in 0..400 {
            if self.is_wave_complete() {
                break;
            }
            self.now_ms += 1000;
            for entry in &mut self.entries {
                entry.in_use.clear();
            }
            self.sync_entries();
            self.run_round(0);
            for index in 0..VMS {
                self.end_operation(&vm(index), true);
            }
        }
        let wave = self.fleet.wave.clone().unwrap_or_default();
        assert!(wave.ended, "{wave:?}: {:?}", self.fleet.vms);
        for (name, vm) in &self.fleet.vms {
            assert_eq!(vm.state, VmState::Serving, "{name}");
            assert!(vm.maintained_ms >= self.started_ms(), "{name}");
            assert!(self.config.pools[&vm.pool].vms.contains(name));
        }
        let rows = self.ledgers.values().map(|(_, ledger)| ledger.rows.len());
        assert_eq!(rows.sum::<usize>(), 0, "{:?}", self.ledgers);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn step_any_history(events in events()) {
        replay(&events);
    }
}

/// Returns a world in which operators have just started a wave.
fn wave_world() -> World {
    let mut world = World::new();
    world.claim(0);
    world.run_round(0);
    world.sync_entries();
    world.now_ms += 10;
    world.set_wave(true);
    world
}

fn replay(events: &[HistoryEvent]) {
    let mut world = wave_world();
    for event in events {
        world.apply(event);
    }
    world.recover();
}

/// Guards against a stop without its ledger row: a former controller has decided to
/// remove a row, and writes the removal after its successor could have used the row.
#[test]
fn step_row_of_former_controller() {
    use HistoryEvent as E;
    let mut events = vec![
        E::RunRound(0),
        E::Decide(0, true),
        E::Execute(0, CallOutcome::Answered),
    ];
    events.extend([
        E::SetWave(false),
        E::Decide(0, true),
        E::ResumeWave,
        E::Claim(1),
    ]);
    events.extend([E::RunRound(1), E::RunRound(1), E::RunRound(1)]);
    events.push(E::Execute(0, CallOutcome::Answered));
    replay(&events);
}

/// Guards against a stop without its ledger row: a removal of unknown result takes
/// effect after the wave is resumed, when the row could be used again.
#[test]
fn step_late_row_removal() {
    use HistoryEvent as E;
    let mut events = vec![
        E::RunRound(0),
        E::Decide(0, true),
        E::Execute(0, CallOutcome::Answered),
    ];
    events.extend([
        E::SetWave(false),
        E::Decide(0, true),
        E::Execute(0, CallOutcome::Delayed),
    ]);
    events.extend([
        E::ResumeWave,
        E::RunRound(0),
        E::RunRound(0),
        E::RunRound(0),
        E::DeliverCall,
    ]);
    replay(&events);
}

/// Guards against work on a VM during its operation: the operation lasts longer than
/// the return limit, and the VM answers probes before it ends.
#[test]
fn step_operation_outlives_limit() {
    use HistoryEvent as E;
    let stop = [E::RunRound(0), E::SyncEntries].repeat(5);
    let back = (0..VMS).map(E::RecoverVm);
    let work = (0..VMS).map(|vm| E::StartRequest(0, vm));
    let mut events = stop.clone();
    events.extend(back);
    events.push(E::AdvanceTime(70));
    events.extend(stop);
    events.extend(work);
    replay(&events);
}

/// Guards against work on a VM during its operation: a killed controller's call starts
/// the operation after its successor has given up waiting for it.
#[test]
fn step_late_operation() {
    use HistoryEvent as E;
    let mut events = [E::RunRound(0), E::SyncEntries].repeat(3);
    events.extend([E::Decide(0, true), E::Execute(0, CallOutcome::Answered)]);
    events.extend([
        E::Decide(0, true),
        E::Execute(0, CallOutcome::Delayed),
        E::Crash(0),
    ]);
    events.extend([E::AdvanceTime(70), E::Claim(1)]);
    events.extend([E::Decide(1, true), E::Execute(1, CallOutcome::Answered)]);
    events.extend([E::RunRound(1), E::SyncEntries].repeat(4));
    events.extend((0..VMS).map(|vm| E::StartRequest(0, vm)));
    events.push(E::DeliverCall);
    replay(&events);
}

/// Guards against a wave without progress: the controller took longer than the drain limit to
/// read a drain back, and postponed it before any entry VM could acknowledge it.
#[test]
fn drain_read_late() {
    let mut world = wave_world();
    let is_draining = |world: &World| {
        let mut vms = world.fleet.vms.values();
        vms.any(|vm| matches!(vm.state, VmState::Draining(_)))
    };
    for _ in 0..3 {
        if !is_draining(&world) {
            world.run_round(0);
        }
    }
    assert!(is_draining(&world));
    world.now_ms += 20_000;
    world.run_round(0);
    assert!(is_draining(&world), "{:?}", world.fleet.vms);
    world.sync_entries();
    world.run_round(0);
    let mut vms = world.fleet.vms.values();
    assert!(vms.any(|vm| matches!(vm.state, VmState::Stopped(_))));
}

/// Guards against a drain without end: an entry VM that does not answer postpones it after the
/// drain limit.
#[test]
fn drain_unanswered() {
    let mut world = wave_world();
    let postponed = |world: &World| {
        let mut rows = world.audit.iter();
        rows.any(|row| row.reason.contains("postponed, in use by e-0,e-1"))
    };
    for _ in 0..4 {
        world.run_round(0);
    }
    assert!(!postponed(&world));
    world.now_ms += 15_000;
    world.run_round(0);
    assert!(postponed(&world));
}

/// A VM of a data centre with a stale roster counts against the budget of its pool.
#[test]
fn unseen_dc_counts() {
    let mut world = wave_world();
    world.config.wave = None;
    let away: VmName = "vm-away".parse().expect("name");
    let pool_b = world.config.pools.get_mut(&pool(1)).expect("pool");
    pool_b.vms.insert(away.clone());
    world.stale_dc_vms.insert(away);
    for index in [0, 4] {
        world.apply(&HistoryEvent::ToggleHold(index));
    }
    for _ in 0..5 {
        world.run_round(0);
        world.sync_entries();
    }
    assert_eq!(world.fleet.vms[&vm(0)].state, VmState::Held);
    assert_eq!(world.fleet.vms[&vm(4)].state, VmState::Serving);
    world.stale_dc_vms.clear();
    for _ in 0..5 {
        world.run_round(0);
        world.sync_entries();
    }
    assert_eq!(world.fleet.vms[&vm(4)].state, VmState::Held);
}

/// If the controller can't reach most of the VMs, it declares none of them failed.
#[test]
fn lost_vms_most() {
    let mut world = wave_world();
    world.config.wave = None;
    world.down.extend((0..VMS).map(vm));
    for _ in 0..10 {
        world.run_round(0);
    }
    assert!(world.fleet.vms.values().all(|vm| vm.state.is_serving()));
    world.down.retain(|name| *name == vm(0) || *name == vm(1));
    for _ in 0..10 {
        world.run_round(0);
    }
    assert_eq!(world.fleet.vms[&vm(0)].state, VmState::Failed);
    assert_eq!(world.fleet.vms[&vm(2)].state, VmState::Serving);
}

/// Changes wait while the audit outbox is full, and continue after rows are moved.
#[test]
fn outbox_full() {
    let mut world = wave_world();
    world.config.wave = None;
    world.keep_audit_rows = true;
    for _ in 0..200 {
        world.apply(&HistoryEvent::ToggleHold(0));
        for _ in 0..3 {
            world.run_round(0);
            world.sync_entries();
        }
    }
    let sequence = world.fleet.outbox.last_sequence;
    assert!(world.fleet.outbox.rows.len() <= MAX_OUTBOX_ROWS);
    assert!(world.fleet.outbox.rows.len() + 8 > MAX_OUTBOX_ROWS);
    world.keep_audit_rows = false;
    world.apply(&HistoryEvent::ToggleHold(0));
    for _ in 0..5 {
        world.run_round(0);
        world.sync_entries();
    }
    assert!(world.fleet.outbox.last_sequence > sequence);
}
