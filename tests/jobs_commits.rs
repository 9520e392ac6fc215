//! Submissions while the outcome of a commit is open: one that a commit holds is never refused.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::writes::WriteBatch;
use world::World;
use world::job;
use world::step;

const HELD: &str = "00000000000000aa";
const LATER: &str = "00000000000000bb";

/// Returns a world whose store is away, with a submission in a commit, and that commit.
fn world_with_open_commit() -> (World, WriteBatch) {
    let mut world = World::new(2, 1);
    world.run(20);
    world.store_up = false;
    world.submit(HELD, &job(&[step(1, 1000, 300)]), 1);
    let time = world.time();
    let batch = world
        .engine
        .take_writes(ShardKeys::default(), true, time)
        .expect("records");
    (world, batch)
}

/// The commit of a lane that is delayed may take effect; only what is in no commit is refused,
/// whichever lane reports the delay.
#[test]
fn store_unavailable_keeps_submission_of_open_commit() {
    let (mut world, batch) = world_with_open_commit();
    world.submit(LATER, &job(&[step(1, 1000, 300)]), 2);
    let other_lane = WriteBatch::default();
    world.engine.store_unavailable(&other_lane, world.now);
    world.engine.store_unavailable(&batch, world.now);
    // The caller submits both again.
    world.submit(HELD, &job(&[step(1, 1000, 300)]), 3);
    world.submit(LATER, &job(&[step(1, 1000, 300)]), 4);
    world.step();
    for waiter in [1, 3] {
        assert_eq!(world.answers.get(&waiter), None);
    }
    for waiter in [2, 4] {
        let answer = world.answers.get(&waiter);
        assert!(matches!(answer, Some(CallerAnswer::Refused { .. })));
    }
    world.engine.write_succeeded(&batch, world.now);
    world.step();
    for waiter in [1, 3] {
        assert_eq!(world.answers.get(&waiter), Some(&CallerAnswer::Accepted));
    }
}

/// A commit that has failed may have had an earlier attempt without an answer, so its submission
/// stays until it is stored.
#[test]
fn write_failed_keeps_submission() {
    let (mut world, batch) = world_with_open_commit();
    world.engine.write_failed(&batch, world.now);
    world
        .engine
        .store_unavailable(&WriteBatch::default(), world.now);
    world.step();
    assert_eq!(world.answers.get(&1), None);
    world.store_up = true;
    world.run(1000);
    assert_eq!(world.answers.get(&1), Some(&CallerAnswer::Accepted));
    assert_eq!(world.starts(), 1);
}
