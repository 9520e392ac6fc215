//! Calls to the store, directly or through another entry VM.
//!
//! The store may turn single entry VMs away. After a failure the calls go through
//! another entry VM, and through the next one if that fails too, until a probe finds
//! the store answering directly again. A call is never repeated here: whether that is
//! safe is known only to its caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::sleep;

use crate::http::CallError;
use crate::http::CallRequest;
use crate::jobs::record::ShardKeys;
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

/// Time between two probes while calls go through others.
const PROBE_PERIOD: Duration = Duration::from_millis(400);

/// Limit on a probe: a slow store answers in a quarter of a second.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

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
    /// Whether calls go through others, and a probe is under way.
    turned_away: bool,
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

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply comes.
    pub async fn call(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let reply = match self.choose_peer() {
            None => self.direct(call, limit).await,
            Some(peer) => {
                let reply = self.through(peer, call, limit).await;
                if !matches!(&reply, Ok(reply) if !matches!(reply, StoreReply::Refused { .. })) {
                    self.lock().next += 1;
                }
                reply
            }
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
        let state = self.lock();
        if !state.turned_away || state.peers.is_empty() {
            return None;
        }
        state.peers.get(state.next % state.peers.len()).copied()
    }

    async fn direct(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let wire = (self.dialect.store_call)(call);
        let result = self.send(wire.method, &wire.path, wire.body, limit).await;
        let refused = matches!(&result, Ok(reply) if matches!(reply.status, 429 | 503));
        if result.is_err() || refused {
            self.turn_to_peers();
        }
        match result {
            Ok(reply) => (self.dialect.store_reply)(call, &reply).context(MalformedSnafu),
            Err(error) => Err(error),
        }
    }

    /// Sends further calls through others, until a probe succeeds.
    fn turn_to_peers(&self) {
        let mut state = self.lock();
        if state.turned_away || state.peers.is_empty() {
            return;
        }
        state.turned_away = true;
        log::info!(event = "store_through_peers", peers = state.peers.len(); "");
        drop(state);
        tokio::spawn(probe(self.clone()));
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

/// Probes until the store answers directly.
async fn probe(link: StoreLink) {
    let call = StoreCall::Get {
        key: ShardKeys::default().chain(0),
    };
    let wire = (link.dialect.store_call)(&call);
    loop {
        sleep(PROBE_PERIOD).await;
        let sent = link.send(
            wire.method.clone(),
            &wire.path,
            wire.body.clone(),
            PROBE_LIMIT,
        );
        if sent
            .await
            .is_ok_and(|reply| !matches!(reply.status, 429 | 503))
        {
            log::info!(event = "store_direct"; "");
            link.lock().turned_away = false;
            return;
        }
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
