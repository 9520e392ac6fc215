//! The current version as stored at the platform under the key `config/head`, and
//! the history before it.
//!
//! A patch is accepted by writing the head. Before the head advances from version n
//! to n + 1, the head of version n is copied to the log. Every [`SNAPSHOT_EVERY`]
//! versions, the whole document is stored as a snapshot, and the versions since the
//! previous snapshot are stored without their patches as an archive.
//!
//! Log and snapshots are ring buffers of keys: version n overwrites version
//! n - [`LOG_SLOTS`], and only a newer version replaces an older one. Keys are never
//! deleted, so a writer that resumes after a long pause cannot restore a version
//! that has been overwritten.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::audit::AuditRow;
use crate::audit::chain_digest;
use crate::config::ConfigVersion;
use crate::config::FleetConfig;

/// Key of the head, which is the current version.
pub const HEAD_KEY: &str = "config/head";
/// Number of versions between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 64;
/// Number of versions whose patches are kept in the log.
pub const LOG_SLOTS: u64 = 4096;
/// Number of snapshots that are kept; together they span the log.
pub const SNAPSHOT_SLOTS: u64 = LOG_SLOTS / SNAPSHOT_EVERY;

/// Returns the key of the log entry of a version.
#[must_use]
pub fn log_key(version: ConfigVersion) -> String {
    format!("config/log/{}", version % LOG_SLOTS)
}

/// Returns the key of the snapshot of a version.
#[must_use]
pub fn snapshot_key(version: ConfigVersion) -> String {
    format!(
        "config/snapshot/{}",
        version / SNAPSHOT_EVERY % SNAPSHOT_SLOTS
    )
}

/// Returns the key of the archive that ends with a version.
#[must_use]
pub fn archive_key(version: ConfigVersion) -> String {
    format!("config/archive/{version}")
}

/// The values of the configuration that the report for the insurer checks the fleet
/// against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TermsWire {
    /// Maximum number of VMs out of service at once, by pool.
    pub budgets: BTreeMap<String, u32>,
    /// Period in which every VM must be maintained once, in seconds.
    pub period_s: u64,
}

impl From<&FleetConfig> for TermsWire {
    fn from(config: &FleetConfig) -> Self {
        let pools = config.pools.iter();
        Self {
            budgets: pools
                .map(|(name, pool)| (name.to_string(), pool.budget))
                .collect(),
            period_s: config.maintenance.period_s,
        }
    }
}

/// An accepted patch, as stored in the head and in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeadWire {
    /// Version that the patch yields.
    pub version: ConfigVersion,
    /// JSON merge patch (RFC 7396) against the previous version.
    pub patch: Value,
    /// Random identifier, by which a writer recognizes its own patch.
    pub patch_id: String,
    /// Operator who submitted the patch.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// When the patch was submitted, in milliseconds since the Unix epoch; never
    /// earlier than that of the previous version.
    pub time_ms: u64,
    /// Digest of the whole document of this version.
    pub digest: String,
    /// Chain digest: over this version and the chain digest of the previous one.
    pub chain: String,
    /// Terms, if they differ from those of the previous version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<TermsWire>,
    /// Version of the latest snapshot; 0 if there is none.
    pub snapshot: ConfigVersion,
}

/// An accepted version without its patch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionWire {
    /// Version number.
    pub version: ConfigVersion,
    /// Identifier of the patch that yielded it.
    pub patch_id: String,
    /// Operator who submitted the patch.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// When the patch was submitted, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Chain digest: over this version and the chain digest of the previous one.
    pub chain: String,
    /// Terms, if they differ from those of the previous version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<TermsWire>,
}

/// The whole document of a version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotWire {
    /// Version number.
    pub version: ConfigVersion,
    /// The document.
    pub document: Value,
}

/// The versions after one snapshot, up to and including the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ArchiveWire {
    /// Last version of the archive.
    pub version: ConfigVersion,
    /// Terms in force at the last version.
    pub terms: TermsWire,
    /// Versions, oldest first.
    pub versions: Vec<VersionWire>,
}

impl From<&HeadWire> for VersionWire {
    fn from(head: &HeadWire) -> Self {
        Self {
            version: head.version,
            patch_id: head.patch_id.clone(),
            author: head.author.clone(),
            reason: head.reason.clone(),
            time_ms: head.time_ms,
            digest: head.digest.clone(),
            chain: head.chain.clone(),
            terms: head.terms.clone(),
        }
    }
}

impl VersionWire {
    /// Computes the chain digest of this version; `previous` is that of the version
    /// before.
    #[must_use]
    pub fn chain_digest(&self, previous: &str) -> String {
        let terms = serde_json::to_string(&self.terms).unwrap_or_default();
        let row = AuditRow {
            sequence: self.version,
            time_ms: self.time_ms,
            author: self.author.clone(),
            subject: format!("config/{}", self.version),
            action: "accepted".to_owned(),
            from: self.patch_id.clone(),
            to: format!("{} {terms}", self.digest),
            reason: self.reason.clone(),
            digest: String::new(),
        };
        chain_digest(previous, &row)
    }
}
