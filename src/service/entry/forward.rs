//! Forwarding of refused requests to other entry VMs, over one hop at most.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::decide::forward::MAX_FORWARD_SENDS;
use crate::metrics::FORWARDS;
use crate::request::RefuseReason;
use crate::request::headers;
use crate::service::entry::EntryContext;
use crate::service::entry::exchange::ExchangeLimits;
use crate::service::entry::exchange::ExchangeOutcome;
use crate::service::entry::exchange::exchange;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::send::BufferedRequest;
use crate::service::entry::send::FinalAnswer;
use crate::service::entry::send::outgoing_request;
use crate::service::entry::send::reuse_limit;

/// Returns whether a request that was refused here may be forwarded.
///
/// It may if another entry VM might accept it, judging by the reason of the refusal,
/// and if it was not forwarded to this entry VM.
pub(super) fn may_forward(request: &BufferedRequest, refusal: SlotRefusal) -> bool {
    let is_local_reason = matches!(
        refusal.reason,
        RefuseReason::Overload | RefuseReason::QueueFull | RefuseReason::NoBackend
    );
    is_local_reason && !request.options.forwarded
}

/// Forwards the request to entry VMs, one after the other, until one accepts it.
///
/// A request that they all refuse did not run; the caller then gets the reason and
/// the retry time of this entry VM's refusal, with the last problem as text.
pub(super) async fn forward(
    context: &Arc<EntryContext>,
    request: &BufferedRequest,
    refusal: SlotRefusal,
) -> FinalAnswer {
    let mut problem = refusal.reason.to_string();
    let Ok(_permit) = context.forward_permits.try_acquire() else {
        return FinalAnswer::NotRun(refusal, problem);
    };
    let pool = &request.options.pool;
    let mut tried: Vec<SocketAddr> = Vec::new();
    while tried.len() < MAX_FORWARD_SENDS && Instant::now() < request.deadline {
        let target = context.inbox.forward_target(pool, refusal.reason, &tried);
        let Some(target) = target.await else {
            break;
        };
        let address = target.address;
        tried.push(address);
        metrics::counter!(FORWARDS, "pool" => pool.to_string()).increment(1);
        let mut message = outgoing_request(context, request);
        if let Ok(name) = HeaderValue::from_str(context.name.as_str()) {
            message.headers_mut().insert(headers::FORWARDED_BY, name);
        }
        let limits = ExchangeLimits {
            connect_timeout: context.limits.connect_limit,
            max_answer_bytes: context.limits.answer_bytes,
            reuse_limit: reuse_limit(&request.options),
            requires_outcome: true,
        };
        let attempt = exchange(address, target.connection, message, limits);
        match timeout_at(request.deadline, attempt).await {
            Ok(ExchangeOutcome::Answered(response, connection)) => {
                context
                    .inbox
                    .finish_forward(address, pool, Some(connection), false);
                return FinalAnswer::Answered(response);
            }
            Ok(ExchangeOutcome::Refused(text, connection)) => {
                context
                    .inbox
                    .finish_forward(address, pool, Some(connection), true);
                problem = text;
            }
            Ok(ExchangeOutcome::Unsent(text)) => {
                context.inbox.finish_forward(address, pool, None, true);
                problem = text;
            }
            Ok(ExchangeOutcome::Unknown(problem, _)) => return FinalAnswer::Unknown(problem),
            Err(_) => return FinalAnswer::Unknown("no answer before the deadline".to_owned()),
        }
    }
    FinalAnswer::NotRun(refusal, problem)
}
