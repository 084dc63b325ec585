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
    /// What its latest registration says of its warm-up.
    pub(super) warmup: Warmup,
}

/// Until when a target is cold, by its latest registration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Warmup {
    /// The version of that registration.
    pub(super) version: Version,
    /// None if the target was warm when it wrote the registration.
    pub(super) cold_until: Option<Tick>,
    /// When it was written, at the earliest, if that is known.
    pub(super) written_at: Option<Tick>,
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

    /// Returns until when the target is cold, perhaps an instant that has passed; none if it was warm
    /// when it wrote its registration.
    #[must_use]
    pub const fn cold_until(&self) -> Option<Tick> {
        self.warmup.cold_until
    }

    /// Returns when the target wrote its latest registration, at the earliest; the time of boot if
    /// that is not known.
    #[must_use]
    pub fn written_at(&self) -> Tick {
        self.warmup.written_at.unwrap_or_default()
    }

    /// Returns true if the target was registered when the registry was last read.
    #[must_use]
    pub const fn is_registered(&self) -> bool {
        self.missing.is_none()
    }
}
