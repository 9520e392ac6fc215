//! What a job was accepted under, when its queue is changed or removed.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::sync::Arc;

use chicorygauge::jobs::config::AdviceTiming;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::record::BodyExtension;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::record::decode_body;
use chicorygauge::jobs::record::decode_with;
use chicorygauge::jobs::record::encode;
use chicorygauge::jobs::record::encode_body;
use chicorygauge::jobs::record::encode_with;
use chicorygauge::jobs::terms::JobTerms;
use chicorygauge::jobs::types::JobState;

use crate::world::World;
use crate::world::config;
use crate::world::job;
use crate::world::step;

const JOB: &str = "00000000000000aa";

/// Time within which a job with runs of 200 ms has failed four times, in milliseconds.
const FAILED_MS: u64 = 4000;

/// Puts a configuration in force in which only the queues differ.
fn set_queues(world: &mut World, queues: Vec<QueueConfig>) {
    let config = JobConfig {
        version: world.engine.config.version + 1,
        queues,
        ..config()
    };
    world.engine.set_config(Arc::new(config));
}

/// Returns the queue of the world with another number of attempts.
fn queue(attempts: u32) -> QueueConfig {
    QueueConfig {
        attempts,
        ..config().queues.remove(0)
    }
}

/// Returns a world with a job whose runs all fail.
fn failing() -> World {
    let mut world = World::new(2, 1);
    world.faults.failed_runs = 1000;
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    world
}

/// Checks that a job has failed after a number of starts, which stay that many.
fn assert_failed(world: &mut World, starts: usize, case: &str) {
    world.run(FAILED_MS);
    let state = world.engine.ended.get(JOB).map(|ended| ended.state);
    assert_eq!(state, Some(JobState::Failed), "{case}");
    assert_eq!(world.starts(), starts, "{case}");
}

/// A queue was removed, and the runs of a failing job were started again without end. At any time
/// of the job's life, also before its first run.
#[test]
fn remove_queue_attempts_stay() {
    for after_ms in (1..1200).step_by(23) {
        let mut world = failing();
        world.run(after_ms);
        set_queues(&mut world, Vec::new());
        assert_failed(&mut world, 4, &format!("after {after_ms} ms"));
    }
}

/// The same with an owner that never knew the queue.
#[test]
fn take_over_without_queue_attempts_stay() {
    for after_ms in (20..1000).step_by(41) {
        let mut world = failing();
        world.run(after_ms);
        set_queues(&mut world, Vec::new());
        world.take_over();
        world.run(6000);
        let case = format!("after {after_ms} ms");
        world.run(FAILED_MS);
        let state = world.engine.ended.get(JOB).map(|ended| ended.state);
        assert_eq!(state, Some(JobState::Failed), "{case}");
        assert!(world.starts() <= 6, "{case}: {} starts", world.starts());
    }
}

/// Another number of attempts for the queue must not add any to those that a job was accepted
/// with; a lower number applies.
#[test]
fn change_queue_fewer_attempts_apply() {
    for (attempts, starts) in [(9, 4), (2, 2), (0, 1)] {
        let mut world = failing();
        world.run(50);
        set_queues(&mut world, vec![queue(attempts)]);
        assert_failed(&mut world, starts, &format!("{attempts} attempts"));
    }
}

/// A job that an earlier version has accepted has no terms of its own. It takes those of its queue
/// while there is one; the strictest apply if there never was.
#[test]
fn restore_without_terms_attempts_bounded() {
    for (is_known, starts) in [(true, 4), (false, 1)] {
        let mut world = World::new(2, 1);
        world.faults.failed_runs = 1000;
        if !is_known {
            let unknown = JobConfig {
                queues: Vec::new(),
                ..config()
            };
            world = World::with_config(unknown, 1);
            world.faults.failed_runs = 1000;
            world.add_worker(world::POOL, "m-1");
        }
        world.run(20);
        world.restore_waiting(JOB, &job(&[step(1, 1000, 200)]));
        set_queues(&mut world, Vec::new());
        assert_failed(&mut world, starts, &format!("known {is_known}"));
    }
}

/// A submission reaches the owner just after its queue was removed.
#[test]
fn submit_after_removal_attempts_bounded() {
    let mut world = World::new(2, 1);
    world.faults.failed_runs = 1000;
    world.run(20);
    set_queues(&mut world, Vec::new());
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    assert_failed(&mut world, 4, "submitted after the removal");
}

/// Without its queue, a job had no objective, and went before all jobs of other queues.
#[test]
fn remove_queue_objective_and_priority_stay() {
    let mut world = World::new(2, 1);
    set_queues(
        &mut world,
        vec![QueueConfig {
            priority: 3,
            ..queue(4)
        }],
    );
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 20_000)]), 1);
    world.run(100);
    let objective_ms = world.engine.objective_ms(&world.engine.jobs[JOB]);
    assert!(objective_ms > 20_000);
    set_queues(&mut world, Vec::new());
    for _ in 0..2 {
        let job = &world.engine.jobs[JOB];
        assert_eq!(world.engine.objective_ms(job), objective_ms);
        assert_eq!(job.body.terms.map(|terms| terms.priority), Some(3));
        world.take_over();
    }
}

/// Without its queue, the tasks of a job were started without the advice that their policy needs.
#[test]
fn remove_queue_advice_still_needed() {
    let advice = AdviceTiming {
        call_ms: 50,
        worker_ms: 10,
        valid_ms: 5000,
    };
    let mut world = World::new(2, 1);
    set_queues(
        &mut world,
        vec![QueueConfig {
            advice: Some(advice),
            ..queue(4)
        }],
    );
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    world.run(50);
    set_queues(&mut world, Vec::new());
    world.run(500);
    world.take_over();
    world.run(6000);
    assert_eq!(world.starts(), 0);
}

fn body(terms: Option<JobTerms>, account: Option<&str>) -> BodyRecord {
    BodyRecord {
        queue: "orders".to_owned(),
        pool: "intake".to_owned(),
        submitted_ms: 7,
        spec: job(&[step(1, 1000, 200)]),
        account: account.map(Into::into),
        terms,
    }
}

/// Records of each form are read by this version and by the one before.
#[test]
fn body_with_terms_read_by_both_versions() {
    let terms = JobTerms::from(&queue(3));
    for account in [None, Some("one")] {
        for terms in [None, Some(terms)] {
            let record = body(terms, account);
            let bytes = encode_body(&record).expect("a record");
            assert_eq!(decode_body("key", &bytes).expect("a body"), record);
            let (earlier, extension): (BodyRecord, Option<BodyExtension>) =
                decode_with("key", &bytes).expect("a body");
            assert_eq!(earlier.spec, record.spec);
            let read = extension.and_then(|extension| extension.account);
            assert_eq!(read.as_deref(), account);
        }
        let earlier = body(None, account);
        let extension = BodyExtension {
            account: account.map(str::to_owned),
        };
        let bytes = match account {
            None => encode(&earlier).expect("a record"),
            Some(_) => encode_with(&earlier, &extension).expect("a record"),
        };
        assert_eq!(decode_body("key", &bytes).expect("a body"), earlier);
    }
}

/// The terms are part of what the commit of the acceptance stores.
#[test]
fn submit_terms_stored() {
    let mut world = World::new(1, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 60_000)]), 1);
    world.run(100);
    let key = format!("{}{JOB}", ShardKeys::default().bodies());
    let body = decode_body(&key, &world.stored[&key]).expect("a body");
    assert_eq!(body.terms, Some(JobTerms::from(&queue(4))));
}
