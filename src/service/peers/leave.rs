//! Request to leave the roster at shutdown.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use super::PeerContext;
use super::client;
use super::exchange;
use super::rounds::RoundMessage;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::peer::message::LeaveRequest;

/// Timeout of the request to one peer.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// Waits until the shutdown has drained this entry VM, then asks the controller to
/// remove it from the roster.
///
/// If requests are still in progress or no controller can be reached, this entry VM
/// keeps its place in the roster, as after a crash.
pub(super) async fn run(context: &PeerContext, mut phase: watch::Receiver<ShutdownPhase>) {
    wait_for_phase(&mut phase, ShutdownPhase::Drained).await;
    let ack = exchange::push_answer(context).await.report.ack;
    if !ack.in_use.is_empty() {
        log::warn!(event = "leave_withheld", vms = ack.in_use.len(); "");
        return;
    }
    let request = LeaveRequest {
        name: context.identity.name.clone(),
        incarnation: context.identity.incarnation,
    };
    let (reply, confirmed) = oneshot::channel();
    let message = RoundMessage::Leave {
        request: request.clone(),
        reply,
    };
    // If the inbox is full, the reply is dropped, which refuses the request.
    let _ = context.rounds.try_send(message);
    if confirmed.await.unwrap_or(false) {
        return;
    }
    // Retries because the controller's successor may not hold the lease yet. The shutdown
    // aborts this task after a time limit.
    while !request_leave(context, &request).await {
        log::info!(event = "leave_not_confirmed"; "");
        sleep(context.settings.control.sync).await;
    }
}

/// Asks the last known controller, then all peers; returns whether one has confirmed
/// that the entry VM is removed from the roster.
async fn request_leave(context: &PeerContext, request: &LeaveRequest) -> bool {
    let controller = context.sync_status.borrow().controller;
    let roster = context.roster.borrow().clone();
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let own = context.identity.control_address;
    let mut peers: BTreeSet<_> = context.local_peers().chain(entries).collect();
    peers.remove(&own);
    if peers.is_empty() {
        // There is no other entry VM that could use the share.
        return true;
    }
    let controller = controller.filter(|controller| *controller != own);
    for peer in controller.into_iter().chain(peers) {
        if client::leave(peer, request, LEAVE_LIMIT).await.is_ok() {
            return true;
        }
    }
    false
}
