//! Places streams of tasks on the size to come: `cargo bench --bench placement`.
//!
//! 7,100 workers of 32 cores and 64 GB in 133 pools, 8,600 accelerators (eight on
//! every seventh worker, one on some others), 62 teams. Each pool is
//! offered more than it holds: one task in twelve needs half a worker or more, one
//! in ten accelerators, one in eight is urgent. Real use is the declared one times
//! a factor between 0.3 and 3; it is reported once all pools have been filled.

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
const RACK_WORKERS: usize = 4;
const CORES: u64 = 32;
const MEMORY_GB: u64 = 64;
const TASKS_PER_WORKER: usize = 9;
const JOB_TASKS: u32 = 12;

#[derive(Default)]
struct FillOutcome {
    placed: usize,
    large_placed: usize,
    large: usize,
    urgent_placed: usize,
    urgent: usize,
    evicted: usize,
    cores: u64,
    accelerators: u32,
    /// Tasks of a job in its fullest rack, beyond an even spread over all racks.
    crowded: usize,
    stops: usize,
    throttles: usize,
    times: Vec<Duration>,
}

fn accelerators(index: usize) -> u32 {
    // Every pool has workers of each kind.
    match (index / POOLS + index % POOLS) % 14 {
        0 | 7 => 8,
        3 => 1,
        _ => 0,
    }
}

fn fleet(order: FitScore) -> PlacementState {
    let mut state = PlacementState::new(order);
    for index in 0..WORKERS {
        let entry = WorkerEntry {
            pool: pool_name(index % POOLS),
            rack: format!("rack-{:04}", index / POOLS / RACK_WORKERS)
                .parse()
                .expect("name"),
            capacity: ResourceAmount {
                cpu_millis: CORES * 1000,
                memory_mb: MEMORY_GB * 1000,
                accelerators: accelerators(index),
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

/// Tasks in the order of their arrival; the same for all ways.
fn tasks() -> Vec<TaskRequest> {
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
    // Jobs arrive mixed: all first tasks, then all second ones, and so on.
    tasks.sort_by_key(|task| task.id.index);
    tasks
}

fn fill(order: FitScore, tasks: &[TaskRequest]) -> FillOutcome {
    let mut state = fleet(order);
    let mut outcome = FillOutcome::default();
    let mut placed: BTreeMap<&TaskId, (VmName, &TaskRequest)> = BTreeMap::new();
    for request in tasks {
        let large = request.need.cpu_millis >= CORES * 500;
        outcome.large += usize::from(large);
        outcome.urgent += usize::from(request.urgent);
        let start = Instant::now();
        let result = state.place(Duration::ZERO, request);
        outcome.times.push(start.elapsed());
        if let PlacementOutcome::Placed { vm, evicted } = result {
            outcome.evicted += evicted.len();
            for id in &evicted {
                placed.remove(id);
            }
            placed.insert(&request.id, (vm, request));
        }
    }
    let mut racks: BTreeMap<&JobId, BTreeMap<usize, usize>> = BTreeMap::new();
    for (id, (vm, request)) in &placed {
        outcome.placed += 1;
        outcome.large_placed += usize::from(request.need.cpu_millis >= CORES * 500);
        outcome.urgent_placed += usize::from(request.urgent);
        outcome.cores += request.need.cpu_millis / 1000;
        outcome.accelerators += request.need.accelerators;
        let rack = vm.as_str()[3..].parse::<usize>().expect("index") / POOLS / RACK_WORKERS;
        *racks.entry(&id.job).or_default().entry(rack).or_default() += 1;
    }
    outcome.crowded = racks
        .values()
        .map(|racks| racks.values().max().expect("a rack") - 1)
        .sum();
    report_use(&mut state, &placed, &mut outcome);
    outcome.times.sort();
    outcome
}

/// Reports use that differs from what was declared, worker by worker.
fn report_use(
    state: &mut PlacementState,
    placed: &BTreeMap<&TaskId, (VmName, &TaskRequest)>,
    outcome: &mut FillOutcome,
) {
    let mut used: BTreeMap<&VmName, ResourceAmount> = BTreeMap::new();
    for (id, (vm, request)) in placed {
        // The factor belongs to the job, whatever way placed it.
        let seed = id.job.name[4..].parse::<u64>().expect("number");
        let factor: f64 = StdRng::seed_from_u64(seed)
            .random_range(-1.2_f64..1.1)
            .exp();
        let real = ResourceAmount {
            cpu_millis: (request.need.cpu_millis as f64 * factor) as u64,
            memory_mb: (request.need.memory_mb as f64 * factor) as u64,
            accelerators: request.need.accelerators,
        };
        let sum = used.entry(vm).or_default();
        *sum = saturating_add(*sum, real);
    }
    for (vm, usage) in used {
        for action in state.record_usage(Duration::from_secs(30), vm, usage) {
            match action {
                ReliefAction::Stop(_) => outcome.stops += 1,
                ReliefAction::Throttle(_) => outcome.throttles += 1,
            }
        }
    }
}

fn worst_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    // The whole range of the best fit: 2,000 for shares, 10,000 an accelerator.
    1_000_000 - best_fit(free, capacity)
}

fn first_fit(_: ResourceAmount, _: ResourceAmount) -> u64 {
    0
}

/// Keeps processor time and memory in proportion.
fn balanced_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    let share = |free: u64, capacity: u64| free * 1000 / capacity.max(1);
    let cpu = share(free.cpu_millis, capacity.cpu_millis);
    let memory = share(free.memory_mb, capacity.memory_mb);
    u64::from(free.accelerators) * 10_000 + cpu.abs_diff(memory)
}

fn main() {
    let tasks = tasks();
    let ways: [(&str, FitScore); 4] = [
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
    let all_accelerators: u32 = (0..WORKERS).map(accelerators).sum();
    for (name, order) in ways {
        let outcome = fill(order, &tasks);
        let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole as f64;
        let time = |share: f64| {
            let index = (outcome.times.len() - 1) as f64 * share;
            outcome.times[index as usize].as_secs_f64() * 1e6
        };
        println!(
            "{name:<13} {:>7} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7} {:>8} {:>7} {:>9} {:>8.1} {:>8.1} {:>8.1}",
            outcome.placed,
            percent(outcome.cores as usize, WORKERS * CORES as usize),
            percent(outcome.accelerators as usize, all_accelerators as usize),
            percent(outcome.large_placed, outcome.large),
            percent(outcome.urgent_placed, outcome.urgent),
            outcome.evicted,
            outcome.crowded,
            outcome.stops,
            outcome.throttles,
            time(0.5),
            time(0.99),
            time(1.0),
        );
    }
}
