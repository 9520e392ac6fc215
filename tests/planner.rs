//! Properties of the stops that the planner selects.
//!
//! Guards against stops beyond a pool's budget, also when the controllers of several data
//! centres decide on outdated ledgers at the same time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicorygauge::config::FleetConfig;
use chicorygauge::config::MaintenanceRules;
use chicorygauge::config::MaintenanceWindow;
use chicorygauge::config::MeasureWeights;
use chicorygauge::config::PoolConfig;
use chicorygauge::config::WaveRequest;
use chicorygauge::decide::planner::WaveView;
use chicorygauge::decide::planner::next_stops;
use chicorygauge::decide::planner::wave_should_stop;
use chicorygauge::decide::planner::window_open;
use chicorygauge::decide::reserve::WavePlan;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::LedgerRow;
use chicorygauge::fleet::OutageCause;
use chicorygauge::fleet::PoolLedger;
use chicorygauge::fleet::VmRecord;
use chicorygauge::fleet::VmState;
use chicorygauge::fleet::WaveProgress;
use chicorygauge::names::OperationId;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const POOLS: usize = 3;
const DCS: usize = 3;
const START_MS: u64 = 1_000_000;
const MONDAY_MS: u64 = 4 * 24 * 3_600_000;

/// One VM of a generated fleet: pool, data centre, rack, state, ledger row, and whether
/// it is due for maintenance.
type VmSeed = (usize, usize, u8, u8, u8, bool);

#[derive(Clone, Debug, Default)]
struct Fleet {
    config: FleetConfig,
    dcs: Vec<FleetRecord>,
    ledgers: BTreeMap<PoolName, PoolLedger>,
    stale_dc_vms: BTreeSet<VmName>,
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool}")).expect("name")
}

fn row(dc: usize, planned: bool) -> LedgerRow {
    let operation = OperationId::new("op-1").expect("name");
    let cause = if planned {
        OutageCause::Planned(operation)
    } else {
        OutageCause::Failed
    };
    LedgerRow {
        dc: format!("dc-{dc}").parse().expect("name"),
        cause,
        since_ms: START_MS,
    }
}

fn fleet(seeds: &[VmSeed], budgets: &[u32], weights: MeasureWeights) -> Fleet {
    let mut fleet = Fleet {
        dcs: vec![FleetRecord::default(); DCS],
        ..Fleet::default()
    };
    fleet.config.weights = weights;
    fleet.config.wave = Some(WaveRequest {
        id: "w-1".to_owned(),
        pools: BTreeSet::new(),
        running: true,
        started_ms: START_MS,
    });
    for (pool, budget) in budgets.iter().enumerate() {
        let pool = fleet.config.pools.entry(pool_name(pool)).or_default();
        pool.budget = *budget;
    }
    for (index, (pool, dc, rack, state, ledger, due)) in seeds.iter().enumerate() {
        let vm = VmName::new(&format!("vm-{dc}-{index}")).expect("name");
        let name = pool_name(*pool);
        let home = fleet.config.pools.entry(name.clone()).or_default();
        home.vms.insert(vm.clone());
        if *ledger < 2 {
            let rows = &mut fleet.ledgers.entry(name.clone()).or_default().rows;
            rows.insert(vm.clone(), row(*dc, *ledger == 0));
        }
        if *state == 3 && *dc > 0 {
            fleet.stale_dc_vms.insert(vm.clone());
        }
        let record = VmRecord {
            pool: name,
            address: ([127, 0, 0, 1], 1).into(),
            rack: format!("rack-{rack}").parse().expect("name"),
            state: match state {
                0 => VmState::Failed,
                1 => VmState::Held,
                _ => VmState::Serving,
            },
            since_ms: 0,
            maintained_ms: if *due { 0 } else { START_MS + 1 },
        };
        fleet.dcs[*dc].vms.insert(vm, record);
    }
    fleet
}

impl Fleet {
    fn view(&self, dc: usize, now_ms: u64) -> WaveView<'_> {
        WaveView {
            config: &self.config,
            fleet: &self.dcs[dc],
            ledgers: &self.ledgers,
            stale_dc_vms: &self.stale_dc_vms,
            now_ms,
        }
    }

    fn plan(&self) -> WavePlan<'_> {
        WavePlan::new(&self.config, self.config.wave.as_ref().expect("wave"))
    }

    fn has_row(&self, pool: &PoolName, vm: &VmName) -> bool {
        let ledger = self.ledgers.get(pool);
        ledger.is_some_and(|ledger| ledger.rows.contains_key(vm))
    }

    fn rows(&self, pool: &PoolName) -> usize {
        self.ledgers.get(pool).map_or(0, |ledger| ledger.rows.len())
    }

    /// Counts the VMs of a pool that data centre `dc` must treat as out of service.
    fn out_of_service(&self, dc: usize, pool: &PoolName) -> usize {
        let rows = self.ledgers.get(pool).into_iter();
        let mut out: BTreeSet<_> = rows.flat_map(|ledger| ledger.rows.keys()).collect();
        out.extend(self.config.pools[pool].vms.intersection(&self.stale_dc_vms));
        let own = self.dcs[dc].vms.iter();
        let own = own.filter(|(_, vm)| vm.pool == *pool && !vm.state.is_serving());
        out.extend(own.map(|(name, _)| name));
        out.len()
    }
}

fn any_vms() -> impl Strategy<Value = Vec<VmSeed>> {
    let vm = (0..POOLS, 0..DCS, 0..4u8, 0..20u8, 0..20u8, any::<bool>());
    vec(vm, 1..60)
}

fn any_weights() -> impl Strategy<Value = MeasureWeights> {
    (0..5u8, 0..5u8).prop_map(|(buffer, rollout)| MeasureWeights {
        buffer: buffer.into(),
        rollout: rollout.into(),
        moves: 1.0,
    })
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(51, 512))]

    #[test]
    fn planner_budget_kept(
        vms in any_vms(),
        budgets in vec(0..6u32, POOLS),
        weights in any_weights(),
        now_ms in START_MS..START_MS + 1000,
    ) {
        let fleet = fleet(&vms, &budgets, weights);
        let stops = next_stops(&fleet.view(0, now_ms));
        let distinct: BTreeSet<_> = stops.iter().collect();
        prop_assert_eq!(distinct.len(), stops.len());
        for (pool, rules) in &fleet.config.pools {
            let own = |vm: &&VmName| fleet.dcs[0].vms[*vm].pool == *pool;
            let picks: Vec<_> = stops.iter().filter(own).collect();
            if !picks.is_empty() {
                prop_assert!(fleet.out_of_service(0, pool) + picks.len() <= rules.budget as usize);
            }
            for name in picks {
                let vm = &fleet.dcs[0].vms[name];
                prop_assert!(vm.state.is_serving() && vm.maintained_ms < START_MS);
                prop_assert!(!fleet.has_row(&vm.pool, name));
            }
        }
    }

    #[test]
    fn planner_reserve_kept(
        vms in any_vms(),
        budgets in vec(0..6u32, POOLS),
        weights in any_weights(),
    ) {
        let fleet = fleet(&vms, &budgets, weights);
        let plan = fleet.plan();
        let stops = next_stops(&fleet.view(0, START_MS));
        let mut shared = 0;
        let mut stopped = 0;
        for (pool, share) in &plan.pools {
            let rows = fleet.ledgers.get(*pool).into_iter();
            let rows = rows.flat_map(|ledger| ledger.rows.values());
            let planned = rows.filter(|row| row.cause != OutageCause::Failed).count();
            let picks = stops.iter().filter(|vm| fleet.dcs[0].vms[*vm].pool == **pool);
            let picks = picks.count();
            prop_assert!(share.limit <= share.config.budget as usize);
            prop_assert!(picks == 0 || planned + picks <= share.limit);
            if share.uses_shared {
                shared += planned + picks;
                stopped += picks;
            }
        }
        prop_assert!(stopped == 0 || shared <= plan.shared);
        let own = plan.pools.values().filter(|share| !share.uses_shared);
        let own: usize = own.map(|share| share.limit).sum();
        prop_assert_eq!(plan.reserve, own + plan.shared);
    }

    #[test]
    fn planner_dc_serves(vms in any_vms(), budgets in vec(0..20u32, POOLS)) {
        let fleet = fleet(&vms, &budgets, MeasureWeights::default());
        let stops = next_stops(&fleet.view(0, START_MS));
        for pool in fleet.config.pools.keys() {
            let own = fleet.dcs[0].vms.iter().filter(|(_, vm)| vm.pool == *pool);
            let own: Vec<_> = own.collect();
            let left = own.iter().filter(|(name, vm)| {
                let idle = stops.contains(*name) || fleet.has_row(pool, name);
                vm.state.is_serving() && !idle
            });
            let stopped = own.iter().any(|(name, _)| stops.contains(*name));
            prop_assert!(!stopped || own.len() == 1 || left.count() >= 1);
        }
    }

}

proptest! {
    #![proptest_config(config(52, 64))]

    /// Controllers that decide on ledgers up to three rounds old, and write each ledger
    /// by compare-and-swap, stay within the budgets and complete the wave.
    #[test]
    fn planner_races_kept(
        sizes in vec((2..8usize, 1..4u32), POOLS),
        weights in any_weights(),
        stale in vec(0..3usize, DCS),
    ) {
        let vms = sizes.iter().enumerate().flat_map(|(pool, (size, _))| {
            (0..DCS * size).map(move |i| (pool, i % DCS, (i / 4) as u8, 9, 9, true))
        });
        let budgets: Vec<_> = sizes.iter().map(|(_, budget)| *budget).collect();
        let mut fleet = fleet(&vms.collect::<Vec<_>>(), &budgets, weights);
        let mut past = vec![fleet.ledgers.clone(); 4];
        let mut due: usize = fleet.dcs.iter().map(|dc| dc.vms.len()).sum();
        let mut round = 0;
        while due > 0 {
            round += 1;
            prop_assert!(round < 20_000, "{} VMs left", due);
            if round % 3 == 0 {
                due -= return_all(&mut fleet);
            }
            for (dc, age) in stale.iter().enumerate() {
                run_round(&mut fleet, dc, &past[*age], round);
            }
            for (pool, rules) in &fleet.config.pools {
                prop_assert!(fleet.rows(pool) <= rules.budget as usize);
            }
            past.rotate_right(1);
            past[0] = fleet.ledgers.clone();
        }
    }
}

/// Runs a round of one data centre with old ledgers. A write is rejected if another
/// data centre has changed the ledger since.
fn run_round(fleet: &mut Fleet, dc: usize, past: &BTreeMap<PoolName, PoolLedger>, now: u64) {
    let view = WaveView {
        ledgers: past,
        ..fleet.view(dc, START_MS + now)
    };
    for vm in next_stops(&view) {
        let record = fleet.dcs[dc].vms.get_mut(&vm).expect("own VM");
        let ledger = fleet.ledgers.entry(record.pool.clone()).or_default();
        let known = past.get(&record.pool).cloned().unwrap_or_default();
        let own: BTreeSet<_> = ledger.rows.keys().collect();
        let seen: BTreeSet<_> = known.rows.keys().collect();
        let changed = own
            .difference(&seen)
            .any(|vm| ledger.rows[*vm].dc != row(dc, true).dc);
        if !changed {
            ledger.rows.insert(vm, row(dc, true));
            record.state = VmState::Stopped(OperationId::new("op-1").expect("name"));
        }
    }
}

/// Returns all stopped VMs to service as maintained, and clears the ledgers.
fn return_all(fleet: &mut Fleet) -> usize {
    let mut returned = 0;
    for vm in fleet.dcs.iter_mut().flat_map(|dc| dc.vms.values_mut()) {
        if !vm.state.is_serving() {
            vm.state = VmState::Serving;
            vm.maintained_ms = START_MS + 1;
            returned += 1;
        }
    }
    fleet.ledgers.clear();
    returned
}

#[test]
fn planner_window_closed() {
    let vms: Vec<_> = (0..6).map(|i| (0, 0, i, 9, 9, true)).collect();
    let mut fleet = fleet(&vms, &[2], MeasureWeights::default());
    let pool = fleet.config.pools.get_mut(&pool_name(0)).expect("pool");
    pool.windows = vec![MaintenanceWindow {
        days: BTreeSet::from([6]),
        start_minute: 23 * 60,
        minutes: 120,
    }];
    let hour = 3_600_000;
    let stops = |now_ms| next_stops(&fleet.view(0, now_ms)).len();
    assert_eq!(stops(MONDAY_MS + 12 * hour), 0);
    assert_eq!(stops(MONDAY_MS + hour - 1), 2);
    assert_eq!(stops(MONDAY_MS + hour), 0);
    assert_eq!(stops(MONDAY_MS - hour), 2);
    assert_eq!(stops(MONDAY_MS - hour - 1), 0);
}

#[test]
fn window_open_empty() {
    assert!(window_open(&[], 0));
}

#[test]
fn planner_bad_rack_last() {
    let mut vms = vec![(0, 0, 0, 0, 9, true)];
    vms.extend((0..3).map(|_| (0, 0, 0, 9, 9, true)));
    vms.extend((0..4).map(|_| (0, 0, 1, 9, 9, true)));
    let fleet = fleet(&vms, &[4], MeasureWeights::default());
    let stops = next_stops(&fleet.view(0, START_MS));
    let racks = stops.iter().map(|vm| fleet.dcs[0].vms[vm].rack.as_str());
    assert_eq!(racks.collect::<Vec<_>>(), ["rack-1"; 3]);
}

#[test]
fn wave_should_stop_share() {
    let rules = MaintenanceRules::default();
    let progress = |returned, failed| WaveProgress {
        returned,
        failed,
        ..WaveProgress::default()
    };
    assert!(!wave_should_stop(&progress(0, 1), &rules));
    assert!(wave_should_stop(&progress(0, 2), &rules));
    assert!(!wave_should_stop(&progress(90, 10), &rules));
    assert!(wave_should_stop(&progress(89, 11), &rules));
}

#[test]
fn wave_plan_weights() {
    let vms = (0..49).map(|i| (i % 3, i % DCS, 0, 9, 9, true));
    let vms: Vec<_> = vms.collect();
    let reserve = |buffer, rollout| {
        let weights = MeasureWeights {
            buffer,
            rollout,
            moves: 1.0,
        };
        fleet(&vms, &[3, 3, 3], weights).plan().reserve
    };
    assert_eq!(reserve(0.0, 1.0), 9);
    assert_eq!(reserve(1.0, 0.0), 1);
    assert!((2..9).contains(&reserve(3.0, 1.0)));
}

#[test]
fn wave_plan_period() {
    let vms: Vec<_> = (0..49).map(|i| (i % 3, 0, 0, 9, 9, true)).collect();
    let weights = MeasureWeights {
        buffer: 1.0,
        rollout: 0.0,
        moves: 0.0,
    };
    let mut fleet = fleet(&vms, &[3, 3, 3], weights);
    fleet
        .config
        .pools
        .insert(pool_name(3), PoolConfig::default());
    fleet.config.maintenance.period_s = 20 * 1200;
    assert_eq!(fleet.plan().reserve, 3);
}
