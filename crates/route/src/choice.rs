//! Choosing among targets that can all answer.

/// What is known of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The requests this entry has in flight there.
    pub in_flight: usize,
    /// Whether the last attempts failed.
    pub failing: bool,
}

/// Chooses the less busy of two candidates drawn at random.
///
/// `draw` returns a number below its argument. Failing candidates are passed over while others
/// exist; if all fail, all are tried, since to eject every target is to serve nobody.
pub fn less_busy_of_two(
    candidates: &[Candidate],
    mut draw: impl FnMut(usize) -> usize,
) -> Option<usize> {
    let well: Vec<usize> = (0..candidates.len()).filter(|&at| !candidates[at].failing).collect();
    let pool: Vec<usize> = if well.is_empty() { (0..candidates.len()).collect() } else { well };
    if pool.is_empty() {
        return None;
    }
    let first = pool[draw(pool.len())];
    let second = pool[draw(pool.len())];
    let better = candidates[second].in_flight < candidates[first].in_flight;
    Some(if better { second } else { first })
}
