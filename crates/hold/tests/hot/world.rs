//! A keyed service in virtual time: a planner, targets with slots and queues, entries that report
//! what they observe, and callers whose requests follow the map that their entry knows.

use {
    crate::target::{Arrival, Target},
    hold::{
        Action, Instance, Map, Moves, Planner, Registration, Registry, Span,
        moves::{self, Announcement, Move},
        planner::{Config, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

/// The time of one step.
pub(crate) const STEP_MS: u64 = 10;

/// The time between two rounds of planning without news.
const TICK_MS: u64 = 100;

/// The time from a report of an entry to the next.
const REPORT_INTERVAL_MS: u64 = 350;

/// The time that the store takes to write a map of this size.
const WRITE_MS: u64 = 20;

/// The time after the write at which all entries know the new map.
const PUSH_MS: u64 = 20;

/// The time for which a request waits for a holder of its key: 0.4 times the latency objective.
const MAX_WAIT_MS: u64 = 400;

/// The time limit of a release.
const RELEASE_TIMEOUT_MS: u64 = 4_000;

/// The number of connections that carry the releases of one round to a target.
const RELEASE_LANES: usize = 4;

/// The number of keys.
const KEYS: f64 = 65_536.0;

/// What the callers ask for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spell {
    /// The first of the hot keys.
    pub(crate) first: u16,
    /// The number of hot keys.
    pub(crate) keys: u16,
    /// Their share of all requests.
    pub(crate) share: f64,
}

/// The size of a service and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) targets: u16,
    pub(crate) slots: u32,
    pub(crate) speeds: &'static [f64],
    pub(crate) entries: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) work_s: f64,
}

/// What an entry has observed since its last report.
#[derive(Debug, Default)]
struct Observed {
    keys: HashMap<u16, u32>,
    answers: BTreeMap<usize, (u32, f64)>,
}

/// Releases that one connection carries to a target, one after the other.
#[derive(Debug)]
struct Lane {
    target: usize,
    spans: VecDeque<Span>,
    /// When the first of them is given up.
    timeout_at_ms: u64,
}

/// What was counted since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: u64,
    /// Requests that were sent to a target that no longer held their key.
    pub(crate) misdirected: u64,
    /// Requests that waited for a holder of their key in vain.
    pub(crate) no_owner: u64,
    /// Requests that found the queue of their target full.
    pub(crate) refused: u64,
    /// Reassignments that began, and their keys.
    pub(crate) moves: u64,
    pub(crate) keys_moved: u64,
    /// Releases that got no answer in time.
    pub(crate) releases_lost: u64,
}

pub(crate) struct World {
    pub(crate) setting: Setting,
    pub(crate) now_ms: u64,
    pub(crate) counts: Counts,
    pub(crate) spell: Option<Spell>,
    planner: Planner,
    registry: Registry,
    targets: Vec<Target>,
    entries: Vec<Observed>,
    /// The map that the entries know, and those on their way to them.
    known: Map,
    pushed: Vec<(u64, Map)>,
    write_done_at_ms: Option<u64>,
    lanes: Vec<Lane>,
    /// Whether entries are told of the moves that begin.
    pub(crate) announces: bool,
    told: Vec<Move>,
    announced: Vec<(u64, Announcement)>,
    moves: Moves,
    /// The requests that wait in their entries, and until when.
    waiting: Vec<(u16, usize, u64)>,
    version: u64,
    plan_at_ms: u64,
    due: f64,
    rng: StdRng,
}

pub(crate) fn instance(number: usize) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms: 1 }
}

fn number(instance: &Instance) -> usize {
    instance.vm.as_str()[1..].parse().expect("a number")
}

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(7_500),
        renewal_interval: Duration::from_millis(1_500),
        grant_timeout: Duration::from_millis(400),
        in_flight_margin: Duration::from_millis(400),
        leadership_lease: Duration::from_secs(15),
    }
}

impl World {
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let mut registry = Registry::default();
        for number in 0..setting.targets {
            let [high, low] = number.to_be_bytes();
            let registration = Registration {
                vm: instance(usize::from(number)).vm,
                started_at_ms: 1,
                service: Service::from("keyed"),
                address: ([10, 0, high, low], 80).into(),
                zone: Zone::from("a"),
                slots: setting.slots,
                state: State::Ready,
                warmup_remaining_ms: 0,
                sequence: 0,
            };
            let version = Version::from(u64::from(number) + 1);
            registry.register(registration, version, tick_at_ms(0));
        }
        let speeds = (0..usize::from(setting.targets))
            .map(|number| setting.speeds[number % setting.speeds.len()]);
        let targets = speeds.map(|speed| Target::new(setting.slots, setting.work_s / speed));
        Self {
            setting,
            now_ms: 0,
            counts: Counts::default(),
            spell: None,
            planner: Planner::new(Service::from("keyed"), config(), None, tick_at_ms(0)),
            registry,
            targets: targets.collect(),
            entries: (0..setting.entries).map(|_| Observed::default()).collect(),
            known: Map::vacant(),
            pushed: Vec::new(),
            write_done_at_ms: None,
            lanes: Vec::new(),
            announces: true,
            told: Vec::new(),
            announced: Vec::new(),
            moves: Moves::default(),
            waiting: Vec::new(),
            version: 1_000,
            plan_at_ms: 0,
            due: 0.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let mut arrived: Vec<(u64, Map)> = std::mem::take(&mut self.pushed);
        arrived.retain(|(at_ms, map)| {
            let is_due = *at_ms <= now_ms;
            if is_due {
                self.known = map.clone();
            }
            !is_due
        });
        self.pushed = arrived;
        self.finish_requests();
        self.hear_announcements();
        self.send_waiting();
        self.send_requests();
        self.report();
        self.finish_releases();
        if self.write_done_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.write_done_at_ms = None;
            self.version += 1;
            self.planner.record_write(WriteOutcome::Committed(Version::from(self.version)));
            self.pushed.push((now_ms + PUSH_MS, self.planner.map().clone()));
            self.plan_at_ms = now_ms;
        }
        if self.plan_at_ms <= now_ms {
            self.plan_at_ms = now_ms + TICK_MS;
            let actions = self.planner.next_actions(&self.registry, tick_at_ms(now_ms));
            let mut releases: BTreeMap<usize, Vec<Span>> = BTreeMap::new();
            for action in actions {
                if let Action::Release { instance, span, .. } = &action {
                    releases.entry(number(instance)).or_default().push(*span);
                }
                self.carry_out(action);
            }
            for (target, spans) in releases {
                self.send_releases(target, &spans);
            }
            self.announce();
        }
    }

    fn plan_soon(&mut self) {
        self.plan_at_ms = self.plan_at_ms.min(self.now_ms + STEP_MS);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(_) => self.write_done_at_ms = Some(self.now_ms + WRITE_MS),
            Action::Grant { instance, grants, .. } => {
                let target = &mut self.targets[number(&instance)];
                grants.iter().for_each(|grant| target.grant(grant.span));
                let results: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Granted)).collect();
                self.planner.record_grants(&instance, &results, tick_at_ms(self.now_ms));
                self.plan_soon();
            }
            Action::Release { span, .. } => {
                self.counts.moves += 1;
                self.counts.keys_moved += u64::from(span.width());
            }
        }
    }

    fn announce(&mut self) {
        let moves = self.planner.moves();
        if self.announces && moves::is_news(&self.told, &moves, self.planner.map()) {
            let announcement = Announcement {
                leadership: Version::from(1),
                number: self.now_ms,
                moves: moves.clone(),
            };
            self.announced.push((self.now_ms + PUSH_MS, announcement));
        }
        self.told = moves;
    }

    fn hear_announcements(&mut self) {
        let now_ms = self.now_ms;
        let due = self.announced.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.for_each(|(_, announcement)| {
            self.moves.apply(announcement, tick_at_ms(now_ms));
        });
    }

    fn send_releases(&mut self, target: usize, spans: &[Span]) {
        let lanes = RELEASE_LANES.min(spans.len());
        for lane in 0..lanes {
            let spans: VecDeque<Span> = spans.iter().skip(lane).step_by(lanes).copied().collect();
            self.targets[target].release(spans[0]);
            let timeout_at_ms = self.now_ms + RELEASE_TIMEOUT_MS;
            self.lanes.push(Lane { target, spans, timeout_at_ms });
        }
    }

    fn finish_releases(&mut self) {
        for mut lane in std::mem::take(&mut self.lanes) {
            let Some(span) = lane.spans.front().copied() else { continue };
            let result = if !self.targets[lane.target].has_work_on(span) {
                Ok(None)
            } else if lane.timeout_at_ms <= self.now_ms {
                self.counts.releases_lost += 1;
                Err(Outcome::Lost)
            } else {
                self.lanes.push(lane);
                continue;
            };
            self.planner.record_release(&instance(lane.target), span, result);
            self.plan_soon();
            lane.spans.pop_front();
            if let Some(next) = lane.spans.front() {
                self.targets[lane.target].release(*next);
                lane.timeout_at_ms = self.now_ms + RELEASE_TIMEOUT_MS;
                self.lanes.push(lane);
            }
        }
    }

    fn finish_requests(&mut self) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            for (entry, seconds) in target.finish(self.now_ms) {
                let answers = self.entries[entry].answers.entry(number).or_default();
                answers.0 += 1;
                answers.1 += seconds;
            }
        }
    }

    fn send_requests(&mut self) {
        self.due += self.setting.requests_per_s * STEP_MS as f64 / 1_000.0;
        while self.due >= 1.0 {
            // The time between arrivals varies as in a Poisson process.
            self.due -= -self.rng.random::<f64>().max(1e-9).ln();
            self.send_request();
        }
    }

    fn send_request(&mut self) {
        self.counts.requests += 1;
        let hot = self.spell.filter(|spell| self.rng.random::<f64>() < spell.share);
        let key = match hot {
            Some(spell) => spell.first + self.rng.random_range(0..spell.keys),
            None => self.rng.random(),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        *self.entries[entry].keys.entry(key).or_default() += 1;
        self.pass_on(key, entry, self.now_ms + MAX_WAIT_MS);
    }

    fn send_waiting(&mut self) {
        for (key, entry, until_ms) in std::mem::take(&mut self.waiting) {
            self.pass_on(key, entry, until_ms);
        }
    }

    /// Sends a request to the holder of its key by the map that its entry knows, unless the key is
    /// leaving it.
    fn pass_on(&mut self, key: u16, entry: usize, until_ms: u64) {
        let holder = self.known.assignment(key).and_then(|known| self.known.holder(known));
        let Some(holder) = holder else { return };
        if self.moves.is_leaving(key, &holder.instance, tick_at_ms(self.now_ms)) {
            if until_ms <= self.now_ms {
                self.counts.no_owner += 1;
            } else {
                self.waiting.push((key, entry, until_ms));
            }
            return;
        }
        match self.targets[number(&holder.instance)].arrive(key, entry, self.now_ms) {
            Arrival::Taken => {}
            Arrival::NotHeld => self.counts.misdirected += 1,
            Arrival::Full => self.counts.refused += 1,
        }
    }

    fn report(&mut self) {
        let count = self.entries.len() as u64;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let phase_ms = REPORT_INTERVAL_MS * index as u64 / count / STEP_MS * STEP_MS;
            if !(self.now_ms + phase_ms).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let Observed { keys, answers } = std::mem::take(entry);
            let load = self.planner.load_mut();
            keys.into_iter().for_each(|(key, requests)| load.record_requests(key, requests));
            for (target, (count, seconds)) in answers {
                load.record_answers(&instance(target), count, seconds / f64::from(count));
            }
        }
    }

    /// Returns the requests that a key gets in a second.
    fn rate_of_span(&self, span: Span) -> f64 {
        let share = self.spell.map_or(0.0, |spell| spell.share);
        let cold = (1.0 - share) * f64::from(span.width()) / KEYS;
        let hot = self.spell.map_or(0.0, |spell| {
            let (first, last) = (span.first.max(spell.first), spell.first + spell.keys - 1);
            let common = (i32::from(span.last.min(last)) - i32::from(first) + 1).max(0);
            spell.share * f64::from(common) / f64::from(spell.keys)
        });
        self.setting.requests_per_s * (cold + hot)
    }

    /// Returns what each target needs for the requests of its keys, as a fraction of its slots, by
    /// the map of the planner.
    pub(crate) fn utilisations(&self) -> Vec<f64> {
        let mut utilisations = vec![0.0; self.targets.len()];
        for (holder, assignments) in self.planner.map().by_holder() {
            let number = number(&holder.instance);
            let rates = assignments.iter().map(|assignment| self.rate_of_span(assignment.span));
            utilisations[number] = rates.sum::<f64>() * self.targets[number].cost();
        }
        utilisations
    }

    /// Returns the utilisation of the busiest target by the mean of all.
    pub(crate) fn busiest_by_mean(&self) -> f64 {
        let utilisations = self.utilisations();
        let mean = utilisations.iter().sum::<f64>() / utilisations.len() as f64;
        utilisations.into_iter().fold(0.0, f64::max) / mean
    }

    /// Returns the target that holds a key, its share of the capacity of the fastest, and the rate of
    /// its other keys.
    pub(crate) fn holder_of(&self, key: u16) -> Option<(f64, f64)> {
        let map = self.planner.map();
        let holder = map.holder(map.assignment(key)?)?;
        let rates = map.held_by(&holder.instance).map(|held| self.rate_of_span(held.span));
        let own = self.rate_of_span(Span { first: key, last: key });
        let costs = self.targets.iter().map(Target::cost);
        let cost = self.targets[number(&holder.instance)].cost();
        Some((costs.fold(f64::MAX, f64::min) / cost, rates.sum::<f64>() - own))
    }
}
