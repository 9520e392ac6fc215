//! A proxy in front of a worker, which can go dark.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often a channel looks whether it has gone silent.
const LOOK: Duration = Duration::from_millis(10);

/// A link to a worker; clones share their state.
#[derive(Clone)]
pub struct Link {
    /// Where the worker is reached.
    pub address: SocketAddr,
    server: Arc<Mutex<SocketAddr>>,
    /// Channels that were opened in an earlier round are silent.
    round: Arc<AtomicU64>,
    /// Whether new channels are silent too.
    dark: Arc<AtomicBool>,
}

impl Link {
    /// Starts a link to a server.
    pub fn start(server: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind((server.ip(), 0))?;
        let link = Link {
            address: listener.local_addr()?,
            server: Arc::new(Mutex::new(server)),
            round: Arc::default(),
            dark: Arc::default(),
        };
        let own = link.clone();
        thread::spawn(move || {
            let mut unanswered = Vec::new();
            for client in listener.incoming().flatten() {
                if own.dark.load(Ordering::SeqCst) {
                    // Stays open and is never answered.
                    unanswered.push(client);
                    continue;
                }
                let server = *own.server.lock().expect("lock the link");
                let Ok(upstream) = TcpStream::connect(server) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = upstream.set_nodelay(true);
                let (Ok(other_client), Ok(other_upstream)) =
                    (client.try_clone(), upstream.try_clone())
                else {
                    continue;
                };
                let round = own.round.load(Ordering::SeqCst);
                let (first, second) = (own.clone(), own.clone());
                thread::spawn(move || first.pump(client, upstream, round));
                thread::spawn(move || second.pump(other_upstream, other_client, round));
            }
        });
        Ok(link)
    }

    /// Leads new channels to a server.
    pub fn lead_to(&self, server: SocketAddr) {
        *self.server.lock().expect("lock the link") = server;
        self.dark.store(false, Ordering::SeqCst);
    }

    /// Lets all channels go silent, without a reset, and new ones until the link leads to a
    /// server again.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        self.round.fetch_add(1, Ordering::SeqCst);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, round: u64) {
        let _ = from.set_read_timeout(Some(LOOK));
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if self.round.load(Ordering::SeqCst) != round {
                // Nothing passes any more; the sockets stay open.
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            match read {
                Ok(0) => break,
                Ok(size) => {
                    if to.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
