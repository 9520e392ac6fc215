//! Messages of workers and of the advice service.

use std::net::SocketAddr;

use crate::jobs::types::ResourceVector;
use crate::jobs::types::RunEnd;
use crate::jobs::types::WorkerState;

/// A worker as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Identifier of this life of the worker.
    pub id: String,
    /// Time of its start, in milliseconds since the Unix epoch; 0 if not told.
    pub born_ms: u64,
    /// Pool.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub dc: String,
    /// Whether it takes work.
    pub state: WorkerState,
    /// What it has room for in all.
    pub capacity: ResourceVector,
    /// Kind, rack and other labels.
    pub labels: Vec<String>,
    /// Least time until it leaves, in milliseconds, while it drains.
    pub leaves_in_ms: u64,
}

/// A run of a task that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of its work that is done, 0 to 100.
    pub percent: u32,
    /// Tail of the response times in milliseconds of a task that serves, processor
    /// use of any other.
    pub load: u64,
}

/// An end of a run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Life of the worker that is meant.
    pub worker: String,
    /// Epoch of the sender's ownership.
    pub epoch: u64,
    /// What is asked.
    pub order: WorkerOrder,
}

/// What a worker is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Starts a run.
    Start {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
        /// What to run.
        spec: String,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Where to resume; empty for the beginning.
        checkpoint: String,
        /// Ticket of the advice service; empty if none is needed.
        ticket: String,
    },
    /// Stops a run, or forbids it for good if it has not started.
    Stop {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
    },
    /// Renews the lease of all runs and lists them.
    Hold {
        /// End of the lease on the worker's clock; none leaves it as it is.
        lease_until_ms: Option<u64>,
        /// Ends up to this number are forgotten.
        cursor: u64,
        /// How long to wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Slows a run down or lets it go on.
    Pace {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
        /// Share at which it works, 0 to 100.
        percent: u32,
    },
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It has seen a higher epoch.
    Epoch,
    /// The run is not higher than one that ended there.
    OldRun,
    /// The lease had ended when the order arrived.
    LeaseEnded,
    /// There is no room.
    NoCapacity,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another life of the worker listens there.
    OtherIncarnation,
    /// The order makes no sense to the worker.
    Invalid,
}

/// A worker's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The order was carried out.
    Done {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// What runs and what has ended.
    Held {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// Time of its start; 0 if not told.
        born_ms: u64,
        /// What runs.
        running: Vec<RunningRow>,
        /// What has ended.
        ended: Vec<EndedRow>,
    },
    /// Nothing was done.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
}

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// The step.
    pub step: String,
    /// Workers that are asked about.
    pub workers: Vec<String>,
}

/// The advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// Workers that may run the step, each with its ticket.
    Allowed {
        /// Workers and tickets.
        tickets: Vec<(String, String)>,
        /// How long the tickets hold, in milliseconds.
        valid_ms: u64,
    },
    /// The service is overloaded.
    Busy,
}
