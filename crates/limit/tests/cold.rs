//! When a target is cold, and the permits of one target.

use {
    hold::Instance,
    key::{Vm, clock::Tick},
    limit::{Bound, Outcomes, Pacer, Permit, Registered, Request, Stage, Warmups},
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(3);
const URGENT: Request = Request { max_wait: Duration::from_secs(60), is_urgent: true };
const AT_ONCE: Request = Request { max_wait: Duration::ZERO, is_urgent: true };

fn at(ms: u64) -> Tick {
    Tick::from((10_000 + ms) * 1_000)
}

fn bound() -> Bound {
    Bound::new(3.9, 1.5, 8.0)
}

fn vm() -> Vm {
    Vm::from("t")
}

/// What happens to a target, as one entry sees it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A registration is read that was written at this time, with so much cold time left.
    Registered {
        written: u64,
        left: u64,
    },
    /// Time passes until the registry's state is applied again.
    Unchanged {
        written: u64,
        until: Option<u64>,
    },
    Lost,
    Responded,
}

/// Guards against requests without permits to a target that may be cold, and against permits that
/// are asked for ever.
#[test]
fn a_target_is_cold_by_its_registration_and_after_a_lost_connection() {
    use Event::{Lost, Registered as Reg, Responded, Unchanged};
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        /// Times, and the doublings of the rate then; none if no permit is needed.
        stages: &'static [(u64, Option<u32>)],
    }
    let cases = [
        Case {
            name: "registered warm",
            events: &[(0, Reg { written: 0, left: 0 })],
            stages: &[(0, None), (5_000, None)],
        },
        Case {
            name: "cold, then warmed up by time",
            events: &[(0, Reg { written: 0, left: 3_000 })],
            stages: &[
                (0, Some(0)),
                (2_999, Some(0)),
                (3_000, Some(1)),
                (4_500, Some(2)),
                (5_500, Some(3)),
                (6_000, None),
            ],
        },
        Case {
            name: "cold, the same registration applied again after its time",
            events: &[
                (0, Reg { written: 0, left: 3_000 }),
                (3_500, Unchanged { written: 0, until: Some(3_000) }),
            ],
            stages: &[(3_600, Some(1)), (6_000, None)],
        },
        Case {
            name: "warm by a newer registration before its time",
            events: &[(0, Reg { written: 0, left: 3_000 }), (1_000, Reg { written: 900, left: 0 })],
            stages: &[(1_000, Some(1)), (4_000, None)],
        },
        Case {
            name: "cold again",
            events: &[
                (0, Reg { written: 0, left: 0 }),
                (9_000, Reg { written: 8_900, left: 2_000 }),
            ],
            stages: &[(9_000, Some(0)), (10_999, Some(0))],
        },
        Case {
            name: "a lost connection without news",
            events: &[(0, Lost)],
            stages: &[(0, Some(0)), (50_000, Some(0))],
        },
        Case {
            name: "a lost connection, a registration from before",
            events: &[(1_000, Lost), (1_500, Reg { written: 900, left: 0 })],
            stages: &[(1_500, Some(0)), (50_000, Some(0))],
        },
        Case {
            name: "a lost connection, a warm registration from after",
            events: &[(1_000, Lost), (1_500, Reg { written: 1_001, left: 0 })],
            stages: &[(1_499, Some(0)), (1_500, None)],
        },
        Case {
            name: "a lost connection, a cold registration from after",
            events: &[(1_000, Lost), (1_500, Reg { written: 1_001, left: 2_500 })],
            stages: &[(1_500, Some(0)), (3_999, Some(0)), (4_000, Some(1))],
        },
        Case {
            name: "a lost connection, then a response and the time of a start",
            events: &[(1_000, Lost), (2_000, Responded), (2_500, Responded)],
            stages: &[(4_999, Some(0)), (5_000, None)],
        },
        Case {
            name: "a connection lost again after the response",
            events: &[(1_000, Lost), (2_000, Responded), (2_500, Lost)],
            stages: &[(5_000, Some(0)), (50_000, Some(0))],
        },
        Case {
            name: "a lost connection while cold, the response shows no end",
            events: &[(0, Reg { written: 0, left: 9_000 }), (1_000, Lost), (2_000, Responded)],
            stages: &[(5_000, Some(0)), (8_999, Some(0)), (9_000, Some(1))],
        },
    ];
    for case in cases {
        let mut events = case.events.to_vec();
        let mut warmups = Warmups::default();
        for (time, expected) in case.stages {
            while events.first().is_some_and(|(due, _)| due <= time) {
                let (due, event) = events.remove(0);
                let registered = |written, until: Option<u64>| Registered {
                    instance: Instance { vm: vm(), started_at_ms: 1 },
                    cold_until: until.map(at),
                    written_at: at(written),
                };
                match event {
                    Reg { written, left } => {
                        let until = (left > 0).then_some(due + left);
                        warmups.update([registered(written, until)], at(due));
                    }
                    Unchanged { written, until } => {
                        warmups.update([registered(written, until)], at(due));
                    }
                    Lost => {
                        warmups.record_lost(&vm(), SPAN, at(due));
                    }
                    Responded => warmups.record_response(&vm(), true, at(due)),
                }
            }
            let doublings = warmups.stage(&vm(), at(*time)).map(|stage| stage.doublings);
            assert_eq!(doublings, *expected, "{}: after {time} ms", case.name);
        }
    }
}

/// Takes every permit that can be had at once in steps of 1 ms, and returns their times.
fn take_all(pacer: &mut Pacer, stage: Stage, from_ms: u64, to_ms: u64) -> Vec<u64> {
    (from_ms..to_ms)
        .filter(|ms| pacer.take(bound(), stage, AT_ONCE, at(*ms)) == Permit::After(Duration::ZERO))
        .collect()
}

fn busiest(times: &[u64], window_ms: u64) -> usize {
    let within =
        |start: &u64| times.iter().filter(|at| (*start..start + window_ms).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against two coordinators that exceed the bound together although each keeps to its part.
#[test]
fn two_pacers_stay_below_the_bound_at_any_rate_and_lateness() {
    for good in [0, 1, 100] {
        let mut pacer = Pacer::new(bound(), at(0));
        pacer.record(bound(), Outcomes { good, bad: 0 }, at(0));
        let times = take_all(&mut pacer, Stage::COLD, 0, 20_000);
        // A second at the target holds the permits of one second and 250 ms at most.
        let in_window = busiest(&times, 1_250);
        assert!(2 * in_window <= bound().max_per_s() as usize, "{good}: {in_window} permits");
        assert!(times.len() >= 20 * 3, "{good}: {} permits in 20 s", times.len());
        assert!(times[0] >= 100, "{good}: a permit in hand at the start");
    }
}

/// Guards against a rate that stays at its first value, whatever the target answers.
#[test]
fn the_rate_follows_outcomes_up_to_the_ceiling_and_down_again() {
    let mut pacer = Pacer::new(bound(), at(0));
    assert_eq!(pacer.rate(), 3.9);
    for _ in 0..20 {
        pacer.record(bound(), Outcomes { good: 1, bad: 0 }, at(0));
    }
    assert!((pacer.rate() - 5.85).abs() < 0.001, "{}", pacer.rate());
    let bad = Outcomes { good: 3, bad: 1 };
    pacer.record(bound(), bad, at(1_000));
    assert!((pacer.rate() - 2.925).abs() < 0.001, "{}", pacer.rate());
    pacer.record(bound(), bad, at(1_400));
    assert!((pacer.rate() - 2.925).abs() < 0.001, "cut twice at once: {}", pacer.rate());
    for second in 2..20 {
        pacer.record(bound(), bad, at(second * 1_000));
    }
    assert!((pacer.rate() - bound().min_rate()).abs() < 0.001, "{}", pacer.rate());
}

/// Guards against a target that stays limited after its cold time.
#[test]
fn the_rate_doubles_every_second_after_the_cold_time() {
    let counts = [0, 1, 2, 3].map(|doublings| {
        take_all(&mut Pacer::new(bound(), at(0)), Stage { doublings }, 0, 4_000).len()
    });
    for pair in counts.windows(2) {
        assert!(pair[1] * 10 >= pair[0] * 18, "{counts:?}");
    }
}

/// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn urgent_requests_get_permits_when_others_get_none() {
    let mut pacer = Pacer::new(bound(), at(0));
    let patient = Request { max_wait: Duration::from_secs(60), is_urgent: false };
    let granted = (0..20)
        .filter(|_| {
            matches!(pacer.take(bound(), Stage::COLD, patient, at(1_000)), Permit::After(_))
        })
        .count();
    assert!(granted <= 3, "{granted} less urgent requests go ahead of an urgent one");
    let Permit::After(wait) = pacer.take(bound(), Stage::COLD, URGENT, at(1_000)) else {
        panic!("an urgent request is refused");
    };
    assert!(wait <= Duration::from_millis(600), "{wait:?}");
}

/// Guards against all entries that are cut off sending at once.
#[test]
fn an_entry_that_reaches_no_coordinator_sends_one_request_in_ten_seconds() {
    for entries in [1, 20, 83, 2_000] {
        let mut warmups = Warmups::default();
        let sent = (0..60_000_u64)
            .step_by(10)
            .filter(|ms| {
                let permit = warmups.take_lone(&vm(), entries, 0.0, at(*ms));
                matches!(permit, Permit::After(_))
            })
            .count();
        assert!(sent <= 6, "{entries} entries: {sent} requests in a minute");
    }
}
