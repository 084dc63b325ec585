//! When a target counts as leaving, in tables of what the list showed.

use {
    hold::{
        Registration, Registry,
        registry::{Availability, State},
    },
    key::{Service, Version, Vm, Zone, clock::Tick},
};

enum Step {
    Listed(State, u64),
    Removed,
    Silent,
    Answered,
}

struct Case {
    name: &'static str,
    /// What happened, with the second at which it did.
    steps: Vec<(u64, Step)>,
    /// The second that is asked about.
    at: u64,
    /// The second since which the target counts as leaving, or nothing.
    leaving_since_ms: Option<u64>,
}

fn at_ms(ms: u64) -> Tick {
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
    }
}

fn availability(steps: &[(u64, Step)], at: u64) -> Availability {
    let mut registry = Registry::default();
    for (version, (second, step)) in steps.iter().enumerate() {
        let now = at_ms(second * 1_000);
        match step {
            Step::Listed(state, started_at_ms) => {
                let version = Version::from(version as u64 + 1);
                registry.register(registration(*state, *started_at_ms), version, now);
            }
            Step::Removed => {
                registry.remove(&Vm::from("t"), now);
            }
            Step::Silent => registry.record_poll(false, now),
            Step::Answered => registry.record_poll(true, now),
        }
    }
    let vm = Vm::from("t");
    let known = registry.get(&vm).expect("the target was listed");
    registry.availability(known, at_ms(at * 1_000))
}

#[test]
fn a_target_counts_as_leaving_when_the_list_says_so() {
    use {
        State::{Leaving, Ready},
        Step::{Answered, Listed, Removed, Silent},
    };
    let cases = [
        Case { name: "listed", steps: vec![(1, Listed(Ready, 1))], at: 9, leaving_since_ms: None },
        Case {
            name: "says that it leaves",
            steps: vec![(1, Listed(Ready, 1)), (3, Listed(Leaving, 1)), (4, Listed(Leaving, 1))],
            at: 5,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "vanishes while the store answers",
            steps: vec![(1, Listed(Ready, 1)), (3, Removed)],
            at: 3,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "vanishes right after an outage",
            steps: vec![(1, Listed(Ready, 1)), (2, Silent), (6, Answered), (6, Removed)],
            at: 7,
            leaving_since_ms: None,
        },
        Case {
            name: "is still missing long after an outage",
            steps: vec![(1, Listed(Ready, 1)), (2, Silent), (6, Answered), (6, Removed)],
            at: 9,
            leaving_since_ms: Some(8_000),
        },
        Case {
            name: "is back after an outage",
            steps: vec![
                (1, Listed(Ready, 1)),
                (2, Silent),
                (6, Answered),
                (6, Removed),
                (7, Listed(Ready, 1)),
            ],
            at: 20,
            leaving_since_ms: None,
        },
        Case {
            name: "is missing before a later outage",
            steps: vec![(1, Listed(Ready, 1)), (3, Removed), (10, Silent), (12, Answered)],
            at: 13,
            leaving_since_ms: Some(3_000),
        },
        Case {
            name: "is missing by a peer's word while the store is silent here",
            steps: vec![(1, Listed(Ready, 1)), (2, Silent), (6, Removed)],
            at: 7,
            leaving_since_ms: None,
        },
        Case {
            name: "starts anew under its name",
            steps: vec![(1, Listed(Leaving, 1)), (2, Removed), (4, Listed(Ready, 2))],
            at: 5,
            leaving_since_ms: None,
        },
    ];
    for case in cases {
        let expected = case
            .leaving_since_ms
            .map_or(Availability::Ready, |ms| Availability::Leaving(at_ms(ms)));
        assert_eq!(availability(&case.steps, case.at), expected, "{}", case.name);
    }
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut registry = Registry::default();
    registry.register(registration(State::Leaving, 2), Version::from(5), at_ms(1));
    assert!(!registry.register(registration(State::Ready, 1), Version::from(4), at_ms(2)));
    let vm = Vm::from("t");
    let known = registry.get(&vm).expect("the target was listed");
    assert_eq!(known.registration.started_at_ms, 2);
}

#[test]
fn an_excuse_that_ends_is_noticed() {
    let mut registry = Registry::default();
    registry.register(registration(State::Ready, 1), Version::from(1), at_ms(1_000));
    registry.record_poll(false, at_ms(2_000));
    registry.record_poll(true, at_ms(6_000));
    registry.remove(&Vm::from("t"), at_ms(6_000));
    let span = std::time::Duration::from_millis(500);
    for (ms, settling) in [(6_100, true), (8_200, true), (8_600, false)] {
        assert_eq!(registry.has_grace_period_within(span, at_ms(ms)), settling, "at {ms} ms");
    }
}

#[test]
fn an_entry_that_is_read_again_is_there_whatever_a_peer_said() {
    let mut registry = Registry::default();
    registry.register(registration(State::Ready, 1), Version::from(3), at_ms(1_000));
    registry.retain(|_| false, at_ms(2_000));
    assert!(registry.is_empty());
    assert!(registry.register(registration(State::Ready, 1), Version::from(3), at_ms(3_000)));
    assert_eq!(registry.len(), 1);
}

#[test]
fn a_target_that_was_never_listed_is_gone_once_the_list_was_read_for_a_while() {
    let mut registry = Registry::default();
    let cases = [(500, false), (1_000, false), (2_900, false), (3_100, true)];
    registry.record_poll(false, at_ms(100));
    registry.record_poll(true, at_ms(1_000));
    for (ms, complete) in cases {
        assert_eq!(registry.is_complete(at_ms(ms)), complete, "at {ms} ms");
    }
}

#[test]
fn an_entry_of_another_writer_proves_no_end() {
    let mut registry = Registry::default();
    let own = registration(State::Ready, 1);
    let (instance, address) = (own.instance(), own.address);
    registry.register(own, Version::from(1), at_ms(1));
    let service = Service::from("unheard of");
    let foreign = Registration { vm: Vm::from("f"), service, ..registration(State::Ready, 9) };
    registry.register(foreign, Version::from(2), at_ms(2));
    assert!(registry.has_ended(&instance, address));
    registry.remove_if(|registration| registration.service.as_str() == "unheard of");
    assert!(!registry.has_ended(&instance, address));
}
