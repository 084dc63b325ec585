//! What lives as long as a service, across routing tables.

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

/// The counts and limits of one service in this entry.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// One permit for each request that may be in flight.
    pub(crate) permits: Arc<Semaphore>,
    /// The credit for retries.
    pub(crate) retries: Budget,
    /// Keeps suspects apart, so that a crash names its cause.
    pub(crate) suspect_lock: tokio::sync::Mutex<()>,
    /// Whether the service could not be served lately.
    pub(crate) down: AtomicBool,
    total: AtomicU64,
    bad: AtomicU64,
    /// Failures of the service itself, as opposed to refusals of its callers' requests.
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

    /// Tells whether the state can go on under a changed text.
    pub(crate) fn is_compatible(&self, conf: &services::Service) -> bool {
        let shards = conf.keyed.as_ref().map_or(0, |keyed| keyed.shards.get() as usize);
        self.shards == shards
    }

    /// Counts a request that ended.
    pub(crate) fn record_request(&self, conf: &services::Service, served: bool, latency: Duration) {
        let slow = latency > Duration::from_millis(conf.objective.latency_ms.get());
        self.total.fetch_add(1, Ordering::Relaxed);
        if !served || slow {
            self.bad.fetch_add(1, Ordering::Relaxed);
        }
        if !served {
            self.unserved.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes the counts since the last call, and how many requests could not be served.
    pub(crate) fn take_counts(&self) -> (Count, u64) {
        let total = self.total.swap(0, Ordering::Relaxed);
        let bad = self.bad.swap(0, Ordering::Relaxed);
        (Count { total, bad }, self.unserved.swap(0, Ordering::Relaxed))
    }
}
