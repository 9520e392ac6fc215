//! Maintenance waves with real processes under load, with failures during the wave.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicorygauge::audit::AuditRow;
use chicorygauge::audit::find_chain_break;
use chicorygauge::fleet::wire::AuditWire;
use serde_json::Value;
use serde_json::json;
use standin::platform::PlatformFaults;
use tokio::time::sleep;

use support::DaemonPlan;
use support::DaemonProcess;
use support::fleet::REBOOT_MS;
use support::fleet::TestFleet;
use support::fleet::VMS;

fn rules() -> Value {
    json!({"return_limit_s": 60, "drain_limit_s": 60})
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_under_load() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    let load = fleet.start_load(&[0, 1], Duration::from_secs(8));
    fleet.start_wave("w-1").await;
    fleet.wait_for_wave_end().await;
    let summary = fleet.check_load(load).await;
    assert_eq!(summary.answered, summary.sent, "{summary}");
    check_audit(&fleet);
    // The report, which uses only the audit rows, must find the same.
    let report = fleet.daemons[0].get("/v1/report").await.unwrap_or_default();
    assert_eq!(report["conditions"]["budgets"], true, "{report}");
    assert_eq!(report["conditions"]["stops"], true, "{report}");
    assert_eq!(report["conditions"]["record"], true, "{report}");
    let stops = report["stops"].as_array().map(Vec::len);
    assert_eq!(stops, Some(VMS.len()), "{report}");
}

/// Checks that the audit rows record each stop with no request in progress, and form
/// one chain.
fn check_audit(fleet: &TestFleet) {
    let rows = fleet.audit();
    let stops = rows
        .iter()
        .filter(|row| row["to"] == "stopped" && row["action"] == "state");
    let reasons: Vec<_> = stops.map(|row| row["reason"].to_string()).collect();
    assert_eq!(reasons.len(), VMS.len(), "{reasons:?}");
    assert!(
        reasons
            .iter()
            .all(|reason| reason.contains("in_progress=0"))
    );
    let rows = rows.into_iter().map(|row| {
        let wire: AuditWire = serde_json::from_value(row).expect("audit row");
        AuditRow::from(wire)
    });
    let rows: Vec<_> = rows.collect();
    assert_eq!(find_chain_break(&AuditRow::default(), &rows), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_controller_killed() {
    let mut fleet = TestFleet::start(3, rules(), 1).await;
    let controller = fleet.controller().await;
    let others: Vec<_> = (0..3).filter(|index| *index != controller).collect();
    let load = fleet.start_load(&others, Duration::from_secs(12));
    fleet.start_wave("w-1").await;
    fleet.wait_for_first_reboot().await;
    drop(fleet.daemons.remove(controller));
    // A new process takes the name of the killed one.
    let (plan, address) = (&fleet.plans[controller], fleet.platform.server.address);
    let daemon = DaemonProcess::start(plan, &fleet.plans, address);
    fleet.daemons.insert(controller, daemon);
    fleet.wait_for_wave_end().await;
    fleet.check_load(load).await;
    check_audit(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_controller_frozen() {
    let fleet = TestFleet::start(3, rules(), 1).await;
    let controller = fleet.controller().await;
    let others: Vec<_> = (0..3).filter(|index| *index != controller).collect();
    let load = fleet.start_load(&others, Duration::from_secs(12));
    fleet.start_wave("w-1").await;
    fleet.wait_for_first_reboot().await;
    fleet.daemons[controller].signal("STOP");
    support::eventually("successor claims", || async {
        fleet.record()["epoch"] == 2
    })
    .await;
    fleet.daemons[controller].signal("CONT");
    fleet.wait_for_wave_end().await;
    fleet.check_load(load).await;
    check_audit(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_answers_lost() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    fleet.start_wave("w-1").await;
    fleet.set_faults(PlatformFaults {
        lose_share: 0.3,
        ..PlatformFaults::default()
    });
    let max_rows = watch_ledger(&fleet);
    fleet.wait_for_wave_end().await;
    assert!(
        max_rows.load(Ordering::Relaxed) <= 1,
        "rows over the budget"
    );
    check_audit(&fleet);
}

/// Samples the ledger every millisecond, and returns the maximum number of its rows.
fn watch_ledger(fleet: &TestFleet) -> Arc<AtomicUsize> {
    let max_rows = Arc::new(AtomicUsize::new(0));
    let (state, seen) = (fleet.platform.state.clone(), max_rows.clone());
    tokio::spawn(async move {
        loop {
            let value = state.peek("ledger/intake").unwrap_or_default();
            let ledger: Value = serde_json::from_slice(&value).unwrap_or_default();
            let rows = ledger["rows"].as_object().map_or(0, serde_json::Map::len);
            seen.fetch_max(rows, Ordering::Relaxed);
            sleep(Duration::from_millis(1)).await;
        }
    });
    max_rows
}

/// Two data centres contend for the ledger of one pool.
#[tokio::test(flavor = "multi_thread")]
async fn wave_two_data_centres() {
    let fleet = TestFleet::start(1, rules(), 1).await;
    let away = ["vm-5", "vm-6"];
    let backends = support::start_backends(&fleet.platform, "dc-2", &away).await;
    let plan = DaemonPlan::new("f-1", "dc-2");
    let _daemon = DaemonProcess::start(&plan, &[], fleet.platform.server.address);
    let vms: Vec<_> = VMS.iter().chain(&away).collect();
    fleet
        .patch(json!({"pools": {"intake": {"vms": vms}}}))
        .await;
    support::eventually("VMs of the other data centre", || async {
        let vms = fleet.value("fleet/dc-2")["vms"].clone();
        vms.as_object().is_some_and(|vms| vms.len() == away.len())
    })
    .await;
    let max_rows = watch_ledger(&fleet);
    fleet.start_wave("w-1").await;
    fleet.wait_for_wave_end().await;
    support::eventually("other wave ended", || async {
        fleet.value("fleet/dc-2")["wave"]["ended"] == true
    })
    .await;
    let records = support::records(&backends);
    assert!(records.iter().all(|record| record.reboots == 1));
    assert!(
        max_rows.load(Ordering::Relaxed) <= 1,
        "rows over the budget"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_platform_down() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    let load = fleet.start_load(&[0, 1], Duration::from_secs(12));
    fleet.start_wave("w-1").await;
    fleet.wait_for_first_reboot().await;
    fleet.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    // Longer than the controller's lease, so that it expires during the wave.
    sleep(Duration::from_secs(4)).await;
    let reboots = fleet.reboots();
    fleet.set_faults(PlatformFaults::default());
    let after = calls_during(&fleet, Duration::from_secs(1)).await;
    check_calls_after_outage(&after);
    assert!(
        reboots < VMS.len() as u64,
        "the wave went on while the platform was down"
    );
    fleet.wait_for_wave_end().await;
    let summary = fleet.check_load(load).await;
    assert_eq!(summary.answered, summary.sent, "{summary}");
    check_audit(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_reboot_fails() {
    let rules = json!({"return_limit_s": 60, "drain_limit_s": 60, "failure_stop_share": 0.05});
    let fleet = TestFleet::start(1, rules, 2).await;
    fleet.set_faults(PlatformFaults {
        reboot_fails: VMS.map(str::to_owned).to_vec(),
        ..PlatformFaults::default()
    });
    fleet.start_wave("w-1").await;
    support::eventually("wave stops itself", || async {
        fleet.record()["wave"]["stopped"].is_string()
    })
    .await;
    let stopped = Duration::from_millis(REBOOT_MS * 5);
    sleep(stopped).await;
    assert!(fleet.reboots() <= 2, "stops beyond the budget of 2");
    // The VMs return, and an operator starts a wave under a new identifier.
    fleet.set_faults(PlatformFaults::default());
    for backend in &fleet.backends {
        backend.state.end_reboot();
    }
    fleet.wait_until_serving().await;
    fleet.start_wave("w-2").await;
    support::eventually("wave ended", || async {
        let wave = fleet.record()["wave"].clone();
        wave["id"] == "w-2" && wave["ended"] == true
    })
    .await;
}

/// Checks the platform calls after an outage of the platform.
///
/// The periods here are a tenth of the defaults, so one second stands for the first
/// ten seconds after the outage. Each of 24 data centres may make 1/24 of 2,000 reads
/// and 300 writes per second.
fn check_calls_after_outage(calls: &[(String, u64)]) {
    println!("calls after the outage: {calls:?}");
    let sum = |writes: bool| {
        let calls = calls.iter();
        let chosen = calls.filter(|(kind, _)| kind.ends_with("_write") == writes);
        chosen.map(|(_, count)| count).sum::<u64>()
    };
    assert!(sum(false) <= 10 * 2000 / 24, "{calls:?}");
    assert!(sum(true) <= 10 * 300 / 24, "{calls:?}");
}

/// The number of platform calls does not grow with the number of requests.
#[tokio::test(flavor = "multi_thread")]
async fn calls_idle() {
    let fleet = TestFleet::start(2, rules(), 1).await;
    sleep(Duration::from_secs(2)).await;
    let idle = calls_during(&fleet, Duration::from_secs(4)).await;
    let load = fleet.start_load(&[0, 1], Duration::from_secs(5));
    let loaded = calls_during(&fleet, Duration::from_secs(4)).await;
    fleet.check_load(load).await;
    println!("idle={idle:?} loaded={loaded:?}");
    let sum = |counts: &[(String, u64)]| counts.iter().map(|(_, count)| count).sum::<u64>();
    // 600 requests were sent while the loaded calls were counted.
    assert!(sum(&loaded) < sum(&idle) + 100, "{idle:?} {loaded:?}");
}

async fn calls_during(fleet: &TestFleet, time: Duration) -> Vec<(String, u64)> {
    let before = fleet.platform.state.counts();
    sleep(time).await;
    let after = fleet.platform.state.counts().into_iter();
    let calls = after.map(|(kind, count)| {
        let known = before.get(&kind).copied().unwrap_or(0);
        (kind, count - known)
    });
    calls.collect()
}
