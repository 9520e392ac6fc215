//! Handling of one caller's request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::kernel::ShutdownPhase;
use crate::metrics::REQUESTS;
use crate::request::RefuseReason;
use crate::request::RequestOutcome;
use crate::request::headers;
use crate::request::headers::RequestTerms;
use crate::service::entry::EntryGate;
use crate::service::entry::dispatcher::SlotGrant;
use crate::service::entry::exchange::ExchangeEnd;
use crate::service::entry::exchange::ExchangeLimits;
use crate::service::entry::exchange::exchange;

/// Longest idle time of a connection on which an idempotent request is sent.
const REUSE_LIMIT: Duration = Duration::from_secs(5);
/// Longest idle time of a connection on which any other request is sent.
const REUSE_LIMIT_ONCE: Duration = Duration::from_millis(500);
/// Sends of one request: the first and those after it was not run.
const MAX_SENDS: u32 = 3;
/// Headers that concern one connection and are not passed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type CallerResponse = Response<Full<Bytes>>;

/// Answers one request; it always has an answer.
pub(super) async fn handle(
    gate: Arc<EntryGate>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let mut response = answer_request(&gate, request).await;
    if *gate.phase.borrow() >= ShutdownPhase::Announced {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    count(&response);
    Ok(response)
}

async fn answer_request(gate: &Arc<EntryGate>, request: Request<Incoming>) -> CallerResponse {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let terms = match RequestTerms::parse(&parts.headers) {
        Ok(terms) => terms,
        Err(error) => {
            return refuse(RefuseReason::BadRequest, Duration::ZERO, &error.to_string());
        }
    };
    let response = match admit(gate, &terms, body, arrived).await {
        Ok(body) => run(gate, &terms, &parts, body, arrived + terms.deadline).await,
        Err(refusal) => refusal,
    };
    with_request_id(response, &terms)
}

fn count(response: &CallerResponse) {
    let header = |name| {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or("").to_owned()
    };
    let labels = [
        ("outcome", header(headers::OUTCOME)),
        ("reason", header(headers::REASON)),
    ];
    metrics::counter!(REQUESTS, &labels).increment(1);
}

/// Checks what can be checked before a slot is asked for, and reads the body.
async fn admit(
    gate: &EntryGate,
    terms: &RequestTerms,
    body: Incoming,
    arrived: Instant,
) -> Result<Bytes, CallerResponse> {
    if *gate.phase.borrow() >= ShutdownPhase::Draining {
        let reason = RefuseReason::ShuttingDown;
        return Err(refuse(reason, Duration::from_secs(1), "shutting down"));
    }
    let limit = gate.limits.request_bytes;
    let body = Limited::new(body, limit).collect();
    match timeout_at(arrived + terms.deadline, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(refuse(
            RefuseReason::BadRequest,
            Duration::ZERO,
            &format!("body not accepted, at most {limit} bytes: {error}"),
        )),
        Err(_) => Err(refuse(
            RefuseReason::DeadlinePassed,
            Duration::ZERO,
            "body not received before the deadline",
        )),
    }
}

/// Sends the request until it is answered, may have run or is refused.
async fn run(
    gate: &Arc<EntryGate>,
    terms: &RequestTerms,
    parts: &Parts,
    body: Bytes,
    deadline: Instant,
) -> CallerResponse {
    let mut problem = String::new();
    for _ in 0..MAX_SENDS {
        let since_start = deadline - gate.started;
        let slot = gate.inbox.acquire(&terms.pool, terms.class, since_start);
        let grant = match slot.await {
            Ok(grant) => grant,
            Err(refusal) => {
                let reason = refusal.reason;
                return refuse(reason, refusal.retry_after, reason.as_str());
            }
        };
        let message = backend_request(gate, terms, parts, body.clone(), deadline);
        match send(gate, terms, grant, message, deadline).await {
            SendEnd::Answered(response) => return answer(response),
            SendEnd::Unknown(text) => return unknown(&text),
            SendEnd::NotRun(text) => problem = text,
        }
    }
    let reason = RefuseReason::BackendRefused;
    refuse(reason, Duration::from_millis(100), &problem)
}

/// What is known when the caller gets its answer.
enum SendEnd {
    Answered(Response<Bytes>),
    NotRun(String),
    Unknown(String),
}

/// Runs the exchange as a task of its own and waits for it until the deadline.
///
/// The task gives the slot back when the backend server is done, which may be
/// after the deadline.
async fn send(
    gate: &Arc<EntryGate>,
    terms: &RequestTerms,
    grant: SlotGrant,
    message: Request<Full<Bytes>>,
    deadline: Instant,
) -> SendEnd {
    let limits = ExchangeLimits {
        connect: gate.limits.connect_limit,
        answer_bytes: gate.limits.answer_bytes,
        reuse: if terms.idempotent {
            REUSE_LIMIT
        } else {
            REUSE_LIMIT_ONCE
        },
    };
    let (reply, end) = oneshot::channel();
    let gate = gate.clone();
    tokio::spawn(async move {
        let start = Instant::now();
        let end = exchange(grant.address, grant.connection, message, limits).await;
        let (end, service_time, connection) = match end {
            ExchangeEnd::Answered(response, connection) => (
                SendEnd::Answered(response),
                Some(start.elapsed()),
                connection,
            ),
            ExchangeEnd::NotRun(problem) => (SendEnd::NotRun(problem), None, None),
            ExchangeEnd::Unknown(problem) => (SendEnd::Unknown(problem), None, None),
        };
        gate.inbox.finish(grant.vm, service_time, connection);
        // The caller may have had its answer at the deadline.
        let _ = reply.send(end);
    });
    match timeout_at(deadline, end).await {
        Ok(Ok(end)) => end,
        Ok(Err(_)) => SendEnd::Unknown("exchange ended without a result".to_owned()),
        Err(_) => SendEnd::Unknown("no answer before the deadline".to_owned()),
    }
}

fn backend_request(
    gate: &EntryGate,
    terms: &RequestTerms,
    parts: &Parts,
    body: Bytes,
    deadline: Instant,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    *request.headers_mut() = end_to_end(&parts.headers);
    let left = deadline.saturating_duration_since(Instant::now());
    let left = HeaderValue::from(left.as_millis() as u64);
    let headers = request.headers_mut();
    headers.insert(headers::DEADLINE_MS, left);
    headers.remove(headers::FORWARDED_BY);
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(terms.pool.as_str());
        headers.extend(host.ok().map(|host| (header::HOST, host)));
    }
    if let Ok(name) = HeaderValue::from_str(gate.name.as_str()) {
        headers.insert("chicory-entry", name);
    }
    request
}

/// Copies headers without those of one connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION);
    let named: Vec<_> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .collect();
    let named = named.join(",");
    let mut headers = headers.clone();
    for name in named.split(',').map(str::trim) {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn answer(response: Response<Bytes>) -> CallerResponse {
    let (mut parts, body) = response.into_parts();
    parts.headers = end_to_end(&parts.headers);
    let outcome = HeaderValue::from_static(RequestOutcome::Answered.as_str());
    parts.headers.insert(headers::OUTCOME, outcome);
    Response::from_parts(parts, Full::new(body))
}

fn unknown(problem: &str) -> CallerResponse {
    log::info!(event = "request_unknown", problem = problem; "");
    let mut response = Response::new(Full::from(format!("unknown: {problem}\n")));
    *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
    let outcome = HeaderValue::from_static(RequestOutcome::Unknown.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

fn refuse(reason: RefuseReason, retry_after: Duration, problem: &str) -> CallerResponse {
    let mut response = Response::new(Full::from(format!("not run: {problem}\n")));
    let status = StatusCode::from_u16(reason.status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let outcome = HeaderValue::from_static(RequestOutcome::NotRun.as_str());
    headers.insert(headers::OUTCOME, outcome);
    headers.insert(headers::REASON, HeaderValue::from_static(reason.as_str()));
    if reason.status() == 503 {
        let millis = retry_after.as_millis() as u64;
        headers.insert(headers::RETRY_AFTER_MS, HeaderValue::from(millis));
        let seconds = HeaderValue::from(millis.div_ceil(1000));
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn with_request_id(mut response: CallerResponse, terms: &RequestTerms) -> CallerResponse {
    let id = terms.request_id.as_deref();
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(headers::REQUEST_ID, id);
    }
    response
}
