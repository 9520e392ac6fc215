//! Ports: what the jobs service asks of the world outside, as typed messages.
//!
//! A [`DialectPort`] turns each message into an HTTP call and the answer back into
//! a typed reply. It is a plain struct of functions, so that a platform is met by
//! filling it in; no function in it decides anything or keeps state.

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

/// A call in the form in which it is sent.
#[derive(Clone, Debug)]
pub struct WireCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides host and type of the body.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// An answer as it was received.
#[derive(Clone, Debug)]
pub struct WireReply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// An answer or a record that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("step={step}: {problem}"))]
pub struct DecodeError {
    /// What was read.
    pub step: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// What a caller asks of a job or a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerVerb {
    /// Hands a job in.
    Submit,
    /// Asks for the state.
    Query,
    /// Cancels the job.
    Cancel,
}

/// Keys of the store that others write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExternalKeys {
    /// Prefix of what the operator writes.
    pub operator: &'static str,
    /// The configuration.
    pub config: &'static str,
    /// Prefix of requested maintenance waves.
    pub waves: &'static str,
    /// Prefix of the workers' entries.
    pub workers: &'static str,
    /// Prefix under which the progress of waves is reported.
    pub wave_status: &'static str,
}

/// How a platform is spoken to.
#[derive(Clone, Copy)]
pub struct DialectPort {
    /// Keys of the store that others write.
    pub keys: ExternalKeys,
    /// Path of the readiness page.
    pub ready_path: &'static str,
    /// Header in which a caller says how long it waits, in milliseconds.
    pub deadline_header: &'static str,
    /// Store: call.
    pub store_call: fn(&StoreCall) -> WireCall,
    /// Store: reply.
    pub store_reply: fn(&StoreCall, &WireReply) -> Result<StoreReply, DecodeError>,
    /// Worker: call.
    pub worker_call: fn(&WorkerCall) -> WireCall,
    /// Worker: reply.
    pub worker_reply: fn(&WorkerCall, &WireReply) -> Result<WorkerReply, DecodeError>,
    /// Fleet: call.
    pub fleet_call: fn(&FleetCall) -> WireCall,
    /// Fleet: reply.
    pub fleet_reply: fn(&FleetCall, &WireReply) -> Result<FleetReply, DecodeError>,
    /// Advice: call.
    pub advice_call: fn(&AdviceCall) -> WireCall,
    /// Advice: reply.
    pub advice_reply: fn(&WireReply) -> Result<AdviceReply, DecodeError>,
    /// A worker's entry.
    pub worker_entry: fn(&str, &[u8]) -> Result<WorkerEntry, DecodeError>,
    /// The configuration.
    pub config: fn(&[u8]) -> Result<JobConfig, DecodeError>,
    /// A requested wave.
    pub wave: fn(&[u8]) -> Result<WaveOrder, DecodeError>,
    /// The report on a wave; true once it is complete.
    pub wave_status: fn(bool) -> Vec<u8>,
    /// A job handed in.
    pub job: fn(&[u8]) -> Result<JobSpec, DecodeError>,
    /// Answer with a job's state.
    pub job_state: fn(JobState) -> Bytes,
    /// Answer with a queue's waiting jobs.
    pub queue_state: fn(u64) -> Bytes,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortAddresses {
    /// The store.
    pub store: SocketAddr,
    /// The list of machines.
    pub fleet: Option<SocketAddr>,
    /// The advice service.
    pub advice: Option<SocketAddr>,
}
