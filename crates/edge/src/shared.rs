//! The state that the traffic and the control thread share.

use {
    crate::{
        freshness::Freshness, metrics::Counters, moves::Announced, snapshot::Snapshot, sync::lock,
        traffic::reported::News,
    },
    arc_swap::ArcSwap,
    conf::PlatformSettings,
    hold::Instance,
    key::{Service, clock::Tick},
    limit::{Change, Rate, Table, Warmups},
    member::Pace,
    report::Journal,
    route::{Quarantine, Reach, budget::Window, quarantine::CrashReport},
    serde::Serialize,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
    wire::Limiter,
};

/// The part of the time limit for leaving targets that is held back for latency: the delivery of
/// the store's change to this process, and the last request on its way to the target.
const LEAVING_MARGIN: Duration = Duration::from_millis(400);

/// The part of the time limit for evacuated availability zones that is held back: the last request
/// on its way to its target, and what an entry cannot know of the age of the operator's row. It is
/// longer than [`LEAVING_MARGIN`], since a request that is late by a moment breaks the rule, and the
/// keys of a zone are usually elsewhere long before.
const EVACUATION_MARGIN: Duration = Duration::from_millis(1_000);

/// What traffic has observed since the control thread last collected it.
#[derive(Debug, Default)]
pub(crate) struct Feedback {
    /// The number of requests for each key.
    pub(crate) requests_by_key: HashMap<(Service, u16), u32>,
    /// Crash reports: requests that were in flight when a target crashed.
    pub(crate) crash_reports: Vec<CrashReport>,
    /// Instances of targets at whose address another target answers.
    pub(crate) ended_instances: Vec<Instance>,
    /// Instances of targets that said that they leave, and when.
    pub(crate) leaving_instances: Vec<(Instance, Tick)>,
    /// Targets that began to want nothing, and until when.
    pub(crate) deferrals: Vec<Deferral>,
}

/// The time until which a target wants nothing, by its own word.
#[derive(Clone, Debug)]
pub(crate) struct Deferral {
    pub(crate) service: Service,
    pub(crate) target: Instance,
    pub(crate) until: Tick,
}

/// The state that both threads use.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PlatformSettings,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// The number of snapshots published so far; a change wakes the requests that wait for a newer
    /// one.
    pub(crate) snapshot_changed: watch::Sender<u64>,
    /// The keys that are about to leave their holders.
    pub(crate) moves: Announced,
    pub(crate) stopping: AtomicBool,
    /// Whether this process knows what entries that started before it have learned.
    has_learned: AtomicBool,
    /// Whether the routing configuration is known to be in force.
    pub(crate) freshness: Freshness,
    pub(crate) journal: Journal,
    pub(crate) counters: Counters,
    /// The client with which the traffic thread asks other entries for permits.
    pub(crate) permit_client: wire::Client,
    /// The limits of what is held for callers and targets.
    pub(crate) limiter: Limiter,
    /// What answers show of the load of targets.
    pub(crate) news: News,
    feedback: Mutex<Feedback>,
    quarantine: Mutex<Quarantine>,
    budgets: Mutex<HashMap<Service, Window>>,
    limits: Mutex<Table>,
    warmups: Mutex<Warmups>,
    reach: Mutex<Reach<Instance>>,
}

impl Shared {
    /// Returns the state of a process that has just started; `permit_client` is the client with
    /// which it asks other entries for permits.
    pub(crate) fn new(
        settings: PlatformSettings,
        journal: Journal,
        permit_client: wire::Client,
    ) -> Arc<Self> {
        let limiter = Limiter::new(settings.limits());
        Arc::new(Self {
            settings,
            snapshot: ArcSwap::default(),
            snapshot_changed: watch::Sender::new(0),
            moves: Announced::default(),
            stopping: AtomicBool::new(false),
            has_learned: AtomicBool::new(false),
            freshness: Freshness::default(),
            journal,
            counters: Counters::default(),
            permit_client,
            limiter,
            news: News::default(),
            feedback: Mutex::default(),
            quarantine: Mutex::default(),
            budgets: Mutex::default(),
            limits: Mutex::default(),
            warmups: Mutex::default(),
            reach: Mutex::default(),
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

    /// Returns true if the lack of a route proves that the operators have configured none.
    pub(crate) fn is_routing_in_force(&self) -> bool {
        let limit = self.settings.routing_apply.as_duration();
        self.freshness.is_in_force(limit, Tick::now())
    }

    /// Returns true if this entry takes new callers.
    pub(crate) fn is_ready(&self) -> bool {
        let limit = self.settings.routing_apply.as_duration();
        self.snapshot.load().is_ready()
            && !self.is_stopping()
            && self.has_learned.load(Ordering::Relaxed)
            && self.freshness.allows_callers(limit, Tick::now())
    }

    /// Records that this process knows what entries that started before it have learned, by the store
    /// or by the leader.
    pub(crate) fn record_learned(&self) {
        self.has_learned.store(true, Ordering::Relaxed);
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

    /// Returns the rate limits that targets name.
    pub(crate) fn limits(&self) -> MutexGuard<'_, Table> {
        lock(&self.limits)
    }

    /// Returns the targets that are cold or may be.
    pub(crate) fn warmups(&self) -> MutexGuard<'_, Warmups> {
        lock(&self.warmups)
    }

    /// Returns the time for which a target gets requests after it was known to leave.
    pub(crate) fn leaving_span(&self) -> Duration {
        self.settings.leaving.as_duration().saturating_sub(LEAVING_MARGIN)
    }

    /// Returns the time for which targets of an evacuated availability zone get requests for the keys
    /// that they hold.
    pub(crate) fn evacuation_span(&self) -> Duration {
        self.settings.evacuation.as_duration().saturating_sub(EVACUATION_MARGIN)
    }

    /// Returns the pace at which news of leaving targets spreads.
    pub(crate) fn pace(&self) -> Pace {
        Pace::within(self.settings.leaving.as_duration())
    }

    /// Returns true if this entry reaches no target, or hardly any.
    pub(crate) fn is_isolated(&self) -> bool {
        lock(&self.reach).is_isolated()
    }

    /// Returns the share of targets that this entry does not reach, in percent.
    pub(crate) fn unreached_percent(&self) -> u8 {
        lock(&self.reach).unreached_percent(Instant::now())
    }

    /// Returns the share of the other targets that this entry does not reach, in percent.
    pub(crate) fn unreached_percent_besides(&self, target: &Instance) -> u8 {
        lock(&self.reach).unreached_percent_besides(target, Instant::now())
    }

    /// Records whether a target was reached, and logs when this entry becomes isolated or is no
    /// longer.
    pub(crate) fn record_reach(&self, target: &Instance, reached: bool) {
        #[derive(Serialize)]
        struct ReachLine<'a> {
            isolated: bool,
            target: &'a str,
        }
        let isolated = {
            let mut reach = lock(&self.reach);
            reach.record(target, reached, Instant::now()).then(|| reach.is_isolated())
        };
        if let Some(isolated) = isolated {
            self.counters.count("isolated", if isolated { "began" } else { "ended" });
            self.journal.log("reach", &ReachLine { isolated, target: target.vm.as_str() });
        }
    }

    /// Logs a change of a target's rate limit and where it was learned.
    pub(crate) fn log_limit(&self, target: &Instance, change: Change, source: &str) {
        #[derive(Serialize)]
        struct LimitLine<'a> {
            target: &'a str,
            from: Option<Rate>,
            to: Option<Rate>,
            source: &'a str,
        }
        let Change { from, to } = change;
        let line = LimitLine { target: target.vm.as_str(), from, to, source };
        self.journal.log("limit", &line);
        self.counters.count("limit_changes", source);
    }
}
