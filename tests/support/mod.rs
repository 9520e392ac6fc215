//! Fixtures for tests with real processes: daemons run as child processes, the
//! stand-ins as tasks of the test's own process.

#![expect(dead_code, reason = "each test file uses only some of the fixtures")]

pub mod cluster;
pub mod entry;
pub mod fleet;
mod group;

use std::fs;
use std::future::Future;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
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

/// Timeout for a condition; far longer than any condition should need.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Maximum number of retries of a request that was reported as not run.
///
/// On a busy machine an entry VM may refuse some requests because of overload. That is
/// no failure, but each request must be answered eventually.
pub const MAX_RESENDS: u32 = 100;

/// Returns a socket address that no other test uses.
///
/// Each call uses a different loopback IP address, derived from the process id and a
/// counter, so that the free port found on it stays free until the daemon binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u16;
    let [high, low] = process.to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1 + (host % 250) as u8);
    let listener = TcpListener::bind((ip, 0)).expect("loopback address");
    listener.local_addr().expect("bound address")
}

/// A daemon that runs as a child process; it is killed when dropped.
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
    /// Starts a daemon with short periods and the extra settings of its plan.
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
            plan.extra_settings
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
            .process_group(group::daemon_group())
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

    /// Returns the state of the process, such as `S (sleeping)` or `Z (zombie)`.
    pub fn process_state(&self) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("State:"));
        line.map_or_else(|| "unknown".to_owned(), |state| state.trim().to_owned())
    }

    /// Sends a signal, given by its name without `SIG`: `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill").success());
    }

    /// Waits until the process exits; true if it exits in time with status 0.
    pub async fn wait_for_exit(&mut self) -> bool {
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

    /// Reads JSON from a path of the control interface; `None` if that fails.
    pub async fn get(&self, path: &str) -> Option<Value> {
        get(self.control, path).await
    }
}

/// Name and addresses of a daemon, chosen before it starts.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    pub name: String,
    pub dc: String,
    pub entry: SocketAddr,
    pub control: SocketAddr,
    /// Lines appended to the settings file.
    pub extra_settings: String,
}

impl DaemonPlan {
    pub fn new(name: &str, dc: &str) -> Self {
        Self {
            name: name.to_owned(),
            dc: dc.to_owned(),
            entry: free_address(),
            control: free_address(),
            extra_settings: String::new(),
        }
    }
}

/// Starts a stand-in of the platform on a free port.
pub async fn start_platform() -> RunningPlatform {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    platform::start(listen).await.expect("platform")
}

/// Starts one backend server for each VM name in one data centre, four to a rack.
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

/// Returns the records of the backend servers.
pub fn records(backends: &[RunningBackend]) -> Vec<BackendRecord> {
    backends
        .iter()
        .map(|backend| backend.state.record())
        .collect()
}

/// Reads JSON from a path at `peer`; `None` if that fails.
pub async fn get(peer: SocketAddr, path: &str) -> Option<Value> {
    let request = CallRequest {
        path,
        ..CallRequest::default()
    };
    let response = call(peer, request).await.ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Submits a configuration patch; returns the HTTP status and the response body.
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
    let response = call(peer, request).await.ok()?;
    Some((
        response.status.as_u16(),
        serde_json::from_slice(&response.body).ok()?,
    ))
}

/// Waits until `condition` holds; panics with `what` after [`WAIT_LIMIT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
