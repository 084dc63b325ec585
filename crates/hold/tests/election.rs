//! When an entry polls the others and when it campaigns.

use {
    hold::{
        Election,
        election::{Leader, Verdict, is_better_placed},
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

/// A leader that resigned answered its reports all the same, and each answer put off the campaigns
/// of entries with lower ranks.
#[test]
fn an_entry_of_low_rank_replaces_a_leader_that_resigns_and_answers() {
    const REPORT_INTERVAL_MS: u64 = 250;
    const RANK: usize = 8;
    let mut election = Election::new(tick_at_ms(0));
    let resigning = Leader::Other { resigning: true };
    let mut verdict = Verdict::Wait;
    for now_ms in (1_000..2_000).step_by(50) {
        if now_ms % REPORT_INTERVAL_MS == 0 {
            election.record_resignation(tick_at_ms(now_ms));
        }
        verdict = election.decide(resigning, RANK, tick_at_ms(now_ms));
        if verdict != Verdict::Wait {
            break;
        }
    }
    assert_eq!(verdict, Verdict::Campaign);
}

/// A fleet in virtual time, of which some entries do not reach some targets.
struct Fleet {
    elections: Vec<Election>,
    leader: usize,
    takeovers: usize,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let elections = vec![Election::new(tick_at_ms(0)); size];
        Self { elections, leader: 0, takeovers: 0 }
    }

    /// Runs for a second from `start_ms` on: every entry reports each 250 ms, and campaigns by
    /// rank.
    fn run(&mut self, start_ms: u64, unreached_percents: &[u8]) {
        for now_ms in (start_ms..start_ms + 1_000).step_by(50) {
            let now = tick_at_ms(now_ms);
            for entry in 0..self.elections.len() {
                if entry == self.leader {
                    continue;
                }
                let leader_percent = unreached_percents[self.leader];
                let yields = unreached_percents
                    .iter()
                    .any(|percent| is_better_placed(*percent, leader_percent));
                let resigning =
                    yields && is_better_placed(unreached_percents[entry], leader_percent);
                if now_ms % 250 == 0 {
                    if resigning {
                        self.elections[entry].record_resignation(now);
                    } else {
                        self.elections[entry].record_heartbeat(now);
                    }
                }
                let verdict = self.elections[entry].decide(Leader::Other { resigning }, entry, now);
                if verdict == Verdict::Campaign {
                    self.leader = entry;
                    self.takeovers += 1;
                    self.elections.iter_mut().for_each(|election| election.record_heartbeat(now));
                }
            }
        }
    }
}

/// A leader that reached no target went on leading.
#[test]
fn the_lead_goes_where_reach_is() {
    struct Case {
        name: &'static str,
        /// For each second, the share of targets that each entry does not reach, in percent.
        seconds: &'static [[u8; 5]],
        leader: usize,
        takeovers: usize,
    }
    let cases = [
        Case { name: "all reach all", seconds: &[[0; 5]; 3], leader: 0, takeovers: 0 },
        Case {
            name: "the leader is isolated",
            seconds: &[[100, 0, 0, 0, 0]; 2],
            leader: 1,
            takeovers: 1,
        },
        Case {
            name: "the leader and the next ones are",
            seconds: &[[100, 100, 100, 0, 0]; 2],
            leader: 3,
            takeovers: 1,
        },
        Case {
            name: "two takeovers in a row",
            seconds: &[[100, 0, 0, 0, 0], [100, 100, 0, 0, 0], [0, 100, 0, 0, 0]],
            leader: 2,
            takeovers: 2,
        },
        Case {
            name: "the leader reaches half of the targets",
            seconds: &[[50, 0, 0, 0, 0]; 2],
            leader: 1,
            takeovers: 1,
        },
        Case {
            name: "a third of the targets is lost to all",
            seconds: &[[33, 33, 34, 33, 30]; 3],
            leader: 0,
            takeovers: 0,
        },
        Case { name: "all are isolated", seconds: &[[100; 5]; 3], leader: 0, takeovers: 0 },
        Case {
            name: "a little more reach is no reason",
            seconds: &[[20, 0, 0, 0, 0]; 3],
            leader: 0,
            takeovers: 0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(5);
        for (second, unreached_percents) in case.seconds.iter().enumerate() {
            fleet.run(1_000 * (second as u64 + 1), unreached_percents);
        }
        assert_eq!((fleet.leader, fleet.takeovers), (case.leader, case.takeovers), "{}", case.name);
    }
}
