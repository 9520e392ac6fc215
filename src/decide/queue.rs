//! The queue of one pool at one entry VM.
//!
//! Requests are ordered by class and, within a class, by deadline. A class that has
//! been skipped [`MAX_SKIPS`] times goes next, so that none starves. The queue
//! estimates how long a request will wait and run. It also schedules the retries of
//! refused callers, spread over time at a rate that the pool can serve.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decide::dispatch::SlotRequest;
use crate::decide::dispatch::TicketId;
use crate::request::RequestClass;

/// Number of grants to higher classes after which a waiting class goes next.
pub const MAX_SKIPS: u32 = 15;
/// Deviations added to the mean service time in the deadline check on admission.
const ADMIT_DEVIATIONS: u32 = 4;
/// Deviations added to the mean service time in the deadline check before a start.
const START_DEVIATIONS: u32 = 2;
/// Minimum weight of a new sample in the moving averages of service times.
const MIN_SAMPLE_GAIN: f64 = 1.0 / 64.0;
/// Mean service time that is assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after which a queue whose wait exceeded one mean service time, and which has
/// not been empty since, counts as a standing queue.
const STANDING_LIMIT: Duration = Duration::from_millis(500);
/// Time between two scheduled retries, in multiples of the pool's time per request.
///
/// At 2, half of the pool's capacity is left for new callers.
const RETRY_SPACING: u32 = 2;
/// Minimum time after which a refused caller is asked to retry.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum time over which the retries of refused callers are spread.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

const CLASSES: usize = RequestClass::ALL.len();

/// Moving averages of a pool's service time and of its absolute deviation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    mean: Duration,
    deviation: Duration,
    samples: u32,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self {
            mean: INITIAL_SERVICE_TIME,
            deviation: Duration::ZERO,
            samples: 0,
        }
    }
}

impl ServiceEstimate {
    /// Adds a measured service time; the first one replaces the assumed mean.
    pub fn add_sample(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = MIN_SAMPLE_GAIN.max(1.0 / f64::from(self.samples));
        let distance = sample.abs_diff(self.mean);
        self.mean = self.mean.mul_f64(1.0 - gain) + sample.mul_f64(gain);
        if self.samples > 1 {
            self.deviation = self.deviation.mul_f64(1.0 - gain) + distance.mul_f64(gain);
        }
    }

    /// Returns the moving average of the service time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns a service time that almost no request exceeds.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * ADMIT_DEVIATIONS
    }

    /// Returns the minimum time before its deadline at which a waiting request is
    /// still started.
    #[must_use]
    pub fn min_time_left(&self) -> Duration {
        self.mean + self.deviation * START_DEVIATIONS
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    deadline: Duration,
    ticket: TicketId,
}

impl From<&SlotRequest> for QueueKey {
    fn from(request: &SlotRequest) -> Self {
        Self {
            deadline: request.deadline,
            ticket: request.ticket,
        }
    }
}

/// Waiting requests of one pool.
#[derive(Debug, Default)]
pub struct PoolQueue {
    /// Maximum number of waiting requests.
    pub limit: usize,
    /// Estimate of the pool's service time.
    pub service: ServiceEstimate,
    classes: [BTreeMap<QueueKey, SlotRequest>; CLASSES],
    /// Grants to higher classes while this class was waiting, since its last grant.
    skips: [u32; CLASSES],
    /// When the queue exceeded one mean service time, if it has not been empty since.
    standing_since: Option<Duration>,
    /// Earliest time of the next scheduled retry.
    next_retry: Duration,
}

impl PoolQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Adds a request, without regard to the limit.
    pub fn push(&mut self, request: SlotRequest) {
        let class = request.class as usize;
        self.classes[class].insert(QueueKey::from(&request), request);
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, request: &SlotRequest) -> bool {
        let class = &mut self.classes[request.class as usize];
        class.remove(&QueueKey::from(request)).is_some()
    }

    /// Removes and returns the request that goes next.
    pub fn pop(&mut self) -> Option<SlotRequest> {
        let waits = |class: &usize| !self.classes[*class].is_empty();
        let mut starved = (0..CLASSES).filter(waits);
        let starved = starved.find(|class| self.skips[*class] >= MAX_SKIPS);
        let next = starved.or_else(|| (0..CLASSES).find(waits))?;
        self.skips[next] = 0;
        for lower in next + 1..CLASSES {
            self.skips[lower] += u32::from(!self.classes[lower].is_empty());
        }
        let (_, request) = self.classes[next].pop_first()?;
        if self.is_empty() {
            self.standing_since = None;
        }
        Some(request)
    }

    /// Removes and returns a request that can no longer meet its deadline, if any.
    pub fn pop_expired(&mut self, now: Duration) -> Option<SlotRequest> {
        let latest = now + self.service.min_time_left();
        for class in &mut self.classes {
            let first = class.first_entry();
            if let Some(first) = first.filter(|first| first.key().deadline < latest) {
                return Some(first.remove());
            }
        }
        None
    }

    /// Removes and returns the request with the latest deadline of the lowest class
    /// that is below `class`, if any.
    pub fn pop_lower_class(&mut self, class: RequestClass) -> Option<SlotRequest> {
        let lower = self.classes[class as usize + 1..].iter_mut().rev();
        let mut lower = lower.filter_map(BTreeMap::pop_last);
        lower.next().map(|(_, request)| request)
    }

    /// Removes and returns some request, if the queue is not empty.
    pub fn pop_any(&mut self) -> Option<SlotRequest> {
        let mut classes = self.classes.iter_mut().filter_map(BTreeMap::pop_first);
        classes.next().map(|(_, request)| request)
    }

    /// Estimates how long a request would wait if all slots are in use.
    ///
    /// It iterates over the requests behind this one in its class rather than those
    /// before it. Most arrivals have the latest deadline so far, so there are few.
    #[must_use]
    pub fn estimate_wait(&self, request: &SlotRequest, slots: u32) -> Duration {
        let class = request.class as usize;
        let higher: usize = self.classes[..class].iter().map(BTreeMap::len).sum();
        let own = &self.classes[class];
        let behind = own.range(QueueKey::from(request)..).count();
        let before = higher + own.len() - behind;
        self.drain_time(before as u32 + 1, slots)
    }

    /// Returns whether the queue is a standing queue; requests that would make it
    /// longer are then refused.
    ///
    /// The wait in a standing queue exceeded one mean service time at least
    /// `STANDING_LIMIT` ago, and the queue has not been empty since.
    pub fn is_standing(&mut self, now: Duration, slots: u32) -> bool {
        let backlog = self.drain_time(self.len() as u32, slots);
        if backlog > self.service.mean() {
            self.standing_since.get_or_insert(now);
        }
        let since = self.standing_since.unwrap_or(now);
        now.saturating_sub(since) >= STANDING_LIMIT
    }

    /// Schedules the retry of a refused caller; returns the time from now until then.
    ///
    /// That is at least `wait`, but always between [`MIN_RETRY_AFTER`] and
    /// [`MAX_RETRY_AFTER`]. Retries are spaced by a multiple of the pool's time per
    /// request, so that refused callers do not retry faster than the pool can serve
    /// them. A retry that would be later than [`MAX_RETRY_AFTER`] starts the schedule
    /// anew at the earliest time.
    pub fn schedule_retry(&mut self, now: Duration, wait: Duration, slots: u32) -> Duration {
        let earliest = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let mut time = self.next_retry.max(earliest);
        if time > now + MAX_RETRY_AFTER {
            time = earliest;
        }
        self.next_retry = time + self.drain_time(1, slots) * RETRY_SPACING;
        time - now
    }

    /// Returns the time in which the pool serves a number of requests.
    fn drain_time(&self, requests: u32, slots: u32) -> Duration {
        self.service.mean() * requests / slots.max(1)
    }
}
