//! JSON form of the report.

use serde::Deserialize;
use serde::Serialize;

use crate::report::FleetReport;
use crate::report::budget::BudgetBreach;
use crate::report::chain::ChainFinding;
use crate::report::maintenance::LateMaintenance;
use crate::report::rollout::VersionFinding;
use crate::report::rollout::VersionRevert;
use crate::report::stop::StopFinding;

/// JSON form of [`FleetReport`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ReportWire {
    pub from_ms: u64,
    pub to_ms: u64,
    pub held: bool,
    pub conditions: ConditionsWire,
    pub breaches: Vec<BudgetBreach>,
    pub stops: Vec<StopFinding>,
    pub late: Vec<LateMaintenance>,
    pub versions: Vec<VersionFinding>,
    pub reverts: Vec<VersionRevert>,
    pub chains: Vec<ChainFinding>,
}

/// Whether each condition held over the span; see the methods of [`FleetReport`].
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConditionsWire {
    pub budgets: bool,
    pub stops: bool,
    pub maintenance: bool,
    pub versions: bool,
    pub record: bool,
}

impl From<&FleetReport> for ReportWire {
    fn from(report: &FleetReport) -> Self {
        let report = report.clone();
        Self {
            from_ms: report.span.from_ms,
            to_ms: report.span.to_ms,
            held: report.held(),
            conditions: ConditionsWire {
                budgets: report.budgets_held(),
                stops: report.stops_held(),
                maintenance: report.maintenance_held(),
                versions: report.versions_held(),
                record: report.record_intact(),
            },
            breaches: report.breaches,
            stops: report.stops,
            late: report.late,
            versions: report.versions,
            reverts: report.reverts,
            chains: report.chains,
        }
    }
}
