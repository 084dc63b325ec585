//! The choice among targets that report their load.
//!
//! If every entry chose the target with the lowest estimate, all of them would send to the same one
//! until its next report. So each compares a few drawn at random, and where requests wait, draws the
//! time of each from the range in which it is uncertain. The second also tries targets of which
//! little is known, so that there is news of them.

use crate::load::Estimate;

/// The number of targets of the own zone that are compared, and of those of other zones.
pub const COMPARED: usize = 3;

/// The factor on the expected time of a target in another zone: bytes between zones have a cost.
const OTHER_ZONE_FACTOR: f64 = 1.15;

/// A target that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The expected time until the response, in seconds.
    pub time_s: f64,
    /// The part of that time by which it may be wrong either way.
    pub uncertainty: f64,
    /// Whether the request is expected to wait there.
    pub waits: bool,
    /// Whether the target is in the zone of this entry.
    pub is_own_zone: bool,
}

impl Candidate {
    /// Returns the candidate for an estimate.
    #[must_use]
    pub fn new(estimate: &Estimate, is_own_zone: bool) -> Self {
        let (time_s, uncertainty) = (estimate.time_s(), estimate.uncertainty());
        Self { time_s, uncertainty, waits: estimate.waits(), is_own_zone }
    }

    /// Returns the cost in seconds, with the time at `point` of its range, from -1 to 1.
    fn cost(&self, point: f64) -> f64 {
        let factor = if self.is_own_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        self.time_s * factor * self.uncertainty.mul_add(point, 1.0)
    }
}

/// Returns the index of the candidate to send to. `draw` returns random numbers from 0 to 1.
///
/// A target of the own zone without a queue is compared by its expected time, so that its zone is
/// left only for one that is faster.
pub fn select(candidates: &[Candidate], mut draw: impl FnMut() -> f64) -> Option<usize> {
    let any_own_free = candidates.iter().any(|candidate| candidate.is_own_zone && !candidate.waits);
    let mut cost = |candidate: &Candidate| {
        candidate.cost(if any_own_free { 0.0 } else { draw().mul_add(2.0, -1.0) })
    };
    let costs: Vec<f64> = candidates.iter().map(&mut cost).collect();
    (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]))
}

/// Moves `count` items drawn at random to the front of `items`. `draw` returns a number below its
/// argument.
pub fn draw_to_front<T>(items: &mut [T], count: usize, mut draw: impl FnMut(usize) -> usize) {
    for index in 0..count.min(items.len()) {
        let other = index + draw(items.len() - index);
        items.swap(index, other);
    }
}
