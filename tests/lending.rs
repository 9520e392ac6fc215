//! Lending of spare VMs, checked on a simulated data centre.
//!
//! Guards against moves that exceed a pool's budget, and against moves back and forth
//! because of short bursts or a load near a pool's capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chicorygauge::config::FleetConfig;
use chicorygauge::config::MeasureWeights;
use chicorygauge::config::PoolConfig;
use chicorygauge::decide::lending::LendingMove;
use chicorygauge::decide::lending::LendingRules;
use chicorygauge::decide::lending::LendingState;
use chicorygauge::decide::lending::LendingView;
use chicorygauge::fleet::DrainPurpose;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::LedgerRow;
use chicorygauge::fleet::OutageCause;
use chicorygauge::fleet::PoolLedger;
use chicorygauge::fleet::VmRecord;
use chicorygauge::fleet::VmState;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Size and budget of each pool; the last one is the spare pool.
const POOLS: [(usize, u32); 3] = [(9, 2), (12, 1), (8, 2)];
const SPARE: usize = POOLS.len() - 1;
const TICK_S: u64 = 5;
/// Ticks from the decision on a move until the VM serves in its new pool.
const MOVE_TICKS: usize = 6;

/// A simulated data centre that carries out the moves of its lending state.
struct DataCentre {
    config: FleetConfig,
    fleet: FleetRecord,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    state: LendingState,
    tick: usize,
    moves: usize,
    /// Moves in progress, each with the tick at which it completes.
    moves_in_progress: Vec<(usize, LendingMove)>,
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool}")).expect("name")
}

impl DataCentre {
    fn new() -> Self {
        let mut config = FleetConfig {
            spare_pool: Some(pool_name(SPARE)),
            ..FleetConfig::default()
        };
        let mut fleet = FleetRecord::default();
        for (pool, (size, budget)) in POOLS.iter().enumerate() {
            let names = (0..*size).map(|vm| VmName::new(&format!("vm-{pool}-{vm}")));
            let vms: BTreeSet<_> = names.map(|name| name.expect("name")).collect();
            for vm in &vms {
                let record = VmRecord {
                    pool: pool_name(pool),
                    address: ([127, 0, 0, 1], 1).into(),
                    rack: "rack-1".parse().expect("name"),
                    state: VmState::Serving,
                    since_ms: 0,
                    maintained_ms: 0,
                };
                fleet.vms.insert(vm.clone(), record);
            }
            let budget = *budget;
            let rules = PoolConfig {
                budget,
                vms,
                ..PoolConfig::default()
            };
            config.pools.insert(pool_name(pool), rules);
        }
        Self {
            config,
            fleet,
            ledgers: BTreeMap::new(),
            state: LendingState::default(),
            tick: 0,
            moves: 0,
            moves_in_progress: Vec::new(),
        }
    }

    fn serving(&self, pool: usize) -> usize {
        let vms = self.fleet.vms.values();
        let serving = vms.filter(|vm| vm.pool == pool_name(pool) && vm.state.is_serving());
        serving.count()
    }

    /// Counts ledger rows and VMs that are not serving.
    fn out_of_service(&self, pool: &PoolName) -> usize {
        let rows = self.ledgers.get(pool).map_or(0, |ledger| ledger.rows.len());
        let vms = self.fleet.vms.values();
        let not_serving = vms.filter(|vm| vm.pool == *pool && !vm.state.is_serving());
        rows + not_serving.count()
    }

    /// Completes the moves that are due, makes a lending step and starts its moves.
    fn step(&mut self, demand: &[f64]) -> Vec<LendingMove> {
        let tick = self.tick;
        for (due_tick, lending_move) in std::mem::take(&mut self.moves_in_progress) {
            let vm = self.fleet.vms.get_mut(&lending_move.vm).expect("VM");
            if due_tick > tick {
                self.moves_in_progress.push((due_tick, lending_move));
            } else {
                vm.pool = lending_move.to;
                vm.state = VmState::Serving;
            }
        }
        let demand = demand.iter().enumerate();
        let demand = demand.map(|(pool, demand)| (pool_name(pool), *demand));
        let view = LendingView {
            config: &self.config,
            fleet: &self.fleet,
            ledgers: &self.ledgers,
            demand: &demand.collect(),
            now: Duration::from_secs(tick as u64 * TICK_S),
        };
        let moves = self.state.step(&view, &LendingRules::default());
        for lending_move in &moves {
            let vm = self.fleet.vms.get_mut(&lending_move.vm).expect("own VM");
            assert!(vm.state.is_serving(), "move of a VM that is not serving");
            vm.state = VmState::Draining(DrainPurpose::Move(lending_move.to.clone()));
            self.moves_in_progress
                .push((tick + MOVE_TICKS, lending_move.clone()));
        }
        self.moves += moves.len();
        self.tick += 1;
        moves
    }

    fn run(&mut self, seconds: u64, demand: &[f64]) {
        for _ in 0..seconds / TICK_S {
            self.step(demand);
        }
    }
}

fn failed_row() -> LedgerRow {
    LedgerRow {
        dc: "dc-1".parse().expect("name"),
        cause: OutageCause::Failed,
        since_ms: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lending_budget_kept(
        demands in vec((0.0..20.0, 0.0..20.0, 0.0..9.0f64, 1..200usize), 1..12),
        rows in vec(0..3usize, POOLS.len()),
    ) {
        let mut dc = DataCentre::new();
        for (pool, rows) in rows.iter().enumerate() {
            let ledger = dc.ledgers.entry(pool_name(pool)).or_default();
            for row in 0..*rows {
                let vm = VmName::new(&format!("other-{pool}-{row}")).expect("name");
                ledger.rows.insert(vm, failed_row());
            }
        }
        for (first, second, spare, ticks) in demands {
            for _ in 0..ticks {
                let moves = dc.step(&[first, second, spare]);
                for lending_move in &moves {
                    let from = dc.fleet.vms[&lending_move.vm].pool.clone();
                    let budget = dc.config.pools[&from].budget as usize;
                    prop_assert!(dc.out_of_service(&from) <= budget);
                    let home = dc.config.pools[&pool_name(SPARE)].vms.contains(&lending_move.vm);
                    prop_assert!(home, "only spare VMs move");
                    if from == pool_name(SPARE) {
                        prop_assert!(dc.serving(SPARE) as f64 >= spare.floor());
                    }
                }
            }
        }
    }

    /// Bursts of a few seconds at five times the mean load, each followed by a lull at a
    /// twentieth of it, cause no move.
    #[test]
    fn lending_burst_ignored(
        cycles in vec((5..15u64, 20..60u64), 1..60),
        mean in 2.0..8.0f64,
    ) {
        let mut dc = DataCentre::new();
        for (burst, lull) in cycles {
            dc.run(burst, &[5.0 * mean, mean, 0.0]);
            dc.run(lull, &[mean / 20.0, mean, 0.0]);
            dc.run(60, &[mean, mean, 0.0]);
        }
        prop_assert_eq!(dc.moves, 0);
    }
}

#[test]
fn lending_shortage_met() {
    let mut dc = DataCentre::new();
    dc.run(1800, &[11.0, 6.0, 0.0]);
    assert_eq!(dc.serving(0), 11);
    assert_eq!(dc.moves, 2);
    dc.run(7200, &[5.0, 6.0, 0.0]);
    assert_eq!(dc.serving(0), 9);
    assert_eq!(dc.serving(SPARE), 8);
    assert_eq!(dc.moves, 4);
}

/// A load that oscillates around the capacity of the pool does not cause a move in each
/// period.
#[test]
fn lending_border_steady() {
    let mut dc = DataCentre::new();
    for _ in 0..100 {
        dc.run(60, &[9.8, 6.0, 0.0]);
        dc.run(60, &[8.2, 6.0, 0.0]);
    }
    assert!(dc.moves <= 2, "{} moves", dc.moves);
}

#[test]
fn lending_starved_pool() {
    let mut dc = DataCentre::new();
    dc.run(3600, &[17.0, 6.0, 0.0]);
    assert_eq!(dc.serving(0), 17);
    dc.run(1800, &[9.0, 16.0, 0.0]);
    assert!(dc.serving(1) >= 15, "{}", dc.serving(1));
}

#[test]
fn lending_rules_weights() {
    let cost = |buffer, moves| {
        let weights = MeasureWeights {
            buffer,
            rollout: 1.0,
            moves,
        };
        LendingRules::from(weights).move_cost_s
    };
    assert!(cost(1.0, 4.0) > cost(1.0, 1.0));
    assert!(cost(4.0, 1.0) < cost(1.0, 1.0));
    assert!(cost(0.0, 1.0).is_finite());
}
