//! When a request without a response is tried at a second target.
//!
//! It addresses targets that never answer some requests, such as full ones that say nothing. A
//! request that has waited longer than nearly all requests of its service do is probably one of
//! these, and a second target answers long before the deadline. Each costs a retry of the budget,
//! and hedged requests use only a part of it, so that they cannot multiply the load when all targets
//! are slow.

use {
    crate::budget::RetryLimit,
    hdrhistogram::Histogram,
    std::time::{Duration, Instant},
};

/// The part of requests that take less time than the one after which a request is hedged.
const QUANTILE: f64 = 0.99;

/// The margin on that time. Requests that are merely slow are not hedged for a change of load.
const MARGIN: f64 = 1.25;

/// The shortest time after which a request is hedged. Below it, pauses of small VMs are met.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// The number of response times from which the quantile is used.
const MIN_SAMPLES: u64 = 50;

/// The time after which response times are set aside, and after twice this time forgotten.
const PERIOD: Duration = Duration::from_secs(15);

/// The number of response times after which the delay is computed again.
const SAMPLES_PER_UPDATE: u64 = 16;

/// The longest time that is told apart, in milliseconds.
const MAX_MS: u64 = 60_000;

/// The significant digits of the histogram.
const DIGITS: u8 = 2;

/// The part of the retry budget that hedged requests may use.
const BUDGET_FRACTION: f64 = 0.6;

/// The response times of a service.
#[derive(Clone, Debug, Default)]
pub struct Times {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    began_at: Option<Instant>,
    delay: Option<Duration>,
}

impl Times {
    /// Records the time of a response.
    pub fn record(&mut self, elapsed: Duration, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        if now.saturating_duration_since(began_at) >= PERIOD {
            self.previous = self.current.take();
            self.began_at = Some(now);
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, MAX_MS, DIGITS).ok();
        }
        let Some(current) = &mut self.current else { return };
        current.saturating_record(u64::try_from(elapsed.as_millis()).unwrap_or(MAX_MS).max(1));
        if current.len() % SAMPLES_PER_UPDATE == 0 || self.delay.is_none() {
            self.update();
        }
    }

    fn update(&mut self) {
        let Some(current) = &self.current else { return };
        let known = self.previous.as_ref().map_or(0, Histogram::len) + current.len();
        if known < MIN_SAMPLES {
            return;
        }
        let mut all = current.clone();
        if let Some(previous) = &self.previous {
            // Both have the same bounds, so that nothing can be out of range.
            all.add(previous).ok();
        }
        let usual = Duration::from_millis(all.value_at_quantile(QUANTILE));
        self.delay = Some(usual.mul_f64(MARGIN).max(MIN_DELAY));
    }

    /// Returns the time that a request almost never takes, if enough responses have shown it.
    #[must_use]
    pub const fn delay(&self) -> Option<Duration> {
        self.delay
    }
}

/// Returns the part of a retry limit that hedged requests may use.
#[must_use]
pub fn hedge_limit(limit: RetryLimit) -> RetryLimit {
    RetryLimit { ratio: limit.ratio * BUDGET_FRACTION, extra: limit.extra * BUDGET_FRACTION }
}
