//! Types of the placement's input and output.

use crate::config::ResourceAmount;
use crate::names::PoolName;
use crate::names::RackName;
use crate::names::TeamName;
use crate::names::VmName;

/// Identifies a task by its job and its index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub index: u32,
}

/// Identifies a job by its pool and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId {
    /// Pool on whose workers it runs.
    pub pool: PoolName,
    /// Name, unique within the pool.
    pub name: String,
}

/// A task that is to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRequest {
    /// Identifies the task.
    pub id: TaskId,
    /// Team whose quota it counts against, if any.
    pub team: Option<TeamName>,
    /// Resources that the task declares to need.
    pub need: ResourceAmount,
    /// Whether it may evict tasks that are not urgent.
    pub urgent: bool,
}

/// Configuration of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Rack that it is in, over which a job's tasks are spread.
    pub rack: RackName,
    /// Total resources of the worker.
    pub capacity: ResourceAmount,
    /// Whether it gets new tasks.
    pub schedulable: bool,
}

/// Result of placing a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// The task is to be started on `vm`, after the evicted tasks have been stopped.
    Placed {
        /// Worker on which the task is placed.
        vm: VmName,
        /// Tasks of the worker that have to be checkpointed and stopped.
        evicted: Vec<TaskId>,
    },
    /// The task cannot run now, but may run later.
    Waiting(WaitReason),
    /// The task is not accepted.
    Refused(RefusalReason),
}

/// Why a task has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker of the pool has enough free capacity.
    NoCapacity,
    /// The team's quota does not leave enough for the task.
    QuotaExhausted,
}

/// Why a task is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The pool has no workers.
    NoWorkers,
    /// The task needs more than any worker of the pool has in total.
    LargerThanWorkers,
    /// The task needs more than its team's whole quota.
    LargerThanQuota,
    /// Tasks of the job failed on too many different workers without a success.
    RepeatedFailures,
    /// A task with the same id is placed already.
    Duplicate,
}

/// An action that reduces the resource usage of a worker under pressure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReliefAction {
    /// Limit the CPU time of the task.
    Throttle(TaskId),
    /// Checkpoint the task and stop it; the caller places it again.
    Stop(TaskId),
}
