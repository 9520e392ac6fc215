//! Actions that the scheduler requests, and tokens that match results to them.

use std::net::SocketAddr;

use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::ports::AdviceCall;
use crate::ports::FleetCall;
use crate::ports::WorkerCall;

/// Identifies the worker call that an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallToken {
    /// Lease renewal that also returns the worker's run lists.
    Hold {
        /// Identifier of the worker.
        worker: String,
    },
    /// Start of a run.
    Start {
        /// Identifier of the worker.
        worker: String,
        /// Task that the run executes.
        task: TaskId,
        /// Number of the run, from 1.
        run: u32,
        /// How often this start was sent before.
        retries: u32,
    },
    /// Stop of a run.
    Stop {
        /// Identifier of the worker.
        worker: String,
        /// Name of the task; a string because the owner may not know the task.
        task: String,
        /// Number of the run, from 1.
        run: u32,
    },
    /// Change of a filler's CPU share.
    Pace {
        /// Identifier of the worker.
        worker: String,
        /// Task that the run executes.
        task: TaskId,
    },
}

impl CallToken {
    /// Returns the identifier of the called worker.
    #[must_use]
    pub fn worker(&self) -> &str {
        match self {
            Self::Hold { worker }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Pace { worker, .. } => worker,
        }
    }
}

/// Identifies a pending request of a caller; assigned by the service.
pub type WaiterId = u64;

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or ended before the request arrived.
    Cancelled,
    /// Stored state of the job.
    State(JobState),
    /// Number of accepted jobs of the queue of which no task has started.
    Pending(u64),
    /// No stored job has this identifier.
    Unknown,
    /// The configuration has no such queue.
    NoQueue,
    /// The job specification violates a rule or limit.
    Invalid,
    /// The submission was refused; it has started no task and never will.
    Refused {
        /// Delay before the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// The identifier is that of a job of another account; nothing was done.
    Conflict,
}

/// A side effect that the service executes for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call to a worker.
    Worker {
        /// Where the worker listens.
        address: SocketAddr,
        /// Order to send.
        call: WorkerCall,
        /// Returned with the result of the call.
        token: CallToken,
    },
    /// A request to the advice service.
    Advise {
        /// Step and candidate workers.
        call: AdviceCall,
        /// Any task of the step that the request is for.
        step: TaskId,
        /// Time limit of the call, in milliseconds.
        limit_ms: u64,
    },
    /// A call to the VM management API.
    Fleet(FleetCall),
    /// An answer to a caller.
    Answer {
        /// Request that is answered.
        waiter: WaiterId,
        /// Answer to send.
        answer: CallerAnswer,
    },
}
