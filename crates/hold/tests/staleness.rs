//! The age of what a reading of the list shows, in tables of answers.

use {
    hold::staleness::{PollTiming, Staleness},
    key::clock::Tick,
    std::time::Duration,
};

/// An answer: when it was asked for and when it came, in milliseconds of the own clock, and the
/// store's clock in it.
type Answer = (u64, u64, u64);

struct Case {
    name: &'static str,
    answers: &'static [Answer],
    age_ms: u64,
}

/// The own clock is a million milliseconds ahead of the store's.
const LEAD_MS: u64 = 1_000_000;

#[test]
fn a_change_is_as_old_as_the_pause_and_the_way_allow() {
    let cases = [
        Case { name: "a first reading", answers: &[(0, 2, 1)], age_ms: 60_000 },
        Case {
            name: "an answer at once after a pause",
            answers: &[(0, 2, 1), (500, 502, 501)],
            age_ms: 500,
        },
        Case {
            name: "a question that waited for the change",
            answers: &[(0, 2, 1), (500, 1_402, 1_401)],
            age_ms: 0,
        },
        Case {
            name: "a question that a busy machine sent late",
            answers: &[(0, 2, 1), (1_000, 1_162, 1_161)],
            age_ms: 1_160,
        },
        Case {
            name: "an answer that was long on its way",
            answers: &[(0, 2, 1), (500, 2_202, 1_201)],
            age_ms: 1_000,
        },
        Case {
            name: "an answer at once that was long on its way",
            answers: &[(0, 2, 1), (500, 1_002, 501)],
            age_ms: 1_000,
        },
        Case {
            name: "a question that waited for the change again",
            answers: &[(0, 2, 1), (500, 1_202, 1_201), (1_300, 1_903, 1_902)],
            age_ms: 0,
        },
        Case {
            name: "a first answer that was slow",
            answers: &[(0, 300, 1), (300, 302, 301), (800, 802, 801)],
            age_ms: 500,
        },
        Case {
            name: "a store whose clock starts anew",
            answers: &[(0, 2, 1), (500, 502, 501), (900, 902, 3)],
            age_ms: 60_000,
        },
    ];
    for case in cases {
        let mut staleness = Staleness::default();
        let mut age = Duration::ZERO;
        for (asked, answered, clock) in case.answers {
            age = staleness.record(PollTiming {
                sent_at: Tick::from((asked + LEAD_MS) * 1_000),
                received_at: Tick::from((answered + LEAD_MS) * 1_000),
                store_clock: Duration::from_millis(*clock),
            });
        }
        let wanted = Duration::from_millis(case.age_ms);
        let off = age.abs_diff(wanted);
        assert!(off <= Duration::from_millis(2), "{}: {age:?}", case.name);
    }
}
