//! What a target takes now, by its own answers.
//!
//! A target that turns a request away may say when to come back. Until then it gets nothing. After
//! that a single request finds out whether it takes work again: all callers that waited would meet
//! it at once otherwise. A target that turned a request away without a time, that lets a request
//! hang, or that has no permit left under its rate limit, gets requests only if no other target
//! takes them.

use std::time::{Duration, Instant};

/// The time for which other targets are preferred after a target shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(60);

/// The time for which other targets are preferred after a target let a request hang; it doubles with
/// each further one. A full target needs some time to run what it holds.
const HANG_BACKOFF: Duration = Duration::from_millis(500);

/// The number of hanging requests from which that time grows no more, at 4 s.
const MAX_HANGS: u32 = 4;

/// What a target takes now; the later ones take more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Intake {
    /// Nothing: it named a time to come back.
    Nothing,
    /// Nothing: the request in flight finds out whether it takes others.
    Probe,
    /// Requests that no other target takes.
    Reluctant,
    /// Any request.
    Any,
}

impl Intake {
    /// Returns true if the target may get a request.
    #[must_use]
    pub fn admits(self) -> bool {
        self >= Self::Reluctant
    }
}

/// What the answers of one target said of the requests that it takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backpressure {
    /// The end of the time for which it wants nothing. It stays after that time until a request is
    /// taken.
    deferred_until: Option<Instant>,
    shed_at: Option<Instant>,
    /// The requests that it let hang one after the other, and until when others are preferred.
    hangs: u32,
    hangs_until: Option<Instant>,
}

impl Backpressure {
    /// Records that the target wants nothing for `span`; the later end counts. Returns true if it
    /// wanted something until now.
    pub fn record_deferral(&mut self, span: Duration, now: Instant) -> bool {
        let was_deferred = self.deferred_for(now).is_some();
        let until = now.checked_add(span).unwrap_or(now);
        self.deferred_until = Some(self.deferred_until.map_or(until, |known| known.max(until)));
        !was_deferred
    }

    /// Records that the target shed a request.
    pub const fn record_shed(&mut self, now: Instant) {
        self.shed_at = Some(now);
    }

    /// Records that the target let a request hang: it had no response for longer than such requests
    /// take. Requests that hang at the same time count once.
    pub fn record_hang(&mut self, now: Instant) {
        if self.hangs_until.is_some_and(|until| now < until) {
            return;
        }
        self.hangs = (self.hangs + 1).min(MAX_HANGS);
        self.hangs_until = Some(now + HANG_BACKOFF * (1 << (self.hangs - 1)));
    }

    /// Records that a request that seemed to hang was answered after all.
    pub const fn record_late_answer(&mut self) {
        self.hangs = 0;
        self.hangs_until = None;
    }

    /// Records that the target took a request. An answer to a request that was sent before the
    /// deferral changes nothing.
    pub fn record_taken(&mut self, now: Instant) {
        if self.deferred_for(now).is_none() {
            self.deferred_until = None;
        }
        // A full target still answers what it queued before, so its answers end no back-off.
        if self.hangs_until.is_some_and(|until| now >= until) {
            self.record_late_answer();
        }
    }

    /// Returns how long the target still wants nothing, if it does.
    #[must_use]
    pub fn deferred_for(&self, now: Instant) -> Option<Duration> {
        let left = self.deferred_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns what the target takes while `others` are in flight. `is_over_limit` says that it has
    /// no permit left under its rate limit.
    #[must_use]
    pub fn intake(&self, others: usize, is_over_limit: bool, now: Instant) -> Intake {
        let has_shed = self.shed_at.is_some_and(|at| now.duration_since(at) < SHED_BACKOFF);
        let hangs = self.hangs_until.is_some_and(|until| now < until);
        if self.deferred_for(now).is_some() {
            Intake::Nothing
        } else if self.deferred_until.is_some() && others > 0 {
            Intake::Probe
        } else if has_shed || hangs || is_over_limit {
            Intake::Reluctant
        } else {
            Intake::Any
        }
    }
}
