//! When a replica of the routing configuration is in force, and when a newer one is fetched, in
//! virtual time.

use {
    conf::routing::{Limits, Routing},
    hold::routing::Replica,
    key::{Version, clock::Tick},
    std::net::SocketAddr,
};

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn holder() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_540))
}

fn routing(version: u64) -> Routing {
    let limits = Limits { header_bytes: 1, body_bytes: 1, idle_ms: 1 };
    let version = Version::from(version);
    Routing { version, routes: Vec::new(), services: Vec::new(), limits }
}

/// What happens to a replica at a moment, in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// A version arrives, from wherever.
    Replace(u64),
    /// A version was the newest one at that moment.
    Confirm(u64),
    /// Another entry says that it has a version.
    Hear(u64),
    /// A fetch ends without a newer version.
    FetchFails,
}

fn play(events: &[(u64, Event)]) -> Replica {
    let mut replica = Replica::default();
    for (at_ms, event) in events {
        let now = tick_at_ms(*at_ms);
        match event {
            Event::Replace(version) => {
                replica.replace(routing(*version));
            }
            Event::Confirm(version) => replica.confirm(Version::from(*version), now),
            Event::Hear(version) => replica.hear(Version::from(*version), holder(), now),
            Event::FetchFails => {
                replica.start_fetch(false, now);
                replica.end_fetch(now);
            }
        }
    }
    replica
}

/// An entry answered 404 by a version of which it could have known that it was outdated.
#[test]
fn a_replica_is_in_force_while_no_newer_version_is_known() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        version: u64,
        in_force_at_ms: Option<u64>,
    }
    let cases = [
        Case { name: "none yet", events: &[], version: 0, in_force_at_ms: None },
        Case {
            name: "a confirmation without a replica",
            events: &[(0, Event::Confirm(0))],
            version: 0,
            in_force_at_ms: None,
        },
        Case {
            name: "not confirmed",
            events: &[(0, Event::Replace(7))],
            version: 7,
            in_force_at_ms: None,
        },
        Case {
            name: "confirmed twice, the earlier answer last",
            events: &[(0, Event::Replace(7)), (900, Event::Confirm(7)), (400, Event::Confirm(7))],
            version: 7,
            in_force_at_ms: Some(900),
        },
        Case {
            name: "a newer version was the newest one",
            events: &[(0, Event::Replace(7)), (100, Event::Confirm(7)), (500, Event::Confirm(9))],
            version: 7,
            in_force_at_ms: Some(100),
        },
        Case {
            name: "another entry has a newer one",
            events: &[(0, Event::Replace(7)), (100, Event::Confirm(7)), (500, Event::Hear(9))],
            version: 7,
            in_force_at_ms: None,
        },
        Case {
            name: "caught up",
            events: &[
                (0, Event::Replace(7)),
                (100, Event::Confirm(7)),
                (500, Event::Hear(9)),
                (600, Event::Replace(9)),
                (600, Event::Confirm(9)),
            ],
            version: 9,
            in_force_at_ms: Some(600),
        },
        Case {
            name: "an older version arrives late",
            events: &[(0, Event::Replace(9)), (100, Event::Confirm(9)), (200, Event::Replace(7))],
            version: 9,
            in_force_at_ms: Some(100),
        },
    ];
    for case in cases {
        let replica = play(case.events);
        assert_eq!(replica.version(), Version::from(case.version), "{}", case.name);
        assert_eq!(replica.in_force_at(), case.in_force_at_ms.map(tick_at_ms), "{}", case.name);
    }
}

/// Every entry sent its replica to a leader that was behind, again and again, since no answer came.
#[test]
fn a_newer_version_is_fetched_once_at_a_time() {
    struct Case {
        name: &'static str,
        events: &'static [(u64, Event)],
        store_available: bool,
        at_ms: u64,
        starts: bool,
    }
    const BEHIND: &[(u64, Event)] = &[(0, Event::Replace(7)), (1_000, Event::Hear(9))];
    const REPEATED: &[(u64, Event)] =
        &[(0, Event::Replace(7)), (1_000, Event::Hear(9)), (1_600, Event::Hear(9))];
    const FAILED: &[(u64, Event)] =
        &[(0, Event::Replace(7)), (1_000, Event::Hear(9)), (2_000, Event::FetchFails)];
    let cases = [
        Case {
            name: "nothing newer is known",
            events: &[(0, Event::Replace(7)), (0, Event::Hear(7))],
            store_available: false,
            at_ms: 5_000,
            starts: false,
        },
        Case {
            name: "the store may bring it",
            events: BEHIND,
            store_available: true,
            at_ms: 1_300,
            starts: false,
        },
        Case {
            name: "the store has not brought it",
            events: BEHIND,
            store_available: true,
            at_ms: 1_800,
            starts: true,
        },
        Case {
            name: "the time counts from the first word",
            events: REPEATED,
            store_available: true,
            at_ms: 1_800,
            starts: true,
        },
        Case {
            name: "the store is unavailable",
            events: BEHIND,
            store_available: false,
            at_ms: 1_010,
            starts: true,
        },
        Case {
            name: "there is no replica to go on with",
            events: &[(1_000, Event::Hear(9))],
            store_available: true,
            at_ms: 1_010,
            starts: true,
        },
        Case {
            name: "a fetch has just failed",
            events: FAILED,
            store_available: false,
            at_ms: 2_100,
            starts: false,
        },
        Case {
            name: "a fetch has failed some time ago",
            events: FAILED,
            store_available: false,
            at_ms: 2_500,
            starts: true,
        },
    ];
    for case in cases {
        let mut replica = play(case.events);
        let now = tick_at_ms(case.at_ms);
        let started = replica.start_fetch(case.store_available, now).is_some();
        assert_eq!(started, case.starts, "{}", case.name);
        assert!(replica.start_fetch(case.store_available, now).is_none(), "{}: twice", case.name);
    }
}

/// An entry would have stayed unready for good after the only one with a newer version had ended.
#[test]
fn a_newer_version_that_nobody_names_any_more_is_forgotten() {
    let mut replica =
        play(&[(0, Event::Replace(7)), (100, Event::Confirm(7)), (1_000, Event::Hear(9))]);
    replica.expire(tick_at_ms(5_000));
    assert!(replica.newer().is_some());
    replica.expire(tick_at_ms(6_500));
    assert!(replica.newer().is_none());
    assert_eq!(replica.in_force_at(), Some(tick_at_ms(100)));
}
