//! Measures what docs/CAPACITY.md states and prints its tables:
//! `cargo bench --bench capacity`; `-- decisions` measures the decisions alone and
//! `-- fleet` daemons by the size of the fleet alone.
//!
//! Every value is measured at three sizes or more, fitted by a line and read off
//! at the size to come: 7,100 workers, 133 pools, 24 data centres.

mod daemons;
mod decisions;
mod fit;
#[path = "../shapes/mod.rs"]
mod shapes;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chicorygauge::config::MeasureWeights;
use chicorygauge::service::unix_ms;
use serde_json::Value;
use serde_json::json;
use standin::platform::CallCounts;
use standin::platform::PlatformFaults;

use daemons::DaemonUse;
use daemons::ENTRIES;
use daemons::RunningSite;
use daemons::StartPlan;
use fit::report;

const DCS: f64 = 24.0;
const VMS: f64 = 7100.0;
const CHANGES_A_DAY: f64 = 24_000.0;
const DAY_S: f64 = 86_400.0;
/// Length of a measured span.
const SPAN: Duration = Duration::from_secs(15);
/// Time for start-up traffic to end.
const SETTLE: Duration = Duration::from_secs(6);
const CHANGES: usize = 10;
/// Time after the last change until its writes have been made.
const CHANGE_SETTLE: Duration = Duration::from_secs(2);
/// Time of a reboot that outlasts the measured span, in milliseconds.
const LONG_REBOOT_MS: u64 = 120_000;
const OUTAGE: Duration = Duration::from_secs(15);
const AFTER_OUTAGE: Duration = Duration::from_secs(10);
/// VMs of a data centre in the runs with several of them.
const DC_VMS: usize = 12;

type SizePoints = BTreeMap<String, Vec<(f64, f64)>>;

fn main() {
    let asked = |part: &str| std::env::args().any(|arg| arg == part);
    println!(
        "{:<34} {:<46} {:>10}  {:>9}   {:>5} {:>10}",
        "measure", "points x:value", "base", "slope", "resid", "at size"
    );
    if !asked("fleet") {
        decisions::measure();
    }
    if asked("decisions") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        if !asked("fleet") {
            measure_dcs().await;
        }
        measure_vms().await;
    });
}

/// Pools over all data centres, each with a third of every data centre's VMs.
fn document(dcs: usize) -> Value {
    let mut pools = serde_json::Map::new();
    for pool in 0..3 {
        let vms = (0..dcs).flat_map(|dc| {
            let vms = (0..DC_VMS).filter(move |vm| vm % 3 == pool);
            vms.map(move |vm| format!("vm-{dc:02}-{vm:04}"))
        });
        let vms: Vec<_> = vms.collect();
        let budget = dcs;
        pools.insert(
            format!("pool-{pool}"),
            json!({"budget": budget, "vms": vms}),
        );
    }
    json!({ "pools": pools, "weights": {"buffer": 0.0} })
}

async fn measure_dcs() {
    let mut idle = SizePoints::new();
    let mut change = SizePoints::new();
    let mut stop = SizePoints::new();
    let mut after = SizePoints::new();
    let mut nodes = SizePoints::new();
    let mut in_force = Vec::new();
    for dcs in 1..=3 {
        let size = dcs as f64;
        let mut site = RunningSite::start(StartPlan {
            dcs,
            vms: DC_VMS,
            document: document(dcs),
        })
        .await;
        tokio::time::sleep(SETTLE).await;
        let (counts, uses) = site.span(SPAN).await;
        let rates = scaled(&counts, 1.0 / SPAN.as_secs_f64());
        add_counts(&mut idle, size, &rates);
        add_uses(&mut nodes, "idle", size, &uses);
        let (times, counts) = changes(&mut site, &rates).await;
        in_force.push((size, times));
        add_counts(&mut change, size, &counts);
        let counts = wave(&mut site, &rates).await;
        add_counts(
            &mut stop,
            size,
            &scaled(&counts, 1.0 / (size * DC_VMS as f64)),
        );
        site.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        });
        tokio::time::sleep(OUTAGE).await;
        site.set_faults(PlatformFaults::default());
        let (counts, _) = site.span(AFTER_OUTAGE).await;
        let rates = scaled(&counts, 1.0 / AFTER_OUTAGE.as_secs_f64());
        add_counts(&mut after, size, &rates);
    }
    println!("\nplatform, idle, calls/s, x = data centres with {ENTRIES} entry VMs");
    let idle = print_points(&idle, "1/s");
    println!("\nplatform, calls of one change of configuration beyond idle");
    let change = print_points(&change, "");
    println!("\nplatform, calls of one planned stop beyond idle");
    let stop = print_points(&stop, "");
    println!("\nplatform, calls/s in the first 10 s after an outage");
    let after = print_points(&after, "1/s");
    println!("\none entry VM, idle, {DC_VMS} VMs a data centre");
    print_points(&nodes, "");
    println!("\nchange of configuration in force at every entry VM");
    report("time, slowest of 10", "ms", &in_force, DCS);
    print_platform(&idle, &change, &stop, &after);
}

/// Submits changes; returns the longest time and the calls of one change.
async fn changes(
    site: &mut RunningSite,
    idle: &BTreeMap<String, f64>,
) -> (f64, BTreeMap<String, f64>) {
    let before = site.platform.state.counts();
    let start = tokio::time::Instant::now();
    let mut longest = Duration::ZERO;
    for limit in 0..CHANGES {
        let patch = json!({"pools": {"pool-0": {"queue_limit": 512 + limit}}});
        longest = longest.max(site.patch(patch).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let counts = daemons::difference(&site.platform.state.counts(), &before);
    let counts = beyond(&counts, idle, start.elapsed());
    let counts = counts
        .into_iter()
        .map(|(kind, count)| (kind, count / CHANGES as f64));
    (longest.as_secs_f64() * 1000.0, counts.collect())
}

/// Maintains every VM; returns the calls beyond the idle ones.
async fn wave(site: &mut RunningSite, idle: &BTreeMap<String, f64>) -> CallCounts {
    site.set_faults(PlatformFaults {
        reboot_ms: 500,
        ..PlatformFaults::default()
    });
    let since_ms = unix_ms();
    let before = site.platform.state.counts();
    let start = tokio::time::Instant::now();
    let patch = json!({"wave": {"id": "w-1", "running": true, "started_ms": since_ms}});
    site.patch(patch).await;
    site.wait_maintained(since_ms).await;
    let counts = daemons::difference(&site.platform.state.counts(), &before);
    let counts = beyond(&counts, idle, start.elapsed());
    counts
        .into_iter()
        .map(|(kind, count)| (kind, count.round() as u64))
        .collect()
}

/// Memory and processor time of an entry VM by the size of the fleet.
async fn measure_vms() {
    let mut nodes = SizePoints::new();
    for shape in decisions::sizes() {
        let fleet = support::make_fleet(&shape, MeasureWeights::default());
        let vms = fleet.dcs[0].vms.len();
        let mut site = RunningSite::start(StartPlan {
            dcs: 1,
            vms,
            document: decisions::document(&fleet.config),
        })
        .await;
        // A small patch, so that the head does not carry the whole document.
        site.patch(json!({"pools": {"pool-001": {"queue_limit": 500}}}))
            .await;
        tokio::time::sleep(SETTLE).await;
        let (_, uses) = site.span(SPAN).await;
        let size = fleet.dcs.iter().map(|dc| dc.vms.len()).sum::<usize>() as f64;
        add_uses(&mut nodes, "idle", size, &uses);
        let (cpu_ms, bytes_kb) = cost_of_changes(&mut site).await;
        for (name, value) in [
            ("a change: CPU, ms", cpu_ms),
            ("a change: platform traffic, KB", bytes_kb),
        ] {
            let points = nodes.entry(name.to_owned()).or_default();
            points.push((size, value));
        }
        site.set_faults(PlatformFaults {
            reboot_ms: LONG_REBOOT_MS,
            ..PlatformFaults::default()
        });
        let wave = json!({"id": "w-1", "running": true, "started_ms": unix_ms()});
        site.patch(json!({"wave": wave, "weights": {"buffer": 0.0}}))
            .await;
        tokio::time::sleep(SETTLE).await;
        let (_, uses) = site.span(SPAN).await;
        add_uses(&mut nodes, "budgets used up", size, &uses);
    }
    println!("\none entry VM, x = VMs of the fleet, about 296 in its data centre");
    for (name, points) in &nodes {
        report(name, "", points, VMS);
    }
}

/// Largest processor time, in milliseconds, and traffic with the platform, in KB,
/// that a change costs a daemon.
async fn cost_of_changes(site: &mut RunningSite) -> (f64, f64) {
    let uses = |site: &RunningSite| -> Vec<DaemonUse> {
        let daemons = site.daemons.iter();
        daemons.map(daemons::RunningDaemon::usage).collect()
    };
    let before = uses(site);
    for limit in 0..CHANGES {
        let patch = json!({"pools": {"pool-001": {"queue_limit": 512 + limit}}});
        site.patch(patch).await;
    }
    tokio::time::sleep(CHANGE_SETTLE).await;
    let after = uses(site);
    let largest = |value: fn(&DaemonUse) -> f64| {
        let spent = after.iter().zip(&before);
        let spent = spent.map(|(after, before)| value(after) - value(before));
        spent.fold(0.0, f64::max) / CHANGES as f64
    };
    let cpu_ms = largest(|usage| usage.cpu_s) * 1000.0;
    (cpu_ms, largest(|usage| usage.platform_bytes) / 1000.0)
}

fn add_counts<'a, V: Into<f64> + Copy + 'a>(
    points: &mut SizePoints,
    size: f64,
    counts: impl IntoIterator<Item = (&'a String, &'a V)>,
) {
    for (kind, count) in counts {
        let count: f64 = (*count).into();
        points.entry(kind.clone()).or_default().push((size, count));
    }
}

fn add_uses(points: &mut SizePoints, what: &str, size: f64, uses: &[DaemonUse]) {
    let span = SPAN.as_secs_f64();
    let largest = |value: fn(&DaemonUse) -> f64| uses.iter().map(value).fold(0.0, f64::max);
    let values = [
        (
            "CPU of a core, %",
            largest(|usage| usage.cpu_s) / span * 100.0,
        ),
        (
            "platform traffic, KB/s",
            largest(|usage| usage.platform_bytes) / span / 1000.0,
        ),
        ("resident memory, MB", largest(|usage| usage.resident_mb)),
    ];
    for (name, value) in values {
        let name = format!("{what}: {name}");
        points.entry(name).or_default().push((size, value));
    }
}

fn scaled(counts: &CallCounts, factor: f64) -> BTreeMap<String, f64> {
    let counts = counts.iter();
    counts
        .map(|(kind, count)| (kind.clone(), *count as f64 * factor))
        .collect()
}

fn beyond(
    counts: &CallCounts,
    idle: &BTreeMap<String, f64>,
    span: Duration,
) -> BTreeMap<String, f64> {
    let counts = counts.iter().map(|(kind, count)| {
        let idle = idle.get(kind).copied().unwrap_or(0.0) * span.as_secs_f64();
        (kind.clone(), (*count as f64 - idle).max(0.0))
    });
    counts.collect()
}

/// Prints lines and returns their values at the size to come.
fn print_points(points: &SizePoints, unit: &str) -> BTreeMap<String, f64> {
    let rows = points.iter();
    rows.map(|(name, points)| (name.clone(), report(name, unit, points, DCS)))
        .collect()
}

/// Prints the calls that the platform takes at the size to come.
fn print_platform(
    idle: &BTreeMap<String, f64>,
    change: &BTreeMap<String, f64>,
    stop: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
) {
    let changes = CHANGES_A_DAY / DAY_S;
    // Every VM once in three weeks, in waves of a day each.
    let stops = VMS / DAY_S;
    let kinds: BTreeSet<_> = [idle, change, stop, after]
        .into_iter()
        .flat_map(BTreeMap::keys)
        .collect();
    println!(
        "\nplatform at 24 data centres, calls/s; a change every {:.1} s, a wave of one day",
        1.0 / changes
    );
    println!(
        "{:<16} {:>9} {:>9} {:>9} {:>9} {:>13}",
        "kind", "idle", "+changes", "+wave", "sum", "after outage"
    );
    let mut total = [0.0; 5];
    for kind in kinds {
        let of = |values: &BTreeMap<String, f64>| values.get(kind).copied().unwrap_or(0.0);
        let row = [of(idle), of(change) * changes, of(stop) * stops];
        let row = [row[0], row[1], row[2], row.iter().sum(), of(after)];
        println!(
            "{kind:<16} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>13.1}",
            row[0], row[1], row[2], row[3], row[4]
        );
        for (total, value) in total.iter_mut().zip(row) {
            *total += value;
        }
    }
    println!(
        "{:<16} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>13.1}",
        "all", total[0], total[1], total[2], total[3], total[4]
    );
}
