//! Losses of tasks: runs that were lost with workers that have crashed or may have.
//!
//! A task that crashes each worker that starts it must not be started without end, and
//! tasks that only ran beside it must not be given up. Each task keeps its losses, also
//! across takeovers. They decide whether it is a suspect, which is started in isolation (see
//! [`isolation`](crate::jobs::isolation)). A loss counts only if it came soon after the start of
//! its run, within the trial that the task was due. A task with enough of them is given up, and
//! its job fails; a long-running one is started again after growing delays instead, as its job
//! ends only when it is cancelled. A run that lasts for long clears its task.

use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskState;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::metrics::GIVEN_UP_TASKS;
use crate::metrics::HELD_BACK_TASKS;

/// Number of workers known to have crashed from which on a task may be given up.
const MIN_CRASHES: usize = 2;

/// Number of losses from which on a task is given up although none of its crashed runs was
/// isolated. Before the crashes are known, the task waits.
const MAX_UNISOLATED_LOSSES: usize = 4;

/// Number of losses from which on a task is given up, whatever is known of the workers.
const MAX_LOSSES: usize = 5;

/// How long a task that has lost many runs waits for evidence before it is started again, in
/// milliseconds; workers that have crashed return within seconds.
const EVIDENCE_DELAY_MS: u64 = 10_000;

/// Delay before a long-running task is started again after its second early crash, in
/// milliseconds; doubles with each further one.
const RESTART_DELAY_MS: u64 = 1000;

/// Maximum delay before a long-running task is started again, in milliseconds.
const MAX_RESTART_DELAY_MS: u64 = 5000;

/// Number of losses that a task keeps; more do not change how it is handled.
const MAX_KEPT_LOSSES: usize = 8;

/// Time for which a run has to last for the earlier losses of its task to be forgotten, in
/// milliseconds.
const SURVIVAL_MS: u64 = 30_000;

/// Loss of a run with its worker, which has crashed or may have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLoss {
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Whether the run was on trial, so that no other one can have crashed the worker.
    pub isolated: bool,
    /// Whether the worker is known to have crashed.
    pub confirmed: bool,
    /// Whether the run is known to have begun; its task has not crashed the worker otherwise.
    /// Not stored: a successor takes it to have begun.
    pub began: bool,
    /// Whether the run had been alive for as long as the trial that its task was due lasts. Not
    /// stored: a successor takes the task for a suspect.
    pub outlasted_trial: bool,
}

/// Returns the losses that the task may have caused: those soon after the start of its run.
pub(crate) fn early_losses(losses: &[WorkerLoss]) -> impl Iterator<Item = &WorkerLoss> + Clone {
    losses.iter().filter(|loss| !loss.outlasted_trial)
}

/// Returns whether a task with these losses is to be given up.
#[must_use]
pub fn is_given_up(losses: &[WorkerLoss]) -> bool {
    let early = early_losses(losses);
    let mut crashes = early.clone().filter(|loss| loss.confirmed);
    if crashes.clone().count() < MIN_CRASHES {
        return early.count() >= MAX_LOSSES;
    }
    early.count() >= MAX_UNISOLATED_LOSSES || crashes.any(|loss| loss.isolated)
}

/// Returns how long a long-running task with these losses waits after the last one before it is
/// started again, in milliseconds.
#[must_use]
pub fn restart_delay_ms(losses: &[WorkerLoss]) -> u64 {
    let crashes = early_losses(losses).filter(|loss| loss.confirmed).count();
    let Some(further) = crashes.checked_sub(MIN_CRASHES) else {
        return 0;
    };
    let delay_ms = RESTART_DELAY_MS.saturating_mul(1 << further.min(MAX_KEPT_LOSSES));
    delay_ms.min(MAX_RESTART_DELAY_MS)
}

/// A worker and its incarnation.
type WorkerIncarnation = (String, u64);

impl WorkerLoss {
    fn incarnation(&self) -> WorkerIncarnation {
        (self.worker.clone(), self.born_ms)
    }
}

/// Returns the crashes that a task with these losses has caused: those soon after its start,
/// once one of its isolated runs has crashed a worker as soon.
fn explained_crashes(losses: &[WorkerLoss]) -> Vec<WorkerIncarnation> {
    let crashes = early_losses(losses).filter(|loss| loss.confirmed);
    if crashes.clone().any(|loss| loss.isolated) {
        crashes.map(WorkerLoss::incarnation).collect()
    } else {
        Vec::new()
    }
}

impl JobEngine {
    /// Adds a loss to a task.
    pub(crate) fn add_loss(&mut self, task: &TaskId, loss: WorkerLoss) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            if state.losses.len() >= MAX_KEPT_LOSSES {
                state.losses.remove(0);
            }
            state.losses.push(loss);
            self.tasks_with_losses.insert(task.clone());
        }
    }

    /// Indexes the losses of the tasks of a job of a former owner, and gives up the tasks for
    /// which they suffice.
    pub(crate) fn restore_losses(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let (mut tasks, mut unconfirmed) = (Vec::new(), Vec::new());
        for (task, loss) in job.losses() {
            tasks.push(task.clone());
            if !loss.confirmed {
                unconfirmed.push((task, loss.worker.clone(), loss.born_ms));
            }
        }
        for (task, worker, born_ms) in unconfirmed {
            self.await_evidence(&worker, born_ms, task, now);
        }
        self.give_up_tasks(&tasks, now);
        self.tasks_with_losses.extend(tasks);
    }

    /// Records the loss of an inherited run; `crashed` if its worker is known to have crashed.
    pub(crate) fn record_inherited_loss(
        &mut self,
        task: &TaskId,
        worker: &str,
        born_ms: u64,
        crashed: bool,
        now: u64,
    ) {
        let loss = WorkerLoss {
            worker: worker.to_owned(),
            born_ms,
            isolated: false,
            confirmed: crashed,
            began: true,
            outlasted_trial: false,
        };
        self.add_loss(task, loss);
        if !crashed {
            self.await_evidence(worker, born_ms, task.clone(), now);
        }
        self.give_up_tasks(std::slice::from_ref(task), now);
    }

    /// Fails the jobs of those of the tasks that are to be given up. The long-running ones among
    /// them wait before their next start instead.
    pub(crate) fn give_up_tasks(&mut self, tasks: &[TaskId], now: u64) {
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let is_long_running = job.step_spec(task).is_some_and(|spec| spec.lasting);
            let Some(state) = job.task(task).filter(|state| !state.done) else {
                continue;
            };
            if job.state.is_final() || !is_given_up(&state.losses) {
                continue;
            }
            let crashes = state.losses.iter().filter(|loss| loss.confirmed).count();
            let losses = state.losses.len();
            let explained = explained_crashes(&state.losses);
            if is_long_running {
                let delay_ms = restart_delay_ms(&state.losses);
                log::warn!(
                    event = "task_held_back", task:% = task, losses = losses, crashes = crashes,
                    delay_ms = delay_ms; ""
                );
                metrics::counter!(HELD_BACK_TASKS).increment(1);
                self.withdraw_explained(&explained, now);
                continue;
            }
            job.state = JobState::Failed;
            job.bump_version();
            log::warn!(
                event = "task_given_up", task:% = task, losses = losses, crashes = crashes; ""
            );
            metrics::counter!(GIVEN_UP_TASKS).increment(1);
            self.settle_size_count(&task.job, now);
            self.dirty.mark(&task.job, now);
            self.finalize_job(&task.job, now);
            self.withdraw_explained(&explained, now);
        }
    }

    /// Withdraws the losses of runs that had outlasted a trial in crashes whose cause is known
    /// to be another task.
    fn withdraw_explained(&mut self, crashes: &[WorkerIncarnation], now: u64) {
        if crashes.is_empty() {
            return;
        }
        let tasks: Vec<TaskId> = self.tasks_with_losses.iter().cloned().collect();
        for task in tasks {
            self.change_losses(&task, now, |losses| {
                losses
                    .retain(|loss| !loss.outlasted_trial || !crashes.contains(&loss.incarnation()));
            });
        }
    }

    /// Returns whether a task that has lost many runs waits: until more is known of the workers,
    /// or, if it is long-running, for its delay.
    pub(crate) fn awaits_evidence(&self, task: &TaskId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let is_long_running = job.step_spec(task).is_some_and(|spec| spec.lasting);
        job.task(task).is_some_and(|state| {
            let delay_ms = if is_long_running {
                restart_delay_ms(&state.losses)
            } else if early_losses(&state.losses).count() >= MAX_UNISOLATED_LOSSES {
                EVIDENCE_DELAY_MS
            } else {
                0
            };
            now < state.last_end_ms + delay_ms
        })
    }

    /// Forgets the losses of tasks with a run that has lasted for long, and stops watching the
    /// tasks that are done.
    pub(crate) fn clear_survivors(&mut self, now: u64) {
        let state_of = |task: &TaskId| self.jobs.get(&task.job)?.task(task);
        let survived = self.tasks_with_losses.iter().filter(|task| {
            state_of(task).is_some_and(|state| !state.done && self.has_survived(state, now))
        });
        let survived: Vec<TaskId> = survived.cloned().collect();
        for task in &survived {
            log::info!(event = "task_cleared", task:% = task; "");
            self.change_losses(task, now, Vec::clear);
        }
        let jobs = &self.jobs;
        self.tasks_with_losses.retain(|task| {
            let state = jobs.get(&task.job).and_then(|job| job.task(task));
            state.is_some_and(|state| !state.done && !state.losses.is_empty())
        });
    }

    fn has_survived(&self, state: &TaskState, now: u64) -> bool {
        state.placed.iter().any(|run| {
            let view = self.workers.get(&run.worker);
            let observed = view.is_some_and(|view| view.missed_calls == 0);
            let since_ms = match run.phase {
                RunPhase::Running(since_ms) if observed => since_ms,
                _ => return false,
            };
            now > since_ms + SURVIVAL_MS
        })
    }

    /// Changes the losses of a task; the job is stored again if that makes a difference.
    pub(crate) fn change_losses(
        &mut self,
        task: &TaskId,
        now: u64,
        change: impl Fn(&mut Vec<WorkerLoss>),
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let before = state.losses.clone();
        change(&mut state.losses);
        if state.losses != before {
            job.bump_version();
            self.dirty.mark(&task.job, now + self.settings.flush_ms);
        }
    }
}
