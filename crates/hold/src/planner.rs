//! Deciding who holds which keys of one service, and keeping the grants alive.
//!
//! The planner runs in the one entry that leads. It is told what happened and answers with
//! [`Action`]s; it never waits. Four rules keep one holder for each key:
//!
//! 1. A grant goes out only when the [`Ledger`] shows no other run of a target that may hold one of
//!    its keys.
//! 2. What is granted stands in the row first, and the fence is the version of the row.
//! 3. A grant without an answer may be obeyed late, also after the target released its keys. Keys are
//!    taken back only where a higher fence has been answered to since, or that grant has run out.
//! 4. A new leader gives every holding a new fence before it sends any grant. Until a target has answered to it, the former
//!    leader may still renew there, so the ledger counts what it might have granted at the latest.

mod place;
mod reassignment;
mod renew;
mod session;
mod summary;

pub use self::summary::Summary;

use {
    self::session::Contact,
    crate::{
        balance::Load,
        ledger::Ledger,
        map::{Holder, Instance, Map, Span},
        registry::{Availability, RegisteredTarget, Registry},
    },
    key::{Fence, Service, Version, clock::Tick},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The share by which a target's clock may run slow.
const DRIFT: f64 = 0.02;

/// The failures of orders in a row after which a target counts as silent.
const SILENT_AFTER: u32 = 2;

/// The timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The life of a grant.
    pub grant_duration: Duration,
    /// The time between renewals.
    pub renewal_interval: Duration,
    /// The time one order may take, and after which its connection is given up.
    pub grant_timeout: Duration,
    /// The allowance for orders on their way when their connection is given up.
    pub in_flight_margin: Duration,
    /// The longest time for which a former leader may renew without the store.
    pub leadership_lease: Duration,
}

impl Config {
    fn max_grant_validity(&self) -> Duration {
        self.grant_duration.mul_f64(1.0 + DRIFT) + self.in_flight_margin
    }
}

/// One grant to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// The fence.
    pub fence: Fence,
    /// What the last holder left, if the keys are new to the target.
    pub handover: Option<SmolStr>,
}

/// Something to do for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send grants to a target, one after the other.
    Grant {
        /// The run of the target.
        instance: Instance,
        /// Where it listens.
        address: SocketAddr,
        /// The grants.
        grants: Vec<Grant>,
    },
    /// Take keys back.
    Release {
        /// The run of the target.
        instance: Instance,
        /// Where it listens.
        address: SocketAddr,
        /// The keys.
        span: Span,
        /// Their fence.
        fence: Fence,
    },
    /// Write the row if it still has its version.
    Write(Map),
}

/// What came of one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target holds the keys.
    Granted,
    /// The order was not sent.
    Unsent,
    /// The order may be obeyed, now or later.
    Lost,
    /// The target has seen a higher fence: another process leads.
    Fenced,
    /// The target refused.
    Refused,
    /// Another target answers at the address: the one that was meant has ended.
    Ended,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect with this version.
    Committed(Version),
    /// It did not take effect.
    Refused,
    /// The row must be read to find out.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Releasing,
    Released(Option<SmolStr>),
}

#[derive(Clone, Debug)]
struct Move {
    span: Span,
    from: Instance,
    to: Option<Instance>,
    step: Step,
}

impl Move {
    const fn new(span: Span, from: Instance, to: Option<Instance>) -> Self {
        Self { span, from, to, step: Step::Releasing }
    }
}

/// The decisions about one service.
#[derive(Clone, Debug)]
pub struct Planner {
    service: Service,
    config: Config,
    map: Map,
    ledger: Ledger,
    contacts: BTreeMap<Instance, Contact>,
    moves: Vec<Move>,
    handovers: BTreeMap<Span, SmolStr>,
    /// Runs of targets that hold keys by the map and are proved to have ended.
    ended: BTreeSet<Instance>,
    /// The map that is being written.
    writing: Option<Map>,
    /// Maps whose write had no answer and that the store may still take.
    doubtful: Vec<Map>,
    /// Whether the row must be read again before anything else is written.
    unread: bool,
    /// Whether every holding has had a new fence since this process leads.
    refenced: bool,
    load: Load,
    balanced: Tick,
}

impl Planner {
    /// Takes over a service at `now` with its row as it was read after this process came to lead.
    #[must_use]
    pub fn new(service: Service, config: Config, map: Option<Map>, now: Tick) -> Self {
        let map = map.unwrap_or_else(Map::vacant);
        let mut ledger = Ledger::default();
        let until = now.plus(config.leadership_lease + config.max_grant_validity());
        for assignment in &map.assignments {
            if let Some(holder) = map.holder(assignment) {
                ledger.extend(&holder.instance, assignment.span, until);
            }
        }
        Self {
            service,
            config,
            refenced: map.version == Version::ZERO,
            map,
            ledger,
            contacts: BTreeMap::new(),
            moves: Vec::new(),
            handovers: BTreeMap::new(),
            ended: BTreeSet::new(),
            writing: None,
            doubtful: Vec::new(),
            unread: false,
            load: Load::default(),
            balanced: now,
        }
    }

    /// Returns the map.
    #[must_use]
    pub const fn map(&self) -> &Map {
        &self.map
    }

    /// Returns the load that entries have reported.
    pub const fn load_mut(&mut self) -> &mut Load {
        &mut self.load
    }

    /// Tells whether the row must be read before the planner can go on.
    #[must_use]
    pub const fn needs_row(&self) -> bool {
        self.unread
    }

    /// Notes the proof that a run of a target has ended.
    pub fn record_instance_end(&mut self, instance: &Instance) {
        if self.map.holders.iter().any(|holder| holder.instance == *instance) {
            self.ended.insert(instance.clone());
            self.ledger.remove_instance(instance);
        }
    }

    /// Notes that the connection for grants to a target has ended while nothing was sent: an answer may
    /// have been that of another order.
    pub fn record_connection_loss(&mut self, instance: &Instance, now: Tick) {
        if let Some(contact) = self.contacts.get_mut(instance) {
            contact.fail(now);
        }
    }

    /// Tells whether a holder of keys is proved to have ended.
    pub(super) fn has_ended(&self, registry: &Registry, holder: &Holder) -> bool {
        self.ended.contains(&holder.instance)
            || registry.has_ended(&holder.instance, holder.address)
    }

    /// Looks at everything and returns what to do.
    pub fn next_actions(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        self.ledger.expire(now);
        self.note_ends(registry);
        let mut actions = Vec::new();
        if self.writing.is_none() && !self.unread {
            if self.refenced {
                actions.extend(self.releases(registry, now));
            }
            actions.extend(self.write(registry, now));
        }
        actions.extend(self.renewals(registry, now));
        actions
    }

    fn note_ends(&mut self, registry: &Registry) {
        for holder in &self.map.holders {
            if !registry.has_ended(&holder.instance, holder.address) {
                continue;
            }
            // What was sent to the earlier run may have reached the later one.
            match registry.get(&holder.instance.vm).map(|known| known.registration.instance()) {
                Some(later) if later != holder.instance => {
                    self.ledger.transfer(&holder.instance, &later);
                }
                _ => self.ledger.remove_instance(&holder.instance),
            }
        }
    }

    pub(super) fn ready<'a>(
        &'a self,
        registry: &'a Registry,
        now: Tick,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        registry
            .targets_of(&self.service)
            .filter(move |known| registry.availability(known, now) == Availability::Ready)
    }

    /// Tells whether orders to a target failed and none has succeeded since.
    pub(super) fn is_silent(&self, instance: &Instance) -> bool {
        self.contacts.get(instance).is_some_and(|contact| contact.failures >= SILENT_AFTER)
    }

    fn settle(&mut self, map: Map) {
        let oldest =
            map.assignments.iter().map(|assignment| assignment.fence).min().unwrap_or_default();
        self.refenced |= oldest > self.newest_fence();
        self.moves.retain(|moving| {
            let holder =
                map.assignment(moving.span.first).and_then(|assignment| map.holder(assignment));
            holder.is_some_and(|holder| holder.instance == moving.from)
        });
        let instances: BTreeSet<&Instance> =
            map.holders.iter().map(|holder| &holder.instance).collect();
        self.contacts.retain(|instance, contact| contact.busy || instances.contains(instance));
        self.doubtful.clear();
        self.ended.retain(|instance| instances.contains(instance));
        self.map = map;
    }

    fn newest_fence(&self) -> Fence {
        self.map.assignments.iter().map(|assignment| assignment.fence).max().unwrap_or_default()
    }

    /// Takes the result of the write.
    pub fn record_write(&mut self, outcome: WriteOutcome) {
        let Some(mut map) = self.writing.take() else { return };
        match outcome {
            WriteOutcome::Committed(version) => {
                for assignment in &mut map.assignments {
                    if assignment.fence == Fence::ZERO {
                        assignment.fence = Fence::from(version.get());
                    }
                }
                map.version = version;
                self.settle(map);
            }
            WriteOutcome::Refused => {}
            WriteOutcome::Unknown => {
                self.doubtful.push(map);
                self.unread = true;
            }
        }
    }

    /// Takes the row as it was read; an older one than is known changes nothing.
    pub fn record_row(&mut self, map: Map) {
        if self.writing.is_some() {
            return;
        }
        self.unread = false;
        if map.version > self.map.version {
            self.settle(map);
        }
    }
}

fn is_leaving(registry: &Registry, holder: &Holder, now: Tick) -> bool {
    match registry.get(&holder.instance.vm) {
        Some(known) => {
            known.registration.instance() == holder.instance
                && registry.availability(known, now) != Availability::Ready
        }
        None => registry.is_complete(now),
    }
}
