//! Stand-in of the platform: key-value service, list of VMs and operations.

mod kv;
mod vms;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::server;
use crate::server::RunningServer;
use crate::server::ServerAnswer;
use crate::server::ServerGate;
use crate::server::WholeRequest;

use kv::KvState;
use vms::VmsState;

/// Faults that the platform shows; set over HTTP at `/standin/faults`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is dropped without an answer.
    pub down: bool,
    /// Pause before each call, in milliseconds.
    pub delay_ms: u64,
    /// Share of calls refused with status 503.
    pub refuse_share: f64,
    /// Share of writes that take effect but whose answer is dropped.
    pub lose_share: f64,
    /// Age of the list of VMs, in milliseconds.
    pub list_lag_ms: u64,
    /// Time a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// Reboots of these VMs fail: the VM does not come back.
    pub reboot_fails: Vec<String>,
}

/// Calls that the platform has counted, by kind.
pub type CallCounts = BTreeMap<String, u64>;

/// State of the platform, shared by its handlers.
pub struct PlatformState {
    kv: Mutex<KvState>,
    vms: Mutex<VmsState>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<CallCounts>,
    changes: watch::Sender<u64>,
    open: watch::Sender<bool>,
}

/// A platform that runs until it is dropped.
pub struct RunningPlatform {
    /// Its server.
    pub server: RunningServer,
    /// Its state.
    pub state: Arc<PlatformState>,
}

/// Locks state of a stand-in; a handler that panicked leaves it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the platform.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn start(listen: SocketAddr) -> io::Result<RunningPlatform> {
    let state = Arc::new(PlatformState {
        kv: Mutex::default(),
        vms: Mutex::default(),
        faults: Mutex::default(),
        counts: Mutex::default(),
        changes: watch::Sender::new(0),
        open: watch::Sender::new(true),
    });
    let shared = state.clone();
    let gate = ServerGate {
        resets: watch::Sender::new(0).subscribe(),
        open: state.open.subscribe(),
    };
    let server = server::start(listen, gate, move |request| handle(shared.clone(), request));
    let server = server.await?;
    Ok(RunningPlatform { server, state })
}

impl PlatformState {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        lock(&self.counts).clone()
    }

    /// Reads a value past all faults.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.kv).value(key)
    }

    /// Reads all values under a prefix past all faults.
    #[must_use]
    pub fn peek_all(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        lock(&self.kv).values(prefix)
    }

    fn count(&self, kind: &str) {
        *lock(&self.counts).entry(kind.to_owned()).or_default() += 1;
    }

    fn chance(share: f64) -> bool {
        share > 0.0 && rand::random::<f64>() < share
    }
}

async fn handle(state: Arc<PlatformState>, request: WholeRequest) -> ServerAnswer {
    let path = request.uri().path().to_owned();
    if let Some(control) = path.strip_prefix("/standin/") {
        return control_call(&state, control, &request);
    }
    let faults = lock(&state.faults).clone();
    state.count(&kind_of(&request));
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return Err(io::Error::other("down"));
    }
    if PlatformState::chance(faults.refuse_share) {
        return Ok(server::text(StatusCode::SERVICE_UNAVAILABLE, "refused"));
    }
    let answer = if let Some(key) = path.strip_prefix("/v1/kv/") {
        kv::handle(&state, key, &request).await
    } else if let Some(session) = path.strip_prefix("/v1/session/") {
        kv::handle_session(&state, session, &request)
    } else if path == "/v1/vms" {
        vms::list(&state, &request, &faults)
    } else if let Some(vm) = path.strip_prefix("/v1/vms/") {
        vms::operate(&state, vm, &request, &faults)
    } else {
        Ok(server::text(StatusCode::NOT_FOUND, "no such path"))
    };
    let writes = request.method() != Method::GET;
    if lock(&state.faults).down || writes && PlatformState::chance(faults.lose_share) {
        return Err(io::Error::other("answer lost"));
    }
    answer
}

fn kind_of(request: &WholeRequest) -> String {
    let path = request.uri().path();
    let query = request.uri().query().unwrap_or("");
    let area = path.trim_start_matches("/v1/");
    let area = area.split('/').next().unwrap_or("");
    let kind = match *request.method() {
        Method::GET if query.contains("index=") => "watch",
        Method::GET if query.contains("recurse") => "list",
        Method::GET => "read",
        _ => "write",
    };
    format!("{area}_{kind}")
}

fn control_call(state: &PlatformState, path: &str, request: &WholeRequest) -> ServerAnswer {
    if path == "counts" {
        return Ok(server::json(&state.counts()));
    }
    if path == "faults" {
        let faults = serde_json::from_slice(request.body()).map_err(io::Error::other)?;
        state.set_faults(faults);
        return Ok(server::json(&true));
    }
    match path.strip_prefix("vms/") {
        Some(vm) => vms::register(state, vm, request),
        None => Ok(server::text(StatusCode::NOT_FOUND, "no such path")),
    }
}
