//! Admission under load patterns: the jobs that are refused must be those that cost callers
//! least.

#[path = "support/load.rs"]
mod load;
#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::types::JobId;
use load::AdmissionRule;
use load::JobOutcome;
use load::LoadJob;
use load::add_accepted;
use load::arrivals;
use load::copies;
use load::run_load;
use load::timely_share;
use load::total_utility;
use world::POOL;
use world::World;
use world::job;
use world::step;

/// Seeds of the simulated arrivals.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Workers of 32 cores in the simulated pool.
const WORKERS: usize = 8;

fn started_world(seed: u64) -> World {
    let mut world = World::new(WORKERS, seed);
    world.run(200);
    world
}

/// Burst of `factor` times the usual load from 2 s on, for `burst_ms`.
fn burst_jobs(world: &mut World, usual: f64, factor: f64, burst_ms: u64) -> Vec<LoadJob> {
    let end_ms = 2000 + burst_ms;
    let mut jobs = arrivals(world, 0, 2000, usual);
    jobs.extend(arrivals(world, 2000, end_ms, usual * factor));
    jobs.extend(arrivals(world, end_ms, 9000, usual));
    jobs
}

fn check_burst(usual: f64, factor: f64, burst_ms: u64) {
    for seed in SEEDS {
        let run = |rule| {
            let mut world = started_world(seed);
            let jobs = burst_jobs(&mut world, usual, factor, burst_ms);
            run_load(&mut world, &jobs, rule, |_, _| {})
        };
        let (new, old) = (run(AdmissionRule::Cost), run(AdmissionRule::Objective));
        let all = timely_share(&new, |_| true);
        let large = timely_share(&new, JobOutcome::is_large);
        let largest = timely_share(&new, JobOutcome::is_largest);
        eprintln!(
            "{factor} times, seed {seed}: utility {:.0}, before {:.0}; refused {}, before {}; timely {all:.2}, before {:.2}; large {large:.2}, largest {largest:.2}",
            total_utility(&new),
            total_utility(&old),
            refused(&new),
            refused(&old),
            timely_share(&old, |_| true),
        );
        assert!(total_utility(&new) >= total_utility(&old));
        assert!(large >= 0.5 * all);
        assert!(largest >= 0.5 * all);
    }
}

fn refused(outcomes: &[JobOutcome]) -> usize {
    let refused = outcomes.iter().filter(|one| !one.refused_ms.is_empty());
    refused.count()
}

/// Burst of 2.6 times the usual load for 4 s: admission by cost must not serve less than
/// refusing late jobs only, and the large jobs must be in time at least half as often as all.
#[test]
fn burst_serves_at_least_as_much() {
    check_burst(0.8, 2.6, 4000);
}

/// Burst of 1.7 times a load near the capacity for 6 s: the same must hold.
#[test]
fn long_burst_serves_at_least_as_much() {
    check_burst(0.9, 1.7, 6000);
}

/// Usual load below the capacity: nothing may be refused.
#[test]
fn usual_load_without_refusals() {
    for seed in SEEDS {
        let mut world = started_world(seed);
        let jobs = arrivals(&mut world, 0, 5000, 0.7);
        let outcomes = run_load(&mut world, &jobs, AdmissionRule::Cost, |_, _| {});
        assert_eq!(refused(&outcomes), 0);
        assert!(timely_share(&outcomes, |_| true) > 0.95);
    }
}

/// Large jobs arrive at once: small ones must stay in time, and the large ones must not be
/// excluded by their cost.
#[test]
fn large_jobs_at_once_keep_small_timely() {
    let large = job(&[step(8, 4_000, 450), step(8, 4_000, 450)]);
    for seed in SEEDS {
        let mut world = started_world(seed);
        let mut jobs = arrivals(&mut world, 0, 6000, 0.6);
        jobs.extend(copies(40, 2000, &large));
        let outcomes = run_load(&mut world, &jobs, AdmissionRule::Cost, |_, _| {});
        let small = timely_share(&outcomes, |one| !one.is_largest());
        let completed = |select: &dyn Fn(&JobOutcome) -> bool| {
            let jobs = outcomes.iter().filter(|one| select(one));
            let (mut all, mut done) = (0.0, 0.0);
            for one in jobs {
                all += 1.0;
                done += f64::from(u8::from(one.duration_ms.is_some()));
            }
            done / all
        };
        let largest = completed(&JobOutcome::is_largest);
        eprintln!(
            "seed {seed}: small timely {small:.3}, largest completed {largest:.2}, timely {:.2}, refused {}",
            timely_share(&outcomes, JobOutcome::is_largest),
            refused(&outcomes),
        );
        assert!(small >= 0.95);
        assert!(largest >= 0.5 * completed(&|_| true));
    }
}

/// Urgent jobs arrive at once, with work for 0.3 s of the pool, about what it can do within
/// their objective of 0.76 s beside its running tasks: they must be in time, and callers
/// as a whole must not be worse off than with the former rule.
#[test]
fn urgent_jobs_at_once_are_timely() {
    let urgent = job(&[step(2, 2_000, 100)]);
    for seed in SEEDS {
        let mut world = started_world(seed);
        let mut jobs = arrivals(&mut world, 0, 5000, 0.8);
        jobs.extend(copies(200, 2000, &urgent));
        let new = run_load(&mut world, &jobs, AdmissionRule::Cost, |_, _| {});
        let mut world = started_world(seed);
        let old = run_load(&mut world, &jobs, AdmissionRule::Objective, |_, _| {});
        let share = timely_share(&new, |one| one.work == urgent.work());
        eprintln!(
            "seed {seed}: urgent timely {share:.3}, before {:.3}; utility {:.0}, before {:.0}",
            timely_share(&old, |one| one.work == urgent.work()),
            total_utility(&new),
            total_utility(&old)
        );
        assert!(share >= 0.9);
        assert!(total_utility(&new) >= total_utility(&old));
    }
}

/// The owner is replaced in the middle of a burst: no accepted job may be lost, and
/// admission must work with the restored jobs.
#[test]
fn takeover_in_burst_loses_no_job() {
    let mut world = started_world(1);
    let jobs = burst_jobs(&mut world, 0.8, 2.6, 4000);
    let mut accepted = Vec::new();
    let outcomes = run_load(&mut world, &jobs, AdmissionRule::Cost, |world, at_ms| {
        if at_ms == 4000 {
            let stored = world.engine.jobs.values();
            let stored = stored.filter(|job| job.stored_version > 0);
            accepted = stored.map(|job| job.id.to_string()).collect();
            world.take_over();
        }
    });
    assert!(accepted.len() > 50);
    for id in &accepted {
        assert!(world.completed.contains_key(id), "{id} was lost");
    }
    eprintln!(
        "utility {:.0}, timely {:.2}, refused {}",
        total_utility(&outcomes),
        timely_share(&outcomes, |_| true),
        refused(&outcomes)
    );
    assert!(timely_share(&outcomes, |_| true) >= 0.5);
}

/// Full pool whose jobs are all late: they have little to lose, so that a new job must be
/// accepted before them and be in time.
#[test]
fn late_backlog_does_not_refuse_timely_jobs() {
    let mut world = started_world(1);
    let backlog = job(&[step(8, 4_000, 900)]);
    for number in 0..100 {
        let id = format!("{number:016x}");
        add_accepted(&mut world, &id, &backlog, 10_000);
    }
    world.run(100);
    assert_eq!(world.engine.pool_load(POOL).free, 0.0);
    let small = job(&[step(2, 2_000, 400)]);
    world.submit("00000000000000aa", &small, 1);
    let sent_ms = world.now;
    world.run(4000);
    assert_eq!(world.answers.get(&1), Some(&CallerAnswer::Accepted));
    let duration_ms = world.completed["00000000000000aa"] - sent_ms;
    assert!(
        duration_ms as f64 <= load::objective_ms(&small),
        "{duration_ms}"
    );
}

/// Large jobs that were expected to be in time and were not must count as not served, so
/// that the next one is preferred.
#[test]
fn late_outcomes_make_large_jobs_preferred() {
    let mut world = started_world(1);
    let small = job(&[step(2, 2_000, 100)]);
    let large = job(&[step(4, 4_000, 400)]);
    // Their tasks run for 2.5 s; the objective is 1.24 s.
    let slow = job(&[step(4, 4_000, 2500)]);
    let mut first = None;
    for number in 0..120u64 {
        let id = format!("{number:016x}");
        let is_large = number % 10 == 9;
        world.submit(&id, if is_large { &large } else { &small }, number);
        if is_large {
            world.specs.insert(id.clone(), slow.clone());
            let preferred = world.engine.jobs[&JobId::from(id.as_str())].preferred;
            first = first.or(Some(preferred));
        }
        world.run(50);
    }
    world.run(4000);
    world.submit("00000000000000aa0", &large, 1000);
    assert_eq!(first, Some(false));
    assert!(world.engine.jobs[&JobId::from("00000000000000aa0")].preferred);
}
