//! A paused or delayed owner: when it runs again, the workers' reports still wait to be
//! read. It must not take its own delay for a fault of the workers.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::actions::Action;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::ports::worker::WorkerOrder;
use world::World;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";

/// Returns the orders of the first ticks and placements after a pause, before any event
/// is handled.
fn orders_after_pause(world: &mut World, pause_ms: u64) -> Vec<WorkerOrder> {
    world.now += pause_ms;
    let mut orders = Vec::new();
    for _ in 0..3 {
        let time = world.time();
        world.engine.tick(time);
        world.engine.run_placement(time);
        for action in world.engine.take_actions() {
            if let Action::Worker { call, .. } = action {
                orders.push(call.order);
            }
        }
        world.now += 50;
    }
    orders
}

fn is_stop(order: &WorkerOrder) -> bool {
    matches!(order, WorkerOrder::Stop { .. })
}

/// A run that its worker reported as in progress was stopped after a pause of its owner,
/// since the next report was not read yet.
#[test]
fn pause_running_not_stopped() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(2, 1000, 20_000)]), 1);
    world.run(1500);
    assert_eq!(world.starts(), 2);
    let orders = orders_after_pause(&mut world, 4000);
    assert!(!orders.iter().any(is_stop), "{orders:?}");
}

/// A start whose answer waited to be read counted as never confirmed.
#[test]
fn pause_start_unanswered_not_stopped() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 20_000)]), 1);
    // The placement is stored and the start sent; its answer is still on the way.
    world.run(9);
    let orders = orders_after_pause(&mut world, 4500);
    assert!(!orders.iter().any(is_stop), "{orders:?}");
}

/// All runs looked like stragglers after a pause, and each got a second copy.
#[test]
fn pause_no_speculative_copy() {
    let mut world = World::new(3, 1);
    world.run(20);
    let spec = StepSpec {
        speculative: true,
        ..step(1, 1000, 1500)
    };
    world.submit(JOB, &job(&[spec]), 1);
    world.run(500);
    assert_eq!(world.starts(), 1);
    let placed = |world: &World| {
        let jobs = world.engine.jobs.values();
        jobs.flat_map(|job| job.live_runs()).count()
    };
    orders_after_pause(&mut world, 4000);
    assert_eq!(placed(&world), 1, "the report of the run was not read yet");
}

/// A run that its worker reports without progress must still be stopped.
#[test]
fn reported_stuck_run_stopped() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 2000)]), 1);
    // The worker takes so long that its reports show no progress.
    let endless = job(&[step(1, 1000, 1_000_000_000)]);
    world.specs.insert(JOB.to_owned(), endless);
    world.run(6000);
    assert!(world.calls.iter().any(|(_, call)| is_stop(&call.order)));
}

/// A straggler whose worker does not answer must still get a copy.
#[test]
fn unresponsive_straggler_copied() {
    let mut world = World::new(3, 1);
    world.run(20);
    let spec = StepSpec {
        speculative: true,
        ..step(1, 1000, 1000)
    };
    world.submit(JOB, &job(&[spec]), 1);
    world.run(500);
    let mut workers = world.workers.keys().cloned();
    let holder = workers.find(|id| !world.tasks_at(id).is_empty());
    let holder = holder.expect("a run");
    world.workers.get_mut(&holder).expect("a worker").reachable = false;
    world.run(3500);
    assert_eq!(world.starts(), 2);
}
