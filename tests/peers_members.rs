//! Entry VM processes that join, leave, are killed or are paused while requests run.
//!
//! Guards against lost requests, and against VMs that get more requests than they have
//! slots because two entry VMs use the same share while the layout changes.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::call;
use standin::platform::RunningPlatform;
use tokio::time::sleep;

use support::DaemonProcess;
use support::cluster;
use support::cluster::SharingDc;

const VMS: [&str; 2] = ["vm-1", "vm-2"];
/// Request rate above the capacity of two VMs with 8 slots each, at 50 ms a request.
const OVERLOAD: f64 = 600.0;

fn roster(platform: &RunningPlatform) -> Value {
    let value = platform.state.peek("entries/dc").unwrap_or_default();
    serde_json::from_slice(&value).unwrap_or_default()
}

fn vm_state(platform: &RunningPlatform, vm: &str) -> Value {
    let value = platform.state.peek("fleet/dc").unwrap_or_default();
    let record: Value = serde_json::from_slice(&value).unwrap_or_default();
    record["vms"][vm]["state"].clone()
}

/// Returns the index of the daemon that holds the controller's lease.
fn controller(platform: &RunningPlatform, daemons: &[DaemonProcess]) -> Option<usize> {
    let holder = platform.state.peek("controller/dc")?;
    let holder = String::from_utf8(holder).ok()?;
    daemons
        .iter()
        .position(|daemon| holder.contains(&daemon.name))
}

#[tokio::test(flavor = "multi_thread")]
async fn members_join_and_leave() {
    let SharingDc {
        platform,
        backends,
        plans,
        mut daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 2).await;
    // Callers also send to the third entry VM, even before it has started.
    let load = cluster::load(&daemons, OVERLOAD, Duration::from_secs(3));
    let load = call::LoadSettings {
        entries: plans.iter().map(|plan| plan.entry).collect(),
        service: Some(Duration::from_millis(200)),
        ..load
    };
    let load = tokio::spawn(call::run(load));
    sleep(Duration::from_millis(500)).await;
    let joiner = DaemonProcess::start(&plans[2], &plans, platform.server.address);
    daemons.push(joiner);
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    let summary = cluster::compare(&load.await.expect("load"), &backends);
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(cluster::over_slots(&backends), 0, "{summary}");
    // Callers know which entry VM leaves, and send to the others only.
    let controller_index = controller(&platform, &daemons).expect("controller");
    let mut leaving = daemons.remove(controller_index);
    let load = cluster::load(&daemons, OVERLOAD, Duration::from_secs(3));
    let load = call::LoadSettings {
        prefix: "leave".to_owned(),
        ..load
    };
    let load = tokio::spawn(call::run(load));
    leaving.signal("TERM");
    assert!(leaving.wait_for_exit().await);
    cluster::wait_until_sharing(&daemons, 2, 2).await;
    let summary = cluster::compare(&load.await.expect("load"), &backends);
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(cluster::over_slots(&backends), 0, "{summary}");
}

#[tokio::test(flavor = "multi_thread")]
async fn members_restarted() {
    let SharingDc {
        platform,
        backends,
        plans,
        mut daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 3).await;
    let before = roster(&platform);
    daemons.remove(1).kill();
    // The platform has not reported the killed entry VM as gone, so it keeps its place.
    sleep(Duration::from_secs(1)).await;
    assert_eq!(roster(&platform)["places"], 3);
    let restarted = DaemonProcess::start(&plans[1], &plans, platform.server.address);
    daemons.insert(1, restarted);
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    let after = roster(&platform);
    assert!(after["generation"].as_u64() > before["generation"].as_u64());
    assert_eq!(after["places"], 3);
    let load = cluster::load(&daemons, 100.0, Duration::from_secs(1));
    let summary = cluster::compare(&call::run(load).await, &backends);
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(cluster::over_slots(&backends), 0, "{summary}");
}

#[tokio::test(flavor = "multi_thread")]
async fn members_delisted() {
    let platform = support::start_platform().await;
    let _backends = support::start_backends(&platform, "dc", &VMS).await;
    let plans = cluster::plans("dc", 3);
    for plan in &plans {
        set_listed(&platform, &plan.name, Some(plan.entry)).await;
    }
    let mut daemons = cluster::start(&plans, 3, &platform);
    cluster::patch(&daemons[0], 0, cluster::one_pool(&VMS)).await;
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    let mut killed = daemons.pop().expect("daemon");
    killed.kill();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(roster(&platform)["places"], 3);
    set_listed(&platform, &plans[2].name, None).await;
    cluster::wait_until_sharing(&daemons, 2, 2).await;
}

/// Adds an entry VM to the platform's list of VMs; removes it if `address` is `None`.
async fn set_listed(platform: &RunningPlatform, name: &str, address: Option<std::net::SocketAddr>) {
    use chicorygauge::http::CallRequest;
    use hyper::Method;
    let listed = json!({
        "name": name, "dc": "dc", "rack": "rack", "address": address, "leaving": false,
    });
    let method = match address {
        Some(_) => Method::PUT,
        None => Method::DELETE,
    };
    let request = CallRequest {
        method,
        path: &format!("/standin/vms/{name}"),
        body: listed.to_string().into(),
        ..CallRequest::default()
    };
    let answer = chicorygauge::http::call(platform.server.address, request).await;
    assert!(answer.expect("listed").status.is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn members_frozen_and_left_out() {
    let SharingDc {
        platform,
        backends,
        plans,
        mut daemons,
    } = cluster::start_sharing_dc(&VMS, 4, 3).await;
    let controller_index = controller(&platform, &daemons).expect("controller");
    let frozen = daemons.remove((controller_index + 1) % 3);
    frozen.signal("STOP");
    // The new entry VM gets no share while the paused one may still use its own.
    let joiner = DaemonProcess::start(&plans[3], &plans, platform.server.address);
    cluster::wait_for_status("state", &joiner, |status| status["trusted"] == true).await;
    sleep(Duration::from_secs(1)).await;
    let status = joiner.get("/v1/status").await.expect("status");
    assert_eq!(status["sharing"], 0, "{status}");
    assert_eq!(roster(&platform)["places"], 3);
    // An operator removes the paused entry VM from the roster.
    daemons.push(joiner);
    let without = json!({"without": {frozen.name.as_str(): "does not answer"}});
    cluster::patch(&daemons[0], 1, without).await;
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    // The paused entry VM is resumed with requests already waiting, while the others are
    // overloaded.
    let load = cluster::load(&daemons, OVERLOAD, Duration::from_secs(3));
    let load = tokio::spawn(call::run(load));
    let late = cluster::load(std::slice::from_ref(&frozen), 200.0, Duration::from_secs(1));
    let late = call::LoadSettings {
        prefix: "late".to_owned(),
        deadline: Duration::from_secs(10),
        ..late
    };
    let late = tokio::spawn(call::run(late));
    sleep(Duration::from_millis(2500)).await;
    frozen.signal("CONT");
    let late = cluster::compare(&late.await.expect("load"), &backends);
    let summary = cluster::compare(&load.await.expect("load"), &backends);
    assert_eq!(late.answered, 0, "{late}");
    assert_eq!(cluster::over_slots(&backends), 0, "{summary}");
    cluster::wait_for_status("no share", &frozen, |status| status["sharing"] == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn members_frozen_in_drain() {
    let SharingDc {
        platform,
        backends: _backends,
        plans: _,
        daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 3).await;
    let controller_index = controller(&platform, &daemons).expect("controller");
    let frozen = &daemons[(controller_index + 1) % 3];
    frozen.signal("STOP");
    cluster::patch(
        &daemons[controller_index],
        1,
        json!({"drains": {"vm-1": "inspection"}}),
    )
    .await;
    sleep(Duration::from_secs(3)).await;
    let state = vm_state(&platform, "vm-1");
    assert!(state != "held" && state != "serving", "{state}");
    frozen.signal("CONT");
    support::eventually("held", || async { vm_state(&platform, "vm-1") == "held" }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn members_controller_killed() {
    let SharingDc {
        platform,
        backends,
        plans: _,
        mut daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 3).await;
    let controller_index = controller(&platform, &daemons).expect("controller");
    let mut killed = daemons.remove(controller_index);
    killed.kill();
    let load = call::LoadSettings {
        resends: support::MAX_RESENDS,
        ..cluster::load(&daemons, 100.0, Duration::from_secs(3))
    };
    let load = tokio::spawn(call::run(load));
    cluster::patch(&daemons[0], 1, json!({"pools": {"intake": {"budget": 2}}})).await;
    for daemon in &daemons {
        cluster::wait_for_status("version", daemon, |status| status["config_version"] == 2).await;
    }
    support::eventually("another controller", || async {
        controller(&platform, &daemons).is_some()
    })
    .await;
    let summary = cluster::compare(&load.await.expect("load"), &backends);
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(summary.answered, summary.sent, "{summary}");
}

#[tokio::test(flavor = "multi_thread")]
async fn members_controller_frozen() {
    let SharingDc {
        platform,
        backends,
        plans: _,
        daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 3).await;
    let controller_index = controller(&platform, &daemons).expect("controller");
    daemons[controller_index].signal("STOP");
    support::eventually("another controller", || async {
        controller(&platform, &daemons).is_some_and(|holder| holder != controller_index)
    })
    .await;
    let others = daemons
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != controller_index);
    let others: Vec<_> = others.map(|(_, daemon)| daemon).collect();
    cluster::patch(others[0], 1, json!({"pools": {"intake": {"budget": 2}}})).await;
    for daemon in &others {
        cluster::wait_for_status("version", daemon, |status| status["config_version"] == 2).await;
    }
    let load = cluster::load(&daemons, OVERLOAD, Duration::from_secs(3));
    let load = tokio::spawn(call::run(load));
    sleep(Duration::from_secs(1)).await;
    let before = roster(&platform)["generation"].as_u64();
    daemons[controller_index].signal("CONT");
    let summary = cluster::compare(&load.await.expect("load"), &backends);
    assert_eq!(cluster::over_slots(&backends), 0, "{summary}");
    assert_eq!(
        (summary.lost, summary.doubled, summary.refused_but_ran),
        (0, 0, 0),
        "{summary}"
    );
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    for daemon in &daemons {
        cluster::wait_for_status("version", daemon, |status| status["config_version"] == 2).await;
    }
    assert_eq!(roster(&platform)["generation"].as_u64(), before);
}
