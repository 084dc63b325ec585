//! A monotonic clock that includes the time for which a VM is suspended.

use {
    derive_more::{Display, From, Into},
    rustix::time::{ClockId, clock_gettime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// An instant on the monotonic clock of one machine, in microseconds since its boot.
///
/// Values from different machines cannot be compared. The clock is `CLOCK_BOOTTIME` rather than
/// `CLOCK_MONOTONIC`, because the latter stops while a VM is suspended, so that a lease would seem
/// to be in force for longer than it is.
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
    /// Returns the current time.
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

    /// Returns the instant `span` after this one.
    #[must_use]
    pub const fn plus(self, span: Duration) -> Self {
        Self(self.0 + span.as_micros() as u64)
    }

    /// Returns the instant `span` before this one, but not earlier than the boot of the machine.
    #[must_use]
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is the later one.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
