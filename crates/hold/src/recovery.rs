//! What a new leader may take for granted after the store came back from a copy.
//!
//! A grant follows a write of a map, so while the store loses nothing, the maps show every key that
//! a target may hold. A copy lacks the last changes: a map in it can be old, and one that was first
//! written after the copy was made is missing. A missing map also belongs to a fleet that starts for
//! the first time, so its absence alone proves nothing. The proofs that it was never written are:
//! the store has not come back from a copy yet; this process belongs to the first start of the
//! fleet and has heard of no other era since; or the era is so old that all grants of earlier ones
//! have run out.
//!
//! The leadership record carries a [`Mark`], so that a later leader counts the age of an era from
//! where the first one saw it. All ages are differences of the store's own clock. See
//! docs/OWNERSHIP.md.

use {
    key::Era,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What the leaders of an era tell later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The era.
    pub era: Era,
    /// The store's clock when the first of them saw the era, in milliseconds.
    pub seen_at_ms: u64,
    /// Whether a leader may have sent orders to targets in this era.
    pub has_orders: bool,
}

/// The store's clock, as far as it tells the age of an era.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraClock {
    era: Era,
    /// The clock in the first answer of the era.
    first: Duration,
    /// The clock in the latest answer of the era.
    latest: Duration,
}

impl EraClock {
    /// Records the clock in an answer of the store.
    pub const fn record(&mut self, era: Era, clock: Duration) {
        if era.get() > self.era.get() {
            *self = Self { era, first: clock, latest: clock };
        } else if era.get() == self.era.get() && clock.as_nanos() > self.latest.as_nanos() {
            self.latest = clock;
        }
    }

    /// Returns the store's clock in its latest answer.
    #[must_use]
    pub const fn latest(&self) -> Duration {
        self.latest
    }

    /// Returns for how long an era has lasted at least, as of the latest answer; `None` if no answer
    /// of that era was recorded.
    #[must_use]
    pub fn age(&self, era: Era, mark: Option<Mark>) -> Option<Duration> {
        let mark = self.mark(era, mark, false)?;
        Some(self.latest.saturating_sub(Duration::from_millis(mark.seen_at_ms)))
    }

    /// Returns the mark for a leadership record that is written in an era, from the `known` one.
    #[must_use]
    pub fn mark(&self, era: Era, known: Option<Mark>, has_orders: bool) -> Option<Mark> {
        if self.era != era {
            return None;
        }
        let known = known.filter(|mark| mark.era == era);
        let first_ms = self.first.as_millis() as u64;
        Some(Mark {
            era,
            seen_at_ms: known.map_or(first_ms, |mark| mark.seen_at_ms.min(first_ms)),
            has_orders: has_orders || known.is_some_and(|mark| mark.has_orders),
        })
    }
}

/// How long grants may outlive what is known of them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest time for which a former leader may renew grants without the store.
    pub lease: Duration,
    /// The longest time for which a grant can be in force.
    pub validity: Duration,
}

/// What a leader knows when it decides whether it may send orders.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// The era in which it leads.
    pub era: Era,
    /// Whether it belongs to the first start of the fleet and has heard of no other era.
    pub is_first_start: bool,
    /// Whether the map of a service with keys is of an earlier era.
    pub is_map_outdated: bool,
    /// Whether a service with keys has no map.
    pub is_map_missing: bool,
    /// What earlier leaders of this era tell.
    pub mark: Option<Mark>,
    /// For how long the era has lasted at least.
    pub era_age: Option<Duration>,
}

impl Evidence {
    /// Returns true if targets may hold keys under grants that no map known here shows.
    #[must_use]
    pub fn may_lack_grants(&self, limits: Limits) -> bool {
        let is_original = self.era <= Era::FIRST || self.is_first_start;
        let has_outlived_grants =
            self.era_age.is_some_and(|age| age >= limits.lease + limits.validity);
        self.is_map_outdated || (self.is_map_missing && !is_original && !has_outlived_grants)
    }

    /// Returns true if a leader has to write to the leadership record that it sends orders before it
    /// sends the first one.
    #[must_use]
    pub fn needs_mark(&self) -> bool {
        self.era > Era::FIRST && !self.mark.is_some_and(|mark| mark.has_orders)
    }

    /// Returns how long to wait until grants that nobody remembers have run out. `may_be_renewed`
    /// says that a process which did not answer may still renew some.
    ///
    /// If no leader of this era has sent orders, the last grant was renewed in an earlier one, and
    /// the time since the era began counts.
    #[must_use]
    pub fn waiting_time(&self, limits: Limits, may_be_renewed: bool) -> Duration {
        let lease = if may_be_renewed { limits.lease } else { Duration::ZERO };
        let from_now = lease + limits.validity;
        let is_without_orders =
            self.era > Era::FIRST && self.mark.is_some_and(|mark| !mark.has_orders);
        let age = self.era_age.filter(|_| is_without_orders);
        age.map_or(from_now, |age| {
            from_now.min((limits.lease + limits.validity).saturating_sub(age))
        })
    }
}
