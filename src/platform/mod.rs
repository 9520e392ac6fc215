//! Access to the platform: its key-value service, its list of VMs and its VM operations.
//!
//! The key-value service is used through the HTTP interface of Consul's KV store and
//! sessions: `GET`, `PUT` and `DELETE` on `/v1/kv/<key>` with `cas`, `acquire`,
//! `index`, `wait` and `recurse`. A lease is a Consul session.

pub mod backoff;
pub mod client;
pub mod retry;
pub mod wire;

use std::net::SocketAddr;

use snafu::Snafu;

use crate::http::CallError;
use crate::names::DcName;
use crate::names::RackName;
use crate::names::VmName;

pub use client::PlatformClient;
pub use client::PlatformSettings;

/// A call to the platform that got no usable response.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// No complete response was received; a write may still have taken effect.
    #[snafu(display("step={step} {source}"))]
    NoResponse {
        /// Name of the call.
        step: &'static str,
        /// Cause.
        source: CallError,
    },
    /// The platform answered with an error status. A write may have taken effect if
    /// the status is 500 or more.
    #[snafu(display("step={step} peer={peer}: status {status}"))]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The response could not be decoded.
    #[snafu(display("step={step} peer={peer}: {problem}"))]
    Malformed {
        /// Name of the call.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Why it could not be decoded.
        problem: String,
    },
}

impl PlatformError {
    /// Returns true if a write has certainly not taken effect and a retry cannot
    /// succeed.
    #[must_use]
    pub fn is_permanent(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                status: 400..=499,
                ..
            }
        )
    }
}

/// A key of the key-value service with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Revision of the last change; a key never has the same revision twice.
    pub revision: u64,
    /// Value.
    pub value: Vec<u8>,
}

/// A VM as the platform lists it; the list may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Rack of the VM.
    pub rack: RackName,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
}

/// An operation that the platform executes on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Restarts the VM.
    Reboot,
    /// Saves the state of its tasks.
    Checkpoint,
    /// Throttles its tasks.
    Throttle,
    /// Stops its tasks.
    Stop,
}

impl OperationKind {
    /// Returns the platform's name of the operation.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reboot => "reboot",
            Self::Checkpoint => "checkpoint",
            Self::Throttle => "throttle",
            Self::Stop => "stop",
        }
    }
}

/// State of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationState {
    /// In progress.
    Running,
    /// Completed; the VM is in service again.
    Done,
    /// Ended without success.
    Failed,
}
