//! Reading versions from the platform.

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

/// A version that could not be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The platform gave no usable answer.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// A value is not what it should be.
    #[snafu(display("step=decode key={key}: {source}"))]
    Decode {
        /// Key of the value.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// A version is not in the history: it is too old, or not there yet.
    #[snafu(display("step=read version={version}: not in the history"))]
    Missing {
        /// The version.
        version: ConfigVersion,
    },
    /// The document of a version has another digest than its head states.
    #[snafu(display("step=digest version={version}: documents differ"))]
    Digest {
        /// The version.
        version: ConfigVersion,
    },
    /// The platform is at an older version than the one in force here: it was
    /// made anew or restored from an old copy.
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
        /// Faults.
        source: DocumentError,
    },
}

/// The current version as the platform has it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHead {
    /// The accepted patch.
    pub head: HeadWire,
    /// Revision of the key.
    pub revision: u64,
}

/// Brings `known` up to the version of `head`.
///
/// # Errors
///
/// Fails if the history is not readable or does not fit the head.
pub async fn follow(
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
        let entry = read_entry(client, current.version + 1).await?;
        current = apply(&current, &entry)?;
    }
    if current.version < head.version {
        current = apply(&current, head)?;
    }
    let version = head.version;
    ensure!(current.digest() == head.digest, DigestSnafu { version });
    Ok(current)
}

fn apply(current: &VersionedConfig, entry: &HeadWire) -> Result<VersionedConfig, StoreError> {
    let version = entry.version;
    let next = current.patched(&entry.patch).context(InvalidSnafu)?;
    ensure!(next.digest() == entry.digest, DigestSnafu { version });
    Ok(next)
}

/// Reads the current head; none before the first patch.
///
/// # Errors
///
/// Fails if the platform gives no usable answer.
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

/// Reads a past version from the log.
///
/// # Errors
///
/// Fails if the version is no longer or not yet in the log.
pub async fn read_entry(
    client: RetryClient<'_>,
    version: ConfigVersion,
) -> Result<HeadWire, StoreError> {
    let key = log_key(version);
    let entry: Option<HeadWire> = read(client, &key).await?;
    let entry = entry.filter(|entry| entry.version == version);
    entry.context(MissingSnafu { version })
}

/// Reads the entry of a version, which may be the head.
///
/// # Errors
///
/// Fails as [`read_entry`] does.
pub async fn read_accepted(
    client: RetryClient<'_>,
    head: &HeadWire,
    version: ConfigVersion,
) -> Result<HeadWire, StoreError> {
    if version == head.version {
        return Ok(head.clone());
    }
    read_entry(client, version).await
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

/// Rebuilds a version from its snapshot and the log.
///
/// # Errors
///
/// Fails if the history does not reach back to it or has no such version.
pub async fn read_version(
    client: RetryClient<'_>,
    version: ConfigVersion,
) -> Result<VersionedConfig, StoreError> {
    let head = read_head(client).await?.context(MissingSnafu { version })?;
    let head = head.head;
    ensure!(version <= head.version, MissingSnafu { version });
    // The snapshot of the last 64 versions may not be there yet.
    let snapshot = (version / SNAPSHOT_EVERY * SNAPSHOT_EVERY).min(head.snapshot);
    let mut current = read_snapshot(client, snapshot).await?;
    while current.version < version {
        let entry = read_accepted(client, &head, current.version + 1).await?;
        current = apply(&current, &entry)?;
    }
    Ok(current)
}

/// Accepted versions without their patches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// Versions, oldest first.
    pub versions: Vec<VersionWire>,
    /// Chain of the version before the first; empty for version 1.
    pub chain: String,
    /// Terms of the version before the first; none for version 1.
    pub terms: Option<TermsWire>,
}

/// Reads the latest versions, oldest first, at most `most`.
///
/// # Errors
///
/// Fails if the history is not readable.
pub async fn read_latest(
    client: RetryClient<'_>,
    most: usize,
) -> Result<Vec<VersionWire>, StoreError> {
    let wanted = |versions: &[VersionWire]| versions.len() < most;
    let mut versions = read_back(client, wanted).await?.versions;
    versions.drain(..versions.len().saturating_sub(most));
    Ok(versions)
}

/// Reads all versions accepted since `from_ms`, and some before them.
///
/// # Errors
///
/// Fails if the history is not readable.
pub async fn read_history(
    client: RetryClient<'_>,
    from_ms: u64,
) -> Result<VersionHistory, StoreError> {
    let wanted = |versions: &[VersionWire]| {
        let oldest = versions.last();
        oldest.is_none_or(|oldest| oldest.time_ms >= from_ms)
    };
    read_back(client, wanted).await
}

/// Reads back to the latest snapshot, and from there archives while `wanted`,
/// which sees the versions read so far, newest first.
async fn read_back(
    client: RetryClient<'_>,
    wanted: impl Fn(&[VersionWire]) -> bool,
) -> Result<VersionHistory, StoreError> {
    let Some(stored) = read_head(client).await? else {
        return Ok(VersionHistory::default());
    };
    let head = stored.head;
    let mut versions = Vec::new();
    for version in (head.snapshot + 1..=head.version).rev() {
        let entry = read_accepted(client, &head, version).await?;
        versions.push(VersionWire::from(&entry));
    }
    let mut before = head.snapshot;
    let mut end = None;
    while before > 0 {
        let archive: Option<ArchiveWire> = read(client, &archive_key(before)).await?;
        let archive = archive.context(MissingSnafu { version: before })?;
        if !wanted(&versions) {
            end = Some(archive);
            break;
        }
        before = before.saturating_sub(SNAPSHOT_EVERY);
        versions.extend(archive.versions.into_iter().rev());
    }
    versions.reverse();
    let last = end.as_ref().and_then(|archive| archive.versions.last());
    Ok(VersionHistory {
        versions,
        chain: last.map(|last| last.chain.clone()).unwrap_or_default(),
        terms: end.map(|archive| archive.terms),
    })
}

/// Tells whether a version is still in the log.
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
