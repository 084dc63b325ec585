//! When an entry polls a table of the store itself, rather than through the entry that it follows.
//!
//! A follower learns what changes in a table with the answers about the registry. It leaves the
//! table to the other entry only for a short time after each answer, so that a reader that is gone,
//! cut off or slow delays news by no more than that time. An entry of an earlier release tells
//! nothing of the table, and the store is polled as if nobody was followed.

use {
    key::{Version, clock::Tick},
    std::time::Duration,
};

/// The share of the time limit for news for which an answer counts, in percent. The rest is for the
/// poll of the store that follows, and for what the news changes.
const COVERED_PERCENT: u32 = 40;

/// How an entry learns next what changes in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Another entry tells, until that time at least.
    Wait(Tick),
    /// The store is polled for the changes after a version.
    Poll(Version),
    /// The table is read from the store in full.
    Read,
}

/// What is known of a table, and until when another entry tells what changes in it.
#[derive(Clone, Copy, Debug)]
pub struct Coverage {
    version: Version,
    told_until: Option<Tick>,
    /// The time for which an answer of another entry counts.
    span: Duration,
}

impl Coverage {
    /// Returns the coverage of a table that has not been read, whose news has to be known within
    /// `limit`. An answer of another entry counts for at most `max_age`.
    #[must_use]
    pub fn new(limit: Duration, max_age: Duration) -> Self {
        let span = (limit * COVERED_PERCENT / 100).min(max_age);
        Self { version: Version::ZERO, told_until: None, span }
    }

    /// Returns the version up to which the table is known; zero if it is not.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Records that the table is known up to `version`, from the store or another entry.
    pub fn record_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Records that the store cannot give the changes, so the table has to be read again.
    pub const fn record_lost_history(&mut self) {
        self.version = Version::ZERO;
    }

    /// Records an answer of the entry that this one follows, which knows the table up to `version`.
    pub fn record_answer(&mut self, version: Version, now: Tick) {
        self.record_version(version);
        self.told_until = Some(now.plus(self.span));
    }

    /// Records that no other entry tells what changes.
    pub const fn end(&mut self) {
        self.told_until = None;
    }

    /// Returns true if another entry tells what changes.
    #[must_use]
    pub fn is_covered(&self, now: Tick) -> bool {
        self.told_until.is_some_and(|until| now < until)
    }

    /// Returns how to learn what changes next.
    #[must_use]
    pub fn next(&self, now: Tick) -> Step {
        match self.told_until.filter(|until| now < *until) {
            Some(until) => Step::Wait(until),
            None if self.version == Version::ZERO => Step::Read,
            None => Step::Poll(self.version),
        }
    }
}
