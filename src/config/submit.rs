//! Submits patches to the platform.
//!
//! A patch is accepted by a compare-and-swap of the head. If the response is lost,
//! the head is read back. If the head has advanced, the patch identifier of the
//! version after the base tells whose patch was accepted. If it has not advanced, the
//! write is repeated, because the first one may still be in flight. The outcome is
//! reported as unknown only if neither succeeds before the deadline.

use std::time::Duration;

use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::time::Instant;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::config::document::DocumentError;
use crate::config::head::ArchiveWire;
use crate::config::head::HEAD_KEY;
use crate::config::head::HeadWire;
use crate::config::head::SNAPSHOT_EVERY;
use crate::config::head::SnapshotWire;
use crate::config::head::TermsWire;
use crate::config::head::VersionWire;
use crate::config::head::archive_key;
use crate::config::head::log_key;
use crate::config::head::snapshot_key;
use crate::config::patch::PatchRequest;
use crate::config::patch::RequestError;
use crate::config::patch::common_fields;
use crate::config::store;
use crate::config::store::DecodeSnafu as StoreDecodeSnafu;
use crate::config::store::PlatformSnafu as StorePlatformSnafu;
use crate::config::store::StoreError;
use crate::config::store::StoredHead;
use crate::platform::PlatformClient;
use crate::platform::backoff::BackoffState;
use crate::platform::retry::RetryClient;

/// Maximum number of versions that are read to name the fields of a conflict.
pub const MAX_CONFLICT_VERSIONS: u64 = 64;

/// Settings of a submission, chosen by the caller of [`submit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitSettings {
    /// Time after which no call to the platform is repeated; a call in progress may end
    /// later.
    pub timeout: Duration,
}

impl Default for SubmitSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(15),
        }
    }
}

/// Why a patch was not accepted, or that its outcome is unknown.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SubmitError {
    /// The head or the history could not be read or written, or the platform is behind
    /// the version in force; the patch is not accepted.
    #[snafu(display("not accepted: {source}"))]
    Store {
        /// Cause.
        source: StoreError,
    },
    /// The submission breaks the limits of [`crate::config::patch`].
    #[snafu(display("step=check {source}"))]
    Request {
        /// Cause.
        source: RequestError,
    },
    /// The patched document is not a valid configuration.
    #[snafu(display("step=validate {source}"))]
    Invalid {
        /// What is wrong with it.
        source: DocumentError,
    },
    /// The patch was made against a version other than the current one.
    #[snafu(display("{}", describe_conflict(*base, *current, fields.as_deref())))]
    Conflict {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
        /// Fields that both this patch and the versions since its base change; `None`
        /// if there are more than [`MAX_CONFLICT_VERSIONS`] such versions, or the log
        /// does not contain them.
        fields: Option<Vec<String>>,
    },
    /// Another accepted patch has the same identifier.
    #[snafu(display("step=submit version={version}: patch_id={patch_id} is another patch's"))]
    ReusedPatchId {
        /// Identifier of both patches.
        patch_id: String,
        /// Version that the other patch yielded.
        version: ConfigVersion,
    },
    /// The write was sent, but it is unknown whether it took effect.
    #[snafu(display(
        "not known whether accepted: patch_id={patch_id}; submit it again with the same \
         patch_id and base, it is accepted once at most ({source})"
    ))]
    Unknown {
        /// Identifier of the patch.
        patch_id: String,
        /// Last error.
        source: StoreError,
    },
}

fn describe_conflict(base: u64, current: u64, fields: Option<&[String]>) -> String {
    let fields = match fields {
        None => "not known".to_owned(),
        Some([]) => "none".to_owned(),
        Some(fields) => fields.join(","),
    };
    format!("step=submit base={base} current={current} fields_in_conflict={fields}")
}

/// Submits a patch and returns the version that it yields.
///
/// `now_ms` is the time to record, in milliseconds since the Unix epoch. Submitting is
/// idempotent: a repeated submission of the same patch, with the same identifier and
/// base, returns the version that the first one got.
///
/// # Errors
///
/// Fails if the patch is not accepted, or if its outcome is unknown.
pub async fn submit(
    client: &PlatformClient,
    in_force: &VersionedConfig,
    request: &PatchRequest,
    settings: SubmitSettings,
    now_ms: u64,
) -> Result<ConfigVersion, SubmitError> {
    request.check().context(RequestSnafu)?;
    let deadline = Instant::now() + settings.timeout;
    let client = RetryClient { client, deadline };
    let mut base_config = in_force.clone();
    let mut backoff = BackoffState::default();
    // Whether a write that was sent may have taken effect.
    let mut maybe_written = false;
    loop {
        let stored = match store::read_head(client).await {
            Ok(stored) => stored,
            Err(error) => return Err(store_failure(request, maybe_written, error)),
        };
        let version = stored.as_ref().map_or(0, |stored| stored.head.version);
        let in_force = in_force.version;
        if version < in_force {
            let error = StoreError::Behind { version, in_force };
            return Err(store_failure(request, maybe_written, error));
        }
        if version != request.base {
            return resolve_base_mismatch(client, request, stored.as_ref(), maybe_written).await;
        }
        let prepared =
            prepare_head(client, &mut base_config, request, stored.as_ref(), now_ms).await;
        let value = match prepared {
            Ok(value) => value,
            Err(SubmitError::Store { source }) => {
                return Err(store_failure(request, maybe_written, source));
            }
            Err(error) => return Err(error),
        };
        let revision = stored.map_or(0, |stored| stored.revision);
        let written = client.client.compare_and_swap(HEAD_KEY, revision, value);
        match written.await {
            Ok(true) => return Ok(request.base + 1),
            // The head has advanced; the next iteration finds out by whose patch.
            Ok(false) => {}
            Err(error) => {
                maybe_written |= !error.is_permanent();
                let waited = client.wait_to_retry(error, &mut backoff).await;
                let waited = waited.context(StorePlatformSnafu);
                waited.map_err(|error| store_failure(request, maybe_written, error))?;
            }
        }
    }
}

/// Returns the error of a submission that ends because of `source`.
fn store_failure(request: &PatchRequest, maybe_written: bool, source: StoreError) -> SubmitError {
    if maybe_written {
        let patch_id = request.patch_id.clone();
        SubmitError::Unknown { patch_id, source }
    } else {
        SubmitError::Store { source }
    }
}

/// Returns the result of a patch whose base is not the current version: accepted if
/// a version since the base carries its identifier, a conflict otherwise.
async fn resolve_base_mismatch(
    client: RetryClient<'_>,
    request: &PatchRequest,
    stored: Option<&StoredHead>,
    maybe_written: bool,
) -> Result<ConfigVersion, SubmitError> {
    let conflict = |current, fields| SubmitError::Conflict {
        base: request.base,
        current,
        fields,
    };
    let Some(head) = stored.map(|stored| &stored.head) else {
        return Err(conflict(0, None));
    };
    let first = request.base.saturating_add(1);
    if head.version < first || !store::is_in_log(head, first) {
        return Err(conflict(head.version, None));
    }
    let mut fields = Vec::new();
    let last = head.version.min(request.base + MAX_CONFLICT_VERSIONS);
    for version in first..=last {
        let entry = match store::read_accepted_patch(client, head, version).await {
            Ok(entry) => entry,
            Err(error) => return Err(store_failure(request, maybe_written, error)),
        };
        if entry.patch_id == request.patch_id {
            return repeated_result(request, &entry);
        }
        fields.extend(common_fields(&request.patch, &entry.patch));
    }
    fields.sort();
    fields.dedup();
    let complete = last == head.version;
    Err(conflict(head.version, complete.then_some(fields)))
}

/// Returns the version of an accepted patch with the request's identifier, or fails if
/// that is another patch.
fn repeated_result(request: &PatchRequest, entry: &HeadWire) -> Result<ConfigVersion, SubmitError> {
    let version = entry.version;
    let same = entry.patch == request.patch && version == request.base + 1;
    let patch_id = &request.patch_id;
    ensure!(same, ReusedPatchIdSnafu { patch_id, version });
    Ok(version)
}

/// Validates the patch, writes the history of the current head and returns the value of
/// the new head. Updates `base_config` to the current head.
async fn prepare_head(
    client: RetryClient<'_>,
    base_config: &mut VersionedConfig,
    request: &PatchRequest,
    stored: Option<&StoredHead>,
    now_ms: u64,
) -> Result<Vec<u8>, SubmitError> {
    let head = stored.map(|stored| &stored.head);
    match head {
        Some(head) => {
            *base_config = store::catch_up(client, base_config, head)
                .await
                .context(StoreSnafu)?
        }
        None => *base_config = VersionedConfig::default(),
    }
    let next = base_config.patched(&request.patch).context(InvalidSnafu)?;
    let snapshot = match head {
        Some(head) => write_history(client, base_config, head)
            .await
            .context(StoreSnafu)?,
        None => 0,
    };
    let mut version = VersionWire {
        version: next.version,
        patch_id: request.patch_id.clone(),
        author: request.author.clone(),
        reason: request.reason.clone(),
        time_ms: head.map_or(now_ms, |head| now_ms.max(head.time_ms)),
        digest: next.digest(),
        chain: String::new(),
        terms: changed_terms(base_config, &next),
    };
    version.chain = version.chain_digest(head.map_or("", |head| &head.chain));
    let head = HeadWire {
        version: version.version,
        patch: request.patch.clone(),
        patch_id: version.patch_id,
        author: version.author,
        reason: version.reason,
        time_ms: version.time_ms,
        digest: version.digest,
        chain: version.chain,
        terms: version.terms,
        snapshot,
    };
    encode(HEAD_KEY, &head).context(StoreSnafu)
}

fn changed_terms(current: &VersionedConfig, next: &VersionedConfig) -> Option<TermsWire> {
    let terms = TermsWire::from(&next.config);
    let changed = current.version == 0 || terms != TermsWire::from(&current.config);
    changed.then_some(terms)
}

/// Copies the head to the log, and writes an archive and a snapshot if they are due.
/// Returns the version of the latest snapshot.
async fn write_history(
    client: RetryClient<'_>,
    current: &VersionedConfig,
    head: &HeadWire,
) -> Result<ConfigVersion, StoreError> {
    let version = head.version;
    put(client, &log_key(version), version, head).await?;
    if version < head.snapshot + SNAPSHOT_EVERY {
        return Ok(head.snapshot);
    }
    let mut versions = Vec::new();
    for past in head.snapshot + 1..=version {
        let entry = store::read_accepted_patch(client, head, past).await?;
        versions.push(VersionWire::from(&entry));
    }
    let terms = TermsWire::from(&current.config);
    let archive = ArchiveWire {
        version,
        terms,
        versions,
    };
    put(client, &archive_key(version), version, &archive).await?;
    let snapshot = SnapshotWire {
        version,
        document: current.document.clone(),
    };
    put(client, &snapshot_key(version), version, &snapshot).await?;
    Ok(version)
}

async fn put<T: Serialize>(
    client: RetryClient<'_>,
    key: &str,
    version: ConfigVersion,
    value: &T,
) -> Result<(), StoreError> {
    let value = encode(key, value)?;
    let written = client.put_newer(key, version, &value).await;
    written.context(StorePlatformSnafu)
}

fn encode<T: Serialize>(key: &str, value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).context(StoreDecodeSnafu { key })
}
