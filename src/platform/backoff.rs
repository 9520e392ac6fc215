//! Pauses between repeated calls: exponential, with jitter.
//!
//! All callers of a platform that comes back would otherwise call in the same
//! moment. Each pause is drawn from the upper half of a span that doubles up to
//! a limit.

use std::time::Duration;

/// Lengths of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Span of the first pause.
    pub first: Duration,
    /// Longest span.
    pub max: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(100),
            max: Duration::from_secs(4),
        }
    }
}

/// The pauses of one run of failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackoffState {
    settings: BackoffSettings,
    failures: u32,
}

impl BackoffState {
    /// Starts without failures.
    #[must_use]
    pub fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause after it; `draw` is 0 to 1.
    pub fn next_pause(&mut self, draw: f64) -> Duration {
        // 2^16 times any usable first span is past any usable limit.
        let doubled = self.settings.first * (1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let span = doubled.min(self.settings.max);
        span.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }
}
