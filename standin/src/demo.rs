//! The main job in one process: a patch, a maintenance wave and bursts, all
//! under load, with the promises checked at the end.

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
const SERVICE: Duration = Duration::from_millis(100);
/// Slots of a worker.
const SLOTS: f64 = 8.0;
/// Share of what a pool holds that its mean load asks for.
const MEAN_LOAD: f64 = 0.3;
/// Load of a burst and of the lull after it, as multiples of the mean.
const BURST: f64 = 5.0;
const LULL: f64 = 0.05;
/// Length of a burst and of the lull after it.
const BURST_LENGTH: Duration = Duration::from_millis(2500);
const LULL_LENGTH: Duration = Duration::from_millis(500);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(500);
/// Length of one stretch of steady load.
const STRETCH: Duration = Duration::from_millis(500);
/// Time a reboot takes.
const REBOOT: Duration = Duration::from_millis(500);
/// Longest wait for a step of the demo.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// Time between two samples of the records.
const SAMPLE: Duration = Duration::from_millis(20);

/// What the samples of the records show.
#[derive(Clone, Debug, Default)]
struct FleetSamples {
    /// VM-seconds out of service.
    buffer_vm_s: f64,
    /// VMs that changed pool.
    moves: u64,
    /// Samples in which a pool had more planned stops than its budget.
    over_budget: u64,
    /// Samples in which a VM stood in more than one record.
    double_homes: u64,
    pools: BTreeMap<String, String>,
}

/// Runs the demo; true if every promise was kept.
///
/// # Errors
///
/// Fails if a step does not come to its end.
pub async fn run(shape: &DeploymentShape) -> io::Result<bool> {
    println!("step=start deployment={}", shape.name);
    let deployment = deployment::start(shape, SERVICE).await?;
    let state = deployment.platform.state.clone();
    state.set_faults(PlatformFaults {
        reboot_ms: REBOOT.as_millis() as u64,
        ..PlatformFaults::default()
    });
    submit(&deployment, 0, shape.first_patch(), "pools").await?;
    wait_in_force(&deployment, shape, 1).await?;

    let (stop, stopped) = watch::channel(false);
    let sampler = tokio::spawn(sample(state.clone(), shape.budgets(), stopped.clone()));
    let steady = tokio::spawn(steady_load(deployment.entries(), *shape, stopped));
    sleep(Duration::from_secs(1)).await;
    let patch_time = patch_under_load(&deployment, shape).await?;
    let wave_time = wave_under_load(&deployment, shape).await?;
    stop.send_replace(true);
    let mut records = steady.await.map_err(io::Error::other)?;
    let samples = sampler.await.map_err(io::Error::other)?;

    let bursts = bursts(&deployment, shape).await;
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
    Ok(!summary.is_broken() && samples.over_budget + samples.double_homes == 0)
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

    /// Requests a second that a pool holds.
    fn pool_rate(workers: usize) -> f64 {
        workers as f64 * SLOTS / SERVICE.as_secs_f64()
    }
}

async fn submit(
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
    let answer = call(peer, request).await.map_err(io::Error::other)?;
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Err(io::Error::other(format!("patch {reason}: {text}")))
}

async fn status(peer: SocketAddr) -> Option<Value> {
    let request = CallRequest {
        path: "/v1/status",
        ..CallRequest::default()
    };
    let answer = call(peer, request).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Waits until a version is in force at every entry VM and every VM is known.
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
        let records = fleets(&deployment.platform.state, shape);
        let known: usize = records.iter().map(|record| record.vms.len()).sum();
        if ready == deployment.daemons.len() && known == vms {
            return Ok(start.elapsed());
        }
        if start.elapsed() > STEP_LIMIT {
            let problem = format!("version {version}: {ready} entry VMs, {known} VMs ready");
            return Err(io::Error::other(problem));
        }
        sleep(SAMPLE).await;
    }
}

fn fleets(state: &PlatformState, shape: &DeploymentShape) -> Vec<FleetWire> {
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
    submit(deployment, 1, patch, "longer queue").await?;
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
    submit(deployment, 2, json!({"wave": wave}), "maintenance").await?;
    let mut printed = 0;
    loop {
        let records = fleets(&deployment.platform.state, shape);
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
            let problem = format!("wave: {done} of {total} VMs maintained");
            return Err(io::Error::other(problem));
        }
        sleep(SAMPLE).await;
    }
}

/// Puts the mean load on all pools until told to stop.
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
                records.push(load_pool(&entries, pool, rate, STRETCH, prefix).await);
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

/// Lets each queue in turn ask for five times its mean, then for a twentieth.
async fn bursts(deployment: &RunningDeployment, shape: &DeploymentShape) -> Vec<LoadRecord> {
    let entries = deployment.entries();
    let mut records = Vec::new();
    for (pool, workers) in shape.pools {
        let rate = DeploymentShape::pool_rate(workers) * MEAN_LOAD;
        let prefix = format!("{pool}-burst");
        let burst = load_pool(&entries, pool, rate * BURST, BURST_LENGTH, prefix).await;
        let prefix = format!("{pool}-lull");
        let lull = load_pool(&entries, pool, rate * LULL, LULL_LENGTH, prefix).await;
        let goodput = burst_goodput(std::slice::from_ref(&burst));
        println!("step=burst pool={pool} goodput={goodput:.3}");
        records.extend([burst, lull]);
    }
    records
}

/// Answered requests of bursts as a share of what the pools hold from the start
/// of the burst to the last deadline.
fn burst_goodput(records: &[LoadRecord]) -> f64 {
    let span = (BURST_LENGTH + DEADLINE).as_secs_f64() / BURST_LENGTH.as_secs_f64();
    let mut answered = 0.0;
    let mut held = 0.0;
    for record in records.iter().filter(|record| record.is_burst()) {
        answered += record.latency.len() as f64;
        held += record.ends.len() as f64 / (BURST * MEAN_LOAD) * span;
    }
    answered / held
}

impl LoadRecord {
    fn is_burst(&self) -> bool {
        self.ends
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

/// Samples the records past all faults until told to stop.
async fn sample(
    state: Arc<PlatformState>,
    budgets: BTreeMap<String, usize>,
    stopped: watch::Receiver<bool>,
) -> FleetSamples {
    let mut samples = FleetSamples::default();
    let mut last = Instant::now();
    while !*stopped.borrow() {
        samples.take(&state, &budgets, last.elapsed());
        last = Instant::now();
        sleep(SAMPLE).await;
    }
    samples
}

impl FleetSamples {
    fn take(
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
                let out = !matches!(record.state, StateWire::Serving);
                self.buffer_vm_s += f64::from(u8::from(out)) * elapsed.as_secs_f64();
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
