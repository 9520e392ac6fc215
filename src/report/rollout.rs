//! Lists the versions of the configuration: who submitted each, why, and when it was in
//! force in each data centre.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::report::AuditTrail;
use crate::report::ReportEvidence;
use crate::report::ReportSpan;

/// One accepted version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionFinding {
    /// Version number.
    pub version: u64,
    /// Operator who submitted the patch.
    pub author: String,
    /// Reason that the operator gave.
    pub reason: String,
    /// When the version was accepted, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// When this or a later version was in force at all entry VMs of a data centre, in
    /// milliseconds since the Unix epoch, by data centre; `None` if no audit row shows
    /// it.
    pub in_force_ms: BTreeMap<String, Option<u64>>,
}

/// A data centre that went back to an earlier version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionRevert {
    /// Name of the data centre.
    pub dc: String,
    /// When it went back, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Version in force before.
    pub from: u64,
    /// Version in force after.
    pub to: u64,
}

/// Lists the versions accepted in a span.
#[must_use]
pub fn find_versions(evidence: &ReportEvidence, span: ReportSpan) -> Vec<VersionFinding> {
    let versions = evidence.versions.iter();
    let versions = versions.filter(|version| span.contains(version.time_ms));
    let findings = versions.map(|version| VersionFinding {
        version: version.version,
        author: version.author.clone(),
        reason: version.reason.clone(),
        time_ms: version.time_ms,
        in_force_ms: evidence
            .trails
            .iter()
            .map(|trail| (trail.dc.clone(), in_force_ms(trail, version.version)))
            .collect(),
    });
    findings.collect()
}

fn in_force_ms(trail: &AuditTrail, version: u64) -> Option<u64> {
    let rows = trail.rows.iter();
    let mut rows = rows.filter(|row| row_version(row).is_some_and(|other| other >= version));
    rows.next().map(|row| row.time_ms)
}

/// Finds the times at which a data centre went back to an earlier version.
#[must_use]
pub fn find_reverts(trails: &[AuditTrail], span: ReportSpan) -> Vec<VersionRevert> {
    let mut reverts = Vec::new();
    for trail in trails {
        let mut from = 0;
        for row in &trail.rows {
            let Some(to) = row_version(row) else { continue };
            if to < from && span.contains(row.time_ms) {
                reverts.push(VersionRevert {
                    dc: trail.dc.clone(),
                    time_ms: row.time_ms,
                    from,
                    to,
                });
            }
            from = to;
        }
    }
    reverts
}

/// Returns the version that a row records as in force; `None` for other rows.
fn row_version(row: &AuditRow) -> Option<u64> {
    let version = row.subject.strip_prefix("config/")?;
    (row.action == "in_force").then_some(version.parse().ok()?)
}
