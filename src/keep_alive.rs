//! An HTTP client that reuses its connections (keep-alive).
//!
//! A connection carries one call at a time. It is closed after a call that failed
//! or timed out, since the peer may no longer respond on it. The network may have dropped
//! other connections to the peer at the same time, without a reset. So the idle ones are
//! closed, too, unless they have carried a response since that of the call was due: a peer
//! that is slow with one call does not cost the others their connections.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use snafu::IntoError;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::http::CallError;
use crate::http::CallRequest;
use crate::http::CallResponse;
use crate::http::CloseMode;
use crate::http::ConnectSnafu;
use crate::http::OpenConnection;
use crate::http::TimeoutSnafu;
use crate::http::send;

/// Limits on connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepAliveSettings {
    /// Time limit for connecting.
    pub connect_limit: Duration,
    /// Time after which an idle connection is no longer used. It should be shorter than
    /// the idle timeout of common servers, so that the server does not close it first.
    pub idle_timeout: Duration,
    /// Max idle connections per peer.
    pub max_idle: usize,
}

impl Default for KeepAliveSettings {
    fn default() -> Self {
        Self {
            connect_limit: Duration::from_millis(400),
            idle_timeout: Duration::from_secs(10),
            max_idle: 8,
        }
    }
}

/// Idle connections by peer, with the time of the last response on each.
type IdleMap = HashMap<SocketAddr, Vec<(Instant, OpenConnection)>>;

/// A client that holds idle connections to any number of peers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct KeepAliveClient {
    settings: KeepAliveSettings,
    idle: Arc<Mutex<IdleMap>>,
}

impl KeepAliveClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: KeepAliveSettings) -> Self {
        Self {
            settings,
            idle: Arc::default(),
        }
    }

    /// Makes one call, on an idle connection if there is one.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received; after [`CallError::Connect`] nothing
    /// was sent.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: CallRequest<'_>,
    ) -> Result<CallResponse, CallError> {
        self.call_held(peer, request, Duration::ZERO).await
    }

    /// Makes one call, as [`KeepAliveClient::call`] does, whose response the peer may hold back for
    /// `wait`, as in a long poll; that is part of the time limit.
    ///
    /// # Errors
    ///
    /// As [`KeepAliveClient::call`].
    pub async fn call_held(
        &self,
        peer: SocketAddr,
        request: CallRequest<'_>,
        wait: Duration,
    ) -> Result<CallResponse, CallError> {
        let limit = request.limit;
        let due = Instant::now() + wait;
        let result = match timeout(limit, self.exchange(peer, &request)).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { peer, limit }.fail(),
        };
        if result.is_err() {
            self.close_unproven(peer, due);
        }
        result
    }

    /// Closes the idle connections to a peer that have carried no response since `due`.
    fn close_unproven(&self, peer: SocketAddr, due: Instant) {
        if let Some(connections) = self.lock().get_mut(&peer) {
            connections.retain(|(since, _)| *since >= due);
        }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &CallRequest<'_>,
    ) -> Result<CallResponse, CallError> {
        while let Some(mut connection) = self.take_idle(peer) {
            match send(peer, &mut connection.sender, request).await {
                // The connection was closed while it was idle; nothing was sent.
                Err(CallError::Exchange { source, .. }) if source.is_canceled() => {}
                result => return self.store_idle(peer, connection, result),
            }
        }
        let opening = timeout(
            self.settings.connect_limit,
            OpenConnection::open(peer, CloseMode::Reset),
        );
        let mut connection = match opening.await {
            Ok(connection) => connection?,
            Err(_) => {
                let source = io::Error::from(io::ErrorKind::TimedOut);
                return Err(ConnectSnafu { peer }.into_error(source));
            }
        };
        let result = send(peer, &mut connection.sender, request).await;
        self.store_idle(peer, connection, result)
    }

    /// Takes an idle connection to a peer; drops those that have expired or are closed.
    fn take_idle(&self, peer: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&peer)?;
        while let Some((since, connection)) = connections.pop() {
            let fresh = since.elapsed() < self.settings.idle_timeout;
            if fresh && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Stores the connection for reuse if its call succeeded; drops it otherwise.
    fn store_idle(
        &self,
        peer: SocketAddr,
        connection: OpenConnection,
        result: Result<CallResponse, CallError>,
    ) -> Result<CallResponse, CallError> {
        let response = result?;
        if !connection.sender.is_closed() {
            let mut idle = self.lock();
            let connections = idle.entry(peer).or_default();
            if connections.len() < self.settings.max_idle {
                connections.push((Instant::now(), connection));
            }
        }
        Ok(response)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleMap> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
