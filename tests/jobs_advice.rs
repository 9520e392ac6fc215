//! Calls to the advice service: how long they are waited for, which queue goes first, for how long
//! an answer holds, and what becomes of tickets that expire.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chicorygauge::jobs::config::AdviceTiming;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::PoolConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::ports::worker::WorkerOrder;

use crate::world::POOL;
use crate::world::World;
use crate::world::advice::AdviceService;
use crate::world::config;
use crate::world::job;
use crate::world::step;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";

const QUEUE: &str = "orders";
const OTHER_QUEUE: &str = "queries";
const OTHER_POOL: &str = "lookup";

const FAST: AdviceTiming = AdviceTiming {
    call_ms: 100,
    worker_ms: 10,
    valid_ms: 3000,
};

/// Time for commits, starts and reports of a job with one step, in milliseconds.
const OVERHEAD_MS: u64 = 700;

fn queue(advice: Option<AdviceTiming>) -> QueueConfig {
    QueueConfig {
        advice,
        ..config().queues.remove(0)
    }
}

/// Puts a configuration in force in which the queue has this advice.
fn set_advice(world: &mut World, advice: Option<AdviceTiming>) {
    let config = JobConfig {
        version: world.engine.config.version + 1,
        queues: vec![queue(advice)],
        ..config()
    };
    world.engine.set_config(Arc::new(config));
}

/// Returns a world with this many workers, whose queue needs advice.
fn advised_world(workers: usize, timing: AdviceTiming) -> World {
    let mut world = World::new(workers, 1);
    set_advice(&mut world, Some(timing));
    world.advice = Some(AdviceService::new(QUEUE, timing));
    world.run(1000);
    world
}

fn service(world: &mut World) -> &mut AdviceService {
    world.advice.as_mut().expect("an advice service")
}

/// Returns how often each worker was named in a call.
fn named(world: &mut World) -> BTreeMap<String, usize> {
    let mut named = BTreeMap::new();
    for (_, call) in &service(world).calls {
        for worker in &call.workers {
            *named.entry(worker.clone()).or_default() += 1;
        }
    }
    named
}

/// Calls were broken off after 1.5 s, whatever the queue's configuration says, and repeated.
#[test]
fn call_slow_by_configuration_job_completes() {
    for (call_ms, worker_ms, valid_ms) in [
        (1200, 50, 3000),
        (2500, 50, 3000),
        (5000, 50, 1000),
        (100, 400, 3000),
        (20_000, 50, 3000),
    ] {
        let timing = AdviceTiming {
            call_ms,
            worker_ms,
            valid_ms,
        };
        let mut world = advised_world(11, timing);
        world.submit(JOB, &job(&[step(8, 8000, 1300)]), 1);
        world.run(call_ms + 10 * worker_ms + 1300 + OVERHEAD_MS);
        assert!(world.completed.contains_key(JOB), "{timing:?}");
        assert_eq!(service(&mut world).calls.len(), 1, "{timing:?}");
    }
}

/// The owner may have an older configuration than the service, which then answers later than the
/// owner expects; calls were broken off after the same time again and again.
#[test]
fn call_slower_than_configured_job_completes() {
    for call_ms in [1000, 4000, 10_000] {
        let mut world = advised_world(4, FAST);
        let actual = AdviceTiming { call_ms, ..FAST };
        service(&mut world).timings.insert(QUEUE.to_owned(), actual);
        world.submit(JOB, &job(&[step(4, 8000, 1300)]), 1);
        world.run(10 * call_ms + 1300 + OVERHEAD_MS);
        assert!(world.completed.contains_key(JOB), "{call_ms} ms");
    }
}

/// A service that was silent is asked again soon after it answers, and its answers are awaited.
#[test]
fn call_unanswered_repeated_after_outage() {
    for silent_ms in [500, 3000, 30_000] {
        let mut world = advised_world(4, FAST);
        service(&mut world).is_silent = true;
        world.submit(JOB, &job(&[step(4, 8000, 1300)]), 1);
        world.run(silent_ms);
        service(&mut world).is_silent = false;
        world.run(silent_ms + 2000 + 1300 + OVERHEAD_MS);
        assert!(world.completed.contains_key(JOB), "{silent_ms} ms");
    }
}

/// Workers that were not allowed were asked for again after 5 s, although the answer does not
/// change; with a slow service the first came round again before the last were asked for.
#[test]
fn not_allowed_workers_asked_once() {
    let timing = AdviceTiming {
        call_ms: 1000,
        worker_ms: 100,
        valid_ms: 3000,
    };
    let mut world = advised_world(40, timing);
    service(&mut world).policy = |_, worker| worker >= "w-0038";
    world.submit(JOB, &job(&[step(2, 8000, 1300)]), 1);
    // One spare candidate each of eight calls is the least that finds the last workers.
    world.run(12_000 + 4000 + 1300 + OVERHEAD_MS);
    assert!(world.completed.contains_key(JOB));
    let named = named(&mut world);
    assert!(named.values().all(|times| *times == 1), "{named:?}");
}

/// An answer holds for one incarnation of a worker.
#[test]
fn not_allowed_worker_asked_again_after_restart() {
    let mut world = advised_world(1, FAST);
    service(&mut world).policy = |_, _| false;
    world.submit(JOB, &job(&[step(1, 8000, 300)]), 1);
    world.run(2000);
    let worker = world.workers.keys().next().expect("a worker").clone();
    assert_eq!(named(&mut world)[&worker], 1);
    service(&mut world).policy = |_, _| true;
    world.crash_silently(&worker);
    let born_ms = world.workers[&worker].entry.born_ms + 10_000;
    let entry = world.restart(&worker, born_ms);
    world.run(900);
    let now = world.now;
    world.engine.worker_listed(entry, now);
    world.run(2000);
    assert!(world.completed.contains_key(JOB));
}

/// A configuration that changes the advice of a queue may come with another policy.
#[test]
fn not_allowed_worker_asked_again_after_change() {
    let changed = AdviceTiming {
        call_ms: 200,
        ..FAST
    };
    for former in [None, Some(FAST)] {
        let mut world = advised_world(1, FAST);
        service(&mut world).policy = |_, _| false;
        world.submit(JOB, &job(&[step(1, 64_000, 300)]), 1);
        world.run(2000);
        if former.is_none() {
            set_advice(&mut world, None);
            world.run(100);
        }
        service(&mut world).policy = |_, _| true;
        set_advice(&mut world, Some(changed));
        let before = service(&mut world).calls.len();
        world.run(1000);
        assert!(service(&mut world).calls.len() > before, "{former:?}");
    }
}

/// The answer to a call that was sent before such a change may no longer hold.
#[test]
fn not_allowed_worker_asked_again_after_change_during_call() {
    let mut world = advised_world(1, FAST);
    service(&mut world).policy = |_, _| false;
    world.submit(JOB, &job(&[step(1, 8000, 300)]), 1);
    world.run(FAST.call_ms / 2);
    let changed = AdviceTiming {
        worker_ms: 20,
        ..FAST
    };
    set_advice(&mut world, Some(changed));
    world.run(FAST.call_ms);
    service(&mut world).policy = |_, _| true;
    world.run(2000);
    assert!(world.completed.contains_key(JOB));
}

/// The calls of one queue kept those of the other ones back: pools were served by their names, and
/// jobs that find no room ask again and again.
#[test]
fn calls_of_slow_queue_other_queue_served() {
    let slow = AdviceTiming {
        call_ms: 1000,
        worker_ms: 100,
        valid_ms: 1000,
    };
    for is_slow_first in [true, false] {
        let (slow_pool, other_pool) = if is_slow_first {
            (POOL, OTHER_POOL)
        } else {
            (OTHER_POOL, POOL)
        };
        let pool = |name: &str| PoolConfig {
            name: name.to_owned(),
            guarded: true,
            standby: false,
        };
        let other = QueueConfig {
            name: OTHER_QUEUE.to_owned(),
            prefix: "/queries/".to_owned(),
            pool: other_pool.to_owned(),
            ..queue(Some(FAST))
        };
        let slow_queue = QueueConfig {
            pool: slow_pool.to_owned(),
            ..queue(Some(slow))
        };
        let config = JobConfig {
            queues: vec![slow_queue, other],
            pools: vec![pool(POOL), pool(OTHER_POOL)],
            ..config()
        };
        let mut world = World::with_config(config, 1);
        world.advice = Some(AdviceService::new(QUEUE, slow));
        let timings = &mut service(&mut world).timings;
        timings.insert(OTHER_QUEUE.to_owned(), FAST);
        for number in 0..4 {
            world.add_worker(slow_pool, &format!("m-{number:02}"));
            world.add_worker(other_pool, &format!("n-{number:02}"));
        }
        world.run(1000);
        // Occupies the pool of the slow queue, whose other jobs then wait.
        for number in 0..20 {
            let id = format!("{number:016x}");
            world.submit_to((QUEUE, slow_pool), &id, &job(&[step(4, 20_000, 20_000)]), 1);
            world.run(100);
        }
        world.run(3000);
        let submitted_ms = world.now;
        let spec = job(&[step(4, 8000, 300)]);
        world.submit_to((OTHER_QUEUE, other_pool), OTHER_JOB, &spec, 2);
        // One call of the slow queue may be in progress.
        let slow_ms = slow.call_ms + 7 * slow.worker_ms;
        let fast_ms = FAST.call_ms + 10 * FAST.worker_ms;
        world.run(slow_ms + fast_ms + 300 + OVERHEAD_MS);
        let completed = world.completed.get(OTHER_JOB);
        assert!(
            completed.is_some(),
            "slow first: {is_slow_first}, submitted at {submitted_ms}"
        );
    }
}

/// A long-running job that no worker has room for came first in each pass, and its tickets expired
/// before the last worker was asked for, so that it alone was asked for.
#[test]
fn calls_of_job_without_room_other_job_served() {
    let timing = AdviceTiming {
        call_ms: 500,
        worker_ms: 50,
        valid_ms: 3000,
    };
    let mut world = advised_world(40, timing);
    let without_room = StepSpec {
        lasting: true,
        ..step(1, 64_000, 0)
    };
    world.submit(JOB, &job(&[without_room]), 1);
    world.run(5000);
    world.submit(OTHER_JOB, &job(&[step(1, 8000, 300)]), 2);
    // One call may be in progress.
    world.run(2 * (500 + 4 * 50) + 300 + OVERHEAD_MS);
    assert!(world.completed.contains_key(OTHER_JOB));
}

/// Tickets that are valid for less than the margin were never used; the job never started.
#[test]
fn ticket_short_validity_job_completes() {
    for valid_ms in [100, 200, 300] {
        let mut world = advised_world(4, AdviceTiming { valid_ms, ..FAST });
        world.submit(JOB, &job(&[step(4, 8000, 300)]), 1);
        world.run(5000);
        assert!(world.completed.contains_key(JOB), "{valid_ms} ms");
        assert_eq!(service(&mut world).refused_starts, 0, "{valid_ms} ms");
    }
}

/// A start whose ticket had expired while its placement was being stored was sent without one, and
/// refused.
#[test]
fn ticket_expired_start_not_sent() {
    for down_ms in [500, 1500, 4000] {
        let timing = AdviceTiming {
            valid_ms: 1000,
            ..FAST
        };
        let mut world = advised_world(4, timing);
        let queued = job(&[step(4, 8000, 300)]);
        world.submit(JOB, &queued, 1);
        world.run(FAST.call_ms + 4 * FAST.worker_ms);
        world.store_up = false;
        world.run(down_ms);
        world.store_up = true;
        world.run(3000);
        assert!(world.completed.contains_key(JOB), "{down_ms} ms");
        assert_eq!(service(&mut world).refused_starts, 0, "{down_ms} ms");
    }
}

/// A start without a ticket was sent if the queue had got advice while its placement was being
/// stored.
#[test]
fn change_advice_unadvised_start_not_sent() {
    for after_ms in 0..12 {
        let mut world = advised_world(4, FAST);
        set_advice(&mut world, None);
        world.submit(JOB, &job(&[step(4, 8000, 300)]), 1);
        world.run(after_ms);
        let changed_ms = world.now;
        set_advice(&mut world, Some(FAST));
        world.run(3000);
        assert!(world.completed.contains_key(JOB), "{after_ms} ms");
        let later = world.calls.iter().filter(|(at, _)| *at > changed_ms);
        let unadvised = later.filter(|(_, call)| {
            matches!(&call.order, WorkerOrder::Start { ticket, .. } if ticket.is_empty())
        });
        assert_eq!(unadvised.count(), 0, "{after_ms} ms");
    }
}

fn gang(tasks: u32, cpu: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks, cpu, estimate_ms)
    }
}

/// A gang takes only workers with tickets, and none were asked for: it was never started.
#[test]
fn gang_advice_asked_for() {
    for (tasks, cpu, workers) in [(3, 8000, 6), (8, 20_000, 12), (40, 20_000, 60)] {
        let mut world = advised_world(workers, FAST);
        world.submit(JOB, &job(&[gang(tasks, cpu, 1300)]), 1);
        world.run(FAST.call_ms + 60 * FAST.worker_ms + 1300 + OVERHEAD_MS);
        let case = format!("{tasks} tasks");
        assert!(world.completed.contains_key(JOB), "{case}");
        assert_eq!(service(&mut world).calls.len(), 1, "{case}");
    }
}

/// Tickets expire while others are asked for; a gang needs all of them at the same time.
#[test]
fn gang_few_workers_allowed_tickets_at_once() {
    let timing = AdviceTiming {
        call_ms: 400,
        worker_ms: 20,
        valid_ms: 1000,
    };
    let mut world = advised_world(30, timing);
    // Every third one.
    service(&mut world).policy = |_, worker| worker.ends_with(['1', '4', '7']);
    world.submit(JOB, &job(&[gang(8, 20_000, 1300)]), 1);
    world.run(10_000);
    assert!(world.completed.contains_key(JOB));
    assert_eq!(service(&mut world).refused_starts, 0);
}

/// A gang that is slower across racks is placed on one rack, so that tickets of several are no use.
#[test]
fn gang_one_rack_advice_for_one_rack() {
    let mut world = advised_world(12, FAST);
    // Of the first rack, only one worker.
    service(&mut world).policy = |_, worker| worker > "w-0002";
    let spec = StepSpec {
        one_rack: true,
        ..gang(3, 20_000, 1300)
    };
    world.submit(JOB, &job(&[spec]), 1);
    world.run(6000);
    assert!(world.completed.contains_key(JOB));
}

/// A gang for which there is no room keeps no others from the service.
#[test]
fn gang_without_room_other_job_served() {
    let mut world = advised_world(4, FAST);
    world.submit(OTHER_JOB, &job(&[step(4, 20_000, 4000)]), 1);
    world.run(500);
    world.submit(JOB, &job(&[gang(4, 20_000, 300)]), 2);
    let small = format!("{:016x}", 7);
    world.submit(&small, &job(&[step(1, 8000, 300)]), 3);
    world.run(1000 + OVERHEAD_MS);
    assert!(world.completed.contains_key(&small));
    world.run(5000);
    assert!(world.completed.contains_key(JOB));
}

/// A long-running task that may run on one worker only was asked for one after the other of several
/// calls, each behind those for all jobs that had come meanwhile.
#[test]
fn calls_of_restarted_task_other_jobs_wait() {
    let mut world = advised_world(12, FAST);
    service(&mut world).policy = |step, worker| !step.starts_with(JOB) || worker == "w-0012";
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 8000, 300)
    };
    let mut number = 0;
    let mut submit_short = |world: &mut World| {
        number += 1;
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(4, 2000, 300)]), number);
        world.run(100);
    };
    for _ in 0..30 {
        submit_short(&mut world);
    }
    world.submit(JOB, &job(&[lasting]), 1);
    // Three calls name all workers; one of another job may be in progress.
    for _ in 0..12 {
        submit_short(&mut world);
    }
    let at_worker = world.tasks_at("w-0012");
    let is_running = at_worker.iter().any(|task| task.starts_with(JOB));
    assert!(is_running, "runs at the worker: {at_worker:?}");
}
