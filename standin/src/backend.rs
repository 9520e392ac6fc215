//! Stand-in of a backend server: it echoes requests and records how often each ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use chicorygauge::platform::wire::ListedVmWire;
use chicorygauge::request::RequestOutcome;
use chicorygauge::request::headers;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::platform::lock;
use crate::server;
use crate::server::BufferedRequest;
use crate::server::RunningServer;
use crate::server::ServerControl;
use crate::server::ServerResponse;

/// Header by which a caller sets the service time, in microseconds.
pub const SERVICE_US: &str = "standin-service-us";

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Address that it listens on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Name of its VM.
    pub vm: String,
    /// Data centre of its VM.
    pub dc: String,
    /// Rack of its VM.
    pub rack: String,
    /// Maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Service time of a request that states none.
    pub service: Duration,
    /// Platform that it registers with, if any.
    pub platform: Option<SocketAddr>,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            vm: "vm-1".to_owned(),
            dc: "dc-1".to_owned(),
            rack: "rack-1".to_owned(),
            slots: 8,
            service: Duration::from_millis(5),
            platform: None,
        }
    }
}

/// Injected faults of a backend server; set over HTTP at `/standin/faults`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Delay added to each service time, in milliseconds.
    pub slow_ms: u64,
    /// Refuses each request as not run.
    pub refuse: bool,
    /// Closes the connection before running the request.
    pub die_before: bool,
    /// Closes the connection after running the request.
    pub die_after: bool,
    /// Sends a response whose body is shorter than its content length and closes the
    /// connection.
    pub truncate: bool,
    /// Delay between running a request and responding, in milliseconds.
    pub answer_late_ms: u64,
    /// Runs each request but responds with status 500.
    pub fail: bool,
}

/// Record of a backend server since its start.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct BackendRecord {
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that arrived while all slots were in use.
    pub over_slots: u64,
    /// Requests interrupted by a reboot.
    pub cut: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Number of reboots.
    pub reboots: u64,
}

/// State of a backend server, shared by its handlers.
pub struct BackendState {
    settings: BackendSettings,
    faults: Mutex<BackendFaults>,
    record: Mutex<BackendRecord>,
    rebooting: Mutex<bool>,
    resets: watch::Sender<u64>,
    open: watch::Sender<bool>,
}

/// A backend server that runs until it is dropped.
pub struct RunningBackend {
    /// Its server.
    pub server: RunningServer,
    /// Its state.
    pub state: Arc<BackendState>,
}

/// Starts a backend server and registers it with its platform, if any.
///
/// # Errors
///
/// Fails if the address cannot be bound or the platform cannot be reached.
pub async fn start(settings: BackendSettings) -> io::Result<RunningBackend> {
    let listen = settings.listen;
    let resets = watch::Sender::new(0);
    let open = watch::Sender::new(true);
    let control = ServerControl {
        resets: resets.subscribe(),
        open: open.subscribe(),
    };
    let state = Arc::new(BackendState {
        settings,
        faults: Mutex::default(),
        record: Mutex::default(),
        rebooting: Mutex::new(false),
        resets,
        open,
    });
    let shared = state.clone();
    let server = server::start(listen, control, move |request| {
        handle(shared.clone(), request)
    });
    let server = server.await?;
    register(&state.settings, server.address).await?;
    Ok(RunningBackend { server, state })
}

async fn register(settings: &BackendSettings, address: SocketAddr) -> io::Result<()> {
    let Some(platform) = settings.platform else {
        return Ok(());
    };
    let listed = ListedVmWire {
        name: settings.vm.clone(),
        dc: settings.dc.clone(),
        rack: settings.rack.clone(),
        address,
        leaving: false,
    };
    let request = CallRequest {
        method: Method::PUT,
        path: &format!("/standin/vms/{}", settings.vm),
        body: Bytes::from(serde_json::to_vec(&listed)?),
        ..CallRequest::default()
    };
    let response = call(platform, request).await;
    response.map(drop).map_err(io::Error::other)
}

impl BackendState {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *lock(&self.faults) = faults;
    }

    /// Simulates a crash: closes the socket and all connections until [`Self::end_reboot`].
    pub fn crash(&self) {
        *lock(&self.rebooting) = true;
        self.open.send_replace(false);
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends a crash, or a reboot that was begun without a duration.
    pub fn end_reboot(&self) {
        *lock(&self.rebooting) = false;
        self.open.send_replace(true);
    }

    /// Returns a copy of the record.
    #[must_use]
    pub fn record(&self) -> BackendRecord {
        lock(&self.record).clone()
    }
}

async fn handle(state: Arc<BackendState>, request: BufferedRequest) -> ServerResponse {
    if let Some(control) = request.uri().path().strip_prefix("/standin/") {
        return control_call(&state, control, &request);
    }
    if *lock(&state.rebooting) {
        return Err(io::Error::other("rebooting"));
    }
    let faults = lock(&state.faults).clone();
    if faults.die_before {
        return Err(io::Error::other(
            "injected fault: connection closed before the run",
        ));
    }
    let Some(progress) = ProgressGuard::begin(&state, &faults) else {
        return Ok(refusal());
    };
    run(&state, &request, &faults).await;
    drop(progress);
    sleep(Duration::from_millis(faults.answer_late_ms)).await;
    if faults.die_after {
        return Err(io::Error::other(
            "injected fault: connection closed after the run",
        ));
    }
    Ok(echo(&state, &request, &faults))
}

/// Counts a request as in progress until the guard is dropped.
struct ProgressGuard {
    state: Arc<BackendState>,
}

impl ProgressGuard {
    fn begin(state: &Arc<BackendState>, faults: &BackendFaults) -> Option<Self> {
        let mut record = lock(&state.record);
        if faults.refuse {
            return None;
        }
        if record.in_progress >= state.settings.slots {
            record.over_slots += 1;
            return None;
        }
        record.in_progress += 1;
        Some(Self {
            state: state.clone(),
        })
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        lock(&self.state.record).in_progress -= 1;
    }
}

async fn run(state: &BackendState, request: &BufferedRequest, faults: &BackendFaults) {
    let header = |name| request.headers().get(name)?.to_str().ok();
    if let Some(id) = header(headers::REQUEST_ID) {
        let mut record = lock(&state.record);
        *record.runs.entry(id.to_owned()).or_default() += 1;
    }
    let stated = header(SERVICE_US).and_then(|text| text.parse().ok());
    let service = stated.map_or(state.settings.service, Duration::from_micros);
    sleep(service + Duration::from_millis(faults.slow_ms)).await;
}

fn refusal() -> Response<Full<Bytes>> {
    let mut response = server::text(StatusCode::SERVICE_UNAVAILABLE, "not run\n");
    let outcome = HeaderValue::from_static(RequestOutcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

/// Returns a response with the request's id and body.
fn echo(
    state: &BackendState,
    request: &BufferedRequest,
    faults: &BackendFaults,
) -> Response<Full<Bytes>> {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let mut response = Response::new(Full::new(request.body().clone()));
    let headers = response.headers_mut();
    headers.extend(id.map(|id| {
        (
            hyper::header::HeaderName::from_static(headers::REQUEST_ID),
            id,
        )
    }));
    let vm = HeaderValue::from_str(&state.settings.vm);
    headers.extend(
        vm.ok()
            .map(|vm| (hyper::header::HeaderName::from_static("standin-vm"), vm)),
    );
    if faults.truncate {
        let excessive = HeaderValue::from(request.body().len() as u64 + 100);
        headers.insert(hyper::header::CONTENT_LENGTH, excessive);
    }
    if faults.fail {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

fn control_call(
    state: &Arc<BackendState>,
    path: &str,
    request: &BufferedRequest,
) -> ServerResponse {
    match path {
        "record" => Ok(server::json(&state.record())),
        "faults" => {
            let faults = serde_json::from_slice(request.body()).map_err(io::Error::other)?;
            state.set_faults(faults);
            Ok(server::json(&true))
        }
        "reboot" => {
            let time: Option<u64> =
                serde_json::from_slice(request.body()).map_err(io::Error::other)?;
            begin_reboot(state, time.map(Duration::from_millis));
            Ok(server::json(&true))
        }
        _ => Ok(server::text(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Interrupts the requests in progress and closes the socket for `time`; without it, until
/// [`BackendState::end_reboot`].
fn begin_reboot(state: &Arc<BackendState>, time: Option<Duration>) {
    {
        let mut record = lock(&state.record);
        record.reboots += 1;
        record.cut += u64::from(record.in_progress);
    }
    *lock(&state.rebooting) = true;
    let state = state.clone();
    tokio::spawn(async move {
        // Lets the response to the reboot call be sent before its connection is closed.
        sleep(Duration::from_millis(5)).await;
        state.open.send_replace(false);
        state.resets.send_modify(|resets| *resets += 1);
        if let Some(time) = time {
            sleep(time).await;
            *lock(&state.rebooting) = false;
            state.open.send_replace(true);
        }
    });
}
