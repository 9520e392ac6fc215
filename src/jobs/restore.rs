//! Jobs and runs of a former owner: restored from the store before the first placement.

use crate::jobs::engine::EndedJob;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::job::JobEntry;
use crate::jobs::record::BodyRecord;
use crate::jobs::record::ProgressRecord;
use crate::jobs::types::JobId;
use crate::jobs::types::TaskId;
use crate::jobs::worker::RunFootprint;

impl JobEngine {
    /// Restores a finished job from its stored record. Its retention starts again: the clock may
    /// have been set since the record was written.
    pub fn restore_ended(&mut self, id: JobId, record: &ProgressRecord, time: TimePair) {
        self.ended_order.push_back((time.boot, id.clone()));
        let ended = EndedJob {
            state: record.state,
            ended_ms: time.boot,
            account: record.account.clone(),
        };
        self.ended.insert(id, ended);
    }

    /// Restores a job in progress from its stored records.
    pub fn restore_job(
        &mut self,
        id: JobId,
        mut body: BodyRecord,
        progress: Option<ProgressRecord>,
        time: TimePair,
    ) {
        body.terms = self.complete_terms(body.terms, &body.queue);
        let age_ms = time.unix.saturating_sub(body.submitted_ms);
        let mut job = JobEntry::restore(id.clone(), body, progress, time.boot, age_ms);
        job.open_due(time.boot, time.unix + self.settings.early_start_ms);
        self.restore_rate(&job, time.boot);
        self.jobs.insert(id.clone(), job);
        self.waiting.insert(&id);
        self.count_restored_runs(&id);
        self.restore_losses(&id, time.boot);
        self.finalize_job(&id, time.boot);
    }

    /// Adds the inherited runs to their workers, once the workers' entries are known.
    pub fn add_inherited_runs(&mut self, now: u64) {
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for (task, run) in job.live_runs() {
                let footprint = job.step_spec(&task).map(RunFootprint::from);
                let footprint = footprint.unwrap_or_default();
                runs.push((task, run.worker.clone(), run.born_ms, run.run, footprint));
            }
        }
        for (task, worker, born_ms, run, footprint) in runs {
            let expires_ms = self.settings.start_expiry_ms(now);
            match self.workers.get_mut(&worker) {
                Some(view) => {
                    if born_ms != 0 && born_ms < view.entry.born_ms {
                        // The new incarnation may have carried out the former owner's start.
                        view.orders_expiry_ms = expires_ms;
                    }
                    // The former owner may have learnt of the incarnation from the worker,
                    // whose entry in the store is written later.
                    view.entry.born_ms = view.entry.born_ms.max(born_ms);
                    view.add_run(task, run, footprint);
                }
                // A worker without an entry cannot be called: the run may be alive until
                // the worker's lease has expired.
                None => self.orphaned_runs.push((task, worker, run)),
            }
        }
    }

    /// Requeues inherited runs at workers without an entry once the worker's lease has
    /// certainly expired.
    pub(crate) fn expire_orphaned_runs(&mut self, now: u64) {
        let (unresponsive, inherited_leases_expiry_ms) =
            (&self.unresponsive, self.inherited_leases_expiry_ms);
        let expires_ms = |worker: &str| {
            let lease = unresponsive.lease(worker);
            lease.map_or(inherited_leases_expiry_ms, |lease| lease.expires_ms)
        };
        let expired = self
            .orphaned_runs
            .extract_if(.., |(_, worker, _)| now > expires_ms(worker));
        let expired: Vec<_> = expired.collect();
        for (task, worker, run) in expired {
            log::info!(event = "run_lost", task:% = task, run = run, worker = worker.as_str(), reason = "no_entry"; "");
            let born_ms = self.run_born_ms(&task, &worker, run);
            self.record_inherited_loss(&task, &worker, born_ms, false, now);
            self.requeue_run(&task, &worker, run, now);
        }
    }

    /// Returns the incarnation at which a run was placed, 0 if that is not known.
    pub(crate) fn run_born_ms(&self, task: &TaskId, worker: &str, run: u32) -> u64 {
        let placed = self.placed_run(task, worker, run);
        placed.map_or(0, |placed| placed.born_ms)
    }
}
