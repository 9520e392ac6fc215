//! Callers that do not finish their requests, at the entry service.
//!
//! Guards against callers that take all connections, or all memory for requests, and keep
//! them; others then got no answer.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::entry::EntryFixture;
use support::entry::FixtureSettings;
use support::entry::POOL;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Opens connections that send these bytes and stay open.
async fn open_crowd(address: SocketAddr, connections: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for _ in 0..connections {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        // Fails if the connection has been closed.
        let _ = stream.write_all(bytes).await;
        crowd.push(stream);
    }
    crowd
}

/// Sends a request on a new connection and returns the answer; empty if there is none.
async fn call(address: SocketAddr, body: &str) -> String {
    let request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nchicory-pool: {POOL}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("send");
    let mut answer = Vec::new();
    // What was received before the limit is returned.
    let _ = timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Starts the service without backend servers: a request that it reads is refused with
/// `no-backend`.
async fn start(limits: &'static str) -> EntryFixture {
    EntryFixture::start(
        &[],
        FixtureSettings {
            limits,
            ..FixtureSettings::default()
        },
    )
    .await
}

#[tokio::test]
async fn connections_taken_by_heads_others_answered() {
    let fixture = start("connections=16\n").await;
    let _crowd = open_crowd(fixture.address, 48, b"POS").await;
    let answer = call(fixture.address, "body").await;
    assert!(answer.contains("no-backend"), "{answer}");
}

#[tokio::test]
async fn connections_taken_by_bodies_others_answered() {
    let fixture = start("connections=16\n").await;
    let bytes = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nchicory-pool: {POOL}\r\nchicory-deadline-ms: 600000\r\n\
         content-length: 2000\r\n\r\na"
    );
    let _crowd = open_crowd(fixture.address, 48, bytes.as_bytes()).await;
    let answer = call(fixture.address, "body").await;
    assert!(answer.contains("no-backend"), "{answer}");
}

/// What cannot be kept in memory is refused as not run.
#[tokio::test]
async fn memory_taken_by_bodies_refused_others_answered() {
    let fixture = start("request_bytes=65536\nbuffer_bytes=262144\n").await;
    let mut bytes = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nchicory-pool: {POOL}\r\nchicory-deadline-ms: 600000\r\n\
         content-length: 65536\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + 65_535, b' ');
    let mut crowd = open_crowd(fixture.address, 32, &bytes).await;
    let answer = call(fixture.address, "body").await;
    assert!(answer.contains("no-backend"), "{answer}");
    let mut first = vec![0; 1024];
    let length = timeout(WAIT_LIMIT, crowd[0].read(&mut first)).await;
    let length = length.expect("a refusal in time").expect("a refusal");
    let refusal = String::from_utf8_lossy(&first[..length]);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("chicory-outcome: not-run"), "{refusal}");
    assert!(refusal.contains("chicory-reason: overload"), "{refusal}");
}

/// A single request at the limits is served in calm.
#[tokio::test]
async fn calm_largest_body_read() {
    let fixture = start("request_bytes=65536\nbuffer_bytes=262144\n").await;
    let answer = call(fixture.address, &"a".repeat(65_536)).await;
    assert!(answer.contains("no-backend"), "{answer}");
    let answer = call(fixture.address, &"a".repeat(65_537)).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}
