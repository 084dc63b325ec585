//! Requests that crash the targets that run them.
//!
//! A request that was in flight when a target died gets a strike. A whole answer clears its strikes;
//! at two strikes from different runs of targets it is refused, so that it cannot walk through the
//! fleet. Strikes are shared between entries before a retry is sent.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// The strikes at which a request is refused.
const LIMIT: usize = 2;

/// The life of a strike.
const MEMORY: Duration = Duration::from_secs(600);

/// The most requests remembered.
const CAPACITY: usize = 4_096;

/// The identity of a request by its content, so that a repeat has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut digest = key::Digest::default();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            digest.add(&(part.len() as u64).to_le_bytes());
            digest.add(part);
        }
        Self(digest.finish())
    }
}

/// A death of a target while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// A digest of the target and its run, so that one death seen by two entries counts once.
    #[serde(rename = "death")]
    pub crash: u64,
}

#[derive(Debug)]
struct Suspect {
    deaths: Vec<u64>,
    since: Instant,
}

/// The requests with strikes.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Notes a strike and tells whether it is the one that makes the request refused.
    pub fn record_crash(&mut self, strike: CrashReport, now: Instant) -> bool {
        self.suspects.retain(|_, suspect| now.duration_since(suspect.since) < MEMORY);
        if self.suspects.len() >= CAPACITY && !self.suspects.contains_key(&strike.fingerprint) {
            return false;
        }
        let suspect = self
            .suspects
            .entry(strike.fingerprint)
            .or_insert_with(|| Suspect { deaths: Vec::new(), since: now });
        suspect.since = now;
        if suspect.deaths.contains(&strike.crash) {
            return false;
        }
        suspect.deaths.push(strike.crash);
        suspect.deaths.len() == LIMIT
    }

    /// Notes a whole answer, which proves the request harmless unless it is refused already.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.is_refused(fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Tells whether a request has any strike.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Tells whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.deaths.len() >= LIMIT)
    }

    /// Tells whether no request has a strike, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
