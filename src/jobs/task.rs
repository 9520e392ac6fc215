//! Tasks and their runs in the memory of the shard's owner, and their stored form.
//!
//! Times are on the boot clock, in milliseconds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::losses::WorkerLoss;
use crate::jobs::record::PlacedRecord;
use crate::jobs::record::TaskRecord;

/// Progress of the start or the stop of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Placed; its start is sent once this version of the job is stored.
    Reserved(u64),
    /// Its start was sent and is not answered yet.
    Ordered,
    /// It is not known whether an attempt at its start was carried out, the last one until this
    /// time; the worker's next report tells whether it runs.
    Unanswered(u64),
    /// Runs; the worker confirmed it at this time.
    Running(u64),
    /// Placed by a former owner; the worker has not confirmed it to this owner.
    Inherited,
    /// To be stopped; the stop is not answered yet.
    Stopping,
    /// The stop was answered at this time; the worker has not listed the end yet.
    Stopped(u64),
}

impl RunPhase {
    /// Returns whether the run is to be stopped or its stop was answered.
    #[must_use]
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::Stopped(_))
    }
}

/// A run that may be alive at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of the run.
    pub run: u32,
    /// Progress of its start or stop.
    pub phase: RunPhase,
    /// Whether it is known to have begun; a run of a former owner is taken to have.
    pub began: bool,
    /// Whether a report of the incarnation that started at `born_ms` has listed it.
    pub is_reported: bool,
    /// Whether an attempt at its start has no answer; it may be carried out by a later
    /// incarnation of the worker, even though another attempt was answered.
    pub has_unanswered_start: bool,
    /// When its start was last sent; 0 if this owner has not sent it.
    pub ordered_ms: u64,
    /// When its completed share last changed, or when it was placed or its start sent.
    pub last_progress_ms: u64,
    /// When it was placed, or taken over from a former owner.
    pub started_ms: u64,
    /// Completed share of its work, in percent.
    pub percent: u32,
    /// Speed at which it is allowed to work, in percent of full speed.
    pub pace: u32,
    /// Load that the worker last listed: the tail of the response times in milliseconds
    /// of a serving task, the CPU use of any other.
    pub load: u64,
}

impl TaskRun {
    /// Records that its start is sent.
    pub(crate) fn record_order(&mut self, now: u64) {
        self.phase = RunPhase::Ordered;
        self.ordered_ms = now;
        self.has_unanswered_start = true;
        self.last_progress_ms = now;
    }
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskState {
    /// Number of the latest run; 0 if there was none.
    pub last_run: u32,
    /// Number of runs that failed.
    pub failed: u32,
    /// Whether a run has finished the work.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be alive.
    pub placed: Vec<TaskRun>,
    /// Numbers of the runs that were removed as lost; if the worker lists the failure of
    /// one later, the failure still counts.
    pub lost: Vec<u32>,
    /// Losses of runs with workers that have crashed or may have.
    pub losses: Vec<WorkerLoss>,
    /// When a run last ended or was removed, or the task was restored; 0 for never.
    pub last_end_ms: u64,
    /// How often a run was stopped as stuck.
    pub stuck: u32,
}

/// Permission to run a step at a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceTicket {
    /// Text that the start carries.
    pub text: String,
    /// When it expires.
    pub expiry_ms: u64,
    /// For how long it was valid when it was received, in milliseconds.
    pub valid_ms: u64,
}

/// What the advice service said about a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepAdvice {
    /// Workers that may run the step, each with its ticket.
    pub tickets: BTreeMap<String, AdviceTicket>,
    /// Workers that the service did not allow. This holds for as long as the incarnation lives and
    /// the queue's advice stays the same.
    pub refused: BTreeSet<String>,
    /// When the last call was sent; none before the first.
    pub asked_ms: Option<u64>,
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepState {
    /// Tasks, by their index.
    pub tasks: Vec<TaskState>,
    /// When all steps that it depends on were done; none while one is not.
    pub open_ms: Option<u64>,
    /// What the advice service said about the workers.
    pub advice: StepAdvice,
    /// Workers on which runs were stopped as stuck.
    pub stuck_at: BTreeSet<String>,
}

impl StepState {
    /// Returns whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }
}

/// Removes a run from a task; returns whether it was placed there or had been
/// removed as lost.
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

/// Returns the stored form of a task.
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

/// Restores a task from its stored form. All its runs are inherited, since the former
/// owner may have sent their start.
pub(crate) fn restore_task(record: TaskRecord, now: u64) -> TaskState {
    let placed = record.placed.into_iter().map(|placed| TaskRun {
        worker: placed.worker,
        born_ms: placed.born_ms,
        run: placed.run,
        phase: RunPhase::Inherited,
        began: true,
        is_reported: false,
        has_unanswered_start: false,
        ordered_ms: 0,
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
        losses: Vec::new(),
        last_end_ms: now,
        stuck: 0,
    }
}
