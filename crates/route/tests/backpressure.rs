//! When a target that has turned requests away gets the next ones, in virtual time.

use {
    route::{Backpressure, backpressure::Intake},
    std::time::{Duration, Instant},
};

/// What happens at a moment, in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// The target turns a request away for so many milliseconds.
    Deferred(u64),
    /// The target turns a request away without a time.
    Shed,
    /// The target takes a request.
    Taken,
}

fn after_ms(events: &[(u64, Event)], start: Instant) -> Backpressure {
    let mut backpressure = Backpressure::default();
    for (at_ms, event) in events {
        let now = start + Duration::from_millis(*at_ms);
        match event {
            Event::Deferred(span_ms) => {
                backpressure.record_deferral(Duration::from_millis(*span_ms), now);
            }
            Event::Shed => backpressure.record_shed(now),
            Event::Taken => backpressure.record_taken(now),
        }
    }
    backpressure
}

#[test]
fn a_deferred_target_gets_nothing_and_then_one_request_at_a_time() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        at_ms: u64,
        others: usize,
        remaining_ms: Option<u64>,
        intake: Intake,
    }
    const TWO_SECONDS: &[(u64, Event)] = &[(0, Event::Deferred(2_000))];
    let cases = [
        Case {
            name: "no deferral",
            events: &[],
            at_ms: 0,
            others: 9,
            remaining_ms: None,
            intake: Intake::Any,
        },
        Case {
            name: "during the time",
            events: TWO_SECONDS,
            at_ms: 1_500,
            others: 0,
            remaining_ms: Some(500),
            intake: Intake::Nothing,
        },
        Case {
            name: "the first request after it",
            events: TWO_SECONDS,
            at_ms: 2_100,
            others: 0,
            remaining_ms: None,
            intake: Intake::Any,
        },
        Case {
            name: "a second request while the first is in flight",
            events: TWO_SECONDS,
            at_ms: 2_100,
            others: 1,
            remaining_ms: None,
            intake: Intake::Probe,
        },
        Case {
            name: "once a request was taken",
            events: &[(0, Event::Deferred(2_000)), (2_200, Event::Taken)],
            at_ms: 2_300,
            others: 5,
            remaining_ms: None,
            intake: Intake::Any,
        },
        Case {
            name: "an answer to an earlier request",
            events: &[(0, Event::Deferred(2_000)), (100, Event::Taken)],
            at_ms: 200,
            others: 0,
            remaining_ms: Some(1_800),
            intake: Intake::Nothing,
        },
        Case {
            name: "a shorter word does not shorten it",
            events: &[(0, Event::Deferred(2_000)), (100, Event::Deferred(100))],
            at_ms: 500,
            others: 0,
            remaining_ms: Some(1_500),
            intake: Intake::Nothing,
        },
        Case {
            name: "the probe is turned away",
            events: &[(0, Event::Deferred(1_000)), (1_100, Event::Deferred(1_000))],
            at_ms: 1_600,
            others: 0,
            remaining_ms: Some(500),
            intake: Intake::Nothing,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let backpressure = after_ms(case.events, start);
        let now = start + Duration::from_millis(case.at_ms);
        let remaining = case.remaining_ms.map(Duration::from_millis);
        assert_eq!(backpressure.deferred_for(now), remaining, "{}", case.name);
        assert_eq!(backpressure.intake(case.others, false, now), case.intake, "{}", case.name);
    }
}

#[test]
fn the_strictest_word_of_a_target_counts() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        is_over_limit: bool,
        intake: Intake,
        admits: bool,
    }
    let cases = [
        Case {
            name: "a plain refusal",
            events: &[(0, Event::Shed)],
            is_over_limit: false,
            intake: Intake::Reluctant,
            admits: true,
        },
        Case {
            name: "a rate limit",
            events: &[],
            is_over_limit: true,
            intake: Intake::Reluctant,
            admits: true,
        },
        Case {
            name: "a time to come back, and both others",
            events: &[(0, Event::Shed), (0, Event::Deferred(1_000))],
            is_over_limit: true,
            intake: Intake::Nothing,
            admits: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + Duration::from_millis(20);
        let intake = after_ms(case.events, start).intake(0, case.is_over_limit, now);
        assert_eq!(intake, case.intake, "{}", case.name);
        assert_eq!(intake.admits(), case.admits, "{}", case.name);
    }
}

/// Entries that had waited for the end of a deferral would all have met the target at once.
#[test]
fn entries_come_back_one_request_at_a_time() {
    const ENTRIES: usize = 3;
    const DEFERRAL_MS: u64 = 2_000;
    const STEP_MS: u64 = 10;
    /// The steps that the target takes to answer.
    const ANSWER_STEPS: u64 = 5;
    let start = Instant::now();
    let mut entries = [Backpressure::default(); ENTRIES];
    for entry in &mut entries {
        entry.record_deferral(Duration::from_millis(DEFERRAL_MS), start);
    }
    let mut arrivals: Vec<u64> = Vec::new();
    let mut in_flight: [Vec<u64>; ENTRIES] = Default::default();
    // Each entry has a request to send at each step.
    for at_ms in (0..DEFERRAL_MS + 200).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(at_ms);
        for (entry, sent) in entries.iter_mut().zip(&mut in_flight) {
            if sent.iter().any(|sent_ms| sent_ms + ANSWER_STEPS * STEP_MS <= at_ms) {
                entry.record_taken(now);
            }
            sent.retain(|sent_ms| sent_ms + ANSWER_STEPS * STEP_MS > at_ms);
            if entry.intake(sent.len(), false, now).admits() {
                sent.push(at_ms);
                arrivals.push(at_ms);
            }
        }
    }
    let answered_ms = DEFERRAL_MS + ANSWER_STEPS * STEP_MS;
    let early = arrivals.iter().filter(|at_ms| **at_ms < DEFERRAL_MS).count();
    assert_eq!(early, 0, "requests arrived during the deferral");
    let probes = arrivals.iter().filter(|at_ms| **at_ms < answered_ms).count();
    assert_eq!(probes, ENTRIES, "each entry sends one request to find out");
    assert!(arrivals.len() > 2 * ENTRIES, "the target gets requests again");
}
