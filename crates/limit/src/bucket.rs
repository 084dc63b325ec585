//! The permits of one limited target, which its coordinator hands out.

use {crate::Rate, key::clock::Tick, std::time::Duration};

/// The time for which unused permits accumulate, in seconds.
const BURST_S: f64 = 1.0;

/// The permits that accumulate in addition. A target with a low rate would otherwise have no
/// permit ready for two requests that arrive together.
const EXTRA_BURST: f64 = 2.0;

/// The permits that less urgent requests leave for urgent ones.
const RESERVED_FOR_URGENT: f64 = 1.0;

/// What a request can do while there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The time for which the request can wait for its permit and still be of use.
    pub max_wait: Duration,
    /// Whether no other request to the service has a higher priority.
    pub is_urgent: bool,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent after a wait, which is zero if a permit was ready.
    After(Duration),
    /// The request cannot be sent in time. The next permit is due after this time.
    Refused(Duration),
}

/// A token bucket whose permits can be promised ahead of time.
///
/// In any window, the permits are at most the rate times its length plus [`Bucket::burst`]. Over
/// four seconds that is below one and a half times the rate, and five.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// The permits that are ready; negative while permits are promised.
    level: f64,
    refilled_at: Tick,
}

impl Bucket {
    /// Returns a bucket without permits, since another coordinator may just have handed out all.
    #[must_use]
    pub const fn new(now: Tick) -> Self {
        Self { level: 0.0, refilled_at: now }
    }

    /// Returns how many permits can accumulate at a rate.
    #[must_use]
    pub const fn burst(rate: Rate) -> f64 {
        rate.requests_per_s() * BURST_S + EXTRA_BURST
    }

    /// Takes a permit, or promises one that is due before the request's longest wait ends.
    pub fn take(&mut self, rate: Rate, request: Request, now: Tick) -> Permit {
        let refill = now.since(self.refilled_at).as_secs_f64() * rate.requests_per_s();
        self.level = (self.level + refill).min(Self::burst(rate));
        self.refilled_at = now;
        let needed = if request.is_urgent { 1.0 } else { 1.0 + RESERVED_FOR_URGENT };
        let missing = (needed - self.level).max(0.0);
        let wait = Duration::from_secs_f64(missing / rate.requests_per_s());
        if wait > request.max_wait {
            return Permit::Refused(wait);
        }
        self.level -= 1.0;
        Permit::After(wait)
    }
}
