//! Workers that were lost with runs, and what is known of each: whether it has crashed, was
//! only cut off, or left as ordered.
//!
//! A worker that does not answer loses its runs once its lease has expired. That it has
//! crashed shows only later, when another incarnation answers or is listed at its address;
//! if the same incarnation answers again, it was cut off.
//!
//! Each task keeps the losses of its runs at workers that may have crashed, also across
//! takeovers, and is then started in isolation. A task is given up once it has crashed
//! workers often enough; its job fails.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskState;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::jobs::types::WorkerState;
use crate::jobs::worker::WorkerView;
use crate::metrics::GIVEN_UP_TASKS;
use crate::metrics::LOST_RUNS;
use crate::ports::WorkerEntry;

/// How long a lost worker's answer or successor is waited for, in milliseconds.
const EVIDENCE_WAIT_MS: u64 = 60_000;

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

/// Time for which a run has to last for the earlier losses of its task to be forgotten, in
/// milliseconds.
const SURVIVAL_MS: u64 = 30_000;

/// Why all runs at a worker are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The worker does not answer and its lease has expired.
    LeaseExpired,
    /// Another incarnation runs under its identifier.
    Restarted,
    /// Its VM was moved or went into maintenance.
    VmOrdered,
}

impl LossReason {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_expired",
            Self::Restarted => "restarted",
            Self::VmOrdered => "vm_ordered",
        }
    }
}

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
}

/// Returns whether a task with these losses is to be given up.
#[must_use]
pub fn is_given_up(losses: &[WorkerLoss]) -> bool {
    let crashes = losses.iter().filter(|loss| loss.confirmed);
    if crashes.clone().count() < MIN_CRASHES {
        return losses.len() >= MAX_LOSSES;
    }
    losses.len() >= MAX_UNISOLATED_LOSSES || crashes.into_iter().any(|loss| loss.isolated)
}

/// A lost worker of which it is not known whether it has crashed.
#[derive(Clone, Debug)]
pub(crate) struct LostWorker {
    born_ms: u64,
    /// Address at which it was called; none if a former owner lost it.
    address: Option<SocketAddr>,
    lost_ms: u64,
    /// Tasks that have a loss at it.
    tasks: Vec<TaskId>,
}

/// Lost workers by identifier.
pub(crate) type LostWorkers = HashMap<String, LostWorker>;

impl JobEngine {
    /// Records the loss of all runs at a worker with each of their tasks, unless the worker
    /// was to leave. Called before the runs are removed.
    pub(crate) fn record_losses(&mut self, worker: &str, reason: LossReason, now: u64) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let planned = reason == LossReason::VmOrdered
            || view.evacuating
            || view.entry.state == WorkerState::Draining;
        let confirmed = view.is_superseded || reason == LossReason::Restarted;
        let silent_ms = now.saturating_sub(view.contact_ms.unwrap_or(now));
        log::info!(
            event = "worker_runs_lost", worker = worker, reason = reason.as_str(),
            runs = view.runs.len(), planned = planned, crashed = confirmed,
            silent_ms = silent_ms; ""
        );
        let (born_ms, address) = (view.entry.born_ms, view.entry.address);
        let runs: Vec<_> = view.runs.iter().cloned().collect();
        let labels = [("reason", reason.as_str())];
        metrics::counter!(LOST_RUNS, &labels).increment(runs.len() as u64);
        if planned {
            return;
        }
        let isolated = self.isolated_run(worker);
        let mut tasks = Vec::new();
        for (task, run) in runs {
            let phase = self.run_phase(&task, worker, run);
            let is_cleared = isolated
                .as_ref()
                .is_some_and(|other| *other != (task.clone(), run));
            if is_cleared || phase.is_none_or(|phase| matches!(phase, RunPhase::Reserved(_))) {
                continue;
            }
            let loss = WorkerLoss {
                worker: worker.to_owned(),
                born_ms,
                isolated: isolated.is_some(),
                confirmed,
            };
            self.add_loss(&task, loss);
            tasks.push(task);
        }
        if !confirmed && !tasks.is_empty() {
            let lost = LostWorker {
                born_ms,
                address: Some(address),
                lost_ms: now,
                tasks,
            };
            self.lost_workers.insert(worker.to_owned(), lost);
        }
    }

    /// Returns the run on trial at a worker, if its start was confirmed.
    fn isolated_run(&self, worker: &str) -> Option<(TaskId, u32)> {
        let claim = self.workers.get(worker)?.claim.as_ref()?;
        let run = claim.run?;
        let phase = self.run_phase(&claim.task, worker, run);
        matches!(phase, Some(RunPhase::Running(_))).then(|| (claim.task.clone(), run))
    }

    /// Adds a loss to a task.
    pub(crate) fn add_loss(&mut self, task: &TaskId, loss: WorkerLoss) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.losses.push(loss);
            self.suspects.insert(task.clone());
        }
    }

    /// Restores the suspects among the tasks of a job of a former owner.
    pub(crate) fn restore_losses(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let mut suspects = Vec::new();
        for (task, loss) in job.losses() {
            suspects.push(task.clone());
            if !loss.confirmed {
                let lost = self.lost_workers.entry(loss.worker.clone());
                let lost = lost.or_insert_with(|| LostWorker {
                    born_ms: loss.born_ms,
                    address: None,
                    lost_ms: now,
                    tasks: Vec::new(),
                });
                lost.tasks.push(task);
            }
        }
        self.give_up_tasks(&suspects, now);
        self.suspects.extend(suspects);
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
        };
        self.add_loss(task, loss);
        if !crashed {
            let lost = self.lost_workers.entry(worker.to_owned());
            let lost = lost.or_insert_with(|| LostWorker {
                born_ms,
                address: None,
                lost_ms: now,
                tasks: Vec::new(),
            });
            lost.tasks.push(task.clone());
        }
        self.give_up_tasks(std::slice::from_ref(task), now);
    }

    /// Fails the jobs of those of the tasks that are to be given up.
    pub(crate) fn give_up_tasks(&mut self, tasks: &[TaskId], now: u64) {
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let Some(state) = job.task(task).filter(|state| !state.done) else {
                continue;
            };
            if job.state.is_final() || !is_given_up(&state.losses) {
                continue;
            }
            let crashes = state.losses.iter().filter(|loss| loss.confirmed).count();
            let losses = state.losses.len();
            job.state = JobState::Failed;
            job.bump_version();
            log::warn!(
                event = "task_given_up", task:% = task, losses = losses, crashes = crashes; ""
            );
            metrics::counter!(GIVEN_UP_TASKS).increment(1);
            self.settle_size_count(&task.job, now);
            self.dirty.mark(&task.job, now);
            self.finalize_job(&task.job, now);
        }
    }

    /// Returns whether a task that has lost many runs waits until more is known of the
    /// workers.
    pub(crate) fn awaits_evidence(&self, task: &TaskId, now: u64) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.task(task)).is_some_and(|state| {
            state.losses.len() >= MAX_UNISOLATED_LOSSES
                && now < state.last_end_ms + EVIDENCE_DELAY_MS
        })
    }

    /// Forgets the losses of tasks with a run that has lasted for long, and the suspects that
    /// are done.
    pub(crate) fn clear_survivors(&mut self, now: u64) {
        let state_of = |task: &TaskId| self.jobs.get(&task.job)?.task(task);
        let survived = self.suspects.iter().filter(|task| {
            state_of(task).is_some_and(|state| !state.done && self.has_survived(state, now))
        });
        let survived: Vec<TaskId> = survived.cloned().collect();
        for task in &survived {
            log::info!(event = "task_cleared", task:% = task; "");
            self.change_losses(task, now, Vec::clear);
        }
        let jobs = &self.jobs;
        self.suspects.retain(|task| {
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
    fn change_losses(&mut self, task: &TaskId, now: u64, change: impl Fn(&mut Vec<WorkerLoss>)) {
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

    /// Handles evidence that a worker's incarnation is no longer running: another one has
    /// answered in its place.
    pub(crate) fn worker_superseded(&mut self, worker: &str, now: u64) {
        if let Some(view) = self.workers.get_mut(worker)
            && !view.is_superseded
        {
            view.is_superseded = true;
            log::info!(event = "worker_superseded", worker = worker, runs = view.runs.len(); "");
        }
        let Some(lost) = self.lost_workers.remove(worker) else {
            return;
        };
        log::info!(event = "worker_crash_confirmed", worker = worker, tasks = lost.tasks.len(); "");
        for task in &lost.tasks {
            self.change_losses(task, now, |losses| {
                let own = losses.iter_mut().filter(|loss| loss.worker == worker);
                own.for_each(|loss| loss.confirmed = true);
            });
        }
        self.give_up_tasks(&lost.tasks, now);
    }

    /// Handles a worker that was found: earlier workers at its address are no longer running.
    pub(crate) fn supersede_at_address(&mut self, entry: &WorkerEntry, now: u64) {
        let is_earlier = |view: &&WorkerView| {
            view.missed_calls > 0
                && view.entry.address == entry.address
                && view.entry.born_ms < entry.born_ms
        };
        let views = self.workers.values().filter(is_earlier);
        let mut earlier: Vec<String> = views.map(|view| view.entry.id.clone()).collect();
        let lost = self.lost_workers.iter().filter(|(_, lost)| {
            lost.address == Some(entry.address) && lost.born_ms < entry.born_ms
        });
        earlier.extend(lost.map(|(id, _)| id.clone()));
        for worker in earlier {
            self.worker_superseded(&worker, now);
        }
    }

    /// Handles an answer of a worker: if its runs were counted as lost, it was cut off, and
    /// its tasks' losses at it are withdrawn.
    pub(crate) fn withdraw_losses(&mut self, worker: &str, born_ms: u64, now: u64) {
        let Some(lost) = self.lost_workers.remove(worker) else {
            return;
        };
        if lost.born_ms != born_ms {
            self.lost_workers.insert(worker.to_owned(), lost);
            return self.worker_superseded(worker, now);
        }
        log::info!(event = "worker_was_cut_off", worker = worker, tasks = lost.tasks.len(); "");
        for task in &lost.tasks {
            self.change_losses(task, now, |losses| {
                losses.retain(|loss| loss.worker != worker);
            });
        }
    }

    /// Forgets lost workers of which nothing was heard for long.
    pub(crate) fn expire_lost_workers(&mut self, now: u64) {
        self.lost_workers
            .retain(|_, lost| now < lost.lost_ms + EVIDENCE_WAIT_MS);
    }
}
