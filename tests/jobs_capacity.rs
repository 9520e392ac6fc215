//! Workers whose capacity changes while they run.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::types::ResourceVector;
use world::World;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";

fn set_capacity(world: &mut World, cpu: u64) {
    for worker in world.workers.values_mut() {
        worker.entry.capacity = ResourceVector {
            cpu,
            ..worker.entry.capacity
        };
    }
    let entries: Vec<_> = world
        .workers
        .values()
        .map(|worker| worker.entry.clone())
        .collect();
    for entry in entries {
        world.engine.worker_listed(entry, world.now);
    }
}

/// A start that waited for its commit while its worker's capacity shrank was sent all the same.
#[test]
fn start_after_shrunk_capacity_withheld() {
    let mut world = World::new(1, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(3, 8000, 600)]), 1);
    world.step();
    world.store_up = false;
    world.run(200);
    set_capacity(&mut world, 16_000);
    world.run(6000);
    world.store_up = true;
    world.run(3000);
    assert!(
        world.completed.contains_key(JOB),
        "placed again as capacity allows"
    );
}

/// What was placed before the capacity shrank counts until it has ended.
#[test]
fn place_shrunk_capacity_waits_for_ends() {
    let mut world = World::new(1, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(8, 8000, 2000)]), 1);
    world.run(500);
    assert_eq!(world.running(), 4);
    set_capacity(&mut world, 16_000);
    world.run(2000);
    assert_eq!(world.running(), 2);
    set_capacity(&mut world, 32_000);
    world.run(200);
    assert_eq!(world.running(), 4);
    world.run(4000);
    assert!(world.completed.contains_key(JOB));
}
