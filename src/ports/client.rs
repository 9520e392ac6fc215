//! HTTP client of the workers, the VM list service and the advice service.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use snafu::ResultExt;
use snafu::Snafu;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::keep_alive::KeepAliveClient;
use crate::ports::AdviceCall;
use crate::ports::AdviceReply;
use crate::ports::DecodeError;
use crate::ports::DialectPort;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::PortAddresses;
use crate::ports::WireCall;
use crate::ports::WireReply;
use crate::ports::WorkerCall;
use crate::ports::WorkerReply;
use crate::ports::worker::WorkerOrder;

/// Content type of all request bodies sent to the platform.
pub const JSON: &str = "application/json";

/// A call to a platform service that got no usable reply.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PortError {
    /// No complete response was received.
    #[snafu(display("port={port} {source}"))]
    NoResponse {
        /// Service that was called.
        port: &'static str,
        /// Cause.
        source: CallError,
    },
    /// The response could not be decoded.
    #[snafu(display("port={port} peer={peer} {source}"))]
    Malformed {
        /// Service that was called.
        port: &'static str,
        /// Address of the service.
        peer: SocketAddr,
        /// Cause.
        source: DecodeError,
    },
    /// The service has no address in this deployment.
    #[snafu(display("port={port}: not part of this deployment"))]
    NotDeployed {
        /// Service that was to be called.
        port: &'static str,
    },
}

impl PortError {
    /// Returns true if no part of the call was sent, so that it had no effect.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NoResponse { source, .. } => matches!(source, CallError::Connect { .. }),
            Self::Malformed { .. } => false,
            Self::NotDeployed { .. } => true,
        }
    }
}

/// Timeouts of calls by service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Order to a worker; covers a few round trips across data centres.
    pub order: Duration,
    /// Call to the VM list service.
    pub fleet: Duration,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            order: Duration::from_millis(500),
            fleet: Duration::from_millis(1500),
        }
    }
}

/// Client of the workers, the VM list service and the advice service.
#[derive(Clone)]
pub struct PortClient {
    /// Encodes calls and decodes replies.
    pub dialect: DialectPort,
    /// Addresses of the platform's services.
    pub addresses: PortAddresses,
    /// HTTP client with keep-alive connections.
    pub client: KeepAliveClient,
    /// Timeouts of calls.
    pub timeouts: CallTimeouts,
}

impl PortClient {
    /// Sends an order to a worker.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply is received; unless the error is
    /// [unsent](PortError::is_unsent), the worker may have executed the order or may
    /// still execute it.
    pub async fn worker(
        &self,
        peer: SocketAddr,
        call: &WorkerCall,
    ) -> Result<WorkerReply, PortError> {
        let wait = match call.order {
            WorkerOrder::Hold { wait_ms, .. } => Duration::from_millis(wait_ms),
            _ => Duration::ZERO,
        };
        let wire = (self.dialect.worker_call)(call);
        let limits = CallLimits::after_wait(self.timeouts.order, wait);
        let reply = self.send("worker", peer, wire, limits).await?;
        let reply = (self.dialect.worker_reply)(call, &reply);
        reply.context(MalformedSnafu {
            port: "worker",
            peer,
        })
    }

    /// Calls the VM list service.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply is received; unless the error is
    /// [unsent](PortError::is_unsent), an order may have been executed.
    pub async fn fleet(&self, call: &FleetCall) -> Result<FleetReply, PortError> {
        let port = "fleet";
        let Some(peer) = self.addresses.fleet else {
            return NotDeployedSnafu { port }.fail();
        };
        let wire = (self.dialect.fleet_call)(call);
        let limits = CallLimits::at_once(self.timeouts.fleet);
        let reply = self.send(port, peer, wire, limits).await?;
        (self.dialect.fleet_reply)(call, &reply).context(MalformedSnafu { port, peer })
    }

    /// Asks the advice service which workers may run a step; `limit` depends on the queue and the
    /// number of workers.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply is received within `limit`.
    pub async fn advice(
        &self,
        call: &AdviceCall,
        limit: Duration,
    ) -> Result<AdviceReply, PortError> {
        let port = "advice";
        let Some(peer) = self.addresses.advice else {
            return NotDeployedSnafu { port }.fail();
        };
        let wire = (self.dialect.advice_call)(call);
        let limits = CallLimits { limit, wait: limit };
        let reply = self.send(port, peer, wire, limits).await?;
        (self.dialect.advice_reply)(&reply).context(MalformedSnafu { port, peer })
    }

    /// Sends an encoded call and returns the response without decoding it.
    async fn send(
        &self,
        port: &'static str,
        peer: SocketAddr,
        wire: WireCall,
        limits: CallLimits,
    ) -> Result<WireReply, PortError> {
        let with_body = wire.method != Method::GET && wire.method != Method::DELETE;
        let request = CallRequest {
            method: wire.method,
            path: &wire.path,
            content_type: if with_body { JSON } else { "" },
            headers: &wire.headers,
            body: wire.body,
            limit: limits.limit,
        };
        let response = self.client.call_held(peer, request, limits.wait).await;
        let response = response.context(NoResponseSnafu { port })?;
        Ok(WireReply {
            status: response.status.as_u16(),
            body: response.body,
        })
    }
}
