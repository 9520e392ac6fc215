//! Service `entry`: accepts requests from callers and sends them to backend servers.
//!
//! The dispatcher task owns the queues, the slots and the idle connections to
//! backend servers. A slot is the permission to run one request on a VM. Each
//! caller's connection has a task that requests a slot from the dispatcher and then
//! sends the request. If the deadline passes or the caller disconnects before the
//! backend server has answered, the exchange continues in a task of its own and
//! keeps its slot until it ends.

mod dispatcher;
mod exchange;
mod forward;
mod handler;
mod health;
mod inbox;
mod send;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;

use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::names::EntryName;
use crate::service::config::ConfigView;
use crate::service::entry::dispatcher::DispatchParts;
use crate::service::fleet::FleetView;
use crate::service::ingress::ConnectionHandle;
use crate::service::ingress::Ingress;
use crate::service::ingress::serve;
use crate::service::peers::PeerView;
use crate::service::unix_ms;
use crate::settings::DaemonSettings;
use crate::settings::EntryLimits;

pub use health::EjectionMap;
pub use health::EjectionView;
pub use inbox::DispatchInbox;

/// Name of the service.
pub const NAME: ServiceName = "entry";
/// Name of the dispatcher's task; it ends after the task [`NAME`], at the phase `Stopped`.
const DISPATCH: ServiceName = "dispatch";
/// Time between two checks of the time limits of connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Delay after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of requests that are being forwarded to other entry VMs at once.
const MAX_FORWARDS: usize = 256;

/// State that the handlers of callers' requests share.
struct EntryContext {
    name: EntryName,
    limits: EntryLimits,
    inbox: DispatchInbox,
    phase: watch::Receiver<ShutdownPhase>,
    /// One permit for each request that is being forwarded.
    forward_permits: Semaphore,
    /// Maximum time between the grant of a slot and its use; after a longer time the
    /// process must have been paused.
    pause_limit: Duration,
    started: Instant,
    /// Unix time of the service's start; part of the request ids generated here, so
    /// that they differ from those before a restart.
    started_ms: u64,
}

/// Starts the service on a bound listener.
///
/// It registers its [`DispatchInbox`] and [`EjectionView`] with the kernel.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    listener: TcpListener,
    config: ConfigView,
    fleet: FleetView,
    peers: PeerView,
) {
    let started = Instant::now();
    let (inbox, messages) = mpsc::unbounded_channel();
    let context = Arc::new(EntryContext {
        name: settings.name.clone(),
        limits: settings.limits.clone(),
        inbox: DispatchInbox::new(inbox.clone()),
        phase: kernel.phase(),
        forward_permits: Semaphore::new(MAX_FORWARDS),
        pause_limit: settings.control.pause_limit,
        started,
        started_ms: unix_ms(),
    });
    kernel.register::<DispatchInbox>(NAME, context.inbox.clone());
    let (ejections, view) = watch::channel(Arc::default());
    kernel.register::<EjectionView>(NAME, view);
    let parts = DispatchParts {
        messages,
        inbox: inbox.downgrade(),
        config,
        fleet,
        peers,
        ejections,
        name: settings.name.clone(),
        periods: settings.control.clone(),
        started,
    };
    let mut phase = kernel.phase();
    kernel.spawn(DISPATCH, async move {
        tokio::select! {
            () = dispatcher::run(parts) => {}
            () = wait_for_phase(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
    kernel.spawn(NAME, accept(context, listener));
}

/// Accepts callers until the phase `Draining`, then waits until all their
/// connections are closed.
async fn accept(context: Arc<EntryContext>, listener: TcpListener) {
    let ingress = Ingress::new(NAME, &context.limits.serve_limits());
    let mut connections = JoinSet::new();
    let mut phase = context.phase.clone();
    tokio::select! {
        () = accept_callers(&context, &ingress, &listener, &mut connections) => {}
        () = wait_for_phase(&mut phase, ShutdownPhase::Draining) => {}
    }
    for stream in close_listener(listener) {
        match ingress.open().await {
            Ok(handle) => drop(connections.spawn(serve_caller(context.clone(), stream, handle))),
            Err(_) => serve::refuse_connection(&stream),
        }
    }
    let mut sweep = interval(SWEEP_PERIOD);
    while !connections.is_empty() {
        tokio::select! {
            _ = connections.join_next() => {}
            _ = sweep.tick() => ingress.sweep(context.limits.request_limits().stages),
        }
    }
}

/// Accepts callers; at the limit on connections, those that do not finish their requests are
/// closed for new ones.
async fn accept_callers(
    context: &Arc<EntryContext>,
    ingress: &Ingress,
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
) {
    let mut sweep = interval(SWEEP_PERIOD);
    loop {
        tokio::select! {
            _ = connections.join_next(), if !connections.is_empty() => {}
            _ = sweep.tick() => ingress.sweep(context.limits.request_limits().stages),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let Ok(handle) = ingress.open().await else {
                        serve::refuse_connection(&stream);
                        continue;
                    };
                    // A connection that is closed for this one still has to end.
                    while connections.len() >= context.limits.connections {
                        connections.join_next().await;
                    }
                    connections.spawn(serve_caller(context.clone(), stream, handle));
                }
                Err(error) => {
                    log::warn!(event = "accept_failed", error:% = error; "");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Closes the listener and returns the connections that were waiting in its backlog.
///
/// They are accepted first, since the operating system resets connections that are
/// still in the backlog when the listener is closed, and the requests that their
/// callers have already sent would be lost.
fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return accepted;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        accepted.extend(stream.and_then(TcpStream::from_std));
    }
    accepted
}

async fn serve_caller(
    context: Arc<EntryContext>,
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
) {
    let mut phase = context.phase.clone();
    let announce = context.limits.announce;
    let limits = context.limits.request_limits();
    let shutdown = async move { wait_before_close(&mut phase, announce).await };
    let handler = move |request| handler::handle(context.clone(), request);
    serve::serve_connection(stream, handle, limits, shutdown, handler).await;
}

/// Waits for the phase `Draining` and then for `delay`.
///
/// A request that arrives while its connection is being closed would be lost. So
/// connections stay open for a while after the listener is closed; a request that
/// arrives on one of them is refused as not run.
async fn wait_before_close(phase: &mut watch::Receiver<ShutdownPhase>, delay: Duration) {
    wait_for_phase(phase, ShutdownPhase::Draining).await;
    sleep(delay).await;
}
