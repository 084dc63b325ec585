//! A simulation of targets, a store and leaders in virtual time, with faults drawn from a seed.

mod commands;
mod faults;
pub mod target;

pub use self::faults::{Faults, Mutation};

use {
    commands::{Batch, GRANT_TIMEOUT_MS},
    hold::{
        Connections, Instance, Map, Planner, Registration, Registry, Span,
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smol_str::SmolStr,
    std::{collections::BTreeMap, time::Duration},
    target::Target,
};

pub const GRANT_DURATION_MS: u64 = 4_000;
pub const LEADERSHIP_LEASE_MS: u64 = 6_000;
const TICK_INTERVAL_MS: u64 = 100;
const HOT_KEY_COUNT: u16 = 24;
/// How long the range of hot keys stays the same.
const HOT_RANGE_DURATION_MS: u64 = 5_000;
/// How far the range of hot keys shifts at a time, in keys.
const HOT_RANGE_SHIFT: u64 = 27_919;
const HEARTBEAT_INTERVAL_MS: u64 = 870;
const REGISTRATION_EXPIRY_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;
/// The interval at which a leader confirms in the store that it still leads.
const CONFIRMATION_INTERVAL_MS: u64 = 1_000;

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
