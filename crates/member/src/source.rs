//! What an entry polls next.

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

/// The entries that can be polled, and those that failed a short time ago.
#[derive(Debug, Default)]
pub struct Sources {
    readers: Vec<Reader>,
    failed_at: HashMap<Vm, Tick>,
}

impl Sources {
    /// Replaces the entries to follow.
    pub fn set_readers(&mut self, readers: Vec<Reader>) {
        self.failed_at.retain(|vm, _| readers.iter().any(|reader| reader.vm == *vm));
        self.readers = readers;
    }

    /// Returns what to poll now: the first entry that has not failed, or the store if all have.
    #[must_use]
    pub fn next(&self, now: Tick) -> Source {
        let has_failed = |reader: &&Reader| {
            let failed_at = self.failed_at.get(&reader.vm);
            failed_at.is_some_and(|failed_at| now.since(*failed_at) < FAILURE_BACKOFF)
        };
        let usable = self.readers.iter().find(|reader| !has_failed(reader));
        usable.map_or(Source::Store, |reader| Source::Entry(reader.clone()))
    }

    /// Records that an entry gave no usable answer.
    pub fn record_failure(&mut self, reader: &Reader, now: Tick) {
        self.failed_at.insert(reader.vm.clone(), now);
    }
}
