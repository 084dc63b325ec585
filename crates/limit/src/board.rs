//! What the leader tells all entries about limited targets.

use {
    crate::{Rate, Table, Word},
    hold::Instance,
    key::{Vm, clock::Tick},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// An entry that can hand out permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The VM of the entry.
    pub vm: Vm,
    /// The address at which its peers reach it.
    pub address: SocketAddr,
    /// The share of a core that the entry may use.
    pub power: f64,
}

/// The fraction of the highest power that an entry needs to hand out permits.
const MIN_RELATIVE_POWER: f64 = 0.5;

/// The state of one target's limit, as an entry is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The target.
    pub target: Instance,
    /// The rate, or none if the limit is over.
    pub rate: Option<Rate>,
    /// How long ago the target said so.
    pub age: Duration,
    /// The entry that hands out the permits.
    pub coordinator: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    rate: Option<Rate>,
    coordinator: Option<SocketAddr>,
    /// The revision of the board at the latest change.
    revision: u64,
}

/// The limits that the leader knows, with a revision for each change, so that an entry is told only
/// what it does not know yet.
#[derive(Clone, Debug, Default)]
pub struct Board {
    revision: u64,
    notices: BTreeMap<Instance, Notice>,
    /// The candidates of the latest choice, and those of them that may be chosen.
    candidates: Vec<Candidate>,
    coordinators: Vec<Candidate>,
}

impl Board {
    /// Returns the number of the latest change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over the limits of the leader's table and chooses the coordinator of each.
    ///
    /// Only the most powerful candidates are chosen, as many as the square root of their number:
    /// enough to divide the calls, and few enough that entries keep connections to them open. Among
    /// these a rendezvous hash decides, so that a new leader makes the same choice, and an entry
    /// that joins or leaves changes few others.
    pub fn update(&mut self, table: &mut Table, candidates: &[Candidate]) {
        let has_same_candidates = self.candidates == candidates;
        if !has_same_candidates {
            self.candidates = candidates.to_vec();
            self.coordinators = strongest(candidates, 1);
        }
        let words: Vec<(Instance, Word)> =
            table.words().map(|(target, word)| (target.clone(), word)).collect();
        self.notices.retain(|target, _| words.iter().any(|(known, _)| known == target));
        for (target, word) in words {
            let before = self.notices.get(&target);
            let coordinator = match before {
                _ if word.rate.is_none() => None,
                Some(Notice { rate: Some(_), coordinator, .. }) if has_same_candidates => {
                    *coordinator
                }
                _ => choose_coordinator(&target, &self.coordinators),
            };
            table.set_coordinator(&target, coordinator);
            let is_same_rate = |notice: &Notice| match (notice.rate, word.rate) {
                (Some(before), Some(now)) => before.is_close_to(now),
                (before, now) => before.is_none() && now.is_none(),
            };
            if before
                .is_some_and(|notice| notice.coordinator == coordinator && is_same_rate(notice))
            {
                continue;
            }
            self.revision += 1;
            let notice = Notice { rate: word.rate, coordinator, revision: self.revision };
            self.notices.insert(target, notice);
        }
    }

    /// Returns the state of each target that has changed after revision `known`.
    #[must_use]
    pub fn updates_since(&self, known: u64, table: &Table, now: Tick) -> Vec<Update> {
        let changed = table.words().filter_map(|(target, word)| {
            let notice = self.notices.get(target).filter(|notice| notice.revision > known)?;
            Some(Update {
                target: target.clone(),
                rate: word.rate,
                age: now.since(word.at),
                coordinator: notice.coordinator,
            })
        });
        changed.collect()
    }
}

/// Returns the candidates that may be chosen: the strongest, `least` of them at least.
pub(crate) fn strongest(candidates: &[Candidate], least: usize) -> Vec<Candidate> {
    let mut strongest = candidates.to_vec();
    strongest.sort_by(|a, b| b.power.total_cmp(&a.power).then_with(|| a.vm.cmp(&b.vm)));
    strongest.truncate(least.max((candidates.len() as f64).sqrt().ceil() as usize));
    let min_power = strongest.first().map_or(0.0, |first| first.power * MIN_RELATIVE_POWER);
    let count = strongest.iter().take_while(|candidate| candidate.power >= min_power).count();
    strongest.truncate(count.max(least));
    strongest
}

fn choose_coordinator(target: &Instance, candidates: &[Candidate]) -> Option<SocketAddr> {
    let weight =
        |candidate: &&Candidate| key::rendezvous_weight(candidate.vm.as_str(), target.vm.as_str());
    candidates.iter().max_by_key(weight).map(|candidate| candidate.address)
}
