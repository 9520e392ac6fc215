//! `chicory vms`: shows the VMs of a data centre.

use chicorygauge::fleet::VmState;
use chicorygauge::service::control::wire::VmsWire;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

pub fn run(command: &OperatorCommand) -> Result<(), EntryError> {
    let response = read(command.entry, "/v1/vms")?;
    if command.json {
        println!("{response}");
        return Ok(());
    }
    let vms: VmsWire = decode(command.entry, &response)?;
    let rows = vms.vms.into_iter().map(|vm| {
        let record = vm.record;
        let state = VmState::try_from(record.state);
        vec![
            vm.name,
            record.pool,
            record.rack,
            state.map_or("unreadable".to_owned(), |state| format!("{state:?}")),
            table::time(record.since_ms),
            table::time(record.maintained_ms),
            record.address.to_string(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let header = [
        "vm",
        "pool",
        "rack",
        "state",
        "since",
        "maintained",
        "address",
    ];
    table::print(&header, &rows);
    Ok(())
}
