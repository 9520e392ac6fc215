//! Calls to the control interface of an entry VM.

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

/// Time allowed for one call; a patch waits for several calls of the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A command that did not succeed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum EntryError {
    /// The runtime cannot be started.
    #[snafu(display("step=start: {source}"))]
    Start { source: std::io::Error },
    /// A file is not readable or not JSON.
    #[snafu(display("step=read file={}: {source}", file.display()))]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    /// The entry VM gave no whole answer.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The answer is not what it should be.
    #[snafu(display("step=decode peer={peer}: {source}"))]
    Decode {
        peer: SocketAddr,
        source: serde_json::Error,
    },
    /// The entry VM refused.
    #[snafu(display("peer={peer} status={status}: {}", body.error))]
    Refused {
        peer: SocketAddr,
        status: u16,
        body: Box<ErrorWire>,
    },
    /// The patch was sent, and whether it is accepted is not known.
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
    /// The command makes no sense in the present state.
    #[snafu(display("{problem}"))]
    State { problem: String },
    /// A condition of the report did not hold.
    #[snafu(display("not all conditions held"))]
    NotHeld,
}

/// Makes one call and returns the JSON of the answer.
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
    let answer = runtime.block_on(call(peer, request)).context(CallSnafu)?;
    if answer.status.is_success() {
        return serde_json::from_slice(&answer.body).context(DecodeSnafu { peer });
    }
    // Answers of the HTTP library itself have no body of ours.
    let body: Option<ErrorWire> = serde_json::from_slice(&answer.body).ok();
    let body = body.unwrap_or_else(|| ErrorWire {
        error: "no reason given".to_owned(),
        ..ErrorWire::default()
    });
    let status = answer.status.as_u16();
    let body = Box::new(body);
    RefusedSnafu { peer, status, body }.fail()
}

/// Reads from the entry VM.
pub fn read(peer: SocketAddr, path: &str) -> Result<Value, EntryError> {
    request(peer, Method::GET, path, None)
}

/// Gives an answer its type.
pub fn decode<T: DeserializeOwned>(peer: SocketAddr, value: &Value) -> Result<T, EntryError> {
    T::deserialize(value).context(DecodeSnafu { peer })
}
