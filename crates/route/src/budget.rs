//! A limit on retries in proportion to requests.

use std::sync::atomic::{AtomicI64, Ordering};

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
