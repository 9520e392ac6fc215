//! What a job was accepted under, when its queue is changed or removed, and when the entry VM that
//! receives it has another version of the configuration than the owner.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::sync::Arc;

use chicorygauge::jobs::codec::decode_with;
use chicorygauge::jobs::codec::encode;
use chicorygauge::jobs::codec::encode_with;
use chicorygauge::jobs::config::AdviceTiming;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::record::BodyExtension;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::record::decode_body;
use chicorygauge::jobs::record::encode_body;
use chicorygauge::jobs::terms::JobTerms;
use chicorygauge::jobs::terms::TermsRecord;
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
    let terms = terms_at(5, 3);
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
        let record = body(Some(terms), account);
        let extension = BodyExtension {
            account: account.map(str::to_owned),
        };
        let mut bytes = encode_with(&record, &extension).expect("a record");
        bytes.extend(encode(&TermsRecord::from(terms)).expect("terms"));
        let read = decode_body("key", &bytes).expect("a body without a version");
        assert_eq!(read.terms, Some(terms_at(0, 3)));
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
    assert_eq!(body.terms, Some(terms_at(1, 4)));
}

/// Returns the terms of the queue with these attempts in a version of the configuration.
fn terms_at(version: u64, attempts: u32) -> JobTerms {
    JobTerms {
        version,
        ..JobTerms::from(&queue(attempts))
    }
}

/// Returns a configuration in which only the version and the queues differ.
fn config_at(version: u64, queues: Vec<QueueConfig>) -> JobConfig {
    JobConfig {
        version,
        queues,
        ..config()
    }
}

/// Returns a world whose owner has a configuration, with a worker and runs that all fail; the
/// entry VM that receives the job sends these terms along.
fn received(owner: JobConfig, terms: JobTerms) -> World {
    let mut world = World::with_config(owner, 1);
    world.add_worker(world::POOL, "m-1");
    world.faults.failed_runs = 1000;
    world.received_terms = Some(terms);
    world.run(20);
    world
}

/// A job of a queue that the owner did not know yet was accepted without terms, and failed after
/// one of its four attempts. The owner learns of the queue at any moment of the job's life.
#[test]
fn submit_before_owner_knows_queue_attempts_kept() {
    for learns_ms in (1..1500).step_by(37) {
        let mut world = received(config_at(1, Vec::new()), terms_at(2, 4));
        world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
        world.run(learns_ms);
        world
            .engine
            .set_config(Arc::new(config_at(2, vec![queue(4)])));
        assert_failed(&mut world, 4, &format!("after {learns_ms} ms"));
    }
}

/// The same while the owner never learns of it, and after a takeover by one that knows it neither.
#[test]
fn submit_before_owner_knows_queue_taken_over_attempts_kept() {
    let mut world = received(config_at(1, Vec::new()), terms_at(2, 4));
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    assert_failed(&mut world, 4, "never known");
    for after_ms in (20..1000).step_by(89) {
        let mut world = received(config_at(1, Vec::new()), terms_at(2, 4));
        world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
        world.run(after_ms);
        world.take_over();
        world.run(10_000);
        let state = world.engine.ended.get(JOB).map(|ended| ended.state);
        assert_eq!(state, Some(JobState::Failed), "after {after_ms} ms");
        assert!(
            (4..=6).contains(&world.starts()),
            "{} starts",
            world.starts()
        );
    }
}

/// Owner and entry VM know the queue with other attempts: those of the newer version apply,
/// whichever has it.
#[test]
fn submit_between_versions_newer_attempts_apply() {
    for (owner, sender, starts) in [
        ((1, 1), (2, 4), 4),
        ((1, 4), (2, 2), 2),
        ((2, 4), (1, 1), 4),
        ((2, 2), (1, 4), 2),
        ((2, 3), (2, 3), 3),
    ] {
        let config = config_at(owner.0, vec![queue(owner.1)]);
        let mut world = received(config, terms_at(sender.0, sender.1));
        world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
        assert_failed(&mut world, starts, &format!("{owner:?} {sender:?}"));
    }
}

/// The successor of the owner has an older version than that under which the job was accepted, in
/// which its queue allows fewer attempts.
#[test]
fn take_over_with_older_version_attempts_kept() {
    let mut world = received(config_at(2, vec![queue(4)]), terms_at(2, 4));
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    world.run(100);
    world.engine.config = Arc::new(config_at(1, vec![queue(1)]));
    world.take_over();
    world.run(10_000);
    let state = world.engine.ended.get(JOB).map(|ended| ended.state);
    assert_eq!(state, Some(JobState::Failed));
    assert!(
        (4..=6).contains(&world.starts()),
        "{} starts",
        world.starts()
    );
}

/// A queue that was removed before the owner started: the terms that an entry VM sends along,
/// which is older, are the last that the queue had.
#[test]
fn submit_after_removal_unknown_to_owner_attempts_kept() {
    let mut world = received(config_at(3, Vec::new()), terms_at(2, 4));
    world.submit(JOB, &job(&[step(1, 1000, 200)]), 1);
    assert_failed(&mut world, 4, "removed before the owner started");
}

/// The owner does not know yet that the queue has moved to another pool, has other precedence and
/// needs advice: its tasks ran in the former pool, and without a ticket.
#[test]
fn submit_before_owner_knows_change_newer_route_applies() {
    const OTHER_POOL: &str = "other";
    let advice = AdviceTiming {
        call_ms: 50,
        worker_ms: 10,
        valid_ms: 5000,
    };
    for (advice, starts) in [(None, 1), (Some(advice), 0)] {
        let terms = JobTerms {
            priority: 3,
            advice,
            ..terms_at(2, 4)
        };
        let mut world = received(config_at(1, vec![queue(4)]), terms);
        world.faults.failed_runs = 0;
        let worker = world.add_worker(OTHER_POOL, "m-2");
        world.run(100);
        world.submit_to(
            ("orders", OTHER_POOL),
            JOB,
            &job(&[step(1, 1000, 60_000)]),
            1,
        );
        world.run(300);
        assert_eq!(world.starts(), starts);
        assert_eq!(world.tasks_at(&worker).len(), starts);
        assert_eq!(world.engine.jobs[JOB].body.terms, Some(terms));
    }
}
