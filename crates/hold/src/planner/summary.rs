//! What keeps a planner busy, for people.

use {
    super::{Planner, Step},
    crate::{balance, registry::Registry},
    key::clock::Tick,
    serde::Serialize,
};

/// What keeps a planner busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The spans of the map.
    #[serde(rename = "holdings")]
    pub assignments: usize,
    /// The runs of targets that hold keys by the map.
    pub holders: usize,
    /// The targets that may give keys away or take some.
    pub candidates: usize,
    /// The targets that are ready by the list.
    pub ready: usize,
    /// The targets to which orders are under way.
    pub busy: usize,
    /// The targets to which the last orders failed.
    pub silent: usize,
    /// The spans that are being taken back.
    pub releasing: usize,
    /// The spans that were taken back and not yet given on.
    pub released: usize,
    /// Whether the row is being written.
    pub writing: bool,
    /// The writes that may still take effect.
    pub doubtful: usize,
    /// The load of the busiest target, in percent of its slots.
    pub busiest_percent: u32,
}

impl Planner {
    /// Returns what keeps the planner busy, for people.
    #[must_use]
    pub fn summary(&self, registry: &Registry, now: Tick) -> Summary {
        let candidates = self.candidates(registry, now);
        let utilisation = candidates
            .iter()
            .map(|candidate| balance::utilisation(&self.map, &self.load, candidate));
        let percent = |value: f64| (value * 100.0) as u32;
        Summary {
            assignments: self.map.assignments.len(),
            holders: self.map.holders.len(),
            candidates: candidates.len(),
            ready: self.ready(registry, now).count(),
            busy: self.contacts.values().filter(|contact| contact.busy).count(),
            silent: self.contacts.values().filter(|contact| contact.failures > 0).count(),
            releasing: self.moves.iter().filter(|moving| moving.step == Step::Releasing).count(),
            released: self.moves.len()
                - self.moves.iter().filter(|moving| moving.step == Step::Releasing).count(),
            writing: self.writing.is_some(),
            doubtful: self.doubtful.len(),
            busiest_percent: utilisation.map(percent).max().unwrap_or(0),
        }
    }
}
