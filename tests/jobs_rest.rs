//! When VMs that no pool needs may be moved to the standby pool.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::rest::RestTracker;
use world::POOL;
use world::STANDBY;
use world::World;
use world::job;
use world::step;

/// Returns the VMs that stay out of standby, for a use that changes with time.
fn kept_vms(used: impl Fn(u64) -> usize, end_ms: u64) -> Vec<Option<usize>> {
    let mut tracker = RestTracker::default();
    let times = (0..end_ms).step_by(250);
    let kept = times.map(|at| tracker.update(used(at), 0, used(at) > 0, at));
    kept.collect()
}

/// Guards against VMs that rest before the use of a turn is known, and against a fleet that
/// rests before the first work.
#[test]
fn rest_learns_use_first() {
    let kept = kept_vms(|at| if at < 10_000 { 0 } else { 100 }, 40_000);
    assert!(
        kept[..120].iter().all(Option::is_none),
        "20 s of work first"
    );
    assert_eq!(
        kept.last(),
        Some(&Some(166)),
        "half as much again and the reserve"
    );
}

/// Load pattern: pools take turns of 5 s with a pause between them. Guards against VMs that
/// go to standby in each pause and come back with each turn.
#[test]
fn rest_kept_through_turns() {
    let kept = kept_vms(|at| if at % 15_000 < 5000 { 120 } else { 30 }, 60_000);
    let kept: Vec<usize> = kept.into_iter().flatten().collect();
    assert!(kept.iter().all(|vms| *vms == kept[0]), "{kept:?}");
}

/// Guards against a fleet that stays out of standby for good after a peak.
#[test]
fn rest_follows_falling_use() {
    let kept = kept_vms(|at| if at < 20_000 { 200 } else { 40 }, 60_000);
    assert_eq!(kept.last(), Some(&Some(76)));
}

/// An expected turn keeps its VMs although the use before it is low.
#[test]
fn rest_keeps_expected_use() {
    let mut tracker = RestTracker::default();
    let times = (0..40_000).step_by(250);
    let kept: Vec<_> = times.map(|at| tracker.update(20, 160, true, at)).collect();
    assert_eq!(kept.last(), Some(&Some(256)));
}

/// Returns a fleet of 60 VMs in one pool under a light, steady load, and runs it for 40 s.
fn run_light_load(rest_idle_vms: bool) -> World {
    let mut world = World::new(60, 5);
    world.engine.settings.rest_idle_vms = rest_idle_vms;
    world.engine.fleet.enabled = true;
    world.run(500);
    for number in 0..200 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(4, 4000, 500)]), number);
        world.run(200);
    }
    world
}

fn in_pool(world: &World, pool: &str) -> usize {
    let machines = world.machines.values();
    machines.filter(|row| row.pool == pool).count()
}

/// Guards against idle VMs that are paid for, and against jobs that start later because
/// others rest.
#[test]
fn light_load_rests_idle_vms() {
    let (without, with) = (run_light_load(false), run_light_load(true));
    assert_eq!(in_pool(&without, STANDBY), 0);
    let resting = in_pool(&with, STANDBY);
    assert!((30..=44).contains(&resting), "resting: {resting}");
    assert_eq!(in_pool(&with, POOL) + resting, 60);
    let ends = |world: &World| -> u64 {
        let ends = world.completed.iter();
        let durations = ends.map(|(id, at)| at - world.submitted[id]);
        durations.max().expect("completed jobs")
    };
    assert_eq!(with.completed.len(), without.completed.len());
    assert!(ends(&with) <= ends(&without) + 50, "a job ended later");
}
