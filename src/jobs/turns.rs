//! Turns of a pool: periodic peaks of its arriving work, and their forecast.
//!
//! Accepted work is summed up in steps of 250 ms over the last minute. Once a second the
//! autocorrelation of the steps is searched for a period. While one is clear, the arrival
//! rate at a time ahead is the average at the same phase of the last periods. A forecast
//! that arrivals contradict is dropped for one period.

use std::collections::VecDeque;

/// Duration of a step, in milliseconds.
pub const STEP_MS: u64 = 250;

/// Number of steps that are kept; two of the longest periods.
const HISTORY_STEPS: usize = 240;

/// Shortest and longest period, in steps: 2 to 30 seconds. A shorter one is of the order
/// of a move, and of a longer one less than two would be kept.
const PERIOD_STEPS: (usize, usize) = (8, 120);

/// Number of last periods that are compared, so that a period that has changed is found
/// within three of the new ones.
const COMPARED_PERIODS: usize = 3;

/// Number of last periods whose average is the forecast. With each one further back, the
/// error of the period counts once more.
const AVERAGED_PERIODS: usize = 2;

/// Minimum correlation of a clear period. Turns of a fifth of the period that begin a third
/// of their duration early or late correlate at (2/3 - 1/5) / (1 - 1/5) = 0.58; with
/// larger deviations VMs would be at the wrong pool for much of a turn.
const MIN_CORRELATION: f64 = 0.6;

/// Difference in correlation within which the shorter of two periods is taken: multiples
/// of a period correlate as well as the period itself.
const MULTIPLE_MARGIN: f64 = 0.1;

/// Minimum ratio of one period's highest rate to that of another: bursts raise a turn to up
/// to 2.6 times its usual rate.
const MIN_TURN_RATIO: f64 = 1.0 / 3.0;

/// Number of steps before and after a step with which its rate is averaged. Single jobs
/// are large compared with the work of a step; with five steps, one job a second already
/// counts as a constant rate.
const SMOOTHED_STEPS: u64 = 2;

/// Minimum ratio of the highest to the mean rate of a turn. Below it, a pool's VMs are used
/// in most of the period, and it has none to lend between its turns.
const MIN_CONTRAST: f64 = 2.0;

/// Time between two searches for a period, in milliseconds.
const SEARCH_MS: u64 = 1000;

/// Number of steps in which arrivals must contradict a forecast: one second.
const CONTRADICTION_STEPS: u64 = 4;

/// Number of steps by which a turn may be early or late without a contradiction.
const DEVIATION_STEPS: u64 = 2;

/// A clear period of a pool's arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnPattern {
    /// Duration of the period, in steps.
    pub period_steps: usize,
    /// Correlation of the last periods with each other.
    pub correlation: f64,
    /// Highest rate of the average of the last periods, in millicores.
    pub peak: f64,
}

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
            return Some(TurnChange::Contradicted(pattern));
        }
        let is_due = self.searched_ms.is_none_or(|at| now >= at + SEARCH_MS);
        if !is_due {
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
            (_, Some(found)) => Some(TurnChange::Learned(found)),
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
        let first = now.saturating_sub(window_ms) / STEP_MS;
        let steps = first..=now / STEP_MS;
        steps
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

    fn is_rejected(&self, period: usize) -> bool {
        let rejected = self.rejected;
        rejected.is_some_and(|(other, _)| period.abs_diff(other) <= DEVIATION_STEPS as usize)
    }

    /// Searches for the period with the highest correlation, or the shortest of about the
    /// same.
    fn find_pattern(&self) -> Option<TurnPattern> {
        let first = self.last_step + 1 - self.steps.len() as u64;
        let rates = (first..self.last_step).filter_map(|step| self.smoothed(step));
        // Before the first work there is nothing that could repeat.
        let rates: Vec<f64> = rates.skip_while(|rate| *rate <= 0.0).collect();
        // Square roots, so that a burst in one turn does not outweigh the others.
        let roots: Vec<f64> = rates.iter().map(|rate| rate.sqrt()).collect();
        let (shortest, longest) = PERIOD_STEPS;
        let correlations: Vec<Option<f64>> = (shortest - 1..=longest + 1)
            .map(|period| lowest_correlation(&roots, period))
            .collect();
        // A maximum needs both neighbours: at the longest period that can be judged yet, the
        // correlation may still rise.
        let highs = correlations.windows(3).enumerate();
        let highs = highs.filter_map(|(at, near)| {
            let (before, own, after) = (near[0]?, near[1]?, near[2]?);
            let is_high = own >= MIN_CORRELATION && own >= before && own >= after;
            let is_high = is_high && !self.is_rejected(at + shortest);
            is_high.then_some((at + shortest, own))
        });
        let highs: Vec<(usize, f64)> = highs.collect();
        // A known period is kept while it is about as clear: a turn that has just begun, or
        // is late, would shift the estimate.
        let known = self.pattern.and_then(|known| {
            let last = last_periods(&roots, known.period_steps, COMPARED_PERIODS);
            let value = correlation(last, known.period_steps)?;
            (value >= MIN_CORRELATION).then_some((known.period_steps, value))
        });
        let found = known.iter().chain(&highs);
        let best = found.clone().map(|(_, value)| *value).reduce(f64::max)?;
        let mut found = found.filter(|(_, value)| *value >= best - MULTIPLE_MARGIN);
        let (period_steps, correlation) = *found.next()?;
        let window = last_periods(&rates, period_steps, AVERAGED_PERIODS);
        let average = average_period(window, period_steps);
        let peak = highest(&average);
        let mean = average.iter().sum::<f64>() / period_steps as f64;
        let last_peak = highest(last_periods(window, period_steps, 1));
        // With more than one turn, the period is a multiple of one that is not clear.
        let all = last_periods(&rates, period_steps, COMPARED_PERIODS);
        let mut periods = all.rchunks(period_steps);
        let is_single = periods.all(|period| count_turns(period, peak) <= 1);
        let is_turn = peak >= mean * MIN_CONTRAST && last_peak >= peak * MIN_TURN_RATIO;
        (is_turn && is_single).then_some(TurnPattern {
            period_steps,
            correlation,
            peak,
        })
    }
}

fn highest(rates: &[f64]) -> f64 {
    rates.iter().copied().fold(0.0, f64::max)
}

/// Returns the rates of the last `count` periods, as far as they were seen.
fn last_periods(rates: &[f64], period: usize, count: usize) -> &[f64] {
    &rates[rates.len().saturating_sub(period * count)..]
}

/// Returns the average rate at each phase of a period, the latest first.
fn average_period(window: &[f64], period: usize) -> Vec<f64> {
    let phases = (0..period).map(|phase| {
        let rates = window.iter().rev().skip(phase).step_by(period);
        let count = rates.clone().count().max(1);
        rates.sum::<f64>() / count as f64
    });
    phases.collect()
}

/// Returns how often the rates of a period rise to half of the peak, as if the period
/// repeated. A turn ends below a sixth of the peak.
fn count_turns(period: &[f64], peak: f64) -> usize {
    let mut is_high = period.last().is_some_and(|rate| *rate >= peak / 2.0);
    let mut count = 0;
    for rate in period {
        if !is_high && *rate >= peak / 2.0 {
            is_high = true;
            count += 1;
        } else if is_high && *rate < peak / 6.0 {
            is_high = false;
        }
    }
    count
}

/// Returns the lower one of the correlations over all compared periods and over the last
/// two: the former needs agreement over time, the latter that it lasts.
fn lowest_correlation(rates: &[f64], period: usize) -> Option<f64> {
    let over_all = correlation(last_periods(rates, period, COMPARED_PERIODS), period)?;
    let over_last = correlation(last_periods(rates, period, 2), period)?;
    Some(over_all.min(over_last))
}

/// Returns the correlation of rates with those a period before; none if less than one and a
/// half periods were seen, or if no turn is in one of the two parts.
fn correlation(rates: &[f64], period: usize) -> Option<f64> {
    if rates.len() * 2 < period * 3 {
        return None;
    }
    let (earlier, later) = (&rates[..rates.len() - period], &rates[period..]);
    let low = highest(rates) * MIN_TURN_RATIO;
    if low <= 0.0 || highest(earlier) < low || highest(later) < low {
        return None;
    }
    let count = earlier.len() as f64;
    let mean = |part: &[f64]| part.iter().sum::<f64>() / count;
    let (mean_earlier, mean_later) = (mean(earlier), mean(later));
    let (mut product, mut squares_earlier, mut squares_later) = (0.0, 0.0, 0.0);
    for (one, other) in earlier.iter().zip(later) {
        let (one, other) = (one - mean_earlier, other - mean_later);
        product += one * other;
        squares_earlier += one * one;
        squares_later += other * other;
    }
    let scale = (squares_earlier * squares_later).sqrt();
    (scale > 0.0).then(|| product / scale)
}
