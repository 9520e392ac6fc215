//! The report of a wave with real processes, compared with what the stand-ins record.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chicorygauge::audit::AuditOutbox;
use chicorygauge::audit::AuditRow;
use chicorygauge::fleet::wire::AuditWire;
use chicorygauge::platform::PlatformClient;
use chicorygauge::platform::PlatformSettings;
use chicorygauge::report::wire::ReportWire;
use serde_json::Value;
use serde_json::json;
use standin::call;
use standin::call::LoadSettings;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;

use support::DaemonPlan;
use support::DaemonProcess;

const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];

async fn patch(daemon: &DaemonProcess, base: u64, patch: Value) {
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemon.control, base, patch.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

fn fleet_record(platform: &RunningPlatform) -> Value {
    let value = platform.state.peek("fleet/dc-1").unwrap_or_default();
    serde_json::from_slice(&value).unwrap_or_default()
}

async fn report(daemon: &DaemonProcess) -> ReportWire {
    let report = daemon.get("/v1/report").await.expect("report");
    serde_json::from_value(report).expect("report")
}

/// Runs a wave under load. Returns the number of interrupted requests and the number
/// of reboots by VM, as recorded by the stand-ins.
async fn run_wave(
    platform: &RunningPlatform,
    daemon: &DaemonProcess,
) -> (u64, BTreeMap<String, u64>) {
    let backends = support::start_backends(platform, "dc-1", &VMS).await;
    let pools = json!({"pools": {"intake": {"budget": 1, "vms": VMS}}});
    patch(daemon, 0, pools).await;
    support::eventually("VMs known", || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| status["vms"] == VMS.len())
    })
    .await;
    let load = tokio::spawn(call::run(LoadSettings {
        entries: vec![daemon.entry],
        pool: "intake".to_owned(),
        rate: 100.0,
        length: Duration::from_secs(4),
        ..LoadSettings::default()
    }));
    let started_ms = chicorygauge::service::unix_ms() + 1;
    patch(
        daemon,
        1,
        json!({"wave": {"id": "w-1", "running": true, "started_ms": started_ms}}),
    )
    .await;
    support::eventually("wave ended", || async {
        fleet_record(platform)["wave"]["ended"] == true
    })
    .await;
    load.await.expect("load");
    let records = support::records(&backends);
    let cut = records.iter().map(|record| record.cut).sum();
    let reboots = VMS.iter().zip(&records);
    let reboots = reboots.map(|(vm, record)| ((*vm).to_owned(), record.reboots));
    (cut, reboots.collect())
}

/// Writes an intact chain of rows that records a stop of another VM of the pool at
/// `time_ms`.
async fn write_forged_stop(client: &PlatformClient, time_ms: u64) {
    let mut outbox = AuditOutbox::default();
    let changes = [
        (time_ms, "serving", "stopped"),
        (time_ms + 1, "stopped", "serving"),
    ];
    for (time_ms, from, to) in changes {
        outbox.append(AuditRow {
            time_ms,
            author: "e-9".to_owned(),
            subject: "vm/vm-9".to_owned(),
            action: "state".to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            reason: "pool=intake operation=op-9 in_progress=0".to_owned(),
            ..AuditRow::default()
        });
    }
    let rows: Vec<_> = outbox.rows.iter().map(AuditWire::from).collect();
    let value = serde_json::to_vec(&rows).expect("rows");
    let written = client.compare_and_swap("audit/dc-9/00000000", 0, value);
    assert!(written.await.expect("write"));
}

/// Replaces the first occurrence of a text in the stored rows of the data centre.
async fn alter_rows(client: &PlatformClient, from: &str, to: &str) {
    for prefix in ["audit/dc-1/", "fleet/dc-1"] {
        for stored in client.list(prefix).await.expect("list") {
            let text = String::from_utf8(stored.value).expect("JSON");
            if text.contains(from) {
                let text = text.replacen(from, to, 1);
                let written = client.compare_and_swap(&stored.key, stored.revision, text.into());
                assert!(written.await.expect("write"));
                return;
            }
        }
    }
    panic!("no row holds {from}");
}

#[tokio::test(flavor = "multi_thread")]
async fn report_of_wave() {
    let platform = support::start_platform().await;
    platform.state.set_faults(PlatformFaults {
        reboot_ms: 200,
        ..PlatformFaults::default()
    });
    let plan = DaemonPlan::new("e-1", "dc-1");
    let mut daemon = DaemonProcess::start(&plan, &[], platform.server.address);
    let (cut, reboots) = run_wave(&platform, &daemon).await;
    support::eventually("version 2 reported in force", || async {
        let report = report(&daemon).await;
        report.versions.len() == 2 && report.versions[1].in_force_ms["dc-1"].is_some()
    })
    .await;
    let initial = report(&daemon).await;
    assert!(initial.held, "{initial:#?}");
    assert_eq!(cut, 0, "the report shows no interrupted request either");
    let mut stops: BTreeMap<String, u64> = BTreeMap::new();
    for stop in &initial.stops {
        assert_eq!((stop.kind.as_str(), stop.in_progress), ("stopped", Some(0)));
        *stops.entry(stop.vm.clone()).or_default() += 1;
    }
    assert_eq!(
        stops, reboots,
        "stops of the report, reboots of the stand-ins"
    );

    let client = PlatformClient::new(PlatformSettings {
        address: platform.server.address,
        ..PlatformSettings::default()
    });
    write_forged_stop(&client, initial.stops[0].time_ms + 1).await;
    let forged = report(&daemon).await;
    assert!(forged.conditions.record, "the forged chain is intact");
    assert!(!forged.conditions.budgets, "{forged:#?}");
    assert_eq!((forged.breaches[0].out, forged.breaches[0].budget), (2, 1));

    alter_rows(&client, "in_progress=0", "in_progress=1").await;
    let altered = report(&daemon).await;
    assert!(
        !altered.conditions.stops && !altered.conditions.record,
        "{altered:#?}"
    );
    daemon.kill();
}
