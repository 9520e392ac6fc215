//! Properties of lending.

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

/// Size and budget of the pools; the last one is spare.
const POOLS: [(usize, u32); 3] = [(9, 2), (12, 1), (8, 2)];
const SPARE: usize = POOLS.len() - 1;
const TICK_S: u64 = 5;
/// Ticks that a move takes.
const MOVE_TICKS: usize = 6;

struct Site {
    config: FleetConfig,
    fleet: FleetRecord,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    state: LendingState,
    tick: usize,
    moves: usize,
    arrivals: Vec<(usize, LendingMove)>,
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool}")).expect("name")
}

impl Site {
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
            arrivals: Vec::new(),
        }
    }

    fn serving(&self, pool: usize) -> usize {
        let vms = self.fleet.vms.values();
        let serving = vms.filter(|vm| vm.pool == pool_name(pool) && vm.state.takes_work());
        serving.count()
    }

    fn out(&self, pool: &PoolName) -> usize {
        let rows = self.ledgers.get(pool).map_or(0, |ledger| ledger.rows.len());
        let vms = self.fleet.vms.values();
        let out = vms.filter(|vm| vm.pool == *pool && !vm.state.takes_work());
        rows + out.count()
    }

    /// Makes one step and carries out its moves.
    fn step(&mut self, needs: &[f64]) -> Vec<LendingMove> {
        let tick = self.tick;
        for (at, step) in std::mem::take(&mut self.arrivals) {
            let vm = self.fleet.vms.get_mut(&step.vm).expect("VM");
            if at > tick {
                self.arrivals.push((at, step));
            } else {
                vm.pool = step.to;
                vm.state = VmState::Serving;
            }
        }
        let needs = needs.iter().enumerate();
        let needs = needs.map(|(pool, need)| (pool_name(pool), *need));
        let view = LendingView {
            config: &self.config,
            fleet: &self.fleet,
            ledgers: &self.ledgers,
            demand: &needs.collect(),
            now: Duration::from_secs(tick as u64 * TICK_S),
        };
        let moves = self.state.step(&view, &LendingRules::default());
        for step in &moves {
            let vm = self.fleet.vms.get_mut(&step.vm).expect("own VM");
            assert!(vm.state.takes_work(), "a VM moves once at a time");
            vm.state = VmState::Draining(DrainPurpose::Move(step.to.clone()));
            self.arrivals.push((tick + MOVE_TICKS, step.clone()));
        }
        self.moves += moves.len();
        self.tick += 1;
        moves
    }

    fn run(&mut self, seconds: u64, needs: &[f64]) {
        for _ in 0..seconds / TICK_S {
            self.step(needs);
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
        needs in vec((0.0..20.0, 0.0..20.0, 0.0..9.0f64, 1..200usize), 1..12),
        rows in vec(0..3usize, POOLS.len()),
    ) {
        let mut site = Site::new();
        for (pool, rows) in rows.iter().enumerate() {
            let ledger = site.ledgers.entry(pool_name(pool)).or_default();
            for row in 0..*rows {
                let vm = VmName::new(&format!("other-{pool}-{row}")).expect("name");
                ledger.rows.insert(vm, failed_row());
            }
        }
        for (first, second, spare, ticks) in needs {
            for _ in 0..ticks {
                let moves = site.step(&[first, second, spare]);
                for step in &moves {
                    let from = site.fleet.vms[&step.vm].pool.clone();
                    let budget = site.config.pools[&from].budget as usize;
                    prop_assert!(site.out(&from) <= budget);
                    let home = site.config.pools[&pool_name(SPARE)].vms.contains(&step.vm);
                    prop_assert!(home, "only spare VMs move");
                    if from == pool_name(SPARE) {
                        prop_assert!(site.serving(SPARE) as f64 >= spare.floor());
                    }
                }
            }
        }
    }

    /// Bursts of seconds at five times the mean, then a twentieth, move nothing.
    #[test]
    fn lending_burst_ignored(
        cycles in vec((5..15u64, 20..60u64), 1..60),
        mean in 2.0..8.0f64,
    ) {
        let mut site = Site::new();
        for (burst, lull) in cycles {
            site.run(burst, &[5.0 * mean, mean, 0.0]);
            site.run(lull, &[mean / 20.0, mean, 0.0]);
            site.run(60, &[mean, mean, 0.0]);
        }
        prop_assert_eq!(site.moves, 0);
    }
}

#[test]
fn lending_shortage_met() {
    let mut site = Site::new();
    site.run(1800, &[11.0, 6.0, 0.0]);
    assert_eq!(site.serving(0), 11);
    assert_eq!(site.moves, 2);
    site.run(7200, &[5.0, 6.0, 0.0]);
    assert_eq!(site.serving(0), 9);
    assert_eq!(site.serving(SPARE), 8);
    assert_eq!(site.moves, 4);
}

/// A load that swings about the size of the pool causes no move each time.
#[test]
fn lending_border_steady() {
    let mut site = Site::new();
    for _ in 0..100 {
        site.run(60, &[9.8, 6.0, 0.0]);
        site.run(60, &[8.2, 6.0, 0.0]);
    }
    assert!(site.moves <= 2, "{} moves", site.moves);
}

#[test]
fn lending_starved_pool() {
    let mut site = Site::new();
    site.run(3600, &[17.0, 6.0, 0.0]);
    assert_eq!(site.serving(0), 17);
    site.run(1800, &[9.0, 16.0, 0.0]);
    assert!(site.serving(1) >= 15, "{}", site.serving(1));
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
