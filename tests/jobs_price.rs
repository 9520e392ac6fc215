//! Decisions of admission on a table of waiting work.

use chicorygauge::jobs::admit::JobDemand;
use chicorygauge::jobs::admit::RefusalReason;
use chicorygauge::jobs::admit::decide;
use chicorygauge::jobs::admit::is_calm;
use chicorygauge::jobs::load::PoolLoad;
use chicorygauge::jobs::price::MAX_ROWS;
use chicorygauge::jobs::price::PoolSupply;
use chicorygauge::jobs::price::PriceTable;
use chicorygauge::jobs::price::WaitingRow;
use chicorygauge::jobs::price::job_utility;
use chicorygauge::jobs::price::timely_probability;
use chicorygauge::jobs::size_guard::SizeGuard;
use chicorygauge::jobs::waiting::JobRank;
use proptest::prelude::*;

/// Millicores of the pool.
const CAPACITY: f64 = 100_000.0;

fn rank(class: u32, work_per_value: f64) -> JobRank {
    JobRank {
        class,
        priority: 0,
        work_per_value,
    }
}

/// Returns a row with work for `work_ms` of the pool.
fn row(work_per_value: f64, work_ms: f64, critical_ms: f64, slack_ms: f64) -> WaitingRow {
    WaitingRow {
        rank: rank(1, work_per_value),
        work: work_ms * CAPACITY,
        critical_ms,
        slack_ms,
        late_ms: slack_ms * 3.0,
        utility: 1.0,
        jobs: 1,
    }
}

fn full_pool(rows: Vec<WaitingRow>) -> PriceTable {
    let supply = PoolSupply {
        built_ms: 1000,
        capacity: CAPACITY,
        ..PoolSupply::default()
    };
    PriceTable::new(supply, rows)
}

fn demand(row: WaitingRow) -> JobDemand {
    JobDemand {
        fresh: row,
        row,
        cpu: 4000.0,
        is_retry: false,
        beyond_rate: false,
        underserved: false,
    }
}

/// Rows that are late by a little if 100 ms of work are placed before them.
fn marginal_rows() -> Vec<WaitingRow> {
    let rows = (0..20).map(|number| {
        let wait_ms = f64::from(number) * 50.0;
        row(
            5.0 + f64::from(number),
            50.0,
            200.0,
            (wait_ms + 200.0) * 1.1,
        )
    });
    rows.collect()
}

/// A job that gains less than it costs those behind it must be refused, and only then.
#[test]
fn decide_displacing_job() {
    let table = full_pool(marginal_rows());
    let displacing = demand(WaitingRow {
        utility: 0.3,
        ..row(1.0, 300.0, 200.0, 900.0)
    });
    let (reason, assessment) = decide(&table, &displacing, 1000).expect_err("a refusal");
    assert_eq!(reason, RefusalReason::Displaces);
    assert!(assessment.cost >= assessment.gain);
    let last = demand(WaitingRow {
        utility: 0.3,
        ..row(99.0, 300.0, 200.0, 3000.0)
    });
    assert!(decide(&table, &last, 1000).is_ok());
    let underserved = JobDemand {
        underserved: true,
        ..displacing
    };
    assert!(decide(&table, &underserved, 1000).is_ok());
}

/// A job that cannot complete within three times its objective must be refused at once,
/// also if its size class is underserved.
#[test]
fn decide_late_job() {
    let table = full_pool(marginal_rows());
    let late = JobDemand {
        underserved: true,
        ..demand(row(99.0, 10.0, 200.0, 390.0))
    };
    let (reason, assessment) = decide(&table, &late, 1000).expect_err("a refusal");
    assert_eq!(
        (reason, assessment.projected_ms),
        (RefusalReason::Late, 1200.0)
    );
    // At 40 ms later, the pool has done 40 ms of work.
    assert!(decide(&table, &late, 1040).is_ok());
}

/// A retry must not be worse off than a new call, unless its utility is lost, and must win
/// ties.
#[test]
fn decide_retry_like_new_call() {
    let table = full_pool(marginal_rows());
    for work_per_value in [1.0, 5.5, 9.5, 15.5, 30.0] {
        for age_ms in [0.0, 500.0, 1500.0, 2000.0, 4000.0] {
            for utility in [0.3, 1.0, 4.0] {
                let fresh = WaitingRow {
                    utility,
                    ..row(work_per_value, 100.0, 300.0, 1080.0)
                };
                let aged = WaitingRow {
                    slack_ms: fresh.slack_ms - age_ms,
                    late_ms: fresh.late_ms - age_ms,
                    ..fresh
                };
                let retry = JobDemand {
                    row: aged,
                    is_retry: true,
                    ..demand(fresh)
                };
                let accepted_new = decide(&table, &demand(fresh), 1000).is_ok();
                match decide(&table, &retry, 1000) {
                    Ok(_) | Err((RefusalReason::Late, _)) => {}
                    Err(refusal) => assert!(!accepted_new, "{refusal:?}"),
                }
            }
        }
    }
    let one = row(2.0, 100.0, 200.0, 400.0);
    let table = full_pool(vec![one]);
    let even = |is_retry: bool| {
        let candidate = row(1.0, 100.0, 200.0, 400.0);
        let cost = table.assess(&candidate, 0.0, 1000).cost;
        let tied = WaitingRow {
            utility: cost,
            ..candidate
        };
        let demand = JobDemand {
            is_retry,
            ..demand(tied)
        };
        decide(&table, &demand, 1000).is_ok()
    };
    assert!(even(true) && !even(false));
}

/// Jobs beyond their account's rate may use free capacity, and nothing else.
#[test]
fn decide_beyond_rate() {
    let mut table = full_pool(Vec::new());
    let beyond = JobDemand {
        beyond_rate: true,
        ..demand(row(1.0, 1.0, 200.0, 900.0))
    };
    let refusal = decide(&table, &beyond, 1000).expect_err("a refusal");
    assert_eq!(refusal.0, RefusalReason::BeyondRate);
    table.supply.room = 4000.0;
    assert!(decide(&table, &beyond, 1000).is_ok());
    table.insert(&beyond.row, beyond.cpu, 1000);
    assert!(decide(&table, &beyond, 1000).is_err());
}

/// A pool with free capacity and a backlog below 1 ms of its capacity must refuse nothing;
/// a pool without workers has no load to judge by.
#[test]
fn calm_pool() {
    let load = PoolLoad {
        capacity: CAPACITY,
        free: 1.0,
        backlog: CAPACITY - 1.0,
        ..PoolLoad::default()
    };
    assert!(is_calm(&load));
    assert!(is_calm(&PoolLoad::default()));
    for busy in [
        PoolLoad { free: 0.0, ..load },
        PoolLoad {
            backlog: CAPACITY,
            ..load
        },
    ] {
        assert!(!is_calm(&busy));
    }
}

/// Running tasks delay a job only as far as it needs their capacity, and VMs that are being
/// moved to the pool count from their arrival on.
#[test]
fn projected_time_by_capacity() {
    let supply = PoolSupply {
        built_ms: 1000,
        capacity: CAPACITY,
        arriving: CAPACITY,
        arrival_ms: 1500.0,
        running: 400.0 * CAPACITY,
        room: 0.0,
    };
    let table = PriceTable::new(supply, vec![row(1.0, 2500.0, 500.0, 9000.0)]);
    let projected = |work_per_value: f64, cpu: f64, now: u64| {
        let job = row(work_per_value, 100.0, 300.0, 9000.0);
        table.assess(&job, cpu, now).projected_ms
    };
    assert_eq!(projected(0.5, CAPACITY / 4.0, 1000), 300.0 + 100.0);
    // 1,500 ms at the present capacity, then half of the remaining 1,000 ms.
    assert_eq!(projected(2.0, 0.0, 1000), 300.0 + 2000.0);
    assert_eq!(projected(2.0, 0.0, 1250), 300.0 + 1750.0);
}

/// The probability must rise with the time left, from 0 at half of the projected time to 1
/// at twice of it.
#[test]
fn timely_probability_by_ratio() {
    let values =
        [0.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0].map(|left| timely_probability(100.0, left));
    assert_eq!(values, [0.0, 0.0, 0.25, 0.5, 0.75, 1.0, 1.0]);
    assert_eq!(job_utility(1000, 1000.0), 1.0);
    assert_eq!(job_utility(100_000, 1000.0), 4.0);
}

/// 2,000 waiting jobs: an admission must only look at a bounded number of rows, and merging
/// them must not lose work, utility or order.
#[test]
fn table_is_bounded() {
    let rows: Vec<_> = (0..2000)
        .map(|number| {
            row(
                f64::from(number % 977),
                1.0,
                200.0,
                900.0 + f64::from(number),
            )
        })
        .collect();
    let mut table = full_pool(rows);
    let start = std::time::Instant::now();
    for number in 0..1000 {
        let job = row(f64::from(number % 977) + 0.5, 1.0, 200.0, 900.0);
        assert!(table.assess(&job, 4000.0, 1000).gain > 0.0);
        table.insert(&job, 4000.0, 1000);
        assert!(table.rows().len() <= MAX_ROWS + 64);
    }
    eprintln!(
        "{:?} for each admission, unoptimized",
        start.elapsed() / 1000
    );
    let sum = |value: fn(&WaitingRow) -> f64| table.rows().iter().map(value).sum::<f64>();
    assert!((sum(|row| row.utility) - 3000.0).abs() < 1e-6);
    assert!((sum(|row| row.work) / CAPACITY - 3000.0).abs() < 1e-6);
    assert_eq!(table.rows().iter().map(|row| row.jobs).sum::<u32>(), 3000);
    assert!(table.rows().is_sorted_by_key(|row| row.rank));
    assert!((table.backlog_ms(1000) - 3000.0).abs() < 1e-6);
}

/// Many priorities must not exceed the bound either.
#[test]
fn table_is_bounded_with_many_priorities() {
    let rows = (0..2000).map(|number| WaitingRow {
        rank: JobRank {
            priority: number,
            ..rank(1, 1.0)
        },
        ..row(1.0, 1.0, 200.0, 900.0)
    });
    assert!(full_pool(rows.collect()).rows().len() <= MAX_ROWS);
}

/// If the largest jobs of a queue are refused, they must count as underserved, and only
/// until they are served again.
#[test]
fn size_guard_large_jobs_refused() {
    let mut guard = SizeGuard::default();
    let work = |number: u64| match number % 10 {
        0 => 100,
        1 | 2 => 50,
        _ => 10,
    };
    for number in 0..200 {
        guard.record_offer("orders", work(number));
        if work(number) == 10 {
            guard.record_served("orders", 10, 1.0);
        }
    }
    assert!(guard.is_underserved("orders", 100));
    assert!(guard.is_underserved("orders", 50));
    assert!(!guard.is_underserved("orders", 10));
    assert!(!guard.is_underserved("other", 100));
    let mut served = 0;
    while guard.is_underserved("orders", 100) {
        guard.record_served("orders", 100, 1.0);
        served += 1;
    }
    // Of about 13 counted jobs, 0.6 of the queue's 0.7.
    assert!((3..=8).contains(&served), "{served}");
}

/// Jobs of one size form no class that could be underserved.
#[test]
fn size_guard_equal_jobs() {
    let mut guard = SizeGuard::default();
    for _ in 0..100 {
        guard.record_offer("orders", 10);
    }
    assert!(!guard.is_underserved("orders", 10));
}

prop_compose! {
    fn any_row()(
        class in 1u32..3,
        work_per_value in 0.0..10.0,
        work_ms in 0.0..500.0,
        critical_ms in 1.0..2000.0,
        slack_ms in -500.0..3000.0,
        utility in 0.0..4.0,
    ) -> WaitingRow {
        WaitingRow {
            rank: rank(class, work_per_value),
            late_ms: slack_ms + 3000.0,
            utility,
            ..row(work_per_value, work_ms, critical_ms, slack_ms)
        }
    }
}

proptest! {
    /// Accepting a job must not lower the expected utility of those waiting by more than
    /// the job gains, nor may the total differ from what the assessment says.
    #[test]
    fn accepting_never_lowers_utility(
        rows in prop::collection::vec(any_row(), 0..60),
        job in any_row(),
        cpu in 0.0..CAPACITY,
        elapsed_ms in 0u64..1000,
    ) {
        let mut table = full_pool(rows);
        let now = 1000 + elapsed_ms;
        let before = table.expected_utility(now);
        let result = decide(&table, &demand(job), now);
        if let Ok(assessment) = result {
            table.insert(&job, cpu, now);
            let after = table.expected_utility(now);
            let own = assessment.gain;
            prop_assert!(before - (after - own) <= own + 1e-9);
            let difference = after - before - (assessment.gain - assessment.cost);
            prop_assert!(difference.abs() < 1e-6, "{difference}");
        }
    }
}
