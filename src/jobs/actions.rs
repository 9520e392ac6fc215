//! What the scheduler wants done, and how results find their way back.

use std::net::SocketAddr;

use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::ports::AdviceCall;
use crate::ports::FleetCall;
use crate::ports::WorkerCall;

/// Which call an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallToken {
    /// Lists of a worker.
    Hold {
        /// Worker.
        worker: String,
    },
    /// Start of a run.
    Start {
        /// Worker.
        worker: String,
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Attempts before this one.
        retries: u32,
    },
    /// Stop of a run.
    Stop {
        /// Worker.
        worker: String,
        /// Task, by name: it may be one that the owner does not know.
        task: String,
        /// Number of the run.
        run: u32,
    },
    /// Pace of a run.
    Pace {
        /// Worker.
        worker: String,
        /// Task.
        task: TaskId,
    },
}

/// Identifies whoever waits for an answer.
pub type WaiterId = u64;

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The job is stored.
    Accepted,
    /// The job was cancelled, or had ended.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// Number of jobs that wait.
    Pending(u64),
    /// No such job.
    Unknown,
    /// No such queue.
    NoQueue,
    /// The submission makes no sense.
    Invalid,
    /// The job has not run and never will by this submission.
    Refused {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A call to a worker.
    Worker {
        /// Address.
        address: SocketAddr,
        /// Call.
        call: WorkerCall,
        /// Identifies the answer.
        token: CallToken,
    },
    /// A question to the advice service.
    Advise {
        /// Call.
        call: AdviceCall,
        /// Step that it is for: any task of it.
        step: TaskId,
    },
    /// A call to the list of VMs.
    Fleet(FleetCall),
    /// An answer to a caller.
    Answer {
        /// Who waits.
        waiter: WaiterId,
        /// Answer.
        answer: CallerAnswer,
    },
}
