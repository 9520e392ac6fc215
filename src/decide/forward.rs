//! Choice of the entry VMs to which a request is passed on.

use std::net::SocketAddr;

use crate::names::PoolName;
use crate::peer::PeerState;

/// Most entry VMs that are tried for one request.
const MAX_TARGETS: usize = 2;

/// Returns entry VMs of other data centres that have slots for the pool.
///
/// The data centre with the most slots goes first; within one, `turn` spreads
/// the requests over its entry VMs.
#[must_use]
pub fn forward_targets(peers: &PeerState, pool: &PoolName, turn: u64) -> Vec<SocketAddr> {
    let remotes = peers.remotes.values().filter_map(|remote| {
        let slots = *remote.slots.get(pool)?;
        (slots > 0 && !remote.entries.is_empty()).then_some((slots, remote))
    });
    let mut remotes: Vec<_> = remotes.collect();
    remotes.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
    let targets = remotes.into_iter().filter_map(|(_, remote)| {
        let place = turn as usize % remote.entries.len();
        remote.entries.values().nth(place).copied()
    });
    targets.take(MAX_TARGETS).collect()
}
