//! What traffic and control share.

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

/// What traffic has seen since control last asked.
#[derive(Debug, Default)]
pub(crate) struct Feedback {
    /// The requests for each key.
    pub(crate) requests_by_key: HashMap<(Service, u16), u32>,
    /// Requests that were in flight when a target died.
    pub(crate) crash_reports: Vec<CrashReport>,
    /// Runs of targets at whose address another target answers.
    pub(crate) ended_instances: Vec<Instance>,
}

/// The state that both planes reach.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PlatformSettings,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Counts the views, and wakes the requests that wait for a newer one.
    pub(crate) changed: watch::Sender<u64>,
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
            changed: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            journal,
            counters: Counters::default(),
            feedback: Mutex::default(),
            quarantine: Mutex::default(),
            budgets: Mutex::default(),
        })
    }

    /// Replaces the view and wakes the requests that wait for it.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.changed.send_modify(|number| *number += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn feedback(&self) -> MutexGuard<'_, Feedback> {
        lock(&self.feedback)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Returns the retry budgets of all services.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, HashMap<Service, Window>> {
        lock(&self.budgets)
    }
}

/// Locks a mutex whose data stays whole even if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
