//! Messages to the dispatcher and the slots it grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::decide::dispatch::SlotRequest;
use crate::decide::dispatch::TicketId;
use crate::decide::health::FailureCause;
use crate::decide::queue::MIN_RETRY_AFTER;
use crate::names::PoolName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::request::RefuseReason;
use crate::service::entry::exchange::BackendConnection;

/// Time after which a caller should retry if there is no dispatcher or no state.
pub(super) const STATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of different retry delays, in multiples of [`MIN_RETRY_AFTER`], for requests
/// whose deadline passed in the queue, so that their callers do not all retry at once.
const RETRY_STEPS: u64 = 16;

/// A granted slot of a VM; dropping it releases the slot.
///
/// The release is tied to the drop because a grant can be dropped at many places:
/// when the caller disconnects before the grant is delivered, when an exchange
/// fails, or when a task is aborted.
#[derive(Debug)]
pub(super) struct SlotGrant {
    pub vm: VmName,
    pub address: SocketAddr,
    /// An idle connection to the backend server, if there is one.
    pub connection: Option<BackendConnection>,
    pub granted_at: Instant,
    pub report: SlotReport,
    pub sender: mpsc::UnboundedSender<DispatchMessage>,
}

/// Result of a slot's use, known when the slot is released.
#[derive(Debug, Default)]
pub(super) struct SlotReport {
    /// Duration of the exchange; absent unless the request was answered or overdue.
    pub service_time: Option<Duration>,
    /// Success or failure of the backend server; absent if the slot was not used or
    /// the backend server refused the request.
    pub health: Option<Result<(), FailureCause>>,
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        // The send fails if the dispatcher has ended; no slots are counted then.
        let _ = self.sender.send(DispatchMessage::Finish {
            vm: self.vm.clone(),
            report: std::mem::take(&mut self.report),
            connection: self.connection.take(),
        });
    }
}

/// An entry VM to which a request is forwarded.
#[derive(Debug)]
pub(super) struct ForwardTarget {
    pub address: SocketAddr,
    /// An idle connection to it, if there is one.
    pub connection: Option<BackendConnection>,
}

/// Refusal of a request for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRefusal {
    pub reason: RefuseReason,
    pub retry_after: Duration,
}

pub(super) type SlotAnswer = Result<SlotGrant, SlotRefusal>;

/// Message to the dispatcher.
#[derive(Debug)]
pub(super) enum DispatchMessage {
    /// Requests a slot.
    Submit {
        request: SlotRequest,
        /// Whether the request was sent before.
        resend: bool,
        reply: oneshot::Sender<SlotAnswer>,
    },
    /// Removes a request from its queue, because its task no longer waits for a slot.
    Cancel { request: SlotRequest },
    /// Releases a slot.
    Finish {
        vm: VmName,
        report: SlotReport,
        connection: Option<BackendConnection>,
    },
    /// Requests an entry VM to which a refused request can be forwarded.
    ForwardTarget {
        pool: PoolName,
        reason: RefuseReason,
        tried: Vec<SocketAddr>,
        reply: oneshot::Sender<Option<ForwardTarget>>,
    },
    /// Reports that an entry VM answered or refused a forwarded request, or that it
    /// could not be reached; `refused` in the last two cases.
    FinishForward {
        address: SocketAddr,
        pool: PoolName,
        connection: Option<BackendConnection>,
        refused: bool,
    },
    /// Requests a token of the pool's retry budget for a resend.
    WithdrawToken {
        pool: PoolName,
        reply: oneshot::Sender<bool>,
    },
    /// Requests the versions in force and the slots in use.
    FetchAck { reply: oneshot::Sender<EntryAck> },
}

/// Sender of messages to the dispatcher.
///
/// The channel is unbounded: each caller's connection has at most one request in it, so
/// the limit on connections also limits the messages.
#[derive(Clone, Debug)]
pub struct DispatchInbox {
    sender: mpsc::UnboundedSender<DispatchMessage>,
    tickets: Arc<AtomicU64>,
}

impl DispatchInbox {
    pub(super) fn new(sender: mpsc::UnboundedSender<DispatchMessage>) -> Self {
        Self {
            sender,
            tickets: Arc::default(),
        }
    }

    /// Returns a new ticket, which identifies a request for a slot.
    pub(super) fn next_ticket(&self) -> TicketId {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests a slot and waits for the decision, but no longer than until the deadline.
    ///
    /// A slot that is granted after the deadline is released and the request refused.
    pub(super) async fn acquire(
        &self,
        request: SlotRequest,
        resend: bool,
        deadline: Instant,
    ) -> SlotAnswer {
        let (reply, answer) = oneshot::channel();
        let mut guard = CancelGuard {
            sender: &self.sender,
            request: Some(request.clone()),
        };
        let step = request.ticket % RETRY_STEPS;
        let message = DispatchMessage::Submit {
            request,
            resend,
            reply,
        };
        // If the dispatcher has ended, the reply is dropped and the request refused.
        let _ = self.sender.send(message);
        let answer = timeout_at(deadline, answer).await;
        let is_late = Instant::now() >= deadline;
        match answer {
            Ok(Ok(answer)) => {
                guard.request = None;
                if !is_late || answer.is_err() {
                    return answer;
                }
            }
            Ok(Err(_)) => {
                return Err(SlotRefusal {
                    reason: RefuseReason::ShuttingDown,
                    retry_after: STATE_RETRY_AFTER,
                });
            }
            Err(_) => {}
        }
        Err(SlotRefusal {
            reason: RefuseReason::DeadlinePassed,
            retry_after: MIN_RETRY_AFTER * (1 + step as u32),
        })
    }

    /// Takes a token of a pool's retry budget; returns whether there was one.
    pub(super) async fn withdraw_token(&self, pool: &PoolName) -> bool {
        let (reply, allowed) = oneshot::channel();
        let pool = pool.clone();
        // If the dispatcher has ended, the reply is dropped, which counts as no token.
        let _ = self
            .sender
            .send(DispatchMessage::WithdrawToken { pool, reply });
        allowed.await.unwrap_or(false)
    }

    /// Returns an entry VM to which a refused request can be forwarded, if there is one.
    pub(super) async fn forward_target(
        &self,
        pool: &PoolName,
        reason: RefuseReason,
        tried: &[SocketAddr],
    ) -> Option<ForwardTarget> {
        let (reply, target) = oneshot::channel();
        // If the dispatcher has ended, the reply is dropped, which counts as no target.
        let _ = self.sender.send(DispatchMessage::ForwardTarget {
            pool: pool.clone(),
            reason,
            tried: tried.to_vec(),
            reply,
        });
        target.await.ok().flatten()
    }

    /// Reports the end of a forwarded request to the dispatcher.
    ///
    /// `refused` is set if the entry VM refused the request or could not be reached.
    pub(super) fn finish_forward(
        &self,
        address: SocketAddr,
        pool: &PoolName,
        connection: Option<BackendConnection>,
        refused: bool,
    ) {
        // The send fails if the dispatcher has ended; nothing is forwarded then.
        let _ = self.sender.send(DispatchMessage::FinishForward {
            address,
            pool: pool.clone(),
            connection,
            refused,
        });
    }

    /// Returns the versions in force and the slots in use; `None` if the dispatcher
    /// has ended.
    pub async fn fetch_ack(&self) -> Option<EntryAck> {
        let (reply, ack) = oneshot::channel();
        self.sender.send(DispatchMessage::FetchAck { reply }).ok()?;
        ack.await.ok()
    }
}

/// Cancels the request for a slot if it is dropped before the slot is granted or
/// refused, as when the caller disconnects.
struct CancelGuard<'a> {
    sender: &'a mpsc::UnboundedSender<DispatchMessage>,
    request: Option<SlotRequest>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            // The send fails if the dispatcher has ended, and its queues with it.
            let _ = self.sender.send(DispatchMessage::Cancel { request });
        }
    }
}
