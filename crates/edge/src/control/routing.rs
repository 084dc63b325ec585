//! This process's copy of the routing configuration, and what it knows of newer versions.
//!
//! Entries tell each other versions only. The configuration may have megabytes, and a message that
//! carried it with each report or reply would be repeated by every entry at once, just when the
//! receiver is too slow to answer in time. So an entry that is behind fetches the configuration
//! itself, once at a time, from one entry that has it.
//!
//! A copy is in force as long as no newer version is known and the store, directly or through the
//! leader, has confirmed a short time ago that there is none.

use {
    conf::routing::Routing,
    key::{Version, clock::Tick},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The time that this process's own long poll has to bring a newer version before it is fetched from
/// another entry.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// The time between two attempts to fetch.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A newer version that another entry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Newer {
    pub(crate) version: Version,
    /// The address of an entry that has it.
    pub(crate) holder: SocketAddr,
    /// When this process first heard that it is behind.
    pub(crate) since: Tick,
}

/// The copy of the routing configuration.
#[derive(Debug, Default)]
pub(crate) struct Copy {
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

impl Copy {
    /// Returns the configuration, if there is one.
    pub(crate) const fn routing(&self) -> Option<&Arc<Routing>> {
        self.routing.as_ref()
    }

    /// Returns the version, which is zero without a configuration.
    pub(crate) fn version(&self) -> Version {
        self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version)
    }

    /// Replaces the configuration if `routing` is newer, and returns whether it is.
    pub(crate) fn replace(&mut self, routing: Routing) -> bool {
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
    pub(crate) fn confirm(&mut self, version: Version, at: Tick) {
        if self.routing.is_some() && version <= self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that the entry at `holder` has `version`.
    pub(crate) fn hear(&mut self, version: Version, holder: SocketAddr, now: Tick) {
        if version <= self.version() {
            return;
        }
        let known = self.newer.filter(|newer| newer.version >= version);
        let since = self.newer.map_or(now, |newer| newer.since);
        self.newer = Some(known.unwrap_or(Newer { version, holder, since }));
    }

    /// Returns the newer version that is known, if this copy is behind.
    pub(crate) const fn newer(&self) -> Option<Newer> {
        self.newer
    }

    /// Returns the latest moment at which no newer version existed, unless one is known.
    pub(crate) fn in_force_at(&self) -> Option<Tick> {
        self.confirmed_at.filter(|_| self.newer.is_none())
    }

    /// Starts a fetch if one is due, and returns the newer version and the number of fetches before
    /// this one. While the store is unavailable, no long poll can bring the version, so none is
    /// waited for.
    pub(crate) fn start_fetch(
        &mut self,
        store_available: bool,
        now: Tick,
    ) -> Option<(Newer, usize)> {
        let newer = self.newer?;
        let delay = if store_available { FETCH_DELAY } else { Duration::ZERO };
        if self.fetching || now < self.fetch_not_before || now.since(newer.since) < delay {
            return None;
        }
        self.fetching = true;
        self.fetches += 1;
        Some((newer, self.fetches - 1))
    }

    /// Records that the fetch has ended.
    pub(crate) fn end_fetch(&mut self, now: Tick) {
        self.fetching = false;
        self.fetch_not_before = now.plus(FETCH_RETRY_INTERVAL);
    }
}
