//! Hold calls to workers and their results.
//!
//! A hold renews the lease of all runs at a worker and returns the runs that are alive
//! and those that have ended since the worker's cursor. Like a long poll, it waits at
//! the worker until a run ends or the wait is over.

use std::collections::BTreeSet;

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::incarnations::FirstReport;
use crate::jobs::job::EndedRun;
use crate::jobs::stops::StopReason;
use crate::jobs::task::RunPhase;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::jobs::worker::ClockSample;
use crate::jobs::worker::PendingEnd;
use crate::ports::WorkerReply;
use crate::ports::worker::EndedRow;
use crate::ports::worker::RefusalReason;
use crate::ports::worker::RunningRow;
use crate::ports::worker::WorkerOrder;

/// Consecutive failed calls after which the retry delay stops growing.
const MAX_BACKOFF_MISSES: u32 = 5;

/// Wait of a hold at a worker without runs, in milliseconds; the maximum that the
/// platform allows.
const IDLE_WAIT_MS: u64 = 2000;

/// Wait of a hold at a worker that runs both serving tasks and fillers, in
/// milliseconds; the listed loads cover the last half second.
const SHARED_WAIT_MS: u64 = 500;

/// Number of ends from which on a worker's answer may leave out further ones.
const MAX_LISTED_ENDS: usize = 500;

/// Maximum delay of a hold while the last ends are being stored, in milliseconds. The
/// worker would list them again at once, because its cursor has not moved.
const STORE_WAIT_MS: u64 = 150;

/// Time between two holds at a worker that answers again, in milliseconds, until its
/// record as unresponsive is removed from the store and its lease may be renewed; a
/// commit takes a few milliseconds.
const RECOVERED_WAIT_MS: u64 = 100;

impl JobEngine {
    /// Sends a hold to every worker whose next one is due.
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

    /// Sends a hold to a worker, if one is due and none is in flight.
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
        let is_storing_ends =
            !view.pending_ends.is_empty() && now < view.next_hold_ms + STORE_WAIT_MS;
        if is_storing_ends {
            return;
        }
        // The lease of a worker whose entry stays missing is left to expire. So is that
        // of a worker that did not answer: it may receive holds although their answers
        // are lost, and its runs could then never be treated as lost.
        let listed = view.unlisted_ms.is_none_or(|since| now < since + grace);
        let renew = listed && view.missed_calls == 0 && may_grant;
        let lease = (renew && !view.runs.is_empty()).then(|| view.lease_end(now, lease_ms));
        let lease_until_ms = lease.flatten();
        if let Some(until) = lease_until_ms {
            view.lease_until_ms = view.lease_until_ms.max(until);
            view.lease_sent_ms = now;
        }
        let wait_ms = match (view.clock, view.runs.is_empty(), shared) {
            _ if !may_grant => 0,
            (None, _, _) => 0,
            (_, true, _) => IDLE_WAIT_MS,
            (_, false, true) => SHARED_WAIT_MS,
            (_, false, false) => wait_ms,
        };
        let wait_ms = if view.pending_ends.is_empty() {
            wait_ms
        } else {
            0
        };
        view.hold_in_flight = true;
        view.hold_wait_ms = wait_ms;
        let order = WorkerOrder::Hold {
            lease_until_ms,
            cursor: view.hold_cursor(),
            wait_ms,
        };
        let token = CallToken::Hold {
            worker: worker.to_owned(),
        };
        self.send_order(worker, order, token);
    }

    /// Handles a worker's answer to a hold that was sent at `sent_ms`.
    pub fn handle_hold_reply(&mut self, worker: &str, reply: WorkerReply, sent_ms: u64, now: u64) {
        match reply {
            WorkerReply::Held {
                clock_ms,
                born_ms,
                running,
                ended,
            } => {
                let report = FirstReport {
                    sent_ms,
                    running: &running,
                    ended: &ended,
                };
                let is_current = self.confirm_incarnation(worker, born_ms, report, now);
                if is_current && self.record_contact(worker, clock_ms, now) {
                    self.apply_ended(worker, &ended, now);
                    let unlisted = self.apply_running(worker, &running, now);
                    // The ends that were left out are listed once these are stored.
                    if ended.len() < MAX_LISTED_ENDS {
                        self.remove_unlisted_runs(worker, unlisted, sent_ms, now);
                    }
                }
            }
            WorkerReply::Refused { reason } => {
                self.handle_hold_refusal(worker, reason, sent_ms, now);
            }
            WorkerReply::Done { .. } => self.handle_hold_failure(worker, sent_ms, now),
        }
        self.send_hold(worker, now);
    }

    /// Records an answer of the known incarnation of a worker.
    fn record_contact(&mut self, worker: &str, clock_ms: u64, now: u64) -> bool {
        let Some(view) = self.workers.get_mut(worker) else {
            return false;
        };
        if view.missed_calls > 0 || view.contact_ms.is_none() {
            let born_ms = view.entry.born_ms;
            self.unresponsive.remove(worker);
            self.waiting.mark_all_due();
            self.withdraw_losses(worker, born_ms, now);
        }
        let max_hold_ms = self.settings.max_hold_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return false;
        };
        if view.contact_ms.is_none() && !view.runs.is_empty() {
            // The lease may be a time of an earlier incarnation's clock, and then the longest one.
            view.assume_lease(clock_ms, max_hold_ms);
        }
        let wait_ms = if self.unresponsive.may_grant_lease(worker) {
            0
        } else {
            RECOVERED_WAIT_MS
        };
        if view.missed_calls > 0 {
            log::info!(event = "worker_responsive", worker = worker, misses = view.missed_calls; "");
        }
        view.missed_calls = 0;
        view.contact_ms = Some(now);
        view.alive_ms = now;
        view.next_hold_ms = now + wait_ms;
        view.observe_clock(ClockSample {
            clock_ms,
            received_ms: now,
        });
        true
    }

    fn handle_hold_refusal(&mut self, worker: &str, reason: RefusalReason, sent_ms: u64, now: u64) {
        log::warn!(event = "hold_refused", worker = worker, reason:? = reason, epoch = self.epoch; "");
        if reason == RefusalReason::Epoch {
            self.deposed = true;
        }
        self.handle_hold_failure(worker, sent_ms, now);
    }

    /// Handles a hold without a usable answer and schedules the next one.
    pub fn handle_hold_failure(&mut self, worker: &str, sent_ms: u64, now: u64) {
        let retry_ms = self.settings.hold_retry_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.hold_in_flight = false;
        view.missed_calls += 1;
        if view.missed_calls == 1 && now < sent_ms + view.hold_wait_ms {
            view.alive_ms = now;
        }
        view.next_hold_ms = now + retry_ms * u64::from(view.missed_calls.min(MAX_BACKOFF_MISSES));
        if view.missed_calls == 1 {
            log::info!(event = "worker_unresponsive", worker = worker, runs = view.runs.len(); "");
        }
        self.request_vm_list(worker, now);
    }

    /// Applies the listed ends that were not applied before.
    ///
    /// The cursor moves past an end once the changed job is stored. It moves at once past
    /// the end of a job that is not in progress, unless an earlier end is not stored yet.
    fn apply_ended(&mut self, worker: &str, ended: &[EndedRow], now: u64) {
        let applied = self
            .workers
            .get(worker)
            .map_or(0, |view| view.applied_cursor);
        for row in ended.iter().filter(|row| row.number > applied) {
            let change = self.apply_end(worker, row, now);
            let Some(view) = self.workers.get_mut(worker) else {
                return;
            };
            view.applied_cursor = row.number;
            if let Some((job, version)) = change {
                self.ending_workers.insert(worker.to_owned());
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

    /// Applies one end; returns its job, if in progress, and the version that includes it.
    fn apply_end(
        &mut self,
        worker: &str,
        row: &EndedRow,
        now: u64,
    ) -> Option<(crate::jobs::types::JobId, u64)> {
        let task = TaskId::parse(&row.task)?;
        let attempts = self.max_attempts(&task);
        let first_failure = self.has_not_failed(&task);
        self.record_run_outcome(worker, row.end, first_failure, now);
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
        self.stop_redundant_runs(&task, now);
        if state != before && state.is_final() {
            log::info!(
                event = "job_ended", job = &*task.job, state:? = state, age_ms = age_ms; ""
            );
            self.settle_size_count(&task.job, now);
            self.dirty.mark(&task.job, now);
        } else {
            self.dirty.mark(&task.job, now + self.settings.flush_ms);
        }
        self.finalize_job(&task.job, now);
        self.jobs
            .contains_key(&task.job)
            .then(|| (task.job.clone(), version))
    }

    fn has_not_failed(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.is_some_and(|state| state.failed == 0)
    }

    /// Applies the runs that a worker lists as alive; returns those known here that it does not
    /// list. Unknown runs are stopped.
    fn apply_running(&mut self, worker: &str, rows: &[RunningRow], now: u64) -> Vec<(TaskId, u32)> {
        let mut listed = BTreeSet::new();
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
            self.update_running(&task, worker, row, now);
            listed.insert((task, row.run));
        }
        let view = self.workers.get(worker).into_iter();
        let runs = view.flat_map(|view| &view.runs);
        let unlisted = runs.filter(|key| !listed.contains(*key));
        unlisted.cloned().collect()
    }

    /// Removes runs that neither run nor have ended according to the answer to a hold that was
    /// sent at `sent_ms`, if they were inherited, or were running or stopped before. Runs whose
    /// start had stayed unanswered before are stopped. Other runs have a start or stop without an
    /// answer, which may take effect later.
    fn remove_unlisted_runs(
        &mut self,
        worker: &str,
        runs: Vec<(TaskId, u32)>,
        sent_ms: u64,
        now: u64,
    ) {
        for (task, run) in runs {
            let ended = match self.run_phase(&task, worker, run) {
                Some(RunPhase::Unanswered(since)) if sent_ms > since => {
                    self.stop_run(&task, worker, run, StopReason::StartUnanswered, now);
                    false
                }
                Some(RunPhase::Inherited) => true,
                Some(RunPhase::Running(since) | RunPhase::Stopped(since)) => sent_ms > since,
                _ => false,
            };
            if ended {
                log::info!(event = "run_not_listed", task:% = task, run = run, worker = worker; "");
                self.record_former_loss(&task, worker, run, now);
                self.requeue_run(&task, worker, run, now);
            }
        }
    }

    /// Updates a run from its row in a worker's list.
    ///
    /// A run found alive is stopped if its job has ended or its task is done.
    fn update_running(&mut self, task: &TaskId, worker: &str, row: &RunningRow, now: u64) {
        let born_ms = self.workers.get(worker).map(|view| view.entry.born_ms);
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
        let stop_reason = match (ended, done) {
            (true, _) => Some(StopReason::JobEnded),
            (false, true) => Some(StopReason::Redundant),
            (false, false) => None,
        };
        let mut is_found = false;
        for placed in placed.filter(|placed| placed.run == row.run && placed.worker == worker) {
            if row.percent != placed.percent {
                placed.last_progress_ms = now;
            }
            placed.began = true;
            placed.born_ms = born_ms.unwrap_or(placed.born_ms);
            placed.is_reported = true;
            placed.percent = row.percent;
            placed.load = row.load;
            match placed.phase {
                RunPhase::Ordered | RunPhase::Unanswered(_) | RunPhase::Inherited => {
                    placed.phase = RunPhase::Running(now);
                    is_found = true;
                }
                _ => {}
            }
        }
        match stop_reason.filter(|_| is_found) {
            Some(reason) => self.stop_run(task, worker, row.run, reason, now),
            None => self.mark_started(&task.job),
        }
    }
}
