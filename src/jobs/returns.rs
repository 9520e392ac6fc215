//! Times at which refused callers should retry, and the jobs that were refused.
//!
//! The refused work of a pool is booked at half of the pool's capacity, one second after
//! the other, so that callers refused together return spread over the time in which
//! capacity is expected and the other half remains for new callers. Jobs that lose little
//! by a delay are booked later than others.
//!
//! Refused identifiers are kept for a while: a retry is judged from its first send.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::jobs::types::JobId;

/// Unit of the Retry-After header, in milliseconds.
const SECOND_MS: u64 = 1000;

/// Time from the first send after which a caller has given up, in milliseconds: it retries
/// up to 4 times and waits 3 s for each response.
pub const PATIENCE_MS: u64 = 12_000;

/// How long a refused identifier is kept from its first send on, in milliseconds: the
/// patience of a caller and the response to its last call.
const KEPT_MS: u64 = 15_000;

/// Maximum number of refused identifiers; bounds the memory, at about 100 bytes for each.
pub const MAX_REFUSED: usize = 4096;

/// Share of a pool's capacity at which refused work is booked.
const RETURN_SHARE: f64 = 0.5;

/// Weight of a refused job in the average utility per work, which covers about 20 jobs.
const DENSITY_WEIGHT: f64 = 0.05;

/// A refused job for which a time to retry is needed. Times are from now on, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReturnRequest {
    /// Work of the job, in millicore-milliseconds.
    pub work: f64,
    /// Utility of the job.
    pub utility: f64,
    /// When capacity for it is expected.
    pub room_ms: f64,
    /// Latest start with which it can complete within its objective.
    pub timely_ms: f64,
    /// Latest start with which its completion has any utility.
    pub useful_ms: f64,
    /// When the pool is expected to be free again.
    pub free_ms: f64,
    /// How much longer the caller retries.
    pub patience_ms: f64,
}

/// Booked returns of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReturnSchedule {
    /// Booked work, in millicore-milliseconds, by second of the boot clock.
    booked: BTreeMap<u64, f64>,
    /// Moving average of the utility per work of refused jobs.
    mean_density: f64,
}

impl ReturnSchedule {
    /// Books the return of a refused job at a pool of `capacity` millicores and returns
    /// the delay until then, a number of whole seconds, in milliseconds.
    pub fn book(&mut self, request: &ReturnRequest, capacity: f64, now: u64) -> u64 {
        self.booked = self.booked.split_off(&(now / SECOND_MS));
        let limit = (capacity * RETURN_SHARE).max(1.0) * SECOND_MS as f64;
        let seconds = |ms: f64| ms.max(0.0) / SECOND_MS as f64;
        let longest = PATIENCE_MS / SECOND_MS;
        let first = (seconds(request.room_ms).ceil() as u64).clamp(1, longest);
        let patience = seconds(request.patience_ms) as u64;
        let last = (seconds(request.useful_ms) as u64).min(patience);
        let share = self.delay_share(request.utility / request.work.max(1.0));
        let (first, target) = if first <= last {
            let timely = (seconds(request.timely_ms) as u64).clamp(first, last);
            let target = first + ((timely - first) as f64 * share).round() as u64;
            (first, target)
        } else {
            // Its utility is lost before capacity is expected, so only the load counts.
            let free = (seconds(request.free_ms).ceil() as u64).clamp(1, longest);
            (free, free)
        };
        let second = |delay: u64| now / SECOND_MS + delay;
        let used = |delay: u64| self.booked.get(&second(delay)).copied().unwrap_or(0.0);
        let fits = |delay: &u64| {
            let used = used(*delay);
            used <= 0.0 || used + request.work <= limit
        };
        // Where the useful times are booked up, a later one without use for the job is
        // better than a second burst.
        let useful = (target..=last).chain((first..target).rev());
        let chosen = useful.chain(target.max(last + 1)..=longest).find(fits);
        let least = (first..=longest).min_by(|one, other| used(*one).total_cmp(&used(*other)));
        let delay = chosen.or(least).unwrap_or(first);
        self.add_work(second(delay), request.work, limit);
        delay * SECOND_MS
    }

    /// Returns which part of the delay that a job can bear it is given: small for jobs
    /// with a high utility per work, compared with the jobs refused before.
    fn delay_share(&mut self, density: f64) -> f64 {
        if self.mean_density <= 0.0 {
            self.mean_density = density;
        }
        self.mean_density += (density - self.mean_density) * DENSITY_WEIGHT;
        let sum = self.mean_density + density;
        if sum > 0.0 {
            self.mean_density / sum
        } else {
            0.0
        }
    }

    /// Adds a job's work to a second. Work that exceeds a second's limit by itself is added
    /// to the following ones too, which it keeps the pool from serving.
    fn add_work(&mut self, second: u64, work: f64, limit: f64) {
        let mut rest = work;
        if work <= limit {
            *self.booked.entry(second).or_default() += work;
            return;
        }
        for at in second..=second + PATIENCE_MS / SECOND_MS {
            let used = self.booked.entry(at).or_default();
            let part = rest.min((limit - *used).max(0.0));
            *used += part;
            rest -= part;
            if rest <= 0.0 {
                return;
            }
        }
        *self.booked.entry(second).or_default() += rest;
    }
}

/// Identifiers of refused jobs with the time of their first send.
#[derive(Clone, Debug, Default)]
pub struct RefusedJobs {
    first_ms: HashMap<JobId, u64>,
    /// Times of the first refusals and identifiers, oldest first.
    order: VecDeque<(u64, JobId)>,
}

impl RefusedJobs {
    /// Returns when a job was first sent; none if it is not known to have been refused.
    #[must_use]
    pub fn first_send_ms(&self, id: &JobId, now: u64) -> Option<u64> {
        let first_ms = self.first_ms.get(id).copied()?;
        (now < first_ms + KEPT_MS).then_some(first_ms)
    }

    /// Records a refusal; the first one of a job determines its time.
    pub fn record(&mut self, id: &JobId, now: u64) {
        let known = self.first_send_ms(id, now).is_some();
        while let Some((at, oldest)) = self.order.front()
            && (at + KEPT_MS <= now || !known && self.order.len() >= MAX_REFUSED)
        {
            // An identifier that was accepted and refused anew has a later entry.
            if self.first_ms.get(oldest) == Some(at) {
                self.first_ms.remove(oldest);
            }
            self.order.pop_front();
        }
        if !known {
            self.first_ms.insert(id.clone(), now);
            self.order.push_back((now, id.clone()));
        }
    }

    /// Removes a job that was accepted.
    pub fn remove(&mut self, id: &JobId) {
        self.first_ms.remove(id);
    }

    /// Returns the number of kept identifiers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first_ms.len()
    }

    /// Returns whether no identifier is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.first_ms.is_empty()
    }
}
