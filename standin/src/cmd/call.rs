//! Subcommand `standin call`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use standin::backend::BackendRecord;
use standin::call::LoadSettings;
use standin::call::compare;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct CallOptions {
    /// Entry VMs, separated by commas; requests go to them in turn.
    #[bpaf(argument::<String>("ADDR[,ADDR...]"), parse(parse_list))]
    entry: Vec<SocketAddr>,
    /// Backend servers whose record is compared, separated by commas.
    #[bpaf(argument::<String>("ADDR[,ADDR...]"), parse(parse_list), fallback(Vec::new()))]
    backends: Vec<SocketAddr>,
    /// Pool.
    #[bpaf(argument("NAME"))]
    pool: String,
    /// Requests a second.
    #[bpaf(argument("R"), fallback(100.0))]
    rate: f64,
    /// Length of the load, in seconds.
    #[bpaf(argument("S"), fallback(5.0))]
    seconds: f64,
    /// Class: urgent, ordinary or batch.
    #[bpaf(argument("CLASS"), fallback("ordinary".to_owned()))]
    class: String,
    /// Deadline of each request, in milliseconds.
    #[bpaf(argument("MS"), fallback(2000))]
    deadline_ms: u64,
    /// A second run would be harmless.
    idempotent: bool,
    /// Service time asked for, in microseconds.
    #[bpaf(argument("US"), optional)]
    service_us: Option<u64>,
    /// First part of the request ids; a random one if absent.
    #[bpaf(argument("TEXT"), optional)]
    prefix: Option<String>,
}

fn parse_list(text: String) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(str::parse).collect()
}

pub async fn run(options: CallOptions) -> io::Result<bool> {
    let random = format!("{:08x}", rand::random::<u32>());
    let record = standin::call::run(LoadSettings {
        entries: options.entry,
        pool: options.pool,
        rate: options.rate,
        length: Duration::from_secs_f64(options.seconds),
        class: options.class,
        deadline: Duration::from_millis(options.deadline_ms),
        idempotent: options.idempotent,
        service: options.service_us.map(Duration::from_micros),
        prefix: options.prefix.unwrap_or(random),
        ..LoadSettings::default()
    });
    let record = record.await;
    let mut backends = Vec::new();
    for backend in options.backends {
        backends.push(read_record(backend).await?);
    }
    let summary = compare(&record, &backends);
    println!("{summary}");
    Ok(!summary.has_violations())
}

async fn read_record(backend: SocketAddr) -> io::Result<BackendRecord> {
    let request = CallRequest {
        path: "/standin/record",
        ..CallRequest::default()
    };
    let response = call(backend, request).await.map_err(io::Error::other)?;
    serde_json::from_slice(&response.body).map_err(io::Error::other)
}
