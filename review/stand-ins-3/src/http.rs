//! A small HTTP/1.1 server and client on loopback addresses, a thread for each connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// A request with its body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query; empty if it is missing.
    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Answers a request; none leaves it without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// A server whose open connections can go silent.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

#[derive(Default)]
struct ServerState {
    /// How often the open connections have gone silent.
    silenced: u32,
}

impl Server {
    /// Listens on a free port.
    pub fn start(handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = Arc::clone(&server.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let locked = state.lock().expect("lock the server");
                let silenced = locked.silenced;
                drop(locked);
                let (handler, state) = (Arc::clone(&handler), Arc::clone(&state));
                thread::spawn(move || {
                    let is_silent = || {
                        let state = state.lock().expect("lock the server");
                        state.silenced != silenced
                    };
                    let _ = serve(&stream, &handler, is_silent);
                });
            }
        });
        Ok(server)
    }

    /// Lets all open connections go silent: nothing more arrives on them, in either direction.
    pub fn silence(&self) {
        self.state.lock().expect("lock the server").silenced += 1;
    }
}

fn serve(stream: &TcpStream, handler: &Handler, is_silent: impl Fn() -> bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let answer = if is_silent() { None } else { handler(&request) };
        let Some((status, body)) = answer.filter(|_| !is_silent()) else {
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        };
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        (&*stream).write_all(answer.as_bytes())?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(lines) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = lines.first().map_or("", String::as_str).split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
    let headers = parse_headers(&lines);
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes one call on a new connection; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let lines = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = lines
        .first()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let body = read_body(&mut reader, &parse_headers(&lines))?;
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
}
