//! Ports: typed messages between the jobs service and the platform's services.
//!
//! A [`DialectPort`] encodes each message as an HTTP call and decodes the response
//! into a typed reply. It is a struct of function pointers; a platform is supported by
//! providing one. The functions take no decisions and keep no state.

pub mod client;
pub mod fleet;
pub mod store;
pub mod worker;

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;

use crate::jobs::config::JobConfig;
use crate::jobs::types::JobSpec;
use crate::jobs::types::JobState;
use crate::jobs::wave::WaveOrder;

pub use fleet::FleetCall;
pub use fleet::FleetReply;
pub use store::StoreCall;
pub use store::StoreReply;
pub use worker::AdviceCall;
pub use worker::AdviceReply;
pub use worker::WorkerCall;
pub use worker::WorkerEntry;
pub use worker::WorkerReply;

/// An encoded HTTP request.
#[derive(Clone, Debug)]
pub struct WireCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers other than `Host` and `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// An HTTP response before decoding.
#[derive(Clone, Debug)]
pub struct WireReply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// A response or a stored record that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step={step}: {problem}"))]
pub struct DecodeError {
    /// What was being decoded.
    pub step: &'static str,
    /// Why it cannot be decoded.
    pub problem: String,
}

/// A caller's request about a job or a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerVerb {
    /// Submits a job.
    Submit,
    /// Asks for the state of a job or a queue.
    Query,
    /// Cancels a job.
    Cancel,
}

/// Keys of the store that are shared with other programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExternalKeys {
    /// Prefix of the keys that the operator writes.
    pub operator: &'static str,
    /// Key of the configuration.
    pub config: &'static str,
    /// Prefix of requested maintenance waves.
    pub waves: &'static str,
    /// Prefix of the workers' entries.
    pub workers: &'static str,
    /// Prefix under which the progress of waves is reported.
    pub wave_status: &'static str,
}

/// Encoders and decoders for one platform's protocol.
#[derive(Clone, Copy)]
pub struct DialectPort {
    /// Keys of the store that are shared with other programs.
    pub keys: ExternalKeys,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Header with the time that a caller waits for the response, in milliseconds.
    pub deadline_header: &'static str,
    /// Header with the API key of the caller's account.
    pub key_header: &'static str,
    /// Encodes a call to the store.
    pub store_call: fn(&StoreCall) -> WireCall,
    /// Decodes the store's reply to a call.
    pub store_reply: fn(&StoreCall, &WireReply) -> Result<StoreReply, DecodeError>,
    /// Encodes a call to a worker.
    pub worker_call: fn(&WorkerCall) -> WireCall,
    /// Decodes a worker's reply to a call.
    pub worker_reply: fn(&WorkerCall, &WireReply) -> Result<WorkerReply, DecodeError>,
    /// Encodes a call to the VM list service.
    pub fleet_call: fn(&FleetCall) -> WireCall,
    /// Decodes the VM list service's reply to a call.
    pub fleet_reply: fn(&FleetCall, &WireReply) -> Result<FleetReply, DecodeError>,
    /// Encodes a call to the advice service.
    pub advice_call: fn(&AdviceCall) -> WireCall,
    /// Decodes the advice service's reply.
    pub advice_reply: fn(&WireReply) -> Result<AdviceReply, DecodeError>,
    /// Decodes a worker's entry in the store, given the worker's identifier.
    pub worker_entry: fn(&str, &[u8]) -> Result<WorkerEntry, DecodeError>,
    /// Decodes the configuration.
    pub config: fn(&[u8]) -> Result<JobConfig, DecodeError>,
    /// Decodes a requested maintenance wave.
    pub wave: fn(&[u8]) -> Result<WaveOrder, DecodeError>,
    /// Encodes the progress of a wave; true once it is complete.
    pub wave_status: fn(bool) -> Vec<u8>,
    /// Decodes a submitted job.
    pub job: fn(&[u8]) -> Result<JobSpec, DecodeError>,
    /// Encodes the response with a job's state.
    pub job_state: fn(JobState) -> Bytes,
    /// Encodes the response with the number of jobs waiting in a queue.
    pub queue_state: fn(u64) -> Bytes,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortAddresses {
    /// Store.
    pub store: SocketAddr,
    /// VM list service; none if the deployment has none.
    pub fleet: Option<SocketAddr>,
    /// Advice service; none if the deployment has none.
    pub advice: Option<SocketAddr>,
}
