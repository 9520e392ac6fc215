//! Audit rows: what changed, who changed it and why, the old and the new value.
//!
//! A row is written to the outbox of the changed record, in the same
//! compare-and-swap as the change, so that neither is stored without the other.
//! It is moved from the outbox to a segment later. Each row holds a digest over
//! itself and the digest of the row before it, so that a missing or altered row
//! is detected.

use std::collections::VecDeque;

use sha2::Digest;
use sha2::Sha256;

/// Max rows in an outbox; further changes wait until rows have been moved to a segment.
pub const MAX_OUTBOX_ROWS: usize = 256;

/// Audit row of one change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditRow {
    /// Position in the chain of its record, starting at 1.
    pub sequence: u64,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Entry VM or operator that made the change.
    pub author: String,
    /// What was changed, for example `vm/vm-1` or `wave/w-1`.
    pub subject: String,
    /// Kind of change.
    pub action: String,
    /// Value before the change.
    pub from: String,
    /// Value after the change.
    pub to: String,
    /// Reason for the change.
    pub reason: String,
    /// SHA-256 digest over this row and the digest of the previous row, in hexadecimal.
    pub digest: String,
}

/// Rows not yet moved to a segment, and the sequence and digest of the last row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditOutbox {
    /// Sequence of the last row that was appended; 0 if there is none.
    pub last_sequence: u64,
    /// Digest of the last row that was appended; empty if there is none.
    pub last_digest: String,
    /// Rows that are not yet moved, oldest first.
    pub rows: VecDeque<AuditRow>,
}

impl AuditOutbox {
    /// Tells whether the outbox has space for `count` more rows.
    #[must_use]
    pub fn has_space(&self, count: usize) -> bool {
        self.rows.len() + count <= MAX_OUTBOX_ROWS
    }

    /// Appends a row and sets its sequence and digest.
    pub fn append(&mut self, row: AuditRow) {
        let sequence = self.last_sequence + 1;
        let row = AuditRow { sequence, ..row };
        let digest = chain_digest(&self.last_digest, &row);
        self.last_sequence = sequence;
        self.last_digest.clone_from(&digest);
        self.rows.push_back(AuditRow { digest, ..row });
    }
}

/// Computes the digest of a row whose predecessor has the digest `previous`.
///
/// Each field is hashed with its length, so that text cannot move between fields.
#[must_use]
pub fn chain_digest(previous: &str, row: &AuditRow) -> String {
    let mut hasher = Sha256::new();
    let numbers = [row.sequence.to_string(), row.time_ms.to_string()];
    let texts = [
        previous,
        &numbers[0],
        &numbers[1],
        &row.author,
        &row.subject,
        &row.action,
        &row.from,
        &row.to,
        &row.reason,
    ];
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text.as_bytes());
    }
    let digest = hasher.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Finds the first row that does not continue the chain that ends at `previous`: its
/// sequence has a gap or its digest is wrong.
#[must_use]
pub fn find_chain_break<'a>(previous: &AuditRow, rows: &'a [AuditRow]) -> Option<&'a AuditRow> {
    let mut digest = &previous.digest;
    let mut sequence = previous.sequence;
    for row in rows {
        if row.sequence != sequence + 1 || row.digest != chain_digest(digest, row) {
            return Some(row);
        }
        digest = &row.digest;
        sequence = row.sequence;
    }
    None
}
