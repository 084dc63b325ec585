//! The map of holders: spans, its stored row and its deltas.

use {
    hold::{Instance, Map, Span, map::Holder},
    key::{Era, Version, Vm, Zone},
    std::net::SocketAddr,
};

#[test]
fn spans_split_without_loss() {
    struct Case {
        whole: Span,
        part: Span,
        rest: [Option<Span>; 2],
    }
    let span = |first, last| Span { first, last };
    let cases = [
        Case { whole: span(0, 9), part: span(3, 5), rest: [Some(span(0, 2)), Some(span(6, 9))] },
        Case { whole: span(0, 9), part: span(0, 9), rest: [None, None] },
        Case { whole: span(0, 9), part: span(0, 3), rest: [None, Some(span(4, 9))] },
        Case { whole: span(4, 9), part: span(0, 6), rest: [None, Some(span(7, 9))] },
        Case { whole: span(0, 3), part: span(4, 9), rest: [Some(span(0, 3)), None] },
        Case {
            whole: Span::ALL,
            part: span(u16::MAX, u16::MAX),
            rest: [Some(span(0, u16::MAX - 1)), None],
        },
    ];
    for case in cases {
        assert_eq!(case.whole.without(case.part), case.rest, "{:?} - {:?}", case.whole, case.part);
    }
}

#[test]
fn rows_that_are_not_a_complete_map_are_rejected() {
    let whole = Map::vacant().to_bytes(Era::ZERO);
    assert!(Map::parse(&whole, Version::from(1)).is_ok());
    let cases: [&[u8]; 5] = [
        b"",
        b"{}",
        br#"{"holders":[],"holdings":[]}"#,
        br#"{"holders":[],"holdings":[[1,65535,null,0]]}"#,
        br#"{"holders":[],"holdings":[[0,65535,4,0]]}"#,
    ];
    for text in cases {
        assert!(Map::parse(text, Version::from(1)).is_err(), "{}", String::from_utf8_lossy(text));
    }
}

/// A new leader, which gives every key a new fence first, sent the whole map to every entry and
/// filled its link for seconds.
#[test]
fn the_first_map_of_a_new_leader_is_told_in_a_few_bytes() {
    const TARGETS: u16 = 264;
    const SPANS: u16 = 900;
    const MAX_DELTA_BYTES: usize = 1_000;
    let holder = |number: u16| Holder {
        instance: Instance {
            vm: Vm::from(format!("i-{number:010x}").as_str()),
            started_at_ms: 1_773_394_279_091,
        },
        address: SocketAddr::from(([10, 1, 64, 215], 8_006)),
        zone: Zone::from("tt-north-a"),
    };
    let mut base = Map::vacant();
    for number in 0..SPANS {
        let first = number * (u16::MAX / SPANS);
        base.assign(Span { first, last: u16::MAX }, Some(holder(number % TARGETS)));
    }
    let base = Map::parse(&base.to_bytes(Era::ZERO), Version::from(7)).expect("a complete map");
    let mut renewed = base.clone();
    renewed.renew_fences();
    let renewed =
        Map::parse(&renewed.to_bytes(Era::ZERO), Version::from(9)).expect("a complete map");
    let delta = renewed.delta(&base);
    let bytes = serde_json::to_vec(&delta).expect("a delta in JSON").len();
    assert!(bytes <= MAX_DELTA_BYTES, "a delta has {bytes} bytes");
    assert_eq!(base.with_delta(&delta), Some(renewed));
}

#[test]
fn a_row_has_room_for_the_targets_of_a_large_service() {
    const MAX_ROW_BYTES: usize = 65_536;
    let mut map = Map::vacant();
    for number in 0..1_200_u32 {
        let holder = Holder {
            instance: Instance {
                vm: Vm::from(format!("i-{number:010x}").as_str()),
                started_at_ms: 1_779_988_889_866,
            },
            address: ([10, 200, 200, (number % 250) as u8], 65_535).into(),
            zone: Zone::from("a-zone-name"),
        };
        if number < 300 {
            let first = (number * 218) as u16;
            map.assign(Span { first, last: first + 100 }, Some(holder));
        }
    }
    assert!(map.to_bytes(Era::ZERO).len() < MAX_ROW_BYTES, "{}", map.to_bytes(Era::ZERO).len());
}
