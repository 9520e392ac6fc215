//! Speculative copies: further runs of tasks whose run takes far longer than estimated.

use crate::jobs::engine::JobEngine;
use crate::jobs::limits::StartKind;
use crate::jobs::task::TaskRun;
use crate::jobs::task::TaskState;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// Progress of a run, in percent, from which on it gets no speculative copy, as a copy
/// would hardly end sooner.
const NO_COPY_PERCENT: u32 = 80;

/// Multiple of its estimate after which a run counts as a straggler.
const STRAGGLER_FACTOR: f64 = 2.0;

/// Added to the straggler limit for the start of a run and its reporting, in milliseconds.
const STRAGGLER_SLACK_MS: u64 = 400;

impl JobEngine {
    /// Places speculative copies of straggling runs.
    pub(crate) fn place_speculative_copies(
        &mut self,
        first: &TaskId,
        pool: &str,
        spec: &StepSpec,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(&first.job) else {
            return;
        };
        let Some(step) = job
            .open
            .get(&first.occurrence)
            .and_then(|steps| steps.get(first.step as usize))
        else {
            return;
        };
        let limit_ms = straggler_limit_ms(spec);
        let is_late = |run: &TaskRun| {
            let view = self.workers.get(&run.worker);
            view.is_some_and(|view| view.observed_ms(now) > run.started_ms.saturating_add(limit_ms))
        };
        let is_straggling = |task: &TaskState| match task.placed.as_slice() {
            // A copy of a task that may have crashed a worker could crash another one.
            [_] if !task.losses.is_empty() => false,
            [run] => !task.done && is_late(run) && run.percent < NO_COPY_PERCENT,
            _ => false,
        };
        let stragglers = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| is_straggling(task));
        let stragglers: Vec<u32> = stragglers.map(|(index, _)| index as u32).collect();
        for index in stragglers {
            let task = TaskId {
                index,
                ..first.clone()
            };
            if !self.account_allows(&first.job, spec, StartKind::Copy, now) {
                return;
            }
            if let Some(worker) = self.find_worker(&task, pool, spec, false, now) {
                log::info!(event = "speculative_copy_placed", task:% = task, worker = worker.as_str(); "");
                self.reserve_worker(&task, &worker, spec, now);
            }
        }
    }
}

/// Returns the time after which a run of a step counts as a straggler, in milliseconds.
#[must_use]
pub fn straggler_limit_ms(spec: &StepSpec) -> u64 {
    (spec.estimate_ms as f64 * STRAGGLER_FACTOR + STRAGGLER_SLACK_MS as f64) as u64
}
