//! Routes on which peers are answered.

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::prelude::affix_state;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use super::NAME;
use super::PeerTools;
use super::client::summary_tag;
use super::exchange;
use super::lead::LeadMessage;
use crate::kernel::LookupError;
use crate::kernel::ServiceKernel;
use crate::metrics::count_peer_message;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;
use crate::peer::message::StatePush;
use crate::peer::wire;
use crate::peer::wire::MAX_MESSAGE_BYTES;
use crate::peer::wire::MSGPACK;
use crate::peer::wire::WireError;

/// Returns the routes under `/peer/v1`.
///
/// # Errors
///
/// Fails if the service is not started.
pub fn routes(kernel: &ServiceKernel) -> Result<Router, LookupError> {
    let tools: PeerTools = kernel.find(NAME)?;
    Ok(Router::with_path("peer/v1")
        .hoop(affix_state::inject(tools))
        .push(Router::with_path("push").post(take_push))
        .push(Router::with_path("join").post(take_join))
        .push(Router::with_path("leave").post(take_leave))
        .push(Router::with_path("state").get(show_state))
        .push(Router::with_path("config").get(show_config))
        .push(Router::with_path("summary").get(show_summary)))
}

#[handler]
async fn take_push(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(tools) = tools_of(depot, response) else {
        return;
    };
    let Some(push) = read::<wire::PushWire, StatePush>(request, response).await else {
        return;
    };
    match exchange::accept(&tools, push).await {
        Some(answer) => write(response, &wire::AnswerWire::from(&answer)),
        None => refuse(response, StatusCode::CONFLICT),
    }
}

#[handler]
async fn take_join(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(tools) = tools_of(depot, response) else {
        return;
    };
    let Some(joiner) = read::<wire::AnswerWire, PushAnswer>(request, response).await else {
        return;
    };
    if joiner.dc != tools.identity.dc {
        return refuse(response, StatusCode::CONFLICT);
    }
    // A full inbox drops the message; the joiner repeats it.
    let _ = tools.lead.try_send(LeadMessage::Join(joiner));
    response.status_code(StatusCode::NO_CONTENT);
}

#[handler]
async fn take_leave(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(tools) = tools_of(depot, response) else {
        return;
    };
    let Some(request) = read::<wire::LeaveWire, LeaveRequest>(request, response).await else {
        return;
    };
    let (reply, written) = oneshot::channel();
    let message = LeadMessage::Leave { request, reply };
    // A full inbox drops the reply, which refuses the request.
    let _ = tools.lead.try_send(message);
    let written = written.await.unwrap_or(false);
    response.status_code(if written {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    });
}

#[handler]
async fn show_state(depot: &mut Depot, response: &mut Response) {
    let Some(tools) = tools_of(depot, response) else {
        return;
    };
    // Who does not trust its own state has none to give.
    if !tools.view.borrow().trusted {
        return refuse(response, StatusCode::SERVICE_UNAVAILABLE);
    }
    let copy = exchange::state_copy(&tools);
    write(response, &wire::CopyWire::from(&copy));
}

#[handler]
async fn show_config(depot: &mut Depot, response: &mut Response) {
    if let Some(tools) = tools_of(depot, response) {
        let copy = exchange::config_copy(&tools);
        write(response, &wire::CopyWire::from(&copy));
    }
}

#[handler]
async fn show_summary(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(tools) = tools_of(depot, response) else {
        return;
    };
    let summary = exchange::summary(&tools);
    let body = wire::encode(&wire::SummaryWire::from(&summary));
    if request.query::<&str>("tag") == Some(summary_tag(&body).as_str()) {
        response.status_code(StatusCode::NO_CONTENT);
        return;
    }
    write_body(response, body);
}

fn tools_of(depot: &Depot, response: &mut Response) -> Option<PeerTools> {
    let tools = depot.get_typed::<PeerTools>().ok().cloned();
    if tools.is_none() {
        refuse(response, StatusCode::SERVICE_UNAVAILABLE);
    }
    tools
}

async fn read<W, T>(request: &mut Request, response: &mut Response) -> Option<T>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error = WireError>,
{
    let Ok(body) = request.payload_with_max_size(MAX_MESSAGE_BYTES).await else {
        refuse(response, StatusCode::BAD_REQUEST);
        return None;
    };
    count_peer_message("in", body.len());
    match wire::decode::<W, T>(body) {
        Ok(message) => Some(message),
        Err(error) => {
            log::warn!(event = "peer_message_malformed", error:% = error; "");
            refuse(response, StatusCode::BAD_REQUEST);
            None
        }
    }
}

fn refuse(response: &mut Response, status: StatusCode) {
    response.status_code(status);
}

fn write<W: Serialize>(response: &mut Response, wire: &W) {
    write_body(response, wire::encode(wire));
}

fn write_body(response: &mut Response, body: Vec<u8>) {
    count_peer_message("out", body.len());
    // The media type is a valid header and the body is given once.
    let _ = response.add_header("content-type", MSGPACK, true);
    let _ = response.write_body(body);
}
