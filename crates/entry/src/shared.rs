//! What traffic and control share.

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
};

/// Something traffic saw that control should know.
#[derive(Debug)]
pub(crate) enum Feedback {
    /// A target died with a request in flight; the sender is told when the peers know.
    Crash { service: Service, report: CrashReport, peers_notified: oneshot::Sender<()> },
    /// A target was passed over.
    Ejected { service: Service, vm: Vm, failures: u32 },
}

/// The state that both planes reach.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) snapshot_changed: watch::Sender<u64>,
    pub(crate) feedback: mpsc::Sender<Feedback>,
    pub(crate) stopping: AtomicBool,
    pub(crate) waiting_requests: AtomicUsize,
    pub(crate) metrics: Metrics,
    pub(crate) has_suspects: AtomicBool,
    quarantine: Mutex<Quarantine>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        feedback: mpsc::Sender<Feedback>,
        metrics: Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::default(),
            snapshot_changed: watch::Sender::new(0),
            feedback,
            stopping: AtomicBool::new(false),
            waiting_requests: AtomicUsize::new(0),
            metrics,
            has_suspects: AtomicBool::new(false),
            quarantine: Mutex::default(),
        })
    }

    /// Replaces the routing table and wakes the requests that wait for an owner.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.snapshot_changed.send_modify(|number| *number += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the quarantine; traffic looks at it only while it has suspects.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
