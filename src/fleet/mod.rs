//! The fleet record of a data centre and the ledger of a pool.
//!
//! A fleet record says of each VM which pool it is in and what state it is in.
//! A VM stands in it once, so it belongs to one pool by construction, and a
//! move is one write. A ledger says which VMs of a pool are out of service, over
//! all data centres; a planned stop starts only after its row is written.

pub mod wire;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use crate::audit::AuditOutbox;
use crate::names::DcName;
use crate::names::EntryName;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::RackName;
use crate::names::VmName;

/// All VMs of one data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetRecord {
    /// Fencing number of the controller that wrote it; it only grows.
    pub epoch: u64,
    /// Random number of the controller's term that wrote it; two controllers
    /// that both lost the answer to a claim tell by it whose claim stands.
    pub nonce: u64,
    /// Counts the changes of the record; it only grows.
    pub sequence: u64,
    /// VMs by name.
    pub vms: BTreeMap<VmName, VmRecord>,
    /// Operations on failed VMs that have not ended at the platform; such a VM
    /// does not serve before its operation has.
    pub unfinished: BTreeMap<VmName, OperationId>,
    /// Configuration version that all entry VMs of the data centre have had in force.
    pub config_version: u64,
    /// Progress of the wave in this data centre.
    pub wave: Option<WaveProgress>,
    /// Audit rows not yet moved to a segment.
    pub outbox: AuditOutbox,
}

/// One VM of a fleet record.
#[derive(Clone, Debug, PartialEq)]
pub struct VmRecord {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Rack that it stands in.
    pub rack: RackName,
    /// What it does.
    pub state: VmState,
    /// When it entered the state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When its last maintenance ended, in milliseconds since the Unix epoch.
    pub maintained_ms: u64,
}

/// State of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It gets work.
    Serving,
    /// It gets no new work; a stop or a move follows.
    Draining(DrainPurpose),
    /// The platform carries out a planned operation on it.
    Stopped(OperationId),
    /// It is out of service without a plan.
    Failed,
    /// Operators hold it out of service.
    Held,
}

impl VmState {
    /// Tells whether the VM gets new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        matches!(self, Self::Serving)
    }
}

impl fmt::Display for VmState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining(DrainPurpose::Maintain(_)) => "draining_to_maintain",
            Self::Draining(DrainPurpose::Move(_)) => "draining_to_move",
            Self::Draining(DrainPurpose::Hold) => "draining_to_hold",
            Self::Draining(DrainPurpose::Leave) => "draining_to_leave",
            Self::Stopped(_) => "stopped",
            Self::Failed => "failed",
            Self::Held => "held",
        })
    }
}

/// What follows a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainPurpose {
    /// A reboot under this operation.
    Maintain(OperationId),
    /// A move to another pool.
    Move(PoolName),
    /// An operator's wish to hold the VM.
    Hold,
    /// The platform lists the VM as leaving.
    Leave,
}

/// Progress of a wave in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// Identifier from the operator's request.
    pub id: String,
    /// When it was entered here, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Planned stops started.
    pub started: u32,
    /// VMs back in service.
    pub returned: u32,
    /// VMs that did not come back in time.
    pub failed: u32,
    /// Why the wave stopped itself.
    pub stopped: Option<String>,
    /// Whether all its VMs have had their maintenance.
    pub ended: bool,
}

/// VMs of one pool that are out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolLedger {
    /// Rows by VM.
    pub rows: BTreeMap<VmName, LedgerRow>,
}

/// Why and since when a VM is out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRow {
    /// Data centre of the VM.
    pub dc: DcName,
    /// Planned or failed.
    pub cause: OutageCause,
    /// Start, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Why a VM is out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// A planned stop under this operation.
    Planned(OperationId),
    /// A failure.
    Failed,
}

/// The entry VMs of a data centre that may be serving, and their places.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryRoster {
    /// Counts the changes of membership; it only grows.
    pub generation: u64,
    /// Number of places among which slots are shared.
    pub places: u32,
    /// Number of places of the layout that is being changed to; 0 if none is.
    pub next_places: u32,
    /// When it was last written, in milliseconds since the Unix epoch.
    pub refreshed_ms: u64,
    /// Entry VMs by name.
    pub entries: BTreeMap<EntryName, EntryRecord>,
}

/// One entry VM of a roster.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryRecord {
    /// Where callers reach it.
    pub entry_address: SocketAddr,
    /// Where peers and operators reach it.
    pub control_address: SocketAddr,
    /// Random number of the process; a restarted one has another.
    pub incarnation: u64,
    /// Its place; none before its join has taken effect.
    pub place: Option<u32>,
    /// Its place in the layout that is being changed to.
    pub next: Option<u32>,
    /// Configuration version in force there.
    pub config_version: u64,
    /// Sequence of the fleet record in force there.
    pub fleet_sequence: u64,
}
