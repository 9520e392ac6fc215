//! Stand-in of callers: sends an open-loop load, records the outcome of each request and
//! compares that record with those of the backend servers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::request::RequestOutcome;
use chicorygauge::request::headers;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::backend::BackendRecord;
use crate::backend::SERVICE_US;
use crate::platform::lock;

/// A load on one pool.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Entry VMs; requests go to them in turn.
    pub entries: Vec<SocketAddr>,
    /// Pool that the requests go to.
    pub pool: String,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are started.
    pub length: Duration,
    /// Priority class of the requests: urgent, ordinary or batch.
    pub class: String,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Whether the requests are marked as idempotent.
    pub idempotent: bool,
    /// Service time that the requests ask for; the backend server's default if absent.
    pub service: Option<Duration>,
    /// Minimum size of the body, in bytes; a longer request id enlarges it.
    pub body_bytes: usize,
    /// Maximum number of retries of a request that was reported as not run.
    pub resends: u32,
    /// Prefix of the request ids, different for each load.
    pub prefix: String,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            pool: "order-intake".to_owned(),
            rate: 100.0,
            length: Duration::from_secs(1),
            class: "ordinary".to_owned(),
            deadline: Duration::from_secs(2),
            idempotent: false,
            service: None,
            body_bytes: 64,
            resends: 0,
            prefix: "r".to_owned(),
        }
    }
}

/// Outcome of one request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Complete response to this request with this outcome.
    Responded(RequestOutcome),
    /// Response that belongs to another request, has a wrong body or states no valid outcome.
    Invalid,
    /// The connection ended, or the caller timed out, without a complete response.
    Cut,
    /// The entry VM could not be reached; nothing was sent.
    NoEntry,
}

/// Outcomes of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Outcomes by request id.
    pub outcomes: BTreeMap<String, CallOutcome>,
    /// Whether the requests were marked as idempotent.
    pub idempotent: bool,
    /// Latency of answered requests since they were due, in microseconds.
    pub latency: Histogram<u64>,
}

/// Comparison of the callers' record with that of the backend servers.
#[derive(Clone, Debug, Default)]
pub struct LoadSummary {
    pub sent: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub no_entry: u64,
    /// Requests without a complete response, and requests interrupted by a reboot.
    pub cut: u64,
    /// Answered requests that no backend server ran, and invalid responses.
    pub lost: u64,
    /// Requests marked as not idempotent that ran more than once.
    pub doubled: u64,
    pub refused_but_ran: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
}

impl LoadSummary {
    /// Returns whether a request was cut, lost, run twice although not idempotent, or run
    /// although it was reported as not run.
    #[must_use]
    pub fn has_violations(&self) -> bool {
        self.cut + self.lost + self.doubled + self.refused_but_ran > 0
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} answered={} not_run={} unknown={} no_entry={} cut={} lost={} doubled={} \
             refused_but_ran={} p50_us={} p99_us={} p999_us={}",
            self.sent,
            self.answered,
            self.not_run,
            self.unknown,
            self.no_entry,
            self.cut,
            self.lost,
            self.doubled,
            self.refused_but_ran,
            self.p50_us,
            self.p99_us,
            self.p999_us
        )
    }
}

type IdleSenders = Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>;

/// Runs a load and returns the outcomes of its requests.
pub async fn run(settings: LoadSettings) -> LoadRecord {
    let settings = Arc::new(settings);
    let idle = Arc::new(IdleSenders::default());
    let start = Instant::now();
    let count = (settings.rate * settings.length.as_secs_f64()) as u64;
    let mut calls = JoinSet::new();
    for number in 0..count {
        let due = start + Duration::from_secs_f64(number as f64 / settings.rate);
        sleep_until(due).await;
        let (settings, idle) = (settings.clone(), idle.clone());
        calls.spawn(async move {
            let id = format!("{}-{number}", settings.prefix);
            let entry = settings.entries[number as usize % settings.entries.len()];
            let outcome = call(&settings, &idle, entry, &id).await;
            (id, outcome, due.elapsed())
        });
    }
    let mut record = LoadRecord {
        outcomes: BTreeMap::new(),
        idempotent: settings.idempotent,
        latency: latency_histogram(),
    };
    while let Some(call) = calls.join_next().await {
        let Ok((id, outcome, latency)) = call else {
            continue;
        };
        if outcome == CallOutcome::Responded(RequestOutcome::Answered) {
            record.latency.saturating_record(latency.as_micros() as u64);
        }
        record.outcomes.insert(id, outcome);
    }
    record
}

/// Returns an empty histogram for latencies of up to ten minutes, in microseconds.
#[must_use]
pub fn latency_histogram() -> Histogram<u64> {
    // The bounds are valid constants.
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds")
}

/// Result of one attempt to send a request.
struct ExchangeResult {
    outcome: CallOutcome,
    /// Delay after which the entry VM asks the caller to retry.
    retry_after: Duration,
    /// Whether the connection may be reused for another request.
    reusable: bool,
}

impl From<CallOutcome> for ExchangeResult {
    fn from(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            retry_after: Duration::ZERO,
            reusable: false,
        }
    }
}

/// Sends a request; retries while it is reported as not run and resends are left.
async fn call(
    settings: &LoadSettings,
    idle: &IdleSenders,
    entry: SocketAddr,
    id: &str,
) -> CallOutcome {
    let mut resends = settings.resends;
    loop {
        let result = call_once(settings, idle, entry, id).await;
        let not_run = result.outcome == CallOutcome::Responded(RequestOutcome::NotRun);
        if !not_run || resends == 0 {
            return result.outcome;
        }
        resends -= 1;
        sleep(result.retry_after).await;
    }
}

async fn call_once(
    settings: &LoadSettings,
    idle: &IdleSenders,
    entry: SocketAddr,
    id: &str,
) -> ExchangeResult {
    // The entry VM responds by the deadline; well after that, the request counts as
    // interrupted.
    let limit = settings.deadline + Duration::from_secs(5);
    let reused = lock(idle).entry(entry).or_default().pop();
    let sender = match reused {
        Some(sender) if sender.is_ready() => Some(sender),
        _ => connect(entry).await,
    };
    let Some(mut sender) = sender else {
        return CallOutcome::NoEntry.into();
    };
    let body = make_body(settings, id);
    let Ok(request) = make_request(settings, id, body.clone()) else {
        return CallOutcome::NoEntry.into();
    };
    let result = timeout(limit, exchange(&mut sender, request, id, &body)).await;
    let result = result.unwrap_or(CallOutcome::Cut.into());
    if result.reusable {
        lock(idle).entry(entry).or_default().push(sender);
    }
    result
}

async fn connect(entry: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(entry).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn make_body(settings: &LoadSettings, id: &str) -> Bytes {
    let mut body = id.as_bytes().to_vec();
    body.resize(settings.body_bytes.max(body.len()), b'.');
    Bytes::from(body)
}

fn make_request(
    settings: &LoadSettings,
    id: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/order")
        .header(hyper::header::HOST, "entry")
        .header(headers::POOL, &settings.pool)
        .header(headers::CLASS, &settings.class)
        .header(headers::DEADLINE_MS, settings.deadline.as_millis() as u64)
        .header(headers::IDEMPOTENT, settings.idempotent.to_string())
        .header(headers::REQUEST_ID, id);
    if let Some(service) = settings.service {
        request = request.header(SERVICE_US, service.as_micros() as u64);
    }
    request.body(Full::new(body))
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
    sent: &Bytes,
) -> ExchangeResult {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => CallOutcome::NoEntry.into(),
                None => CallOutcome::Cut.into(),
            };
        }
    };
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return CallOutcome::Cut.into();
    };
    let header = |name| parts.headers.get(name)?.to_str().ok();
    let stated = header(headers::OUTCOME).and_then(RequestOutcome::find);
    let own = header(headers::REQUEST_ID) == Some(id);
    let outcome = match stated {
        Some(RequestOutcome::Answered) if !own || body.to_bytes() != *sent => CallOutcome::Invalid,
        Some(stated) if own => CallOutcome::Responded(stated),
        _ => CallOutcome::Invalid,
    };
    let retry_after = header(headers::RETRY_AFTER_MS).and_then(|millis| millis.parse().ok());
    // The entry VM closes this connection, which could interrupt another request on it.
    let closes = header(hyper::header::CONNECTION.as_str()) == Some("close");
    ExchangeResult {
        outcome,
        retry_after: Duration::from_millis(retry_after.unwrap_or(0)),
        reusable: outcome != CallOutcome::Invalid && !closes,
    }
}

/// Compares the outcomes seen by callers with the runs recorded by backend servers.
#[must_use]
pub fn compare(record: &LoadRecord, backends: &[BackendRecord]) -> LoadSummary {
    let mut summary = LoadSummary {
        sent: record.outcomes.len() as u64,
        cut: backends.iter().map(|backend| backend.cut).sum(),
        p50_us: record.latency.value_at_quantile(0.5),
        p99_us: record.latency.value_at_quantile(0.99),
        p999_us: record.latency.value_at_quantile(0.999),
        ..LoadSummary::default()
    };
    for (id, outcome) in &record.outcomes {
        let runs = backends.iter().filter_map(|backend| backend.runs.get(id));
        let runs: u32 = runs.sum();
        summary.add(*outcome, runs, record.idempotent);
    }
    summary
}

impl LoadSummary {
    fn add(&mut self, outcome: CallOutcome, runs: u32, idempotent: bool) {
        match outcome {
            CallOutcome::Responded(RequestOutcome::Answered) => {
                self.answered += 1;
                self.lost += u64::from(runs == 0);
            }
            CallOutcome::Responded(RequestOutcome::NotRun) => {
                self.not_run += 1;
                self.refused_but_ran += u64::from(runs > 0);
            }
            CallOutcome::Responded(RequestOutcome::Unknown) => self.unknown += 1,
            CallOutcome::Invalid => self.lost += 1,
            CallOutcome::Cut => self.cut += 1,
            CallOutcome::NoEntry => {
                self.no_entry += 1;
                self.refused_but_ran += u64::from(runs > 0);
            }
        }
        self.doubled += u64::from(!idempotent && runs > 1);
    }

    /// Adds another summary; of each latency quantile the larger value is kept.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.no_entry += other.no_entry;
        self.cut += other.cut;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.refused_but_ran += other.refused_but_ran;
        self.p50_us = self.p50_us.max(other.p50_us);
        self.p99_us = self.p99_us.max(other.p99_us);
        self.p999_us = self.p999_us.max(other.p999_us);
    }
}
