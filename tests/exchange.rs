//! Outcomes of requests to backend servers that answer in unusual ways, wrongly, late or
//! not at all. The fixture sends the answers byte by byte as written, over TCP.
//!
//! Guards against a wrong outcome for a request whose effect is unknown, and against an
//! answer that reaches another request.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use support::entry::CallerAnswer;
use support::entry::CallerRequest;
use support::entry::EntryFixture;
use support::entry::FixtureSettings;
use support::entry::Reaction;
use support::entry::ScriptedBackend;
use support::entry::answer_text;
use support::entry::header_of;
use support::entry::send_request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Starts an entry service with one backend server.
async fn start(
    react: impl Fn(usize, &str) -> Reaction + Send + Sync + 'static,
) -> (EntryFixture, ScriptedBackend) {
    let backend = ScriptedBackend::start(react).await;
    let entry = EntryFixture::start(&[backend.address], FixtureSettings::default()).await;
    (entry, backend)
}

async fn send_default_request(entry: &EntryFixture) -> CallerAnswer {
    let answer = send_request(entry.address, CallerRequest::default()).await;
    answer.expect("a final answer")
}

/// Builds an answer that has the request's id as its body.
fn echo(head: &str) -> String {
    let id = header_of(head, "chicory-request-id").expect("id");
    answer_text(&[("chicory-request-id", id)], id)
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_whole() {
    let answers = [
        ("POST", answer_text(&[], "done"), 200, "done"),
        (
            "POST",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n"
                .to_owned(),
            200,
            "done",
        ),
        (
            "POST",
            "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned() + &answer_text(&[], "done"),
            200,
            "done",
        ),
        (
            "POST",
            "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
            204,
            "",
        ),
        (
            "GET",
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n".to_owned(),
            304,
            "",
        ),
        (
            "HEAD",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n".to_owned(),
            200,
            "",
        ),
    ];
    for (method, text, status, body) in answers {
        let sent = text.clone();
        let (entry, _backend) = start(move |_, _| Reaction::Send(sent.clone())).await;
        let request = CallerRequest {
            method,
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect(&text);
        assert_eq!(answer.outcome(), "answered", "{text}");
        assert_eq!((answer.status, &answer.body[..]), (status, body.as_bytes()));
        if method == "HEAD" {
            assert_eq!(answer.header("content-length"), "9");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_truncated() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
        // Without a stated length, an answer that ends with the connection may be cut off.
        "HTTP/1.1 200 OK\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ncontent-",
        "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 0\r\nupgrade: x\r\n\r\n",
        "",
    ];
    for text in answers {
        let (entry, backend) = start(|_, _| Reaction::SendClose(text.to_owned())).await;
        let answer = send_default_request(&entry).await;
        assert_eq!(answer.outcome(), "unknown", "{text}");
        assert_eq!(backend.requests(), 1, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_oversized() {
    for (bytes, outcome) in [(2048, "answered"), (2049, "unknown")] {
        let react = move |_: usize, _: &str| Reaction::Send(answer_text(&[], &"x".repeat(bytes)));
        let backend = ScriptedBackend::start(react).await;
        let settings = FixtureSettings {
            limits: "answer_bytes=2048\n",
            ..FixtureSettings::default()
        };
        let entry = EntryFixture::start(&[backend.address], settings).await;
        assert_eq!(send_default_request(&entry).await.outcome(), outcome);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_foreign() {
    // An answer with the id of another request is ignored, even if it says that the
    // request did not run: the outcome stays unknown.
    for extra in [None, Some(("chicory-outcome", "not-run"))] {
        let (entry, backend) = start(move |_, _| {
            let mut headers = vec![("chicory-request-id", "r-0")];
            headers.extend(extra);
            Reaction::Send(answer_text(&headers, "done"))
        })
        .await;
        assert_eq!(send_default_request(&entry).await.outcome(), "unknown");
        assert_eq!(backend.requests(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_extra() {
    // A second answer on the same connection must not reach the next request.
    let (entry, _backend) = start(|_, head| {
        let stale = answer_text(&[], "stale");
        Reaction::Send(echo(head) + &stale)
    })
    .await;
    for number in 0..20 {
        let id = format!("r-{number}");
        let request = CallerRequest {
            id: &id,
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect("answer");
        assert_eq!(answer.outcome(), "answered");
        assert_eq!(answer.body, id.as_bytes());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_late() {
    let (entry, backend) = start(|number, head| {
        let delay = Duration::from_millis(if number == 0 { 600 } else { 0 });
        Reaction::Late(delay, echo(head))
    })
    .await;
    let late = CallerRequest {
        id: "r-late",
        deadline_ms: 100,
        ..CallerRequest::default()
    };
    let answer = send_request(entry.address, late).await.expect("answer");
    assert_eq!(answer.outcome(), "unknown");
    // The backend server still runs the request, so its slot stays in use.
    assert_eq!(entry.in_use().await, 1);
    let next = send_default_request(&entry).await;
    assert_eq!((next.outcome(), &next.body[..]), ("answered", &b"r-1"[..]));
    support::eventually("slot free", || async { entry.in_use().await == 0 }).await;
    assert_eq!(backend.requests(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_overdue() {
    let backend = ScriptedBackend::start(|_, _| Reaction::Hang).await;
    let settings = FixtureSettings {
        limits: "overrun_limit_ms=100\n",
        ..FixtureSettings::default()
    };
    let entry = EntryFixture::start(&[backend.address], settings).await;
    let request = CallerRequest {
        deadline_ms: 100,
        ..CallerRequest::default()
    };
    let answer = send_request(entry.address, request).await.expect("answer");
    assert_eq!(answer.outcome(), "unknown");
    support::eventually("slot free", || async { entry.in_use().await == 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn send_closed_connection() {
    // The backend server closes each connection after its first answer, without the
    // header `connection: close`. No request may be sent on it afterwards.
    for idempotent in [false, true] {
        let (entry, backend) = start(|_, head| Reaction::SendClose(echo(head))).await;
        for number in 0..20 {
            let closed = || async { backend.closed.load(Ordering::SeqCst) == number };
            support::eventually("closed", closed).await;
            let request = CallerRequest {
                idempotent,
                ..CallerRequest::default()
            };
            let answer = send_request(entry.address, request).await.expect("answer");
            assert_eq!(answer.outcome(), "answered");
        }
        assert_eq!(backend.requests(), 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn send_cut() {
    // The backend server reads its first request and closes the connection without an
    // answer.
    let react = |number: usize, head: &str| match number {
        0 => Reaction::SendClose(String::new()),
        _ => Reaction::Send(echo(head)),
    };
    for (idempotent, outcome, sends) in [(false, "unknown", 1), (true, "answered", 2)] {
        let (entry, backend) = start(react).await;
        let request = CallerRequest {
            idempotent,
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect("answer");
        assert_eq!(answer.outcome(), outcome);
        assert_eq!(backend.requests(), sends);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn send_cut_then_refused() {
    // The first send may have run, so the outcome is unknown even if the resends are
    // refused as not run.
    let (entry, backend) = start(|number, _| match number {
        0 => Reaction::SendClose(String::new()),
        _ => Reaction::Send(answer_text(&[("chicory-outcome", "not-run")], "")),
    })
    .await;
    let request = CallerRequest {
        idempotent: true,
        ..CallerRequest::default()
    };
    let answer = send_request(entry.address, request).await.expect("answer");
    assert_eq!(answer.outcome(), "unknown");
    assert_eq!(backend.requests(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn send_budget() {
    // Each idempotent request may be sent three times, until the retry budget is used up.
    let (entry, backend) = start(|_, _| Reaction::SendClose(String::new())).await;
    for _ in 0..40 {
        let request = CallerRequest {
            idempotent: true,
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect("answer");
        assert_eq!(answer.outcome(), "unknown");
    }
    let resends = backend.requests() - 40;
    assert!((10..=14).contains(&resends), "{resends}");
}

#[tokio::test(flavor = "multi_thread")]
async fn send_refused() {
    let refusal = || answer_text(&[("chicory-outcome", "not-run")], "");
    let refusing = ScriptedBackend::start(move |_, _| Reaction::Send(refusal())).await;
    let accepting = ScriptedBackend::start(|_, head| match header_of(head, "chicory-request-id") {
        Some("r-held") => Reaction::Hang,
        _ => Reaction::Send(echo(head)),
    })
    .await;
    let backends = [refusing.address, accepting.address];
    let entry = EntryFixture::start(&backends, FixtureSettings::default()).await;
    // With one request held at the other backend server, the refusing one has less load
    // and is chosen first.
    let held = CallerRequest {
        id: "r-held",
        ..CallerRequest::default()
    };
    tokio::spawn(send_request(entry.address, held));
    support::eventually("held", || async { accepting.requests() == 1 }).await;
    for _ in 0..4 {
        assert_eq!(send_default_request(&entry).await.outcome(), "answered");
    }
    assert_eq!(accepting.requests(), 5);
    let entry = EntryFixture::start(&[refusing.address], FixtureSettings::default()).await;
    let answer = send_default_request(&entry).await;
    assert_eq!(
        (answer.outcome(), answer.reason()),
        ("not-run", "backend-refused")
    );
    assert!(!answer.header("retry-after").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn connect_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let closed = listener.local_addr().expect("address");
    drop(listener);
    let entry = EntryFixture::start(&[closed], FixtureSettings::default()).await;
    let answer = send_default_request(&entry).await;
    assert_eq!(
        (answer.outcome(), answer.reason()),
        ("not-run", "backend-refused")
    );
    assert_eq!(entry.in_use().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn continue_expected() {
    let (entry, backend) = start(|_, head| Reaction::Send(echo(head))).await;
    let mut stream = TcpStream::connect(entry.address).await.expect("connection");
    let head = "POST / HTTP/1.1\r\nhost: e\r\nchicory-pool: intake\r\n\
                expect: 100-continue\r\ncontent-length: 5\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("head");
    let mut first = vec![0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
    stream.read_exact(&mut first).await.expect("continue");
    assert!(first.starts_with(b"HTTP/1.1 100"));
    stream.write_all(b"order").await.expect("body");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.expect("answer");
    assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
    let heads = backend.heads.lock().expect("lock");
    assert!(header_of(&heads[0], "expect").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_edge() {
    let (_, backend) = start(|_, head| Reaction::Send(echo(head))).await;
    let settings = FixtureSettings {
        limits: "request_bytes=1024\nconnections=1\n",
        ..FixtureSettings::default()
    };
    let entry = EntryFixture::start(&[backend.address], settings).await;
    for (bytes, status) in [(1024, 200), (1025, 400)] {
        let request = CallerRequest {
            body: Bytes::from(vec![b'x'; bytes]),
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect("answer");
        assert_eq!(answer.status, status);
    }
    let long = "x".repeat(129);
    for (id, status) in [(&long[..128], 200), (&long[..], 400)] {
        let request = CallerRequest {
            id,
            ..CallerRequest::default()
        };
        let answer = send_request(entry.address, request).await.expect("answer");
        assert_eq!(answer.status, status);
    }
    let large = "x".repeat(1 << 20);
    let request = CallerRequest {
        extra_headers: BTreeMap::from([("x-large", &large[..])]),
        ..CallerRequest::default()
    };
    let answer = send_request(entry.address, request).await;
    assert!(answer.is_none_or(|answer| answer.status == 431));
    // A second connection is not accepted until the first is closed.
    let first = TcpStream::connect(entry.address).await.expect("connection");
    let start = Instant::now();
    let second = tokio::spawn(request_status(entry.address));
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(first);
    assert_eq!(second.await.expect("task"), Some(200));
    assert!(start.elapsed() >= Duration::from_millis(300));
}

async fn request_status(entry: SocketAddr) -> Option<u16> {
    let answer = send_request(entry, CallerRequest::default()).await;
    answer.map(|answer| answer.status)
}
