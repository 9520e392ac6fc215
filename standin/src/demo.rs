//! Demo in one process: a patch, a maintenance wave and bursts under load. At the end it
//! checks that no request was lost, run twice or cut, that no budget was exceeded and that
//! no VM was in two fleet records at the same time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::fleet::wire::FleetWire;
use chicorygauge::fleet::wire::LedgerWire;
use chicorygauge::fleet::wire::StateWire;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use chicorygauge::service::unix_ms;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::call as load;
use crate::call::LoadRecord;
use crate::call::LoadSettings;
use crate::call::LoadSummary;
use crate::deployment;
use crate::deployment::DeploymentShape;
use crate::deployment::RunningDeployment;
use crate::platform::PlatformFaults;
use crate::platform::PlatformState;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Slots of a worker: requests that it runs at the same time.
const SLOTS: f64 = 8.0;
/// Mean load of a pool as a share of its capacity.
const MEAN_LOAD: f64 = 0.3;
/// Load of a burst and of the lull after it, as multiples of the mean.
const BURST_FACTOR: f64 = 5.0;
const LULL_FACTOR: f64 = 0.05;
/// Length of a burst and of the lull after it.
const BURST_LENGTH: Duration = Duration::from_millis(2500);
const LULL_LENGTH: Duration = Duration::from_millis(500);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(500);
/// Length of one recorded segment of the steady load.
const SEGMENT_LENGTH: Duration = Duration::from_millis(500);
/// Duration of a reboot.
const REBOOT_TIME: Duration = Duration::from_millis(500);
/// Timeout of a step of the demo.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// Interval between two samples of the fleet records and ledgers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Measurements from samples of the fleet records and ledgers.
#[derive(Clone, Debug, Default)]
struct FleetSamples {
    /// Time that VMs spent out of service, in VM-seconds.
    buffer_vm_s: f64,
    /// Number of changes of a VM's pool.
    moves: u64,
    /// Number of times that a sampled ledger had more rows than its pool's budget.
    over_budget: u64,
    /// Number of times that a sample found a VM in more than one fleet record.
    double_homes: u64,
    /// Last sampled pool, by VM.
    pools: BTreeMap<String, String>,
}

/// Runs the demo; true if there was no violation.
///
/// # Errors
///
/// Fails if the deployment does not start, a patch is rejected or a step times out.
pub async fn run(shape: &DeploymentShape) -> io::Result<bool> {
    println!("step=start deployment={}", shape.name);
    let deployment = deployment::start(shape, SERVICE_TIME).await?;
    let state = deployment.platform.state.clone();
    state.set_faults(PlatformFaults {
        reboot_ms: REBOOT_TIME.as_millis() as u64,
        ..PlatformFaults::default()
    });
    submit_patch(&deployment, 0, shape.first_patch(), "pools").await?;
    wait_in_force(&deployment, shape, 1).await?;

    let (stop, stopped) = watch::channel(false);
    let sampler = tokio::spawn(sample_records(
        state.clone(),
        shape.budgets(),
        stopped.clone(),
    ));
    let steady = tokio::spawn(steady_load(deployment.entries(), *shape, stopped));
    sleep(Duration::from_secs(1)).await;
    let patch_time = patch_under_load(&deployment, shape).await?;
    let wave_time = wave_under_load(&deployment, shape).await?;
    stop.send_replace(true);
    let mut records = steady.await.map_err(io::Error::other)?;
    let samples = sampler.await.map_err(io::Error::other)?;

    let bursts = run_bursts(&deployment, shape).await;
    let goodput = burst_goodput(&bursts);
    records.extend(bursts);
    let summary = summarize(&deployment, &records);
    let over_slots: u64 = deployment
        .records()
        .iter()
        .map(|record| record.over_slots)
        .sum();
    deployment.stop().await;
    println!(
        "step=measures buffer_vm_s={:.1} rollout_patch_ms={} rollout_wave_ms={} moves={} \
         burst_goodput={goodput:.3} over_budget={} double_homes={} over_slots={over_slots}",
        samples.buffer_vm_s,
        patch_time.as_millis(),
        wave_time.as_millis(),
        samples.moves,
        samples.over_budget,
        samples.double_homes,
    );
    println!("{summary}");
    Ok(!summary.has_violations() && samples.over_budget + samples.double_homes == 0)
}

impl DeploymentShape {
    fn budgets(&self) -> BTreeMap<String, usize> {
        let document = self.first_patch();
        let pools = document["pools"].as_object().into_iter().flatten();
        let budget = |pool: &Value| pool["budget"].as_u64().unwrap_or(0) as usize;
        pools
            .map(|(name, pool)| (name.clone(), budget(pool)))
            .collect()
    }

    /// Returns the capacity of a pool, in requests per second.
    fn pool_rate(workers: usize) -> f64 {
        workers as f64 * SLOTS / SERVICE_TIME.as_secs_f64()
    }
}

async fn submit_patch(
    deployment: &RunningDeployment,
    base: u64,
    patch: Value,
    reason: &str,
) -> io::Result<()> {
    let peer = deployment.controls()[0];
    let body = json!({
        "base": base, "patch": patch, "author": "demo", "reason": reason,
        "patch_id": format!("{:032x}", rand::random::<u128>()),
    });
    let request = CallRequest {
        method: Method::POST,
        path: "/v1/config/patch",
        content_type: "application/json",
        body: Bytes::from(body.to_string()),
        limit: Duration::from_secs(10),
        ..CallRequest::default()
    };
    let response = call(peer, request).await.map_err(io::Error::other)?;
    if response.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    Err(io::Error::other(format!(
        "patch \"{reason}\" was rejected by {peer}: {text}"
    )))
}

async fn status(peer: SocketAddr) -> Option<Value> {
    let request = CallRequest {
        path: "/v1/status",
        ..CallRequest::default()
    };
    let response = call(peer, request).await.ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Waits until a configuration version is in force at every entry VM and all VMs are in
/// the fleet records; returns how long that took.
async fn wait_in_force(
    deployment: &RunningDeployment,
    shape: &DeploymentShape,
    version: u64,
) -> io::Result<Duration> {
    let start = Instant::now();
    let vms: usize = shape.pools.iter().map(|(_, workers)| workers).sum();
    loop {
        let mut ready = 0;
        for peer in deployment.controls() {
            let status = status(peer).await;
            let status = status.filter(|status| status["config_version"].as_u64() >= Some(version));
            ready += usize::from(status.is_some_and(|status| {
                status["vms"].as_u64() > Some(0) && status["sharing"].as_u64() > Some(0)
            }));
        }
        let records = fleet_records(&deployment.platform.state, shape);
        let known: usize = records.iter().map(|record| record.vms.len()).sum();
        if ready == deployment.daemons.len() && known == vms {
            return Ok(start.elapsed());
        }
        if start.elapsed() > STEP_LIMIT {
            let problem = format!(
                "timed out waiting for version {version}: {ready} entry VMs ready, \
                 {known} of {vms} VMs known"
            );
            return Err(io::Error::other(problem));
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

fn fleet_records(state: &PlatformState, shape: &DeploymentShape) -> Vec<FleetWire> {
    let values = shape.dcs.iter();
    let values = values.filter_map(|(dc, _)| state.peek(&format!("fleet/{dc}")));
    values
        .filter_map(|value| serde_json::from_slice(&value).ok())
        .collect()
}

async fn patch_under_load(
    deployment: &RunningDeployment,
    shape: &DeploymentShape,
) -> io::Result<Duration> {
    let pool = shape.pools[0].0;
    let patch = json!({"pools": {pool: {"queue_limit": 2000}}});
    submit_patch(deployment, 1, patch, "longer queue").await?;
    let time = wait_in_force(deployment, shape, 2).await?;
    println!("step=patch in_force_ms={}", time.as_millis());
    Ok(time)
}

async fn wave_under_load(
    deployment: &RunningDeployment,
    shape: &DeploymentShape,
) -> io::Result<Duration> {
    let start = Instant::now();
    let started_ms = unix_ms();
    let wave = json!({"id": "demo", "running": true, "started_ms": started_ms});
    submit_patch(deployment, 2, json!({"wave": wave}), "maintenance").await?;
    let mut printed = 0;
    loop {
        let records = fleet_records(&deployment.platform.state, shape);
        let vms = records.iter().flat_map(|record| record.vms.values());
        let (mut total, mut done) = (0, 0);
        for vm in vms {
            total += 1;
            let serving = matches!(vm.state, StateWire::Serving);
            done += usize::from(serving && vm.maintained_ms >= started_ms);
        }
        if done >= printed + 10 || done == total {
            printed = done;
            println!("step=wave maintained={done} of={total}");
        }
        if done == total {
            return Ok(start.elapsed());
        }
        if start.elapsed() > STEP_LIMIT {
            let problem =
                format!("timed out waiting for the wave: {done} of {total} VMs maintained");
            return Err(io::Error::other(problem));
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Sends the mean load to all pools until `stopped` is true.
async fn steady_load(
    entries: Vec<SocketAddr>,
    shape: DeploymentShape,
    stopped: watch::Receiver<bool>,
) -> Vec<LoadRecord> {
    let mut pools = JoinSet::new();
    for (pool, workers) in shape.pools {
        let (entries, stopped) = (entries.clone(), stopped.clone());
        pools.spawn(async move {
            let mut records = Vec::new();
            while !*stopped.borrow() {
                let rate = DeploymentShape::pool_rate(workers) * MEAN_LOAD;
                let prefix = format!("{pool}-steady-{}", records.len());
                records.push(load_pool(&entries, pool, rate, SEGMENT_LENGTH, prefix).await);
            }
            records
        });
    }
    pools.join_all().await.into_iter().flatten().collect()
}

async fn load_pool(
    entries: &[SocketAddr],
    pool: &str,
    rate: f64,
    length: Duration,
    prefix: String,
) -> LoadRecord {
    let settings = LoadSettings {
        entries: entries.to_vec(),
        pool: pool.to_owned(),
        rate,
        length,
        deadline: DEADLINE,
        prefix,
        ..LoadSettings::default()
    };
    load::run(settings).await
}

/// Sends to each pool in turn a burst of five times its mean load, then a lull of a
/// twentieth of it.
async fn run_bursts(deployment: &RunningDeployment, shape: &DeploymentShape) -> Vec<LoadRecord> {
    let entries = deployment.entries();
    let mut records = Vec::new();
    for (pool, workers) in shape.pools {
        let rate = DeploymentShape::pool_rate(workers) * MEAN_LOAD;
        let prefix = format!("{pool}-burst");
        let burst = load_pool(&entries, pool, rate * BURST_FACTOR, BURST_LENGTH, prefix).await;
        let prefix = format!("{pool}-lull");
        let lull = load_pool(&entries, pool, rate * LULL_FACTOR, LULL_LENGTH, prefix).await;
        let goodput = burst_goodput(std::slice::from_ref(&burst));
        println!("step=burst pool={pool} goodput={goodput:.3}");
        records.extend([burst, lull]);
    }
    records
}

/// Returns the answered requests of bursts as a share of the pools' capacity from the
/// start of each burst to its last deadline.
fn burst_goodput(records: &[LoadRecord]) -> f64 {
    let span = (BURST_LENGTH + DEADLINE).as_secs_f64() / BURST_LENGTH.as_secs_f64();
    let mut answered = 0.0;
    let mut capacity = 0.0;
    for record in records.iter().filter(|record| record.is_burst()) {
        answered += record.latency.len() as f64;
        capacity += record.outcomes.len() as f64 / (BURST_FACTOR * MEAN_LOAD) * span;
    }
    answered / capacity
}

impl LoadRecord {
    fn is_burst(&self) -> bool {
        self.outcomes
            .keys()
            .next()
            .is_some_and(|id| id.contains("-burst-"))
    }
}

fn summarize(deployment: &RunningDeployment, records: &[LoadRecord]) -> LoadSummary {
    let backends = deployment.records();
    let mut summary = LoadSummary {
        cut: backends.iter().map(|backend| backend.cut).sum(),
        ..LoadSummary::default()
    };
    for record in records {
        let mut part = load::compare(record, &backends);
        part.cut -= backends.iter().map(|backend| backend.cut).sum::<u64>();
        summary.merge(&part);
    }
    summary
}

/// Samples the stored records directly, unaffected by faults, until `stopped` is true.
async fn sample_records(
    state: Arc<PlatformState>,
    budgets: BTreeMap<String, usize>,
    stopped: watch::Receiver<bool>,
) -> FleetSamples {
    let mut samples = FleetSamples::default();
    let mut last = Instant::now();
    while !*stopped.borrow() {
        samples.add_sample(&state, &budgets, last.elapsed());
        last = Instant::now();
        sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

impl FleetSamples {
    fn add_sample(
        &mut self,
        state: &PlatformState,
        budgets: &BTreeMap<String, usize>,
        elapsed: Duration,
    ) {
        let mut seen = BTreeSet::new();
        for (_, value) in state.peek_all("fleet/") {
            let Ok(record) = serde_json::from_slice::<FleetWire>(&value) else {
                continue;
            };
            for (vm, record) in record.vms {
                self.double_homes += u64::from(!seen.insert(vm.clone()));
                let out_of_service = !matches!(record.state, StateWire::Serving);
                self.buffer_vm_s += f64::from(u8::from(out_of_service)) * elapsed.as_secs_f64();
                let old = self.pools.insert(vm, record.pool.clone());
                self.moves += u64::from(old.is_some_and(|old| old != record.pool));
            }
        }
        for (key, value) in state.peek_all("ledger/") {
            let Ok(ledger) = serde_json::from_slice::<LedgerWire>(&value) else {
                continue;
            };
            let pool = key.trim_start_matches("ledger/");
            let budget = budgets.get(pool).copied().unwrap_or(0);
            self.over_budget += u64::from(ledger.rows.len() > budget);
        }
    }
}
