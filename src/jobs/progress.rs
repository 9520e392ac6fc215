//! Which runs count as stuck, and whether their workers are to blame.
//!
//! A run whose completed share stays the same may be stuck, or its task may take longer than
//! estimated: no estimate says by how much. So a run that has progressed is given several times as
//! long as a percent took it so far, and a task that was stopped as stuck twice as long the next
//! time. If the runs of a step make no progress on several workers, and on no other, the step is
//! slow rather than these workers. Its tasks avoid the workers on which some were stuck.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::engine::JobEngine;
use crate::jobs::task::TaskRun;
use crate::jobs::types::JobId;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// Time without progress after which a run counts as stuck, in milliseconds: several
/// times what one percent of the longest usual task takes.
const STUCK_MS: u64 = 2500;

/// Part of the estimate that a run may take for one percent.
const ESTIMATE_DIVISOR: u64 = 10;

/// Time until the members of a gang compute, which is when all of them run, in milliseconds.
const GANG_START_MS: u64 = 3000;

/// How many times as long as each percent so far the next one may take.
const RATE_FACTOR: u64 = 4;

/// Maximum number of times that the time of a task is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Number of workers without progress from which on the step is taken to be slow.
const SLOW_STEP_WORKERS: usize = 3;

/// How many times as long the runs of a slow step may take for one percent.
const SLOW_STEP_FACTOR: u64 = 4;

/// A run without progress for longer than it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StalledRun {
    pub(crate) task: TaskId,
    pub(crate) worker: String,
    pub(crate) run: u32,
    /// Time without progress, as far as its worker has reported it, in milliseconds.
    pub(crate) for_ms: u64,
    /// Time that it was given, in milliseconds.
    pub(crate) limit_ms: u64,
}

/// A run that is to be stopped as stuck.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StuckRun {
    pub(crate) stalled: StalledRun,
    /// Whether it counts as a failure of its worker.
    pub(crate) is_workers_fault: bool,
}

/// Runs of a step.
#[derive(Default)]
struct StepRuns {
    stalled: Vec<StalledRun>,
    workers: BTreeSet<String>,
}

/// Returns the time without progress that a run is given, in milliseconds, if runs of its task were
/// stopped as stuck so many times.
#[must_use]
pub fn progress_limit_ms(spec: &StepSpec, run: &TaskRun, stuck: u32) -> u64 {
    let usual_ms = STUCK_MS.max(spec.estimate_ms / ESTIMATE_DIVISOR);
    let worked_ms = run.last_progress_ms.saturating_sub(run.started_ms);
    let percent_ms = worked_ms.checked_div(u64::from(run.percent)).unwrap_or(0);
    let limit_ms = usual_ms.max(percent_ms.saturating_mul(RATE_FACTOR));
    let limit_ms = limit_ms.saturating_mul(1 << stuck.min(MAX_DOUBLINGS));
    limit_ms.saturating_add(if spec.gang { GANG_START_MS } else { 0 })
}

impl JobEngine {
    /// Returns which of the stalled runs are stuck.
    pub(crate) fn stuck_runs(&self, stalled: Vec<StalledRun>) -> Vec<StuckRun> {
        let mut steps: BTreeMap<(JobId, u32, u32), StepRuns> = BTreeMap::new();
        for run in stalled {
            let key = (run.task.job.clone(), run.task.occurrence, run.task.step);
            let step = steps.entry(key).or_default();
            step.workers.insert(run.worker.clone());
            step.stalled.push(run);
        }
        let mut stuck = Vec::new();
        for ((job, occurrence, step), runs) in steps {
            let is_slow = runs.workers.len() >= SLOW_STEP_WORKERS
                && !self.has_progressed(&job, occurrence, step, &runs.workers);
            for stalled in runs.stalled {
                let limit_ms = stalled.limit_ms.saturating_mul(SLOW_STEP_FACTOR);
                if is_slow && stalled.for_ms <= limit_ms {
                    continue;
                }
                let is_first = self.times_stuck(&stalled.task) == 0;
                stuck.push(StuckRun {
                    stalled,
                    is_workers_fault: is_first && !is_slow,
                });
            }
        }
        stuck
    }

    /// Returns whether a task of a step is done, or has progressed on other workers than these.
    fn has_progressed(
        &self,
        job: &JobId,
        occurrence: u32,
        step: u32,
        stalled: &BTreeSet<String>,
    ) -> bool {
        let steps = self.jobs.get(job).and_then(|job| job.open.get(&occurrence));
        let step = steps.and_then(|steps| steps.get(step as usize));
        let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
        tasks.any(|task| {
            let mut runs = task.placed.iter();
            task.done || runs.any(|run| run.percent > 0 && !stalled.contains(&run.worker))
        })
    }

    /// Returns how often runs of a task were stopped as stuck.
    pub(crate) fn times_stuck(&self, task: &TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.task(task))
            .map_or(0, |state| state.stuck)
    }

    pub(crate) fn record_stuck(&mut self, task: &TaskId, worker: &str) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(state) = job.task_mut(task) {
            state.stuck = state.stuck.saturating_add(1);
        }
        let steps = job.open.get_mut(&task.occurrence);
        if let Some(step) = steps.and_then(|steps| steps.get_mut(task.step as usize)) {
            step.stuck_at.insert(worker.to_owned());
        }
    }
}
