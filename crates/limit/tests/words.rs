//! What entries believe of a target's limit: the latest word wins, wherever it comes from.

use {
    hold::Instance,
    key::{Vm, clock::Tick},
    limit::{Board, Candidate, Change, Permit, Rate, Request, Table, Word},
    std::time::Duration,
};

const NOT_WAITING: Request = Request { max_wait: Duration::ZERO, is_urgent: true };

fn tick_at_ms(ms: u64) -> Tick {
    Tick::from(1_000_000 + ms * 1_000)
}

fn target(number: u8) -> Instance {
    Instance { vm: Vm::from(format!("t{number}").as_str()), started_at_ms: 1 }
}

fn rate(requests_per_s: f64) -> Option<Rate> {
    Rate::new(requests_per_s)
}

#[test]
fn a_value_that_is_no_rate_is_none() {
    assert_eq!(Rate::new(f64::NAN), None);
    assert_eq!(Rate::new(f64::INFINITY), None);
    assert_eq!(Rate::new(-1.0), None);
    assert!(Rate::new(0.0).is_some_and(|rate| rate.requests_per_s() > 0.0));
}

#[test]
fn the_latest_word_about_a_limit_wins() {
    /// One answer: when its request was sent, when it was received, and the rate that it names.
    type Answer = (u64, u64, Option<Rate>);
    struct Case {
        name: &'static str,
        answers: Vec<Answer>,
        expected: Option<Rate>,
    }
    let cases = [
        Case { name: "no limit", answers: vec![(0, 5, None)], expected: None },
        Case { name: "a limit", answers: vec![(0, 5, rate(3.0))], expected: rate(3.0) },
        Case {
            name: "another limit",
            answers: vec![(0, 5, rate(3.0)), (6, 9, rate(7.0))],
            expected: rate(7.0),
        },
        Case {
            name: "a limit that is over",
            answers: vec![(0, 5, rate(3.0)), (6, 9, None)],
            expected: None,
        },
        Case {
            name: "an answer without a limit that was under way before",
            answers: vec![(2, 5, rate(3.0)), (1, 9, None)],
            expected: rate(3.0),
        },
        Case {
            name: "a limit again",
            answers: vec![(0, 5, rate(3.0)), (6, 9, None), (10, 12, rate(2.0))],
            expected: rate(2.0),
        },
    ];
    for case in cases {
        let mut table = Table::default();
        for (sent_at, received_at, rate) in case.answers {
            table.record_answer(&target(1), rate, tick_at_ms(sent_at), tick_at_ms(received_at));
        }
        let limit = table.limit(&target(1), tick_at_ms(20));
        assert_eq!(limit.map(|limit| limit.rate), case.expected, "{}", case.name);
    }
}

#[test]
fn an_older_word_of_another_entry_changes_nothing() {
    let mut table = Table::default();
    table.record_answer(&target(1), rate(3.0), tick_at_ms(0), tick_at_ms(5));
    table.record_answer(&target(1), None, tick_at_ms(10), tick_at_ms(12));
    let late = Word { rate: rate(3.0), at: tick_at_ms(9) };
    assert_eq!(table.merge(&target(1), late), None);
    assert_eq!(table.limit(&target(1), tick_at_ms(20)), None);
    let newer = Word { rate: rate(4.0), at: tick_at_ms(15) };
    assert_eq!(table.merge(&target(1), newer), Some(Change { from: None, to: rate(4.0) }));
}

#[test]
fn a_target_without_a_limit_needs_no_permit() {
    let mut table = Table::default();
    table.record_answer(&target(1), rate(1.0), tick_at_ms(0), tick_at_ms(5));
    assert!(matches!(
        table.take_permit(&target(1), NOT_WAITING, tick_at_ms(6)),
        Permit::Refused(_)
    ));
    table.record_answer(&target(1), None, tick_at_ms(10), tick_at_ms(12));
    for _ in 0..100 {
        let permit = table.take_permit(&target(1), NOT_WAITING, tick_at_ms(20));
        assert_eq!(permit, Permit::After(Duration::ZERO));
    }
}

#[test]
fn less_urgent_requests_leave_a_permit_for_urgent_ones() {
    let mut table = Table::default();
    table.record_answer(&target(1), rate(1.0), tick_at_ms(0), tick_at_ms(0));
    table.take_permit(&target(1), NOT_WAITING, tick_at_ms(0));
    let less_urgent = Request { is_urgent: false, ..NOT_WAITING };
    let now = tick_at_ms(1_500);
    assert!(matches!(table.take_permit(&target(1), less_urgent, now), Permit::Refused(_)));
    assert_eq!(table.take_permit(&target(1), NOT_WAITING, now), Permit::After(Duration::ZERO));
}

#[test]
fn a_target_that_is_not_heard_gets_a_trickle() {
    let mut table = Table::default();
    table.record_answer(&target(1), rate(1.0), tick_at_ms(0), tick_at_ms(0));
    assert!(!table.needs_trickle(&target(1), 10, tick_at_ms(900)));
    assert!(table.needs_trickle(&target(1), 10, tick_at_ms(1_100)));
    table.avoid(&target(1), Duration::from_secs(1), tick_at_ms(1_000));
    assert!(!table.needs_trickle(&target(1), 10, tick_at_ms(1_100)));
    assert!(!table.needs_trickle(&target(2), 10, tick_at_ms(1_100)));
}

fn candidate(number: u8, power: f64) -> Candidate {
    let address = ([10, 0, 0, number], 80).into();
    Candidate { vm: Vm::from(format!("e{number}").as_str()), address, power }
}

#[test]
fn entries_are_told_what_has_changed_since_their_last_report() {
    let mut table = Table::default();
    let mut board = Board::default();
    let candidates: Vec<Candidate> = (1..=9).map(|number| candidate(number, 0.2)).collect();
    table.record_answer(&target(1), rate(3.0), tick_at_ms(0), tick_at_ms(0));
    board.update(&mut table, &candidates);
    let first = board.updates_since(0, &table, tick_at_ms(1));
    assert_eq!(first.len(), 1);
    assert!(first[0].coordinator.is_some());
    let known = board.revision();
    table.record_answer(&target(1), rate(3.0), tick_at_ms(2), tick_at_ms(3));
    table.record_answer(&target(2), rate(5.0), tick_at_ms(2), tick_at_ms(3));
    board.update(&mut table, &candidates);
    let second = board.updates_since(known, &table, tick_at_ms(4));
    let targets: Vec<&Instance> = second.iter().map(|update| &update.target).collect();
    assert_eq!(targets, [&target(2)]);
    let known = board.revision();
    table.record_answer(&target(1), None, tick_at_ms(5), tick_at_ms(6));
    board.update(&mut table, &candidates);
    let third = board.updates_since(known, &table, tick_at_ms(7));
    assert_eq!(third.len(), 1);
    assert_eq!((third[0].rate, third[0].coordinator), (None, None));
}

#[test]
fn another_leader_chooses_the_same_strong_coordinators() {
    let mut candidates: Vec<Candidate> = (10..90).map(|number| candidate(number, 0.1)).collect();
    candidates.extend((1..=6).map(|number| candidate(number, 0.5)));
    let coordinators = |candidates: &[Candidate]| {
        let mut table = Table::default();
        for number in 0..100 {
            table.record_answer(&target(number), rate(3.0), tick_at_ms(0), tick_at_ms(0));
        }
        let mut board = Board::default();
        board.update(&mut table, candidates);
        let updates = board.updates_since(0, &table, tick_at_ms(1));
        updates.into_iter().map(|update| update.coordinator).collect::<Vec<_>>()
    };
    let all = coordinators(&candidates);
    candidates.reverse();
    assert_eq!(coordinators(&candidates), all);
    let strong: Vec<_> = (1..=6).map(|number| Some(candidate(number, 0.5).address)).collect();
    assert!(all.iter().all(|coordinator| strong.contains(coordinator)));
    assert!(strong.iter().all(|address| all.contains(address)), "one entry has nothing to do");
    candidates.retain(|candidate| candidate.vm.as_str() != "e3");
    let without = coordinators(&candidates);
    let moved = all.iter().zip(&without).filter(|(before, after)| before != after).count();
    assert_eq!(moved, all.iter().filter(|address| **address == strong[2]).count());
}
