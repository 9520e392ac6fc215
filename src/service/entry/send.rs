//! Sending, resending and forwarding of one request.

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
use crate::request::headers::RequestOptions;
use crate::service::entry::EntryContext;
use crate::service::entry::exchange::ExchangeLimits;
use crate::service::entry::exchange::ExchangeOutcome;
use crate::service::entry::exchange::exchange;
use crate::service::entry::forward::forward;
use crate::service::entry::forward::may_forward;
use crate::service::entry::inbox::SlotGrant;
use crate::service::entry::inbox::SlotRefusal;

/// A connection that has been idle for this long is not reused for an idempotent request.
const IDEMPOTENT_REUSE_LIMIT: Duration = Duration::from_secs(5);
/// A connection that has been idle for this long is not reused for any other request.
///
/// It is shorter, since such a request can't be resent if the backend server closes
/// the idle connection at the moment when the request is sent.
const NON_IDEMPOTENT_REUSE_LIMIT: Duration = Duration::from_millis(500);
/// Time after which a caller should retry if each send failed before the request ran.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Headers that apply to a single connection; they are not copied to the next one.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// A caller's request with its complete body.
pub(super) struct BufferedRequest {
    pub options: RequestOptions,
    pub parts: Parts,
    pub body: Bytes,
    /// The caller's request id, or one generated here.
    pub id: HeaderValue,
    pub deadline: Instant,
}

/// Final result of a request, from which the answer to the caller is made.
pub(super) enum FinalAnswer {
    Answered(Response<Bytes>),
    /// The request did not run; the text says why.
    NotRun(SlotRefusal, String),
    /// The request may have run; the text says what went wrong.
    Unknown(String),
}

/// Result of one send to a backend server.
enum SendOutcome {
    Answered(Response<Bytes>),
    Failed(SendFailure, String),
}

/// Sends the request, with resends and forwarding as allowed, and returns the final answer.
///
/// A request that may have run is resent only if it is idempotent. One that gets no
/// slot here for its first send may be forwarded to other entry VMs.
pub(super) async fn run(context: &Arc<EntryContext>, request: &BufferedRequest) -> FinalAnswer {
    let options = &request.options;
    let mut avoid: Option<VmName> = None;
    let mut may_have_run = false;
    let mut sends = 0;
    loop {
        let slot_request = SlotRequest {
            ticket: context.inbox.next_ticket(),
            pool: options.pool.clone(),
            class: options.class,
            deadline: request.deadline - context.started,
            avoid: avoid.take(),
            forwarded: options.forwarded,
        };
        let slot = context
            .inbox
            .acquire(slot_request, sends > 0, request.deadline);
        let grant = match slot.await {
            Ok(grant) => grant,
            // An earlier send may have run, so this refusal must not become "not run".
            Err(refusal) if may_have_run => {
                return FinalAnswer::Unknown(format!("sent before, now {}", refusal.reason));
            }
            Err(refusal) if may_forward(request, refusal) && sends == 0 => {
                return forward(context, request, refusal).await;
            }
            Err(refusal) => return FinalAnswer::NotRun(refusal, refusal.reason.to_string()),
        };
        avoid = Some(grant.vm.clone());
        sends += 1;
        let (failure, problem) = match send_to_backend(context, request, grant).await {
            SendOutcome::Answered(response) => return FinalAnswer::Answered(response),
            SendOutcome::Failed(failure, problem) => (failure, problem),
        };
        may_have_run |= failure == SendFailure::Unknown;
        let in_time = Instant::now() < request.deadline;
        let resend = in_time && may_resend(failure, options.idempotent, sends);
        if !resend || !context.inbox.withdraw_token(&options.pool).await {
            return failed_answer(may_have_run, problem);
        }
        metrics::counter!(RESENDS, "pool" => options.pool.to_string()).increment(1);
    }
}

fn failed_answer(may_have_run: bool, problem: String) -> FinalAnswer {
    if may_have_run {
        return FinalAnswer::Unknown(problem);
    }
    let refusal = SlotRefusal {
        reason: RefuseReason::BackendRefused,
        retry_after: REFUSED_RETRY_AFTER,
    };
    FinalAnswer::NotRun(refusal, problem)
}

/// Sends the request to the granted VM and waits for the answer until the deadline.
///
/// If the deadline passes or the caller disconnects, the exchange continues in a task
/// of its own, since the backend server still runs the request. The slot is released
/// when the exchange ends, at the latest at the overrun limit after the deadline.
async fn send_to_backend(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    mut grant: SlotGrant,
) -> SendOutcome {
    // After a pause of the process, the state by which the slot was granted may be out of
    // date.
    if grant.granted_at.elapsed() > context.pause_limit {
        return SendOutcome::Failed(SendFailure::NotRun, "paused after the grant".to_owned());
    }
    let message = outgoing_request(context, request);
    let limits = ExchangeLimits {
        connect_timeout: context.limits.connect_limit,
        max_answer_bytes: context.limits.answer_bytes,
        reuse_limit: reuse_limit(&request.options),
        requires_outcome: false,
    };
    let overrun_end = request.deadline + context.limits.overrun_limit;
    let attempt = DetachedFuture::new(async move {
        let start = Instant::now();
        let idle = grant.connection.take();
        let outcome = timeout_at(overrun_end, exchange(grant.address, idle, message, limits)).await;
        let outcome = outcome.unwrap_or_else(|_| {
            let problem = format!("step=wait peer={}: overdue", grant.address);
            ExchangeOutcome::Unknown(problem, FailureCause::Overdue)
        });
        complete_grant(&mut grant, outcome, start.elapsed())
    });
    match timeout_at(request.deadline, attempt).await {
        // After a pause of the process, an answer that arrived after the deadline may be
        // polled before the timeout.
        Ok(_) if Instant::now() >= request.deadline => {
            SendOutcome::Failed(SendFailure::Unknown, "answer after the deadline".to_owned())
        }
        Ok(outcome) => outcome,
        Err(_) => SendOutcome::Failed(
            SendFailure::Unknown,
            "no answer before the deadline".to_owned(),
        ),
    }
}

/// A future that continues in a task of its own if it is dropped before its end.
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
        // Without a runtime the process is ending and the future is dropped.
        if let (Some(future), Ok(runtime)) = (self.future.take(), Handle::try_current()) {
            runtime.spawn(future);
        }
    }
}

/// Records the outcome of the exchange in the grant and returns it as that of the send.
///
/// The grant gets the connection, for reuse, and the report on the backend server.
fn complete_grant(
    grant: &mut SlotGrant,
    outcome: ExchangeOutcome,
    elapsed: Duration,
) -> SendOutcome {
    let report = &mut grant.report;
    match outcome {
        ExchangeOutcome::Answered(response, connection) => {
            report.service_time = Some(elapsed);
            let failed = response.status().is_server_error();
            report.health = Some(if failed {
                Err(FailureCause::ServerError)
            } else {
                Ok(())
            });
            grant.connection = Some(connection);
            SendOutcome::Answered(response)
        }
        ExchangeOutcome::Refused(problem, connection) => {
            grant.connection = Some(connection);
            SendOutcome::Failed(SendFailure::NotRun, problem)
        }
        ExchangeOutcome::Unsent(problem) => {
            report.health = Some(Err(FailureCause::Connect));
            SendOutcome::Failed(SendFailure::NotRun, problem)
        }
        ExchangeOutcome::Unknown(problem, cause) => {
            report.service_time = (cause == FailureCause::Overdue).then_some(elapsed);
            report.health = Some(Err(cause));
            SendOutcome::Failed(SendFailure::Unknown, problem)
        }
    }
}

/// Returns the idle time after which a connection is not reused for the request.
pub(super) fn reuse_limit(options: &RequestOptions) -> Duration {
    if options.idempotent {
        IDEMPOTENT_REUSE_LIMIT
    } else {
        NON_IDEMPOTENT_REUSE_LIMIT
    }
}

/// Builds the request that is sent to a backend server or an entry VM.
pub(super) fn outgoing_request(
    context: &EntryContext,
    request: &BufferedRequest,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.parts.method.clone();
    *message.uri_mut() = request.parts.uri.clone();
    *message.headers_mut() = end_to_end_headers(&request.parts.headers);
    let left = request.deadline.saturating_duration_since(Instant::now());
    let headers = message.headers_mut();
    headers.insert(
        headers::DEADLINE_MS,
        HeaderValue::from(left.as_millis() as u64),
    );
    headers.insert(headers::REQUEST_ID, request.id.clone());
    headers.remove(headers::FORWARDED_BY);
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(request.options.pool.as_str());
        headers.extend(host.ok().map(|host| (header::HOST, host)));
    }
    if let Ok(name) = HeaderValue::from_str(context.name.as_str()) {
        headers.insert(headers::ENTRY, name);
    }
    message
}

/// Copies headers without the hop-by-hop ones and `Content-Length`, which hyper sets.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for named in headers.get_all(header::CONNECTION) {
        let named = named.to_str().unwrap_or("");
        for name in named.split(',').map(str::trim) {
            kept.remove(name);
        }
    }
    for name in HOP_BY_HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove(header::CONTENT_LENGTH);
    kept
}
