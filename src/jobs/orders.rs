//! Starts of runs, and the workers' answers to them.
//!
//! An order without an answer may still be carried out later. A start is sent again
//! with the same run number, which a worker carries out only once.

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::stops::StopReason;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::ports::WorkerReply;
use crate::ports::worker::RefusalReason;
use crate::ports::worker::WorkerOrder;

/// Maximum number of attempts at a start; if none is answered, the run is stopped instead.
const MAX_START_ATTEMPTS: u32 = 2;

/// How long no run is placed at a worker that refused a start for lack of capacity, in
/// milliseconds; about as long as its run lists take to show what runs there.
const NO_CAPACITY_BLOCK_MS: u64 = 300;

/// How long no run is placed at a worker that refused a start as unhealthy, in
/// milliseconds.
const UNHEALTHY_BLOCK_MS: u64 = 1000;

/// Result of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The worker answered.
    Answered(WorkerReply),
    /// The call was not sent.
    NotSent,
    /// The call was sent and not answered; it may still be carried out later.
    Unknown,
}

impl JobEngine {
    /// Handles the result of a call to a worker that was sent at `sent_ms`; both times
    /// are on the boot clock, in milliseconds.
    pub fn handle_call_result(
        &mut self,
        token: CallToken,
        result: CallResult,
        sent_ms: u64,
        now: u64,
    ) {
        if let CallResult::Answered(WorkerReply::Refused {
            reason: RefusalReason::OtherIncarnation,
        }) = result
        {
            self.worker_superseded(token.worker(), now);
            if let Some(view) = self.workers.get_mut(token.worker()) {
                view.is_replaced = true;
            }
        }
        match token {
            CallToken::Hold { worker } => match result {
                CallResult::Answered(reply) => self.handle_hold_reply(&worker, reply, sent_ms, now),
                _ => self.handle_hold_failure(&worker, sent_ms, now),
            },
            CallToken::Start {
                worker,
                task,
                run,
                retries,
            } => self.handle_start_result(&worker, &task, run, retries, result, now),
            CallToken::Stop { worker, task, run } => {
                self.handle_stop_result(&worker, task, run, result, now)
            }
            CallToken::Pace { worker, task } => {
                if !matches!(result, CallResult::Answered(WorkerReply::Done { .. })) {
                    log::info!(event = "pace_failed", worker = worker.as_str(), task:% = task, result:? = result; "");
                    self.reset_pace(&task, &worker);
                }
            }
        }
    }

    /// Sends the start of a run whose placement is stored; `retries` counts the attempts
    /// before this one.
    pub(crate) fn send_start(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
        retries: u32,
        now: u64,
    ) {
        let may_start = retries > 0 || self.may_start_with_ticket(task, worker, now);
        let reason = self.withhold_reason(worker);
        if let Some(reason) = reason.or((!may_start).then_some("ticket")) {
            log::info!(event = "start_withheld", task:% = task, run = run, worker = worker, reason = reason; "");
            // An earlier attempt may still be carried out.
            return match retries {
                0 => self.requeue_run(task, worker, run, now),
                _ => self.abandon_start(task, worker, run, StopReason::StartWithheld, now),
            };
        }
        let ticket = self.ticket_text(task, worker);
        let lease_ms = self.settings.lease_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(lease_until_ms) = view.lease_end(now, lease_ms) else {
            return;
        };
        view.lease_until_ms = view.lease_until_ms.max(lease_until_ms);
        view.lease_sent_ms = now;
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
        let placed = state.placed.iter_mut();
        for placed in placed.filter(|placed| placed.run == run && placed.worker == worker) {
            placed.record_order(now);
        }
        let order = WorkerOrder::Start {
            task: task.to_string(),
            run,
            spec,
            lease_until_ms,
            checkpoint,
            ticket,
        };
        let token = CallToken::Start {
            worker: worker.to_owned(),
            task: task.clone(),
            run,
            retries,
        };
        self.send_order(worker, order, token);
    }

    /// Returns why no start may be sent to a worker; none if one may.
    fn withhold_reason(&self, worker: &str) -> Option<&'static str> {
        if !self.unresponsive.may_grant_lease(worker) {
            // The start would grant a lease that the next owner does not know of.
            return Some("unresponsive");
        }
        // The capacity may have shrunk while the placement was being stored.
        let view = self.workers.get(worker)?;
        if view.clock.is_none() {
            return Some("no_clock");
        }
        let is_over = !view.entry.capacity.covers(&view.used);
        is_over.then_some("capacity")
    }

    fn handle_start_result(
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
        if retries == 0
            && result != CallResult::Unknown
            && let Some(placed) = self.placed_run_mut(task, worker, run)
        {
            placed.has_unanswered_start = false;
        }
        match result {
            CallResult::Answered(WorkerReply::Refused { reason }) => {
                self.record_refusal(worker, task, run, reason, now);
                self.resolve_refused_start(worker, task, run, reason, retries, now);
            }
            CallResult::Answered(_) => {
                if matches!(phase, RunPhase::Ordered | RunPhase::Unanswered(_)) {
                    self.set_phase(task, worker, run, RunPhase::Running(now));
                    self.pace_started_filler(task, worker, run);
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
                if retries + 1 < MAX_START_ATTEMPTS {
                    self.send_start(task, worker, run, retries + 1, now);
                } else {
                    self.record_run_outcome(worker, RunEnd::Failed, true, now);
                    self.abandon_start(task, worker, run, StopReason::StartUnanswered, now);
                }
            }
        }
    }

    /// Handles a run whose start is not to be sent again, after an attempt without an answer.
    ///
    /// It may be in service. If its step lacks as many others as it may, the worker's next report
    /// decides; any other run is stopped, so that its task is placed elsewhere sooner.
    fn abandon_start(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
        reason: StopReason,
        now: u64,
    ) {
        if self.is_at_disruption_limit(task) {
            log::info!(
                event = "start_unconfirmed", task:% = task, run = run, worker = worker,
                reason = reason.as_str(); ""
            );
            self.set_phase(task, worker, run, RunPhase::Unanswered(now));
            self.make_hold_due(worker, now);
        } else {
            self.stop_run(task, worker, run, reason, now);
        }
    }

    /// Handles what a refused start says about the worker, the owner or the ticket.
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
            RefusalReason::NoCapacity => NO_CAPACITY_BLOCK_MS,
            RefusalReason::Unhealthy => UNHEALTHY_BLOCK_MS,
            _ => 0,
        };
        view.blocked_until_ms = view.blocked_until_ms.max(now + block_ms);
        match reason {
            RefusalReason::Epoch => self.deposed = true,
            RefusalReason::OtherIncarnation => {
                view.missed_calls += 1;
                view.next_hold_ms = now;
            }
            RefusalReason::Ticket => self.remove_ticket(task, worker),
            _ => {}
        }
    }

    /// Decides how to go on with a run whose start was refused.
    fn resolve_refused_start(
        &mut self,
        worker: &str,
        task: &TaskId,
        run: u32,
        reason: RefusalReason,
        retries: u32,
        now: u64,
    ) {
        if reason == RefusalReason::OldRun {
            // The run has ended at the worker, which lists the end or has forgotten it.
            self.set_phase(task, worker, run, RunPhase::Running(now));
        } else if retries > 0 {
            // An earlier attempt may still arrive; only a stop prevents that.
            self.stop_run(task, worker, run, StopReason::StartRefused, now);
        } else {
            self.requeue_run(task, worker, run, now);
        }
    }

    /// Sets the phase of a run at a worker.
    pub(crate) fn set_phase(&mut self, task: &TaskId, worker: &str, run: u32, phase: RunPhase) {
        let state = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task));
        let placed = state.into_iter().flat_map(|state| state.placed.iter_mut());
        for placed in placed.filter(|placed| placed.run == run && placed.worker == worker) {
            placed.phase = phase;
            placed.began |= matches!(phase, RunPhase::Running(_));
        }
    }

    /// Marks a queued job as running, since one of its tasks has started.
    pub(crate) fn mark_started(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            job.bump_version();
        }
    }

    /// Makes the next hold call to a worker due now.
    pub(crate) fn make_hold_due(&mut self, worker: &str, now: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.next_hold_ms = view.next_hold_ms.min(now);
        }
    }
}
