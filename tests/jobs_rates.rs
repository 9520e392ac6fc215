//! Submission rates of client accounts: which jobs are beyond the rate, and that they are
//! refused first.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::sync::Arc;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::account::AccountName;
use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::rate::AccountRates;
use chicorygauge::jobs::types::StepSpec;
use world::World;
use world::job;
use world::step;

fn account() -> AccountName {
    "acme".into()
}

/// Takes tokens until there are none, and returns their number.
fn drain(rates: &mut AccountRates, weight: f64, now: u64) -> usize {
    let mut taken = 0;
    while rates.take(&account(), weight, now) {
        taken += 1;
    }
    taken
}

fn set_weight(world: &mut World, version: u64, weight: f64) {
    let accounts = vec![AccountConfig {
        name: "acme".to_owned(),
        weight,
        ..AccountConfig::default()
    }];
    world.engine.set_config(Arc::new(JobConfig {
        version,
        accounts: Some(accounts),
        ..world::config()
    }));
}

/// Returns a world with an account of this weight and a pool whose load is known.
fn world_with_account(weight: f64) -> World {
    let mut world = World::new(2, 1);
    set_weight(&mut world, 2, weight);
    world.engine.fleet.enabled = true;
    world.run(100);
    world
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Load pattern: one account sends 7.5 times its usual load at once. A bucket that holds
/// more than a second of the weight would let it through for longer.
#[test]
fn take_burst_one_second_of_weight() {
    let mut rates = AccountRates::default();
    assert_eq!(drain(&mut rates, 20.0, 5000), 20);
    assert_eq!(drain(&mut rates, 20.0, 5250), 5);
    assert_eq!(
        drain(&mut rates, 20.0, 60_000),
        20,
        "idle time fills no more"
    );
}

/// Load pattern: an account sends exactly its weight for a minute. Rounding of fractional
/// tokens must put no job beyond the rate.
#[test]
fn take_steady_at_weight_never_beyond() {
    let mut rates = AccountRates::default();
    assert_eq!(drain(&mut rates, 3.0, 0), 3);
    for number in 1..=180_u64 {
        let now = (number * 1000).div_ceil(3);
        assert!(rates.take(&account(), 3.0, now), "job {number}");
    }
}

/// Load pattern: single jobs of an account with a weight below 1. Its bucket must hold a
/// whole token, or it could never submit.
#[test]
fn take_small_weight_one_job() {
    let mut rates = AccountRates::default();
    assert_eq!(drain(&mut rates, 0.5, 1000), 1);
    assert_eq!(drain(&mut rates, 0.5, 2000), 0);
    assert_eq!(drain(&mut rates, 0.5, 3000), 1);
}

/// Load pattern: a burst while the weight changes. A new configuration must neither refill
/// an empty bucket nor empty a full one.
#[test]
fn take_weight_changed_keeps_fill_level() {
    let mut rates = AccountRates::default();
    for _ in 0..10 {
        assert!(rates.take(&account(), 20.0, 1000));
    }
    assert_eq!(
        drain(&mut rates, 40.0, 1000),
        20,
        "half of the larger bucket"
    );
    assert_eq!(drain(&mut rates, 20.0, 1000), 0);
}

/// Load pattern: a burst goes on during a takeover. A successor with full buckets would let
/// one second of the weight through again.
#[test]
fn take_after_restore_counts_last_second() {
    let mut rates = AccountRates::default();
    for number in 0..20 {
        rates.restore(&account(), 9300 + number * 20, 10_000);
    }
    rates.restore(&account(), 8000, 10_000);
    // 20 tokens at 9,300 ms, 20 taken, and 14 refilled until 10,000 ms.
    assert_eq!(drain(&mut rates, 20.0, 10_000), 14);
}

/// Load pattern: the first jobs of an account after a takeover come seconds later. Old
/// acceptance times must not count any more.
#[test]
fn take_long_after_restore_full() {
    let mut rates = AccountRates::default();
    for number in 0..20 {
        rates.restore(&account(), 9300 + number * 20, 10_000);
    }
    assert_eq!(drain(&mut rates, 20.0, 13_000), 20);
}

/// Load pattern: callers repeat a submission because its answer was lost. The repetition
/// must not put later jobs of the account beyond the rate.
#[test]
fn submit_repeated_takes_one_token() {
    let mut world = world_with_account(2.0);
    for waiter in 0..10 {
        world.submit_as(
            &id(1),
            &job(&[step(1, 1000, 60_000)]),
            "orders",
            Some("acme"),
            waiter,
        );
    }
    world.submit_as(
        &id(2),
        &job(&[step(1, 1000, 60_000)]),
        "orders",
        Some("acme"),
        20,
    );
    world.submit_as(
        &id(3),
        &job(&[step(1, 1000, 60_000)]),
        "orders",
        Some("acme"),
        21,
    );
    let beyond = |number| world.engine.jobs[id(number).as_str()].beyond_rate;
    assert_eq!([beyond(1), beyond(2), beyond(3)], [false, false, true]);
}

/// Load pattern: an account sends beyond its rate while the pool is full. Its jobs must be
/// refused at once with a delay of at least a second, and accepted while capacity is free.
#[test]
fn submit_beyond_rate_full_pool_refused() {
    let mut world = world_with_account(3.0);
    let wide = job(&[step(2, 32_000, 600)]);
    world.submit_as(&id(1), &wide, "orders", Some("acme"), 1);
    world.submit_as(&id(2), &wide, "orders", Some("acme"), 2);
    world.run(300);
    assert_eq!(world.answers[&2], CallerAnswer::Accepted);
    world.submit_as(&id(3), &wide, "orders", Some("acme"), 3);
    let small = job(&[step(1, 1000, 300)]);
    world.submit_as(&id(4), &small, "orders", Some("acme"), 4);
    world.run(10);
    // The time to retry is booked by the load of the pool; the bucket is full by then.
    let answer = &world.answers[&4];
    let refused =
        matches!(answer, CallerAnswer::Refused { retry_ms } if (1000..=12_000).contains(retry_ms));
    assert!(refused, "{answer:?}");
    world.submit(&id(5), &small, 5);
    world.run(50);
    assert_eq!(
        world.answers[&5],
        CallerAnswer::Accepted,
        "it has no account"
    );
}

/// Load pattern: an account sends beyond its rate while long-running tasks leave little of the
/// pool free and nothing waits. A job that does not fit into what is free must be refused.
#[test]
fn submit_beyond_rate_calm_pool_too_wide_refused() {
    let mut world = world_with_account(1.0);
    let lasting = StepSpec {
        lasting: true,
        ..step(2, 30_000, 60_000)
    };
    world.submit(&id(1), &job(&[lasting]), 1);
    world.submit_as(&id(2), &job(&[step(1, 100, 50)]), "orders", Some("acme"), 2);
    world.run(600);
    let wide = job(&[step(2, 16_000, 600)]);
    world.submit_as(&id(4), &wide, "orders", Some("acme"), 4);
    let narrow = job(&[step(1, 1000, 300)]);
    world.submit_as(&id(5), &narrow, "orders", Some("acme"), 5);
    world.run(50);
    assert_eq!(world.answers[&5], CallerAnswer::Accepted);
    assert!(
        matches!(world.answers[&4], CallerAnswer::Refused { .. }),
        "{:?}",
        world.answers[&4]
    );
}

/// Load pattern: retries of jobs that were refused for the load of the pool. If each took a
/// token, an account within its rate would fall beyond it by being refused.
#[test]
fn submit_refused_for_load_takes_no_token() {
    let mut world = world_with_account(3.0);
    for number in 0..12 {
        world.submit(&id(100 + number), &job(&[step(2, 32_000, 2000)]), number);
    }
    world.run(300);
    // Wide and short: it ranks last and would complete long after its objective.
    let wide = job(&[step(64, 16_000, 400)]);
    for number in 0..12 {
        world.submit_as(&id(1), &wide, "orders", Some("acme"), 20 + number);
        world.run(1);
        let answer = world.answers.get(&(20 + number));
        let refused = matches!(answer, Some(CallerAnswer::Refused { .. }));
        assert!(refused, "attempt {number}: {answer:?}");
    }
    // Accepted within the rate only: there is no free capacity.
    world.submit_as(
        &id(2),
        &job(&[step(1, 1000, 300)]),
        "orders",
        Some("acme"),
        40,
    );
    world.run(50);
    assert_eq!(world.answers[&40], CallerAnswer::Accepted);
}

/// Load pattern: a burst goes on during a takeover, see above; here through the store.
#[test]
fn takeover_rebuilds_rates() {
    let mut world = world_with_account(4.0);
    for number in 0..4 {
        world.submit_as(
            &id(number),
            &job(&[step(1, 1000, 60_000)]),
            "orders",
            Some("acme"),
            number,
        );
    }
    world.run(50);
    world.take_over();
    world.run(60);
    world.submit_as(
        &id(9),
        &job(&[step(1, 1000, 60_000)]),
        "orders",
        Some("acme"),
        9,
    );
    world.run(300);
    world.submit_as(
        &id(10),
        &job(&[step(1, 1000, 60_000)]),
        "orders",
        Some("acme"),
        10,
    );
    let beyond = |number| world.engine.jobs[id(number).as_str()].beyond_rate;
    assert_eq!([beyond(9), beyond(10)], [true, false]);
}

/// Load pattern: any number of jobs at once from accounts while the configuration has no
/// accounts, or no longer this one. They must have no rate.
#[test]
fn submit_account_not_configured_no_rate() {
    let mut world = World::new(2, 1);
    for number in 0..50 {
        world.submit_as(
            &id(number),
            &job(&[step(1, 100, 60_000)]),
            "orders",
            Some("acme"),
            number,
        );
    }
    assert!(world.engine.jobs.values().all(|job| !job.beyond_rate));
}
