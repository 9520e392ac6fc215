//! HTTP exchange of one request and its answer with a server, which is a backend server
//! or another entry VM.
//!
//! The outcome says whether the request may have run. It counts as not run only if no
//! byte of it was sent, or if the server says so. The connection is reused only after
//! a complete answer that belongs to the request; otherwise it is closed.

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::decide::health::FailureCause;
use crate::request::RequestOutcome;
use crate::request::headers;

type ConnectionDriver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Connection to a server; it is closed when dropped.
///
/// It carries one request at a time. It has no task of its own: the task that sends
/// the request drives it, which saves two task switches per request. Data that
/// arrives while it is idle is found before its next use.
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<ConnectionDriver>>,
    /// The same socket, to peek at data that has arrived.
    socket: std::net::TcpStream,
    /// End of the last exchange, or time of connecting.
    idle_since: Instant,
}

impl fmt::Debug for BackendConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad("BackendConnection")
    }
}

/// Limits on an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeLimits {
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_answer_bytes: usize,
    /// A connection that has been idle for this long is not reused.
    pub reuse_limit: Duration,
    /// Whether the answer must state the outcome, as those of entry VMs do.
    pub requires_outcome: bool,
}

/// What is known of the request at the end of an exchange.
#[derive(Debug)]
pub(super) enum ExchangeOutcome {
    /// The request ran: the complete answer, and the connection for reuse.
    Answered(Response<Bytes>, BackendConnection),
    /// The server says that the request did not run.
    Refused(String, BackendConnection),
    /// No byte of the request was sent.
    Unsent(String),
    /// The request may have run.
    Unknown(String, FailureCause),
}

/// Sends a request and reads the complete answer.
///
/// Uses the idle connection if there is one that is still open and has not been
/// idle for too long, and a new connection otherwise.
pub(super) async fn exchange(
    address: SocketAddr,
    idle: Option<BackendConnection>,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> ExchangeOutcome {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let is_head = request.method() == Method::HEAD;
    let idle = match idle {
        Some(mut idle) => idle.is_usable(limits.reuse_limit).await.then_some(idle),
        None => None,
    };
    let mut connection = match idle {
        Some(idle) => idle,
        None => match connect(address, limits.connect_timeout).await {
            Ok(connection) => connection,
            Err(problem) => return ExchangeOutcome::Unsent(problem),
        },
    };
    let BackendConnection { sender, driver, .. } = &mut connection;
    let response = match drive(driver, sender.try_send_request(request)).await {
        Ok(response) => response,
        Err(mut error) => {
            // The error returns the request if no part of it was written.
            let unsent = error.take_message().is_some();
            let problem = format!("step=send peer={address}: {}", error.error());
            return if unsent {
                ExchangeOutcome::Unsent(problem)
            } else {
                ExchangeOutcome::Unknown(problem, FailureCause::Broken)
            };
        }
    };
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limits.max_answer_bytes).collect();
    let body = match drive(driver, body).await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let problem = format!("step=body peer={address}: {error}");
            return ExchangeOutcome::Unknown(problem, FailureCause::Broken);
        }
    };
    let response = Response::from_parts(parts, body);
    let checked = check_answer(&response, is_head, id.as_ref(), limits.requires_outcome);
    connection.idle_since = Instant::now();
    match checked {
        Ok(AnswerKind::Run) => ExchangeOutcome::Answered(response, connection),
        Ok(AnswerKind::NotRun) => {
            let problem = format!("step=run peer={address}: refused");
            ExchangeOutcome::Refused(problem, connection)
        }
        Err(step) => {
            let problem = format!("step={step} peer={address}: not an answer to this request");
            ExchangeOutcome::Unknown(problem, FailureCause::Broken)
        }
    }
}

/// Whether the request ran, according to its answer.
enum AnswerKind {
    Run,
    NotRun,
}

/// Checks that a response is the complete answer to the request with this id.
///
/// The error is the name of the failed check, used as the step in the error text.
fn check_answer(
    response: &Response<Bytes>,
    is_head: bool,
    id: Option<&HeaderValue>,
    requires_outcome: bool,
) -> Result<AnswerKind, &'static str> {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err("status");
    }
    if !is_head && !is_delimited(response) {
        return Err("length");
    }
    let echo = response.headers().get(headers::REQUEST_ID);
    if echo.is_some() && echo != id {
        return Err("request_id");
    }
    let lacks_outcome = !response.headers().contains_key(headers::OUTCOME);
    match header_outcome(response) {
        Some(RequestOutcome::NotRun) => Ok(AnswerKind::NotRun),
        Some(RequestOutcome::Answered) => Ok(AnswerKind::Run),
        None if lacks_outcome && !requires_outcome => Ok(AnswerKind::Run),
        _ => Err("outcome"),
    }
}

impl BackendConnection {
    /// Returns whether the connection is open, has no unread data and may be reused.
    ///
    /// If an idle connection has data or an end of stream to read, the server has sent an
    /// answer that belongs to no request or has closed the connection. The socket itself
    /// is peeked, as the runtime may not have noticed recent data yet.
    async fn is_usable(&mut self, reuse_limit: Duration) -> bool {
        let is_empty = matches!(
            self.socket.peek(&mut [0]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        if !is_empty || self.idle_since.elapsed() >= reuse_limit {
            return false;
        }
        let driver = &mut self.driver;
        let open = poll_fn(|cx| Poll::Ready(driver.as_mut().poll(cx).is_pending())).await;
        open && self.sender.is_ready()
    }
}

/// Runs `future`, which waits for something on the connection, and the connection itself.
async fn drive<T>(driver: &mut Pin<Box<ConnectionDriver>>, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    let mut open = true;
    poll_fn(|cx| {
        if let Poll::Ready(done) = future.as_mut().poll(cx) {
            return Poll::Ready(done);
        }
        if !open {
            return Poll::Pending;
        }
        if let Poll::Ready(result) = driver.as_mut().poll(cx) {
            open = false;
            if let Err(error) = result {
                log::debug!(event = "backend_connection_failed", error:% = error; "");
            }
        }
        future.as_mut().poll(cx)
    })
    .await
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<BackendConnection, String> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(format!("step=connect peer={address}: {error}")),
        Err(_) => return Err(format!("step=connect peer={address}: timed out")),
    };
    let (stream, socket) = configure_socket(stream)
        .map_err(|error| format!("step=connect peer={address}: {error}"))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) =
        handshake.map_err(|error| format!("step=handshake peer={address}: {error}"))?;
    Ok(BackendConnection {
        sender,
        driver: Box::pin(driver),
        socket,
        idle_since: Instant::now(),
    })
}

/// Returns whether the answer marks the end of its body.
///
/// An answer that ends when the connection is closed may be truncated.
fn is_delimited(response: &Response<Bytes>) -> bool {
    let no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let headers = response.headers();
    no_body.contains(&response.status())
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Disables Nagle's algorithm and returns the stream with a second handle to its socket.
fn configure_socket(stream: TcpStream) -> io::Result<(TcpStream, std::net::TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, socket))
}

fn header_outcome(response: &Response<Bytes>) -> Option<RequestOutcome> {
    let outcome = response.headers().get(headers::OUTCOME)?;
    RequestOutcome::find(outcome.to_str().ok()?)
}
