//! Runs that share a worker: fillers are slowed before a target is passed, and runs
//! that stand still are stopped.

use crate::jobs::actions::CallToken;
use crate::jobs::engine::JobEngine;
use crate::jobs::place::straggler_limit_ms;
use crate::jobs::task::RunPhase;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::ports::worker::WorkerOrder;

/// Fillers are slowed once a serving task's tail is above this share of its target.
const SLOW_SHARE: f64 = 0.8;

/// Fillers are let go on below this share.
const FREE_SHARE: f64 = 0.55;

/// Steps of the pace, in percent: down fast, up slowly.
const PACE_DOWN: u32 = 50;
const PACE_UP: u32 = 10;

/// Time between two changes of the pace of a worker's fillers, in milliseconds; a
/// load is a figure of the last half second.
const PACE_PERIOD_MS: u64 = 600;

/// A run without progress for this long stands still, in milliseconds: several
/// times what a percent of the longest usual task takes.
const STUCK_MS: u64 = 2500;

/// Time after which a start that is neither known to run nor refused is forbidden, in
/// milliseconds; all its attempts have ended long before.
const UNRESOLVED_MS: u64 = 4000;

impl JobEngine {
    /// Tells whether tasks that serve and tasks that fill share a worker.
    pub(crate) fn has_fillers_beside_serving(&self, worker: &str) -> bool {
        let run_counts = self.workers.get(worker).map(|view| view.run_counts);
        run_counts.is_some_and(|run_counts| run_counts.serving > 0 && run_counts.fillers > 0)
    }

    /// Sets the pace of the fillers beside serving tasks.
    pub(crate) fn pace_fillers(&mut self, now: u64) {
        let workers: Vec<String> = self.workers.keys().cloned().collect();
        for worker in workers {
            if !self.has_fillers_beside_serving(&worker) {
                continue;
            }
            let due = self
                .pace_changed_ms
                .get(&worker)
                .is_none_or(|at| now >= at + PACE_PERIOD_MS);
            if due {
                self.pace_worker(&worker, now);
            }
        }
    }

    fn pace_worker(&mut self, worker: &str, now: u64) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let mut worst: f64 = 0.0;
        let mut fillers: Vec<(TaskId, u32, u32)> = Vec::new();
        for (task, number) in &view.runs {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let (Some(spec), Some(state)) = (job.step_spec(task), job.task(task)) else {
                continue;
            };
            let run = state
                .placed
                .iter()
                .find(|run| run.run == *number && run.worker == worker);
            let Some(run) = run else {
                continue;
            };
            if spec.target_ms > 0 {
                worst = worst.max(run.load as f64 / spec.target_ms as f64);
            }
            if spec.fills && matches!(run.phase, RunPhase::Running(_)) {
                fillers.push((task.clone(), *number, run.pace));
            }
        }
        for (task, run, pace) in fillers {
            let next = if worst > SLOW_SHARE {
                pace.saturating_sub(PACE_DOWN)
            } else if worst < FREE_SHARE {
                (pace + PACE_UP).min(100)
            } else {
                pace
            };
            if next != pace {
                self.pace_changed_ms.insert(worker.to_owned(), now);
                self.set_pace(&task, worker, run, next);
            }
        }
    }

    fn set_pace(&mut self, task: &TaskId, worker: &str, run: u32, percent: u32) {
        log::info!(event = "run_paced", task:% = task, worker = worker, percent = percent; "");
        self.record_pace(task, worker, percent);
        let token = CallToken::Pace {
            worker: worker.to_owned(),
            task: task.clone(),
        };
        let order = WorkerOrder::Pace {
            task: task.to_string(),
            run,
            percent,
        };
        self.send_order(worker, order, token);
    }

    /// Takes in that a pace may not have taken effect: it is set anew.
    pub(crate) fn reset_pace(&mut self, task: &TaskId, worker: &str) {
        self.record_pace(task, worker, 100);
    }

    fn record_pace(&mut self, task: &TaskId, worker: &str, percent: u32) {
        let state = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task_mut(task));
        let placed = state.into_iter().flat_map(|state| state.placed.iter_mut());
        for run in placed.filter(|run| run.worker == worker) {
            run.pace = percent;
        }
    }

    /// Stops runs that stand still, so that their tasks run elsewhere, and finds
    /// stragglers that may get a copy.
    pub(crate) fn check_runs(&mut self, now: u64) {
        let mut stuck = Vec::new();
        let (mut late, mut unresolved, mut unbooked) = (Vec::new(), Vec::new(), Vec::new());
        for job in self.jobs.values() {
            for (task, run) in job.live_runs() {
                let running = matches!(run.phase, RunPhase::Running(_));
                let key = (task.clone(), run.run);
                let view = self.workers.get(&run.worker);
                let booked = view.is_some_and(|view| view.runs.contains(&key));
                if !booked && now > self.inherited_leases_end_ms && run.phase != RunPhase::Inherited
                {
                    unbooked.push((task, run.worker.clone(), run.run));
                    continue;
                }
                let ordered = matches!(run.phase, RunPhase::Reserved(_) | RunPhase::Ordered);
                if ordered
                    && job.stored_version >= job.version
                    && now > run.last_progress_ms + UNRESOLVED_MS
                {
                    unresolved.push((task, run.worker.clone(), run.run));
                    continue;
                }
                let Some(spec) = job.step_spec(&task) else {
                    continue;
                };
                if spec.speculative && now > run.started_ms + straggler_limit_ms(spec) {
                    late.push(job.id.clone());
                }
                let at_work = spec.lasting && run.percent >= 100;
                let limit_ms =
                    STUCK_MS.max(spec.estimate_ms / 10) + if spec.gang { 3000 } else { 0 };
                let still = now > run.last_progress_ms + limit_ms;
                let seen = self
                    .workers
                    .get(&run.worker)
                    .is_some_and(|view| view.missed_calls == 0);
                if running && !at_work && !spec.fills && still && seen && run.pace == 100 {
                    stuck.push((task, run.worker.clone(), run.run));
                }
            }
        }
        self.unplaced.extend(late);
        for (task, worker, run) in unresolved {
            log::warn!(
                event = "run_unresolved", task:% = task, run = run, worker = worker.as_str(),
                phase:? = self.run_phase(&task, &worker, run); ""
            );
            self.stop_run(&task, &worker, run, now);
        }
        for (task, worker, run) in unbooked {
            log::warn!(
                event = "run_unbooked", task:% = task, run = run, worker = worker.as_str(),
                phase:? = self.run_phase(&task, &worker, run); ""
            );
            self.requeue_run(&task, &worker, run, now);
        }
        for (task, worker, run) in stuck {
            log::info!(event = "run_stuck", task:% = task, run = run, worker = worker.as_str(); "");
            self.record_run_outcome(&worker, RunEnd::Failed, true, now);
            self.stop_run(&task, &worker, run, now);
        }
    }
}
