//! How old the changes are that a reading of the list shows.
//!
//! A target that leaves may get requests for a bounded time from the moment at which the store knows
//! of it, while this process learns of it later: between two questions nobody asks, and an answer
//! takes some time on its way. The clock of the store is steady and stands in each answer, so both
//! parts are known without comparing the clocks of two machines: of all answers, the one with the
//! smallest lead of the own clock was fastest, and any other was slower by the difference.

use {key::clock::Tick, std::time::Duration};

/// The age of a change that shows in a first reading.
const UNKNOWN: Duration = Duration::from_secs(60);

/// A question that was sent longer before the answer was at the store before the change that ended
/// the wait, also if it came from a busy machine.
const PARKED_MICROS: i64 = 500_000;

/// The part of the time by which two steady clocks may drift apart.
const DRIFT_PARTS: i64 = 1_000;

/// One answer of the store.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// When the question was sent, by the own clock.
    pub sent_at: Tick,
    /// When the answer came, by the own clock.
    pub received_at: Tick,
    /// The clock of the store in the answer.
    pub store_clock: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Last {
    clock: i64,
    /// The least that the own clock was ahead of the store's as an answer came.
    lead: i64,
}

/// What the answers so far say about the next.
#[derive(Clone, Debug, Default)]
pub struct Staleness {
    last: Option<Last>,
}

impl Staleness {
    /// Takes an answer and returns the age that a change in it has at most.
    pub fn record(&mut self, timing: PollTiming) -> Duration {
        let clock = timing.store_clock.as_micros() as i64;
        let lead = timing.received_at.as_micros() as i64 - clock;
        let Some(last) = self.last.filter(|last| last.clock <= clock) else {
            self.last = Some(Last { clock, lead });
            return UNKNOWN;
        };
        let unseen = clock - last.clock;
        let least = lead.min(last.lead + unseen / DRIFT_PARTS);
        self.last = Some(Last { clock, lead: least });
        let parked = clock - (timing.sent_at.as_micros() as i64 - least);
        let window = if parked >= PARKED_MICROS { 0 } else { unseen };
        Duration::from_micros((window + lead - least) as u64)
    }
}
