//! A data centre whose entry VMs run as processes, with helpers that wait for states
//! and compare records.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::backend::RunningBackend;
use standin::call;
use standin::call::LoadSettings;
use standin::call::LoadSummary;
use standin::platform::RunningPlatform;

use super::DaemonPlan;
use super::DaemonProcess;

/// Pool to which the tests send requests.
pub const POOL: &str = "intake";

/// Returns a configuration with one pool that contains these VMs.
pub fn one_pool(vms: &[&str]) -> Value {
    json!({"pools": {POOL: {"budget": 1, "vms": vms}}})
}

/// Returns plans of entry VMs named `<dc>-e-<number>`, numbered from 1.
pub fn plans(dc: &str, count: usize) -> Vec<DaemonPlan> {
    let names = (1..=count).map(|number| format!("{dc}-e-{number}"));
    names.map(|name| DaemonPlan::new(&name, dc)).collect()
}

/// Starts the first `count` of the planned entry VMs.
pub fn start(plans: &[DaemonPlan], count: usize, platform: &RunningPlatform) -> Vec<DaemonProcess> {
    let address = platform.server.address;
    let daemons = plans.iter().take(count);
    let daemons = daemons.map(|plan| DaemonProcess::start(plan, plans, address));
    daemons.collect()
}

/// Submits a patch and retries until it is accepted.
pub async fn patch(daemon: &DaemonProcess, base: u64, patch: Value) {
    super::eventually("patch accepted", || async {
        let answer = super::patch(daemon.control, base, patch.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

/// Waits until `holds` returns true for the status of a daemon.
pub async fn wait_for_status(what: &str, daemon: &DaemonProcess, holds: impl Fn(&Value) -> bool) {
    super::eventually(&format!("{what} at {}", daemon.name), || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| holds(&status))
    })
    .await;
}

/// Waits until each daemon shares the slots among `count` entry VMs, knows `vms` VMs and
/// trusts its fleet state, so that it serves requests.
pub async fn wait_until_sharing(daemons: &[DaemonProcess], count: usize, vms: usize) {
    for daemon in daemons {
        wait_for_status("share", daemon, |status| {
            status["sharing"] == count && status["vms"] == vms && status["trusted"] == true
        })
        .await;
    }
}

/// The data centre `dc`, whose entry VMs share the slots of its VMs.
pub struct SharingDc {
    pub platform: RunningPlatform,
    pub backends: Vec<RunningBackend>,
    /// Plans of all entry VMs, started or not.
    pub plans: Vec<DaemonPlan>,
    pub daemons: Vec<DaemonProcess>,
}

/// Starts a data centre and waits until `started` of the `planned` entry VMs share the
/// slots.
pub async fn start_sharing_dc(vms: &[&str], planned: usize, started: usize) -> SharingDc {
    let platform = super::start_platform().await;
    let backends = super::start_backends(&platform, "dc", vms).await;
    let plans = plans("dc", planned);
    let daemons = start(&plans, started, &platform);
    patch(&daemons[0], 0, one_pool(vms)).await;
    wait_until_sharing(&daemons, started, vms.len()).await;
    SharingDc {
        platform,
        backends,
        plans,
        daemons,
    }
}

/// Returns a load of `rate` requests per second on the pool, with 50 ms of service time.
pub fn load(daemons: &[DaemonProcess], rate: f64, length: Duration) -> LoadSettings {
    LoadSettings {
        entries: daemons.iter().map(|daemon| daemon.entry).collect(),
        pool: POOL.to_owned(),
        rate,
        length,
        service: Some(Duration::from_millis(50)),
        ..LoadSettings::default()
    }
}

/// Compares the callers' record with those of the backend servers.
pub fn compare(record: &call::LoadRecord, backends: &[RunningBackend]) -> LoadSummary {
    call::compare(record, &super::records(backends))
}

/// Returns how many requests arrived at backend servers while all slots were in use.
pub fn over_slots(backends: &[RunningBackend]) -> u64 {
    let records = super::records(backends);
    records.iter().map(|record| record.over_slots).sum()
}
