//! Workers that were lost with runs, and what is known of each: whether it has crashed, was
//! only cut off, or left as ordered.
//!
//! A worker that does not answer loses its runs once its lease has expired. That it has
//! crashed shows only later, when another incarnation answers or is listed at its address;
//! if the same incarnation answers again, it was cut off. Each task keeps the losses of its
//! runs at workers that may have crashed.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::jobs::engine::JobEngine;
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
    /// Whether the worker is known to have crashed.
    pub confirmed: bool,
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
        let mut tasks = Vec::new();
        for (task, run) in runs {
            let phase = self.run_phase(&task, worker, run);
            if phase.is_none_or(|phase| matches!(phase, RunPhase::Reserved(_))) {
                continue;
            }
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&task)) {
                state.losses.push(WorkerLoss {
                    worker: worker.to_owned(),
                    born_ms,
                    confirmed,
                });
                tasks.push(task);
            }
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

    /// Handles evidence that a worker's incarnation is no longer running: another one has
    /// answered in its place.
    pub(crate) fn worker_superseded(&mut self, worker: &str) {
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
        for task in lost.tasks {
            let job = self.jobs.get_mut(&task.job);
            let state = job.and_then(|job| job.task_mut(&task));
            let losses = state.into_iter().flat_map(|state| &mut state.losses);
            for loss in losses.filter(|loss| loss.worker == worker) {
                loss.confirmed = true;
            }
        }
    }

    /// Handles a worker that was found: earlier workers at its address are no longer running.
    pub(crate) fn supersede_at_address(&mut self, entry: &WorkerEntry) {
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
            self.worker_superseded(&worker);
        }
    }

    /// Handles an answer of a worker: if its runs were counted as lost, it was cut off, and
    /// its tasks' losses at it are withdrawn.
    pub(crate) fn withdraw_losses(&mut self, worker: &str, born_ms: u64) {
        let Some(lost) = self.lost_workers.remove(worker) else {
            return;
        };
        if lost.born_ms != born_ms {
            self.lost_workers.insert(worker.to_owned(), lost);
            return self.worker_superseded(worker);
        }
        log::info!(event = "worker_was_cut_off", worker = worker, tasks = lost.tasks.len(); "");
        for task in lost.tasks {
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&task)) {
                state.losses.retain(|loss| loss.worker != worker);
            }
        }
    }

    /// Forgets lost workers of which nothing was heard for long.
    pub(crate) fn expire_lost_workers(&mut self, now: u64) {
        self.lost_workers
            .retain(|_, lost| now < lost.lost_ms + EVIDENCE_WAIT_MS);
    }
}
