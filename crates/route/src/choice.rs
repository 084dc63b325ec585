//! Load balancing among targets that can all serve a request.

/// The load and health of one target, as this entry knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The requests that this entry has in flight at the target.
    pub in_flight: usize,
    /// Whether the latest attempts at the target failed.
    pub failing: bool,
}

/// Returns the index of the less busy of two candidates drawn at random.
///
/// This is the power of two choices, which spreads load without directing all traffic at the target
/// that currently is the least busy.
///
/// `draw` returns a number below its argument. Failing candidates are excluded while others exist.
/// If all candidates fail, all of them are eligible, since excluding every target would make the
/// service unavailable.
pub fn less_busy_of_two(
    candidates: &[Candidate],
    mut draw: impl FnMut(usize) -> usize,
) -> Option<usize> {
    let healthy: Vec<usize> =
        (0..candidates.len()).filter(|&index| !candidates[index].failing).collect();
    let eligible: Vec<usize> =
        if healthy.is_empty() { (0..candidates.len()).collect() } else { healthy };
    if eligible.is_empty() {
        return None;
    }
    let first = eligible[draw(eligible.len())];
    let second = eligible[draw(eligible.len())];
    let is_second_less_busy = candidates[second].in_flight < candidates[first].in_flight;
    Some(if is_second_less_busy { second } else { first })
}
