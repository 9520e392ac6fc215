//! Command line of the stand-ins; one module for each subcommand.

mod backend;
mod call;
mod demo;
mod platform;

use std::io;
use std::process::ExitCode;

use bpaf::Bpaf;
use tokio::runtime::Runtime;

use backend::BackendOptions;
use backend::backend_options;
use call::CallOptions;
use call::call_options;
use demo::DemoOptions;
use demo::demo_options;
use platform::PlatformOptions;
use platform::platform_options;

/// Small stand-ins of the platform, backend servers and callers.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum StandinCommand {
    /// Runs the platform.
    #[bpaf(command)]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Runs a backend server.
    #[bpaf(command)]
    Backend(#[bpaf(external(backend_options))] BackendOptions),
    /// Puts an open-loop load on a pool and ends with one line of results.
    #[bpaf(command)]
    Call(#[bpaf(external(call_options))] CallOptions),
    /// Runs the main job in one process: a patch, a maintenance wave and bursts under load.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
}

impl StandinCommand {
    /// Runs the command to its end.
    pub fn run(self) -> ExitCode {
        let result = Runtime::new().and_then(|runtime| match self {
            Self::Platform(options) => runtime.block_on(platform::run(options)),
            Self::Backend(options) => runtime.block_on(backend::run(options)),
            Self::Call(options) => runtime.block_on(call::run(options)),
            Self::Demo(options) => runtime.block_on(demo::run(options)),
        });
        exit_code(result)
    }
}

/// Returns exit status 0 if the command succeeded without violations, 1 otherwise.
fn exit_code(result: io::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
