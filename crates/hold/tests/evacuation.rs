//! Which zones count as evacuated, and since when, by what the store and other processes say.

use {
    hold::evacuation::{Evacuations, Reading, Row, Word},
    key::{Era, Version, Zone, clock::Tick},
};

/// A version of the store: its era and its number.
type At = (u64, u64);

#[derive(Clone, Copy)]
enum Event {
    /// The store answered with the rows that have changed; the earliest change was at a second.
    Changes { up_to: At, changed_s: u64, rows: &'static [(&'static str, At, bool)] },
    /// The store answered with all rows.
    All { up_to: At, changed_s: u64, rows: &'static [(&'static str, At)] },
    /// Another process said that a zone is evacuated, since a second at the earliest.
    Told { zone: &'static str, version: At, since_s: u64 },
    /// The same, in a message that may have been late.
    Estimated { zone: &'static str, version: At, since_s: u64 },
}

use Event::{All, Changes, Estimated, Told};

fn version((era, number): At) -> Version {
    Version::in_era(Era::from(era), number).expect("a version")
}

fn tick_at_s(second: u64) -> Tick {
    Tick::from(second * 1_000_000)
}

/// Applies events; the store answered each a second after the one before, from second 100 on.
fn apply(events: &[Event]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for (index, event) in events.iter().enumerate() {
        let newest_at = tick_at_s(100 + index as u64);
        let (zone, row, since_s, is_estimate) = match *event {
            Changes { up_to, changed_s, rows } => {
                let to_row = |(zone, row, is_requested): &(&str, At, bool)| Row {
                    zone: Zone::from(*zone),
                    version: version(*row),
                    is_requested: *is_requested,
                };
                evacuations.record_read(Reading {
                    version: version(up_to),
                    complete: false,
                    changed_at: tick_at_s(changed_s),
                    newest_at,
                    rows: rows.iter().map(to_row).collect(),
                });
                continue;
            }
            All { up_to, changed_s, rows } => {
                let to_row = |(zone, row): &(&str, At)| Row {
                    zone: Zone::from(*zone),
                    version: version(*row),
                    is_requested: true,
                };
                evacuations.record_read(Reading {
                    version: version(up_to),
                    complete: true,
                    changed_at: tick_at_s(changed_s),
                    newest_at,
                    rows: rows.iter().map(to_row).collect(),
                });
                continue;
            }
            Told { zone, version, since_s } => (zone, version, since_s, false),
            Estimated { zone, version, since_s } => (zone, version, since_s, true),
        };
        let (zone, version) = (Zone::from(zone), version(row));
        evacuations.record_word(Word { zone, version, since: tick_at_s(since_s), is_estimate });
    }
    evacuations
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// The zones that are evacuated, and since which second.
    expected: &'static [(&'static str, u64)],
}

fn check(cases: &[Case]) {
    for Case { name, events, expected } in cases {
        let known = apply(events);
        let known: Vec<(&str, u64)> = known
            .iter()
            .map(|(zone, evacuation)| (zone.as_str(), evacuation.since.as_millis() / 1_000))
            .collect();
        assert_eq!(known, *expected, "{name}");
    }
}

const NONE: Event = All { up_to: (1, 5), changed_s: 40, rows: &[] };
const ROW: Event = Changes { up_to: (1, 8), changed_s: 103, rows: &[("a", (1, 8), true)] };

/// Guards against targets that close too early or too late: the moment from which the bound counts
/// must be the latest at which the row is known not to have been acknowledged yet.
#[test]
fn the_bound_counts_from_the_earliest_moment_of_the_acknowledgement() {
    check(&[
        Case { name: "a change", events: &[NONE, ROW], expected: &[("a", 103)] },
        Case {
            name: "a change of unknown age after an answer without the row",
            events: &[NONE, Changes { up_to: (1, 8), changed_s: 0, rows: &[("a", (1, 8), true)] }],
            expected: &[("a", 100)],
        },
        Case {
            name: "a first answer",
            events: &[All { up_to: (1, 8), changed_s: 40, rows: &[("a", (1, 8))] }],
            expected: &[("a", 40)],
        },
        Case {
            name: "a first answer, and another process that knows better",
            events: &[
                All { up_to: (1, 8), changed_s: 40, rows: &[("a", (1, 8))] },
                Told { zone: "a", version: (1, 8), since_s: 98 },
            ],
            expected: &[("a", 98)],
        },
        Case {
            name: "a first answer, and an estimate",
            events: &[
                All { up_to: (1, 8), changed_s: 40, rows: &[("a", (1, 8))] },
                Estimated { zone: "a", version: (1, 8), since_s: 98 },
            ],
            expected: &[("a", 40)],
        },
        Case {
            name: "another process, then the store",
            events: &[
                NONE,
                Told { zone: "a", version: (1, 8), since_s: 102 },
                Changes { up_to: (1, 8), changed_s: 60, rows: &[("a", (1, 8), true)] },
            ],
            expected: &[("a", 102)],
        },
        Case {
            name: "an estimate that was too late, then the store",
            events: &[NONE, Estimated { zone: "a", version: (1, 8), since_s: 108 }, ROW],
            expected: &[("a", 103)],
        },
        Case {
            name: "an estimate that was too late, then another process",
            events: &[
                NONE,
                Estimated { zone: "a", version: (1, 8), since_s: 108 },
                Told { zone: "a", version: (1, 8), since_s: 103 },
            ],
            expected: &[("a", 103)],
        },
        Case {
            name: "a row that is read twice",
            events: &[NONE, ROW, All { up_to: (1, 9), changed_s: 104, rows: &[("a", (1, 8))] }],
            expected: &[("a", 103)],
        },
        Case {
            name: "a row that is written again",
            events: &[
                NONE,
                ROW,
                Changes { up_to: (1, 9), changed_s: 109, rows: &[("a", (1, 9), true)] },
            ],
            expected: &[("a", 103)],
        },
        Case {
            name: "a second zone",
            events: &[
                NONE,
                ROW,
                Changes { up_to: (1, 9), changed_s: 109, rows: &[("b", (1, 9), true)] },
            ],
            expected: &[("a", 103), ("b", 109)],
        },
    ]);
}

/// Guards against a zone that is used while its row exists, and against one that stays unused.
#[test]
fn an_evacuation_ends_by_a_newer_read_of_the_store_only() {
    check(&[
        Case {
            name: "the row is removed",
            events: &[
                NONE,
                ROW,
                Changes { up_to: (1, 9), changed_s: 109, rows: &[("a", (1, 9), false)] },
            ],
            expected: &[],
        },
        Case {
            name: "a whole read lacks the row",
            events: &[NONE, ROW, All { up_to: (1, 9), changed_s: 109, rows: &[] }],
            expected: &[],
        },
        Case {
            name: "an older read lacks the row",
            events: &[NONE, ROW, All { up_to: (1, 7), changed_s: 109, rows: &[] }],
            expected: &[("a", 103)],
        },
        Case {
            name: "no change for long, as while the store is away",
            events: &[NONE, ROW, Changes { up_to: (1, 8), changed_s: 109, rows: &[] }],
            expected: &[("a", 103)],
        },
        Case {
            name: "another process speaks of other rows only",
            events: &[NONE, ROW, Told { zone: "b", version: (1, 9), since_s: 104 }],
            expected: &[("a", 103), ("b", 104)],
        },
        Case {
            name: "a row that others have read, and a read from before it",
            events: &[
                Told { zone: "a", version: (1, 8), since_s: 99 },
                All { up_to: (1, 7), changed_s: 40, rows: &[] },
            ],
            expected: &[("a", 99)],
        },
        Case {
            name: "a row that others have read, and a newer read without it",
            events: &[Told { zone: "a", version: (1, 8), since_s: 99 }, NONE, {
                Changes { up_to: (1, 9), changed_s: 109, rows: &[] }
            }],
            expected: &[],
        },
        Case {
            name: "an old word about a row that is gone",
            events: &[
                NONE,
                ROW,
                Changes { up_to: (1, 9), changed_s: 109, rows: &[("a", (1, 9), false)] },
                Told { zone: "a", version: (1, 8), since_s: 103 },
            ],
            expected: &[],
        },
        Case {
            name: "a row written again of which another process told, before its removal is read",
            events: &[
                NONE,
                ROW,
                Told { zone: "a", version: (1, 10), since_s: 104 },
                Changes { up_to: (1, 9), changed_s: 105, rows: &[("a", (1, 9), false)] },
            ],
            expected: &[("a", 103)],
        },
        Case {
            name: "one zone of two is taken back",
            events: &[
                NONE,
                ROW,
                Changes { up_to: (1, 9), changed_s: 109, rows: &[("b", (1, 9), true)] },
                Changes { up_to: (1, 10), changed_s: 110, rows: &[("a", (1, 10), false)] },
            ],
            expected: &[("b", 109)],
        },
    ]);
}

/// Guards against rows of a store that came back from a copy being taken for older or newer ones.
#[test]
fn evacuations_follow_a_store_that_comes_back_from_a_copy() {
    check(&[
        Case {
            name: "the copy has the row",
            events: &[NONE, ROW, All { up_to: (2, 8), changed_s: 40, rows: &[("a", (2, 8))] }],
            expected: &[("a", 103)],
        },
        Case {
            name: "the copy lacks the row",
            events: &[NONE, ROW, All { up_to: (2, 6), changed_s: 40, rows: &[] }],
            expected: &[],
        },
        Case {
            name: "an answer from before the return comes late",
            events: &[
                NONE,
                All { up_to: (2, 6), changed_s: 101, rows: &[("a", (2, 4))] },
                All { up_to: (1, 9), changed_s: 102, rows: &[] },
            ],
            expected: &[("a", 101)],
        },
        Case {
            name: "another process has not seen the return yet",
            events: &[
                NONE,
                ROW,
                All { up_to: (2, 6), changed_s: 40, rows: &[] },
                Told { zone: "a", version: (1, 8), since_s: 103 },
            ],
            expected: &[],
        },
        Case {
            name: "another process has read a row that was written after the return",
            events: &[NONE, ROW, Told { zone: "b", version: (2, 7), since_s: 104 }],
            expected: &[("a", 103), ("b", 104)],
        },
    ]);
}
