//! Versions of the configuration: by whom, why, and when in force where.

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
    /// Number.
    pub version: u64,
    /// Operator.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// When it, or a later one, was in force at all entry VMs of a data centre;
    /// data centres without a time have no row of it.
    pub in_force_ms: BTreeMap<String, Option<u64>>,
}

/// A data centre that went back to an earlier version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionRevert {
    /// Data centre.
    pub dc: String,
    /// When, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Version before.
    pub from: u64,
    /// Version after.
    pub to: u64,
}

/// Lists the versions accepted in a span.
#[must_use]
pub fn find_versions(evidence: &ReportEvidence, span: ReportSpan) -> Vec<VersionFinding> {
    let versions = evidence.versions.iter();
    let versions = versions.filter(|version| span.holds(version.time_ms));
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
    let mut rows = rows.filter(|row| version_of(row).is_some_and(|other| other >= version));
    rows.next().map(|row| row.time_ms)
}

/// Finds the times at which a data centre went back to an earlier version.
#[must_use]
pub fn find_reverts(trails: &[AuditTrail], span: ReportSpan) -> Vec<VersionRevert> {
    let mut reverts = Vec::new();
    for trail in trails {
        let mut from = 0;
        for row in &trail.rows {
            let Some(to) = version_of(row) else { continue };
            if to < from && span.holds(row.time_ms) {
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

/// Returns the version that a row tells to be in force.
fn version_of(row: &AuditRow) -> Option<u64> {
    let version = row.subject.strip_prefix("config/")?;
    (row.action == "in_force").then_some(version.parse().ok()?)
}
