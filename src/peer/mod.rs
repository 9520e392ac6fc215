//! Entry VMs among themselves: what one knows of the others.
//!
//! The service `peers` publishes a [`PeerState`]. The controller of the data
//! centre pushes the state to the members; each answers with an [`EntryAck`],
//! which says what is in force there and what is in progress.

pub mod diff;
pub mod message;
pub mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::slots::smaller_share;
use crate::names::DcName;
use crate::names::EntryName;
use crate::names::PoolName;
use crate::names::VmName;

/// What an entry VM has in force and in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAck {
    /// Configuration version in force.
    pub config_version: u64,
    /// Sequence of the fleet record in force at its dispatcher.
    pub fleet_sequence: u64,
    /// Generation of the membership in force at its dispatcher.
    pub generation: u64,
    /// Requests in progress by VM; VMs without any are left out.
    pub in_use: BTreeMap<VmName, u32>,
}

/// Place of an entry VM among those that share the slots of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharePlace {
    /// Number of entry VMs that share; 0 gives no slots.
    pub entries: u32,
    /// Place of this one, from 0.
    pub index: u32,
}

impl SharePlace {
    /// Place of an entry VM that gets no slots.
    pub const NONE: Self = Self {
        entries: 0,
        index: 0,
    };
}

/// What this entry VM knows of the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerState {
    /// Counts the changes of the membership of this data centre.
    pub generation: u64,
    /// Own place among the members.
    pub place: SharePlace,
    /// Own place in the layout that is being changed to; until the change has
    /// taken effect, the smaller share of both counts.
    pub next: Option<SharePlace>,
    /// Age of the state when it was taken over from a peer while the platform
    /// was away; none if it came from the controller or the platform.
    pub stale: Option<Duration>,
    /// Whether the state is fresh enough to serve with; if not, requests are
    /// refused as not run.
    pub trusted: bool,
    /// Entry VMs of this data centre that may be serving, with this one.
    pub members: BTreeMap<EntryName, MemberState>,
    /// Other data centres.
    pub remotes: BTreeMap<DcName, RemoteState>,
}

impl PeerState {
    /// Returns how many of `slots` of a VM this entry VM may use.
    #[must_use]
    pub fn share_of(&self, vm: &VmName, slots: u32) -> u32 {
        smaller_share(vm, slots, self.place, self.next)
    }
}

/// A member of this data centre's entry VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Where callers and forwarding peers reach it.
    pub entry_address: SocketAddr,
    /// Where its control interface is.
    pub control_address: SocketAddr,
    /// When it was last heard, as time since the start of this process.
    pub heard: Duration,
    /// Its last acknowledgement.
    pub ack: EntryAck,
}

/// Another data centre as seen from here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteState {
    /// Where its entry VMs take forwarded requests.
    pub entries: BTreeMap<EntryName, SocketAddr>,
    /// Slots of its serving VMs, by pool.
    pub slots: BTreeMap<PoolName, u32>,
    /// When it was last heard, as time since the start of this process.
    pub heard: Duration,
}
