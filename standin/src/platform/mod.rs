//! Stand-in of the platform: key-value service, list of VMs and operations on VMs.

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
use crate::server::BufferedRequest;
use crate::server::RunningServer;
use crate::server::ServerControl;
use crate::server::ServerResponse;

use kv::KvState;
use vms::VmsState;

/// Injected faults and timings of the platform; set over HTTP at `/standin/faults`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes the connection of every call without a response.
    pub down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Share of calls refused with status 503, from 0 to 1.
    pub refuse_share: f64,
    /// Share of writes that take effect but whose response is dropped, from 0 to 1.
    pub lose_share: f64,
    /// Age of the list of VMs that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// VMs whose reboots fail: they do not come back into service.
    pub reboot_fails: Vec<String>,
}

/// Number of calls by kind, such as `kv_read` or `vms_list`.
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
    /// HTTP server of the platform.
    pub server: RunningServer,
    /// State, for tests to read and to set faults.
    pub state: Arc<PlatformState>,
}

/// Locks state of a stand-in, also if a handler has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the platform.
///
/// # Errors
///
/// Fails if the address cannot be bound.
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
    let control = ServerControl {
        resets: watch::Sender::new(0).subscribe(),
        open: state.open.subscribe(),
    };
    let server = server::start(listen, control, move |request| {
        handle(shared.clone(), request)
    });
    let server = server.await?;
    Ok(RunningPlatform { server, state })
}

impl PlatformState {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        lock(&self.counts).clone()
    }

    /// Reads a stored value directly, unaffected by faults.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.kv).value(key)
    }

    /// Reads all keys and values under a prefix directly, unaffected by faults.
    #[must_use]
    pub fn peek_all(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        lock(&self.kv).values(prefix)
    }

    fn count(&self, kind: &str) {
        *lock(&self.counts).entry(kind.to_owned()).or_default() += 1;
    }

    fn draw_fault(share: f64) -> bool {
        share > 0.0 && rand::random::<f64>() < share
    }
}

async fn handle(state: Arc<PlatformState>, request: BufferedRequest) -> ServerResponse {
    let path = request.uri().path().to_owned();
    if let Some(control) = path.strip_prefix("/standin/") {
        return control_call(&state, control, &request);
    }
    let faults = lock(&state.faults).clone();
    state.count(&kind_of(&request));
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return Err(io::Error::other("injected fault: platform is down"));
    }
    if PlatformState::draw_fault(faults.refuse_share) {
        return Ok(server::text(StatusCode::SERVICE_UNAVAILABLE, "refused"));
    }
    let response = if let Some(key) = path.strip_prefix("/v1/kv/") {
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
    if lock(&state.faults).down || writes && PlatformState::draw_fault(faults.lose_share) {
        return Err(io::Error::other("injected fault: response dropped"));
    }
    response
}

fn kind_of(request: &BufferedRequest) -> String {
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

fn control_call(state: &PlatformState, path: &str, request: &BufferedRequest) -> ServerResponse {
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
