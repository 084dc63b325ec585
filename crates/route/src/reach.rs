//! Whether this entry reaches the targets, from what its own connections show.
//!
//! One target that cannot be reached may be down. If connections to several targets fail and none
//! succeeds, the fault is at this entry or its links: it is isolated. It then says nothing of
//! targets to others, passes its requests on through another entry, and tries a target now and then
//! until connections succeed again.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// The age up to which an outcome says something of the links as they are now.
const WINDOW: Duration = Duration::from_millis(500);

/// The age up to which outcomes count for the share of targets that are not reached.
const SHARE_WINDOW: Duration = Duration::from_secs(3);

/// The number of targets that have to fail before this entry counts as isolated.
const MIN_FAILING_TARGETS: usize = 3;

/// How many times as many targets have to fail as succeed.
const FAILING_RATIO: usize = 4;

/// The number of successes in a row after which this entry is no longer isolated.
const SUCCESSES_TO_RECOVER: u32 = 2;

/// The number of targets from which a share is told.
const MIN_SHARE_TARGETS: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Outcome {
    reached: bool,
    at: Instant,
}

/// The latest outcome of connecting to each target; `T` identifies a target.
#[derive(Debug)]
pub struct Reach<T> {
    outcomes: HashMap<T, Outcome>,
    isolated: bool,
    successes: u32,
}

impl<T> Default for Reach<T> {
    fn default() -> Self {
        Self { outcomes: HashMap::new(), isolated: false, successes: 0 }
    }
}

impl<T: Clone + Eq + Hash> Reach<T> {
    /// Records whether a target was reached, and returns true if this changes whether the entry is
    /// isolated.
    pub fn record(&mut self, target: &T, reached: bool, now: Instant) -> bool {
        self.outcomes.retain(|_, outcome| now.duration_since(outcome.at) < SHARE_WINDOW);
        self.outcomes.insert(target.clone(), Outcome { reached, at: now });
        self.successes = if reached { self.successes + 1 } else { 0 };
        let was_isolated = self.isolated;
        if self.isolated {
            self.isolated = self.successes < SUCCESSES_TO_RECOVER;
            if !self.isolated {
                self.outcomes.retain(|_, outcome| outcome.reached);
            }
        } else {
            let (reached, failed) = self.count(|_| true, WINDOW, now);
            self.isolated = failed >= MIN_FAILING_TARGETS && failed >= FAILING_RATIO * reached;
        }
        self.isolated != was_isolated
    }

    /// Returns true if this entry reaches no target, or hardly any.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns the share of targets that are not reached, in percent; zero if too few were tried.
    #[must_use]
    pub fn unreached_percent(&self, now: Instant) -> u8 {
        self.unreached_share(|_| true, now)
    }

    /// Returns the share of the other targets that are not reached, in percent; zero if too few
    /// were tried. It tells whether the links are at fault for the failure of this one.
    #[must_use]
    pub fn unreached_percent_besides(&self, target: &T, now: Instant) -> u8 {
        self.unreached_share(|other| other != target, now)
    }

    fn unreached_share(&self, is_counted: impl Fn(&T) -> bool, now: Instant) -> u8 {
        if self.isolated {
            return 100;
        }
        let (reached, failed) = self.count(is_counted, SHARE_WINDOW, now);
        if reached + failed < MIN_SHARE_TARGETS {
            return 0;
        }
        (100 * failed / (reached + failed)) as u8
    }

    /// Returns how many of the counted targets were reached and how many were not, by their latest
    /// outcome.
    fn count(
        &self,
        is_counted: impl Fn(&T) -> bool,
        window: Duration,
        now: Instant,
    ) -> (usize, usize) {
        let counted = self.outcomes.iter().filter(|(target, _)| is_counted(target));
        let recent = counted
            .map(|(_, outcome)| outcome)
            .filter(|outcome| now.duration_since(outcome.at) < window);
        let (reached, failed): (Vec<&Outcome>, Vec<&Outcome>) =
            recent.partition(|outcome| outcome.reached);
        (reached.len(), failed.len())
    }
}
