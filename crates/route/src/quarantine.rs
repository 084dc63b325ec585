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
//!
//! A process that starts knows of no crash, and all entries may be restarted one after the other. So
//! requests that are refused are passed on as [`Suspect`]s, with their age, and the crate `edge`
//! also stores them.

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

/// The largest number of refused requests that other processes are told of; the latest ones.
const MAX_TOLD_SUSPECTS: usize = 256;

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

/// A suspect as entries pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The digests of the targets' instances that crashed.
    pub crashes: Vec<u64>,
    /// The time since the latest crash report, in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Suspicion {
    crashes: Vec<u64>,
    last_reported_at: Instant,
}

impl Suspicion {
    const fn is_refused(&self) -> bool {
        self.crashes.len() >= CRASHES_UNTIL_REFUSAL
    }
}

/// The requests that are suspected of crashing targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspicion>,
}

impl Quarantine {
    /// Records a crash report and returns true if it is the one from which the request is refused.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> bool {
        self.expire(now);
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&report.fingerprint) {
            return false;
        }
        let suspect = self
            .suspects
            .entry(report.fingerprint)
            .or_insert_with(|| Suspicion { crashes: Vec::new(), last_reported_at: now });
        suspect.last_reported_at = now;
        if suspect.crashes.contains(&report.crash) {
            return false;
        }
        suspect.crashes.push(report.crash);
        suspect.crashes.len() == CRASHES_UNTIL_REFUSAL
    }

    /// Drops the suspects whose latest crash report is too old.
    fn expire(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.last_reported_at) < SUSPECT_LIFETIME);
    }

    /// Returns the requests that are refused, the latest first, as far as others are told of them.
    #[must_use]
    pub fn refused(&self, now: Instant) -> Vec<Suspect> {
        let age = |suspect: &Suspicion| now.duration_since(suspect.last_reported_at);
        let is_told = |suspect: &Suspicion| suspect.is_refused() && age(suspect) < SUSPECT_LIFETIME;
        let refused = self.suspects.iter().filter(|(_, suspect)| is_told(suspect));
        let mut refused: Vec<Suspect> = refused
            .map(|(fingerprint, suspect)| Suspect {
                fingerprint: *fingerprint,
                crashes: suspect.crashes.iter().take(CRASHES_UNTIL_REFUSAL).copied().collect(),
                age_ms: age(suspect).as_millis() as u64,
            })
            .collect();
        refused.sort_by_key(|suspect| (suspect.age_ms, suspect.fingerprint.0));
        refused.truncate(MAX_TOLD_SUSPECTS);
        refused
    }

    /// Records what another process knows of a suspect. Returns true if the request is refused from
    /// now on.
    pub fn merge(&mut self, told: &Suspect, now: Instant) -> bool {
        self.expire(now);
        let age = Duration::from_millis(told.age_ms);
        let is_full = self.suspects.len() >= MAX_SUSPECTS;
        let is_known = self.suspects.contains_key(&told.fingerprint);
        if age >= SUSPECT_LIFETIME || (is_full && !is_known) {
            return false;
        }
        let reported_at = now.checked_sub(age).unwrap_or(now);
        let suspicion = self
            .suspects
            .entry(told.fingerprint)
            .or_insert_with(|| Suspicion { crashes: Vec::new(), last_reported_at: reported_at });
        let was_refused = suspicion.is_refused();
        for crash in told.crashes.iter().take(CRASHES_UNTIL_REFUSAL) {
            if !suspicion.crashes.contains(crash) {
                suspicion.crashes.push(*crash);
            }
        }
        suspicion.last_reported_at = suspicion.last_reported_at.max(reported_at);
        suspicion.is_refused() && !was_refused
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
        self.suspects.get(&fingerprint).is_some_and(Suspicion::is_refused)
    }

    /// Returns true if no request is a suspect, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
