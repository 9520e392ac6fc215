//! Which task runs next, and where.
//!
//! Jobs are taken in an order: lasting tasks first, then by priority those that can
//! still meet their objective, those with the most value for their remaining work
//! first, then the rest. A task that does not fit does not hold up smaller ones.

use crate::jobs::choose::is_eligible;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::task::TaskState;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// How long work waits for room near its data, as a share of its estimate; beyond
/// this the slower run elsewhere ends sooner.
const NEAR_WAIT_SHARE: f64 = 1.0;

/// A copy is not worth its start beyond this share of the run's work, in percent.
const STRAGGLER_PERCENT: u32 = 80;

/// A run counts as a straggler after this many times its estimate.
const STRAGGLER_FACTOR: f64 = 2.0;

/// Added to a straggler's limit, in milliseconds, for start and reporting.
const STRAGGLER_SLACK_MS: u64 = 400;

/// Time after a failed run until its task runs again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 20;

/// Time after which a lasting task without a worker is logged, and between two such
/// lines, in milliseconds.
const WAITING_LOG_MS: u64 = 1000;

/// Rank of a job among those that wait; lower comes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PlaceRank {
    /// Lasting jobs come first.
    pub class: u32,
    /// Priority of the queue.
    pub priority: u32,
    /// Remaining work for the job's value.
    pub price: f64,
}

/// Class of jobs whose tasks last.
const CLASS_LASTING: u32 = 0;
/// Class of jobs that can meet their objective.
const CLASS_TIMELY: u32 = 1;
/// Class of jobs that cannot any more.
const CLASS_LATE: u32 = 2;

impl JobEngine {
    /// Places runs for all tasks whose turn has come, as far as there is room.
    pub(crate) fn place_runs(&mut self, now: u64) {
        self.unplaceable.clear();
        let waiting: Vec<JobId> = self.unplaced.iter().cloned().collect();
        let mut ranked: Vec<(PlaceRank, JobId)> = Vec::with_capacity(waiting.len());
        for id in waiting {
            match self.jobs.get(&id) {
                Some(job) if !job.state.is_final() => ranked.push((self.rank(job, now), id)),
                _ => {
                    self.unplaced.remove(&id);
                }
            }
        }
        ranked.sort_by(|one, other| one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal));
        for (_, id) in ranked {
            self.place_job(&id, now);
        }
    }

    fn rank(&self, job: &JobEntry, now: u64) -> PlaceRank {
        let queue = self.queue_of(job);
        let priority = queue.map_or(0, |queue| queue.priority);
        if job.body.spec.has_long_running_step() {
            return PlaceRank {
                class: CLASS_LASTING,
                priority,
                price: 0.0,
            };
        }
        let (work, chain_ms) = remaining_work(job);
        let total = job.body.spec.work().max(1) as f64;
        let due_ms = job.submitted_ms + self.objective_ms(job);
        let class = if now + chain_ms <= due_ms {
            CLASS_TIMELY
        } else {
            CLASS_LATE
        };
        // A job's worth has a part that does not depend on its work, so small ones
        // are worth more for their work; what is left counts, not what is spent.
        let mean = self.mean_work(&job.body.queue).max(1.0);
        let worth = 0.3 + 0.7 * (total / mean).min(5.0);
        PlaceRank {
            class,
            priority,
            price: work as f64 / mean / worth,
        }
    }

    /// Returns the time after its arrival within which a job should be complete.
    #[must_use]
    pub fn objective_ms(&self, job: &JobEntry) -> u64 {
        let Some(queue) = self.queue_of(job) else {
            return 0;
        };
        let chain_ms = job.body.spec.critical_path_ms() as f64;
        (chain_ms * queue.slack.max(1.0)) as u64 + queue.target_ms
    }

    /// Returns the mean work of the jobs of a queue that are in progress.
    fn mean_work(&self, queue: &str) -> f64 {
        self.mean_job_work.get(queue).copied().unwrap_or(1.0)
    }

    /// Takes the work of a new job into its queue's mean.
    pub(crate) fn record_work(&mut self, queue: &str, work: u64) {
        /// Weight of a new job in the mean; some 20 jobs of memory.
        const MEAN_WEIGHT: f64 = 0.05;
        let mean = self
            .mean_job_work
            .entry(queue.to_owned())
            .or_insert(work as f64);
        *mean += (work as f64 - *mean) * MEAN_WEIGHT;
    }

    fn place_job(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let pool = self.pool_of(job).to_owned();
        let steps = job.open.iter().flat_map(|(occurrence, steps)| {
            let open = steps
                .iter()
                .enumerate()
                .filter(|(_, step)| step.open_ms.is_some());
            open.map(move |(number, _)| (*occurrence, number as u32))
        });
        let steps: Vec<_> = steps.collect();
        let mut waits = job.next_due_ms().is_some();
        for (occurrence, step) in steps {
            waits |= self.place_step(id, &pool, occurrence, step, now);
        }
        if !waits {
            self.unplaced.remove(id);
        }
    }

    /// Places the tasks of a step; true if some still wait.
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
        let wanting = |task: &TaskState| {
            !task.done && task.placed.is_empty() && now >= task.last_end_ms + RETRY_PAUSE_MS
        };
        let mut open = state.tasks.iter().enumerate();
        let wanted: Vec<u32> = open
            .by_ref()
            .filter(|(_, task)| wanting(task))
            .map(|(index, _)| index as u32)
            .collect();
        let idle = |task: &&TaskState| !task.done && task.placed.is_empty();
        let waiting = state.tasks.iter().filter(idle).count();
        let open_ms = state.open_ms.unwrap_or(now);
        let first = TaskId {
            job: id.clone(),
            occurrence,
            step,
            index: 0,
        };
        if spec.gang {
            if wanted.len() == state.tasks.len() {
                return !self.place_gang(&first, pool, &spec, now);
            }
            return waiting > 0;
        }
        let (count, mut placed) = (wanted.len(), 0);
        if self.is_misfit(pool, &spec) {
            return waiting > 0;
        }
        for index in wanted {
            let task = TaskId {
                index,
                ..first.clone()
            };
            let near_until_ms = open_ms + (spec.estimate_ms as f64 * NEAR_WAIT_SHARE) as u64;
            let near_only = now < near_until_ms;
            match self.choose_worker(&task, pool, &spec, near_only, now) {
                Some(worker) => {
                    placed += 1;
                    self.reserve(&task, &worker, &spec, now);
                }
                // Tasks of a step are alike: where one does not fit, none does.
                None => {
                    self.note_waiting(&task, pool, &spec, now);
                    self.note_misfit(&task, pool, &spec);
                    break;
                }
            }
        }
        if count == 0 && spec.speculative {
            self.place_copies(&first, pool, &spec, now);
        }
        // Those that pause after a run are waiting and not wanted yet.
        placed < waiting
    }

    /// Tells whether a step that needs no more has found no room in this pass.
    fn is_misfit(&self, pool: &str, spec: &StepSpec) -> bool {
        let need = spec.reserved();
        let misfit = self.unplaceable.get(pool);
        misfit.is_some_and(|(cpu, memory_mb)| need.cpu >= *cpu && need.memory_mb >= *memory_mb)
    }

    /// Remembers that a step found no room anywhere in its pool.
    fn note_misfit(&mut self, task: &TaskId, pool: &str, spec: &StepSpec) {
        let free = spec.label.is_empty() && spec.per_worker == 0 && spec.data_rack.is_empty();
        if free && !self.needs_advice(task) {
            let need = spec.reserved();
            self.unplaceable
                .insert(pool.to_owned(), (need.cpu, need.memory_mb));
        }
    }

    /// Logs that a lasting task finds no worker, now and then.
    fn note_waiting(&mut self, task: &TaskId, pool: &str, spec: &StepSpec, now: u64) {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let since_ms = state.map_or(now, |state| state.last_end_ms);
        if !spec.lasting || now < since_ms.max(self.waiting_logged_ms) + WAITING_LOG_MS {
            return;
        }
        self.waiting_logged_ms = now;
        let need = spec.reserved();
        let in_pool = || self.workers.values().filter(|view| view.entry.pool == pool);
        let taking = in_pool().filter(|view| view.is_schedulable(now)).count();
        let fitting = in_pool().filter(|view| view.is_schedulable(now) && view.free().fits(&need));
        log::info!(
            event = "task_waits", task:% = task, pool = pool, for_ms = now - since_ms,
            workers = in_pool().count(), taking = taking, fitting = fitting.count(); ""
        );
    }

    /// Starts copies of stragglers.
    fn place_copies(&mut self, first: &TaskId, pool: &str, spec: &StepSpec, now: u64) {
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
        let late = |task: &TaskState| match task.placed.as_slice() {
            [run] => {
                !task.done && now > run.started_ms + limit_ms && run.percent < STRAGGLER_PERCENT
            }
            _ => false,
        };
        let stragglers = step.tasks.iter().enumerate().filter(|(_, task)| late(task));
        let stragglers: Vec<u32> = stragglers.map(|(index, _)| index as u32).collect();
        for index in stragglers {
            let task = TaskId {
                index,
                ..first.clone()
            };
            if let Some(worker) = self.choose_worker(&task, pool, spec, false, now) {
                log::info!(event = "copy_placed", task:% = task, worker = worker.as_str(); "");
                self.reserve(&task, &worker, spec, now);
            }
        }
    }

    /// Places all tasks of a gang at once, or none; true if they were placed.
    fn place_gang(&mut self, first: &TaskId, pool: &str, spec: &StepSpec, now: u64) -> bool {
        let racks: Vec<Option<String>> = if spec.one_rack {
            let names = self.workers.values().filter(|view| view.entry.pool == pool);
            let mut racks: Vec<String> = names.map(|view| view.rack().to_owned()).collect();
            racks.sort_unstable();
            racks.dedup();
            racks.sort_by_key(|rack| *rack != spec.data_rack);
            racks.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let spread = racks
            .into_iter()
            .find_map(|rack| self.assign_gang(first, pool, spec, rack.as_deref(), now));
        let placed = spread.is_some();
        for (index, worker) in spread.into_iter().flatten().enumerate() {
            let task = TaskId {
                index: index as u32,
                ..first.clone()
            };
            self.reserve(&task, &worker, spec, now);
        }
        placed
    }

    pub(crate) fn assign_gang(
        &self,
        first: &TaskId,
        pool: &str,
        spec: &StepSpec,
        rack: Option<&str>,
        now: u64,
    ) -> Option<Vec<String>> {
        let need = spec.reserved();
        let mut chosen = Vec::new();
        for (id, view) in &self.workers {
            let on_rack = rack.is_none_or(|rack| view.rack() == rack);
            let is_eligible = on_rack && is_eligible(pool, spec, view, now);
            if !is_eligible || !self.is_advised(first, id, now) {
                continue;
            }
            let mut free = view.free();
            let mut own = self.tasks_at(first, id);
            while chosen.len() < spec.tasks as usize
                && free.fits(&need)
                && (spec.per_worker == 0 || own < spec.per_worker)
            {
                free = free.saturating_sub(&need);
                own += 1;
                chosen.push(id.clone());
            }
        }
        (chosen.len() == spec.tasks as usize).then_some(chosen)
    }
}

/// Returns the time after which a run of a step counts as a straggler, in milliseconds.
#[must_use]
pub fn straggler_limit_ms(spec: &StepSpec) -> u64 {
    (spec.estimate_ms as f64 * STRAGGLER_FACTOR) as u64 + STRAGGLER_SLACK_MS
}

/// Returns the remaining work in milliseconds of a thousandth of a core, and the
/// longest remaining chain in milliseconds.
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
                let rest_ms = spec.estimate_ms * u64::from(100 - percent.min(100)) / 100;
                left_work += rest_ms * spec.need.cpu;
                left_ms = left_ms.max(rest_ms);
            }
            let before = spec.after.iter().map(|after| ends[*after as usize]).max();
            ends.push(before.unwrap_or(0) + left_ms);
            work += left_work;
        }
        longest = longest.max(ends.into_iter().max().unwrap_or(0));
    }
    (work, longest)
}

/// Sums up what a step needs of a pool.
#[must_use]
pub fn step_need(spec: &StepSpec) -> ResourceVector {
    let need = spec.reserved();
    let tasks = u64::from(spec.tasks);
    ResourceVector {
        cpu: need.cpu * tasks,
        memory_mb: need.memory_mb * tasks,
        gpu: need.gpu * tasks,
    }
}
