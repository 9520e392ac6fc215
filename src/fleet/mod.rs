//! The fleet record of a data centre and the ledger of a pool.
//!
//! A fleet record lists the VMs of a data centre, each with its pool and its state.
//! Each VM has one entry, so it belongs to exactly one pool by construction, and a
//! move is a single write. A ledger lists the VMs of a pool that are out of service, in
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
    /// Fencing token of the controller that wrote the record; it only increases.
    pub epoch: u64,
    /// Random number that the controller chose when it claimed the record. Two
    /// controllers that both lost the response to a claim see from it whose claim took
    /// effect.
    pub nonce: u64,
    /// Number of changes made to the record; it only increases.
    pub sequence: u64,
    /// VMs by name.
    pub vms: BTreeMap<VmName, VmRecord>,
    /// Operations on failed VMs that have not ended at the platform; such a VM does
    /// not serve until its operation has ended.
    pub unfinished: BTreeMap<VmName, OperationId>,
    /// Newest configuration version that has been in force at all entry VMs of the
    /// data centre.
    pub config_version: u64,
    /// Progress of the wave in this data centre.
    pub wave: Option<WaveProgress>,
    /// Audit rows not yet moved to a segment of the audit trail.
    pub outbox: AuditOutbox,
}

/// One VM of a fleet record.
#[derive(Clone, Debug, PartialEq)]
pub struct VmRecord {
    /// Pool that the VM belongs to.
    pub pool: PoolName,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Rack that the VM is in.
    pub rack: RackName,
    /// Current state.
    pub state: VmState,
    /// When the VM entered the state, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When its last maintenance ended, in milliseconds since the Unix epoch.
    pub maintained_ms: u64,
}

/// State of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM receives requests.
    Serving,
    /// The VM receives no new requests and finishes those in progress.
    Draining(DrainPurpose),
    /// The platform performs this planned operation on the VM.
    Stopped(OperationId),
    /// The VM is out of service because it failed, or because a planned stop failed or took
    /// too long.
    Failed,
    /// Operators hold the VM out of service.
    Held,
}

impl VmState {
    /// Tells whether the VM receives new requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
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

/// What is done with a VM once it is drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainPurpose {
    /// A reboot for maintenance under this operation.
    Maintain(OperationId),
    /// A move to this pool.
    Move(PoolName),
    /// A hold: operators keep the VM out of service.
    Hold,
    /// Removal, because the platform lists the VM as leaving or no pool lists it.
    Leave,
}

/// Progress of a wave in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// Identifier from the operator's request.
    pub id: String,
    /// When the wave started in this data centre, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Number of planned stops started.
    pub started: u32,
    /// Number of VMs that returned to service after a planned stop.
    pub returned: u32,
    /// Number of VMs that did not return to service in time.
    pub failed: u32,
    /// Why the wave stopped itself; `None` if it did not.
    pub stopped: Option<String>,
    /// Whether all VMs that the wave covers have been maintained.
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
    /// Whether the outage is planned or a failure.
    pub cause: OutageCause,
    /// Start of the outage, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Why a VM is out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutageCause {
    /// A planned stop, move or hold, with the identifier of its operation.
    Planned(OperationId),
    /// A failure of the VM.
    Failed,
}

/// The entry VMs of a data centre that may be serving, and their places.
///
/// A place is an index in a layout. A layout of n places divides the slots of each VM
/// among n entry VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryRoster {
    /// Number of membership changes; it only increases.
    pub generation: u64,
    /// Number of places of the current layout.
    pub places: u32,
    /// Number of places of the next layout; 0 if no change of layout is in progress.
    pub next_places: u32,
    /// When the roster was last written, in milliseconds since the Unix epoch.
    pub refreshed_ms: u64,
    /// Entry VMs by name.
    pub entries: BTreeMap<EntryName, EntryRecord>,
}

/// One entry VM of a roster.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryRecord {
    /// Address for callers.
    pub entry_address: SocketAddr,
    /// Address for peers and operators.
    pub control_address: SocketAddr,
    /// Random number that the process chooses when it starts; a restarted process has
    /// another one.
    pub incarnation: u64,
    /// Place in the current layout; `None` until the entry VM's join takes effect.
    pub place: Option<u32>,
    /// Place in the next layout; `None` if no change of layout is in progress.
    pub next_place: Option<u32>,
    /// Configuration version in force at the entry VM.
    pub config_version: u64,
    /// Sequence number of the fleet record in force at the entry VM.
    pub fleet_sequence: u64,
}
