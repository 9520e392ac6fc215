//! Command line of the daemon; one module a subcommand.

mod check;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use chicorygauge::settings::DaemonSettings;

/// The daemon of an entry VM of the fleet capacity and maintenance manager.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum DaemonCommand {
    /// Runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
    #[bpaf(command)]
    Run {
        /// Settings file.
        #[bpaf(positional("FILE.ini"))]
        file: PathBuf,
    },
    /// Checks a settings file and lists all its faults.
    #[bpaf(command)]
    Check {
        /// Settings file.
        #[bpaf(positional("FILE.ini"))]
        file: PathBuf,
    },
}

impl DaemonCommand {
    /// Carries the command out.
    pub fn run(&self) -> ExitCode {
        match self {
            Self::Run { file } => run::run(file),
            Self::Check { file } => check::run(file),
        }
    }
}

/// Reads the settings, or prints their faults.
fn load(file: &std::path::Path) -> Option<DaemonSettings> {
    match DaemonSettings::load(file) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            None
        }
    }
}
