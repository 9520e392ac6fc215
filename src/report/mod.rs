//! The report for the insurer: whether each condition held over a span of time.
//!
//! It is a function of the record alone: the accepted versions of the
//! configuration and the audit rows of all data centres. What the record does
//! not show counts as not held.

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
    /// Start.
    pub from_ms: u64,
    /// End; it is not part of the span.
    pub to_ms: u64,
}

impl ReportSpan {
    /// Tells whether a moment lies in the span.
    #[must_use]
    pub fn holds(&self, time_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&time_ms)
    }
}

/// Audit rows of one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditTrail {
    /// Data centre.
    pub dc: String,
    /// Rows, oldest first.
    pub rows: Vec<AuditRow>,
}

/// All that a report is made from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportEvidence {
    /// Terms in force before the first of the versions.
    pub terms: TermsWire,
    /// Chain of the version before the first; empty for version 1.
    pub chain: String,
    /// Versions, oldest first.
    pub versions: Vec<VersionWire>,
    /// Audit rows by data centre, from the beginning of the record.
    pub trails: Vec<AuditTrail>,
}

/// Whether each condition held.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetReport {
    /// What it covers.
    pub span: ReportSpan,
    /// Times at which a pool was over its budget.
    pub breaches: Vec<BudgetBreach>,
    /// All planned stops, moves and holds.
    pub stops: Vec<StopFinding>,
    /// VMs that were not maintained within the period.
    pub late: Vec<LateMaintenance>,
    /// Accepted versions of the configuration.
    pub versions: Vec<VersionFinding>,
    /// Times at which a data centre went back to an earlier version.
    pub reverts: Vec<VersionRevert>,
    /// Chains of digests.
    pub chains: Vec<ChainFinding>,
}

/// Makes the report of a span.
#[must_use]
pub fn make(evidence: &ReportEvidence, span: ReportSpan) -> FleetReport {
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
    /// Tells whether every pool was within its budget.
    #[must_use]
    pub fn budgets_held(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Tells whether no planned stop had a request in progress.
    #[must_use]
    pub fn stops_held(&self) -> bool {
        self.stops.iter().all(|stop| stop.in_progress == Some(0))
    }

    /// Tells whether every VM was maintained within the period.
    #[must_use]
    pub fn maintenance_held(&self) -> bool {
        self.late.is_empty()
    }

    /// Tells whether no data centre went back to an earlier version.
    #[must_use]
    pub fn versions_held(&self) -> bool {
        self.reverts.is_empty()
    }

    /// Tells whether the record is whole.
    #[must_use]
    pub fn record_whole(&self) -> bool {
        self.chains.iter().all(|chain| chain.broken_at.is_none())
    }

    /// Tells whether all conditions held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.budgets_held()
            && self.stops_held()
            && self.maintenance_held()
            && self.versions_held()
            && self.record_whole()
    }
}

/// Finds a value among the `key=value` pairs of a row's reason.
#[must_use]
pub fn pair<'a>(row: &'a AuditRow, key: &str) -> Option<&'a str> {
    let mut pairs = row.reason.split(' ');
    pairs.find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the VM that a row is about.
fn vm_of(row: &AuditRow) -> Option<&str> {
    row.subject.strip_prefix("vm/")
}
