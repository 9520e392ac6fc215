//! Compares scoring functions for the placement of tasks on a fleet of the planned
//! size: `cargo bench --bench placement`.
//!
//! The fleet has 7,100 workers with 32 cores and 64 GB each in 133 pools, 8,600
//! accelerators (eight on every seventh worker, one on some others) and 62 teams.
//! The tasks need more than the capacity of each pool: one job in twelve has tasks
//! of half a worker or more, one in ten needs accelerators, one in eight is urgent.
//! Actual usage is the declared need times a factor between 0.3 and 3; it is
//! reported after all tasks have been submitted.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use chicorygauge::config::ResourceAmount;
use chicorygauge::decide::placement::JobId;
use chicorygauge::decide::placement::PlacementOutcome;
use chicorygauge::decide::placement::PlacementState;
use chicorygauge::decide::placement::ReliefAction;
use chicorygauge::decide::placement::TaskId;
use chicorygauge::decide::placement::TaskRequest;
use chicorygauge::decide::placement::WorkerEntry;
use chicorygauge::decide::resources::FitScore;
use chicorygauge::decide::resources::best_fit;
use chicorygauge::decide::resources::saturating_add;
use chicorygauge::names::PoolName;
use chicorygauge::names::TeamName;
use chicorygauge::names::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WORKERS: usize = 7100;
const POOLS: usize = 133;
const TEAMS: usize = 62;
const WORKERS_PER_RACK: usize = 4;
const CORES: u64 = 32;
const MEMORY_GB: u64 = 64;
const TASKS_PER_WORKER: usize = 9;
const JOB_TASKS: u32 = 12;

/// Placement figures of one scoring function.
#[derive(Default)]
struct PlacementFigures {
    placed: usize,
    large_placed: usize,
    /// Submitted tasks that need at least half of a worker's cores.
    large: usize,
    urgent_placed: usize,
    urgent: usize,
    evicted: usize,
    cores: u64,
    accelerators: u32,
    /// Tasks beyond the first in each job's fullest rack, summed over all jobs.
    rack_collisions: usize,
    stops: usize,
    throttles: usize,
    /// Time of each placement decision, sorted at the end.
    times: Vec<Duration>,
}

fn accelerators_of_worker(index: usize) -> u32 {
    // Spreads the accelerators so that every pool has workers of each kind.
    match (index / POOLS + index % POOLS) % 14 {
        0 | 7 => 8,
        3 => 1,
        _ => 0,
    }
}

fn make_state(score: FitScore) -> PlacementState {
    let mut state = PlacementState::new(score);
    for index in 0..WORKERS {
        let entry = WorkerEntry {
            pool: pool_name(index % POOLS),
            rack: format!("rack-{:04}", index / POOLS / WORKERS_PER_RACK)
                .parse()
                .expect("name"),
            capacity: ResourceAmount {
                cpu_millis: CORES * 1000,
                memory_mb: MEMORY_GB * 1000,
                accelerators: accelerators_of_worker(index),
            },
            schedulable: true,
        };
        state.set_worker(&vm_name(index), entry);
    }
    state
}

fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool:03}")).expect("name")
}

fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index:05}")).expect("name")
}

/// Tasks in the order of submission; the same for every scoring function.
fn make_tasks() -> Vec<TaskRequest> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut tasks = Vec::new();
    let jobs = WORKERS * TASKS_PER_WORKER / JOB_TASKS as usize;
    for job in 0..jobs {
        let large = rng.random_range(0..12) == 0;
        let cores = match large {
            true => rng.random_range(16..=28),
            false => rng.random_range(1..=6),
        };
        let need = ResourceAmount {
            cpu_millis: cores * 1000,
            memory_mb: cores * rng.random_range(1000..3000),
            accelerators: match rng.random_range(0..10) {
                0 => rng.random_range(1..=4),
                _ => 0,
            },
        };
        let urgent = rng.random_range(0..8) == 0;
        let team: TeamName = format!("team-{}", job % TEAMS).parse().expect("name");
        let id = JobId {
            pool: pool_name(rng.random_range(0..POOLS)),
            name: format!("job-{job}"),
        };
        for index in 0..JOB_TASKS {
            tasks.push(TaskRequest {
                id: TaskId {
                    job: id.clone(),
                    index,
                },
                team: Some(TeamName::clone(&team)),
                need,
                urgent,
            });
        }
    }
    // Interleaves the jobs: the first task of every job, then the second, and so on.
    tasks.sort_by_key(|task| task.id.index);
    tasks
}

fn place_all(score: FitScore, tasks: &[TaskRequest]) -> PlacementFigures {
    let mut state = make_state(score);
    let mut figures = PlacementFigures::default();
    let mut placed: BTreeMap<&TaskId, (VmName, &TaskRequest)> = BTreeMap::new();
    for request in tasks {
        let large = request.need.cpu_millis >= CORES * 500;
        figures.large += usize::from(large);
        figures.urgent += usize::from(request.urgent);
        let start = Instant::now();
        let result = state.place(Duration::ZERO, request);
        figures.times.push(start.elapsed());
        if let PlacementOutcome::Placed { vm, evicted } = result {
            figures.evicted += evicted.len();
            for id in &evicted {
                placed.remove(id);
            }
            placed.insert(&request.id, (vm, request));
        }
    }
    let mut racks: BTreeMap<&JobId, BTreeMap<usize, usize>> = BTreeMap::new();
    for (id, (vm, request)) in &placed {
        figures.placed += 1;
        figures.large_placed += usize::from(request.need.cpu_millis >= CORES * 500);
        figures.urgent_placed += usize::from(request.urgent);
        figures.cores += request.need.cpu_millis / 1000;
        figures.accelerators += request.need.accelerators;
        let rack = vm.as_str()[3..].parse::<usize>().expect("index") / POOLS / WORKERS_PER_RACK;
        *racks.entry(&id.job).or_default().entry(rack).or_default() += 1;
    }
    figures.rack_collisions = racks
        .values()
        .map(|racks| racks.values().max().expect("a rack") - 1)
        .sum();
    report_usage(&mut state, &placed, &mut figures);
    figures.times.sort();
    figures
}

/// Reports the actual usage of each worker, which differs from the declared need,
/// and counts the tasks that are stopped or throttled in response.
fn report_usage(
    state: &mut PlacementState,
    placed: &BTreeMap<&TaskId, (VmName, &TaskRequest)>,
    figures: &mut PlacementFigures,
) {
    let mut usage_by_vm: BTreeMap<&VmName, ResourceAmount> = BTreeMap::new();
    for (id, (vm, request)) in placed {
        // Seeded by the job, so that its factor is the same for every scoring function.
        let seed = id.job.name[4..].parse::<u64>().expect("number");
        let factor: f64 = StdRng::seed_from_u64(seed)
            .random_range(-1.2_f64..1.1)
            .exp();
        let actual = ResourceAmount {
            cpu_millis: (request.need.cpu_millis as f64 * factor) as u64,
            memory_mb: (request.need.memory_mb as f64 * factor) as u64,
            accelerators: request.need.accelerators,
        };
        let sum = usage_by_vm.entry(vm).or_default();
        *sum = saturating_add(*sum, actual);
    }
    for (vm, usage) in usage_by_vm {
        for action in state.record_usage(Duration::from_secs(30), vm, usage) {
            match action {
                ReliefAction::Stop(_) => figures.stops += 1,
                ReliefAction::Throttle(_) => figures.throttles += 1,
            }
        }
    }
}

fn worst_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    // The constant exceeds every score of `best_fit`: at most 2,000 for CPU and memory
    // plus 10,000 for each accelerator.
    1_000_000 - best_fit(free, capacity)
}

fn first_fit(_: ResourceAmount, _: ResourceAmount) -> u64 {
    0
}

/// Prefers workers whose free shares of CPU and memory are nearly equal.
fn balanced_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    let share = |free: u64, capacity: u64| free * 1000 / capacity.max(1);
    let cpu = share(free.cpu_millis, capacity.cpu_millis);
    let memory = share(free.memory_mb, capacity.memory_mb);
    u64::from(free.accelerators) * 10_000 + cpu.abs_diff(memory)
}

fn main() {
    let tasks = make_tasks();
    let scores: [(&str, FitScore); 4] = [
        ("best fit", best_fit),
        ("worst fit", worst_fit),
        ("first fit", first_fit),
        ("balanced fit", balanced_fit),
    ];
    println!("{} tasks", tasks.len());
    println!(
        "{:<13} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8}",
        "way",
        "placed",
        "cores%",
        "accel%",
        "large%",
        "urgent%",
        "evicted",
        "crowded",
        "stops",
        "throttles",
        "p50_us",
        "p99_us",
        "max_us"
    );
    let total_accelerators: u32 = (0..WORKERS).map(accelerators_of_worker).sum();
    for (name, score) in scores {
        let figures = place_all(score, &tasks);
        let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole as f64;
        let quantile_us = |share: f64| {
            let index = (figures.times.len() - 1) as f64 * share;
            figures.times[index as usize].as_secs_f64() * 1e6
        };
        println!(
            "{name:<13} {:>7} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7} {:>8} {:>7} {:>9} {:>8.1} {:>8.1} {:>8.1}",
            figures.placed,
            percent(figures.cores as usize, WORKERS * CORES as usize),
            percent(figures.accelerators as usize, total_accelerators as usize),
            percent(figures.large_placed, figures.large),
            percent(figures.urgent_placed, figures.urgent),
            figures.evicted,
            figures.rack_collisions,
            figures.stops,
            figures.throttles,
            quantile_us(0.5),
            quantile_us(0.99),
            quantile_us(1.0),
        );
    }
}
