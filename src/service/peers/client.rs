//! Calls to other entry VMs.

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

/// A call to a peer that brought no usable answer.
#[derive(Debug)]
#[derive(Snafu)]
pub(super) enum PeerError {
    #[snafu(display("{source}"))]
    NoAnswer { source: CallError },
    #[snafu(display("step={step} peer={peer}: status {status}"))]
    Refused {
        step: &'static str,
        peer: SocketAddr,
        status: StatusCode,
    },
    #[snafu(display("peer={peer} {source}"))]
    Malformed { peer: SocketAddr, source: WireError },
}

/// Pushes state to a member.
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

/// Asks a controller to take an entry VM off the roster.
pub(super) async fn leave(
    peer: SocketAddr,
    request: &LeaveRequest,
    limit: Duration,
) -> Result<(), PeerError> {
    let body = wire::encode(&wire::LeaveWire::from(request));
    post(peer, "/peer/v1/leave", body, limit).await.map(drop)
}

/// Tells a peer that this entry VM is there; the controller hears of it.
pub(super) async fn announce(
    peer: SocketAddr,
    answer: &PushAnswer,
    limit: Duration,
) -> Result<(), PeerError> {
    let body = wire::encode(&wire::AnswerWire::from(answer));
    post(peer, "/peer/v1/join", body, limit).await.map(drop)
}

/// Reads the whole state of a peer.
pub(super) async fn copy(peer: SocketAddr, limit: Duration) -> Result<StateCopy, PeerError> {
    let answer = get(peer, "/peer/v1/state", limit).await?;
    let copy = wire::decode::<wire::CopyWire, _>(&answer.body);
    copy.context(MalformedSnafu { peer })
}

/// Reads the configuration of a peer of another data centre.
pub(super) async fn config(peer: SocketAddr, limit: Duration) -> Result<StateCopy, PeerError> {
    let answer = get(peer, "/peer/v1/config", limit).await?;
    let copy = wire::decode::<wire::CopyWire, _>(&answer.body);
    copy.context(MalformedSnafu { peer })
}

/// Reads the summary of a data centre; none if it is still the one of `tag`.
pub(super) async fn summary(
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

/// Returns the tag by which an unchanged summary is known.
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
    checked(peer, "post", request).await
}

async fn get(peer: SocketAddr, path: &str, limit: Duration) -> Result<CallResponse, PeerError> {
    let request = CallRequest {
        path,
        limit,
        ..CallRequest::default()
    };
    checked(peer, "get", request).await
}

async fn checked(
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
