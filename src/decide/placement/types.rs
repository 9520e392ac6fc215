//! What is asked of the placement and what it answers.

use crate::config::ResourceAmount;
use crate::names::PoolName;
use crate::names::RackName;
use crate::names::TeamName;
use crate::names::VmName;

/// Identifies a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Job, with its pool.
    pub job: JobId,
    /// Number within the job.
    pub index: u32,
}

/// Identifies a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId {
    /// Pool that carries it.
    pub pool: PoolName,
    /// Name within the pool.
    pub name: String,
}

/// A task that is to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// Its identity.
    pub id: TaskId,
    /// Team whose quota it counts against.
    pub team: Option<TeamName>,
    /// Declared need.
    pub need: ResourceAmount,
    /// Whether it may take the place of tasks that are not urgent.
    pub urgent: bool,
}

/// A worker as it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Rack that it stands in.
    pub rack: RackName,
    /// What it has.
    pub capacity: ResourceAmount,
    /// Whether it takes new tasks.
    pub schedulable: bool,
}

/// What becomes of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// It runs on this worker, after these tasks have been checkpointed and stopped.
    Placed {
        /// The worker.
        vm: VmName,
        /// Tasks that give way.
        evicted: Vec<TaskId>,
    },
    /// It may run later.
    Waiting(WaitReason),
    /// It can never run.
    Refused(RefusalReason),
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker has room.
    NoCapacity,
    /// The team's quota is used up.
    QuotaExhausted,
}

/// Why a task can never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The pool has no worker.
    NoWorkers,
    /// It needs more than any worker of the pool has.
    LargerThanWorkers,
    /// It needs more than its team's whole quota.
    LargerThanQuota,
    /// Its job has failed on several workers in a row.
    RepeatedFailures,
    /// It is placed already.
    Duplicate,
}

/// What relieves a worker under pressure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReliefAction {
    /// Slow the task down.
    Throttle(TaskId),
    /// Save the task's state and stop it; it is to be placed again.
    Stop(TaskId),
}
