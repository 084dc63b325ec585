//! What a cold target may get in a second.

use std::time::Duration;

/// The fraction of the bound that one coordinator gives out, so that two of them stay below it. The
/// rest is left to entries that reach no coordinator.
const COORDINATOR_FRACTION: f64 = 0.45;

/// The lowest rate that a pacer falls to, as a fraction of the stated one. A target that refuses
/// everything still gets a request now and then, which shows that it has recovered.
const MIN_RATE_FRACTION: f64 = 0.125;

/// The shortest time between two requests that an entry sends to a cold target without a permit.
const LONE_INTERVAL: Duration = Duration::from_secs(10);

/// The time between two requests that all entries together send to a cold target without permits,
/// if none of them reaches a coordinator.
const LONE_INTERVAL_PER_ENTRY: Duration = Duration::from_secs(1);

/// The bound on the requests that a cold target gets from all entries together: in any second
/// `requests_per_s` times `overshoot`, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    requests_per_s: f64,
    overshoot: f64,
    slack: f64,
}

impl Bound {
    /// Returns a bound. `requests_per_s` is what the operators state for the service; `overshoot`
    /// and `slack` are the margin on it.
    #[must_use]
    pub const fn new(requests_per_s: f64, overshoot: f64, slack: f64) -> Self {
        Self { requests_per_s, overshoot, slack }
    }

    /// Returns the number of requests that any second may hold.
    #[must_use]
    pub fn max_per_s(self) -> f64 {
        self.requests_per_s * self.overshoot + self.slack
    }

    /// Returns the rate with which a pacer starts, in requests per second.
    #[must_use]
    pub const fn initial_rate(self) -> f64 {
        self.requests_per_s
    }

    /// Returns the highest rate of a pacer.
    #[must_use]
    pub fn max_rate(self) -> f64 {
        self.requests_per_s * self.overshoot
    }

    /// Returns the lowest rate of a pacer.
    #[must_use]
    pub fn min_rate(self) -> f64 {
        self.requests_per_s * MIN_RATE_FRACTION
    }

    /// Returns the number of permits that one coordinator gives out in a window. It is one at least;
    /// with a bound below three, two coordinators and an entry that reaches none can exceed it.
    #[must_use]
    pub fn permits_per_window(self) -> usize {
        ((self.max_per_s() * COORDINATOR_FRACTION) as usize).max(1)
    }

    /// Returns the time between two requests that an entry sends without a permit, while it reaches
    /// no coordinator. It grows with the number of entries, which may all be cut off.
    #[must_use]
    pub fn lone_interval(entries: usize) -> Duration {
        LONE_INTERVAL.max(LONE_INTERVAL_PER_ENTRY * entries as u32)
    }
}
