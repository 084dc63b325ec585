//! Monotonic time that goes on while a VM is suspended.

use {
    derive_more::{Display, From, Into},
    rustix::time::{ClockId, clock_gettime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// A point in the monotonic time of one machine, in microseconds since its boot.
///
/// Values of two machines must never be compared. `CLOCK_BOOTTIME` is read rather than
/// `CLOCK_MONOTONIC`, because the latter stands still while a VM is suspended and a lease would
/// then seem to last longer than it does.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Tick(u64);

impl Tick {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(time.tv_sec as u64 * MICROS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MICRO)
    }

    /// Returns the microseconds since boot.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since boot.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the point `span` after this one.
    #[must_use]
    pub const fn plus(self, span: Duration) -> Self {
        Self(self.0 + span.as_micros() as u64)
    }

    /// Returns the point `span` before this one, or the boot of the machine if that is later.
    #[must_use]
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
