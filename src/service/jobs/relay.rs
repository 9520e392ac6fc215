//! Relays callers' requests to the owner of the shard.
//!
//! A request without an answer may have been carried out. It is sent again, to the same
//! owner or its successor. This is safe, since each request names its job and an owner
//! accepts a job once.

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
use crate::keep_alive::KeepAliveClient;
use crate::service::jobs::attempts::AttemptResult;
use crate::service::jobs::attempts::RelayOutcome;
use crate::service::jobs::attempts::RequestAttempts;
use crate::service::jobs::exchange::address_of;
use crate::service::jobs::messages::MemberView;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::OwnerInbox;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::messages::RelayRequest;
use crate::service::jobs::peer::MSGPACK;
use crate::service::jobs::peer::RELAY_PATH;

/// Time limit of one attempt; a commit to a slow store takes a quarter of a second.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1200);

/// Pause between attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(40);

/// Client that relays requests to the owner.
#[derive(Clone)]
pub struct RelayClient {
    /// Name of this entry VM.
    pub name: String,
    /// The entry VMs and the owner of the shard.
    pub members: MemberView,
    /// Sender to the scheduler, while this entry VM owns the shard.
    pub inbox: OwnerInbox,
    /// HTTP client for other entry VMs.
    pub client: KeepAliveClient,
}

/// Sends a request to the scheduler of this process and returns its answer; none if the
/// ownership ends before that.
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
        let body = match request.encode() {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!(event = "relay_encode_failed", job = request.job.as_str(), error:% = error; "");
                return RelayOutcome::NotReached;
            }
        };
        let mut attempts = RequestAttempts::default();
        loop {
            attempts.begin();
            let attempt = self.attempt(request, body.clone(), &mut attempts);
            let result = timeout_at(deadline, attempt).await;
            if let Ok(result) = result
                && let Some(outcome) = attempts.end(result)
            {
                if outcome == RelayOutcome::Unknown {
                    log::info!(
                        event = "relay_rejection_withheld", job = request.job.as_str(),
                        attempts = attempts.count, result:? = result; ""
                    );
                }
                return outcome;
            }
            if result.is_err() || Instant::now() + ATTEMPT_PAUSE >= deadline {
                let outcome = attempts.abandon();
                let owning = self.inbox.borrow().is_some();
                log::info!(
                    event = "relay_ended", job = request.job.as_str(), attempts = attempts.count,
                    owning = owning, outcome:? = outcome; ""
                );
                return outcome;
            }
            sleep(ATTEMPT_PAUSE).await;
        }
    }

    /// Makes one attempt; ends it early if the owner changes.
    async fn attempt(
        &self,
        request: &RelayRequest,
        body: Bytes,
        attempts: &mut RequestAttempts,
    ) -> AttemptResult {
        let mut members = self.members.clone();
        let owner = members.borrow_and_update().owner.clone();
        let Some((owner, _)) = owner else {
            // Waits for a change, which may be a new owner.
            let _ = tokio::time::timeout(ATTEMPT_LIMIT, members.changed()).await;
            return AttemptResult::NotSent;
        };
        let sender = self.inbox.borrow().clone();
        if let Some(sender) = sender {
            attempts.hand_over();
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
        attempts.hand_over();
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
        match self.client.call(address, request).await {
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
                AttemptResult::Unknown
            }
        }
    }
}
