//! `chicoryd check`: checks a settings file without starting the daemon.

use std::path::Path;
use std::process::ExitCode;

use super::load;

/// Checks a settings file; the exit status is 0 if it has no fault and 1 otherwise.
pub fn run(file: &Path) -> ExitCode {
    match load(file) {
        Some(settings) => {
            println!("name={} dc={} faults=0", settings.name, settings.dc);
            ExitCode::SUCCESS
        }
        None => ExitCode::FAILURE,
    }
}
