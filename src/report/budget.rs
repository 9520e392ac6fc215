//! Finds the periods in which more VMs of a pool were out of service than its budget
//! allows, by replaying the record in order of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::config::head::TermsWire;
use crate::report::ReportEvidence;
use crate::report::ReportSpan;
use crate::report::reason_value;
use crate::report::row_vm;

/// Why a pool went over its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BreachCause {
    /// VMs failed or left; no planned outage began during the breach.
    Failure,
    /// A patch lowered the budget below the number of VMs out of service.
    BudgetLowered,
    /// A planned drain, stop, move or hold began although the budget was exhausted.
    Planned,
}

/// A period in which a pool was over its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BudgetBreach {
    /// Name of the pool.
    pub pool: String,
    /// Start, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End, in milliseconds since the Unix epoch; the end of the span if the breach
    /// lasted longer.
    pub to_ms: u64,
    /// Budget at the start of the breach.
    pub budget: u32,
    /// Maximum number of VMs out of service during the breach.
    pub out: u32,
    /// Worst cause; planned outages are the worst, failures the least.
    pub cause: BreachCause,
}

/// A change to the number of VMs out of service or to the budgets.
enum TimelineEvent<'a> {
    Row(&'a AuditRow),
    Terms(&'a TermsWire),
}

/// One VM at the current time of the replay.
#[derive(Default)]
struct ReplayedVm<'a> {
    pool: &'a str,
    /// Cause, if its state counts as out of service.
    state_cause: Option<BreachCause>,
    /// Pool and cause of its row in a ledger.
    ledger_row: Option<(&'a str, BreachCause)>,
    /// Pool whose budget the VM is currently counted against.
    counted_pool: Option<&'a str>,
}

impl<'a> ReplayedVm<'a> {
    /// Returns the pool whose budget the VM uses, and why. A ledger row takes
    /// precedence over the VM's state, because a move is charged to the target pool.
    fn charge(&self) -> Option<(&'a str, BreachCause)> {
        self.ledger_row
            .or(self.state_cause.map(|cause| (self.pool, cause)))
    }
}

/// The fleet at the current time of the replay.
#[derive(Default)]
struct FleetReplay<'a> {
    budgets: BTreeMap<&'a str, u32>,
    vms: BTreeMap<&'a str, ReplayedVm<'a>>,
    /// Number of VMs out of service, by pool.
    out: BTreeMap<&'a str, u32>,
    /// Breaches that have not ended, by pool.
    open_breaches: BTreeMap<&'a str, BudgetBreach>,
    /// VMs that changed in the current millisecond.
    changed_vms: BTreeSet<&'a str>,
    /// Pools whose budget was lowered in the current millisecond.
    lowered_pools: BTreeSet<&'a str>,
}

/// Finds the periods in which a pool was over its budget.
#[must_use]
pub fn find_breaches(evidence: &ReportEvidence, span: ReportSpan) -> Vec<BudgetBreach> {
    let mut replay = FleetReplay::default();
    replay.set_terms(&evidence.terms);
    let mut breaches = Vec::new();
    let mut events = timeline(evidence, span).into_iter().peekable();
    while let Some((time_ms, event)) = events.next() {
        match event {
            TimelineEvent::Terms(terms) => replay.set_terms(terms),
            TimelineEvent::Row(row) => replay.apply(row),
        }
        // All changes of a millisecond are applied before the breaches are updated.
        if events.peek().is_none_or(|(next, _)| *next != time_ms) {
            breaches.extend(replay.update_breaches(time_ms));
        }
    }
    let open_breaches = std::mem::take(&mut replay.open_breaches);
    breaches.extend(open_breaches.into_values().map(|breach| BudgetBreach {
        to_ms: span.to_ms,
        ..breach
    }));
    breaches.retain(|breach| breach.to_ms > span.from_ms);
    breaches
}

/// Returns the events before the end of the span, in order of time.
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

impl<'a> FleetReplay<'a> {
    fn set_terms(&mut self, terms: &'a TermsWire) {
        let before = std::mem::take(&mut self.budgets);
        for (pool, budget) in &terms.budgets {
            self.budgets.insert(pool, *budget);
        }
        let now = &self.budgets;
        let lowered = before.iter();
        let lowered = lowered.filter(|(pool, before)| now.get(*pool).is_none_or(|b| b < before));
        self.lowered_pools.extend(lowered.map(|(pool, _)| *pool));
    }

    fn apply(&mut self, row: &'a AuditRow) {
        if let Some(vm) = row_vm(row) {
            self.changed_vms.insert(vm);
            let vm = self.vms.entry(vm).or_default();
            match row.action.as_str() {
                "state" => {
                    vm.pool = reason_value(row, "pool").unwrap_or(vm.pool);
                    vm.state_cause = state_cause(&row.to);
                }
                "pool" => vm.pool = &row.to,
                _ => {}
            }
        } else if let Some(pool) = row.subject.strip_prefix("ledger/") {
            let entered = row.action == "out";
            let vm = if entered { &row.to } else { &row.from };
            self.changed_vms.insert(vm);
            let planned = reason_value(row, "operation").is_some();
            let cause = if planned {
                BreachCause::Planned
            } else {
                BreachCause::Failure
            };
            self.vms.entry(vm).or_default().ledger_row = entered.then_some((pool, cause));
        }
    }

    /// Opens, updates and closes breaches after the changes of one millisecond; returns
    /// those that ended.
    fn update_breaches(&mut self, time_ms: u64) -> Vec<BudgetBreach> {
        let mut causes: BTreeMap<&str, BreachCause> = BTreeMap::new();
        for pool in std::mem::take(&mut self.lowered_pools) {
            causes.insert(pool, BreachCause::BudgetLowered);
        }
        for vm in std::mem::take(&mut self.changed_vms) {
            let Some((pool, cause)) = self.update_count(vm) else {
                continue;
            };
            let worst = causes.entry(pool).or_insert(cause);
            *worst = cause.max(*worst);
        }
        let mut ended = Vec::new();
        for (pool, out) in &self.out {
            let budget = self.budgets.get(pool).copied().unwrap_or(0);
            if *out <= budget {
                let closed = self.open_breaches.remove(pool);
                ended.extend(closed.map(|breach| BudgetBreach {
                    to_ms: time_ms,
                    ..breach
                }));
                continue;
            }
            let cause = causes.get(pool).copied().unwrap_or(BreachCause::Failure);
            let breach = self
                .open_breaches
                .entry(pool)
                .or_insert_with(|| BudgetBreach {
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

    /// Counts a VM against the pool that it is charged to now. Returns the pool and the
    /// cause if the VM was not counted against it before.
    fn update_count(&mut self, name: &str) -> Option<(&'a str, BreachCause)> {
        let vm = self.vms.get_mut(name)?;
        let charge = vm.charge();
        let pool = charge.map(|(pool, _)| pool);
        if pool == vm.counted_pool {
            return None;
        }
        if let Some(before) = vm.counted_pool {
            *self.out.entry(before).or_default() -= 1;
        }
        if let Some(pool) = pool {
            *self.out.entry(pool).or_default() += 1;
        }
        vm.counted_pool = pool;
        charge
    }
}

/// Returns why a state counts as out of service; `None` if the VM is serving or gone.
fn state_cause(state: &str) -> Option<BreachCause> {
    match state {
        "serving" | "" => None,
        "failed" | "draining_to_leave" => Some(BreachCause::Failure),
        _ => Some(BreachCause::Planned),
    }
}
