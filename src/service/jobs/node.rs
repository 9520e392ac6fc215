//! Starts and stops the services of an entry VM that accepts jobs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::boot_ms;
use crate::clock::unix_ms;
use crate::keep_alive::KeepAliveClient;
use crate::keep_alive::KeepAliveSettings;
use crate::kernel::ServiceKernel;
use crate::kernel::ShutdownPhase;
use crate::metrics;
use crate::ports::DialectPort;
use crate::ports::client::CallTimeouts;
use crate::ports::client::PortClient;
use crate::service::ingress::body::ClientRequest;
use crate::service::ingress::limits::RequestLimits;
use crate::service::ingress::limits::VmLimits;
use crate::service::ingress::serve;
use crate::service::ingress::serve::ServeSettings;
use crate::service::jobs::exchange;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::front;
use crate::service::jobs::front::FrontState;
use crate::service::jobs::member;
use crate::service::jobs::messages::MemberState;
use crate::service::jobs::messages::OperatorState;
use crate::service::jobs::operator;
use crate::service::jobs::owner;
use crate::service::jobs::owner::OwnerContext;
use crate::service::jobs::peer;
use crate::service::jobs::peer::MAX_MESSAGE_BYTES;
use crate::service::jobs::peer::PeerState;
use crate::service::jobs::relay::RelayClient;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::status::ConfigStatus;
use crate::service::jobs::store::StoreLink;

/// Name under which the kernel runs all tasks except those of [`FRONT`] and [`OWNER`].
pub const NAME: &str = "jobs";

/// Name of the service that answers callers; a shutdown waits for its requests.
pub const FRONT: &str = "front";

/// Name of the service that owns the shard; a shutdown waits for it to release the
/// shard.
pub const OWNER: &str = "owner";

/// Time between reporting not ready and closing the listener for callers: the load
/// balancer removes an entry VM after two failed checks, a second apart.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2400);

/// Time between two aggregations of histogram values, which use memory until then.
const DRAIN_PERIOD: Duration = Duration::from_secs(5);

/// Part of the grace period that is reserved for the end of the process itself.
const END_MARGIN: Duration = Duration::from_millis(600);

/// An entry VM could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum NodeError {
    /// The listener on an address could not be opened.
    #[snafu(display("step=listen peer={address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// A running entry VM.
pub struct RunningNode {
    /// Address on which callers are served.
    pub front: SocketAddr,
    /// Address on which other entry VMs are served.
    pub control: SocketAddr,
    kernel: ServiceKernel,
    grace: Duration,
}

/// Starts all services. A port 0 in the settings is replaced by a free one, which
/// [`RunningNode`] shows for callers and other entry VMs.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn start(settings: NodeSettings, dialect: DialectPort) -> Result<RunningNode, NodeError> {
    metrics::start();
    let kernel = ServiceKernel::default();
    let front = listen(settings.front)?;
    let ready = listen(settings.ready)?;
    let control = listen(settings.control)?;
    let front_address = front.local_addr().context(ListenSnafu {
        address: settings.front,
    })?;
    let address = settings.control;
    let control_address = control.local_addr().context(ListenSnafu { address })?;
    let settings = NodeSettings {
        control: control_address,
        front: front_address,
        ..settings
    };
    let client = KeepAliveClient::new(KeepAliveSettings::default());
    let link = StoreLink::new(dialect, settings.addresses.store, client.clone());
    link.set_peers(
        settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != settings.control)
            .collect(),
    );
    let (members, member_view) = watch::channel(MemberState::default());
    let (operator, operator_view) = watch::channel(OperatorState::default());
    let (inbox, inbox_view) = watch::channel(None);
    let exchange = ExchangeState {
        name: settings.name.clone(),
        operator,
        members: members.clone(),
        last_contact: Arc::default(),
        started_ms: boot_ms(),
        disconnected: Arc::default(),
        cut_together: Arc::default(),
        client: client.clone(),
        status: ConfigStatus::new(settings.needs_accounts),
    };
    let relay = RelayClient {
        name: settings.name.clone(),
        members: member_view.clone(),
        inbox: inbox_view.clone(),
        client: client.clone(),
    };
    let context = OwnerContext {
        settings: settings.clone(),
        started_ms: unix_ms(),
        link: link.clone(),
        client: PortClient {
            dialect,
            addresses: settings.addresses,
            client,
            timeouts: CallTimeouts::default(),
        },
        members: member_view,
        operator: operator_view.clone(),
        exchange: exchange.clone(),
        phase: kernel.phase(),
    };
    kernel.spawn(NAME, member::register(settings.clone(), link.clone()));
    kernel.spawn(NAME, member::run(settings.clone(), link.clone(), members));
    let wait = settings.operator_wait();
    kernel.spawn(
        NAME,
        operator::run(dialect, link.clone(), wait, exchange.clone()),
    );
    kernel.spawn(
        NAME,
        exchange::run(settings.clone(), link.clone(), exchange.clone()),
    );
    kernel.spawn(OWNER, owner::run(context, inbox));
    start_servers(
        &kernel,
        &settings,
        [front, ready, control],
        ServerStates {
            front: FrontState {
                dialect,
                operator: operator_view,
                relay,
                revocation: settings.revocation,
                exchange: exchange.clone(),
                phase: kernel.phase(),
            },
            peer: PeerState {
                owner: inbox_view,
                exchange,
                link,
            },
        },
    );
    start_metrics(&kernel, settings.metrics);
    kernel.spawn(NAME, drain_histograms());
    log::info!(
        event = "node_started", name = settings.name.as_str(), dc = settings.dc.as_str(),
        front:% = front_address, control:% = control_address; ""
    );
    Ok(RunningNode {
        front: front_address,
        control: control_address,
        kernel,
        grace: settings.grace,
    })
}

struct ServerStates {
    front: FrontState,
    peer: PeerState,
}

fn start_servers(
    kernel: &ServiceKernel,
    settings: &NodeSettings,
    listeners: [TcpListener; 3],
    states: ServerStates,
) {
    let [front, ready, control] = listeners;
    let ready_state = ReadyState {
        front: states.front.clone(),
        peer: states.peer.clone(),
    };
    let ready_path = states.front.dialect.ready_path;
    let handler = move |request: ClientRequest| {
        let state = ready_state.clone();
        async move {
            let path_matches = request.parts.uri.path() == ready_path;
            let status = if path_matches && state.is_ready() {
                200
            } else {
                503
            };
            serve::answer(status, "", Bytes::new())
        }
    };
    let server = ServeSettings {
        name: "ready",
        stop_phase: ShutdownPhase::Stopped,
        limits: VmLimits::probes(),
    };
    let limits = RequestLimits::default;
    kernel.spawn(
        NAME,
        serve::run(ready, server.clone(), limits, kernel.phase(), handler),
    );
    let peer_state = states.peer;
    let handler = move |request| peer::handle(peer_state.clone(), request);
    let server = ServeSettings {
        name: "control",
        limits: settings.vm.peers(MAX_MESSAGE_BYTES),
        ..server
    };
    kernel.spawn(
        NAME,
        serve::run(control, server, limits, kernel.phase(), handler),
    );
    let front_state = states.front;
    let operator = front_state.operator.clone();
    let limits = move || {
        let operator = operator.borrow();
        let config = operator.config.as_deref();
        config.map(RequestLimits::from).unwrap_or_default()
    };
    let handler = move |request| front::handle(front_state.clone(), request);
    let server = ServeSettings {
        name: "front",
        limits: settings.vm.callers(),
        ..ServeSettings::default()
    };
    log::info!(
        event = "serving", front:% = settings.front,
        connections = server.limits.connections.connections,
        buffer_bytes = server.limits.connections.buffer_bytes; ""
    );
    kernel.spawn(
        FRONT,
        serve::run(front, server, limits, kernel.phase(), handler),
    );
}

/// Aggregates the recorded histogram values in each period; never returns.
async fn drain_histograms() {
    loop {
        sleep(DRAIN_PERIOD).await;
        metrics::drain_histograms();
    }
}

fn start_metrics(kernel: &ServiceKernel, address: Option<SocketAddr>) {
    let Some(address) = address else {
        return;
    };
    let listener = match listen(address) {
        Ok(listener) => listener,
        // The entry VM works without metrics, so this does not stop its start.
        Err(error) => return log::warn!(event = "metrics_listen_failed", error:% = error; ""),
    };
    let handler = |_request| async { serve::answer(200, "text/plain", metrics::render()) };
    let server = ServeSettings {
        name: "metrics",
        stop_phase: ShutdownPhase::Stopped,
        limits: VmLimits::probes(),
    };
    let limits = RequestLimits::default;
    kernel.spawn(
        NAME,
        serve::run(listener, server, limits, kernel.phase(), handler),
    );
}

fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    serve::listen(address).context(ListenSnafu { address })
}

#[derive(Clone)]
struct ReadyState {
    front: FrontState,
    peer: PeerState,
}

impl ReadyState {
    fn is_ready(&self) -> bool {
        let running = *self.front.phase.borrow() == ShutdownPhase::Running;
        let configured =
            self.front.operator.borrow().config.is_some() && self.peer.exchange.status.is_usable();
        running && configured && !self.peer.exchange.is_disconnected()
    }
}

impl RunningNode {
    /// Shuts down gracefully: reports not ready, transfers the shard, then finishes the
    /// requests in progress. Takes about the grace period of the settings at most.
    pub async fn stop(self) {
        log::info!(event = "shutdown_started"; "");
        self.kernel.advance(ShutdownPhase::Announced);
        sleep(DEREGISTRATION_DELAY).await;
        self.kernel.advance(ShutdownPhase::Draining);
        let limit = self.grace.saturating_sub(DEREGISTRATION_DELAY + END_MARGIN);
        self.kernel.join_service(FRONT, limit).await;
        self.kernel.join_service(OWNER, END_MARGIN / 4).await;
        self.kernel.advance(ShutdownPhase::Stopped);
        log::info!(event = "shutdown_ended"; "");
    }
}
