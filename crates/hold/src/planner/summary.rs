//! Counts of a planner's work, for operators.

use {
    super::{Planner, ReleaseState},
    crate::{balance, map::Holdings, registry::Registry},
    key::clock::Tick,
    serde::Serialize,
};

/// Counts of what a planner works on and waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The spans of the map.
    #[serde(rename = "holdings")]
    pub assignments: usize,
    /// The instances that hold keys according to the map.
    pub holders: usize,
    /// The targets that may donate or receive keys.
    pub candidates: usize,
    /// The targets that are ready according to the registry.
    pub ready: usize,
    /// The targets with grants in flight.
    #[serde(rename = "busy")]
    pub in_flight: usize,
    /// The targets to which the latest command failed.
    #[serde(rename = "silent")]
    pub failing: usize,
    /// The spans whose release is in flight.
    pub releasing: usize,
    /// The spans that were released and not yet assigned.
    pub released: usize,
    /// Whether the row is being written.
    pub writing: bool,
    /// The writes that the store may still accept.
    #[serde(rename = "doubtful")]
    pub unresolved_writes: usize,
    /// The utilisation of the busiest target, in percent of its slots.
    pub busiest_percent: u32,
}

impl Planner {
    /// Returns counts of the planner's work, for operators.
    #[must_use]
    pub fn summary(&self, registry: &Registry, now: Tick) -> Summary {
        let candidates = self.candidates(registry, now);
        let holdings = Holdings::new(&self.map);
        let utilisation = candidates
            .iter()
            .map(|candidate| balance::utilisation(&holdings, &self.load, candidate));
        let percent = |value: f64| (value * 100.0) as u32;
        Summary {
            assignments: self.map.assignments.len(),
            holders: self.map.holders.len(),
            candidates: candidates.len(),
            ready: self.ready_targets(registry, now).count(),
            in_flight: self.sessions.values().filter(|session| session.in_flight).count(),
            failing: self.sessions.values().filter(|session| session.failures > 0).count(),
            releasing: self
                .reassignments
                .iter()
                .filter(|reassignment| reassignment.state == ReleaseState::InFlight)
                .count(),
            released: self.reassignments.len()
                - self
                    .reassignments
                    .iter()
                    .filter(|reassignment| reassignment.state == ReleaseState::InFlight)
                    .count(),
            writing: self.pending_write.is_some(),
            unresolved_writes: self.unresolved_writes.len(),
            busiest_percent: utilisation.map(percent).max().unwrap_or(0),
        }
    }
}
