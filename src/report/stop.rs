//! Planned stops, moves and holds, and the requests in progress at each.

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::report::AuditTrail;
use crate::report::ReportSpan;
use crate::report::pair;
use crate::report::vm_of;

/// One planned stop, move or hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopFinding {
    /// Data centre.
    pub dc: String,
    /// VM.
    pub vm: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was done: `stopped`, `held`, or `pool` for a move.
    pub kind: String,
    /// Operation at the platform, if any.
    pub operation: Option<String>,
    /// Requests in progress; none if the record does not say, which counts as not held.
    pub in_progress: Option<u32>,
}

/// Finds the planned stops, moves and holds of a span.
#[must_use]
pub fn find_stops(trails: &[AuditTrail], span: ReportSpan) -> Vec<StopFinding> {
    let rows = trails
        .iter()
        .flat_map(|trail| trail.rows.iter().map(move |row| (trail, row)));
    let rows = rows.filter(|(_, row)| span.holds(row.time_ms));
    let stops = rows.filter_map(|(trail, row)| {
        Some(StopFinding {
            dc: trail.dc.clone(),
            vm: vm_of(row)?.to_owned(),
            time_ms: row.time_ms,
            kind: kind_of(row)?.to_owned(),
            operation: pair(row, "operation").map(str::to_owned),
            in_progress: pair(row, "in_progress").and_then(|count| count.parse().ok()),
        })
    });
    stops.collect()
}

fn kind_of(row: &AuditRow) -> Option<&str> {
    match (row.action.as_str(), row.to.as_str()) {
        ("state", kind @ ("stopped" | "held")) => Some(kind),
        ("pool", _) => Some("pool"),
        _ => None,
    }
}
