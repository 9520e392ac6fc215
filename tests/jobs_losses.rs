//! Tasks that crash the workers that start them, and workers that are lost for other reasons.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::types::StepSpec;
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
