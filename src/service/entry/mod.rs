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

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::names::EntryName;
use crate::service::config::ConfigView;
use crate::service::entry::dispatcher::DispatchParts;
use crate::service::fleet::FleetView;
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
/// Maximum time in which a caller has to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
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
    let connections = context.limits.connections;
    let permits = Arc::new(Semaphore::new(connections));
    let mut phase = context.phase.clone();
    tokio::select! {
        () = accept_callers(&context, &listener, &permits) => {}
        () = wait_for_phase(&mut phase, ShutdownPhase::Draining) => {}
    }
    // These connections need no permit: the socket's backlog limits their number.
    let mut backlog = JoinSet::new();
    for (stream, caller) in close_listener(listener) {
        backlog.spawn(serve_connection(context.clone(), stream, caller));
    }
    backlog.join_all().await;
    let all = u32::try_from(connections).unwrap_or(u32::MAX);
    // All permits are free when all connections are closed. The semaphore itself is
    // never closed, so this can't fail.
    let _ = permits.acquire_many(all).await;
}

/// Accepts callers, each with a permit that limits the number of connections.
async fn accept_callers(
    context: &Arc<EntryContext>,
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) {
    while let Ok(permit) = permits.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let context = context.clone();
                tokio::spawn(async move {
                    serve_connection(context, stream, caller).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the listener and returns the connections that were waiting in its backlog.
///
/// They are accepted first, since the operating system resets connections that are
/// still in the backlog when the listener is closed, and the requests that their
/// callers have already sent would be lost.
fn close_listener(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return accepted;
    };
    while let Ok((stream, caller)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        accepted.extend(
            stream
                .and_then(TcpStream::from_std)
                .map(|stream| (stream, caller)),
        );
    }
    accepted
}

async fn serve_connection(context: Arc<EntryContext>, stream: TcpStream, caller: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", peer:% = caller, error:% = error; "");
    }
    let mut phase = context.phase.clone();
    let announce = context.limits.announce;
    let handle = service_fn(move |request| handler::handle(context.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handle);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_before_close(&mut phase, announce) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "caller_connection_failed", peer:% = caller, error:% = error; "");
    }
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
