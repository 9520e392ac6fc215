//! Keeps large jobs from being refused or delayed more often than others.
//!
//! A large job needs much capacity and therefore displaces many others, although callers
//! expect a fair share of the large jobs of each queue to be served. The largest tenth of
//! a queue's jobs and the fifth below it are classes of their own. Submissions are counted
//! by class with decay; the jobs of a class that is served too rarely are accepted, and
//! placed before smaller ones.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::jobs::waiting::JobRank;

/// A class is underserved below this multiple of the rate at which the queue as a whole is
/// served. Callers require half; the rest is for jobs that are accepted but late.
const MIN_RELATIVE_RATE: f64 = 0.6;

/// Number of submissions that the counts cover: enough for 20 jobs of the largest tenth.
const COUNTED_JOBS: f64 = 200.0;

/// Number of recent sizes from which the limits of the classes are determined.
const KEPT_SIZES: usize = 128;

/// Number of submissions between two computations of the limits.
const LIMITS_PERIOD: usize = 16;

/// Minimum number of counted submissions of a class for it to be underserved, so that a
/// single refusal does not count as a rate.
const MIN_COUNT: f64 = 1.5;

/// Factor of the rank of jobs of an underserved class. A job of five times the mean work
/// then goes before new jobs of a quarter of it.
const PREFERRED_FACTOR: f64 = 0.25;

/// Returns the rank of a job, which is lower if its size class is underserved.
#[must_use]
pub fn preferred_rank(rank: JobRank, preferred: bool) -> JobRank {
    let factor = if preferred { PREFERRED_FACTOR } else { 1.0 };
    JobRank {
        work_per_value: rank.work_per_value * factor,
        ..rank
    }
}

/// Class of a job by its work among the jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// Seven tenths of the jobs.
    Common,
    /// The fifth below the largest tenth.
    Large,
    /// The largest tenth.
    Largest,
}

/// Sizes and decaying counts of a queue's submissions.
#[derive(Clone, Debug, Default)]
struct QueueSizes {
    recent: VecDeque<u64>,
    since_limits: usize,
    /// Work above which a job is in class `Large`, and in class `Largest`.
    limits: Option<(u64, u64)>,
    /// Submissions by class, without retries.
    offered: [f64; 3],
    /// Accepted submissions that are expected to complete in time, by class.
    served: [f64; 3],
    /// Work of the submissions in `offered`, in millicore-milliseconds.
    work: f64,
}

impl QueueSizes {
    fn class(&self, work: u64) -> SizeClass {
        match self.limits {
            Some((_, largest)) if work > largest => SizeClass::Largest,
            Some((large, _)) if work > large => SizeClass::Large,
            _ => SizeClass::Common,
        }
    }

    fn update_limits(&mut self) {
        self.since_limits = 0;
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        // The limit itself belongs to the lower class: jobs of one size form one class.
        let at = |tenths: usize| {
            let below = sorted.len() * tenths / 10;
            sorted.get(below.saturating_sub(1)).copied()
        };
        self.limits = at(7).zip(at(9));
    }
}

/// Submissions of all queues by size class.
#[derive(Clone, Debug, Default)]
pub struct SizeGuard {
    queues: HashMap<String, QueueSizes>,
}

impl SizeGuard {
    /// Counts a submission that is not a retry.
    pub fn record_offer(&mut self, queue: &str, work: u64) {
        let sizes = self.queues.entry(queue.to_owned()).or_default();
        sizes.recent.push_back(work);
        if sizes.recent.len() > KEPT_SIZES {
            sizes.recent.pop_front();
        }
        sizes.since_limits += 1;
        if sizes.limits.is_none() || sizes.since_limits >= LIMITS_PERIOD {
            sizes.update_limits();
        }
        let counts = sizes.offered.iter_mut().chain(&mut sizes.served);
        let counts = counts.chain(std::iter::once(&mut sizes.work));
        counts.for_each(|count| *count *= 1.0 - 1.0 / COUNTED_JOBS);
        sizes.work += work as f64;
        sizes.offered[sizes.class(work) as usize] += 1.0;
    }

    /// Returns the mean work of a queue's recent submissions, in millicore-milliseconds;
    /// none before the first one.
    #[must_use]
    pub fn mean_work(&self, queue: &str) -> Option<f64> {
        let sizes = self.queues.get(queue)?;
        let count: f64 = sizes.offered.iter().sum();
        (count > 0.0).then(|| sizes.work / count)
    }

    /// Counts an accepted submission, also if it is a retry, by the probability that it
    /// completes in time; once its outcome is known, counts the difference.
    pub fn record_served(&mut self, queue: &str, work: u64, change: f64) {
        if let Some(sizes) = self.queues.get_mut(queue) {
            sizes.served[sizes.class(work) as usize] += change;
        }
    }

    /// Returns whether the size class of a job is served too rarely.
    #[must_use]
    pub fn is_underserved(&self, queue: &str, work: u64) -> bool {
        let Some(sizes) = self.queues.get(queue) else {
            return false;
        };
        let class = sizes.class(work) as usize;
        let offered = sizes.offered[class];
        if class == SizeClass::Common as usize || offered < MIN_COUNT {
            return false;
        }
        let total = sizes.offered.iter().sum::<f64>().max(1.0);
        let rate = sizes.served.iter().sum::<f64>() / total;
        sizes.served[class] / offered < MIN_RELATIVE_RATE * rate
    }
}
