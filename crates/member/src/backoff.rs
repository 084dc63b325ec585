//! The time between calls that fail.

use std::time::Duration;

/// The time after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(200);

/// The longest time. News that the users want in force within seconds of the store's return has to
/// wait for it.
const MAX_DELAY: Duration = Duration::from_millis(1_000);

/// The fraction by which a delay is shortened at random, so that the entries of a fleet that failed
/// together do not call together.
const MAX_JITTER: f64 = 0.3;

/// The delay before a failed call is repeated: it doubles with each failure, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_DELAY }
    }
}

impl Backoff {
    /// Records a success: the next failure is the first one again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the delay after one more failure; `draw` is a random number from 0 to 1.
    pub fn next_delay(&mut self, draw: f64) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay.mul_f64(1.0 - MAX_JITTER * draw.clamp(0.0, 1.0))
    }
}
