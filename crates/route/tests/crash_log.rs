//! Which crash reports a process passes on, in virtual time.

use {
    key::{Incarnation, Process, Vm, clock::Tick},
    route::{
        CrashLog,
        crash_log::CrashNotice,
        quarantine::{CrashReport, Fingerprint},
    },
    std::time::Duration,
};

/// What happens to a process, with the number of a crash or of a leader.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It sees a crash, or another process reports one.
    Sees(u64),
    /// It hears of a crash so many seconds old.
    Hears(u64, u64),
    /// The leader passes a crash on.
    IsTold(u64),
    /// It reports to the leader, and there is a reply or none.
    Reports { replied: bool },
    /// It learns of a leader.
    Follows(u64),
    /// It learns of a leader while its own call is on the way; the reply comes afterwards.
    FollowsWhileReporting(u64),
    /// A complete response clears the suspects.
    Clears,
    /// Seconds pass.
    Waits(u64),
}

use Event::{Clears, Follows, FollowsWhileReporting, Hears, IsTold, Reports, Sees, Waits};

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// The crashes in the next report.
    reported: &'static [u64],
    /// The crashes in replies.
    passed_on: &'static [u64],
}

const ACKNOWLEDGED: Event = Reports { replied: true };
const LOST: Event = Reports { replied: false };

fn report(crash: u64) -> CrashReport {
    CrashReport { fingerprint: Fingerprint::new("GET", "/poison", b""), crash }
}

fn notice(crash: u64, age_s: u64) -> CrashNotice {
    CrashNotice { report: report(crash), age_ms: age_s * 1_000 }
}

fn leader(number: u64) -> Process {
    Process { vm: Vm::from("e1"), incarnation: Incarnation::from(number) }
}

fn play(events: &[Event]) -> (CrashLog, Tick) {
    let mut log = CrashLog::default();
    let mut now = Tick::default().plus(Duration::from_secs(1_000));
    let mut is_suspect = true;
    for event in events {
        match *event {
            Sees(crash) => log.record(notice(crash, 0), now),
            Hears(crash, age_s) => log.record(notice(crash, age_s), now),
            IsTold(crash) => log.record_told(notice(crash, 0), now),
            Reports { replied } => {
                log.report(now);
                if replied {
                    log.acknowledge();
                }
            }
            Follows(number) => log.follow(&leader(number), |_| is_suspect, now),
            FollowsWhileReporting(number) => {
                log.report(now);
                log.follow(&leader(number), |_| is_suspect, now);
                log.acknowledge();
            }
            Clears => is_suspect = false,
            Waits(seconds) => {
                now = now.plus(Duration::from_secs(seconds));
                log.expire(now);
            }
        }
    }
    (log, now)
}

/// Guards against crash reports that are lost with a call or a leader, and the request that crashes
/// one target more for each of them.
#[test]
fn a_crash_is_reported_until_the_present_leader_has_replied() {
    let cases = [
        Case { name: "nothing", events: &[Follows(1)], reported: &[], passed_on: &[] },
        Case { name: "seen", events: &[Follows(1), Sees(7)], reported: &[7], passed_on: &[7] },
        Case {
            name: "reported",
            events: &[Follows(1), Sees(7), ACKNOWLEDGED],
            reported: &[],
            passed_on: &[7],
        },
        Case {
            name: "the call failed",
            events: &[Follows(1), Sees(7), LOST, Sees(8)],
            reported: &[7, 8],
            passed_on: &[8, 7],
        },
        Case {
            name: "the leader was replaced after its reply",
            events: &[Follows(1), Sees(7), ACKNOWLEDGED, Waits(5), Follows(2)],
            reported: &[7],
            passed_on: &[7],
        },
        Case {
            name: "the reply of the former leader proves nothing",
            events: &[Follows(1), Sees(7), FollowsWhileReporting(2)],
            reported: &[7],
            passed_on: &[7],
        },
        Case {
            name: "what the former leader passed on",
            events: &[Follows(1), IsTold(7), Follows(2)],
            reported: &[7],
            passed_on: &[7],
        },
        Case {
            name: "the leader knows what it passes on",
            events: &[Follows(1), IsTold(7), Sees(8), IsTold(8)],
            reported: &[],
            passed_on: &[8, 7],
        },
        Case {
            name: "the record of the same leader is read again",
            events: &[Follows(1), Sees(7), ACKNOWLEDGED, Follows(1)],
            reported: &[],
            passed_on: &[7],
        },
        Case {
            name: "passed on for a few seconds",
            events: &[Follows(1), Sees(7), ACKNOWLEDGED, Waits(4)],
            reported: &[],
            passed_on: &[],
        },
        Case {
            name: "not reported for ever",
            events: &[Follows(1), Sees(7), LOST, Waits(121)],
            reported: &[],
            passed_on: &[],
        },
        Case {
            name: "the age is passed on",
            events: &[Follows(1), Hears(7, 100), Follows(2), Waits(21)],
            reported: &[],
            passed_on: &[],
        },
        Case {
            name: "heard again, it gets no younger",
            events: &[Follows(1), Sees(7), Waits(100), Hears(7, 0), Waits(21), Follows(2)],
            reported: &[],
            passed_on: &[],
        },
        Case {
            name: "cleared before the leader was replaced",
            events: &[Follows(1), Sees(7), ACKNOWLEDGED, Clears, Follows(2)],
            reported: &[],
            passed_on: &[],
        },
    ];
    for case in cases {
        let (mut log, now) = play(case.events);
        let crashes = |notices: Vec<CrashNotice>| -> Vec<u64> {
            notices.iter().map(|notice| notice.report.crash).collect()
        };
        assert_eq!(crashes(log.passed_on(now)), case.passed_on, "{}: passed on", case.name);
        assert_eq!(crashes(log.report(now)), case.reported, "{}: reported", case.name);
    }
}

/// Guards against messages that grow with the number of crashes, and crashes that are left out.
#[test]
fn many_crashes_are_reported_in_parts() {
    const CRASHES: u64 = 200;
    let (mut log, now) = play(&[Follows(1)]);
    for crash in 0..CRASHES {
        log.record(notice(crash, 0), now);
    }
    let mut reported = Vec::new();
    for _ in 0..CRASHES {
        let notices = log.report(now);
        assert!(notices.len() <= 64, "{} in one message", notices.len());
        reported.extend(notices.iter().map(|notice| notice.report.crash));
        log.acknowledge();
    }
    assert_eq!(reported, (0..CRASHES).collect::<Vec<u64>>());
}
