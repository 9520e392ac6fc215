//! Finds the VMs whose maintenance was overdue.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::report::ReportEvidence;
use crate::report::ReportSpan;
use crate::report::row_vm;

/// A VM that was not maintained within the maintenance period.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LateMaintenance {
    /// Name of the VM.
    pub vm: String,
    /// When its previous maintenance ended, or when the VM was added, in milliseconds
    /// since the Unix epoch.
    pub maintained_ms: u64,
    /// When the next maintenance was due, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// When the next maintenance ended, in milliseconds since the Unix epoch; `None` if
    /// it did not end before the end of the span.
    pub done_ms: Option<u64>,
}

/// Maintenance of one VM. The time at which the VM was added counts as a maintenance.
#[derive(Default)]
struct VmHistory {
    maintained_ms: Vec<u64>,
    removed_ms: Option<u64>,
}

/// Finds the VMs whose maintenance was overdue at some time in the span.
#[must_use]
pub fn find_late(evidence: &ReportEvidence, span: ReportSpan) -> Vec<LateMaintenance> {
    let period_ms = period_s(evidence, span).saturating_mul(1000);
    let mut late = Vec::new();
    for (vm, history) in histories(evidence, span) {
        let end_ms = history.removed_ms.unwrap_or(span.to_ms);
        for (index, maintained_ms) in history.maintained_ms.iter().enumerate() {
            let done_ms = history.maintained_ms.get(index + 1).copied();
            let until_ms = done_ms.unwrap_or(end_ms);
            let due_ms = maintained_ms.saturating_add(period_ms);
            if until_ms > due_ms && until_ms > span.from_ms {
                late.push(LateMaintenance {
                    vm: vm.to_owned(),
                    maintained_ms: *maintained_ms,
                    due_ms,
                    done_ms,
                });
            }
        }
    }
    late
}

/// Returns the maintenance period in force at the end of the span, in seconds.
fn period_s(evidence: &ReportEvidence, span: ReportSpan) -> u64 {
    let versions = evidence.versions.iter();
    let versions = versions.filter(|version| version.time_ms < span.to_ms);
    let mut terms = versions.filter_map(|version| version.terms.as_ref());
    terms.next_back().unwrap_or(&evidence.terms).period_s
}

/// Returns the maintenance history of each VM up to the end of the span.
fn histories(evidence: &ReportEvidence, span: ReportSpan) -> BTreeMap<&str, VmHistory> {
    let mut histories: BTreeMap<&str, VmHistory> = BTreeMap::new();
    let rows = evidence.trails.iter().flat_map(|trail| &trail.rows);
    let mut rows: Vec<_> = rows.filter(|row| row.time_ms < span.to_ms).collect();
    rows.sort_by_key(|row| row.time_ms);
    for row in rows {
        let Some(vm) = row_vm(row) else { continue };
        let history = histories.entry(vm).or_default();
        match row.action.as_str() {
            "state" if row.from.is_empty() => {
                history.maintained_ms = vec![row.time_ms];
                history.removed_ms = None;
            }
            "state" if row.to.is_empty() => history.removed_ms = Some(row.time_ms),
            "maintained" => history.maintained_ms.extend(row.to.parse::<u64>()),
            _ => {}
        }
    }
    histories
}
