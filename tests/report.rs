//! Reports built from records with and without violations.

use chicorygauge::audit::AuditOutbox;
use chicorygauge::audit::AuditRow;
use chicorygauge::config::head::TermsWire;
use chicorygauge::config::head::VersionWire;
use chicorygauge::report;
use chicorygauge::report::AuditTrail;
use chicorygauge::report::FleetReport;
use chicorygauge::report::ReportEvidence;
use chicorygauge::report::ReportSpan;
use chicorygauge::report::budget::BreachCause;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOUR_MS: u64 = 3_600_000;
const SPAN: ReportSpan = ReportSpan {
    from_ms: 0,
    to_ms: HOUR_MS,
};

/// Appends audit rows as a controller does.
#[derive(Default)]
struct TrailWriter {
    outbox: AuditOutbox,
}

impl TrailWriter {
    fn row(&mut self, time_ms: u64, subject: &str, action: &str, change: [&str; 2], reason: &str) {
        self.outbox.append(AuditRow {
            time_ms,
            author: "e-1".to_owned(),
            subject: subject.to_owned(),
            action: action.to_owned(),
            from: change[0].to_owned(),
            to: change[1].to_owned(),
            reason: reason.to_owned(),
            ..AuditRow::default()
        });
    }

    fn state(&mut self, time_ms: u64, vm: &str, change: [&str; 2], details: &str) {
        let reason = format!("pool=intake {details}");
        self.row(time_ms, &format!("vm/{vm}"), "state", change, &reason);
    }

    /// Appends the rows of a planned stop, from the drain to the return to service.
    fn maintain(&mut self, start_ms: u64, vm: &str, in_progress: u32) {
        let operation = format!("operation=op-{vm}");
        let ledger = "ledger/intake";
        self.state(
            start_ms,
            vm,
            ["serving", "draining_to_maintain"],
            &operation,
        );
        self.row(start_ms, ledger, "out", ["", vm], &operation);
        let stop = format!("{operation} in_progress={in_progress}");
        self.state(
            start_ms + 10,
            vm,
            ["draining_to_maintain", "stopped"],
            &stop,
        );
        self.state(start_ms + 90, vm, ["stopped", "serving"], &operation);
        let done = (start_ms + 90).to_string();
        self.row(
            start_ms + 90,
            &format!("vm/{vm}"),
            "maintained",
            ["0", &done],
            &operation,
        );
        self.row(start_ms + 90, ledger, "in", [vm, ""], &operation);
    }

    fn trail(&self, dc: &str) -> AuditTrail {
        AuditTrail {
            dc: dc.to_owned(),
            rows: self.outbox.rows.iter().cloned().collect(),
        }
    }
}

fn terms(budget: u32) -> TermsWire {
    TermsWire {
        budgets: [("intake".to_owned(), budget)].into(),
        period_s: 7200,
    }
}

fn version(number: u64, time_ms: u64, before: &str, terms: Option<TermsWire>) -> VersionWire {
    let mut version = VersionWire {
        version: number,
        patch_id: format!("p-{number}"),
        author: "ann".to_owned(),
        reason: "because".to_owned(),
        time_ms,
        digest: "d".to_owned(),
        chain: String::new(),
        terms,
    };
    version.chain = version.chain_digest(before);
    version
}

/// Two VMs of one pool with a budget of one, and version 1 in force.
fn fleet() -> TrailWriter {
    let mut writer = TrailWriter::default();
    for vm in ["vm-1", "vm-2"] {
        writer.state(1, vm, ["", "serving"], "");
    }
    writer.row(2, "config/1", "in_force", ["0", "1"], "dc=dc-1");
    writer
}

fn evidence(writer: &TrailWriter) -> ReportEvidence {
    ReportEvidence {
        versions: vec![version(1, 0, "", Some(terms(1)))],
        trails: vec![writer.trail("dc-1")],
        ..ReportEvidence::default()
    }
}

fn build(writer: &TrailWriter) -> FleetReport {
    report::build(&evidence(writer), SPAN)
}

#[test]
fn report_held() {
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 0);
    writer.maintain(300, "vm-2", 0);
    let report = build(&writer);
    assert!(report.held(), "{report:#?}");
    assert_eq!(report.stops.len(), 2);
    assert_eq!(report.versions[0].in_force_ms["dc-1"], Some(2));
    assert_eq!(report.versions[0].author, "ann");
}

#[test]
fn report_over_budget() {
    let mut writer = fleet();
    writer.state(100, "vm-1", ["serving", "failed"], "");
    writer.row(100, "ledger/intake", "out", ["", "vm-1"], "cause=failed");
    writer.maintain(200, "vm-2", 0);
    let report = build(&writer);
    assert!(!report.budgets_held());
    let breach = &report.breaches[0];
    assert_eq!((breach.from_ms, breach.to_ms), (200, 290));
    assert_eq!(
        (breach.out, breach.budget, breach.cause),
        (2, 1, BreachCause::Planned)
    );
}

#[test]
fn report_over_budget_two_data_centres() {
    let (mut one, mut two) = (fleet(), TrailWriter::default());
    two.state(1, "vm-3", ["", "serving"], "");
    one.maintain(100, "vm-1", 0);
    two.maintain(150, "vm-3", 0);
    let mut evidence = evidence(&one);
    evidence.trails.push(two.trail("dc-2"));
    let report = report::build(&evidence, SPAN);
    assert_eq!(report.breaches.len(), 1, "{report:#?}");
    assert_eq!(
        (report.breaches[0].from_ms, report.breaches[0].to_ms),
        (150, 190)
    );
}

#[test]
fn report_stop_without_row() {
    // A stop without a row in the ledger counts against the budget too.
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 0);
    writer.state(
        120,
        "vm-2",
        ["serving", "stopped"],
        "operation=x in_progress=0",
    );
    let report = build(&writer);
    assert_eq!(report.breaches.len(), 1);
    assert_eq!(report.breaches[0].cause, BreachCause::Planned);
}

#[test]
fn report_failures_over_budget() {
    let mut writer = fleet();
    for (time_ms, vm) in [(100, "vm-1"), (110, "vm-2")] {
        writer.state(time_ms, vm, ["serving", "failed"], "");
    }
    let report = build(&writer);
    assert_eq!(report.breaches[0].cause, BreachCause::Failure);
    assert_eq!(report.breaches[0].to_ms, SPAN.to_ms, "it lasts to the end");
}

#[test]
fn report_budget_lowered() {
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 0);
    let mut evidence = evidence(&writer);
    let chain = evidence.versions[0].chain.clone();
    evidence
        .versions
        .push(version(2, 120, &chain, Some(terms(0))));
    let report = report::build(&evidence, SPAN);
    assert_eq!(report.breaches[0].cause, BreachCause::BudgetLowered);
    assert!(report.record_intact());
}

#[test]
fn report_move_charged_to_target() {
    let mut writer = fleet();
    writer.row(100, "ledger/spare", "out", ["", "vm-1"], "operation=move");
    writer.state(100, "vm-1", ["serving", "draining_to_move"], "");
    writer.row(150, "vm/vm-1", "pool", ["intake", "spare"], "in_progress=0");
    writer.state(150, "vm-1", ["draining_to_move", "serving"], "");
    writer.row(150, "ledger/spare", "in", ["vm-1", ""], "operation=move");
    let mut evidence = evidence(&writer);
    let mut both = terms(0);
    both.budgets.insert("spare".to_owned(), 1);
    evidence.versions[0] = version(1, 0, "", Some(both));
    let report = report::build(&evidence, SPAN);
    assert!(report.held(), "{report:#?}");
}

#[test]
fn report_stop_cut() {
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 3);
    writer.state(400, "vm-2", ["serving", "held"], "");
    let report = build(&writer);
    assert!(!report.stops_held());
    let counts = report.stops.iter().map(|stop| stop.in_progress);
    assert_eq!(counts.collect::<Vec<_>>(), [Some(3), None]);
}

#[test]
fn report_maintenance_late() {
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 0);
    let end = |to_ms| ReportSpan { from_ms: 0, to_ms };
    let evidence = evidence(&writer);
    assert!(report::build(&evidence, end(7_200_001)).maintenance_held());
    let report = report::build(&evidence, end(7_200_002));
    let late: Vec<_> = report.late.iter().map(|late| late.vm.as_str()).collect();
    assert_eq!(late, ["vm-2"], "vm-1 was maintained later");
}

#[test]
fn report_version_reverted() {
    let mut writer = fleet();
    writer.row(10, "config/3", "in_force", ["1", "3"], "dc=dc-1");
    writer.row(20, "config/2", "in_force", ["3", "2"], "dc=dc-1");
    let report = build(&writer);
    assert!(!report.versions_held());
    assert_eq!((report.reverts[0].from, report.reverts[0].to), (3, 2));
}

#[test]
fn report_span_bounds() {
    let mut writer = fleet();
    writer.maintain(100, "vm-1", 1);
    let later = ReportSpan {
        from_ms: 200,
        to_ms: 300,
    };
    let report = report::build(&evidence(&writer), later);
    assert!(report.held() && report.stops.is_empty(), "{report:#?}");
}

/// Changes one field of a row.
fn alter(row: &mut AuditRow, field: usize) {
    match field {
        0 => row.time_ms += 1,
        1 => row.author.push('x'),
        2 => row.subject.push('x'),
        3 => row.action.push('x'),
        4 => row.from.push('x'),
        5 => row.to.push('x'),
        _ => row.reason.push('x'),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn report_row_altered(row in 0usize..15, field in 0usize..7) {
        let mut writer = fleet();
        writer.maintain(100, "vm-1", 0);
        writer.maintain(300, "vm-2", 0);
        let mut evidence = evidence(&writer);
        let rows = &mut evidence.trails[0].rows;
        prop_assert_eq!(rows.len(), 15);
        alter(&mut rows[row], field);
        prop_assert!(!report::build(&evidence, SPAN).record_intact());
    }

    #[test]
    fn report_row_missing(row in 0usize..14) {
        let mut writer = fleet();
        writer.maintain(100, "vm-1", 0);
        writer.maintain(300, "vm-2", 0);
        let mut evidence = evidence(&writer);
        evidence.trails[0].rows.remove(row);
        prop_assert!(!report::build(&evidence, SPAN).record_intact());
    }

    /// For stops that start at any time, the report agrees with a count of the VMs out
    /// of service in each millisecond.
    #[test]
    fn report_budgets_counted(starts in prop::collection::vec(0u64..300, 2..6)) {
        let mut starts = starts;
        starts.sort_unstable();
        let mut writers = Vec::new();
        for (index, start) in starts.iter().enumerate() {
            let mut writer = TrailWriter::default();
            writer.maintain(1000 + start, &format!("vm-{index}"), 0);
            writers.push(writer.trail(&format!("dc-{index}")));
        }
        let evidence = ReportEvidence {
            versions: vec![version(1, 0, "", Some(terms(1)))],
            trails: writers,
            ..ReportEvidence::default()
        };
        let report = report::build(&evidence, SPAN);
        for time_ms in 1000..1400 {
            let out = starts.iter().filter(|start| (1000 + *start..1090 + *start).contains(&time_ms));
            let mut breaches = report.breaches.iter();
            let reported = breaches.any(|breach| (breach.from_ms..breach.to_ms).contains(&time_ms));
            prop_assert_eq!(reported, out.count() > 1, "at {}", time_ms);
        }
    }
}
