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
