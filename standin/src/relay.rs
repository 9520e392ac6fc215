//! Stand-in of a network link: a TCP relay with injected faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Connections are accepted and relayed.
    #[default]
    Up,
    /// Open and new connections are closed.
    Cut,
    /// Open connections are closed; new ones are accepted and hang until the state changes.
    Stalled,
    /// No bytes are relayed, and neither open nor new connections are closed.
    Blackhole,
}

/// A link that runs until it is dropped.
pub struct RunningRelay {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of times that the open connections went silent.
    silences: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.state.send_replace(LinkState::Cut);
    }
}

impl RunningRelay {
    /// Changes the state; any state but [`LinkState::Up`] ends relaying on open
    /// connections for good.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Ends relaying on all open connections for good, without closing them until the state
    /// changes. New connections are relayed.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

/// Starts a link to `target` that delays each new connection by `delay`.
///
/// # Errors
///
/// Fails if the listen address cannot be bound.
pub async fn start(
    listen: SocketAddr,
    target: SocketAddr,
    delay: Duration,
) -> io::Result<RunningRelay> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let state = watch::Sender::new(LinkState::Up);
    let silences = watch::Sender::new(0);
    let (view, silence_view) = (state.subscribe(), silences.subscribe());
    let task = tokio::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let mut silences = silence_view.clone();
                silences.mark_unchanged();
                tokio::spawn(relay(stream, target, delay, view.clone(), silences));
            }
        }
    });
    Ok(RunningRelay {
        address,
        state,
        silences,
        task,
    })
}

async fn relay(
    mut stream: TcpStream,
    target: SocketAddr,
    delay: Duration,
    mut view: watch::Receiver<LinkState>,
    mut silences: watch::Receiver<u64>,
) {
    sleep(delay).await;
    let hangs = |state: &LinkState| matches!(state, LinkState::Stalled | LinkState::Blackhole);
    let state = view.wait_for(|state| !hangs(state)).await;
    // The receiver fails only when the relay has been dropped.
    let Ok(state) = state.map(|state| *state) else {
        return;
    };
    if state == LinkState::Cut {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let is_silent = tokio::select! {
        // Either side may close its connection at any time, which is no error.
        _ = copy_bidirectional(&mut stream, &mut upstream) => false,
        _ = view.wait_for(|state| *state != LinkState::Up) => false,
        Ok(()) = silences.changed() => true,
    };
    if is_silent {
        let _ = view.wait_for(|state| *state != LinkState::Up).await;
    }
    // A connection that was black-holed is not relayed again, as bytes may be missing from
    // the stream. It stays open until the state changes, then it is closed.
    let _ = view.wait_for(|state| *state != LinkState::Blackhole).await;
}
