//! A named rate, and who said it last.

use {
    derive_more::Display,
    key::clock::Tick,
    serde::{Deserialize, Serialize},
};

/// The lowest rate that entries act on, in requests per second. A target that names less still gets
/// a request now and then, whose answer shows whether the limit is over.
const MIN_REQUESTS_PER_S: f64 = 0.5;

/// The fraction by which two rates must differ to count as different.
const SIGNIFICANT_DIFFERENCE: f64 = 0.01;

/// The requests per second that a target takes from all entries together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Returns a rate, or `None` if `requests_per_s` is not a finite number from zero up.
    #[must_use]
    pub fn new(requests_per_s: f64) -> Option<Self> {
        (requests_per_s.is_finite() && requests_per_s >= 0.0).then_some(Self(requests_per_s))
    }

    /// Returns the requests per second that entries send, which are never zero.
    #[must_use]
    pub const fn requests_per_s(self) -> f64 {
        self.0.max(MIN_REQUESTS_PER_S)
    }

    /// Returns a fraction of the rate.
    #[must_use]
    pub fn scaled(self, fraction: f64) -> Self {
        Self(self.0 * fraction)
    }

    /// Returns true if the difference between two rates is too small to be passed on.
    #[must_use]
    pub fn is_close_to(self, other: Self) -> bool {
        (self.0 - other.0).abs() <= self.0.max(other.0) * SIGNIFICANT_DIFFERENCE
    }
}

/// What a target said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// The rate, or none if the target named no limit.
    pub rate: Option<Rate>,
    /// When the target said it: at the latest for a limit, at the earliest for the end of one, so
    /// that an answer that crosses another does not end the limit too soon.
    pub at: Tick,
}

impl Word {
    /// Returns true if this word replaces `other`. Of two words of the same instant the limit
    /// holds.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.at > other.at || (self.at == other.at && self.rate.is_some())
    }
}
