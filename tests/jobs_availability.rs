//! Long-running tasks stay in service as far as their workers allow.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::types::StepSpec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::World;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";

fn long_running(tasks: u32) -> StepSpec {
    StepSpec {
        lasting: true,
        may_miss: Some(1),
        ..step(tasks, 1800, 500)
    }
}

/// Returns a world of six workers on a platform that lists crashes.
fn listed_world(seed: u64) -> World {
    let mut world = World::new(6, seed);
    world.engine.fleet.enabled = true;
    world.crashes_listed = true;
    world.run(3100);
    world
}

/// Returns a world with a long-running job whose tasks are all in service.
fn world_in_service(tasks: u32, seed: u64) -> World {
    let mut world = listed_world(seed);
    world.submit(JOB, &job(&[long_running(tasks)]), 1);
    world.run(3000);
    assert_eq!(world.running(), tasks as usize);
    world
}

fn state_of(world: &World) -> Option<JobState> {
    world.engine.jobs.get(JOB).map(|job| job.state)
}

fn task(index: u32) -> String {
    format!("{JOB}.0.0.{index}")
}

/// Returns the identifier of the worker at which a task of the job runs.
fn worker_of(world: &World, index: u32) -> Option<String> {
    let mut workers = world.workers.iter().filter(|(_, worker)| worker.up);
    let at = workers.find(|(_, worker)| worker.runs.contains_key(&task(index)));
    at.map(|(id, _)| id.clone())
}

/// Crashes the worker of the first task six times, and asserts that the job goes on.
fn crash_repeatedly(world: &mut World, pause_ms: u64, between: impl Fn(&mut World)) {
    for _ in 0..6 {
        let worker = worker_of(world, 0).expect("a run");
        world.crash(&worker);
        between(world);
        world.run(pause_ms);
        assert_eq!(state_of(world), Some(JobState::Running));
    }
    assert_eq!(world.running(), 4);
}

/// A task whose workers had crashed four times was given up, which failed its job and stopped
/// all other tasks, in service at sound workers (AVAIL, LOST).
#[test]
fn lose_runs_four_crashes_neighbours_kept() {
    let mut world = world_in_service(4, 1);
    crash_repeatedly(&mut world, 8000, |_| {});
}

/// The same if the crashes show only after the leases have expired.
#[test]
fn lose_runs_silent_crashes_neighbours_kept() {
    let mut world = world_in_service(4, 1);
    world.crashes_listed = false;
    world.silent_crashes = true;
    crash_repeatedly(&mut world, 16_000, |_| {});
}

/// A new owner gave up a task for the crashes that former owners had stored.
#[test]
fn take_over_four_crashes_neighbours_kept() {
    let mut world = world_in_service(4, 1);
    crash_repeatedly(&mut world, 10_000, |world| {
        world.run(2000);
        world.take_over();
    });
}

/// A finite task that ran for long was given up after four crashes by other causes (LOST).
#[test]
fn lose_runs_long_finite_task_completed() {
    let mut world = listed_world(1);
    world.submit(JOB, &job(&[step(1, 1800, 20_000)]), 1);
    for _ in 0..4 {
        world.run(4000);
        let worker = worker_of(&world, 0).expect("a run");
        world.crash(&worker);
    }
    world.run(40_000);
    assert!(world.completed.contains_key(JOB));
}

/// A long-running task that crashes each worker soon after its start was given up with all its
/// sound neighbours.
#[test]
fn start_deadly_task_neighbours_kept() {
    let mut world = listed_world(1);
    world.deadly.insert(task(0));
    world.submit(JOB, &job(&[long_running(4)]), 1);
    world.run(60_000);
    assert_eq!(state_of(&world), Some(JobState::Running));
    let crashes = world.crashes.get(&task(0)).map_or(0, Vec::len);
    assert!((3..=16).contains(&crashes), "{crashes} crashes in 60 s");
    for index in 1..4 {
        assert!(worker_of(&world, index).is_some(), "task {index} is away");
    }
}

/// Starts whose answers were lost were stopped after the second attempt, although the runs were
/// in service by then and others of their step were away (AVAIL).
#[test]
fn start_answers_lost_not_stopped() {
    let mut world = listed_world(1);
    world.faults.lost_replies = 1000;
    world.submit(JOB, &job(&[long_running(4)]), 1);
    world.run(1500);
    world.faults.lost_replies = 0;
    world.run(8000);
    assert_eq!(state_of(&world), Some(JobState::Running));
    assert_eq!(world.running(), 4);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A job of sound tasks failed under crashes, stops took more of a step than it may miss,
    /// or a task stayed away although its workers stayed up.
    #[test]
    fn lose_runs_random_crashes_back_in_time(
        seed in 1_u64..1_000_000,
        pause_ms in 500_u64..9000,
        silent in any::<bool>(),
        listed in any::<bool>(),
    ) {
        let mut world = world_in_service(5, seed);
        world.crashes_listed = listed;
        world.silent_crashes = silent;
        world.faults.lost_replies = 5;
        world.faults.lost_calls = 5;
        for _ in 0..12 {
            let index = (world.draw() % 5) as u32;
            if let Some(worker) = worker_of(&world, index) {
                world.crash(&worker);
            }
            let extra_ms = world.draw() % 2000;
            world.run(pause_ms + extra_ms);
            if world.draw().is_multiple_of(6) {
                world.take_over();
            }
            prop_assert!(state_of(&world).is_some_and(|state| !state.is_final()));
        }
        // The end of the last lease, and the longest wait of a task that has lost runs.
        world.run(14_000);
        prop_assert_eq!(world.running(), 5);
    }
}
