//! A basic HTTP/1.1 client for control traffic.
//!
//! Each call opens a connection and sends one request, with a time limit and a
//! limit on the size of the response. Nothing is retried here: only the code
//! that makes a call knows whether the request may be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Max size of a response body, in bytes; enough for four of the platform's
/// largest values in base64.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A call that received no complete response.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The connection to the peer failed; nothing was sent.
    #[snafu(display("step=connect peer={peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The request may have been sent, at least in part, but no response was received.
    #[snafu(display("step=exchange peer={peer}: {source}"))]
    Exchange {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The response body is larger than [`MAX_RESPONSE_BYTES`] or was truncated.
    #[snafu(display("step=body peer={peer}: {source}"))]
    Body {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No complete response was received within the time limit.
    #[snafu(display("step=wait peer={peer}: no answer in {} ms", limit.as_millis()))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time limit of the call.
        limit: Duration,
    },
    /// The request could not be built.
    #[snafu(display("step=build peer={peer}: {source}"))]
    Build {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: hyper::http::Error,
    },
}

/// A request and its time limit.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Value of the `Content-Type` header; the header is omitted if this is empty.
    pub content_type: &'a str,
    /// Further headers; a `Host` header among them replaces the default, the peer's address.
    pub headers: &'a [(&'static str, String)],
    /// Request body.
    pub body: Bytes,
    /// Time limit for the whole call.
    pub limit: Duration,
}

/// Time limit of a call whose response the peer may hold back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Time limit for the whole call.
    pub limit: Duration,
    /// Part of it for which the peer may hold the response back.
    pub wait: Duration,
}

impl CallLimits {
    /// Returns the limits of a call to which the peer responds at once.
    #[must_use]
    pub fn at_once(limit: Duration) -> Self {
        Self {
            limit,
            wait: Duration::ZERO,
        }
    }

    /// Returns the limits of a call whose response the peer may hold back for `wait`.
    #[must_use]
    pub fn after_wait(limit: Duration, wait: Duration) -> Self {
        Self {
            limit: limit + wait,
            wait,
        }
    }
}

impl Default for CallRequest<'_> {
    fn default() -> Self {
        Self {
            method: Method::GET,
            path: "/",
            content_type: "",
            headers: &[],
            body: Bytes::new(),
            limit: Duration::from_secs(2),
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: hyper::HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Makes one call on a new connection.
///
/// # Errors
///
/// Fails if no complete response is received; a response with any status is a success.
pub async fn call(peer: SocketAddr, request: CallRequest<'_>) -> Result<CallResponse, CallError> {
    let limit = request.limit;
    match timeout(limit, exchange(peer, request)).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { peer, limit }.fail(),
    }
}

async fn exchange(peer: SocketAddr, request: CallRequest<'_>) -> Result<CallResponse, CallError> {
    let mut connection = OpenConnection::open(peer, CloseMode::Graceful).await?;
    send(peer, &mut connection.sender, &request).await
}

/// What happens to sent bytes that the peer has not received when a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// The operating system still delivers them.
    Graceful,
    /// They are discarded (`SO_LINGER` of 0): a cancelled request must not arrive later.
    Reset,
}

/// An open connection; dropping it aborts the task that drives it.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl OpenConnection {
    /// Connects to a peer and starts the task that drives the connection.
    pub(crate) async fn open(peer: SocketAddr, mode: CloseMode) -> Result<Self, CallError> {
        let stream = TcpStream::connect(peer).await;
        let stream = stream.context(ConnectSnafu { peer })?;
        if mode == CloseMode::Reset {
            stream.set_zero_linger().context(ConnectSnafu { peer })?;
        }
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(ExchangeSnafu { peer })?;
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self { sender, driver })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends one request on an open connection and reads the complete response.
pub(crate) async fn send(
    peer: SocketAddr,
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: &CallRequest<'_>,
) -> Result<CallResponse, CallError> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path);
    let is_host = |(name, _): &(&str, String)| name.eq_ignore_ascii_case("host");
    if !request.headers.iter().any(is_host) {
        builder = builder.header(header::HOST, peer.to_string());
    }
    if !request.content_type.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, request.content_type);
    }
    for (name, value) in request.headers {
        builder = builder.header(*name, value);
    }
    let message = builder.body(Full::new(request.body.clone()));
    let message = message.context(BuildSnafu { peer })?;
    let response = sender.send_request(message).await;
    let (parts, body) = response.context(ExchangeSnafu { peer })?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    Ok(CallResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.context(BodySnafu { peer })?.to_bytes(),
    })
}
