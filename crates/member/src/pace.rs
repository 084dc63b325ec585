//! How often the registry is polled, so that news reaches every entry in time.
//!
//! A target that leaves may get requests for a bounded time from the store's word on. On the way to
//! an entry that follows another one, that word passes links that each may be silent or slow. So
//! the bound is kept where it binds: an entry knows how old the store's last word is, from whomever
//! it came, and asks the store itself before that word is too old. Then it does not matter which
//! links were slow or silent, how many of them, or for how long:
//!
//! - an entry asks another one only if the answer can come before the last word is too old;
//! - it waits no longer than that, whatever part of the answer has come;
//! - the age of a word counts from the moment at which the store gave it, on each link.
//!
//! The shares for the other links only keep the store from being asked often: a reader pauses after
//! a change and holds the polls of its followers, and while it does so their words stay recent. The
//! rest of the time is for the call to the store, and for the request itself.

use {key::clock::Tick, std::time::Duration};

/// The share of the time limit for the pause of a reader, in percent.
const PAUSE_PERCENT: u32 = 25;

/// The share for which the store holds the poll of a reader.
const READER_POLL_PERCENT: u32 = 28;

/// The share that the store's last word may be old before the store is asked.
const MAX_AGE_PERCENT: u32 = 60;

/// The share for which a reader holds the poll of a follower.
const WAIT_PERCENT: u32 = 25;

/// The share for which another entry is asked alone although the store's last word is old. It often
/// has a newer one, and its answer costs the store nothing.
const HEAD_START_PERCENT: u32 = 6;

/// The share by which its answer may be late.
const MARGIN_PERCENT: u32 = 20;

/// The shortest time for which another entry is asked to wait for news, so that it is not asked
/// again and again in the time that is left.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// How another entry is asked for news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// How long it waits for news before it answers.
    pub wait: Duration,
    /// When its answer is no longer waited for.
    pub until: Tick,
}

/// The times that the feed of the registry keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The longest pause of a reader after a change.
    pub max_pause: Duration,
    /// How long the store holds a poll of an entry that others follow.
    pub reader_poll: Duration,
    /// How long an entry holds the poll of a follower.
    pub wait: Duration,
    /// How much later the answer to such a poll may arrive.
    pub margin: Duration,
    /// The time since the store's last word from which the store itself is asked.
    pub max_age: Duration,
    /// How much earlier than the store another entry is asked then.
    pub head_start: Duration,
}

impl Pace {
    /// Returns the pace at which news is known everywhere within `limit`.
    #[must_use]
    pub fn within(limit: Duration) -> Self {
        let share = |percent: u32| limit * percent / 100;
        Self {
            max_pause: share(PAUSE_PERCENT),
            reader_poll: share(READER_POLL_PERCENT),
            wait: share(WAIT_PERCENT),
            margin: share(MARGIN_PERCENT),
            max_age: share(MAX_AGE_PERCENT),
            head_start: share(HEAD_START_PERCENT),
        }
    }

    /// Returns true if a word that the store gave at `given_at` is recent enough to go by.
    #[must_use]
    pub fn is_recent(&self, given_at: Tick, now: Tick) -> bool {
        now < given_at.plus(self.max_age)
    }

    /// Returns how to ask another entry for news, or none if its answer could come too late: the
    /// store gave the last word at `given_at`, or none is known.
    #[must_use]
    pub fn question(&self, given_at: Option<Tick>, now: Tick) -> Option<Question> {
        let until = given_at?.plus(self.max_age);
        let wait = until.since(now).saturating_sub(self.margin).min(self.wait);
        (wait >= MIN_WAIT).then_some(Question { wait, until })
    }

    /// Returns how to ask another entry when the last word is too old to wait for news. The store is
    /// asked as well after the head start.
    #[must_use]
    pub const fn late_question(&self, now: Tick) -> Question {
        Question { wait: MIN_WAIT, until: now.plus(self.margin) }
    }
}
