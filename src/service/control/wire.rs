//! JSON types of the interface for operators.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::VersionedConfig;
use crate::config::head::VersionWire;
use crate::config::patch::PatchRequest;
use crate::decide::health::EjectedVm;
use crate::fleet::wire::AuditWire;
use crate::fleet::wire::RosterWire;
use crate::fleet::wire::VmWire;
use crate::fleet::wire::WaveProgressWire;
use crate::report::AuditTrail;
use crate::report::ReportSpan;

/// A configuration patch as submitted by an operator.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchWire {
    pub base: u64,
    pub patch: Value,
    pub author: String,
    pub reason: String,
    pub patch_id: String,
}

impl From<PatchWire> for PatchRequest {
    fn from(wire: PatchWire) -> Self {
        Self {
            base: wire.base,
            patch: wire.patch,
            author: wire.author,
            reason: wire.reason,
            patch_id: wire.patch_id,
        }
    }
}

/// Response to an accepted patch: the version that it created.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct PatchResponseWire {
    pub version: u64,
}

/// A configuration version with its document.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConfigWire {
    pub version: u64,
    pub digest: String,
    pub document: Value,
}

impl From<&VersionedConfig> for ConfigWire {
    fn from(config: &VersionedConfig) -> Self {
        Self {
            version: config.version,
            digest: config.digest(),
            document: config.document.clone(),
        }
    }
}

/// Accepted configuration versions, oldest first.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct LogWire {
    pub versions: Vec<VersionWire>,
}

/// State of one entry VM and what it knows of the others.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StatusWire {
    pub name: String,
    pub dc: String,
    pub config_version: u64,
    pub fleet_sequence: u64,
    /// Number of VMs in the fleet record.
    pub vms: usize,
    /// Whether the state is fresh enough to serve requests.
    pub trusted: bool,
    /// Generation of the roster in force.
    pub generation: u64,
    /// Number of entry VMs that share the slots, including this one; 0 if it has no
    /// share.
    pub sharing: u32,
    /// Age of the state, in milliseconds, if it was copied from a peer while the platform
    /// was unreachable.
    pub stale_ms: Option<u64>,
    /// Whether this entry VM watches the configuration at the platform itself.
    pub watching: bool,
    /// Whether the configuration was confirmed at least once and without a later error.
    pub platform_reachable: bool,
    /// Last error of the watch of the configuration; empty if there is none.
    pub platform_error: String,
    /// Time since the configuration was last confirmed by the platform or a peer, in
    /// milliseconds; absent if it never was.
    pub confirmed_age_ms: Option<u64>,
    /// Whether this entry VM is the controller of its data centre.
    pub controller: bool,
    /// Draining VMs, each with the entry VMs that still use it or do not answer.
    pub draining: BTreeMap<String, Vec<String>>,
    /// VMs whose planned stop was postponed, each with the entry VMs that still use it or
    /// do not answer.
    pub postponed: BTreeMap<String, Vec<String>>,
    /// VMs that have failed, so that this entry VM sends them no requests, or one at a
    /// time to probe them.
    pub ejected: BTreeMap<String, EjectedWire>,
    pub entries: Vec<EntryStatusWire>,
    pub data_centres: Vec<RemoteStatusWire>,
}

/// A VM that this entry VM has ejected after failures.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EjectedWire {
    pub pool: String,
    pub cause: String,
    pub ejections: u32,
    pub probing: bool,
}

impl From<&EjectedVm> for EjectedWire {
    fn from(vm: &EjectedVm) -> Self {
        Self {
            pool: vm.pool.to_string(),
            cause: vm.cause.to_string(),
            ejections: vm.ejections,
            probing: vm.probing,
        }
    }
}

/// Another entry VM of the same data centre.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EntryStatusWire {
    pub name: String,
    pub address: String,
    pub config_version: u64,
    pub fleet_sequence: u64,
    pub in_progress: u32,
}

/// Another data centre.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RemoteStatusWire {
    pub dc: String,
    pub entries: usize,
}

/// Rosters (lists of entry VMs) of all data centres, as stored at the platform.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RostersWire {
    pub rosters: BTreeMap<String, RosterWire>,
}

/// VMs of a data centre and its maintenance wave, if there is one.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct VmsWire {
    pub dc: String,
    pub sequence: u64,
    pub vms: Vec<VmStatusWire>,
    pub wave: Option<WaveProgressWire>,
}

/// A VM and its record.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct VmStatusWire {
    pub name: String,
    pub record: VmWire,
}

/// Audit rows of all data centres.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AuditListWire {
    pub trails: Vec<AuditTrailWire>,
}

/// Audit rows of one data centre.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AuditTrailWire {
    pub dc: String,
    pub rows: Vec<AuditWire>,
}

impl AuditListWire {
    /// Creates a list of the rows within `span`.
    #[must_use]
    pub fn new(trails: &[AuditTrail], span: ReportSpan) -> Self {
        let trails = trails.iter().map(|trail| {
            let rows = trail.rows.iter();
            let rows = rows.filter(|row| span.contains(row.time_ms));
            AuditTrailWire {
                dc: trail.dc.clone(),
                rows: rows.map(Into::into).collect(),
            }
        });
        Self {
            trails: trails.collect(),
        }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ErrorWire {
    /// Description of the error.
    pub error: String,
    /// Current version, if the patch conflicts with changes since its base version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<u64>,
    /// Fields that both this patch and a later version change, as far as they are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fields: Option<Vec<String>>,
    /// Identifier of the patch if it is unknown whether the patch was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown: Option<String>,
}
