//! `chicory`: command-line client for operators of the fleet.

mod cmd;
mod entry;
mod submission;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::operator_command().run().run()
}
