//! Submitting patches to the platform.
//!
//! The compare-and-swap of the head is the acceptance. When its answer is lost,
//! the head is read back: if it has moved, the patch identifier of the version
//! after the base tells whose patch that is; if it has not, the write is
//! repeated, for it may still be under way. Only when neither can be done in
//! time is the outcome reported as not known.

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

/// Most versions that are read to name the fields of a conflict.
pub const MAX_CONFLICT_VERSIONS: u64 = 64;

/// Bounds of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitSettings {
    /// Time in which a submission ends.
    pub limit: Duration,
}

impl Default for SubmitSettings {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(15),
        }
    }
}

/// A patch that was not accepted, or of which that is not known.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SubmitError {
    /// The platform or its history could not be read; the patch is not accepted.
    #[snafu(display("not accepted: {source}"))]
    Store {
        /// Cause.
        source: StoreError,
    },
    /// The submission breaks its bounds.
    #[snafu(display("step=check {source}"))]
    Request {
        /// Cause.
        source: RequestError,
    },
    /// The document would not be a valid configuration.
    #[snafu(display("step=validate {source}"))]
    Invalid {
        /// Faults.
        source: DocumentError,
    },
    /// The patch was made against another version.
    #[snafu(display("{}", describe_conflict(*base, *current, fields.as_deref())))]
    Conflict {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
        /// Fields that this patch and the versions since its base both touch;
        /// none if those are too many to tell or no longer kept.
        fields: Option<Vec<String>>,
    },
    /// Another patch had the same identifier.
    #[snafu(display("step=submit version={version}: patch_id={patch_id} is another patch's"))]
    Reused {
        /// Identifier.
        patch_id: String,
        /// Version that the other patch yielded.
        version: ConfigVersion,
    },
    /// The write was sent and it could not be found out whether it took effect.
    #[snafu(display(
        "not known whether accepted: patch_id={patch_id}; submit it again with the same \
         patch_id and base, it is accepted once at most ({source})"
    ))]
    Unknown {
        /// Identifier.
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
/// A second submission of the same patch identifier is answered with the version
/// that the first one got.
///
/// # Errors
///
/// Fails if the patch is not accepted, or if it is not known whether it is.
pub async fn submit(
    client: &PlatformClient,
    in_force: &VersionedConfig,
    request: &PatchRequest,
    settings: SubmitSettings,
    now_ms: u64,
) -> Result<ConfigVersion, SubmitError> {
    request.check().context(RequestSnafu)?;
    let deadline = Instant::now() + settings.limit;
    let client = RetryClient { client, deadline };
    let mut known = in_force.clone();
    let mut backoff = BackoffState::default();
    let mut sent = false;
    loop {
        let stored = match store::read_head(client).await {
            Ok(stored) => stored,
            Err(error) => return Err(give_up(request, sent, error)),
        };
        let version = stored.as_ref().map_or(0, |stored| stored.head.version);
        let in_force = in_force.version;
        if version < in_force {
            let error = StoreError::Behind { version, in_force };
            return Err(give_up(request, sent, error));
        }
        if version != request.base {
            return decide(client, request, stored.as_ref(), sent).await;
        }
        let prepared = prepare(client, &mut known, request, stored.as_ref(), now_ms).await;
        let value = match prepared {
            Ok(value) => value,
            Err(SubmitError::Store { source }) => return Err(give_up(request, sent, source)),
            Err(error) => return Err(error),
        };
        let revision = stored.map_or(0, |stored| stored.revision);
        let written = client.client.compare_and_swap(HEAD_KEY, revision, value);
        match written.await {
            Ok(true) => return Ok(request.base + 1),
            // The head has moved; the next round finds out by whose patch.
            Ok(false) => {}
            Err(error) => {
                sent |= !error.is_permanent();
                let waited = client.wait_to_retry(error, &mut backoff).await;
                let waited = waited.context(StorePlatformSnafu);
                waited.map_err(|error| give_up(request, sent, error))?;
            }
        }
    }
}

fn give_up(request: &PatchRequest, sent: bool, source: StoreError) -> SubmitError {
    if sent {
        let patch_id = request.patch_id.clone();
        SubmitError::Unknown { patch_id, source }
    } else {
        SubmitError::Store { source }
    }
}

/// Decides on a patch whose base is not the current version.
async fn decide(
    client: RetryClient<'_>,
    request: &PatchRequest,
    stored: Option<&StoredHead>,
    sent: bool,
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
        let entry = match store::read_accepted(client, head, version).await {
            Ok(entry) => entry,
            Err(error) => return Err(give_up(request, sent, error)),
        };
        if entry.patch_id == request.patch_id {
            return answer_again(request, &entry);
        }
        fields.extend(common_fields(&request.patch, &entry.patch));
    }
    fields.sort();
    fields.dedup();
    let whole = last == head.version;
    Err(conflict(head.version, whole.then_some(fields)))
}

fn answer_again(request: &PatchRequest, entry: &HeadWire) -> Result<ConfigVersion, SubmitError> {
    let version = entry.version;
    let same = entry.patch == request.patch && version == request.base + 1;
    let patch_id = &request.patch_id;
    ensure!(same, ReusedSnafu { patch_id, version });
    Ok(version)
}

/// Validates the patch, keeps the history and returns the value of the new head.
async fn prepare(
    client: RetryClient<'_>,
    known: &mut VersionedConfig,
    request: &PatchRequest,
    stored: Option<&StoredHead>,
    now_ms: u64,
) -> Result<Vec<u8>, SubmitError> {
    let head = stored.map(|stored| &stored.head);
    match head {
        Some(head) => {
            *known = store::follow(client, known, head)
                .await
                .context(StoreSnafu)?
        }
        None => *known = VersionedConfig::default(),
    }
    let next = known.patched(&request.patch).context(InvalidSnafu)?;
    let snapshot = match head {
        Some(head) => keep_history(client, known, head)
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
        terms: changed_terms(known, &next),
    };
    version.chain = version.chained(head.map_or("", |head| &head.chain));
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

fn changed_terms(known: &VersionedConfig, next: &VersionedConfig) -> Option<TermsWire> {
    let terms = TermsWire::from(&next.config);
    let changed = known.version == 0 || terms != TermsWire::from(&known.config);
    changed.then_some(terms)
}

/// Copies the head to the log and keeps snapshot and archive when they are due;
/// returns the version of the latest snapshot.
async fn keep_history(
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
        let entry = store::read_accepted(client, head, past).await?;
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
