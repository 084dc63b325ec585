//! The state that traffic and control share.

use {
    crate::snapshot::Snapshot,
    arc_swap::ArcSwap,
    conf::Settings,
    key::{Service, Vm},
    report::Metrics,
    route::{Quarantine, quarantine::CrashReport},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    tokio::sync::{mpsc, oneshot, watch},
    wire::Limiter,
};

/// An observation that traffic reports to control.
#[derive(Debug)]
pub(crate) enum Feedback {
    /// A target crashed with a request in flight; `peers_notified` is signalled once the peers have
    /// the report.
    Crash { service: Service, report: CrashReport, peers_notified: oneshot::Sender<()> },
    /// A target was ejected after this number of consecutive failures.
    Ejected { service: Service, vm: Vm, failures: u32 },
}

/// The state that both the traffic threads and the control thread access.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Changes with every new routing table.
    pub(crate) snapshot_changed: watch::Sender<u64>,
    pub(crate) feedback: mpsc::Sender<Feedback>,
    pub(crate) stopping: AtomicBool,
    /// The number of requests that wait for a permit or an owner.
    pub(crate) waiting_requests: AtomicUsize,
    pub(crate) metrics: Metrics,
    /// The limits of what is held for callers.
    pub(crate) limiter: Limiter,
    /// Whether the quarantine has suspects, so that traffic can skip its lock while it has none.
    pub(crate) has_suspects: AtomicBool,
    quarantine: Mutex<Quarantine>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        feedback: mpsc::Sender<Feedback>,
        metrics: Metrics,
    ) -> Arc<Self> {
        let limiter = Limiter::new(settings.traffic.limits());
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::default(),
            snapshot_changed: watch::Sender::new(0),
            feedback,
            stopping: AtomicBool::new(false),
            waiting_requests: AtomicUsize::new(0),
            metrics,
            limiter,
            has_suspects: AtomicBool::new(false),
            quarantine: Mutex::default(),
        })
    }

    /// Replaces the routing table and wakes the requests that wait for an owner.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.snapshot_changed.send_modify(|generation| *generation += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Locks and returns the quarantine. Traffic does so only while `has_suspects` is true.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
