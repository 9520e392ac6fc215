//! Passing a request on to another entry VM, one hop only.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::decide::forward::MAX_FORWARD_SENDS;
use crate::metrics::FORWARDS;
use crate::request::RefuseReason;
use crate::request::headers;
use crate::service::entry::EntryGate;
use crate::service::entry::exchange::ExchangeEnd;
use crate::service::entry::exchange::ExchangeLimits;
use crate::service::entry::exchange::exchange;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::send::FinalAnswer;
use crate::service::entry::send::WholeRequest;
use crate::service::entry::send::outgoing;
use crate::service::entry::send::reuse_limit;

/// Tells whether another entry VM may take what was refused here.
pub(super) fn may_forward(request: &WholeRequest, refusal: SlotRefusal) -> bool {
    let elsewhere = matches!(
        refusal.reason,
        RefuseReason::Overload | RefuseReason::QueueFull | RefuseReason::NoBackend
    );
    elsewhere && !request.terms.forwarded
}

/// Passes the request on to entry VMs, one after the other, until one runs it.
///
/// What they refuse did not run; the caller gets the refusal of this entry VM.
pub(super) async fn forward(
    gate: &Arc<EntryGate>,
    request: &WholeRequest,
    refusal: SlotRefusal,
) -> FinalAnswer {
    let mut problem = refusal.reason.to_string();
    let Ok(_permit) = gate.forwards.try_acquire() else {
        return FinalAnswer::NotRun(refusal, problem);
    };
    let pool = &request.terms.pool;
    let mut tried: Vec<SocketAddr> = Vec::new();
    while tried.len() < MAX_FORWARD_SENDS && Instant::now() < request.deadline {
        let target = gate.inbox.forward_target(pool, refusal.reason, &tried);
        let Some(target) = target.await else {
            break;
        };
        let address = target.address;
        tried.push(address);
        metrics::counter!(FORWARDS, "pool" => pool.to_string()).increment(1);
        let mut message = outgoing(gate, request);
        if let Ok(name) = HeaderValue::from_str(gate.name.as_str()) {
            message.headers_mut().insert(headers::FORWARDED_BY, name);
        }
        let limits = ExchangeLimits {
            connect: gate.limits.connect_limit,
            answer_bytes: gate.limits.answer_bytes,
            reuse: reuse_limit(&request.terms),
            states_outcome: true,
        };
        let end = exchange(address, target.connection, message, limits);
        match timeout_at(request.deadline, end).await {
            Ok(ExchangeEnd::Answered(response, connection)) => {
                gate.inbox.forwarded(address, pool, Some(connection), false);
                return FinalAnswer::Answered(response);
            }
            Ok(ExchangeEnd::Refused(text, connection)) => {
                gate.inbox.forwarded(address, pool, Some(connection), true);
                problem = text;
            }
            Ok(ExchangeEnd::Unsent(text)) => {
                gate.inbox.forwarded(address, pool, None, true);
                problem = text;
            }
            Ok(ExchangeEnd::Unknown(problem, _)) => return FinalAnswer::Unknown(problem),
            Err(_) => return FinalAnswer::Unknown("no answer before the deadline".to_owned()),
        }
    }
    FinalAnswer::NotRun(refusal, problem)
}
