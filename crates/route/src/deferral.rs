//! How long a target wants nothing, by its own word, and how it gets requests again.
//!
//! A target that turns a request away may say when to come back. Until then it gets nothing. After that
//! a single request finds out whether it takes work again: all callers that waited would meet it at
//! once otherwise.

use std::time::{Duration, Instant};

/// The time for which a target wants nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deferral {
    until: Option<Instant>,
}

impl Deferral {
    /// Records that the target wants nothing for `span`; the later end counts. Returns true if it
    /// wanted something until now.
    pub fn begin(&mut self, span: Duration, now: Instant) -> bool {
        let was_deferred = self.remaining(now).is_some();
        let until = now.checked_add(span).unwrap_or(now);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        !was_deferred
    }

    /// Records that the target took a request. An answer to a request that was sent before the
    /// deferral changes nothing.
    pub fn end(&mut self, now: Instant) {
        if self.remaining(now).is_none() {
            self.until = None;
        }
    }

    /// Returns how long the target still wants nothing, if it does.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns true if the target may get a request while `others` are in flight.
    #[must_use]
    pub fn admits(&self, others: usize, now: Instant) -> bool {
        self.until.is_none() || (self.remaining(now).is_none() && others == 0)
    }
}
