//! The daemon of an entry VM.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::daemon_command().run().run()
}
