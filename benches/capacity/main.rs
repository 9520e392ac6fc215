//! Measures the figures of docs/CAPACITY.md and prints its tables:
//! `cargo bench --bench capacity`. `-- decisions` measures only the decisions,
//! `-- fleet` only the daemons by number of VMs.
//!
//! Every value is measured at three sizes or more. A line is fitted to the points
//! and evaluated at the planned size: 7,100 workers, 133 pools, 24 data centres.

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

use daemons::BenchCluster;
use daemons::ClusterPlan;
use daemons::DaemonUsage;
use daemons::ENTRIES;
use fit::report;

const PLANNED_DCS: f64 = 24.0;
const PLANNED_VMS: f64 = 7100.0;
const CHANGES_PER_DAY: f64 = 24_000.0;
const DAY_S: f64 = 86_400.0;
/// Length of a measured interval.
const SPAN: Duration = Duration::from_secs(15);
/// Wait before a measurement, until the traffic of a start or change has ended.
const SETTLE: Duration = Duration::from_secs(6);
/// Changes submitted for each measurement of a change.
const CHANGES: usize = 10;
/// Wait after the last change, until all of its writes have been sent.
const CHANGE_SETTLE: Duration = Duration::from_secs(2);
/// Duration of a reboot that outlasts the measured interval, in milliseconds.
const LONG_REBOOT_MS: u64 = 120_000;
const OUTAGE: Duration = Duration::from_secs(15);
/// Length of the interval that is measured after an outage.
const AFTER_OUTAGE_SPAN: Duration = Duration::from_secs(10);
/// VMs of each data centre in the measurements by number of data centres.
const DC_VMS: usize = 12;

/// Points of (size, value) by row name.
type SizePoints = BTreeMap<String, Vec<(f64, f64)>>;

fn main() {
    let has_arg = |part: &str| std::env::args().any(|arg| arg == part);
    println!(
        "{:<34} {:<46} {:>10}  {:>9}   {:>5} {:>10}",
        "measure", "points x:value", "base", "slope", "resid", "at size"
    );
    if !has_arg("fleet") {
        decisions::measure();
    }
    if has_arg("decisions") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        if !has_arg("fleet") {
            measure_by_dcs().await;
        }
        measure_by_vms().await;
    });
}

/// Configuration of three pools, each with a third of every data centre's VMs.
fn make_document(dcs: usize) -> Value {
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

async fn measure_by_dcs() {
    let mut idle = SizePoints::new();
    let mut change = SizePoints::new();
    let mut stop = SizePoints::new();
    let mut after = SizePoints::new();
    let mut usage_points = SizePoints::new();
    let mut in_force = Vec::new();
    for dcs in 1..=3 {
        let size = dcs as f64;
        let mut cluster = BenchCluster::start(ClusterPlan {
            dcs,
            vms: DC_VMS,
            document: make_document(dcs),
        })
        .await;
        tokio::time::sleep(SETTLE).await;
        let (counts, usages) = cluster.measure(SPAN).await;
        let rates = scale_counts(&counts, 1.0 / SPAN.as_secs_f64());
        add_counts(&mut idle, size, &rates);
        add_usage(&mut usage_points, "idle", size, &usages);
        let (times, counts) = measure_changes(&mut cluster, &rates).await;
        in_force.push((size, times));
        add_counts(&mut change, size, &counts);
        let counts = measure_wave(&mut cluster, &rates).await;
        add_counts(
            &mut stop,
            size,
            &scale_counts(&counts, 1.0 / (size * DC_VMS as f64)),
        );
        cluster.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        });
        tokio::time::sleep(OUTAGE).await;
        cluster.set_faults(PlatformFaults::default());
        let (counts, _) = cluster.measure(AFTER_OUTAGE_SPAN).await;
        let rates = scale_counts(&counts, 1.0 / AFTER_OUTAGE_SPAN.as_secs_f64());
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
    print_points(&usage_points, "");
    println!("\nchange of configuration in force at every entry VM");
    report("time, slowest of 10", "ms", &in_force, PLANNED_DCS);
    print_platform(&idle, &change, &stop, &after);
}

/// Submits [`CHANGES`] changes. Returns the time of the slowest, in milliseconds, and
/// the mean number of platform calls per change, without those of an idle system.
async fn measure_changes(
    cluster: &mut BenchCluster,
    idle: &BTreeMap<String, f64>,
) -> (f64, BTreeMap<String, f64>) {
    let before = cluster.platform.state.counts();
    let start = tokio::time::Instant::now();
    let mut longest = Duration::ZERO;
    for limit in 0..CHANGES {
        let patch = json!({"pools": {"pool-0": {"queue_limit": 512 + limit}}});
        longest = longest.max(cluster.patch(patch).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let counts = daemons::difference(&cluster.platform.state.counts(), &before);
    let counts = subtract_idle(&counts, idle, start.elapsed());
    let counts = counts
        .into_iter()
        .map(|(kind, count)| (kind, count / CHANGES as f64));
    (longest.as_secs_f64() * 1000.0, counts.collect())
}

/// Runs a wave over every VM; returns its platform calls, without those of an idle
/// system.
async fn measure_wave(cluster: &mut BenchCluster, idle: &BTreeMap<String, f64>) -> CallCounts {
    cluster.set_faults(PlatformFaults {
        reboot_ms: 500,
        ..PlatformFaults::default()
    });
    let since_ms = unix_ms();
    let before = cluster.platform.state.counts();
    let start = tokio::time::Instant::now();
    let patch = json!({"wave": {"id": "w-1", "running": true, "started_ms": since_ms}});
    cluster.patch(patch).await;
    cluster.wait_for_maintenance(since_ms).await;
    let counts = daemons::difference(&cluster.platform.state.counts(), &before);
    let counts = subtract_idle(&counts, idle, start.elapsed());
    counts
        .into_iter()
        .map(|(kind, count)| (kind, count.round() as u64))
        .collect()
}

/// Measures memory, CPU time and platform traffic of an entry VM by fleet size.
async fn measure_by_vms() {
    let mut usage_points = SizePoints::new();
    for shape in decisions::fleet_shapes() {
        let fleet = support::make_fleet(&shape, MeasureWeights::default());
        let vms = fleet.dcs[0].vms.len();
        let mut cluster = BenchCluster::start(ClusterPlan {
            dcs: 1,
            vms,
            document: decisions::make_document(&fleet.config),
        })
        .await;
        // The head key holds the last patch, so far the whole document. A small patch
        // replaces it, so that the measurement does not include it.
        cluster
            .patch(json!({"pools": {"pool-001": {"queue_limit": 500}}}))
            .await;
        tokio::time::sleep(SETTLE).await;
        let (_, usages) = cluster.measure(SPAN).await;
        let size = fleet.dcs.iter().map(|dc| dc.vms.len()).sum::<usize>() as f64;
        add_usage(&mut usage_points, "idle", size, &usages);
        let (cpu_ms, traffic_kb) = change_cost(&mut cluster).await;
        for (name, value) in [
            ("a change: CPU, ms", cpu_ms),
            ("a change: platform traffic, KB", traffic_kb),
        ] {
            let points = usage_points.entry(name.to_owned()).or_default();
            points.push((size, value));
        }
        cluster.set_faults(PlatformFaults {
            reboot_ms: LONG_REBOOT_MS,
            ..PlatformFaults::default()
        });
        let wave = json!({"id": "w-1", "running": true, "started_ms": unix_ms()});
        cluster
            .patch(json!({"wave": wave, "weights": {"buffer": 0.0}}))
            .await;
        tokio::time::sleep(SETTLE).await;
        let (_, usages) = cluster.measure(SPAN).await;
        add_usage(&mut usage_points, "budgets used up", size, &usages);
    }
    println!("\none entry VM, x = VMs of the fleet, about 296 in its data centre");
    for (name, points) in &usage_points {
        report(name, "", points, PLANNED_VMS);
    }
}

/// Returns the mean CPU time, in milliseconds, and platform traffic, in KB, per change;
/// each is the maximum over all daemons.
async fn change_cost(cluster: &mut BenchCluster) -> (f64, f64) {
    let usages = |cluster: &BenchCluster| -> Vec<DaemonUsage> {
        let daemons = cluster.daemons.iter();
        daemons.map(daemons::RunningDaemon::usage).collect()
    };
    let before = usages(cluster);
    for limit in 0..CHANGES {
        let patch = json!({"pools": {"pool-001": {"queue_limit": 512 + limit}}});
        cluster.patch(patch).await;
    }
    tokio::time::sleep(CHANGE_SETTLE).await;
    let after = usages(cluster);
    let largest = |value: fn(&DaemonUsage) -> f64| {
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

fn add_usage(points: &mut SizePoints, phase: &str, size: f64, usages: &[DaemonUsage]) {
    let span = SPAN.as_secs_f64();
    let largest = |value: fn(&DaemonUsage) -> f64| usages.iter().map(value).fold(0.0, f64::max);
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
        let name = format!("{phase}: {name}");
        points.entry(name).or_default().push((size, value));
    }
}

fn scale_counts(counts: &CallCounts, factor: f64) -> BTreeMap<String, f64> {
    let counts = counts.iter();
    counts
        .map(|(kind, count)| (kind.clone(), *count as f64 * factor))
        .collect()
}

/// Subtracts the calls that an idle system makes in `span`; never below zero.
fn subtract_idle(
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

/// Prints a row for each set of points; returns the values at the planned number of
/// data centres.
fn print_points(points: &SizePoints, unit: &str) -> BTreeMap<String, f64> {
    let rows = points.iter();
    rows.map(|(name, points)| (name.clone(), report(name, unit, points, PLANNED_DCS)))
        .collect()
}

/// Prints the call rates at the platform for the planned size.
fn print_platform(
    idle: &BTreeMap<String, f64>,
    change: &BTreeMap<String, f64>,
    stop: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
) {
    let changes = CHANGES_PER_DAY / DAY_S;
    // A wave maintains every VM within one day, every three weeks.
    let stops = PLANNED_VMS / DAY_S;
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
        let value_of = |values: &BTreeMap<String, f64>| values.get(kind).copied().unwrap_or(0.0);
        let row = [
            value_of(idle),
            value_of(change) * changes,
            value_of(stop) * stops,
        ];
        let row = [row[0], row[1], row[2], row.iter().sum(), value_of(after)];
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
