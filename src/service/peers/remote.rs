//! Polling of the other data centres.
//!
//! In each polling period, one entry VM of every other data centre is asked for a
//! summary; the entry VMs of a data centre take turns. The calls are spread over the
//! period. An unchanged summary is not sent again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::PeerContext;
use super::client;
use super::exchange;
use super::owner::OwnerMessage;
use crate::names::DcName;
use crate::peer::message::ConfigUpdate;

/// Period at which each other data centre is polled, in sync periods of this one.
const POLL_SYNC_PERIODS: u32 = 5;
/// Timeout of a call to an entry VM of another data centre.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Polling position in one data centre.
#[derive(Default)]
struct RemoteCursor {
    /// Index of the entry VM to poll next, modulo the number of addresses; starts at a
    /// random value.
    next_peer: usize,
    /// Tag of the last summary; empty before the first.
    tag: String,
}

/// Polls the other data centres; does not end.
pub(super) async fn run(context: &PeerContext) {
    let remote_peers = context.remote_peers();
    let mut cursors = BTreeMap::new();
    if remote_peers.is_empty() {
        return std::future::pending().await;
    }
    let start: usize = rand::random_range(0..1 << 16);
    let pause = context.settings.control.sync * POLL_SYNC_PERIODS / remote_peers.len() as u32;
    loop {
        for (dc, addresses) in &remote_peers {
            let cursor = cursors.entry(dc.clone()).or_insert_with(|| RemoteCursor {
                next_peer: start,
                tag: String::new(),
            });
            request_summary(context, dc, addresses, cursor).await;
            sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }
}

async fn request_summary(
    context: &PeerContext,
    dc: &DcName,
    addresses: &[SocketAddr],
    cursor: &mut RemoteCursor,
) {
    let peer = addresses[cursor.next_peer % addresses.len()];
    cursor.next_peer = cursor.next_peer.wrapping_add(1);
    let summary = match client::read_summary(peer, &cursor.tag, CALL_LIMIT).await {
        Ok(Some((summary, _))) if summary.dc != *dc => {
            log::warn!(event = "summary_refused", peer:% = peer, dc:% = summary.dc; "");
            return;
        }
        Ok(Some((summary, tag))) => {
            cursor.tag = tag;
            Some(summary)
        }
        Ok(None) => None,
        Err(error) => {
            log::debug!(event = "summary_failed", peer:% = peer, error:% = error; "");
            return;
        }
    };
    let version = summary.as_ref().map_or(0, |summary| summary.config_version);
    let message = OwnerMessage::Remote(dc.clone(), summary);
    // The owner ends only with the process.
    let _ = context.owner.send(message).await;
    if context.sync_status.borrow().push_overdue && version > context.config.borrow().version {
        catch_up(context, peer).await;
    }
}

/// Applies the newer configuration of a peer in another data centre; used while this
/// data centre's controller does not push.
async fn catch_up(context: &PeerContext, peer: SocketAddr) {
    match client::read_config(peer, CALL_LIMIT).await {
        Ok(copy) => {
            if let Some(config) = copy.config {
                exchange::apply_config(context, ConfigUpdate::Full(config)).await;
            }
        }
        Err(error) => log::debug!(event = "config_copy_failed", peer:% = peer, error:% = error; ""),
    }
}
