//! Stops of runs: why they are ordered, what their step lacks at that time, and the workers'
//! answers.
//!
//! A stop ends its run, or forbids the run for good if it has not started: once the stop is
//! answered, the run is certainly not alive. A stop without an answer is sent again.

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::orders::CallResult;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskState;
use crate::jobs::types::TaskId;
use crate::metrics::STOPPED_RUNS;
use crate::ports::WorkerReply;
use crate::ports::worker::RefusalReason;
use crate::ports::worker::WorkerOrder;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended.
    JobEnded,
    /// Another run has completed its task.
    Redundant,
    /// Its worker is being evacuated or drains.
    Evicted,
    /// Its start must not be sent again, and an earlier attempt may be carried out.
    StartWithheld,
    /// Its start was refused after an attempt without an answer.
    StartRefused,
    /// No attempt at its start was answered.
    StartUnanswered,
    /// The worker's reports have not shown it for long after its start.
    Unconfirmed,
    /// It makes no progress.
    Stuck,
}

impl StopReason {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::JobEnded => "job_ended",
            Self::Redundant => "redundant",
            Self::Evicted => "evicted",
            Self::StartWithheld => "start_withheld",
            Self::StartRefused => "start_refused",
            Self::StartUnanswered => "start_unanswered",
            Self::Unconfirmed => "unconfirmed",
            Self::Stuck => "stuck",
        }
    }
}

impl JobEngine {
    /// Returns whether a task is in service: a run of it at a worker that answers has started
    /// up and is not being stopped.
    fn is_in_service(&self, state: &TaskState) -> bool {
        state.placed.iter().any(|run| {
            let view = self.workers.get(&run.worker);
            let is_responsive = view.is_some_and(|view| view.missed_calls == 0);
            run.percent >= 100 && is_responsive && !run.phase.is_stopping()
        })
    }

    /// Returns the number of other tasks of a long-running task's step that are not in service.
    pub(crate) fn unavailable_others(&self, task: &TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let steps = job.and_then(|job| job.open.get(&task.occurrence));
        let step = steps.and_then(|steps| steps.get(task.step as usize));
        let tasks = step
            .into_iter()
            .flat_map(|step| step.tasks.iter().enumerate());
        let others = tasks.filter(|(index, _)| *index as u32 != task.index);
        others
            .filter(|(_, state)| !self.is_in_service(state))
            .count() as u32
    }

    /// Returns whether a task is long-running and its step lacks as many other tasks as it may.
    pub(crate) fn is_at_disruption_limit(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        let max = spec
            .filter(|spec| spec.lasting)
            .and_then(|spec| spec.may_miss);
        max.is_some_and(|max| self.unavailable_others(task) >= max)
    }

    /// Logs a stop of a long-running task's run with what its step lacks without it.
    fn log_stop(&self, task: &TaskId, worker: &str, run: u32, reason: StopReason) {
        let job = self.jobs.get(&task.job);
        let Some(spec) = job.and_then(|job| job.step_spec(task)) else {
            return;
        };
        if !spec.lasting {
            return;
        }
        let placed = self.placed_run(task, worker, run);
        log::info!(
            event = "run_stopping", task:% = task, run = run, worker = worker,
            reason = reason.as_str(), percent = placed.map_or(0, |placed| placed.percent),
            unavailable = self.unavailable_others(task), may_miss:? = spec.may_miss; ""
        );
    }

    /// Marks a run as stopping and sends its stop.
    pub(crate) fn stop_run(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
        reason: StopReason,
        now: u64,
    ) {
        self.log_stop(task, worker, run, reason);
        metrics::counter!(STOPPED_RUNS, "reason" => reason.as_str()).increment(1);
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

    /// Stops the other runs of a task that is done.
    pub(crate) fn stop_redundant_runs(&mut self, task: &TaskId, now: u64) {
        let Some(state) = self.jobs.get(&task.job).and_then(|job| job.task(task)) else {
            return;
        };
        if !state.done {
            return;
        }
        let runs: Vec<_> = state
            .placed
            .iter()
            .map(|run| (run.worker.clone(), run.run, run.phase))
            .collect();
        for (worker, run, phase) in runs {
            match phase {
                RunPhase::Reserved(_) => self.release_run(task, &worker, run),
                phase if phase.is_stopping() => {}
                _ => self.stop_run(task, &worker, run, StopReason::Redundant, now),
            }
        }
    }

    /// Sends a stop. If the worker has no entry, the stop is retried until it has one.
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

    /// Schedules a retry of a stop, if the run is still to be stopped.
    pub(crate) fn retry_stop_later(&mut self, worker: &str, name: String, run: u32, now: u64) {
        let stopping = TaskId::parse(&name)
            .is_some_and(|task| self.run_phase(&task, worker, run) == Some(RunPhase::Stopping));
        if !stopping {
            return;
        }
        self.stop_retries.push((
            now + self.settings.hold_retry_ms,
            worker.to_owned(),
            name,
            run,
        ));
    }

    /// Sends the stops again whose retry is due, if their runs are still to be stopped.
    pub(crate) fn retry_due_stops(&mut self, now: u64) {
        let due: Vec<_> = self
            .stop_retries
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, worker, name, run) in due {
            let stopping = TaskId::parse(&name).is_some_and(|task| {
                self.run_phase(&task, &worker, run) == Some(RunPhase::Stopping)
            });
            if stopping {
                self.send_stop(&worker, name, run, now);
            }
        }
    }

    /// Handles the result of a stop.
    pub(crate) fn handle_stop_result(
        &mut self,
        worker: &str,
        name: String,
        run: u32,
        result: CallResult,
        now: u64,
    ) {
        match result {
            CallResult::Answered(WorkerReply::Done { .. }) => {
                let Some(task) = TaskId::parse(&name) else {
                    return;
                };
                if self.run_phase(&task, worker, run) == Some(RunPhase::Stopping) {
                    // If the run had started, the next run lists hold its end.
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
}
