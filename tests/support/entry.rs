//! An entry service in the test's process, and backend servers that respond with
//! bytes given by the test.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::config::VersionedConfig;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::VmRecord;
use chicorygauge::fleet::VmState;
use chicorygauge::kernel::ServiceKernel;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use chicorygauge::peer::PeerState;
use chicorygauge::peer::SharePlace;
use chicorygauge::service::entry;
use chicorygauge::service::entry::DispatchInbox;
use chicorygauge::service::entry::EjectionView;
use chicorygauge::settings::DaemonSettings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Pool that contains all VMs of the fixture.
pub const POOL: &str = "intake";

/// An entry service whose inputs (fleet record, peer state) the test sets.
pub struct EntryFixture {
    pub address: SocketAddr,
    pub inbox: DispatchInbox,
    pub ejections: EjectionView,
    pub fleet: watch::Sender<Option<Arc<FleetRecord>>>,
    pub peers: watch::Sender<Arc<PeerState>>,
    _config: watch::Sender<Arc<VersionedConfig>>,
    _kernel: ServiceKernel,
}

/// Initial settings of a fixture.
#[derive(Clone, Debug)]
pub struct FixtureSettings {
    /// Slots of each VM: requests that it runs at the same time.
    pub slots: u32,
    /// Maximum number of queued requests of the pool.
    pub queue_limit: u32,
    /// Lines of the settings section `limits`.
    pub limits: &'static str,
}

impl Default for FixtureSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            queue_limit: 1024,
            limits: "",
        }
    }
}

impl EntryFixture {
    /// Starts the service for VMs `vm-0`, `vm-1` and so on, one for each address.
    pub async fn start(backends: &[SocketAddr], settings: FixtureSettings) -> Self {
        let text = format!(
            "[entry]\nname=e-1\ndc=dc-1\n[platform]\naddress=127.0.0.1:9\n[limits]\n{}",
            settings.limits
        );
        let daemon = DaemonSettings::parse(&text).expect("settings");
        let names: Vec<_> = (0..backends.len().max(1))
            .map(|index| format!("vm-{index}"))
            .collect();
        let document = json!({"pools": {POOL: {
            "budget": 1, "vms": names, "slots": settings.slots,
            "queue_limit": settings.queue_limit,
        }}});
        let config = VersionedConfig::new(1, document).expect("configuration");
        let config = watch::Sender::new(Arc::new(config));
        let fleet = watch::Sender::new(Some(Arc::new(fleet_record(backends))));
        let peers = watch::Sender::new(Arc::new(PeerState {
            generation: 1,
            place: SharePlace {
                entries: 1,
                index: 0,
            },
            trusted: true,
            ..PeerState::default()
        }));
        let kernel = ServiceKernel::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        entry::start(
            &kernel,
            &daemon,
            listener,
            config.subscribe(),
            fleet.subscribe(),
            peers.subscribe(),
        );
        Self {
            address,
            inbox: kernel.find(entry::NAME).expect("inbox"),
            ejections: kernel.find(entry::NAME).expect("ejections"),
            fleet,
            peers,
            _config: config,
            _kernel: kernel,
        }
    }

    /// Returns the number of slots in use.
    pub async fn in_use(&self) -> u32 {
        let ack = self.inbox.fetch_ack().await.expect("dispatcher");
        ack.in_use.values().sum()
    }
}

/// Returns a fleet record with one serving VM for each address.
pub fn fleet_record(backends: &[SocketAddr]) -> FleetRecord {
    let vms = backends.iter().enumerate().map(|(index, address)| {
        let record = VmRecord {
            pool: PoolName::new(POOL).expect("name"),
            address: *address,
            rack: "rack-1".parse().expect("name"),
            state: VmState::Serving,
            since_ms: 0,
            maintained_ms: 0,
        };
        (vm_name(index), record)
    });
    FleetRecord {
        sequence: 1,
        vms: vms.collect(),
        ..FleetRecord::default()
    }
}

/// Returns the name of a VM of the fixture.
pub fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name")
}

/// Behaviour of a scripted backend server on a request.
pub enum Reaction {
    /// Sends these bytes and keeps the connection open.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendClose(String),
    /// Sends these bytes after a delay and keeps the connection open.
    Late(Duration, String),
    /// Sends nothing and keeps the connection open.
    Hang,
}

/// A backend server whose reactions the test scripts.
pub struct ScriptedBackend {
    pub address: SocketAddr,
    /// Heads (request line and headers) of the requests received, in lower case.
    pub heads: Arc<Mutex<Vec<String>>>,
    /// Number of connections that have ended.
    pub closed: Arc<AtomicUsize>,
}

impl ScriptedBackend {
    /// Starts the server; `react` gets the index of a request, from 0, and its head.
    pub async fn start(react: impl Fn(usize, &str) -> Reaction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let heads = Arc::<Mutex<Vec<String>>>::default();
        let log = heads.clone();
        let closed = Arc::<AtomicUsize>::default();
        let count = closed.clone();
        let react = Arc::new(react);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serve = serve(stream, react.clone(), log.clone());
                let count = count.clone();
                tokio::spawn(async move {
                    serve.await;
                    count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            heads,
            closed,
        }
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> usize {
        self.heads.lock().expect("lock").len()
    }
}

async fn serve<F: Fn(usize, &str) -> Reaction>(
    mut stream: TcpStream,
    react: Arc<F>,
    heads: Arc<Mutex<Vec<String>>>,
) {
    while let Some(head) = read_request(&mut stream).await {
        let number = {
            let mut heads = heads.lock().expect("lock");
            heads.push(head.clone());
            heads.len() - 1
        };
        let (bytes, keep) = match react(number, &head) {
            Reaction::Send(bytes) => (bytes, true),
            Reaction::SendClose(bytes) => (bytes, false),
            Reaction::Late(delay, bytes) => {
                sleep(delay).await;
                (bytes, true)
            }
            // The next read ends when the entry VM closes the connection.
            Reaction::Hang => (String::new(), true),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() || !keep {
            return;
        }
    }
}

/// Reads one request with its body and returns its head in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = header_of(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Returns the value of a header; `name` is in lower case.
pub fn header_of<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Returns a response with status 200, a content length, further headers and a body.
pub fn answer_text(headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text + "\r\n" + body
}

/// Complete response that a caller received.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub fn outcome(&self) -> &str {
        self.header("chicory-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("chicory-reason")
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    pub method: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub idempotent: bool,
    pub class: &'a str,
    pub extra_headers: BTreeMap<&'a str, &'a str>,
    pub body: Bytes,
}

impl Default for CallerRequest<'_> {
    fn default() -> Self {
        Self {
            method: "POST",
            id: "r-1",
            // Longer than any wait of a test, so that it does not pass on a busy machine.
            deadline_ms: 60_000,
            idempotent: false,
            class: "ordinary",
            extra_headers: BTreeMap::new(),
            body: Bytes::from_static(b"order"),
        }
    }
}

/// Sends a request on a new connection; `None` without a complete response.
pub async fn send_request(entry: SocketAddr, request: CallerRequest<'_>) -> Option<CallerAnswer> {
    let stream = TcpStream::connect(entry).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let mut message = Request::builder()
        .method(request.method)
        .uri("/order")
        .header("host", "entry")
        .header("chicory-pool", POOL)
        .header("chicory-class", request.class)
        .header("chicory-deadline-ms", request.deadline_ms)
        .header("chicory-idempotent", request.idempotent.to_string())
        .header("chicory-request-id", request.id);
    for (name, value) in request.extra_headers {
        message = message.header(name, value);
    }
    let message = message.body(Full::new(request.body)).ok()?;
    let response = sender.send_request(message).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    driver.abort();
    Some(CallerAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}
