//! JSON forms of audit rows and outboxes.

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditOutbox;
use crate::audit::AuditRow;

/// JSON form of [`AuditOutbox`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct OutboxWire {
    pub last_sequence: u64,
    pub last_digest: String,
    pub rows: Vec<AuditWire>,
}

/// JSON form of [`AuditRow`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AuditWire {
    pub sequence: u64,
    pub time_ms: u64,
    pub author: String,
    pub subject: String,
    pub action: String,
    pub from: String,
    pub to: String,
    pub reason: String,
    pub digest: String,
}

impl From<&AuditOutbox> for OutboxWire {
    fn from(outbox: &AuditOutbox) -> Self {
        Self {
            last_sequence: outbox.last_sequence,
            last_digest: outbox.last_digest.clone(),
            rows: outbox.rows.iter().map(Into::into).collect(),
        }
    }
}

impl From<OutboxWire> for AuditOutbox {
    fn from(wire: OutboxWire) -> Self {
        Self {
            last_sequence: wire.last_sequence,
            last_digest: wire.last_digest,
            rows: wire.rows.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&AuditRow> for AuditWire {
    fn from(row: &AuditRow) -> Self {
        let row = row.clone();
        Self {
            sequence: row.sequence,
            time_ms: row.time_ms,
            author: row.author,
            subject: row.subject,
            action: row.action,
            from: row.from,
            to: row.to,
            reason: row.reason,
            digest: row.digest,
        }
    }
}

impl From<AuditWire> for AuditRow {
    fn from(wire: AuditWire) -> Self {
        Self {
            sequence: wire.sequence,
            time_ms: wire.time_ms,
            author: wire.author,
            subject: wire.subject,
            action: wire.action,
            from: wire.from,
            to: wire.to,
            reason: wire.reason,
            digest: wire.digest,
        }
    }
}
