//! Occurrences of recurring jobs.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::job::EndedRun;
use chicorygauge::jobs::job::JobEntry;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::task::RunPhase;
use chicorygauge::jobs::task::TaskRun;
use chicorygauge::jobs::types::JobSchedule;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::types::RunEnd;
use chicorygauge::jobs::types::TaskId;
use world::World;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";

/// Number of tasks of one job that the scheduler may hold in memory.
const MAX_TASKS: usize = 4096;

fn recurring(tasks: u32, times: u32, interval_ms: u64) -> JobSpec {
    JobSpec {
        schedule: Some(JobSchedule {
            times,
            first_ms: 0,
            interval_ms,
        }),
        ..job(&[step(tasks, 1000, 20)])
    }
}

fn open_tasks(world: &World) -> usize {
    let jobs = world.engine.jobs.values();
    let occurrences = jobs.flat_map(|job| job.open.values());
    occurrences.flatten().map(|step| step.tasks.len()).sum()
}

/// All occurrences that were due were held in memory at once, so that one job could exhaust
/// the memory of its owner, and then that of each successor.
#[test]
fn open_due_overdue_occurrences_bounded() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &recurring(8, 20_000, 1), 1);
    world.run(200);
    assert!(
        open_tasks(&world) <= MAX_TASKS,
        "{} tasks",
        open_tasks(&world)
    );
    world.take_over();
    world.run(200);
    assert!(
        open_tasks(&world) <= MAX_TASKS,
        "{} tasks",
        open_tasks(&world)
    );
}

/// Occurrences that wait for others to finish still run, each once.
#[test]
fn open_due_overdue_occurrences_all_run() {
    let mut world = World::new(4, 1);
    world.run(20);
    world.submit(JOB, &recurring(8, 600, 1), 1);
    world.run(5000);
    world.take_over();
    world.run(40_000);
    let ended = world.engine.ended.get(JOB).map(|ended| ended.state);
    assert_eq!(ended, Some(JobState::Completed));
    assert!(world.starts() >= 4800);
}

/// An occurrence that finished while a second copy of a task ran stayed in memory for good.
#[test]
fn open_due_finished_with_copies_dropped() {
    let body = BodyRecord {
        queue: "orders".to_owned(),
        pool: "intake".to_owned(),
        submitted_ms: 0,
        spec: recurring(1, 2, 1_000_000),
        account: None,
        terms: None,
    };
    let mut entry = JobEntry::new(JOB.into(), body, 0);
    entry.open_due(0, 1);
    let task = TaskId::parse(&format!("{JOB}.0.0.0")).expect("a task");
    let run = |run: u32| TaskRun {
        worker: format!("w-{run}"),
        born_ms: 1,
        run,
        phase: RunPhase::Running(0),
        began: true,
        is_reported: true,
        has_unanswered_start: false,
        ordered_ms: 0,
        last_progress_ms: 0,
        started_ms: 0,
        percent: 0,
        pace: 100,
        load: 0,
    };
    let state = entry.task_mut(&task).expect("a task");
    state.placed = vec![run(1), run(2)];
    let end = EndedRun {
        task: &task,
        worker: "w-1",
        run: 1,
        end: RunEnd::Done,
        checkpoint: "",
    };
    assert!(entry.end_run(&end, 4, 10));
    entry.open_due(20, 2);
    assert!(entry.open.contains_key(&0), "the copy may be alive");
    entry.task_mut(&task).expect("a task").placed.clear();
    entry.open_due(30, 3);
    assert!(entry.open.is_empty());
}
