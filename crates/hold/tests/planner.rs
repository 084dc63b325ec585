//! The rules of the planner, each tested in the case that needs it.

use {
    hold::{
        Action, Instance, Map, Planner, Registration, Registry, Span,
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Era, Fence, Service, Version, Vm, Zone, clock::Tick},
    smol_str::SmolStr,
    std::time::Duration,
};

const GRANT_DURATION_MS: u64 = 4_000;
/// An interval after which no answer to a grant can be outstanding.
const SETTLE_INTERVAL_MS: u64 = 160;
const LEADERSHIP_LEASE_MS: u64 = 6_000;

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(GRANT_DURATION_MS),
        renewal_interval: Duration::from_millis(1_000),
        grant_timeout: Duration::from_millis(400),
        in_flight_margin: Duration::from_millis(300),
        leadership_lease: Duration::from_millis(LEADERSHIP_LEASE_MS),
    }
}

fn registration(number: u8, started_at_ms: u64, state: State) -> Registration {
    Registration {
        vm: Vm::from(format!("t{number}").as_str()),
        started_at_ms,
        service: Service::from("keyed"),
        address: ([10, 0, 0, number], 80).into(),
        zone: Zone::from("a"),
        slots: 2,
        state,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}

/// A planner with a store that commits every write, and targets that carry out every command.
struct Fixture {
    planner: Planner,
    registry: Registry,
    now_ms: u64,
    version: u64,
    /// An instance that no command reaches.
    unreachable: Option<Instance>,
}

impl Fixture {
    fn new(targets: u8) -> Self {
        let mut registry = Registry::default();
        for number in 1..=targets {
            let version = Version::from(u64::from(number));
            registry.register(registration(number, 1, State::Ready), version, tick_at_ms(0));
        }
        let planner = Planner::new(Service::from("keyed"), config(), None, tick_at_ms(0));
        let mut fixture = Self { planner, registry, now_ms: 0, version: 100, unreachable: None };
        fixture.run_until_settled();
        fixture
    }

    fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now_ms += ms;
        self.planner.next_actions(&self.registry, tick_at_ms(self.now_ms))
    }

    fn register(&mut self, registration: Registration) {
        self.version += 1;
        self.registry.register(registration, Version::from(self.version), tick_at_ms(self.now_ms));
    }

    fn commit_write(&mut self) {
        self.version += 1;
        self.planner.record_write(WriteOutcome::Committed(Version::from(self.version)));
    }

    fn record_outcome(&mut self, instance: &Instance, grants: &[Grant], outcome: Outcome) {
        let results: Vec<_> = grants.iter().map(|grant| (grant.clone(), outcome)).collect();
        self.planner.record_grants(instance, &results, tick_at_ms(self.now_ms));
    }

    /// Carries out all actions until there are none in two consecutive rounds, for 20 rounds at
    /// most.
    fn run_until_settled(&mut self) {
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

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(_) => self.commit_write(),
                Action::Grant { instance, grants, .. } => {
                    let unreachable = self.unreachable.as_ref() == Some(&instance);
                    let outcome = if unreachable { Outcome::Unsent } else { Outcome::Granted };
                    self.record_outcome(&instance, &grants, outcome);
                }
                Action::Release { instance, span, .. }
                    if self.unreachable.as_ref() == Some(&instance) =>
                {
                    self.planner.record_release(&instance, span, Err(Outcome::Unsent));
                }
                Action::Release { instance, span, .. } => {
                    self.planner.record_release(&instance, span, Ok(Some(SmolStr::from("warm"))));
                }
            }
        }
    }

    fn holder(&self, key: u16) -> Option<Instance> {
        let map = self.planner.map();
        let assignment = map.assignment(key)?;
        Some(map.holder(assignment)?.instance.clone())
    }
}

fn instance(number: u8, started_at_ms: u64) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms }
}

fn count_grants(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Grant { .. })).count()
}

fn count_releases(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn every_key_is_assigned_at_the_start() {
    let fixture = Fixture::new(3);
    assert!((0..=u16::MAX).step_by(997).all(|key| fixture.holder(key).is_some()));
}

#[test]
fn keys_of_a_leaving_target_are_reassigned() {
    let mut fixture = Fixture::new(2);
    fixture.register(registration(1, 1, State::Leaving));
    fixture.run_until_settled();
    let all = (0..=u16::MAX).step_by(997).all(|key| fixture.holder(key) == Some(instance(2, 1)));
    assert!(all, "{:?}", fixture.planner.map());
}

#[test]
fn no_keys_are_revoked_while_a_grant_is_in_flight() {
    let mut fixture = Fixture::new(2);
    let renewals = fixture.advance(1_000);
    assert_eq!(count_grants(&renewals), 2);
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(10)), 0);
    for action in renewals {
        if let Action::Grant { instance, grants, .. } = action {
            fixture.record_outcome(&instance, &grants, Outcome::Granted);
        }
    }
    assert_eq!(
        count_releases(&fixture.advance(100)),
        0,
        "the answer may belong to the previous grant"
    );
    assert!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)) > 0);
}

#[test]
fn no_keys_are_revoked_after_a_connection_loss_until_new_fences_are_acknowledged() {
    let mut fixture = Fixture::new(2);
    fixture.planner.record_connection_loss(&instance(1, 1), tick_at_ms(fixture.now_ms));
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)), 0);
    let actions = fixture.advance(1_000);
    assert_eq!(count_releases(&actions), 0);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.commit_write();
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

#[test]
fn a_lost_grant_is_voided_by_a_new_fence_before_keys_are_revoked() {
    let mut fixture = Fixture::new(2);
    let before =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).max();
    for action in fixture.advance(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            fixture.record_outcome(&to, &grants, outcome);
        }
    }
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(10)), 0);
    let actions = fixture.advance(1_000);
    assert_eq!(count_releases(&actions), 0, "{actions:?}");
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.commit_write();
    let renewed =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).min();
    assert!(renewed > before);
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

#[test]
fn keys_of_an_unresponsive_target_are_reassigned_after_its_grants_expire() {
    let mut fixture = Fixture::new(2);
    for action in fixture.advance(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            fixture.record_outcome(&to, &grants, outcome);
        }
    }
    fixture.registry.remove(&Vm::from("t1"), tick_at_ms(fixture.now_ms));
    fixture.unreachable = Some(instance(1, 1));
    fixture.now_ms += GRANT_DURATION_MS - 500;
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(1, 1)));
    fixture.now_ms += 2_000;
    fixture.run_until_settled();
    assert_eq!(fixture.holder(0), Some(instance(2, 1)));
}

#[test]
fn keys_of_an_instance_known_to_have_ended_are_reassigned_at_once() {
    struct Case {
        name: &'static str,
        end: fn(&mut Fixture),
        holder: Instance,
    }
    let cases = [
        Case {
            name: "another target answers at its address",
            end: |fixture| fixture.planner.record_instance_end(&instance(1, 1)),
            holder: instance(2, 1),
        },
        Case {
            name: "it restarted under its name",
            end: |fixture| fixture.register(registration(1, 2, State::Ready)),
            holder: instance(1, 2),
        },
        Case {
            name: "its address belongs to a later target",
            end: |fixture| {
                let moved = Registration {
                    address: ([10, 0, 0, 1], 80).into(),
                    ..registration(3, 9, State::Ready)
                };
                fixture.registry.remove(&Vm::from("t1"), tick_at_ms(fixture.now_ms));
                fixture.register(Registration { service: Service::from("other"), ..moved });
            },
            holder: instance(2, 1),
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new(2);
        (case.end)(&mut fixture);
        fixture.run_until_settled();
        assert_eq!(fixture.holder(0), Some(case.holder), "{}", case.name);
    }
}

#[test]
fn an_unresolved_write_is_superseded_and_the_keys_it_reassigns_are_not_granted() {
    let mut fixture = Fixture::new(2);
    fixture.planner.record_instance_end(&instance(1, 1));
    let actions = fixture.advance(10);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.planner.record_write(WriteOutcome::Unknown);
    assert!(fixture.planner.needs_row());
    let before_read = fixture.advance(1_000);
    let to_former = before_read.iter().any(
        |action| matches!(action, Action::Grant { instance: to, .. } if *to == instance(1, 1)),
    );
    assert!(!to_former, "{before_read:?}");
    let row = fixture.planner.map().clone();
    let version = row.version;
    fixture.planner.record_row(Some((row, version)));
    let again = fixture.advance(10);
    assert!(again.iter().any(|action| matches!(action, Action::Write(_))), "{again:?}");
}

#[test]
fn a_new_leader_sends_no_grants_before_its_own_fences_are_written() {
    let first = Fixture::new(2);
    let bytes = first.planner.map().to_bytes(Era::ZERO);
    let map = Map::parse(&bytes, Version::from(200)).expect("a complete map");
    let mut next = Planner::new(Service::from("keyed"), config(), Some(map), tick_at_ms(9_000));
    let actions = next.next_actions(&first.registry, tick_at_ms(9_000));
    assert_eq!(count_grants(&actions), 0, "{actions:?}");
    assert!(matches!(actions.as_slice(), [Action::Write(_)]));
    next.record_write(WriteOutcome::Committed(Version::from(300)));
    let actions = next.next_actions(&first.registry, tick_at_ms(9_010));
    assert_eq!(count_grants(&actions), 2, "{actions:?}");
}

#[test]
fn a_target_keeps_its_keys_after_a_failed_release() {
    let mut fixture = Fixture::new(2);
    fixture.register(registration(1, 1, State::Leaving));
    let released =
        fixture.advance(SETTLE_INTERVAL_MS).into_iter().find_map(|action| match action {
            Action::Release { instance, span, .. } => Some((instance, span)),
            _ => None,
        });
    let (from, span) = released.expect("a release");
    fixture.planner.record_release(&from, span, Err(Outcome::Lost));
    let actions = fixture.advance(10);
    let granted = actions.iter().any(|action| match action {
        Action::Grant { instance, grants, .. } => {
            *instance == from && grants.iter().any(|grant| grant.span.overlaps(span))
        }
        Action::Release { instance, span: other, .. } => *instance == from && *other == span,
        Action::Write(_) => false,
    });
    assert!(granted, "{actions:?}");
}

#[test]
fn a_delta_turns_a_map_into_the_next_version() {
    let mut fixture = Fixture::new(3);
    let mut current = fixture.planner.map().clone();
    fixture.register(registration(1, 1, State::Leaving));
    for _ in 0..40 {
        for action in fixture.advance(50) {
            match action {
                Action::Write(_) => {
                    fixture.commit_write();
                    let map = fixture.planner.map();
                    let delta = map.delta(&current);
                    current =
                        current.with_delta(&delta).expect("the delta applies to the previous map");
                    assert_eq!(current.version, map.version);
                    for key in (0..=u16::MAX).step_by(499) {
                        let holder = |map: &Map| {
                            let assignment =
                                *map.assignment(key).expect("every key has an assignment");
                            (map.holder(&assignment).cloned(), assignment.fence)
                        };
                        assert_eq!(holder(&current), holder(map), "key {key}");
                    }
                    assert_eq!(current.with_delta(&delta), None, "a delta applies only once");
                }
                Action::Grant { instance, grants, .. } => {
                    fixture.record_outcome(&instance, &grants, Outcome::Granted);
                }
                Action::Release { instance, span, .. } => {
                    fixture.planner.record_release(&instance, span, Ok(None));
                }
            }
        }
    }
    assert_eq!(fixture.holder(0).filter(|instance| instance.vm.as_str() == "t1"), None);
}

#[test]
fn no_keys_are_revoked_under_a_fence_that_is_not_acknowledged_for_every_key() {
    let mut fixture = Fixture::new(2);
    let renewals = fixture.advance(1_000);
    for action in &renewals {
        if let Action::Grant { instance: to, grants, .. } = action {
            // All but the first grant to the first target are lost.
            let results: Vec<_> = grants
                .iter()
                .enumerate()
                .map(|(index, grant)| {
                    let lost = index > 0 && *to == instance(1, 1);
                    (grant.clone(), if lost { Outcome::Lost } else { Outcome::Granted })
                })
                .collect();
            fixture.planner.record_grants(to, &results, tick_at_ms(fixture.now_ms));
        }
    }
    // New fences are written, of which the first target acknowledges only the first.
    let writes = fixture.advance(1_000);
    assert!(writes.iter().any(|action| matches!(action, Action::Write(_))), "{writes:?}");
    fixture.commit_write();
    for action in fixture.advance(SETTLE_INTERVAL_MS) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let answered = if to == instance(1, 1) { &grants[..1] } else { &grants[..] };
            fixture.record_outcome(&to, answered, Outcome::Granted);
        }
    }
    fixture.register(registration(1, 1, State::Leaving));
    assert_eq!(count_releases(&fixture.advance(SETTLE_INTERVAL_MS)), 0);
}

#[test]
fn grants_are_renewed_while_a_target_keeps_receiving_new_keys() {
    const TARGET_COUNT: u8 = 9;
    const MAX_RENEWAL_GAP_MS: u64 = 1_000 + 3 * SETTLE_INTERVAL_MS;
    let mut fixture = Fixture::new(TARGET_COUNT);
    // Each target that leaves is less busy than those that stay, except the first.
    for number in 2..=TARGET_COUNT {
        let instance = instance(number, 1);
        let spans: Vec<Span> =
            fixture.planner.map().held_by(&instance).map(|assignment| assignment.span).collect();
        for span in spans {
            fixture.planner.load_mut().record_requests(span.first, 1 << number);
        }
    }
    let kept: Vec<Span> =
        fixture.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.span).collect();
    let mut renewed_at_ms: Vec<u64> = vec![fixture.now_ms; kept.len()];
    for leaving in 2..TARGET_COUNT {
        fixture.register(registration(leaving, 1, State::Leaving));
        for _ in 0..4 {
            let actions = fixture.advance(SETTLE_INTERVAL_MS);
            for action in &actions {
                let Action::Grant { instance: to, grants, .. } = action else { continue };
                for (index, span) in kept.iter().enumerate() {
                    let covers = |grant: &Grant| span.without(grant.span) == [None, None];
                    if *to == instance(1, 1) && grants.iter().any(covers) {
                        renewed_at_ms[index] = fixture.now_ms;
                    }
                }
            }
            fixture.carry_out(actions);
            let oldest = renewed_at_ms.iter().min().copied().unwrap_or_default();
            assert!(
                fixture.now_ms - oldest <= MAX_RENEWAL_GAP_MS,
                "at {}: {renewed_at_ms:?}",
                fixture.now_ms
            );
        }
    }
}

#[test]
fn renewals_of_many_targets_are_spread_over_time() {
    const TARGET_COUNT: u8 = 200;
    const STEP_INTERVAL_MS: u64 = 100;
    let mut fixture = Fixture::new(TARGET_COUNT);
    let mut max_grants = 0;
    for _ in 0..40 {
        let actions = fixture.advance(STEP_INTERVAL_MS);
        max_grants = max_grants.max(count_grants(&actions));
        fixture.carry_out(actions);
    }
    // With an even spread each step renews a tenth of them.
    assert!(max_grants <= usize::from(TARGET_COUNT) / 4, "{max_grants} targets in one step");
}

#[test]
fn keys_are_revoked_only_from_their_holder() {
    let mut fixture = Fixture::new(4);
    for round in 0..20_u16 {
        for key in 0..60 {
            fixture.planner.load_mut().record_requests(round % 4 * 9_973 + key, 2);
        }
        let map = fixture.planner.map().clone();
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        for action in &actions {
            let Action::Release { instance, span, .. } = action else { continue };
            let overlapping =
                map.assignments.iter().filter(|assignment| assignment.span.overlaps(*span));
            for assignment in overlapping {
                let holder = map.holder(assignment).map(|holder| &holder.instance);
                assert_eq!(holder, Some(instance), "round {round}: {span:?}");
            }
        }
        fixture.carry_out(actions);
    }
}

#[test]
fn keys_of_a_lost_target_do_not_go_to_one_that_names_a_rate_limit() {
    let mut fixture = Fixture::new(3);
    let limited = registration(1, 1, State::Ready).instance();
    let lost = registration(2, 1, State::Ready).instance();
    let keys_of = |fixture: &Fixture, instance: &Instance| {
        let held = fixture.planner.map().held_by(instance);
        held.map(|assignment| assignment.span.width()).sum::<u32>()
    };
    let before = keys_of(&fixture, &limited);
    for key in (0..=u16::MAX).step_by(512) {
        fixture.planner.load_mut().record_requests(key, 1);
    }
    fixture.planner.load_mut().set_rate_limits([(limited.clone(), 1.0)].into());
    fixture.planner.record_instance_end(&lost);
    let registry = &mut fixture.registry;
    registry.remove(&lost.vm, tick_at_ms(fixture.now_ms));
    fixture.run_until_settled();
    assert_eq!(keys_of(&fixture, &lost), 0);
    assert!(keys_of(&fixture, &limited) <= before, "the limited target got keys");
}

#[test]
fn a_row_that_went_back_is_written_again_and_changes_no_holder() {
    /// Makes the row that the store has from the map that the planner knows.
    type ToRow = fn(&Map) -> Option<Map>;
    let version = |era, number| Version::in_era(Era::from(era), number).expect("a small version");
    let rows: [(&str, ToRow); 3] = [
        ("the row is lost", |_| None),
        ("the row is older", |map| {
            let mut older = map.clone();
            older.assign(Span::ALL, map.holders.first().cloned());
            Some(older)
        }),
        ("the row is the same", |map| Some(map.clone())),
    ];
    for (name, row) in rows {
        let mut fixture = Fixture::new(3);
        let before = fixture.planner.map().clone();
        let number = before.version.number() - u64::from(name == "the row is older");
        let row_version = version(1, number);
        let row = row(&before).map(|map| (Map { version: version(0, number), ..map }, row_version));
        let expected = row.as_ref().map_or(Version::ZERO, |(_, version)| *version);
        fixture.planner.record_row(row);
        assert_eq!(fixture.planner.row_version(), expected, "{name}");
        let actions = fixture.advance(10);
        let is_write = |action: &Action| *action == Action::Write(before.clone());
        assert!(actions.iter().any(is_write), "{name}: {actions:?}");
        let written = version(1, number + 5);
        fixture.planner.record_write(WriteOutcome::Committed(written));
        assert_eq!(fixture.planner.row_version(), written, "{name}");
        assert_eq!(fixture.planner.map().assignments, before.assignments, "{name}");
        fixture.run_until_settled();
        assert_eq!(fixture.planner.map().version, written, "{name}: it is written once");
    }
}

#[test]
fn a_map_keeps_the_era_in_which_it_was_written() {
    let map = Fixture::new(2).planner.map().clone();
    let row_version = Version::in_era(Era::from(3), 40).expect("a small version");
    let parse = |bytes: &[u8]| Map::parse(bytes, row_version).expect("a complete row").version;
    assert_eq!(parse(&map.to_bytes(Era::from(3))), row_version);
    assert_eq!(parse(&map.to_bytes(Era::from(1))).era(), Era::from(1));
    let of_earlier_release = serde_json::to_vec(&map).expect("plain fields");
    assert_eq!(parse(&of_earlier_release), row_version);
}

#[test]
fn spans_are_split_only_while_the_row_has_room() {
    const MAX_ROW_BYTES: usize = 65_536;
    const TARGETS: u8 = 200;
    const ROUNDS: u16 = 150;
    let mut fixture = Fixture::new(TARGETS);
    let era = Era::from(1);
    fixture.version = Version::in_era(era, 900_000_000).expect("a small version").get();
    for round in 0..ROUNDS {
        // Hot keys wander through all spans, so that each round splits more of them.
        for key in 0..64_u16 {
            let key = key.wrapping_mul(1_021).wrapping_add(round.wrapping_mul(163));
            fixture.planner.load_mut().record_requests(key, 40);
        }
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        fixture.carry_out(actions);
        fixture.run_until_settled();
    }
    let map = fixture.planner.map();
    assert!(map.assignments.len() > 1_000, "{} spans", map.assignments.len());
    let row_bytes = map.to_bytes(era).len();
    assert!(row_bytes < MAX_ROW_BYTES, "{row_bytes} bytes, {} spans", map.assignments.len());
}

#[test]
fn fences_of_every_era_outlive_a_row() {
    let version = |era, number| Version::in_era(Era::from(era), number).expect("a small version");
    let mut map = Fixture::new(3).planner.map().clone();
    let fences = [version(0, 7), version(1, 7), version(2, 9), version(2, 12)];
    for (assignment, fence) in map.assignments.iter_mut().zip(fences) {
        assignment.fence = Fence::from(fence.get());
    }
    for era in [1, 2] {
        let row = map.to_bytes(Era::from(era));
        let parsed = Map::parse(&row, version(2, 20)).expect("a complete row");
        let pairs = map.assignments.iter().zip(&parsed.assignments).take(fences.len());
        for (before, after) in pairs.skip(1) {
            assert_eq!(before.fence, after.fence, "written in era {era}");
        }
    }
}

#[test]
fn keys_of_a_target_lost_near_a_takeover_wait_for_its_last_grant_only() {
    /// The longest time for which a grant can be in force after it was sent.
    const MAX_VALIDITY_MS: u64 = 4_400;
    let first = Fixture::new(3);
    let map = first.planner.map().clone();
    let lost = registration(1, 1, State::Ready).instance();
    let taken_over_ms = first.now_ms;
    for (former_ended, max_wait_ms) in
        [(true, MAX_VALIDITY_MS), (false, LEADERSHIP_LEASE_MS + MAX_VALIDITY_MS)]
    {
        let registry = first.registry.clone();
        let service = Service::from("keyed");
        let planner = Planner::new(service, config(), Some(map.clone()), tick_at_ms(taken_over_ms));
        let version = first.version;
        let unreachable = Some(lost.clone());
        let mut next = Fixture { planner, registry, now_ms: taken_over_ms, version, unreachable };
        next.registry.remove(&lost.vm, tick_at_ms(next.now_ms));
        if former_ended {
            next.planner.record_former_leaders_ended(tick_at_ms(next.now_ms));
        }
        let is_held = |fixture: &Fixture| fixture.planner.map().held_by(&lost).next().is_some();
        while is_held(&next) && next.now_ms - taken_over_ms < 2 * max_wait_ms {
            let actions = next.advance(SETTLE_INTERVAL_MS);
            next.carry_out(actions);
        }
        let waited_ms = next.now_ms - taken_over_ms;
        assert!(waited_ms <= max_wait_ms + 500, "{former_ended}: {waited_ms} ms");
        assert!(waited_ms + 500 >= max_wait_ms, "{former_ended}: {waited_ms} ms");
    }
}

#[test]
fn a_withheld_grant_is_sent_again_and_is_no_failure() {
    let mut fixture = Fixture::new(2);
    let lost = registration(2, 1, State::Ready).instance();
    fixture.planner.record_instance_end(&lost);
    fixture.registry.remove(&lost.vm, tick_at_ms(fixture.now_ms));
    for outcome in [Outcome::Withheld, Outcome::Withheld, Outcome::Withheld, Outcome::Granted] {
        let mut has_grants = false;
        for _ in 0..10 {
            for action in fixture.advance(SETTLE_INTERVAL_MS) {
                match action {
                    Action::Write(_) => fixture.commit_write(),
                    Action::Grant { instance, grants, .. } => {
                        has_grants = true;
                        fixture.record_outcome(&instance, &grants, outcome);
                    }
                    Action::Release { instance, span, .. } => {
                        fixture.planner.record_release(&instance, span, Err(Outcome::Unsent));
                    }
                }
            }
            if has_grants {
                break;
            }
        }
        assert!(has_grants, "{outcome:?}: the grants are not sent again");
    }
    let summary = fixture.planner.summary(&fixture.registry, tick_at_ms(fixture.now_ms));
    assert_eq!(summary.failing, 0, "{summary:?}");
}

#[test]
fn released_keys_that_go_back_to_their_holder_are_granted_again() {
    let mut fixture = Fixture::new(2);
    for key in 0..400 {
        fixture.planner.load_mut().record_requests(key, 1);
    }
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    let (donor, span) = actions
        .iter()
        .find_map(|action| match action {
            Action::Release { instance, span, .. } => Some((instance.clone(), *span)),
            _ => None,
        })
        .expect("busy keys are reassigned");
    // The recipient is lost while the keys are being released.
    let recipient = [1, 2].map(|number| registration(number, 1, State::Ready).instance());
    let recipient = recipient.into_iter().find(|instance| *instance != donor).expect("another");
    fixture.planner.record_instance_end(&recipient);
    fixture.registry.remove(&recipient.vm, tick_at_ms(fixture.now_ms));
    fixture.carry_out(actions);
    let mut is_granted = false;
    for _ in 0..20 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        is_granted |= actions.iter().any(|action| match action {
            Action::Grant { instance, grants, .. } => {
                *instance == donor && grants.iter().any(|grant| grant.span.contains(span.first))
            }
            _ => false,
        });
        fixture.carry_out(actions);
    }
    assert!(is_granted, "{span:?} of {donor:?} has no holder");
    let actions = fixture.advance(SETTLE_INTERVAL_MS);
    let has_write = actions.iter().any(|action| matches!(action, Action::Write(_)));
    assert!(!has_write, "the same keys are assigned again and again");
}
