//! Stand-in of a backend server: it records how often each request id ran.

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
use crate::server::RunningServer;
use crate::server::ServerAnswer;
use crate::server::ServerGate;
use crate::server::WholeRequest;

/// Header by which a caller sets the service time, in microseconds.
pub const SERVICE_US: &str = "standin-service-us";

/// How a backend server is started.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Name of its VM.
    pub vm: String,
    /// Data centre of its VM.
    pub dc: String,
    /// Rack of its VM.
    pub rack: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Service time of a request that states none.
    pub service: Duration,
    /// Platform at which it registers.
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

/// Faults that a backend server shows; set over HTTP at `/standin/faults`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Added to each service time, in milliseconds.
    pub slow_ms: u64,
    /// Refuses everything as not run.
    pub refuse: bool,
    /// Drops the connection before running.
    pub die_before: bool,
    /// Drops the connection after running.
    pub die_after: bool,
    /// Sends half of the answer and drops the connection.
    pub truncate: bool,
    /// Pause between running and answering, in milliseconds.
    pub answer_late_ms: u64,
    /// Answers everything with status 500.
    pub fail: bool,
}

/// What a backend server has recorded.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct BackendRecord {
    /// Runs by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that arrived while all slots were in use.
    pub over_slots: u64,
    /// Requests cut by a reboot.
    pub cut: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Reboots.
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

/// Starts a backend server and registers it.
///
/// # Errors
///
/// Fails if the address cannot be listened on or the platform is not reached.
pub async fn start(settings: BackendSettings) -> io::Result<RunningBackend> {
    let listen = settings.listen;
    let resets = watch::Sender::new(0);
    let open = watch::Sender::new(true);
    let gate = ServerGate {
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
    let server = server::start(listen, gate, move |request| handle(shared.clone(), request));
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
    let answer = call(platform, request).await;
    answer.map(drop).map_err(io::Error::other)
}

impl BackendState {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *lock(&self.faults) = faults;
    }

    /// Fails: its socket closes until [`Self::end_reboot`].
    pub fn fall(&self) {
        *lock(&self.rebooting) = true;
        self.open.send_replace(false);
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends a failure or a reboot that would last for ever.
    pub fn end_reboot(&self) {
        *lock(&self.rebooting) = false;
        self.open.send_replace(true);
    }

    /// Returns what was recorded so far.
    #[must_use]
    pub fn record(&self) -> BackendRecord {
        lock(&self.record).clone()
    }
}

async fn handle(state: Arc<BackendState>, request: WholeRequest) -> ServerAnswer {
    if let Some(control) = request.uri().path().strip_prefix("/standin/") {
        return control_call(&state, control, &request);
    }
    if *lock(&state.rebooting) {
        return Err(io::Error::other("rebooting"));
    }
    let faults = lock(&state.faults).clone();
    if faults.die_before {
        return Err(io::Error::other("dies before running"));
    }
    let Some(progress) = ProgressGuard::begin(&state, &faults) else {
        return Ok(refusal());
    };
    run(&state, &request, &faults).await;
    drop(progress);
    sleep(Duration::from_millis(faults.answer_late_ms)).await;
    if faults.die_after {
        return Err(io::Error::other("dies after running"));
    }
    Ok(answer(&state, &request, &faults))
}

/// Counts a request as in progress while it lives.
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

async fn run(state: &BackendState, request: &WholeRequest, faults: &BackendFaults) {
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

/// Echoes the request id and the body.
fn answer(
    state: &BackendState,
    request: &WholeRequest,
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
        let promised = HeaderValue::from(request.body().len() as u64 + 100);
        headers.insert(hyper::header::CONTENT_LENGTH, promised);
    }
    if faults.fail {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

fn control_call(state: &Arc<BackendState>, path: &str, request: &WholeRequest) -> ServerAnswer {
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

/// Cuts what is in progress and stays away for `time`, or for ever.
fn begin_reboot(state: &Arc<BackendState>, time: Option<Duration>) {
    {
        let mut record = lock(&state.record);
        record.reboots += 1;
        record.cut += u64::from(record.in_progress);
    }
    *lock(&state.rebooting) = true;
    let state = state.clone();
    tokio::spawn(async move {
        // The answer to the reboot call goes out before its connection is dropped.
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
