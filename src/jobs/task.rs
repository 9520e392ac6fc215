//! A task and its runs in the memory of the owner, and their stored form.

use std::collections::BTreeMap;

use crate::jobs::record::PlacedRecord;
use crate::jobs::record::TaskRecord;

/// How far the start of a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Will be ordered once the placement is stored with this version of the job.
    Reserved(u64),
    /// Ordered; the answer is not known.
    Ordered,
    /// Runs, as the worker said at this time on the boot clock.
    Running(u64),
    /// Placed by a former owner; the worker has not been asked yet.
    Inherited,
    /// To be stopped; the order is not answered yet.
    Stopping,
    /// The order to stop was answered at this time on the boot clock; the end is not
    /// listed yet.
    Stopped(u64),
}

impl RunPhase {
    /// Tells whether the run was ordered to stop.
    #[must_use]
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::Stopped(_))
    }
}

/// A run that may be alive at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// Life of the worker.
    pub worker: String,
    /// Start of that life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of the run.
    pub run: u32,
    /// How far it has come.
    pub phase: RunPhase,
    /// When it was placed or last seen to get on, on the boot clock in milliseconds.
    pub last_progress_ms: u64,
    /// When it was placed, on the boot clock in milliseconds.
    pub started_ms: u64,
    /// Share of its work that is done, 0 to 100.
    pub percent: u32,
    /// Share at which it works, 0 to 100.
    pub pace: u32,
    /// Last load that the worker listed.
    pub load: u64,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Highest number of a run.
    pub last_run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Whether a run has finished the work.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be alive.
    pub placed: Vec<TaskRun>,
    /// Runs given up as lost; a failure that is listed later still counts.
    pub lost: Vec<u32>,
    /// When it last lost a run, on the boot clock in milliseconds; 0 for never.
    pub last_end_ms: u64,
}

/// Advice about a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepAdvice {
    /// Workers that may run the step: ticket and end of its validity on the boot clock.
    pub tickets: BTreeMap<String, (String, u64)>,
    /// Whether a question is under way.
    pub call_in_flight: bool,
    /// Workers asked about that were not allowed, until this time on the boot clock.
    pub refused: BTreeMap<String, u64>,
    /// No question before this time on the boot clock.
    pub not_before_ms: u64,
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<TaskState>,
    /// Whether all earlier steps are done, since when on the boot clock.
    pub open_ms: Option<u64>,
    /// Advice.
    pub advice: StepAdvice,
}

impl StepState {
    /// Tells whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }
}

/// Removes a run from a task; true if it was there or had been given up as lost.
pub(crate) fn remove_run(task: &mut TaskState, worker: &str, run: u32) -> bool {
    let before = task.placed.len();
    task.placed
        .retain(|placed| placed.run != run || placed.worker != worker);
    if task.placed.len() != before {
        return true;
    }
    let lost = task.lost.iter().position(|lost| *lost == run);
    lost.map(|position| task.lost.swap_remove(position))
        .is_some()
}

pub(crate) fn store_task(task: &TaskState) -> TaskRecord {
    let placed = task.placed.iter().map(|run| PlacedRecord {
        worker: run.worker.clone(),
        born_ms: run.born_ms,
        run: run.run,
    });
    TaskRecord {
        runs: task.last_run,
        failed: task.failed,
        done: task.done,
        checkpoint: task.checkpoint.clone(),
        placed: placed.collect(),
    }
}

pub(crate) fn restore_task(record: TaskRecord, now: u64) -> TaskState {
    let placed = record.placed.into_iter().map(|placed| TaskRun {
        worker: placed.worker,
        born_ms: placed.born_ms,
        run: placed.run,
        phase: RunPhase::Inherited,
        last_progress_ms: now,
        started_ms: now,
        percent: 0,
        pace: 100,
        load: 0,
    });
    TaskState {
        last_run: record.runs,
        failed: record.failed,
        done: record.done,
        checkpoint: record.checkpoint,
        placed: placed.collect(),
        lost: Vec::new(),
        last_end_ms: now,
    }
}
