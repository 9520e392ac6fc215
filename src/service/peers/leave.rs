//! Announcement of the own shutdown.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use super::PeerTools;
use super::client;
use super::exchange;
use super::lead::LeadMessage;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::peer::message::LeaveRequest;

/// Time that one peer gets to take an announcement.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// Waits until nothing is in progress any more and tells the controller.
///
/// If no controller can be told, this entry VM keeps its share on the roster,
/// as one that died does.
pub(super) async fn run(tools: &PeerTools, mut phase: watch::Receiver<ShutdownPhase>) {
    wait_for_phase(&mut phase, ShutdownPhase::Drained).await;
    let ack = exchange::answer(tools).await.report.ack;
    if !ack.in_use.is_empty() {
        log::warn!(event = "leave_withheld", vms = ack.in_use.len(); "");
        return;
    }
    let request = LeaveRequest {
        name: tools.identity.name.clone(),
        incarnation: tools.identity.incarnation,
    };
    let (reply, written) = oneshot::channel();
    let message = LeadMessage::Leave {
        request: request.clone(),
        reply,
    };
    // A full inbox drops the reply, which refuses the request.
    let _ = tools.lead.try_send(message);
    if written.await.unwrap_or(false) {
        return;
    }
    // A successor of the controller may have to be found first; the time for
    // this task is limited by the shutdown.
    while !tell_peers(tools, &request).await {
        log::info!(event = "leave_not_written"; "");
        sleep(tools.settings.control.sync).await;
    }
}

async fn tell_peers(tools: &PeerTools, request: &LeaveRequest) -> bool {
    let controller = tools.need.borrow().controller;
    let roster = tools.roster.borrow().clone();
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let own = tools.identity.control_address;
    let mut peers: BTreeSet<_> = tools.near().chain(entries).collect();
    peers.remove(&own);
    if peers.is_empty() {
        // There is nobody to whom the share could go.
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
