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

/// A request whose body has been read completely.
pub type BufferedRequest = Request<Bytes>;
/// A response; an error closes the connection without one.
pub type ServerResponse = io::Result<Response<Full<Bytes>>>;

/// A server that runs until it is dropped.
pub struct RunningServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RunningServer {
    /// Waits for the server's task, which runs until the process ends.
    pub async fn wait(mut self) {
        // The task ends only if it is aborted.
        let _ = (&mut self.task).await;
    }
}

/// Signals by which the owner of a server closes its connections and its socket.
pub struct ServerControl {
    /// Each change closes all connections.
    pub resets: watch::Receiver<u64>,
    /// Whether the listening socket is open.
    pub open: watch::Receiver<bool>,
}

/// Starts a server that calls `handle` for each request.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start<H, F>(
    address: SocketAddr,
    control: ServerControl,
    handle: H,
) -> io::Result<RunningServer>
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = ServerResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    let task = tokio::spawn(async move {
        let ServerControl { resets, mut open } = control;
        let mut listener = Some(listener);
        loop {
            let stream = tokio::select! {
                stream = accept(&mut listener, address) => stream,
                () = wait_for_open(&mut open, false) => {
                    listener = None;
                    wait_for_open(&mut open, true).await;
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
                let service = service_fn(move |request| handle_buffered(handle.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // A client that closes its connection is no error of the server.
                    _ = connection => {}
                    Ok(()) = resets.changed() => {}
                }
            });
        }
    });
    Ok(RunningServer { address, task })
}

/// Waits until `open` has the wanted value.
async fn wait_for_open(open: &mut watch::Receiver<bool>, wanted: bool) {
    // The value cannot change any more once the owner has dropped its sender.
    if open.wait_for(|open| *open == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Accepts a connection; binds the socket again first if it is closed.
async fn accept(listener: &mut Option<TcpListener>, address: SocketAddr) -> io::Result<TcpStream> {
    let bound = match listener.take() {
        Some(bound) => bound,
        None => TcpListener::bind(address).await?,
    };
    let (stream, _) = listener.insert(bound).accept().await?;
    Ok(stream)
}

async fn handle_buffered<H, F>(
    handle: Arc<H>,
    request: Request<hyper::body::Incoming>,
) -> io::Result<Response<Full<Bytes>>>
where
    H: Fn(BufferedRequest) -> F,
    F: Future<Output = ServerResponse>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?;
    handle(Request::from_parts(parts, body.to_bytes())).await
}

/// Returns a response with a status and a text body.
#[must_use]
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Returns a response with status 200 and a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::from(body))
}

/// Returns a parameter of the request's query; empty if it has no value.
#[must_use]
pub fn query<'a>(request: &'a BufferedRequest, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&');
    pairs.find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then_some(value)
    })
}
