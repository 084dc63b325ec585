//! What the planner does with the row of its map.

use {
    crate::fixture::{
        Fixture, SETTLE_INTERVAL_MS, config, count_grants, instance, registration, tick_at_ms,
    },
    hold::{
        Action, Map, Planner, Span,
        planner::{Outcome, WriteOutcome},
        registry::State,
    },
    key::{Era, Fence, Service, Version},
};

#[test]
fn an_unresolved_write_is_superseded_and_the_keys_it_reassigns_are_not_granted() {
    let mut fixture = Fixture::new(2);
    fixture.planner.record_instance_end(&instance(1, 1));
    let actions = fixture.advance(10);
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    fixture.planner.record_write(WriteOutcome::Unknown);
    assert!(fixture.planner.needs_row());
    let before_read = fixture.advance(1_000);
    let to_former = before_read.iter().any(
        |action| matches!(action, Action::Grant { instance: to, .. } if *to == instance(1, 1)),
    );
    assert!(!to_former, "{before_read:?}");
    let row = fixture.planner.map().clone();
    let version = row.version;
    fixture.planner.record_row(Some((row, version)));
    let again = fixture.advance(10);
    assert!(again.iter().any(|action| matches!(action, Action::Write(_))), "{again:?}");
}

/// The store never accepts a map that is too long, so writing it again helps nobody.
#[test]
fn a_rejected_write_is_not_repeated_unchanged() {
    let is_write = |action: &Action| matches!(action, Action::Write(_));
    let mut fixture = Fixture::new(3);
    fixture.planner.record_instance_end(&instance(1, 1));
    assert!(fixture.advance(10).iter().any(is_write));
    fixture.planner.record_write(WriteOutcome::Rejected);
    assert!(!fixture.planner.needs_row(), "a rejected write leaves no doubt");
    for _ in 0..20 {
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        assert!(!actions.iter().any(is_write), "{actions:?}");
        fixture.carry_out(actions);
    }
    fixture.planner.record_instance_end(&instance(2, 1));
    assert!(fixture.advance(SETTLE_INTERVAL_MS).iter().any(is_write), "another map is written");
}

#[test]
fn a_new_leader_sends_no_grants_before_its_own_fences_are_written() {
    let first = Fixture::new(2);
    let bytes = first.planner.map().to_bytes(Era::ZERO);
    let map = Map::parse(&bytes, Version::from(200)).expect("a complete map");
    let mut next = Planner::new(Service::from("keyed"), config(), Some(map), tick_at_ms(9_000));
    let actions = next.next_actions(&first.registry, tick_at_ms(9_000));
    assert_eq!(count_grants(&actions), 0, "{actions:?}");
    assert!(matches!(actions.as_slice(), [Action::Write(_)]));
    next.record_write(WriteOutcome::Committed(Version::from(300)));
    let actions = next.next_actions(&first.registry, tick_at_ms(9_010));
    assert_eq!(count_grants(&actions), 2, "{actions:?}");
}

#[test]
fn a_delta_turns_a_map_into_the_next_version() {
    let mut fixture = Fixture::new(3);
    let mut current = fixture.planner.map().clone();
    fixture.register(registration(1, 1, State::Leaving));
    for _ in 0..40 {
        for action in fixture.advance(50) {
            match action {
                Action::Write(_) => {
                    fixture.commit_write();
                    let map = fixture.planner.map();
                    let delta = map.delta(&current);
                    current =
                        current.with_delta(&delta).expect("the delta applies to the previous map");
                    assert_eq!(current.version, map.version);
                    for key in (0..=u16::MAX).step_by(499) {
                        let holder = |map: &Map| {
                            let assignment =
                                *map.assignment(key).expect("every key has an assignment");
                            (map.holder(&assignment).cloned(), assignment.fence)
                        };
                        assert_eq!(holder(&current), holder(map), "key {key}");
                    }
                    assert_eq!(current.with_delta(&delta), None, "a delta applies only once");
                }
                Action::Grant { instance, grants, .. } => {
                    fixture.record_outcome(&instance, &grants, Outcome::Granted);
                }
                Action::Release { instance, span, .. } => {
                    fixture.planner.record_release(&instance, span, Ok(None));
                }
            }
        }
    }
    assert_eq!(fixture.holder(0).filter(|instance| instance.vm.as_str() == "t1"), None);
}

#[test]
fn a_row_that_went_back_is_written_again_and_changes_no_holder() {
    /// Makes the row that the store has from the map that the planner knows.
    type ToRow = fn(&Map) -> Option<Map>;
    let version = |era, number| Version::in_era(Era::from(era), number).expect("a small version");
    let rows: [(&str, ToRow); 3] = [
        ("the row is lost", |_| None),
        ("the row is older", |map| {
            let mut older = map.clone();
            older.assign(Span::ALL, map.holders.first().cloned());
            Some(older)
        }),
        ("the row is the same", |map| Some(map.clone())),
    ];
    for (name, row) in rows {
        let mut fixture = Fixture::new(3);
        let before = fixture.planner.map().clone();
        let number = before.version.number() - u64::from(name == "the row is older");
        let row_version = version(1, number);
        let row = row(&before).map(|map| (Map { version: version(0, number), ..map }, row_version));
        let expected = row.as_ref().map_or(Version::ZERO, |(_, version)| *version);
        fixture.planner.record_row(row);
        assert_eq!(fixture.planner.row_version(), expected, "{name}");
        let actions = fixture.advance(10);
        let is_write = |action: &Action| *action == Action::Write(before.clone());
        assert!(actions.iter().any(is_write), "{name}: {actions:?}");
        let written = version(1, number + 5);
        fixture.planner.record_write(WriteOutcome::Committed(written));
        assert_eq!(fixture.planner.row_version(), written, "{name}");
        assert_eq!(fixture.planner.map().assignments, before.assignments, "{name}");
        fixture.run_until_settled();
        assert_eq!(fixture.planner.map().version, written, "{name}: it is written once");
    }
}

#[test]
fn a_map_keeps_the_era_in_which_it_was_written() {
    let map = Fixture::new(2).planner.map().clone();
    let row_version = Version::in_era(Era::from(3), 40).expect("a small version");
    let parse = |bytes: &[u8]| Map::parse(bytes, row_version).expect("a complete row").version;
    assert_eq!(parse(&map.to_bytes(Era::from(3))), row_version);
    assert_eq!(parse(&map.to_bytes(Era::from(1))).era(), Era::from(1));
    let of_earlier_release = serde_json::to_vec(&map).expect("plain fields");
    assert_eq!(parse(&of_earlier_release), row_version);
}

#[test]
fn spans_are_split_only_while_the_row_has_room() {
    const MAX_ROW_BYTES: usize = 65_536;
    const TARGETS: u16 = 200;
    const ROUNDS: u16 = 150;
    let mut fixture = Fixture::new(TARGETS);
    let era = Era::from(1);
    fixture.version = Version::in_era(era, 900_000_000).expect("a small version").get();
    for round in 0..ROUNDS {
        // Hot keys wander through all spans, so that each round splits more of them.
        for key in 0..64_u16 {
            let key = key.wrapping_mul(1_021).wrapping_add(round.wrapping_mul(163));
            fixture.planner.load_mut().record_requests(key, 40);
        }
        let actions = fixture.advance(SETTLE_INTERVAL_MS);
        fixture.carry_out(actions);
        fixture.run_until_settled();
    }
    let map = fixture.planner.map();
    assert!(map.assignments.len() > 1_000, "{} spans", map.assignments.len());
    let row_bytes = map.to_bytes(era).len();
    assert!(row_bytes < MAX_ROW_BYTES, "{row_bytes} bytes, {} spans", map.assignments.len());
}

#[test]
fn fences_of_every_era_outlive_a_row() {
    let version = |era, number| Version::in_era(Era::from(era), number).expect("a small version");
    let mut map = Fixture::new(3).planner.map().clone();
    let fences = [version(0, 7), version(1, 7), version(2, 9), version(2, 12)];
    for (assignment, fence) in map.assignments.iter_mut().zip(fences) {
        assignment.fence = Fence::from(fence.get());
    }
    for era in [1, 2] {
        let row = map.to_bytes(Era::from(era));
        let parsed = Map::parse(&row, version(2, 20)).expect("a complete row");
        let pairs = map.assignments.iter().zip(&parsed.assignments).take(fences.len());
        for (before, after) in pairs.skip(1) {
            assert_eq!(before.fence, after.fence, "written in era {era}");
        }
    }
}
