//! Chooses the readers of a zone.

use {
    key::{Vm, Zone},
    std::{cmp::Ordering, collections::HashMap, net::SocketAddr},
};

/// The number of entries in a zone up to which each of them reads the store. Followers would save
/// few calls, and add a hop.
const MAX_READING_ZONE: usize = 6;

/// The number of readers in a zone.
const READERS_PER_ZONE: usize = 2;

/// The number of further entries that are asked while the readers do not answer.
const RESERVES: usize = 2;

/// An entry, as far as the choice depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The VM of the entry.
    pub vm: &'a Vm,
    /// The availability zone it runs in.
    pub zone: &'a Zone,
    /// The share of a core that it may use.
    pub power: f64,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
}

/// An entry to follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The VM of the entry.
    pub vm: Vm,
    /// The address at which other entries reach it.
    pub address: SocketAddr,
}

/// Returns the entries that `own` can follow, in the order in which it asks them; none if it reads
/// the store itself. The followers of a zone are divided among its readers. All of them rank before
/// `own`, so that no two entries follow each other.
#[must_use]
pub fn readers<'a>(
    own: &Vm,
    zone: &Zone,
    members: impl Iterator<Item = Member<'a>>,
) -> Vec<Reader> {
    let mut ranked: Vec<Member<'_>> = members.filter(|member| member.zone == zone).collect();
    if ranked.len() <= MAX_READING_ZONE {
        return Vec::new();
    }
    ranked.sort_by(|a, b| compare_rank(a, b));
    let position = ranked.iter().position(|member| member.vm == own);
    if position.is_some_and(|position| position < READERS_PER_ZONE) {
        return Vec::new();
    }
    let preference = |member: &Member<'_>| key::rendezvous_weight(own.as_str(), member.vm.as_str());
    ranked[..READERS_PER_ZONE].sort_by_key(preference);
    let before = ranked.iter().take_while(|member| member.vm != own);
    let chosen = before.take(READERS_PER_ZONE + RESERVES);
    chosen.map(|member| Reader { vm: member.vm.clone(), address: member.address }).collect()
}

/// Returns true if any zone has entries that follow others, by the zones of all entries.
#[must_use]
pub fn has_followers<'a>(zones: impl Iterator<Item = &'a Zone>) -> bool {
    let mut counts: HashMap<&Zone, usize> = HashMap::new();
    zones.for_each(|zone| *counts.entry(zone).or_default() += 1);
    counts.values().any(|count| *count > MAX_READING_ZONE)
}

/// Orders members by power, the strongest first, and then in an order that differs by zone.
fn compare_rank(a: &Member<'_>, b: &Member<'_>) -> Ordering {
    let weight =
        |member: &Member<'_>| key::rendezvous_weight(member.zone.as_str(), member.vm.as_str());
    b.power.total_cmp(&a.power).then_with(|| weight(a).cmp(&weight(b)))
}
