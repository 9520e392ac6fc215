//! Stored form of the losses of tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::losses::WorkerLoss;
use crate::jobs::types::JobId;
use crate::jobs::types::TaskId;

/// Loss of a run with its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LossRecord {
    /// Number of the task's occurrence.
    pub occurrence: u32,
    /// Position of the task's step in the job.
    pub step: u32,
    /// Position of the task in its step.
    pub index: u32,
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Whether no other run can have crashed the worker.
    pub isolated: bool,
    /// Whether the worker is known to have crashed.
    pub confirmed: bool,
}

impl From<(TaskId, &WorkerLoss)> for LossRecord {
    fn from((task, loss): (TaskId, &WorkerLoss)) -> Self {
        Self {
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            worker: loss.worker.clone(),
            born_ms: loss.born_ms,
            isolated: loss.isolated,
            confirmed: loss.confirmed,
        }
    }
}

impl LossRecord {
    /// Returns the task of a job and its loss.
    #[must_use]
    pub fn into_loss(self, job: &JobId) -> (TaskId, WorkerLoss) {
        let task = TaskId {
            job: job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        };
        let loss = WorkerLoss {
            worker: self.worker,
            born_ms: self.born_ms,
            isolated: self.isolated,
            confirmed: self.confirmed,
            began: true,
            outlasted_trial: false,
        };
        (task, loss)
    }
}
