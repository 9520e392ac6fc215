//! Drains, holds and moves of VMs, and VMs that leave or fail, with real processes.

mod support;

use std::time::Duration;

use chicorygauge::platform::wire::ListedVmWire;
use serde_json::Value;
use serde_json::json;
use standin::call;
use standin::call::LoadRecord;
use standin::call::LoadSettings;
use standin::platform::PlatformFaults;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use support::DaemonPlan;
use support::DaemonProcess;
use support::fleet::TestFleet;
use support::fleet::VMS;

fn rules() -> Value {
    json!({"return_limit_s": 60, "drain_limit_s": 60})
}

/// Starts a load of requests that each take `service`.
fn start_long_load(
    fleet: &TestFleet,
    service: Duration,
    length: Duration,
) -> JoinHandle<LoadRecord> {
    let entries = fleet.plans.iter().map(|plan| plan.entry);
    tokio::spawn(call::run(LoadSettings {
        entries: entries.collect(),
        pool: "intake".to_owned(),
        rate: 10.0,
        length,
        deadline: Duration::from_secs(20),
        service: Some(service),
        ..LoadSettings::default()
    }))
}

fn in_progress(fleet: &TestFleet, vm: &str) -> u32 {
    let index = VMS.iter().position(|name| *name == vm);
    let records = support::records(&fleet.backends);
    records[index.expect("known VM")].in_progress
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_long_requests() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    let load = start_long_load(&fleet, Duration::from_millis(1500), Duration::from_secs(4));
    support::eventually("VM in use", || async { in_progress(&fleet, "vm-1") > 0 }).await;
    fleet.patch(json!({"drains": {"vm-1": "test"}})).await;
    support::eventually("VM held", || async { fleet.state_of("vm-1") == "held" }).await;
    assert_eq!(in_progress(&fleet, "vm-1"), 0);
    assert!(fleet.value("ledger/intake")["rows"]["vm-1"].is_object());
    // With a budget of 1, the second hold has to wait until the first one's row is
    // removed.
    let swap = json!({"drains": {"vm-1": null, "vm-2": "test"}});
    fleet.patch(swap).await;
    support::eventually("second VM held", || async {
        let rows = fleet.value("ledger/intake")["rows"].clone();
        assert!(rows.as_object().is_none_or(|rows| rows.len() <= 1));
        fleet.state_of("vm-2") == "held"
    })
    .await;
    fleet.patch(json!({"drains": {"vm-2": null}})).await;
    fleet.wait_until_serving().await;
    fleet.check_load(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_past_limit() {
    let rules = json!({"return_limit_s": 60, "drain_limit_s": 1});
    let fleet = TestFleet::start(1, rules, 1).await;
    // Every VM is always in use, so every stop is postponed.
    let load = start_long_load(&fleet, Duration::from_secs(4), Duration::from_secs(6));
    support::eventually("all VMs in use", || async {
        VMS.iter().all(|vm| in_progress(&fleet, vm) > 0)
    })
    .await;
    fleet.start_wave("w-1").await;
    support::eventually("stop postponed", || async {
        let rows = fleet.audit();
        let mut reasons = rows.iter().map(|row| row["reason"].to_string());
        reasons.any(|reason| reason.contains("postponed, in use by e-1"))
    })
    .await;
    fleet.wait_for_wave_end().await;
    fleet.check_load(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_frozen() {
    let rules = json!({"return_limit_s": 60, "drain_limit_s": 1});
    let fleet = TestFleet::start(2, rules, 1).await;
    let controller = fleet.controller().await;
    let other = 1 - controller;
    fleet.daemons[other].signal("STOP");
    fleet.start_wave("w-1").await;
    let unresponsive = fleet.plans[other].name.clone();
    support::eventually("status names the entry VM", || async {
        let status = fleet.daemons[controller].get("/v1/status").await;
        let postponed = status.unwrap_or_default()["postponed"].clone();
        let postponed = postponed.as_object().cloned().unwrap_or_default();
        postponed
            .values()
            .any(|entries| *entries == json!([unresponsive]))
    })
    .await;
    assert_eq!(
        fleet.reboots(),
        0,
        "VM stopped without the acknowledgement of the frozen entry VM"
    );
    fleet.daemons[other].signal("CONT");
    fleet.wait_for_wave_end().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn move_follows_home() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    let load = fleet.start_load(&[0, 1], Duration::from_secs(4));
    let others = ["vm-1", "vm-2", "vm-3"];
    fleet
        .patch(json!({"pools": {
            "intake": {"vms": others},
            "routes": {"budget": 1, "vms": ["vm-4"]},
        }}))
        .await;
    support::eventually("VM moved", || async {
        fleet.record()["vms"]["vm-4"]["pool"] == "routes" && fleet.state_of("vm-4") == "serving"
    })
    .await;
    let rows = fleet.audit();
    let moves = rows.iter().filter(|row| row["action"] == "pool");
    let reasons: Vec<_> = moves.map(|row| row["reason"].to_string()).collect();
    assert_eq!(reasons.len(), 1, "{reasons:?}");
    assert!(reasons[0].contains("in_progress=0"), "{reasons:?}");
    fleet.check_load(load).await;
}

/// Two data centres compete for a budget of one VM at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn move_race_for_budget() {
    let fleet = TestFleet::start(1, rules(), 1).await;
    let _away = support::start_backends(&fleet.platform, "dc-2", &["vm-5"]).await;
    let plan = DaemonPlan::new("f-1", "dc-2");
    let _daemon = DaemonProcess::start(&plan, &[], fleet.platform.server.address);
    let pools = json!({"intake": {"vms": [VMS[0], VMS[1], VMS[2], VMS[3], "vm-5"]}});
    fleet.patch(json!({"pools": pools})).await;
    let other = || fleet.value("fleet/dc-2")["vms"]["vm-5"].clone();
    support::eventually("other VM", || async { other()["pool"] == "intake" }).await;
    let load = start_long_load(&fleet, Duration::from_millis(1500), Duration::from_secs(3));
    support::eventually("VM in use", || async { in_progress(&fleet, "vm-1") > 0 }).await;
    // Calls are slow, so that both read the ledger before either writes it.
    fleet.set_faults(PlatformFaults {
        delay_ms: 100,
        ..PlatformFaults::default()
    });
    let intake = json!({"vms": &VMS[1..]});
    let routes = json!({"budget": 1, "vms": ["vm-1", "vm-5"]});
    fleet
        .patch(json!({"pools": {"intake": intake, "routes": routes}}))
        .await;
    support::eventually("both moved", || async {
        let moved = |vm: &Value| vm["pool"] == "routes" && vm["state"] == "serving";
        let here = fleet.record()["vms"]["vm-1"].clone();
        let draining = |vm: &Value| !vm["state"].is_null() && vm["state"] != "serving";
        assert!(!(draining(&here) && draining(&other())), "over the budget");
        moved(&here) && moved(&other())
    })
    .await;
    fleet.check_load(load).await;
}

/// Sets whether the platform lists a VM as leaving.
async fn set_leaving(fleet: &TestFleet, vm: &str, leaving: bool) {
    let index = VMS.iter().position(|name| *name == vm).expect("known VM");
    let listed = ListedVmWire {
        name: vm.to_owned(),
        dc: "dc-1".to_owned(),
        rack: "dc-1-rack-0".to_owned(),
        address: fleet.backends[index].server.address,
        leaving,
    };
    let body = serde_json::to_vec(&listed).expect("listed VM");
    let request = chicorygauge::http::CallRequest {
        method: hyper::Method::PUT,
        path: &format!("/standin/vms/{vm}"),
        body: body.into(),
        ..chicorygauge::http::CallRequest::default()
    };
    let answer = chicorygauge::http::call(fleet.platform.server.address, request).await;
    answer.expect("platform");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_vm_drained() {
    let fleet = TestFleet::start(2, rules(), 0).await;
    fleet.set_faults(PlatformFaults {
        list_lag_ms: 1000,
        ..PlatformFaults::default()
    });
    let load = fleet.start_load(&[0, 1], Duration::from_secs(5));
    set_leaving(&fleet, "vm-1", true).await;
    for daemon in &fleet.daemons {
        support::eventually("drain in force", || async {
            let vms = daemon.get("/v1/vms").await.unwrap_or_default().to_string();
            vms.contains("draining_to_leave")
        })
        .await;
    }
    support::eventually("VM idle", || async { in_progress(&fleet, "vm-1") == 0 }).await;
    let runs = |fleet: &TestFleet| support::records(&fleet.backends)[0].runs.len();
    let before = runs(&fleet);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(runs(&fleet), before, "new work to a leaving VM");
    set_leaving(&fleet, "vm-1", false).await;
    fleet.wait_until_serving().await;
    fleet.check_load(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_vm_takes_row() {
    let fleet = TestFleet::start(1, rules(), 1).await;
    fleet.backends[0].state.crash();
    support::eventually("VM failed", || async { fleet.state_of("vm-1") == "failed" }).await;
    support::eventually("row entered", || async {
        fleet.value("ledger/intake")["rows"]["vm-1"].is_object()
    })
    .await;
    // The failed VM uses the whole budget of 1, so no planned stop may start.
    fleet.start_wave("w-1").await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.reboots(), 0);
    fleet.backends[0].state.end_reboot();
    fleet.wait_for_wave_end().await;
}
