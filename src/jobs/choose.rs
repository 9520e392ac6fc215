//! Worker selection for a task: eligibility, placement cost and reservation.

use crate::jobs::candidates::CandidateRow;
use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskRun;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::worker::WorkerView;

/// Cost of a worker outside the rack of the step's data.
const OFF_RACK_COST: f64 = 10.0;

/// Cost of a worker on which a run of the step was stuck.
const STUCK_COST: f64 = 20.0;

impl JobEngine {
    /// Chooses the eligible worker with the lowest cost for a task.
    ///
    /// With `rack_local_only`, only workers on the rack of the step's data qualify, as
    /// long as the pool has schedulable ones there.
    pub(crate) fn choose_worker(
        &mut self,
        task: &TaskId,
        pool: &str,
        spec: &StepSpec,
        rack_local_only: bool,
        now: u64,
    ) -> Option<String> {
        self.build_candidates(pool, now);
        let mut best = self.cheapest_worker(task, pool, spec, rack_local_only, now);
        let is_outdated = |id: &String| {
            let view = self.workers.get(id);
            !view.is_some_and(|view| {
                is_eligible(pool, spec, view, now) && view.free().covers(&spec.reserved())
            })
        };
        if best.as_ref().is_some_and(is_outdated) {
            self.candidates.clear();
            self.build_candidates(pool, now);
            best = self.cheapest_worker(task, pool, spec, rack_local_only, now);
        }
        if best.is_none() {
            self.request_advice(task, pool, spec, rack_local_only, now);
        }
        best
    }

    /// Builds the rows of a pool's candidates, unless there are some.
    fn build_candidates(&mut self, pool: &str, now: u64) {
        if self.candidates.rows(pool).is_some() {
            return;
        }
        let workers = self.workers.iter();
        let eligible =
            workers.filter(|(_, view)| view.entry.pool == pool && view.accepts_starts(now));
        let rows = eligible.map(|(id, view)| CandidateRow {
            worker: id.as_str().into(),
            load: view.into(),
            maintenance_due: self.fleet.is_maintenance_due(id),
        });
        let mut rows: Vec<CandidateRow> = rows.collect();
        rows.sort_unstable_by(|one, other| one.worker.cmp(&other.worker));
        self.candidates.insert(pool, rows);
    }

    /// Returns the candidate with the lowest cost whose row has enough free resources.
    fn cheapest_worker(
        &self,
        task: &TaskId,
        pool: &str,
        spec: &StepSpec,
        rack_local_only: bool,
        now: u64,
    ) -> Option<String> {
        let need = spec.reserved();
        let rows = self.candidates.rows(pool)?;
        let rack_local = |worker: &str| {
            let view = self.workers.get(worker);
            spec.data_rack.is_empty() || view.is_some_and(|view| view.rack() == spec.data_rack)
        };
        let rack_local_only = rack_local_only
            && !spec.data_rack.is_empty()
            && rows.iter().any(|row| rack_local(&row.worker));
        // Evaluated outside the loop because the pool may have many workers.
        let needs_advice = self.needs_advice(task);
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let placed = state.map_or(&[][..], |state| &state.placed);
        let steps = self.jobs.get(&task.job);
        let steps = steps.and_then(|job| job.open.get(&task.occurrence));
        let stuck_at = steps.and_then(|steps| Some(&steps.get(task.step as usize)?.stuck_at));
        let is_suspect = self.is_suspect(task);
        let mut best: Option<(f64, &CandidateRow)> = None;
        for row in rows.iter().filter(|row| row.load.free().covers(&need)) {
            let id = &*row.worker;
            let is_rack_local = rack_local(id);
            if rack_local_only && !is_rack_local {
                continue;
            }
            let load_cost = if is_suspect {
                isolation_cost(row)
            } else {
                placement_cost(spec, row)
            };
            let was_stuck = stuck_at.is_some_and(|stuck| stuck.contains(id));
            let cost = load_cost
                + if is_rack_local { 0.0 } else { OFF_RACK_COST }
                + if was_stuck { STUCK_COST } else { 0.0 };
            if best.is_some_and(|(lowest, _)| cost >= lowest) {
                continue;
            }
            let is_allowed = (!needs_advice || self.is_advised(task, id, now))
                && (spec.per_worker == 0 || self.runs_at(task, id) < spec.per_worker)
                && !placed.iter().any(|run| run.worker == id)
                && self.is_labelled(spec, id);
            if is_allowed {
                best = Some((cost, row));
            }
        }
        best.map(|(_, row)| row.worker.to_string())
    }

    fn is_labelled(&self, spec: &StepSpec, worker: &str) -> bool {
        let view = self.workers.get(worker);
        spec.label.is_empty() || view.is_some_and(|view| view.has_label(&spec.label))
    }

    /// Returns the number of runs of a task's step at a worker that may be alive.
    pub(crate) fn runs_at(&self, task: &TaskId, worker: &str) -> u32 {
        let job = self.jobs.get(&task.job);
        let steps = job.and_then(|job| job.open.get(&task.occurrence));
        let step = steps.and_then(|steps| steps.get(task.step as usize));
        let runs = step
            .into_iter()
            .flat_map(|step| step.tasks.iter().flat_map(|task| &task.placed));
        runs.filter(|run| run.worker == worker).count() as u32
    }

    /// Reserves capacity for a run; the start is sent once the placement is stored.
    pub(crate) fn reserve(&mut self, task: &TaskId, worker: &str, spec: &StepSpec, now: u64) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let born_ms = view.entry.born_ms;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.bump_version();
        let version = job.version;
        let gang_run = spec.gang.then(|| {
            let step = job
                .open
                .get(&task.occurrence)
                .and_then(|steps| steps.get(task.step as usize));
            let runs = step.into_iter().flat_map(|step| {
                step.tasks
                    .iter()
                    .map(|task| (task.last_run, task.placed.len()))
            });
            // All members of a gang start with one run number, one above the highest
            // so far; members reserved before this one already have it.
            let (placed, unplaced): (Vec<_>, Vec<_>) = runs.partition(|(_, placed)| *placed > 0);
            let gang_run = placed.first().map(|(runs, _)| *runs);
            gang_run
                .unwrap_or_else(|| unplaced.iter().map(|(runs, _)| *runs).max().unwrap_or(0) + 1)
        });
        let Some(state) = job.task_mut(task) else {
            return;
        };
        state.last_run = gang_run.unwrap_or(state.last_run + 1);
        let run = state.last_run;
        state.placed.push(TaskRun {
            worker: worker.to_owned(),
            born_ms,
            run,
            phase: RunPhase::Reserved(version),
            began: false,
            is_reported: false,
            has_unanswered_start: false,
            ordered_ms: 0,
            last_progress_ms: now,
            started_ms: now,
            percent: 0,
            pace: 100,
            load: 0,
        });
        view.add_run(task.clone(), run, spec.into());
        view.last_busy_ms = now;
        self.candidates.update(worker, view);
        self.dirty.mark(&task.job, now);
        self.count_run(task, worker, run, spec.need);
    }
}

/// Returns the cost of a worker for a step; the lowest cost is chosen.
///
/// Finite tasks are packed onto workers already in use, so that others become idle for
/// moves and maintenance. Long-running tasks prefer workers that already have some, and
/// avoid fillers; fillers avoid serving tasks. All tasks but fillers avoid workers whose
/// VM is due for maintenance.
#[must_use]
pub fn placement_cost(spec: &StepSpec, row: &CandidateRow) -> f64 {
    let load = &row.load;
    let used = load.used.cpu as f64 / load.capacity.cpu.max(1) as f64;
    let run_counts = load.run_counts;
    let due_cost = if row.maintenance_due { 0.5 } else { 0.0 };
    if spec.fills {
        return f64::from(run_counts.serving) * 2.0 + f64::from(run_counts.fillers) * 0.5 + used;
    }
    let has_long_running = run_counts.long_running > 0;
    if spec.lasting {
        let first_run_cost = if has_long_running { 0.0 } else { 0.3 };
        return f64::from(run_counts.serving) * 0.25
            + f64::from(run_counts.fillers) * 2.0
            + first_run_cost
            + used
            + due_cost * 6.0;
    }
    1.0 - used + if has_long_running { -0.5 } else { 0.0 } + due_cost
}

/// Returns the cost of a worker for a task that may crash it: the lowest where the least
/// would be lost.
#[must_use]
pub fn isolation_cost(row: &CandidateRow) -> f64 {
    let load = &row.load;
    let used = load.used.cpu as f64 / load.capacity.cpu.max(1) as f64;
    f64::from(load.run_counts.long_running) + used
}

/// Returns whether a worker is schedulable and in the right pool with the step's label.
///
/// Capacity, advice, rack and the step's other runs are not checked.
pub(crate) fn is_eligible(pool: &str, spec: &StepSpec, view: &WorkerView, now: u64) -> bool {
    view.entry.pool == pool
        && view.accepts_starts(now)
        && (spec.label.is_empty() || view.has_label(&spec.label))
}
