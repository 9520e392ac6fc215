//! Times at which refused callers return: together they must not exceed what the pool can
//! take, and nobody may lose by having been refused.

#[path = "support/load.rs"]
#[expect(dead_code, reason = "other test files use the rest of the load")]
mod load;
#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::collections::BTreeMap;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::returns::MAX_REFUSED;
use chicorygauge::jobs::returns::RefusedJobs;
use chicorygauge::jobs::returns::ReturnRequest;
use chicorygauge::jobs::returns::ReturnSchedule;
use chicorygauge::jobs::types::JobId;
use load::AdmissionRule;
use load::add_accepted;
use load::arrivals;
use load::copies;
use load::run_load;
use world::World;
use world::job;
use world::step;

/// Millicores of the pool.
const CAPACITY: f64 = 100_000.0;

fn request() -> ReturnRequest {
    ReturnRequest {
        work: 1_000_000.0,
        utility: 1.0,
        room_ms: 500.0,
        timely_ms: 4000.0,
        useful_ms: 9000.0,
        free_ms: 3000.0,
        patience_ms: 12_000.0,
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").as_str().into()
}

/// All callers of a burst are refused within 100 ms: in no second may more work return than
/// half of the pool's capacity, as long as their patience allows that.
#[test]
fn refused_together_return_spread() {
    let mut schedule = ReturnSchedule::default();
    let mut returning: BTreeMap<u64, f64> = BTreeMap::new();
    for number in 0..440 {
        let now = 1_000_000 + number % 100;
        let delay_ms = schedule.book(&request(), CAPACITY, now);
        assert!(delay_ms.is_multiple_of(1000) && (1000..=9000).contains(&delay_ms));
        *returning.entry(delay_ms).or_default() += request().work;
    }
    let limit = CAPACITY * 0.5 * 1000.0;
    assert!(
        returning.values().all(|work| *work <= limit),
        "{returning:?}"
    );
    assert!(returning.len() >= 8);
}

/// Jobs that lose little by a delay must return later than those refused at the same time
/// that lose much.
#[test]
fn cheap_jobs_return_late() {
    let mut schedule = ReturnSchedule::default();
    let (mut cheap, mut dear) = (0, 0);
    for _ in 0..40 {
        cheap += schedule.book(
            &ReturnRequest {
                utility: 0.2,
                ..request()
            },
            CAPACITY,
            0,
        );
        dear += schedule.book(
            &ReturnRequest {
                utility: 3.0,
                ..request()
            },
            CAPACITY,
            0,
        );
    }
    assert!(dear + 40_000 <= cheap, "{dear} {cheap}");
    let mut schedule = ReturnSchedule::default();
    let short = ReturnRequest {
        timely_ms: 1000.0,
        ..request()
    };
    let patient = schedule.book(&request(), CAPACITY, 0);
    assert!(schedule.book(&short, CAPACITY, 0) < patient);
}

/// A time to return must lie within what the caller can use; without a useful time it is
/// that at which the pool is expected to be free.
#[test]
fn return_within_patience() {
    let book = |request: ReturnRequest| ReturnSchedule::default().book(&request, CAPACITY, 0);
    let hopeless = ReturnRequest {
        room_ms: 5000.0,
        useful_ms: 800.0,
        ..request()
    };
    assert_eq!(book(hopeless), 3000);
    let impatient = ReturnRequest {
        patience_ms: 1500.0,
        ..request()
    };
    assert_eq!(book(impatient), 1000);
    let given_up = ReturnRequest {
        patience_ms: 0.0,
        ..hopeless
    };
    assert_eq!(book(given_up), 3000);
    let endless = ReturnRequest {
        room_ms: 1e9,
        free_ms: 1e9,
        ..request()
    };
    assert_eq!(book(endless), 12_000);
}

/// Work above a second's limit must occupy the following seconds too.
#[test]
fn large_job_books_several_seconds() {
    let mut schedule = ReturnSchedule::default();
    let large = ReturnRequest {
        work: CAPACITY * 0.5 * 2500.0,
        timely_ms: 0.0,
        ..request()
    };
    let small = ReturnRequest {
        work: CAPACITY * 0.5 * 800.0,
        ..large
    };
    assert_eq!(schedule.book(&large, CAPACITY, 0), 1000);
    assert_eq!(schedule.book(&small, CAPACITY, 0), 4000);
}

/// The memory of refused jobs must be bounded in number and time and keep the first send.
#[test]
fn refused_jobs_bounded() {
    let mut refused = RefusedJobs::default();
    refused.record(&job_id(0), 1000);
    refused.record(&job_id(0), 4000);
    assert_eq!(refused.first_send_ms(&job_id(0), 15_999), Some(1000));
    assert_eq!(refused.first_send_ms(&job_id(0), 16_000), None);
    refused.record(&job_id(0), 16_000);
    assert_eq!(refused.first_send_ms(&job_id(0), 16_001), Some(16_000));
    for number in 0..10_000 {
        refused.record(&job_id(number), 16_100);
        assert!(refused.len() <= MAX_REFUSED);
    }
    refused.record(&job_id(9_999), 16_200);
    assert_eq!(refused.len(), MAX_REFUSED);
    assert_eq!(refused.first_send_ms(&job_id(9_999), 16_300), Some(16_100));
    refused.remove(&job_id(9_999));
    assert_eq!(refused.first_send_ms(&job_id(9_999), 16_300), None);
}

/// Large jobs for 9 s of the pool at once, of which many are refused: their returns must
/// not form a second burst.
#[test]
fn returns_form_no_second_burst() {
    let mut world = World::new(4, 1);
    world.run(200);
    let large = job(&[step(8, 4_000, 450), step(8, 4_000, 450)]);
    let mut jobs = arrivals(&mut world, 0, 4000, 0.5);
    jobs.extend(copies(40, 1000, &large));
    let outcomes = run_load(&mut world, &jobs, AdmissionRule::Cost, |_, _| {});
    let refused = outcomes.iter().filter(|one| !one.refused_ms.is_empty());
    let refused = refused.count();
    assert!(refused >= 20, "{refused}");
    let mut by_second: BTreeMap<u64, f64> = BTreeMap::new();
    for outcome in &outcomes {
        for at in &outcome.retried_ms {
            *by_second.entry(at / 1000).or_default() += outcome.work as f64;
        }
    }
    let capacity = 4.0 * 32_000.0 * 1000.0;
    let shares: Vec<f64> = by_second.values().map(|work| work / capacity).collect();
    eprintln!("refused {refused}, returning work of capacity by second {shares:.2?}");
    assert!(shares.iter().all(|share| *share <= 1.0), "{shares:?}");
}

/// A refused job that is accepted later must be due by its first send.
#[test]
fn accepted_retry_is_due_by_first_send() {
    let mut world = World::new(4, 1);
    world.run(200);
    let backlog = job(&[step(8, 4_000, 900)]);
    for number in 0..60 {
        let id = format!("{number:016x}");
        add_accepted(&mut world, &id, &backlog, 0);
    }
    world.run(100);
    let spec = job(&[step(8, 4_000, 100), step(8, 4_000, 700)]);
    let first_ms = world.now;
    let mut waiter = 0;
    let accepted = loop {
        waiter += 1;
        let id = format!("{:016x}", 0xaa00 + waiter);
        world.submit(&id, &spec, waiter);
        if let Some(CallerAnswer::Refused { .. }) = world.answers.get(&waiter) {
            break id;
        }
        assert!(waiter < 200, "nothing was refused");
    };
    loop {
        world.run(1000);
        waiter += 1;
        world.submit(&accepted, &spec, waiter);
        if !matches!(
            world.answers.get(&waiter),
            Some(CallerAnswer::Refused { .. })
        ) {
            break;
        }
        assert!(world.now < first_ms + 14_000);
    }
    let id: JobId = accepted.as_str().into();
    assert_eq!(world.engine.jobs[&id].submitted_ms, first_ms);
}
