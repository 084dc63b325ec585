//! The part of a limit that an entry uses on its own.

use {
    crate::{Permit, Rate},
    key::clock::Tick,
    std::time::Duration,
};

/// The time after which an unused part expires. It bounds what all entries together can have saved
/// up: over four seconds they send at most five seconds' worth of the rate.
const LIFETIME: Duration = Duration::from_secs(1);

/// One entry's even share of a limit: one request each time that the other entries have had their
/// turn.
#[derive(Clone, Copy, Debug)]
pub struct EvenShare {
    /// When the next request may be sent.
    next_at: Tick,
}

impl EvenShare {
    /// Returns a share whose first turn comes after a fraction `phase` of the time between two
    /// turns, so that the entries, which start together, do not send together.
    #[must_use]
    pub fn new(rate: Rate, entries: usize, phase: f64, now: Tick) -> Self {
        Self { next_at: now.plus(interval(rate, entries).mul_f64(phase)) }
    }

    /// Takes the current turn, or the next one if `max_wait` reaches to it.
    pub fn take(&mut self, rate: Rate, entries: usize, max_wait: Duration, now: Tick) -> Permit {
        let interval = interval(rate, entries);
        if now.since(self.next_at) > LIFETIME {
            let missed = (now.since(self.next_at) - LIFETIME).div_duration_f64(interval).ceil();
            self.next_at = self.next_at.plus(interval.mul_f64(missed));
        }
        let wait = self.next_at.since(now);
        if wait > max_wait {
            return Permit::Refused(wait);
        }
        self.next_at = self.next_at.plus(interval);
        Permit::After(wait)
    }
}

/// Returns the time between two turns of one entry.
fn interval(rate: Rate, entries: usize) -> Duration {
    Duration::from_secs_f64(entries.max(1) as f64 / rate.requests_per_s())
}
