//! Periodic checks of the runs: fillers are slowed down before the serving tasks on
//! their worker miss a latency target, and runs that make no progress are stopped.

use crate::jobs::actions::CallToken;
use crate::jobs::copies::straggler_limit_ms;
use crate::jobs::engine::JobEngine;
use crate::jobs::progress::StalledRun;
use crate::jobs::progress::StuckRun;
use crate::jobs::progress::progress_limit_ms;
use crate::jobs::stops::StopReason;
use crate::jobs::task::RunPhase;
use crate::jobs::types::RunEnd;
use crate::jobs::types::TaskId;
use crate::jobs::worker::RunCounts;
use crate::ports::worker::WorkerOrder;

/// Fillers are slowed down while the tail latency of a serving task is above this share
/// of its target.
const SLOW_DOWN_SHARE: f64 = 0.8;

/// Fillers are sped up again while all tail latencies are below this share.
const SPEED_UP_SHARE: f64 = 0.55;

/// Decrease of a filler's pace in one change, in percentage points; larger than the
/// increase, so that the pace falls fast and recovers slowly.
const PACE_DECREASE: u32 = 50;

/// Increase of a filler's pace in one change, in percentage points.
const PACE_INCREASE: u32 = 10;

/// Minimum time between two changes of the pace of a worker's fillers, in milliseconds;
/// the load that a worker lists covers the last half second.
const PACE_PERIOD_MS: u64 = 600;

/// Time after which a run is stopped whose start was neither confirmed nor refused, in
/// milliseconds; all attempts at the start have ended long before.
const UNCONFIRMED_MS: u64 = 4000;

/// Pace of the fillers beside a worker's serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillerPace {
    /// Share of full speed, in percent.
    pub percent: u32,
    /// When it was last changed; 0 for never.
    pub changed_ms: u64,
}

impl Default for FillerPace {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_ms: 0,
        }
    }
}

impl JobEngine {
    /// Returns whether both serving tasks and fillers run at a worker.
    pub(crate) fn has_fillers_beside_serving(&self, worker: &str) -> bool {
        let run_counts = self.workers.get(worker).map(|view| view.run_counts);
        run_counts.is_some_and(|run_counts| run_counts.serving > 0 && run_counts.fillers > 0)
    }

    /// Adjusts the pace of the fillers that run beside serving tasks.
    pub(crate) fn pace_fillers(&mut self, now: u64) {
        let known = &self.workers;
        self.filler_paces
            .retain(|worker, _| known.contains_key(worker));
        let workers: Vec<String> = self.workers.keys().cloned().collect();
        for worker in workers {
            let view = self.workers.get(&worker);
            let counts = view.map_or_else(RunCounts::default, |view| view.run_counts);
            match (counts.serving, counts.fillers) {
                (0, 0) => drop(self.filler_paces.remove(&worker)),
                (0, _) => self.release_fillers(&worker),
                (_, 0) => self.raise_unused_pace(&worker, now),
                (..) => self.pace_worker(&worker, now),
            }
        }
    }

    /// Lets the fillers of a worker without serving tasks run at full speed.
    fn release_fillers(&mut self, worker: &str) {
        self.filler_paces.remove(worker);
        let (_, fillers) = self.tails_and_fillers(worker);
        for (task, run, _) in fillers.into_iter().filter(|(.., percent)| *percent < 100) {
            self.set_pace(&task, worker, run, 100);
        }
    }

    /// Adjusts the pace of a worker's fillers to the tail latencies of its serving tasks.
    fn pace_worker(&mut self, worker: &str, now: u64) {
        let (worst_share, fillers) = self.tails_and_fillers(worker);
        let former = self.filler_pace(worker);
        let mut pace = former;
        if now >= former.changed_ms + PACE_PERIOD_MS {
            if worst_share > SLOW_DOWN_SHARE {
                pace.percent = pace.percent.saturating_sub(PACE_DECREASE);
            } else if worst_share < SPEED_UP_SHARE {
                pace.percent = (pace.percent + PACE_INCREASE).min(100);
            }
        }
        if pace.percent != former.percent {
            pace.changed_ms = now;
            self.filler_paces.insert(worker.to_owned(), pace);
        }
        for (task, run, percent) in fillers {
            if percent != pace.percent {
                self.set_pace(&task, worker, run, pace.percent);
            }
        }
    }

    /// Returns the highest tail latency of a worker's serving tasks as a share of its target, and
    /// its fillers, each with the number and the pace of its run.
    fn tails_and_fillers(&self, worker: &str) -> (f64, Vec<(TaskId, u32, u32)>) {
        let mut worst_share: f64 = 0.0;
        let mut fillers = Vec::new();
        let runs = self.workers.get(worker).map(|view| &view.runs);
        for (task, number) in runs.into_iter().flatten() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let (Some(spec), Some(state)) = (job.step_spec(task), job.task(task)) else {
                continue;
            };
            let mut placed = state.placed.iter();
            let run = placed.find(|run| run.run == *number && run.worker == worker);
            let Some(run) = run else {
                continue;
            };
            if spec.target_ms > 0 {
                worst_share = worst_share.max(run.load as f64 / spec.target_ms as f64);
            }
            if spec.fills && matches!(run.phase, RunPhase::Running(_)) {
                fillers.push((task.clone(), *number, run.pace));
            }
        }
        (worst_share, fillers)
    }

    /// Raises the pace that the next fillers of a worker get, while none run beside its serving
    /// tasks.
    fn raise_unused_pace(&mut self, worker: &str, now: u64) {
        let pace = self.filler_pace(worker);
        if pace.percent == 100 || now < pace.changed_ms + PACE_PERIOD_MS {
            return;
        }
        let percent = pace.percent + PACE_INCREASE;
        if percent >= 100 {
            self.filler_paces.remove(worker);
        } else {
            let pace = FillerPace {
                percent,
                changed_ms: now,
            };
            self.filler_paces.insert(worker.to_owned(), pace);
        }
    }

    fn filler_pace(&self, worker: &str) -> FillerPace {
        self.filler_paces.get(worker).copied().unwrap_or_default()
    }

    /// Gives a filler that has started beside serving tasks the pace of the others there.
    pub(crate) fn pace_started_filler(&mut self, task: &TaskId, worker: &str, run: u32) {
        let job = self.jobs.get(&task.job);
        let fills = job
            .and_then(|job| job.step_spec(task))
            .is_some_and(|spec| spec.fills);
        let percent = self.filler_pace(worker).percent;
        if fills && percent < 100 && self.has_fillers_beside_serving(worker) {
            self.set_pace(task, worker, run, percent);
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

    /// Handles a change of pace that may not have taken effect: the run counts as being at
    /// full speed, so that its pace is set again if necessary.
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

    /// Checks all runs that may be alive.
    ///
    /// A run is judged by the last report of its worker: if this owner was paused or is
    /// late, newer reports may not have been handled yet.
    ///
    /// Stops runs that are stuck, so that their tasks run elsewhere, and runs whose start
    /// stays unconfirmed. Requeues runs that are missing from the view of their worker.
    /// Queues the jobs of stragglers for placement, where they may get a speculative copy.
    pub(crate) fn check_runs(&mut self, now: u64) {
        let mut stalled = Vec::new();
        let (mut straggling, mut unconfirmed, mut untracked) = (Vec::new(), Vec::new(), Vec::new());
        for job in self.jobs.values() {
            for (task, run) in job.live_runs() {
                let running = matches!(run.phase, RunPhase::Running(_));
                let key = (task.clone(), run.run);
                let view = self.workers.get(&run.worker);
                let reported_ms = view.and_then(|view| view.contact_ms).unwrap_or(0);
                let tracked = view.is_some_and(|view| view.runs.contains(&key));
                if !tracked
                    && now > self.inherited_leases_expiry_ms
                    && run.phase != RunPhase::Inherited
                {
                    untracked.push((task, run.worker.clone(), run.run));
                    continue;
                }
                let starting = matches!(
                    run.phase,
                    RunPhase::Reserved(_) | RunPhase::Ordered | RunPhase::Unanswered(_)
                );
                if starting
                    && job.stored_version >= job.version
                    && reported_ms > run.last_progress_ms + UNCONFIRMED_MS
                {
                    unconfirmed.push((task, run.worker.clone(), run.run));
                    continue;
                }
                let Some(spec) = job.step_spec(&task) else {
                    continue;
                };
                let observed_ms = view.map_or(0, |view| view.observed_ms(now));
                if spec.speculative
                    && observed_ms > run.started_ms.saturating_add(straggler_limit_ms(spec))
                {
                    straggling.push(job.id.clone());
                }
                // A long-running task at 100 percent has started up and is in service.
                let in_service = spec.lasting && run.percent >= 100;
                let times_stuck = job.task(&task).map_or(0, |state| state.stuck);
                let limit_ms = progress_limit_ms(spec, run, times_stuck);
                let for_ms = reported_ms.saturating_sub(run.last_progress_ms);
                let responsive = self
                    .workers
                    .get(&run.worker)
                    .is_some_and(|view| view.missed_calls == 0);
                if running
                    && !in_service
                    && !spec.fills
                    && for_ms > limit_ms
                    && responsive
                    && run.pace == 100
                {
                    stalled.push(StalledRun {
                        task,
                        worker: run.worker.clone(),
                        run: run.run,
                        for_ms,
                        limit_ms,
                    });
                }
            }
        }
        straggling.iter().for_each(|id| self.waiting.insert(id));
        for (task, worker, run) in unconfirmed {
            log::warn!(
                event = "run_unconfirmed", task:% = task, run = run, worker = worker.as_str(),
                phase:? = self.run_phase(&task, &worker, run); ""
            );
            self.stop_run(&task, &worker, run, StopReason::Unconfirmed, now);
        }
        for (task, worker, run) in untracked {
            log::warn!(
                event = "run_untracked", task:% = task, run = run, worker = worker.as_str(),
                phase:? = self.run_phase(&task, &worker, run); ""
            );
            self.requeue_run(&task, &worker, run, now);
        }
        for stuck in self.stuck_runs(stalled) {
            self.stop_stuck_run(&stuck, now);
        }
    }

    fn stop_stuck_run(&mut self, stuck: &StuckRun, now: u64) {
        let StalledRun {
            task,
            worker,
            run,
            for_ms,
            limit_ms,
        } = &stuck.stalled;
        log::info!(
            event = "run_stuck", task:% = task, run = run, worker = worker.as_str(), for_ms = for_ms,
            limit_ms = limit_ms, workers_fault = stuck.is_workers_fault; ""
        );
        self.record_run_outcome(worker, RunEnd::Failed, stuck.is_workers_fault, now);
        self.record_stuck(task, worker);
        self.stop_run(task, worker, *run, StopReason::Stuck, now);
    }
}
