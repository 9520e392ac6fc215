//! Maintenance: the age of each VM's last one against the period.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::report::ReportEvidence;
use crate::report::ReportSpan;
use crate::report::vm_of;

/// A VM that was not maintained within the period.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LateMaintenance {
    /// VM.
    pub vm: String,
    /// Its maintenance before, in milliseconds since the Unix epoch.
    pub maintained_ms: u64,
    /// When the next one was due.
    pub due_ms: u64,
    /// When it came; none if it has not come within the span.
    pub done_ms: Option<u64>,
}

/// Maintenance of one VM; the time at which it joined counts as one.
#[derive(Default)]
struct VmHistory {
    maintained_ms: Vec<u64>,
    gone_ms: Option<u64>,
}

/// Finds the VMs that were late at a moment of the span.
#[must_use]
pub fn find_late(evidence: &ReportEvidence, span: ReportSpan) -> Vec<LateMaintenance> {
    let period_ms = period_s(evidence, span).saturating_mul(1000);
    let mut late = Vec::new();
    for (vm, history) in histories(evidence, span) {
        let end_ms = history.gone_ms.unwrap_or(span.to_ms);
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

/// Returns the period in force at the end of the span.
fn period_s(evidence: &ReportEvidence, span: ReportSpan) -> u64 {
    let versions = evidence.versions.iter();
    let versions = versions.filter(|version| version.time_ms < span.to_ms);
    let mut terms = versions.filter_map(|version| version.terms.as_ref());
    terms.next_back().unwrap_or(&evidence.terms).period_s
}

fn histories(evidence: &ReportEvidence, span: ReportSpan) -> BTreeMap<&str, VmHistory> {
    let mut histories: BTreeMap<&str, VmHistory> = BTreeMap::new();
    let rows = evidence.trails.iter().flat_map(|trail| &trail.rows);
    let mut rows: Vec<_> = rows.filter(|row| row.time_ms < span.to_ms).collect();
    rows.sort_by_key(|row| row.time_ms);
    for row in rows {
        let Some(vm) = vm_of(row) else { continue };
        let history = histories.entry(vm).or_default();
        match row.action.as_str() {
            "state" if row.from.is_empty() => {
                history.maintained_ms = vec![row.time_ms];
                history.gone_ms = None;
            }
            "state" if row.to.is_empty() => history.gone_ms = Some(row.time_ms),
            "maintained" => history.maintained_ms.extend(row.to.parse::<u64>()),
            _ => {}
        }
    }
    histories
}
