//! A simulation of targets, a store and leaders in virtual time, with faults drawn from a seed.

pub mod target;

use {
    hold::{
        Action, Connections, Instance, Map, Planner, Registration, Registry, Span,
        connections::Checkout,
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Era, Service, Version, Vm, Zone, clock::Tick},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smol_str::SmolStr,
    std::{collections::BTreeMap, time::Duration},
    target::Target,
};

pub const GRANT_DURATION_MS: u64 = 4_000;
pub const LEADERSHIP_LEASE_MS: u64 = 6_000;
const GRANT_TIMEOUT_MS: u64 = 400;
const RELEASE_TIMEOUT_MS: u64 = 2_000;
/// The time after a confirmation within which a leader opens connections to targets.
const CONNECT_LEASE_MS: u64 = 800;
const TICK_INTERVAL_MS: u64 = 100;
const HOT_KEY_COUNT: u16 = 24;
/// How long the range of hot keys stays the same.
const HOT_RANGE_DURATION_MS: u64 = 5_000;
/// How far the range of hot keys shifts at a time, in keys.
const HOT_RANGE_SHIFT: u64 = 27_919;
const HEARTBEAT_INTERVAL_MS: u64 = 870;
/// How long a partition lasts in which a target stays reachable for the partitioned leader only.
const SHARED_PARTITION_MS: u64 = 15_000;
const REGISTRATION_EXPIRY_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;
/// The interval at which a leader confirms in the store that it still leads.
const CONFIRMATION_INTERVAL_MS: u64 = 1_000;

/// The faults of one simulation, each as a probability for each command, write or second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub command_lost: f64,
    pub answer_lost: f64,
    pub grant_late: f64,
    pub write_lost: f64,
    pub write_late: f64,
    pub crash: f64,
    pub unregistered: f64,
    pub leader_crash: f64,
    pub leader_partition: f64,
    pub leader_pause: f64,
    /// The fraction of partitions in which a target stays reachable for the partitioned leader
    /// only.
    pub partition_with_target: f64,
}

/// Defects that can be switched on, to verify that the simulation detects them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mutation {
    /// The leader sends commands without a valid leadership lease.
    pub unlimited_lease: bool,
    /// A leader assumes at once that no former leader renews grants any more.
    pub unconfirmed_former_leaders: bool,
    /// A connection that closed is replaced silently.
    pub silent_reconnect: bool,
}

/// Returns a range of keys that callers request far more often than others. It shifts over time.
fn hot_keys(now_ms: u64) -> impl Iterator<Item = u16> {
    let first = (now_ms / HOT_RANGE_DURATION_MS * HOT_RANGE_SHIFT
        % u64::from(u16::MAX - HOT_KEY_COUNT)) as u16;
    first..first + HOT_KEY_COUNT
}

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(ms * 1_000 + 1_000_000)
}

fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(GRANT_DURATION_MS),
        renewal_interval: Duration::from_millis(1_000),
        grant_timeout: Duration::from_millis(GRANT_TIMEOUT_MS),
        in_flight_margin: Duration::from_millis(300),
        leadership_lease: Duration::from_millis(LEADERSHIP_LEASE_MS),
    }
}

/// Grants that are being sent to one target, one after the other.
struct Batch {
    leader: usize,
    target_index: usize,
    instance: Instance,
    connection: u64,
    grants: Vec<Grant>,
    done: Vec<(Grant, Outcome)>,
}

enum Event {
    Tick(usize),
    Heartbeat(usize),
    Fault,
    SendGrants(Box<Batch>),
    ApplyGrant {
        target_index: usize,
        incarnation: u64,
        grant: Grant,
        arrived_at: u64,
    },
    GrantsDone {
        leader: usize,
        instance: Instance,
        results: Vec<(Grant, Outcome)>,
        connection: Option<u64>,
    },
    SendRelease {
        leader: usize,
        target_index: usize,
        instance: Instance,
        span: Span,
    },
    ReleaseDone {
        leader: usize,
        instance: Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    },
    Write {
        leader: usize,
        term: u64,
        map: Map,
        is_answered: bool,
    },
    WriteDone {
        leader: usize,
        result: WriteOutcome,
    },
    Restart(usize),
    /// The store removes a registration unless the target has started again under its name.
    ExpireRegistration(Vm),
}

struct Leader {
    term: u64,
    planner: Planner,
    connections: Connections<u64>,
    /// When the store last confirmed that this leader leads.
    confirmed_at: u64,
    partitioned_until: u64,
    paused_until: u64,
    /// A target that this leader cannot reach, and until when.
    unreachable_target: (usize, u64),
    /// The registry as it was when this leader was partitioned.
    last_registry: Registry,
    is_alive: bool,
    /// Whether it confirms in the store at its next tick that it leads.
    needs_confirmation: bool,
    /// Whether it was told that no former leader renews grants any more.
    former_ended: bool,
}

/// One simulation.
pub struct World {
    now_ms: u64,
    rng: StdRng,
    faults: Faults,
    mutation: Mutation,
    callers_stopped: bool,
    is_traced: bool,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    targets: Vec<Target>,
    registry: Registry,
    row: Option<(Vec<u8>, u64)>,
    current_term: u64,
    version: u64,
    leaders: Vec<Leader>,
    pub overlaps: Vec<String>,
    pub stale_grants: Vec<String>,
    pub releases: usize,
}

impl World {
    pub fn new(seed: u64, faults: Faults, mutation: Mutation) -> Self {
        let mut world = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            faults,
            mutation,
            callers_stopped: false,
            is_traced: std::env::var_os("ALMONDWORKS_TRACE").is_some(),
            events: BTreeMap::new(),
            event_count: 0,
            targets: (0..6).map(Target::new).collect(),
            registry: Registry::default(),
            row: None,
            current_term: 0,
            version: 10,
            leaders: Vec::new(),
            overlaps: Vec::new(),
            stale_grants: Vec::new(),
            releases: 0,
        };
        for target_index in 0..world.targets.len() {
            world.heartbeat(target_index);
            world.schedule(HEARTBEAT_INTERVAL_MS, Event::Heartbeat(target_index));
        }
        world.elect_leader();
        world.schedule(500, Event::Fault);
        world
    }

    /// Runs until `end_ms`, and then for `calm_ms` without faults.
    pub fn run(&mut self, end_ms: u64, calm_ms: u64) {
        while let Some(((due_ms, sequence), _)) = self.events.first_key_value() {
            let key = (*due_ms, *sequence);
            if key.0 > end_ms + calm_ms {
                return;
            }
            if key.0 > end_ms {
                self.faults = Faults::default();
                self.callers_stopped = true;
            }
            self.now_ms = key.0;
            let Some(event) = self.events.remove(&key) else { continue };
            // Only a grant that is applied can give a key a second holder.
            let is_grant = matches!(event, Event::ApplyGrant { .. } | Event::SendGrants(_));
            self.handle(event);
            if is_grant {
                self.check_holders();
            }
        }
    }

    /// Returns the number of keys that have a holder now.
    pub fn count_held_keys(&self) -> u32 {
        let spans = |target: &Target| target.spans(self.now_ms).map(Span::width).sum::<u32>();
        self.targets.iter().map(spans).sum()
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now_ms + delay_ms, self.event_count), event);
    }

    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Prints an event if a developer traces one seed.
    fn trace(&self, text: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{} ms: {}", self.now_ms, text());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(leader) => self.tick(leader),
            Event::Heartbeat(target_index) => {
                self.heartbeat(target_index);
                self.schedule(HEARTBEAT_INTERVAL_MS, Event::Heartbeat(target_index));
            }
            Event::Fault => self.inject_faults(),
            Event::SendGrants(batch) => self.send_next_grant(*batch),
            Event::ApplyGrant { target_index, incarnation, grant, arrived_at } => {
                let target = &mut self.targets[target_index];
                if target.incarnation == incarnation && target.is_alive {
                    target.apply(&grant, arrived_at, GRANT_DURATION_MS, self.now_ms);
                }
            }
            Event::GrantsDone { leader, instance, results, connection } => {
                let now = tick_at_ms(self.now_ms);
                self.trace(|| format!("leader {leader} granted {} {results:?}", instance.vm));
                let leader = &mut self.leaders[leader];
                if let Some(connection) = connection {
                    leader.connections.check_in(&instance, connection);
                }
                leader.planner.record_grants(&instance, &results, now);
            }
            Event::SendRelease { leader, target_index, instance, span } => {
                self.send_release(leader, target_index, instance, span);
            }
            Event::ReleaseDone { leader, instance, span, result } => {
                self.trace(|| {
                    format!("leader {leader} released {} {span:?} {result:?}", instance.vm)
                });
                self.releases += usize::from(result.is_ok());
                self.leaders[leader].planner.record_release(&instance, span, result);
            }
            Event::Write { leader, term, map, is_answered } => {
                self.commit_write(leader, term, &map, is_answered);
            }
            Event::WriteDone { leader, result } => {
                self.leaders[leader].planner.record_write(result);
                self.read_row(leader);
            }
            Event::ExpireRegistration(name) => {
                let is_running = |target: &Target| target.is_alive && target.current_name == name;
                if !self.targets.iter().any(is_running) {
                    self.registry.remove(&name, tick_at_ms(self.now_ms));
                }
            }
            Event::Restart(target_index) => {
                self.trace(|| format!("target {target_index} starts"));
                let keeps_name = self.rng.random_bool(0.5);
                self.targets[target_index].restart(keeps_name, self.now_ms);
            }
        }
    }

    fn heartbeat(&mut self, target_index: usize) {
        let target = &self.targets[target_index];
        if !target.is_alive || target.unregistered_until > self.now_ms {
            return;
        }
        let registration = Registration {
            vm: target.name(),
            started_at_ms: target.started_at_ms,
            service: Service::from("keyed"),
            address: ([10, 0, 0, target_index as u8 + 1], 80).into(),
            zone: Zone::from("a"),
            slots: 2,
            state: State::Ready,
            warmup_remaining_ms: 0,
            sequence: 0,
        };
        // A heartbeat alone does not change the registration.
        let target = self.registry.get(&registration.vm);
        if target
            .is_none_or(|target| target.registration != registration || !target.is_registered())
        {
            self.version += 1;
            self.registry.register(
                registration,
                Version::from(self.version),
                tick_at_ms(self.now_ms),
            );
        }
    }

    fn elect_leader(&mut self) {
        self.version += 1;
        self.current_term = self.version;
        let map = self.row.as_ref().map(|(bytes, version)| {
            Map::parse(bytes, Version::from(*version)).expect("a complete row")
        });
        let planner = Planner::new(Service::from("keyed"), config(), map, tick_at_ms(self.now_ms));
        self.leaders.push(Leader {
            term: self.current_term,
            planner,
            connections: Connections::default(),
            confirmed_at: self.now_ms,
            partitioned_until: 0,
            paused_until: 0,
            unreachable_target: (0, 0),
            last_registry: Registry::default(),
            is_alive: true,
            needs_confirmation: false,
            former_ended: false,
        });
        let leader = self.leaders.len() - 1;
        self.schedule(10, Event::Tick(leader));
    }

    fn tick(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let leader = &mut self.leaders[index];
        if !leader.is_alive {
            return;
        }
        if leader.paused_until > now_ms {
            let delay_ms = leader.paused_until - now_ms;
            self.schedule(delay_ms, Event::Tick(index));
            return;
        }
        let is_confirmation_due =
            leader.needs_confirmation || now_ms - leader.confirmed_at >= CONFIRMATION_INTERVAL_MS;
        if leader.partitioned_until <= now_ms && is_confirmation_due {
            leader.needs_confirmation = false;
            if leader.term != self.current_term {
                leader.is_alive = false;
                return;
            }
            leader.confirmed_at = now_ms;
            self.read_row(index);
        }
        self.confirm_former_leaders(index);
        let has_unlimited_lease = self.mutation.unlimited_lease;
        let leader = &mut self.leaders[index];
        if now_ms - leader.confirmed_at < LEADERSHIP_LEASE_MS || has_unlimited_lease {
            if !self.callers_stopped {
                hot_keys(now_ms).for_each(|key| leader.planner.load_mut().record_requests(key, 1));
            }
            let registry = if leader.partitioned_until > now_ms {
                &leader.last_registry
            } else {
                &self.registry
            };
            let actions = leader.planner.next_actions(registry, tick_at_ms(now_ms));
            for action in actions {
                self.carry_out(index, action);
            }
        }
        self.schedule(TICK_INTERVAL_MS, Event::Tick(index));
    }

    /// Tells a leader once that no former leader renews grants any more: all of them have ended or
    /// know that they do not lead, and none of their commands is under way.
    fn confirm_former_leaders(&mut self, index: usize) {
        let is_of_former = |event: &Event| match event {
            Event::SendGrants(batch) => batch.leader < index,
            _ => false,
        };
        let may_renew = self.leaders[..index].iter().any(|leader| leader.is_alive)
            || self.events.values().any(is_of_former);
        if self.mutation.unconfirmed_former_leaders || !may_renew {
            let now = tick_at_ms(self.now_ms);
            let leader = &mut self.leaders[index];
            if !std::mem::replace(&mut leader.former_ended, true) {
                leader.planner.record_former_leaders_ended(now);
            }
        }
    }

    fn target_index_of(&self, instance: &Instance) -> usize {
        self.targets.iter().position(|target| target.current_name == instance.vm).unwrap_or_else(
            || {
                self.targets
                    .iter()
                    .position(|target| target.former_names.contains(&instance.vm))
                    .expect("a known instance")
            },
        )
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Grant { instance, grants, .. } => {
                let target_index = self.target_index_of(&instance);
                let incarnation = self.targets[target_index].incarnation;
                let silent_reconnect = self.mutation.silent_reconnect;
                let unreachable_target = self.leaders[index].unreachable_target;
                let is_reachable = self.targets[target_index].is_alive
                    && (unreachable_target.0 != target_index
                        || unreachable_target.1 <= self.now_ms);
                let leader = &mut self.leaders[index];
                let may_connect = self.now_ms - leader.confirmed_at < CONNECT_LEASE_MS;
                let mut checkout = leader
                    .connections
                    .check_out(&instance, |connection| *connection == incarnation);
                if silent_reconnect && checkout == Checkout::Closed {
                    checkout = Checkout::Connect;
                }
                let connection = match checkout {
                    Checkout::Reuse(connection) => Some(connection),
                    Checkout::Connect if !may_connect => {
                        let withheld: Vec<_> =
                            grants.into_iter().map(|grant| (grant, Outcome::Withheld)).collect();
                        leader.planner.record_grants(&instance, &withheld, tick_at_ms(self.now_ms));
                        leader.needs_confirmation = true;
                        return;
                    }
                    // A new connection names the target that it is for.
                    Checkout::Connect
                        if is_reachable
                            && self.targets[target_index].current_name == instance.vm =>
                    {
                        Some(incarnation)
                    }
                    Checkout::Connect => None,
                    Checkout::Closed => {
                        let unsent: Vec<_> =
                            grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                        leader.planner.record_grants(&instance, &unsent, tick_at_ms(self.now_ms));
                        return;
                    }
                };
                if let Some(connection) = connection {
                    let done = Vec::new();
                    let batch =
                        Batch { leader: index, target_index, instance, connection, grants, done };
                    self.schedule(1, Event::SendGrants(Box::new(batch)));
                } else {
                    let results = grants.into_iter().map(|grant| (grant, Outcome::Unsent));
                    let results = results.collect();
                    self.schedule(
                        5,
                        Event::GrantsDone { leader: index, instance, results, connection: None },
                    );
                }
            }
            Action::Release { instance, span, .. } => {
                let target_index = self.target_index_of(&instance);
                self.schedule(
                    1,
                    Event::SendRelease { leader: index, target_index, instance, span },
                );
            }
            Action::Write(map) => {
                let term = self.leaders[index].term;
                let partitioned = self.leaders[index].partitioned_until > self.now_ms;
                let lost = self.draw(self.faults.write_lost);
                let late = self.draw(self.faults.write_late);
                let event = |is_answered| Event::Write {
                    leader: index,
                    term,
                    map: map.clone(),
                    is_answered,
                };
                if partitioned || lost {
                    if lost && !partitioned {
                        let delay_ms = if late { self.rng.random_range(1_000..6_000) } else { 4 };
                        self.schedule(delay_ms, event(false));
                    }
                    let result = WriteOutcome::Unknown;
                    self.schedule(1_200, Event::WriteDone { leader: index, result });
                } else {
                    self.schedule(4, event(true));
                }
            }
        }
    }

    fn send_next_grant(&mut self, mut batch: Batch) {
        let paused_until = self.leaders[batch.leader].paused_until;
        if paused_until > self.now_ms {
            self.schedule(paused_until - self.now_ms, Event::SendGrants(Box::new(batch)));
            return;
        }
        if batch.grants.is_empty() {
            let Batch { leader, instance, connection, done, .. } = batch;
            self.schedule(
                1,
                Event::GrantsDone { leader, instance, results: done, connection: Some(connection) },
            );
            return;
        }
        let grant = batch.grants.remove(0);
        let target = &self.targets[batch.target_index];
        let is_closed = !target.is_alive || target.incarnation != batch.connection;
        let lost = is_closed || self.draw(self.faults.command_lost);
        let unanswered = self.draw(self.faults.answer_lost);
        let late = self.draw(self.faults.grant_late);
        let mut outcome = Outcome::Granted;
        if !lost {
            if late {
                let delay_ms = self.rng.random_range(500..6_000);
                let (target_index, incarnation) =
                    (batch.target_index, self.targets[batch.target_index].incarnation);
                let arrived_at = self.now_ms;
                self.schedule(
                    delay_ms,
                    Event::ApplyGrant {
                        target_index,
                        incarnation,
                        grant: grant.clone(),
                        arrived_at,
                    },
                );
            } else if !self.targets[batch.target_index].apply(
                &grant,
                self.now_ms,
                GRANT_DURATION_MS,
                self.now_ms,
            ) {
                outcome = Outcome::Fenced;
            }
        }
        if lost || unanswered || late {
            let Batch { leader, instance, grants, mut done, .. } = batch;
            done.push((grant, Outcome::Lost));
            done.extend(grants.into_iter().map(|grant| (grant, Outcome::Unsent)));
            let event = Event::GrantsDone { leader, instance, results: done, connection: None };
            self.schedule(GRANT_TIMEOUT_MS, event);
            return;
        }
        batch.done.push((grant, outcome));
        self.schedule(2, Event::SendGrants(Box::new(batch)));
    }

    fn send_release(&mut self, leader: usize, target_index: usize, instance: Instance, span: Span) {
        let unreachable_target = self.leaders[leader].unreachable_target;
        let is_reachable = self.targets[target_index].is_alive
            && self.targets[target_index].current_name == instance.vm
            && (unreachable_target.0 != target_index || unreachable_target.1 <= self.now_ms);
        let lost = !is_reachable || self.draw(self.faults.command_lost);
        let unanswered = self.draw(self.faults.answer_lost);
        let mut result = Err(Outcome::Lost);
        let mut delay_ms = RELEASE_TIMEOUT_MS;
        if !lost {
            self.targets[target_index].release(span);
            if !unanswered {
                result = Ok(Some(SmolStr::from("warm")));
                delay_ms = self.rng.random_range(2..300);
            }
        }
        self.schedule(delay_ms, Event::ReleaseDone { leader, instance, span, result });
    }

    fn commit_write(&mut self, leader: usize, term: u64, map: &Map, is_answered: bool) {
        self.trace(|| format!("leader {leader} writes {map:?}"));
        let current = self.row.as_ref().map_or(0, |(_, version)| *version);
        let is_current = term == self.current_term && map.version.get() == current;
        let mut result = WriteOutcome::Unknown;
        if is_current {
            self.version += 1;
            self.row = Some((map.to_bytes(Era::ZERO), self.version));
            result = WriteOutcome::Committed(Version::from(self.version));
        }
        if is_answered {
            self.schedule(2, Event::WriteDone { leader, result });
        }
    }

    fn read_row(&mut self, index: usize) {
        let leader = &mut self.leaders[index];
        if leader.partitioned_until > self.now_ms || leader.term != self.current_term {
            return;
        }
        if let Some((bytes, version)) = &self.row {
            let map = Map::parse(bytes, Version::from(*version)).expect("a complete row");
            leader.planner.record_row(Some((map, Version::from(*version))));
        }
    }

    fn inject_faults(&mut self) {
        self.schedule(500, Event::Fault);
        let faults = self.faults;
        for target_index in 0..self.targets.len() {
            if self.targets[target_index].is_alive && self.draw(faults.crash / 2.0) {
                self.trace(|| format!("target {target_index} crashes"));
                self.targets[target_index].crash();
                let name = self.targets[target_index].name();
                self.schedule(REGISTRATION_EXPIRY_MS, Event::ExpireRegistration(name));
                let delay_ms = self.rng.random_range(50..5_000);
                self.schedule(delay_ms, Event::Restart(target_index));
            }
            if self.draw(faults.unregistered / 2.0) {
                self.targets[target_index].unregistered_until =
                    self.now_ms + self.rng.random_range(2_000..8_000);
                let name = self.targets[target_index].name();
                self.registry.remove(&name, tick_at_ms(self.now_ms));
            }
        }
        let current = self.leaders.len() - 1;
        let crash = self.draw(faults.leader_crash / 2.0);
        let partitioned = self.draw(faults.leader_partition / 2.0);
        let pause = self.draw(faults.leader_pause / 2.0);
        let duration_ms = self.rng.random_range(1_000..12_000);
        if crash {
            self.leaders[current].is_alive = false;
        } else if partitioned {
            self.leaders[current].partitioned_until = self.now_ms + duration_ms;
            self.leaders[current].last_registry = self.registry.clone();
        } else if pause {
            self.leaders[current].paused_until = self.now_ms + duration_ms;
        }
        let is_shared = partitioned && self.draw(faults.partition_with_target);
        if crash || partitioned || pause {
            self.trace(|| {
                format!(
                    "leader {current} crash {crash} partition {partitioned} pause {pause} \
                     {duration_ms} ms"
                )
            });
            self.elect_leader();
        }
        if is_shared {
            let target_index = self.rng.random_range(0..self.targets.len());
            let until = self.now_ms + SHARED_PARTITION_MS;
            self.leaders[current].partitioned_until = until;
            self.leaders[current + 1].unreachable_target = (target_index, until);
            self.targets[target_index].unregistered_until = until;
            let name = self.targets[target_index].name();
            self.registry.remove(&name, tick_at_ms(self.now_ms));
        }
    }

    fn check_holders(&mut self) {
        for a in 0..self.targets.len() {
            for b in a + 1..self.targets.len() {
                if let Some(text) = self.targets[a].conflict(&self.targets[b], self.now_ms) {
                    self.overlaps.push(format!("{} ms: {text}", self.now_ms));
                }
            }
            let stale_grants = &mut self.targets[a].stale_grants;
            self.stale_grants.append(stale_grants);
        }
    }
}
