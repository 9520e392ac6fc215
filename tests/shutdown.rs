//! Graceful shutdown of entry VMs: under load, with an idle connection and with requests
//! that run longer than the load.
//!
//! Guards against requests that are lost or cut off when an entry VM exits.

mod support;

use std::time::Duration;

use serde_json::json;
use standin::call;
use standin::call::LoadRecord;
use standin::call::LoadSettings;
use standin::call::LoadSummary;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use support::DaemonPlan;
use support::DaemonProcess;

async fn start() -> (
    standin::platform::RunningPlatform,
    Vec<standin::backend::RunningBackend>,
    Vec<DaemonProcess>,
) {
    let platform = support::start_platform().await;
    let backends = support::start_backends(&platform, "dc-1", &["vm-1", "vm-2", "vm-3"]).await;
    let plans = [
        DaemonPlan::new("e-1", "dc-1"),
        DaemonPlan::new("e-2", "dc-1"),
    ];
    let address = platform.server.address;
    let daemons = plans.iter();
    let daemons: Vec<_> = daemons
        .map(|plan| DaemonProcess::start(plan, &plans, address))
        .collect();
    let document = json!({"pools": {"intake": {"budget": 1, "vms": ["vm-1", "vm-2", "vm-3"]}}});
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemons[0].control, 0, document.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
    for daemon in &daemons {
        support::eventually("requests are answered", || async {
            let record = call::run(LoadSettings {
                entries: vec![daemon.entry],
                pool: "intake".to_owned(),
                rate: 20.0,
                length: Duration::from_millis(50),
                prefix: "probe".to_owned(),
                ..LoadSettings::default()
            });
            record.await.latency.len() == 1
        })
        .await;
    }
    (platform, backends, daemons)
}

fn load(daemons: &[DaemonProcess], service: Duration) -> LoadSettings {
    LoadSettings {
        entries: daemons.iter().map(|daemon| daemon.entry).collect(),
        pool: "intake".to_owned(),
        rate: 300.0,
        length: Duration::from_secs(2),
        service: Some(service),
        prefix: "load".to_owned(),
        ..LoadSettings::default()
    }
}

fn summarize(record: &LoadRecord, backends: &[standin::backend::RunningBackend]) -> LoadSummary {
    call::compare(record, &support::records(backends))
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_under_load() {
    let (_platform, backends, mut daemons) = start().await;
    let load = tokio::spawn(call::run(load(&daemons, Duration::from_millis(20))));
    sleep(Duration::from_millis(700)).await;
    daemons[0].signal("TERM");
    assert!(daemons[0].wait_for_exit().await, "exit status");
    let summary = summarize(&load.await.expect("load"), &backends);
    assert!(!summary.has_violations(), "{summary}");
    assert_eq!(summary.unknown, 0, "{summary}");
}

/// Sends one request on a connection and returns the head of the answer.
async fn send(stream: &mut TcpStream, id: &str) -> String {
    let request = format!(
        "POST / HTTP/1.1\r\nhost: e\r\nchicory-pool: intake\r\nchicory-request-id: {id}\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut part = [0; 1024];
        let count = stream.read(&mut part).await.expect("read");
        assert!(
            count > 0,
            "connection closed after {:?}",
            String::from_utf8_lossy(&head)
        );
        head.extend(&part[..count]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_idle_connection() {
    let (_platform, _backends, mut daemons) = start().await;
    let mut stream = TcpStream::connect(daemons[0].entry).await.expect("entry");
    let answered = send(&mut stream, "before").await;
    assert!(answered.contains("chicory-outcome: answered"), "{answered}");
    daemons[0].signal("TERM");
    support::eventually("listener closed", || async {
        TcpStream::connect(daemons[0].entry).await.is_err()
    })
    .await;
    let refused = send(&mut stream, "after").await;
    assert!(refused.contains("chicory-outcome: not-run"), "{refused}");
    assert!(refused.contains("retry-after:"), "{refused}");
    assert!(daemons[0].wait_for_exit().await, "exit status");
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_long_request() {
    let (_platform, backends, mut daemons) = start().await;
    let long = LoadSettings {
        entries: vec![daemons[0].entry],
        rate: 10.0,
        length: Duration::from_millis(500),
        deadline: Duration::from_secs(20),
        ..load(&daemons, Duration::from_secs(2))
    };
    let long = tokio::spawn(call::run(long));
    sleep(Duration::from_millis(600)).await;
    daemons[0].signal("TERM");
    let summary = summarize(&long.await.expect("load"), &backends);
    assert_eq!(summary.answered, 5, "{summary}");
    assert!(!summary.has_violations(), "{summary}");
    assert!(daemons[0].wait_for_exit().await, "exit status");
}
