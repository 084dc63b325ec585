//! Bounds the age of the changes that a poll of the registry returns.
//!
//! A target that leaves may get requests for a bounded time from the moment at which the store
//! knows of it. This process learns of it later, for two reasons: no poll may be pending at that
//! moment, and an answer takes time in transit. Each answer contains the store's monotonic clock,
//! so both delays can be bounded without synchronized clocks. The answer with the smallest offset
//! between the local clock and the store's was the fastest, and any other took longer by the
//! difference of the offsets.

use {key::clock::Tick, std::time::Duration};

/// The age assumed for a change in the first answer, and in the first one after the store's clock
/// went back.
const UNKNOWN_AGE: Duration = Duration::from_secs(60);

/// The wait from which a poll counts as pending when the change occurred. After a shorter wait, a
/// busy machine may have sent the poll only after the change.
const MIN_LONG_POLL_MICROS: i64 = 500_000;

/// Two monotonic clocks may drift apart by the elapsed time divided by this.
const CLOCK_DRIFT_DIVISOR: i64 = 1_000;

/// The times of one poll of the store.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// When the poll was sent, by the local clock.
    pub sent_at: Tick,
    /// When the answer was received, by the local clock.
    pub received_at: Tick,
    /// The store's clock, as the answer contains it.
    pub store_clock: Duration,
}

/// How old what an answer says can be when it is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    /// The time since the earliest change in it.
    pub of_change: Duration,
    /// The time since the store gave it.
    pub of_answer: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    store_clock_micros: i64,
    /// The smallest offset of the local clock from the store's when an answer was received.
    min_offset_micros: i64,
}

/// Bounds the staleness of answers from the timing of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Staleness {
    last: Option<LastAnswer>,
}

impl Staleness {
    /// Records an answer and returns how old what it says can be.
    pub fn record(&mut self, timing: PollTiming) -> Age {
        let store_clock_micros = timing.store_clock.as_micros() as i64;
        let offset_micros = timing.received_at.as_micros() as i64 - store_clock_micros;
        let Some(last) = self.last.filter(|last| last.store_clock_micros <= store_clock_micros)
        else {
            self.last = Some(LastAnswer { store_clock_micros, min_offset_micros: offset_micros });
            let of_answer = timing.received_at.since(timing.sent_at);
            return Age { of_change: UNKNOWN_AGE, of_answer };
        };
        let since_last_micros = store_clock_micros - last.store_clock_micros;
        let min_offset_micros =
            offset_micros.min(last.min_offset_micros + since_last_micros / CLOCK_DRIFT_DIVISOR);
        self.last = Some(LastAnswer { store_clock_micros, min_offset_micros });
        let waited_micros =
            store_clock_micros - (timing.sent_at.as_micros() as i64 - min_offset_micros);
        let unobserved_micros =
            if waited_micros >= MIN_LONG_POLL_MICROS { 0 } else { since_last_micros };
        let transit_micros = offset_micros - min_offset_micros;
        Age {
            of_change: Duration::from_micros((unobserved_micros + transit_micros) as u64),
            of_answer: Duration::from_micros(transit_micros as u64),
        }
    }
}
