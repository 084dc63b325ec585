//! Whether the routing configuration is known to be in force, for both threads.

use {
    key::clock::Tick,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// What the control thread knows of the age of the routing configuration. Times are microseconds of
/// [`Tick`]; zero stands for none.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// The latest moment at which no newer version existed; zero while a newer one is known.
    confirmed_at: AtomicU64,
    /// Since when a newer version is known.
    behind_since: AtomicU64,
    /// The first moment at which the configuration was known to be in force.
    first_confirmed_at: AtomicU64,
}

impl Freshness {
    /// Records the latest moment at which the configuration was in force, and since when a newer
    /// one is known.
    pub(crate) fn set(&self, in_force_at: Option<Tick>, behind_since: Option<Tick>) {
        let micros = |at: Option<Tick>| at.map_or(0, Tick::as_micros);
        self.confirmed_at.store(micros(in_force_at), Ordering::Relaxed);
        self.behind_since.store(micros(behind_since), Ordering::Relaxed);
        if in_force_at.is_some() && self.first_confirmed_at.load(Ordering::Relaxed) == 0 {
            self.first_confirmed_at.store(micros(in_force_at), Ordering::Relaxed);
        }
    }

    /// Returns true if the configuration was known to be in force `limit` ago or later. Only then
    /// does the lack of a route prove that there is none.
    pub(crate) fn is_in_force(&self, limit: Duration, now: Tick) -> bool {
        let at = self.confirmed_at.load(Ordering::Relaxed);
        at != 0 && now.before(limit).as_micros() <= at
    }

    /// Returns true if the configuration allows this entry to take new callers: it has been in
    /// force since the start of the process, and has not been known to be outdated for `limit`.
    ///
    /// An entry that hears nothing stays ready, so that a zone that is cut off goes on serving.
    pub(crate) fn allows_callers(&self, limit: Duration, now: Tick) -> bool {
        let behind_since = self.behind_since.load(Ordering::Relaxed);
        let is_outdated = behind_since != 0 && now.before(limit).as_micros() >= behind_since;
        self.first_confirmed_at.load(Ordering::Relaxed) != 0 && !is_outdated
    }
}
