//! Exponential backoff with jitter for retried calls.
//!
//! Without jitter, all clients would call the platform at the same moment after an
//! outage. Each pause is drawn from the upper half of an interval from zero to a
//! length that doubles with each failure, up to a maximum.

use std::time::Duration;

/// Range of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Max length of the first pause.
    pub first: Duration,
    /// Max length of any pause.
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

/// Backoff state of one series of failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackoffState {
    settings: BackoffSettings,
    failures: u32,
}

impl BackoffState {
    /// Returns a state without failures.
    #[must_use]
    pub fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// Clears the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the pause after it; `draw` is a random number from
    /// 0 to 1.
    pub fn next_pause(&mut self, draw: f64) -> Duration {
        // The exponent is capped so that the shift cannot overflow; 2^16 times any
        // usable first pause exceeds any usable max.
        let doubled = self.settings.first * (1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let interval = doubled.min(self.settings.max);
        interval.mul_f64(0.5 + draw.clamp(0.0, 1.0) / 2.0)
    }
}
