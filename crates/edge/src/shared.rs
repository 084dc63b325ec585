//! The state that the traffic and the control thread share.

use {
    crate::{metrics::Counters, snapshot::Snapshot},
    arc_swap::ArcSwap,
    conf::PlatformSettings,
    hold::Instance,
    key::Service,
    report::Journal,
    route::{Quarantine, budget::Window, quarantine::CrashReport},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::watch,
};

/// What traffic has observed since the control thread last collected it.
#[derive(Debug, Default)]
pub(crate) struct Feedback {
    /// The number of requests for each key.
    pub(crate) requests_by_key: HashMap<(Service, u16), u32>,
    /// Crash reports: requests that were in flight when a target crashed.
    pub(crate) crash_reports: Vec<CrashReport>,
    /// Instances of targets at whose address another target answers.
    pub(crate) ended_instances: Vec<Instance>,
}

/// The state that both threads use.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PlatformSettings,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The number of snapshots published so far; a change wakes the requests that wait for a newer
    /// one.
    pub(crate) snapshot_changed: watch::Sender<u64>,
    pub(crate) stopping: AtomicBool,
    pub(crate) journal: Journal,
    pub(crate) counters: Counters,
    feedback: Mutex<Feedback>,
    quarantine: Mutex<Quarantine>,
    budgets: Mutex<HashMap<Service, Window>>,
}

impl Shared {
    pub(crate) fn new(settings: PlatformSettings, journal: Journal) -> Arc<Self> {
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::default(),
            snapshot_changed: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            journal,
            counters: Counters::default(),
            feedback: Mutex::default(),
            quarantine: Mutex::default(),
            budgets: Mutex::default(),
        })
    }

    /// Publishes a snapshot and wakes the requests that wait for one.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.snapshot_changed.send_modify(|number| *number += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the feedback that traffic has recorded.
    pub(crate) fn feedback(&self) -> MutexGuard<'_, Feedback> {
        lock(&self.feedback)
    }

    /// Returns the requests that are suspected to crash their targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Returns the retry budgets of all services.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, HashMap<Service, Window>> {
        lock(&self.budgets)
    }
}

/// Locks a mutex whose data stays valid even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
