//! Targets, a store and leaders in virtual time, with faults drawn from a seed.

pub mod target;

use {
    hold::{
        Action, Connections, Instance, Map, Planner, Registration, Registry, Span,
        connections::Checkout,
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smol_str::SmolStr,
    std::{collections::BTreeMap, time::Duration},
    target::Target,
};

pub const HOLD_MS: u64 = 4_000;
pub const RIGHT_MS: u64 = 6_000;
const ORDER_TIMEOUT_MS: u64 = 400;
const RELEASE_TIMEOUT_MS: u64 = 2_000;
const TICK_MS: u64 = 100;
const HOT_KEYS: u16 = 24;
const HOT_FOR_MS: u64 = 5_000;
/// How far the neighbourhood moves, in keys.
const HOT_STEP: u64 = 27_919;
const BEAT_MS: u64 = 870;
const CUT_TOGETHER_MS: u64 = 15_000;
const LAPSE_MS: u64 = 3 * BEAT_MS;
const CONFIRM_MS: u64 = 1_000;

/// The faults of one run, each as a chance for each order, write or second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub order_lost: f64,
    pub answer_lost: f64,
    pub order_late: f64,
    pub write_lost: f64,
    pub write_late: f64,
    pub crash: f64,
    pub unlisted: f64,
    pub leader_crash: f64,
    pub leader_cut: f64,
    pub leader_pause: f64,
    /// The part of cuts in which a target stays with the leader that is cut off.
    pub cut_with_target: f64,
}

/// What the checks of a mechanism can be switched to, to see that a run notices.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mutation {
    /// The leader's right is not checked before it orders.
    pub eternal_right: bool,
    /// A connection that ended is replaced silently.
    pub reconnects: bool,
}

/// Returns a neighbourhood of keys that callers ask for far more often than for others; it moves.
fn hot_keys(now: u64) -> impl Iterator<Item = u16> {
    let first = (now / HOT_FOR_MS * HOT_STEP % u64::from(u16::MAX - HOT_KEYS)) as u16;
    first..first + HOT_KEYS
}

fn at(ms: u64) -> Tick {
    Tick::from(ms * 1_000 + 1_000_000)
}

fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(HOLD_MS),
        renewal_interval: Duration::from_millis(1_000),
        grant_timeout: Duration::from_millis(ORDER_TIMEOUT_MS),
        in_flight_margin: Duration::from_millis(300),
        leadership_lease: Duration::from_millis(RIGHT_MS),
    }
}

/// Grants on their way to one target, one after the other.
struct Batch {
    leader: usize,
    vm: usize,
    instance: Instance,
    connection: u64,
    grants: Vec<Grant>,
    done: Vec<(Grant, Outcome)>,
}

enum Event {
    Tick(usize),
    Beat(usize),
    Fault,
    Granting(Box<Batch>),
    Apply {
        vm: usize,
        run: u64,
        grant: Grant,
        arrived: u64,
    },
    Granted {
        leader: usize,
        instance: Instance,
        results: Vec<(Grant, Outcome)>,
        connection: Option<u64>,
    },
    Releasing {
        leader: usize,
        vm: usize,
        instance: Instance,
        span: Span,
    },
    Released {
        leader: usize,
        instance: Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    },
    Write {
        leader: usize,
        lead: u64,
        map: Map,
        answer: bool,
    },
    Written {
        leader: usize,
        result: WriteOutcome,
    },
    Back(usize),
    /// The store has had no sign of life under a name for a while.
    Lapse(Vm),
}

struct Leader {
    term: u64,
    planner: Planner,
    connections: Connections<u64>,
    confirmed: u64,
    cut_until: u64,
    paused_until: u64,
    /// A target that this leader cannot reach, and until when.
    blind: (usize, u64),
    /// The list as it was when this leader was cut off.
    last_list: Registry,
    alive: bool,
}

/// One run.
pub struct World {
    now: u64,
    rng: StdRng,
    faults: Faults,
    mutation: Mutation,
    /// Whether callers have stopped.
    idle: bool,
    traced: bool,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
    targets: Vec<Target>,
    registry: Registry,
    row: Option<(Vec<u8>, u64)>,
    lead: u64,
    version: u64,
    leaders: Vec<Leader>,
    pub overlaps: Vec<String>,
    pub stale: Vec<String>,
    pub moves: usize,
}

impl World {
    pub fn new(seed: u64, faults: Faults, mutation: Mutation) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            faults,
            mutation,
            idle: false,
            traced: std::env::var_os("ALMONDWORKS_TRACE").is_some(),
            queue: BTreeMap::new(),
            order: 0,
            targets: (0..6).map(Target::new).collect(),
            registry: Registry::default(),
            row: None,
            lead: 0,
            version: 10,
            leaders: Vec::new(),
            overlaps: Vec::new(),
            stale: Vec::new(),
            moves: 0,
        };
        for vm in 0..world.targets.len() {
            world.beat(vm);
            world.push(BEAT_MS, Event::Beat(vm));
        }
        world.elect();
        world.push(500, Event::Fault);
        world
    }

    /// Plays until `end`, in milliseconds, and then some time without faults.
    pub fn play(&mut self, end: u64, calm: u64) {
        while let Some(((at, order), _)) = self.queue.first_key_value() {
            let key = (*at, *order);
            if key.0 > end + calm {
                return;
            }
            if key.0 > end {
                self.faults = Faults::default();
                self.idle = true;
            }
            self.now = key.0;
            let Some(event) = self.queue.remove(&key) else { continue };
            // Only a grant that is obeyed can give a key a second holder.
            let grants = matches!(event, Event::Apply { .. } | Event::Granting(_));
            self.take(event);
            if grants {
                self.check();
            }
        }
    }

    /// Returns how many keys have a holder that works on them now.
    pub fn held(&self) -> u32 {
        let spans = |target: &Target| target.spans(self.now).map(Span::width).sum::<u32>();
        self.targets.iter().map(spans).sum()
    }

    fn push(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Prints what happens where a person looks into one seed.
    fn trace(&self, text: impl FnOnce() -> String) {
        if self.traced {
            println!("{} ms: {}", self.now, text());
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick(leader) => self.tick(leader),
            Event::Beat(vm) => {
                self.beat(vm);
                self.push(BEAT_MS, Event::Beat(vm));
            }
            Event::Fault => self.fault(),
            Event::Granting(batch) => self.granting(*batch),
            Event::Apply { vm, run, grant, arrived } => {
                let target = &mut self.targets[vm];
                if target.run == run && target.alive {
                    target.apply(&grant, arrived, HOLD_MS, self.now);
                }
            }
            Event::Granted { leader, instance, results, connection } => {
                let now = at(self.now);
                self.trace(|| format!("leader {leader} granted {} {results:?}", instance.vm));
                let leader = &mut self.leaders[leader];
                if let Some(connection) = connection {
                    leader.connections.check_in(&instance, connection);
                }
                leader.planner.record_grants(&instance, &results, now);
            }
            Event::Releasing { leader, vm, instance, span } => {
                self.releasing(leader, vm, instance, span);
            }
            Event::Released { leader, instance, span, result } => {
                self.trace(|| {
                    format!("leader {leader} released {} {span:?} {result:?}", instance.vm)
                });
                self.moves += usize::from(result.is_ok());
                self.leaders[leader].planner.record_release(&instance, span, result);
            }
            Event::Write { leader, lead, map, answer } => self.write(leader, lead, &map, answer),
            Event::Written { leader, result } => {
                self.leaders[leader].planner.record_write(result);
                self.read_row(leader);
            }
            Event::Lapse(name) => {
                let instances = |target: &Target| target.alive && target.address_of == name;
                if !self.targets.iter().any(instances) {
                    self.registry.remove(&name, at(self.now));
                }
            }
            Event::Back(vm) => {
                self.trace(|| format!("target {vm} starts"));
                let same = self.rng.random_bool(0.5);
                self.targets[vm].start(same, self.now);
            }
        }
    }

    fn beat(&mut self, vm: usize) {
        let target = &self.targets[vm];
        if !target.alive || target.unlisted_until > self.now {
            return;
        }
        let registration = Registration {
            vm: target.name(),
            started_at_ms: target.started_at_ms,
            service: Service::from("keyed"),
            address: ([10, 0, 0, vm as u8 + 1], 80).into(),
            zone: Zone::from("a"),
            slots: 2,
            state: State::Ready,
            warmup_remaining_ms: 0,
        };
        // A sign of life alone does not change the entry.
        let known = self.registry.get(&registration.vm);
        if known.is_none_or(|known| known.registration != registration || !known.is_registered()) {
            self.version += 1;
            self.registry.register(registration, Version::from(self.version), at(self.now));
        }
    }

    fn elect(&mut self) {
        self.version += 1;
        self.lead = self.version;
        let map = self.row.as_ref().map(|(bytes, version)| {
            Map::parse(bytes, Version::from(*version)).expect("a whole row")
        });
        let planner = Planner::new(Service::from("keyed"), config(), map, at(self.now));
        self.leaders.push(Leader {
            term: self.lead,
            planner,
            connections: Connections::default(),
            confirmed: self.now,
            cut_until: 0,
            paused_until: 0,
            blind: (0, 0),
            last_list: Registry::default(),
            alive: true,
        });
        let leader = self.leaders.len() - 1;
        self.push(10, Event::Tick(leader));
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let leader = &mut self.leaders[index];
        if !leader.alive {
            return;
        }
        if leader.paused_until > now {
            let wait = leader.paused_until - now;
            self.push(wait, Event::Tick(index));
            return;
        }
        if leader.cut_until <= now && now - leader.confirmed >= CONFIRM_MS {
            if leader.term != self.lead {
                leader.alive = false;
                return;
            }
            leader.confirmed = now;
            self.read_row(index);
        }
        let eternal = self.mutation.eternal_right;
        let leader = &mut self.leaders[index];
        if now - leader.confirmed < RIGHT_MS || eternal {
            if !self.idle {
                hot_keys(now).for_each(|key| leader.planner.load_mut().record_requests(key, 1));
            }
            let list = if leader.cut_until > now { &leader.last_list } else { &self.registry };
            let actions = leader.planner.next_actions(list, at(now));
            for action in actions {
                self.carry_out(index, action);
            }
        }
        self.push(TICK_MS, Event::Tick(index));
    }

    fn target(&self, instance: &Instance) -> usize {
        self.targets.iter().position(|target| target.address_of == instance.vm).unwrap_or_else(
            || {
                self.targets
                    .iter()
                    .position(|target| target.former.contains(&instance.vm))
                    .expect("known")
            },
        )
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Grant { instance, grants, .. } => {
                let vm = self.target(&instance);
                let run = self.targets[vm].run;
                let reconnects = self.mutation.reconnects;
                let blind = self.leaders[index].blind;
                let alive = self.targets[vm].alive && (blind.0 != vm || blind.1 <= self.now);
                let leader = &mut self.leaders[index];
                let mut checkout =
                    leader.connections.check_out(&instance, |connection| *connection == run);
                if reconnects && checkout == Checkout::Closed {
                    checkout = Checkout::Connect;
                }
                let connection = match checkout {
                    Checkout::Reuse(connection) => Some(connection),
                    // A new connection asks for the target by name.
                    Checkout::Connect if alive && self.targets[vm].address_of == instance.vm => {
                        Some(run)
                    }
                    Checkout::Connect => None,
                    Checkout::Closed => {
                        let unsent: Vec<_> =
                            grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                        leader.planner.record_grants(&instance, &unsent, at(self.now));
                        return;
                    }
                };
                if let Some(connection) = connection {
                    let done = Vec::new();
                    let batch = Batch { leader: index, vm, instance, connection, grants, done };
                    self.push(1, Event::Granting(Box::new(batch)));
                } else {
                    let results = grants.into_iter().map(|grant| (grant, Outcome::Unsent));
                    let results = results.collect();
                    self.push(
                        5,
                        Event::Granted { leader: index, instance, results, connection: None },
                    );
                }
            }
            Action::Release { instance, span, .. } => {
                let vm = self.target(&instance);
                self.push(1, Event::Releasing { leader: index, vm, instance, span });
            }
            Action::Write(map) => {
                let lead = self.leaders[index].term;
                let cut = self.leaders[index].cut_until > self.now;
                let lost = self.chance(self.faults.write_lost);
                let late = self.chance(self.faults.write_late);
                let event = |answer| Event::Write { leader: index, lead, map: map.clone(), answer };
                if cut || lost {
                    if lost && !cut {
                        let delay = if late { self.rng.random_range(1_000..6_000) } else { 4 };
                        self.push(delay, event(false));
                    }
                    let result = WriteOutcome::Unknown;
                    self.push(1_200, Event::Written { leader: index, result });
                } else {
                    self.push(4, event(true));
                }
            }
        }
    }

    fn granting(&mut self, mut batch: Batch) {
        let paused = self.leaders[batch.leader].paused_until;
        if paused > self.now {
            self.push(paused - self.now, Event::Granting(Box::new(batch)));
            return;
        }
        if batch.grants.is_empty() {
            let Batch { leader, instance, connection, done, .. } = batch;
            self.push(
                1,
                Event::Granted { leader, instance, results: done, connection: Some(connection) },
            );
            return;
        }
        let grant = batch.grants.remove(0);
        let target = &self.targets[batch.vm];
        let broken = !target.alive || target.run != batch.connection;
        let lost = broken || self.chance(self.faults.order_lost);
        let unanswered = self.chance(self.faults.answer_lost);
        let late = self.chance(self.faults.order_late);
        let mut outcome = Outcome::Granted;
        if !lost {
            if late {
                let after = self.rng.random_range(500..6_000);
                let (vm, run) = (batch.vm, self.targets[batch.vm].run);
                let arrived = self.now;
                self.push(after, Event::Apply { vm, run, grant: grant.clone(), arrived });
            } else if !self.targets[batch.vm].apply(&grant, self.now, HOLD_MS, self.now) {
                outcome = Outcome::Fenced;
            }
        }
        if lost || unanswered || late {
            let Batch { leader, instance, grants, mut done, .. } = batch;
            done.push((grant, Outcome::Lost));
            done.extend(grants.into_iter().map(|grant| (grant, Outcome::Unsent)));
            let granted = Event::Granted { leader, instance, results: done, connection: None };
            self.push(ORDER_TIMEOUT_MS, granted);
            return;
        }
        batch.done.push((grant, outcome));
        self.push(2, Event::Granting(Box::new(batch)));
    }

    fn releasing(&mut self, leader: usize, vm: usize, instance: Instance, span: Span) {
        let blind = self.leaders[leader].blind;
        let alive = self.targets[vm].alive
            && self.targets[vm].address_of == instance.vm
            && (blind.0 != vm || blind.1 <= self.now);
        let lost = !alive || self.chance(self.faults.order_lost);
        let unanswered = self.chance(self.faults.answer_lost);
        let mut result = Err(Outcome::Lost);
        let mut after = RELEASE_TIMEOUT_MS;
        if !lost {
            self.targets[vm].release(span);
            if !unanswered {
                result = Ok(Some(SmolStr::from("warm")));
                after = self.rng.random_range(2..300);
            }
        }
        self.push(after, Event::Released { leader, instance, span, result });
    }

    fn write(&mut self, leader: usize, lead: u64, map: &Map, answer: bool) {
        self.trace(|| format!("leader {leader} writes {map:?}"));
        let current = self.row.as_ref().map_or(0, |(_, version)| *version);
        let holds = lead == self.lead && map.version.get() == current;
        let mut result = WriteOutcome::Unknown;
        if holds {
            self.version += 1;
            self.row = Some((map.to_bytes(), self.version));
            result = WriteOutcome::Committed(Version::from(self.version));
        }
        if answer {
            self.push(2, Event::Written { leader, result });
        }
    }

    fn read_row(&mut self, index: usize) {
        let leader = &mut self.leaders[index];
        if leader.cut_until > self.now || leader.term != self.lead {
            return;
        }
        if let Some((bytes, version)) = &self.row {
            let map = Map::parse(bytes, Version::from(*version)).expect("a whole row");
            leader.planner.record_row(map);
        }
    }

    fn fault(&mut self) {
        self.push(500, Event::Fault);
        let faults = self.faults;
        for vm in 0..self.targets.len() {
            if self.targets[vm].alive && self.chance(faults.crash / 2.0) {
                self.trace(|| format!("target {vm} crashes"));
                self.targets[vm].crash();
                let name = self.targets[vm].name();
                self.push(LAPSE_MS, Event::Lapse(name));
                let after = self.rng.random_range(50..5_000);
                self.push(after, Event::Back(vm));
            }
            if self.chance(faults.unlisted / 2.0) {
                self.targets[vm].unlisted_until = self.now + self.rng.random_range(2_000..8_000);
                let name = self.targets[vm].name();
                self.registry.remove(&name, at(self.now));
            }
        }
        let last = self.leaders.len() - 1;
        let crash = self.chance(faults.leader_crash / 2.0);
        let cut = self.chance(faults.leader_cut / 2.0);
        let pause = self.chance(faults.leader_pause / 2.0);
        let span = self.rng.random_range(1_000..12_000);
        if crash {
            self.leaders[last].alive = false;
        } else if cut {
            self.leaders[last].cut_until = self.now + span;
            self.leaders[last].last_list = self.registry.clone();
        } else if pause {
            self.leaders[last].paused_until = self.now + span;
        }
        let together = cut && self.chance(faults.cut_with_target);
        if crash || cut || pause {
            self.trace(|| format!("leader {last} crash {crash} cut {cut} pause {pause} {span} ms"));
            self.elect();
        }
        if together {
            let vm = self.rng.random_range(0..self.targets.len());
            let until = self.now + CUT_TOGETHER_MS;
            self.leaders[last].cut_until = until;
            self.leaders[last + 1].blind = (vm, until);
            self.targets[vm].unlisted_until = until;
            let name = self.targets[vm].name();
            self.registry.remove(&name, at(self.now));
        }
    }

    fn check(&mut self) {
        for a in 0..self.targets.len() {
            for b in a + 1..self.targets.len() {
                if let Some(text) = self.targets[a].conflict(&self.targets[b], self.now) {
                    self.overlaps.push(format!("{} ms: {text}", self.now));
                }
            }
            let stale = &mut self.targets[a].stale;
            self.stale.append(stale);
        }
    }
}
