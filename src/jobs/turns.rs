//! Turns of a pool: periodic peaks of its arriving work, and their forecast.
//!
//! Accepted work is summed up in steps of 250 ms over the last minute. Once a second the
//! autocorrelation of the steps is searched for a period. While one is clear, the arrival
//! rate at a time ahead is the average at the same phase of the last periods. A forecast
//! that arrivals contradict is dropped for one period.

use std::collections::VecDeque;

use crate::jobs::period::AVERAGED_PERIODS;
pub use crate::jobs::period::TurnPattern;
use crate::jobs::period::find_period;

/// Duration of a step, in milliseconds.
pub const STEP_MS: u64 = 250;

/// Number of steps that are kept; two of the longest periods.
const HISTORY_STEPS: usize = 240;

/// Number of steps before and after a step with which its rate is averaged. Single jobs
/// are large compared with the work of a step; with five steps, one job a second already
/// counts as a constant rate.
const SMOOTHED_STEPS: u64 = 2;

/// Time between two searches for a period, in milliseconds.
const SEARCH_MS: u64 = 1000;

/// Number of steps in which arrivals must contradict a forecast: one second.
const CONTRADICTION_STEPS: u64 = 4;

/// Number of steps by which a turn may be early or late without a contradiction.
const DEVIATION_STEPS: u64 = 2;

impl TurnPattern {
    /// Returns the duration of the period, in milliseconds.
    #[must_use]
    pub fn period_ms(&self) -> u64 {
        self.period_steps as u64 * STEP_MS
    }
}

/// What an update of a tracker has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TurnChange {
    /// A period was found, or one that differs by more than a step.
    Learned(TurnPattern),
    /// The period is no longer clear.
    Faded(TurnPattern),
    /// Arrivals contradict the forecast.
    Contradicted(TurnPattern),
}

/// Arrivals of a pool in steps, and their period. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct TurnTracker {
    /// Work accepted in each step, in millicore-milliseconds; the last step is in progress.
    steps: VecDeque<f64>,
    /// Number of the last step since time 0.
    last_step: u64,
    pattern: Option<TurnPattern>,
    searched_ms: Option<u64>,
    /// Step in which the forecast was last checked.
    checked_step: u64,
    /// Period that was contradicted, and until when it is not considered.
    rejected: Option<(usize, u64)>,
    /// When the period in force was learned.
    learned_ms: u64,
    /// Number of consecutive forecasts that were contradicted before a turn came as expected.
    misses: u32,
    /// Until when no period is searched.
    paused_until_ms: u64,
}

impl TurnTracker {
    /// Adds accepted work, in millicore-milliseconds.
    pub fn record(&mut self, work: u64, now: u64) {
        self.advance(now);
        if let Some(step) = self.steps.back_mut() {
            *step += work as f64;
        }
    }

    /// Returns the clear period, if there is one.
    #[must_use]
    pub fn pattern(&self) -> Option<TurnPattern> {
        self.pattern
    }

    /// Checks the forecast against the arrivals, and searches for a period if that is due.
    pub fn update(&mut self, now: u64) -> Option<TurnChange> {
        if self.steps.is_empty() {
            return None;
        }
        self.advance(now);
        if self.checked_step == self.last_step {
            return None;
        }
        self.checked_step = self.last_step;
        if let Some(pattern) = self.pattern
            && self.is_contradicted(pattern)
        {
            self.pattern = None;
            self.rejected = Some((pattern.period_steps, now + pattern.period_ms()));
            self.record_miss(pattern, now);
            return Some(TurnChange::Contradicted(pattern));
        }
        let is_due = self.searched_ms.is_none_or(|at| now >= at + SEARCH_MS);
        if !is_due || now < self.paused_until_ms {
            return None;
        }
        self.searched_ms = Some(now);
        self.rejected = self.rejected.filter(|(_, until)| now < *until);
        let found = self.find_pattern();
        let before = std::mem::replace(&mut self.pattern, found);
        match (before, found) {
            (Some(before), None) => Some(TurnChange::Faded(before)),
            (Some(before), Some(found))
                if found.period_steps.abs_diff(before.period_steps) <= 1 =>
            {
                None
            }
            (_, Some(found)) => {
                self.learned_ms = now;
                Some(TurnChange::Learned(found))
            }
            (None, None) => None,
        }
    }

    /// Returns the expected arrival rate at a time ahead, in millicores; none without a
    /// clear period.
    #[must_use]
    pub fn forecast(&self, at: u64) -> Option<f64> {
        let pattern = self.pattern?;
        self.expected(pattern, at / STEP_MS)
    }

    /// Returns the highest expected arrival rate from `from` to `until`, in millicores; none
    /// without a clear period. The smoothed rate reaches its full value later than the rate
    /// itself, which is made up for.
    #[must_use]
    pub fn highest_forecast(&self, from: u64, until: u64) -> Option<f64> {
        let pattern = self.pattern?;
        let steps = from / STEP_MS..=until / STEP_MS + SMOOTHED_STEPS;
        let rates = steps.filter_map(|step| self.expected(pattern, step));
        rates.reduce(f64::max)
    }

    /// Returns the highest arrival rate of the last `window_ms`, in millicores.
    #[must_use]
    pub fn highest_rate(&self, window_ms: u64, now: u64) -> f64 {
        let oldest = (self.last_step + 1).saturating_sub(self.steps.len() as u64);
        let first = (now.saturating_sub(window_ms) / STEP_MS).max(oldest);
        (first..=self.last_step)
            .filter_map(|step| self.smoothed(step))
            .fold(0.0, f64::max)
    }

    /// Returns when the next turn is expected to begin: when the forecast first rises to
    /// half of the peak.
    #[must_use]
    pub fn next_turn_ms(&self, now: u64) -> Option<u64> {
        let pattern = self.pattern?;
        let is_high = |step| {
            let rate = self.expected(pattern, step);
            rate.is_some_and(|rate| rate >= pattern.peak / 2.0)
        };
        let first = now / STEP_MS + 1;
        let steps = first..=first + pattern.period_steps as u64;
        let mut steps = steps.skip_while(|step| is_high(*step));
        steps.find(|step| is_high(*step)).map(|step| step * STEP_MS)
    }

    /// Appends empty steps up to the one at `now`.
    fn advance(&mut self, now: u64) {
        let step = now / STEP_MS;
        let missing = step.saturating_sub(self.last_step);
        if self.steps.is_empty() || missing > HISTORY_STEPS as u64 {
            self.steps.clear();
            self.steps.push_back(0.0);
        } else {
            self.steps.extend((0..missing).map(|_| 0.0));
        }
        self.last_step = self.last_step.max(step);
        while self.steps.len() > HISTORY_STEPS + 1 {
            self.steps.pop_front();
        }
    }

    /// Returns the work of a complete step.
    fn work(&self, step: u64) -> Option<f64> {
        let back = self.last_step.checked_sub(step).filter(|back| *back > 0)? as usize;
        let at = (self.steps.len() - 1).checked_sub(back)?;
        self.steps.get(at).copied()
    }

    /// Returns the rate around a complete step, in millicores.
    fn smoothed(&self, step: u64) -> Option<f64> {
        let own = self.work(step)?;
        let (mut sum, mut count) = (own, 1.0);
        for distance in 1..=SMOOTHED_STEPS {
            let neighbours = [step.checked_sub(distance), Some(step + distance)];
            for neighbour in neighbours.into_iter().flatten() {
                if let Some(work) = self.work(neighbour) {
                    sum += work;
                    count += 1.0;
                }
            }
        }
        Some(sum / count / STEP_MS as f64)
    }

    /// Returns the average rate at the same phase of the last periods before the current
    /// step; none if there is none.
    fn expected(&self, pattern: TurnPattern, step: u64) -> Option<f64> {
        let period = pattern.period_steps as u64;
        let ahead = (step + 1).saturating_sub(self.last_step);
        let skipped = ahead.div_ceil(period).max(1);
        let rates = (skipped..skipped + AVERAGED_PERIODS as u64)
            .filter_map(|count| self.smoothed(step.checked_sub(count * period)?));
        let rates: Vec<f64> = rates.collect();
        let count = rates.len();
        (count > 0).then(|| rates.iter().sum::<f64>() / count as f64)
    }

    /// Returns whether the arrivals of the last second were missing in a turn, or were a
    /// turn at another time. More work than expected within a turn is no contradiction: the
    /// time of the turn is right.
    fn is_contradicted(&self, pattern: TurnPattern) -> bool {
        let first = self.last_step.saturating_sub(CONTRADICTION_STEPS);
        let mean = |rates: Vec<f64>| rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let works = (first..self.last_step).filter_map(|step| self.work(step));
        let arrived = mean(works.collect()) / STEP_MS as f64;
        let (mut lowest, mut highest) = (f64::MAX, 0.0_f64);
        for begin in first.saturating_sub(DEVIATION_STEPS)..=first + DEVIATION_STEPS {
            let steps = begin..begin + CONTRADICTION_STEPS;
            let rates = steps.filter_map(|step| self.expected(pattern, step));
            let expected = mean(rates.collect());
            lowest = lowest.min(expected);
            highest = highest.max(expected);
        }
        let tolerance = pattern.peak / 2.0;
        let is_missing = arrived < lowest - tolerance;
        let is_unexpected = arrived > highest + tolerance && highest < tolerance;
        is_missing || is_unexpected
    }

    /// Pauses the search after forecasts that were contradicted one after another: such
    /// arrivals only look periodic. The first contradiction has no pause, as a period that
    /// changes is to be learned anew.
    fn record_miss(&mut self, pattern: TurnPattern, now: u64) {
        let has_held = now >= self.learned_ms + pattern.period_ms();
        self.misses = if has_held { 1 } else { self.misses + 1 };
        let pause_ms = pattern.period_ms() * u64::from(self.misses - 1);
        self.paused_until_ms = now + pause_ms;
    }

    fn is_rejected(&self, period: usize) -> bool {
        let rejected = self.rejected;
        rejected.is_some_and(|(other, _)| period.abs_diff(other) <= DEVIATION_STEPS as usize)
    }

    /// Searches for a clear period in the complete steps.
    fn find_pattern(&self) -> Option<TurnPattern> {
        let first = self.last_step + 1 - self.steps.len() as u64;
        let rates = (first..self.last_step).filter_map(|step| self.smoothed(step));
        // Before the first work there is nothing that could repeat.
        let rates: Vec<f64> = rates.skip_while(|rate| *rate <= 0.0).collect();
        let known = self.pattern.map(|pattern| pattern.period_steps);
        find_period(&rates, known, |period| self.is_rejected(period))
    }
}
