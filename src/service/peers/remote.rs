//! Asking the other data centres.
//!
//! One entry VM of each other data centre is asked in turn, one a period each,
//! spread over the period. The answer is a summary, and empty if it has not
//! changed since.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::PeerTools;
use super::client;
use super::exchange;
use super::owner::OwnerMessage;
use crate::names::DcName;
use crate::peer::message::ConfigOffer;

/// Exchanges within the data centre in the time of one with another.
const PERIODS: u32 = 5;
/// Time that an entry VM of another data centre gets to answer.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Position in the asking of one data centre.
#[derive(Default)]
struct RemoteCursor {
    turn: usize,
    tag: String,
}

/// Runs as long as the process.
pub(super) async fn run(tools: &PeerTools) {
    let far = tools.far();
    let mut cursors = BTreeMap::new();
    if far.is_empty() {
        return std::future::pending().await;
    }
    let first: usize = rand::random_range(0..1 << 16);
    let pause = tools.settings.control.sync * PERIODS / far.len() as u32;
    loop {
        for (dc, addresses) in &far {
            let cursor = cursors.entry(dc.clone()).or_insert_with(|| RemoteCursor {
                turn: first,
                tag: String::new(),
            });
            ask(tools, dc, addresses, cursor).await;
            sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }
}

async fn ask(tools: &PeerTools, dc: &DcName, addresses: &[SocketAddr], cursor: &mut RemoteCursor) {
    let peer = addresses[cursor.turn % addresses.len()];
    cursor.turn = cursor.turn.wrapping_add(1);
    let summary = match client::summary(peer, &cursor.tag, ASK_LIMIT).await {
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
    // The owner is gone only at the end of the process.
    let _ = tools.owner.send(message).await;
    if tools.need.borrow().quiet && version > tools.config.borrow().version {
        catch_up(tools, peer).await;
    }
}

/// Takes a newer configuration over while the own data centre hears of none.
async fn catch_up(tools: &PeerTools, peer: SocketAddr) {
    match client::config(peer, ASK_LIMIT).await {
        Ok(copy) => {
            if let Some(config) = copy.config {
                exchange::offer_config(tools, ConfigOffer::Whole(config)).await;
            }
        }
        Err(error) => log::debug!(event = "config_copy_failed", peer:% = peer, error:% = error; ""),
    }
}
