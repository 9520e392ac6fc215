//! What entry VMs tell each other.

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

/// A push of the controller to a member; it carries only what the member lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct StatePush {
    /// Data centre of the controller.
    pub dc: DcName,
    /// Control address of the controller.
    pub controller: SocketAddr,
    /// Newer configuration.
    pub config: Option<ConfigOffer>,
    /// Newer fleet record.
    pub fleet: Option<Arc<FleetRecord>>,
    /// Newer roster.
    pub roster: Option<EntryRoster>,
}

/// A configuration, whole or as a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOffer {
    /// The whole document.
    Whole(Arc<VersionedConfig>),
    /// What changes from one version to another.
    Patch(ConfigPatch),
}

/// A JSON merge patch from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPatch {
    /// Version that it applies to.
    pub base: ConfigVersion,
    /// Version that it yields.
    pub version: ConfigVersion,
    /// The patch.
    pub patch: Value,
    /// Digest of the document that it yields.
    pub digest: String,
}

/// Answer of a member to a push.
#[derive(Clone, Debug, PartialEq)]
pub struct PushAnswer {
    /// Data centre of the member.
    pub dc: DcName,
    /// Name of the member.
    pub name: EntryName,
    /// What it is and has in force.
    pub report: EntryReport,
}

/// Whole state of an entry VM, for one of its data centre that has none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateCopy {
    /// Time since the state was last confirmed by the controller or the
    /// platform, in milliseconds.
    pub age_ms: u64,
    /// Configuration in force; none before the first.
    pub config: Option<Arc<VersionedConfig>>,
    /// Fleet record in force.
    pub fleet: Option<Arc<FleetRecord>>,
    /// Roster in force.
    pub roster: Option<EntryRoster>,
}

/// What an entry VM tells those of other data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct DcSummary {
    /// Its data centre.
    pub dc: DcName,
    /// Configuration version in force.
    pub config_version: ConfigVersion,
    /// Where the entry VMs of the data centre take requests.
    pub entries: BTreeMap<EntryName, SocketAddr>,
    /// Slots of serving VMs, by pool.
    pub slots: BTreeMap<PoolName, u32>,
}

/// A request to leave the membership, with nothing in progress for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaveRequest {
    /// Entry VM that leaves.
    pub name: EntryName,
    /// Its process.
    pub incarnation: u64,
}
