//! Decides when an entry, which is one process of the router, campaigns for leadership.
//!
//! A campaign is a conditional write, so two processes never win the same term. This module decides
//! only when to start one: late enough that a short loss of heartbeats changes nothing, and not
//! while the leader answers other entries.

use {key::clock::Tick, std::time::Duration};

/// The shortest time without a heartbeat of the leader after which an entry polls the others.
const MIN_POLL_AFTER: Duration = Duration::from_millis(900);

/// The number of report intervals without a heartbeat after which an entry polls the others.
const POLL_AFTER_REPORTS: f64 = 3.5;

/// The shortest time without a heartbeat after which the leader counts as unresponsive.
const MIN_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// The number of report intervals without a heartbeat after which the leader counts as
/// unresponsive.
const UNRESPONSIVE_AFTER_REPORTS: f64 = 2.2;

/// The time without a heartbeat after which an entry campaigns although few others answer its poll.
const CAMPAIGN_WITHOUT_MAJORITY_AFTER: Duration = Duration::from_secs(4);

/// How much later an entry campaigns for each entry that ranks before it.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// The back-off after a campaign or a poll was started, and after a poll that spoke against a
/// campaign.
const ATTEMPT_BACKOFF: Duration = Duration::from_millis(700);

/// How long a new process waits before it campaigns where there is no leader.
const INITIAL_CAMPAIGN_DELAY: Duration = Duration::from_millis(150);

/// How many percent more of the targets an entry has to reach to lead in place of another one.
const REACH_MARGIN_PERCENT: u8 = 25;

/// Returns true if an entry that does not reach a share of the targets should lead in place of one
/// that does not reach `leader_percent` of them. Targets that neither reaches make no difference.
#[must_use]
pub const fn is_better_placed(unreached_percent: u8, leader_percent: u8) -> bool {
    unreached_percent.saturating_add(REACH_MARGIN_PERCENT) <= leader_percent
}

/// What an entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Do nothing yet.
    Wait,
    /// Ask the other entries whether the leader answers them.
    Poll,
    /// Start a campaign.
    Campaign,
}

/// The leader according to the leadership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leader {
    /// There is no record.
    Vacant,
    /// The record names an earlier incarnation of this process.
    FormerSelf,
    /// The record names another process.
    Other {
        /// Whether the leader asked to be replaced.
        resigning: bool,
    },
}

/// The state of an entry's election timer.
#[derive(Clone, Debug)]
pub struct Election {
    last_heartbeat_at: Tick,
    /// When a campaign or a poll may start at the earliest.
    not_before: Tick,
    /// Whether the last poll spoke for a campaign.
    poll_supports_campaign: bool,
    /// Whether the leader asked to be replaced when it last answered.
    is_leader_resigning: bool,
    poll_after: Duration,
    unresponsive_after: Duration,
}

impl Election {
    /// Creates the state of a new process.
    #[must_use]
    pub const fn new(now: Tick) -> Self {
        Self {
            last_heartbeat_at: now,
            not_before: now.plus(INITIAL_CAMPAIGN_DELAY),
            poll_supports_campaign: false,
            is_leader_resigning: false,
            poll_after: MIN_POLL_AFTER,
            unresponsive_after: MIN_UNRESPONSIVE_AFTER,
        }
    }

    /// Sets the interval between two reports to the leader, whose answers are its heartbeats.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.poll_after = interval.mul_f64(POLL_AFTER_REPORTS).max(MIN_POLL_AFTER);
        self.unresponsive_after =
            interval.mul_f64(UNRESPONSIVE_AFTER_REPORTS).max(MIN_UNRESPONSIVE_AFTER);
    }

    /// Records that the leader answered, or that a new leader was recorded.
    pub const fn record_heartbeat(&mut self, now: Tick) {
        self.last_heartbeat_at = now;
        self.poll_supports_campaign = false;
        self.is_leader_resigning = false;
    }

    /// Records that the leader answered and asks to be replaced by an entry such as this one. The
    /// time until this entry campaigns counts from the first such answer, since the others go on.
    pub const fn record_resignation(&mut self, now: Tick) {
        if !self.is_leader_resigning {
            self.record_heartbeat(now);
            self.is_leader_resigning = true;
        }
    }

    /// Returns the time since the leader's last heartbeat.
    #[must_use]
    pub const fn unresponsive_for(&self, now: Tick) -> Duration {
        now.since(self.last_heartbeat_at)
    }

    /// Returns true if the last heartbeat is older than the interval between two reports explains.
    /// An entry's answer to the polls of others depends on this.
    #[must_use]
    pub fn is_leader_unresponsive(&self, now: Tick) -> bool {
        self.unresponsive_for(now) >= self.unresponsive_after
    }

    /// Records the result of a poll: of `entries` entries, this one included, `unresponsive_votes`
    /// others answered that the leader is unresponsive for them, too. `is_responsive` is true if
    /// any answered that it is not.
    pub fn record_poll(
        &mut self,
        unresponsive_votes: usize,
        is_responsive: bool,
        entries: usize,
        now: Tick,
    ) {
        let has_support = 2 * (unresponsive_votes + 1) > entries
            || self.unresponsive_for(now) >= CAMPAIGN_WITHOUT_MAJORITY_AFTER;
        self.poll_supports_campaign = has_support && !is_responsive;
        if !self.poll_supports_campaign {
            self.not_before = now.plus(ATTEMPT_BACKOFF);
        }
    }

    /// Records that this entry started a poll or a campaign.
    pub const fn record_attempt(&mut self, now: Tick) {
        self.poll_supports_campaign = false;
        self.not_before = now.plus(ATTEMPT_BACKOFF);
    }

    /// Decides what an entry does next if `rank` other entries rank before it.
    #[must_use]
    pub fn decide(&self, leader: Leader, rank: usize, now: Tick) -> Verdict {
        let rank_delay = RANK_DELAY * rank as u32;
        if now < self.not_before {
            return Verdict::Wait;
        }
        match leader {
            Leader::FormerSelf => Verdict::Campaign,
            Leader::Vacant if self.unresponsive_for(now) >= INITIAL_CAMPAIGN_DELAY + rank_delay => {
                Verdict::Campaign
            }
            Leader::Other { resigning: true } if self.unresponsive_for(now) >= rank_delay => {
                Verdict::Campaign
            }
            Leader::Other { .. } if self.unresponsive_for(now) >= self.poll_after + rank_delay => {
                if self.poll_supports_campaign {
                    Verdict::Campaign
                } else {
                    Verdict::Poll
                }
            }
            _ => Verdict::Wait,
        }
    }
}
