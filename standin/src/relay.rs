//! Stand-in of a network link: passes TCP connections on and can be cut.

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
    /// Bytes pass.
    #[default]
    Up,
    /// Connections are dropped, new ones too.
    Cut,
    /// Open connections are dropped, new ones hang.
    Stalled,
    /// Nothing passes and nothing is dropped, also on open connections.
    Silent,
}

/// A link that runs until it is dropped.
pub struct RunningRelay {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Drop for RunningRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.state.send_replace(LinkState::Cut);
    }
}

impl RunningRelay {
    /// Changes the state; connections that pass bytes are dropped unless it is up.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Starts a link to `target` with a delay of `delay` for each new connection.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn start(
    listen: SocketAddr,
    target: SocketAddr,
    delay: Duration,
) -> io::Result<RunningRelay> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let state = watch::Sender::new(LinkState::Up);
    let view = state.subscribe();
    let task = tokio::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, delay, view.clone()));
            }
        }
    });
    Ok(RunningRelay {
        address,
        state,
        task,
    })
}

async fn pass(
    mut stream: TcpStream,
    target: SocketAddr,
    delay: Duration,
    mut view: watch::Receiver<LinkState>,
) {
    sleep(delay).await;
    let hangs = |state: &LinkState| matches!(state, LinkState::Stalled | LinkState::Silent);
    let open = view.wait_for(|state| !hangs(state)).await;
    // The relay is gone.
    let Ok(open) = open.map(|state| *state) else {
        return;
    };
    if open == LinkState::Cut {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    tokio::select! {
        // Either side may break off at any time.
        _ = copy_bidirectional(&mut stream, &mut onward) => {}
        _ = view.wait_for(|state| *state != LinkState::Up) => {}
    }
    // What was silent once stays so: the bytes in between are missing.
    let _ = view.wait_for(|state| *state != LinkState::Silent).await;
}
