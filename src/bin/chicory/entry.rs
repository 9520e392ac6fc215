//! Calls to the control interface of an entry VM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallError;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::runtime::Runtime;

/// Time allowed for one call; a patch waits for several calls of the platform.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// A call that did not succeed.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The runtime cannot be started.
    #[snafu(display("step=start: {source}"))]
    Start { source: std::io::Error },
    /// A file is not readable or not JSON.
    #[snafu(display("step=read file={}: {source}", file.display()))]
    #[snafu(visibility(pub))]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    /// The entry VM gave no whole answer.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The answer is not JSON.
    #[snafu(display("step=decode peer={peer}: {source}"))]
    Decode {
        peer: SocketAddr,
        source: serde_json::Error,
    },
    /// The entry VM refused.
    #[snafu(display("peer={peer} status={}: {error}", status.as_u16()))]
    Refused {
        peer: SocketAddr,
        status: StatusCode,
        error: String,
    },
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
        limit: CALL_LIMIT,
    };
    let runtime = Runtime::new().context(StartSnafu)?;
    let answer = runtime.block_on(call(peer, request)).context(CallSnafu)?;
    let value: Value = serde_json::from_slice(&answer.body).context(DecodeSnafu { peer })?;
    if answer.status.is_success() {
        return Ok(value);
    }
    let error = value["error"].as_str().unwrap_or("no reason given");
    RefusedSnafu {
        peer,
        status: answer.status,
        error,
    }
    .fail()
}
