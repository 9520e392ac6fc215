//! Messages of workers and of the advice service.

use std::net::SocketAddr;

use crate::jobs::types::ResourceVector;
use crate::jobs::types::RunEnd;
use crate::jobs::types::WorkerState;

/// A worker as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Identifier of this incarnation of the worker; a restarted worker gets another.
    pub id: String,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; 0 if not
    /// known.
    pub born_ms: u64,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Data centre.
    pub dc: String,
    /// Whether it accepts new runs.
    pub state: WorkerState,
    /// Total resources for runs.
    pub capacity: ResourceVector,
    /// Labels such as kind and rack.
    pub labels: Vec<String>,
    /// Min time until it leaves, in milliseconds; only valid while it drains.
    pub leaves_in_ms: u64,
}

/// A run in progress, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress, 0 to 100 percent.
    pub percent: u32,
    /// Load of the run: the tail response time in milliseconds for a serving task, the
    /// processor use for any other.
    pub load: u64,
}

/// A run that has ended, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Sequence number among the ended runs of this incarnation of the worker.
    pub number: u64,
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Identifier of the worker; another incarnation rejects the call.
    pub worker: String,
    /// Epoch of the sender's ownership, as a fencing token.
    pub epoch: u64,
    /// Order to execute.
    pub order: WorkerOrder,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Starts a run.
    Start {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
        /// Specification of the task in the form that the worker expects.
        spec: String,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Checkpoint to resume from; empty to start from the beginning.
        checkpoint: String,
        /// Ticket of the advice service; empty if none is needed.
        ticket: String,
    },
    /// Stops a run; one that has not started is never started afterwards.
    Stop {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
    },
    /// Renews the lease of all runs and lists the running and ended ones.
    Hold {
        /// New end of the lease on the worker's clock, in milliseconds; none leaves it
        /// unchanged.
        lease_until_ms: Option<u64>,
        /// Acknowledges ended runs up to this sequence number; the worker drops them
        /// from its list.
        cursor: u64,
        /// Max wait for a run to end, in milliseconds.
        wait_ms: u64,
    },
    /// Throttles a run or restores its full speed.
    Pace {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u32,
        /// Speed of the run, 0 to 100 percent of its full speed.
        percent: u32,
    },
}

/// Why a worker rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The worker has received an order with a higher epoch.
    Epoch,
    /// A run of the task with this or a higher number has already ended on the worker.
    OldRun,
    /// The lease had expired when the order arrived.
    LeaseEnded,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is unhealthy and executes no orders.
    Unhealthy,
    /// Another incarnation of the worker listens at the address.
    OtherIncarnation,
    /// The worker considers the order invalid.
    Invalid,
}

/// A worker's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The order was executed.
    Done {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// Lists of the running and the ended runs.
    Held {
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// Start time of this incarnation, in milliseconds since the Unix epoch; 0 if not
        /// known.
        born_ms: u64,
        /// Runs in progress.
        running: Vec<RunningRow>,
        /// Ended runs that are not acknowledged yet.
        ended: Vec<EndedRow>,
    },
    /// The order was rejected and had no effect.
    Refused {
        /// Why it was rejected.
        reason: RefusalReason,
    },
}

/// A call to the advice service: which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// Name of the step.
    pub step: String,
    /// Identifiers of the candidate workers.
    pub workers: Vec<String>,
}

/// A reply of the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// Workers that may run the step, each with its ticket.
    Allowed {
        /// Identifiers of the workers and their tickets.
        tickets: Vec<(String, String)>,
        /// Validity of the tickets, in milliseconds.
        valid_ms: u64,
    },
    /// The service is overloaded.
    Busy,
}
