//! Lists the planned stops, moves and holds, with the requests in progress at each.

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::report::AuditTrail;
use crate::report::ReportSpan;
use crate::report::reason_value;
use crate::report::row_vm;

/// One planned stop, move or hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopFinding {
    /// Name of the data centre.
    pub dc: String,
    /// Name of the VM.
    pub vm: String,
    /// When it took place, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was done: `stopped`, `held`, or `pool` for a move.
    pub kind: String,
    /// Operation at the platform, if the row names one.
    pub operation: Option<String>,
    /// Number of requests in progress; `None` if the row does not state it, which counts
    /// as a violation.
    pub in_progress: Option<u32>,
}

/// Finds the planned stops, moves and holds of a span.
#[must_use]
pub fn find_stops(trails: &[AuditTrail], span: ReportSpan) -> Vec<StopFinding> {
    let rows = trails
        .iter()
        .flat_map(|trail| trail.rows.iter().map(move |row| (trail, row)));
    let rows = rows.filter(|(_, row)| span.contains(row.time_ms));
    let stops = rows.filter_map(|(trail, row)| {
        Some(StopFinding {
            dc: trail.dc.clone(),
            vm: row_vm(row)?.to_owned(),
            time_ms: row.time_ms,
            kind: stop_kind(row)?.to_owned(),
            operation: reason_value(row, "operation").map(str::to_owned),
            in_progress: reason_value(row, "in_progress").and_then(|count| count.parse().ok()),
        })
    });
    stops.collect()
}

/// Returns what a row records as done; `None` for other rows.
fn stop_kind(row: &AuditRow) -> Option<&str> {
    match (row.action.as_str(), row.to.as_str()) {
        ("state", kind @ ("stopped" | "held")) => Some(kind),
        ("pool", _) => Some("pool"),
        _ => None,
    }
}
