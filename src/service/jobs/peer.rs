//! HTTP server for other entry VMs: relayed requests, exchange messages, calls to the
//! store.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::Instant;

use crate::http::CallLimits;
use crate::metrics::count_peer_message;
use crate::service::ingress::body::BodyError;
use crate::service::ingress::body::ClientRequest;
use crate::service::ingress::serve::HttpAnswer;
use crate::service::ingress::serve::answer;
use crate::service::ingress::serve::no_room;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::messages::ExchangeMessage;
use crate::service::jobs::messages::OwnerInbox;
use crate::service::jobs::messages::ProxyReply;
use crate::service::jobs::messages::ProxyRequest;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::messages::RelayRequest;
use crate::service::jobs::relay::call_local_owner;
use crate::service::jobs::store::StoreError;
use crate::service::jobs::store::StoreLink;

/// Content type of messages between entry VMs.
pub const MSGPACK: &str = "application/msgpack";

/// Path of relayed requests.
pub const RELAY_PATH: &str = "/chicory/relay";

/// Path of exchange messages.
pub const EXCHANGE_PATH: &str = "/chicory/exchange";

/// Path of store calls made for other entry VMs.
pub const STORE_PATH: &str = "/chicory/store";

/// Largest message that is accepted, in bytes; enough for a configuration of thousands
/// of queues.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Time limit for receiving a message.
const MESSAGE_LIMIT: Duration = Duration::from_secs(10);

/// State of the server for other entry VMs.
#[derive(Clone)]
pub struct PeerState {
    /// Sender to the scheduler, while this entry VM owns the shard.
    pub owner: OwnerInbox,
    /// State that is exchanged.
    pub exchange: ExchangeState,
    /// Link to the store.
    pub link: StoreLink,
}

/// Answers a request of another entry VM.
pub async fn handle(state: PeerState, mut request: ClientRequest) -> HttpAnswer {
    let path = request.parts.uri.path().to_owned();
    let deadline = Instant::now() + MESSAGE_LIMIT;
    let body = match request.body.read(MAX_MESSAGE_BYTES, deadline).await {
        Ok(body) => body,
        // Counted by the server.
        Err(BodyError::NoRoom | BodyError::TimedOut) => return no_room(),
        Err(error) => {
            log::info!(event = "peer_message_incomplete", path = path.as_str(), error:% = error; "");
            return answer(400, "", Bytes::new());
        }
    };
    count_peer_message("in", body.len());
    match path.as_str() {
        RELAY_PATH => match parse(&path, RelayRequest::decode(&body)) {
            Some(request) => reply(rmp_serde::to_vec(&relay(&state, request).await)),
            None => answer(400, "", Bytes::new()),
        },
        EXCHANGE_PATH => match parse(&path, ExchangeMessage::decode(&body)) {
            Some(message) => {
                let owning = state.owner.borrow().is_some();
                reply(state.exchange.reply_to(message, owning).encode())
            }
            None => answer(400, "", Bytes::new()),
        },
        STORE_PATH => match parse::<ProxyRequest, _>(&path, rmp_serde::from_slice(&body)) {
            Some(request) => reply(rmp_serde::to_vec(&call_store(&state, request).await)),
            None => answer(400, "", Bytes::new()),
        },
        _ => answer(404, "", Bytes::new()),
    }
}

async fn relay(state: &PeerState, request: RelayRequest) -> RelayReply {
    let sender = state.owner.borrow().clone();
    match sender {
        None => RelayReply::NotOwner,
        Some(sender) => call_local_owner(&sender, request)
            .await
            .unwrap_or(RelayReply::Lost),
    }
}

async fn call_store(state: &PeerState, request: ProxyRequest) -> ProxyReply {
    let Ok(method) = request.method.parse::<Method>() else {
        return ProxyReply::NotSent;
    };
    let limit = Duration::from_millis(request.limit_ms);
    let body = Bytes::from(request.body);
    // The call may be a watch.
    let wait = limit;
    let limits = CallLimits { limit, wait };
    match state.link.send(method, &request.path, body, limits).await {
        Ok(reply) => ProxyReply::Answered {
            status: reply.status,
            body: reply.body.to_vec(),
        },
        Err(StoreError::NotSent { .. }) => ProxyReply::NotSent,
        Err(_) => ProxyReply::Unknown,
    }
}

fn parse<T, E: Display>(path: &str, decoded: Result<T, E>) -> Option<T> {
    match decoded {
        Ok(message) => Some(message),
        Err(error) => {
            log::warn!(event = "peer_message_unreadable", path = path, error:% = error; "");
            None
        }
    }
}

fn reply<E: Display>(encoded: Result<Vec<u8>, E>) -> HttpAnswer {
    match encoded {
        Ok(body) => {
            count_peer_message("out", body.len());
            answer(200, MSGPACK, body)
        }
        Err(error) => {
            log::error!(event = "peer_reply_failed", error:% = error; "");
            answer(500, "", Bytes::new())
        }
    }
}
