//! `chicory config`: shows the configuration or its versions.

use bpaf::Bpaf;
use chicorygauge::service::control::wire::LogWire;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::table;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum ConfigAction {
    /// Show a version; the one in force if none is named.
    #[bpaf(command)]
    Show {
        /// Version.
        #[bpaf(positional("N"), optional)]
        version: Option<u64>,
    },
    /// List the latest versions with author and reason.
    #[bpaf(command)]
    Log {
        /// Maximum number of versions to list.
        #[bpaf(argument("COUNT"), fallback(20), display_fallback)]
        most: u64,
    },
}

pub fn run(command: &OperatorCommand, action: &ConfigAction) -> Result<(), EntryError> {
    match action {
        ConfigAction::Show { version } => show(command, *version),
        ConfigAction::Log { most } => list(command, *most),
    }
}

fn show(command: &OperatorCommand, version: Option<u64>) -> Result<(), EntryError> {
    let path = match version {
        Some(version) => format!("/v1/config?version={version}"),
        None => "/v1/config".to_owned(),
    };
    let response = read(command.entry, &path)?;
    if command.json {
        println!("{response}");
    } else {
        println!(
            "version {} digest {}",
            response["version"], response["digest"]
        );
        println!("{:#}", response["document"]);
    }
    Ok(())
}

fn list(command: &OperatorCommand, most: u64) -> Result<(), EntryError> {
    let response = read(command.entry, &format!("/v1/config/log?most={most}"))?;
    if command.json {
        println!("{response}");
        return Ok(());
    }
    let log: LogWire = decode(command.entry, &response)?;
    let rows = log.versions.into_iter().map(|version| {
        let number = version.version.to_string();
        let time = table::time(version.time_ms);
        vec![
            number,
            time,
            version.author,
            version.patch_id,
            version.reason,
        ]
    });
    let rows: Vec<_> = rows.collect();
    table::print(&["version", "time", "author", "patch id", "reason"], &rows);
    Ok(())
}
