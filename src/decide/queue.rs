//! The queue of one pool at one entry VM.
//!
//! Requests are ordered by class and, within a class, by deadline. A class that
//! has been passed over often enough goes next, so that none starves. The queue
//! estimates how long a request has to wait and how long it runs, and it books
//! times at which refused callers come back, spread at the pool's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decide::dispatch::SlotRequest;
use crate::decide::dispatch::TicketId;
use crate::request::RequestClass;

/// Most grants by which a waiting class is passed over.
pub const MAX_SKIPS: u32 = 15;
/// Deviations of the service time added to its mean on admission to the queue.
const ADMIT_DEVIATIONS: u32 = 4;
/// Deviations added when a waiting request is about to start.
const START_DEVIATIONS: u32 = 2;
/// Least share of a new sample in the averages of service times.
const MIN_SAMPLE_GAIN: f64 = 1.0 / 64.0;
/// Mean service time that is assumed before the first sample.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time after which a queue longer than one mean service time counts as standing.
const STANDING_LIMIT: Duration = Duration::from_millis(500);
/// Time between two booked returns, in times that the pool needs for one request.
///
/// New callers need the rest of the pool.
const RETURN_SPACING: u32 = 2;
/// Shortest time after which a refused caller is asked to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time over which the return of refused callers is spread.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

const CLASSES: usize = RequestClass::ALL.len();

/// Moving averages of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    mean: Duration,
    deviation: Duration,
    samples: u32,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self {
            mean: FIRST_SERVICE_TIME,
            deviation: Duration::ZERO,
            samples: 0,
        }
    }
}

impl ServiceEstimate {
    /// Takes a sample in; the first one replaces the assumption.
    pub fn add_sample(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let gain = MIN_SAMPLE_GAIN.max(1.0 / f64::from(self.samples));
        let distance = sample.abs_diff(self.mean);
        self.mean = self.mean.mul_f64(1.0 - gain) + sample.mul_f64(gain);
        if self.samples > 1 {
            self.deviation = self.deviation.mul_f64(1.0 - gain) + distance.mul_f64(gain);
        }
    }

    /// Returns the mean.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the time that almost all requests end within.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * ADMIT_DEVIATIONS
    }

    /// Returns the least time that a waiting request must have left to start.
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
    /// Most waiting requests.
    pub limit: usize,
    /// Service times of the pool.
    pub service: ServiceEstimate,
    classes: [BTreeMap<QueueKey, SlotRequest>; CLASSES],
    passed: [u32; CLASSES],
    standing_since: Option<Duration>,
    next_return: Duration,
}

impl PoolQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Tells whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Adds a request.
    pub fn push(&mut self, request: SlotRequest) {
        let class = request.class as usize;
        self.classes[class].insert(QueueKey::from(&request), request);
    }

    /// Removes a request; tells whether it was waiting.
    pub fn remove(&mut self, request: &SlotRequest) -> bool {
        let class = &mut self.classes[request.class as usize];
        class.remove(&QueueKey::from(request)).is_some()
    }

    /// Removes and returns the request that goes next.
    pub fn pop(&mut self) -> Option<SlotRequest> {
        let waits = |class: &usize| !self.classes[*class].is_empty();
        let mut starved = (0..CLASSES).filter(waits);
        let starved = starved.find(|class| self.passed[*class] >= MAX_SKIPS);
        let next = starved.or_else(|| (0..CLASSES).find(waits))?;
        self.passed[next] = 0;
        for lower in next + 1..CLASSES {
            self.passed[lower] += u32::from(!self.classes[lower].is_empty());
        }
        let (_, request) = self.classes[next].pop_first()?;
        if self.is_empty() {
            self.standing_since = None;
        }
        Some(request)
    }

    /// Removes a request that can no longer be met, if there is one.
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

    /// Removes the last request of the lowest class below `class`.
    pub fn pop_lower_class(&mut self, class: RequestClass) -> Option<SlotRequest> {
        let lower = self.classes[class as usize + 1..].iter_mut().rev();
        let mut lower = lower.filter_map(BTreeMap::pop_last);
        lower.next().map(|(_, request)| request)
    }

    /// Removes any request, if there is one.
    pub fn pop_any(&mut self) -> Option<SlotRequest> {
        let mut classes = self.classes.iter_mut().filter_map(BTreeMap::pop_first);
        classes.next().map(|(_, request)| request)
    }

    /// Estimates how long a request would wait if all slots are in use.
    ///
    /// The requests behind it in its class are counted, not those before it: most
    /// arrivals have the latest deadline so far, which makes this cheap.
    #[must_use]
    pub fn estimate_wait(&self, request: &SlotRequest, slots: u32) -> Duration {
        let class = request.class as usize;
        let higher: usize = self.classes[..class].iter().map(BTreeMap::len).sum();
        let own = &self.classes[class];
        let behind = own.range(QueueKey::from(request)..).count();
        let before = higher + own.len() - behind;
        self.drain_time(before as u32 + 1, slots)
    }

    /// Tells whether it is so long ago that the queue became longer than one mean
    /// service time, without having been empty since, that requests which would
    /// lengthen it are refused.
    pub fn is_standing(&mut self, now: Duration, slots: u32) -> bool {
        let backlog = self.drain_time(self.len() as u32, slots);
        if backlog > self.service.mean() {
            self.standing_since.get_or_insert(now);
        }
        let since = self.standing_since.unwrap_or(now);
        now.saturating_sub(since) >= STANDING_LIMIT
    }

    /// Books the time at which a refused caller comes back; returns the time until then.
    ///
    /// Each booking takes the pool's time for one request, so that the callers
    /// come back at the rate at which the pool can serve them.
    pub fn schedule_retry(&mut self, now: Duration, wait: Duration, slots: u32) -> Duration {
        let earliest = now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let mut time = self.next_return.max(earliest);
        if time > now + MAX_RETRY_AFTER {
            time = earliest;
        }
        self.next_return = time + self.drain_time(1, slots) * RETURN_SPACING;
        time - now
    }

    fn drain_time(&self, requests: u32, slots: u32) -> Duration {
        self.service.mean() * requests / slots.max(1)
    }
}
