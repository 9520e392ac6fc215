//! Requests of callers: submissions, queries, cancellations and counts of pending jobs.

use crate::jobs::account::AccountName;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::job::JobEntry;
use crate::jobs::record::BodyRecord;
use crate::jobs::types::JobId;
use crate::jobs::types::JobSpec;
use crate::jobs::types::JobState;

/// Retry delay sent to callers while the store executes no commits, in milliseconds;
/// outages of the store last seconds.
pub(crate) const STORE_RETRY_MS: u64 = 1000;

/// A job as a caller submitted it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// Name of the queue.
    pub queue: String,
    /// Pool of the queue according to the receiving entry VM; used if the owner's
    /// configuration lacks the queue.
    pub pool: String,
    /// Steps and schedule.
    pub spec: JobSpec,
    /// Client account of the caller; none if the queue needs no API key.
    pub account: Option<AccountName>,
    /// Whether the job is beyond the rate of its account; set by the scheduler.
    pub beyond_rate: bool,
}

impl JobEngine {
    /// Handles a submission; it is accepted only once the job is stored.
    ///
    /// A repeated submission of the same job gets the same answer.
    pub fn submit(&mut self, mut submission: Submission, waiter: WaiterId, time: TimePair) {
        let id = submission.id.clone();
        if self.ended.contains_key(&id) {
            return self.answer(waiter, CallerAnswer::Accepted);
        }
        if let Some(job) = self.jobs.get(&id) {
            if job.stored_version > 0 {
                return self.answer(waiter, CallerAnswer::Accepted);
            }
            return self.wait_stored(&id, 1, waiter, CallerAnswer::Accepted);
        }
        if let Some(fault) = submission.spec.validation_error() {
            log::info!(event = "job_invalid", job = &*id, fault = fault.as_str(); "");
            return self.answer(waiter, CallerAnswer::Invalid);
        }
        if let Some(since_ms) = self.store_down_since_ms {
            let down_ms = time.boot.saturating_sub(since_ms);
            log::info!(event = "job_refused", job = &*id, reason = "store_down", down_ms = down_ms; "");
            let retry_ms = STORE_RETRY_MS;
            return self.answer(waiter, CallerAnswer::Refused { retry_ms });
        }
        submission.beyond_rate = self.take_rate(&submission, time.boot);
        if let Err(retry_ms) = self.admit(&submission, time.boot) {
            self.give_back_rate(&submission);
            return self.answer(waiter, CallerAnswer::Refused { retry_ms });
        }
        let queue = self.config.queue(&submission.queue);
        let body = BodyRecord {
            queue: submission.queue,
            pool: queue.map_or(submission.pool, |queue| queue.pool.clone()),
            submitted_ms: time.unix,
            spec: submission.spec,
            account: submission.account,
        };
        let mut job = JobEntry::new(id.clone(), body, time.boot);
        job.beyond_rate = submission.beyond_rate;
        job.open_due(time.boot, time.unix + self.settings.early_start_ms);
        self.jobs.insert(id.clone(), job);
        self.waiting.insert(&id);
        self.dirty.mark(&id, time.boot);
        self.wait_stored(&id, 1, waiter, CallerAnswer::Accepted);
    }

    /// Answers with the state of a job; an end that is not stored yet counts as running.
    pub fn query(&mut self, id: &JobId, waiter: WaiterId) {
        let answer = if let Some(ended) = self.ended.get(id) {
            CallerAnswer::State(ended.state)
        } else {
            match self.jobs.get(id) {
                None => CallerAnswer::Unknown,
                Some(job) if job.stored_version == 0 => CallerAnswer::Unknown,
                Some(job) if job.state.is_final() && job.stored_version < job.version => {
                    CallerAnswer::State(JobState::Running)
                }
                Some(job) => CallerAnswer::State(job.state),
            }
        };
        self.answer(waiter, answer);
    }

    /// Cancels a job; the answer follows once the cancellation is stored.
    pub fn cancel(&mut self, id: &JobId, waiter: WaiterId, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            let known = self.ended.contains_key(id);
            let answer = if known {
                CallerAnswer::Cancelled
            } else {
                CallerAnswer::Unknown
            };
            return self.answer(waiter, answer);
        };
        if !job.state.is_final() {
            job.state = JobState::Cancelled;
            job.bump_version();
            log::info!(event = "job_cancelled", job = &**id, age_ms = now.saturating_sub(job.submitted_ms); "");
        }
        let version = job.version;
        if job.stored_version >= version {
            return self.answer(waiter, CallerAnswer::Cancelled);
        }
        self.dirty.mark(id, now);
        self.wait_stored(id, version, waiter, CallerAnswer::Cancelled);
    }

    /// Answers with the number of accepted jobs of a queue of which no task has started.
    pub fn pending(&mut self, queue: &str, waiter: WaiterId) {
        let jobs = self.jobs.values();
        let queued = jobs.filter(|job| {
            job.body.queue == queue && job.state == JobState::Queued && job.stored_version > 0
        });
        let count = queued.count() as u64;
        self.answer(waiter, CallerAnswer::Pending(count));
    }

    /// Answers a request once the given version of the job is stored.
    fn wait_stored(&mut self, id: &JobId, version: u64, waiter: WaiterId, answer: CallerAnswer) {
        let waiting = self.store_waiters.entry(id.clone()).or_default();
        waiting.push((version, waiter, answer));
    }
}
