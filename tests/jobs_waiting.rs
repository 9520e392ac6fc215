//! Placement with a large backlog: a pass must stay cheap, and no job may starve behind
//! jobs that do not fit.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::collections::BTreeSet;

use chicorygauge::jobs::lanes::TryOutcome;
use chicorygauge::jobs::shapes::WaitingNeed;
use chicorygauge::jobs::share::JobLane;
use chicorygauge::jobs::share::weighted_share;
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
            need(number),
        );
    }
    let mut order = Vec::new();
    let mut place = None;
    while let Some(next) = waiting.next_head(POOL, &JobLane::Common, place.as_ref()) {
        order.push(next.1.1.clone());
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
        WaitingNeed::default(),
    );
    waiting.insert(&job_id(1));
    assert_eq!(waiting.len(), 1);
    waiting.set_rank(
        &job_id(1),
        POOL,
        &JobLane::Common,
        rank(2.0),
        WaitingNeed::default(),
    );
    assert_eq!(waiting.len(), 1);
    waiting.remove(&job_id(1));
    assert!(waiting.is_empty());
    assert_eq!(waiting.next_head(POOL, &JobLane::Common, None), None);
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
        WaitingNeed::default(),
    );
    assert_eq!(waiting.take_due_pools(), [POOL]);
    assert!(waiting.take_due_pools().is_empty());
    waiting.mark_due(POOL);
    assert_eq!(waiting.take_due_pools(), [POOL]);
}

fn lane(account: &str) -> JobLane {
    JobLane::Account(Some(account.into()))
}

/// Returns the need of a job with a shape.
fn need(shape: usize) -> WaitingNeed {
    WaitingNeed {
        least: ResourceVector {
            cpu: 1000,
            memory_mb: 100,
            gpu: 0,
        },
        shape: shape as u64,
    }
}

/// Adds jobs numbered from `first` on to a lane, ranked by number, each of a shape of its own.
fn add_to_lane(waiting: &mut WaitingJobs, lane: &JobLane, first: usize, count: usize) {
    for number in first..first + count {
        waiting.set_rank(
            &job_id(number),
            POOL,
            lane,
            rank(number as f64),
            need(number),
        );
    }
}

/// Returns the jobs of a lane that one pass tries if none has a fitting task.
fn tries_of_pass(waiting: &mut WaitingJobs, lane: &JobLane) -> Vec<JobId> {
    waiting.begin_pass(POOL);
    let mut tried = Vec::new();
    while let Some(id) = waiting.next_try(POOL, lane) {
        waiting.record_try(POOL, lane, TryOutcome::Missed);
        tried.push(id);
    }
    tried
}

/// Load pattern: an account has hundreds of jobs that fit nowhere. A pass must leave it after a
/// few, and later passes must reach its last job too.
#[test]
fn lane_misses_bounded_and_resumed() {
    let mut waiting = WaitingJobs::default();
    add_to_lane(&mut waiting, &lane("a"), 0, 100);
    let mut reached = BTreeSet::new();
    for _ in 0..25 {
        let tried = tries_of_pass(&mut waiting, &lane("a"));
        assert!(tried.len() <= 8, "{tried:?}");
        assert_eq!(tried[0], job_id(0), "the lowest rank comes first");
        reached.extend(tried);
    }
    assert_eq!(reached.len(), 100);
}

/// Load pattern: as above while all ranks are computed anew between the passes. The jobs behind
/// must still be reached.
#[test]
fn lane_resumed_after_ranks_expire() {
    let mut waiting = WaitingJobs::default();
    let mut reached = BTreeSet::new();
    for _ in 0..25 {
        waiting.expire_ranks();
        assert!(waiting.take_unranked(0).len() <= 100);
        add_to_lane(&mut waiting, &lane("a"), 0, 100);
        assert_eq!(waiting.take_due_pools(), [POOL]);
        reached.extend(tries_of_pass(&mut waiting, &lane("a")));
    }
    assert_eq!(reached.len(), 100);
}

/// Load pattern: one account's jobs fit nowhere, those of another are tried after them. The
/// misses of one lane must not count in the other.
#[test]
fn lane_misses_of_one_leave_others() {
    let mut waiting = WaitingJobs::default();
    add_to_lane(&mut waiting, &lane("a"), 0, 50);
    add_to_lane(&mut waiting, &lane("b"), 50, 2);
    assert_eq!(tries_of_pass(&mut waiting, &lane("a")).len(), 8);
    assert_eq!(waiting.next_try(POOL, &lane("b")), Some(job_id(50)));
    assert_eq!(waiting.next_try(POOL, &lane("b")), Some(job_id(51)));
    assert_eq!(waiting.next_try(POOL, &lane("b")), None);
}

/// Load pattern: the first jobs of an account need more than is left of its limit. If they
/// counted as misses, a smaller one behind them would wait for many passes.
#[test]
fn lane_limited_no_misses() {
    let mut waiting = WaitingJobs::default();
    add_to_lane(&mut waiting, &lane("a"), 0, 100);
    waiting.begin_pass(POOL);
    for number in 0..100 {
        assert_eq!(waiting.next_try(POOL, &lane("a")), Some(job_id(number)));
        waiting.record_try(POOL, &lane("a"), TryOutcome::Limited);
    }
    assert_eq!(waiting.next_try(POOL, &lane("a")), None);
}

/// Load pattern: a thousand accounts come and go. Lanes without jobs must not stay in memory or
/// in the order that passes go through.
#[test]
fn lane_without_jobs_removed() {
    let mut waiting = WaitingJobs::default();
    for number in 0..1000 {
        let lane = lane(&format!("t{number}"));
        add_to_lane(&mut waiting, &lane, number, 1);
        waiting.set_share(POOL, &lane, lane.position(0.0));
    }
    for number in 0..500 {
        waiting.remove(&job_id(number));
    }
    assert_eq!(waiting.lanes(POOL), 500);
    waiting.expire_ranks();
    assert_eq!(waiting.take_unranked(0).len(), 500);
    add_to_lane(&mut waiting, &lane("t999"), 999, 1);
    assert_eq!(waiting.take_due_pools(), [POOL]);
    assert_eq!(waiting.lanes(POOL), 1);
    let first = waiting.next_lane(POOL, None).map(|(_, lane)| lane);
    assert_eq!(first, Some(lane("t999")));
    waiting.remove(&job_id(999));
    assert_eq!(waiting.next_lane(POOL, None), None);
}

/// Load pattern: accounts with different weights and tasks that need mainly CPU or mainly
/// memory. An order by CPU alone would let one take all memory.
#[test]
fn lanes_by_dominant_resource_and_weight() {
    let capacity = ResourceVector {
        cpu: 100_000,
        memory_mb: 100_000,
        gpu: 0,
    };
    let usage = |cpu, memory_mb| ResourceVector {
        cpu,
        memory_mb,
        gpu: 0,
    };
    let mut waiting = WaitingJobs::default();
    let rows = [
        ("memory", usage(1_000, 50_000), 1.0),
        ("cpu", usage(40_000, 1_000), 1.0),
        ("heavy", usage(60_000, 60_000), 4.0),
    ];
    for (number, (name, usage, weight)) in rows.iter().enumerate() {
        add_to_lane(&mut waiting, &lane(name), number, 1);
        let share = weighted_share(usage, &capacity, *weight);
        waiting.set_share(POOL, &lane(name), lane(name).position(share));
    }
    let beyond = JobLane::BeyondRate("cpu".into());
    add_to_lane(&mut waiting, &beyond, 9, 1);
    waiting.set_share(POOL, &beyond, beyond.position(0.0));
    let mut order = Vec::new();
    let mut after = None;
    while let Some(next) = waiting.next_lane(POOL, after.as_ref()) {
        order.push(next.1.clone());
        after = Some(next);
    }
    assert_eq!(order, [lane("heavy"), lane("cpu"), lane("memory"), beyond]);
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
        world.restore_waiting(&job_id(number), &job(&[step(1, 13_000, 100_000)]));
    }
    // Its remaining work is larger, so it ranks last.
    world.restore_waiting(&job_id(999), &job(&[step(1, 5_000, 300_000)]));
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
        world.restore_waiting(&job_id(number), &recurring);
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
