//! `chicory status`: shows the entry VMs and the state of the fleet, as one entry VM
//! knows them.

use chicorygauge::service::control::wire::RostersWire;
use chicorygauge::service::control::wire::StatusWire;
use serde_json::Value;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

pub fn run(command: &OperatorCommand) -> Result<(), EntryError> {
    let mut response = read(command.entry, "/v1/status")?;
    // Rosters are read from the platform; without it, the entry VM's own data centre is
    // still shown.
    let rosters = read(command.entry, "/v1/entries");
    if command.json {
        response["rosters"] = rosters.map_or(Value::Null, |rosters| rosters["rosters"].clone());
        println!("{response}");
        return Ok(());
    }
    print_own(&decode(command.entry, &response)?);
    match rosters {
        Ok(rosters) => print_rosters(decode(command.entry, &rosters)?),
        Err(error) => println!("\nother data centres: {error}"),
    }
    Ok(())
}

fn print_own(status: &StatusWire) {
    let confirmed = status.confirmed_age_ms;
    let confirmed = match confirmed {
        _ if !status.watching => "by the controller".to_owned(),
        Some(age) => format!("{age} ms ago"),
        None => "never".to_owned(),
    };
    println!("entry VM        {} in {}", status.name, status.dc);
    println!("controller      {}", status.controller);
    println!("config version  {}", status.config_version);
    println!("confirmed       {confirmed}");
    println!("platform        {}", describe_platform(status));
    println!(
        "fleet record    {}, {} VMs",
        status.fleet_sequence, status.vms
    );
    println!("trusted         {}", status.trusted);
    println!("sharing slots   {}", status.sharing);
    if let Some(age) = status.stale_ms {
        println!("state from peer {age} ms old");
    }
    for (what, vms) in [
        ("draining", &status.draining),
        ("postponed", &status.postponed),
    ] {
        for (vm, entries) in vms {
            println!("{what:15} {vm}, in use by {}", entries.join(","));
        }
    }
    for (vm, ejected) in &status.ejected {
        let (pool, cause, times) = (&ejected.pool, &ejected.cause, ejected.ejections);
        println!("ejected         {vm} of {pool}, cause {cause}, {times} times in a row");
    }
    let rows = status.entries.iter().map(|entry| {
        vec![
            entry.name.clone(),
            entry.address.clone(),
            entry.config_version.to_string(),
            entry.fleet_sequence.to_string(),
            entry.in_progress.to_string(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let header = ["entry VM", "address", "config", "fleet", "in progress"];
    println!();
    table::print(&header, &rows);
}

fn print_rosters(rosters: RostersWire) {
    let mut rows = Vec::new();
    for (dc, roster) in rosters.rosters {
        let time = table::time(roster.refreshed_ms);
        for (name, entry) in roster.entries {
            let version = entry.config_version.to_string();
            rows.push(vec![dc.clone(), name, version, time.clone()]);
        }
    }
    println!();
    table::print(&["data centre", "entry VM", "config", "as of"], &rows);
}

fn describe_platform(status: &StatusWire) -> String {
    match (status.platform_reachable, status.watching) {
        (false, _) => format!("not reachable: {}", status.platform_error),
        (true, true) => "reachable".to_owned(),
        (true, false) => "followed through a peer".to_owned(),
    }
}
