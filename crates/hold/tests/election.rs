//! When an entry polls the others and when it campaigns.

use {
    hold::{
        Election,
        election::{Leader, Verdict},
    },
    key::clock::Tick,
    std::time::Duration,
};

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

#[test]
fn an_entry_campaigns_if_there_is_no_responsive_leader() {
    const OTHER_LEADER: Leader = Leader::Other { resigning: false };
    struct Case {
        name: &'static str,
        leader: Leader,
        rank: usize,
        /// The time of the leader's last heartbeat.
        last_heartbeat_ms: u64,
        now_ms: u64,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "right after the start",
            leader: Leader::Vacant,
            rank: 0,
            last_heartbeat_ms: 0,
            now_ms: 100,
            verdict: Verdict::Wait,
        },
        Case {
            name: "no leader",
            leader: Leader::Vacant,
            rank: 0,
            last_heartbeat_ms: 0,
            now_ms: 200,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "no leader, and others rank before",
            leader: Leader::Vacant,
            rank: 5,
            last_heartbeat_ms: 0,
            now_ms: 300,
            verdict: Verdict::Wait,
        },
        Case {
            name: "an earlier incarnation of this process led",
            leader: Leader::FormerSelf,
            rank: 9,
            last_heartbeat_ms: 200,
            now_ms: 210,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "the leader answers",
            leader: OTHER_LEADER,
            rank: 0,
            last_heartbeat_ms: 1_000,
            now_ms: 1_500,
            verdict: Verdict::Wait,
        },
        Case {
            name: "the leader is unresponsive",
            leader: OTHER_LEADER,
            rank: 0,
            last_heartbeat_ms: 1_000,
            now_ms: 2_000,
            verdict: Verdict::Poll,
        },
        Case {
            name: "the leader asks to be replaced",
            leader: Leader::Other { resigning: true },
            rank: 1,
            last_heartbeat_ms: 1_000,
            now_ms: 1_080,
            verdict: Verdict::Campaign,
        },
    ];
    for case in cases {
        let mut election = Election::new(tick_at_ms(0));
        election.record_heartbeat(tick_at_ms(case.last_heartbeat_ms));
        let verdict = election.decide(case.leader, case.rank, tick_at_ms(case.now_ms));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

#[test]
fn a_poll_decides_whether_to_replace_an_unresponsive_leader() {
    struct Case {
        name: &'static str,
        unresponsive_votes: usize,
        is_responsive: bool,
        now_ms: u64,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "the leader is unresponsive for most others",
            unresponsive_votes: 6,
            is_responsive: false,
            now_ms: 2_000,
            verdict: Verdict::Campaign,
        },
        Case {
            name: "the leader answers another entry",
            unresponsive_votes: 6,
            is_responsive: true,
            now_ms: 2_000,
            verdict: Verdict::Wait,
        },
        Case {
            name: "few others answer the poll",
            unresponsive_votes: 2,
            is_responsive: false,
            now_ms: 2_000,
            verdict: Verdict::Wait,
        },
        Case {
            name: "few others answer the poll for a long time",
            unresponsive_votes: 2,
            is_responsive: false,
            now_ms: 6_000,
            verdict: Verdict::Campaign,
        },
    ];
    for case in cases {
        let mut election = Election::new(tick_at_ms(0));
        election.record_heartbeat(tick_at_ms(1_000));
        election.record_poll(
            case.unresponsive_votes,
            case.is_responsive,
            11,
            tick_at_ms(case.now_ms),
        );
        let verdict =
            election.decide(Leader::Other { resigning: false }, 0, tick_at_ms(case.now_ms));
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

#[test]
fn a_longer_report_interval_delays_when_the_leader_counts_as_unresponsive() {
    let start = Tick::from(1_000_000);
    let mut election = Election::new(start);
    election.record_heartbeat(start);
    assert!(!election.is_leader_unresponsive(start.plus(Duration::from_millis(600))));
    assert!(election.is_leader_unresponsive(start.plus(Duration::from_millis(800))));
    election.set_report_interval(Duration::from_millis(1_100));
    assert!(!election.is_leader_unresponsive(start.plus(Duration::from_millis(2_000))));
    assert!(election.is_leader_unresponsive(start.plus(Duration::from_millis(2_500))));
}
