//! `chicoryd`: the daemon that runs on each entry VM.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let code = cmd::daemon_command().run().run();
    chicorygauge::logs::flush();
    code
}
