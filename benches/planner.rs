//! Simulates whole waves and compares policies that choose the planned stops:
//! `cargo bench --bench planner`.
//!
//! Only the decision runs; a model gives the duration of each stop. Controllers act
//! once a second. The planner and the greedy policy decide on the ledgers as they were
//! at the start of the second, the other policies on the current ones. Of several
//! writes to one ledger in the same second the first succeeds. A stop takes 3 to 7
//! minutes after a drain of 5 to 60 s. Failures affect whole racks: four in five VMs of
//! a bad rack do not return and are repaired 2 to 6 hours later. A wave that stops
//! itself because of failures is resumed by an operator after half an hour. The
//! roll-out ends when the last VM has been maintained; its lower bound counts repairs
//! as time out of service.

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
use support::START_MS;
use support::SyntheticFleet;

/// Time between two rounds, in each of which every controller acts once.
const ROUND_MS: u64 = 1000;
/// Share of the VMs of a bad rack that do not return.
const BAD_RACK_SHARE: f64 = 0.8;
/// Time until an operator resumes a wave that stopped itself.
const RESUME_DELAY_MS: u64 = 30 * 60_000;
/// Share of a pool that is stopped at once under [`StopPolicy::FixedFraction`].
const FIXED_FRACTION: f64 = 0.1;

/// How stops are chosen.
#[derive(Clone, Copy, PartialEq)]
enum StopPolicy {
    /// The decision of the controller.
    Planner,
    /// Every controller uses all of the budget that the ledgers leave.
    Greedy,
    /// One VM of each pool is stopped at a time.
    OneByOne,
    /// A fixed fraction of each pool is stopped at once; the next batch starts when all
    /// VMs of the last one have returned or failed.
    FixedFraction,
    /// As many stops as budgets and spare VMs allow; a spare VM is lent for each.
    Covered,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaveEvent {
    Returned { dc: usize, vm: usize },
    Lost { dc: usize, vm: usize },
    Repaired { dc: usize, vm: usize },
    Resumed { dc: usize },
}

/// Outcome of the stop of one VM, drawn in advance.
#[derive(Clone, Copy)]
struct StopOutcome {
    /// Drain and stop, in milliseconds.
    duration_ms: u64,
    /// Duration of the repair, in milliseconds, if the VM does not return.
    repair_ms: Option<u64>,
}

impl StopOutcome {
    /// Time from the start of the stop until the VM serves again, in milliseconds.
    fn downtime_ms(&self) -> u64 {
        let limit = MaintenanceRules::default().return_limit_s * 1000;
        self.repair_ms
            .map_or(self.duration_ms, |repair_ms| limit + repair_ms)
    }
}

/// Figures of one wave.
#[derive(Default)]
struct WaveOutcome {
    rollout_s: f64,
    /// Lower bound of `rollout_s`.
    bound_s: f64,
    /// Moves of spare VMs.
    moves: usize,
    /// Maximum number of VMs in planned stops at once.
    max_planned: usize,
    /// Stops that left more VMs of a pool out of service than its budget.
    breaches: usize,
    /// VMs that did not return.
    lost: usize,
    /// Times that the wave of a data centre stopped itself because of failures.
    failure_stops: usize,
    /// Attempted writes to ledgers.
    writes: usize,
    /// Writes that lost to another controller's write in the same round.
    write_conflicts: usize,
    /// Decisions taken.
    decisions: usize,
    /// Time spent in decisions.
    decision_time: Duration,
}

/// Simulation of one wave.
struct WaveSimulation {
    policy: StopPolicy,
    fleet: SyntheticFleet,
    /// VMs of each data centre, sorted.
    names: Vec<Vec<VmName>>,
    /// Outcomes of the stops, in the order of `names`.
    stops: Vec<Vec<StopOutcome>>,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    progress: Vec<WaveProgress>,
    events: BinaryHeap<Reverse<(u64, WaveEvent)>>,
    /// Number of VMs of each pool whose stop has not started.
    due: BTreeMap<PoolName, usize>,
    /// Number of VMs out of service.
    out_of_service: usize,
    outcome: WaveOutcome,
    rng: StdRng,
}

impl WaveSimulation {
    fn new(shape: &FleetShape, weights: MeasureWeights, policy: StopPolicy, failing: f64) -> Self {
        let fleet = support::make_fleet(shape, weights);
        let mut rng = StdRng::seed_from_u64(shape.seed + 100);
        let mut due = BTreeMap::new();
        let mut stops = Vec::new();
        let mut names = Vec::new();
        for dc in &fleet.dcs {
            let mut dc_stops = Vec::new();
            for vm in dc.vms.values() {
                *due.entry(vm.pool.clone()).or_default() += 1;
                let duration_ms = rng.random_range(185_000..480_000);
                let repair_ms = rng.random_range(2 * 3_600_000..6 * 3_600_000);
                let fails = rng.random_bool(BAD_RACK_SHARE);
                dc_stops.push(StopOutcome {
                    duration_ms,
                    repair_ms: fails.then_some(repair_ms),
                });
            }
            stops.push(dc_stops);
            names.push(dc.vms.keys().cloned().collect());
        }
        clear_good_racks(&fleet, &mut stops, failing, &mut rng);
        let mut simulation = Self {
            policy,
            names,
            stops,
            ledgers: BTreeMap::new(),
            progress: vec![WaveProgress::default(); fleet.dcs.len()],
            events: BinaryHeap::new(),
            due,
            out_of_service: 0,
            outcome: WaveOutcome::default(),
            rng,
            fleet,
        };
        simulation.outcome.bound_s = simulation.lower_bound();
        simulation
    }

    /// Returns a lower bound of the roll-out, in seconds: no pool can end before its stops
    /// have been packed into as many sequences as its budget allows.
    fn lower_bound(&self) -> f64 {
        let mut downtimes: BTreeMap<&PoolName, Vec<u64>> = BTreeMap::new();
        for (dc, stops) in self.fleet.dcs.iter().zip(&self.stops) {
            for (vm, stop) in dc.vms.values().zip(stops) {
                downtimes
                    .entry(&vm.pool)
                    .or_default()
                    .push(stop.downtime_ms());
            }
        }
        let bounds = downtimes.iter_mut().map(|(pool, downtimes)| {
            downtimes.sort_unstable();
            let budget = self.fleet.config.pools[*pool].budget as usize;
            let sequence: u64 = downtimes
                .iter()
                .take(downtimes.len().div_ceil(budget))
                .sum();
            let mean = downtimes.iter().sum::<u64>() / budget as u64;
            sequence.max(mean).max(downtimes[downtimes.len() - 1])
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
            let started = self.run_round(now);
            let due: usize = self.due.values().sum();
            if due == 0 && self.out_of_service == 0 {
                return self.outcome;
            }
            now += ROUND_MS;
            if started == 0 && !self.can_start() {
                let next = self.events.peek().map(|Reverse((time, _))| *time);
                now = now.max(next.expect("pending event").next_multiple_of(ROUND_MS));
            }
        }
    }

    fn apply(&mut self, time: u64, event: WaveEvent) {
        match event {
            WaveEvent::Returned { dc, vm } => {
                self.progress[dc].returned += 1;
                self.return_vm(time, dc, vm);
            }
            WaveEvent::Lost { dc, vm } => {
                self.outcome.lost += 1;
                self.progress[dc].failed += 1;
                let name = self.names[dc][vm].clone();
                let record = self.fleet.dcs[dc].vms.get_mut(&name).expect("VM");
                record.state = VmState::Failed;
                let ledger = self.ledgers.get_mut(&record.pool).expect("ledger");
                ledger.rows.get_mut(&name).expect("row").cause = OutageCause::Failed;
                let repair_ms = self.stops[dc][vm]
                    .repair_ms
                    .expect("a failed VM is repaired");
                let event = WaveEvent::Repaired { dc, vm };
                self.events.push(Reverse((time + repair_ms, event)));
                self.check_failures(time, dc);
            }
            WaveEvent::Repaired { dc, vm } => self.return_vm(time, dc, vm),
            WaveEvent::Resumed { dc } => self.progress[dc] = WaveProgress::default(),
        }
    }

    /// Stops the wave of a data centre if too many VMs have failed.
    fn check_failures(&mut self, time: u64, dc: usize) {
        let rules = &self.fleet.config.maintenance;
        let progress = &mut self.progress[dc];
        let stops_itself = matches!(self.policy, StopPolicy::Planner | StopPolicy::Greedy);
        if stops_itself && progress.stopped.is_none() && wave_should_stop(progress, rules) {
            progress.stopped = Some("failures".to_owned());
            self.outcome.failure_stops += 1;
            let event = WaveEvent::Resumed { dc };
            self.events.push(Reverse((time + RESUME_DELAY_MS, event)));
        }
    }

    /// Records that a VM serves again.
    fn return_vm(&mut self, time: u64, dc: usize, vm: usize) {
        self.outcome.rollout_s = (time - START_MS) as f64 / 1000.0;
        self.out_of_service -= 1;
        let name = &self.names[dc][vm];
        let record = self.fleet.dcs[dc].vms.get_mut(name).expect("VM");
        record.state = VmState::Serving;
        record.maintained_ms = time;
        let ledger = self.ledgers.get_mut(&record.pool).expect("ledger");
        ledger.rows.remove(name);
    }

    /// Number of VMs in planned stops.
    fn planned_count(&self) -> usize {
        let rows = self
            .ledgers
            .values()
            .flat_map(|ledger| ledger.rows.values());
        let planned = rows.filter(|row| row.cause != OutageCause::Failed);
        planned.count()
    }

    /// Returns whether any controller could start a stop in the next round.
    fn can_start(&self) -> bool {
        let config = &self.fleet.config;
        let wave = config.wave.as_ref().expect("wave");
        let plan = WavePlan::new(config, wave);
        let rows = |pool: &PoolName| {
            self.ledgers
                .get(pool)
                .into_iter()
                .flat_map(|ledger| ledger.rows.values())
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
            let planner = self.policy == StopPolicy::Planner;
            let within_limits = !planner
                || planned(pool) < share.limit && !(share.uses_shared && shared >= plan.shared);
            within_limits && *due > 0 && rows(pool).count() < share.config.budget as usize
        })
    }

    /// Lets every controller act once; returns the number of stops started.
    fn run_round(&mut self, now: u64) -> usize {
        let ledgers_before = self.ledgers.clone();
        let mut written = BTreeSet::new();
        let mut started = 0;
        let first_dc = self.rng.random_range(0..self.fleet.dcs.len());
        for turn in 0..self.fleet.dcs.len() {
            let dc = (turn + first_dc) % self.fleet.dcs.len();
            if self.progress[dc].stopped.is_some() {
                continue;
            }
            let before = Instant::now();
            let chosen = self.choose_stops(dc, &ledgers_before, now);
            self.outcome.decision_time += before.elapsed();
            self.outcome.decisions += 1;
            let mut pools: BTreeMap<PoolName, Vec<VmName>> = BTreeMap::new();
            for vm in chosen {
                let pool = self.fleet.dcs[dc].vms[&vm].pool.clone();
                pools.entry(pool).or_default().push(vm);
            }
            for (pool, chosen) in pools {
                self.outcome.writes += 1;
                if !written.insert(pool.clone()) {
                    self.outcome.write_conflicts += 1;
                    continue;
                }
                for vm in &chosen {
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
        self.out_of_service += 1;
        self.progress[dc].started += 1;
        self.outcome.max_planned = self.outcome.max_planned.max(self.planned_count());
        let vm = self.names[dc].binary_search(name).expect("VM");
        let StopOutcome {
            mut duration_ms,
            repair_ms,
        } = self.stops[dc][vm];
        if self.policy == StopPolicy::Covered {
            // The spare VM drains twice: before it joins the pool and before it leaves.
            duration_ms += self.rng.random_range(10_000..120_000);
            self.outcome.moves += 2;
        }
        let limit = self.fleet.config.maintenance.return_limit_s * 1000;
        let event = if repair_ms.is_none() {
            (now + duration_ms, WaveEvent::Returned { dc, vm })
        } else {
            (now + limit, WaveEvent::Lost { dc, vm })
        };
        self.events.push(Reverse(event));
    }

    fn choose_stops(
        &self,
        dc: usize,
        ledgers_before: &BTreeMap<PoolName, PoolLedger>,
        now: u64,
    ) -> Vec<VmName> {
        let view = WaveView {
            config: &self.fleet.config,
            fleet: &self.fleet.dcs[dc],
            ledgers: ledgers_before,
            stale_dc_vms: &BTreeSet::new(),
            now_ms: now,
        };
        match self.policy {
            StopPolicy::Planner => next_stops(&view),
            StopPolicy::Greedy => {
                self.choose_by_limit(dc, ledgers_before, |_, pool| pool.budget as usize)
            }
            StopPolicy::OneByOne => self.choose_by_limit(dc, &self.ledgers, |_, _| 1),
            StopPolicy::FixedFraction => self.choose_by_limit(dc, &self.ledgers, |rows, pool| {
                let batch = (pool.vms.len() as f64 * FIXED_FRACTION).ceil() as usize;
                if rows == 0 { batch } else { 0 }
            }),
            StopPolicy::Covered => self.choose_covered(dc),
        }
    }

    /// Chooses VMs in the order of names, up to `limit` ledger rows of each pool. Rows of
    /// failed VMs count only under [`StopPolicy::Greedy`].
    fn choose_by_limit(
        &self,
        dc: usize,
        ledgers: &BTreeMap<PoolName, PoolLedger>,
        limit: impl Fn(usize, &chicorygauge::config::PoolConfig) -> usize,
    ) -> Vec<VmName> {
        let mut chosen = Vec::new();
        let mut remaining: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for (name, vm) in &self.fleet.dcs[dc].vms {
            if !vm.state.is_serving() || vm.maintained_ms >= START_MS {
                continue;
            }
            let remaining = remaining.entry(&vm.pool).or_insert_with(|| {
                let rows = ledgers.get(&vm.pool).into_iter();
                let rows = rows.flat_map(|ledger| ledger.rows.values());
                let counts_failed = self.policy == StopPolicy::Greedy;
                let rows = rows.filter(|row| counts_failed || row.cause != OutageCause::Failed);
                let rows = rows.count();
                limit(rows, &self.fleet.config.pools[&vm.pool]).saturating_sub(rows)
            });
            if *remaining > 0 {
                *remaining -= 1;
                chosen.push(name.clone());
            }
        }
        chosen
    }

    /// Chooses no more VMs than there are free spare VMs.
    fn choose_covered(&self, dc: usize) -> Vec<VmName> {
        let spare = self.fleet.config.spare_pool.as_ref().expect("spare pool");
        let spare = self.fleet.config.pools[spare].vms.len();
        let chosen = self.choose_by_limit(dc, &self.ledgers, |_, pool| pool.budget as usize);
        let free = spare.saturating_sub(self.planned_count());
        chosen.into_iter().take(free).collect()
    }
}

/// Draws the bad racks and removes the failures of all other racks' VMs. There is at
/// least one bad rack if `failing`, the share of VMs that fail, is above 0.
fn clear_good_racks(
    fleet: &SyntheticFleet,
    stops: &mut [Vec<StopOutcome>],
    failing: f64,
    rng: &mut StdRng,
) {
    let racks = fleet.dcs.iter().enumerate();
    let racks = racks.flat_map(|(dc, record)| {
        let racks = record.vms.values().map(move |vm| (dc, &vm.rack));
        racks.collect::<BTreeSet<_>>()
    });
    let mut bad_racks: Vec<_> = racks.collect();
    bad_racks.shuffle(rng);
    bad_racks.truncate((bad_racks.len() as f64 * failing / BAD_RACK_SHARE).ceil() as usize);
    for (dc, record) in fleet.dcs.iter().enumerate() {
        for (vm, stop) in record.vms.values().zip(&mut stops[dc]) {
            if !bad_racks.contains(&(dc, &vm.rack)) {
                stop.repair_ms = None;
            }
        }
    }
}

/// Weights of the user that gives priority to few moves and a short roll-out.
fn evasapu_weights() -> MeasureWeights {
    MeasureWeights {
        buffer: 1.0,
        rollout: 4.0,
        moves: 4.0,
    }
}

/// Weights of the user that gives priority to a small buffer.
fn nilebench_weights() -> MeasureWeights {
    MeasureWeights {
        buffer: 4.0,
        rollout: 1.0,
        moves: 1.0,
    }
}

/// Fleet of either first user: five pools with a budget of two VMs each; the last is
/// the spare pool.
fn first_user_shape() -> FleetShape {
    FleetShape {
        dcs: 3,
        pools: [9, 9, 11, 12, 8].map(|size| (size, 2)).to_vec(),
        seed: 1,
    }
}

/// Fleets from the size of the first users to the planned size.
fn all_shapes() -> Vec<(&'static str, FleetShape)> {
    vec![
        ("first", first_user_shape()),
        ("500", shapes::random_shape(500, 20, 6)),
        ("2000", shapes::random_shape(2000, 50, 12)),
        ("7100", shapes::random_shape(7100, 133, 24)),
    ]
}

fn print_row(shape: &str, failing: f64, name: &str, outcome: &WaveOutcome) {
    println!(
        "{shape:>6} {:>5.0} {name:<22} {:>9.0} {:>6.2} {:>7} {:>6} {:>7} {:>5} {:>6} {:>7} {:>6} {:>8.1}",
        failing * 100.0,
        outcome.rollout_s,
        outcome.rollout_s / outcome.bound_s,
        outcome.max_planned,
        outcome.moves,
        outcome.breaches,
        outcome.lost,
        outcome.failure_stops,
        outcome.writes,
        outcome.write_conflicts,
        outcome.decision_time.as_secs_f64() * 1e6 / outcome.decisions as f64,
    );
}

fn two_weights(buffer: f64, rollout: f64) -> MeasureWeights {
    MeasureWeights {
        buffer,
        rollout,
        moves: 1.0,
    }
}

fn main() {
    let max_workers = std::env::args().find_map(|arg| arg.parse::<usize>().ok());
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
    let policies = [
        (
            "planner, roll-out only",
            StopPolicy::Planner,
            two_weights(0.0, 1.0),
        ),
        ("planner, Evasapu", StopPolicy::Planner, evasapu_weights()),
        ("planner, equal", StopPolicy::Planner, two_weights(1.0, 1.0)),
        (
            "planner, Nilebench",
            StopPolicy::Planner,
            nilebench_weights(),
        ),
        (
            "all that is free",
            StopPolicy::Greedy,
            two_weights(0.0, 1.0),
        ),
        (
            "one VM per pool",
            StopPolicy::OneByOne,
            two_weights(0.0, 1.0),
        ),
        (
            "10 % in batches",
            StopPolicy::FixedFraction,
            two_weights(0.0, 1.0),
        ),
        (
            "spare VM for each stop",
            StopPolicy::Covered,
            two_weights(0.0, 1.0),
        ),
    ];
    for (name, shape) in all_shapes() {
        let workers: usize = shape.pools.iter().map(|(size, _)| size).sum();
        if max_workers.is_some_and(|max_workers| workers > max_workers) {
            continue;
        }
        for failing in [0.0, 0.01, 0.05, 0.2] {
            for (policy_name, policy, weights) in &policies {
                let outcome = WaveSimulation::new(&shape, *weights, *policy, failing).run();
                print_row(name, failing, policy_name, &outcome);
            }
        }
    }
}
