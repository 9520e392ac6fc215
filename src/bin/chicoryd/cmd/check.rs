//! `chicoryd check`: checks a settings file.

use std::path::Path;
use std::process::ExitCode;

use super::load;

/// Exit status 0 if the file has no fault, 1 otherwise.
pub fn run(file: &Path) -> ExitCode {
    match load(file) {
        Some(settings) => {
            println!("name={} dc={} faults=0", settings.name, settings.dc);
            ExitCode::SUCCESS
        }
        None => ExitCode::FAILURE,
    }
}
