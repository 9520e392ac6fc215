//! Runs daemons as separate processes against a simulated platform and measures
//! their platform calls and traffic, CPU time and memory.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::fleet::wire::FleetWire;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use standin::backend;
use standin::backend::BackendSettings;
use standin::backend::RunningBackend;
use standin::platform;
use standin::platform::CallCounts;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Entry VMs of each data centre.
pub const ENTRIES: usize = 2;
/// Maximum wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Clock ticks of the CPU times in `/proc`, per second.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// Number and configuration of the processes to start.
pub struct ClusterPlan {
    pub dcs: usize,
    /// Backend servers of each data centre, one per VM.
    pub vms: usize,
    /// Configuration. VM `i` of data centre `d` is `vm-<d>-<i>`, with two and four digits.
    pub document: Value,
}

/// Daemon processes, their platform and their backend servers.
pub struct BenchCluster {
    pub platform: RunningPlatform,
    pub daemons: Vec<RunningDaemon>,
    plan: ClusterPlan,
    /// Version of the last configuration that was accepted.
    version: u64,
    _backends: Vec<RunningBackend>,
}

/// A daemon process that reaches the platform through a byte-counting proxy.
pub struct RunningDaemon {
    control: SocketAddr,
    platform_bytes: Arc<AtomicU64>,
    child: Child,
    settings_file: std::path::PathBuf,
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_file);
    }
}

/// CPU time and platform traffic of a daemon since its start, and its current memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct DaemonUsage {
    pub cpu_s: f64,
    pub platform_bytes: f64,
    pub resident_mb: f64,
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("socket");
    listener.local_addr().expect("address")
}

/// Starts a TCP proxy to `target` and returns its address and the number of bytes sent
/// in both directions. The bytes of a connection are added when it closes.
async fn start_counting_proxy(target: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("socket");
    let address = listener.local_addr().expect("address");
    let bytes = Arc::new(AtomicU64::new(0));
    let total = bytes.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let total = total.clone();
            tokio::spawn(async move {
                let Ok(mut upstream) = TcpStream::connect(target).await else {
                    return;
                };
                let copied = copy_bidirectional(&mut stream, &mut upstream).await;
                let (up, down) = copied.unwrap_or_default();
                total.fetch_add(up + down, Ordering::Relaxed);
            });
        }
    });
    (address, bytes)
}

impl RunningDaemon {
    async fn start(
        name: &str,
        dc: &str,
        control: SocketAddr,
        peers: &str,
        platform: SocketAddr,
    ) -> Self {
        let (proxy, platform_bytes) = start_counting_proxy(platform).await;
        let text = format!(
            "[entry]\nname={name}\ndc={dc}\nlisten={}\ncontrol_listen={control}\n\
             [peers]\ncontrol={peers}\n[platform]\naddress={proxy}\n",
            free_address()
        );
        let file = format!("chicorygauge-capacity-{}-{name}.ini", std::process::id());
        let settings_file = std::env::temp_dir().join(file);
        fs::write(&settings_file, text).expect("settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryd"))
            .arg("run")
            .arg(&settings_file)
            .env("RUST_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .expect("daemon");
        Self {
            control,
            platform_bytes,
            child,
            settings_file,
        }
    }

    /// Reads CPU time and memory from `/proc` and the bytes from the proxy.
    pub fn usage(&self) -> DaemonUsage {
        let proc = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{proc}/stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let fields: Vec<_> = fields.map(|field| field.parse().unwrap_or(0.0)).collect();
        let statm = fs::read_to_string(format!("{proc}/statm")).unwrap_or_default();
        let pages = statm.split_whitespace().nth(1).unwrap_or("0");
        // Fields 14 and 15 of `stat` are the user and system time; `)` ends field 2.
        let ticks: f64 = fields.iter().skip(11).take(2).sum();
        DaemonUsage {
            cpu_s: ticks / TICKS_PER_SECOND,
            platform_bytes: self.platform_bytes.load(Ordering::Relaxed) as f64,
            resident_mb: pages.parse().unwrap_or(0.0) * PAGE_BYTES / 1e6,
        }
    }

    async fn status(&self) -> Option<Value> {
        let request = CallRequest {
            path: "/v1/status",
            ..CallRequest::default()
        };
        let answer = call(self.control, request).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl BenchCluster {
    /// Starts all processes; waits until the configuration is in force at every daemon
    /// and the fleet records contain every VM.
    pub async fn start(plan: ClusterPlan) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::start(listen).await.expect("platform");
        let address = platform.server.address;
        let mut backends = Vec::new();
        for dc in 0..plan.dcs {
            for vm in 0..plan.vms {
                let settings = BackendSettings {
                    vm: format!("vm-{dc:02}-{vm:04}"),
                    dc: format!("dc-{dc:02}"),
                    rack: format!("rack-{:03}", vm / 4),
                    platform: Some(address),
                    ..BackendSettings::default()
                };
                backends.push(backend::start(settings).await.expect("backend server"));
            }
        }
        let controls: Vec<_> = (0..plan.dcs * ENTRIES).map(|_| free_address()).collect();
        let mut daemons = Vec::new();
        for (index, control) in controls.iter().enumerate() {
            let others = controls.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            let others = others.map(|(other, at)| format!("dc-{:02}={at}", other / ENTRIES));
            let peers = others.collect::<Vec<_>>().join(",");
            let dc = format!("dc-{:02}", index / ENTRIES);
            let name = format!("entry-{index:02}");
            daemons.push(RunningDaemon::start(&name, &dc, *control, &peers, address).await);
        }
        let document = plan.document.clone();
        let mut cluster = Self {
            platform,
            daemons,
            plan,
            version: 0,
            _backends: backends,
        };
        cluster.patch(document).await;
        cluster.wait_for_vms().await;
        cluster
    }

    /// Submits a patch, retrying until it is accepted. Returns the time from the accepted
    /// submission until the patch is in force at every daemon.
    pub async fn patch(&mut self, patch: Value) -> Duration {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let start = Instant::now();
            if self.submit(&patch).await {
                self.version += 1;
                self.wait_in_force().await;
                return start.elapsed();
            }
            assert!(Instant::now() < deadline, "patch not accepted");
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn submit(&self, patch: &Value) -> bool {
        let body = json!({
            "base": self.version, "patch": patch, "author": "bench", "reason": "bench",
            "patch_id": format!("{:032x}", rand::random::<u128>()),
        });
        let request = CallRequest {
            method: Method::POST,
            path: "/v1/config/patch",
            content_type: "application/json",
            body: Bytes::from(body.to_string()),
            limit: Duration::from_secs(10),
            ..CallRequest::default()
        };
        let answer = call(self.daemons[0].control, request).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    async fn wait_in_force(&self) {
        for daemon in &self.daemons {
            self.wait_for("version in force", || async {
                let status = daemon.status().await;
                status.is_some_and(|status| status["config_version"] == self.version)
            })
            .await;
        }
    }

    async fn wait_for_vms(&self) {
        self.wait_for("VMs known", || async {
            let complete = |record: FleetWire| record.vms.len() == self.plan.vms;
            self.read_fleet_records().into_iter().all(complete)
        })
        .await;
    }

    /// Reads the fleet records of all data centres from the platform.
    pub fn read_fleet_records(&self) -> Vec<FleetWire> {
        let read = |dc| {
            let value = self.platform.state.peek(&format!("fleet/dc-{dc:02}"));
            value.and_then(|value| serde_json::from_slice(&value).ok())
        };
        (0..self.plan.dcs)
            .map(|dc| read(dc).unwrap_or_default())
            .collect()
    }

    /// Waits until every VM has been maintained at or after `since_ms`.
    pub async fn wait_for_maintenance(&self, since_ms: u64) {
        self.wait_for("VMs maintained", || async {
            let records = self.read_fleet_records();
            let mut vms = records.iter().flat_map(|record| record.vms.values());
            vms.all(|vm| vm.maintained_ms >= since_ms)
        })
        .await;
    }

    async fn wait_for<F: Future<Output = bool>>(
        &self,
        condition_name: &str,
        mut condition: impl FnMut() -> F,
    ) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition().await {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {condition_name}"
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Makes the platform inject `faults`.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.platform.state.set_faults(faults);
    }

    /// Measures for `length`; returns the platform calls by kind and each daemon's usage.
    pub async fn measure(&self, length: Duration) -> (CallCounts, Vec<DaemonUsage>) {
        let counts = self.platform.state.counts();
        let usages: Vec<_> = self.daemons.iter().map(RunningDaemon::usage).collect();
        sleep(length).await;
        let usages = self.daemons.iter().zip(usages).map(|(daemon, before)| {
            let after = daemon.usage();
            DaemonUsage {
                cpu_s: after.cpu_s - before.cpu_s,
                platform_bytes: after.platform_bytes - before.platform_bytes,
                resident_mb: after.resident_mb,
            }
        });
        let usages = usages.collect();
        (difference(&self.platform.state.counts(), &counts), usages)
    }
}

/// Number of calls of each kind made between two readings.
pub fn difference(after: &CallCounts, before: &CallCounts) -> CallCounts {
    let counts = after.iter().map(|(kind, count)| {
        let earlier = before.get(kind).copied().unwrap_or(0);
        (kind.clone(), count - earlier)
    });
    counts.collect::<BTreeMap<_, _>>()
}
