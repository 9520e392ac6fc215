//! Workers' entries, leases and lists of runs.

use std::collections::BTreeMap;

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::EndedRun;
use crate::jobs::task::RunPhase;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::jobs::worker::ClockSample;
use crate::jobs::worker::PendingEnd;
use crate::ports::WorkerEntry;
use crate::ports::WorkerReply;
use crate::ports::worker::EndedRow;
use crate::ports::worker::RefusalReason;
use crate::ports::worker::RunningRow;
use crate::ports::worker::WorkerOrder;

/// Calls without an answer after which the pause between calls is longest.
const MOST_MISSES: u32 = 5;

/// Longest wait of a call for the lists of a worker without runs, in milliseconds;
/// the longest that the platform allows.
const IDLE_WAIT_MS: u64 = 2000;

/// Longest wait while tasks that serve and tasks that fill share a worker, in
/// milliseconds; loads are figures of the last half second.
const SHARED_WAIT_MS: u64 = 500;

/// How long the next call waits for the last ends to be stored, in milliseconds.
/// Until then the worker would list them again at once.
const STORE_WAIT_MS: u64 = 150;

/// Time between two calls to a worker that was silent, until that is no longer stored
/// and its lease can be renewed, in milliseconds; a commit takes a few.
const REGAINED_WAIT_MS: u64 = 100;

/// Most failures that are remembered against a worker.
pub(crate) const MAX_FAILURE_STREAK: u32 = 6;

/// Failures in a row of tasks that had not failed elsewhere, after which a worker is
/// set aside.
pub(crate) const QUARANTINE_FAILURES: u32 = 3;

/// How long a worker is set aside for each failure above the limit, in
/// milliseconds; a trial follows.
pub(crate) const QUARANTINE_MS: u64 = 2000;

impl JobEngine {
    /// Calls for the lists of all workers whose turn has come.
    pub(crate) fn send_due_holds(&mut self, now: u64) {
        let due = self
            .workers
            .iter()
            .filter(|(_, view)| !view.hold_in_flight && now >= view.next_hold_ms);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for worker in due {
            self.send_hold(&worker, now);
        }
    }

    pub(crate) fn send_hold(&mut self, worker: &str, now: u64) {
        if self.deposed {
            return;
        }
        let (lease_ms, wait_ms) = (self.settings.lease_ms, self.settings.hold_wait_ms);
        let grace = self.settings.entry_grace_ms;
        let due = self
            .workers
            .get(worker)
            .is_some_and(|view| !view.hold_in_flight && now >= view.next_hold_ms);
        let shared = due && self.has_fillers_beside_serving(worker);
        let may_grant = self.unresponsive.may_grant_lease(worker);
        let Some(view) = self.workers.get_mut(worker).filter(|_| due) else {
            return;
        };
        let unstored = !view.pending_ends.is_empty() && now < view.next_hold_ms + STORE_WAIT_MS;
        if unstored {
            return;
        }
        // A worker whose entry stays away is not kept alive any longer.
        // Nor is one that did not answer: the call may arrive all the same, and its
        // runs could then never be given up.
        let listed = view.unlisted_ms.is_none_or(|since| now < since + grace);
        let kept = listed && view.missed_calls == 0 && may_grant;
        let lease = (kept && !view.runs.is_empty()).then(|| view.lease_end(now, lease_ms));
        let lease_until_ms = lease.flatten();
        if let Some(until) = lease_until_ms {
            view.lease_until_ms = view.lease_until_ms.max(until);
        }
        let wait_ms = match (view.clock, view.runs.is_empty(), shared) {
            _ if !may_grant => 0,
            (None, _, _) => 0,
            (_, true, _) => IDLE_WAIT_MS,
            (_, false, true) => SHARED_WAIT_MS,
            (_, false, false) => wait_ms,
        };
        view.hold_in_flight = true;
        let order = WorkerOrder::Hold {
            lease_until_ms,
            cursor: view.cursor,
            wait_ms: if view.pending_ends.is_empty() {
                wait_ms
            } else {
                0
            },
        };
        let token = CallToken::Hold {
            worker: worker.to_owned(),
        };
        self.send_order(worker, order, token);
    }

    /// Takes in a worker's lists.
    pub fn hold_answered(&mut self, worker: &str, reply: WorkerReply, sent_ms: u64, now: u64) {
        match reply {
            WorkerReply::Held {
                clock_ms,
                born_ms,
                running,
                ended,
            } => {
                if self.note_contact(worker, clock_ms, born_ms, now) {
                    self.apply_ended(worker, &ended, now);
                    self.apply_running(worker, &running, sent_ms, now);
                }
            }
            WorkerReply::Refused { reason } => self.hold_refused(worker, reason, now),
            WorkerReply::Done { .. } => self.hold_failed(worker, now),
        }
        self.send_hold(worker, now);
    }

    /// Takes in an answer of a worker; false if it is of another life than known.
    fn note_contact(&mut self, worker: &str, clock_ms: u64, born_ms: u64, now: u64) -> bool {
        let Some(view) = self.workers.get_mut(worker) else {
            return false;
        };
        view.hold_in_flight = false;
        if born_ms > 0 && view.entry.born_ms > 0 && born_ms != view.entry.born_ms {
            if born_ms > view.entry.born_ms {
                let entry = WorkerEntry {
                    born_ms,
                    ..view.entry.clone()
                };
                self.replace_incarnation(worker, entry, now);
            }
            return false;
        }
        if view.missed_calls > 0 || view.contact_ms.is_none() {
            self.unresponsive.remove(worker);
        }
        let wait_ms = if self.unresponsive.may_grant_lease(worker) {
            0
        } else {
            REGAINED_WAIT_MS
        };
        if view.missed_calls > 0 {
            log::info!(event = "worker_regained", worker = worker, misses = view.missed_calls; "");
        }
        view.missed_calls = 0;
        view.contact_ms = Some(now);
        view.next_hold_ms = now + wait_ms;
        view.observe_clock(ClockSample {
            clock_ms,
            received_ms: now,
        });
        self.placement_due = true;
        true
    }

    fn hold_refused(&mut self, worker: &str, reason: RefusalReason, now: u64) {
        log::warn!(event = "hold_refused", worker = worker, reason:? = reason, epoch = self.epoch; "");
        if reason == RefusalReason::Epoch {
            self.deposed = true;
        }
        self.hold_failed(worker, now);
    }

    /// Takes in that a call for a worker's lists brought no answer.
    pub fn hold_failed(&mut self, worker: &str, now: u64) {
        let retry_ms = self.settings.hold_retry_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.hold_in_flight = false;
        view.missed_calls += 1;
        view.next_hold_ms = now + retry_ms * u64::from(view.missed_calls.min(MOST_MISSES));
        if view.missed_calls == 1 {
            log::info!(event = "worker_lost", worker = worker, runs = view.runs.len(); "");
        }
    }

    fn apply_ended(&mut self, worker: &str, ended: &[EndedRow], now: u64) {
        let seen = self
            .workers
            .get(worker)
            .map_or(0, |view| view.applied_cursor);
        for row in ended.iter().filter(|row| row.number > seen) {
            let change = self.end_listed(worker, row, now);
            let Some(view) = self.workers.get_mut(worker) else {
                return;
            };
            view.applied_cursor = row.number;
            if let Some((job, version)) = change {
                view.pending_ends.push_back(PendingEnd {
                    number: row.number,
                    job,
                    version,
                });
            } else if view.pending_ends.is_empty() {
                view.cursor = row.number;
            }
        }
    }

    /// Applies one end; returns the job and the version that includes it.
    fn end_listed(
        &mut self,
        worker: &str,
        row: &EndedRow,
        now: u64,
    ) -> Option<(crate::jobs::types::JobId, u64)> {
        let task = TaskId::parse(&row.task)?;
        let attempts = self.attempts_of(&task);
        let first = self.is_first_failure(&task);
        self.record_run_outcome(worker, row.end, first, now);
        let ending = EndedRun {
            task: &task,
            worker,
            run: row.run,
            end: row.end,
            checkpoint: &row.checkpoint,
        };
        let job = self.jobs.get_mut(&task.job)?;
        let before = job.state;
        let changed = job.end_run(&ending, attempts, now);
        if changed {
            job.bump_version();
        }
        let (state, version, age_ms) =
            (job.state, job.version, now.saturating_sub(job.submitted_ms));
        self.release_run(&task, worker, row.run);
        if row.end != RunEnd::Done {
            log::info!(
                event = "run_ended", task:% = task, run = row.run, worker = worker,
                end:? = row.end, counted = changed; ""
            );
        }
        self.stop_spare_copies(&task, now);
        if state != before && state.is_final() {
            log::info!(
                event = "job_ended", job = &*task.job, state:? = state, age_ms = age_ms; ""
            );
            self.mark_dirty(&task.job, now);
        } else {
            self.mark_dirty(&task.job, now + self.settings.flush_ms);
        }
        self.finalize_job(&task.job, now);
        self.jobs
            .contains_key(&task.job)
            .then(|| (task.job.clone(), version))
    }

    fn attempts_of(&self, task: &TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|job| self.queue_of(job));
        queue.map_or(u32::MAX, |queue| queue.attempts.max(1))
    }

    fn is_first_failure(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.is_some_and(|state| state.failed == 0)
    }

    /// Stops the other runs of a task that is done.
    fn stop_spare_copies(&mut self, task: &TaskId, now: u64) {
        let Some(state) = self.jobs.get(&task.job).and_then(|job| job.task(task)) else {
            return;
        };
        if !state.done {
            return;
        }
        let copies: Vec<_> = state
            .placed
            .iter()
            .map(|run| (run.worker.clone(), run.run, run.phase))
            .collect();
        for (worker, run, phase) in copies {
            match phase {
                RunPhase::Reserved(_) => self.release_run(task, &worker, run),
                phase if phase.is_stopping() => {}
                _ => self.stop_run(task, &worker, run, now),
            }
        }
    }

    /// Counts an end for or against its worker and sets it aside on evidence.
    pub(crate) fn record_run_outcome(&mut self, worker: &str, end: RunEnd, first: bool, now: u64) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            RunEnd::Done => view.failures = 0,
            RunEnd::Failed if first => {
                view.failures = (view.failures + 1).min(MAX_FAILURE_STREAK);
                if view.failures >= QUARANTINE_FAILURES {
                    let excess = u64::from(view.failures - QUARANTINE_FAILURES + 1);
                    view.blocked_until_ms = now + QUARANTINE_MS * excess;
                    log::info!(
                        event = "worker_aside", worker = worker, failures = view.failures,
                        for_ms = QUARANTINE_MS * excess; ""
                    );
                }
            }
            _ => {}
        }
    }

    fn apply_running(&mut self, worker: &str, rows: &[RunningRow], sent_ms: u64, now: u64) {
        let mut listed = BTreeMap::new();
        for row in rows {
            let task = TaskId::parse(&row.task);
            let known = task.filter(|task| self.run_phase(task, worker, row.run).is_some());
            let Some(task) = known else {
                log::info!(
                    event = "run_unknown", task = row.task.as_str(), run = row.run, worker = worker; ""
                );
                self.send_stop(worker, row.task.clone(), row.run, now);
                continue;
            };
            self.note_running(&task, worker, row, now);
            listed.insert((task, row.run), ());
        }
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let runs: Vec<_> = view
            .runs
            .iter()
            .filter(|key| !listed.contains_key(*key))
            .cloned()
            .collect();
        for (task, run) in runs {
            let gone = match self.run_phase(&task, worker, run) {
                Some(RunPhase::Inherited) => true,
                Some(RunPhase::Running(since) | RunPhase::Stopped(since)) => sent_ms > since,
                _ => false,
            };
            if gone {
                log::info!(event = "run_absent", task:% = task, run = run, worker = worker; "");
                self.requeue_run(&task, worker, run, now);
            }
        }
    }

    /// Removes a run that is surely not alive; its task runs again.
    pub(crate) fn requeue_run(&mut self, task: &TaskId, worker: &str, run: u32, now: u64) {
        self.release_run(task, worker, run);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if let Some(state) = job.task_mut(task) {
                state.last_end_ms = now;
            }
            job.bump_version();
        }
        self.mark_dirty(&task.job, now + self.settings.flush_ms);
        self.finalize_job(&task.job, now);
    }

    fn note_running(&mut self, task: &TaskId, worker: &str, row: &RunningRow, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let ended = job.state.is_final();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if !row.checkpoint.is_empty() && row.checkpoint != state.checkpoint {
            state.checkpoint.clone_from(&row.checkpoint);
        }
        let done = state.done;
        let placed = state.placed.iter_mut();
        let mut stop = false;
        for placed in placed.filter(|placed| placed.run == row.run && placed.worker == worker) {
            if row.percent != placed.percent {
                placed.last_progress_ms = now;
            }
            placed.percent = row.percent;
            placed.load = row.load;
            match placed.phase {
                RunPhase::Ordered | RunPhase::Inherited => {
                    placed.phase = RunPhase::Running(now);
                    stop = done || ended;
                }
                _ => {}
            }
        }
        if stop {
            self.stop_run(task, worker, row.run, now);
        } else {
            self.mark_started(&task.job);
        }
    }
}
