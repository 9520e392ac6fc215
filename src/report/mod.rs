//! The report for the insurer: whether each condition held over a span of time. The
//! conditions concern budgets, planned stops, maintenance, configuration versions and the
//! integrity of the record; each is a method of [`FleetReport`].
//!
//! The report is a pure function of the record, which is the accepted versions of the
//! configuration and the audit rows of all data centres. A condition that the record
//! does not prove counts as violated.

pub mod budget;
pub mod chain;
pub mod maintenance;
pub mod rollout;
pub mod stop;
pub mod wire;

use crate::audit::AuditRow;
use crate::config::head::TermsWire;
use crate::config::head::VersionWire;

use budget::BudgetBreach;
use chain::ChainFinding;
use maintenance::LateMaintenance;
use rollout::VersionFinding;
use rollout::VersionRevert;
use stop::StopFinding;

/// Span of a report, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSpan {
    /// Start, inclusive.
    pub from_ms: u64,
    /// End, exclusive.
    pub to_ms: u64,
}

impl ReportSpan {
    /// Tells whether a time is within the span.
    #[must_use]
    pub fn contains(&self, time_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&time_ms)
    }
}

/// Audit rows of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditTrail {
    /// Name of the data centre.
    pub dc: String,
    /// Rows, oldest first.
    pub rows: Vec<AuditRow>,
}

/// The part of the record that a report is built from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportEvidence {
    /// Terms in force before the first of `versions`.
    pub terms: TermsWire,
    /// Chain digest of the version before the first of `versions`; empty if that is
    /// version 1.
    pub chain: String,
    /// Consecutive accepted versions, oldest first.
    pub versions: Vec<VersionWire>,
    /// Audit rows by data centre, from the first row on.
    pub trails: Vec<AuditTrail>,
}

/// Findings of a report; its methods derive from them whether each condition held.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetReport {
    /// Span that the report covers.
    pub span: ReportSpan,
    /// Periods in which a pool was over its budget.
    pub breaches: Vec<BudgetBreach>,
    /// All planned stops, moves and holds.
    pub stops: Vec<StopFinding>,
    /// VMs that were not maintained within the maintenance period.
    pub late: Vec<LateMaintenance>,
    /// Accepted versions of the configuration.
    pub versions: Vec<VersionFinding>,
    /// Times at which a data centre went back to an earlier version.
    pub reverts: Vec<VersionRevert>,
    /// Results of checking the chains of digests.
    pub chains: Vec<ChainFinding>,
}

/// Builds the report of a span.
#[must_use]
pub fn build(evidence: &ReportEvidence, span: ReportSpan) -> FleetReport {
    FleetReport {
        span,
        breaches: budget::find_breaches(evidence, span),
        stops: stop::find_stops(&evidence.trails, span),
        late: maintenance::find_late(evidence, span),
        versions: rollout::find_versions(evidence, span),
        reverts: rollout::find_reverts(&evidence.trails, span),
        chains: chain::check_chains(evidence),
    }
}

impl FleetReport {
    /// Tells whether every pool stayed within its budget.
    #[must_use]
    pub fn budgets_held(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Tells whether the record shows for every planned stop, move and hold that no
    /// request was in progress.
    #[must_use]
    pub fn stops_held(&self) -> bool {
        self.stops.iter().all(|stop| stop.in_progress == Some(0))
    }

    /// Tells whether every VM was maintained within the maintenance period.
    #[must_use]
    pub fn maintenance_held(&self) -> bool {
        self.late.is_empty()
    }

    /// Tells whether no data centre went back to an earlier version.
    #[must_use]
    pub fn versions_held(&self) -> bool {
        self.reverts.is_empty()
    }

    /// Tells whether no row or version of the record is missing or altered.
    #[must_use]
    pub fn record_intact(&self) -> bool {
        self.chains.iter().all(|chain| chain.broken_at.is_none())
    }

    /// Tells whether all conditions held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.budgets_held()
            && self.stops_held()
            && self.maintenance_held()
            && self.versions_held()
            && self.record_intact()
    }
}

/// Returns the value of `key` among the `key=value` pairs of a row's reason.
#[must_use]
pub fn reason_value<'a>(row: &'a AuditRow, key: &str) -> Option<&'a str> {
    let mut pairs = row.reason.split(' ');
    pairs.find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the VM that a row is about; `None` if it is not about a VM.
fn row_vm(row: &AuditRow) -> Option<&str> {
    row.subject.strip_prefix("vm/")
}
