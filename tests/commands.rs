//! Runs `chicory` and calls of the control interface against real daemons.

mod support;

use std::process::Command;
use std::process::Output;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http;
use chicorygauge::http::CallRequest;
use hyper::Method;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use standin::backend::BackendFaults;
use standin::call;
use standin::call::LoadSettings;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use support::DaemonPlan;
use support::DaemonProcess;

/// Exit statuses of `chicory`.
const DONE: i32 = 0;
const NOT_REACHED: i32 = 1;
const REFUSED: i32 = 2;
const CONFLICT: i32 = 3;
const NOT_KNOWN: i32 = 4;
const NOT_HELD: i32 = 5;

async fn start_entries(platform: &RunningPlatform, count: usize) -> Vec<DaemonProcess> {
    let plans = (0..count).map(|index| DaemonPlan::new(&format!("e-{index}"), "dc-1"));
    let plans: Vec<_> = plans.collect();
    let address = platform.server.address;
    let daemons = plans
        .iter()
        .map(|plan| DaemonProcess::start(plan, &plans, address));
    let daemons: Vec<_> = daemons.collect();
    for daemon in &daemons {
        support::eventually("daemon up", || async {
            daemon.get("/v1/status").await.is_some()
        })
        .await;
    }
    daemons
}

async fn wait_for_version(daemon: &DaemonProcess, version: u64) {
    support::eventually("version in force", || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| status["config_version"] == version)
    })
    .await;
}

fn chicory(daemon: &DaemonProcess, arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_chicory"))
        .args([
            "--entry",
            &daemon.control.to_string(),
            "--author",
            "ann",
            "--json",
        ])
        .args(arguments)
        .output();
    output.expect("chicory")
}

/// Runs a command and returns its JSON; `status` is the expected exit status.
fn run(daemon: &DaemonProcess, arguments: &[&str], status: i32) -> Value {
    let output = chicory(daemon, arguments);
    assert_eq!(
        output.status.code(),
        Some(status),
        "{arguments:?} {output:?}"
    );
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

fn write_patch(name: &str, patch: &Value) -> String {
    let file = format!("chicory-{}-{name}.json", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, patch.to_string()).expect("patch file");
    file.to_string_lossy().into_owned()
}

fn fleet_patch() -> Value {
    json!({"pools": {"intake": {"budget": 1, "vms": ["vm-1", "vm-2"]}}})
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_session() {
    let platform = support::start_platform().await;
    let daemons = start_entries(&platform, 2).await;
    let [one, two] = &daemons[..] else {
        panic!("two entries");
    };
    let file = write_patch("session", &fleet_patch());
    let submit = [
        "patch",
        "--base",
        "0",
        "--reason",
        "first",
        "--patch-id",
        "p-1",
        &file,
    ];
    assert_eq!(run(one, &submit, DONE)["version"], 1);
    assert_eq!(
        run(two, &submit, DONE)["version"],
        1,
        "the same patch again"
    );
    let other = ["patch", "--base", "0", "--reason", "late", &file];
    run(one, &other, CONFLICT);
    let drain = run(two, &["drain", "vm-1", "--reason", "disk"], DONE);
    assert_eq!(drain["version"], 2);
    run(one, &["drain", "vm-9", "--reason", "none such"], REFUSED);
    wait_for_version(one, 2).await;
    wait_for_version(two, 2).await;
    let config = run(one, &["config", "show"], DONE);
    assert_eq!(config["document"]["drains"], json!({"vm-1": "disk"}));
    let old = run(two, &["config", "show", "1"], DONE);
    assert_eq!(old["document"], fleet_patch());
    run(two, &["config", "show", "7"], REFUSED);
    assert_eq!(run(one, &["undrain", "vm-1"], DONE)["version"], 3);
    assert_eq!(
        run(one, &["wave", "start", "--pool", "intake"], DONE)["version"],
        4
    );
    wait_for_version(one, 4).await;
    run(one, &["wave", "start"], REFUSED);
    assert_eq!(run(one, &["wave", "stop"], DONE)["version"], 5);
    wait_for_version(one, 5).await;
    let log = run(one, &["config", "log"], DONE);
    let reasons = log["versions"].as_array().expect("versions").iter();
    let reasons: Vec<_> = reasons.map(|version| version["reason"].clone()).collect();
    assert_eq!(reasons, ["first", "disk", "undrain", "wave", "stop wave"]);
    let status = run(one, &["status"], DONE);
    assert_eq!(status["platform_reachable"], true);
    assert!(status["rosters"].is_object(), "{status}");
    run(one, &["audit"], DONE);
    let report = run(one, &["report", "--from", "1h"], DONE);
    assert_eq!(report["versions"].as_array().map(Vec::len), Some(5));
    for table in [&["status"][..], &["config", "log"], &["audit"], &["report"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_chicory"))
            .args(["--entry", &one.control.to_string()])
            .args(table)
            .output();
        assert!(output.expect("chicory").status.success(), "{table:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_ejected() {
    let platform = support::start_platform().await;
    let backends = support::start_backends(&platform, "dc-1", &["vm-1", "vm-2"]).await;
    backends[0].state.set_faults(BackendFaults {
        fail: true,
        ..BackendFaults::default()
    });
    let daemons = start_entries(&platform, 1).await;
    let file = write_patch("ejected", &fleet_patch());
    run(
        &daemons[0],
        &["patch", "--base", "0", "--reason", "fleet", &file],
        DONE,
    );
    support::eventually("VM ejected", || async {
        call::run(LoadSettings {
            entries: vec![daemons[0].entry],
            pool: "intake".to_owned(),
            rate: 50.0,
            length: Duration::from_millis(500),
            ..LoadSettings::default()
        })
        .await;
        let status = daemons[0].get("/v1/status").await;
        status.is_some_and(|status| status["ejected"]["vm-1"]["pool"] == "intake")
    })
    .await;
    let output = Command::new(env!("CARGO_BIN_EXE_chicory"))
        .args(["--entry", &daemons[0].control.to_string(), "status"])
        .output();
    let output = output.expect("chicory");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("vm-1 of intake"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_platform_away() {
    let platform = support::start_platform().await;
    let daemons = start_entries(&platform, 1).await;
    let file = write_patch("away", &fleet_patch());
    platform.state.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let submit = [
        "patch",
        "--base",
        "0",
        "--reason",
        "first",
        "--patch-id",
        "p-1",
        &file,
    ];
    run(&daemons[0], &submit, NOT_REACHED);
    support::eventually("outage shown", || async {
        let status = daemons[0].get("/v1/status").await;
        status.is_some_and(|status| status["platform_reachable"] == false)
    })
    .await;
    platform.state.set_faults(PlatformFaults::default());
    assert_eq!(run(&daemons[0], &submit, DONE)["version"], 1);
}

/// The exit status and the message if an entry VM accepts the connection but sends no
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn commands_not_known() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("socket");
    let address = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Closes the connection once the request arrives, without a response.
            let _ = stream.readable().await;
        }
    });
    let file = write_patch("unknown", &fleet_patch());
    let output = Command::new(env!("CARGO_BIN_EXE_chicory"))
        .args([
            "--entry",
            &address,
            "patch",
            "--base",
            "0",
            "--reason",
            "x",
            "--patch-id",
            "p-7",
        ])
        .arg(&file)
        .output();
    let output = output.expect("chicory");
    assert_eq!(output.status.code(), Some(NOT_KNOWN), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("--patch-id p-7"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_breach_reported() {
    let platform = support::start_platform().await;
    let daemons = start_entries(&platform, 1).await;
    let client =
        chicorygauge::platform::PlatformClient::new(chicorygauge::platform::PlatformSettings {
            address: platform.server.address,
            ..Default::default()
        });
    // The row has no predecessor, so part of the audit record is missing.
    let row = json!([{
        "sequence": 2, "time_ms": 1, "author": "e-0", "subject": "vm/vm-1", "action": "state",
        "from": "", "to": "serving", "reason": "pool=intake", "digest": "none",
    }]);
    let written = client.compare_and_swap("audit/dc-9/00000000", 0, row.to_string().into());
    assert!(written.await.expect("write"));
    let report = run(&daemons[0], &["report"], NOT_HELD);
    assert_eq!(report["conditions"]["record"], false);
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_racing() {
    let platform = support::start_platform().await;
    platform.state.set_faults(PlatformFaults {
        lose_share: 0.3,
        refuse_share: 0.1,
        delay_ms: 2,
        ..PlatformFaults::default()
    });
    let daemons = start_entries(&platform, 3).await;
    let vms: Vec<_> = (0..12).map(|vm| format!("vm-{vm}")).collect();
    let patch = json!({"pools": {"intake": {"budget": 12, "vms": vms}}});
    let file = write_patch("racing", &patch);
    run(
        &daemons[0],
        &[
            "patch",
            "--base",
            "0",
            "--reason",
            "fleet",
            "--patch-id",
            "p",
            &file,
        ],
        DONE,
    );
    for daemon in &daemons {
        wait_for_version(daemon, 1).await;
    }
    // Each operator drains different VMs; no drain may be lost or accepted twice.
    std::thread::scope(|scope| {
        for (index, daemon) in daemons.iter().enumerate() {
            let vms = &vms[index * 4..][..4];
            scope.spawn(move || {
                for vm in vms {
                    run(daemon, &["drain", vm, "--reason", "test"], DONE);
                }
            });
        }
    });
    for daemon in &daemons {
        wait_for_version(daemon, 13).await;
        let config = daemon.get("/v1/config").await.expect("config");
        assert_eq!(
            config["document"]["drains"].as_object().map(|d| d.len()),
            Some(12)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_restarted() {
    let platform = support::start_platform().await;
    let plan = DaemonPlan::new("e-0", "dc-1");
    let address = platform.server.address;
    let mut daemon = DaemonProcess::start(&plan, &[], address);
    support::eventually("patch accepted", || async {
        let response = support::patch(daemon.control, 0, fleet_patch()).await;
        response.is_some_and(|(status, _)| status == 200)
    })
    .await;
    wait_for_version(&daemon, 1).await;
    daemon.kill();
    let daemon = DaemonProcess::start(&plan, &[], address);
    wait_for_version(&daemon, 1).await;
    let next = json!({"weights": {"moves": 2.0}});
    let response = support::patch(daemon.control, 1, next).await;
    assert_eq!(response.expect("response").0, 200);
    wait_for_version(&daemon, 2).await;
}

async fn post(daemon: &DaemonProcess, path: &str, body: Vec<u8>) -> Option<u16> {
    send(daemon, Method::POST, path, body).await
}

/// Returns the HTTP status, or none if the connection closed without a response.
async fn send(daemon: &DaemonProcess, method: Method, path: &str, body: Vec<u8>) -> Option<u16> {
    let request = CallRequest {
        method,
        path,
        content_type: "application/json",
        body: Bytes::from(body),
        limit: Duration::from_secs(30),
        ..CallRequest::default()
    };
    let response = http::call(daemon.control, request).await;
    response.ok().map(|response| response.status.as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn patch_sizes() {
    let platform = support::start_platform().await;
    let daemons = start_entries(&platform, 1).await;
    let body = |bytes: usize| {
        let reason = "x".repeat(2000);
        let vms = (0..bytes / 12).map(|vm| format!("vm-{vm:07}"));
        let vms: Vec<_> = vms.collect();
        let patch = json!({"pools": {"a": {"vms": vms}}});
        let body = json!({
            "base": 0, "patch": patch, "author": "a", "reason": reason, "patch_id": "p-1",
        });
        body.to_string().into_bytes()
    };
    assert_eq!(
        post(&daemons[0], "/v1/config/patch", body(3 << 20)).await,
        Some(400)
    );
    assert_eq!(
        post(&daemons[0], "/v1/config/patch", body(1_000_000)).await,
        Some(422)
    );
    assert_eq!(
        post(&daemons[0], "/v1/config/patch", body(200_000)).await,
        Some(200)
    );
    let deep = "[".repeat(100_000).into_bytes();
    assert_eq!(post(&daemons[0], "/v1/config/patch", deep).await, Some(400));
}

#[tokio::test(flavor = "multi_thread")]
async fn patch_slow_bodies() {
    let platform = support::start_platform().await;
    let daemons = start_entries(&platform, 1).await;
    let head = "POST /v1/config/patch HTTP/1.1\r\nHost: a\r\n\
                Content-Type: application/json\r\nContent-Length: 99\r\n\r\n{";
    let mut slow = Vec::new();
    for _ in 0..8 {
        let stream = TcpStream::connect(daemons[0].control).await;
        let mut stream = stream.expect("connection");
        stream.write_all(head.as_bytes()).await.expect("head");
        slow.push(stream);
    }
    for stream in &mut slow {
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.expect("response");
        assert_eq!(&response, b"HTTP/1.1 408");
    }
    let response = support::patch(daemons[0].control, 0, fleet_patch()).await;
    assert_eq!(
        response.expect("response").0,
        200,
        "slow bodies release their permits"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn control_arbitrary(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 40),
        texts in prop::collection::vec("[0-9a-z-]{1,24}", 40),
        values in prop::collection::vec("[\\[\\]{}\":,a0-9.e-]{0,40}", 40),
    ) {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let platform = support::start_platform().await;
            let daemons = start_entries(&platform, 1).await;
            for body in bodies {
                let status = post(&daemons[0], "/v1/config/patch", body).await;
                assert_eq!(status, Some(400));
            }
            for value in values {
                let body = format!("{{\"base\":0,\"patch\":{value},\"author\":\"a\",\"reason\":\"r\",\"patch_id\":\"p\"}}");
                let status = post(&daemons[0], "/v1/config/patch", body.into_bytes()).await;
                assert!(status.is_some(), "no response");
            }
            for text in texts {
                for path in ["config?version=", "config/log?most=", "report?from=", "audit?to=", ""] {
                    let path = format!("/v1/{path}{text}");
                    let status = send(&daemons[0], Method::GET, &path, Vec::new()).await;
                    assert!(status.is_some(), "no response to {path}");
                }
            }
            let status = daemons[0].get("/v1/status").await;
            assert!(status.is_some(), "the daemon must still respond");
        });
    }
}
