//! Measures the cost of the traffic between entry VMs, with daemons as processes.
//!
//! Each data centre has three entry VMs with the default periods. The table gives
//! means per entry VM of CPU time, resident memory, and bytes and messages exchanged
//! with other entry VMs, and the rate of platform calls of all entry VMs together.
//! The arguments are numbers of data centres, by default 2, 8 and 24:
//! `cargo bench --bench peers -- 2 8 24`.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use hyper::Method;
use serde_json::json;
use standin::platform;
use standin::platform::RunningPlatform;
use tokio::runtime::Runtime;
use tokio::time::sleep;

/// Entry VMs of each data centre.
const ENTRIES: usize = 3;
const POOLS: usize = 133;
const ENTRY_PORT: u16 = 7080;
const CONTROL_PORT: u16 = 7081;
/// Wait before the measurement, until the traffic of the start has ended.
const SETTLE: Duration = Duration::from_secs(20);
/// Length of the measured interval.
const SPAN: Duration = Duration::from_secs(20);
/// Clock ticks of the processor times in `/proc`, per second.
const TICKS_PER_SECOND: f64 = 100.0;

struct BenchDaemon {
    child: Child,
    control: SocketAddr,
}

impl Drop for BenchDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Totals of one daemon since its start, and its current memory.
#[derive(Clone, Copy, Default)]
struct DaemonCost {
    cpu_s: f64,
    resident_mb: f64,
    /// Bytes exchanged with other entry VMs.
    bytes: f64,
    /// Messages exchanged with other entry VMs.
    messages: f64,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![2, 8, 24]
    } else {
        sizes
    };
    let runtime = Runtime::new().expect("runtime");
    println!(
        "data_centres cpu_percent resident_mb bytes_per_s messages_per_s platform_calls_per_s"
    );
    for size in sizes {
        runtime.block_on(measure(size));
    }
}

async fn measure(dcs: usize) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::start(listen).await.expect("platform");
    let daemons = start_daemons(dcs, platform.server.address);
    sleep(Duration::from_secs(3)).await;
    submit_config(daemons[0].control).await;
    sleep(SETTLE).await;
    let (before, calls) = (read_costs(&daemons).await, platform_calls(&platform));
    sleep(SPAN).await;
    let after = read_costs(&daemons).await;
    let span = SPAN.as_secs_f64();
    let count = daemons.len() as f64;
    let mean = |cost: fn(&DaemonCost) -> f64| {
        let spent: f64 = after.iter().map(cost).sum::<f64>() - before.iter().map(cost).sum::<f64>();
        spent / span / count
    };
    let resident: f64 = after.iter().map(|cost| cost.resident_mb).sum();
    let calls_after = platform_calls(&platform);
    let calls = calls_after.iter().map(|(kind, count)| {
        let count = count - calls.get(kind).copied().unwrap_or(0);
        format!("{kind}={:.1}", count as f64 / span)
    });
    println!(
        "{dcs} {:.2} {:.1} {:.0} {:.1} {}",
        mean(|cost| cost.cpu_s) * 100.0,
        resident / count,
        mean(|cost| cost.bytes),
        mean(|cost| cost.messages),
        calls.collect::<Vec<_>>().join(",")
    );
}

/// Returns the address of an entry VM at a port; each entry VM has its own loopback
/// address.
fn loopback_address(number: usize, port: u16) -> SocketAddr {
    let (high, low) = (number / 200, number % 200);
    SocketAddr::from(([127, 77, high as u8, 1 + low as u8], port))
}

fn start_daemons(dcs: usize, platform: SocketAddr) -> Vec<BenchDaemon> {
    let plans = (0..dcs * ENTRIES).map(|number| {
        (
            number / ENTRIES,
            number,
            loopback_address(number, CONTROL_PORT),
        )
    });
    let plans: Vec<_> = plans.collect();
    let peers = plans
        .iter()
        .map(|(dc, _, control)| format!("dc-{dc}={control}"));
    let peers: Vec<_> = peers.collect();
    let daemons = plans.iter().map(|(dc, number, control)| {
        let other_peers = peers
            .iter()
            .filter(|peer| !peer.ends_with(&format!("={control}")));
        let other_peers: Vec<_> = other_peers.cloned().collect();
        let text = format!(
            "[entry]\nname=e-{number}\ndc=dc-{dc}\nlisten={}\ncontrol_listen={control}\n\
             [peers]\ncontrol={}\n[platform]\naddress={platform}\n",
            loopback_address(*number, ENTRY_PORT),
            other_peers.join(",")
        );
        let file = format!("chicoryd-bench-{}-{number}.ini", std::process::id());
        let file = std::env::temp_dir().join(file);
        fs::write(&file, text).expect("settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryd"))
            .arg("run")
            .arg(&file)
            .env("RUST_LOG", "error")
            .spawn();
        BenchDaemon {
            child: child.expect("daemon"),
            control: *control,
        }
    });
    daemons.collect()
}

/// Submits a configuration with all pools to an entry VM.
async fn submit_config(control: SocketAddr) {
    let pools = (0..POOLS).map(|pool| (format!("pool-{pool}"), json!({"budget": 0})));
    let pools: serde_json::Map<_, _> = pools.collect();
    let body = json!({
        "base": 0, "patch": {"pools": pools}, "author": "bench", "reason": "bench",
        "patch_id": "bench",
    });
    let request = CallRequest {
        method: Method::POST,
        path: "/v1/config/patch",
        content_type: "application/json",
        body: Bytes::from(body.to_string()),
        limit: Duration::from_secs(20),
        ..CallRequest::default()
    };
    let answer = call(control, request).await.expect("response");
    assert!(answer.status.is_success(), "{:?}", answer.body);
}

fn platform_calls(platform: &RunningPlatform) -> BTreeMap<String, u64> {
    platform.state.counts()
}

async fn read_costs(daemons: &[BenchDaemon]) -> Vec<DaemonCost> {
    let mut costs = Vec::new();
    for daemon in daemons {
        costs.push(read_cost(daemon).await);
    }
    costs
}

async fn read_cost(daemon: &BenchDaemon) -> DaemonCost {
    let stat = fs::read_to_string(format!("/proc/{}/stat", daemon.child.id()));
    let stat = stat.unwrap_or_default();
    let fields: Vec<_> = stat.split_whitespace().collect();
    // Fields by index: 13 user time, 14 system time, 23 resident pages.
    let stat_field = |index: usize| -> f64 {
        let field = fields.get(index);
        field
            .and_then(|field| field.parse().ok())
            .unwrap_or_default()
    };
    let request = CallRequest {
        path: "/metrics",
        ..CallRequest::default()
    };
    let metrics = call(daemon.control, request).await;
    let metrics = metrics.map(|answer| answer.body).unwrap_or_default();
    let metrics = String::from_utf8_lossy(&metrics);
    let metric_sum = |name: &str| -> f64 {
        let lines = metrics.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    };
    DaemonCost {
        cpu_s: (stat_field(13) + stat_field(14)) / TICKS_PER_SECOND,
        resident_mb: stat_field(23) * 4096.0 / (1 << 20) as f64,
        bytes: metric_sum("chicory_peer_bytes_total{"),
        messages: metric_sum("chicory_peer_messages_total{"),
    }
}
