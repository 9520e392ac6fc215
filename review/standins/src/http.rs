//! HTTP/1.1 server and client with keep-alive, one thread a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A received request.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a decoded parameter of the query; empty if there is none.
    pub fn param(&self, name: &str) -> String {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(own, _)| *own == name);
        found
            .map(|(_, value)| percent_decode(value))
            .unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code =
            code.and_then(|code| u8::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// An answer; none closes the connection without one.
pub type Answer = Option<(u16, String)>;

/// A running server; its socket and connections close when `stop` is called.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves at an address; port 0 is replaced by a free one.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let server = Server {
            address: listener.local_addr()?,
            stopped: Arc::default(),
            streams: Arc::default(),
        };
        let (own, handler) = (server.clone(), Arc::new(handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if own.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let (Ok(copy), Ok(mut streams)) = (stream.try_clone(), own.streams.lock()) {
                    streams.push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(server)
    }

    /// Closes the socket and all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        if let Ok(mut streams) = self.streams.lock() {
            for stream in streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn serve(stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Makes one call on a new connection; none if there is no complete answer in time.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&peer, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {peer}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
