//! Moves audit rows from the outbox of a fleet record to segments.
//!
//! Row `n` of a data centre belongs to segment `(n - 1) / SEGMENT_ROWS`, so the
//! move is idempotent: a repeated move finds its rows in the segment and changes
//! nothing. Only rows of a record that was read from the platform are moved. Once
//! they are stored in a segment, a later write of the record removes them from the
//! outbox.

use snafu::ResultExt;
use snafu::Snafu;

use crate::audit::AuditRow;
use crate::fleet::wire::AuditWire;
use crate::names::DcName;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Rows per segment; this keeps a segment far below the max size of a value in the
/// platform's key-value service.
pub const SEGMENT_ROWS: u64 = 512;

/// A failed move of rows; the rows stay in the outbox.
#[derive(Debug)]
#[derive(Snafu)]
pub enum AuditError {
    /// The call to the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// A segment is not a JSON list of audit rows.
    #[snafu(display("step=decode key={key}: {source}"))]
    Decode {
        /// Key of the segment.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Another controller wrote the segment first.
    #[snafu(display("step=write key={key}: another controller wrote the segment first"))]
    Conflict {
        /// Key of the segment.
        key: String,
    },
}

/// Returns the platform key of the segment for the row with this sequence.
#[must_use]
pub fn segment_key(dc: &DcName, sequence: u64) -> String {
    let segment = sequence.saturating_sub(1) / SEGMENT_ROWS;
    format!("audit/{dc}/{segment:08}")
}

/// Moves rows, given oldest first, and returns the sequence of the last one; 0 if
/// there are none.
///
/// # Errors
///
/// Fails if a segment cannot be read or written; the move may then be repeated.
pub async fn move_rows(
    client: &PlatformClient,
    dc: &DcName,
    rows: &[AuditRow],
) -> Result<u64, AuditError> {
    let mut moved = 0;
    let mut rest = rows;
    while let Some(first) = rest.first() {
        let key = segment_key(dc, first.sequence);
        let in_segment = |row: &&AuditRow| segment_key(dc, row.sequence) == key;
        let count = rest.iter().take_while(in_segment).count();
        let (part, later) = rest.split_at(count);
        append_rows(client, &key, part).await?;
        moved = part.last().map_or(moved, |row| row.sequence);
        rest = later;
    }
    Ok(moved)
}

async fn append_rows(
    client: &PlatformClient,
    key: &str,
    rows: &[AuditRow],
) -> Result<(), AuditError> {
    let stored = client.get(key).await.context(PlatformSnafu)?;
    let revision = stored.as_ref().map_or(0, |stored| stored.revision);
    let mut segment: Vec<AuditWire> = match &stored {
        Some(stored) => serde_json::from_slice(&stored.value).context(DecodeSnafu { key })?,
        None => Vec::new(),
    };
    let last = segment.last().map_or(0, |row| row.sequence);
    let new = rows.iter().filter(|row| row.sequence > last);
    let before = segment.len();
    segment.extend(new.map(AuditWire::from));
    if segment.len() == before {
        return Ok(());
    }
    let value = serde_json::to_vec(&segment).context(DecodeSnafu { key })?;
    let written = client.compare_and_swap(key, revision, value).await;
    snafu::ensure!(written.context(PlatformSnafu)?, ConflictSnafu { key });
    Ok(())
}
