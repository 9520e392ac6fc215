//! Command line of `chicory`, with one module per subcommand.

mod audit;
mod config;
mod drain;
mod patch;
mod report;
mod status;
mod vms;
mod wave;

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::entry::EntryError;
use crate::submission::SubmitOptions;

/// Footer of the help text: the exit statuses and their meaning.
const EXIT_STATUSES: &str = "Exit status: 0 done, 1 not reached or bad usage, 2 refused, \
    3 conflict with another patch, 4 not known whether a patch is accepted, \
    5 a condition of the report did not hold.";

/// Drives a fleet through the control interface of any of its entry VMs.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version, footer(EXIT_STATUSES))]
pub struct OperatorCommand {
    /// Control address of an entry VM.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 8081))), display_fallback)]
    entry: SocketAddr,
    /// Print JSON instead of a table.
    json: bool,
    /// Operator's name for the audit trail; that of the login if absent.
    #[bpaf(argument("NAME"), optional)]
    author: Option<String>,
    #[bpaf(external)]
    action: Action,
}

#[derive(Clone, Debug)]
#[derive(Bpaf)]
enum Action {
    /// Submit a JSON merge patch against a version of the configuration.
    #[bpaf(command)]
    Patch(#[bpaf(external(patch::patch_options))] patch::PatchOptions),
    /// Show the configuration or its versions.
    #[bpaf(command)]
    Config(#[bpaf(external(config::config_action))] config::ConfigAction),
    /// Show the entry VMs, the versions in force and the state of the platform.
    #[bpaf(command)]
    Status,
    /// Show the VMs of the entry VM's data centre.
    #[bpaf(command)]
    Vms,
    /// Hold a VM out of service.
    #[bpaf(command)]
    Drain {
        /// Why, for the audit trail.
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// VM.
        #[bpaf(positional("VM"))]
        vm: String,
    },
    /// Let a held VM serve again.
    #[bpaf(command)]
    Undrain {
        /// Why, for the audit trail.
        #[bpaf(argument("TEXT"), fallback("undrain".to_owned()))]
        reason: String,
        /// VM.
        #[bpaf(positional("VM"))]
        vm: String,
    },
    /// Start, follow or stop a maintenance wave.
    #[bpaf(command)]
    Wave(#[bpaf(external(wave::wave_action))] wave::WaveAction),
    /// List the audit rows of all data centres.
    #[bpaf(command)]
    Audit(#[bpaf(external(report::time_range_options))] report::TimeRangeOptions),
    /// Report whether each condition held.
    #[bpaf(command)]
    Report(#[bpaf(external(report::time_range_options))] report::TimeRangeOptions),
}

impl OperatorCommand {
    /// Executes the command and returns its exit status.
    pub fn run(&self) -> ExitCode {
        let result = match &self.action {
            Action::Patch(options) => patch::run(self, options),
            Action::Config(action) => config::run(self, action),
            Action::Status => status::run(self),
            Action::Vms => vms::run(self),
            Action::Drain { reason, vm } => drain::run(self, vm, Some(reason), reason),
            Action::Undrain { reason, vm } => drain::run(self, vm, None, reason),
            Action::Wave(action) => wave::run(self, action),
            Action::Audit(range) => audit::run(self, range),
            Action::Report(range) => report::run(self, range),
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                exit_status(&error)
            }
        }
    }

    fn submit_options<'a>(&'a self, reason: &'a str) -> SubmitOptions<'a> {
        SubmitOptions {
            peer: self.entry,
            author: self.author.as_deref(),
            reason,
        }
    }

    /// Prints the version that an accepted patch created.
    fn print_accepted(&self, version: u64) {
        if self.json {
            println!("{}", serde_json::json!({ "version": version }));
        } else {
            println!("version {version} accepted");
        }
    }
}

fn exit_status(error: &EntryError) -> ExitCode {
    match error {
        EntryError::Refused { body, .. } if body.current.is_some() => ExitCode::from(3),
        EntryError::Refused {
            status: 400..=499, ..
        }
        | EntryError::State { .. } => ExitCode::from(2),
        EntryError::Unknown { .. } => ExitCode::from(4),
        EntryError::NotHeld => ExitCode::from(5),
        _ => ExitCode::FAILURE,
    }
}
