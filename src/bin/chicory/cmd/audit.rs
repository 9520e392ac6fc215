//! `chicory audit`: lists the audit rows of all data centres.

use chicorygauge::service::control::wire::AuditListWire;

use super::OperatorCommand;
use super::report::TimeRangeOptions;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

pub fn run(command: &OperatorCommand, range: &TimeRangeOptions) -> Result<(), EntryError> {
    let response = read(command.entry, &range.path("/v1/audit"))?;
    if command.json {
        println!("{response}");
        return Ok(());
    }
    let audit: AuditListWire = decode(command.entry, &response)?;
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
    let header = [
        "time",
        "data centre",
        "author",
        "subject",
        "action",
        "change",
        "reason",
    ];
    table::print(&header, &rows);
    Ok(())
}
