//! Stand-ins as processes of their own.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    chicorygauge::logs::start_tool();
    cmd::standin_command().run().run()
}
