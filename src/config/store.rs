//! Reads versions of the configuration from the platform.

use serde::de::DeserializeOwned;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::config::document::DocumentError;
use crate::config::head::ArchiveWire;
use crate::config::head::HEAD_KEY;
use crate::config::head::HeadWire;
use crate::config::head::LOG_SLOTS;
use crate::config::head::SNAPSHOT_EVERY;
use crate::config::head::SnapshotWire;
use crate::config::head::TermsWire;
use crate::config::head::VersionWire;
use crate::config::head::archive_key;
use crate::config::head::log_key;
use crate::config::head::snapshot_key;
use crate::platform::PlatformError;
use crate::platform::retry::RetryClient;

/// Why a version could not be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The platform gave no usable response.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// A stored value is not JSON of the expected form.
    #[snafu(display("step=decode key={key}: {source}"))]
    Decode {
        /// Key of the value.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// A version is not in the history: it is too old, or not accepted yet.
    #[snafu(display("step=read version={version}: not in the history"))]
    Missing {
        /// The version.
        version: ConfigVersion,
    },
    /// The digest of a version's document differs from the stored digest.
    #[snafu(display("step=digest version={version}: documents differ"))]
    DigestMismatch {
        /// The version.
        version: ConfigVersion,
    },
    /// The platform stores an older version than the one in force here, because it
    /// was reinstalled or restored from an old backup.
    #[snafu(display("step=compare version={version} in_force={in_force}: platform is behind"))]
    Behind {
        /// Version at the platform.
        version: ConfigVersion,
        /// Version in force.
        in_force: ConfigVersion,
    },
    /// A version in the history is not a valid configuration.
    #[snafu(display("step=validate {source}"))]
    Invalid {
        /// What is wrong with it.
        source: DocumentError,
    },
}

/// The current version as stored at the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHead {
    /// The accepted patch.
    pub head: HeadWire,
    /// Revision of the key, for the next compare-and-swap.
    pub revision: u64,
}

/// Returns the version of `head`, rebuilt from `known` by applying the patches in
/// between.
///
/// If `known` is more than [`SNAPSHOT_EVERY`] versions behind, the latest snapshot
/// replaces it as the start, provided that the snapshot is newer.
///
/// # Errors
///
/// Fails if the history is not readable or its result does not match the head's
/// digest.
pub async fn catch_up(
    client: RetryClient<'_>,
    known: &VersionedConfig,
    head: &HeadWire,
) -> Result<VersionedConfig, StoreError> {
    let gap = head.version.saturating_sub(known.version);
    let mut current = if gap <= SNAPSHOT_EVERY || head.snapshot <= known.version {
        known.clone()
    } else {
        read_snapshot(client, head.snapshot).await?
    };
    while current.version + 1 < head.version {
        let entry = read_log_entry(client, current.version + 1).await?;
        current = apply(&current, &entry)?;
    }
    if current.version < head.version {
        current = apply(&current, head)?;
    }
    let version = head.version;
    ensure!(
        current.digest() == head.digest,
        DigestMismatchSnafu { version }
    );
    Ok(current)
}

fn apply(current: &VersionedConfig, entry: &HeadWire) -> Result<VersionedConfig, StoreError> {
    let version = entry.version;
    let next = current.patched(&entry.patch).context(InvalidSnafu)?;
    ensure!(
        next.digest() == entry.digest,
        DigestMismatchSnafu { version }
    );
    Ok(next)
}

/// Reads the current head; `None` before the first patch.
///
/// # Errors
///
/// Fails if the platform gives no usable response, or the value is not a head.
pub async fn read_head(client: RetryClient<'_>) -> Result<Option<StoredHead>, StoreError> {
    let Some(value) = client.get(HEAD_KEY).await.context(PlatformSnafu)? else {
        return Ok(None);
    };
    Ok(Some(StoredHead {
        head: decode_head(&value.value)?,
        revision: value.revision,
    }))
}

/// Decodes the value of the head.
///
/// # Errors
///
/// Fails if the value is not a head.
pub fn decode_head(value: &[u8]) -> Result<HeadWire, StoreError> {
    decode(HEAD_KEY, value)
}

/// Reads the accepted patch of a past version from the log.
///
/// # Errors
///
/// Fails if the version is no longer or not yet in the log, or the log is not
/// readable.
pub async fn read_log_entry(
    client: RetryClient<'_>,
    version: ConfigVersion,
) -> Result<HeadWire, StoreError> {
    let key = log_key(version);
    let entry: Option<HeadWire> = read(client, &key).await?;
    let entry = entry.filter(|entry| entry.version == version);
    entry.context(MissingSnafu { version })
}

/// Returns the accepted patch of a version, from the log or from `head` itself.
///
/// # Errors
///
/// Fails as [`read_log_entry`] does.
pub async fn read_accepted_patch(
    client: RetryClient<'_>,
    head: &HeadWire,
    version: ConfigVersion,
) -> Result<HeadWire, StoreError> {
    if version == head.version {
        return Ok(head.clone());
    }
    read_log_entry(client, version).await
}

async fn read_snapshot(
    client: RetryClient<'_>,
    version: ConfigVersion,
) -> Result<VersionedConfig, StoreError> {
    if version == 0 {
        return Ok(VersionedConfig::default());
    }
    let snapshot: Option<SnapshotWire> = read(client, &snapshot_key(version)).await?;
    let snapshot = snapshot.filter(|snapshot| snapshot.version == version);
    let snapshot = snapshot.context(MissingSnafu { version })?;
    VersionedConfig::new(version, snapshot.document).context(InvalidSnafu)
}

/// Rebuilds a version from the latest snapshot up to it and the log.
///
/// # Errors
///
/// Fails if the history does not reach back to the version, does not contain it yet,
/// or is not readable.
pub async fn read_version(
    client: RetryClient<'_>,
    version: ConfigVersion,
) -> Result<VersionedConfig, StoreError> {
    let head = read_head(client).await?.context(MissingSnafu { version })?;
    let head = head.head;
    ensure!(version <= head.version, MissingSnafu { version });
    // A snapshot is written when the version after it is submitted, so the one at the
    // last multiple of `SNAPSHOT_EVERY` may not be there yet.
    let snapshot = (version / SNAPSHOT_EVERY * SNAPSHOT_EVERY).min(head.snapshot);
    let mut current = read_snapshot(client, snapshot).await?;
    while current.version < version {
        let entry = read_accepted_patch(client, &head, current.version + 1).await?;
        current = apply(&current, &entry)?;
    }
    Ok(current)
}

/// Consecutive accepted versions without their patches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// Versions, oldest first.
    pub versions: Vec<VersionWire>,
    /// Chain digest of the version before the first of `versions`; empty if that is
    /// version 1.
    pub chain: String,
    /// Terms of the version before the first of `versions`; `None` if that is
    /// version 1.
    pub terms: Option<TermsWire>,
}

/// Reads the latest versions, oldest first, at most `max` of them.
///
/// # Errors
///
/// Fails if the history is not readable.
pub async fn read_latest(
    client: RetryClient<'_>,
    max: usize,
) -> Result<Vec<VersionWire>, StoreError> {
    let needs_older = |versions: &[VersionWire]| versions.len() < max;
    let mut versions = read_backwards(client, needs_older).await?.versions;
    versions.drain(..versions.len().saturating_sub(max));
    Ok(versions)
}

/// Reads all versions accepted since `from_ms`, in milliseconds since the Unix epoch,
/// and possibly some earlier ones.
///
/// # Errors
///
/// Fails if the history is not readable.
pub async fn read_history(
    client: RetryClient<'_>,
    from_ms: u64,
) -> Result<VersionHistory, StoreError> {
    let needs_older = |versions: &[VersionWire]| {
        let oldest = versions.last();
        oldest.is_none_or(|oldest| oldest.time_ms >= from_ms)
    };
    read_backwards(client, needs_older).await
}

/// Reads the versions since the latest snapshot, and then archives, newest first, as
/// long as `needs_older` returns true for the versions read so far, newest first.
async fn read_backwards(
    client: RetryClient<'_>,
    needs_older: impl Fn(&[VersionWire]) -> bool,
) -> Result<VersionHistory, StoreError> {
    let Some(stored) = read_head(client).await? else {
        return Ok(VersionHistory::default());
    };
    let head = stored.head;
    let mut versions = Vec::new();
    for version in (head.snapshot + 1..=head.version).rev() {
        let entry = read_accepted_patch(client, &head, version).await?;
        versions.push(VersionWire::from(&entry));
    }
    let mut archive_version = head.snapshot;
    // The archive just before the versions returned, for its last chain digest and
    // terms.
    let mut preceding = None;
    while archive_version > 0 {
        let archive: Option<ArchiveWire> = read(client, &archive_key(archive_version)).await?;
        let archive = archive.context(MissingSnafu {
            version: archive_version,
        })?;
        if !needs_older(&versions) {
            preceding = Some(archive);
            break;
        }
        archive_version = archive_version.saturating_sub(SNAPSHOT_EVERY);
        versions.extend(archive.versions.into_iter().rev());
    }
    versions.reverse();
    let last = preceding
        .as_ref()
        .and_then(|archive| archive.versions.last());
    Ok(VersionHistory {
        versions,
        chain: last.map(|last| last.chain.clone()).unwrap_or_default(),
        terms: preceding.map(|archive| archive.terms),
    })
}

/// Tells whether the accepted patch of a version can be read: from the log, which
/// overwrites old versions, or as the head.
#[must_use]
pub fn is_in_log(head: &HeadWire, version: ConfigVersion) -> bool {
    version <= head.version && version + LOG_SLOTS > head.version
}

pub(super) async fn read<T: DeserializeOwned>(
    client: RetryClient<'_>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let value = client.get(key).await.context(PlatformSnafu)?;
    let value = value.map(|value| decode(key, &value.value));
    value.transpose()
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(value).context(DecodeSnafu { key })
}
