//! Command that runs each stand-in as a separate process.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    chicorygauge::logs::start_tool();
    cmd::standin_command().run().run()
}
