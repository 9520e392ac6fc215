//! An entry VM that is frozen with requests queued and in flight, and resumed
//! after their deadlines.

mod support;

use std::time::Duration;

use serde_json::json;
use standin::call;
use standin::call::LoadSettings;
use support::DaemonPlan;
use support::DaemonProcess;
use tokio::time::sleep;

const DEADLINE: Duration = Duration::from_millis(700);

/// Runs a load, freezes the entry VM in the middle of it and compares the records.
async fn run(freeze: Duration) {
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
    // 8 slots of 200 ms hold 40 requests a second; the rest waits or is refused.
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
    assert!(!summary.is_broken(), "{summary}");
    assert!(summary.answered > 0 && summary.not_run > 0, "{summary}");
    assert!(backends[0].state.record().over_slots == 0, "{summary}");
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_noticed() {
    // Longer than the pause limit of 2 s.
    run(Duration::from_secs(3)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_unnoticed() {
    run(Duration::from_secs(1)).await;
}
