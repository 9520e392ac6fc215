//! The platform: its key-value service, its list of VMs and its operations.
//!
//! The key-value service is met through the HTTP interface published for
//! Consul's KV store and sessions: `GET`, `PUT` and `DELETE` on `/v1/kv/<key>`
//! with `cas`, `acquire`, `index`, `wait` and `recurse`. A lease is a session.

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

/// A call to the platform that brought no usable answer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// No whole answer came. A write may have taken effect all the same.
    #[snafu(display("step={step} {source}"))]
    NoResponse {
        /// What was asked.
        step: &'static str,
        /// Cause.
        source: CallError,
    },
    /// The platform answered with an error. A write may have taken effect if the
    /// status is 500 or more.
    #[snafu(display("step={step} peer={peer}: status {status}"))]
    Refused {
        /// What was asked.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The answer makes no sense.
    #[snafu(display("step={step} peer={peer}: {problem}"))]
    Malformed {
        /// What was asked.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// What is wrong.
        problem: String,
    },
}

impl PlatformError {
    /// Tells whether a write has certainly not taken effect and repeating the call
    /// cannot help.
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

/// A value of the key-value service and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Revision of the last change; it never repeats for a key.
    pub revision: u64,
    /// Value.
    pub value: Vec<u8>,
}

/// A VM as the platform lists it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name.
    pub name: VmName,
    /// Data centre.
    pub dc: DcName,
    /// Rack.
    pub rack: RackName,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An operation that the platform carries out on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Restarts the VM.
    Reboot,
    /// Saves the state of its tasks.
    Checkpoint,
    /// Slows its tasks down.
    Throttle,
    /// Stops its tasks.
    Stop,
}

impl OperationKind {
    /// Returns the name used by the platform.
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

/// How far an operation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationState {
    /// In progress.
    Running,
    /// Ended well; the VM is back.
    Done,
    /// Ended badly.
    Failed,
}
