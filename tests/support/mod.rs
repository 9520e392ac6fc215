//! Support for tests with real processes: daemons as processes, stand-ins as
//! tasks of the test.

#![expect(dead_code, reason = "each test file uses a part of the support")]

pub mod cluster;
pub mod entry;
pub mod fleet;

use std::fs;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use standin::backend;
use standin::backend::BackendRecord;
use standin::backend::BackendSettings;
use standin::backend::RunningBackend;
use standin::platform;
use standin::platform::RunningPlatform;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait for a condition; far more than any of them needs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// How often a caller comes back that is told that its request was not run.
///
/// A busy machine may refuse some requests for load; that is no failure, but
/// each of them has to be answered in the end.
pub const RESENDS: u32 = 100;

/// Returns an address that no other test uses.
///
/// Each call takes a loopback address of its own, so that a port that is free
/// on it stays free until the daemon binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u16;
    let [high, low] = process.to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1 + (host % 250) as u8);
    let listener = TcpListener::bind((ip, 0)).expect("loopback address");
    listener.local_addr().expect("bound address")
}

/// A daemon as a process of its own; it is killed when dropped.
pub struct DaemonProcess {
    pub name: String,
    pub dc: String,
    pub entry: SocketAddr,
    pub control: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

impl DaemonProcess {
    /// Starts a daemon with the sections that tests may add or override.
    pub fn start(plan: &DaemonPlan, peers: &[DaemonPlan], platform: SocketAddr) -> Self {
        let peers = peers.iter().filter(|peer| peer.name != plan.name);
        let peers: Vec<_> = peers
            .map(|peer| format!("{}={}", peer.dc, peer.control))
            .collect();
        let text = format!(
            "[entry]\nname={}\ndc={}\nlisten={}\ncontrol_listen={}\n\
             [peers]\ncontrol={}\n[platform]\naddress={platform}\ncall_limit_ms=1000\n\
             watch_wait_ms=2000\n[control]\nsync_ms=100\nlease_ttl_ms=2000\nlist_ms=200\n\
             list_lag_ms=500\n\
             [limits]\nannounce_ms=1000\n{}",
            plan.name,
            plan.dc,
            plan.entry,
            plan.control,
            peers.join(","),
            plan.more
        );
        let file = format!(
            "chicoryd-{}-{}.ini",
            std::process::id(),
            plan.control.to_string().replace(':', "-")
        );
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).expect("settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_chicoryd"))
            .arg("run")
            .arg(&settings)
            .spawn()
            .expect("daemon");
        Self {
            name: plan.name.clone(),
            dc: plan.dc.clone(),
            entry: plan.entry,
            control: plan.control,
            child,
            settings,
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill").success());
    }

    /// Waits for the process to end by itself.
    pub async fn ended(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_LIMIT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the resident memory of the process, in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("status of the process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.trim().strip_suffix(" kB"));
        size.and_then(|size| size.parse().ok()).expect("VmRSS")
    }

    /// Reads JSON from the control interface.
    pub async fn get(&self, path: &str) -> Option<Value> {
        get(self.control, path).await
    }
}

/// Addresses of a daemon, known before it starts.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    pub name: String,
    pub dc: String,
    pub entry: SocketAddr,
    pub control: SocketAddr,
    /// More lines of the settings file.
    pub more: String,
}

impl DaemonPlan {
    pub fn new(name: &str, dc: &str) -> Self {
        Self {
            name: name.to_owned(),
            dc: dc.to_owned(),
            entry: free_address(),
            control: free_address(),
            more: String::new(),
        }
    }
}

/// Starts a platform.
pub async fn start_platform() -> RunningPlatform {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    platform::start(listen).await.expect("platform")
}

/// Starts backend servers named `vm-1` to `vm-<count>` in one data centre.
pub async fn start_backends(
    platform: &RunningPlatform,
    dc: &str,
    names: &[&str],
) -> Vec<RunningBackend> {
    let mut backends = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let backend = backend::start(BackendSettings {
            vm: (*name).to_owned(),
            dc: dc.to_owned(),
            rack: format!("{dc}-rack-{}", index / 4),
            platform: Some(platform.server.address),
            ..BackendSettings::default()
        });
        backends.push(backend.await.expect("backend server"));
    }
    backends
}

/// Returns what backend servers have recorded.
pub fn records(backends: &[RunningBackend]) -> Vec<BackendRecord> {
    backends
        .iter()
        .map(|backend| backend.state.record())
        .collect()
}

/// Reads JSON from an address.
pub async fn get(peer: SocketAddr, path: &str) -> Option<Value> {
    let request = CallRequest {
        path,
        ..CallRequest::default()
    };
    let answer = call(peer, request).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Submits a patch and returns status and answer.
pub async fn patch(peer: SocketAddr, base: u64, patch: Value) -> Option<(u16, Value)> {
    let body = json!({
        "base": base,
        "patch": patch,
        "author": "test",
        "reason": "test",
        "patch_id": format!("{:x}", rand::random::<u64>()),
    });
    let request = CallRequest {
        method: Method::POST,
        path: "/v1/config/patch",
        content_type: "application/json",
        body: Bytes::from(body.to_string()),
        limit: Duration::from_secs(20),
        ..CallRequest::default()
    };
    let answer = call(peer, request).await.ok()?;
    Some((
        answer.status.as_u16(),
        serde_json::from_slice(&answer.body).ok()?,
    ))
}

/// Waits until `condition` holds; panics with `what` if it never does.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < deadline, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
