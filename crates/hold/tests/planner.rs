//! Single rules of the planner, each by the case in which it matters.

use {
    hold::{
        Action, Instance, Map, Planner, Registration, Registry, Span,
        planner::{Config, Grant, Outcome, WriteOutcome},
        registry::State,
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
    smol_str::SmolStr,
    std::time::Duration,
};

const HOLD_MS: u64 = 4_000;
/// A step after which no answer to a grant can be outstanding.
const SETTLE_MS: u64 = 160;
const RIGHT_MS: u64 = 6_000;

fn at(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn config() -> Config {
    Config {
        grant_duration: Duration::from_millis(HOLD_MS),
        renewal_interval: Duration::from_millis(1_000),
        grant_timeout: Duration::from_millis(400),
        in_flight_margin: Duration::from_millis(300),
        leadership_lease: Duration::from_millis(RIGHT_MS),
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
    }
}

/// A planner with a store that takes every write, and targets that obey.
struct Bench {
    planner: Planner,
    registry: Registry,
    now_ms: u64,
    version: u64,
    /// A target that no order reaches.
    mute: Option<Instance>,
}

impl Bench {
    fn new(targets: u8) -> Self {
        let mut registry = Registry::default();
        for number in 1..=targets {
            let version = Version::from(u64::from(number));
            registry.register(registration(number, 1, State::Ready), version, at(0));
        }
        let planner = Planner::new(Service::from("keyed"), config(), None, at(0));
        let mut bench = Self { planner, registry, now_ms: 0, version: 100, mute: None };
        bench.settle();
        bench
    }

    fn step(&mut self, ms: u64) -> Vec<Action> {
        self.now_ms += ms;
        self.planner.next_actions(&self.registry, at(self.now_ms))
    }

    fn list(&mut self, registration: Registration) {
        self.version += 1;
        self.registry.register(registration, Version::from(self.version), at(self.now_ms));
    }

    fn write(&mut self) {
        self.version += 1;
        self.planner.record_write(WriteOutcome::Committed(Version::from(self.version)));
    }

    fn answer(&mut self, instance: &Instance, grants: &[Grant], outcome: Outcome) {
        let results: Vec<_> = grants.iter().map(|grant| (grant.clone(), outcome)).collect();
        self.planner.record_grants(instance, &results, at(self.now_ms));
    }

    /// Carries out everything until nothing is left to do.
    fn settle(&mut self) {
        let mut quiet = 0;
        for _ in 0..20 {
            let actions = self.step(SETTLE_MS);
            quiet = if actions.is_empty() { quiet + 1 } else { 0 };
            if quiet == 2 {
                return;
            }
            self.carry_out(actions);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(_) => self.write(),
                Action::Grant { instance, grants, .. } => {
                    let mute = self.mute.as_ref() == Some(&instance);
                    let outcome = if mute { Outcome::Unsent } else { Outcome::Granted };
                    self.answer(&instance, &grants, outcome);
                }
                Action::Release { instance, span, .. } if self.mute.as_ref() == Some(&instance) => {
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

fn grants(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Grant { .. })).count()
}

fn releases(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn every_key_gets_a_holder_at_the_start() {
    let bench = Bench::new(3);
    assert!((0..=u16::MAX).step_by(997).all(|key| bench.holder(key).is_some()));
}

#[test]
fn keys_of_a_leaving_target_are_handed_over() {
    let mut bench = Bench::new(2);
    bench.list(registration(1, 1, State::Leaving));
    bench.settle();
    let all = (0..=u16::MAX).step_by(997).all(|key| bench.holder(key) == Some(instance(2, 1)));
    assert!(all, "{:?}", bench.planner.map());
}

#[test]
fn nothing_is_taken_back_while_a_grant_is_on_its_way() {
    let mut bench = Bench::new(2);
    let renewals = bench.step(1_000);
    assert_eq!(grants(&renewals), 2);
    bench.list(registration(1, 1, State::Leaving));
    assert_eq!(releases(&bench.step(10)), 0);
    for action in renewals {
        if let Action::Grant { instance, grants, .. } = action {
            bench.answer(&instance, &grants, Outcome::Granted);
        }
    }
    assert_eq!(releases(&bench.step(100)), 0, "an answer may have been that of the order before");
    assert!(releases(&bench.step(SETTLE_MS)) > 0);
}

#[test]
fn nothing_is_taken_back_over_a_connection_that_ended_until_new_fences_are_answered() {
    let mut bench = Bench::new(2);
    bench.planner.record_connection_loss(&instance(1, 1), at(bench.now_ms));
    bench.list(registration(1, 1, State::Leaving));
    assert_eq!(releases(&bench.step(SETTLE_MS)), 0);
    let actions = bench.step(1_000);
    assert_eq!(releases(&actions), 0);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    bench.write();
    bench.settle();
    assert_eq!(bench.holder(0), Some(instance(2, 1)));
}

#[test]
fn a_lost_grant_is_voided_by_a_new_fence_before_keys_are_taken_back() {
    let mut bench = Bench::new(2);
    let before =
        bench.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).max();
    for action in bench.step(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            bench.answer(&to, &grants, outcome);
        }
    }
    bench.list(registration(1, 1, State::Leaving));
    assert_eq!(releases(&bench.step(10)), 0);
    let actions = bench.step(1_000);
    assert_eq!(releases(&actions), 0, "{actions:?}");
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    bench.write();
    let renewed =
        bench.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.fence).min();
    assert!(renewed > before);
    bench.settle();
    assert_eq!(bench.holder(0), Some(instance(2, 1)));
}

#[test]
fn keys_of_a_silent_target_wait_until_its_grants_have_run_out() {
    let mut bench = Bench::new(2);
    for action in bench.step(1_000) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let outcome = if to == instance(1, 1) { Outcome::Lost } else { Outcome::Granted };
            bench.answer(&to, &grants, outcome);
        }
    }
    bench.registry.remove(&Vm::from("t1"), at(bench.now_ms));
    bench.mute = Some(instance(1, 1));
    bench.now_ms += HOLD_MS - 500;
    bench.settle();
    assert_eq!(bench.holder(0), Some(instance(1, 1)));
    bench.now_ms += 2_000;
    bench.settle();
    assert_eq!(bench.holder(0), Some(instance(2, 1)));
}

#[test]
fn keys_of_a_target_that_is_proved_to_have_ended_move_at_once() {
    struct Case {
        name: &'static str,
        end: fn(&mut Bench),
        holder: Instance,
    }
    let cases = [
        Case {
            name: "another target answers there",
            end: |bench| bench.planner.record_instance_end(&instance(1, 1)),
            holder: instance(2, 1),
        },
        Case {
            name: "it started anew under its name",
            end: |bench| bench.list(registration(1, 2, State::Ready)),
            holder: instance(1, 2),
        },
        Case {
            name: "its address belongs to a later target",
            end: |bench| {
                let moved = Registration {
                    address: ([10, 0, 0, 1], 80).into(),
                    ..registration(3, 9, State::Ready)
                };
                bench.registry.remove(&Vm::from("t1"), at(bench.now_ms));
                bench.list(Registration { service: Service::from("other"), ..moved });
            },
            holder: instance(2, 1),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(2);
        (case.end)(&mut bench);
        bench.settle();
        assert_eq!(bench.holder(0), Some(case.holder), "{}", case.name);
    }
}

#[test]
fn a_doubtful_write_is_superseded_and_nothing_it_gives_away_is_granted() {
    let mut bench = Bench::new(2);
    bench.planner.record_instance_end(&instance(1, 1));
    let actions = bench.step(10);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    bench.planner.record_write(WriteOutcome::Unknown);
    assert!(bench.planner.needs_row());
    let while_unread = bench.step(1_000);
    let to_former = while_unread.iter().any(
        |action| matches!(action, Action::Grant { instance: to, .. } if *to == instance(1, 1)),
    );
    assert!(!to_former, "{while_unread:?}");
    let row = bench.planner.map().clone();
    bench.planner.record_row(row);
    let again = bench.step(10);
    assert!(again.iter().any(|action| matches!(action, Action::Write(_))), "{again:?}");
}

#[test]
fn a_new_leader_orders_nothing_before_its_own_fences_are_written() {
    let first = Bench::new(2);
    let bytes = first.planner.map().to_bytes();
    let map = Map::parse(&bytes, Version::from(200)).expect("a whole map");
    let mut next = Planner::new(Service::from("keyed"), config(), Some(map), at(9_000));
    let actions = next.next_actions(&first.registry, at(9_000));
    assert_eq!(grants(&actions), 0, "{actions:?}");
    assert!(matches!(actions.as_slice(), [Action::Write(_)]));
    next.record_write(WriteOutcome::Committed(Version::from(300)));
    let actions = next.next_actions(&first.registry, at(9_010));
    assert_eq!(grants(&actions), 2, "{actions:?}");
}

#[test]
fn a_failed_release_leaves_the_target_in_use() {
    let mut bench = Bench::new(2);
    bench.list(registration(1, 1, State::Leaving));
    let released = bench.step(SETTLE_MS).into_iter().find_map(|action| match action {
        Action::Release { instance, span, .. } => Some((instance, span)),
        _ => None,
    });
    let (from, span) = released.expect("a release");
    bench.planner.record_release(&from, span, Err(Outcome::Lost));
    let actions = bench.step(10);
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
fn spans_split_without_loss() {
    struct Case {
        whole: Span,
        part: Span,
        rest: [Option<Span>; 2],
    }
    let span = |first, last| Span { first, last };
    let cases = [
        Case { whole: span(0, 9), part: span(3, 5), rest: [Some(span(0, 2)), Some(span(6, 9))] },
        Case { whole: span(0, 9), part: span(0, 9), rest: [None, None] },
        Case { whole: span(0, 9), part: span(0, 3), rest: [None, Some(span(4, 9))] },
        Case { whole: span(4, 9), part: span(0, 6), rest: [None, Some(span(7, 9))] },
        Case { whole: span(0, 3), part: span(4, 9), rest: [Some(span(0, 3)), None] },
        Case {
            whole: Span::ALL,
            part: span(u16::MAX, u16::MAX),
            rest: [Some(span(0, u16::MAX - 1)), None],
        },
    ];
    for case in cases {
        assert_eq!(case.whole.without(case.part), case.rest, "{:?} - {:?}", case.whole, case.part);
    }
}

#[test]
fn rows_that_are_no_whole_map_are_refused() {
    let whole = Map::vacant().to_bytes();
    assert!(Map::parse(&whole, Version::from(1)).is_ok());
    let cases: [&[u8]; 5] = [
        b"",
        b"{}",
        br#"{"holders":[],"holdings":[]}"#,
        br#"{"holders":[],"holdings":[[1,65535,null,0]]}"#,
        br#"{"holders":[],"holdings":[[0,65535,4,0]]}"#,
    ];
    for text in cases {
        assert!(Map::parse(text, Version::from(1)).is_err(), "{}", String::from_utf8_lossy(text));
    }
}

#[test]
fn a_change_makes_the_next_map_from_the_one_before() {
    let mut bench = Bench::new(3);
    let mut known = bench.planner.map().clone();
    bench.list(registration(1, 1, State::Leaving));
    for _ in 0..40 {
        for action in bench.step(50) {
            match action {
                Action::Write(_) => {
                    bench.write();
                    let map = bench.planner.map();
                    let delta = map.delta(known.version);
                    known = known.with_delta(&delta).expect("the change rests on the map before");
                    assert_eq!(known.version, map.version);
                    for key in (0..=u16::MAX).step_by(499) {
                        let holder = |map: &Map| {
                            let assignment = *map.assignment(key).expect("every key has a holding");
                            (map.holder(&assignment).cloned(), assignment.fence)
                        };
                        assert_eq!(holder(&known), holder(map), "key {key}");
                    }
                    assert_eq!(known.with_delta(&delta), None, "a change is applied once");
                }
                Action::Grant { instance, grants, .. } => {
                    bench.answer(&instance, &grants, Outcome::Granted);
                }
                Action::Release { instance, span, .. } => {
                    bench.planner.record_release(&instance, span, Ok(None));
                }
            }
        }
    }
    assert_eq!(bench.holder(0).filter(|instance| instance.vm.as_str() == "t1"), None);
}

#[test]
fn a_row_has_room_for_the_targets_of_a_large_service() {
    const ROW_LIMIT_BYTES: usize = 65_536;
    let mut map = Map::vacant();
    for number in 0..1_200_u32 {
        let holder = hold::map::Holder {
            instance: Instance {
                vm: Vm::from(format!("i-{number:010x}").as_str()),
                started_at_ms: 1_779_988_889_866,
            },
            address: ([10, 200, 200, (number % 250) as u8], 65_535).into(),
            zone: Zone::from("a-zone-name"),
        };
        if number < 300 {
            let first = (number * 218) as u16;
            map.assign(Span { first, last: first + 100 }, Some(holder));
        }
    }
    assert!(map.to_bytes().len() < ROW_LIMIT_BYTES, "{}", map.to_bytes().len());
}

#[test]
fn nothing_is_taken_back_under_a_fence_that_the_target_has_not_seen_for_every_key() {
    let mut bench = Bench::new(2);
    let renewals = bench.step(1_000);
    for action in &renewals {
        if let Action::Grant { instance: to, grants, .. } = action {
            // All but the first grant are lost on their way to the first target.
            let results: Vec<_> = grants
                .iter()
                .enumerate()
                .map(|(at, grant)| {
                    let lost = at > 0 && *to == instance(1, 1);
                    (grant.clone(), if lost { Outcome::Lost } else { Outcome::Granted })
                })
                .collect();
            bench.planner.record_grants(to, &results, at(bench.now_ms));
        }
    }
    // New fences are written, of which only the first is answered.
    let writes = bench.step(1_000);
    assert!(writes.iter().any(|action| matches!(action, Action::Write(_))), "{writes:?}");
    bench.write();
    for action in bench.step(SETTLE_MS) {
        if let Action::Grant { instance: to, grants, .. } = action {
            let answered = if to == instance(1, 1) { &grants[..1] } else { &grants[..] };
            bench.answer(&to, answered, Outcome::Granted);
        }
    }
    bench.list(registration(1, 1, State::Leaving));
    assert_eq!(releases(&bench.step(SETTLE_MS)), 0);
}

#[test]
fn what_a_target_holds_is_renewed_though_it_gets_new_keys_all_the_time() {
    const TARGETS: u8 = 9;
    const LONGEST_MS: u64 = 1_000 + 3 * SETTLE_MS;
    let mut bench = Bench::new(TARGETS);
    // Each target that leaves is less busy than those that stay, but the first.
    for number in 2..=TARGETS {
        let instance = instance(number, 1);
        let spans: Vec<Span> =
            bench.planner.map().held_by(&instance).map(|assignment| assignment.span).collect();
        for span in spans {
            bench.planner.load_mut().record_requests(span.first, 1 << number);
        }
    }
    let kept: Vec<Span> =
        bench.planner.map().held_by(&instance(1, 1)).map(|assignment| assignment.span).collect();
    let mut renewed: Vec<u64> = vec![bench.now_ms; kept.len()];
    for leaving in 2..TARGETS {
        bench.list(registration(leaving, 1, State::Leaving));
        for _ in 0..4 {
            let actions = bench.step(SETTLE_MS);
            for action in &actions {
                let Action::Grant { instance: to, grants, .. } = action else { continue };
                for (at, span) in kept.iter().enumerate() {
                    let covers = |grant: &Grant| span.without(grant.span) == [None, None];
                    if *to == instance(1, 1) && grants.iter().any(covers) {
                        renewed[at] = bench.now_ms;
                    }
                }
            }
            bench.carry_out(actions);
            let oldest = renewed.iter().min().copied().unwrap_or_default();
            assert!(bench.now_ms - oldest <= LONGEST_MS, "at {}: {renewed:?}", bench.now_ms);
        }
    }
}

#[test]
fn renewals_of_many_targets_are_spread_over_time() {
    const TARGETS: u8 = 200;
    const STEP_MS: u64 = 100;
    let mut bench = Bench::new(TARGETS);
    let mut most = 0;
    for _ in 0..40 {
        let actions = bench.step(STEP_MS);
        most = most.max(grants(&actions));
        bench.carry_out(actions);
    }
    // An even spread has a tenth of them in each step.
    assert!(most <= usize::from(TARGETS) / 4, "{most} targets in one step");
}

#[test]
fn keys_are_taken_back_only_from_the_target_that_has_them() {
    let mut bench = Bench::new(4);
    for round in 0..20_u16 {
        for key in 0..60 {
            bench.planner.load_mut().record_requests(round % 4 * 9_973 + key, 2);
        }
        let map = bench.planner.map().clone();
        let actions = bench.step(SETTLE_MS);
        for action in &actions {
            let Action::Release { instance, span, .. } = action else { continue };
            let overlapping =
                map.assignments.iter().filter(|assignment| assignment.span.overlaps(*span));
            for assignment in overlapping {
                let holder = map.holder(assignment).map(|holder| &holder.instance);
                assert_eq!(holder, Some(instance), "round {round}: {span:?}");
            }
        }
        bench.carry_out(actions);
    }
}
