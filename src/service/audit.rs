//! Moves audit rows from the outbox of a fleet record to segments.
//!
//! Row `n` of a data centre stands in segment `(n - 1) / SEGMENT_ROWS`, so a
//! repeated move finds its rows there and changes nothing. Only rows of a record
//! that was read from the platform are moved; they are trimmed from the outbox
//! by a later write of the record, once they stand in a segment.

use snafu::ResultExt;
use snafu::Snafu;

use crate::audit::AuditRow;
use crate::fleet::wire::AuditWire;
use crate::names::DcName;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Rows of one segment; far below the largest value of the platform's service.
pub const SEGMENT_ROWS: u64 = 512;

/// Rows that could not be moved; they stay in the outbox.
#[derive(Debug)]
#[derive(Snafu)]
pub enum AuditError {
    /// The platform gave no usable answer.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: PlatformError,
    },
    /// A segment is not a list of rows.
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

/// Returns the key of the segment that holds a row.
#[must_use]
pub fn segment_key(dc: &DcName, sequence: u64) -> String {
    let segment = sequence.saturating_sub(1) / SEGMENT_ROWS;
    format!("audit/{dc}/{segment:08}")
}

/// Moves rows, oldest first, and returns the sequence of the last one.
///
/// # Errors
///
/// Fails if a segment cannot be read or written; to repeat the move is harmless.
pub async fn move_rows(
    client: &PlatformClient,
    dc: &DcName,
    rows: &[AuditRow],
) -> Result<u64, AuditError> {
    let mut moved = 0;
    let mut rest = rows;
    while let Some(first) = rest.first() {
        let key = segment_key(dc, first.sequence);
        let same = |row: &&AuditRow| segment_key(dc, row.sequence) == key;
        let count = rest.iter().take_while(same).count();
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
