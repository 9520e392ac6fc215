//! Requests of callers: submissions, queries, cancellations and counts of pending jobs.

use crate::jobs::account::AccountName;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::job::JobEntry;
use crate::jobs::record::BodyRecord;
use crate::jobs::terms::JobTerms;
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
    /// configuration lacks the queue or is older.
    pub pool: String,
    /// Terms of the queue according to the receiving entry VM; none if that runs an earlier
    /// version of the program. Used like the pool.
    pub terms: Option<JobTerms>,
    /// Steps and schedule.
    pub spec: JobSpec,
    /// Client account of the caller; none if the queue needs no API key.
    pub account: Option<AccountName>,
    /// Whether the account exceeds its rate; the job is then accepted only into free
    /// capacity.
    pub beyond_rate: bool,
}

/// Which jobs a caller may read, cancel and submit again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerScope {
    /// Those of its account, and those without one.
    Account(AccountName),
    /// Those without an account: the caller's queue needs no API key.
    Anonymous,
    /// All: the entry VM that received the call knows no accounts, so that it could not
    /// check a key.
    Unrestricted,
}

impl CallerScope {
    /// Returns whether a job of `account` is in the scope.
    #[must_use]
    pub fn covers(&self, account: Option<&AccountName>) -> bool {
        match self {
            Self::Account(own) => account.is_none_or(|account| account == own),
            Self::Anonymous => account.is_none(),
            Self::Unrestricted => true,
        }
    }

    /// Returns the name of the caller's account for logs; empty if it has none.
    fn account(&self) -> &str {
        match self {
            Self::Account(account) => account,
            Self::Anonymous | Self::Unrestricted => "",
        }
    }
}

/// Returns whether a job belongs to an account that the caller has no access to, and logs
/// it if so.
fn is_foreign(id: &str, account: Option<&AccountName>, scope: &CallerScope) -> bool {
    let is_foreign = !scope.covers(account);
    if is_foreign {
        let owner = account.map_or("", |account| &**account);
        log::info!(event = "foreign_account", job = id, account = scope.account(), job_account = owner; "");
    }
    is_foreign
}

impl JobEngine {
    /// Returns which jobs a caller of a queue has access to, given its account.
    ///
    /// A call without an account on a queue that needs API keys comes from an entry VM of
    /// an earlier version or configuration.
    #[must_use]
    pub fn caller_scope(&self, queue: &str, account: Option<AccountName>) -> CallerScope {
        if let Some(account) = account {
            return CallerScope::Account(account);
        }
        let is_anonymous = self.config.queue(queue).is_none_or(|queue| queue.anonymous);
        if self.config.accounts.is_some() && is_anonymous {
            return CallerScope::Anonymous;
        }
        CallerScope::Unrestricted
    }

    /// Returns the account of a known job; none if it has none, or there is no such job.
    fn account_of(&self, id: &JobId) -> Option<&AccountName> {
        let ended = self.ended.get(id).and_then(|ended| ended.account.as_ref());
        ended.or_else(|| self.jobs.get(id)?.body.account.as_ref())
    }

    /// Handles a submission; it is accepted only once the job is stored.
    ///
    /// A repeated submission of the same job gets the same answer.
    pub fn submit(&mut self, mut submission: Submission, waiter: WaiterId, time: TimePair) {
        let id = submission.id.clone();
        let scope = self.caller_scope(&submission.queue, submission.account.clone());
        if is_foreign(&id, self.account_of(&id), &scope) {
            return self.answer(waiter, CallerAnswer::Conflict);
        }
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
        if let Some(step) = self.gang_beyond_limit(submission.account.as_ref(), &submission.spec) {
            let account = submission.account.as_deref().unwrap_or_default();
            log::info!(event = "job_invalid", job = &*id, account = account, step = step, fault = "gang_beyond_limit"; "");
            return self.answer(waiter, CallerAnswer::Invalid);
        }
        if let Some(since_ms) = self.store_down_since_ms {
            let down_ms = time.boot.saturating_sub(since_ms);
            log::info!(event = "job_refused", job = &*id, reason = "store_down", down_ms = down_ms; "");
            let retry_ms = STORE_RETRY_MS;
            return self.answer(waiter, CallerAnswer::Refused { retry_ms });
        }
        submission.beyond_rate = self.take_rate(&submission, time.boot);
        let admitted = match self.admit(&submission, time.boot) {
            Ok(admitted) => admitted,
            Err(retry_ms) => {
                self.give_back_rate(&submission);
                return self.answer(waiter, CallerAnswer::Refused { retry_ms });
            }
        };
        let is_beyond_rate = submission.beyond_rate;
        let body = self.accepted_body(submission, admitted.first_ms, time);
        let mut job = JobEntry::new(id.clone(), body, admitted.first_ms);
        job.beyond_rate = is_beyond_rate;
        job.preferred = admitted.preferred;
        job.expected_timely = admitted.expected_timely;
        job.open_due(time.boot, time.unix + self.settings.early_start_ms);
        self.jobs.insert(id.clone(), job);
        self.waiting.insert(&id);
        self.dirty.mark(&id, time.boot);
        self.wait_stored(&id, 1, waiter, CallerAnswer::Accepted);
    }

    /// Returns the body of an accepted job, which was first sent at `first_ms` on the boot clock.
    fn accepted_body(&self, submission: Submission, first_ms: u64, time: TimePair) -> BodyRecord {
        let terms = self.submission_terms(&submission);
        let version = terms.map_or(0, |terms| terms.version);
        if version > self.config.version {
            log::info!(
                event = "submission_ahead", job = &*submission.id, version = version,
                in_force = self.config.version; ""
            );
        }
        let pool = self.submission_pool(&submission).to_owned();
        BodyRecord {
            queue: submission.queue,
            pool,
            submitted_ms: time.unix - time.boot.saturating_sub(first_ms),
            spec: submission.spec,
            account: submission.account,
            terms,
        }
    }

    /// Answers with the state of a job; an end that is not stored yet counts as running.
    ///
    /// A job of another account is unknown to the caller.
    pub fn query(&mut self, id: &JobId, scope: &CallerScope, waiter: WaiterId) {
        let answer = if is_foreign(id, self.account_of(id), scope) {
            CallerAnswer::Unknown
        } else if let Some(ended) = self.ended.get(id) {
            CallerAnswer::State(ended.state)
        } else {
            match self.jobs.get(id) {
                None => CallerAnswer::Unknown,
                Some(job) if job.stored_version == 0 => CallerAnswer::Unknown,
                Some(job) if job.state.is_final() && !job.is_end_stored() => {
                    CallerAnswer::State(JobState::Running)
                }
                Some(job) => CallerAnswer::State(job.state),
            }
        };
        self.answer(waiter, answer);
    }

    /// Cancels a job; the answer follows once the cancellation is stored.
    ///
    /// A job of another account is unknown to the caller.
    pub fn cancel(&mut self, id: &JobId, scope: &CallerScope, waiter: WaiterId, now: u64) {
        if is_foreign(id, self.account_of(id), scope) {
            return self.answer(waiter, CallerAnswer::Unknown);
        }
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
