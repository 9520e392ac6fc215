//! Outcomes stay correct when an entry VM's process is stopped while requests are queued
//! and in flight, and resumes after their deadlines.

mod support;

use std::time::Duration;

use serde_json::json;
use standin::call;
use standin::call::LoadSettings;
use support::DaemonPlan;
use support::DaemonProcess;
use tokio::time::sleep;

const DEADLINE: Duration = Duration::from_millis(700);

/// Stops the entry VM's process for some time under load, then compares the callers'
/// records with those of the backend servers.
async fn check_freeze(freeze: Duration) {
    let platform = support::start_platform().await;
    let backends = support::start_backends(&platform, "dc-1", &["vm-1"]).await;
    let plans = [DaemonPlan::new("e-1", "dc-1")];
    let daemon = DaemonProcess::start(&plans[0], &plans, platform.server.address);
    let document = json!({"pools": {"intake": {"budget": 1, "vms": ["vm-1"]}}});
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemon.control, 0, document.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
    support::eventually("state in force", || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| status["config_version"] == 1 && status["vms"] == 1)
    })
    .await;
    // 8 slots at 200 ms a request serve 40 requests a second; the others are queued or
    // refused.
    let load = tokio::spawn(call::run(LoadSettings {
        entries: vec![daemon.entry],
        pool: "intake".to_owned(),
        rate: 100.0,
        length: Duration::from_secs(4),
        deadline: DEADLINE,
        service: Some(Duration::from_millis(200)),
        ..LoadSettings::default()
    }));
    sleep(Duration::from_secs(1)).await;
    daemon.signal("STOP");
    sleep(freeze).await;
    daemon.signal("CONT");
    let record = load.await.expect("load");
    let summary = call::compare(&record, &support::records(&backends));
    assert!(!summary.has_violations(), "{summary}");
    assert!(summary.answered > 0 && summary.not_run > 0, "{summary}");
    assert!(backends[0].state.record().over_slots == 0, "{summary}");
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_noticed() {
    // Longer than the pause limit of 2 s.
    check_freeze(Duration::from_secs(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_unnoticed() {
    // Shorter than the pause limit.
    check_freeze(Duration::from_secs(1)).await;
}
