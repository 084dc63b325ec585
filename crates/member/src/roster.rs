//! The entries that have a row in the store.
//!
//! A store that came back from a copy may lack the row of an entry that lives; the entry writes it
//! again. So a row that is missing in a later era is no removal, until it has been missing for
//! longer than a living entry needs.

use {
    key::{Version, Vm, clock::Tick},
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// The time for which an entry stays known whose row a copy of the store lacks.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Item<M> {
    member: M,
    version: Version,
    learned_at: Tick,
    unlisted_since: Option<Tick>,
}

/// The rows of entries, by the name of their VM.
#[derive(Clone, Debug)]
pub struct Roster<M> {
    items: BTreeMap<Vm, Item<M>>,
}

impl<M> Default for Roster<M> {
    fn default() -> Self {
        Self { items: BTreeMap::new() }
    }
}

impl<M> Roster<M> {
    /// Records the row of an entry.
    pub fn record(&mut self, vm: Vm, member: M, version: Version, now: Tick) {
        let known = self.items.get(&vm);
        if known.is_some_and(|known| known.version > version) {
            return;
        }
        let same = known.filter(|known| known.version == version);
        let learned_at = same.map_or(now, |known| known.learned_at);
        self.items.insert(vm, Item { member, version, learned_at, unlisted_since: None });
    }

    /// Records that the row of an entry was removed in a version. Returns true if it was known.
    pub fn remove(&mut self, vm: &Vm, version: Version) -> bool {
        let is_older = self.items.get(vm).is_some_and(|known| known.version <= version);
        is_older && self.items.remove(vm).is_some()
    }

    /// Removes the entries that a complete read of the rows, as of a version, does not contain.
    /// Those whose rows are of an earlier era stay for a while. Returns true if any was removed.
    pub fn retain_listed(&mut self, listed: &HashSet<&str>, version: Version, now: Tick) -> bool {
        let before = self.items.len();
        self.items.retain(|vm, item| {
            if listed.contains(vm.as_str()) || item.version > version {
                return true;
            }
            if item.version.era() == version.era() {
                return false;
            }
            item.unlisted_since.get_or_insert(now);
            true
        });
        self.items.len() < before
    }

    /// Removes the entries that have been missing for too long since the store came back. Returns
    /// true if any was removed.
    pub fn expire(&mut self, now: Tick) -> bool {
        let before = self.items.len();
        let is_recent = |since: Tick| now.since(since) < UNLISTED_RETENTION;
        self.items.retain(|_, item| item.unlisted_since.is_none_or(is_recent));
        self.items.len() < before
    }

    /// Returns the row of an entry.
    #[must_use]
    pub fn get(&self, vm: &Vm) -> Option<&M> {
        self.items.get(vm).map(|item| &item.member)
    }

    /// Returns the version of an entry's row, and when this process learned of it.
    #[must_use]
    pub fn row(&self, vm: &Vm) -> Option<(Version, Tick)> {
        self.items.get(vm).map(|item| (item.version, item.learned_at))
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = (&Vm, &M)> + Clone {
        self.items.iter().map(|(vm, item)| (vm, &item.member))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns true if no entry is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
