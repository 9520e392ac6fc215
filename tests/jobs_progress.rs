//! Runs that make little or no progress: tasks that take far longer than estimated are left
//! alone, and runs on workers that stand still are moved.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::ports::worker::WorkerOrder;
use world::World;
use world::job;
use world::step;

const JOBS: [&str; 3] = ["00000000000000aa", "00000000000000bb", "00000000000000cc"];

/// Returns the number of orders to stop a run.
fn stops(world: &World) -> usize {
    let stops = world
        .calls
        .iter()
        .filter(|(_, call)| matches!(call.order, WorkerOrder::Stop { .. }));
    stops.count()
}

/// Returns whether a worker accepts no runs since others have failed there.
fn is_any_blocked(world: &World) -> bool {
    let mut views = world.engine.workers.values();
    views.any(|view| view.blocked_until_ms > world.now)
}

/// All runs of jobs that fill the pool were stopped every 3.4 s, and all workers blocked for 8 s
/// each time, since a percent took longer than the time without progress that a run was given.
#[test]
fn slow_steps_fill_pool_runs_kept() {
    for factor in [20, 60, 200] {
        let mut world = World::new(11, 1);
        world.work_factor = factor;
        world.run(1000);
        for (number, id) in JOBS.iter().enumerate() {
            world.submit(id, &job(&[step(22, 5000, 20_000)]), number as u64);
        }
        let mut idle_ms = 0;
        for _ in 0..1200 {
            world.run(100);
            let is_idle = world.running() == 0;
            idle_ms = if is_idle { idle_ms + 100 } else { 0 };
            assert!(idle_ms < 3000, "nothing runs, factor {factor}");
        }
        assert_eq!(world.running(), 66, "factor {factor}");
        assert!(!is_any_blocked(&world), "factor {factor}");
        let stops = stops(&world);
        assert!(stops <= 66 * 5, "{stops} stops, factor {factor}");
    }
}

/// The same with a single task, which no others of its step can be compared with.
#[test]
fn slow_task_alone_time_doubled() {
    for factor in [20, 60, 200] {
        let mut world = World::new(4, 1);
        world.work_factor = factor;
        world.run(1000);
        world.submit(JOBS[0], &job(&[step(1, 5000, 20_000)]), 1);
        world.run(120_000);
        let before = world.starts();
        assert!(before <= 6, "{before} starts, factor {factor}");
        world.run(60_000);
        assert_eq!(world.starts(), before, "factor {factor}");
        assert_eq!(world.running(), 1, "factor {factor}");
    }
}

/// A task that takes several times as long as estimated ends although each percent takes longer
/// than the time that a run without any progress is given.
#[test]
fn slow_task_with_progress_completes() {
    let mut world = World::new(2, 1);
    world.work_factor = 20;
    world.run(1000);
    world.submit(JOBS[0], &job(&[step(1, 5000, 20_000)]), 1);
    world.run(430_000);
    assert!(world.completed.contains_key(JOBS[0]));
}

/// A worker that stands still is found by its runs, and gets no others meanwhile.
#[test]
fn stalled_worker_runs_moved() {
    let mut world = World::new(4, 1);
    let stalled = world.workers.keys().next().expect("a worker").clone();
    world.workers.get_mut(&stalled).expect("a worker").stalled = true;
    world.run(1000);
    world.submit(JOBS[0], &job(&[step(8, 8000, 1300)]), 1);
    world.run(2500 + 1000 + 1300 + 2000);
    assert!(world.completed.contains_key(JOBS[0]));
    let view = &world.engine.workers[&stalled];
    assert!(view.blocked_until_ms > 0, "the worker was not blocked");
}

/// All workers of a step stand still, which could be the step's fault as well; its runs must be
/// moved all the same.
#[test]
fn stalled_workers_of_step_runs_moved() {
    let mut world = World::new(8, 1);
    let stalled: Vec<String> = world.workers.keys().take(4).cloned().collect();
    for worker in &stalled {
        world.workers.get_mut(worker).expect("a worker").stalled = true;
    }
    world.run(1000);
    let spec = chicorygauge::jobs::types::StepSpec {
        per_worker: 1,
        ..step(4, 8000, 1300)
    };
    world.submit(JOBS[0], &job(&[spec]), 1);
    world.run(40_000);
    assert!(world.completed.contains_key(JOBS[0]));
}
