//! Compares throughput and latency of requests through one entry VM with direct
//! requests to the same backend server, and measures the memory of a daemon.
//!
//! `cargo bench --bench path`. Caller, entry service and backend server share
//! the threads of one runtime, so that both routes run on the same cores. Rounds
//! alternate between the routes. The daemon whose memory is read is a separate
//! process.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::request::headers;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use standin::call;
use standin::call::LoadSettings;
use standin::server;
use standin::server::RunningServer;
use standin::server::ServerControl;
use support::DaemonPlan;
use support::DaemonProcess;
use support::entry::EntryFixture;
use support::entry::FixtureSettings;
use support::entry::POOL;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

const THREADS: usize = 4;
const CONNECTIONS: usize = 32;
/// Rounds for each route, of which the one with the median rate is printed.
const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_secs(2);
const BODY: Bytes = Bytes::from_static(&[b'x'; 64]);

/// Load figures of one route in one round.
#[derive(Clone, Copy, Default)]
struct RouteFigures {
    /// Completed requests per second.
    rate: f64,
    p50_us: u64,
    p99_us: u64,
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let runtime = runtime.expect("runtime");
    runtime.block_on(async {
        let backend = start_backend().await;
        let settings = FixtureSettings {
            slots: 64,
            ..FixtureSettings::default()
        };
        let entry = EntryFixture::start(&[backend.address], settings).await;
        println!(
            "threads={THREADS} rounds={ROUNDS} of {} s each",
            ROUND.as_secs()
        );
        compare_routes(backend.address, entry.address, 1).await;
        compare_routes(backend.address, entry.address, CONNECTIONS).await;
    });
    drop(runtime);
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(measure_memory());
}

async fn start_backend() -> RunningServer {
    let control = ServerControl {
        resets: watch::Sender::new(0).subscribe(),
        open: watch::Sender::new(true).subscribe(),
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = server::start(listen, control, |request| async move {
        let id = request.headers().get(headers::REQUEST_ID).cloned();
        let mut response = Response::new(Full::new(request.into_body()));
        if let Some(id) = id {
            response.headers_mut().insert(headers::REQUEST_ID, id);
        }
        Ok(response)
    });
    server.await.expect("backend server")
}

async fn compare_routes(backend: SocketAddr, entry: SocketAddr, connections: usize) {
    let mut rounds = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        for (route, address) in [backend, entry].into_iter().enumerate() {
            rounds[route].push(run_load(address, connections).await);
        }
    }
    let [direct, via_entry] = rounds.map(median_round);
    for (route, figures) in [("direct", direct), ("entry", via_entry)] {
        println!(
            "connections={connections} way={route} rate={:.0} p50_us={} p99_us={}",
            figures.rate, figures.p50_us, figures.p99_us
        );
    }
    println!(
        "connections={connections} rate_share={:.2} added_p50_us={}",
        via_entry.rate / direct.rate,
        via_entry.p50_us.saturating_sub(direct.p50_us)
    );
}

/// Returns the round with the median rate.
fn median_round(mut rounds: Vec<RouteFigures>) -> RouteFigures {
    rounds.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    rounds[rounds.len() / 2]
}

/// Runs a closed-loop load for one round: each connection sends its next request when
/// the response to the last one has arrived.
async fn run_load(address: SocketAddr, connections: usize) -> RouteFigures {
    let start = Instant::now();
    let mut connection_loads = JoinSet::new();
    for number in 0..connections {
        connection_loads.spawn(run_connection(address, number, start + ROUND));
    }
    let mut latency = call::latency_histogram();
    while let Some(connection_latency) = connection_loads.join_next().await {
        latency
            .add(connection_latency.expect("task"))
            .expect("histograms with equal bounds");
    }
    RouteFigures {
        rate: latency.len() as f64 / start.elapsed().as_secs_f64(),
        p50_us: latency.value_at_quantile(0.5) / 1000,
        p99_us: latency.value_at_quantile(0.99) / 1000,
    }
}

async fn run_connection(address: SocketAddr, number: usize, end: Instant) -> Histogram<u64> {
    let stream = TcpStream::connect(address).await.expect("connection");
    stream.set_nodelay(true).expect("nodelay");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    let mut latency = call::latency_histogram();
    let mut count = 0_u64;
    while Instant::now() < end {
        let start = Instant::now();
        count += 1;
        let request = Request::post("/order")
            .header("host", "entry")
            .header(headers::POOL, POOL)
            .header(headers::REQUEST_ID, format!("r-{number}-{count}"))
            .body(Full::new(BODY))
            .expect("request");
        let response = sender.send_request(request).await.expect("response");
        let body = response.into_body().collect().await.expect("body");
        assert_eq!(body.to_bytes(), BODY);
        latency.saturating_record(start.elapsed().as_nanos() as u64);
    }
    latency
}

/// Prints the resident memory of a daemon process, idle and after an overload.
async fn measure_memory() {
    let platform = support::start_platform().await;
    let backends = support::start_backends(&platform, "dc-1", &["vm-1", "vm-2"]).await;
    let plans = [DaemonPlan::new("e-1", "dc-1")];
    let daemon = DaemonProcess::start(&plans[0], &plans, platform.server.address);
    let document = json!({"pools": {POOL: {"budget": 1, "vms": ["vm-1", "vm-2"]}}});
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemon.control, 0, document.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
    support::eventually("VMs known to the daemon", || async {
        let status = daemon.get("/v1/status").await;
        status.is_some_and(|status| status["vms"] == 2)
    })
    .await;
    println!("daemon=idle resident_kb={}", daemon.resident_kb());
    let record = call::run(LoadSettings {
        entries: vec![daemon.entry],
        pool: POOL.to_owned(),
        rate: 10_000.0,
        length: Duration::from_secs(5),
        body_bytes: 1024,
        ..LoadSettings::default()
    });
    let summary = call::compare(&record.await, &support::records(&backends));
    println!(
        "daemon=overloaded resident_kb={} {summary}",
        daemon.resident_kb()
    );
}
