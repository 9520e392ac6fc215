//! CPU time of the scheduler per run, by part, without network and in virtual time.
//!
//! Four pools share the workers; their queues' load peaks alternate, five seconds each. A
//! fifth pool of two workers is full, and a backlog of jobs waits for it. Workers answer in
//! two milliseconds and the store in four. Printed for each number of workers and each
//! backlog: microseconds per run of each part of the scheduler, and the ratio of their sum
//! to that of the first line. Each measurement is repeated with jobs that belong to 20 and
//! to 1,000 client accounts; `by accounts` is the ratio to the same one without accounts.
//!
//! `cargo bench --bench scheduler -- 60 350 1100` names the numbers of workers.

mod simulation;

use std::time::Duration;

use simulation::PartTimes;
use simulation::Simulation;

/// Jobs that wait during a measurement.
const BACKLOGS: [usize; 3] = [0, 1_000, 10_000];

/// Numbers of client accounts.
const ACCOUNTS: [usize; 3] = [0, 20, 1_000];

/// Virtual time before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 1_500;

/// Virtual time of the measurement, in milliseconds.
const MEASURE_MS: u64 = 3_000;

fn main() {
    let sizes = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok());
    let mut sizes: Vec<usize> = sizes.collect();
    if sizes.is_empty() {
        sizes = vec![60, 350, 1_100];
    }
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6} {:>11}",
        "workers",
        "backlog",
        "accounts",
        "runs/s",
        "calls",
        "commits",
        "placing",
        "ticks",
        "callers",
        "us/run",
        "ratio",
        "by accounts"
    );
    let mut base = None;
    for workers in &sizes {
        for backlog in BACKLOGS {
            let mut none = None;
            for accounts in ACCOUNTS {
                let (times, runs) = measure(*workers, backlog, accounts);
                let runs = runs.max(1);
                let micros = |time: Duration| time.as_secs_f64() * 1e6 / runs as f64;
                let all = micros(times.total());
                let base = *base.get_or_insert(all);
                let none = *none.get_or_insert(all);
                println!(
                    "{workers:>8} {backlog:>8} {accounts:>8} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {all:>9.1} {:>6.2} {:>11.2}",
                    runs * 1000 / MEASURE_MS,
                    micros(times.calls),
                    micros(times.commits),
                    micros(times.placing),
                    micros(times.ticks),
                    micros(times.callers),
                    all / base,
                    all / none
                );
            }
        }
    }
}

fn measure(workers: usize, backlog: usize, accounts: usize) -> (PartTimes, u64) {
    let mut simulation = Simulation::new(workers, backlog, accounts);
    simulation.run(WARM_UP_MS);
    simulation.times = PartTimes::default();
    let before = simulation.started;
    simulation.run(MEASURE_MS);
    (simulation.times, simulation.started - before)
}
