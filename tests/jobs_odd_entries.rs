//! Entries of workers from another writer, and other input with amounts of any size: they
//! neither end the scheduler nor change what happens to the other workers.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::net::SocketAddr;

use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::WorkerState;
use chicorygauge::ports::WorkerEntry;
use world::POOL;
use world::STANDBY;
use world::World;
use world::job;
use world::step;

/// Returns an entry of the pool at an address where no worker is, with a capacity of `amount`
/// of each resource.
fn odd_entry(id: &str, amount: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.to_owned(),
        born_ms: 1,
        pool: POOL.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        dc: "a".to_owned(),
        state: WorkerState::Ready,
        capacity: ResourceVector {
            cpu: amount,
            memory_mb: amount,
            gpu: amount,
        },
        labels: Vec::new(),
        leaves_in_ms: 0,
    }
}

/// The pool seemed to need no VM besides the odd one, which serves nobody.
#[test]
fn peak_moves_vms_despite_unanswered_entry() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(4000);
    let entry = odd_entry("odd", u64::from(u32::MAX));
    world.engine.worker_listed(entry, world.now);
    for number in 0..24 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
        world.run(75);
    }
    assert!(world.moves >= 4, "moves: {}", world.moves);
    assert!(world.engine.pool_load(POOL).largest_worker <= 32_000.0);
}
