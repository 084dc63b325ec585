//! The state of a service that is kept when the routing table is replaced.

use {
    conf::services,
    report::burn::Count,
    route::Budget,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// The counts, permits and retry budget of one service in this entry.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// One permit for each request that may be in flight.
    pub(crate) permits: Arc<Semaphore>,
    /// The budget for retries.
    pub(crate) retries: Budget,
    /// Held by a suspect request while it runs. Suspects run one at a time, so that a crash can be
    /// attributed to one of them.
    pub(crate) suspect_lock: tokio::sync::Mutex<()>,
    /// Whether too many requests in the last sample could not be served.
    pub(crate) down: AtomicBool,
    total: AtomicU64,
    /// The requests that were not served or took longer than the objective allows.
    bad: AtomicU64,
    /// The requests that failed or were refused for a reason that is not the caller's fault.
    unserved: AtomicU64,
    shards: usize,
}

impl ServiceState {
    pub(crate) fn new(conf: &services::Service) -> Self {
        let shards = conf.keyed.as_ref().map_or(0, |keyed| keyed.shards.get() as usize);
        Self {
            permits: Arc::new(Semaphore::new(conf.limits.concurrency.get() as usize)),
            retries: Budget::default(),
            suspect_lock: tokio::sync::Mutex::default(),
            down: AtomicBool::new(false),
            total: AtomicU64::new(0),
            bad: AtomicU64::new(0),
            unserved: AtomicU64::new(0),
            shards,
        }
    }

    /// Returns true if the state can be kept under a changed configuration.
    pub(crate) fn is_compatible(&self, conf: &services::Service) -> bool {
        let shards = conf.keyed.as_ref().map_or(0, |keyed| keyed.shards.get() as usize);
        self.shards == shards
    }

    /// Counts a request that has ended.
    pub(crate) fn record_request(&self, conf: &services::Service, served: bool, latency: Duration) {
        let is_slow = latency > Duration::from_millis(conf.objective.latency_ms.get());
        self.total.fetch_add(1, Ordering::Relaxed);
        if !served || is_slow {
            self.bad.fetch_add(1, Ordering::Relaxed);
        }
        if !served {
            self.unserved.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns and resets the counts, and the number of requests that could not be served.
    pub(crate) fn take_counts(&self) -> (Count, u64) {
        let total = self.total.swap(0, Ordering::Relaxed);
        let bad = self.bad.swap(0, Ordering::Relaxed);
        (Count { total, bad }, self.unserved.swap(0, Ordering::Relaxed))
    }
}
