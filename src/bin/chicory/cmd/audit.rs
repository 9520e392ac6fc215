//! `chicory audit`: lists the audit rows of all data centres.

use chicorygauge::service::control::wire::AuditListWire;

use super::OperatorCommand;
use super::report::TimeRangeOptions;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

pub fn run(command: &OperatorCommand, range: &TimeRangeOptions) -> Result<(), EntryError> {
    let answer = read(command.entry, &range.path("/v1/audit"))?;
    if command.json {
        println!("{answer}");
        return Ok(());
    }
    let audit: AuditListWire = decode(command.entry, &answer)?;
    let mut rows = Vec::new();
    for trail in audit.trails {
        for row in trail.rows {
            let change = format!("{} -> {}", row.from, row.to);
            let time = table::time(row.time_ms);
            rows.push(vec![
                time,
                trail.dc.clone(),
                row.author,
                row.subject,
                row.action,
                change,
                row.reason,
            ]);
        }
    }
    rows.sort();
    let head = [
        "time",
        "data centre",
        "author",
        "subject",
        "action",
        "change",
        "reason",
    ];
    table::print(&head, &rows);
    Ok(())
}
