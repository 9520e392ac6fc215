//! Passing callers' requests on to the owner of the shard.
//!
//! A request without an answer may have been carried out. It is repeated, at the
//! same owner or the next, since each names its job: an owner takes a job once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::http::CallError;
use crate::http::CallRequest;
use crate::kept::KeptClient;
use crate::service::jobs::exchange::address_of;
use crate::service::jobs::messages::MemberView;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::OwnerInbox;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::messages::RelayRequest;
use crate::service::jobs::peer::MSGPACK;
use crate::service::jobs::peer::RELAY_PATH;

/// Limit on one attempt; a commit takes a quarter of a second at a slow store.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1200);

/// Pause between attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(40);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The owner answered.
    Answered(RelayReply),
    /// No owner was reached: it has certainly not been carried out.
    NotReached,
    /// It was passed on and not answered.
    Unknown,
}

/// What relaying needs.
#[derive(Clone)]
pub struct RelayClient {
    /// Name of this entry VM.
    pub name: String,
    /// The members.
    pub members: MemberView,
    /// The scheduler, while this entry VM owns the shard.
    pub inbox: OwnerInbox,
    /// Connections.
    pub kept: KeptClient,
}

enum AttemptResult {
    Answered(RelayReply),
    NotSent,
    Unknown,
}

/// Asks the scheduler of this process; none if it ends before it answers.
pub async fn call_local_owner(
    sender: &mpsc::UnboundedSender<OwnerEvent>,
    request: RelayRequest,
) -> Option<RelayReply> {
    let (answer, answered) = oneshot::channel();
    sender.send(OwnerEvent::Relay(request, answer)).ok()?;
    answered.await.ok()
}

impl RelayClient {
    /// Relays a request until it is answered or the deadline passes.
    pub async fn relay(&self, request: &RelayRequest, deadline: Instant) -> RelayOutcome {
        let body = match rmp_serde::to_vec(request) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!(event = "relay_unencodable", job = request.job.as_str(), error:% = error; "");
                return RelayOutcome::NotReached;
            }
        };
        let mut passed_on = false;
        loop {
            let attempt = timeout_at(deadline, self.attempt(request, body.clone())).await;
            match attempt {
                Ok(AttemptResult::Answered(RelayReply::NotOwner)) | Ok(AttemptResult::NotSent) => {}
                Ok(AttemptResult::Answered(RelayReply::Lost)) => passed_on = true,
                Ok(AttemptResult::Answered(reply)) => return RelayOutcome::Answered(reply),
                Ok(AttemptResult::Unknown) => passed_on = true,
                // The attempt that was cut off may have been passed on.
                Err(_) if self.members.borrow().owner.is_some() => return RelayOutcome::Unknown,
                Err(_) => {}
            }
            if Instant::now() + ATTEMPT_PAUSE >= deadline {
                return if passed_on {
                    RelayOutcome::Unknown
                } else {
                    RelayOutcome::NotReached
                };
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    /// Makes one attempt; ends early if the owner changes.
    async fn attempt(&self, request: &RelayRequest, body: Bytes) -> AttemptResult {
        let mut members = self.members.clone();
        let owner = members.borrow_and_update().owner.clone();
        let Some((owner, _)) = owner else {
            // The next owner shows itself by a change.
            let _ = tokio::time::timeout(ATTEMPT_LIMIT, members.changed()).await;
            return AttemptResult::NotSent;
        };
        let sender = self.inbox.borrow().clone();
        if let Some(sender) = sender {
            return match call_local_owner(&sender, request.clone()).await {
                Some(reply) => AttemptResult::Answered(reply),
                None => AttemptResult::Unknown,
            };
        }
        let Some(address) = address_of(&owner).filter(|_| owner.name != self.name) else {
            return AttemptResult::NotSent;
        };
        let epoch = owner.epoch;
        let replaced = members.wait_for(|state| {
            state
                .owner
                .as_ref()
                .is_none_or(|(owner, _)| owner.epoch != epoch)
        });
        tokio::select! {
            result = self.send(address, body) => result,
            _ = replaced => AttemptResult::Unknown,
        }
    }

    async fn send(&self, address: SocketAddr, body: Bytes) -> AttemptResult {
        let request = CallRequest {
            method: Method::POST,
            path: RELAY_PATH,
            content_type: MSGPACK,
            body,
            limit: ATTEMPT_LIMIT,
            ..CallRequest::default()
        };
        match self.kept.call(address, request).await {
            Ok(answer) => match rmp_serde::from_slice(&answer.body) {
                Ok(reply) => AttemptResult::Answered(reply),
                Err(error) => {
                    log::warn!(event = "relay_unreadable", peer:% = address, error:% = error; "");
                    AttemptResult::Unknown
                }
            },
            Err(error @ CallError::Connect { .. }) => {
                log::debug!(event = "relay_unsent", peer:% = address, error:% = error; "");
                AttemptResult::NotSent
            }
            Err(error) => {
                log::debug!(event = "relay_unknown", peer:% = address, error:% = error; "");
                self.kept.forget(address);
                AttemptResult::Unknown
            }
        }
    }
}
