//! The pace of fillers beside serving tasks: these must not be over their target for long.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::types::StepSpec;
use world::World;
use world::job;
use world::step;

const SERVING_JOB: &str = "00000000000000aa";

const WORKERS: u32 = 6;

/// Time for which a serving task may be over its target on end, in milliseconds.
const IMPACT_MS: u64 = 4000;

/// Returns a world with a serving task on each worker.
fn serving_world(tail_ms: u64, harm_ms: u64) -> World {
    let mut world = World::new(WORKERS as usize, 1);
    world.tails_ms = (tail_ms, harm_ms);
    world.run(1000);
    let serving = StepSpec {
        lasting: true,
        per_worker: 1,
        target_ms: 100,
        ..step(WORKERS, 2600, 200)
    };
    world.submit(SERVING_JOB, &job(&[serving]), 1);
    world.run(3000);
    assert_eq!(world.running(), WORKERS as usize);
    world
}

fn fillers(work_ms: u64) -> StepSpec {
    StepSpec {
        fills: true,
        ..step(WORKERS, 1000, work_ms)
    }
}

/// Submits short fillers at a fixed pace; returns the longest time over the target.
fn run_fillers(world: &mut World, gap_ms: u64, for_ms: u64) -> u64 {
    for number in 0..for_ms / gap_ms {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[fillers(1000)]), number + 10);
        world.run(gap_ms);
    }
    let longest = world
        .over_target
        .values()
        .map(|(_, longest_ms)| *longest_ms);
    longest.max().unwrap_or(0)
}

/// Each filler began at full speed, and was slowed down after others had come.
#[test]
fn fillers_that_keep_coming_targets_held() {
    for gap_ms in [200, 300, 500, 700] {
        for harm_ms in [60, 100, 200] {
            let mut world = serving_world(60, harm_ms);
            let longest_ms = run_fillers(&mut world, gap_ms, 20_000);
            assert!(
                longest_ms <= IMPACT_MS,
                "{longest_ms} ms over the target, one job every {gap_ms} ms, harm {harm_ms}"
            );
        }
    }
}

/// Fillers that harm nobody run at full speed, also after some that did.
#[test]
fn fillers_without_harm_full_speed() {
    let mut world = serving_world(20, 100);
    run_fillers(&mut world, 300, 5000);
    world.tails_ms.1 = 1;
    world.run(20_000);
    let id = format!("{:016x}", 1000);
    world.submit(&id, &job(&[fillers(1000)]), 1);
    world.run(1500);
    let job = world.engine.jobs.get(&*id);
    let runs = job.into_iter().flat_map(|job| job.live_runs());
    let paces: Vec<u32> = runs.map(|(_, run)| run.pace).collect();
    assert!(paces.iter().all(|pace| *pace == 100), "{paces:?}");
}

/// Fillers that had been stopped for the sake of serving tasks stayed so once these were gone.
#[test]
fn fillers_after_serving_tasks_full_speed() {
    let mut world = serving_world(60, 200);
    let id = format!("{:016x}", 1000);
    world.submit(&id, &job(&[fillers(8000)]), 1);
    world.run(4000);
    let paces = |world: &World| {
        let runs = world.engine.jobs[&*id].live_runs();
        runs.map(|(_, run)| run.pace).collect::<Vec<u32>>()
    };
    assert!(paces(&world).iter().all(|pace| *pace < 100));
    world.cancelled.insert(SERVING_JOB.to_owned(), world.now);
    world.cancel(SERVING_JOB, 2);
    world.run(2000);
    let paces = paces(&world);
    assert_eq!(paces, vec![100; WORKERS as usize]);
}
