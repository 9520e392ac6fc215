//! Reads the evidence for a report from the platform: audit rows and configuration
//! versions.

use std::collections::BTreeMap;

use snafu::ResultExt;
use snafu::Snafu;

use crate::audit::AuditRow;
use crate::config::store;
use crate::config::store::StoreError;
use crate::fleet::wire::AuditWire;
use crate::fleet::wire::OutboxWire;
use crate::platform::KeyValue;
use crate::platform::PlatformError;
use crate::platform::retry::RetryClient;
use crate::report::AuditTrail;
use crate::report::ReportEvidence;
use crate::report::ReportSpan;

/// Key prefix of the segments of audit rows.
const AUDIT_PREFIX: &str = "audit/";
/// Key prefix of the fleet records, whose outboxes hold the latest rows.
const FLEET_PREFIX: &str = "fleet/";

/// Evidence that could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EvidenceError {
    /// The call to the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// The configuration versions could not be read.
    #[snafu(display("{source}"))]
    Versions {
        /// Cause.
        source: StoreError,
    },
    /// A value is not the expected JSON.
    #[snafu(display("step=decode key={key}: {source}"))]
    Decode {
        /// Key of the value.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
}

/// The part of a fleet record that holds audit rows.
#[derive(serde::Deserialize)]
struct RecordWire {
    #[serde(default)]
    outbox: OutboxWire,
}

/// Reads the evidence for a report of `span`.
///
/// # Errors
///
/// Fails if the calls to the platform fail until the client's deadline or a stored
/// value cannot be decoded.
pub async fn read(
    client: RetryClient<'_>,
    span: ReportSpan,
) -> Result<ReportEvidence, EvidenceError> {
    let history = store::read_history(client, span.from_ms).await;
    let history = history.context(VersionsSnafu)?;
    Ok(ReportEvidence {
        terms: history.terms.unwrap_or_default(),
        chain: history.chain,
        versions: history.versions,
        trails: read_trails(client).await?,
    })
}

/// Reads the audit rows of all data centres, each trail sorted by sequence.
///
/// # Errors
///
/// Fails as [`read`] does.
pub async fn read_trails(client: RetryClient<'_>) -> Result<Vec<AuditTrail>, EvidenceError> {
    // Records are read first: a row that is moved to a segment between the two reads is
    // then read twice rather than missed.
    let records = client.list(FLEET_PREFIX).await.context(PlatformSnafu)?;
    let segments = client.list(AUDIT_PREFIX).await.context(PlatformSnafu)?;
    let mut trails: BTreeMap<String, Vec<AuditRow>> = BTreeMap::new();
    for value in &records {
        let Some(dc) = value.key.strip_prefix(FLEET_PREFIX) else {
            continue;
        };
        let record: RecordWire = decode(value)?;
        let rows = record.outbox.rows.into_iter().map(AuditRow::from);
        trails.entry(dc.to_owned()).or_default().extend(rows);
    }
    for value in &segments {
        let Some((dc, _)) = value
            .key
            .strip_prefix(AUDIT_PREFIX)
            .and_then(|rest| rest.split_once('/'))
        else {
            continue;
        };
        let rows: Vec<AuditWire> = decode(value)?;
        let rows = rows.into_iter().map(AuditRow::from);
        trails.entry(dc.to_owned()).or_default().extend(rows);
    }
    let trails = trails.into_iter().map(|(dc, mut rows)| {
        rows.sort_by_key(|row| row.sequence);
        // Removes copies of a row that was read twice. Different rows with the same
        // sequence stay, and the check of the chain reports them.
        rows.dedup();
        AuditTrail { dc, rows }
    });
    Ok(trails.collect())
}

fn decode<T: serde::de::DeserializeOwned>(value: &KeyValue) -> Result<T, EvidenceError> {
    serde_json::from_slice(&value.value).context(DecodeSnafu { key: &value.key })
}
