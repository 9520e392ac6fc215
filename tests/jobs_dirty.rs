//! Changes that wait to be stored: at a queue's load peak, thousands of jobs change in the
//! time of a commit.

use chicorygauge::jobs::dirty::DirtyJobs;
use chicorygauge::jobs::types::JobId;
use chicorygauge::service::jobs::shard::CommitLane;
use chicorygauge::service::jobs::shard::free_lane;

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").as_str().into()
}

fn busy_lane(since_ms: u64) -> CommitLane {
    CommitLane {
        commit_started_ms: Some(since_ms),
        ..CommitLane::default()
    }
}

/// The job that is due first must be stored first, whenever it was marked.
#[test]
fn dirty_taken_in_order_of_due() {
    let mut dirty = DirtyJobs::default();
    dirty.mark(&job_id(1), 300);
    dirty.mark(&job_id(2), 200);
    dirty.mark(&job_id(1), 100);
    dirty.mark(&job_id(2), 900);
    assert_eq!(dirty.next_due_ms(), Some(100));
    assert_eq!(dirty.take_first(), Some(job_id(1)));
    assert_eq!(dirty.take_first(), Some(job_id(2)));
    assert_eq!(dirty.take_first(), None);
    assert!(dirty.is_empty());
}

/// Two commits with the same job could end in either order and leave the older state.
#[test]
fn dirty_in_commit_waits_for_its_end() {
    let mut dirty = DirtyJobs::default();
    dirty.mark(&job_id(1), 100);
    let taken = dirty.take_first().expect("a job");
    dirty.begin_commit(&taken);
    dirty.mark(&taken, 150);
    assert_eq!((dirty.ready(), dirty.len()), (0, 1));
    assert_eq!(dirty.take_first(), None);
    dirty.end_commit(&taken);
    assert_eq!(dirty.next_due_ms(), Some(150));
    assert_eq!(dirty.take_first(), Some(taken));
}

/// Before the ownership is transferred, a change must not wait for its time.
#[test]
fn dirty_all_due_before_transfer() {
    let mut dirty = DirtyJobs::default();
    dirty.mark(&job_id(1), 5000);
    dirty.make_all_due();
    assert_eq!(dirty.next_due_ms(), Some(0));
    dirty.remove(&job_id(1));
    assert_eq!((dirty.next_due_ms(), dirty.len()), (None, 0));
}

/// Load pattern: one queue's peak marks more jobs than a commit holds while one is in
/// progress. Waiting for that one would store 28 entries per answer of the store.
#[test]
fn peak_full_commits_go_side_by_side() {
    let lanes = [busy_lane(100), CommitLane::default(), CommitLane::default()];
    assert_eq!(free_lane(&lanes, true, 101), Some(1));
    assert_eq!(free_lane(&lanes, false, 101), None, "a small commit waits");
    let lanes = [busy_lane(100); 3];
    assert_eq!(free_lane(&lanes, true, 101), None);
}

/// A slow store must not hold up the changes behind a commit in progress.
#[test]
fn slow_commit_next_lane_used() {
    let lanes = [busy_lane(100), CommitLane::default()];
    assert_eq!(free_lane(&lanes, false, 100 + 50), Some(1));
}
