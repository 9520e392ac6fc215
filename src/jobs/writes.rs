//! What is to be stored, and what follows once it is.
//!
//! All commits of a shard form a chain: each expects the revision that the one
//! before gave the chain key, so one that is carried out late finds its condition
//! broken, and a deposed owner, whose successor wrote the chain key, changes
//! nothing.

use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::callers::STORE_RETRY_MS;
use crate::jobs::engine::EndedJob;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::job::JobEntry;
use crate::jobs::record::BodyRecord;
use crate::jobs::record::EncodeError;
use crate::jobs::record::ProgressRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::WaveRecord;
use crate::jobs::record::encode;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::jobs::worker::RunFootprint;
use crate::ports::store::StoreWrite;

/// Entries of a commit besides the chain key and its condition; the platform takes
/// 32 in all.
const BATCH_ENTRIES: usize = 28;

/// Most bytes of values in a commit; well below the limit on one value.
const BATCH_BYTES: usize = 256 << 10;

/// Changes of one commit and the versions of jobs that they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Keys to write.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removals: Vec<String>,
    /// Jobs and their versions.
    pub versions: Vec<(JobId, u64)>,
    /// Waves and the number of VMs ordered that they hold.
    pub waves: Vec<(u64, WaveRecord)>,
    /// Whether it has the permits to order VMs.
    pub permits: bool,
    /// Whether it has the leases of silent workers.
    pub unresponsive: bool,
}

impl WriteBatch {
    /// Tells whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }

    fn entries(&self) -> usize {
        // Each wave is reported besides.
        self.writes.len() + self.removals.len() + self.waves.len()
    }

    fn bytes(&self) -> usize {
        self.writes.iter().map(|write| write.value.len()).sum()
    }

    /// Adds a key to write.
    pub(crate) fn push(&mut self, key: String, value: Vec<u8>) {
        self.writes.push(StoreWrite {
            key,
            value,
            lease: 0,
        });
    }
}

impl JobEngine {
    /// Returns when the next commit is due, on the boot clock.
    #[must_use]
    pub fn next_write_ms(&self) -> Option<u64> {
        let jobs = self
            .dirty
            .iter()
            .filter(|(id, _)| !self.storing.contains(*id));
        let jobs = jobs.map(|(_, due)| *due).min();
        let fleet = self.fleet.next_write_ms();
        let silent = self.unresponsive.is_dirty().then_some(0);
        jobs.into_iter().chain(fleet).chain(silent).min()
    }

    /// Makes all that is not stored due at once, before a handover.
    pub fn flush_all(&mut self) {
        self.dirty.values_mut().for_each(|due| *due = 0);
    }

    /// Takes the next batch to store; a job whose last version is still being stored
    /// waits for it, and waves go with one chain only.
    ///
    /// # Errors
    ///
    /// Fails if a record cannot be encoded.
    pub fn take_writes(
        &mut self,
        keys: ShardKeys,
        with_fleet: bool,
        time: TimePair,
    ) -> Result<WriteBatch, EncodeError> {
        let mut batch = WriteBatch::default();
        if with_fleet {
            self.fleet
                .take_writes(keys, &self.settings.holder, time, &mut batch)?;
            if self.unresponsive.is_dirty() {
                let record = self.unresponsive.begin_write(time);
                batch.push(keys.unresponsive(), encode(&record)?);
                batch.unresponsive = true;
            }
        }
        let free = self
            .dirty
            .iter()
            .filter(|(id, _)| !self.storing.contains(*id));
        let mut order: Vec<_> = free.map(|(id, due)| (*due, id.clone())).collect();
        order.sort_unstable();
        for (_, id) in order {
            if batch.entries() + 2 > BATCH_ENTRIES || batch.bytes() > BATCH_BYTES {
                break;
            }
            self.dirty.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.write_attempted = true;
                self.storing.insert(id.clone());
                add_job(&mut batch, keys, job, time.unix)?;
            }
        }
        while batch.entries() < BATCH_ENTRIES
            && let Some(id) = self.expired.pop_front()
        {
            batch.removals.push(format!("{}{id}", keys.progress()));
        }
        Ok(batch)
    }

    /// Takes in that a batch is stored: answers, starts, cursors.
    pub fn write_succeeded(&mut self, batch: &WriteBatch, now: u64) {
        if let Some(since_ms) = self.store_down_since_ms.take() {
            log::info!(event = "store_regained", down_ms = now.saturating_sub(since_ms); "");
        }
        self.fleet.write_succeeded(batch);
        if batch.unresponsive {
            self.unresponsive.write_succeeded();
        }
        for (id, version) in &batch.versions {
            self.storing.remove(id);
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored_version = job.stored_version.max(*version);
                job.body_stored = true;
            }
            self.answer_waiting(id, *version);
            self.start_stored(id, *version, now);
            self.finalize_job(id, now);
        }
        self.advance_cursors(now);
        if batch.permits {
            self.send_orders(now);
        }
        self.placement_due = true;
    }

    /// Takes in that a batch was not stored: it is to be stored again.
    pub fn write_failed(&mut self, batch: &WriteBatch, now: u64) {
        self.fleet.write_failed(batch);
        if batch.unresponsive {
            self.unresponsive.write_failed();
        }
        for (id, _) in &batch.versions {
            self.storing.remove(id);
            self.mark_dirty(id, now);
        }
        for key in &batch.removals {
            if let Some((_, id)) = key.rsplit_once('/')
                && !self.jobs.contains_key(id)
            {
                self.expired.push_back(id.into());
            }
        }
    }

    /// Takes in that the store takes no commits: submissions that are in no commit
    /// yet are refused.
    pub fn store_unavailable(&mut self, in_flight: &WriteBatch, now: u64) {
        if self.store_down_since_ms.is_none() {
            log::warn!(event = "store_lost", waiting = self.dirty.len(); "");
            self.store_down_since_ms = Some(now);
        }
        let fresh = self.jobs.values().filter(|job| {
            job.stored_version == 0
                && !job.write_attempted
                && !in_flight.versions.iter().any(|(id, _)| *id == job.id)
        });
        let fresh: Vec<JobId> = fresh.map(|job| job.id.clone()).collect();
        for id in fresh {
            self.drop_job(&id);
        }
    }

    /// Forgets a submission that was never part of a commit.
    fn drop_job(&mut self, id: &JobId) {
        let runs: Vec<_> = self.jobs.get(id).map_or_else(Vec::new, |job| {
            job.live_runs()
                .map(|(task, run)| (task, run.worker.clone(), run.run))
                .collect()
        });
        for (task, worker, run) in runs {
            self.release_run(&task, &worker, run);
        }
        self.jobs.remove(id);
        self.unplaced.remove(id);
        self.dirty.remove(id);
        for (_, waiter, answer) in self.store_waiters.remove(id).unwrap_or_default() {
            log::info!(event = "job_refused", job = &**id, reason = "store_lost"; "");
            let refused = CallerAnswer::Refused {
                retry_ms: STORE_RETRY_MS,
            };
            let cancelled = answer == CallerAnswer::Cancelled;
            self.answer(
                waiter,
                if cancelled {
                    CallerAnswer::Unknown
                } else {
                    refused
                },
            );
        }
    }

    fn answer_waiting(&mut self, id: &JobId, version: u64) {
        let Some(waiting) = self.store_waiters.get_mut(id) else {
            return;
        };
        let due: Vec<(u64, WaiterId, CallerAnswer)> = waiting
            .extract_if(.., |(wanted, ..)| *wanted <= version)
            .collect();
        if waiting.is_empty() {
            self.store_waiters.remove(id);
        }
        for (_, waiter, answer) in due {
            self.answer(waiter, answer);
        }
    }

    /// Orders the runs whose placement is stored.
    fn start_stored(&mut self, id: &JobId, version: u64, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let reserved = job.live_runs().filter(
            |(_, run)| matches!(run.phase, RunPhase::Reserved(wanted) if wanted <= version),
        );
        let reserved: Vec<_> = reserved
            .map(|(task, run)| (task, run.worker.clone(), run.run))
            .collect();
        for (task, worker, run) in reserved {
            self.send_start(&task, &worker, run, 0, now);
        }
    }

    /// Moves the cursors of workers past the ends that are stored.
    fn advance_cursors(&mut self, now: u64) {
        let mut moved = Vec::new();
        for (id, view) in &mut self.workers {
            let before = view.cursor;
            while let Some(end) = view.pending_ends.front() {
                let stored = self
                    .jobs
                    .get(&end.job)
                    .is_none_or(|job| job.stored_version >= end.version);
                if !stored {
                    break;
                }
                view.cursor = end.number;
                view.pending_ends.pop_front();
            }
            if view.pending_ends.is_empty() {
                view.cursor = view.cursor.max(view.applied_cursor);
            }
            if view.cursor != before {
                moved.push(id.clone());
            }
        }
        for worker in moved {
            self.send_hold(&worker, now);
        }
    }

    /// Takes a finished job over from the store.
    pub fn restore_ended(&mut self, id: JobId, record: &ProgressRecord, time: TimePair) {
        let age_ms = time.unix.saturating_sub(record.written_ms);
        let ended_ms = time.boot.saturating_sub(age_ms);
        self.ended_order.push_back((ended_ms, id.clone()));
        let state = record.state;
        self.ended.insert(id, EndedJob { state, ended_ms });
    }

    /// Takes a job in progress over from the store.
    pub fn restore_job(
        &mut self,
        id: JobId,
        body: BodyRecord,
        progress: Option<ProgressRecord>,
        time: TimePair,
    ) {
        let age_ms = time.unix.saturating_sub(body.submitted_ms);
        let mut job = JobEntry::restore(id.clone(), body, progress, time.boot, age_ms);
        job.open_due(time.boot, time.unix + self.settings.early_start_ms);
        self.jobs.insert(id.clone(), job);
        self.unplaced.insert(id);
    }

    /// Books the inherited runs at their workers, once the workers are known.
    pub fn add_inherited_runs(&mut self, now: u64) {
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for (task, run) in job.live_runs() {
                let load = job.step_spec(&task).map(RunFootprint::from);
                let load = load.unwrap_or_default();
                runs.push((task, run.worker.clone(), run.born_ms, run.run, load));
            }
        }
        for (task, worker, born_ms, run, load) in runs {
            match self.workers.get_mut(&worker) {
                Some(view) if view.entry.born_ms == born_ms || born_ms == 0 => {
                    view.add_run(task, run, load);
                }
                Some(_) => self.requeue_run(&task, &worker, run, now),
                // Without an entry the worker cannot be asked: its lease decides.
                None => self.orphaned_runs.push((task, worker, run)),
            }
        }
    }

    /// Gives up inherited runs at workers without an entry once their lease has ended.
    pub(crate) fn expire_orphans(&mut self, now: u64) {
        let (silent, inherited_leases_end_ms) = (&self.unresponsive, self.inherited_leases_end_ms);
        let lapse_ms = |worker: &str| {
            let lease = silent.lease(worker);
            lease.map_or(inherited_leases_end_ms, |lease| {
                lease.expires_ms.min(inherited_leases_end_ms)
            })
        };
        let lapsed = self
            .orphaned_runs
            .extract_if(.., |(_, worker, _)| now > lapse_ms(worker));
        let lapsed: Vec<_> = lapsed.collect();
        for (task, worker, run) in lapsed {
            log::info!(event = "run_lost", task:% = task, run = run, worker = worker.as_str(), reason = "no_entry"; "");
            self.requeue_run(&task, &worker, run, now);
        }
    }
}

fn add_job(
    batch: &mut WriteBatch,
    keys: ShardKeys,
    job: &JobEntry,
    unix_ms: u64,
) -> Result<(), EncodeError> {
    let body_key = format!("{}{}", keys.bodies(), job.id);
    if job.state.is_final() {
        if job.body_stored {
            batch.removals.push(body_key);
        }
    } else if !job.body_stored {
        batch.push(body_key, encode(&job.body)?);
    }
    let fresh = !job.body_stored && job.live_runs().next().is_none();
    if !fresh || job.state.is_final() {
        let key = format!("{}{}", keys.progress(), job.id);
        batch.push(key, encode(&job.progress(unix_ms))?);
    }
    batch.versions.push((job.id.clone(), job.version));
    Ok(())
}
