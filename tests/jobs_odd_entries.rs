//! Entries of workers from another writer, and other input with amounts of any size: they
//! neither end the scheduler nor change what happens to the other workers.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::net::SocketAddr;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::actions::CallToken;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::orders::CallResult;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::types::WorkerState;
use chicorygauge::jobs::wave::WaveOrder;
use chicorygauge::ports::WorkerEntry;
use chicorygauge::ports::WorkerReply;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::POOL;
use world::STANDBY;
use world::World;
use world::config;
use world::job;
use world::step;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";

/// Returns an entry of the pool at an address where no worker is, with a capacity of `amount`
/// of each resource.
fn odd_entry(id: &str, amount: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.to_owned(),
        born_ms: 1,
        pool: POOL.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        dc: "a".to_owned(),
        state: WorkerState::Ready,
        capacity: ResourceVector {
            cpu: amount,
            memory_mb: amount,
            gpu: amount,
        },
        labels: Vec::new(),
        leaves_in_ms: 0,
    }
}

/// Returns the configuration with two accounts.
fn config_with_accounts() -> JobConfig {
    let account = |name: &str| AccountConfig {
        name: name.to_owned(),
        weight: 1.0,
        ..AccountConfig::default()
    };
    JobConfig {
        accounts: Some(vec![account("one"), account("two")]),
        ..config()
    }
}

/// Changes the capacity of a worker, and its entry, to `amount` of each resource.
fn enlarge(world: &mut World, id: &str, amount: u64) {
    let worker = world.workers.get_mut(id).expect("a worker");
    worker.entry.capacity = odd_entry(id, amount).capacity;
    let entry = worker.entry.clone();
    world.engine.worker_listed(entry, world.now);
}

/// The pool seemed to need no VM besides the odd one, which serves nobody.
#[test]
fn peak_moves_vms_despite_unanswered_entry() {
    let mut world = World::new(4, 3);
    for number in 0..6 {
        world.add_worker(STANDBY, &format!("s-{number}"));
    }
    world.engine.fleet.enabled = true;
    world.run(4000);
    let entry = odd_entry("odd", u64::from(u32::MAX));
    world.engine.worker_listed(entry, world.now);
    for number in 0..24 {
        let id = format!("{number:016x}");
        world.submit(&id, &job(&[step(8, 4000, 1000)]), number);
        world.run(75);
    }
    assert!(world.moves >= 4, "moves: {}", world.moves);
    assert!(world.engine.pool_load(POOL).largest_worker <= 32_000.0);
}

/// The sum of two capacities overflowed.
#[test]
fn shares_largest_capacities_counted() {
    let mut world = World::with_config(config_with_accounts(), 1);
    // Both accounts wait for workers all the time.
    let spec = job(&[StepSpec {
        per_worker: 1,
        ..step(8, 1000, 200)
    }]);
    world.submit_as(JOB, &spec, "orders", Some("one"), 1);
    world.submit_as(OTHER_JOB, &spec, "orders", Some("two"), 2);
    world.run(50);
    for number in 0..2 {
        let id = world.add_worker(POOL, &format!("m-{number}"));
        enlarge(&mut world, &id, u64::MAX);
    }
    world.run(2000);
    assert_eq!(world.completed.len(), 2);
}

/// The time limit of a wave overflowed.
#[test]
fn wave_longest_limit_completed() {
    let mut world = World::new(4, 1);
    world.engine.fleet.enabled = true;
    world.run(1000);
    let order = WaveOrder {
        wave: 1,
        machines: vec!["m-00".to_owned(), "m-01".to_owned()],
        limit_s: u64::MAX,
        most: usize::MAX,
    };
    let time = world.time();
    world.engine.add_wave(order, None, time);
    world.run(20_000);
    assert!(world.engine.fleet.waves[&1].record.complete);
}

/// The end of a lease on the clock of a worker overflowed.
#[test]
fn hold_latest_clock_answered() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(2, 32_000, 5000)]), 1);
    world.run(100);
    let id = world.workers.keys().next().cloned().expect("a worker");
    let reply = WorkerReply::Held {
        clock_ms: u64::MAX,
        born_ms: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let token = CallToken::Hold { worker: id.clone() };
    let result = CallResult::Answered(reply);
    let now = world.now;
    world.engine.handle_call_result(token, result, 0, now);
    world.run(4000);
    // The successor waits no longer for its runs than for those of any other worker: until all
    // orders of its predecessor have been carried out and the longest lease is over.
    world.workers.get_mut(&id).expect("a worker").up = false;
    world.run(2000);
    world.take_over();
    let longest_ms = world.engine.settings.start_expiry_ms(0);
    world.run(longest_ms + 6000);
    assert!(world.completed.contains_key(JOB));
}

/// The work of a job overflowed.
#[test]
fn submit_largest_amounts_answered() {
    let amounts = [0, 1, u64::from(u32::MAX), u64::MAX];
    let mut world = World::new(2, 1);
    world.run(20);
    let mut number = 0;
    for cpu in amounts {
        for estimate_ms in amounts {
            let id = format!("{number:016x}");
            let near_data = StepSpec {
                speculative: true,
                data_rack: "r-0".to_owned(),
                ..step(64, cpu, estimate_ms)
            };
            let spec = job(&[near_data, step(64, cpu, estimate_ms)]);
            world.submit(&id, &spec, number);
            world.run(200);
            assert!(world.answers.contains_key(&number), "{id}");
            number += 1;
        }
    }
    world.run(2000);
}

fn any_amount() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u64::from(u32::MAX)),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

prop_compose! {
    fn any_entry()(
        pool in prop_oneof![5 => Just(POOL), 1 => Just(STANDBY), 1 => Just("unnamed"), 1 => Just("")],
        amounts in (any_amount(), any_amount(), any_amount()),
        times in (any_amount(), any_amount()),
        port in 9000_u16..9010,
        is_ready in prop::bool::weighted(0.8),
        labels in vec("[ar]-[0-9]", 0..4),
    ) -> WorkerEntry {
        WorkerEntry {
            born_ms: times.0,
            pool: pool.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            state: if is_ready { WorkerState::Ready } else { WorkerState::Draining },
            capacity: ResourceVector { cpu: amounts.0, memory_mb: amounts.1, gpu: amounts.2 },
            labels,
            leaves_in_ms: times.1,
            ..odd_entry("", 0)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(0x6f64_6473),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Odd entries ended the scheduler, or kept the other workers from being used.
    #[test]
    fn odd_entries_others_hold(
        rows in vec((any_entry(), 0_u64..100, any::<bool>()), 1..8),
        has_accounts in any::<bool>(),
    ) {
        let (config, accounts) = if has_accounts {
            (config_with_accounts(), [Some("one"), Some("two")])
        } else {
            (config(), [None, None])
        };
        let mut world = World::with_config(config, 1);
        let first = world.add_worker(POOL, "m-0");
        world.add_worker(POOL, "m-1");
        world.add_worker(STANDBY, "s-0");
        world.engine.fleet.enabled = true;
        world.run(20);
        for number in 0..4 {
            let id = format!("{number:016x}");
            let account = accounts[number as usize % 2];
            let spread = StepSpec { per_worker: 2, ..step(16, 4000, 300) };
            world.submit_as(&id, &job(&[spread]), "orders", account, number);
        }
        world.run(200);
        for (number, (mut entry, delay_ms, answers)) in rows.into_iter().enumerate() {
            entry.id = format!("odd-{number}");
            if answers {
                let mut worker = world.workers[&first].clone();
                worker.entry = entry.clone();
                worker.machine.clone_from(&entry.id);
                worker.runs.clear();
                world.workers.insert(entry.id.clone(), worker);
            }
            world.engine.worker_listed(entry, world.now);
            world.run(delay_ms);
        }
        world.take_over();
        world.run(4000);
        prop_assert_eq!(world.completed.len(), 4);
    }
}
