//! `chicory wave`: starts, stops and shows maintenance waves.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Bpaf;
use chicorygauge::service::control::wire::VmsWire;
use serde_json::Value;
use serde_json::json;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::submission::submit_current;
use crate::table;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum WaveAction {
    /// Start a wave.
    #[bpaf(command)]
    Start {
        /// Pool to maintain, may be repeated; all if none is named.
        #[bpaf(argument("POOL"))]
        pool: Vec<String>,
        /// Why, for the audit trail.
        #[bpaf(argument("TEXT"), fallback("wave".to_owned()))]
        reason: String,
    },
    /// Show the wave and its progress in the entry VM's data centre.
    #[bpaf(command)]
    Status,
    /// Stop the wave; VMs that are out of service come back.
    #[bpaf(command)]
    Stop {
        /// Why, for the audit trail.
        #[bpaf(argument("TEXT"), fallback("stop wave".to_owned()))]
        reason: String,
    },
}

pub fn run(command: &OperatorCommand, action: &WaveAction) -> Result<(), EntryError> {
    match action {
        WaveAction::Start { pool, reason } => start(command, pool, reason),
        WaveAction::Status => status(command),
        WaveAction::Stop { reason } => stop(command, reason),
    }
}

fn is_running(document: &Value) -> bool {
    document["wave"]["running"] == true
}

fn start(command: &OperatorCommand, pools: &[String], reason: &str) -> Result<(), EntryError> {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = time.map_or(0, |time| time.as_millis() as u64);
    let id = format!("w-{started_ms}");
    let wave = json!({"id": id, "pools": pools, "running": true, "started_ms": started_ms});
    let version = submit_current(command.submit_options(reason), |document| {
        if is_running(document) {
            let problem = format!("wave {} is running", document["wave"]["id"]);
            return Err(EntryError::State { problem });
        }
        Ok(json!({ "wave": wave }))
    })?;
    if !command.json {
        println!("wave {id} starts");
    }
    command.print_accepted(version);
    Ok(())
}

fn stop(command: &OperatorCommand, reason: &str) -> Result<(), EntryError> {
    let version = submit_current(command.submit_options(reason), |document| {
        if !is_running(document) {
            let problem = "no wave is running".to_owned();
            return Err(EntryError::State { problem });
        }
        Ok(json!({ "wave": { "running": false } }))
    })?;
    command.print_accepted(version);
    Ok(())
}

fn status(command: &OperatorCommand) -> Result<(), EntryError> {
    let config = read(command.entry, "/v1/config")?;
    let fleet = read(command.entry, "/v1/vms")?;
    let request = &config["document"]["wave"];
    if command.json {
        let progress = &fleet["wave"];
        println!("{}", json!({"request": request, "progress": progress}));
        return Ok(());
    }
    if request.is_null() {
        println!("no wave");
        return Ok(());
    }
    println!("wave {} running {}", request["id"], request["running"]);
    let fleet: VmsWire = decode(command.entry, &fleet)?;
    let rows = fleet.wave.into_iter().map(|wave| {
        let counts = [wave.started, wave.returned, wave.failed];
        let mut row = vec![fleet.dc.clone()];
        row.extend(counts.map(|count| count.to_string()));
        row.push(wave.stopped.unwrap_or_default());
        row
    });
    let rows: Vec<_> = rows.collect();
    table::print(
        &["data centre", "started", "returned", "failed", "stopped"],
        &rows,
    );
    Ok(())
}
