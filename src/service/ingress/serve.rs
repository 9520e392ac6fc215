//! An HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::decide::connections::ConnectionStage;
use crate::decide::connections::NoRoom;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::request::RefuseReason;
use crate::request::RequestOutcome;
use crate::request::headers;
use crate::service::ingress::ConnectionHandle;
use crate::service::ingress::Ingress;
use crate::service::ingress::body::ClientRequest;
use crate::service::ingress::body::RequestBody;
use crate::service::ingress::limits::RequestLimits;
use crate::service::ingress::limits::ServeLimits;
use crate::service::ingress::stream::ClientStream;

/// HTTP response of a handler.
pub type HttpAnswer = Response<Full<Bytes>>;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two checks of the time limits of connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time that a connection which is closed has to send the refusal of its request.
const CLOSE_LIMIT: Duration = Duration::from_millis(100);

/// Max number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Min size that the HTTP library accepts for its buffer, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Bytes that may precede a head of the largest size: empty lines, which servers should
/// ignore.
const HEAD_SLACK_BYTES: usize = 64;

/// Answer to a client for which there is no room; its request is not read.
const NO_ROOM_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    chicory-outcome: not-run\r\nchicory-reason: overload\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Retry delay of clients for which there is no room, in seconds.
const NO_ROOM_RETRY_S: u16 = 1;

/// Settings of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeSettings {
    /// Name for the log.
    pub name: &'static str,
    /// Phase of the shutdown from which it accepts no connections and closes idle ones.
    pub stop_phase: ShutdownPhase,
    /// Limits on its connections.
    pub limits: ServeLimits,
}

impl Default for ServeSettings {
    fn default() -> Self {
        Self {
            name: "http",
            stop_phase: ShutdownPhase::Draining,
            limits: ServeLimits::default(),
        }
    }
}

/// Binds a socket for [`run`].
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves until the shutdown reaches `stop_phase`, then returns once the requests in
/// progress have finished. `limits` returns the limits of requests that are in force.
pub async fn run<L, H, F>(
    listener: TcpListener,
    settings: ServeSettings,
    limits: L,
    mut phase: watch::Receiver<ShutdownPhase>,
    handler: H,
) where
    L: Fn() -> RequestLimits + Send + 'static,
    H: Fn(ClientRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let ingress = Ingress::new(settings.name, &settings.limits);
    let max_connections = settings.limits.connections.connections;
    let mut connections = JoinSet::new();
    let connection_phase = phase.clone();
    let mut sweep = interval(SWEEP_PERIOD);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = wait_for_phase(&mut phase, settings.stop_phase) => break,
            _ = connections.join_next(), if !connections.is_empty() => {}
            _ = sweep.tick(), if !connections.is_empty() => ingress.sweep(limits().stages),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match ingress.open().await {
                    Ok(handle) => {
                        // A connection that is closed for this one still has to end.
                        while connections.len() >= max_connections {
                            connections.join_next().await;
                        }
                        let mut phase = connection_phase.clone();
                        let shutdown = async move {
                            wait_for_phase(&mut phase, settings.stop_phase).await;
                        };
                        connections.spawn(serve_connection(
                            stream,
                            handle,
                            limits(),
                            shutdown,
                            handler.clone(),
                        ));
                    }
                    Err(NoRoom) => refuse_connection(&stream),
                },
                Err(error) => {
                    log::warn!(event = "accept_failed", server = settings.name, error:% = error; "");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    while !connections.is_empty() {
        tokio::select! {
            _ = connections.join_next() => {}
            _ = sweep.tick() => ingress.sweep(limits().stages),
        }
    }
}

/// Tells a client that there is no room for its connection, which is closed then.
pub fn refuse_connection(stream: &TcpStream) {
    // Fails if the client has closed the connection.
    let _ = stream.try_write(NO_ROOM_ANSWER);
}

/// Serves a connection until it is closed; no further requests are read on it once `shutdown`
/// has completed.
pub async fn serve_connection<H, F>(
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
    limits: RequestLimits,
    shutdown: impl Future<Output = ()>,
    handler: H,
) where
    H: Fn(ClientRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let server = handle.ingress.name;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "connection_lost", server = server, error:% = error; "");
        return;
    }
    let request_handle = handle.clone();
    let service = service_fn(move |request| {
        // Boxed, so that connections without a request need no memory for it.
        let answering = answer_request(request_handle.clone(), request, handler.clone());
        let answering = Box::pin(answering);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let stream = ClientStream::new(stream, handle.clone());
    let serving = connection_builder(limits).serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let result = tokio::select! {
        biased;
        result = serving.as_mut() => result,
        () = handle.closed() => {
            if !handle.has_body() {
                return;
            }
            // The handler refuses the request.
            serving.as_mut().graceful_shutdown();
            timeout(CLOSE_LIMIT, serving).await.unwrap_or(Ok(()))
        }
        () = shutdown => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = serving => result,
                () = handle.closed() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!(event = "connection_lost", server = server, error:% = error; "");
    }
}

fn connection_builder(limits: RequestLimits) -> http1::Builder {
    let head_bytes = limits.head_bytes.saturating_add(HEAD_SLACK_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .header_read_timeout(None);
    builder
}

async fn answer_request<H, F>(
    handle: Arc<ConnectionHandle>,
    request: Request<Incoming>,
    handler: H,
) -> HttpAnswer
where
    H: Fn(ClientRequest) -> F,
    F: Future<Output = HttpAnswer>,
{
    let (parts, incoming) = request.into_parts();
    let stage = if incoming.is_end_stream() {
        ConnectionStage::Whole
    } else {
        ConnectionStage::Body
    };
    let answer = if handle.enter(stage) {
        let body = RequestBody::new(incoming, handle.clone());
        handler(ClientRequest { parts, body }).await
    } else {
        no_room()
    };
    let bytes = answer.body().size_hint().lower();
    handle.begin_answer(usize::try_from(bytes).unwrap_or(usize::MAX));
    answer
}

/// Returns the answer to a request that was not passed on, since its connection is closed or
/// there is no room for it.
#[must_use]
pub fn no_room() -> HttpAnswer {
    let mut response = answer(503, "", Bytes::new());
    let fields = response.headers_mut();
    fields.insert(RETRY_AFTER, HeaderValue::from(NO_ROOM_RETRY_S));
    let outcome = RequestOutcome::NotRun.as_str();
    fields.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    let reason = RefuseReason::Overload.as_str();
    fields.insert(headers::REASON, HeaderValue::from_static(reason));
    fields.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns a response; without a content type if `content_type` is empty.
#[must_use]
pub fn answer(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> HttpAnswer {
    let mut response = Response::new(Full::new(body.into()));
    // All callers pass a valid status code.
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if !content_type.is_empty() {
        let value = HeaderValue::from_static(content_type);
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}
