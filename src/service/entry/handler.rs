//! Handler of callers' requests: reads a request and builds its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::kernel::ShutdownPhase;
use crate::metrics::REQUESTS;
use crate::request::RefuseReason;
use crate::request::RequestOutcome;
use crate::request::headers;
use crate::request::headers::RequestOptions;
use crate::service::entry::EntryContext;
use crate::service::entry::inbox::STATE_RETRY_AFTER;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::send;
use crate::service::entry::send::BufferedRequest;
use crate::service::entry::send::FinalAnswer;
use crate::service::entry::send::end_to_end_headers;
use crate::service::ingress::body::BodyError;
use crate::service::ingress::body::ClientRequest;
use crate::service::ingress::body::RequestBody;

type CallerResponse = Response<Full<Bytes>>;

/// Handles one request; failures become answers with an outcome, never errors.
pub(super) async fn handle(context: Arc<EntryContext>, request: ClientRequest) -> CallerResponse {
    let mut response = answer_request(&context, request).await;
    if *context.phase.borrow() >= ShutdownPhase::Announced {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer_request(context: &Arc<EntryContext>, request: ClientRequest) -> CallerResponse {
    let arrived = Instant::now();
    let ClientRequest { parts, body } = request;
    let id = request_id(context, &parts);
    let method = parts.method.clone();
    let answer = match read_request(context, parts, body, arrived, &id).await {
        Ok(request) => send::run(context, &request).await,
        Err(answer) => answer,
    };
    let (mut response, reason) = match answer {
        FinalAnswer::Answered(response) => (answered_response(&method, response), None),
        FinalAnswer::Unknown(problem) => (unknown_response(&problem), None),
        FinalAnswer::NotRun(refusal, problem) => (
            refused_response(refusal, &problem),
            Some(refusal.reason.as_str()),
        ),
    };
    count_request(&response, reason);
    response.headers_mut().insert(headers::REQUEST_ID, id);
    response
}

/// Returns the caller's request id or generates one.
///
/// If the backend server echoes the id, an answer to an earlier request is detected
/// because its id differs.
fn request_id(context: &EntryContext, parts: &Parts) -> HeaderValue {
    let stated = parts.headers.get(headers::REQUEST_ID);
    let stated = stated.filter(|id| id.len() <= headers::MAX_REQUEST_ID_BYTES);
    if let Some(id) = stated {
        return id.clone();
    }
    let id = format!(
        "{}-{:x}-{}",
        context.name,
        context.started_ms,
        context.inbox.next_ticket()
    );
    // Does not fail: names consist of characters that are valid in a header.
    HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static("none"))
}

fn count_request(response: &CallerResponse, reason: Option<&'static str>) {
    let outcome = response.headers().get(headers::OUTCOME);
    let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
    let outcome = outcome.and_then(RequestOutcome::find);
    let outcome = outcome.map_or("", RequestOutcome::as_str);
    let reason = reason.unwrap_or("");
    metrics::counter!(REQUESTS, "outcome" => outcome, "reason" => reason).increment(1);
}

fn not_run(reason: RefuseReason, retry_after: Duration, problem: &str) -> FinalAnswer {
    let refusal = SlotRefusal {
        reason,
        retry_after,
    };
    FinalAnswer::NotRun(refusal, problem.to_owned())
}

/// Checks the request's headers, method and size and reads its body, before a slot is
/// requested.
async fn read_request(
    context: &EntryContext,
    parts: Parts,
    mut body: RequestBody,
    arrived: Instant,
    id: &HeaderValue,
) -> Result<BufferedRequest, FinalAnswer> {
    let bad = |problem: &str| not_run(RefuseReason::BadRequest, Duration::ZERO, problem);
    let options = RequestOptions::parse(&parts.headers);
    let options = options.map_err(|error| bad(&error.to_string()))?;
    if parts.method == Method::CONNECT {
        return Err(bad("method CONNECT is not accepted"));
    }
    if *context.phase.borrow() >= ShutdownPhase::Draining {
        let reason = RefuseReason::ShuttingDown;
        return Err(not_run(reason, STATE_RETRY_AFTER, "shutting down"));
    }
    let limit = context.limits.request_bytes;
    let deadline = arrived + options.time_left;
    match body.read(limit, deadline).await {
        Ok(body) => Ok(BufferedRequest {
            body: body.into(),
            id: id.clone(),
            options,
            parts,
            deadline,
        }),
        Err(BodyError::TimedOut) => {
            let problem = "body not received before the deadline";
            let reason = RefuseReason::DeadlinePassed;
            Err(not_run(reason, STATE_RETRY_AFTER, problem))
        }
        Err(BodyError::NoRoom) => {
            let problem = "no memory for the body";
            Err(not_run(RefuseReason::Overload, STATE_RETRY_AFTER, problem))
        }
        Err(error) => Err(bad(&format!(
            "body not accepted, at most {limit} bytes: {error}"
        ))),
    }
}

fn answered_response(method: &Method, response: Response<Bytes>) -> CallerResponse {
    let (mut parts, body) = response.into_parts();
    let length = parts.headers.get(header::CONTENT_LENGTH).cloned();
    parts.version = Version::HTTP_11;
    parts.headers = end_to_end_headers(&parts.headers);
    // These answers have no body; their Content-Length is that of the omitted body.
    if *method == Method::HEAD || parts.status == StatusCode::NOT_MODIFIED {
        let length = length.map(|length| (header::CONTENT_LENGTH, length));
        parts.headers.extend(length);
    }
    let outcome = HeaderValue::from_static(RequestOutcome::Answered.as_str());
    parts.headers.insert(headers::OUTCOME, outcome);
    Response::from_parts(parts, Full::new(body))
}

fn unknown_response(problem: &str) -> CallerResponse {
    log::info!(event = "request_unknown", problem = problem; "");
    let mut response = Response::new(Full::from(format!("unknown: {problem}\n")));
    *response.status_mut() = StatusCode::GATEWAY_TIMEOUT;
    let outcome = HeaderValue::from_static(RequestOutcome::Unknown.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

fn refused_response(refusal: SlotRefusal, problem: &str) -> CallerResponse {
    let reason = refusal.reason;
    let mut response = Response::new(Full::from(format!("not run: {problem}\n")));
    let status = StatusCode::from_u16(reason.status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    let outcome = HeaderValue::from_static(RequestOutcome::NotRun.as_str());
    headers.insert(headers::OUTCOME, outcome);
    headers.insert(headers::REASON, HeaderValue::from_static(reason.as_str()));
    if reason.status() == 503 {
        let millis = refusal.retry_after.as_millis() as u64;
        headers.insert(headers::RETRY_AFTER_MS, HeaderValue::from(millis));
        let seconds = HeaderValue::from(millis.div_ceil(1000));
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}
