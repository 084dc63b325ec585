//! The staleness of polls of the registry, in tables of answers.

use {
    hold::staleness::{Age, PollTiming, Staleness},
    key::clock::Tick,
    std::time::Duration,
};

/// One poll: when it was sent, when its answer was received, and the store's clock in the answer.
/// All are in milliseconds; the first two are of the local clock.
type Answer = (u64, u64, u64);

struct Case {
    name: &'static str,
    answers: &'static [Answer],
    age_ms: u64,
}

/// How far the local clock is ahead of the store's.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

#[test]
fn the_age_of_a_change_is_bounded_by_the_polling_gap_and_the_transit_time() {
    let cases = [
        Case { name: "a first poll", answers: &[(0, 2, 1)], age_ms: 60_000 },
        Case {
            name: "an immediate answer after a gap between polls",
            answers: &[(0, 2, 1), (500, 502, 501)],
            age_ms: 500,
        },
        Case {
            name: "a long poll that waited for the change",
            answers: &[(0, 2, 1), (500, 1_402, 1_401)],
            age_ms: 0,
        },
        Case {
            name: "a long poll that a busy machine sent late",
            answers: &[(0, 2, 1), (1_000, 1_162, 1_161)],
            age_ms: 1_160,
        },
        Case {
            name: "a long poll with a slow answer",
            answers: &[(0, 2, 1), (500, 2_202, 1_201)],
            age_ms: 1_000,
        },
        Case {
            name: "an immediate answer with a long transit time",
            answers: &[(0, 2, 1), (500, 1_002, 501)],
            age_ms: 1_000,
        },
        Case {
            name: "a second long poll that waited for the change",
            answers: &[(0, 2, 1), (500, 1_202, 1_201), (1_300, 1_903, 1_902)],
            age_ms: 0,
        },
        Case {
            name: "a slow first answer",
            answers: &[(0, 300, 1), (300, 302, 301), (800, 802, 801)],
            age_ms: 500,
        },
        Case {
            name: "a store whose clock restarts",
            answers: &[(0, 2, 1), (500, 502, 501), (900, 902, 3)],
            age_ms: 60_000,
        },
    ];
    for case in cases {
        let mut staleness = Staleness::default();
        let mut age = Age { of_change: Duration::ZERO, of_answer: Duration::ZERO };
        for (sent_ms, received_ms, store_clock_ms) in case.answers {
            age = staleness.record(PollTiming {
                sent_at: Tick::from((sent_ms + CLOCK_OFFSET_MS) * 1_000),
                received_at: Tick::from((received_ms + CLOCK_OFFSET_MS) * 1_000),
                store_clock: Duration::from_millis(*store_clock_ms),
            });
        }
        let expected = Duration::from_millis(case.age_ms);
        let error = age.of_change.abs_diff(expected);
        assert!(error <= Duration::from_millis(2), "{}: {age:?}", case.name);
    }
}
