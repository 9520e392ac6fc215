//! Drives lending through days of demand: `cargo bench --bench lending`.
//!
//! One data centre with the first users' pools and eight spare VMs. Every pool
//! has a daily curve, two to three peaks of 20 to 120 minutes beyond its size, and
//! a burst in every few minutes: five times its mean for 5 to 10 s, then a
//! twentieth for 20 to 40 s. A VM that moves serves nobody for 30 s. The offline
//! best knows the whole day, minute by minute, and is found by dynamic
//! programming over the VMs lent to each pool. Costs are in VM-minutes: one for
//! each missing VM, a fifth for each lent VM, five for each move.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use chicorygauge::config::MeasureWeights;
use chicorygauge::decide::lending::LendingRules;
use chicorygauge::decide::lending::LendingState;
use chicorygauge::decide::lending::LendingView;
use chicorygauge::fleet::DrainPurpose;
use chicorygauge::fleet::VmState;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::FleetShape;
use support::MadeFleet;

const SIZES: [usize; 4] = [9, 9, 11, 12];
const SPARES: usize = 8;
const TICK_S: usize = 5;
const MINUTE_TICKS: usize = 60 / TICK_S;
const DAY_TICKS: usize = 24 * 60 * MINUTE_TICKS;
/// Ticks for which a moving VM serves nobody.
const MOVE_TICKS: usize = 30 / TICK_S;
const IDLE_COST: f64 = 0.2;
const MOVE_COST: f64 = 5.0;
/// Length of the moving average of two of the other ways, in ticks.
const AVERAGE_TICKS: usize = 60 / TICK_S;
/// Shortest stay of a lent VM in the way with a hold, in ticks.
const HOLD_TICKS: usize = 600 / TICK_S;

type PoolValues = [f64; SIZES.len()];
type PoolCounts = [usize; SIZES.len()];

#[derive(Clone, Copy, PartialEq)]
enum LendingWay {
    None,
    Threshold,
    Average,
    AverageHold,
    Account(f64),
}

#[derive(Default)]
struct DayOutcome {
    moves: usize,
    short: f64,
    lent: f64,
    breaches: usize,
}

impl DayOutcome {
    fn cost(&self) -> f64 {
        self.short + IDLE_COST * self.lent + MOVE_COST * self.moves as f64
    }
}

fn day_of_demand(seed: u64) -> Vec<PoolValues> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut demand = vec![PoolValues::default(); DAY_TICKS];
    for (pool, size) in SIZES.iter().enumerate() {
        let size = *size as f64;
        let phase = rng.random_range(0.0..0.2);
        for (tick, values) in demand.iter_mut().enumerate() {
            let day = tick as f64 / DAY_TICKS as f64 + phase;
            values[pool] = size * (0.6 - 0.25 * (day * std::f64::consts::TAU).cos());
        }
        for _ in 0..rng.random_range(2..=3) {
            let length = rng.random_range(20..120) * MINUTE_TICKS;
            let start = rng.random_range(0..DAY_TICKS - length);
            let level = size + rng.random_range(0.5..4.0);
            for values in &mut demand[start..start + length] {
                values[pool] = level;
            }
        }
        let mut tick = 0;
        while tick < DAY_TICKS {
            let burst = rng.random_range(1..=2);
            let lull = rng.random_range(4..=8);
            for (index, values) in demand[tick..].iter_mut().take(burst + lull).enumerate() {
                values[pool] *= if index < burst { 5.0 } else { 0.05 };
            }
            tick += burst + lull + rng.random_range(MINUTE_TICKS..5 * MINUTE_TICKS);
        }
    }
    demand
}

/// Means of each minute.
fn minutes(values: &[PoolValues]) -> Vec<PoolValues> {
    let minutes = values.chunks(MINUTE_TICKS).map(|ticks| {
        std::array::from_fn(|pool| {
            ticks.iter().map(|values| values[pool]).sum::<f64>() / ticks.len() as f64
        })
    });
    minutes.collect()
}

fn shortage(needs: &PoolValues, lent: &PoolValues) -> f64 {
    let pools = SIZES.iter().enumerate();
    let gaps = pools.map(|(pool, size)| needs[pool] - *size as f64 - lent[pool]);
    gaps.map(|gap| gap.max(0.0)).sum()
}

fn all_lendings() -> Vec<PoolCounts> {
    let mut lendings = vec![PoolCounts::default()];
    for pool in 0..SIZES.len() {
        let grown = lendings.into_iter().flat_map(|lending| {
            let used: usize = lending.iter().sum();
            (0..=SPARES - used).map(move |count| {
                let mut lending = lending;
                lending[pool] = count;
                lending
            })
        });
        lendings = grown.collect();
    }
    lendings
}

/// Finds the day of least cost.
fn offline_best(demand: &[PoolValues]) -> DayOutcome {
    let lendings = all_lendings();
    let minutes = minutes(demand);
    let moves = |a: &PoolCounts, b: &PoolCounts| -> usize {
        a.iter().zip(b).map(|(a, b)| a.abs_diff(*b)).sum()
    };
    let mut costs: Vec<f64> = lendings
        .iter()
        .map(|to| MOVE_COST * moves(&[0; SIZES.len()], to) as f64)
        .collect();
    let mut choices = Vec::new();
    for (minute, needs) in minutes.iter().enumerate() {
        let stay = |lending: &PoolCounts| {
            let lent = lending.map(|count| count as f64);
            shortage(needs, &lent) + IDLE_COST * lent.iter().sum::<f64>()
        };
        let chosen = lendings.iter().enumerate().map(|(index, to)| {
            if minute == 0 {
                return (costs[index], index);
            }
            let from = lendings.iter().enumerate();
            let from = from.map(|(i, from)| (costs[i] + MOVE_COST * moves(from, to) as f64, i));
            from.min_by(|a, b| a.0.total_cmp(&b.0)).expect("a lending")
        });
        let chosen: Vec<_> = chosen.collect();
        let next = chosen.iter().zip(&lendings);
        costs = next.map(|((cost, _), to)| cost + stay(to)).collect();
        choices.push(chosen);
    }
    let best = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let mut index = best.expect("a lending");
    let mut outcome = DayOutcome::default();
    for (chosen, needs) in choices.iter().zip(&minutes).rev() {
        let lent = lendings[index].map(|count| count as f64);
        outcome.short += shortage(needs, &lent);
        outcome.lent += lent.iter().sum::<f64>();
        let before = chosen[index].1;
        outcome.moves += moves(&lendings[before], &lendings[index]);
        index = before;
    }
    outcome.moves += moves(&[0; SIZES.len()], &lendings[index]);
    outcome
}

/// A data centre with its VMs on the move.
struct DayDrive {
    fleet: MadeFleet,
    /// Time of arrival of each moving VM.
    moving: Vec<(usize, VmName, PoolName)>,
    since: BTreeMap<VmName, usize>,
    recent: VecDeque<PoolValues>,
    outcome: DayOutcome,
}

impl DayDrive {
    fn new() -> Self {
        let mut sizes: Vec<_> = SIZES.iter().map(|size| (*size, 2)).collect();
        sizes.push((SPARES, 2));
        let shape = FleetShape {
            dcs: 1,
            pools: sizes,
            seed: 1,
        };
        Self {
            fleet: support::make_fleet(&shape, MeasureWeights::default()),
            moving: Vec::new(),
            since: BTreeMap::new(),
            recent: VecDeque::new(),
            outcome: DayOutcome::default(),
        }
    }

    fn run(mut self, demand: &[PoolValues], way: LendingWay) -> DayOutcome {
        let mut state = LendingState::default();
        let mut lent = Vec::new();
        for (tick, needs) in demand.iter().enumerate() {
            self.arrive(tick);
            self.recent.push_back(*needs);
            if self.recent.len() > AVERAGE_TICKS {
                self.recent.pop_front();
            }
            for (vm, to) in self.choose(&mut state, tick, needs, way) {
                self.start(tick, vm, to);
            }
            let counts = self.serving();
            lent.push(std::array::from_fn(|pool| {
                counts[pool] as f64 - SIZES[pool] as f64
            }));
        }
        for (needs, lent) in minutes(demand).iter().zip(minutes(&lent)) {
            self.outcome.short += shortage(needs, &lent);
            self.outcome.lent += lent.iter().map(|lent| lent.max(0.0)).sum::<f64>();
        }
        self.outcome
    }

    fn serving(&self) -> PoolCounts {
        let vms = self.fleet.dcs[0].vms.values();
        let serving: Vec<_> = vms.filter(|vm| vm.state.is_serving()).collect();
        std::array::from_fn(|pool| {
            let pool = support::pool_name(pool);
            serving.iter().filter(|vm| vm.pool == pool).count()
        })
    }

    fn arrive(&mut self, tick: usize) {
        let vms = &mut self.fleet.dcs[0].vms;
        self.moving.retain(|(at, name, to)| {
            if *at > tick {
                return true;
            }
            let vm = vms.get_mut(name).expect("VM");
            vm.pool = to.clone();
            vm.state = VmState::Serving;
            self.since.insert(name.clone(), tick);
            false
        });
    }

    fn start(&mut self, tick: usize, name: VmName, to: PoolName) {
        let vm = self.fleet.dcs[0].vms.get_mut(&name).expect("VM");
        assert!(vm.state.is_serving(), "a VM moves once at a time");
        vm.state = VmState::Draining(DrainPurpose::Move(to.clone()));
        let from = vm.pool.clone();
        self.outcome.moves += 1;
        self.moving.push((tick + MOVE_TICKS, name, to));
        let vms = self.fleet.dcs[0].vms.values();
        let leaving = vms.filter(|vm| vm.pool == from && !vm.state.is_serving());
        let budget = self.fleet.config.pools[&from].budget as usize;
        self.outcome.breaches += usize::from(leaving.count() > budget);
    }

    fn choose(
        &self,
        state: &mut LendingState,
        tick: usize,
        needs: &PoolValues,
        way: LendingWay,
    ) -> Vec<(VmName, PoolName)> {
        match way {
            LendingWay::None => Vec::new(),
            LendingWay::Account(cost) => {
                let needs = needs.iter().enumerate();
                let needs = needs.map(|(pool, need)| (support::pool_name(pool), *need));
                let view = LendingView {
                    config: &self.fleet.config,
                    fleet: &self.fleet.dcs[0],
                    ledgers: &BTreeMap::new(),
                    demand: &needs.collect(),
                    now: Duration::from_secs((tick * TICK_S) as u64),
                };
                let rules = LendingRules {
                    move_cost_s: cost,
                    ..LendingRules::default()
                };
                let moves = state.step(&view, &rules);
                moves.into_iter().map(|step| (step.vm, step.to)).collect()
            }
            LendingWay::Threshold => self.follow(tick, needs, 0),
            LendingWay::Average => self.follow(tick, &self.average(), 0),
            LendingWay::AverageHold => self.follow(tick, &self.average(), HOLD_TICKS),
        }
    }

    fn average(&self) -> PoolValues {
        let count = self.recent.len() as f64;
        std::array::from_fn(|pool| {
            self.recent.iter().map(|values| values[pool]).sum::<f64>() / count
        })
    }

    /// Lends what is short and returns what is idle after `hold`.
    fn follow(&self, tick: usize, needs: &PoolValues, hold: usize) -> Vec<(VmName, PoolName)> {
        let spare = support::pool_name(SIZES.len());
        let vms = &self.fleet.dcs[0].vms;
        let of_pool = |pool: &PoolName| {
            let vms = vms
                .iter()
                .filter(|(_, vm)| vm.pool == *pool && vm.state.is_serving());
            vms.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let mut free = of_pool(&spare);
        let counts = self.serving();
        let homes: &BTreeSet<VmName> = &self.fleet.config.pools[&spare].vms;
        let mut moves = Vec::new();
        for (pool, need) in needs.iter().enumerate() {
            let name = support::pool_name(pool);
            let coming = self.moving.iter().filter(|(_, _, to)| *to == name).count();
            let have = (counts[pool] + coming) as f64;
            let lend = (need - have).ceil().max(0.0) as usize;
            let lend = lend.min(free.len());
            moves.extend(free.drain(..lend).map(|vm| (vm, name.clone())));
            let idle = (have - need).floor().max(0.0) as usize;
            let lent = of_pool(&name).into_iter().filter(|vm| homes.contains(vm));
            let lent = lent.filter(|vm| self.since[vm] + hold <= tick);
            moves.extend(lent.take(idle).map(|vm| (vm, spare.clone())));
        }
        moves
    }
}

fn main() {
    let ways = [
        ("no lending", LendingWay::None),
        ("threshold", LendingWay::Threshold),
        ("mean of 60 s", LendingWay::Average),
        ("mean of 60 s, held 10 min", LendingWay::AverageHold),
        ("account, 150 VM-s", LendingWay::Account(150.0)),
        ("account, 300 VM-s", LendingWay::Account(300.0)),
        ("account, 600 VM-s", LendingWay::Account(600.0)),
        ("account, 1200 VM-s", LendingWay::Account(1200.0)),
    ];
    println!(
        "{:<4} {:<26} {:>6} {:>9} {:>11} {:>11} {:>8} {:>10} {:>8}",
        "day", "way", "moves", "of best", "short_VMmin", "lent_VMmin", "cost", "of best", "breach"
    );
    let mut sums: BTreeMap<&str, (f64, f64, usize)> = BTreeMap::new();
    let days = 5;
    for day in 1..=days {
        let demand = day_of_demand(day);
        let best = offline_best(&demand);
        let row = |name: &str, outcome: &DayOutcome| {
            println!(
                "{day:<4} {name:<26} {:>6} {:>9.2} {:>11.0} {:>11.0} {:>8.0} {:>10.2} {:>8}",
                outcome.moves,
                outcome.moves as f64 / best.moves as f64,
                outcome.short,
                outcome.lent,
                outcome.cost(),
                outcome.cost() / best.cost(),
                outcome.breaches
            );
        };
        row("offline best", &best);
        for (name, way) in ways {
            let outcome = DayDrive::new().run(&demand, way);
            row(name, &outcome);
            let sum = sums.entry(name).or_default();
            sum.0 += outcome.moves as f64 / best.moves as f64;
            sum.1 += outcome.cost() / best.cost();
            sum.2 += outcome.breaches;
        }
    }
    println!("\nmean of {days} days, as a share of the offline best");
    for (name, _) in ways {
        let (moves, cost, breaches) = sums[name];
        let days = days as f64;
        println!(
            "{name:<26} moves {:.2} cost {:.2} breaches {breaches}",
            moves / days,
            cost / days
        );
    }
}
