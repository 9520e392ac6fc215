//! Budgets: how many VMs of each pool were out of service at each moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::config::head::TermsWire;
use crate::report::ReportEvidence;
use crate::report::ReportSpan;
use crate::report::pair;
use crate::report::vm_of;

/// Why a pool went over its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreachCause {
    /// VMs failed or left; nothing was planned while it lasted.
    Failure,
    /// A patch lowered the budget below what was out of service.
    BudgetLowered,
    /// A planned drain, stop, move or hold began although the budget was used up.
    Planned,
}

/// A time at which a pool was over its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetBreach {
    /// Pool.
    pub pool: String,
    /// Start, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End; the end of the span if it lasted longer.
    pub to_ms: u64,
    /// Budget at the start.
    pub budget: u32,
    /// Most VMs out of service.
    pub out: u32,
    /// Worst cause.
    pub cause: BreachCause,
}

/// What changes the number of VMs out of service, or their limit.
enum TimelineEvent<'a> {
    Row(&'a AuditRow),
    Terms(&'a TermsWire),
}

/// One VM at a moment of the record.
#[derive(Default)]
struct VmMoment<'a> {
    pool: &'a str,
    /// Cause, if its state is out of service.
    state: Option<BreachCause>,
    /// Pool and cause of its row in a ledger.
    row: Option<(&'a str, BreachCause)>,
    /// Pool whose budget it has been counted against.
    counted: Option<&'a str>,
}

impl<'a> VmMoment<'a> {
    /// Returns the pool whose budget it uses and why; a ledger goes before a state.
    fn charge(&self) -> Option<(&'a str, BreachCause)> {
        self.row.or(self.state.map(|cause| (self.pool, cause)))
    }
}

/// The fleet at a moment of the record.
#[derive(Default)]
struct FleetMoment<'a> {
    budgets: BTreeMap<&'a str, u32>,
    vms: BTreeMap<&'a str, VmMoment<'a>>,
    /// VMs out of service by pool.
    out: BTreeMap<&'a str, u32>,
    open: BTreeMap<&'a str, BudgetBreach>,
    /// VMs that changed in the current millisecond.
    changed: BTreeSet<&'a str>,
    /// Pools whose budget went down in the current millisecond.
    lowered: BTreeSet<&'a str>,
}

/// Finds the times at which a pool was over its budget.
#[must_use]
pub fn find_breaches(evidence: &ReportEvidence, span: ReportSpan) -> Vec<BudgetBreach> {
    let mut moment = FleetMoment::default();
    moment.set_terms(&evidence.terms);
    let mut breaches = Vec::new();
    let mut events = timeline(evidence, span).into_iter().peekable();
    while let Some((time_ms, event)) = events.next() {
        match event {
            TimelineEvent::Terms(terms) => moment.set_terms(terms),
            TimelineEvent::Row(row) => moment.apply(row),
        }
        // Changes of one millisecond count together.
        if events.peek().is_none_or(|(next, _)| *next != time_ms) {
            breaches.extend(moment.settle(time_ms));
        }
    }
    let open = std::mem::take(&mut moment.open);
    breaches.extend(open.into_values().map(|breach| BudgetBreach {
        to_ms: span.to_ms,
        ..breach
    }));
    breaches.retain(|breach| breach.to_ms > span.from_ms);
    breaches
}

fn timeline(evidence: &ReportEvidence, span: ReportSpan) -> Vec<(u64, TimelineEvent<'_>)> {
    let rows = evidence.trails.iter().flat_map(|trail| &trail.rows);
    let rows = rows.map(|row| (row.time_ms, TimelineEvent::Row(row)));
    let versions = evidence.versions.iter();
    let terms = versions.filter_map(|version| {
        let terms = version.terms.as_ref()?;
        Some((version.time_ms, TimelineEvent::Terms(terms)))
    });
    let mut events: Vec<_> = terms.chain(rows).collect();
    events.retain(|(time_ms, _)| *time_ms < span.to_ms);
    events.sort_by_key(|(time_ms, _)| *time_ms);
    events
}

impl<'a> FleetMoment<'a> {
    fn set_terms(&mut self, terms: &'a TermsWire) {
        let before = std::mem::take(&mut self.budgets);
        for (pool, budget) in &terms.budgets {
            self.budgets.insert(pool, *budget);
        }
        let now = &self.budgets;
        let lowered = before.iter();
        let lowered = lowered.filter(|(pool, before)| now.get(*pool).is_none_or(|b| b < before));
        self.lowered.extend(lowered.map(|(pool, _)| *pool));
    }

    fn apply(&mut self, row: &'a AuditRow) {
        if let Some(vm) = vm_of(row) {
            self.changed.insert(vm);
            let vm = self.vms.entry(vm).or_default();
            match row.action.as_str() {
                "state" => {
                    vm.pool = pair(row, "pool").unwrap_or(vm.pool);
                    vm.state = cause_of(&row.to);
                }
                "pool" => vm.pool = &row.to,
                _ => {}
            }
        } else if let Some(pool) = row.subject.strip_prefix("ledger/") {
            let entered = row.action == "out";
            let vm = if entered { &row.to } else { &row.from };
            self.changed.insert(vm);
            let planned = pair(row, "operation").is_some();
            let cause = if planned {
                BreachCause::Planned
            } else {
                BreachCause::Failure
            };
            self.vms.entry(vm).or_default().row = entered.then_some((pool, cause));
        }
    }

    /// Opens, widens and closes breaches after the changes of one millisecond.
    fn settle(&mut self, time_ms: u64) -> Vec<BudgetBreach> {
        let mut causes: BTreeMap<&str, BreachCause> = BTreeMap::new();
        for pool in std::mem::take(&mut self.lowered) {
            causes.insert(pool, BreachCause::BudgetLowered);
        }
        for vm in std::mem::take(&mut self.changed) {
            let Some((pool, cause)) = self.count(vm) else {
                continue;
            };
            let worst = causes.entry(pool).or_insert(cause);
            *worst = cause.max(*worst);
        }
        let mut ended = Vec::new();
        for (pool, out) in &self.out {
            let budget = self.budgets.get(pool).copied().unwrap_or(0);
            if *out <= budget {
                let closed = self.open.remove(pool);
                ended.extend(closed.map(|breach| BudgetBreach {
                    to_ms: time_ms,
                    ..breach
                }));
                continue;
            }
            let cause = causes.get(pool).copied().unwrap_or(BreachCause::Failure);
            let breach = self.open.entry(pool).or_insert_with(|| BudgetBreach {
                pool: (*pool).to_owned(),
                from_ms: time_ms,
                to_ms: time_ms,
                budget,
                out: *out,
                cause,
            });
            breach.out = breach.out.max(*out);
            breach.cause = breach.cause.max(cause);
        }
        ended
    }

    /// Counts a VM against the pool that it is charged to now; returns pool and
    /// cause if it was not before.
    fn count(&mut self, name: &str) -> Option<(&'a str, BreachCause)> {
        let vm = self.vms.get_mut(name)?;
        let charge = vm.charge();
        let pool = charge.map(|(pool, _)| pool);
        if pool == vm.counted {
            return None;
        }
        if let Some(before) = vm.counted {
            *self.out.entry(before).or_default() -= 1;
        }
        if let Some(pool) = pool {
            *self.out.entry(pool).or_default() += 1;
        }
        vm.counted = pool;
        charge
    }
}

/// Returns why a state counts as out of service; none if it does not.
fn cause_of(state: &str) -> Option<BreachCause> {
    match state {
        "serving" | "" => None,
        "failed" | "draining_to_leave" => Some(BreachCause::Failure),
        _ => Some(BreachCause::Planned),
    }
}
