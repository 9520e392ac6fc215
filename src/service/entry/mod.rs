//! Service `entry`: takes requests from callers and sends them to backend servers.
//!
//! The dispatcher task owns the queues, the slots and the idle connections to
//! backend servers. Each caller's connection is a task that asks the dispatcher
//! for a slot; each exchange with a backend server is a task of its own, so that
//! it keeps its slot until the backend server is done, even if the caller has
//! gone.

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
/// Name of the dispatcher's task, which outlives the last caller.
const DISPATCH: ServiceName = "dispatch";
/// Time that a caller gets to send the head of a request.
const HEADER_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Most requests that are being passed on to other entry VMs at once.
const MAX_FORWARDS: usize = 256;

/// What the handlers of callers' requests share.
struct EntryGate {
    name: EntryName,
    limits: EntryLimits,
    inbox: DispatchInbox,
    phase: watch::Receiver<ShutdownPhase>,
    /// Requests that are being passed on.
    forwards: Semaphore,
    /// Age of a slot's grant from which on it is out of date.
    pause_limit: Duration,
    started: Instant,
    /// Start of the process, as part of the request ids that are made here.
    started_ms: u64,
}

/// Starts the service on a bound socket.
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
    let gate = Arc::new(EntryGate {
        name: settings.name.clone(),
        limits: settings.limits.clone(),
        inbox: DispatchInbox::new(inbox.clone()),
        phase: kernel.phase(),
        forwards: Semaphore::new(MAX_FORWARDS),
        pause_limit: settings.control.pause_limit,
        started,
        started_ms: unix_ms(),
    });
    kernel.register::<DispatchInbox>(NAME, gate.inbox.clone());
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
    kernel.spawn(NAME, accept(gate, listener));
}

/// Accepts callers until the shutdown drains, then waits for their connections.
async fn accept(gate: Arc<EntryGate>, listener: TcpListener) {
    let connections = gate.limits.connections;
    let permits = Arc::new(Semaphore::new(connections));
    let mut phase = gate.phase.clone();
    tokio::select! {
        () = accept_callers(&gate, &listener, &permits) => {}
        () = wait_for_phase(&mut phase, ShutdownPhase::Draining) => {}
    }
    // Their number is bounded by the backlog of the socket.
    let mut last = JoinSet::new();
    for (stream, caller) in close(listener) {
        last.spawn(serve(gate.clone(), stream, caller));
    }
    last.join_all().await;
    let all = u32::try_from(connections).unwrap_or(u32::MAX);
    // The semaphore is never closed, so the wait ends when all callers are gone.
    let _ = permits.acquire_many(all).await;
}

/// Accepts callers for as long as the socket can do so.
async fn accept_callers(gate: &Arc<EntryGate>, listener: &TcpListener, permits: &Arc<Semaphore>) {
    while let Ok(permit) = permits.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let gate = gate.clone();
                tokio::spawn(async move {
                    serve(gate, stream, caller).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Closes the socket and returns the connections that were waiting in its backlog.
///
/// The kernel resets connections that are still in the backlog when the socket is
/// closed, together with the requests that their callers have sent already.
fn close(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return waiting;
    };
    while let Ok((stream, caller)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        waiting.extend(
            stream
                .and_then(TcpStream::from_std)
                .map(|stream| (stream, caller)),
        );
    }
    waiting
}

async fn serve(gate: Arc<EntryGate>, stream: TcpStream, caller: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", peer:% = caller, error:% = error; "");
    }
    let mut phase = gate.phase.clone();
    let announce = gate.limits.announce;
    let handle = service_fn(move |request| handler::handle(gate.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_LIMIT)
        .serve_connection(TokioIo::new(stream), handle);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = linger(&mut phase, announce) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "caller_connection_failed", peer:% = caller, error:% = error; "");
    }
}

/// Waits until an idle connection may be closed.
///
/// A request that a caller sends while its connection is being closed would be
/// cut, so connections stay open for a while after the listening has ended; a
/// request on one of them is refused as not run.
async fn linger(phase: &mut watch::Receiver<ShutdownPhase>, time: Duration) {
    wait_for_phase(phase, ShutdownPhase::Draining).await;
    sleep(time).await;
}
