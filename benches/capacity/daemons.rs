//! Daemons as processes beside a stand-in platform: calls, bytes, processor time
//! and memory.

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
/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Ticks of a second in /proc.
const TICKS: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// What is started.
pub struct StartPlan {
    pub dcs: usize,
    /// VMs of each data centre that are there.
    pub vms: usize,
    /// Configuration; the VMs of data centre `d` are `vm-<d>-<i>`.
    pub document: Value,
}

/// Daemons, their platform and their backend servers.
pub struct RunningSite {
    pub platform: RunningPlatform,
    pub daemons: Vec<RunningDaemon>,
    plan: StartPlan,
    version: u64,
    _backends: Vec<RunningBackend>,
}

/// A daemon behind a link to the platform that counts bytes.
pub struct RunningDaemon {
    control: SocketAddr,
    platform_bytes: Arc<AtomicU64>,
    child: Child,
    settings: std::path::PathBuf,
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Totals of a daemon since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct DaemonUse {
    pub cpu_s: f64,
    pub platform_bytes: f64,
    pub resident_mb: f64,
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("socket");
    listener.local_addr().expect("address")
}

/// Passes connections on and counts their bytes, each way.
async fn counting_link(target: SocketAddr) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("socket");
    let address = listener.local_addr().expect("address");
    let bytes = Arc::new(AtomicU64::new(0));
    let total = bytes.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let total = total.clone();
            tokio::spawn(async move {
                let Ok(mut onward) = TcpStream::connect(target).await else {
                    return;
                };
                let passed = copy_bidirectional(&mut stream, &mut onward).await;
                let (up, down) = passed.unwrap_or_default();
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
        let (link, platform_bytes) = counting_link(platform).await;
        let text = format!(
            "[entry]\nname={name}\ndc={dc}\nlisten={}\ncontrol_listen={control}\n\
             [peers]\ncontrol={peers}\n[platform]\naddress={link}\n",
            free_address()
        );
        let file = format!("chicorygauge-capacity-{}-{name}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).expect("settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryd"))
            .arg("run")
            .arg(&settings)
            .env("RUST_LOG", "error")
            .stdout(Stdio::null())
            .spawn()
            .expect("daemon");
        Self {
            control,
            platform_bytes,
            child,
            settings,
        }
    }

    /// Reads the totals of the process.
    pub fn usage(&self) -> DaemonUse {
        let proc = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{proc}/stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let fields: Vec<_> = fields.map(|field| field.parse().unwrap_or(0.0)).collect();
        let statm = fs::read_to_string(format!("{proc}/statm")).unwrap_or_default();
        let pages = statm.split_whitespace().nth(1).unwrap_or("0");
        let ticks: f64 = fields.iter().skip(11).take(2).sum();
        DaemonUse {
            cpu_s: ticks / TICKS,
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

impl RunningSite {
    /// Starts everything and waits until it is in force.
    pub async fn start(plan: StartPlan) -> Self {
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
        let mut site = Self {
            platform,
            daemons,
            plan,
            version: 0,
            _backends: backends,
        };
        site.patch(document).await;
        site.wait_for_vms().await;
        site
    }

    /// Submits a patch and returns the time until it is in force everywhere.
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
            self.wait("version in force", || async {
                let status = daemon.status().await;
                status.is_some_and(|status| status["config_version"] == self.version)
            })
            .await;
        }
    }

    async fn wait_for_vms(&self) {
        self.wait("VMs known", || async {
            let serving = |record: FleetWire| record.vms.len() == self.plan.vms;
            self.records().into_iter().all(serving)
        })
        .await;
    }

    /// Fleet records of all data centres.
    pub fn records(&self) -> Vec<FleetWire> {
        let read = |dc| {
            let value = self.platform.state.peek(&format!("fleet/dc-{dc:02}"));
            value.and_then(|value| serde_json::from_slice(&value).ok())
        };
        (0..self.plan.dcs)
            .map(|dc| read(dc).unwrap_or_default())
            .collect()
    }

    /// Waits until every VM has been maintained since a time.
    pub async fn wait_maintained(&self, since_ms: u64) {
        self.wait("VMs maintained", || async {
            let records = self.records();
            let mut vms = records.iter().flat_map(|record| record.vms.values());
            vms.all(|vm| vm.maintained_ms >= since_ms)
        })
        .await;
    }

    async fn wait<F: Future<Output = bool>>(&self, what: &str, mut condition: impl FnMut() -> F) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition().await {
            assert!(Instant::now() < deadline, "never: {what}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sets faults at the platform.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.platform.state.set_faults(faults);
    }

    /// Returns the calls and uses of a span, calls by kind.
    pub async fn span(&self, length: Duration) -> (CallCounts, Vec<DaemonUse>) {
        let counts = self.platform.state.counts();
        let uses: Vec<_> = self.daemons.iter().map(RunningDaemon::usage).collect();
        sleep(length).await;
        let uses = self.daemons.iter().zip(uses).map(|(daemon, before)| {
            let after = daemon.usage();
            DaemonUse {
                cpu_s: after.cpu_s - before.cpu_s,
                platform_bytes: after.platform_bytes - before.platform_bytes,
                resident_mb: after.resident_mb,
            }
        });
        let uses = uses.collect();
        (difference(&self.platform.state.counts(), &counts), uses)
    }
}

/// Calls of `after` that are not in `before`.
pub fn difference(after: &CallCounts, before: &CallCounts) -> CallCounts {
    let counts = after.iter().map(|(kind, count)| {
        let earlier = before.get(kind).copied().unwrap_or(0);
        (kind.clone(), count - earlier)
    });
    counts.collect::<BTreeMap<_, _>>()
}
