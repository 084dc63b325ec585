//! When an entry tries to lead.

use {
    hold::{
        Election,
        election::{Leader, Verdict},
    },
    key::clock::Tick,
    std::time::Duration,
};

fn at(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

#[test]
fn an_entry_stands_when_the_leader_is_gone() {
    const QUIET: Leader = Leader::Other { resigning: false };
    struct Case {
        name: &'static str,
        leader: Leader,
        rank: usize,
        /// When the leader was heard, and what is asked about, in milliseconds.
        heard: u64,
        now: u64,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "right after the start",
            leader: Leader::Vacant,
            rank: 0,
            heard: 0,
            now: 100,
            verdict: Verdict::Wait,
        },
        Case {
            name: "nobody leads",
            leader: Leader::Vacant,
            rank: 0,
            heard: 0,
            now: 200,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "nobody leads and others come first",
            leader: Leader::Vacant,
            rank: 5,
            heard: 0,
            now: 300,
            verdict: Verdict::Wait,
        },
        Case {
            name: "an earlier run of this process led",
            leader: Leader::FormerSelf,
            rank: 9,
            heard: 200,
            now: 210,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "the leader answers",
            leader: QUIET,
            rank: 0,
            heard: 1_000,
            now: 1_500,
            verdict: Verdict::Wait,
        },
        Case {
            name: "the leader is silent",
            leader: QUIET,
            rank: 0,
            heard: 1_000,
            now: 2_000,
            verdict: Verdict::Poll,
        },
        Case {
            name: "the leader asks to be replaced",
            leader: Leader::Other { resigning: true },
            rank: 1,
            heard: 1_000,
            now: 1_080,
            verdict: Verdict::Campaign,
        },
    ];
    for case in cases {
        let mut election = Election::new(at(0));
        election.record_heartbeat(at(case.heard));
        let verdict = election.decide(case.leader, case.rank, at(case.now));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

#[test]
fn a_poll_decides_whether_silence_is_the_leaders() {
    struct Case {
        name: &'static str,
        silent: usize,
        heard: bool,
        now: u64,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "most others do not hear it either",
            silent: 6,
            heard: false,
            now: 2_000,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "another hears it",
            silent: 6,
            heard: true,
            now: 2_000,
            verdict: Verdict::Wait,
        },
        Case {
            name: "few others answer",
            silent: 2,
            heard: false,
            now: 2_000,
            verdict: Verdict::Wait,
        },
        Case {
            name: "few others answer for long",
            silent: 2,
            heard: false,
            now: 6_000,
            verdict: Verdict::Campaign,
        },
    ];
    for case in cases {
        let mut election = Election::new(at(0));
        election.record_heartbeat(at(1_000));
        election.record_poll(case.silent, case.heard, 11, at(case.now));
        let verdict = election.decide(Leader::Other { resigning: false }, 0, at(case.now));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

#[test]
fn an_entry_that_reports_rarely_still_counts_as_hearing_the_leader() {
    let start = Tick::from(1_000_000);
    let mut election = Election::new(start);
    election.record_heartbeat(start);
    assert!(!election.is_leader_unresponsive(start.plus(Duration::from_millis(600))));
    assert!(election.is_leader_unresponsive(start.plus(Duration::from_millis(800))));
    election.set_report_interval(Duration::from_millis(1_100));
    assert!(!election.is_leader_unresponsive(start.plus(Duration::from_millis(2_000))));
    assert!(election.is_leader_unresponsive(start.plus(Duration::from_millis(2_500))));
}
