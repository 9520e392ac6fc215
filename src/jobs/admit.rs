//! Admission control: compares a job's projected completion time with its objective.
//!
//! A job that would certainly finish late only takes capacity from others, and its
//! caller benefits from an immediate refusal. No job is refused while the pool has
//! free capacity and a backlog of less than 1 ms of its capacity.

use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::load::PoolLoad;
use crate::jobs::place::step_need;
use crate::jobs::rate::BUCKET_MS;
use crate::jobs::types::JobSpec;

/// A submission is refused if its projected duration exceeds its objective by this
/// factor; estimates are off by up to half in either direction.
const REFUSE_FACTOR: f64 = 2.5;

/// Minimum and maximum retry delay sent to callers, in milliseconds. Callers give up
/// after seconds, so a longer delay would be useless to them.
const RETRY_MS: (u64, u64) = (300, 3000);

/// Retry delay sent for a job beyond the rate of its account, in milliseconds; the account's
/// bucket is full again after this time.
const RATE_RETRY_MS: u64 = BUCKET_MS;

impl JobEngine {
    /// Accepts or refuses a submission and records an accepted job's work as load.
    ///
    /// Jobs that are long-running or recurring are always accepted.
    ///
    /// # Errors
    ///
    /// Fails with the delay before the caller should retry, in milliseconds.
    pub(crate) fn admit(&mut self, submission: &Submission, now: u64) -> Result<(), u64> {
        let queue = self.config.queue(&submission.queue);
        let pool = queue.map_or(submission.pool.clone(), |queue| queue.pool.clone());
        let (slack, target_ms) = queue.map_or((1.0, 0), |queue| (queue.slack, queue.target_ms));
        let spec = &submission.spec;
        if spec.has_long_running_step() || spec.schedule.is_some() {
            return Ok(());
        }
        let load = self.pool_load(&pool);
        if submission.beyond_rate && !self.can_start_now(&pool, &load, spec) {
            log::info!(
                event = "job_refused", job = &*submission.id, reason = "beyond_rate",
                pool = pool.as_str(), capacity = load.capacity as u64, backlog = load.backlog as u64,
                retry_ms = RATE_RETRY_MS; ""
            );
            return Err(RATE_RETRY_MS);
        }
        let objective_ms = spec.critical_path_ms() as f64 * slack.max(1.0) + target_ms as f64;
        let verdict = check_objective(&load, spec, objective_ms);
        if let Err(retry_ms) = verdict {
            log::info!(
                event = "job_refused", job = &*submission.id, reason = "late",
                pool = pool.as_str(), capacity = load.capacity as u64, backlog = load.backlog as u64,
                objective_ms = objective_ms as u64, retry_ms = retry_ms; ""
            );
            return verdict;
        }
        let work = submission.spec.work();
        self.record_work(&submission.queue, work);
        self.record_arrival(&pool, work, now);
        if let Some(load) = self.loads.get_mut(&pool) {
            load.backlog += work as f64;
        }
        verdict
    }

    /// Returns whether a pool has free capacity for the widest step of a job and no other
    /// job waits for it.
    fn can_start_now(&self, pool: &str, load: &PoolLoad, spec: &JobSpec) -> bool {
        let widest = spec.steps.iter().map(|step| step_need(step).cpu).max();
        load.free >= widest.unwrap_or_default() as f64 && !self.waiting.is_pool_waiting(pool)
    }
}

/// Checks a job's projected duration at the current load of its pool.
///
/// # Errors
///
/// Fails with the delay before the caller should retry, in milliseconds.
pub fn check_objective(load: &PoolLoad, spec: &JobSpec, objective_ms: f64) -> Result<(), u64> {
    if load.capacity <= 0.0 || load.free > 0.0 && load.backlog < load.capacity {
        return Ok(());
    }
    let wait_ms = load.backlog / load.capacity;
    let projected_ms = wait_ms + spec.critical_path_ms() as f64;
    if projected_ms <= objective_ms * REFUSE_FACTOR {
        return Ok(());
    }
    let excess_ms = projected_ms - objective_ms;
    Err((excess_ms as u64).clamp(RETRY_MS.0, RETRY_MS.1))
}
