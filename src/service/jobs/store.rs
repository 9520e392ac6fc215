//! Calls to the store, directly or through another entry VM.
//!
//! The store may turn single entry VMs away. After several failures in a row the
//! calls go through another entry VM, until a direct call succeeds again. A call is
//! never repeated here: whether that is safe is known only to its caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::boot_ms;
use crate::http::CallError;
use crate::http::CallRequest;
use crate::kept::KeptClient;
use crate::metrics::PLATFORM_CALLS;
use crate::ports::DecodeError;
use crate::ports::DialectPort;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::WireReply;
use crate::ports::client::JSON;
use crate::service::jobs::messages::ProxyReply;
use crate::service::jobs::messages::ProxyRequest;
use crate::service::jobs::peer::MSGPACK;
use crate::service::jobs::peer::STORE_PATH;

/// Failures in a row after which calls go through another entry VM.
const DIRECT_FAILURES: u32 = 2;

/// Time between two direct attempts while calls go through others, in milliseconds.
const DIRECT_RETRY_MS: u64 = 1000;

/// Added to the limit of a call that goes through another entry VM.
const PROXY_SLACK: Duration = Duration::from_millis(100);

/// A call to the store without a usable reply.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The call was not sent.
    #[snafu(display("step=store: not sent: {problem}"))]
    NotSent {
        /// Cause.
        problem: String,
    },
    /// The call may be carried out, now or later.
    #[snafu(display("step=store: no answer: {problem}"))]
    Unknown {
        /// Cause.
        problem: String,
    },
    /// The answer makes no sense.
    #[snafu(display("step=store: {source}"))]
    Malformed {
        /// Cause.
        source: DecodeError,
    },
}

#[derive(Debug, Default)]
struct LinkState {
    failures: u32,
    direct_ms: u64,
    peers: Vec<SocketAddr>,
    next: usize,
}

/// Link to the store.
#[derive(Clone)]
pub struct StoreLink {
    dialect: DialectPort,
    address: SocketAddr,
    kept: KeptClient,
    state: Arc<Mutex<LinkState>>,
}

impl StoreLink {
    /// Makes a link.
    #[must_use]
    pub fn new(dialect: DialectPort, address: SocketAddr, kept: KeptClient) -> Self {
        Self {
            dialect,
            address,
            kept,
            state: Arc::default(),
        }
    }

    /// Names the entry VMs through which calls can go.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Tells whether the store answers this entry VM directly.
    #[must_use]
    pub fn is_direct(&self) -> bool {
        self.lock().failures < DIRECT_FAILURES
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply comes.
    pub async fn call(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let reply = match self.choose_peer() {
            None => self.direct(call, limit).await,
            Some(peer) => self.through(peer, call, limit).await,
        };
        let result = match &reply {
            Ok(StoreReply::Refused { .. }) => "refused",
            Ok(_) => "answered",
            Err(_) => "no_answer",
        };
        let step = step_name(call);
        metrics::counter!(PLATFORM_CALLS, "step" => step, "result" => result).increment(1);
        reply
    }

    /// Returns the entry VM through which the next call goes; none for a direct call.
    fn choose_peer(&self) -> Option<SocketAddr> {
        let mut state = self.lock();
        if state.failures < DIRECT_FAILURES || state.peers.is_empty() {
            return None;
        }
        let now = boot_ms();
        if now >= state.direct_ms + DIRECT_RETRY_MS {
            state.direct_ms = now;
            return None;
        }
        state.next = (state.next + 1) % state.peers.len();
        state.peers.get(state.next).copied()
    }

    async fn direct(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let wire = (self.dialect.store_call)(call);
        let result = self.send(wire.method, &wire.path, wire.body, limit).await;
        let refused = matches!(&result, Ok(reply) if matches!(reply.status, 429 | 503));
        self.note_direct(result.is_ok() && !refused);
        match result {
            Ok(reply) => (self.dialect.store_reply)(call, &reply).context(MalformedSnafu),
            Err(error) => Err(error),
        }
    }

    fn note_direct(&self, answered: bool) {
        let mut state = self.lock();
        if answered {
            if state.failures >= DIRECT_FAILURES {
                log::info!(event = "store_direct", failures = state.failures; "");
            }
            state.failures = 0;
            return;
        }
        state.failures += 1;
        if state.failures == DIRECT_FAILURES {
            state.direct_ms = boot_ms();
            log::info!(event = "store_through_peers", peers = state.peers.len(); "");
        }
    }

    /// Sends a call as it is, for this entry VM or another.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<WireReply, StoreError> {
        let request = CallRequest {
            method,
            path,
            content_type: JSON,
            body,
            limit,
            ..CallRequest::default()
        };
        match self.kept.call(self.address, request).await {
            Ok(answer) => Ok(WireReply {
                status: answer.status.as_u16(),
                body: answer.body,
            }),
            Err(error @ CallError::Connect { .. }) => {
                let problem = error.to_string();
                NotSentSnafu { problem }.fail()
            }
            Err(error) => {
                // Other connections may be as silent as this one.
                self.kept.forget(self.address);
                let problem = error.to_string();
                UnknownSnafu { problem }.fail()
            }
        }
    }

    async fn through(
        &self,
        peer: SocketAddr,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreError> {
        let wire = (self.dialect.store_call)(call);
        let request = ProxyRequest {
            method: wire.method.to_string(),
            path: wire.path,
            body: wire.body.to_vec(),
            limit_ms: limit.as_millis() as u64,
        };
        let body = rmp_serde::to_vec(&request).map_err(|error| StoreError::NotSent {
            problem: error.to_string(),
        })?;
        let request = CallRequest {
            method: Method::POST,
            path: STORE_PATH,
            content_type: MSGPACK,
            body: Bytes::from(body),
            limit: limit + PROXY_SLACK,
            ..CallRequest::default()
        };
        let answer = match self.kept.call(peer, request).await {
            Ok(answer) => answer,
            Err(error @ CallError::Connect { .. }) => {
                let problem = error.to_string();
                return NotSentSnafu { problem }.fail();
            }
            Err(error) => {
                let problem = error.to_string();
                return UnknownSnafu { problem }.fail();
            }
        };
        let reply = rmp_serde::from_slice(&answer.body);
        match reply.map_err(|error| StoreError::Unknown {
            problem: format!("peer={peer}: {error}"),
        })? {
            ProxyReply::Answered { status, body } => {
                let body = Bytes::from(body);
                let reply = (self.dialect.store_reply)(call, &WireReply { status, body });
                reply.context(MalformedSnafu)
            }
            ProxyReply::NotSent => {
                let problem = format!("peer={peer} does not reach the store");
                NotSentSnafu { problem }.fail()
            }
            ProxyReply::Unknown => {
                let problem = format!("peer={peer} got no answer");
                UnknownSnafu { problem }.fail()
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn step_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Get { .. } => "get",
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Commit(_) => "commit",
        StoreCall::Grant { .. } => "grant",
        StoreCall::Renew(_) => "renew",
        StoreCall::Revoke(_) => "revoke",
    }
}
