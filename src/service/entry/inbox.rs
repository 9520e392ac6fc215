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

/// Time after which a caller tries again when there is no dispatcher or no state.
pub(super) const STATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Steps over which the return of callers is spread whose deadline passed in the queue.
const RETURN_STEPS: u64 = 16;

/// A slot of a VM; it is given back when it is dropped.
///
/// It may be dropped anywhere: by a caller that goes away between the grant and
/// its arrival, by an exchange that fails, or by a task that is aborted.
#[derive(Debug)]
pub(super) struct SlotGrant {
    pub vm: VmName,
    pub address: SocketAddr,
    /// An idle connection to the backend server, if there is one.
    pub connection: Option<BackendConnection>,
    pub granted: Instant,
    pub report: SlotReport,
    pub sender: mpsc::UnboundedSender<DispatchMessage>,
}

/// What is known of a slot's use when it is given back.
#[derive(Debug, Default)]
pub(super) struct SlotReport {
    /// How long the backend server took; absent if it did not run the request.
    pub service_time: Option<Duration>,
    /// Success or failure of the backend server; absent if it was not used.
    pub health: Option<Result<(), FailureCause>>,
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        // Without a dispatcher there is nobody left to count slots.
        let _ = self.sender.send(DispatchMessage::Finish {
            vm: self.vm.clone(),
            report: std::mem::take(&mut self.report),
            connection: self.connection.take(),
        });
    }
}

/// An entry VM to which a request is passed on.
#[derive(Debug)]
pub(super) struct ForwardTarget {
    pub address: SocketAddr,
    /// An idle connection to it, if there is one.
    pub connection: Option<BackendConnection>,
}

/// A request that gets no slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRefusal {
    pub reason: RefuseReason,
    pub retry_after: Duration,
}

pub(super) type SlotAnswer = Result<SlotGrant, SlotRefusal>;

/// Message to the dispatcher.
#[derive(Debug)]
pub(super) enum DispatchMessage {
    Arrive {
        request: SlotRequest,
        /// Whether the request was sent before.
        resend: bool,
        reply: oneshot::Sender<SlotAnswer>,
    },
    /// The caller has gone or has had its answer.
    Cancel { request: SlotRequest },
    Finish {
        vm: VmName,
        report: SlotReport,
        connection: Option<BackendConnection>,
    },
    /// Asks for an entry VM to which a refused request is passed on.
    ForwardTarget {
        pool: PoolName,
        reason: RefuseReason,
        tried: Vec<SocketAddr>,
        reply: oneshot::Sender<Option<ForwardTarget>>,
    },
    /// An entry VM has answered a request that was passed on.
    Forwarded {
        address: SocketAddr,
        pool: PoolName,
        connection: Option<BackendConnection>,
        refused: bool,
    },
    /// Asks for a token of the retry budget.
    Withdraw {
        pool: PoolName,
        reply: oneshot::Sender<bool>,
    },
    /// Asks what is in force and in progress.
    Report { reply: oneshot::Sender<EntryAck> },
}

/// Sender of messages to the dispatcher.
///
/// Each caller's connection has at most one request in the channel, so the
/// limit on connections bounds it.
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

    /// Returns the identity of the next request.
    pub(super) fn next_ticket(&self) -> TicketId {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Asks for a slot and waits for the decision, at the latest until the deadline.
    ///
    /// A slot that comes after the deadline is given back and the request refused.
    pub(super) async fn acquire(
        &self,
        request: SlotRequest,
        resend: bool,
        deadline: Instant,
    ) -> SlotAnswer {
        let (reply, answer) = oneshot::channel();
        let mut wait = WaitGuard {
            sender: &self.sender,
            request: Some(request.clone()),
        };
        let step = request.ticket % RETURN_STEPS;
        let message = DispatchMessage::Arrive {
            request,
            resend,
            reply,
        };
        // A dispatcher that is gone drops the reply, which refuses the request.
        let _ = self.sender.send(message);
        let answer = timeout_at(deadline, answer).await;
        let is_late = Instant::now() >= deadline;
        match answer {
            Ok(Ok(answer)) => {
                wait.request = None;
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

    /// Asks for a token of the retry budget of a pool.
    pub(super) async fn withdraw(&self, pool: &PoolName) -> bool {
        let (reply, allowed) = oneshot::channel();
        let pool = pool.clone();
        // A dispatcher that is gone drops the reply.
        let _ = self.sender.send(DispatchMessage::Withdraw { pool, reply });
        allowed.await.unwrap_or(false)
    }

    /// Asks for an entry VM to which a refused request is passed on.
    pub(super) async fn forward_target(
        &self,
        pool: &PoolName,
        reason: RefuseReason,
        tried: &[SocketAddr],
    ) -> Option<ForwardTarget> {
        let (reply, target) = oneshot::channel();
        // A dispatcher that is gone drops the reply.
        let _ = self.sender.send(DispatchMessage::ForwardTarget {
            pool: pool.clone(),
            reason,
            tried: tried.to_vec(),
            reply,
        });
        target.await.ok().flatten()
    }

    /// Tells how an entry VM answered a request that was passed on.
    pub(super) fn forwarded(
        &self,
        address: SocketAddr,
        pool: &PoolName,
        connection: Option<BackendConnection>,
        refused: bool,
    ) {
        // Without a dispatcher nothing is passed on any more.
        let _ = self.sender.send(DispatchMessage::Forwarded {
            address,
            pool: pool.clone(),
            connection,
            refused,
        });
    }

    /// Asks what is in force and in progress; none if the dispatcher is gone.
    pub async fn report(&self) -> Option<EntryAck> {
        let (reply, ack) = oneshot::channel();
        self.sender.send(DispatchMessage::Report { reply }).ok()?;
        ack.await.ok()
    }
}

/// Cancels a waiting request when its caller goes away.
struct WaitGuard<'a> {
    sender: &'a mpsc::UnboundedSender<DispatchMessage>,
    request: Option<SlotRequest>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            // Without a dispatcher nothing waits.
            let _ = self.sender.send(DispatchMessage::Cancel { request });
        }
    }
}
