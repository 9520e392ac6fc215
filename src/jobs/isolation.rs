//! Isolated starts of suspects: tasks that may have crashed a worker.
//!
//! If a worker is known to have crashed, the tasks with runs there become suspects, but for
//! those whose run had outlasted a first trial by then. So does a task that has lost runs with
//! several workers, whatever is known of them. Suspects are told apart by starting each of them
//! alone: before an isolated start, no run has started at the worker for a while, and none is
//! started until the trial of the isolated run is over. If the worker crashes during the trial,
//! only that run can have caused it. Runs that have been at the worker for longer stay there, so
//! that no empty worker is needed.

use std::collections::BTreeSet;

use crate::jobs::choose::is_eligible;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::limits::StartKind;
use crate::jobs::losses::early_losses;
use crate::jobs::losses::restart_delay_ms;
use crate::jobs::task::RunPhase;
use crate::jobs::task::StepState;
use crate::jobs::task::TaskRun;
use crate::jobs::task::TaskState;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::worker::WorkerView;

/// Workers that are claimed for isolated starts.
pub(crate) type ClaimedWorkers = BTreeSet<String>;

/// Trial of a task with one loss, in milliseconds.
const TRIAL_MS: u64 = 100;

/// Factor by which each further loss makes the trial longer, as the task may crash its worker
/// some time after its start.
const TRIAL_GROWTH: u64 = 5;

/// Number of losses from which on the trial does not grow any more.
const MAX_TRIAL_LOSSES: u32 = 4;

/// Maximum time for which a claim holds without a start, in milliseconds.
const CLAIM_MS: u64 = 1500;

/// How long a gang with a suspect, or a long-running suspect, waits for an isolated start, in
/// milliseconds.
const ISOLATION_WAIT_MS: u64 = 2000;

/// Reservation of a worker for the isolated start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IsolationClaim {
    /// The task.
    pub task: TaskId,
    /// Number of the isolated run; none until it is placed.
    pub run: Option<u32>,
    /// When the worker was claimed, on the boot clock in milliseconds.
    pub since_ms: u64,
}

/// Returns the duration of the trial of a task, in milliseconds.
fn trial_ms(losses: usize) -> u64 {
    let further = (losses as u32).clamp(1, MAX_TRIAL_LOSSES) - 1;
    TRIAL_MS * TRIAL_GROWTH.pow(further)
}

/// Returns whether a run was alive for as long as the trial of a task with `losses` lasts: it ran
/// at its worker before, which was alive at `alive_ms`.
pub(crate) fn has_outlasted_trial(phase: RunPhase, alive_ms: u64, losses: usize) -> bool {
    matches!(phase, RunPhase::Running(since_ms) if alive_ms >= since_ms + trial_ms(losses))
}

impl JobEngine {
    /// Returns whether a task is to be started in isolation: a worker has crashed soon after the
    /// start of a run of it, or it has lost runs with several workers. A gang is a suspect if a
    /// member is.
    ///
    /// A single worker that does not answer is more often cut off, together with many others.
    pub(crate) fn is_suspect(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if job.step_spec(task).is_some_and(|spec| spec.gang) {
            let mut members = step_of(job, task).into_iter().flat_map(|step| &step.tasks);
            return members.any(|state| self.is_suspect_state(state));
        }
        let state = job.task(task);
        state.is_some_and(|state| self.is_suspect_state(state))
    }

    fn is_suspect_state(&self, state: &TaskState) -> bool {
        let mut losses = early_losses(&state.losses);
        let is_repeated = losses.clone().count() > 1;
        let has_crashed = losses.any(|loss| loss.confirmed);
        let is_superseded = |run: &TaskRun| {
            let view = self.workers.get(&run.worker);
            view.is_some_and(|view| view.is_superseded)
        };
        has_crashed || is_repeated || state.placed.iter().any(is_superseded)
    }

    /// Returns the number of a task's own losses.
    pub(crate) fn task_losses(&self, task: &TaskId) -> usize {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        state.map_or(0, |state| state.losses.len())
    }

    /// Returns the number of a task's losses; for a gang, the highest of its members.
    fn loss_count(&self, task: &TaskId) -> usize {
        let Some(job) = self.jobs.get(&task.job) else {
            return 0;
        };
        if !job.step_spec(task).is_some_and(|spec| spec.gang) {
            return self.task_losses(task);
        }
        let members = step_of(job, task).into_iter().flat_map(|step| &step.tasks);
        members.map(|state| state.losses.len()).max().unwrap_or(0)
    }

    /// Returns the number of a task's runs at workers that do not answer.
    pub(crate) fn unresponsive_runs(&self, state: &TaskState) -> usize {
        let runs = state.placed.iter().filter(|run| {
            let view = self.workers.get(&run.worker);
            view.is_some_and(|view| view.missed_calls > 0)
        });
        runs.count()
    }

    /// Chooses a worker for a task; for a suspect, one for an isolated start. If none is ready
    /// for that, claims one. A long-running suspect does not wait long for it.
    pub(crate) fn find_worker(
        &mut self,
        task: &TaskId,
        pool: &str,
        spec: &StepSpec,
        rack_local_only: bool,
        now: u64,
    ) -> Option<String> {
        if !self.is_suspect(task) {
            return self.choose_worker(task, pool, spec, rack_local_only, now);
        }
        if self.awaits_evidence(task, now) || self.has_claim(task) {
            return None;
        }
        let worker = self.choose_worker(task, pool, spec, rack_local_only, now)?;
        let has_waited = spec.lasting && !self.may_await_isolation(task, now);
        if has_waited || self.is_quiet(task, &worker, now) {
            return Some(worker);
        }
        if self.may_claim(pool, now) {
            self.set_claim(&worker, task, None, now);
        }
        None
    }

    /// Claims a worker for a task, for its run if that is placed.
    fn set_claim(&mut self, worker: &str, task: &TaskId, run: Option<u32>, now: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.claim = Some(IsolationClaim {
                task: task.clone(),
                run,
                since_ms: now,
            });
            self.claimed_workers.insert(worker.to_owned());
        }
    }

    /// Returns whether a task that need not wait for its losses any more may still wait for an
    /// isolated start.
    fn may_await_isolation(&self, task: &TaskId, now: u64) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        state.is_some_and(|state| {
            let ready_ms = state.last_end_ms + restart_delay_ms(&state.losses);
            now < ready_ms + ISOLATION_WAIT_MS
        })
    }

    /// Reserves capacity for a run; for a suspect, claims the worker for its trial if no other
    /// run has started there.
    pub(crate) fn reserve_worker(
        &mut self,
        task: &TaskId,
        worker: &str,
        spec: &StepSpec,
        now: u64,
    ) {
        let is_isolated = self.is_suspect(task) && self.is_quiet(task, worker, now);
        self.reserve(task, worker, spec, now);
        if !is_isolated {
            return;
        }
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        let run = state.map_or(0, |state| state.last_run);
        log::info!(event = "run_isolated", task:% = task, run = run, worker = worker; "");
        self.set_claim(worker, task, Some(run), now);
    }

    /// Places the tasks whose claimed workers are ready for an isolated start.
    pub(crate) fn place_claimed(&mut self, now: u64) {
        let claimed = self.claimed_workers.iter();
        let pending = claimed.filter_map(|worker| {
            let claim = self.workers.get(worker)?.claim.as_ref()?;
            let is_ready = claim.run.is_none() && self.is_quiet(&claim.task, worker, now);
            is_ready.then(|| (worker.clone(), claim.task.clone()))
        });
        let pending: Vec<_> = pending.collect();
        for (worker, task) in pending {
            self.place_claim(&worker, &task, now);
        }
    }

    fn place_claim(&mut self, worker: &str, task: &TaskId, now: u64) {
        self.drop_claim(worker);
        let Some(job) = self.jobs.get(&task.job).filter(|job| !job.state.is_final()) else {
            return;
        };
        let pool = self.pool_of(job).to_owned();
        let (Some(state), Some(spec)) = (job.task(task), job.step_spec(task).cloned()) else {
            return;
        };
        let is_copy = spec.speculative && self.unresponsive_runs(state) == state.placed.len();
        let kind = match state.placed.as_slice() {
            _ if state.done => return,
            [] => StartKind::Task,
            [run] if is_copy && run.worker != worker => StartKind::Copy,
            _ => return,
        };
        let has_room = self.workers.get(worker).is_some_and(|view| {
            is_eligible(&pool, &spec, view, now) && view.free().covers(&spec.reserved())
        });
        if has_room
            && (spec.per_worker == 0 || self.runs_at(task, worker) < spec.per_worker)
            && self.is_advised(task, worker, now)
            && self.account_allows(&task.job, &spec, kind, now)
        {
            self.reserve_worker(task, worker, &spec, now);
        }
    }

    /// Returns whether a worker is claimed for a task and has no run of it yet.
    fn has_claim(&self, task: &TaskId) -> bool {
        self.claimed_workers.iter().any(|worker| {
            let claim = self
                .workers
                .get(worker)
                .and_then(|view| view.claim.as_ref());
            claim.is_some_and(|claim| claim.run.is_none() && claim.task == *task)
        })
    }

    /// Returns whether another worker of a pool may be claimed: at least half of them keep
    /// accepting other runs.
    fn may_claim(&self, pool: &str, now: u64) -> bool {
        let in_pool = |worker: &&String| {
            let view = self.workers.get(*worker);
            view.is_some_and(|view| view.entry.pool == pool)
        };
        let claimed = self.claimed_workers.iter().filter(in_pool).count();
        let views = self.workers.values();
        let free = views.filter(|view| view.entry.pool == pool && view.accepts_starts(now));
        claimed < free.count()
    }

    /// Returns whether no run has started at a worker for as long as the task's trial lasts.
    pub(crate) fn is_quiet(&self, task: &TaskId, worker: &str, now: u64) -> bool {
        let trial_ms = trial_ms(self.loss_count(task));
        self.workers.get(worker).is_some_and(|view| {
            view.runs
                .iter()
                .all(|(task, run)| match self.run_phase(task, worker, *run) {
                    Some(RunPhase::Running(since_ms)) => now >= since_ms + trial_ms,
                    Some(phase) => phase.is_stopping(),
                    None => true,
                })
        })
    }

    /// Ends the trials that were passed, and the claims without a start for too long.
    pub(crate) fn end_trials(&mut self, now: u64) {
        let claimed = self.claimed_workers.iter();
        let over = claimed.filter(|worker| {
            let Some(view) = self.workers.get(*worker) else {
                return true;
            };
            let Some(claim) = &view.claim else {
                return true;
            };
            match claim.run {
                None => now > claim.since_ms + CLAIM_MS,
                Some(run) => self.is_trial_over(view, &claim.task, run, now),
            }
        });
        let over: Vec<String> = over.cloned().collect();
        for worker in over {
            self.drop_claim(&worker);
        }
    }

    fn is_trial_over(&self, view: &WorkerView, task: &TaskId, run: u32, now: u64) -> bool {
        let trial_ms = trial_ms(self.loss_count(task));
        match self.run_phase(task, &view.entry.id, run) {
            Some(RunPhase::Running(since_ms)) => {
                view.missed_calls == 0 && now >= since_ms + trial_ms
            }
            Some(_) => false,
            None => true,
        }
    }

    /// Ends the claim of a worker, which then accepts other runs again.
    fn drop_claim(&mut self, worker: &str) {
        self.claimed_workers.remove(worker);
        if let Some(view) = self.workers.get_mut(worker) {
            view.claim = None;
            let pool = view.entry.pool.clone();
            self.waiting.mark_due(&pool);
        }
    }

    /// Returns whether a gang with a suspect still waits for workers that are ready for
    /// isolated starts.
    pub(crate) fn gang_awaits_isolation(&self, task: &TaskId, now: u64) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| step_of(job, task));
        let members = step.into_iter().flat_map(|step| &step.tasks);
        let last_end_ms = members.map(|state| state.last_end_ms).max().unwrap_or(0);
        now < last_end_ms + ISOLATION_WAIT_MS
    }

    /// Returns whether a member of a gang waits until more is known of its losses.
    pub(crate) fn gang_awaits_evidence(&self, task: &TaskId, now: u64) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| step_of(job, task));
        let mut members = (0..step.map_or(0, |step| step.tasks.len() as u32)).map(|index| TaskId {
            index,
            ..task.clone()
        });
        members.any(|member| self.awaits_evidence(&member, now))
    }
}

fn step_of<'a>(job: &'a JobEntry, task: &TaskId) -> Option<&'a StepState> {
    let steps = job.open.get(&task.occurrence)?;
    steps.get(task.step as usize)
}
