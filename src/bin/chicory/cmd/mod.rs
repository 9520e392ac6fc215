//! Command line of the operators; one module a subcommand.

mod config;
mod patch;
mod status;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use crate::entry::EntryError;

/// Drives a fleet through the control interface of any of its entry VMs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct OperatorCommand {
    /// Control address of an entry VM.
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 8081))), display_fallback)]
    entry: SocketAddr,
    /// Print JSON instead of a table.
    json: bool,
    #[bpaf(external)]
    action: Action,
}

#[derive(Clone, Debug, Bpaf)]
enum Action {
    /// Submit a JSON merge patch against a version of the configuration.
    #[bpaf(command)]
    Patch {
        /// Version that the patch was made against.
        #[bpaf(argument("N"))]
        base: u64,
        /// Why, for the audit trail.
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Operator's name; that of the login if absent.
        #[bpaf(argument("NAME"), optional)]
        author: Option<String>,
        /// File with the patch.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the configuration in force.
    #[bpaf(command)]
    Config,
    /// Show the state of the entry VM.
    #[bpaf(command)]
    Status,
}

impl OperatorCommand {
    /// Carries the command out.
    pub fn run(&self) -> ExitCode {
        let result = match &self.action {
            Action::Patch {
                base,
                reason,
                author,
                file,
            } => patch::run(self, *base, reason, author.as_deref(), file),
            Action::Config => config::run(self),
            Action::Status => status::run(self),
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                exit_status(&error)
            }
        }
    }
}

/// 1: not reached or unreadable, 2: refused, 3: conflict with another patch.
fn exit_status(error: &EntryError) -> ExitCode {
    match error {
        EntryError::Refused { status, .. } if status.as_u16() == 409 => ExitCode::from(3),
        EntryError::Refused { .. } => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}
