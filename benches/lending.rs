//! Simulates the lending of spare VMs to pools over days of demand and compares
//! policies: `cargo bench --bench lending`.
//!
//! One data centre has the pools of the first users and eight spare VMs. The demand
//! of every pool has a daily curve, two to three peaks of 20 to 120 minutes above the
//! pool's size, and a burst every few minutes: five times its mean for 5 to 10 s,
//! then a twentieth for 20 to 40 s. A VM that moves to another pool serves no
//! requests for 30 s. The offline optimum knows the demand of the whole day, minute
//! by minute; dynamic programming over the number of VMs lent to each pool finds it.
//! Costs are in VM-minutes: one for each minute of a missing VM, a fifth for each
//! minute of a lent VM, five for each move.

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
use support::SyntheticFleet;

/// VMs of each pool, without the spare pool.
const SIZES: [usize; 4] = [9, 9, 11, 12];
const SPARE_VMS: usize = 8;
const TICK_S: usize = 5;
const MINUTE_TICKS: usize = 60 / TICK_S;
const DAY_TICKS: usize = 24 * 60 * MINUTE_TICKS;
/// Ticks for which a VM that moves serves no requests.
const MOVE_TICKS: usize = 30 / TICK_S;
/// Cost of lending a VM for one minute, in VM-minutes.
const LENT_VM_COST: f64 = 0.2;
/// Cost of moving a VM, in VM-minutes.
const MOVE_COST: f64 = 5.0;
/// Window of the moving average, in ticks.
const WINDOW_TICKS: usize = 60 / TICK_S;
/// Minimum time for which [`LendingPolicy::AverageHold`] lends a VM, in ticks.
const HOLD_TICKS: usize = 600 / TICK_S;

type PoolValues = [f64; SIZES.len()];
type PoolCounts = [usize; SIZES.len()];

/// How the VMs to lend and to return are chosen.
#[derive(Clone, Copy, PartialEq)]
enum LendingPolicy {
    /// No VM is lent.
    None,
    /// Follows the current demand.
    Threshold,
    /// Follows the moving average of the demand.
    Average,
    /// Follows the moving average, with a minimum lending time.
    AverageHold,
    /// Decides with [`LendingState`], with this cost of a move in VM-seconds.
    Account(f64),
}

/// Totals of one day.
#[derive(Default)]
struct DayOutcome {
    moves: usize,
    /// Missing VMs, in VM-minutes.
    shortage_vm_minutes: f64,
    /// Lent VMs, in VM-minutes.
    lent_vm_minutes: f64,
    /// Moves that left more VMs of a pool out of service than its budget.
    breaches: usize,
}

impl DayOutcome {
    fn cost(&self) -> f64 {
        self.shortage_vm_minutes
            + LENT_VM_COST * self.lent_vm_minutes
            + MOVE_COST * self.moves as f64
    }
}

/// Draws the demand of one day: busy VMs of each pool at each tick.
fn draw_demand(seed: u64) -> Vec<PoolValues> {
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

/// Means of the values over each minute.
fn minute_means(values: &[PoolValues]) -> Vec<PoolValues> {
    let minutes = values.chunks(MINUTE_TICKS).map(|ticks| {
        std::array::from_fn(|pool| {
            ticks.iter().map(|values| values[pool]).sum::<f64>() / ticks.len() as f64
        })
    });
    minutes.collect()
}

/// VMs that all pools together need beyond their own and the lent ones.
fn shortage(needs: &PoolValues, lent: &PoolValues) -> f64 {
    let pools = SIZES.iter().enumerate();
    let gaps = pools.map(|(pool, size)| needs[pool] - *size as f64 - lent[pool]);
    gaps.map(|gap| gap.max(0.0)).sum()
}

/// Every distribution of up to [`SPARE_VMS`] lent VMs over the pools.
fn all_lendings() -> Vec<PoolCounts> {
    let mut lendings = vec![PoolCounts::default()];
    for pool in 0..SIZES.len() {
        let extended = lendings.into_iter().flat_map(|lending| {
            let used: usize = lending.iter().sum();
            (0..=SPARE_VMS - used).map(move |count| {
                let mut lending = lending;
                lending[pool] = count;
                lending
            })
        });
        lendings = extended.collect();
    }
    lendings
}

/// Finds the lending with the lowest cost for a day whose demand is known in advance.
fn offline_optimum(demand: &[PoolValues]) -> DayOutcome {
    let lendings = all_lendings();
    let minutes = minute_means(demand);
    let moves = |a: &PoolCounts, b: &PoolCounts| -> usize {
        a.iter().zip(b).map(|(a, b)| a.abs_diff(*b)).sum()
    };
    let mut costs: Vec<f64> = lendings
        .iter()
        .map(|to| MOVE_COST * moves(&[0; SIZES.len()], to) as f64)
        .collect();
    let mut choices = Vec::new();
    for (minute, needs) in minutes.iter().enumerate() {
        let minute_cost = |lending: &PoolCounts| {
            let lent = lending.map(|count| count as f64);
            shortage(needs, &lent) + LENT_VM_COST * lent.iter().sum::<f64>()
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
        costs = next.map(|((cost, _), to)| cost + minute_cost(to)).collect();
        choices.push(chosen);
    }
    let best = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let mut index = best.expect("a lending");
    let mut outcome = DayOutcome::default();
    for (chosen, needs) in choices.iter().zip(&minutes).rev() {
        let lent = lendings[index].map(|count| count as f64);
        outcome.shortage_vm_minutes += shortage(needs, &lent);
        outcome.lent_vm_minutes += lent.iter().sum::<f64>();
        let before = chosen[index].1;
        outcome.moves += moves(&lendings[before], &lendings[index]);
        index = before;
    }
    outcome.moves += moves(&[0; SIZES.len()], &lendings[index]);
    outcome
}

/// A simulated data centre.
struct DaySimulation {
    fleet: SyntheticFleet,
    /// VMs that move: tick at which the move ends, VM, new pool.
    moving: Vec<(usize, VmName, PoolName)>,
    /// Tick at which a VM arrived in its present pool.
    arrived: BTreeMap<VmName, usize>,
    /// Demand in the window of the moving average.
    recent_demand: VecDeque<PoolValues>,
    outcome: DayOutcome,
}

impl DaySimulation {
    fn new() -> Self {
        let mut sizes: Vec<_> = SIZES.iter().map(|size| (*size, 2)).collect();
        sizes.push((SPARE_VMS, 2));
        let shape = FleetShape {
            dcs: 1,
            pools: sizes,
            seed: 1,
        };
        Self {
            fleet: support::make_fleet(&shape, MeasureWeights::default()),
            moving: Vec::new(),
            arrived: BTreeMap::new(),
            recent_demand: VecDeque::new(),
            outcome: DayOutcome::default(),
        }
    }

    fn run(mut self, demand: &[PoolValues], policy: LendingPolicy) -> DayOutcome {
        let mut state = LendingState::default();
        let mut lent = Vec::new();
        for (tick, needs) in demand.iter().enumerate() {
            self.finish_moves(tick);
            self.recent_demand.push_back(*needs);
            if self.recent_demand.len() > WINDOW_TICKS {
                self.recent_demand.pop_front();
            }
            for (vm, to) in self.choose_moves(&mut state, tick, needs, policy) {
                self.start_move(tick, vm, to);
            }
            let counts = self.serving_counts();
            lent.push(std::array::from_fn(|pool| {
                counts[pool] as f64 - SIZES[pool] as f64
            }));
        }
        for (needs, lent) in minute_means(demand).iter().zip(minute_means(&lent)) {
            self.outcome.shortage_vm_minutes += shortage(needs, &lent);
            self.outcome.lent_vm_minutes += lent.iter().map(|lent| lent.max(0.0)).sum::<f64>();
        }
        self.outcome
    }

    fn serving_counts(&self) -> PoolCounts {
        let vms = self.fleet.dcs[0].vms.values();
        let serving: Vec<_> = vms.filter(|vm| vm.state.is_serving()).collect();
        std::array::from_fn(|pool| {
            let pool = support::pool_name(pool);
            serving.iter().filter(|vm| vm.pool == pool).count()
        })
    }

    fn finish_moves(&mut self, tick: usize) {
        let vms = &mut self.fleet.dcs[0].vms;
        self.moving.retain(|(at, name, to)| {
            if *at > tick {
                return true;
            }
            let vm = vms.get_mut(name).expect("VM");
            vm.pool = to.clone();
            vm.state = VmState::Serving;
            self.arrived.insert(name.clone(), tick);
            false
        });
    }

    fn start_move(&mut self, tick: usize, name: VmName, to: PoolName) {
        let vm = self.fleet.dcs[0].vms.get_mut(&name).expect("VM");
        assert!(
            vm.state.is_serving(),
            "the VM is already moving or out of service"
        );
        vm.state = VmState::Draining(DrainPurpose::Move(to.clone()));
        let from = vm.pool.clone();
        self.outcome.moves += 1;
        self.moving.push((tick + MOVE_TICKS, name, to));
        let vms = self.fleet.dcs[0].vms.values();
        let leaving = vms.filter(|vm| vm.pool == from && !vm.state.is_serving());
        let budget = self.fleet.config.pools[&from].budget as usize;
        self.outcome.breaches += usize::from(leaving.count() > budget);
    }

    fn choose_moves(
        &self,
        state: &mut LendingState,
        tick: usize,
        needs: &PoolValues,
        policy: LendingPolicy,
    ) -> Vec<(VmName, PoolName)> {
        match policy {
            LendingPolicy::None => Vec::new(),
            LendingPolicy::Account(cost) => {
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
            LendingPolicy::Threshold => self.follow_demand(tick, needs, 0),
            LendingPolicy::Average => self.follow_demand(tick, &self.average_demand(), 0),
            LendingPolicy::AverageHold => {
                self.follow_demand(tick, &self.average_demand(), HOLD_TICKS)
            }
        }
    }

    fn average_demand(&self) -> PoolValues {
        let count = self.recent_demand.len() as f64;
        std::array::from_fn(|pool| {
            self.recent_demand
                .iter()
                .map(|values| values[pool])
                .sum::<f64>()
                / count
        })
    }

    /// Lends spare VMs to pools with too few VMs, and returns lent VMs that are not
    /// needed once they have been in the pool for `hold` ticks.
    fn follow_demand(
        &self,
        tick: usize,
        needs: &PoolValues,
        hold: usize,
    ) -> Vec<(VmName, PoolName)> {
        let spare = support::pool_name(SIZES.len());
        let vms = &self.fleet.dcs[0].vms;
        let serving_vms_of = |pool: &PoolName| {
            let vms = vms
                .iter()
                .filter(|(_, vm)| vm.pool == *pool && vm.state.is_serving());
            vms.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        let mut free = serving_vms_of(&spare);
        let counts = self.serving_counts();
        let spare_vms: &BTreeSet<VmName> = &self.fleet.config.pools[&spare].vms;
        let mut moves = Vec::new();
        for (pool, need) in needs.iter().enumerate() {
            let name = support::pool_name(pool);
            let arriving = self.moving.iter().filter(|(_, _, to)| *to == name).count();
            let have = (counts[pool] + arriving) as f64;
            let lend = (need - have).ceil().max(0.0) as usize;
            let lend = lend.min(free.len());
            moves.extend(free.drain(..lend).map(|vm| (vm, name.clone())));
            let idle = (have - need).floor().max(0.0) as usize;
            let lent = serving_vms_of(&name)
                .into_iter()
                .filter(|vm| spare_vms.contains(vm));
            let lent = lent.filter(|vm| self.arrived[vm] + hold <= tick);
            moves.extend(lent.take(idle).map(|vm| (vm, spare.clone())));
        }
        moves
    }
}

fn main() {
    let policies = [
        ("no lending", LendingPolicy::None),
        ("threshold", LendingPolicy::Threshold),
        ("mean of 60 s", LendingPolicy::Average),
        ("mean of 60 s, held 10 min", LendingPolicy::AverageHold),
        ("account, 150 VM-s", LendingPolicy::Account(150.0)),
        ("account, 300 VM-s", LendingPolicy::Account(300.0)),
        ("account, 600 VM-s", LendingPolicy::Account(600.0)),
        ("account, 1200 VM-s", LendingPolicy::Account(1200.0)),
    ];
    println!(
        "{:<4} {:<26} {:>6} {:>9} {:>11} {:>11} {:>8} {:>10} {:>8}",
        "day", "way", "moves", "of best", "short_VMmin", "lent_VMmin", "cost", "of best", "breach"
    );
    let mut sums: BTreeMap<&str, (f64, f64, usize)> = BTreeMap::new();
    let days = 5;
    for day in 1..=days {
        let demand = draw_demand(day);
        let best = offline_optimum(&demand);
        let row = |name: &str, outcome: &DayOutcome| {
            println!(
                "{day:<4} {name:<26} {:>6} {:>9.2} {:>11.0} {:>11.0} {:>8.0} {:>10.2} {:>8}",
                outcome.moves,
                outcome.moves as f64 / best.moves as f64,
                outcome.shortage_vm_minutes,
                outcome.lent_vm_minutes,
                outcome.cost(),
                outcome.cost() / best.cost(),
                outcome.breaches
            );
        };
        row("offline best", &best);
        for (name, policy) in policies {
            let outcome = DaySimulation::new().run(&demand, policy);
            row(name, &outcome);
            let sum = sums.entry(name).or_default();
            sum.0 += outcome.moves as f64 / best.moves as f64;
            sum.1 += outcome.cost() / best.cost();
            sum.2 += outcome.breaches;
        }
    }
    println!("\nmean of {days} days, as a share of the offline best");
    for (name, _) in policies {
        let (moves, cost, breaches) = sums[name];
        let days = days as f64;
        println!(
            "{name:<26} moves {:.2} cost {:.2} breaches {breaches}",
            moves / days,
            cost / days
        );
    }
}
