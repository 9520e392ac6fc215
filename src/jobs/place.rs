//! Placement of a job's waiting tasks on workers, and the ranks that order the jobs.
//!
//! Long-running jobs come first, then jobs that can still meet their objective, then
//! late ones. Within each class, jobs are ordered by the priority of their queue, then
//! by their remaining work per value, with the least work first. A task that does not fit
//! does not block smaller ones.

use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::limits::StartKind;
use crate::jobs::size_guard::preferred_rank;
use crate::jobs::task::TaskState;
use crate::jobs::types::JobId;
use crate::jobs::types::JobSpec;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::unplaceable::UnplaceableNeeds;
use crate::jobs::waiting::JobRank;

/// How long a task waits for a rack-local worker, as a multiple of its estimate; after
/// that, a slower run on another rack would end sooner.
const RACK_LOCAL_WAIT_FACTOR: f64 = 1.0;

/// Delay after the end of a run before its task is placed again, in milliseconds.
const RETRY_DELAY_MS: u64 = 20;

/// Time after which a long-running task without a worker is logged, and minimum time
/// between two such log lines, in milliseconds.
const WAITING_LOG_MS: u64 = 1000;

/// Class of jobs with long-running tasks.
const CLASS_LONG_RUNNING: u32 = 0;
/// Class of jobs that can still meet their objective.
const CLASS_TIMELY: u32 = 1;
/// Class of jobs that can no longer meet their objective.
const CLASS_LATE: u32 = 2;

/// Result of a try to place the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceResult {
    /// Whether tasks still wait.
    pub(crate) waits: bool,
    /// Whether a task was placed, or none waits.
    pub(crate) placed: bool,
}

impl JobEngine {
    pub(crate) fn rank(&self, job: &JobEntry, now: u64) -> JobRank {
        let (work, critical_path_ms) = remaining_work(job);
        let due_ms = job.submitted_ms.saturating_add(self.objective_ms(job));
        let timely = now.saturating_add(critical_path_ms) <= due_ms;
        let queue = (job.body.queue.as_str(), self.terms(job).priority);
        let rank = self.rank_of_work(queue, &job.body.spec, work, timely);
        preferred_rank(rank, job.preferred)
    }

    /// Returns the rank of a job of a queue and with a priority that has `work` left, in
    /// millicore-milliseconds.
    pub(crate) fn rank_of_work(
        &self,
        (queue, priority): (&str, u32),
        spec: &JobSpec,
        work: u64,
        timely: bool,
    ) -> JobRank {
        if spec.has_long_running_step() {
            return JobRank {
                class: CLASS_LONG_RUNNING,
                priority,
                work_per_value: 0.0,
            };
        }
        let total = spec.work().max(1) as f64;
        let class = if timely { CLASS_TIMELY } else { CLASS_LATE };
        // Part of a job's value does not depend on its size, so small jobs have more
        // value per work. Only the remaining work counts, not what is already spent.
        let mean = self.mean_work(queue).max(1.0);
        let value = 0.3 + 0.7 * (total / mean).min(5.0);
        JobRank {
            class,
            priority,
            work_per_value: work as f64 / mean / value,
        }
    }

    /// Returns the time from its submission within which a job should complete, in
    /// milliseconds.
    #[must_use]
    pub fn objective_ms(&self, job: &JobEntry) -> u64 {
        let terms = self.terms(job);
        let critical_path_ms = job.body.spec.critical_path_ms() as f64;
        let path_ms = (critical_path_ms * terms.slack.max(1.0)) as u64;
        path_ms.saturating_add(terms.target_ms)
    }

    /// Returns the moving average of the work of a queue's jobs, in millicore-milliseconds.
    fn mean_work(&self, queue: &str) -> f64 {
        self.admission
            .mean_job_work
            .get(queue)
            .copied()
            .unwrap_or(1.0)
    }

    /// Adds the work of a new job, in millicore-milliseconds, to its queue's average.
    pub(crate) fn record_work(&mut self, queue: &str, work: u64) {
        /// Weight of a new job in the average, which covers about the last 20 jobs.
        const MEAN_WEIGHT: f64 = 0.05;
        let mean = self
            .admission
            .mean_job_work
            .entry(queue.to_owned())
            .or_insert(work as f64);
        *mean += (work as f64 - *mean) * MEAN_WEIGHT;
    }

    /// Places the tasks of a job's open steps; the job stops waiting if none of them does.
    pub(crate) fn place_job(&mut self, id: &JobId, now: u64) -> PlaceResult {
        let Some(job) = self.jobs.get(id) else {
            self.waiting.remove(id);
            return PlaceResult {
                waits: false,
                placed: true,
            };
        };
        let version = job.version;
        let pool = self.pool_of(job).to_owned();
        let steps = job.open.iter().flat_map(|(occurrence, steps)| {
            let open = steps
                .iter()
                .enumerate()
                .filter(|(_, step)| step.open_ms.is_some());
            open.map(move |(number, _)| (*occurrence, number as u32))
        });
        let steps: Vec<_> = steps.collect();
        // A job between two occurrences is inserted again when the next one is due.
        let mut waiting = false;
        for (occurrence, step) in steps {
            waiting |= self.place_step(id, &pool, occurrence, step, now);
        }
        if !waiting {
            self.waiting.remove(id);
        }
        // Each placement changes the version.
        let has_changed = self.jobs.get(id).is_some_and(|job| job.version > version);
        PlaceResult {
            waits: waiting,
            placed: !waiting || has_changed,
        }
    }

    /// Places the tasks of a step; returns whether some are still waiting.
    fn place_step(&mut self, id: &JobId, pool: &str, occurrence: u32, step: u32, now: u64) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(spec) = job.body.spec.steps.get(step as usize).cloned() else {
            return false;
        };
        let Some(state) = job
            .open
            .get(&occurrence)
            .and_then(|steps| steps.get(step as usize))
        else {
            return false;
        };
        let is_ready = |task: &TaskState| {
            !task.done && task.placed.is_empty() && now >= task.last_end_ms + RETRY_DELAY_MS
        };
        let mut tasks = state.tasks.iter().enumerate();
        let ready: Vec<u32> = tasks
            .by_ref()
            .filter(|(_, task)| is_ready(task))
            .map(|(index, _)| index as u32)
            .collect();
        let is_waiting = |task: &&TaskState| !task.done && task.placed.is_empty();
        let waiting = state.tasks.iter().filter(is_waiting).count();
        let open_ms = state.open_ms.unwrap_or(now);
        let first = TaskId {
            job: id.clone(),
            occurrence,
            step,
            index: 0,
        };
        if spec.gang {
            if ready.len() == state.tasks.len()
                && self.account_allows(id, &spec, StartKind::Gang, now)
            {
                self.searches += 1;
                return !self.place_gang(&first, pool, &spec, now);
            }
            return waiting > 0;
        }
        let (count, mut placed) = (ready.len(), 0);
        if self.is_unplaceable(pool, &spec) {
            return waiting > 0;
        }
        let rack_local_until_ms =
            open_ms.saturating_add((spec.estimate_ms as f64 * RACK_LOCAL_WAIT_FACTOR) as u64);
        let rack_local_only = now < rack_local_until_ms;
        for index in ready {
            let task = TaskId {
                index,
                ..first.clone()
            };
            if !self.account_allows(id, &spec, StartKind::Task, now) {
                break;
            }
            self.searches += 1;
            match self.find_worker(&task, pool, &spec, rack_local_only, now) {
                Some(worker) => {
                    placed += 1;
                    self.reserve_worker(&task, &worker, &spec, now);
                }
                None if self.is_suspect(&task) => {}
                // All other tasks of a step are alike: if one finds no worker, none does.
                None => {
                    self.log_waiting(&task, pool, &spec, now);
                    self.record_unplaceable(&task, pool, &spec);
                    break;
                }
            }
        }
        if count == 0 && spec.speculative {
            self.place_speculative_copies(&first, pool, &spec, now);
        }
        // Tasks in their retry delay are waiting although they are not ready yet.
        placed < waiting
    }

    /// Returns whether an earlier step of this pass found no worker in the pool although
    /// its tasks need at most as much.
    fn is_unplaceable(&self, pool: &str, spec: &StepSpec) -> bool {
        self.unplaceable
            .get(pool)
            .is_some_and(|unplaceable| unplaceable.includes(&spec.reserved()))
    }

    /// Records the need of a step that found no worker, unless other constraints than
    /// capacity may be the cause.
    fn record_unplaceable(&mut self, task: &TaskId, pool: &str, spec: &StepSpec) {
        let unconstrained =
            spec.label.is_empty() && spec.per_worker == 0 && spec.data_rack.is_empty();
        if unconstrained && !self.needs_advice(task) {
            if !self.unplaceable.contains_key(pool) {
                let unplaceable = UnplaceableNeeds::default();
                self.unplaceable.insert(pool.to_owned(), unplaceable);
            }
            if let Some(unplaceable) = self.unplaceable.get_mut(pool) {
                unplaceable.insert(spec.reserved());
            }
        }
    }

    /// Logs that a long-running task finds no worker, at a limited rate.
    fn log_waiting(&mut self, task: &TaskId, pool: &str, spec: &StepSpec, now: u64) {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let since_ms = state.map_or(now, |state| state.last_end_ms);
        if !spec.lasting || now < since_ms.max(self.waiting_logged_ms) + WAITING_LOG_MS {
            return;
        }
        self.waiting_logged_ms = now;
        let need = spec.reserved();
        let in_pool = || self.workers.values().filter(|view| view.entry.pool == pool);
        let schedulable = in_pool().filter(|view| view.is_schedulable(now)).count();
        let fitting =
            in_pool().filter(|view| view.is_schedulable(now) && view.free().covers(&need));
        log::info!(
            event = "task_waiting", task:% = task, pool = pool, for_ms = now - since_ms,
            workers = in_pool().count(), schedulable = schedulable, fitting = fitting.count(); ""
        );
    }
}

/// Returns the estimated time until a run that has progressed this far is done, in
/// milliseconds.
pub(crate) fn rest_ms(spec: &StepSpec, percent: u32) -> u64 {
    spec.estimate_ms
        .saturating_mul(u64::from(100 - percent.min(100)))
        / 100
}

/// Returns the remaining work of a job in millicore-milliseconds, and its remaining
/// critical path in milliseconds.
///
/// Only occurrences in progress count.
#[must_use]
pub fn remaining_work(job: &JobEntry) -> (u64, u64) {
    let specs = &job.body.spec.steps;
    let mut work = 0;
    let mut longest = 0;
    for steps in job.open.values() {
        let mut ends: Vec<u64> = Vec::with_capacity(specs.len());
        for (spec, step) in specs.iter().zip(steps) {
            let left = step.tasks.iter().filter(|task| !task.done);
            let (mut left_work, mut left_ms) = (0, 0);
            for task in left {
                let percent = task.placed.iter().map(|run| run.percent).max().unwrap_or(0);
                let rest_ms = rest_ms(spec, percent);
                left_work = rest_ms
                    .saturating_mul(spec.need.cpu)
                    .saturating_add(left_work);
                left_ms = left_ms.max(rest_ms);
            }
            let before = spec.after.iter().map(|after| ends[*after as usize]).max();
            ends.push(before.unwrap_or(0).saturating_add(left_ms));
            work = left_work.saturating_add(work);
        }
        longest = longest.max(ends.into_iter().max().unwrap_or(0));
    }
    (work, longest)
}
