//! Maintenance waves with real processes.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::call;
use standin::call::LoadSettings;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;

use support::DaemonPlan;
use support::DaemonProcess;

const VMS: [&str; 4] = ["vm-1", "vm-2", "vm-3", "vm-4"];

fn document() -> Value {
    json!({
        "pools": {"intake": {"budget": 1, "vms": VMS}},
        "maintenance": {"return_limit_s": 30, "drain_limit_s": 30},
    })
}

fn wave(id: &str) -> Value {
    json!({"wave": {"id": id, "running": true, "started_ms": unix_ms() + 1}})
}

fn unix_ms() -> u64 {
    chicorygauge::service::unix_ms()
}

fn record(platform: &RunningPlatform) -> Value {
    let value = platform.state.peek("fleet/dc-1").unwrap_or_default();
    serde_json::from_slice(&value).unwrap_or_default()
}

/// Submits a patch to any daemon that accepts it.
async fn patch(daemons: &[DaemonProcess], base: u64, patch: Value) {
    support::eventually("patch accepted", || async {
        for daemon in daemons {
            let answer = support::patch(daemon.control, base, patch.clone()).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
        }
        false
    })
    .await;
}

async fn start_entries(platform: &RunningPlatform, count: usize) -> Vec<DaemonProcess> {
    let plans: Vec<_> = (1..=count)
        .map(|number| DaemonPlan::new(&format!("e-{number}"), "dc-1"))
        .collect();
    let address = platform.server.address;
    let daemons = plans
        .iter()
        .map(|plan| DaemonProcess::start(plan, &plans, address));
    daemons.collect()
}

async fn all_serving(platform: &RunningPlatform) {
    support::eventually("all VMs serving", || async {
        let vms = record(platform)["vms"].clone();
        let vms = vms.as_object().cloned().unwrap_or_default();
        vms.len() == VMS.len() && vms.values().all(|vm| vm["state"] == "serving")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_under_load() {
    let platform = support::start_platform().await;
    platform.state.set_faults(PlatformFaults {
        reboot_ms: 300,
        ..PlatformFaults::default()
    });
    let backends = support::start_backends(&platform, "dc-1", &VMS).await;
    let daemons = start_entries(&platform, 1).await;
    patch(&daemons, 0, document()).await;
    all_serving(&platform).await;
    support::eventually("state in force", || async {
        let status = daemons[0].get("/v1/status").await;
        status.is_some_and(|status| status["vms"] == VMS.len())
    })
    .await;
    let load = tokio::spawn(call::run(LoadSettings {
        entries: daemons.iter().map(|daemon| daemon.entry).collect(),
        pool: "intake".to_owned(),
        rate: 200.0,
        length: Duration::from_secs(8),
        service: Some(Duration::from_millis(40)),
        ..LoadSettings::default()
    }));
    patch(&daemons, 1, wave("w-1")).await;
    support::eventually("wave ended", || async {
        record(&platform)["wave"]["ended"] == true
    })
    .await;
    let loaded = load.await.expect("load");
    let records = support::records(&backends);
    let summary = call::compare(&loaded, &records);
    assert!(records.iter().all(|record| record.reboots == 1));
    assert!(!summary.is_broken(), "{summary}");
    all_serving(&platform).await;
}
