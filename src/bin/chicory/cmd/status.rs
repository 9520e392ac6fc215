//! `chicory status`: shows the entry VMs as one of them knows them.

use chicorygauge::service::control::wire::StatusWire;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

pub fn run(command: &OperatorCommand) -> Result<(), EntryError> {
    let answer = read(command.entry, "/v1/status")?;
    if command.json {
        println!("{answer}");
        return Ok(());
    }
    let status: StatusWire = decode(command.entry, &answer)?;
    let confirmed = status.confirmed_age_ms;
    println!("entry VM        {} in {}", status.name, status.dc);
    println!("config version  {}", status.config_version);
    println!(
        "confirmed       {}",
        confirmed.map_or("never".to_owned(), |age| format!("{age} ms ago"))
    );
    println!("platform        {}", describe_platform(&status));
    println!(
        "fleet record    {}, {} VMs",
        status.fleet_sequence, status.vms
    );
    println!("trusted         {}", status.trusted);
    println!("sharing slots   {}", status.sharing);
    if let Some(age) = status.stale_ms {
        println!("state from peer {age} ms old");
    }
    let rows = status.entries.into_iter().map(|entry| {
        let version = entry.config_version.to_string();
        let fleet = entry.fleet_sequence.to_string();
        let in_progress = entry.in_progress.to_string();
        vec![entry.name, entry.address, version, fleet, in_progress]
    });
    let rows: Vec<_> = rows.collect();
    println!();
    table::print(
        &["entry VM", "address", "config", "fleet", "in progress"],
        &rows,
    );
    let waiting = status.waiting.into_iter().map(|drain| {
        let state = if drain.postponed {
            "postponed"
        } else {
            "draining"
        };
        vec![drain.vm, state.to_owned(), drain.entries.join(",")]
    });
    let rows: Vec<_> = waiting.collect();
    if !rows.is_empty() {
        println!();
        table::print(&["VM", "drain", "waits for"], &rows);
    }
    let rows = status.data_centres.into_iter();
    let rows: Vec<_> = rows.map(|dc| vec![dc.dc, dc.entries.to_string()]).collect();
    println!();
    table::print(&["other data centre", "entry VMs"], &rows);
    Ok(())
}

fn describe_platform(status: &StatusWire) -> String {
    match (status.platform_reachable, status.watching) {
        (false, _) => format!("not reachable: {}", status.platform_error),
        (true, true) => "reachable".to_owned(),
        (true, false) => "followed through a peer".to_owned(),
    }
}
