//! Which failed calls of the keep-alive client count as unsent, and which are sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicorygauge::http::CallError;
use chicorygauge::http::CallRequest;
use chicorygauge::keep_alive::KeepAliveClient;
use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// What a server does with the requests of a connection after the first one, which it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerHabit {
    /// Reads the next request and closes the connection without an answer.
    ReadAndClose,
    /// Closes the connection before the next request.
    Close,
}

/// A server that counts the requests that it has read.
struct CountingServer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl CountingServer {
    async fn start(habit: ServerHabit) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, habit, Arc::clone(&counter)));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Counts a request that has been read; false at the end of the connection.
async fn read_request(stream: &mut TcpStream, counter: &AtomicUsize) -> bool {
    let mut buffer = [0; 4096];
    let is_read = stream.read(&mut buffer).await.is_ok_and(|size| size > 0);
    counter.fetch_add(usize::from(is_read), Ordering::Relaxed);
    is_read
}

async fn serve(mut stream: TcpStream, habit: ServerHabit, counter: Arc<AtomicUsize>) {
    if !read_request(&mut stream, &counter).await || stream.write_all(ANSWER).await.is_err() {
        return;
    }
    if habit == ServerHabit::ReadAndClose {
        read_request(&mut stream, &counter).await;
    }
}

fn order() -> CallRequest<'static> {
    CallRequest {
        method: Method::POST,
        path: "/order",
        ..CallRequest::default()
    }
}

/// A request on an idle connection that the server had read would be executed twice if it were
/// sent again.
#[tokio::test]
async fn call_read_and_closed_not_repeated() {
    let server = CountingServer::start(ServerHabit::ReadAndClose).await;
    let client = KeepAliveClient::default();
    let first = client.call(server.address, order()).await;
    assert!(first.is_ok());
    let second = client.call(server.address, order()).await;
    assert!(
        matches!(second, Err(CallError::Exchange { .. })),
        "{second:?}"
    );
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(server.requests(), 2);
}

/// A connection that the server has closed while it was idle costs no call, and no request
/// arrives twice.
#[tokio::test]
async fn call_idle_closed_sent_once() {
    let server = CountingServer::start(ServerHabit::Close).await;
    let client = KeepAliveClient::default();
    for number in 1..=20 {
        // With no pause the close may be seen before, while or after the request is written.
        match client.call(server.address, order()).await {
            Ok(_) => {}
            Err(CallError::Exchange { .. }) => {}
            Err(error) => panic!("{error}"),
        }
        assert!(server.requests() <= number, "a request was sent twice");
    }
}

/// Nothing is sent without a connection, so that the caller may use another peer.
#[tokio::test]
async fn call_refused_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let result = KeepAliveClient::default().call(address, order()).await;
    assert!(
        matches!(result, Err(CallError::Connect { .. })),
        "{result:?}"
    );
}

/// A server whose open connections can go silent, without being closed. A request whose path ends
/// in `slow` is answered after half a second.
#[derive(Clone)]
struct SilentServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// Number of the oldest connection that is not silent.
    first_alive: Arc<AtomicUsize>,
}

const SLOW_ANSWER: Duration = Duration::from_millis(500);

impl SilentServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            connections: Arc::default(),
            first_alive: Arc::default(),
        };
        let acceptor = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = acceptor.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(acceptor.clone().serve(stream, number));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream, number: usize) {
        let mut buffer = [0; 4096];
        while let Ok(size @ 1..) = stream.read(&mut buffer).await {
            let head = String::from_utf8_lossy(&buffer[..size]).into_owned();
            if head.contains("slow HTTP") {
                tokio::time::sleep(SLOW_ANSWER).await;
            }
            if number < self.first_alive.load(Ordering::Relaxed) {
                continue;
            }
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }

    /// Lets all open connections go silent.
    fn silence(&self) {
        let open = self.connections();
        self.first_alive.store(open, Ordering::Relaxed);
    }

    /// Returns the number of connections that were opened so far.
    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn timed_order(path: &'static str, limit_ms: u64) -> CallRequest<'static> {
    CallRequest {
        path,
        limit: Duration::from_millis(limit_ms),
        ..order()
    }
}

/// Opens this many connections, which are idle afterwards.
async fn open_connections(client: &KeepAliveClient, server: &SilentServer, count: usize) {
    let calls: Vec<_> = (0..count)
        .map(|_| {
            let (client, address) = (client.clone(), server.address);
            tokio::spawn(async move { client.call(address, timed_order("/slow", 2000)).await })
        })
        .collect();
    for call in calls {
        call.await.expect("a task").expect("an answer");
    }
    assert_eq!(server.connections(), count);
}

/// Each of the dead connections to a peer cost a call that was waited for.
#[tokio::test]
async fn call_after_silence_opens_connection() {
    let server = SilentServer::start().await;
    let client = KeepAliveClient::default();
    open_connections(&client, &server, 6).await;
    server.silence();
    let lost = client.call(server.address, timed_order("/", 200)).await;
    assert!(matches!(lost, Err(CallError::Timeout { .. })), "{lost:?}");
    let next = client.call(server.address, timed_order("/", 200)).await;
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(server.connections(), 7);
}

/// The same if the call that was waited for has opened its connection itself, and another one had
/// an answer before the silence began.
#[tokio::test]
async fn call_on_new_connection_lost_others_not_used() {
    let server = SilentServer::start().await;
    let client = KeepAliveClient::default();
    let (opening, address) = (client.clone(), server.address);
    let opened = tokio::spawn(async move {
        let request = timed_order("/slow", 900);
        opening.call_held(address, request, SLOW_ANSWER).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = client.call(server.address, timed_order("/", 900)).await;
    assert!(second.is_ok(), "{second:?}");
    server.silence();
    let lost = opened.await.expect("a task");
    assert!(matches!(lost, Err(CallError::Timeout { .. })), "{lost:?}");
    let next = client.call(server.address, timed_order("/", 200)).await;
    assert!(next.is_ok(), "{next:?}");
}

/// A call that takes too long at a peer that answers others says nothing about the connections of
/// those.
#[tokio::test]
async fn call_slow_connections_with_answers_kept() {
    let server = SilentServer::start().await;
    let client = KeepAliveClient::default();
    open_connections(&client, &server, 2).await;
    let (slow, address) = (client.clone(), server.address);
    let slow = tokio::spawn(async move { slow.call(address, timed_order("/slow", 300)).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..3 {
        let other = client.call(server.address, timed_order("/", 900)).await;
        assert!(other.is_ok(), "{other:?}");
    }
    let slow = slow.await.expect("a task");
    assert!(matches!(slow, Err(CallError::Timeout { .. })), "{slow:?}");
    let next = client.call(server.address, timed_order("/", 900)).await;
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(server.connections(), 2);
}
