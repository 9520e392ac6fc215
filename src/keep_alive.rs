//! An HTTP client that keeps its connections open.
//!
//! One connection carries one call at a time. A connection on which a call failed
//! or took too long is closed: it may have gone silent for good.

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

/// Bounds on connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeepAliveSettings {
    /// Limit on connecting.
    pub connect_limit: Duration,
    /// An idle connection is not used after this time; below the idle limit that
    /// servers commonly have.
    pub idle_timeout: Duration,
    /// Most idle connections to a peer.
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

type IdleMap = HashMap<SocketAddr, Vec<(Instant, OpenConnection)>>;

/// A client with open connections to many peers.
#[derive(Clone, Debug, Default)]
pub struct KeepAliveClient {
    settings: KeepAliveSettings,
    idle: Arc<Mutex<IdleMap>>,
}

impl KeepAliveClient {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(settings: KeepAliveSettings) -> Self {
        Self {
            settings,
            idle: Arc::default(),
        }
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes; [`CallError::Connect`] says that nothing was
    /// sent.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: CallRequest<'_>,
    ) -> Result<CallResponse, CallError> {
        let limit = request.limit;
        match timeout(limit, self.exchange(peer, &request)).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { peer, limit }.fail(),
        }
    }

    /// Closes all idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &CallRequest<'_>,
    ) -> Result<CallResponse, CallError> {
        while let Some(mut connection) = self.take_idle(peer) {
            match send(peer, &mut connection.sender, request).await {
                // The peer had closed the idle connection; nothing was sent.
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

    fn store_idle(
        &self,
        peer: SocketAddr,
        connection: OpenConnection,
        result: Result<CallResponse, CallError>,
    ) -> Result<CallResponse, CallError> {
        let answer = result?;
        if !connection.sender.is_closed() {
            let mut idle = self.lock();
            let connections = idle.entry(peer).or_default();
            if connections.len() < self.settings.max_idle {
                connections.push((Instant::now(), connection));
            }
        }
        Ok(answer)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IdleMap> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
