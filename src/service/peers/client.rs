//! HTTP calls to the peer interface (`/peer/v1`) of other entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use snafu::ResultExt;
use snafu::Snafu;

use crate::http::CallError;
use crate::http::CallRequest;
use crate::http::CallResponse;
use crate::http::call;
use crate::metrics::count_peer_message;
use crate::peer::message::DcSummary;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;
use crate::peer::message::StateCopy;
use crate::peer::message::StatePush;
use crate::peer::wire;
use crate::peer::wire::MSGPACK;
use crate::peer::wire::WireError;

/// Why a call to a peer has no usable answer.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum PeerError {
    #[snafu(display("{source}"))]
    NoAnswer { source: CallError },
    #[snafu(display("step={step} peer={peer}: status {status}; accepted is 2xx"))]
    Refused {
        step: &'static str,
        peer: SocketAddr,
        status: StatusCode,
    },
    #[snafu(display("peer={peer} {source}"))]
    Malformed { peer: SocketAddr, source: WireError },
}

/// Sends the state that a member lacks and returns the member's acknowledgement.
pub(super) async fn push(
    peer: SocketAddr,
    push: &StatePush,
    limit: Duration,
) -> Result<PushAnswer, PeerError> {
    let body = wire::encode(&wire::PushWire::from(push));
    let answer = post(peer, "/peer/v1/push", body, limit).await?;
    let answer = wire::decode::<wire::AnswerWire, _>(&answer.body);
    answer.context(MalformedSnafu { peer })
}

/// Asks a peer to remove an entry VM from the roster.
///
/// Only the controller can do this; any other peer refuses the request.
pub(super) async fn leave(
    peer: SocketAddr,
    request: &LeaveRequest,
    limit: Duration,
) -> Result<(), PeerError> {
    let body = wire::encode(&wire::LeaveWire::from(request));
    post(peer, "/peer/v1/leave", body, limit).await.map(drop)
}

/// Announces this entry VM to a peer, which pushes to it while it is the controller.
pub(super) async fn announce(
    peer: SocketAddr,
    answer: &PushAnswer,
    limit: Duration,
) -> Result<(), PeerError> {
    let body = wire::encode(&wire::AnswerWire::from(answer));
    post(peer, "/peer/v1/join", body, limit).await.map(drop)
}

/// Reads the full state of a peer of this data centre.
pub(super) async fn read_state(peer: SocketAddr, limit: Duration) -> Result<StateCopy, PeerError> {
    let answer = get(peer, "/peer/v1/state", limit).await?;
    let copy = wire::decode::<wire::CopyWire, _>(&answer.body);
    copy.context(MalformedSnafu { peer })
}

/// Reads the configuration of a peer of another data centre.
pub(super) async fn read_config(peer: SocketAddr, limit: Duration) -> Result<StateCopy, PeerError> {
    let answer = get(peer, "/peer/v1/config", limit).await?;
    let copy = wire::decode::<wire::CopyWire, _>(&answer.body);
    copy.context(MalformedSnafu { peer })
}

/// Reads the summary of a data centre and its tag; `None` if it still has tag `tag`.
pub(super) async fn read_summary(
    peer: SocketAddr,
    tag: &str,
    limit: Duration,
) -> Result<Option<(DcSummary, String)>, PeerError> {
    let path = format!("/peer/v1/summary?tag={tag}");
    let answer = get(peer, &path, limit).await?;
    if answer.status == StatusCode::NO_CONTENT {
        return Ok(None);
    }
    let summary = wire::decode::<wire::SummaryWire, _>(&answer.body);
    let tag = summary_tag(&answer.body);
    Ok(Some((summary.context(MalformedSnafu { peer })?, tag)))
}

/// Returns the tag of an encoded summary: a hash that changes with its content.
pub(super) fn summary_tag(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}

async fn post(
    peer: SocketAddr,
    path: &'static str,
    body: Vec<u8>,
    limit: Duration,
) -> Result<CallResponse, PeerError> {
    let request = CallRequest {
        method: Method::POST,
        path,
        content_type: MSGPACK,
        body: Bytes::from(body),
        limit,
        ..CallRequest::default()
    };
    send(peer, "post", request).await
}

async fn get(peer: SocketAddr, path: &str, limit: Duration) -> Result<CallResponse, PeerError> {
    let request = CallRequest {
        path,
        limit,
        ..CallRequest::default()
    };
    send(peer, "get", request).await
}

async fn send(
    peer: SocketAddr,
    step: &'static str,
    request: CallRequest<'_>,
) -> Result<CallResponse, PeerError> {
    count_peer_message("out", request.body.len());
    let answer = call(peer, request).await.context(NoAnswerSnafu)?;
    count_peer_message("in", answer.body.len());
    let status = answer.status;
    snafu::ensure!(status.is_success(), RefusedSnafu { step, peer, status });
    Ok(answer)
}
