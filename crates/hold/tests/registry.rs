//! The availability of targets, in tables of what the registry showed.

use {
    hold::{
        Registration, Registry,
        registry::{Availability, State},
    },
    key::{Era, Service, Version, Vm, Zone, clock::Tick},
};

enum Event {
    Registered(State, u64),
    Removed,
    StoreUnavailable,
    StoreAvailable,
}

struct Case {
    name: &'static str,
    /// The events, each with the second at which it happened.
    events: Vec<(u64, Event)>,
    /// The second at which the availability is asked for.
    asked_at_s: u64,
    /// The millisecond since which the target is leaving, or none if it is ready.
    leaving_since_ms: Option<u64>,
}

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(ms * 1_000 + 1)
}

fn registration(state: State, started_at_ms: u64) -> Registration {
    Registration {
        vm: Vm::from("t"),
        started_at_ms,
        service: Service::from("keyed"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Zone::from("a"),
        slots: 2,
        state,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}

fn availability(events: &[(u64, Event)], asked_at_s: u64) -> Availability {
    let mut registry = Registry::default();
    for (version, (second, event)) in events.iter().enumerate() {
        let now = tick_at_ms(second * 1_000);
        match event {
            Event::Registered(state, started_at_ms) => {
                let version = Version::from(version as u64 + 1);
                registry.register(registration(*state, *started_at_ms), version, now);
            }
            Event::Removed => {
                registry.remove(&Vm::from("t"), now);
            }
            Event::StoreUnavailable => registry.record_failure(now),
            Event::StoreAvailable => registry.record_answer(now),
        }
    }
    let vm = Vm::from("t");
    let target = registry.get(&vm).expect("the target was registered");
    registry.availability(target, tick_at_ms(asked_at_s * 1_000))
}

#[test]
fn a_target_is_leaving_if_it_says_so_or_its_registration_is_missing() {
    use {
        Event::{Registered, Removed, StoreAvailable, StoreUnavailable},
        State::{Leaving, Ready},
    };
    let cases = [
        Case {
            name: "registered",
            events: vec![(1, Registered(Ready, 1))],
            asked_at_s: 9,
            leaving_since_ms: None,
        },
        Case {
            name: "reports that it is leaving",
            events: vec![
                (1, Registered(Ready, 1)),
                (3, Registered(Leaving, 1)),
                (4, Registered(Leaving, 1)),
            ],
            asked_at_s: 5,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "is missing while the store is available",
            events: vec![(1, Registered(Ready, 1)), (3, Removed)],
            asked_at_s: 3,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "is missing right after an outage",
            events: vec![
                (1, Registered(Ready, 1)),
                (2, StoreUnavailable),
                (6, StoreAvailable),
                (6, Removed),
            ],
            asked_at_s: 7,
            leaving_since_ms: None,
        },
        Case {
            name: "is still missing long after an outage",
            events: vec![
                (1, Registered(Ready, 1)),
                (2, StoreUnavailable),
                (6, StoreAvailable),
                (6, Removed),
            ],
            asked_at_s: 9,
            leaving_since_ms: Some(6_000),
        },
        Case {
            name: "is missing after a poll that failed while the store was there",
            events: vec![
                (1, Registered(Ready, 1)),
                (2, StoreAvailable),
                (3, StoreUnavailable),
                (3, StoreAvailable),
                (3, Removed),
            ],
            asked_at_s: 4,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "registers again after an outage",
            events: vec![
                (1, Registered(Ready, 1)),
                (2, StoreUnavailable),
                (6, StoreAvailable),
                (6, Removed),
                (7, Registered(Ready, 1)),
            ],
            asked_at_s: 20,
            leaving_since_ms: None,
        },
        Case {
            name: "is missing before a later outage",
            events: vec![
                (1, Registered(Ready, 1)),
                (3, Removed),
                (10, StoreUnavailable),
                (12, StoreAvailable),
            ],
            asked_at_s: 13,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "is missing according to a peer during an outage here",
            events: vec![(1, Registered(Ready, 1)), (2, StoreUnavailable), (6, Removed)],
            asked_at_s: 7,
            leaving_since_ms: None,
        },
        Case {
            name: "restarts under its name",
            events: vec![(1, Registered(Leaving, 1)), (2, Removed), (4, Registered(Ready, 2))],
            asked_at_s: 5,
            leaving_since_ms: None,
        },
    ];
    for case in cases {
        let expected = case
            .leaving_since_ms
            .map_or(Availability::Ready, |ms| Availability::Leaving(tick_at_ms(ms)));
        assert_eq!(availability(&case.events, case.asked_at_s), expected, "{}", case.name);
    }
}

/// Guards against requests to targets that left while the polls of a busy process failed: their rows
/// are gone, and were taken for rows that an outage of the store had let expire.
#[test]
fn few_targets_that_are_missing_after_an_outage_have_left() {
    struct LapseCase {
        name: &'static str,
        targets: usize,
        missing: usize,
        /// Whether the missing ones had said before that they leave.
        leaving: bool,
        is_ready: bool,
    }
    let cases = [
        LapseCase { name: "two", targets: 200, missing: 2, leaving: false, is_ready: false },
        LapseCase { name: "a fifth", targets: 200, missing: 40, leaving: false, is_ready: false },
        LapseCase { name: "half", targets: 200, missing: 100, leaving: false, is_ready: true },
        LapseCase { name: "all", targets: 3, missing: 3, leaving: false, is_ready: true },
        LapseCase {
            name: "half, leaving",
            targets: 200,
            missing: 100,
            leaving: true,
            is_ready: false,
        },
    ];
    for case in cases {
        let mut registry = Registry::default();
        let vm = |number: usize| Vm::from(format!("t{number}").as_str());
        for number in 0..case.targets {
            let is_leaving = case.leaving && number < case.missing;
            let state = if is_leaving { State::Leaving } else { State::Ready };
            let shown = Registration { vm: vm(number), ..registration(state, 1) };
            registry.register(shown, Version::from(number as u64 + 1), tick_at_ms(1_000));
        }
        registry.record_answer(tick_at_ms(1_000));
        registry.record_failure(tick_at_ms(2_000));
        registry.record_answer(tick_at_ms(6_000));
        let is_listed = |listed: &Vm| (0..case.missing).all(|number| *listed != vm(number));
        registry.retain(is_listed, tick_at_ms(5_000));
        let now = tick_at_ms(6_500);
        for number in 0..case.missing {
            let target = registry.get(&vm(number)).expect("a known target");
            let is_ready = registry.availability(target, now) == Availability::Ready;
            assert_eq!(is_ready, case.is_ready, "{} missing: target {number}", case.name);
        }
    }
}

#[test]
fn an_older_registration_is_ignored() {
    let mut registry = Registry::default();
    registry.register(registration(State::Leaving, 2), Version::from(5), tick_at_ms(1));
    assert!(!registry.register(registration(State::Ready, 1), Version::from(4), tick_at_ms(2)));
    let vm = Vm::from("t");
    let target = registry.get(&vm).expect("the target was registered");
    assert_eq!(target.registration.started_at_ms, 2);
}

#[test]
fn a_grace_period_that_ends_is_reported() {
    let mut registry = Registry::default();
    registry.register(registration(State::Ready, 1), Version::from(1), tick_at_ms(1_000));
    registry.record_failure(tick_at_ms(2_000));
    registry.record_answer(tick_at_ms(6_000));
    registry.remove(&Vm::from("t"), tick_at_ms(6_000));
    let span = std::time::Duration::from_millis(500);
    for (ms, expected) in [(6_100, true), (8_200, true), (8_600, false)] {
        assert_eq!(registry.has_grace_period_within(span, tick_at_ms(ms)), expected, "at {ms} ms");
    }
}

#[test]
fn a_registration_that_is_read_again_is_not_missing_any_more() {
    let mut registry = Registry::default();
    registry.register(registration(State::Ready, 1), Version::from(3), tick_at_ms(1_000));
    registry.retain(|_| false, tick_at_ms(2_000));
    assert!(registry.is_empty());
    assert!(registry.register(registration(State::Ready, 1), Version::from(3), tick_at_ms(3_000)));
    assert_eq!(registry.len(), 1);
}

#[test]
fn the_registry_is_complete_once_it_was_readable_for_the_grace_period() {
    let mut registry = Registry::default();
    let cases = [(500, false), (1_000, false), (2_900, false), (3_100, true)];
    registry.record_failure(tick_at_ms(100));
    registry.record_answer(tick_at_ms(1_000));
    for (ms, complete) in cases {
        assert_eq!(registry.is_complete(tick_at_ms(ms)), complete, "at {ms} ms");
    }
}

#[test]
fn a_foreign_registration_does_not_prove_that_an_instance_has_ended() {
    let mut registry = Registry::default();
    let own = registration(State::Ready, 1);
    let (instance, address) = (own.instance(), own.address);
    registry.register(own, Version::from(1), tick_at_ms(1));
    let service = Service::from("unknown");
    let foreign = Registration { vm: Vm::from("f"), service, ..registration(State::Ready, 9) };
    registry.register(foreign, Version::from(2), tick_at_ms(2));
    assert!(registry.has_ended(&instance, address));
    registry.remove_if(|registration| registration.service.as_str() == "unknown");
    assert!(!registry.has_ended(&instance, address));
}

#[test]
fn a_copy_of_the_list_brings_back_no_target_that_left() {
    /// What the registry showed: the era, the time in milliseconds, and a registration (state,
    /// start, sequence) or its removal.
    type Shown = (u64, u64, Option<(State, u64, u64)>);
    struct CopyCase {
        name: &'static str,
        shown: Vec<Shown>,
        is_ready: bool,
        started_at_ms: u64,
    }
    const ASKED_AT_MS: u64 = 20_000;
    let (ready, leaving) = (State::Ready, State::Leaving);
    let cases = [
        CopyCase {
            name: "a target that left is listed as ready",
            shown: vec![
                (1, 1_000, Some((ready, 1, 4))),
                (1, 2_000, Some((leaving, 1, 9))),
                (2, 5_000, Some((ready, 1, 4))),
            ],
            is_ready: false,
            started_at_ms: 1,
        },
        CopyCase {
            name: "it says itself that it is ready again",
            shown: vec![
                (1, 1_000, Some((ready, 1, 4))),
                (1, 2_000, Some((leaving, 1, 9))),
                (2, 5_000, Some((ready, 1, 10))),
            ],
            is_ready: true,
            started_at_ms: 1,
        },
        CopyCase {
            name: "a target that was removed is listed again",
            shown: vec![
                (1, 1_000, Some((ready, 1, 4))),
                (1, 2_000, None),
                (2, 5_000, Some((ready, 1, 4))),
            ],
            is_ready: false,
            started_at_ms: 1,
        },
        CopyCase {
            name: "a target that the copy lacks registers again",
            shown: vec![
                (1, 1_000, Some((ready, 1, 4))),
                (2, 5_000, None),
                (2, 5_500, Some((ready, 1, 4))),
            ],
            is_ready: true,
            started_at_ms: 1,
        },
        CopyCase {
            name: "a target that the copy lacks does not register again",
            shown: vec![(1, 1_000, Some((ready, 1, 4))), (2, 5_000, None)],
            is_ready: false,
            started_at_ms: 1,
        },
        CopyCase {
            name: "an earlier run of a target is listed again",
            shown: vec![
                (1, 1_000, Some((ready, 1, 4))),
                (1, 2_000, Some((ready, 7, 1))),
                (2, 5_000, Some((ready, 1, 4))),
            ],
            is_ready: true,
            started_at_ms: 7,
        },
    ];
    let vm = Vm::from("t");
    for case in cases {
        let mut registry = Registry::default();
        for (index, (era, at_ms, shown)) in case.shown.iter().enumerate() {
            let now = tick_at_ms(*at_ms);
            registry.record_answer(now);
            registry.record_era(Era::from(*era), now);
            let number = index as u64 + 1;
            let version = Version::in_era(Era::from(*era), number).expect("a small version");
            match shown {
                Some((state, started_at_ms, sequence)) => {
                    let sequence = *sequence;
                    let shown = Registration { sequence, ..registration(*state, *started_at_ms) };
                    registry.register(shown, version, now);
                }
                None => {
                    registry.remove(&vm, now);
                }
            }
        }
        let target = registry.get(&vm).expect("a known target");
        let availability = registry.availability(target, tick_at_ms(ASKED_AT_MS));
        assert_eq!(availability == Availability::Ready, case.is_ready, "{}", case.name);
        assert_eq!(target.registration.started_at_ms, case.started_at_ms, "{}", case.name);
    }
}

#[test]
fn a_target_that_a_copy_lacks_keeps_its_requests_for_the_grace_period() {
    let mut registry = Registry::default();
    registry.record_answer(tick_at_ms(0));
    registry.record_era(Era::from(1), tick_at_ms(0));
    registry.register(registration(State::Ready, 1), Version::from(3), tick_at_ms(0));
    registry.record_era(Era::from(2), tick_at_ms(5_000));
    registry.retain(|_| false, tick_at_ms(5_000));
    let target = registry.get(&Vm::from("t")).expect("a known target");
    assert_eq!(registry.availability(target, tick_at_ms(6_900)), Availability::Ready);
    assert!(registry.availability(target, tick_at_ms(7_100)) != Availability::Ready);
}
