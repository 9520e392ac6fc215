//! Which worker a task gets: what it may use, what is cheapest, and its reservation.

use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskRun;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::worker::WorkerView;

impl JobEngine {
    /// Chooses a worker for a task.
    pub(crate) fn choose_worker(
        &mut self,
        task: &TaskId,
        pool: &str,
        spec: &StepSpec,
        near_only: bool,
        now: u64,
    ) -> Option<String> {
        let need = spec.reserved();
        let near = |view: &WorkerView| spec.data_rack.is_empty() || view.rack() == spec.data_rack;
        let near_only = near_only && !spec.data_rack.is_empty() && {
            let mut in_pool = self.workers.values().filter(|view| view.entry.pool == pool);
            in_pool.any(|view| near(view) && view.is_schedulable(now))
        };
        // Looked up once: there are many workers.
        let needs_advice = self.needs_advice(task);
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let placed = state.map_or(&[][..], |state| &state.placed);
        let mut best: Option<(f64, &String)> = None;
        for (id, view) in &self.workers {
            if !view.free().fits(&need) || !is_eligible(pool, spec, view, now) {
                continue;
            }
            let is_near = near(view);
            if near_only && !is_near {
                continue;
            }
            if needs_advice && !self.is_advised(task, id, now) {
                continue;
            }
            if spec.per_worker > 0 && self.tasks_at(task, id) >= spec.per_worker {
                continue;
            }
            if placed.iter().any(|run| run.worker == *id) {
                continue;
            }
            let cost = self.placement_cost(spec, view) + if is_near { 0.0 } else { 10.0 };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        let best = best.map(|(_, id)| id.clone());
        if best.is_none() {
            self.request_advice(task, pool, spec, now);
        }
        best
    }

    /// Number of live runs of a task's step at a worker.
    pub(crate) fn tasks_at(&self, task: &TaskId, worker: &str) -> u32 {
        let job = self.jobs.get(&task.job);
        let steps = job.and_then(|job| job.open.get(&task.occurrence));
        let step = steps.and_then(|steps| steps.get(task.step as usize));
        let runs = step
            .into_iter()
            .flat_map(|step| step.tasks.iter().flat_map(|task| &task.placed));
        runs.filter(|run| run.worker == worker).count() as u32
    }

    /// Cost of a worker for a step; the least is chosen.
    ///
    /// Work is packed onto workers that are in use, so that others can be emptied
    /// for moves and maintenance; tasks that fill keep away from tasks that serve.
    pub(crate) fn placement_cost(&self, spec: &StepSpec, view: &WorkerView) -> f64 {
        let room = view.entry.room.cpu.max(1) as f64;
        let used = view.used.cpu as f64 / room;
        let run_counts = view.run_counts;
        let due = if self.fleet.is_maintenance_due(&view.entry.id) {
            0.5
        } else {
            0.0
        };
        if spec.fills {
            return f64::from(run_counts.serving) * 2.0
                + f64::from(run_counts.fillers) * 0.5
                + used;
        }
        if spec.lasting {
            let home = if run_counts.long_running > 0 {
                0.0
            } else {
                0.3
            };
            return f64::from(run_counts.serving) * 0.25
                + f64::from(run_counts.fillers) * 2.0
                + home
                + used
                + due * 6.0;
        }
        1.0 - used
            + if run_counts.long_running > 0 {
                -0.5
            } else {
                0.0
            }
            + due
    }

    /// Reserves room for a run; it is ordered once that is stored.
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
            // Members reserved before this one already carry the new number.
            let (placed, free): (Vec<_>, Vec<_>) = runs.partition(|(_, placed)| *placed > 0);
            let started = placed.first().map(|(runs, _)| *runs);
            started.unwrap_or_else(|| free.iter().map(|(runs, _)| *runs).max().unwrap_or(0) + 1)
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
            last_progress_ms: now,
            started_ms: now,
            percent: 0,
            pace: 100,
            load: 0,
        });
        view.add_run(task.clone(), run, spec.into());
        view.last_busy_ms = now;
        self.mark_dirty(&task.job, now);
    }
}

/// Tells whether a step's tasks may run at a worker as far as it alone is concerned.
pub(crate) fn is_eligible(pool: &str, spec: &StepSpec, view: &WorkerView, now: u64) -> bool {
    view.entry.pool == pool
        && view.is_schedulable(now)
        && (spec.label.is_empty() || view.has_label(&spec.label))
}
