//! What the registry knows of one target.

use {
    super::Registration,
    key::{Era, Version, clock::Tick},
    std::cmp::Ordering,
};

/// A target and what the registry knows of it.
#[derive(Clone, Debug)]
pub struct RegisteredTarget {
    /// Its latest registration.
    pub registration: Registration,
    /// The store's version of that registration.
    pub version: Version,
    pub(super) leaving_since: Option<Tick>,
    /// When it first said in an answer that it leaves, which it cannot take back.
    pub(super) said_leaving_at: Option<Tick>,
    pub(super) missing: Option<Missing>,
}

/// A registration that has disappeared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missing {
    pub(super) since: Tick,
    /// The end of the grace period, during which an outage of the store counts as the reason.
    pub(super) grace_until: Tick,
    /// Whether the store had come back from a copy, which lacks what was written since.
    pub(super) after_restore: bool,
    /// The era of the store in which it disappeared.
    pub(super) era: Era,
}

impl RegisteredTarget {
    /// Returns true if a registration that the store has in `era` is of an earlier run of the
    /// target, or no newer although the target is leaving or was gone before that era began.
    pub(super) fn is_copy(&self, registration: &Registration, era: Era) -> bool {
        if era <= self.version.era() {
            return false;
        }
        let is_over =
            self.leaving_since.is_some() || self.missing.is_some_and(|missing| missing.era < era);
        let known = &self.registration;
        match registration.started_at_ms.cmp(&known.started_at_ms) {
            Ordering::Less => true,
            Ordering::Equal => is_over && registration.sequence <= known.sequence,
            Ordering::Greater => false,
        }
    }

    /// Returns when the registration disappeared, at the earliest, if it has.
    #[must_use]
    pub fn missing_since(&self) -> Option<Tick> {
        self.missing.map(|missing| missing.since)
    }

    /// Returns true if the target was registered when the registry was last read.
    #[must_use]
    pub const fn is_registered(&self) -> bool {
        self.missing.is_none()
    }
}
