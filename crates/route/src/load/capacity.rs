//! Whether a target can answer a request within the time that is left, and when it can if not.
//!
//! Under more load than the targets carry, each request of a less urgent route that is taken lets an
//! urgent one wait or be turned away. A less urgent one therefore counts a target as full while an
//! urgent one still finds room.

use {crate::load::Estimate, std::time::Duration};

/// The part of a target's queue, and of the time that is left, that requests may use: those that
/// are less urgent than no other of their service, than those of one other priority, and so on.
const SHARE_BY_RANK: [f64; 4] = [1.0, 0.85, 0.7, 0.55];

/// The rank from which the share gets no smaller.
pub const LOWEST_RANK: usize = SHARE_BY_RANK.len() - 1;

/// The part of the usual work for which there has to be time after the wait. Routes of one service
/// differ, and a request that needs less than the usual is not refused for that.
const MIN_WORK_FRACTION: f64 = 0.5;

/// The shortest time after which capacity is expected at a target that is full.
const MIN_DUE: Duration = Duration::from_millis(20);

/// The longest time after which capacity is expected. An estimate says little of later times.
const MAX_DUE: Duration = Duration::from_secs(10);

/// The lack of capacity for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The time after which capacity is expected.
    pub due_in: Duration,
}

/// Returns the shortage if a target cannot answer a request of a rank within the time that is left.
#[must_use]
pub fn shortage(estimate: &Estimate, left: Duration, rank: usize) -> Option<Shortage> {
    let share = SHARE_BY_RANK[rank.min(LOWEST_RANK)];
    if !estimate.waits() {
        return None;
    }
    let needed_s = estimate.wait_s() + estimate.work_s * MIN_WORK_FRACTION;
    let late_by_s = needed_s - left.as_secs_f64() * share;
    let room = estimate.capacity.map(|capacity| (capacity * share).max(estimate.slots));
    let excess = room.map_or(0.0, |room| estimate.occupied + 1.0 - room);
    let full_for_s = excess * estimate.work_s / estimate.slots;
    let due_in_s = late_by_s.max(full_for_s);
    if due_in_s <= 0.0 {
        return None;
    }
    let due_in = Duration::try_from_secs_f64(due_in_s).unwrap_or(MAX_DUE);
    Some(Shortage { due_in: due_in.clamp(MIN_DUE, MAX_DUE) })
}
