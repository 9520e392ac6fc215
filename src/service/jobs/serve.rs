//! An HTTP/1.1 server with a limit on connections and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;

/// HTTP response of a handler.
pub type HttpAnswer = Response<Full<Bytes>>;

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Settings of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeSettings {
    /// Name for the log.
    pub name: &'static str,
    /// Time limit for receiving the head of a request.
    pub head_limit: Duration,
    /// Phase of the shutdown from which it accepts no connections and closes idle ones.
    pub stop_phase: ShutdownPhase,
    /// Maximum number of connections; further ones wait in the listen backlog.
    pub max_connections: usize,
}

impl Default for ServeSettings {
    fn default() -> Self {
        Self {
            name: "http",
            head_limit: Duration::from_secs(15),
            stop_phase: ShutdownPhase::Draining,
            max_connections: 2000,
        }
    }
}

/// Serves until the shutdown reaches `stop_phase`, then returns once the requests in
/// progress have finished.
pub async fn run<H, F>(
    listener: TcpListener,
    settings: ServeSettings,
    mut phase: watch::Receiver<ShutdownPhase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let connection_phase = phase.clone();
    loop {
        let full = connections.len() >= settings.max_connections;
        tokio::select! {
            () = wait_for_phase(&mut phase, settings.stop_phase) => break,
            _ = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept(), if !full => match accepted {
                Ok((stream, _)) => {
                    let serving = serve_connection(stream, settings.clone(), connection_phase.clone(), handler.clone());
                    connections.spawn(serving);
                }
                Err(error) => {
                    log::warn!(event = "accept_failed", server = settings.name, error:% = error; "");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    settings: ServeSettings,
    mut phase: watch::Receiver<ShutdownPhase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "connection_lost", server = settings.name, error:% = error; "");
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_limit);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = wait_for_phase(&mut phase, settings.stop_phase) => {
            serving.as_mut().graceful_shutdown();
            serving.as_mut().await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "connection_lost", server = settings.name, error:% = error; "");
    }
}

/// Returns a response; without a content type if `content_type` is empty.
#[must_use]
pub fn answer(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> HttpAnswer {
    let mut response = Response::new(Full::new(body.into()));
    // All callers pass a valid status code.
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if !content_type.is_empty() {
        let value = hyper::header::HeaderValue::from_static(content_type);
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}
