//! Pauses after failed calls to the platform.

use std::time::Duration;

/// Longest pause, as a multiple of the first.
const MAX_FACTOR: u32 = 16;

/// Pauses that double and are jittered, so that entry VMs do not call in step
/// when the platform returns.
#[derive(Debug)]
pub(super) struct BackoffPause {
    first: Duration,
    factor: u32,
}

impl BackoffPause {
    pub fn new(first: Duration) -> Self {
        Self { first, factor: 1 }
    }

    /// Returns the next pause: between half and all of the doubled one.
    pub fn next(&mut self) -> Duration {
        let pause = self.first * self.factor;
        self.factor = (self.factor * 2).min(MAX_FACTOR);
        pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)
    }

    /// Starts again from the first pause.
    pub fn reset(&mut self) {
        self.factor = 1;
    }
}
