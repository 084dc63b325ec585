//! This process's replica of the routing configuration, and what it knows of newer versions.
//!
//! Entries tell each other versions only. The configuration may have megabytes, and a message that
//! carried it with each report or reply would be repeated by every entry at once, just when the
//! receiver is too slow to answer in time. So an entry that is behind fetches the configuration
//! itself, once at a time, from one entry that has it.
//!
//! A replica is in force as long as no newer version is known and the store, directly or through
//! the leader, has confirmed a short time ago that there is none.

use {
    conf::routing::Routing,
    key::{Version, clock::Tick},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The time that this process's own long poll has to bring a newer version before it is fetched
/// from another entry.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// The time between two attempts to fetch.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The time without a message that names it after which a newer version is forgotten: the entries
/// that had it may have ended.
const NEWER_RETENTION: Duration = Duration::from_secs(5);

/// A newer version that another entry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Newer {
    /// The version.
    pub version: Version,
    /// The address of an entry that has it.
    pub holder: SocketAddr,
    /// When this process first heard that it is behind.
    pub since: Tick,
    /// When it last heard so.
    heard_at: Tick,
}

/// A process's replica of the routing configuration.
#[derive(Debug, Default)]
pub struct Replica {
    routing: Option<Arc<Routing>>,
    /// The latest moment at which no newer version existed.
    confirmed_at: Option<Tick>,
    newer: Option<Newer>,
    fetching: bool,
    /// When the next fetch may start.
    fetch_not_before: Tick,
    /// The number of fetches so far.
    fetches: usize,
}

impl Replica {
    /// Returns the configuration, if there is one.
    #[must_use]
    pub const fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Returns the version, which is zero without a configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version)
    }

    /// Replaces the configuration if `routing` is newer, and returns whether it is.
    pub fn replace(&mut self, routing: Routing) -> bool {
        if routing.version <= self.version() {
            return false;
        }
        self.routing = Some(Arc::new(routing));
        if self.newer.is_some_and(|newer| newer.version <= self.version()) {
            self.newer = None;
        }
        true
    }

    /// Records that `version` was the newest one at the time `at`.
    pub fn confirm(&mut self, version: Version, at: Tick) {
        if self.routing.is_some() && version <= self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that the entry at `holder` has `version`.
    pub fn hear(&mut self, version: Version, holder: SocketAddr, now: Tick) {
        if version <= self.version() {
            return;
        }
        let since = self.newer.map_or(now, |newer| newer.since);
        let new = Newer { version, holder, since, heard_at: now };
        let known = self.newer.filter(|known| known.version > version);
        self.newer = Some(known.map_or(new, |known| Newer { heard_at: now, ..known }));
    }

    /// Forgets a newer version that no message has named for a while.
    pub fn expire(&mut self, now: Tick) {
        self.newer = self.newer.filter(|newer| now.since(newer.heard_at) < NEWER_RETENTION);
    }

    /// Returns the newer version that is known, if this replica is behind.
    #[must_use]
    pub const fn newer(&self) -> Option<Newer> {
        self.newer
    }

    /// Returns the latest moment at which no newer version existed, unless one is known.
    #[must_use]
    pub fn in_force_at(&self) -> Option<Tick> {
        self.confirmed_at.filter(|_| self.newer.is_none())
    }

    /// Starts a fetch if one is due, and returns the newer version and the number of fetches before
    /// this one. Without a configuration, or while the store is unavailable and no long poll can
    /// bring the version, none is waited for.
    pub fn start_fetch(&mut self, store_available: bool, now: Tick) -> Option<(Newer, usize)> {
        let newer = self.newer?;
        let may_wait = store_available && self.routing.is_some();
        let delay = if may_wait { FETCH_DELAY } else { Duration::ZERO };
        if self.fetching || now < self.fetch_not_before || now.since(newer.since) < delay {
            return None;
        }
        self.fetching = true;
        self.fetches += 1;
        Some((newer, self.fetches - 1))
    }

    /// Records that the fetch has ended.
    pub fn end_fetch(&mut self, now: Tick) {
        self.fetching = false;
        self.fetch_not_before = now.plus(FETCH_RETRY_INTERVAL);
    }
}
