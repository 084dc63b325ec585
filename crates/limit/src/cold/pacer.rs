//! The permits of one cold target, and the rate at which it gets them.

use {
    super::Bound,
    crate::{Permit, Request},
    key::clock::Tick,
    std::{collections::VecDeque, time::Duration},
};

/// The time after which a permit that is due must not be used any more. With the time that a request
/// takes to its target, permits are used up to 250 ms late.
pub const MAX_USE_DELAY: Duration = Duration::from_millis(200);

/// The time in which the number of permits is bounded: one second, and the longest time between the
/// due time of a permit and the arrival of its request.
const WINDOW: Duration = Duration::from_millis(1_250);

/// The part of the stated rate by which the rate grows with each good response. At the stated rate
/// of 3.9 a second, it is half as high again after 1.3 s.
const GROWTH: f64 = 0.1;

/// The shortest time between two cuts of the rate: responses to requests that were sent before a cut
/// say nothing about the new rate.
const CUT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of permits in a window from which less urgent requests leave one to urgent ones.
const MIN_PERMITS_FOR_RESERVE: usize = 3;

/// How far a target has warmed up. Each doubling after the cold time doubles its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stage {
    /// The number of doublings; zero for a target that is cold, or may be.
    pub doublings: u32,
}

impl Stage {
    /// The stage of a target that is cold or may be.
    pub const COLD: Self = Self { doublings: 0 };

    fn factor(self) -> f64 {
        f64::from(1_u32 << self.doublings.min(8))
    }
}

/// How earlier requests to a target ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// The number of responses in about the usual time.
    pub good: u32,
    /// The number of refusals, lost connections and responses that took long.
    pub bad: u32,
}

/// Gives out the permits of one target, as its coordinator.
///
/// Permits are spaced by the rate, and any window of 1,250 ms holds at most
/// [`Bound::permits_per_window`] due times. So two coordinators together stay below the bound in any
/// second at the target, also if permits are used late. The spacing, with at most one permit saved
/// up, spreads them within the window.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    cut_at: Option<Tick>,
    /// When the next permit is due by the rate.
    next_at: Tick,
    /// The due times of the latest permits.
    given_out: VecDeque<Tick>,
    used_at: Tick,
}

impl Pacer {
    /// Returns a pacer without permits, since another coordinator may just have given out all.
    #[must_use]
    pub fn new(bound: Bound, now: Tick) -> Self {
        let rate = bound.initial_rate();
        let next_at = now.plus(Duration::from_secs_f64(1.0 / rate));
        Self { rate, cut_at: None, next_at, given_out: VecDeque::new(), used_at: now }
    }

    /// Returns the rate while the target is cold, in requests per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns when a permit was last asked for.
    #[must_use]
    pub const fn used_at(&self) -> Tick {
        self.used_at
    }

    /// Adjusts the rate to the outcomes of earlier requests.
    pub fn record(&mut self, bound: Bound, outcomes: Outcomes, now: Tick) {
        if outcomes.bad > 0 {
            if self.cut_at.is_none_or(|at| now.since(at) >= CUT_INTERVAL) {
                self.rate = (self.rate / 2.0).max(bound.min_rate());
                self.cut_at = Some(now);
            }
            return;
        }
        let growth = bound.initial_rate() * GROWTH * f64::from(outcomes.good);
        self.rate = (self.rate + growth).min(bound.max_rate());
    }

    /// Takes a permit, or promises one that is due before the request's longest wait ends. A less
    /// urgent request leaves one permit of each window, and gets none ahead of the next one.
    pub fn take(&mut self, bound: Bound, stage: Stage, request: Request, now: Tick) -> Permit {
        self.used_at = now;
        let spacing = Duration::from_secs_f64(1.0 / (self.rate * stage.factor()));
        let permits = bound.permits_per_window() * stage.factor() as usize;
        let is_reserved = !request.is_urgent && permits >= MIN_PERMITS_FOR_RESERVE;
        let due_at = self.due_at(permits - usize::from(is_reserved), now);
        let wait = due_at.since(now);
        let max_wait =
            if request.is_urgent { request.max_wait } else { request.max_wait.min(spacing) };
        if wait > max_wait {
            return Permit::Refused(wait);
        }
        self.next_at = self.next_at.max(due_at.before(spacing)).plus(spacing);
        self.given_out.push_back(due_at);
        while self.given_out.front().is_some_and(|at| due_at.since(*at) > WINDOW) {
            self.given_out.pop_front();
        }
        Permit::After(wait)
    }

    /// Returns when the next permit is due if any window holds at most `permits`.
    fn due_at(&self, permits: usize, now: Tick) -> Tick {
        let by_rate = self.next_at.max(now);
        let first = self.given_out.len().checked_sub(permits);
        let by_window = first.and_then(|index| self.given_out.get(index));
        by_window.map_or(by_rate, |at| by_rate.max(at.plus(WINDOW)))
    }
}
