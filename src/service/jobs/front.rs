//! HTTP server for callers: looks up the queue, decodes the job, relays the request to
//! the owner and answers.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::jobs::account::AccountDirectory;
use crate::jobs::config::JobConfig;
use crate::jobs::config::QueueConfig;
use crate::jobs::confirmation::RevocationPolicy;
use crate::jobs::terms::JobTerms;
use crate::jobs::types::JobSpec;
use crate::kernel::ShutdownPhase;
use crate::metrics::REQUESTS;
use crate::metrics::UNAUTHORIZED;
use crate::ports::DialectPort;
use crate::ports::client::JSON;
use crate::service::ingress::body::BodyError;
use crate::service::ingress::body::ClientRequest;
use crate::service::ingress::body::RequestBody;
use crate::service::ingress::serve::HttpAnswer;
use crate::service::ingress::serve::answer;
use crate::service::ingress::serve::no_room;
use crate::service::jobs::attempts::RelayOutcome;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::messages::OperatorView;
use crate::service::jobs::messages::RelayOperation;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::messages::RelayRequest;
use crate::service::jobs::relay::RelayClient;

/// Time that a caller is assumed to wait if the request states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Max time for which a request waits, whatever the caller states: requests that wait for an
/// owner keep their connections.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Subtracted from the time that a caller waits, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Divisor of the time that a caller waits. The margin is at most the quotient, since a
/// caller's last attempt has little time left and the owner answers in a few
/// milliseconds.
const ANSWER_MARGIN_DIVISOR: u32 = 4;

/// Retry delay for a caller if no owner was reached, in milliseconds; a dead owner is
/// replaced within about two seconds.
const NO_OWNER_RETRY_MS: u64 = 1000;

/// Retry delay for a caller if this entry VM alone is disconnected, in milliseconds. Retrying
/// at once is right, since the load balancer then chooses another entry VM.
const DISCONNECTED_RETRY_MS: u64 = 0;

/// Retry delay for a caller if other entry VMs are disconnected too, in milliseconds. The load
/// balancer chooses among those of the same data centre until it has noticed that none of them
/// is ready, some two seconds later; a caller that retries at once gives up before that.
const CUT_TOGETHER_RETRY_MS: u64 = 1000;

/// Retry delay for a caller if the configuration was not confirmed recently, in
/// milliseconds; exchanges with peers, which may confirm it, are half a second apart.
const UNCONFIRMED_RETRY_MS: u64 = 1000;

/// Duration from which an answer without an error is logged.
const SLOW_ANSWER: Duration = Duration::from_millis(500);

/// Copies of a job while its submission is relayed: decoded, encoded, and that of an attempt.
const JOB_COPIES: usize = 3;

/// Marks the answer to a request that was not received whole, or for which there was no room.
#[derive(Clone, Copy, Debug)]
struct UnfinishedRequest;

/// State of the server for callers.
#[derive(Clone)]
pub struct FrontState {
    /// Encoding of the platform's messages.
    pub dialect: DialectPort,
    /// The operator's configuration and waves.
    pub operator: OperatorView,
    /// Relays requests to the owner.
    pub relay: RelayClient,
    /// Whether API keys need a configuration that was confirmed recently.
    pub revocation: RevocationPolicy,
    /// Contact with other entry VMs.
    pub exchange: ExchangeState,
    /// Phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
}

/// Answers a caller's request.
///
/// Closes the connection after the answer during a shutdown, and after a 503 while this
/// entry VM is disconnected, so that the caller's next request goes to another one.
pub async fn handle(state: FrontState, request: ClientRequest) -> HttpAnswer {
    let started = Instant::now();
    let method = request.parts.method.clone();
    let path = request.parts.uri.path().to_owned();
    let mut response = serve(&state, request, started).await;
    let disconnected = response.status() == 503 && state.exchange.is_disconnected();
    if disconnected || *state.phase.borrow() > ShutdownPhase::Running {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let status = response.status().as_u16();
    metrics::counter!(REQUESTS, "outcome" => status.to_string(), "reason" => method.to_string())
        .increment(1);
    metrics::histogram!("chicory_request_seconds").record(started.elapsed().as_secs_f64());
    // Fast answers without an error, and 410, are only counted; the owner logs the
    // decisions behind them. Clients that do not finish their requests may be many, so their
    // refusals are counted and logged by the server.
    let unfinished = response.extensions().get::<UnfinishedRequest>().is_some();
    let failed = status >= 400 && status != 410 && !unfinished;
    if failed || !unfinished && started.elapsed() > SLOW_ANSWER {
        let took_ms = started.elapsed().as_millis() as u64;
        log::info!(
            event = "request_answered", method:% = method, path = path.as_str(),
            status = status, took_ms = took_ms; ""
        );
    }
    response
}

async fn serve(state: &FrontState, request: ClientRequest, started: Instant) -> HttpAnswer {
    // Read before the configuration, which may be replaced by a newer one in between.
    let is_current = state.revocation.allows(state.exchange.status.age_ms());
    let operator = state.operator.borrow().clone();
    let Some(config) = operator
        .config
        .as_deref()
        .filter(|_| state.exchange.status.is_usable())
    else {
        return refused(503, NO_OWNER_RETRY_MS);
    };
    let check = KeyCheck {
        accounts: operator.accounts.as_deref(),
        is_current,
        version: config.version,
    };
    let wait = request.parts.headers.get(state.dialect.deadline_header);
    let wait = wait.and_then(|wait| wait.to_str().ok()?.parse().ok());
    let wait = wait.map_or(DEFAULT_WAIT, Duration::from_millis);
    let wait = wait.min(MAX_WAIT);
    let deadline = started + wait - ANSWER_MARGIN.min(wait / ANSWER_MARGIN_DIVISOR);
    let ClientRequest { parts, body } = request;
    let body = CallerBody { body, deadline };
    let relay = match parse_request(state, config, check, &parts, body).await {
        Ok(relay) => relay,
        Err(response) => return *response,
    };
    if state.exchange.is_disconnected() {
        log::info!(event = "request_refused", job = relay.job.as_str(), reason = "disconnected"; "");
        let retry_ms = if state.exchange.is_cut_together() {
            CUT_TOGETHER_RETRY_MS
        } else {
            DISCONNECTED_RETRY_MS
        };
        return refused(503, retry_ms);
    }
    let outcome = state.relay.relay(&relay, deadline).await;
    respond(state, &relay, outcome)
}

/// What is needed to check the API key of a call.
struct KeyCheck<'a> {
    /// Accounts by API key; none if calls need no keys.
    accounts: Option<&'a AccountDirectory>,
    /// Whether the configuration was confirmed recently enough to check keys with it.
    is_current: bool,
    /// Version of the configuration.
    version: u64,
}

impl KeyCheck<'_> {
    /// Returns the account of a call, none if the queue needs no key; fails with the answer
    /// if there is no valid key.
    fn account(
        &self,
        state: &FrontState,
        queue: &QueueConfig,
        request: &Parts,
    ) -> Result<Option<String>, Box<HttpAnswer>> {
        let Some(accounts) = self.accounts.filter(|_| !queue.anonymous) else {
            return Ok(None);
        };
        let path = request.uri.path();
        if !self.is_current {
            log::info!(event = "request_refused", path = path, reason = "config_unconfirmed"; "");
            let mut response = refused(503, UNCONFIRMED_RETRY_MS);
            // The caller's next request then goes to another entry VM.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            return Err(Box::new(response));
        }
        let keys = request.headers.get_all(state.dialect.key_header);
        match accounts.authenticate(keys.iter().map(HeaderValue::as_bytes)) {
            Ok(account) => Ok(Some(account.to_string())),
            Err(fault) => {
                log::info!(
                    event = "request_unauthorized", path = path, reason = fault.as_str(),
                    version = self.version; ""
                );
                metrics::counter!(UNAUTHORIZED, "reason" => fault.as_str()).increment(1);
                Err(Box::new(answer(401, "", Bytes::new())))
            }
        }
    }
}

/// The body of a caller's request and the time until which it is waited for.
struct CallerBody {
    body: RequestBody,
    deadline: Instant,
}

impl CallerBody {
    /// Reads the body; fails with the answer if it is not received whole. Nothing has been
    /// passed on then, so the caller may be told that the request was not executed.
    async fn read(&mut self, limit: usize) -> Result<Vec<u8>, Box<HttpAnswer>> {
        let body = self.body.read(limit, self.deadline).await;
        body.map_err(Self::refusal)
    }

    /// Reserves memory for a job until the request is answered: it is relayed as a copy.
    fn reserve(&self, job: &JobSpec) -> Result<(), Box<HttpAnswer>> {
        let bytes = job.memory_bytes() * JOB_COPIES;
        self.body.reserve(bytes).map_err(Self::refusal)
    }

    /// Returns an operation that needs no body.
    fn ignore(&self, operation: RelayOperation) -> Result<RelayOperation, Box<HttpAnswer>> {
        self.body.ignore().map_err(Self::refusal)?;
        Ok(operation)
    }

    fn refusal(error: BodyError) -> Box<HttpAnswer> {
        log::debug!(event = "request_unfinished", error:% = error; "");
        let mut response = match error {
            BodyError::TooLarge { .. } => answer(413, "", Bytes::new()),
            BodyError::Broken { .. } => answer(400, "", Bytes::new()),
            BodyError::TimedOut | BodyError::NoRoom => no_room(),
        };
        response.extensions_mut().insert(UnfinishedRequest);
        Box::new(response)
    }
}

/// Parses a request; fails with the answer if the request cannot be relayed.
async fn parse_request(
    state: &FrontState,
    config: &JobConfig,
    check: KeyCheck<'_>,
    request: &Parts,
    mut body: CallerBody,
) -> Result<RelayRequest, Box<HttpAnswer>> {
    let host = request.headers.get(header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let path = request.uri.path().to_owned();
    let Some((queue, rest)) = config.find_queue(&host, &path) else {
        return Err(Box::new(answer(404, "", Bytes::new())));
    };
    let mut relay = RelayRequest {
        job: rest.to_owned(),
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        ask: RelayOperation::Query,
        version: config.version,
        account: check.account(state, queue, request)?,
        terms: None,
    };
    relay.ask = match (&request.method, rest) {
        (&Method::GET, "") => body.ignore(RelayOperation::Pending)?,
        (_, rest) if !is_job_id(rest) => return Err(Box::new(answer(404, "", Bytes::new()))),
        (&Method::GET, _) => body.ignore(RelayOperation::Query)?,
        (&Method::DELETE, _) => body.ignore(RelayOperation::Cancel)?,
        (&Method::POST, _) => {
            let bytes = body.read(config.body_bytes).await?;
            match (state.dialect.job)(&bytes) {
                Ok(job) => {
                    body.reserve(&job)?;
                    relay.terms = JobTerms::of_queue(config, &queue.name);
                    RelayOperation::Submit(job)
                }
                Err(error) => {
                    log::info!(event = "job_unreadable", job = rest, error:% = error; "");
                    return Err(Box::new(answer(400, "text/plain", error.to_string())));
                }
            }
        }
        _ => return Err(Box::new(answer(405, "", Bytes::new()))),
    };
    Ok(relay)
}

fn is_job_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn respond(state: &FrontState, relay: &RelayRequest, outcome: RelayOutcome) -> HttpAnswer {
    let reply = match outcome {
        RelayOutcome::Answered(reply) => reply,
        RelayOutcome::NotReached => return refused(503, NO_OWNER_RETRY_MS),
        RelayOutcome::Unknown => {
            log::info!(event = "request_unknown", job = relay.job.as_str(), queue = relay.queue.as_str(); "");
            return answer(504, "", Bytes::new());
        }
    };
    match reply {
        RelayReply::Accepted | RelayReply::Cancelled => answer(200, JSON, "{}"),
        RelayReply::State(job) => answer(200, JSON, (state.dialect.job_state)(job)),
        RelayReply::Pending(count) => answer(200, JSON, (state.dialect.queue_state)(count)),
        RelayReply::Unknown => answer(410, "", Bytes::new()),
        RelayReply::NoQueue => answer(404, "", Bytes::new()),
        RelayReply::Invalid => answer(400, "", Bytes::new()),
        RelayReply::Conflict => answer(409, "", Bytes::new()),
        RelayReply::Refused { retry_ms } => refused(429, retry_ms),
        RelayReply::NotOwner => refused(503, NO_OWNER_RETRY_MS),
        RelayReply::Lost => answer(504, "", Bytes::new()),
    }
}

/// Returns an answer that tells the caller that nothing was done and when to retry.
///
/// `retry_ms` is rounded up to whole seconds, the unit of the Retry-After header.
fn refused(status: u16, retry_ms: u64) -> HttpAnswer {
    let mut response = answer(status, "", Bytes::new());
    let seconds = retry_ms.div_ceil(1000);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}
