//! A plain HTTP client for control traffic.
//!
//! Each call is one connection with one request, a limit on time and a limit on
//! the size of the answer. Nothing is retried here: whether a call may be
//! repeated is known only to its caller.

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

/// Largest answer that is read, in bytes; four values of the platform in base64.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A call that brought no whole answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The peer could not be connected to; nothing was sent.
    #[snafu(display("step=connect peer={peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The call was sent at least in part and has no whole answer.
    #[snafu(display("step=exchange peer={peer}: {source}"))]
    Exchange {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The answer is too large or was cut off.
    #[snafu(display("step=body peer={peer}: {source}"))]
    Body {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No whole answer came in time.
    #[snafu(display("step=wait peer={peer}: no answer in {} ms", limit.as_millis()))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time that was allowed.
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

/// What to send.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Type of the body; none is stated if empty.
    pub content_type: &'a str,
    /// Further headers; a host among them stands for the peer's address.
    pub headers: &'a [(&'static str, String)],
    /// Body.
    pub body: Bytes,
    /// Time allowed for the whole call.
    pub limit: Duration,
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Makes one call.
///
/// # Errors
///
/// Fails if no whole answer comes; any status counts as an answer.
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

/// What closing a connection does with bytes that are still under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// They are delivered.
    Graceful,
    /// They are dropped: a request that was given up must not arrive later.
    Reset,
}

/// An open connection; its task ends with it.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl OpenConnection {
    /// Connects to a peer.
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

/// Sends one request on an open connection and reads the whole answer.
pub(crate) async fn send(
    peer: SocketAddr,
    sender: &mut http1::SendRequest<Full<Bytes>>,
    request: &CallRequest<'_>,
) -> Result<CallResponse, CallError> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path);
    let named = |(name, _): &(&str, String)| name.eq_ignore_ascii_case("host");
    if !request.headers.iter().any(named) {
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
