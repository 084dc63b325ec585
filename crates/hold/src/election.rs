//! Deciding when to try to lead.
//!
//! Leading needs a write under a condition, so two processes never win the same term. What is decided
//! here is only when to try: late enough that a short silence changes nothing, and not while other
//! entries hear the leader.

use {key::clock::Tick, std::time::Duration};

/// The shortest silence of the leader after which others ask around.
const SILENCE: Duration = Duration::from_millis(900);

/// The reports without an answer after which others ask around.
const SILENT_REPORTS: f64 = 3.5;

/// The shortest silence, and the reports without an answer, after which an entry no longer counts as
/// hearing the leader.
const UNHEARD: Duration = Duration::from_millis(700);
const UNHEARD_REPORTS: f64 = 2.2;

/// The silence after which an entry tries to lead although it reaches few others.
const ALONE: Duration = Duration::from_secs(4);

/// The wait of an entry for each one that ranks before it.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// The wait after an attempt, and after a poll that came out against one.
const PAUSE: Duration = Duration::from_millis(700);

/// The wait of a fresh process before it tries to lead where nobody does.
const START: Duration = Duration::from_millis(150);

/// What to do about the leader's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Wait,
    /// Ask the other entries whether they hear the leader.
    Poll,
    /// Try to lead.
    Campaign,
}

/// What is known of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leader {
    /// No row names one.
    Vacant,
    /// The row names an earlier run of this process.
    FormerSelf,
    /// Another process.
    Other {
        /// It asked to be replaced.
        resigning: bool,
    },
}

/// When to try.
#[derive(Clone, Debug)]
pub struct Election {
    heard: Tick,
    not_before: Tick,
    polled: bool,
    silence: Duration,
    unheard: Duration,
}

impl Election {
    /// Returns what a fresh process knows.
    #[must_use]
    pub const fn new(now: Tick) -> Self {
        Self {
            heard: now,
            not_before: now.plus(START),
            polled: false,
            silence: SILENCE,
            unheard: UNHEARD,
        }
    }

    /// Sets the time between two reports to the leader.
    pub fn set_report_interval(&mut self, pace: Duration) {
        self.silence = pace.mul_f64(SILENT_REPORTS).max(SILENCE);
        self.unheard = pace.mul_f64(UNHEARD_REPORTS).max(UNHEARD);
    }

    /// Notes that the leader answered, or that a new one is named.
    pub const fn record_heartbeat(&mut self, now: Tick) {
        self.heard = now;
        self.polled = false;
    }

    /// Returns how long the leader has been silent.
    #[must_use]
    pub const fn unresponsive_for(&self, now: Tick) -> Duration {
        now.since(self.heard)
    }

    /// Tells whether the leader has been silent for longer than between two reports.
    #[must_use]
    pub fn is_leader_unresponsive(&self, now: Tick) -> bool {
        self.unresponsive_for(now) >= self.unheard
    }

    /// Notes the result of a poll: `silent` other entries answered that they do not hear the leader
    /// either, out of `entries` in all, and `heard` tells whether any does.
    pub fn record_poll(&mut self, silent: usize, heard: bool, entries: usize, now: Tick) {
        let many = 2 * (silent + 1) > entries || self.unresponsive_for(now) >= ALONE;
        self.polled = many && !heard;
        if !self.polled {
            self.not_before = now.plus(PAUSE);
        }
    }

    /// Notes an attempt to lead.
    pub const fn record_attempt(&mut self, now: Tick) {
        self.polled = false;
        self.not_before = now.plus(PAUSE);
    }

    /// Decides, for an entry before which `rank` others come.
    #[must_use]
    pub fn decide(&self, leader: Leader, rank: usize, now: Tick) -> Verdict {
        let turn = RANK_DELAY * rank as u32;
        if now < self.not_before {
            return Verdict::Wait;
        }
        match leader {
            Leader::FormerSelf => Verdict::Campaign,
            Leader::Vacant if self.unresponsive_for(now) >= START + turn => Verdict::Campaign,
            Leader::Other { resigning: true } if self.unresponsive_for(now) >= turn => {
                Verdict::Campaign
            }
            Leader::Other { .. } if self.unresponsive_for(now) >= self.silence + turn => {
                if self.polled { Verdict::Campaign } else { Verdict::Poll }
            }
            _ => Verdict::Wait,
        }
    }
}
