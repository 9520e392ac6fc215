//! Reading versions from the platform and submitting patches to it.

use serde_json::Value;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::config::document::DocumentError;
use crate::config::head::HEAD_KEY;
use crate::config::head::HeadWire;
use crate::config::head::SNAPSHOT_EVERY;
use crate::config::head::log_key;
use crate::config::head::snapshot_key;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// A version that could not be read or a patch that was not accepted.
#[derive(Debug, Snafu)]
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
    /// A version is missing from the history.
    #[snafu(display("step=read key={key}: not there"))]
    Missing {
        /// Key that was looked for.
        key: String,
    },
    /// The document of a version has another digest than its head states.
    #[snafu(display("step=digest version={version}: documents differ"))]
    Digest {
        /// The version.
        version: ConfigVersion,
    },
    /// The document would not be a valid configuration.
    #[snafu(display("step=validate {source}"))]
    Invalid {
        /// Faults.
        source: DocumentError,
    },
    /// The patch was made against another version.
    #[snafu(display("step=submit base={base} current={current}: versions differ"))]
    Conflict {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
    },
}

/// A patch as an operator submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchRequest {
    /// Version that it was made against.
    pub base: ConfigVersion,
    /// JSON merge patch (RFC 7396).
    pub patch: Value,
    /// Operator.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Random identifier.
    pub patch_id: String,
}

/// Brings `known` up to the version of `head`.
///
/// # Errors
///
/// Fails if the history is not readable or does not fit the head.
pub async fn follow(
    client: &PlatformClient,
    known: &VersionedConfig,
    head: &HeadWire,
) -> Result<VersionedConfig, StoreError> {
    let gap = head.version.saturating_sub(known.version);
    let mut current = if gap <= SNAPSHOT_EVERY {
        known.clone()
    } else {
        read_snapshot(client, head.snapshot).await?
    };
    while current.version + 1 < head.version {
        let key = log_key(current.version + 1);
        let entry: HeadWire = read_json(client, &key).await?;
        current = current.patched(&entry.patch).context(InvalidSnafu)?;
    }
    if current.version < head.version {
        current = current.patched(&head.patch).context(InvalidSnafu)?;
    }
    let version = head.version;
    snafu::ensure!(current.digest() == head.digest, DigestSnafu { version });
    Ok(current)
}

/// Reads the current version.
///
/// # Errors
///
/// Fails if the platform does not answer or the history is not readable.
pub async fn read_current(
    client: &PlatformClient,
    known: &VersionedConfig,
) -> Result<(VersionedConfig, Option<HeadWire>, u64), StoreError> {
    let Some(value) = client.get(HEAD_KEY).await.context(PlatformSnafu)? else {
        return Ok((VersionedConfig::default(), None, 0));
    };
    let head = decode_head(&value.value)?;
    let current = follow(client, known, &head).await?;
    Ok((current, Some(head), value.revision))
}

/// Decodes the value of the head.
///
/// # Errors
///
/// Fails if the value is not a head.
pub fn decode_head(value: &[u8]) -> Result<HeadWire, StoreError> {
    serde_json::from_slice(value).context(DecodeSnafu { key: HEAD_KEY })
}

/// Submits a patch and returns the version that it yields.
///
/// # Errors
///
/// Fails if the patch is not accepted, or if it is not known whether it is.
pub async fn submit(
    client: &PlatformClient,
    known: &VersionedConfig,
    request: &PatchRequest,
    now_ms: u64,
) -> Result<VersionedConfig, StoreError> {
    let (current, head, revision) = read_current(client, known).await?;
    if current.version != request.base {
        return ConflictSnafu {
            base: request.base,
            current: current.version,
        }
        .fail();
    }
    let next = current.patched(&request.patch).context(InvalidSnafu)?;
    let snapshot = keep_history(client, &current, head.as_ref()).await?;
    let next_head = HeadWire {
        version: next.version,
        patch: request.patch.clone(),
        patch_id: request.patch_id.clone(),
        author: request.author.clone(),
        reason: request.reason.clone(),
        time_ms: now_ms,
        digest: next.digest(),
        snapshot,
    };
    let value = serde_json::to_vec(&next_head).context(DecodeSnafu { key: HEAD_KEY })?;
    let written = client.compare_and_swap(HEAD_KEY, revision, value).await;
    match written {
        Ok(true) => Ok(next),
        Err(error @ PlatformError::Refused { .. }) => Err(error).context(PlatformSnafu),
        // The write may have taken effect, or an earlier attempt of it has.
        Ok(false) | Err(_) => settle(client, request, next).await,
    }
}

/// Finds out whether a patch was accepted after a write without a clear answer.
async fn settle(
    client: &PlatformClient,
    request: &PatchRequest,
    next: VersionedConfig,
) -> Result<VersionedConfig, StoreError> {
    let head: HeadWire = read_json(client, HEAD_KEY).await?;
    let entry = if head.version > next.version {
        read_json(client, &log_key(next.version)).await?
    } else {
        head.clone()
    };
    if entry.patch_id == request.patch_id {
        return Ok(next);
    }
    ConflictSnafu {
        base: request.base,
        current: head.version,
    }
    .fail()
}

/// Copies the head to the log and keeps a snapshot when one is due.
async fn keep_history(
    client: &PlatformClient,
    current: &VersionedConfig,
    head: Option<&HeadWire>,
) -> Result<ConfigVersion, StoreError> {
    let Some(head) = head else {
        return Ok(0);
    };
    let key = log_key(head.version);
    let value = serde_json::to_vec(head).context(DecodeSnafu { key: &key })?;
    create(client, &key, value).await?;
    if head.version < head.snapshot + SNAPSHOT_EVERY {
        return Ok(head.snapshot);
    }
    let key = snapshot_key(current.version);
    let value = serde_json::to_vec(&current.document).context(DecodeSnafu { key: &key })?;
    create(client, &key, value).await?;
    Ok(current.version)
}

/// Creates a key; one that is there already has the same value.
async fn create(client: &PlatformClient, key: &str, value: Vec<u8>) -> Result<(), StoreError> {
    let created = client.compare_and_swap(key, 0, value).await;
    created.map(drop).context(PlatformSnafu)
}

async fn read_snapshot(
    client: &PlatformClient,
    version: ConfigVersion,
) -> Result<VersionedConfig, StoreError> {
    if version == 0 {
        return Ok(VersionedConfig::default());
    }
    let document = read_json(client, &snapshot_key(version)).await?;
    VersionedConfig::new(version, document).context(InvalidSnafu)
}

async fn read_json<T: serde::de::DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
) -> Result<T, StoreError> {
    let value = client.get(key).await.context(PlatformSnafu)?;
    let value = value.context(MissingSnafu { key })?;
    serde_json::from_slice(&value.value).context(DecodeSnafu { key })
}
