//! Moves of VMs between pools during load peaks and takeovers, and maintenance waves.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::collections::BTreeMap;

use chicorygauge::jobs::lend::PoolDemand;
use chicorygauge::jobs::lend::distribute_vms;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::wave::WaveOrder;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::POOL;
use world::STANDBY;
use world::World;
use world::job;
use world::step;

/// Returns the demands of pools from rows of wanted, minimum and present VMs.
fn demands(rows: &[(usize, usize, usize)]) -> BTreeMap<String, PoolDemand> {
    let demands = rows
        .iter()
        .enumerate()
        .map(|(number, (wanted, min, present))| {
            let demand = PoolDemand {
                wanted: *wanted,
                min: *min,
                present: *present,
            };
            (format!("pool-{number}"), demand)
        });
    demands.collect()
}

/// One queue submits five times its mean load, the others a twentieth of theirs.
#[test]
fn distribute_vms_one_peak_gets_all_it_wants() {
    let targets = distribute_vms(
        &demands(&[(25, 2, 9), (3, 2, 9), (2, 2, 11), (3, 2, 12)]),
        49,
    );
    assert_eq!(targets["pool-0"], 25);
}

/// The peak of one queue begins while the backlog of the previous one is worked off.
#[test]
fn distribute_vms_two_peaks_both_get_a_share() {
    let targets = distribute_vms(
        &demands(&[(58, 2, 36), (20, 2, 3), (2, 2, 5), (2, 2, 5)]),
        49,
    );
    assert!(
        targets["pool-1"] * 2 >= 20,
        "half of what it wants: {targets:?}"
    );
    assert!(
        targets["pool-0"] * 2 >= 58,
        "half of what it wants: {targets:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6c65_6e64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn distribute_vms_stays_within_the_fleet(rows in vec((0_usize..80, 1_usize..8, 0_usize..20), 1..8), extra in 0_usize..40) {
        let rows: Vec<_> = rows.into_iter().map(|(wanted, min, present)| (wanted.max(min), min, present)).collect();
        let min: usize = rows.iter().map(|row| row.1).sum();
        let total = min + extra;
        let demands = demands(&rows);
        let targets = distribute_vms(&demands, total);
        prop_assert!(targets.values().sum::<usize>() <= total);
        for (pool, demand) in &demands {
            prop_assert!(targets[pool] >= demand.min && targets[pool] <= demand.wanted);
        }
    }
}

/// A queue's load peak begins; VMs of the standby pool must be moved to its pool
/// before the peak is over.
#[test]
fn peak_moves_standby_vms() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(4000);
    assert_eq!(world.moves, 0, "no load requires them yet");
    for number in 0..24 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
        world.run(75);
    }
    assert!(world.moves >= 4, "moves: {}", world.moves);
    world.run(8000);
    assert_eq!(world.completed.len(), 24);
    let in_time = |(id, at): &(&String, &u64)| **at <= world.submitted[*id] + 2200;
    let in_time = world.completed.iter().filter(in_time).count();
    assert!(
        in_time >= 18,
        "jobs within their target duration: {in_time}"
    );
}

/// Load pattern: a pool has a backlog of jobs with long chains of steps. Their later steps
/// cannot run yet, so they must not claim VMs that other pools could use.
#[test]
fn backlog_of_chains_claims_no_vms() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(1000);
    let chain: Vec<StepSpec> = (0..10).map(|_| step(2, 8000, 3000)).collect();
    for number in 0..4 {
        world.restore_waiting(&format!("{number:016x}"), &job(&chain));
    }
    world.run(2000);
    assert_eq!(world.starts(), 8, "the first steps run");
    assert_eq!(world.moves, 0, "VMs moved for steps that cannot run yet");
}

/// A queue's load peak begins just as the owner of the shard changes. The successor must
/// not delay moves of VMs that its predecessor has not ordered.
#[test]
fn takeover_during_peak_moves_vms_at_once() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(1000);
    world.take_over();
    for number in 0..12 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
        world.run(75);
    }
    assert!(world.moves >= 4, "moves within a second: {}", world.moves);
}

/// The owner changes right after it has ordered moves. The successor must not order the
/// same VMs before the minimum time between two holders' orders is over.
#[test]
fn takeover_waits_before_ordering_vms_with_former_permits() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(1000);
    for number in 0..12 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
    }
    world.run(60);
    let moved: Vec<String> = world.engine.fleet.orders.keys().cloned().collect();
    assert!(moved.len() >= 4, "moves: {moved:?}");
    world.take_over();
    let wait_ms = world.engine.settings.permit_wait_ms;
    let end = world.now + wait_ms;
    let order = |number| WaveOrder {
        wave: number,
        machines: moved.clone(),
        limit_s: 40,
        most: 10,
    };
    let time = world.time();
    world.engine.add_wave(order(1), None, time);
    while world.now < end {
        world.run(10);
        let waiting = world.engine.fleet.waves[&1].record.ordered.is_empty();
        assert!(waiting, "ordered {} ms too early", end - world.now);
    }
    world.run(45_000);
    let record = &world.engine.fleet.waves[&1].record;
    assert_eq!(record.ordered.len(), moved.len());
}

/// A maintenance wave covers most of a pool whose workers run long-running tasks. It must
/// not stop more tasks or take more VMs down at a time than allowed.
#[test]
fn wave_keeps_long_running_tasks_and_vm_limit() {
    let mut world = World::new(9, 5);
    world.engine.fleet.enabled = true;
    world.run(100);
    let long_running = StepSpec {
        lasting: true,
        per_worker: 1,
        may_miss: Some(1),
        ..step(5, 2600, 300)
    };
    for number in 0..3 {
        world.submit(
            &format!("{number:016x}"),
            &job(std::slice::from_ref(&long_running)),
            number,
        );
    }
    world.run(3000);
    assert_eq!(world.running(), 15);
    let order = WaveOrder {
        wave: 1,
        machines: (0..5).map(|number| format!("m-{number:02}")).collect(),
        limit_s: 40,
        most: 3,
    };
    let time = world.time();
    world.engine.add_wave(order, None, time);
    world.run(45_000);
    let wave = &world.engine.fleet.waves[&1];
    assert!(wave.record.complete, "{:?}", wave.record);
    assert!(world.max_down <= 3, "down at a time: {}", world.max_down);
    assert!(
        world.min_long_running >= 12,
        "minimum of running tasks: {}",
        world.min_long_running
    );
    assert_eq!(world.running(), 15);
    assert_eq!(
        world
            .machines
            .values()
            .filter(|row| row.pool == POOL)
            .count(),
        9
    );
}
