//! The tables that a follower learns of through its reader, in virtual time.

use {
    key::{Era, Version, Zone, clock::Tick},
    member::{Coverage, News, RowLog, Step, has_followers},
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_millis(2_500);
const MAX_AGE: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> Tick {
    Tick::default().plus(Duration::from_millis(ms))
}

fn version(number: u64) -> Version {
    in_era(1, number)
}

fn in_era(era: u64, number: u64) -> Version {
    Version::in_era(Era::from(era), number).expect("a small number")
}

type Log = RowLog<&'static str, &'static str>;

/// Returns a log of a table that was read in full at version 10, and changed at 12 and 15.
fn log() -> Log {
    let mut log = Log::default();
    log.restart(version(10));
    log.record(version(10), "a", "a10", false);
    log.record(version(10), "b", "b10", false);
    log.record(version(12), "a", "a12", false);
    log.record_version(version(12));
    log.record(version(15), "b", "b15", true);
    log.record(version(15), "c", "c15", false);
    log.record_version(version(17));
    log
}

/// Guards against followers that miss a row or a removal, or get answers without end.
#[test]
fn a_follower_gets_what_it_lacks() {
    let cases = [
        ("knows nothing", Version::ZERO, News::Complete(vec!["a12", "c15"]), true),
        ("knows too little", version(9), News::Complete(vec!["a12", "c15"]), true),
        ("knows the full read", version(10), News::Changes(vec!["a12", "b15", "c15"]), true),
        ("knows the first change", version(12), News::Changes(vec!["b15", "c15"]), true),
        ("knows all changes", version(15), News::Changes(vec![]), false),
        ("knows the table as it is", version(17), News::Changes(vec![]), false),
        ("knows more", version(18), News::Changes(vec![]), false),
        ("knows an earlier era", in_era(0, 12), News::Complete(vec!["a12", "c15"]), true),
        ("knows a later era", in_era(2, 3), News::Unknown, false),
    ];
    for (case, after, expected, has_news) in cases {
        assert_eq!(log().since(after), expected, "{case}");
        assert_eq!(log().has_news(after), has_news, "{case}");
    }
    assert_eq!(Log::default().since(Version::ZERO), News::Unknown);
    assert!(!Log::default().has_news(Version::ZERO));
}

/// Guards against a reader that passes on a part of a large table as if it were all of it, and
/// against followers that ask without pause for what it does not know.
#[test]
fn of_a_large_table_only_the_latest_rows_are_known() {
    const ROWS: u64 = 1_000;
    let mut log = RowLog::default();
    log.restart(version(10));
    for row in 0..ROWS {
        log.record(version(10), row, row, false);
    }
    for after in [Version::ZERO, version(9)] {
        assert_eq!(log.since(after), News::Unknown);
        assert!(!log.has_news(after));
    }
    assert_eq!(log.since(version(10)), News::Changes(vec![]));
    for row in 0..ROWS {
        log.record(version(11 + row), row, row, false);
        log.record_version(version(11 + row));
    }
    assert_eq!(log.since(version(11)), News::Unknown);
    let News::Changes(rows) = log.since(version(10 + ROWS - 3)) else { panic!("known") };
    assert_eq!(rows, [ROWS - 3, ROWS - 2, ROWS - 1]);
}

/// Guards against an entry that waits for one that is gone, and against one that polls the store
/// although another tells it everything.
#[test]
fn the_store_is_polled_while_no_entry_tells() {
    let new = || Coverage::new(LIMIT, MAX_AGE);
    assert_eq!(new().next(at(0)), Step::Read);
    let mut known = new();
    known.record_version(version(5));
    assert_eq!(known.next(at(0)), Step::Poll(version(5)));
    known.record_version(version(4));
    assert_eq!(known.next(at(0)), Step::Poll(version(5)), "an answer that was overtaken");
    known.record_answer(version(8), at(1_000));
    assert_eq!(known.next(at(1_999)), Step::Wait(at(2_000)));
    assert_eq!(known.next(at(2_000)), Step::Poll(version(8)), "no answer came");
    known.record_answer(version(8), at(1_900));
    assert_eq!(known.next(at(2_000)), Step::Wait(at(2_900)), "answers extend the wait");
    known.end();
    assert_eq!(known.next(at(2_000)), Step::Poll(version(8)), "the reader does not answer");
    known.record_lost_history();
    assert_eq!(known.next(at(2_000)), Step::Read);
    known.record_answer(in_era(2, 3), at(2_000));
    assert_eq!(known.version(), in_era(2, 3), "the reader gave the whole table");
}

/// Guards against news that is late since the entry that tells it is lost right after an answer.
#[test]
fn a_lost_reader_costs_less_than_half_of_the_limit() {
    for limit_ms in [500, 2_500, 10_000] {
        let limit = Duration::from_millis(limit_ms);
        let mut coverage = Coverage::new(limit, MAX_AGE);
        coverage.record_answer(version(1), at(0));
        let covered_ms = (0..limit_ms).take_while(|ms| coverage.is_covered(at(*ms))).count();
        assert!(2 * covered_ms as u64 <= limit_ms, "{covered_ms} ms of {limit_ms}");
        assert!(covered_ms as u128 <= MAX_AGE.as_millis());
    }
}

/// Guards against measures for large fleets in small ones.
#[test]
fn only_zones_of_more_than_six_entries_have_followers() {
    let zones = ["a", "b", "c"].map(Zone::from);
    for (per_zone, expected) in [(0, false), (1, false), (6, false), (7, true)] {
        let entries = zones.iter().flat_map(|zone| std::iter::repeat_n(zone, per_zone));
        assert_eq!(has_followers(entries), expected, "{per_zone} entries a zone");
    }
}
