//! What a reader remembers of the rows of a table, so that it can pass them on.
//!
//! A follower names the version up to which it knows the table, and gets the rows that were read
//! after it. A table that was read in full and has few rows can also be given as a whole, so that a
//! follower that has just started need not read it. Of a larger table only the latest changes are
//! remembered: holding every row a second time would cost memory in every entry.

use {
    key::Version,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// The number of rows that are remembered. A row of an entry has some 200 bytes, so this is at most
/// some 100 KB.
const MAX_ROWS: usize = 512;

#[derive(Clone, Debug)]
struct Item<T> {
    /// The version of the table up to which it was read when this row came.
    read_in: Version,
    /// The row, or that it was removed.
    row: T,
    is_removed: bool,
}

/// The rows that a reader can give a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News<T> {
    /// The rows that changed since, removals included.
    Changes(Vec<T>),
    /// All rows that there are.
    Complete(Vec<T>),
    /// Which rows changed is not known, so the follower has to ask the store.
    Unknown,
}

/// The rows of a table that were read last, by key, with the version at which each was read.
#[derive(Clone)]
pub struct RowLog<K, T> {
    items: BTreeMap<K, Item<T>>,
    /// The keys in the order in which their rows were read.
    order: BTreeSet<(Version, K)>,
    version: Version,
    /// The version from which on every change is remembered.
    complete_from: Version,
    /// Whether the rows remembered are all that there are.
    is_whole: bool,
}

impl<K, T> fmt::Debug for RowLog<K, T> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = out.debug_struct("RowLog");
        out.field("version", &self.version).field("rows", &self.items.len());
        out.finish_non_exhaustive()
    }
}

impl<K, T> Default for RowLog<K, T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            order: BTreeSet::new(),
            version: Version::ZERO,
            complete_from: Version::ZERO,
            is_whole: false,
        }
    }
}

impl<K: Clone + Ord, T: Clone> RowLog<K, T> {
    /// Returns the version up to which the table was read; zero if it was not.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Forgets all rows since the table was read in full at `version`. The rows are recorded then.
    pub fn restart(&mut self, version: Version) {
        self.items.clear();
        self.order.clear();
        self.version = version;
        self.complete_from = version;
        self.is_whole = true;
    }

    /// Records a row, or its removal, that was read at `version`.
    pub fn record(&mut self, version: Version, key: K, row: T, is_removed: bool) {
        let item = Item { read_in: version, row, is_removed };
        if let Some(former) = self.items.insert(key.clone(), item) {
            self.order.remove(&(former.read_in, key.clone()));
        }
        self.order.insert((version, key));
        while self.items.len() > MAX_ROWS {
            let Some((read_in, key)) = self.order.pop_first() else { break };
            self.items.remove(&key);
            self.complete_from = self.complete_from.max(read_in);
            self.is_whole = false;
        }
    }

    /// Records that every change up to `version` has been read.
    pub fn record_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Returns true if [`Self::since`] has anything that a follower lacks which knows the table up
    /// to `after`.
    #[must_use]
    pub fn has_news(&self, after: Version) -> bool {
        if after >= self.version {
            return false;
        }
        if !self.is_known(after) {
            return self.is_whole;
        }
        self.order.last().is_some_and(|(read_in, _)| *read_in > after)
    }

    /// Returns the rows that were read after `after`.
    #[must_use]
    pub fn since(&self, after: Version) -> News<T> {
        if self.version == Version::ZERO || after.era() > self.version.era() {
            return News::Unknown;
        }
        if after > self.version {
            return News::Changes(Vec::new());
        }
        if self.is_known(after) {
            let newer = self.items.values().filter(|item| item.read_in > after);
            return News::Changes(newer.map(|item| item.row.clone()).collect());
        }
        if self.is_whole {
            let listed = self.items.values().filter(|item| !item.is_removed);
            return News::Complete(listed.map(|item| item.row.clone()).collect());
        }
        News::Unknown
    }

    fn is_known(&self, after: Version) -> bool {
        after != Version::ZERO
            && after >= self.complete_from
            && after.era() == self.complete_from.era()
    }
}
