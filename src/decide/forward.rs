//! Choice of the entry VM to which a refused request is forwarded.
//!
//! If the pool has no usable VM here, the request goes to another data centre. If
//! this entry VM's share of the slots is overloaded, it goes to another entry VM of
//! the data centre, whose share may be idle. An entry VM that refuses a request is
//! skipped for the pool for a short time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::EntryName;
use crate::names::PoolName;
use crate::peer::PeerState;
use crate::request::RefuseReason;

/// Maximum number of entry VMs to which one request is forwarded, one after the other.
pub const MAX_FORWARD_SENDS: usize = 2;
/// Time for which an entry VM that refused a request gets no more of its pool.
const BLOCK_TIME: Duration = Duration::from_millis(50);

/// A request that this entry VM's dispatcher refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// Pool that the request is for.
    pub pool: &'a PoolName,
    /// Reason of the refusal; it decides where the request may go.
    pub reason: RefuseReason,
    /// Entry VMs to which it has been forwarded already.
    pub tried: &'a [SocketAddr],
}

/// Entry VMs that refused a request recently, and the round-robin position.
#[derive(Clone, Debug, Default)]
pub struct ForwardState {
    /// End of the time in which an entry VM gets no requests of a pool.
    blocked: BTreeMap<(SocketAddr, PoolName), Duration>,
    /// Round-robin counter; each choice increments it.
    round_robin: usize,
}

impl ForwardState {
    /// Records that an entry VM refused a request of a pool at `now`.
    pub fn block(&mut self, now: Duration, address: SocketAddr, pool: &PoolName) {
        self.blocked.retain(|_, until| *until > now);
        self.blocked
            .insert((address, pool.clone()), now + BLOCK_TIME);
    }

    /// Chooses an entry VM to which the request is forwarded, if there is one.
    ///
    /// `own` is the name of this entry VM.
    pub fn choose(
        &mut self,
        now: Duration,
        peers: &PeerState,
        own: &EntryName,
        request: RefusedRequest<'_>,
    ) -> Option<SocketAddr> {
        self.round_robin = self.round_robin.wrapping_add(1);
        let mut targets = match request.reason {
            RefuseReason::Overload | RefuseReason::QueueFull => self.local_entries(peers, own),
            RefuseReason::NoBackend => self.remote_entries(peers, request.pool),
            _ => Vec::new(),
        };
        targets.retain(|address| {
            !request.tried.contains(address) && self.is_unblocked(now, address, request.pool)
        });
        targets.first().copied()
    }

    fn is_unblocked(&self, now: Duration, address: &SocketAddr, pool: &PoolName) -> bool {
        let until = self.blocked.get(&(*address, pool.clone()));
        until.is_none_or(|until| *until <= now)
    }

    /// Returns the other entry VMs of this data centre in round-robin order.
    fn local_entries(&self, peers: &PeerState, own: &EntryName) -> Vec<SocketAddr> {
        let members = peers.members.iter().filter(|(name, _)| *name != own);
        let mut targets: Vec<_> = members.map(|(_, member)| member.entry_address).collect();
        if !targets.is_empty() {
            let offset = self.round_robin % targets.len();
            targets.rotate_left(offset);
        }
        targets
    }

    /// Returns one entry VM of each other data centre that has slots for the pool,
    /// the data centre with the most slots first.
    fn remote_entries(&self, peers: &PeerState, pool: &PoolName) -> Vec<SocketAddr> {
        let remotes = peers.remotes.values().filter_map(|remote| {
            let slots = *remote.slots.get(pool)?;
            (slots > 0 && !remote.entries.is_empty()).then_some((slots, remote))
        });
        let mut remotes: Vec<_> = remotes.collect();
        remotes.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        let targets = remotes.into_iter().filter_map(|(_, remote)| {
            let offset = self.round_robin % remote.entries.len();
            remote.entries.values().nth(offset).copied()
        });
        targets.collect()
    }
}
