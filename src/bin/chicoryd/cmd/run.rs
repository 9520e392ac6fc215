//! `chicoryd run`: runs the daemon until SIGTERM or SIGINT.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use chicorygauge::service::daemon;
use chicorygauge::settings::DaemonSettings;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::load;

/// Runs the daemon; the exit status is 0 after a graceful shutdown and 1 if the daemon
/// could not start.
pub fn run(file: &Path) -> ExitCode {
    chicorygauge::logs::start();
    let Some(settings) = load(file) else {
        return ExitCode::FAILURE;
    };
    let result = Runtime::new().map(|runtime| runtime.block_on(serve(&settings)));
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            log::error!(event = "daemon_failed", error:% = error; "");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: &DaemonSettings) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = daemon::start(settings).await.map_err(io::Error::other)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
