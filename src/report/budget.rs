//! Budgets: how many VMs of each pool were out of service at each moment.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::config::head::TermsWire;
use crate::report::ReportEvidence;
use crate::report::ReportSpan;
use crate::report::pair;
use crate::report::vm_of;

/// Why a pool went over its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// State of the fleet at one moment of the record.
#[derive(Default)]
struct FleetMoment<'a> {
    budgets: BTreeMap<&'a str, u32>,
    /// Pool of each VM and whether it is out of service.
    vms: BTreeMap<&'a str, (&'a str, bool)>,
    open: BTreeMap<&'a str, BudgetBreach>,
    /// Causes that apply to a pool in the current millisecond.
    causes: BTreeMap<&'a str, BreachCause>,
}

/// Finds the times at which a pool was over its budget.
#[must_use]
pub fn find_breaches(evidence: &ReportEvidence, span: ReportSpan) -> Vec<BudgetBreach> {
    let mut moment = FleetMoment::default();
    moment.set_terms(&evidence.terms);
    let mut breaches = Vec::new();
    let mut events = timeline(evidence, span).into_iter().peekable();
    while let Some((time_ms, event)) = events.next() {
        moment.apply(&event);
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
    let mut events: Vec<_> = rows.chain(terms).collect();
    events.retain(|(time_ms, _)| *time_ms < span.to_ms);
    events.sort_by_key(|(time_ms, _)| *time_ms);
    events
}

impl<'a> FleetMoment<'a> {
    fn set_terms(&mut self, terms: &'a TermsWire) {
        let budgets = terms.budgets.iter();
        self.budgets = budgets
            .map(|(pool, budget)| (pool.as_str(), *budget))
            .collect();
    }

    fn apply(&mut self, event: &TimelineEvent<'a>) {
        match event {
            TimelineEvent::Terms(terms) => {
                let before = std::mem::take(&mut self.budgets);
                self.set_terms(terms);
                for (pool, budget) in &self.budgets {
                    if before.get(pool).is_some_and(|before| before > budget) {
                        blame(&mut self.causes, pool, BreachCause::BudgetLowered);
                    }
                }
            }
            TimelineEvent::Row(row) => self.apply_row(row),
        }
    }

    fn apply_row(&mut self, row: &'a AuditRow) {
        let Some(vm) = vm_of(row) else { return };
        match row.action.as_str() {
            "state" if row.to.is_empty() => {
                self.vms.remove(vm);
            }
            "state" => {
                let known = self.vms.get(vm).map(|(pool, _)| *pool);
                let Some(pool) = pair(row, "pool").or(known) else {
                    return;
                };
                let was_out = self.vms.get(vm).is_some_and(|(_, out)| *out);
                let out = row.to != "serving";
                self.vms.insert(vm, (pool, out));
                if out && !was_out {
                    blame(&mut self.causes, pool, cause_of(&row.to));
                }
            }
            "pool" => {
                let out = self.vms.get(vm).is_some_and(|(_, out)| *out);
                self.vms.insert(vm, (&row.to, out));
            }
            _ => {}
        }
    }

    /// Opens, widens and closes breaches after the changes of one millisecond.
    fn settle(&mut self, time_ms: u64) -> Vec<BudgetBreach> {
        let mut out: BTreeMap<&str, u32> = BTreeMap::new();
        for (pool, is_out) in self.vms.values() {
            *out.entry(pool).or_default() += u32::from(*is_out);
        }
        let over = |pool: &str| {
            let budget = self.budgets.get(pool).copied().unwrap_or(0);
            let out = out.get(pool).copied().unwrap_or(0);
            (out > budget).then_some((budget, out))
        };
        let ended = self.open.extract_if(.., |pool, _| over(pool).is_none());
        let ended = ended.map(|(_, breach)| BudgetBreach {
            to_ms: time_ms,
            ..breach
        });
        let ended = ended.collect();
        for pool in out.keys() {
            let Some((budget, out)) = over(pool) else {
                continue;
            };
            let cause = self.causes.get(pool).copied();
            let breach = self.open.entry(pool).or_insert_with(|| BudgetBreach {
                pool: (*pool).to_owned(),
                from_ms: time_ms,
                to_ms: time_ms,
                budget,
                out,
                cause: BreachCause::Failure,
            });
            breach.out = breach.out.max(out);
            breach.cause = breach.cause.max(cause.unwrap_or(BreachCause::Failure));
        }
        self.causes.clear();
        ended
    }
}

fn blame<'a>(causes: &mut BTreeMap<&'a str, BreachCause>, pool: &'a str, cause: BreachCause) {
    let worst = causes.entry(pool).or_insert(cause);
    *worst = cause.max(*worst);
}

fn cause_of(state: &str) -> BreachCause {
    match state {
        "failed" | "draining_to_leave" => BreachCause::Failure,
        _ => BreachCause::Planned,
    }
}
