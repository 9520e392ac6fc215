//! Who gets the VMs while queues take turns, and how waves take theirs.

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

fn needs(rows: &[(usize, usize, usize)]) -> BTreeMap<String, PoolDemand> {
    let needs = rows
        .iter()
        .enumerate()
        .map(|(number, (wanted, min, present))| {
            let need = PoolDemand {
                wanted: *wanted,
                min: *min,
                present: *present,
            };
            (format!("pool-{number}"), need)
        });
    needs.collect()
}

/// Pattern: one queue asks five times its mean, the others a twentieth.
#[test]
fn distribute_vms_one_peak_gets_all_it_wants() {
    let targets = distribute_vms(&needs(&[(25, 2, 9), (3, 2, 9), (2, 2, 11), (3, 2, 12)]), 49);
    assert_eq!(targets["pool-0"], 25);
}

/// Pattern: the next queue's turn begins while the last one's backlog is worked off.
#[test]
fn distribute_vms_two_peaks_both_get_a_share() {
    let targets = distribute_vms(&needs(&[(58, 2, 36), (20, 2, 3), (2, 2, 5), (2, 2, 5)]), 49);
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
        let least: usize = rows.iter().map(|row| row.1).sum();
        let total = least + extra;
        let needs = needs(&rows);
        let targets = distribute_vms(&needs, total);
        prop_assert!(targets.values().sum::<usize>() <= total);
        for (pool, need) in &needs {
            prop_assert!(targets[pool] >= need.min && targets[pool] <= need.wanted);
        }
    }
}

/// Pattern: a queue's turn begins; the standby pool's VMs must help within the peak.
#[test]
fn turn_of_a_queue_brings_standby_vms() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(4000);
    assert_eq!(world.moves, 0, "nothing asks for them yet");
    for number in 0..24 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
        world.run(75);
    }
    assert!(world.moves >= 4, "moves: {}", world.moves);
    world.run(8000);
    assert_eq!(world.completed.len(), 24);
    let in_aim = |(id, at): &(&String, &u64)| **at <= world.submitted[*id] + 2200;
    let in_aim = world.completed.iter().filter(in_aim).count();
    assert!(
        in_aim >= 18,
        "three quarters within their objective: {in_aim}"
    );
}

/// Pattern: a queue's turn begins just as the owner of the shard changes.
#[test]
fn takeover_in_a_turn_moves_at_once() {
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

/// Pattern: the owner changes right after it has moved VMs.
#[test]
fn takeover_leaves_vms_alone_that_were_just_ordered() {
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
    let now = world.now;
    world.engine.add_wave(order(1), None, now);
    while world.now < end {
        world.run(10);
        let waiting = world.engine.fleet.waves[&1].record.ordered.is_empty();
        assert!(waiting, "ordered {} ms before its time", end - world.now);
    }
    world.run(45_000);
    let record = &world.engine.fleet.waves[&1].record;
    assert_eq!(record.ordered.len(), moved.len());
}

/// Pattern: a wave over most of a pool whose workers hold lasting tasks.
#[test]
fn wave_keeps_lasting_tasks_and_its_limit() {
    let mut world = World::new(9, 5);
    world.engine.fleet.enabled = true;
    world.run(100);
    let lasting = StepSpec {
        lasting: true,
        per_worker: 1,
        may_miss: Some(1),
        ..step(5, 2600, 300)
    };
    for number in 0..3 {
        world.submit(
            &format!("{number:016x}"),
            &job(std::slice::from_ref(&lasting)),
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
    let now = world.now;
    world.engine.add_wave(order, None, now);
    world.run(45_000);
    let wave = &world.engine.fleet.waves[&1];
    assert!(wave.record.complete, "{:?}", wave.record);
    assert!(world.most_down <= 3, "down at once: {}", world.most_down);
    assert!(
        world.least_at_work >= 12,
        "at work at the least: {}",
        world.least_at_work
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
