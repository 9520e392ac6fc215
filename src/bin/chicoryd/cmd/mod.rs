//! Command line of `chicoryd`, with one module per subcommand.

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
    /// Executes the command and returns its exit status.
    pub fn run(&self) -> ExitCode {
        match self {
            Self::Run { file } => run::run(file),
            Self::Check { file } => check::run(file),
        }
    }
}

/// Reads a settings file; prints its faults and returns none if it has any.
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
