//! The crash reports that a process still passes on.
//!
//! Retries of a request that crashes targets arrive at any entry, so a crash report has to reach all
//! of them. Each process keeps the reports of the last minutes, its own and those that it heard, and
//! reports them to the leader until that leader has replied. A new leader is told all of them again:
//! the former one may have been lost, or have lost the leadership, before it passed them on, and a
//! call that failed may not have arrived. A leader passes on what it has heard for a few seconds.
//!
//! Reports carry their age, so that they expire everywhere at the same time however often they are
//! passed on. A refused request outlives that in the quarantine and in the store.

use {
    crate::quarantine::{CrashReport, Fingerprint},
    key::{Process, clock::Tick},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// The time after a crash at which its report is dropped: twice the time between two reports of an
/// entry in a fleet of 13,000, so that every entry has reported to a new leader.
const LIFETIME: Duration = Duration::from_secs(120);

/// The time for which a report that was just heard is passed on with replies.
const PASSING_TIME: Duration = Duration::from_secs(3);

/// The largest number of reports that are kept; the oldest are dropped first.
const MAX_KEPT: usize = 1_024;

/// The largest number of reports in one message to the leader; the rest follow with later ones.
const MAX_REPORTED: usize = 64;

/// The largest number of reports in one reply; the latest ones.
const MAX_PASSED_ON: usize = 256;

/// A crash report as processes pass it on. Earlier releases neither send the age nor read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The report.
    #[serde(flatten)]
    pub report: CrashReport,
    /// The time since the crash, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    report: CrashReport,
    crashed_at: Tick,
    /// Since when it is passed on with replies.
    heard_at: Tick,
    /// Whether the present leader knows it.
    is_told: bool,
}

impl Kept {
    fn notice(&self, now: Tick) -> CrashNotice {
        let age_ms = now.since(self.crashed_at).as_millis() as u64;
        CrashNotice { report: self.report, age_ms }
    }
}

/// The recent crash reports that a process knows, and which of them the leader knows.
#[derive(Debug, Default)]
pub struct CrashLog {
    /// In the order in which they were heard.
    kept: VecDeque<Kept>,
    leader: Option<Process>,
    /// The reports in the message to the present leader that has no reply yet.
    in_flight: Vec<CrashReport>,
}

impl CrashLog {
    /// Takes note of the leader. One that is new is told all reports again, and so is everyone who
    /// reports here; those on requests that are no longer suspected are dropped.
    pub fn follow(
        &mut self,
        leader: &Process,
        is_suspect: impl Fn(Fingerprint) -> bool,
        now: Tick,
    ) {
        if self.leader.as_ref() == Some(leader) {
            return;
        }
        self.leader = Some(leader.clone());
        // A reply to a message to the former leader proves nothing of the new one.
        self.in_flight.clear();
        self.kept.retain(|kept| is_suspect(kept.report.fingerprint));
        for kept in &mut self.kept {
            kept.is_told = false;
            kept.heard_at = now;
        }
    }

    /// Records a crash that this process saw, or that another one reported.
    pub fn record(&mut self, notice: CrashNotice, now: Tick) {
        self.keep(notice, false, now);
    }

    /// Records a crash that the present leader passed on.
    pub fn record_told(&mut self, notice: CrashNotice, now: Tick) {
        self.keep(notice, true, now);
    }

    fn keep(&mut self, notice: CrashNotice, is_told: bool, now: Tick) {
        let crashed_at = now.before(Duration::from_millis(notice.age_ms));
        if let Some(known) = self.kept.iter_mut().find(|kept| kept.report == notice.report) {
            known.crashed_at = known.crashed_at.min(crashed_at);
            known.is_told |= is_told;
            return;
        }
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept { report: notice.report, crashed_at, heard_at: now, is_told });
        self.expire(now);
    }

    /// Drops the reports of crashes that are too old.
    pub fn expire(&mut self, now: Tick) {
        self.kept.retain(|kept| now.since(kept.crashed_at) < LIFETIME);
    }

    /// Returns what the next message to the leader has to contain. It stays due until
    /// [`Self::acknowledge`].
    pub fn report(&mut self, now: Tick) -> Vec<CrashNotice> {
        let due = self.kept.iter().filter(|kept| !kept.is_told).take(MAX_REPORTED);
        let due: Vec<CrashNotice> = due.map(|kept| kept.notice(now)).collect();
        self.in_flight = due.iter().map(|notice| notice.report).collect();
        due
    }

    /// Records that the present leader has replied to the last message.
    pub fn acknowledge(&mut self) {
        for kept in &mut self.kept {
            kept.is_told |= self.in_flight.contains(&kept.report);
        }
        self.in_flight.clear();
    }

    /// Returns what replies pass on.
    #[must_use]
    pub fn passed_on(&self, now: Tick) -> Vec<CrashNotice> {
        let is_passed_on = |kept: &&Kept| now.since(kept.heard_at) <= PASSING_TIME;
        let latest = self.kept.iter().rev().filter(is_passed_on).take(MAX_PASSED_ON);
        latest.map(|kept| kept.notice(now)).collect()
    }
}
