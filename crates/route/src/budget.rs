//! A limit on retries in proportion to requests.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicI64, Ordering},
    time::{Duration, Instant},
};

/// The parts into which a window is divided.
const SLICES: u32 = 20;

/// What one retry costs, so that a share in percent stays in whole numbers.
const RETRY_COST: i64 = 100;

/// The most retries that can be saved up.
const SAVED_RETRIES: i64 = 50;

/// Allows a share of requests to be retried.
///
/// Under an outage every request would be retried; a fixed number of retries a request multiplies
/// the load when there is least room for it, a share bounds it.
#[derive(Debug)]
pub struct Budget {
    credit: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { credit: AtomicI64::new(SAVED_RETRIES * RETRY_COST) }
    }
}

impl Budget {
    /// Notes a request and adds its share, in percent of a retry.
    pub fn deposit(&self, percent: u64) {
        let credit = self.credit.fetch_add(percent as i64, Ordering::Relaxed);
        if credit > SAVED_RETRIES * RETRY_COST {
            self.credit.fetch_sub(percent as i64, Ordering::Relaxed);
        }
    }

    /// Takes one retry, if there is credit for it.
    pub fn withdraw(&self) -> bool {
        let credit = self.credit.fetch_sub(RETRY_COST, Ordering::Relaxed);
        if credit >= RETRY_COST {
            return true;
        }
        self.credit.fetch_add(RETRY_COST, Ordering::Relaxed);
        false
    }
}

/// The share of a sliding window's limit that one entry may use.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed beyond that.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    since: Instant,
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

    /// Notes a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry, if the window has room for it.
    pub fn try_retry(&mut self, now: Instant, limit: RetryLimit) -> bool {
        let slice = self.slice(now).since;
        let (requests, retries) = self
            .slices
            .iter()
            .fold((0, 0), |sum, slice| (sum.0 + slice.requests, sum.1 + slice.retries));
        let allowed = limit.ratio.mul_add(f64::from(requests), limit.extra);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(last) = self.slices.back_mut().filter(|last| last.since == slice) {
            last.retries += 1;
        }
        true
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let width = self.length / SLICES;
        // One slice more than the length stays, since the oldest lies partly inside the window.
        while self
            .slices
            .front()
            .is_some_and(|slice| now.duration_since(slice.since) > self.length + width)
        {
            self.slices.pop_front();
        }
        let fresh = self.slices.back().is_none_or(|last| now.duration_since(last.since) >= width);
        if fresh {
            self.slices.push_back(Slice { since: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
