//! Service `fleet`: provides the fleet record of the data centre.
//!
//! The entry VM that holds the controller's lease writes the record; all entry VMs
//! put the newest one in force. [`lease`] acquires and renews the lease,
//! [`controller`] runs the controller while the lease is held, [`round`] executes
//! what [`crate::decide::controller`] decides, [`store`] reads and writes records and
//! ledgers, [`operations`] starts operations at the platform and probes VMs, and
//! [`follow`] puts records in force.

mod controller;
mod follow;
mod lease;
mod messages;
mod operations;
mod round;
mod store;

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::names::NameError;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::platform::backoff::BackoffSettings;
use crate::platform::backoff::BackoffState;
use crate::service::audit::AuditError;
use crate::service::config::ConfigView;
use crate::settings::DaemonSettings;

use controller::ControllerSenders;
use round::TermContext;

pub use messages::ControllerReport;
pub use messages::ControllerTerm;
pub use messages::ControllerView;
pub use messages::FleetInbox;
pub use messages::FleetMessage;
pub use messages::FleetView;
pub use messages::ReportView;

/// Name of the service.
pub const NAME: ServiceName = "fleet";
/// Maximum delay after failed calls, in sync periods.
const MAX_BACKOFF_PERIODS: u32 = 16;

/// Why a round of the controller or a call for its lease failed.
#[derive(Debug)]
#[derive(Snafu)]
enum FleetError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("{source}"))]
    Audit { source: AuditError },
    #[snafu(display("step=decode key={key}: {source}"))]
    Decode {
        key: String,
        source: serde_json::Error,
    },
    #[snafu(display("step=read key={key}: {source}"))]
    Name { key: String, source: NameError },
    #[snafu(display(
        "step=fence epoch={epoch}: no longer the controller; the lease has expired or another controller has claimed the fleet record"
    ))]
    NotController { epoch: u64 },
}

/// Starts the service.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    client: PlatformClient,
    config: ConfigView,
) {
    let (records, view) = watch::channel(None);
    kernel.register::<FleetView>(NAME, view);
    let (inbox, messages) = mpsc::channel(messages::INBOX_LIMIT);
    kernel.register::<FleetInbox>(NAME, inbox);
    let (term, view) = watch::channel(ControllerTerm::default());
    kernel.register::<ControllerView>(NAME, view);
    let (report, view) = watch::channel(Arc::default());
    kernel.register::<ReportView>(NAME, view);
    let (lease, lease_view) = watch::channel(None);
    let senders = ControllerSenders { term, report };
    let mut phase = kernel.phase();
    let lease_phase = kernel.phase();
    let settings = settings.clone();
    let shared = kernel.clone();
    kernel.spawn(NAME, async move {
        let context = TermContext {
            settings: &settings,
            client: &client,
            lease: &lease_view,
            records: &records,
        };
        tokio::select! {
            () = lease::run(&settings, &client, &lease, lease_phase) => {}
            () = controller::run(&shared, &context, config, &senders) => {}
            () = follow::run(&settings, &client, &records, messages) => {}
            () = wait_for_phase(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
}

/// Returns a backoff for failed calls that starts at the sync period, which is also
/// the time between two rounds of the controller.
fn failure_backoff(sync: Duration) -> BackoffState {
    BackoffState::new(BackoffSettings {
        first: sync,
        max: sync * MAX_BACKOFF_PERIODS,
    })
}
