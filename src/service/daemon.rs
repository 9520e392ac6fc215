//! Binds the sockets of the daemon, starts its services and stops them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::Acceptor;
use salvo::conn::Listener;
use salvo::conn::TcpListener as ControlListener;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::kernel::LookupError;
use crate::kernel::ServiceKernel;
use crate::kernel::ShutdownPhase;
use crate::metrics;
use crate::platform::PlatformClient;
use crate::service::config;
use crate::service::config::ConfigView;
use crate::service::control;
use crate::service::entry;
use crate::service::entry::DispatchInbox;
use crate::service::fleet;
use crate::service::fleet::FleetView;
use crate::service::peers;
use crate::service::peers::BoundAddresses;
use crate::service::peers::PeerView;
use crate::settings::DaemonSettings;
use crate::settings::EntryLimits;

/// Time limit for tasks to end after the time for requests in progress is over.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Interval between checks for requests in progress.
const BACKEND_POLL: Duration = Duration::from_millis(20);

/// A daemon that could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StartError {
    /// The socket for callers cannot be bound.
    #[snafu(display("step=listen peer={address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The socket for operators and peers cannot be bound.
    #[snafu(display("step=listen_control peer={address}: {source}"))]
    ListenControl {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: salvo::Error,
    },
    /// The local address of the bound control socket is unknown.
    #[snafu(display("step=listen_control peer={address}: bound socket has no local address"))]
    NoAddress {
        /// Address from the settings.
        address: SocketAddr,
    },
    /// A service that another one needs is not registered.
    #[snafu(display("step=start: {source}"))]
    Lookup {
        /// Cause.
        source: LookupError,
    },
}

/// A running daemon.
pub struct RunningDaemon {
    /// Bound address for callers.
    pub entry_address: SocketAddr,
    /// Bound address for operators and peers.
    pub control_address: SocketAddr,
    kernel: ServiceKernel,
    limits: EntryLimits,
}

/// Starts all services of a daemon.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn start(settings: &DaemonSettings) -> Result<RunningDaemon, StartError> {
    metrics::start();
    let address = settings.entry_listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let entry_address = listener.local_addr().context(ListenSnafu { address })?;
    let address = settings.control_listen;
    let acceptor = ControlListener::new(address).try_bind().await;
    let acceptor = acceptor.context(ListenControlSnafu { address })?;
    let holding = acceptor.holdings().first();
    let holding = holding.and_then(|holding| holding.local_addr.clone().into_std());
    let control_address = holding.context(NoAddressSnafu { address })?;

    let kernel = ServiceKernel::default();
    let client = PlatformClient::new(settings.platform.clone());
    config::start(&kernel, client.clone());
    let config: ConfigView = kernel.find(config::NAME).context(LookupSnafu)?;
    fleet::start(&kernel, settings, client.clone(), config.clone());
    let fleet: FleetView = kernel.find(fleet::NAME).context(LookupSnafu)?;
    let addresses = BoundAddresses {
        entry: entry_address,
        control: control_address,
    };
    peers::start(&kernel, settings, client.clone(), addresses).context(LookupSnafu)?;
    let peers: PeerView = kernel.find(peers::NAME).context(LookupSnafu)?;
    entry::start(
        &kernel,
        settings,
        listener,
        config.clone(),
        fleet.clone(),
        peers,
    );
    control::start(&kernel, settings, acceptor, client).context(LookupSnafu)?;
    log::info!(
        event = "daemon_started", name:% = settings.name, dc:% = settings.dc,
        listen:% = entry_address, control_listen:% = control_address; ""
    );
    Ok(RunningDaemon {
        entry_address,
        control_address,
        kernel,
        limits: settings.limits.clone(),
    })
}

impl RunningDaemon {
    /// Stops gracefully: requests in progress finish, new ones are rejected as not run.
    ///
    /// Callers are first directed to other entry VMs: the health check fails, and each
    /// connection is closed after its response. The listening socket is closed after
    /// that.
    pub async fn stop(self) {
        log::info!(event = "shutdown_started"; "");
        self.kernel.advance(ShutdownPhase::Announced);
        sleep(self.limits.announce).await;
        self.kernel.advance(ShutdownPhase::Draining);
        let drained = self
            .kernel
            .join_service(entry::NAME, self.limits.shutdown_limit);
        drained.await;
        self.wait_for_backends().await;
        self.kernel.advance(ShutdownPhase::Drained);
        self.kernel.join_service(peers::LEAVE, STOP_LIMIT).await;
        self.kernel.advance(ShutdownPhase::Stopped);
        self.kernel.join(STOP_LIMIT).await;
        log::info!(event = "shutdown_ended"; "");
    }

    /// Waits for requests that still run at a backend server although their callers have
    /// disconnected.
    async fn wait_for_backends(&self) {
        let Ok(inbox) = self.kernel.find::<DispatchInbox>(entry::NAME) else {
            return;
        };
        let deadline = Instant::now() + self.limits.shutdown_limit;
        while let Some(ack) = inbox.fetch_ack().await {
            if ack.in_use.is_empty() {
                return;
            }
            if Instant::now() > deadline {
                log::warn!(event = "shutdown_limit_passed", vms = ack.in_use.len(); "");
                return;
            }
            sleep(BACKEND_POLL).await;
        }
    }
}
