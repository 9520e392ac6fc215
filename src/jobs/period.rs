//! Search for a clear period in the arrival rates of a pool, by autocorrelation.

/// Shortest and longest period, in steps: 2 to 30 seconds. A shorter one is of the order
/// of a move, and of a longer one less than two would be kept.
const PERIOD_STEPS: (usize, usize) = (8, 120);

/// Number of last periods that are compared, so that a period that has changed is found
/// within three of the new ones.
const COMPARED_PERIODS: usize = 3;

/// Number of last periods whose average is the forecast. With each one further back, the
/// error of the period counts once more.
pub(crate) const AVERAGED_PERIODS: usize = 2;

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

/// Minimum ratio of the highest to the mean rate of a turn. Below it, a pool's VMs are used
/// in most of the period, and it has none to lend between its turns.
const MIN_CONTRAST: f64 = 2.0;

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

/// Searches for the period with the highest correlation, or the shortest of about the same.
///
/// `known` is the period found before; periods for which `is_rejected` holds are skipped.
pub(crate) fn find_period(
    rates: &[f64],
    known: Option<usize>,
    is_rejected: impl Fn(usize) -> bool,
) -> Option<TurnPattern> {
    let highs = highest_correlations(rates, known);
    let patterns = highs.iter().filter(|(period, _)| !is_rejected(*period));
    let patterns = patterns.filter_map(|(period, value)| turn_pattern(rates, *period, *value));
    let patterns: Vec<TurnPattern> = patterns.collect();
    let best = patterns.iter().map(|pattern| pattern.correlation);
    let best = best.reduce(f64::max)?;
    let mut patterns = patterns.into_iter();
    patterns.find(|pattern| pattern.correlation >= best - MULTIPLE_MARGIN)
}

/// Returns the known period, if it is still clear, and all periods with a local maximum of
/// the correlation, in ascending order, with their correlations.
fn highest_correlations(rates: &[f64], known: Option<usize>) -> Vec<(usize, f64)> {
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
        is_high.then_some((at + shortest, own))
    });
    let highs: Vec<(usize, f64)> = highs.collect();
    // A known period is kept while it is about as clear, but for a correction by a step: a
    // turn that has just begun, or is late, would shift the estimate.
    let known = known.and_then(|known| {
        let mut near = highs.iter();
        let near = near.find(|(period, _)| period.abs_diff(known) <= 1);
        let value = correlation(last_periods(&roots, known, COMPARED_PERIODS), known)?;
        let is_clear = value >= MIN_CORRELATION;
        is_clear.then_some((near.map_or(known, |near| near.0), value))
    });
    known.into_iter().chain(highs).collect()
}

/// Returns the pattern of a period with this correlation, if there is one turn in each
/// period and one in the last.
fn turn_pattern(rates: &[f64], period_steps: usize, correlation: f64) -> Option<TurnPattern> {
    let window = last_periods(rates, period_steps, AVERAGED_PERIODS);
    let average = average_period(window, period_steps);
    let peak = highest(&average);
    let mean = average.iter().sum::<f64>() / period_steps as f64;
    let last_peak = highest(last_periods(window, period_steps, 1));
    // With more than one turn, the period is a multiple of one that is not clear.
    let all = last_periods(rates, period_steps, COMPARED_PERIODS);
    let mut periods = all.rchunks(period_steps);
    let is_single = periods.all(|period| count_turns(period, peak) <= 1);
    let is_turn = peak >= mean * MIN_CONTRAST && last_peak >= peak * MIN_TURN_RATIO;
    (is_turn && is_single).then_some(TurnPattern {
        period_steps,
        correlation,
        peak,
    })
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
    let mut is_high = period.last().is_some_and(|rate| *rate >= peak / 6.0);
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
