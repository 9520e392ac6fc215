//! Commits of a shard: what they store, and what is done after a commit.
//!
//! Commits form chains: each one expects the revision that the commit before it gave to
//! the key of its chain. A commit that the store executes late finds another revision
//! and has no effect. A commit of a deposed owner has none either, since the next owner
//! has written the chain keys.

use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::callers::STORE_RETRY_MS;
use crate::jobs::codec::EncodeError;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::job::JobEntry;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::WaveRecord;
use crate::jobs::record::encode_body;
use crate::jobs::record::encode_progress;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::ports::store::StoreWrite;

/// Maximum number of entries of a commit besides the chain key and its condition; the
/// platform accepts 32 in all.
const MAX_BATCH_ENTRIES: usize = 28;

/// Size of the values in a commit above which no further job is added, in bytes; well
/// below the platform's limit on one value.
const FULL_BATCH_BYTES: usize = 256 << 10;

/// Changes to store in one commit, and what they belong to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Keys to write.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removals: Vec<String>,
    /// Jobs and the version of each that the batch stores.
    pub versions: Vec<(JobId, u64)>,
    /// Numbers of waves and the record of each that the batch stores.
    pub waves: Vec<(u64, WaveRecord)>,
    /// Whether the batch stores the permits to order VMs.
    pub permits: bool,
    /// Whether the batch stores the leases of unresponsive workers.
    pub unresponsive: bool,
}

impl WriteBatch {
    /// Returns whether there is nothing to store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.removals.is_empty()
    }

    fn entries(&self) -> usize {
        // The commit also writes the status of each wave that the operator reads.
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
    /// Returns when the next commit is due, on the boot clock in milliseconds; none if
    /// there is nothing to store.
    #[must_use]
    pub fn next_write_ms(&self) -> Option<u64> {
        let jobs = self.dirty.next_due_ms();
        let fleet = self.fleet.next_write_ms();
        let unresponsive = self.unresponsive.is_dirty().then_some(0);
        jobs.into_iter().chain(fleet).chain(unresponsive).min()
    }

    /// Returns whether the changed jobs in no commit are enough for a full commit.
    #[must_use]
    pub fn fills_commit(&self) -> bool {
        self.dirty.ready() >= MAX_BATCH_ENTRIES
    }

    /// Makes the commits of all changed jobs due at once, before the ownership is
    /// transferred.
    pub fn flush_all(&mut self) {
        self.dirty.make_all_due();
    }

    /// Returns the next batch to store. A job that is in a commit in progress waits until
    /// that one ends.
    ///
    /// `with_fleet` adds permits, waves and the leases of unresponsive workers; it must be
    /// set for one chain only.
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
            if self.unresponsive.is_rewrite_due(time.boot) {
                let record = self.unresponsive.begin_write(time);
                batch.push(keys.unresponsive(), record.encode()?);
                batch.unresponsive = true;
            }
        }
        while batch.entries() + 2 <= MAX_BATCH_ENTRIES
            && batch.bytes() <= FULL_BATCH_BYTES
            && let Some(id) = self.dirty.take_first()
        {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.write_attempted = true;
                self.dirty.begin_commit(&id);
                add_job_writes(&mut batch, keys, job, time.unix)?;
            }
        }
        while batch.entries() < MAX_BATCH_ENTRIES
            && let Some(id) = self.expired.pop_front()
        {
            batch.removals.push(format!("{}{id}", keys.progress()));
        }
        Ok(batch)
    }

    /// Handles the success of a commit: answers callers, sends the starts of runs and
    /// advances the cursors of workers.
    pub fn write_succeeded(&mut self, batch: &WriteBatch, now: u64) {
        if let Some(since_ms) = self.store_down_since_ms.take() {
            log::info!(event = "store_available", down_ms = now.saturating_sub(since_ms); "");
        }
        self.fleet.write_succeeded(batch);
        if batch.unresponsive {
            self.unresponsive.write_succeeded();
        }
        for (id, version) in &batch.versions {
            self.dirty.end_commit(id);
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored_version = job.stored_version.max(*version);
                job.body_stored = true;
            }
            self.answer_waiters(id, *version);
            self.start_stored(id, *version, now);
            self.finalize_job(id, now);
        }
        self.advance_cursors(now);
        if batch.permits {
            self.send_orders(now);
        }
    }

    /// Handles a commit that has not taken effect and will not: its changes are to be
    /// stored again.
    pub fn write_failed(&mut self, batch: &WriteBatch, now: u64) {
        self.fleet.write_failed(batch);
        if batch.unresponsive {
            self.unresponsive.write_failed();
        }
        for (id, _) in &batch.versions {
            self.dirty.end_commit(id);
            self.dirty.mark(id, now);
        }
        for key in &batch.removals {
            if let Some((_, id)) = key.rsplit_once('/')
                && !self.jobs.contains_key(id)
            {
                self.expired.push_back(id.into());
            }
        }
    }

    /// Handles a store that does not answer, or rejects, the commit of `batch`: refuses the
    /// submissions that are in no commit yet.
    pub fn store_unavailable(&mut self, batch: &WriteBatch, now: u64) {
        if self.store_down_since_ms.is_none() {
            log::warn!(event = "store_unavailable", waiting = self.dirty.len(); "");
            self.store_down_since_ms = Some(now);
        }
        let unsent = self.jobs.values().filter(|job| {
            job.stored_version == 0
                && !job.write_attempted
                && !batch.versions.iter().any(|(id, _)| *id == job.id)
        });
        let unsent: Vec<JobId> = unsent.map(|job| job.id.clone()).collect();
        for id in unsent {
            self.discard_submission(&id);
        }
    }

    /// Discards a submission that was never part of a commit, and answers its callers.
    fn discard_submission(&mut self, id: &JobId) {
        let runs: Vec<_> = self.jobs.get(id).map_or_else(Vec::new, |job| {
            job.live_runs()
                .map(|(task, run)| (task, run.worker.clone(), run.run))
                .collect()
        });
        for (task, worker, run) in runs {
            self.release_run(&task, &worker, run);
        }
        self.jobs.remove(id);
        self.waiting.remove(id);
        self.dirty.remove(id);
        for (_, waiter, answer) in self.store_waiters.remove(id).unwrap_or_default() {
            log::info!(event = "job_refused", job = &**id, reason = "store_unavailable"; "");
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

    /// Answers the callers that wait for this version of a job, or for an earlier one, to
    /// be stored.
    fn answer_waiters(&mut self, id: &JobId, version: u64) {
        let Some(waiting) = self.store_waiters.get_mut(id) else {
            return;
        };
        let due: Vec<(u64, WaiterId, CallerAnswer)> = waiting
            .extract_if(.., |(awaited, ..)| *awaited <= version)
            .collect();
        if waiting.is_empty() {
            self.store_waiters.remove(id);
        }
        for (_, waiter, answer) in due {
            self.answer(waiter, answer);
        }
    }

    /// Sends the starts of a job's runs whose placement is stored with this version.
    fn start_stored(&mut self, id: &JobId, version: u64, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let reserved = job.live_runs().filter(
            |(_, run)| matches!(run.phase, RunPhase::Reserved(placed) if placed <= version),
        );
        let reserved: Vec<_> = reserved
            .map(|(task, run)| (task, run.worker.clone(), run.run))
            .collect();
        for (task, worker, run) in reserved {
            self.send_start(&task, &worker, run, 0, now);
        }
    }

    /// Advances the workers' cursors past the ends that are stored, and sends a hold call
    /// to the workers whose cursor has changed.
    fn advance_cursors(&mut self, now: u64) {
        let mut moved = Vec::new();
        self.ending_workers.retain(|id| {
            let Some(view) = self.workers.get_mut(id) else {
                return false;
            };
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
            !view.pending_ends.is_empty()
        });
        for worker in moved {
            self.send_hold(&worker, now);
        }
    }
}

/// Adds what must be stored of a job to a batch: the body of an accepted job once, its
/// progress if it has any, and the removal of a finished job's body once none of its runs
/// may be alive.
fn add_job_writes(
    batch: &mut WriteBatch,
    keys: ShardKeys,
    job: &mut JobEntry,
    unix_ms: u64,
) -> Result<(), EncodeError> {
    let body_key = format!("{}{}", keys.bodies(), job.id);
    if job.state.is_final() && job.ended_version == 0 {
        job.ended_version = job.version;
    }
    if job.is_closed() {
        if job.closed_version != job.version {
            // Makes this record differ from earlier ones, which may hold runs.
            job.bump_version();
            job.closed_version = job.version;
        }
        if job.body_stored {
            batch.removals.push(body_key);
        }
    } else if !job.body_stored {
        batch.push(body_key, encode_body(&job.body)?);
    }
    let is_new = !job.body_stored && job.live_runs().next().is_none();
    if !is_new || job.state.is_final() {
        let key = format!("{}{}", keys.progress(), job.id);
        batch.push(key, encode_progress(&job.progress(unix_ms))?);
    }
    batch.versions.push((job.id.clone(), job.version));
    Ok(())
}
