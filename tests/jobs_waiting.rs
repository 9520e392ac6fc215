//! Placement with a large backlog: a pass must stay cheap, and no job may starve behind
//! jobs that do not fit.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::share::JobLane;
use chicorygauge::jobs::types::JobId;
use chicorygauge::jobs::types::JobSchedule;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::waiting::JobRank;
use chicorygauge::jobs::waiting::WaitingJobs;
use world::POOL;
use world::World;
use world::job;
use world::step;

fn rank(work_per_value: f64) -> JobRank {
    JobRank {
        class: 1,
        priority: 0,
        work_per_value,
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").as_str().into()
}

/// Adds a job as if a former owner had accepted it, without admission.
fn restore_waiting(world: &mut World, id: JobId, spec: &JobSpec) {
    world.specs.insert(id.to_string(), spec.clone());
    let time = world.time();
    let body = BodyRecord {
        queue: "orders".to_owned(),
        pool: POOL.to_owned(),
        submitted_ms: time.unix,
        spec: spec.clone(),
        account: None,
    };
    world.engine.restore_job(id, body, None, time);
}

/// The order of placement must not depend on when a job was added.
#[test]
fn waiting_order_by_rank() {
    let mut waiting = WaitingJobs::default();
    for (number, work) in [3.0, 1.0, 2.0].into_iter().enumerate() {
        waiting.set_rank(
            &job_id(number),
            POOL,
            &JobLane::Common,
            rank(work),
            ResourceVector::default(),
        );
    }
    let mut order = Vec::new();
    let mut place = None;
    while let Some(next) = waiting.next(POOL, &JobLane::Common, place.as_ref()) {
        order.push(next.1.clone());
        place = Some(next);
    }
    assert_eq!(order, [job_id(1), job_id(2), job_id(0)]);
}

/// A job whose run ends while it waits must not be listed twice.
#[test]
fn waiting_inserted_twice_once_listed() {
    let mut waiting = WaitingJobs::default();
    waiting.set_rank(
        &job_id(1),
        POOL,
        &JobLane::Common,
        rank(1.0),
        ResourceVector::default(),
    );
    waiting.insert(&job_id(1));
    assert_eq!(waiting.len(), 1);
    waiting.set_rank(
        &job_id(1),
        POOL,
        &JobLane::Common,
        rank(2.0),
        ResourceVector::default(),
    );
    assert_eq!(waiting.len(), 1);
    waiting.remove(&job_id(1));
    assert!(waiting.is_empty());
    assert_eq!(waiting.next(POOL, &JobLane::Common, None), None);
}

/// A pool in which nothing has changed must not be looked at again.
#[test]
fn waiting_pool_due_once() {
    let mut waiting = WaitingJobs::default();
    waiting.set_rank(
        &job_id(1),
        POOL,
        &JobLane::Common,
        rank(1.0),
        ResourceVector::default(),
    );
    assert_eq!(waiting.take_due_pools(), [POOL]);
    assert!(waiting.take_due_pools().is_empty());
    waiting.mark_due(POOL);
    assert_eq!(waiting.take_due_pools(), [POOL]);
}

/// Load pattern: a queue's peak leaves hundreds of jobs that fit nowhere. A job that fits
/// beside what is running must start soon, although all of them rank before it.
#[test]
fn backlog_fitting_job_starts_behind_others() {
    let mut world = World::new(1, 1);
    world.run(20);
    world.submit("ffffffffffffffff", &job(&[step(1, 20_000, 60_000)]), 1);
    world.run(100);
    assert_eq!(world.starts(), 1);
    // All of them can meet their objectives throughout, so that their order stays.
    for number in 0..400 {
        restore_waiting(
            &mut world,
            job_id(number),
            &job(&[step(1, 13_000, 100_000)]),
        );
    }
    // Its remaining work is larger, so it ranks last.
    restore_waiting(&mut world, job_id(999), &job(&[step(1, 5_000, 300_000)]));
    world.run(3000);
    assert_eq!(world.starts(), 2, "the job that fits has not started");
}

/// Load pattern: many recurring jobs between two occurrences. A pass looked at them first,
/// since nothing is left to do of them, and other jobs waited for their turn behind.
#[test]
fn recurring_not_due_delays_no_other() {
    let mut world = World::new(2, 1);
    world.run(20);
    let recurring = JobSpec {
        schedule: Some(JobSchedule {
            times: 2,
            first_ms: world.time().unix + 3_600_000,
            interval_ms: 1000,
        }),
        ..job(&[step(1, 1000, 300)])
    };
    for number in 0..400 {
        restore_waiting(&mut world, job_id(number), &recurring);
    }
    world.submit("ffffffffffffffff", &job(&[step(1, 1000, 300)]), 1);
    world.run(20);
    assert_eq!(world.starts(), 1);
}

/// A recurring job must be placed again when its next occurrence is due.
#[test]
fn recurring_due_placed() {
    let mut world = World::new(2, 1);
    world.run(20);
    let recurring = JobSpec {
        schedule: Some(JobSchedule {
            times: 2,
            first_ms: world.time().unix + 500,
            interval_ms: 1000,
        }),
        ..job(&[step(1, 1000, 300)])
    };
    world.submit("ffffffffffffffff", &recurring, 1);
    world.run(400);
    assert_eq!(world.starts(), 0);
    world.run(400);
    assert_eq!(world.starts(), 1);
    world.run(1000);
    assert_eq!(world.starts(), 2);
}
