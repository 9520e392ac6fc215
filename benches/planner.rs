//! Drives the choice of planned stops through whole waves: `cargo bench --bench planner`.
//!
//! Only the decision runs, with a model of how long stops take. Controllers act
//! once a second, all on the ledgers as they stood at the start of the second; of
//! several writes to one ledger the first wins. Stops last 3 to 7 minutes and
//! a drain 5 to 60 s before. Failures strike whole racks: four in five VMs of
//! a bad rack do not return and are repaired 2 to 6 hours later. An operator
//! resumes a wave that stopped itself after half an hour. The roll-out ends when
//! the last VM has been maintained, and its lower bound counts repairs as time
//! out of service.

mod shapes;
mod support;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use chicorygauge::config::MaintenanceRules;
use chicorygauge::config::MeasureWeights;
use chicorygauge::decide::planner::WaveView;
use chicorygauge::decide::planner::next_stops;
use chicorygauge::decide::planner::wave_should_stop;
use chicorygauge::decide::reserve::WavePlan;
use chicorygauge::fleet::LedgerRow;
use chicorygauge::fleet::OutageCause;
use chicorygauge::fleet::PoolLedger;
use chicorygauge::fleet::VmState;
use chicorygauge::fleet::WaveProgress;
use chicorygauge::names::DcName;
use chicorygauge::names::OperationId;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use support::FleetShape;
use support::MadeFleet;
use support::START_MS;

const ROUND_MS: u64 = 1000;
/// Share of the VMs of a bad rack that do not return.
const BAD_RACK_SHARE: f64 = 0.8;
/// Time until an operator resumes a stopped wave.
const RESUME_MS: u64 = 30 * 60_000;
/// Share of a pool in one batch of the fixed-fraction way.
const FIXED_FRACTION: f64 = 0.1;

/// How stops are chosen.
#[derive(Clone, Copy, PartialEq)]
enum ChoiceWay {
    Planner,
    /// Every controller takes all that the ledgers leave free.
    Greedy,
    /// One VM of each pool at a time.
    OneByOne,
    /// A fixed fraction of each pool, batch by batch.
    FixedFraction,
    /// The planner's order, a spare VM lent for each VM stopped.
    Covered,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaveEvent {
    Returned { dc: usize, vm: usize },
    Lost { dc: usize, vm: usize },
    Repaired { dc: usize, vm: usize },
    Resumed { dc: usize },
}

/// How the stop of one VM will go, in milliseconds.
#[derive(Clone, Copy)]
struct DrawnStop {
    length: u64,
    /// Repair after a return that failed.
    repair: Option<u64>,
}

impl DrawnStop {
    /// Time from the start of the stop until the VM serves again.
    fn out(&self) -> u64 {
        let limit = MaintenanceRules::default().return_limit_s * 1000;
        self.repair.map_or(self.length, |repair| limit + repair)
    }
}

#[derive(Default)]
struct WaveOutcome {
    rollout_s: f64,
    bound_s: f64,
    moves: usize,
    reserve: usize,
    breaches: usize,
    lost: usize,
    self_stops: usize,
    writes: usize,
    lost_races: usize,
    calls: usize,
    spent: Duration,
}

struct WaveDrive {
    way: ChoiceWay,
    fleet: MadeFleet,
    names: Vec<Vec<VmName>>,
    stops: Vec<Vec<DrawnStop>>,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    progress: Vec<WaveProgress>,
    events: BinaryHeap<Reverse<(u64, WaveEvent)>>,
    due: BTreeMap<PoolName, usize>,
    /// VMs out of service.
    out: usize,
    outcome: WaveOutcome,
    rng: StdRng,
}

impl WaveDrive {
    fn new(shape: &FleetShape, weights: MeasureWeights, way: ChoiceWay, failing: f64) -> Self {
        let fleet = support::make_fleet(shape, weights);
        let mut rng = StdRng::seed_from_u64(shape.seed + 100);
        let mut due = BTreeMap::new();
        let mut stops = Vec::new();
        let mut names = Vec::new();
        for dc in &fleet.dcs {
            let mut drawn = Vec::new();
            for vm in dc.vms.values() {
                *due.entry(vm.pool.clone()).or_default() += 1;
                let length = rng.random_range(185_000..480_000);
                let repair = rng.random_range(2 * 3_600_000..6 * 3_600_000);
                let fails = rng.random_bool(BAD_RACK_SHARE);
                drawn.push(DrawnStop {
                    length,
                    repair: fails.then_some(repair),
                });
            }
            stops.push(drawn);
            names.push(dc.vms.keys().cloned().collect());
        }
        spare_good_racks(&fleet, &mut stops, failing, &mut rng);
        let mut drive = Self {
            way,
            names,
            stops,
            ledgers: BTreeMap::new(),
            progress: vec![WaveProgress::default(); fleet.dcs.len()],
            events: BinaryHeap::new(),
            due,
            out: 0,
            outcome: WaveOutcome::default(),
            rng,
            fleet,
        };
        drive.outcome.bound_s = drive.lower_bound();
        drive
    }

    /// No pool can be done before its stops have been packed into its budget.
    fn lower_bound(&self) -> f64 {
        let mut lengths: BTreeMap<&PoolName, Vec<u64>> = BTreeMap::new();
        for (dc, stops) in self.fleet.dcs.iter().zip(&self.stops) {
            for (vm, stop) in dc.vms.values().zip(stops) {
                lengths.entry(&vm.pool).or_default().push(stop.out());
            }
        }
        let bounds = lengths.iter_mut().map(|(pool, lengths)| {
            lengths.sort_unstable();
            let budget = self.fleet.config.pools[*pool].budget as usize;
            let in_line: u64 = lengths.iter().take(lengths.len().div_ceil(budget)).sum();
            let mean = lengths.iter().sum::<u64>() / budget as u64;
            in_line.max(mean).max(lengths[lengths.len() - 1])
        });
        bounds.max().unwrap_or(0) as f64 / 1000.0
    }

    fn run(mut self) -> WaveOutcome {
        let mut now = START_MS;
        loop {
            while let Some(Reverse((time, event))) = self.events.peek().copied() {
                if time > now {
                    break;
                }
                self.events.pop();
                self.apply(time, event);
            }
            let started = self.round(now);
            let due: usize = self.due.values().sum();
            if due == 0 && self.out == 0 {
                return self.outcome;
            }
            now += ROUND_MS;
            if started == 0 && !self.may_start() {
                let next = self.events.peek().map(|Reverse((time, _))| *time);
                now = now.max(
                    next.expect("an event ends every wait")
                        .next_multiple_of(ROUND_MS),
                );
            }
        }
    }

    fn apply(&mut self, time: u64, event: WaveEvent) {
        match event {
            WaveEvent::Returned { dc, vm } => {
                self.progress[dc].returned += 1;
                self.back(time, dc, vm);
            }
            WaveEvent::Lost { dc, vm } => {
                self.outcome.lost += 1;
                self.progress[dc].failed += 1;
                let name = self.names[dc][vm].clone();
                let record = self.fleet.dcs[dc].vms.get_mut(&name).expect("VM");
                record.state = VmState::Failed;
                let ledger = self.ledgers.get_mut(&record.pool).expect("ledger");
                ledger.rows.get_mut(&name).expect("row").cause = OutageCause::Failed;
                let repair = self.stops[dc][vm].repair.expect("a failed VM is repaired");
                let event = WaveEvent::Repaired { dc, vm };
                self.events.push(Reverse((time + repair, event)));
                self.judge(time, dc);
            }
            WaveEvent::Repaired { dc, vm } => self.back(time, dc, vm),
            WaveEvent::Resumed { dc } => self.progress[dc] = WaveProgress::default(),
        }
    }

    fn judge(&mut self, time: u64, dc: usize) {
        let rules = &self.fleet.config.maintenance;
        let progress = &mut self.progress[dc];
        let judges = matches!(self.way, ChoiceWay::Planner | ChoiceWay::Greedy);
        if judges && progress.stopped.is_none() && wave_should_stop(progress, rules) {
            progress.stopped = Some("failures".to_owned());
            self.outcome.self_stops += 1;
            let event = WaveEvent::Resumed { dc };
            self.events.push(Reverse((time + RESUME_MS, event)));
        }
    }

    fn back(&mut self, time: u64, dc: usize, vm: usize) {
        self.outcome.rollout_s = (time - START_MS) as f64 / 1000.0;
        self.out -= 1;
        let name = &self.names[dc][vm];
        let record = self.fleet.dcs[dc].vms.get_mut(name).expect("VM");
        record.state = VmState::Serving;
        record.maintained_ms = time;
        let ledger = self.ledgers.get_mut(&record.pool).expect("ledger");
        ledger.rows.remove(name);
    }

    fn planned(&self) -> usize {
        let rows = self
            .ledgers
            .values()
            .flat_map(|ledger| ledger.rows.values());
        let planned = rows.filter(|row| row.cause != OutageCause::Failed);
        planned.count()
    }

    /// Tells whether some controller could start a stop on its next turn.
    fn may_start(&self) -> bool {
        let config = &self.fleet.config;
        let wave = config.wave.as_ref().expect("wave");
        let plan = WavePlan::new(config, wave);
        let rows = |pool: &PoolName| {
            self.ledgers
                .get(pool)
                .into_iter()
                .flat_map(|l| l.rows.values())
        };
        let planned = |pool: &PoolName| {
            rows(pool)
                .filter(|row| row.cause != OutageCause::Failed)
                .count()
        };
        let sharing = plan.pools.iter().filter(|(_, share)| share.uses_shared);
        let shared: usize = sharing.map(|(pool, _)| planned(pool)).sum();
        self.due.iter().any(|(pool, due)| {
            let share = &plan.pools[pool];
            let planner = self.way == ChoiceWay::Planner;
            let open = !planner
                || planned(pool) < share.limit && !(share.uses_shared && shared >= plan.shared);
            open && *due > 0 && rows(pool).count() < share.config.budget as usize
        })
    }

    /// Lets every controller act once and returns the stops started.
    fn round(&mut self, now: u64) -> usize {
        let past = self.ledgers.clone();
        let mut written = BTreeSet::new();
        let mut started = 0;
        let shift = self.rng.random_range(0..self.fleet.dcs.len());
        for turn in 0..self.fleet.dcs.len() {
            let dc = (turn + shift) % self.fleet.dcs.len();
            if self.progress[dc].stopped.is_some() {
                continue;
            }
            let before = Instant::now();
            let picks = self.choose(dc, &past, now);
            self.outcome.spent += before.elapsed();
            self.outcome.calls += 1;
            let mut pools: BTreeMap<PoolName, Vec<VmName>> = BTreeMap::new();
            for vm in picks {
                let pool = self.fleet.dcs[dc].vms[&vm].pool.clone();
                pools.entry(pool).or_default().push(vm);
            }
            for (pool, picks) in pools {
                self.outcome.writes += 1;
                if !written.insert(pool.clone()) {
                    self.outcome.lost_races += 1;
                    continue;
                }
                for vm in &picks {
                    self.start(now, dc, &pool, vm);
                    started += 1;
                }
            }
        }
        started
    }

    fn start(&mut self, now: u64, dc: usize, pool: &PoolName, name: &VmName) {
        let operation = OperationId::new("wave-1").expect("name");
        let ledger = self.ledgers.entry(pool.clone()).or_default();
        let row = LedgerRow {
            dc: DcName::new(&format!("dc-{dc}")).expect("name"),
            cause: OutageCause::Planned(operation.clone()),
            since_ms: now,
        };
        ledger.rows.insert(name.clone(), row);
        let budget = self.fleet.config.pools[pool].budget as usize;
        self.outcome.breaches += usize::from(ledger.rows.len() > budget);
        let record = self.fleet.dcs[dc].vms.get_mut(name).expect("VM");
        record.state = VmState::Stopped(operation);
        *self.due.get_mut(pool).expect("pool") -= 1;
        self.out += 1;
        self.progress[dc].started += 1;
        self.outcome.reserve = self.outcome.reserve.max(self.planned());
        let vm = self.names[dc].binary_search(name).expect("VM");
        let DrawnStop { mut length, repair } = self.stops[dc][vm];
        if self.way == ChoiceWay::Covered {
            // A spare VM drains to come and drains to leave.
            length += self.rng.random_range(10_000..120_000);
            self.outcome.moves += 2;
        }
        let limit = self.fleet.config.maintenance.return_limit_s * 1000;
        let event = if repair.is_none() {
            (now + length, WaveEvent::Returned { dc, vm })
        } else {
            (now + limit, WaveEvent::Lost { dc, vm })
        };
        self.events.push(Reverse(event));
    }

    fn choose(&self, dc: usize, past: &BTreeMap<PoolName, PoolLedger>, now: u64) -> Vec<VmName> {
        let view = WaveView {
            config: &self.fleet.config,
            fleet: &self.fleet.dcs[dc],
            ledgers: past,
            stale_dc_vms: &BTreeSet::new(),
            now_ms: now,
        };
        match self.way {
            ChoiceWay::Planner => next_stops(&view),
            ChoiceWay::Greedy => self.take_free(dc, past, |_, pool| pool.budget as usize),
            ChoiceWay::OneByOne => self.take_free(dc, &self.ledgers, |_, _| 1),
            ChoiceWay::FixedFraction => self.take_free(dc, &self.ledgers, |rows, pool| {
                let batch = (pool.vms.len() as f64 * FIXED_FRACTION).ceil() as usize;
                if rows == 0 { batch } else { 0 }
            }),
            ChoiceWay::Covered => self.cover(dc),
        }
    }

    /// Takes VMs in the order of their names; only planned rows count.
    fn take_free(
        &self,
        dc: usize,
        ledgers: &BTreeMap<PoolName, PoolLedger>,
        limit: impl Fn(usize, &chicorygauge::config::PoolConfig) -> usize,
    ) -> Vec<VmName> {
        let mut picks = Vec::new();
        let mut left: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for (name, vm) in &self.fleet.dcs[dc].vms {
            if !vm.state.is_serving() || vm.maintained_ms >= START_MS {
                continue;
            }
            let left = left.entry(&vm.pool).or_insert_with(|| {
                let rows = ledgers.get(&vm.pool).into_iter();
                let rows = rows.flat_map(|ledger| ledger.rows.values());
                let counts_failed = self.way == ChoiceWay::Greedy;
                let rows = rows.filter(|row| counts_failed || row.cause != OutageCause::Failed);
                let rows = rows.count();
                limit(rows, &self.fleet.config.pools[&vm.pool]).saturating_sub(rows)
            });
            if *left > 0 {
                *left -= 1;
                picks.push(name.clone());
            }
        }
        picks
    }

    fn cover(&self, dc: usize) -> Vec<VmName> {
        let spare = self.fleet.config.spare_pool.as_ref().expect("spare pool");
        let spare = self.fleet.config.pools[spare].vms.len();
        let picks = self.take_free(dc, &self.ledgers, |_, pool| pool.budget as usize);
        let free = spare.saturating_sub(self.planned());
        picks.into_iter().take(free).collect()
    }
}

/// Lets only VMs of bad racks fail; there is one at least if any VM is to fail.
fn spare_good_racks(
    fleet: &MadeFleet,
    stops: &mut [Vec<DrawnStop>],
    failing: f64,
    rng: &mut StdRng,
) {
    let racks = fleet.dcs.iter().enumerate();
    let racks = racks.flat_map(|(dc, record)| {
        let racks = record.vms.values().map(move |vm| (dc, &vm.rack));
        racks.collect::<BTreeSet<_>>()
    });
    let mut racks: Vec<_> = racks.collect();
    racks.shuffle(rng);
    racks.truncate((racks.len() as f64 * failing / BAD_RACK_SHARE).ceil() as usize);
    for (dc, record) in fleet.dcs.iter().enumerate() {
        for (vm, stop) in record.vms.values().zip(&mut stops[dc]) {
            if !racks.contains(&(dc, &vm.rack)) {
                stop.repair = None;
            }
        }
    }
}

/// Weights of a user who weighs moves and roll-out time most.
fn evasapu_weights() -> MeasureWeights {
    MeasureWeights {
        buffer: 1.0,
        rollout: 4.0,
        moves: 4.0,
    }
}

/// Weights of a user who weighs buffer cost most.
fn nilebench_weights() -> MeasureWeights {
    MeasureWeights {
        buffer: 4.0,
        rollout: 1.0,
        moves: 1.0,
    }
}

/// Shape of both first users: five pools, the last one spare, two VMs of budget.
fn first_user() -> FleetShape {
    FleetShape {
        dcs: 3,
        pools: [9, 9, 11, 12, 8].map(|size| (size, 2)).to_vec(),
        seed: 1,
    }
}

/// Fleets from the first users' size to the size to come.
fn all_shapes() -> Vec<(&'static str, FleetShape)> {
    vec![
        ("first", first_user()),
        ("500", shapes::made_up(500, 20, 6)),
        ("2000", shapes::made_up(2000, 50, 12)),
        ("7100", shapes::made_up(7100, 133, 24)),
    ]
}

fn print_row(shape: &str, failing: f64, name: &str, outcome: &WaveOutcome) {
    println!(
        "{shape:>6} {:>5.0} {name:<22} {:>9.0} {:>6.2} {:>7} {:>6} {:>7} {:>5} {:>6} {:>7} {:>6} {:>8.1}",
        failing * 100.0,
        outcome.rollout_s,
        outcome.rollout_s / outcome.bound_s,
        outcome.reserve,
        outcome.moves,
        outcome.breaches,
        outcome.lost,
        outcome.self_stops,
        outcome.writes,
        outcome.lost_races,
        outcome.spent.as_secs_f64() * 1e6 / outcome.calls as f64,
    );
}

fn weights_of(buffer: f64, rollout: f64) -> MeasureWeights {
    MeasureWeights {
        buffer,
        rollout,
        moves: 1.0,
    }
}

fn main() {
    let largest = std::env::args().find_map(|arg| arg.parse::<usize>().ok());
    println!(
        "{:>6} {:>5} {:<22} {:>9} {:>6} {:>7} {:>6} {:>7} {:>5} {:>6} {:>7} {:>6} {:>8}",
        "fleet",
        "fail%",
        "way",
        "rollout_s",
        "ratio",
        "reserve",
        "moves",
        "breach",
        "lost",
        "halts",
        "writes",
        "raced",
        "us/call"
    );
    let ways = [
        (
            "planner, roll-out only",
            ChoiceWay::Planner,
            weights_of(0.0, 1.0),
        ),
        ("planner, Evasapu", ChoiceWay::Planner, evasapu_weights()),
        ("planner, equal", ChoiceWay::Planner, weights_of(1.0, 1.0)),
        (
            "planner, Nilebench",
            ChoiceWay::Planner,
            nilebench_weights(),
        ),
        ("all that is free", ChoiceWay::Greedy, weights_of(0.0, 1.0)),
        ("one VM per pool", ChoiceWay::OneByOne, weights_of(0.0, 1.0)),
        (
            "10 % in batches",
            ChoiceWay::FixedFraction,
            weights_of(0.0, 1.0),
        ),
        (
            "spare VM for each stop",
            ChoiceWay::Covered,
            weights_of(0.0, 1.0),
        ),
    ];
    for (name, shape) in all_shapes() {
        let workers: usize = shape.pools.iter().map(|(size, _)| size).sum();
        if largest.is_some_and(|largest| workers > largest) {
            continue;
        }
        for failing in [0.0, 0.01, 0.05, 0.2] {
            for (way_name, way, weights) in &ways {
                let outcome = WaveDrive::new(&shape, *weights, *way, failing).run();
                print_row(name, failing, way_name, &outcome);
            }
        }
    }
}
