//! Assigns the keys of one service to targets and keeps their grants renewed.
//!
//! The planner runs in the leader only. It is a state machine without input and output: the caller
//! reports events to it and carries out the [`Action`]s that [`Planner::next_actions`] returns.
//! Four rules ensure that each key has at most one holder:
//!
//! 1. A grant is sent only if the [`Ledger`] shows that no other instance may hold one of its keys.
//! 2. An assignment is committed to the row before it is granted, and its fence is the version of
//!    the row.
//! 3. A target may apply an unanswered grant late, even after it has released the keys. Keys are
//!    revoked only if the target has acknowledged a higher fence since, or that grant has expired.
//! 4. A new leader gives every assignment a new fence before it sends any grant. Until a target has
//!    acknowledged the new fence, the former leader may still renew there, so the ledger assumes
//!    the latest grant that the former leader could have sent.

mod pacing;
mod place;
mod reassignment;
mod recipient;
mod renew;
mod session;
mod summary;

pub use self::summary::Summary;

use {
    self::{pacing::MovePace, session::TargetSession},
    crate::{
        balance::Load,
        ledger::Ledger,
        map::{Format, Holder, Instance, Map, Span},
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

/// The fraction by which a target's clock may run slow.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// The number of consecutive failed commands after which a target counts as unresponsive.
const UNRESPONSIVE_AFTER_FAILURES: u32 = 2;

/// The timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How long a grant is valid after its arrival at the target.
    pub grant_duration: Duration,
    /// The time between two renewals of a grant.
    pub renewal_interval: Duration,
    /// The time limit for one grant, after which its connection is closed.
    pub grant_timeout: Duration,
    /// How long a grant may still be in flight after its connection was closed.
    pub in_flight_margin: Duration,
    /// The longest time for which a former leader may renew grants without the store.
    pub leadership_lease: Duration,
}

impl Config {
    fn max_grant_validity(&self) -> Duration {
        max_grant_validity(self.grant_duration, self.in_flight_margin)
    }
}

/// Returns the longest time for which a grant can be in force once its outcome is recorded:
/// `grant_duration` on the target's clock, which may run slow, after it was in flight for up to
/// `in_flight_margin`.
#[must_use]
pub fn max_grant_validity(grant_duration: Duration, in_flight_margin: Duration) -> Duration {
    grant_duration.mul_f64(1.0 + MAX_CLOCK_DRIFT) + in_flight_margin
}

/// One grant to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// The fencing token.
    pub fence: Fence,
    /// The handover data of the previous holder, if the target does not hold the keys yet.
    pub handover: Option<SmolStr>,
}

/// An action that the caller carries out for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send grants to a target, one after the other.
    Grant {
        /// The instance to grant keys to.
        instance: Instance,
        /// The address it listens on.
        address: SocketAddr,
        /// The grants.
        grants: Vec<Grant>,
    },
    /// Revoke keys: tell a target to release them.
    Release {
        /// The instance that holds the keys.
        instance: Instance,
        /// The address it listens on.
        address: SocketAddr,
        /// The keys.
        span: Span,
        /// The fence under which the keys were granted.
        fence: Fence,
    },
    /// Write the row, provided that its version in the store is still that of the map.
    Write(Map),
}

/// The outcome of one grant, or the reason why a release failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target holds the keys.
    Granted,
    /// The command was not sent, since the target could not be reached.
    Unsent,
    /// The command was not sent, since this process must first confirm that it leads.
    Withheld,
    /// The target did not answer and may apply the command, now or later.
    Lost,
    /// The target has seen a higher fence: another process leads.
    Fenced,
    /// The target refused the command.
    Refused,
    /// Another target answers at the address: the instance that the command was for has ended.
    Ended,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written and has this version.
    Committed(Version),
    /// The row was not written.
    Refused,
    /// The row was not written and never will be: the store does not accept it, such as for its
    /// size.
    Rejected,
    /// The row must be read to find out whether it was written.
    Unknown,
}

/// How far the release of a reassigned span has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReleaseState {
    InFlight,
    /// The target has released the keys and returned its handover data, if any.
    Released(Option<SmolStr>),
}

/// Keys that are being revoked from one instance, to be assigned to another.
#[derive(Clone, Debug)]
struct Reassignment {
    span: Span,
    from: Instance,
    /// The recipient, or none if it is chosen after the release.
    to: Option<Instance>,
    state: ReleaseState,
}

impl Reassignment {
    const fn new(span: Span, from: Instance, to: Option<Instance>) -> Self {
        Self { span, from, to, state: ReleaseState::InFlight }
    }
}

/// The planner of one service.
#[derive(Clone, Debug)]
pub struct Planner {
    service: Service,
    config: Config,
    map: Map,
    /// The version that the row has in the store, which a write has to expect. It differs from the
    /// version of the map if the store has come back from a copy.
    row_version: Version,
    /// Whether the row in the store is older than the map, so that it has to be written again.
    is_row_outdated: bool,
    ledger: Ledger,
    sessions: BTreeMap<Instance, TargetSession>,
    reassignments: Vec<Reassignment>,
    /// The handover data for spans that are assigned but not yet granted.
    handovers: BTreeMap<Span, SmolStr>,
    /// Instances that hold keys according to the map and are known to have ended.
    ended_instances: BTreeSet<Instance>,
    /// The form in which the map may be stored.
    format: Format,
    /// The map that is being written.
    pending_write: Option<Map>,
    /// The map that the store rejected last; it is not written again unchanged.
    rejected_write: Option<Map>,
    /// Maps whose write got no answer and that the store may still accept.
    unresolved_writes: Vec<Map>,
    /// Whether the row must be read again before anything else is written.
    needs_row: bool,
    /// Whether this process has renewed every fence since it became the leader.
    fences_renewed: bool,
    load: Load,
    load_decayed_at: Tick,
    move_pace: MovePace,
}

impl Planner {
    /// Creates the planner of a service from the row as it was read after this process became the
    /// leader, which it did at `elected_at`.
    #[must_use]
    pub fn new(service: Service, config: Config, map: Option<Map>, elected_at: Tick) -> Self {
        let map = map.unwrap_or_else(Map::vacant);
        let mut ledger = Ledger::default();
        let until = elected_at.plus(config.leadership_lease + config.max_grant_validity());
        for assignment in &map.assignments {
            if let Some(holder) = map.holder(assignment) {
                ledger.extend(&holder.instance, assignment.span, until);
            }
        }
        Self {
            service,
            config,
            fences_renewed: map.version == Version::ZERO,
            row_version: map.version,
            is_row_outdated: false,
            map,
            ledger,
            sessions: BTreeMap::new(),
            reassignments: Vec::new(),
            handovers: BTreeMap::new(),
            ended_instances: BTreeSet::new(),
            format: Format::default(),
            pending_write: None,
            rejected_write: None,
            unresolved_writes: Vec::new(),
            needs_row: false,
            load: Load::default(),
            load_decayed_at: elected_at,
            move_pace: MovePace::default(),
        }
    }

    /// Returns the assignment map.
    #[must_use]
    pub const fn map(&self) -> &Map {
        &self.map
    }

    /// Returns the version that the row must have in the store for a write to take effect.
    #[must_use]
    pub const fn row_version(&self) -> Version {
        self.row_version
    }

    /// Records that since `ended_at` no former leader renews grants any more, so that the last of
    /// them need not be assumed to come at the end of its lease.
    pub fn record_former_leaders_ended(&mut self, ended_at: Tick) {
        self.ledger.limit(ended_at.plus(self.config.max_grant_validity()));
    }

    /// Sets the form in which the map may be stored, by what all entries can read. A map that is
    /// stored in a form that some cannot read is written again.
    pub fn set_format(&mut self, format: Format) {
        self.is_row_outdated |= format < self.format;
        self.format = format;
    }

    /// Returns the form in which the map may be stored.
    #[must_use]
    pub const fn format(&self) -> Format {
        self.format
    }

    /// Sets the time between two beginnings of moves for balance.
    pub const fn set_move_interval(&mut self, interval: Duration) {
        self.move_pace.set_interval(interval);
    }

    /// Returns the load of the service, so that the caller can record what entries report.
    pub const fn load_mut(&mut self) -> &mut Load {
        &mut self.load
    }

    /// Returns true if the row must be read before the planner can write again.
    #[must_use]
    pub const fn needs_row(&self) -> bool {
        self.needs_row
    }

    /// Records that an instance is known to have ended.
    pub fn record_instance_end(&mut self, instance: &Instance) {
        if self.map.holders.iter().any(|holder| holder.instance == *instance) {
            self.ended_instances.insert(instance.clone());
            self.ledger.remove_instance(instance);
        }
    }

    /// Records that the connection for grants to a target was closed while it was idle. The last
    /// answer on it may have belonged to an earlier grant, so this counts as a failed command.
    pub fn record_connection_loss(&mut self, instance: &Instance, now: Tick) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.record_failure(now);
        }
    }

    /// Returns true if a holder of keys is known to have ended.
    pub(super) fn has_ended(&self, registry: &Registry, holder: &Holder) -> bool {
        self.ended_instances.contains(&holder.instance)
            || registry.has_ended(&holder.instance, holder.address)
    }

    /// Returns the actions that are due now.
    pub fn next_actions(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        self.ledger.expire(now);
        self.load.expire_deferrals(now);
        self.load.decay(now.since(self.load_decayed_at).as_secs_f64());
        self.load_decayed_at = now;
        self.remove_ended_instances(registry);
        let mut actions = Vec::new();
        if self.pending_write.is_none() && !self.needs_row {
            if self.fences_renewed {
                actions.extend(self.begin_releases(registry, now));
            }
            actions.extend(self.begin_write(registry, now));
        }
        actions.extend(self.begin_grants(registry, now));
        actions
    }

    /// Updates the ledger for holders that have ended according to the registry.
    fn remove_ended_instances(&mut self, registry: &Registry) {
        for holder in &self.map.holders {
            if !registry.has_ended(&holder.instance, holder.address) {
                continue;
            }
            // Grants sent to the earlier instance may have reached the later one.
            match registry.get(&holder.instance.vm).map(|target| target.registration.instance()) {
                Some(later) if later != holder.instance => {
                    self.ledger.transfer(&holder.instance, &later);
                }
                _ => self.ledger.remove_instance(&holder.instance),
            }
        }
    }

    /// Returns the targets of the service that can be used.
    pub(super) fn ready_targets<'a>(
        &'a self,
        registry: &'a Registry,
        now: Tick,
    ) -> impl Iterator<Item = &'a RegisteredTarget> + 'a {
        registry
            .targets_of(&self.service)
            .filter(move |target| registry.availability(target, now) == Availability::Ready)
    }

    /// Returns true if at least `UNRESPONSIVE_AFTER_FAILURES` consecutive commands to a target
    /// failed.
    pub(super) fn is_unresponsive(&self, instance: &Instance) -> bool {
        self.sessions
            .get(instance)
            .is_some_and(|session| session.failures >= UNRESPONSIVE_AFTER_FAILURES)
    }

    /// Replaces the map by a newer one and drops the state that it makes obsolete.
    fn adopt_map(&mut self, map: Map) {
        let oldest =
            map.assignments.iter().map(|assignment| assignment.fence).min().unwrap_or_default();
        // If every fence of the map is newer than all known ones, all of them have been renewed.
        self.fences_renewed |= oldest > self.newest_fence();
        let written = Fence::from(map.version.get());
        self.reassignments.retain(|reassignment| {
            let Some(assignment) = map.assignment(reassignment.span.first) else { return false };
            let holder = map.holder(assignment);
            // Released keys may have been assigned to their former holder again.
            let is_assigned =
                reassignment.state != ReleaseState::InFlight && assignment.fence == written;
            !is_assigned && holder.is_some_and(|holder| holder.instance == reassignment.from)
        });
        let instances: BTreeSet<&Instance> =
            map.holders.iter().map(|holder| &holder.instance).collect();
        self.sessions.retain(|instance, session| session.in_flight || instances.contains(instance));
        self.unresolved_writes.clear();
        self.ended_instances.retain(|instance| instances.contains(instance));
        self.map = map;
    }

    fn newest_fence(&self) -> Fence {
        self.map.assignments.iter().map(|assignment| assignment.fence).max().unwrap_or_default()
    }

    /// Records the outcome of the pending write.
    pub fn record_write(&mut self, outcome: WriteOutcome) {
        let Some(mut map) = self.pending_write.take() else { return };
        match outcome {
            WriteOutcome::Committed(version) => {
                for assignment in &mut map.assignments {
                    if assignment.fence == Fence::ZERO {
                        assignment.fence = Fence::from(version.get());
                    }
                }
                map.version = version;
                self.row_version = version;
                self.is_row_outdated = false;
                self.adopt_map(map);
            }
            WriteOutcome::Refused => {}
            WriteOutcome::Rejected => self.rejected_write = Some(map),
            WriteOutcome::Unknown => {
                self.unresolved_writes.push(map);
                self.needs_row = true;
            }
        }
    }

    /// Records the row as it was read, with the version that it has in the store; `None` if there
    /// is no row. A row that is older than the known map changes nothing. It is written again, and
    /// so is one of an earlier era, which tells later leaders that it is as new as any.
    pub fn record_row(&mut self, row: Option<(Map, Version)>) {
        if self.pending_write.is_some() {
            return;
        }
        self.needs_row = false;
        let (map, row_version) = row.unwrap_or_else(|| (Map::vacant(), Version::ZERO));
        self.row_version = row_version;
        self.is_row_outdated =
            map.version < self.map.version || map.version.era() < row_version.era();
        if map.version > self.map.version {
            self.adopt_map(map);
        }
    }
}

/// Returns true if a holder is leaving, is in an availability zone that is evacuated, or is unknown
/// to a registry that is complete.
fn is_leaving(registry: &Registry, holder: &Holder, now: Tick) -> bool {
    match registry.get(&holder.instance.vm) {
        Some(target) => {
            target.registration.instance() == holder.instance
                && registry.availability(target, now) != Availability::Ready
        }
        None => registry.evacuations().contains(&holder.zone) || registry.is_complete(now),
    }
}
