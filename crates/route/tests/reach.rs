//! When an entry counts as isolated, in virtual time.

use {
    route::Reach,
    std::time::{Duration, Instant},
};

/// One outcome: after so many milliseconds, a target is reached or not.
type Step = (u64, u32, bool);

struct Case {
    name: &'static str,
    steps: &'static [Step],
    is_isolated: bool,
    unreached_percent: u8,
}

#[test]
fn an_entry_is_isolated_if_several_targets_fail_and_none_is_reached() {
    let cases = [
        Case { name: "nothing tried", steps: &[], is_isolated: false, unreached_percent: 0 },
        Case {
            name: "one dead target fails often",
            steps: &[(0, 1, false), (100, 1, false), (200, 1, false), (300, 1, false)],
            is_isolated: false,
            unreached_percent: 0,
        },
        Case {
            name: "three dead targets among sound ones",
            steps: &[(0, 1, false), (0, 2, false), (0, 3, false), (10, 4, true), (20, 5, true)],
            // The first three outcomes alone look like a lost link.
            is_isolated: false,
            unreached_percent: 0,
        },
        Case {
            name: "all targets fail after they were reached",
            steps: &[
                (0, 1, true),
                (0, 2, true),
                (0, 3, true),
                (600, 1, false),
                (700, 2, false),
                (800, 3, false),
            ],
            is_isolated: true,
            unreached_percent: 100,
        },
        Case {
            name: "one success is not yet a way back",
            steps: &[(0, 1, false), (0, 2, false), (0, 3, false), (100, 1, true)],
            is_isolated: true,
            unreached_percent: 100,
        },
        Case {
            name: "two successes in a row are",
            steps: &[(0, 1, false), (0, 2, false), (0, 3, false), (100, 1, true), (200, 2, true)],
            is_isolated: false,
            unreached_percent: 0,
        },
        Case {
            name: "a failure in between starts over",
            steps: &[
                (0, 1, false),
                (0, 2, false),
                (0, 3, false),
                (100, 1, true),
                (200, 2, false),
                (300, 3, true),
            ],
            is_isolated: true,
            unreached_percent: 100,
        },
        Case {
            name: "half of the targets are reached",
            steps: &[
                (0, 1, true),
                (0, 2, true),
                (0, 3, true),
                (10, 4, false),
                (10, 5, false),
                (10, 6, false),
            ],
            is_isolated: false,
            unreached_percent: 50,
        },
        Case {
            name: "old outcomes say nothing",
            steps: &[(0, 1, false), (0, 2, false), (5_000, 3, false), (5_000, 4, true)],
            is_isolated: false,
            unreached_percent: 0,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut reach = Reach::default();
        let mut now = start;
        for (after_ms, target, reached) in case.steps {
            now = start + Duration::from_millis(*after_ms);
            reach.record(target, *reached, now);
        }
        assert_eq!(reach.is_isolated(), case.is_isolated, "{}", case.name);
        assert_eq!(reach.unreached_percent(now), case.unreached_percent, "{}", case.name);
    }
}

/// The failure of a target was taken for a sign that its links are at fault.
#[test]
fn the_failure_of_a_target_says_nothing_of_its_links() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        unreached_percent_besides_one: u8,
    }
    let cases = [
        Case {
            name: "it failed, and one of four others",
            steps: &[(0, 1, false), (0, 2, true), (0, 3, true), (0, 4, true), (10, 5, false)],
            unreached_percent_besides_one: 25,
        },
        Case {
            name: "too few others were tried",
            steps: &[(0, 1, false), (0, 2, true), (0, 3, true), (10, 4, false)],
            unreached_percent_besides_one: 0,
        },
        Case {
            name: "the links are at fault",
            steps: &[(0, 1, false), (0, 2, false), (0, 3, false)],
            unreached_percent_besides_one: 100,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut reach = Reach::default();
        for (after_ms, target, reached) in case.steps {
            reach.record(target, *reached, start + Duration::from_millis(*after_ms));
        }
        let now = start + Duration::from_millis(20);
        let percent = reach.unreached_percent_besides(&1, now);
        assert_eq!(percent, case.unreached_percent_besides_one, "{}", case.name);
    }
}
