//! Leases of workers that a new owner did not grant itself: a worker's runs are placed again
//! only once no lease can be left. The simulated workers check that no task runs twice.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::codec::encode;
use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::unresponsive::UnresponsiveLease;
use chicorygauge::jobs::unresponsive::UnresponsiveRecord;
use chicorygauge::jobs::unresponsive::UnresponsiveRow;
use chicorygauge::jobs::unresponsive::UnresponsiveWorkers;
use world::World;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";

/// Returns a world in which a task runs for long, as its worker has reported, and the worker.
fn world_with_run() -> (World, String) {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 15_000)]), 1);
    world.run(2500);
    let mut workers = world.workers.iter();
    let busy = workers.find(|(_, worker)| !worker.runs.is_empty());
    let id = busy.map(|(id, _)| id.clone()).expect("a run");
    (world, id)
}

fn set_reachable(world: &mut World, worker: &str, reachable: bool) {
    let worker = world.workers.get_mut(worker).expect("a worker");
    worker.reachable = reachable;
}

/// Asserts that the job goes on at the other worker after the lease has expired.
fn assert_completed(world: &mut World) {
    world.run(30_000);
    let ended = world.engine.ended.get(JOB).map(|ended| ended.state);
    assert_eq!(ended, Some(JobState::Completed));
}

/// The end of a lease was stored as a time of day, so a successor whose clock had been set
/// ahead took it to be over while the run went on.
#[test]
fn inherit_lease_clock_set_ahead_kept() {
    for ahead_ms in [800, 3000, 10_000, 3_600_000] {
        let (mut world, worker) = world_with_run();
        set_reachable(&mut world, &worker, false);
        world.run(2000);
        world.clock_ahead_ms = ahead_ms;
        world.take_over();
        assert_completed(&mut world);
    }
}

/// With a clock that had been set back, the runs of a worker that is gone must not wait longer
/// than for the longest lease.
#[test]
fn inherit_lease_clock_set_back_bounded() {
    let (mut world, worker) = world_with_run();
    set_reachable(&mut world, &worker, false);
    world.run(2000);
    world.clock_ahead_ms = -900_000;
    world.take_over();
    let longest_ms = world.engine.inherited_leases_expiry_ms - world.now;
    world.run(longest_ms + 500);
    assert_eq!(world.starts(), 2, "the run is not placed again");
    assert_completed(&mut world);
}

/// A row of an earlier version says nothing but a time of day.
#[test]
fn inherit_lease_of_earlier_version_longest() {
    let row = UnresponsiveRow {
        worker: "w-1".to_owned(),
        born_ms: 1,
        lapse_ms: 4000,
        left_ms: None,
    };
    let record = UnresponsiveRecord { rows: vec![row] };
    let bytes = encode(&record).expect("a record of an earlier version");
    let record = UnresponsiveRecord::decode("key", &bytes).expect("a record");
    let mut unresponsive = UnresponsiveWorkers::default();
    unresponsive.inherit(record, 90_000, 80_000);
    let lease = unresponsive.lease("w-1").expect("a lease");
    assert_eq!(lease.expires_ms, 90_000);
    assert!(!unresponsive.may_grant_lease("w-1"));
}

/// What was left of a lease when its row was first written would count anew with each takeover
/// if the row were not written again.
#[test]
fn inherit_lease_of_old_row_shorter() {
    let (mut world, worker) = world_with_run();
    set_reachable(&mut world, &worker, false);
    for number in 0..30 {
        world.submit(&format!("{number:016x}"), &job(&[step(1, 100, 50)]), number);
        world.run(100);
    }
    let known = world.engine.unresponsive.lease(&worker).expect("a lease");
    world.take_over();
    let lease = world.engine.unresponsive.lease(&worker).expect("a lease");
    assert!(lease.expires_ms >= known.expires_ms);
    assert!(
        lease.expires_ms <= known.expires_ms + 1000,
        "the successor waits for {} ms longer than the former owner knew",
        lease.expires_ms - known.expires_ms
    );
}

/// A successor counted the lease of a worker that had answered it once from what it had granted
/// itself, which was nothing while the row of the worker was still stored.
#[test]
fn inherit_lease_answered_once_kept() {
    let (mut world, worker) = world_with_run();
    set_reachable(&mut world, &worker, false);
    world.run(1500);
    world.take_over();
    // The row cannot be removed, so that no lease may be granted.
    world.store_up = false;
    set_reachable(&mut world, &worker, true);
    world.run(300);
    set_reachable(&mut world, &worker, false);
    world.run(300);
    world.store_up = true;
    assert_completed(&mut world);
}

/// A successor grants no lease to a worker whose entry stays missing; the lease that the former
/// owner had granted runs on.
#[test]
fn inherit_lease_without_entry_kept() {
    let (mut world, worker) = world_with_run();
    world.take_over();
    set_reachable(&mut world, &worker, false);
    let now = world.now;
    world.engine.worker_unlisted(&worker, now);
    world.run(2600);
    set_reachable(&mut world, &worker, true);
    world.run(300);
    set_reachable(&mut world, &worker, false);
    assert_completed(&mut world);
}

/// A commit that was reported as failed may still be carried out. Its row must keep a lease from
/// being granted until a later commit has succeeded.
#[test]
fn grant_lease_after_failed_commit_withheld() {
    let (world, _) = world_with_run();
    let mut unresponsive = UnresponsiveWorkers::default();
    let lease = UnresponsiveLease {
        born_ms: 1,
        expires_ms: world.now + 3000,
    };
    unresponsive.insert("w-1", lease);
    unresponsive.begin_write(world.time());
    unresponsive.write_failed();
    unresponsive.remove("w-1");
    assert!(!unresponsive.may_grant_lease("w-1"));
    assert!(unresponsive.is_dirty(), "its removal is to be stored");
    unresponsive.begin_write(world.time());
    unresponsive.write_succeeded();
    assert!(unresponsive.may_grant_lease("w-1"));
}
