//! Sends of one request: to a backend server here or to another entry VM.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::decide::dispatch::SlotRequest;
use crate::decide::health::FailureCause;
use crate::decide::retry::SendFailure;
use crate::decide::retry::may_resend;
use crate::metrics::RESENDS;
use crate::names::VmName;
use crate::request::RefuseReason;
use crate::request::headers;
use crate::request::headers::RequestTerms;
use crate::service::entry::EntryGate;
use crate::service::entry::exchange::ExchangeEnd;
use crate::service::entry::exchange::ExchangeLimits;
use crate::service::entry::exchange::exchange;
use crate::service::entry::forward::forward;
use crate::service::entry::forward::may_forward;
use crate::service::entry::inbox::SlotGrant;
use crate::service::entry::inbox::SlotRefusal;

/// Longest idle time of a connection on which an idempotent request is sent.
const REUSE_LIMIT: Duration = Duration::from_secs(5);
/// Longest idle time of a connection on which any other request is sent.
const REUSE_LIMIT_ONCE: Duration = Duration::from_millis(500);
/// When to come back after all sends were refused by the other side.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Headers that concern one connection and are not passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A caller's request, read whole.
pub(super) struct WholeRequest {
    pub terms: RequestTerms,
    pub parts: Parts,
    pub body: Bytes,
    /// The caller's request id, or one that was made here.
    pub id: HeaderValue,
    pub deadline: Instant,
}

/// What the caller gets.
pub(super) enum FinalAnswer {
    Answered(Response<Bytes>),
    NotRun(SlotRefusal, String),
    Unknown(String),
}

/// How one send ended.
enum SendEnd {
    Answered(Response<Bytes>),
    Failed(SendFailure, String),
}

/// Sends the request until it is answered, may have run or is refused.
pub(super) async fn run(gate: &Arc<EntryGate>, request: &WholeRequest) -> FinalAnswer {
    let terms = &request.terms;
    let mut avoid: Option<VmName> = None;
    let mut maybe_ran = false;
    let mut sends = 0;
    loop {
        let slot_request = SlotRequest {
            ticket: gate.inbox.next_ticket(),
            pool: terms.pool.clone(),
            class: terms.class,
            deadline: request.deadline - gate.started,
            avoid: avoid.take(),
            forwarded: terms.forwarded,
        };
        let slot = gate
            .inbox
            .acquire(slot_request, sends > 0, request.deadline);
        let grant = match slot.await {
            Ok(grant) => grant,
            // What may have run before must not be said not to have run.
            Err(refusal) if maybe_ran => {
                return FinalAnswer::Unknown(format!("sent before, now {}", refusal.reason));
            }
            Err(refusal) if may_forward(request, refusal) && sends == 0 => {
                return forward(gate, request, refusal).await;
            }
            Err(refusal) => return FinalAnswer::NotRun(refusal, refusal.reason.to_string()),
        };
        avoid = Some(grant.vm.clone());
        sends += 1;
        let (failure, problem) = match send_here(gate, request, grant).await {
            SendEnd::Answered(response) => return FinalAnswer::Answered(response),
            SendEnd::Failed(failure, problem) => (failure, problem),
        };
        maybe_ran |= failure == SendFailure::Unknown;
        let in_time = Instant::now() < request.deadline;
        let again = in_time && may_resend(failure, terms.idempotent, sends);
        if !again || !gate.inbox.withdraw(&terms.pool).await {
            return given_up(maybe_ran, problem);
        }
        metrics::counter!(RESENDS, "pool" => terms.pool.to_string()).increment(1);
    }
}

fn given_up(maybe_ran: bool, problem: String) -> FinalAnswer {
    if maybe_ran {
        return FinalAnswer::Unknown(problem);
    }
    let refusal = SlotRefusal {
        reason: RefuseReason::BackendRefused,
        retry_after: REFUSED_RETRY_AFTER,
    };
    FinalAnswer::NotRun(refusal, problem)
}

/// Runs the exchange and waits for it until the deadline.
///
/// The slot is given back when the backend server is done, which may be after
/// the deadline or after the caller has gone.
async fn send_here(gate: &Arc<EntryGate>, request: &WholeRequest, mut grant: SlotGrant) -> SendEnd {
    // A slot that was granted before a pause of the process may be out of date.
    if grant.granted.elapsed() > gate.pause_limit {
        return SendEnd::Failed(SendFailure::NotRun, "paused after the grant".to_owned());
    }
    let message = outgoing(gate, request);
    let limits = ExchangeLimits {
        connect: gate.limits.connect_limit,
        answer_bytes: gate.limits.answer_bytes,
        reuse: reuse_limit(&request.terms),
        states_outcome: false,
    };
    let end_of_wait = request.deadline + gate.limits.overrun_limit;
    let end = DetachedFuture::new(async move {
        let start = Instant::now();
        let idle = grant.connection.take();
        let end = timeout_at(end_of_wait, exchange(grant.address, idle, message, limits)).await;
        let end = end.unwrap_or_else(|_| {
            let problem = format!("step=wait peer={}: overdue", grant.address);
            ExchangeEnd::Unknown(problem, FailureCause::Overdue)
        });
        settle(&mut grant, end, start.elapsed())
    });
    match timeout_at(request.deadline, end).await {
        // After a pause of the process the answer may come before the timeout.
        Ok(_) if Instant::now() >= request.deadline => {
            SendEnd::Failed(SendFailure::Unknown, "answer after the deadline".to_owned())
        }
        Ok(end) => end,
        Err(_) => SendEnd::Failed(
            SendFailure::Unknown,
            "no answer before the deadline".to_owned(),
        ),
    }
}

/// A future that goes on as a task of its own if it is dropped before its end.
struct DetachedFuture<T: Send + 'static> {
    future: Option<Pin<Box<dyn Future<Output = T> + Send>>>,
}

impl<T: Send + 'static> DetachedFuture<T> {
    fn new(future: impl Future<Output = T> + Send + 'static) -> Self {
        Self {
            future: Some(Box::pin(future)),
        }
    }
}

impl<T: Send + 'static> Future for DetachedFuture<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let Some(future) = self.future.as_mut() else {
            return Poll::Pending;
        };
        let done = ready!(future.as_mut().poll(cx));
        self.future = None;
        Poll::Ready(done)
    }
}

impl<T: Send + 'static> Drop for DetachedFuture<T> {
    fn drop(&mut self) {
        // Without a runtime the process is ending.
        if let (Some(future), Ok(runtime)) = (self.future.take(), Handle::try_current()) {
            runtime.spawn(future);
        }
    }
}

/// Notes in the grant what the exchange has shown of the backend server.
fn settle(grant: &mut SlotGrant, end: ExchangeEnd, elapsed: Duration) -> SendEnd {
    let report = &mut grant.report;
    match end {
        ExchangeEnd::Answered(response, connection) => {
            report.service_time = Some(elapsed);
            let failed = response.status().is_server_error();
            report.health = Some(if failed {
                Err(FailureCause::ServerError)
            } else {
                Ok(())
            });
            grant.connection = Some(connection);
            SendEnd::Answered(response)
        }
        ExchangeEnd::Refused(problem, connection) => {
            grant.connection = Some(connection);
            SendEnd::Failed(SendFailure::NotRun, problem)
        }
        ExchangeEnd::Unsent(problem) => {
            report.health = Some(Err(FailureCause::Connect));
            SendEnd::Failed(SendFailure::NotRun, problem)
        }
        ExchangeEnd::Unknown(problem, cause) => {
            report.service_time = (cause == FailureCause::Overdue).then_some(elapsed);
            report.health = Some(Err(cause));
            SendEnd::Failed(SendFailure::Unknown, problem)
        }
    }
}

/// Returns the longest idle time of a connection on which the request is sent.
pub(super) fn reuse_limit(terms: &RequestTerms) -> Duration {
    if terms.idempotent {
        REUSE_LIMIT
    } else {
        REUSE_LIMIT_ONCE
    }
}

pub(super) fn outgoing(gate: &EntryGate, request: &WholeRequest) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.parts.method.clone();
    *message.uri_mut() = request.parts.uri.clone();
    *message.headers_mut() = end_to_end(&request.parts.headers);
    let left = request.deadline.saturating_duration_since(Instant::now());
    let headers = message.headers_mut();
    headers.insert(
        headers::DEADLINE_MS,
        HeaderValue::from(left.as_millis() as u64),
    );
    headers.insert(headers::REQUEST_ID, request.id.clone());
    headers.remove(headers::FORWARDED_BY);
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(request.terms.pool.as_str());
        headers.extend(host.ok().map(|host| (header::HOST, host)));
    }
    if let Ok(name) = HeaderValue::from_str(gate.name.as_str()) {
        headers.insert(headers::ENTRY, name);
    }
    message
}

/// Copies headers without those of one connection.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for named in headers.get_all(header::CONNECTION) {
        let named = named.to_str().unwrap_or("");
        for name in named.split(',').map(str::trim) {
            kept.remove(name);
        }
    }
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove(header::CONTENT_LENGTH);
    kept
}
