//! What is usual for a service, by the reports and response times of all its targets.
//!
//! It is what an entry assumes of a target that it has not heard for a while.

use {
    crate::load::{Load, estimate::CAPACITY_LIFETIME, turns},
    std::time::{Duration, Instant},
};

/// The weight of a new response in the moving average of the work.
const WORK_WEIGHT: f64 = 1.0 / 32.0;

/// The least weight of a new report in the moving average of the occupied slots.
const MIN_OCCUPIED_WEIGHT: f64 = 1.0 / 8.0;

/// The time without any report after which the average of the occupied slots begins to lose weight,
/// and the time within which it then loses two thirds. An entry that refuses everything hears
/// nothing, and has to try again.
const OCCUPIED_GRACE_S: f64 = 0.5;
const OCCUPIED_LIFETIME_S: f64 = 1.5;

/// The requests for each slot that a target of a service without news is taken to hold: it is busy,
/// and none waits.
const UNKNOWN_OCCUPIED: f64 = 1.0;

/// The averages of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    /// The average time that a request takes in a free slot at the usual speed, in seconds.
    work_s: Option<f64>,
    /// The average number of requests for each slot, and when it was updated.
    occupied: Option<(f64, Instant)>,
    /// The requests for each slot at a target that turned one away, and when that was.
    capacity: Option<(f64, Instant)>,
}

impl Usual {
    /// Records the load that a target named. `is_shed` says that it turned a request away.
    pub fn record_load(&mut self, load: Load, is_shed: bool, now: Instant) {
        let seen = load.occupied() / f64::from(load.slots);
        if is_shed && load.is_full() {
            self.capacity = Some((seen, now));
        } else if self.capacity.is_some_and(|(capacity, _)| seen > capacity) {
            self.capacity = None;
        }
        self.occupied = Some(match self.occupied {
            None => (seen, now),
            Some((known, at)) => {
                let gap_s = now.saturating_duration_since(at).as_secs_f64();
                let weight = MIN_OCCUPIED_WEIGHT.max(1.0 - (-gap_s / OCCUPIED_LIFETIME_S).exp());
                (known + (seen - known) * weight, now)
            }
        });
    }

    /// Records the time of a response that named a load. The load at the end of a request is on
    /// average that at its beginning. Each response counts alike, so that one target with false
    /// reports changes little.
    pub fn record_time(&mut self, load: Load, elapsed: Duration) {
        let multiple = load.work_factor() * (1.0 + turns(load.occupied(), f64::from(load.slots)));
        let seen = elapsed.as_secs_f64() / multiple;
        let known = self.work_s.unwrap_or(seen);
        self.work_s = Some(known + (seen - known) * WORK_WEIGHT);
    }

    /// Returns the time that a request takes in a free slot at the usual speed, in seconds, once a
    /// response has shown it.
    #[must_use]
    pub const fn work_s(&self) -> Option<f64> {
        self.work_s
    }

    /// Returns the number of requests for each slot from which targets turned others away, if that
    /// was seen lately.
    #[must_use]
    pub fn capacity_per_slot(&self, now: Instant) -> Option<f64> {
        let (capacity, at) = self.capacity?;
        (now.saturating_duration_since(at) < CAPACITY_LIFETIME).then_some(capacity)
    }

    /// Returns the expected number of requests for each slot of a target.
    #[must_use]
    pub fn occupied_per_slot(&self, now: Instant) -> f64 {
        let Some((occupied, at)) = self.occupied else { return UNKNOWN_OCCUPIED };
        let age_s = now.saturating_duration_since(at).as_secs_f64() - OCCUPIED_GRACE_S;
        let age_s = age_s.max(0.0);
        UNKNOWN_OCCUPIED + (occupied - UNKNOWN_OCCUPIED) * (-age_s / OCCUPIED_LIFETIME_S).exp()
    }
}
