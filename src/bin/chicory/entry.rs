//! HTTP client of an entry VM's control interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallError;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use chicorygauge::service::control::wire::ErrorWire;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::runtime::Runtime;

/// Timeout of one call; to accept a patch the entry VM makes several calls to the
/// platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum EntryError {
    /// The async runtime could not be started.
    #[snafu(display("step=start: {source}"))]
    Start { source: std::io::Error },
    /// A file could not be read or is not JSON.
    #[snafu(display("step=read file={}: {source}", file.display()))]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    /// No complete response was received from the entry VM.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The response could not be decoded.
    #[snafu(display("step=decode peer={peer}: {source}"))]
    Decode {
        peer: SocketAddr,
        source: serde_json::Error,
    },
    /// The entry VM answered with an error status.
    #[snafu(display("peer={peer} status={status}: {}", body.error))]
    Refused {
        peer: SocketAddr,
        status: u16,
        body: Box<ErrorWire>,
    },
    /// The patch was sent, but it is not known whether it was accepted.
    #[snafu(display(
        "peer={peer}: not known whether version {} was made by this patch: {error}\n\
         to find out, submit it again with --base {base} --patch-id {patch_id}",
        base + 1
    ))]
    Unknown {
        peer: SocketAddr,
        base: u64,
        patch_id: String,
        error: String,
    },
    /// The command is not valid in the current state, such as stopping a wave when none
    /// is running.
    #[snafu(display("{problem}"))]
    State { problem: String },
    /// A condition of the report did not hold.
    #[snafu(display("not all conditions held"))]
    NotHeld,
}

/// Makes one call and returns the JSON body of the response.
pub fn request(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, EntryError> {
    let request = CallRequest {
        method,
        path,
        content_type: "application/json",
        body: Bytes::from(body.map(Value::to_string).unwrap_or_default()),
        limit: CALL_TIMEOUT,
        ..CallRequest::default()
    };
    let runtime = Runtime::new().context(StartSnafu)?;
    let response = runtime.block_on(call(peer, request)).context(CallSnafu)?;
    if response.status.is_success() {
        return serde_json::from_slice(&response.body).context(DecodeSnafu { peer });
    }
    // Error responses that the HTTP library generates have no JSON body.
    let body: Option<ErrorWire> = serde_json::from_slice(&response.body).ok();
    let body = body.unwrap_or_else(|| ErrorWire {
        error: "no reason given".to_owned(),
        ..ErrorWire::default()
    });
    let status = response.status.as_u16();
    let body = Box::new(body);
    RefusedSnafu { peer, status, body }.fail()
}

/// Makes a GET call and returns the JSON body of the response.
pub fn read(peer: SocketAddr, path: &str) -> Result<Value, EntryError> {
    request(peer, Method::GET, path, None)
}

/// Deserializes the JSON body of a response.
pub fn decode<T: DeserializeOwned>(peer: SocketAddr, value: &Value) -> Result<T, EntryError> {
    T::deserialize(value).context(DecodeSnafu { peer })
}
