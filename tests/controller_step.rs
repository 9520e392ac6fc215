//! Histories of the controller's decisions against a platform in memory: two
//! controllers that are paused, deposed and killed between any two actions, with
//! answers lost and writes that land late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use chicorygauge::audit::AuditRow;
use chicorygauge::audit::MAX_OUTBOX_ROWS;
use chicorygauge::audit::find_break;
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
/// Audit rows that are moved at once.
const MOVED_ROWS: u64 = 100;
const POOLS: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug)]
enum ActEnd {
    Answered,
    AnswerLost,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
enum HistoryEvent {
    Claim(usize),
    Plan(usize, bool),
    Act(usize, ActEnd),
    Run(usize),
    Crash(usize),
    Land,
    Adopt(usize),
    Report(usize),
    Sync,
    Work(usize, usize),
    Finish(usize, usize),
    Lose(usize),
    LoseRack(usize),
    Return(usize),
    EndOperation(usize, bool),
    Budget(usize, u32),
    Wave(bool),
    Resume,
    Hold(usize),
    Move(usize),
    Leave(usize),
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<HistoryEvent>> {
    use HistoryEvent as E;
    let end = prop_oneof![
        4 => Just(ActEnd::Answered),
        1 => Just(ActEnd::AnswerLost),
        1 => Just(ActEnd::Delayed),
    ];
    let event = prop_oneof![
        2 => (0..2usize).prop_map(E::Claim),
        8 => (0..2usize, any::<bool>()).prop_map(|(c, fresh)| E::Plan(c, fresh)),
        12 => (0..2usize, end).prop_map(|(c, end)| E::Act(c, end)),
        12 => (0..2usize).prop_map(E::Run),
        1 => (0..2usize).prop_map(E::Crash),
        2 => Just(E::Land),
        4 => (0..ENTRIES).prop_map(E::Adopt),
        4 => (0..ENTRIES).prop_map(E::Report),
        8 => Just(E::Sync),
        8 => (0..ENTRIES, 0..VMS).prop_map(|(e, vm)| E::Work(e, vm)),
        8 => (0..ENTRIES, 0..VMS).prop_map(|(e, vm)| E::Finish(e, vm)),
        1 => (0..VMS).prop_map(E::Lose),
        1 => (0..VMS / 2).prop_map(E::LoseRack),
        2 => (0..VMS).prop_map(E::Return),
        6 => (0..VMS, prop::bool::weighted(0.8)).prop_map(|(vm, ok)| E::EndOperation(vm, ok)),
        2 => (0..2usize, 0..3u32).prop_map(|(pool, budget)| E::Budget(pool, budget)),
        2 => prop::bool::weighted(0.8).prop_map(E::Wave),
        2 => Just(E::Resume),
        1 => (0..VMS).prop_map(E::Hold),
        1 => (0..VMS).prop_map(E::Move),
        1 => (0..VMS).prop_map(E::Leave),
        2 => prop_oneof![Just(1), Just(20), Just(70)].prop_map(E::Wait),
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

/// A write that was sent and has not taken effect yet.
#[derive(Clone)]
enum LateWrite {
    Ledger(PoolName, u64, PoolLedger),
    Fleet(u64, Box<FleetRecord>),
    Operate(VmName, OperationId),
}

#[derive(Default)]
struct Term {
    nonce: u64,
    state: ControllerState,
    fleet: FleetRecord,
    fleet_revision: u64,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    revisions: BTreeMap<PoolName, u64>,
    stale: bool,
    plan: VecDeque<ControllerAction>,
}

#[derive(Default)]
struct Entry {
    fleet: FleetRecord,
    in_use: BTreeMap<VmName, u32>,
    ack: EntryAck,
}

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
    entries: Vec<Entry>,
    terms: [Option<Term>; 2],
    late: VecDeque<LateWrite>,
    audit: Vec<AuditRow>,
    stale_dc_vms: BTreeSet<VmName>,
    /// Audit rows are not moved to segments.
    rows_stay: bool,
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
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            ..Self::default()
        }
    }

    fn apply(&mut self, event: &HistoryEvent) {
        use HistoryEvent as E;
        self.now_ms += 10;
        match event {
            E::Claim(c) => self.claim(*c),
            E::Plan(c, fresh) => self.plan(*c, *fresh),
            E::Act(c, end) => self.act(*c, *end),
            E::Run(c) => self.run(*c),
            E::Crash(c) => self.terms[*c] = None,
            E::Land => {
                if let Some(write) = self.late.pop_front() {
                    self.land(write);
                }
            }
            E::Adopt(e) => self.adopt(*e),
            E::Report(e) => self.report(*e),
            E::Sync => self.sync(),
            E::Work(e, index) => self.work(*e, &vm(*index)),
            E::Finish(e, index) => {
                self.entries[*e].in_use.remove(&vm(*index));
            }
            E::Lose(index) => {
                self.down.insert(vm(*index));
            }
            E::LoseRack(rack) => self.down.extend([vm(rack * 2), vm(rack * 2 + 1)]),
            E::Return(index) => {
                self.down.remove(&vm(*index));
            }
            E::EndOperation(index, ok) => self.end_operation(&vm(*index), *ok),
            E::Budget(index, budget) => {
                let pool = self.config.pools.get_mut(&pool(*index));
                pool.expect("pool").budget = *budget;
            }
            E::Wave(running) => self.start_wave(*running),
            E::Resume => {
                if let Some(wave) = &mut self.config.wave {
                    wave.running = true;
                }
            }
            E::Hold(index) => {
                let name = vm(*index);
                if self.config.drains.remove(&name).is_none() {
                    self.config.drains.insert(name, "test".to_owned());
                }
            }
            E::Move(index) => self.move_home(&vm(*index)),
            E::Leave(index) => {
                let listed = self.listed.get_mut(&vm(*index)).expect("listed");
                listed.leaving = !listed.leaving;
            }
            E::Wait(seconds) => self.now_ms += seconds * 1000,
        }
    }

    fn start_wave(&mut self, running: bool) {
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

    fn move_home(&mut self, name: &VmName) {
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
        self.terms[c] = Some(Term {
            nonce,
            stale: true,
            ..Term::default()
        });
    }

    fn plan(&mut self, c: usize, fresh: bool) {
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
        let moved = term.fleet.outbox.last_sequence / MOVED_ROWS * MOVED_ROWS;
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
            moved_sequence: if self.rows_stay { 0 } else { moved },
            now_ms: self.now_ms,
        };
        term.plan = term.state.step(&view).into();
        for action in &term.plan {
            self.check_plan(&term, action);
        }
        self.terms[c] = Some(term);
    }

    /// No planned row is entered beyond the budget that its writer knows.
    fn check_plan(&self, term: &Term, action: &ControllerAction) {
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

    fn act(&mut self, c: usize, end: ActEnd) {
        let Some(mut term) = self.terms[c].take() else {
            return;
        };
        let Some(action) = term.plan.pop_front() else {
            self.terms[c] = Some(term);
            return;
        };
        let write = match action {
            ControllerAction::WriteLedger { pool, ledger } => {
                let revision = term.revisions.get(&pool).copied().unwrap_or(0);
                LateWrite::Ledger(pool, revision, ledger)
            }
            ControllerAction::WriteFleet(record) => LateWrite::Fleet(term.fleet_revision, record),
            ControllerAction::Operate { vm, operation, .. } => LateWrite::Operate(vm, operation),
        };
        let changes = !matches!(write, LateWrite::Operate(..));
        let done = match end {
            ActEnd::Delayed => {
                self.late.push_back(write.clone());
                None
            }
            ActEnd::AnswerLost => {
                self.land(write.clone());
                None
            }
            ActEnd::Answered => Some(self.land(write.clone())),
        };
        term.stale |= changes;
        let ended = match done {
            Some(true) => WriteOutcome::Written,
            Some(false) => WriteOutcome::Conflict,
            None => WriteOutcome::Unknown,
        };
        match write {
            LateWrite::Ledger(pool, ..) => term.state.handle_ledger_write(&pool, ended),
            LateWrite::Operate(vm, operation) if done.is_some() => {
                let state = self.operations[&(vm, operation.clone())];
                term.state.handle_operation_state(&operation, state);
            }
            _ => {}
        }
        self.terms[c] = Some(term);
    }

    /// Lets a write take effect, and checks what it must not break.
    fn land(&mut self, write: LateWrite) -> bool {
        match write {
            LateWrite::Fleet(revision, record) => self.write_fleet(revision, *record),
            LateWrite::Ledger(pool, revision, ledger) => {
                let current = self.ledgers.get(&pool).map_or(0, |(current, _)| *current);
                if current != revision {
                    return false;
                }
                self.revision += 1;
                self.ledgers.insert(pool, (self.revision, ledger));
                self.check_rows();
                true
            }
            LateWrite::Operate(vm, operation) => {
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

    /// A VM under a planned stop has its row, whoever wrote last.
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

    /// No two entry VMs send work to a VM for different pools.
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

    /// Every transition has its audit row in the same write, in one chain.
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
            let told = new.iter().any(|row| {
                row.subject == subject && row.action == "state" && row.from == from && row.to == to
            });
            assert!(from == to || told, "{name} from {from} to {to}");
        }
        let first = self.audit.last().cloned().unwrap_or_default();
        assert_eq!(find_break(&first, &new), None);
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

    fn adopt(&mut self, e: usize) {
        self.entries[e].fleet = self.fleet.clone();
        self.check_pools();
    }

    fn report(&mut self, e: usize) {
        let entry = &mut self.entries[e];
        entry.ack = EntryAck {
            config_version: 1,
            fleet_sequence: entry.fleet.sequence,
            generation: 1,
            in_use: entry.in_use.clone(),
        };
    }

    fn sync(&mut self) {
        for e in 0..ENTRIES {
            self.adopt(e);
            self.report(e);
        }
    }

    fn work(&mut self, e: usize, vm: &VmName) {
        let entry = &mut self.entries[e];
        let record = entry.fleet.vms.get(vm);
        if !record.is_some_and(|record| record.state.takes_work()) {
            return;
        }
        let mut operations = self.operations.iter();
        let stopping =
            operations.any(|((name, _), state)| name == vm && *state == OperationState::Running);
        assert!(!stopping, "{vm} gets work during its operation");
        entry.in_use.insert(vm.clone(), 1);
    }

    /// One undisturbed round.
    fn run(&mut self, c: usize) {
        self.plan(c, true);
        while self.terms[c]
            .as_ref()
            .is_some_and(|term| !term.plan.is_empty())
        {
            self.act(c, ActEnd::Answered);
        }
    }

    fn started_ms(&self) -> u64 {
        self.config.wave.as_ref().map_or(0, |wave| wave.started_ms)
    }

    fn is_settled(&self) -> bool {
        let wave = self.fleet.wave.as_ref();
        let mut rows = self.ledgers.values().map(|(_, ledger)| &ledger.rows);
        let mut vms = self.fleet.vms.values();
        wave.is_some_and(|wave| wave.ended)
            && rows.all(BTreeMap::is_empty)
            && vms.all(|vm| vm.state.takes_work() && vm.maintained_ms >= self.started_ms())
    }

    /// Mends everything and lets one controller go on; the wave must end.
    fn calm(&mut self) {
        self.late.clear();
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
        self.start_wave(true);
        for _ in 0..400 {
            if self.is_settled() {
                break;
            }
            self.now_ms += 1000;
            for entry in &mut self.entries {
                entry.in_use.clear();
            }
            self.sync();
            self.run(0);
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

/// Returns a world whose wave has just been asked for.
fn wave_world() -> World {
    let mut world = World::new();
    world.claim(0);
    world.run(0);
    world.sync();
    world.now_ms += 10;
    world.start_wave(true);
    world
}

fn replay(events: &[HistoryEvent]) {
    let mut world = wave_world();
    for event in events {
        world.apply(event);
    }
    world.calm();
}

/// A former controller removes a row that its successor would have used.
#[test]
fn step_row_of_former_controller() {
    use HistoryEvent as E;
    let mut events = vec![E::Run(0), E::Plan(0, true), E::Act(0, ActEnd::Answered)];
    events.extend([E::Wave(false), E::Plan(0, true), E::Resume, E::Claim(1)]);
    events.extend([E::Run(1), E::Run(1), E::Run(1)]);
    events.push(E::Act(0, ActEnd::Answered));
    replay(&events);
}

/// A removal without an answer lands after its row could have been used again.
#[test]
fn step_late_row_removal() {
    use HistoryEvent as E;
    let mut events = vec![E::Run(0), E::Plan(0, true), E::Act(0, ActEnd::Answered)];
    events.extend([E::Wave(false), E::Plan(0, true), E::Act(0, ActEnd::Delayed)]);
    events.extend([E::Resume, E::Run(0), E::Run(0), E::Run(0), E::Land]);
    replay(&events);
}

/// An operation lasts longer than the limit on the return.
#[test]
fn step_operation_outlives_limit() {
    use HistoryEvent as E;
    let stop = [E::Run(0), E::Sync].repeat(5);
    let back = (0..VMS).map(E::Return);
    let work = (0..VMS).map(|vm| E::Work(0, vm));
    let mut events = stop.clone();
    events.extend(back);
    events.push(E::Wait(70));
    events.extend(stop);
    events.extend(work);
    replay(&events);
}

/// A call that a killed controller has sent begins the operation late.
#[test]
fn step_late_operation() {
    use HistoryEvent as E;
    let mut events = [E::Run(0), E::Sync].repeat(3);
    events.extend([E::Plan(0, true), E::Act(0, ActEnd::Answered)]);
    events.extend([E::Plan(0, true), E::Act(0, ActEnd::Delayed), E::Crash(0)]);
    events.extend([E::Wait(70), E::Claim(1)]);
    events.extend([E::Plan(1, true), E::Act(1, ActEnd::Answered)]);
    events.extend([E::Run(1), E::Sync].repeat(4));
    events.extend((0..VMS).map(|vm| E::Work(0, vm)));
    events.push(E::Land);
    replay(&events);
}

/// A VM of a data centre that is not seen uses the budget of its pool.
#[test]
fn unseen_dc_counts() {
    let mut world = wave_world();
    world.config.wave = None;
    let away: VmName = "vm-away".parse().expect("name");
    let pool_b = world.config.pools.get_mut(&pool(1)).expect("pool");
    pool_b.vms.insert(away.clone());
    world.stale_dc_vms.insert(away);
    for index in [0, 4] {
        world.apply(&HistoryEvent::Hold(index));
    }
    for _ in 0..5 {
        world.run(0);
        world.sync();
    }
    assert_eq!(world.fleet.vms[&vm(0)].state, VmState::Held);
    assert_eq!(world.fleet.vms[&vm(4)].state, VmState::Serving);
    world.stale_dc_vms.clear();
    for _ in 0..5 {
        world.run(0);
        world.sync();
    }
    assert_eq!(world.fleet.vms[&vm(4)].state, VmState::Held);
}

/// The controller concludes nothing when most VMs seem lost to it.
#[test]
fn lost_vms_most() {
    let mut world = wave_world();
    world.config.wave = None;
    world.down.extend((0..VMS).map(vm));
    for _ in 0..10 {
        world.run(0);
    }
    assert!(world.fleet.vms.values().all(|vm| vm.state.takes_work()));
    world.down.retain(|name| *name == vm(0) || *name == vm(1));
    for _ in 0..10 {
        world.run(0);
    }
    assert_eq!(world.fleet.vms[&vm(0)].state, VmState::Failed);
    assert_eq!(world.fleet.vms[&vm(2)].state, VmState::Serving);
}

/// Changes wait while the outbox is full, and go on once rows are moved.
#[test]
fn outbox_full() {
    let mut world = wave_world();
    world.config.wave = None;
    world.rows_stay = true;
    for _ in 0..200 {
        world.apply(&HistoryEvent::Hold(0));
        for _ in 0..3 {
            world.run(0);
            world.sync();
        }
    }
    let sequence = world.fleet.outbox.last_sequence;
    assert!(world.fleet.outbox.rows.len() <= MAX_OUTBOX_ROWS);
    assert!(world.fleet.outbox.rows.len() + 8 > MAX_OUTBOX_ROWS);
    world.rows_stay = false;
    world.apply(&HistoryEvent::Hold(0));
    for _ in 0..5 {
        world.run(0);
        world.sync();
    }
    assert!(world.fleet.outbox.last_sequence > sequence);
}
