//! What entries know of keys that are about to leave their holders.

use {
    hold::{
        Instance, Map, Moves, Span,
        map::Holder,
        moves::{Announcement, MAX_AGE, Move, is_news},
    },
    key::{Version, Vm, Zone, clock::Tick},
    std::time::Duration,
};

fn instance(name: &str) -> Instance {
    Instance { vm: Vm::from(name), started_at_ms: 1 }
}

fn leaving(first: u16, last: u16, from: &str) -> Move {
    Move { span: Span { first, last }, from: instance(from) }
}

fn announcement(leadership: u64, number: u64, moves: Vec<Move>) -> Announcement {
    Announcement { leadership: Version::from(leadership), number, moves }
}

fn now() -> Tick {
    Tick::default().plus(Duration::from_secs(60))
}

/// Guards against holding requests back for keys that stay, or that a newer map has moved already.
#[test]
fn a_key_is_leaving_only_the_holder_that_was_announced() {
    struct Case {
        name: &'static str,
        key: u16,
        holder: &'static str,
        age: Duration,
        is_leaving: bool,
    }
    let (soon, late) = (Duration::from_millis(100), MAX_AGE);
    let cases = [
        Case { name: "announced", key: 15, holder: "a", age: soon, is_leaving: true },
        Case { name: "another key", key: 21, holder: "a", age: soon, is_leaving: false },
        Case { name: "by a newer map", key: 15, holder: "b", age: soon, is_leaving: false },
        Case { name: "given up", key: 15, holder: "a", age: late, is_leaving: false },
    ];
    for Case { name, key, holder, age, is_leaving } in cases {
        let mut moves = Moves::default();
        assert!(moves.apply(announcement(1, 1, vec![leaving(10, 20, "a")]), now()));
        let at = now().plus(age);
        assert_eq!(moves.is_leaving(key, &instance(holder), at), is_leaving, "{name}");
    }
    assert!(!Moves::default().is_leaving(0, &instance("a"), Tick::default()));
}

/// Guards against announcements that arrive out of order, or from a former leader.
#[test]
fn the_latest_announcement_of_the_latest_leader_counts() {
    struct Case {
        name: &'static str,
        second: (u64, u64),
        is_applied: bool,
    }
    let cases = [
        Case { name: "later", second: (5, 8), is_applied: true },
        Case { name: "the same again", second: (5, 7), is_applied: false },
        Case { name: "earlier", second: (5, 6), is_applied: false },
        Case { name: "of a new leader", second: (6, 1), is_applied: true },
        Case { name: "of a former leader", second: (4, 9), is_applied: false },
    ];
    for Case { name, second: (leadership, number), is_applied } in cases {
        let mut moves = Moves::default();
        moves.apply(announcement(5, 7, vec![leaving(0, 9, "a")]), now());
        let applied = moves.apply(announcement(leadership, number, Vec::new()), now());
        assert_eq!(applied, is_applied, "{name}");
        assert_eq!(moves.is_leaving(0, &instance("a"), now()), !is_applied, "{name}");
    }
}

/// Guards against a message to all entries for each change, most of which the new map tells.
#[test]
fn entries_are_told_what_the_map_does_not_tell() {
    let holder = Holder {
        instance: instance("a"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Zone::from("a"),
    };
    let mut map = Map::vacant();
    map.assign(Span::ALL, Some(holder));
    let (one, two) = (leaving(0, 9, "a"), leaving(10, 19, "a"));
    let gone = leaving(20, 29, "b");
    struct Case {
        name: &'static str,
        told: Vec<Move>,
        moves: Vec<Move>,
        is_news: bool,
    }
    let cases = [
        Case { name: "none", told: vec![], moves: vec![], is_news: false },
        Case {
            name: "the same",
            told: vec![one.clone()],
            moves: vec![one.clone()],
            is_news: false,
        },
        Case {
            name: "one begins",
            told: vec![one.clone()],
            moves: vec![one, two.clone()],
            is_news: true,
        },
        Case { name: "one fails", told: vec![two], moves: vec![], is_news: true },
        Case { name: "one is in the map", told: vec![gone], moves: vec![], is_news: false },
    ];
    for Case { name, told, moves, is_news: expected } in cases {
        assert_eq!(is_news(&told, &moves, &map), expected, "{name}");
    }
}

/// An announcement is part of a message between entries of different releases.
#[test]
fn an_announcement_survives_encoding() {
    let sent = announcement(3, 4, vec![leaving(1, 2, "a")]);
    let text = serde_json::to_string(&sent).expect("text");
    assert_eq!(serde_json::from_str::<Announcement>(&text).expect("the same"), sent);
}
