//! State of the other entry VMs, and the messages between entry VMs.
//!
//! The service `peers` publishes a [`PeerState`]. The controller of the data centre
//! pushes configuration, fleet record and roster to the members. Each member answers
//! with an [`EntryAck`]: the versions in force and the requests in progress there.

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

/// Acknowledgement of an entry VM: its versions in force and requests in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAck {
    /// Configuration version in force.
    pub config_version: u64,
    /// Sequence number of the fleet record in force at its dispatcher.
    pub fleet_sequence: u64,
    /// Generation of the roster in force at its dispatcher.
    pub generation: u64,
    /// Number of requests in progress by VM; VMs without any are omitted.
    pub in_use: BTreeMap<VmName, u32>,
}

/// Place of an entry VM among those that share the slots of the VMs of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharePlace {
    /// Number of entry VMs that share; 0 means no slots.
    pub entries: u32,
    /// Index of this entry VM, from 0.
    pub index: u32,
}

impl SharePlace {
    /// Place of an entry VM that gets no slots.
    pub const NONE: Self = Self {
        entries: 0,
        index: 0,
    };
}

/// State of this entry VM's membership and of the other entry VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerState {
    /// Generation of the roster in force; increases with every change of members or
    /// places.
    pub generation: u64,
    /// This entry VM's place in the current layout (the assignment of places to entry
    /// VMs).
    pub place: SharePlace,
    /// This entry VM's place in the next layout while a change is in progress; until
    /// it completes, the smaller share of both layouts applies.
    pub next: Option<SharePlace>,
    /// Age of the state when it was read from a peer because the platform was
    /// unavailable; `None` if it came from the controller or the platform.
    pub stale_age: Option<Duration>,
    /// Whether the state is fresh enough to serve requests; if not, requests are
    /// refused with the outcome `not-run`.
    pub trusted: bool,
    /// Entry VMs in this data centre's roster, any of which may be serving; includes
    /// this one once it has joined.
    pub members: BTreeMap<EntryName, MemberState>,
    /// Other data centres that have answered so far.
    pub remotes: BTreeMap<DcName, RemoteState>,
}

impl PeerState {
    /// Returns how many of a VM's `slots` this entry VM may use.
    #[must_use]
    pub fn share_of(&self, vm: &VmName, slots: u32) -> u32 {
        smaller_share(vm, slots, self.place, self.next)
    }
}

/// State of an entry VM of this data centre's roster.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Address for callers and forwarding peers.
    pub entry_address: SocketAddr,
    /// Address of its control interface.
    pub control_address: SocketAddr,
    /// When its last answer was received, as time since the start of this process; zero
    /// if none was.
    pub last_received: Duration,
    /// Its last acknowledgement.
    pub ack: EntryAck,
}

/// Last known state of another data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteState {
    /// Addresses of its entry VMs for forwarded requests.
    pub entries: BTreeMap<EntryName, SocketAddr>,
    /// Slots of its serving VMs, by pool.
    pub slots: BTreeMap<PoolName, u32>,
    /// When its last answer was received, as time since the start of this process.
    pub last_received: Duration,
}
