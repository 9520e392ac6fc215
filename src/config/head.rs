//! The current version at the platform: the key `config/head`, and its history.
//!
//! Writing the head is the acceptance of a patch. Before the head moves from n
//! to n + 1, the head of n is copied to the log; every [`SNAPSHOT_EVERY`]
//! versions the whole document is kept as a snapshot and the versions since the
//! one before, without their patches, as an archive.
//!
//! Log and snapshots are rings of keys: version n overwrites version
//! n - [`LOG_SLOTS`], and only a newer version replaces an older one. Nothing is
//! deleted, so a writer that was paused cannot bring a trimmed version back.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::audit::AuditRow;
use crate::audit::chain_digest;
use crate::config::ConfigVersion;
use crate::config::FleetConfig;

/// Key of the current version.
pub const HEAD_KEY: &str = "config/head";
/// Number of versions between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 64;
/// Number of versions whose patches are kept.
pub const LOG_SLOTS: u64 = 4096;
/// Number of snapshots that are kept.
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

/// What the insurer's conditions are checked against.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TermsWire {
    /// Budgets by pool.
    pub budgets: BTreeMap<String, u32>,
    /// Period in which every VM is maintained once, in seconds.
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

/// An accepted patch.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeadWire {
    /// Version that the patch yields.
    pub version: ConfigVersion,
    /// JSON merge patch against the version before.
    pub patch: Value,
    /// Random identifier, by which a writer finds its own patch again.
    pub patch_id: String,
    /// Operator.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Digest of the whole document of this version.
    pub digest: String,
    /// Digest over this version and the chain of the one before.
    pub chain: String,
    /// Terms, if they differ from those of the version before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<TermsWire>,
    /// Latest version of which a snapshot is kept; 0 if none.
    pub snapshot: ConfigVersion,
}

/// A version without its patch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionWire {
    /// Number.
    pub version: ConfigVersion,
    /// Identifier of the patch that yielded it.
    pub patch_id: String,
    /// Operator.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Digest of the whole document.
    pub digest: String,
    /// Digest over this version and the chain of the one before.
    pub chain: String,
    /// Terms, if they differ from those of the version before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<TermsWire>,
}

/// A whole document with its number.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotWire {
    /// Number.
    pub version: ConfigVersion,
    /// The document.
    pub document: Value,
}

/// Versions from one snapshot to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ArchiveWire {
    /// Last version of the archive.
    pub version: ConfigVersion,
    /// Terms of the last version.
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
    /// Computes the digest over this version and the chain of the one before.
    #[must_use]
    pub fn chained(&self, previous: &str) -> String {
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
