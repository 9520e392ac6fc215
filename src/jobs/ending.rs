//! Ends of jobs and removal of runs: what is kept of a finished job, and until when.
//!
//! The runs of a job that was cancelled, failed or completed early may be alive until their
//! stops are carried out. Until then its body and these runs stay in the store, so that a
//! new owner counts and stops them.

use crate::jobs::engine::EndedJob;
use crate::jobs::engine::JobEngine;
use crate::jobs::stops::StopReason;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::jobs::types::TaskId;
use crate::jobs::worker::RunFootprint;

impl JobEngine {
    /// Forgets finished jobs after their retention and queues their records for removal.
    pub(crate) fn expire_ended_jobs(&mut self, now: u64) {
        while let Some((ended_ms, _)) = self.ended_order.front()
            && ended_ms + self.settings.ended_retention_ms < now
        {
            if let Some((_, id)) = self.ended_order.pop_front() {
                self.ended.remove(&id);
                self.expired.push_back(id);
            }
        }
    }

    /// Removes a run that is certainly not alive, so that its task is placed again.
    pub(crate) fn requeue_run(&mut self, task: &TaskId, worker: &str, run: u32, now: u64) {
        self.release_run(task, worker, run);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if let Some(state) = job.task_mut(task) {
                state.last_end_ms = now;
            }
            job.bump_version();
        }
        self.dirty.mark(&task.job, now + self.settings.flush_ms);
        self.finalize_job(&task.job, now);
    }

    /// Stops the remaining runs of a job in a final state, and replaces the job by its
    /// state once that is stored and no run is left. Does nothing for other jobs.
    pub(crate) fn finalize_job(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.state.is_final() {
            return;
        }
        let live: Vec<_> = job
            .live_runs()
            .map(|(task, run)| (task, run.clone()))
            .collect();
        for (task, run) in &live {
            if matches!(run.phase, RunPhase::Reserved(_)) {
                // Its start was never sent.
                self.release_run(task, &run.worker, run.run);
            } else if !run.phase.is_stopping() {
                self.stop_run(task, &run.worker, run.run, StopReason::JobEnded, now);
            }
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.stored_version < job.version || job.live_runs().next().is_some() {
            return;
        }
        if job.closed_version != job.version {
            // The stored record still has runs, or the body is still stored.
            self.dirty.mark(id, now);
            return;
        }
        let (state, account) = (job.state, job.body.account.clone());
        self.jobs.remove(id);
        self.waiting.remove(id);
        self.ended.insert(
            id.clone(),
            EndedJob {
                state,
                ended_ms: now,
                account,
            },
        );
        self.ended_order.push_back((now, id.clone()));
    }

    /// Removes a run from its task and frees its capacity at the worker.
    pub(crate) fn release_run(&mut self, task: &TaskId, worker: &str, run: u32) {
        self.discount_run(task, worker, run);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let footprint = job
                .step_spec(task)
                .map(RunFootprint::from)
                .unwrap_or_default();
            if let Some(state) = job.task_mut(task) {
                state
                    .placed
                    .retain(|placed| placed.run != run || placed.worker != worker);
            }
            if let Some(view) = self.workers.get_mut(worker) {
                view.remove_run(task, run, footprint);
                self.candidates.update(worker, view);
                self.waiting.mark_due(&view.entry.pool);
            }
        }
        self.mark_share(&task.job);
        self.waiting.insert(&task.job);
    }
}
