//! A planner with its surroundings, in virtual time.

use {
    hold::{
        Action, Instance, Planner, Registration, Registry,
        evacuation::{Reading, Row},
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
    smol_str::SmolStr,
    std::time::Duration,
};

pub(crate) const GRANT_DURATION_MS: u64 = 4_000;
/// An interval after which no answer to a grant can be outstanding.
pub(crate) const SETTLE_INTERVAL_MS: u64 = 160;
pub(crate) const LEADERSHIP_LEASE_MS: u64 = 6_000;

pub(crate) fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

pub(crate) fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(GRANT_DURATION_MS),
        renewal_interval: Duration::from_millis(1_000),
        grant_timeout: Duration::from_millis(400),
        in_flight_margin: Duration::from_millis(300),
        leadership_lease: Duration::from_millis(LEADERSHIP_LEASE_MS),
    }
}

pub(crate) fn registration(number: u16, started_at_ms: u64, state: State) -> Registration {
    let [high, low] = number.to_be_bytes();
    Registration {
        vm: Vm::from(format!("t{number}").as_str()),
        started_at_ms,
        service: Service::from("keyed"),
        address: ([10, 0, high, low], 80).into(),
        zone: Zone::from("a"),
        slots: 2,
        state,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}

/// A planner with a store that commits every write, and targets that carry out every command.
pub(crate) struct Fixture {
    pub(crate) planner: Planner,
    pub(crate) registry: Registry,
    pub(crate) now_ms: u64,
    pub(crate) version: u64,
    /// An instance that no command reaches.
    pub(crate) unreachable: Option<Instance>,
    /// An instance whose answers are lost.
    pub(crate) silent: Option<Instance>,
}

impl Fixture {
    pub(crate) fn new(targets: u16) -> Self {
        Self::in_zones(targets, &["a"])
    }

    /// Returns a fixture whose targets are spread evenly over zones.
    pub(crate) fn in_zones(targets: u16, zones: &[&str]) -> Self {
        let mut registry = Registry::default();
        for number in 1..=targets {
            let version = Version::from(u64::from(number));
            let zone = Zone::from(zones[usize::from(number) % zones.len()]);
            let registration = Registration { zone, ..registration(number, 1, State::Ready) };
            registry.register(registration, version, tick_at_ms(0));
        }
        let planner = Planner::new(Service::from("keyed"), config(), None, tick_at_ms(0));
        let mut fixture =
            Self { planner, registry, now_ms: 0, version: 100, unreachable: None, silent: None };
        fixture.run_until_settled();
        fixture
    }

    pub(crate) fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now_ms += ms;
        self.planner.next_actions(&self.registry, tick_at_ms(self.now_ms))
    }

    pub(crate) fn register(&mut self, registration: Registration) {
        self.version += 1;
        self.registry.register(registration, Version::from(self.version), tick_at_ms(self.now_ms));
    }

    /// Has the registry read that these zones are evacuated, and no others.
    pub(crate) fn evacuate(&mut self, zones: &[&str]) {
        self.version += 1;
        let (version, now) = (Version::from(self.version), tick_at_ms(self.now_ms));
        let to_row = |zone: &&str| Row { zone: Zone::from(*zone), version, is_requested: true };
        self.registry.evacuations_mut().record_read(Reading {
            version,
            complete: true,
            changed_at: now,
            newest_at: now,
            rows: zones.iter().map(to_row).collect(),
        });
    }

    pub(crate) fn commit_write(&mut self) {
        self.version += 1;
        self.planner.record_write(WriteOutcome::Committed(Version::from(self.version)));
    }

    pub(crate) fn record_outcome(
        &mut self,
        instance: &Instance,
        grants: &[Grant],
        outcome: Outcome,
    ) {
        let results: Vec<_> = grants.iter().map(|grant| (grant.clone(), outcome)).collect();
        self.planner.record_grants(instance, &results, tick_at_ms(self.now_ms));
    }

    /// Carries out all actions until there are none in two consecutive rounds, for 20 rounds at
    /// most.
    pub(crate) fn run_until_settled(&mut self) {
        let mut idle_rounds = 0;
        for _ in 0..20 {
            let actions = self.advance(SETTLE_INTERVAL_MS);
            idle_rounds = if actions.is_empty() { idle_rounds + 1 } else { 0 };
            if idle_rounds == 2 {
                return;
            }
            self.carry_out(actions);
        }
    }

    /// Returns what comes of a command to an instance.
    fn command_outcome(&self, instance: &Instance) -> Outcome {
        if self.unreachable.as_ref() == Some(instance) {
            Outcome::Unsent
        } else if self.silent.as_ref() == Some(instance) {
            Outcome::Lost
        } else {
            Outcome::Granted
        }
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(_) => self.commit_write(),
                Action::Grant { instance, grants, .. } => {
                    let outcome = self.command_outcome(&instance);
                    self.record_outcome(&instance, &grants, outcome);
                }
                Action::Release { instance, span, .. } => {
                    let result = match self.command_outcome(&instance) {
                        Outcome::Granted => Ok(Some(SmolStr::from("warm"))),
                        failure => Err(failure),
                    };
                    self.planner.record_release(&instance, span, result);
                }
            }
        }
    }

    pub(crate) fn holder(&self, key: u16) -> Option<Instance> {
        let map = self.planner.map();
        let assignment = map.assignment(key)?;
        Some(map.holder(assignment)?.instance.clone())
    }
}

pub(crate) fn instance(number: u16, started_at_ms: u64) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms }
}

pub(crate) fn count_grants(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Grant { .. })).count()
}

pub(crate) fn count_releases(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}
