//! HTTP routes for peers.

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
use super::PeerContext;
use super::client::summary_tag;
use super::exchange;
use super::rounds::RoundMessage;
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
    let context: PeerContext = kernel.find(NAME)?;
    Ok(Router::with_path("peer/v1")
        .hoop(affix_state::inject(context))
        .push(Router::with_path("push").post(handle_push))
        .push(Router::with_path("join").post(handle_join))
        .push(Router::with_path("leave").post(handle_leave))
        .push(Router::with_path("state").get(get_state))
        .push(Router::with_path("config").get(get_config))
        .push(Router::with_path("summary").get(get_summary)))
}

#[handler]
async fn handle_push(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = peer_context(depot, response) else {
        return;
    };
    let Some(push) = read_message::<wire::PushWire, StatePush>(request, response).await else {
        return;
    };
    match exchange::apply_push(&context, push).await {
        Some(answer) => write_message(response, &wire::AnswerWire::from(&answer)),
        None => refuse(response, StatusCode::CONFLICT),
    }
}

#[handler]
async fn handle_join(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = peer_context(depot, response) else {
        return;
    };
    let Some(joiner) = read_message::<wire::AnswerWire, PushAnswer>(request, response).await else {
        return;
    };
    if joiner.dc != context.identity.dc {
        return refuse(response, StatusCode::CONFLICT);
    }
    // If the inbox is full, the message is dropped; the joining entry VM sends it again.
    let _ = context.rounds.try_send(RoundMessage::Join(joiner));
    response.status_code(StatusCode::NO_CONTENT);
}

#[handler]
async fn handle_leave(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = peer_context(depot, response) else {
        return;
    };
    let Some(request) = read_message::<wire::LeaveWire, LeaveRequest>(request, response).await
    else {
        return;
    };
    let (reply, confirmed) = oneshot::channel();
    let message = RoundMessage::Leave { request, reply };
    // If the inbox is full, the reply is dropped, which refuses the request.
    let _ = context.rounds.try_send(message);
    let confirmed = confirmed.await.unwrap_or(false);
    response.status_code(if confirmed {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    });
}

#[handler]
async fn get_state(depot: &mut Depot, response: &mut Response) {
    let Some(context) = peer_context(depot, response) else {
        return;
    };
    // State that this entry VM does not trust itself is not given to peers.
    if !context.view.borrow().trusted {
        return refuse(response, StatusCode::SERVICE_UNAVAILABLE);
    }
    let copy = exchange::state_copy(&context);
    write_message(response, &wire::CopyWire::from(&copy));
}

#[handler]
async fn get_config(depot: &mut Depot, response: &mut Response) {
    if let Some(context) = peer_context(depot, response) {
        let copy = exchange::config_copy(&context);
        write_message(response, &wire::CopyWire::from(&copy));
    }
}

#[handler]
async fn get_summary(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(context) = peer_context(depot, response) else {
        return;
    };
    let summary = exchange::dc_summary(&context);
    let body = wire::encode(&wire::SummaryWire::from(&summary));
    if request.query::<&str>("tag") == Some(summary_tag(&body).as_str()) {
        response.status_code(StatusCode::NO_CONTENT);
        return;
    }
    write_body(response, body);
}

fn peer_context(depot: &Depot, response: &mut Response) -> Option<PeerContext> {
    let context = depot.get_typed::<PeerContext>().ok().cloned();
    if context.is_none() {
        refuse(response, StatusCode::SERVICE_UNAVAILABLE);
    }
    context
}

async fn read_message<W, T>(request: &mut Request, response: &mut Response) -> Option<T>
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

fn write_message<W: Serialize>(response: &mut Response, wire: &W) {
    write_body(response, wire::encode(wire));
}

fn write_body(response: &mut Response, body: Vec<u8>) {
    count_peer_message("out", body.len());
    // Neither call fails: the media type is a valid header and the body is set once.
    let _ = response.add_header("content-type", MSGPACK, true);
    let _ = response.write_body(body);
}
