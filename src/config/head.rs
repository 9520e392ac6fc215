//! The current version at the platform: the key `config/head` and its history.
//!
//! Writing the head is the acceptance of a patch. Before the head moves from n
//! to n + 1, the head of n is copied to `config/log/<n>`; every
//! [`SNAPSHOT_EVERY`] versions the whole document is kept as
//! `config/snapshot/<n>`.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::ConfigVersion;

/// Key of the current version.
pub const HEAD_KEY: &str = "config/head";
/// Number of versions between two snapshots.
pub const SNAPSHOT_EVERY: u64 = 64;

/// Returns the key of the log entry of a version.
#[must_use]
pub fn log_key(version: ConfigVersion) -> String {
    format!("config/log/{version}")
}

/// Returns the key of the snapshot of a version.
#[must_use]
pub fn snapshot_key(version: ConfigVersion) -> String {
    format!("config/snapshot/{version}")
}

/// An accepted patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// Latest version of which a snapshot is kept; 0 if none.
    pub snapshot: ConfigVersion,
}
