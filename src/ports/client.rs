//! Calls through the ports: dialect, connections, limits on time.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use snafu::ResultExt;
use snafu::Snafu;

use crate::http::CallError;
use crate::http::CallRequest;
use crate::kept::KeptClient;
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

/// Type of all bodies with the platform.
pub const JSON: &str = "application/json";

/// A call through a port that brought no usable reply.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PortError {
    /// No whole answer came.
    #[snafu(display("port={port} {source}"))]
    NoResponse {
        /// What was called.
        port: &'static str,
        /// Cause.
        source: CallError,
    },
    /// The answer makes no sense.
    #[snafu(display("port={port} peer={peer} {source}"))]
    Malformed {
        /// What was called.
        port: &'static str,
        /// Address.
        peer: SocketAddr,
        /// Cause.
        source: DecodeError,
    },
    /// There is no such service in this deployment.
    #[snafu(display("port={port}: not part of this deployment"))]
    NotDeployed {
        /// What was to be called.
        port: &'static str,
    },
}

impl PortError {
    /// Tells whether the call was certainly not carried out.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::NoResponse { source, .. } => matches!(source, CallError::Connect { .. }),
            Self::Malformed { .. } => false,
            Self::NotDeployed { .. } => true,
        }
    }
}

/// Limits on the time of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// An order to a worker: a few round trips across data centres.
    pub order: Duration,
    /// A call to the list of VMs.
    pub fleet: Duration,
    /// A question to the advice service, which takes its time for each worker.
    pub advice: Duration,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            order: Duration::from_millis(500),
            fleet: Duration::from_millis(1500),
            advice: Duration::from_millis(1500),
        }
    }
}

/// Client of workers, list of VMs and advice service.
#[derive(Clone)]
pub struct PortClient {
    /// How the platform is spoken to.
    pub dialect: DialectPort,
    /// Where it is.
    pub addresses: PortAddresses,
    /// Connections.
    pub client: KeptClient,
    /// Limits.
    pub timeouts: CallTimeouts,
}

impl PortClient {
    /// Calls a worker.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply comes; unless the error is
    /// [unsent](PortError::is_unsent), the order may be carried out later.
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
        let limit = self.timeouts.order + wait;
        let reply = self.send("worker", peer, wire, limit).await?;
        let reply = (self.dialect.worker_reply)(call, &reply);
        reply.context(MalformedSnafu {
            port: "worker",
            peer,
        })
    }

    /// Calls the list of VMs.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply comes; an order may have been carried out.
    pub async fn fleet(&self, call: &FleetCall) -> Result<FleetReply, PortError> {
        let port = "fleet";
        let Some(peer) = self.addresses.fleet else {
            return NotDeployedSnafu { port }.fail();
        };
        let wire = (self.dialect.fleet_call)(call);
        let reply = self.send(port, peer, wire, self.timeouts.fleet).await?;
        (self.dialect.fleet_reply)(call, &reply).context(MalformedSnafu { port, peer })
    }

    /// Asks the advice service.
    ///
    /// # Errors
    ///
    /// Fails if no usable reply comes.
    pub async fn advice(&self, call: &AdviceCall) -> Result<AdviceReply, PortError> {
        let port = "advice";
        let Some(peer) = self.addresses.advice else {
            return NotDeployedSnafu { port }.fail();
        };
        let wire = (self.dialect.advice_call)(call);
        let reply = self.send(port, peer, wire, self.timeouts.advice).await?;
        (self.dialect.advice_reply)(&reply).context(MalformedSnafu { port, peer })
    }

    /// Sends a call as it is.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn send(
        &self,
        port: &'static str,
        peer: SocketAddr,
        wire: WireCall,
        limit: Duration,
    ) -> Result<WireReply, PortError> {
        let with_body = wire.method != Method::GET && wire.method != Method::DELETE;
        let request = CallRequest {
            method: wire.method,
            path: &wire.path,
            content_type: if with_body { JSON } else { "" },
            headers: &wire.headers,
            body: wire.body,
            limit,
        };
        let answer = self.client.call(peer, request).await;
        let answer = answer.context(NoResponseSnafu { port })?;
        Ok(WireReply {
            status: answer.status.as_u16(),
            body: answer.body,
        })
    }
}
