//! Messages between entry VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::decide::membership::EntryReport;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::names::DcName;
use crate::names::EntryName;
use crate::names::PoolName;

/// State that the controller pushes to a member; contains only what the member lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct StatePush {
    /// Data centre of the controller.
    pub dc: DcName,
    /// Control address of the controller.
    pub controller: SocketAddr,
    /// Newer configuration than the member's, if there is one.
    pub config: Option<ConfigUpdate>,
    /// Newer fleet record than the member's, if there is one.
    pub fleet: Option<Arc<FleetRecord>>,
    /// Roster, if the member has another generation.
    pub roster: Option<EntryRoster>,
}

/// A newer configuration, as the full document or as a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// The full document.
    Full(Arc<VersionedConfig>),
    /// Changes from an older version.
    Patch(ConfigPatch),
}

/// A JSON merge patch from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPatch {
    /// Version to which the patch applies.
    pub base: ConfigVersion,
    /// Version that results from the patch.
    pub version: ConfigVersion,
    /// Merge patch (RFC 7396).
    pub patch: Value,
    /// Digest of the resulting document.
    pub digest: String,
}

/// Answer of a member to a push; also sent to announce an entry VM that joins.
#[derive(Clone, Debug, PartialEq)]
pub struct PushAnswer {
    /// Data centre of the member.
    pub dc: DcName,
    /// Name of the member.
    pub name: EntryName,
    /// Its addresses, incarnation and acknowledgement.
    pub report: EntryReport,
}

/// Full state of an entry VM, for peers of its data centre that cannot read the
/// platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateCopy {
    /// Time since the state was last confirmed by the controller or the
    /// platform, in milliseconds.
    pub age_ms: u64,
    /// Configuration in force; `None` before the first.
    pub config: Option<Arc<VersionedConfig>>,
    /// Fleet record in force; `None` before the first.
    pub fleet: Option<Arc<FleetRecord>>,
    /// Roster in force; `None` before the first.
    pub roster: Option<EntryRoster>,
}

/// Summary of a data centre, for entry VMs of other data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct DcSummary {
    /// Data centre that is summarised.
    pub dc: DcName,
    /// Configuration version in force.
    pub config_version: ConfigVersion,
    /// Addresses of its entry VMs for forwarded requests.
    pub entries: BTreeMap<EntryName, SocketAddr>,
    /// Slots of its serving VMs, by pool.
    pub slots: BTreeMap<PoolName, u32>,
}

/// Request to leave the roster. The sender has no requests in progress and accepts no
/// new ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaveRequest {
    /// Entry VM that leaves.
    pub name: EntryName,
    /// Incarnation of its process.
    pub incarnation: u64,
}
