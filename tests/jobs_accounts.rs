//! Limits of client accounts: which tasks start beside what an account already runs, over
//! faults, takeovers and changed configurations, and who has access to a job.
//!
//! The world compares the ledger with all live runs, and with what runs at the workers, at
//! each step.

#[path = "support/accounts.rs"]
mod accounts;
#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::codec::decode;
use chicorygauge::jobs::codec::encode;
use chicorygauge::jobs::config::PoolConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::record::ProgressRecord;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::record::decode_progress;
use chicorygauge::jobs::record::encode_progress;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::ports::worker::WorkerOrder;
use chicorygauge::service::jobs::messages::RelayReply;
use world::POOL;
use world::World;
use world::WorldFaults;
use world::config;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";
const LONG_MS: u64 = 60_000;

/// Returns a world in which `north` has a limit of 8 cores and `south` one of 4.
fn world_with_accounts(workers: usize, seed: u64) -> World {
    let mut world = World::new(workers, seed);
    world.set_accounts(&[("north", 8000), ("south", 4000)]);
    world.run(20);
    world
}

fn submit(world: &mut World, id: &str, spec: &JobSpec, account: &str) {
    world.submit_as(id, spec, "orders", Some(account), 1);
}

fn gang(tasks: u32, cpu: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks, cpu, estimate_ms)
    }
}

/// Returns the time at which the first start of a job's task was sent.
fn started_ms(world: &World, id: &str) -> Option<u64> {
    let mut calls = world.calls.iter();
    let start = calls.find(|(_, call)| match &call.order {
        WorkerOrder::Start { task, .. } => task.starts_with(id),
        _ => false,
    });
    start.map(|(at, _)| *at)
}

/// Guards against starts beyond the limit: tasks must wait until others of the account end.
#[test]
fn limit_bounds_running_tasks() {
    let mut world = world_with_accounts(4, 1);
    submit(&mut world, JOB, &job(&[step(30, 1000, 500)]), "north");
    submit(&mut world, OTHER_JOB, &job(&[step(30, 1000, 500)]), "south");
    world.run(200);
    assert_eq!(world.account_cpu("north"), 8000);
    assert_eq!(world.account_cpu("south"), 4000);
    world.run(5000);
    assert!(world.completed.contains_key(JOB) && world.completed.contains_key(OTHER_JOB));
}

/// Guards against a task that is wider than what is left of the limit never starting.
#[test]
fn limit_wide_task_starts_at_half_usage() {
    let mut world = world_with_accounts(4, 2);
    submit(&mut world, JOB, &job(&[step(5, 1000, 500)]), "north");
    world.run(100);
    submit(&mut world, OTHER_JOB, &job(&[step(1, 9000, 500)]), "north");
    world.run(200);
    assert_eq!(world.account_cpu("north"), 5000, "5 of 8 cores are in use");
    world.run(500);
    assert_eq!(world.account_cpu("north"), 9000);
}

/// Guards against gangs that start in part or beyond the limit, and against accepting one
/// that could never start.
#[test]
fn limit_gang_starts_as_a_whole() {
    let mut world = world_with_accounts(4, 3);
    submit(&mut world, JOB, &job(&[step(4, 1000, 500)]), "north");
    world.run(100);
    submit(&mut world, OTHER_JOB, &job(&[gang(5, 1000, 300)]), "north");
    world.run(200);
    assert_eq!(
        world.account_cpu("north"),
        4000,
        "9 cores are beyond the limit"
    );
    world.run(400);
    assert_eq!(world.account_cpu("north"), 5000);
    world.submit_as(
        "00000000000000cc",
        &job(&[gang(9, 1000, 300)]),
        "orders",
        Some("north"),
        7,
    );
    assert_eq!(world.answers.get(&7), Some(&CallerAnswer::Invalid));
    world.submit_as(
        "00000000000000cd",
        &job(&[gang(9, 1000, 300)]),
        "orders",
        None,
        8,
    );
    world.run(50);
    assert_eq!(world.answers.get(&8), Some(&CallerAnswer::Accepted));
}

/// Guards against speculative copies beyond the limit, which the rule for wide tasks must
/// not allow.
#[test]
fn limit_copy_starts_only_within() {
    for (limit, starts) in [(5000, 1), (8000, 2)] {
        let mut world = World::new(4, 4);
        world.set_accounts(&[("north", limit)]);
        world.run(20);
        let slow = StepSpec {
            speculative: true,
            ..step(1, 4000, 300)
        };
        submit(&mut world, JOB, &job(&[slow]), "north");
        world.run(100);
        // The workers take longer than estimated.
        world.slow_down(20);
        world.run(2500);
        assert_eq!(world.starts(), starts, "limit of {limit} millicores");
    }
}

/// Guards against a new owner that starts tasks before it has counted the inherited runs.
#[test]
fn takeover_counts_inherited_runs() {
    let mut world = world_with_accounts(4, 5);
    submit(&mut world, JOB, &job(&[step(8, 1000, LONG_MS)]), "north");
    submit(
        &mut world,
        OTHER_JOB,
        &job(&[step(8, 1000, LONG_MS)]),
        "north",
    );
    world.run(300);
    for _ in 0..3 {
        world.take_over();
        assert_eq!(world.engine.ledger.usage("north").cpu, 8000);
        world.run(2000);
        assert_eq!(world.account_cpu("north"), 8000);
    }
}

/// Guards against runs of a cancelled job that leave the sum of their account at a takeover
/// although they may be alive at a worker that nobody reaches.
#[test]
fn takeover_counts_runs_of_cancelled_job() {
    let mut world = world_with_accounts(4, 6);
    submit(&mut world, JOB, &job(&[step(8, 1000, LONG_MS)]), "north");
    world.run(300);
    for worker in world.workers.values_mut() {
        worker.reachable = false;
    }
    world.cancel_as(JOB, "orders", Some("north"), 2);
    world.run(100);
    assert_eq!(world.answers.get(&2), Some(&CallerAnswer::Cancelled));
    world.take_over();
    world.query_as(JOB, "orders", Some("north"), 3);
    let cancelled = CallerAnswer::State(JobState::Cancelled);
    assert_eq!(world.answers.get(&3), Some(&cancelled));
    assert_eq!(world.engine.ledger.usage("north").cpu, 8000);
    submit(&mut world, OTHER_JOB, &job(&[step(8, 1000, 300)]), "north");
    world.run(500);
    assert_eq!(world.engine.ledger.usage("north").cpu, 8000);
    for worker in world.workers.values_mut() {
        worker.reachable = true;
    }
    world.run(4000);
    assert!(
        world.completed.contains_key(OTHER_JOB),
        "the runs were stopped"
    );
    assert_eq!(world.engine.ledger.usage("north").cpu, 0);
}

/// Guards against a body that stays in the store after its job has ended: a later owner
/// would run the job again once its progress record has expired.
#[test]
fn cancelled_job_leaves_small_record() {
    let mut world = world_with_accounts(4, 7);
    submit(&mut world, JOB, &job(&[step(8, 1000, LONG_MS)]), "north");
    world.run(300);
    world.cancel_as(JOB, "orders", Some("north"), 2);
    world.run(2500);
    let keys = ShardKeys::default();
    assert!(
        !world
            .stored
            .contains_key(&format!("{}{JOB}", keys.bodies()))
    );
    let key = format!("{}{JOB}", keys.progress());
    let record = decode_progress(&key, &world.stored[&key]).expect("a record");
    assert_eq!(record.state, JobState::Cancelled);
    assert!(record.open.is_empty());
    assert_eq!(record.account.as_deref(), Some("north"));
    assert!(!world.engine.jobs.contains_key(JOB));
}

/// Guards against a finished job whose body stays stored because no run of it is left that
/// would end.
#[test]
fn restored_final_job_with_body_is_closed() {
    let mut world = world_with_accounts(4, 7);
    // No worker has 40 cores.
    submit(&mut world, JOB, &job(&[step(1, 40_000, LONG_MS)]), "north");
    world.run(100);
    let keys = ShardKeys::default();
    let record = ProgressRecord {
        state: JobState::Failed,
        written_ms: world.time().unix,
        finished: Vec::new(),
        open: Vec::new(),
        account: None,
        losses: Vec::new(),
    };
    let bytes = encode_progress(&record).expect("a record");
    world
        .stored
        .insert(format!("{}{JOB}", keys.progress()), bytes);
    world.take_over();
    world.run(200);
    assert!(
        !world
            .stored
            .contains_key(&format!("{}{JOB}", keys.bodies()))
    );
    assert!(!world.engine.jobs.contains_key(JOB));
    world.query_as(JOB, "orders", Some("north"), 2);
    let failed = CallerAnswer::State(JobState::Failed);
    assert_eq!(world.answers.get(&2), Some(&failed));
}

/// Guards against records that an entry VM of the previous version cannot read, which
/// decodes the record alone, and against refusing its records.
#[test]
fn progress_record_is_read_by_both_versions() {
    let record = ProgressRecord {
        state: JobState::Cancelled,
        written_ms: 7,
        finished: Vec::new(),
        open: Vec::new(),
        account: Some("north".into()),
        losses: Vec::new(),
    };
    let former = ProgressRecord {
        account: None,
        ..record.clone()
    };
    let bytes = encode_progress(&record).expect("a record");
    assert_eq!(decode_progress("key", &bytes).expect("a record"), record);
    assert_eq!(
        decode::<ProgressRecord>("key", &bytes).expect("a record"),
        former
    );
    let bytes = encode(&former).expect("a record");
    assert_eq!(decode_progress("key", &bytes).expect("a record"), former);
}

/// Guards against an answer of the owner that the front does not pass on as it is.
#[test]
fn conflict_is_relayed() {
    let reply = RelayReply::from(CallerAnswer::Conflict);
    let bytes = rmp_serde::to_vec(&reply).expect("a reply");
    let decoded: RelayReply = rmp_serde::from_slice(&bytes).expect("a reply");
    assert_eq!(decoded, RelayReply::Conflict);
}

/// Guards against starts above a lowered limit, running work that is stopped, and tasks that
/// do not start at once under a higher limit or none.
#[test]
fn limit_changed_while_running() {
    let mut world = world_with_accounts(4, 8);
    submit(&mut world, JOB, &job(&[step(60, 1000, 1000)]), "north");
    world.run(200);
    assert_eq!(world.account_cpu("north"), 8000);
    world.set_accounts(&[("north", 3000)]);
    world.run(500);
    assert_eq!(world.account_cpu("north"), 8000, "running work goes on");
    world.run(700);
    assert_eq!(world.account_cpu("north"), 3000);
    world.set_accounts(&[("north", 6000)]);
    world.run(20);
    assert_eq!(
        world.account_cpu("north"),
        6000,
        "waiting tasks start at once"
    );
    world.set_accounts(&[("south", 1000)]);
    world.run(20);
    let unlimited = world.account_cpu("north");
    assert!(unlimited > 20_000, "{unlimited}");
    assert_eq!(world.engine.ledger.usage("north").cpu, unlimited);
    world.set_accounts(&[("north", 4000)]);
    world.run(20);
    assert_eq!(world.account_cpu("north"), unlimited);
    world.run(20_000);
    assert!(world.completed.contains_key(JOB));
    assert_eq!(world.engine.ledger.usage("north").cpu, 0);
}

/// Guards against a limit of 0 that stops all tasks, and against overflows at huge limits
/// and needs.
#[test]
fn limit_zero_or_huge_bounds_nothing() {
    for limit in [0, u64::MAX] {
        let mut world = World::new(4, 9);
        world.set_accounts(&[("north", limit)]);
        world.run(20);
        let filler = StepSpec {
            fills: true,
            ..step(4, 1 << 40, 300)
        };
        submit(&mut world, JOB, &job(&[step(40, 1000, 300)]), "north");
        submit(&mut world, OTHER_JOB, &job(&[filler]), "north");
        world.run(100);
        assert_eq!(world.account_cpu("north"), 40_000 + (4 << 40));
        world.run(1000);
        assert!(world.completed.contains_key(JOB) && world.completed.contains_key(OTHER_JOB));
        assert_eq!(world.engine.ledger.usage("north").cpu, 0);
    }
}

/// Guards against tasks that wait for something in their own pool although a run of their
/// account has ended in another one.
#[test]
fn limit_wakes_tasks_of_other_pools() {
    let mut world = World::new(2, 10);
    world.reconfigure(|changed| {
        changed.queues.push(QueueConfig {
            name: "reports".to_owned(),
            pool: "archive".to_owned(),
            attempts: 4,
            ..config().queues[0].clone()
        });
        changed.pools.push(PoolConfig {
            name: "archive".to_owned(),
            ..PoolConfig::default()
        });
    });
    world.add_worker("archive", "m-90");
    world.set_accounts(&[("north", 1000)]);
    world.run(80);
    submit(&mut world, JOB, &job(&[step(1, 1000, 530)]), "north");
    world.run(60);
    world.submit_as(
        OTHER_JOB,
        &job(&[step(1, 1000, 300)]),
        "reports",
        Some("north"),
        2,
    );
    let mut ended_ms = None;
    while started_ms(&world, OTHER_JOB).is_none() && world.now < 3000 {
        world.run(1);
        if ended_ms.is_none() && world.engine.ledger.usage("north").cpu == 0 {
            ended_ms = Some(world.now);
        }
    }
    let reserved_ms = started_ms(&world, OTHER_JOB).expect("a start") - 6;
    let limit_ms = ended_ms.unwrap_or(reserved_ms) + 1;
    assert!(reserved_ms <= limit_ms, "{reserved_ms} {ended_ms:?}");
}

/// Guards against jobs of an account at its limit that use up a pass, so that no job of
/// another account is tried.
#[test]
fn limit_does_not_block_other_accounts() {
    let mut world = world_with_accounts(4, 11);
    for number in 0..100 {
        let id = format!("{number:016x}");
        submit(&mut world, &id, &job(&[step(1, 4000, LONG_MS)]), "north");
    }
    world.run(200);
    assert_eq!(world.account_cpu("north"), 8000);
    let sent_ms = world.now;
    // Its rank is the last.
    submit(
        &mut world,
        JOB,
        &job(&[step(1, 4000, 2 * LONG_MS)]),
        "south",
    );
    world.run(30);
    let started_ms = started_ms(&world, JOB).expect("a start");
    assert!(started_ms <= sent_ms + 20, "{started_ms} {sent_ms}");
}

/// Guards against access to the jobs of another account, also once they have ended and after
/// a takeover, and against refusing the account's own repeats.
#[test]
fn foreign_account_has_no_access() {
    let mut world = world_with_accounts(4, 12);
    world.reconfigure(|changed| {
        changed.queues.push(QueueConfig {
            name: "open".to_owned(),
            anonymous: true,
            ..config().queues[0].clone()
        });
    });
    let spec = job(&[step(1, 1000, 400)]);
    submit(&mut world, JOB, &spec, "north");
    for round in 0..6 {
        world.run(200);
        for (queue, account) in [("orders", Some("south")), ("open", None)] {
            world.query_as(JOB, queue, account, 2);
            assert_eq!(world.answers.remove(&2), Some(CallerAnswer::Unknown));
            world.cancel_as(JOB, queue, account, 2);
            assert_eq!(world.answers.remove(&2), Some(CallerAnswer::Unknown));
            world.submit_as(JOB, &spec, queue, account, 2);
            assert_eq!(world.answers.remove(&2), Some(CallerAnswer::Conflict));
        }
        world.submit_as(JOB, &spec, "orders", Some("north"), 2);
        assert_eq!(world.answers.remove(&2), Some(CallerAnswer::Accepted));
        world.query_as(JOB, "orders", Some("north"), 2);
        let state = world.answers.remove(&2);
        assert!(matches!(state, Some(CallerAnswer::State(_))), "{state:?}");
        // A call without an account on this queue is relayed by an earlier version.
        world.query_as(JOB, "orders", None, 2);
        assert_eq!(world.answers.remove(&2), state);
        if round % 2 == 1 {
            world.take_over();
        }
    }
    assert!(world.completed.contains_key(JOB));
}

/// Guards against refusing jobs that were accepted without an account.
#[test]
fn job_without_account_is_open_to_all() {
    let mut world = World::new(4, 13);
    world.run(20);
    let spec = job(&[step(1, 1000, LONG_MS)]);
    world.submit(JOB, &spec, 1);
    world.run(200);
    world.set_accounts(&[("north", 1000)]);
    world.query_as(JOB, "orders", Some("north"), 2);
    let running = CallerAnswer::State(JobState::Running);
    assert_eq!(world.answers.get(&2), Some(&running));
    world.engine.submit(
        chicorygauge::jobs::callers::Submission {
            id: JOB.into(),
            queue: "orders".to_owned(),
            pool: POOL.to_owned(),
            terms: None,
            spec,
            account: Some("north".into()),
            beyond_rate: false,
        },
        3,
        world.time(),
    );
    world.step();
    assert_eq!(world.answers.get(&3), Some(&CallerAnswer::Accepted));
    world.cancel_as(JOB, "orders", Some("north"), 4);
    world.run(50);
    assert_eq!(world.answers.get(&4), Some(&CallerAnswer::Cancelled));
    world.submit(OTHER_JOB, &job(&[step(1, 1000, LONG_MS)]), 5);
    world.run(50);
    world.cancel(OTHER_JOB, 6);
    world.run(50);
    assert_eq!(world.answers.get(&6), Some(&CallerAnswer::Cancelled));
}

/// Guards against a status that operators could not trust: usage, limit and jobs by account.
#[test]
fn account_status_counts_jobs() {
    let mut world = world_with_accounts(4, 14);
    submit(&mut world, JOB, &job(&[step(8, 1000, LONG_MS)]), "north");
    world.run(100);
    submit(
        &mut world,
        OTHER_JOB,
        &job(&[step(8, 1000, LONG_MS)]),
        "north",
    );
    world.run(100);
    let status = world.engine.account_status();
    let north = &status["north"];
    assert_eq!((north.usage.cpu, north.limit.cpu), (8000, 8000));
    assert_eq!((north.running_jobs, north.waiting_jobs), (1, 1));
    assert_eq!(status["south"].usage.cpu, 0);
    world.set_accounts(&[("south", 1000)]);
    assert!(!world.engine.account_status()["north"].configured);
}

/// Guards against starts beyond the limit, and a ledger that misses a run or keeps one that
/// is over, under lost and late orders, unreachable workers, failures, cancellations,
/// takeovers and changed limits.
#[test]
fn limit_holds_under_faults() {
    for seed in 1..=10 {
        let mut world = world_with_accounts(6, seed);
        world.faults = WorldFaults {
            lost_calls: 30,
            lost_replies: 30,
            delayed_orders: 20,
            failed_runs: 30,
        };
        for number in 0..40 {
            let id = format!("{:016x}", seed * 1000 + number);
            let account = ["north", "south"][(world.draw() % 2) as usize];
            let spec = draw_job(&mut world);
            submit(&mut world, &id, &spec, account);
            let wait_ms = world.draw() % 400;
            world.run(wait_ms);
            draw_disruption(&mut world, &id, account);
        }
        world.faults = WorldFaults::default();
        world
            .workers
            .values_mut()
            .for_each(|worker| worker.reachable = true);
        let ids: Vec<String> = world.accounts.keys().cloned().collect();
        for id in ids {
            let account = world.accounts[&id].clone();
            world.run(100);
            world.cancel_as(&id, "orders", Some(&account), 3);
        }
        world.run(12_000);
        assert_eq!(world.running(), 0, "seed {seed}");
        assert_eq!(world.engine.ledger.usage("north").cpu, 0, "seed {seed}");
        assert_eq!(world.engine.ledger.usage("south").cpu, 0, "seed {seed}");
    }
}

fn draw_job(world: &mut World) -> JobSpec {
    let tasks = 1 + (world.draw() % 5) as u32;
    let (cpu, estimate_ms) = (200 + world.draw() % 1500, 50 + world.draw() % 900);
    let first = step(tasks, cpu, estimate_ms);
    let second = match world.draw() % 4 {
        0 => gang(3, 300 + cpu / 4, estimate_ms),
        1 => StepSpec {
            speculative: true,
            ..step(2, cpu, estimate_ms)
        },
        2 => StepSpec {
            lasting: true,
            ..step(1, cpu / 2, estimate_ms)
        },
        _ => step(1, 3000, estimate_ms),
    };
    job(&[first, second])
}

fn draw_disruption(world: &mut World, id: &str, account: &str) {
    match world.draw() % 12 {
        0 => world.take_over(),
        1 | 2 => {
            let names: Vec<String> = world.workers.keys().cloned().collect();
            let name = &names[(world.draw() % names.len() as u64) as usize];
            let worker = world.workers.get_mut(name).expect("a worker");
            worker.reachable = !worker.reachable;
        }
        3 | 4 => world.cancel_as(id, "orders", Some(account), 3),
        5 => {
            let limit = 2000 + world.draw() % 8000;
            world.set_accounts(&[("north", limit), ("south", 4000)]);
        }
        6 => {
            let names = world.workers.iter();
            let name = names
                .filter(|(_, worker)| world.machines[&worker.machine].worker == worker.entry.id)
                .map(|(name, _)| name.clone())
                .next();
            let name = name.expect("a worker in service");
            for task in world.tasks_at(&name) {
                world.fail_run(&name, &task);
            }
        }
        7 => {
            world.cancel_as(id, "orders", Some(account), 3);
            let wait_ms = world.draw() % 30;
            world.run(wait_ms);
            world.take_over();
        }
        _ => {}
    }
}
