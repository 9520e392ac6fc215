//! What a job was accepted under, which stays with it when its queue is changed or removed.
//!
//! The terms are stored with the body, and so is the version of the configuration that they are
//! from. The entry VM that receives a submission may have a newer configuration than the owner,
//! and so may the owner that accepted a job and its successor. The newer one decides: what an
//! older configuration says of the queue, or that it lacks it, does not apply to the job. A job
//! that an earlier version of the program has accepted takes the terms of its queue as soon as a
//! configuration has it; without any, the strictest apply.

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::callers::Submission;
use crate::jobs::codec::EncodeError;
use crate::jobs::codec::RecordError;
use crate::jobs::codec::decode_with;
use crate::jobs::codec::encode_with;
use crate::jobs::config::AdviceTiming;
use crate::jobs::config::JobConfig;
use crate::jobs::config::QueueConfig;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::types::TaskId;

/// Number of removed queues whose terms are kept for submissions that are still on their way.
const MAX_FORMER_QUEUES: usize = 1024;

/// Terms of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobTerms {
    /// Version of the configuration that they are from; 0 if it is not known.
    pub version: u64,
    /// Number of failed runs of a task after which the job fails; at least 1.
    pub attempts: u32,
    /// Priority; tasks of jobs with lower values are placed first.
    pub priority: u32,
    /// Factor of the job's critical path in its objective; at least 1.
    pub slack: f64,
    /// Constant part of the job's objective, in milliseconds.
    pub target_ms: u64,
    /// Advice service that must allow each placement; none if no advice is needed.
    pub advice: Option<AdviceTiming>,
}

impl Default for JobTerms {
    /// Returns the strictest terms: one attempt, and no precedence over other jobs.
    fn default() -> Self {
        Self {
            version: 0,
            attempts: 1,
            priority: u32::MAX,
            slack: 1.0,
            target_ms: 0,
            advice: None,
        }
    }
}

impl From<&QueueConfig> for JobTerms {
    fn from(queue: &QueueConfig) -> Self {
        Self {
            version: 0,
            attempts: queue.attempts.max(1),
            priority: queue.priority,
            slack: queue.slack.max(1.0),
            target_ms: queue.target_ms,
            advice: queue.advice,
        }
    }
}

/// Stored form of the terms, encoded after a job's body.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TermsRecord {
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Priority; the lowest value is placed first.
    pub priority: u32,
    /// Factor of the job's critical path in its objective.
    pub slack: f64,
    /// Constant part of the job's objective, in milliseconds.
    pub target_ms: u64,
    /// Response times and ticket validity of the advice service; none if no advice is needed.
    pub advice: Option<AdviceTiming>,
}

impl From<JobTerms> for TermsRecord {
    fn from(terms: JobTerms) -> Self {
        Self {
            attempts: terms.attempts,
            priority: terms.priority,
            slack: terms.slack,
            target_ms: terms.target_ms,
            advice: terms.advice,
        }
    }
}

/// Field of the terms that is encoded after a [`TermsRecord`], which earlier versions of the
/// program read without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TermsOrigin {
    /// Version of the configuration that the terms are from.
    pub version: u64,
}

impl From<TermsRecord> for JobTerms {
    fn from(record: TermsRecord) -> Self {
        Self {
            version: 0,
            attempts: record.attempts.max(1),
            priority: record.priority,
            slack: record.slack,
            target_ms: record.target_ms,
            advice: record.advice,
        }
    }
}

/// Encodes terms, which follow another record.
///
/// # Errors
///
/// Fails if the encoder fails.
pub fn encode_terms(terms: JobTerms) -> Result<Vec<u8>, EncodeError> {
    let origin = TermsOrigin {
        version: terms.version,
    };
    encode_with(&TermsRecord::from(terms), &origin)
}

/// Decodes the terms that follow the record under `key`; none if nothing does.
///
/// # Errors
///
/// Fails if `bytes` is neither empty nor encoded terms.
pub fn decode_terms(key: &str, bytes: &[u8]) -> Result<Option<JobTerms>, RecordError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let (record, origin): (TermsRecord, Option<TermsOrigin>) = decode_with(key, bytes)?;
    Ok(Some(JobTerms {
        version: origin.unwrap_or_default().version,
        ..record.into()
    }))
}

impl JobTerms {
    /// Returns the terms of a queue of a configuration; none if it lacks the queue.
    #[must_use]
    pub fn of_queue(config: &JobConfig, queue: &str) -> Option<Self> {
        let queue = config.queue(queue)?;
        Some(Self {
            version: config.version,
            ..Self::from(queue)
        })
    }
}

impl JobEngine {
    /// Returns the terms of a queue in the current configuration, or in the last one that had it.
    fn queue_terms(&self, queue: &str) -> Option<JobTerms> {
        let current = JobTerms::of_queue(&self.config, queue);
        current.or_else(|| self.former_terms.get(queue).copied())
    }

    /// Returns the terms that a submission is accepted under: those of this owner or those that
    /// the receiving entry VM sent along, whichever are of the newer configuration.
    pub(crate) fn submission_terms(&self, submission: &Submission) -> Option<JobTerms> {
        let own = self.queue_terms(&submission.queue);
        let known = [submission.terms, own].into_iter().flatten();
        known.max_by_key(|terms| terms.version)
    }

    /// Returns the pool of a submission in the newer of the two configurations.
    pub(crate) fn submission_pool<'a>(&'a self, submission: &'a Submission) -> &'a str {
        let received = submission.terms.map_or(0, |terms| terms.version);
        let queue = self.config.queue(&submission.queue);
        let queue = queue.filter(|_| received <= self.config.version);
        queue.map_or(submission.pool.as_str(), |queue| queue.pool.as_str())
    }

    /// Gives a job of an earlier version of the program the terms of its queue, if they are known.
    pub(crate) fn complete_terms(&self, terms: Option<JobTerms>, queue: &str) -> Option<JobTerms> {
        terms.or_else(|| self.queue_terms(queue))
    }

    /// Returns the terms under which a job was accepted.
    pub(crate) fn terms(&self, job: &JobEntry) -> JobTerms {
        self.complete_terms(job.body.terms, &job.body.queue)
            .unwrap_or_default()
    }

    /// Returns the number of failed runs of a task after which its job fails: that at acceptance,
    /// or a lower one of the current configuration.
    pub(crate) fn max_attempts(&self, task: &TaskId) -> u32 {
        let Some(job) = self.jobs.get(&task.job) else {
            return JobTerms::default().attempts;
        };
        let accepted = self.terms(job).attempts;
        let current = self.queue_of(job).map(|queue| queue.attempts.max(1));
        current.map_or(accepted, |current| current.min(accepted))
    }

    /// Returns the advice service that must allow each placement of a job: that of its queue, or
    /// that at acceptance if the queue no longer exists.
    pub(crate) fn advice_of(&self, job: &JobEntry) -> Option<AdviceTiming> {
        let queue = self.queue_of(job);
        queue.map_or_else(|| self.terms(job).advice, |queue| queue.advice)
    }

    /// Keeps the terms of the queues that a new configuration may lack, and gives the jobs
    /// without any those of their queue.
    pub(crate) fn keep_terms(&mut self) {
        if self.former_terms.len() > self.config.queues.len() + MAX_FORMER_QUEUES {
            self.former_terms.clear();
        }
        let version = self.config.version;
        let queues = self.config.queues.iter();
        let terms = queues.map(|queue| {
            let terms = JobTerms::from(queue);
            (queue.name.clone(), JobTerms { version, ..terms })
        });
        self.former_terms.extend(terms);
        let unknown = self.jobs.values().filter(|job| job.body.terms.is_none());
        let unknown = unknown.filter_map(|job| {
            let terms = self.former_terms.get(&job.body.queue)?;
            Some((job.id.clone(), *terms))
        });
        let unknown: Vec<_> = unknown.collect();
        for (id, terms) in unknown {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.body.terms = Some(terms);
            }
        }
    }
}
