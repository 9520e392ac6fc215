//! `chicory report`: reports whether each condition held in a time range.

use std::str::FromStr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Bpaf;
use chicorygauge::report::wire::ReportWire;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

/// A time in milliseconds since the Unix epoch; also parsed from a time ago such as
/// `90m`, `24h` or `7d`.
#[derive(Clone, Copy, Debug)]
pub struct TimeArgument(u64);

impl FromStr for TimeArgument {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const ACCEPTED: &str =
            "accepted: milliseconds since 1970, or a time ago such as 90m, 24h or 7d";
        let (number, unit_ms) = match text.split_at_checked(text.len().saturating_sub(1)) {
            Some((number, "m")) => (number, 60_000),
            Some((number, "h")) => (number, 3_600_000),
            Some((number, "d")) => (number, 24 * 3_600_000),
            _ => return text.parse().map(Self).map_err(|_| ACCEPTED),
        };
        let number: u64 = number.parse().map_err(|_| ACCEPTED)?;
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = time.map_or(0, |time| time.as_millis() as u64);
        Ok(Self(now_ms.saturating_sub(number.saturating_mul(unit_ms))))
    }
}

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct TimeRangeOptions {
    /// Start: milliseconds since 1970, or a time ago as 90m, 24h, 7d; a day before
    /// the end if absent.
    #[bpaf(argument("TIME"), optional)]
    from: Option<TimeArgument>,
    /// End, likewise; now if absent.
    #[bpaf(argument("TIME"), optional)]
    to: Option<TimeArgument>,
}

impl TimeRangeOptions {
    /// Appends the range to a path as query parameters.
    pub fn path(&self, path: &str) -> String {
        let ends = [("from", self.from), ("to", self.to)].into_iter();
        let ends = ends.filter_map(|(key, end)| Some(format!("{key}={}", end?.0)));
        format!("{path}?{}", ends.collect::<Vec<_>>().join("&"))
    }
}

pub fn run(command: &OperatorCommand, range: &TimeRangeOptions) -> Result<(), EntryError> {
    let response = read(command.entry, &range.path("/v1/report"))?;
    let report: ReportWire = decode(command.entry, &response)?;
    if command.json {
        println!("{response}");
    } else {
        print(&report);
    }
    if report.held {
        Ok(())
    } else {
        Err(EntryError::NotHeld)
    }
}

fn print(report: &ReportWire) {
    println!(
        "from {} to {}",
        table::time(report.from_ms),
        table::time(report.to_ms)
    );
    let conditions = [
        ("budgets", report.conditions.budgets, report.breaches.len()),
        ("planned stops", report.conditions.stops, report.stops.len()),
        (
            "maintenance",
            report.conditions.maintenance,
            report.late.len(),
        ),
        (
            "versions",
            report.conditions.versions,
            report.versions.len(),
        ),
        ("record", report.conditions.record, report.chains.len()),
    ];
    let rows = conditions.map(|(name, held, findings)| {
        let held = if held { "held" } else { "NOT HELD" };
        vec![name.to_owned(), held.to_owned(), findings.to_string()]
    });
    table::print(&["condition", "", "findings"], &rows);
    print_findings(report);
}

fn print_findings(report: &ReportWire) {
    for breach in &report.breaches {
        println!(
            "over budget: pool {} from {} to {}: {} out, budget {}, cause {:?}",
            breach.pool,
            table::time(breach.from_ms),
            table::time(breach.to_ms),
            breach.out,
            breach.budget,
            breach.cause
        );
    }
    for stop in &report.stops {
        let count = stop
            .in_progress
            .map_or("not recorded".to_owned(), |count| count.to_string());
        println!(
            "{}: {} in {} at {}, requests in progress {count}",
            stop.kind,
            stop.vm,
            stop.dc,
            table::time(stop.time_ms)
        );
    }
    for late in &report.late {
        println!("late: {} due {}", late.vm, table::time(late.due_ms));
    }
    for revert in &report.reverts {
        println!(
            "reverted: {} from version {} to {}",
            revert.dc, revert.from, revert.to
        );
    }
    for version in &report.versions {
        let accepted = table::time(version.time_ms);
        println!(
            "version {} at {accepted} by {}: {}",
            version.version, version.author, version.reason
        );
        for (dc, in_force_ms) in &version.in_force_ms {
            let time = in_force_ms.map_or("not recorded".to_owned(), table::time);
            println!("  in force in {dc}: {time}");
        }
    }
    for chain in &report.chains {
        let state = chain
            .broken_at
            .map_or("whole".to_owned(), |at| format!("BROKEN at {at}"));
        println!("chain {}: {} rows, {state}", chain.chain, chain.length);
    }
}
