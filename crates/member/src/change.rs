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

    /// Records a change.
    pub fn record(&mut self, version: Version, subject: T) {
        self.changes.push_back((version, subject));
        while self.changes.len() > MAX_CHANGES {
            if let Some((version, _)) = self.changes.pop_front() {
                self.complete_from = self.complete_from.max(version);
            }
        }
    }

    /// Returns the subjects that changed after `version`, or `None` if that is not known.
    #[must_use]
    pub fn since(&self, version: Version) -> Option<BTreeSet<T>> {
        let is_known = version >= self.complete_from && version.era() == self.complete_from.era();
        is_known.then(|| {
            let newer = self.changes.iter().filter(|(changed_in, _)| *changed_in > version);
            newer.map(|(_, subject)| subject.clone()).collect()
        })
    }
}
