//! Quarantine of requests that crash the targets that run them.
//!
//! A request that is in flight when a target crashes becomes a suspect. A complete response clears
//! it. After crashes of two different instances of targets the request is refused, so that its
//! retries cannot crash one target after another.
//!
//! Entries share their crash reports, because retries of one request can arrive at different
//! entries. An entry of the crate `entry` sends its report to all peers and waits for their
//! replies, up to a time limit, before it sends a retry. An entry of the crate `edge` queues its
//! report for its next exchange with the leader and does not wait, so until the report has spread
//! the other entries do not refuse the request.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// The number of crashes after which a request is refused.
const CRASHES_UNTIL_REFUSAL: usize = 2;

/// The time after its latest crash report at which a suspect expires.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// The largest number of suspects; new ones are not recorded until one is cleared or expires.
const MAX_SUSPECTS: usize = 4_096;

/// A digest of a request's content, the same for each repetition of the request.
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

/// A report that a target crashed while it had a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// A digest of the target's instance, so that one crash seen by two entries counts once.
    #[serde(rename = "death")]
    pub crash: u64,
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<u64>,
    last_reported_at: Instant,
}

/// The requests that are suspected of crashing targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Records a crash report and returns true if it is the one from which the request is refused.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> bool {
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.last_reported_at) < SUSPECT_LIFETIME);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&report.fingerprint) {
            return false;
        }
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspect { crashes: Vec::new(), last_reported_at: now });
        suspect.last_reported_at = now;
        if suspect.crashes.contains(&report.crash) {
            return false;
        }
        suspect.crashes.push(report.crash);
        suspect.crashes.len() == CRASHES_UNTIL_REFUSAL
    }

    /// Records a complete response, which clears the request unless it is refused already.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.is_refused(fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns true if any crash is reported for a request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns true if a request is refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.crashes.len() >= CRASHES_UNTIL_REFUSAL)
    }

    /// Returns true if no request is a suspect, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
