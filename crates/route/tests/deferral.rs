//! When a target that has turned requests away gets the next ones, in virtual time.

use {
    route::Deferral,
    std::time::{Duration, Instant},
};

/// What happens at a moment, in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// The target turns a request away for so many milliseconds.
    Begin(u64),
    /// The target takes a request.
    End,
}

#[test]
fn a_deferred_target_gets_nothing_and_then_one_request_at_a_time() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        at_ms: u64,
        others: usize,
        remaining_ms: Option<u64>,
        admits: bool,
    }
    const TWO_SECONDS: &[(u64, Event)] = &[(0, Event::Begin(2_000))];
    let cases = [
        Case {
            name: "no deferral",
            events: &[],
            at_ms: 0,
            others: 9,
            remaining_ms: None,
            admits: true,
        },
        Case {
            name: "during the time",
            events: TWO_SECONDS,
            at_ms: 1_500,
            others: 0,
            remaining_ms: Some(500),
            admits: false,
        },
        Case {
            name: "the first request after it",
            events: TWO_SECONDS,
            at_ms: 2_100,
            others: 0,
            remaining_ms: None,
            admits: true,
        },
        Case {
            name: "a second request while the first is in flight",
            events: TWO_SECONDS,
            at_ms: 2_100,
            others: 1,
            remaining_ms: None,
            admits: false,
        },
        Case {
            name: "once a request was taken",
            events: &[(0, Event::Begin(2_000)), (2_200, Event::End)],
            at_ms: 2_300,
            others: 5,
            remaining_ms: None,
            admits: true,
        },
        Case {
            name: "an answer to an earlier request",
            events: &[(0, Event::Begin(2_000)), (100, Event::End)],
            at_ms: 200,
            others: 0,
            remaining_ms: Some(1_800),
            admits: false,
        },
        Case {
            name: "a shorter word does not shorten it",
            events: &[(0, Event::Begin(2_000)), (100, Event::Begin(100))],
            at_ms: 500,
            others: 0,
            remaining_ms: Some(1_500),
            admits: false,
        },
        Case {
            name: "the probe is turned away",
            events: &[(0, Event::Begin(1_000)), (1_100, Event::Begin(1_000))],
            at_ms: 1_600,
            others: 0,
            remaining_ms: Some(500),
            admits: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut deferral = Deferral::default();
        for (at_ms, event) in case.events {
            let now = start + Duration::from_millis(*at_ms);
            match event {
                Event::Begin(span_ms) => {
                    deferral.begin(Duration::from_millis(*span_ms), now);
                }
                Event::End => deferral.end(now),
            }
        }
        let now = start + Duration::from_millis(case.at_ms);
        let remaining = case.remaining_ms.map(Duration::from_millis);
        assert_eq!(deferral.remaining(now), remaining, "{}", case.name);
        assert_eq!(deferral.admits(case.others, now), case.admits, "{}", case.name);
    }
}
