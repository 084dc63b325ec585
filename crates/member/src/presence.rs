//! For what an entry still counts when it has not been heard of for a while.
//!
//! A paused or cut-off entry is silent like one whose VM was removed, and comes back. Counting too
//! few entries lets each use more than its share of a limit, and counting too many only wastes some
//! of it. So an entry that is silent no longer gets duties at once, keeps its share for longer, and
//! loses its row at last. One that comes back after that finds its row gone and writes it again.

use std::time::Duration;

/// The time for which an entry counts as live without a report.
const LIVE_FOR: Duration = Duration::from_secs(3);

/// The same, in intervals between two reports of an entry.
const LIVE_FOR_REPORTS: f64 = 3.5;

/// The time without a report after which an entry is gone. It is longer than any lease and grant of
/// a process that nobody has heard of.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// The same, in intervals between two reports of an entry.
const GONE_AFTER_REPORTS: f64 = 20.0;

/// Whether an entry is there, by the reports that the leader gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// It was heard of recently: it gets duties.
    Live,
    /// It may be paused or cut off: it keeps its share of what the entries have in common.
    Silent,
    /// It counts for nothing, and its row is removed.
    Gone,
}

impl Presence {
    /// Returns the presence of an entry that has been silent for a while, of those that report at an
    /// interval.
    #[must_use]
    pub fn new(silent_for: Duration, report_interval: Duration) -> Self {
        let live_for = LIVE_FOR.max(report_interval.mul_f64(LIVE_FOR_REPORTS));
        let gone_after = GONE_AFTER.max(report_interval.mul_f64(GONE_AFTER_REPORTS));
        if silent_for < live_for {
            Self::Live
        } else if silent_for < gone_after {
            Self::Silent
        } else {
            Self::Gone
        }
    }
}
