//! Workers that were lost with runs, and evidence of what became of each.
//!
//! A worker that does not answer loses its runs once its lease has expired. That it has
//! crashed shows only later, when another incarnation answers or is listed at its address;
//! if the same incarnation answers again, it was only cut off. One that was to leave has not
//! crashed either.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::jobs::engine::JobEngine;
use crate::jobs::isolation::has_outlasted_trial;
use crate::jobs::losses::WorkerLoss;
use crate::jobs::task::RunPhase;
use crate::jobs::types::TaskId;
use crate::jobs::types::WorkerState;
use crate::jobs::worker::WorkerView;
use crate::metrics::LOST_RUNS;
use crate::ports::WorkerEntry;

/// How long a lost worker's answer or successor is waited for, in milliseconds.
const EVIDENCE_WAIT_MS: u64 = 60_000;

/// Why all runs at a worker are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The worker does not answer and its lease has expired.
    LeaseExpired,
    /// Another incarnation runs under its identifier.
    Restarted,
    /// It does not answer, and the platform lists its VM without it.
    NotListed,
}

impl LossReason {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_expired",
            Self::Restarted => "restarted",
            Self::NotListed => "not_listed",
        }
    }
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
pub(crate) type LostWorkers = BTreeMap<String, LostWorker>;

impl JobEngine {
    /// Records the loss of all runs at a worker with each of their tasks, unless the worker
    /// was to leave. Called before the runs are removed.
    pub(crate) fn record_losses(&mut self, worker: &str, reason: LossReason, now: u64) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let planned = view.evacuating || view.entry.state == WorkerState::Draining;
        let confirmed = view.is_superseded || reason == LossReason::Restarted;
        let silent_ms = now.saturating_sub(view.contact_ms.unwrap_or(now));
        log::info!(
            event = "worker_runs_lost", worker = worker, reason = reason.as_str(),
            runs = view.runs.len(), planned = planned, crashed = confirmed,
            silent_ms = silent_ms; ""
        );
        let alive_ms = view.alive_ms;
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
            let began = self
                .placed_run(&task, worker, run)
                .is_some_and(|run| run.began);
            let losses = self.task_losses(&task);
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
                confirmed: confirmed && began,
                began,
                outlasted_trial: phase
                    .is_some_and(|phase| has_outlasted_trial(phase, alive_ms, losses + 1)),
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

    /// Records that it is not known whether a worker that a former owner lost has crashed.
    pub(crate) fn await_evidence(&mut self, worker: &str, born_ms: u64, task: TaskId, now: u64) {
        let lost = self.lost_workers.entry(worker.to_owned());
        let lost = lost.or_insert_with(|| LostWorker {
            born_ms,
            address: None,
            lost_ms: now,
            tasks: Vec::new(),
        });
        lost.tasks.push(task);
    }

    /// Returns the run on trial at a worker, if its start was confirmed.
    fn isolated_run(&self, worker: &str) -> Option<(TaskId, u32)> {
        let claim = self.workers.get(worker)?.claim.as_ref()?;
        let run = claim.run?;
        let phase = self.run_phase(&claim.task, worker, run);
        matches!(phase, Some(RunPhase::Running(_))).then(|| (claim.task.clone(), run))
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
                own.for_each(|loss| loss.confirmed = loss.began);
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
            if let Some(view) = self.workers.get_mut(&worker) {
                view.is_replaced = true;
            }
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
