//! How often moves of keys for balance begin.
//!
//! Released keys have no holder until the map is written, so each result of a release is followed by a
//! write. If a move began whenever another one has ended, the map of a large service would be written
//! more than ten times a second for as long as load is uneven. Most releases are answered within
//! milliseconds, so those of moves that begin together share a write, and no key waits for that. Keys
//! of targets that leave or are lost are not moved for balance, and never wait.

use {key::clock::Tick, std::time::Duration};

/// When moves for balance may begin.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovePace {
    interval: Duration,
    began_at: Option<Tick>,
}

impl MovePace {
    pub(super) const fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Returns true if moves may begin now.
    pub(super) fn is_due(&self, now: Tick) -> bool {
        self.began_at.is_none_or(|began_at| now.since(began_at) >= self.interval)
    }

    /// Records that moves begin.
    pub(super) const fn record(&mut self, now: Tick) {
        self.began_at = Some(now);
    }
}
