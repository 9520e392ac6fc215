//! Calls to the store, directly or via another entry VM.
//!
//! The store may reject the calls of single entry VMs. After a failed direct call,
//! further calls go via another entry VM (a peer), and via the next one if that fails
//! too, until a probe shows that the store answers directly again. A call is never
//! retried here, since only its caller knows whether that is safe.

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
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::jobs::record::ShardKeys;
use crate::keep_alive::KeepAliveClient;
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

/// Time between two probes while calls go via peers.
const PROBE_PERIOD: Duration = Duration::from_millis(400);

/// Time limit of a probe; a slow store answers in a quarter of a second.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Added to the time limit of a call that goes via a peer.
const PROXY_SLACK: Duration = Duration::from_millis(100);

/// A call to the store failed or had no valid reply.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StoreError {
    /// The call was not sent, or a read had a reply of another kind; nothing was changed.
    #[snafu(display("step=store: not sent: {problem}"))]
    NotSent {
        /// Cause.
        problem: String,
    },
    /// The call was sent and not answered; it may still take effect.
    #[snafu(display("step=store: result unknown: {problem}"))]
    Unknown {
        /// Cause.
        problem: String,
    },
    /// The reply could not be decoded.
    #[snafu(display("step=store: invalid reply: {source}"))]
    Malformed {
        /// Cause.
        source: DecodeError,
    },
}

#[derive(Debug, Default)]
struct LinkState {
    /// Whether calls go via peers; a probe task is running as long as it is set.
    via_peers: bool,
    peers: Vec<SocketAddr>,
    /// Counts up when a call via a peer fails; selects the peer for the next call.
    next_peer: usize,
}

/// Client of the store that falls back to calls via peers.
#[derive(Clone)]
pub struct StoreLink {
    dialect: DialectPort,
    address: SocketAddr,
    client: KeepAliveClient,
    state: Arc<Mutex<LinkState>>,
}

impl StoreLink {
    /// Returns a link to the store at this address, without peers.
    #[must_use]
    pub fn new(dialect: DialectPort, address: SocketAddr, client: KeepAliveClient) -> Self {
        Self {
            dialect,
            address,
            client,
            state: Arc::default(),
        }
    }

    /// Replaces the control addresses of the peers.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Makes a call, directly or via a peer; `limit` bounds its time.
    ///
    /// # Errors
    ///
    /// Fails if there is no valid reply in time; unless the error is
    /// [`StoreError::NotSent`], the call may still take effect.
    pub async fn call(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let reply = match self.choose_peer() {
            None => self.call_directly(call, limit).await,
            Some(peer) => {
                let reply = self.call_via_peer(peer, call, limit).await;
                if !matches!(&reply, Ok(reply) if !matches!(reply, StoreReply::Refused { .. })) {
                    self.lock().next_peer += 1;
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

    /// Returns the peer for the next call; none for a direct call.
    fn choose_peer(&self) -> Option<SocketAddr> {
        let state = self.lock();
        if !state.via_peers || state.peers.is_empty() {
            return None;
        }
        state
            .peers
            .get(state.next_peer % state.peers.len())
            .copied()
    }

    async fn call_directly(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreError> {
        let wire = (self.dialect.store_call)(call);
        let wait = wait_of(call);
        let limits = CallLimits { limit, wait };
        let result = self.send(wire.method, &wire.path, wire.body, limits).await;
        let refused = matches!(&result, Ok(reply) if matches!(reply.status, 429 | 503));
        let is_failed = match &result {
            // The connection may have died long ago, while the store answers on others.
            Err(StoreError::Unknown { .. }) if !wait.is_zero() => !self.answers_directly().await,
            result => result.is_err(),
        };
        if is_failed || refused {
            self.switch_to_peers();
        }
        match result {
            Ok(reply) => (self.dialect.store_reply)(call, &reply).context(MalformedSnafu),
            Err(error) => Err(error),
        }
    }

    /// Returns whether the store answers a read of this entry VM.
    async fn answers_directly(&self) -> bool {
        let key = ShardKeys::default().chain(0);
        let wire = (self.dialect.store_call)(&StoreCall::Get { key });
        let limits = CallLimits::at_once(PROBE_LIMIT);
        let reply = self.send(wire.method, &wire.path, wire.body, limits).await;
        reply.is_ok_and(|reply| !matches!(reply.status, 429 | 503))
    }

    /// Makes further calls go via peers until a probe succeeds.
    fn switch_to_peers(&self) {
        let mut state = self.lock();
        if state.via_peers || state.peers.is_empty() {
            return;
        }
        state.via_peers = true;
        log::info!(event = "store_via_peers", peers = state.peers.len(); "");
        drop(state);
        tokio::spawn(probe(self.clone()));
    }

    /// Sends an encoded call directly to the store, for this entry VM or for a peer.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer in time; any HTTP status counts as an answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<WireReply, StoreError> {
        let request = CallRequest {
            method,
            path,
            content_type: JSON,
            body,
            limit: limits.limit,
            ..CallRequest::default()
        };
        let called = self.client.call_held(self.address, request, limits.wait);
        match called.await {
            Ok(answer) => Ok(WireReply {
                status: answer.status.as_u16(),
                body: answer.body,
            }),
            Err(error @ CallError::Connect { .. }) => {
                let problem = error.to_string();
                NotSentSnafu { problem }.fail()
            }
            Err(error) => {
                let problem = error.to_string();
                UnknownSnafu { problem }.fail()
            }
        }
    }

    async fn call_via_peer(
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
        let called = self.client.call_held(peer, request, wait_of(call));
        let answer = match called.await {
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
                let problem = format!("peer={peer}: the peer could not connect to the store");
                NotSentSnafu { problem }.fail()
            }
            ProxyReply::Unknown => {
                let problem = format!("peer={peer}: the peer received no answer from the store");
                UnknownSnafu { problem }.fail()
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probes the store until it answers directly, then ends the calls via peers.
async fn probe(link: StoreLink) {
    loop {
        sleep(PROBE_PERIOD).await;
        if link.answers_directly().await {
            log::info!(event = "store_direct"; "");
            link.lock().via_peers = false;
            return;
        }
    }
}

/// Returns for how long the store may hold the response to a call back.
fn wait_of(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
        _ => Duration::ZERO,
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
