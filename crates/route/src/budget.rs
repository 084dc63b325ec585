//! Limits on retries in proportion to requests.
//!
//! During an outage every request would be retried. A fixed number of retries for each request
//! multiplies the load when the targets have the least capacity to spare; a limit proportional to
//! the requests bounds that load.
//!
//! [`Budget`] is a token bucket without a lock, but after a run of requests without retries it
//! allows a burst of retries, up to a fixed cap. [`Window`] holds its limit over any window of its
//! length; it needs `&mut` access and keeps a short history.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicI64, Ordering},
    time::{Duration, Instant},
};

/// The number of slices into which a window is divided.
const SLICES_PER_WINDOW: u32 = 20;

/// The credit that one retry costs: 100, so that a percentage of a retry is a whole number.
const CREDIT_PER_RETRY: i64 = 100;

/// The largest number of retries for which credit accumulates.
const MAX_SAVED_RETRIES: i64 = 50;

/// A token bucket that allows a percentage of requests to be retried.
#[derive(Debug)]
pub struct Budget {
    credit: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { credit: AtomicI64::new(MAX_SAVED_RETRIES * CREDIT_PER_RETRY) }
    }
}

impl Budget {
    /// Adds the credit of one request, in percent of a retry.
    pub fn deposit(&self, percent: u64) {
        let credit = self.credit.fetch_add(percent as i64, Ordering::Relaxed);
        if credit > MAX_SAVED_RETRIES * CREDIT_PER_RETRY {
            self.credit.fetch_sub(percent as i64, Ordering::Relaxed);
        }
    }

    /// Withdraws the credit of one retry and returns true, or returns false if there is too little.
    pub fn withdraw(&self) -> bool {
        let credit = self.credit.fetch_sub(CREDIT_PER_RETRY, Ordering::Relaxed);
        if credit >= CREDIT_PER_RETRY {
            return true;
        }
        self.credit.fetch_add(CREDIT_PER_RETRY, Ordering::Relaxed);
        false
    }
}

/// The retries that a [`Window`] allows: one entry's share of the limit of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// The retries allowed for each request in the window.
    pub ratio: f64,
    /// The retries allowed in the window in addition to the ratio.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries over a sliding window.
///
/// The limit holds for any window of its length, so a retry is allowed only if the window that ends
/// now has room for it.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    slices: VecDeque<Slice>,
}

impl Window {
    /// Returns an empty window.
    #[must_use]
    pub const fn new(length: Duration) -> Self {
        Self { length, slices: VecDeque::new() }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Records a retry and returns true if the limit allows it, and returns false otherwise.
    pub fn try_retry(&mut self, now: Instant, limit: RetryLimit) -> bool {
        let current_start = self.current_slice(now).started_at;
        let (requests, retries) = self
            .slices
            .iter()
            .fold((0, 0), |sum, slice| (sum.0 + slice.requests, sum.1 + slice.retries));
        let allowed = limit.ratio.mul_add(f64::from(requests), limit.extra);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(last) = self.slices.back_mut().filter(|last| last.started_at == current_start) {
            last.retries += 1;
        }
        true
    }

    /// Removes expired slices and returns the slice that counts the events of `now`.
    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let width = self.length / SLICES_PER_WINDOW;
        // The oldest slice lies partly inside the window, so slices are kept one width longer.
        while self
            .slices
            .front()
            .is_some_and(|slice| now.duration_since(slice.started_at) > self.length + width)
        {
            self.slices.pop_front();
        }
        let needs_slice =
            self.slices.back().is_none_or(|last| now.duration_since(last.started_at) >= width);
        if needs_slice {
            self.slices.push_back(Slice { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
