//! One exchange with a backend server.
//!
//! The result says what is known of the request: it is not run only if no byte
//! of it reached the backend server, or if the backend server said so.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::request::RequestOutcome;
use crate::request::headers;

/// Connection to a backend server that carries one request at a time.
#[derive(Debug)]
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
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
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum ExchangeEnd {
    /// The whole answer, and the connection if it can be used again.
    Answered(Response<Bytes>, Option<BackendConnection>),
    /// The request did not run.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

/// Sends a request and reads the whole answer.
pub(super) async fn exchange(
    address: SocketAddr,
    idle: Option<BackendConnection>,
    request: Request<Full<Bytes>>,
    limits: ExchangeLimits,
) -> ExchangeEnd {
    let idle = idle.filter(|idle| idle.is_usable(limits.reuse));
    let mut sender = match idle {
        Some(idle) => idle.sender,
        None => match connect(address, limits.connect).await {
            Ok(sender) => sender,
            Err(problem) => return ExchangeEnd::NotRun(problem),
        },
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // A request that is handed back was never written to the connection.
            let unsent = error.take_message().is_some();
            let problem = format!("step=send peer={address}: {}", error.error());
            return if unsent {
                ExchangeEnd::NotRun(problem)
            } else {
                ExchangeEnd::Unknown(problem)
            };
        }
    };
    let (parts, body) = response.into_parts();
    let body = match Limited::new(body, limits.answer_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return ExchangeEnd::Unknown(format!("step=body peer={address}: {error}")),
    };
    let response = Response::from_parts(parts, body);
    if says_not_run(&response) {
        return ExchangeEnd::NotRun(format!("step=run peer={address}: refused"));
    }
    let idle_since = Instant::now();
    let connection = BackendConnection { sender, idle_since };
    ExchangeEnd::Answered(response, Some(connection))
}

impl BackendConnection {
    fn is_usable(&self, reuse: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < reuse
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(format!("step=connect peer={address}: {error}")),
        Err(_) => return Err(format!("step=connect peer={address}: timed out")),
    };
    let nodelay = stream.set_nodelay(true);
    nodelay.map_err(|error| format!("step=connect peer={address}: {error}"))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|error| format!("step=handshake peer={address}: {error}"))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(event = "backend_connection_failed", peer:% = address, error:% = error; "");
        }
    });
    Ok(sender)
}

fn says_not_run(response: &Response<Bytes>) -> bool {
    let outcome = response.headers().get(headers::OUTCOME);
    outcome.is_some_and(|outcome| outcome == RequestOutcome::NotRun.as_str())
}
