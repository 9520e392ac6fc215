//! Answers to orders: starts and stops.
//!
//! An order without an answer may be carried out later. A start is repeated with
//! the same number, which a worker carries out once; a stop forbids its run for
//! good, so once it is answered the run is surely not alive.

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::ports::WorkerReply;
use crate::ports::worker::RefusalReason;
use crate::ports::worker::WorkerOrder;

/// Repetitions of a start before its run is forbidden instead.
const START_TRIES: u32 = 2;

/// How long a worker that refused for want of room gets no starts, in milliseconds;
/// about as long as its lists take to show what runs there.
const NO_ROOM_MS: u64 = 300;

/// How long an unhealthy worker gets no starts, in milliseconds.
const UNHEALTHY_MS: u64 = 1000;

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered.
    Answered(WorkerReply),
    /// It was not sent.
    NotSent,
    /// It was sent and not answered; it may be carried out later.
    Unknown,
}

impl JobEngine {
    /// Takes in what became of a call to a worker.
    pub fn handle_call_result(
        &mut self,
        token: CallToken,
        result: CallResult,
        sent_ms: u64,
        now: u64,
    ) {
        match token {
            CallToken::Hold { worker } => match result {
                CallResult::Answered(reply) => self.hold_answered(&worker, reply, sent_ms, now),
                _ => self.hold_failed(&worker, now),
            },
            CallToken::Start {
                worker,
                task,
                run,
                retries,
            } => self.started(&worker, &task, run, retries, result, now),
            CallToken::Stop { worker, task, run } => self.stopped(&worker, task, run, result, now),
            CallToken::Pace { worker, task } => {
                if !matches!(result, CallResult::Answered(WorkerReply::Done { .. })) {
                    log::info!(event = "pace_failed", worker = worker.as_str(), task:% = task, result:? = result; "");
                    self.reset_pace(&task, &worker);
                }
            }
        }
    }

    /// Sends the start of a run whose placement is stored.
    pub(crate) fn send_start(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
        retries: u32,
        now: u64,
    ) {
        if !self.unresponsive.may_grant_lease(worker) {
            // Its start would grant a lease that a successor does not know of.
            log::info!(event = "start_withheld", task:% = task, run = run, worker = worker, reason = "silent"; "");
            // An earlier attempt may be carried out yet.
            return match retries {
                0 => self.requeue_run(task, worker, run, now),
                _ => self.stop_run(task, worker, run, now),
            };
        }
        let ticket = self.ticket_for(task, worker, now);
        let lease_ms = self.settings.lease_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(lease_until_ms) = view.lease_end(now, lease_ms) else {
            return;
        };
        view.lease_until_ms = view.lease_until_ms.max(lease_until_ms);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.body.spec.spec.clone();
        let checkpoints = job.step_spec(task).is_some_and(|step| step.checkpoints);
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let checkpoint = if checkpoints {
            state.checkpoint.clone()
        } else {
            String::new()
        };
        for placed in state.placed.iter_mut().filter(|placed| placed.run == run) {
            if placed.worker == worker {
                placed.phase = RunPhase::Ordered;
                placed.last_progress_ms = now;
            }
        }
        let order = WorkerOrder::Start {
            task: task.to_string(),
            run,
            spec,
            lease_until_ms,
            checkpoint,
            ticket: ticket.unwrap_or_default(),
        };
        let token = CallToken::Start {
            worker: worker.to_owned(),
            task: task.clone(),
            run,
            retries,
        };
        self.send_order(worker, order, token);
    }

    fn started(
        &mut self,
        worker: &str,
        task: &TaskId,
        run: u32,
        retries: u32,
        result: CallResult,
        now: u64,
    ) {
        let Some(phase) = self.run_phase(task, worker, run) else {
            return;
        };
        match result {
            CallResult::Answered(WorkerReply::Refused { reason }) => {
                self.record_refusal(worker, task, run, reason, now);
                self.start_failed(worker, task, run, reason, retries, now);
            }
            CallResult::Answered(_) => {
                if phase == RunPhase::Ordered {
                    self.set_phase(task, worker, run, RunPhase::Running(now));
                }
                self.mark_started(&task.job);
            }
            CallResult::NotSent if phase == RunPhase::Ordered && retries == 0 => {
                self.requeue_run(task, worker, run, now);
            }
            CallResult::NotSent | CallResult::Unknown => {
                log::info!(
                    event = "start_unknown", task:% = task, run = run, worker = worker, retries = retries; ""
                );
                if phase != RunPhase::Ordered {
                    return;
                }
                if retries + 1 < START_TRIES {
                    self.send_start(task, worker, run, retries + 1, now);
                } else {
                    self.record_run_outcome(worker, RunEnd::Failed, true, now);
                    self.stop_run(task, worker, run, now);
                }
            }
        }
    }

    /// Takes in why a worker refused a start, as far as it concerns the worker.
    fn record_refusal(
        &mut self,
        worker: &str,
        task: &TaskId,
        run: u32,
        reason: RefusalReason,
        now: u64,
    ) {
        log::info!(
            event = "start_refused", task:% = task, run = run, worker = worker, reason:? = reason; ""
        );
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let block_ms = match reason {
            RefusalReason::NoRoom => NO_ROOM_MS,
            RefusalReason::Unhealthy => UNHEALTHY_MS,
            _ => 0,
        };
        view.blocked_until_ms = view.blocked_until_ms.max(now + block_ms);
        match reason {
            RefusalReason::Epoch => self.deposed = true,
            RefusalReason::OtherLife => {
                view.missed_calls += 1;
                view.next_hold_ms = now;
            }
            RefusalReason::Ticket => self.forget_ticket(task, worker),
            _ => {}
        }
    }

    /// Decides what becomes of a run whose start was refused.
    fn start_failed(
        &mut self,
        worker: &str,
        task: &TaskId,
        run: u32,
        reason: RefusalReason,
        retries: u32,
        now: u64,
    ) {
        if reason == RefusalReason::OldRun {
            // The run has ended there; its end is listed or was forgotten.
            self.set_phase(task, worker, run, RunPhase::Running(now));
        } else if retries > 0 {
            // An earlier attempt may still be on its way: only a stop rules it out.
            self.stop_run(task, worker, run, now);
        } else {
            self.requeue_run(task, worker, run, now);
        }
    }

    fn stopped(&mut self, worker: &str, name: String, run: u32, result: CallResult, now: u64) {
        match result {
            CallResult::Answered(WorkerReply::Done { .. }) => {
                let Some(task) = TaskId::parse(&name) else {
                    return;
                };
                if self.run_phase(&task, worker, run) == Some(RunPhase::Stopping) {
                    // If it ran, its end will be listed; the next lists decide.
                    self.set_phase(&task, worker, run, RunPhase::Stopped(now));
                    self.make_hold_due(worker, now);
                }
            }
            CallResult::Answered(WorkerReply::Refused { reason }) => {
                log::info!(event = "stop_refused", task = name.as_str(), run = run, worker = worker, reason:? = reason; "");
                if reason == RefusalReason::Epoch {
                    self.deposed = true;
                }
                if reason == RefusalReason::Unhealthy {
                    self.retry_stop_later(worker, name, run, now);
                }
            }
            CallResult::Answered(_) => {}
            CallResult::NotSent | CallResult::Unknown => {
                self.retry_stop_later(worker, name, run, now)
            }
        }
    }

    /// Orders the stop of a run.
    pub(crate) fn stop_run(&mut self, task: &TaskId, worker: &str, run: u32, now: u64) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(state) = job.task_mut(task)
        {
            let placed = state.placed.iter_mut();
            for placed in placed.filter(|placed| placed.run == run && placed.worker == worker) {
                placed.phase = RunPhase::Stopping;
            }
        }
        self.send_stop(worker, task.to_string(), run, now);
    }

    /// Orders a stop; at a worker without an entry once the entry is there.
    pub(crate) fn send_stop(&mut self, worker: &str, task: String, run: u32, now: u64) {
        if !self.workers.contains_key(worker) {
            return self.retry_stop_later(worker, task, run, now);
        }
        let token = CallToken::Stop {
            worker: worker.to_owned(),
            task: task.clone(),
            run,
        };
        self.send_order(worker, WorkerOrder::Stop { task, run }, token);
    }

    /// Repeats a stop after the next contact, as long as the run may be alive.
    pub(crate) fn retry_stop_later(&mut self, worker: &str, name: String, run: u32, now: u64) {
        let alive = TaskId::parse(&name)
            .is_some_and(|task| self.run_phase(&task, worker, run) == Some(RunPhase::Stopping));
        if !alive {
            return;
        }
        self.stop_retries.push((
            now + self.settings.hold_retry_ms,
            worker.to_owned(),
            name,
            run,
        ));
    }

    /// Repeats the stops whose pause is over.
    pub(crate) fn retry_due_stops(&mut self, now: u64) {
        let due: Vec<_> = self
            .stop_retries
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, worker, name, run) in due {
            let alive = TaskId::parse(&name).is_some_and(|task| {
                self.run_phase(&task, &worker, run) == Some(RunPhase::Stopping)
            });
            if alive {
                self.send_stop(&worker, name, run, now);
            }
        }
    }

    pub(crate) fn set_phase(&mut self, task: &TaskId, worker: &str, run: u32, phase: RunPhase) {
        let state = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task));
        let placed = state.into_iter().flat_map(|state| state.placed.iter_mut());
        for placed in placed.filter(|placed| placed.run == run && placed.worker == worker) {
            placed.phase = phase;
        }
    }

    /// Notes that a task of a job has started.
    pub(crate) fn mark_started(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            job.bump_version();
        }
    }

    /// Ends the pause before the next call for a worker's lists.
    pub(crate) fn make_hold_due(&mut self, worker: &str, now: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.next_hold_ms = view.next_hold_ms.min(now);
        }
    }
}
