//! Choice of the entry VM to which a request is passed on.
//!
//! If a pool has no VM here, it goes to another data centre. If this entry VM's
//! share of the slots is overloaded, it goes to another entry VM of the data
//! centre, whose share may be idle. One that refuses gets nothing for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::EntryName;
use crate::names::PoolName;
use crate::peer::PeerState;
use crate::request::RefuseReason;

/// Most entry VMs that are tried for one request.
pub const MAX_FORWARD_SENDS: usize = 2;
/// Time for which an entry VM that refused gets no more requests.
const BLOCK_TIME: Duration = Duration::from_millis(50);

/// A request that was refused here.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'a> {
    /// Its pool.
    pub pool: &'a PoolName,
    /// Why it was refused.
    pub reason: RefuseReason,
    /// Entry VMs that it was passed on to already.
    pub tried: &'a [SocketAddr],
}

/// Entry VMs that refused lately.
#[derive(Clone, Debug, Default)]
pub struct ForwardState {
    blocked: BTreeMap<(SocketAddr, PoolName), Duration>,
    turn: usize,
}

impl ForwardState {
    /// Notes that an entry VM refused a request of a pool.
    pub fn block(&mut self, now: Duration, address: SocketAddr, pool: &PoolName) {
        self.blocked.retain(|_, until| *until > now);
        self.blocked
            .insert((address, pool.clone()), now + BLOCK_TIME);
    }

    /// Chooses an entry VM for a request that was refused here.
    pub fn choose(
        &mut self,
        now: Duration,
        peers: &PeerState,
        own: &EntryName,
        request: RefusedRequest<'_>,
    ) -> Option<SocketAddr> {
        self.turn = self.turn.wrapping_add(1);
        let mut targets = match request.reason {
            RefuseReason::Overload | RefuseReason::QueueFull => self.near(peers, own),
            RefuseReason::NoBackend => self.far(peers, request.pool),
            _ => Vec::new(),
        };
        targets.retain(|address| {
            !request.tried.contains(address) && self.is_open(now, address, request.pool)
        });
        targets.first().copied()
    }

    fn is_open(&self, now: Duration, address: &SocketAddr, pool: &PoolName) -> bool {
        let until = self.blocked.get(&(*address, pool.clone()));
        until.is_none_or(|until| *until <= now)
    }

    /// Other entry VMs of this data centre, in turn.
    fn near(&self, peers: &PeerState, own: &EntryName) -> Vec<SocketAddr> {
        let members = peers.members.iter().filter(|(name, _)| *name != own);
        let mut targets: Vec<_> = members.map(|(_, member)| member.entry_address).collect();
        if !targets.is_empty() {
            let turn = self.turn % targets.len();
            targets.rotate_left(turn);
        }
        targets
    }

    /// Entry VMs of other data centres that have slots for the pool, one of each,
    /// that with the most slots first.
    fn far(&self, peers: &PeerState, pool: &PoolName) -> Vec<SocketAddr> {
        let remotes = peers.remotes.values().filter_map(|remote| {
            let slots = *remote.slots.get(pool)?;
            (slots > 0 && !remote.entries.is_empty()).then_some((slots, remote))
        });
        let mut remotes: Vec<_> = remotes.collect();
        remotes.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        let targets = remotes.into_iter().filter_map(|(_, remote)| {
            let place = self.turn % remote.entries.len();
            remote.entries.values().nth(place).copied()
        });
        targets.collect()
    }
}
