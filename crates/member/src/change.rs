//! What a reader remembers of changes.

use {
    key::Version,
    std::collections::{BTreeSet, VecDeque},
};

/// The number of changes that are remembered.
const MAX_CHANGES: usize = 4_096;

/// The subjects that changed, with the version of the store in which each change was read.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    changes: VecDeque<(Version, T)>,
    /// The version from which on every change is remembered.
    complete_from: Version,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self { changes: VecDeque::new(), complete_from: Version::ZERO }
    }
}

impl<T: Clone + Ord> ChangeLog<T> {
    /// Forgets all changes: which they were up to `version` is not known.
    pub fn restart(&mut self, version: Version) {
        self.changes.clear();
        self.complete_from = version;
    }

    /// Records a change. Changes are recorded in the order of their versions.
    pub fn record(&mut self, version: Version, subject: T) {
        self.changes.push_back((version, subject));
        while self.changes.len() > MAX_CHANGES {
            if let Some((version, _)) = self.changes.pop_front() {
                self.complete_from = self.complete_from.max(version);
            }
        }
    }

    /// Returns whether anything changed after `version`, or `None` if that is not known. A reader
    /// asks this for each of its followers, so it looks at the latest change only.
    #[must_use]
    pub fn has_changed_since(&self, version: Version) -> Option<bool> {
        let latest = self.changes.back().map(|(changed_in, _)| *changed_in);
        self.is_known(version).then(|| latest.is_some_and(|latest| latest > version))
    }

    /// Returns the subjects that changed after `version`, or `None` if that is not known.
    #[must_use]
    pub fn since(&self, version: Version) -> Option<BTreeSet<T>> {
        self.is_known(version).then(|| {
            let newer = self.changes.iter().filter(|(changed_in, _)| *changed_in > version);
            newer.map(|(_, subject)| subject.clone()).collect()
        })
    }

    fn is_known(&self, version: Version) -> bool {
        version >= self.complete_from && version.era() == self.complete_from.era()
    }
}
