//! Tasks that crash the workers that start them, and workers that are lost for other reasons.

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

const DEADLY: &str = "00000000000000dd";

/// Returns a world with jobs in progress and one whose first task is deadly.
fn world_with_deadly_task(workers: usize, spec: StepSpec) -> World {
    let mut world = World::new(workers, 1);
    world.run(20);
    for number in 0..3 {
        world.submit(&neighbour(number), &job(&[step(4, 1800, 600)]), number);
    }
    world.deadly.insert(format!("{DEADLY}.0.0.0"));
    world.submit(DEADLY, &job(&[spec]), 100);
    world
}

fn neighbour(number: u64) -> String {
    format!("{number:016x}")
}

fn state_of(world: &World, id: &str) -> Option<JobState> {
    let engine = &world.engine;
    let ended = engine.ended.get(id).map(|ended| ended.state);
    ended.or_else(|| engine.jobs.get(id).map(|job| job.state))
}

fn crashes(world: &World) -> usize {
    world.crashes.values().map(Vec::len).sum()
}

/// Asserts that the job of the deadly task has failed and that the others are completed.
fn assert_only_deadly_failed(world: &World) {
    assert_eq!(state_of(world, DEADLY), Some(JobState::Failed));
    for number in 0..3 {
        let id = neighbour(number);
        assert_eq!(state_of(world, &id), Some(JobState::Completed), "{id}");
    }
}

/// A run lost with its worker did not count as an attempt, so a task that crashes its workers
/// was started without end.
#[test]
fn requeue_deadly_task_bounded() {
    let mut world = world_with_deadly_task(6, step(3, 1800, 600));
    world.run(40_000);
    assert_only_deadly_failed(&world);
}

/// Copies of a task whose worker had crashed were placed before that loss was counted.
#[test]
fn copy_deadly_task_bounded() {
    let spec = StepSpec {
        speculative: true,
        ..step(3, 1800, 600)
    };
    let mut world = world_with_deadly_task(6, spec);
    world.run(40_000);
    assert_only_deadly_failed(&world);
}

/// A worker that crashes without a reset of its connections passes for sound for a while, also
/// when the run that crashed it was isolated.
#[test]
fn requeue_silent_crashes_bounded() {
    let mut world = world_with_deadly_task(6, step(3, 1800, 600));
    world.silent_crashes = true;
    world.run(40_000);
    assert_only_deadly_failed(&world);
}

/// A successor did not know of the losses that its predecessors had seen.
#[test]
fn take_over_deadly_task_bounded() {
    let mut world = world_with_deadly_task(6, step(3, 1800, 600));
    for _ in 0..8 {
        world.run(5200);
        world.take_over();
    }
    world.run(20_000);
    assert_only_deadly_failed(&world);
}

/// The tasks of a crashed worker were placed together again, so one task crashed worker after
/// worker with all of them.
#[test]
fn requeue_deadly_task_neighbours_lost_once() {
    let mut world = world_with_deadly_task(6, step(3, 1800, 600));
    world.run(12_000);
    let late = (0..3).filter(|number| !world.completed.contains_key(&neighbour(*number)));
    assert_eq!(late.count(), 0, "jobs still delayed by the deadly task");
    assert!(crashes(&world) <= 2, "{} crashes", crashes(&world));
}

/// The worker of a gang's member crashed with it, and the whole gang was started again without
/// end.
#[test]
fn place_gang_deadly_member_bounded() {
    let spec = StepSpec {
        gang: true,
        ..step(3, 1800, 600)
    };
    let mut world = world_with_deadly_task(6, spec);
    world.run(60_000);
    assert_only_deadly_failed(&world);
}

/// Long-running tasks have no limit of attempts, and crashed their workers without end.
#[test]
fn requeue_deadly_long_running_task_bounded() {
    let spec = StepSpec {
        lasting: true,
        ..step(3, 1800, 600)
    };
    let mut world = world_with_deadly_task(6, spec);
    world.run(60_000);
    assert_only_deadly_failed(&world);
}

/// Lost runs could not be told from crashes, so a bound on them would have given up tasks whose
/// workers were only cut off.
#[test]
fn requeue_after_cuts_not_given_up() {
    let mut world = World::new(6, 1);
    world.run(20);
    world.submit(DEADLY, &job(&[step(1, 1800, 20_000)]), 100);
    for _ in 0..4 {
        world.run(500);
        let mut workers = world.workers.iter();
        let busy = workers.find(|(_, worker)| !worker.runs.is_empty());
        let busy = busy.map(|(id, _)| id.clone()).expect("a run");
        world.workers.get_mut(&busy).expect("a worker").reachable = false;
        world.run(7000);
        world.workers.get_mut(&busy).expect("a worker").reachable = true;
    }
    world.run(30_000);
    assert_eq!(state_of(&world, DEADLY), Some(JobState::Completed));
}

/// A task that was lost in real crashes of its workers, far apart, was taken for their cause.
#[test]
fn clear_survivors_long_running_task_not_given_up() {
    let spec = StepSpec {
        lasting: true,
        ..step(1, 1800, 600)
    };
    let mut world = World::new(4, 1);
    world.run(20);
    world.submit(DEADLY, &job(&[spec]), 100);
    for _ in 0..6 {
        world.run(40_000);
        let mut workers = world.workers.iter();
        let busy = workers.find(|(_, worker)| !worker.runs.is_empty());
        let busy = busy.map(|(id, _)| id.clone()).expect("a run");
        world.crash(&busy);
    }
    world.run(10_000);
    assert_eq!(state_of(&world, DEADLY), Some(JobState::Running));
    assert_eq!(world.running(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 16,
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Only tasks that crash their workers may be given up, in time, whatever else happens:
    /// lost calls and answers, takeovers, cuts, other crashes.
    #[test]
    fn requeue_random_faults_bounded(
        seed in 1_u64..1_000_000,
        deadly in proptest::collection::vec((0_u64..8, 0_u32..4), 1..4),
        after_ms in prop_oneof![Just(3_u64), Just(10), Just(150), Just(700)],
        speculative in any::<bool>(),
        silent in any::<bool>(),
    ) {
        let mut world = World::new(8, seed);
        world.run(20);
        world.deadly_after_ms = after_ms;
        world.silent_crashes = silent;
        for (number, index) in &deadly {
            world.deadly.insert(format!("{}.0.0.{index}", neighbour(*number)));
        }
        world.faults.lost_replies = 5;
        world.faults.lost_calls = 5;
        for number in 0..8 {
            let spec = StepSpec { speculative, ..step(4, 1800, 800) };
            world.submit(&neighbour(number), &job(&[spec]), number);
            world.run(300);
        }
        for _ in 0..6 {
            let pause_ms = 3000 + world.draw() % 4000;
            world.run(pause_ms);
            if world.draw().is_multiple_of(3) {
                world.take_over();
            }
        }
        world.run(60_000);
        for number in 0..8 {
            let id = neighbour(number);
            let is_deadly = deadly.iter().any(|(other, _)| *other == number);
            let state = state_of(&world, &id);
            if is_deadly {
                prop_assert_eq!(state, Some(JobState::Failed), "{}", id);
            } else if after_ms <= 10 {
                prop_assert_eq!(state, Some(JobState::Completed), "{}", id);
            } else {
                prop_assert!(state.is_some_and(JobState::is_final), "{}: {:?}", id, state);
            }
        }
    }
}
