//! The entries that give out the permits of cold targets.

use {
    crate::{Candidate, board::strongest},
    key::Vm,
    std::net::SocketAddr,
};

/// The entries among which the coordinators of cold targets are chosen.
///
/// The strongest entries of the table of entries are taken, as for the limits that targets name,
/// but never fewer than two, so that another one can be asked when one has failed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Coordinators {
    chosen: Vec<Candidate>,
}

impl Coordinators {
    /// Takes the strongest entries.
    #[must_use]
    pub fn new(candidates: &[Candidate]) -> Self {
        Self { chosen: strongest(candidates, 2) }
    }

    /// Returns the entry that gives out the permits of a target, and the one that does if the first
    /// fails, by rendezvous hash: every entry with the same table makes the same choice.
    #[must_use]
    pub fn of(&self, target: &Vm) -> Vec<SocketAddr> {
        let weight =
            |candidate: &&Candidate| key::rendezvous_weight(candidate.vm.as_str(), target.as_str());
        let first = self.chosen.iter().max_by_key(weight);
        let others = self.chosen.iter().filter(|other| Some(*other) != first);
        let second = others.max_by_key(weight);
        first.into_iter().chain(second).map(|candidate| candidate.address).collect()
    }
}
