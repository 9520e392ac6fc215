//! End-to-end path of requests from callers through entry VMs to backend servers, with
//! the fleet state read from the platform.

mod support;

use std::time::Duration;

use serde_json::json;
use standin::call;
use standin::call::LoadSettings;

use support::DaemonPlan;
use support::DaemonProcess;

#[tokio::test(flavor = "multi_thread")]
async fn path_whole() {
    let platform = support::start_platform().await;
    let backends = support::start_backends(&platform, "dc-1", &["vm-1", "vm-2"]).await;
    let plans = [
        DaemonPlan::new("e-1", "dc-1"),
        DaemonPlan::new("e-2", "dc-1"),
    ];
    let address = platform.server.address;
    let daemons = plans.each_ref();
    let daemons = daemons.map(|plan| DaemonProcess::start(plan, &plans, address));
    let document = json!({"pools": {"intake": {"budget": 1, "vms": ["vm-1", "vm-2"]}}});
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemons[0].control, 0, document.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
    for daemon in &daemons {
        support::eventually("state in force", || async {
            let status = daemon.get("/v1/status").await;
            status.is_some_and(|status| {
                status["config_version"] == 1 && status["vms"] == 2 && status["sharing"] == 2
            })
        })
        .await;
    }
    let record = call::run(LoadSettings {
        entries: daemons.iter().map(|daemon| daemon.entry).collect(),
        pool: "intake".to_owned(),
        rate: 200.0,
        length: Duration::from_secs(1),
        resends: support::MAX_RESENDS,
        ..LoadSettings::default()
    });
    let summary = call::compare(&record.await, &support::records(&backends));
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(summary.answered, 200, "{summary}");
}
