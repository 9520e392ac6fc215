//! One exchange with a backend server or with another entry VM.
//!
//! The result says what is known of the request: it is not run only if no byte
//! of it reached the other side, or if the other side said so. A connection is
//! closed with the exchange unless the answer was whole and its own.

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

/// Connection that carries one request at a time; it is closed when dropped.
///
/// It has no task of its own: whoever uses it drives it, which saves two changes
/// of task a request. What comes in while it is idle is seen before its next use.
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<ConnectionDriver>>,
    /// The same socket, to look at what has come in.
    socket: std::net::TcpStream,
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
    /// Limit on connecting.
    pub connect: Duration,
    /// Largest answer, in bytes.
    pub answer_bytes: usize,
    /// Longest idle time of a connection that is used again.
    pub reuse: Duration,
    /// Whether the other side always states the outcome, as entry VMs do.
    pub states_outcome: bool,
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// The whole answer, and the connection if it can be used again.
    Answered(Response<Bytes>, BackendConnection),
    /// The other side says that the request did not run.
    Refused(String, BackendConnection),
    /// No byte of the request was sent.
    Unsent(String),
    /// The request may have run.
    Unknown(String, FailureCause),
}

/// Sends a request and reads the whole answer.
pub(super) async fn exchange(
    address: SocketAddr,
    idle: Option<BackendConnection>,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> ExchangeEnd {
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let is_head = request.method() == Method::HEAD;
    let idle = match idle {
        Some(mut idle) => idle.is_usable(limits.reuse).await.then_some(idle),
        None => None,
    };
    let mut connection = match idle {
        Some(idle) => idle,
        None => match connect(address, limits.connect).await {
            Ok(connection) => connection,
            Err(problem) => return ExchangeEnd::Unsent(problem),
        },
    };
    let BackendConnection { sender, driver, .. } = &mut connection;
    let response = match drive(driver, sender.try_send_request(request)).await {
        Ok(response) => response,
        Err(mut error) => {
            // A request that is handed back was never written to the connection.
            let unsent = error.take_message().is_some();
            let problem = format!("step=send peer={address}: {}", error.error());
            return if unsent {
                ExchangeEnd::Unsent(problem)
            } else {
                ExchangeEnd::Unknown(problem, FailureCause::Broken)
            };
        }
    };
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limits.answer_bytes).collect();
    let body = match drive(driver, body).await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let problem = format!("step=body peer={address}: {error}");
            return ExchangeEnd::Unknown(problem, FailureCause::Broken);
        }
    };
    let response = Response::from_parts(parts, body);
    let checked = check_answer(&response, is_head, id.as_ref(), limits.states_outcome);
    connection.idle_since = Instant::now();
    match checked {
        Ok(AnswerKind::Run) => ExchangeEnd::Answered(response, connection),
        Ok(AnswerKind::NotRun) => {
            let problem = format!("step=run peer={address}: refused");
            ExchangeEnd::Refused(problem, connection)
        }
        Err(step) => {
            let problem = format!("step={step} peer={address}: not an answer to this request");
            ExchangeEnd::Unknown(problem, FailureCause::Broken)
        }
    }
}

/// What an answer says of its request.
enum AnswerKind {
    Run,
    NotRun,
}

/// Checks that a response is the whole answer to a request.
///
/// An error names the step at which it turned out not to be.
fn check_answer(
    response: &Response<Bytes>,
    is_head: bool,
    id: Option<&HeaderValue>,
    states_outcome: bool,
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
    let silent = !response.headers().contains_key(headers::OUTCOME);
    match stated_outcome(response) {
        Some(RequestOutcome::NotRun) => Ok(AnswerKind::NotRun),
        Some(RequestOutcome::Answered) => Ok(AnswerKind::Run),
        None if silent && !states_outcome => Ok(AnswerKind::Run),
        _ => Err("outcome"),
    }
}

impl BackendConnection {
    /// Tells whether nothing has come in meanwhile, neither an end nor a stray answer.
    ///
    /// The socket itself is asked, as the runtime may not have seen the latest yet.
    async fn is_usable(&mut self, reuse: Duration) -> bool {
        let silent = matches!(
            self.socket.peek(&mut [0]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        if !silent || self.idle_since.elapsed() >= reuse {
            return false;
        }
        let driver = &mut self.driver;
        let open = poll_fn(|cx| Poll::Ready(driver.as_mut().poll(cx).is_pending())).await;
        open && self.sender.is_ready()
    }
}

/// Drives a connection while something is waited for on it.
async fn drive<T>(driver: &mut Pin<Box<ConnectionDriver>>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    let mut open = true;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
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
        work.as_mut().poll(cx)
    })
    .await
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<BackendConnection, String> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(format!("step=connect peer={address}: {error}")),
        Err(_) => return Err(format!("step=connect peer={address}: timed out")),
    };
    let (stream, socket) =
        set_up(stream).map_err(|error| format!("step=connect peer={address}: {error}"))?;
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

/// Tells whether the end of the body was marked; an answer that ends with its
/// connection may have been cut.
fn is_delimited(response: &Response<Bytes>) -> bool {
    let no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let headers = response.headers();
    no_body.contains(&response.status())
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn set_up(stream: TcpStream) -> io::Result<(TcpStream, std::net::TcpStream)> {
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, socket))
}

fn stated_outcome(response: &Response<Bytes>) -> Option<RequestOutcome> {
    let outcome = response.headers().get(headers::OUTCOME)?;
    RequestOutcome::find(outcome.to_str().ok()?)
}
