//! The load of targets: what they report, what it says some time later, and how it decides which
//! target gets a request.
//!
//! It addresses targets of different speed, targets that become slow, and more requests than all of
//! them can serve. An entry sends a target only a small part of its requests, so its own requests in
//! flight say little; the target's report says more, but is often seconds old. An [`Estimate`]
//! therefore moves with the age of the report towards what is usual for the service, and its
//! uncertainty grows. Nothing here applies to a target that reports no load.

pub mod capacity;
pub mod estimate;
pub mod selection;
pub mod usual;

pub use crate::load::{
    capacity::{Shortage, shortage},
    estimate::{Estimate, Reports},
    selection::{Candidate, select},
    usual::Usual,
};

/// The largest number of slots that is taken for true.
const MAX_SLOTS: u32 = 10_000;

/// The largest number of waiting requests that is taken for true.
const MAX_WAITING: u32 = 1_000_000;

/// The largest number of running requests for each slot that is taken for true. A target that
/// counts a request until its response is sent may name a few more than it has slots.
const MAX_RUNNING_PER_SLOT: u32 = 4;

/// The range of the duration of work that is taken for true, in percent of the usual.
const WORK_PERCENT_RANGE: std::ops::RangeInclusive<u32> = 5..=5_000;

/// The load that a target names in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait in its queue.
    pub waiting: u32,
    /// The number of requests that it can run at once; at least one.
    pub slots: u32,
    /// How long work takes on its VM at this moment, in percent of the usual, if it says so.
    pub work_percent: Option<u32>,
}

impl Load {
    /// Returns true if the numbers can be true.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.waiting <= MAX_WAITING
            && self.running <= self.slots.saturating_mul(MAX_RUNNING_PER_SLOT)
            && self.work_percent.is_none_or(|percent| WORK_PERCENT_RANGE.contains(&percent))
    }

    /// Returns true if a request that the target turned away probably found its queue full. It also
    /// turns requests away for other reasons, such as too little time left.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.running >= self.slots && self.waiting > 0
    }

    /// Returns the number of requests that the target holds.
    #[must_use]
    pub fn occupied(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// Returns how long work takes, as a multiple of the usual.
    #[must_use]
    pub fn work_factor(&self) -> f64 {
        self.work_percent.map_or(1.0, |percent| f64::from(percent) / 100.0)
    }
}

/// Returns how often the slots of a target are filled anew before a request starts that meets
/// `occupied` others there.
fn turns(occupied: f64, slots: f64) -> f64 {
    (occupied + 1.0 - slots).max(0.0) / slots
}
