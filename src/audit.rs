//! Audit rows: what changed, by whom, why, from what to what.
//!
//! A row is written in the same compare-and-swap as the change that it tells
//! of: it stands in the outbox of the changed record and is moved to a segment
//! afterwards, so that neither stands without the other. Rows are chained by
//! digest, so that a missing or altered one shows.

use std::collections::VecDeque;

use sha2::Digest;
use sha2::Sha256;

/// Most rows of an outbox; changes wait until rows are moved out.
pub const MAX_OUTBOX_ROWS: usize = 256;

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditRow {
    /// Place in the chain of its record, from 1.
    pub sequence: u64,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Entry VM or operator that made it.
    pub author: String,
    /// What was changed, as `vm/vm-1` or `wave/w-1`.
    pub subject: String,
    /// Kind of change.
    pub action: String,
    /// Value before.
    pub from: String,
    /// Value after.
    pub to: String,
    /// Why.
    pub reason: String,
    /// Digest over this row and the one before.
    pub digest: String,
}

/// Rows not yet moved to a segment, and the end of the chain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditOutbox {
    /// Sequence of the last row.
    pub last_sequence: u64,
    /// Digest of the last row.
    pub last_digest: String,
    /// Rows, oldest first.
    pub rows: VecDeque<AuditRow>,
}

impl AuditOutbox {
    /// Tells whether the outbox has room for `count` more rows.
    #[must_use]
    pub fn has_space(&self, count: usize) -> bool {
        self.rows.len() + count <= MAX_OUTBOX_ROWS
    }

    /// Appends a row; its sequence and digest are filled in.
    pub fn append(&mut self, row: AuditRow) {
        let sequence = self.last_sequence + 1;
        let row = AuditRow { sequence, ..row };
        let digest = chain_digest(&self.last_digest, &row);
        self.last_sequence = sequence;
        self.last_digest.clone_from(&digest);
        self.rows.push_back(AuditRow { digest, ..row });
    }
}

/// Computes the digest of a row that follows one with digest `previous`.
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

/// Finds the first row that breaks the chain after `previous`.
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
