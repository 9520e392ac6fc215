//! A small HTTP server for the stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A request with its body read.
pub type WholeRequest = Request<Bytes>;
/// An answer; an error drops the connection without one.
pub type ServerAnswer = io::Result<Response<Full<Bytes>>>;

/// A server that runs until it is dropped.
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RunningServer {
    /// Waits for the end of the server, which comes only with the process.
    pub async fn wait(mut self) {
        // The task ends only if it is aborted.
        let _ = (&mut self.task).await;
    }
}

/// What a server's owner does to it from outside.
pub struct ServerGate {
    /// Each change drops all connections.
    pub resets: watch::Receiver<u64>,
    /// Whether connections are accepted; the socket is closed while not.
    pub open: watch::Receiver<bool>,
}

/// Starts a server.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn start<H, F>(
    address: SocketAddr,
    gate: ServerGate,
    handle: H,
) -> io::Result<RunningServer>
where
    H: Fn(WholeRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerAnswer> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    let task = tokio::spawn(async move {
        let ServerGate { resets, mut open } = gate;
        let mut listener = Some(listener);
        loop {
            let stream = tokio::select! {
                stream = accept(&mut listener, address) => stream,
                () = becomes(&mut open, false) => {
                    listener = None;
                    becomes(&mut open, true).await;
                    continue;
                }
            };
            let Ok(stream) = stream else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let mut resets = resets.clone();
            resets.mark_unchanged();
            tokio::spawn(async move {
                let service = service_fn(move |request| whole(handle.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // A caller that breaks off is no fault of the stand-in.
                    _ = connection => {}
                    Ok(()) = resets.changed() => {}
                }
            });
        }
    });
    Ok(RunningServer { address, task })
}

/// Waits until the gate is open or closed.
async fn becomes(open: &mut watch::Receiver<bool>, wanted: bool) {
    // An owner that is gone changes nothing any more.
    if open.wait_for(|open| *open == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Accepts a connection; a closed socket is bound again.
async fn accept(listener: &mut Option<TcpListener>, address: SocketAddr) -> io::Result<TcpStream> {
    let bound = match listener.take() {
        Some(bound) => bound,
        None => TcpListener::bind(address).await?,
    };
    let (stream, _) = listener.insert(bound).accept().await?;
    Ok(stream)
}

async fn whole<H, F>(
    handle: Arc<H>,
    request: Request<hyper::body::Incoming>,
) -> io::Result<Response<Full<Bytes>>>
where
    H: Fn(WholeRequest) -> F,
    F: Future<Output = ServerAnswer>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?;
    handle(Request::from_parts(parts, body.to_bytes())).await
}

/// Makes an answer with a status and a text.
#[must_use]
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Makes an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::from(body))
}

/// Finds a value in the query of a request.
#[must_use]
pub fn query<'a>(request: &'a WholeRequest, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&');
    pairs.find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then_some(value)
    })
}
