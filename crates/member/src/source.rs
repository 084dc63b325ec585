//! What an entry polls next.
//!
//! An entry is followed only after it has answered, and no longer once it has not. Until another
//! one has answered, the store is polled, so that a reader that is gone costs the time of one poll,
//! however many others that are gone stand behind it in the order.

use {
    crate::reader::Reader,
    key::{Vm, clock::Tick},
    std::{collections::HashMap, time::Duration},
};

/// The time for which an entry that gave no usable answer is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// What is polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another entry.
    Entry(Reader),
}

/// The entries that can be followed, the one that is, and those that failed a short time ago.
#[derive(Debug, Default)]
pub struct Sources {
    readers: Vec<Reader>,
    followed: Option<Reader>,
    failed_at: HashMap<Vm, Tick>,
}

impl Sources {
    /// Replaces the entries that can be followed.
    pub fn set_readers(&mut self, readers: Vec<Reader>) {
        self.failed_at.retain(|vm, _| readers.iter().any(|reader| reader.vm == *vm));
        self.followed = self.followed.take().filter(|followed| readers.contains(followed));
        self.readers = readers;
    }

    /// Returns what to poll now.
    #[must_use]
    pub fn next(&self) -> Source {
        self.followed.clone().map_or(Source::Store, Source::Entry)
    }

    /// Returns the entry to ask whether it answers, while the next source is polled: one that stands
    /// before the followed one and has not failed recently. Those that failed longest ago, or never,
    /// come first, so that each has its turn however many are gone.
    #[must_use]
    pub fn candidate(&self, now: Tick) -> Option<Reader> {
        let is_better = |reader: &&Reader| self.followed.as_ref() != Some(*reader);
        let failed_at = |reader: &&Reader| self.failed_at.get(&reader.vm).copied();
        let is_due = |reader: &&Reader| {
            failed_at(reader).is_none_or(|failed_at| now.since(failed_at) >= FAILURE_BACKOFF)
        };
        let better = self.readers.iter().take_while(is_better);
        better.filter(is_due).min_by_key(failed_at).cloned()
    }

    /// Records that a candidate answered: it is followed from now on.
    pub fn record_answer(&mut self, reader: Reader) {
        if self.readers.contains(&reader) {
            self.followed = Some(reader);
        }
    }

    /// Records that an entry gave no usable answer.
    pub fn record_failure(&mut self, reader: &Reader, now: Tick) {
        self.failed_at.insert(reader.vm.clone(), now);
        self.followed = self.followed.take().filter(|followed| followed != reader);
    }
}
