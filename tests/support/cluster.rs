//! One data centre with entry VMs as processes, and what tests ask of it.

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

/// Pool that the tests send to.
pub const POOL: &str = "intake";

/// Returns a configuration with one pool of these VMs.
pub fn one_pool(vms: &[&str]) -> Value {
    json!({"pools": {POOL: {"budget": 1, "vms": vms}}})
}

/// Makes plans of entry VMs named `<dc>-e-<number>`.
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

/// Submits a patch, as often as it takes.
pub async fn patch(daemon: &DaemonProcess, base: u64, patch: Value) {
    super::eventually("patch accepted", || async {
        let answer = super::patch(daemon.control, base, patch.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

/// Waits until the status of a daemon meets a condition.
pub async fn status_is(what: &str, daemon: &DaemonProcess, holds: impl Fn(&Value) -> bool) {
    super::eventually(&format!("{what} at {}", daemon.name), || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| holds(&status))
    })
    .await;
}

/// Waits until all daemons share the slots and know the VMs.
pub async fn all_share(daemons: &[DaemonProcess], count: usize, vms: usize) {
    for daemon in daemons {
        status_is("share", daemon, |status| {
            status["sharing"] == count && status["vms"] == vms && status["trusted"] == true
        })
        .await;
    }
}

/// A data centre `dc` whose entry VMs share the slots of its VMs.
pub struct SharingSite {
    pub platform: RunningPlatform,
    pub backends: Vec<RunningBackend>,
    /// Plans of all entry VMs, started or not.
    pub plans: Vec<DaemonPlan>,
    pub daemons: Vec<DaemonProcess>,
}

/// Starts a data centre and waits until `started` of the `planned` entry VMs share.
pub async fn sharing_site(vms: &[&str], planned: usize, started: usize) -> SharingSite {
    let platform = super::start_platform().await;
    let backends = super::start_backends(&platform, "dc", vms).await;
    let plans = plans("dc", planned);
    let daemons = start(&plans, started, &platform);
    patch(&daemons[0], 0, one_pool(vms)).await;
    all_share(&daemons, started, vms.len()).await;
    SharingSite {
        platform,
        backends,
        plans,
        daemons,
    }
}

/// Returns the load of a test: more than the VMs can run.
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

/// Compares what callers and backend servers have recorded.
pub fn compare(record: &call::LoadRecord, backends: &[RunningBackend]) -> LoadSummary {
    call::compare(record, &super::records(backends))
}

/// Returns how often a backend server got more requests than it has slots.
pub fn over_slots(backends: &[RunningBackend]) -> u64 {
    let records = super::records(backends);
    records.iter().map(|record| record.over_slots).sum()
}
