//! How fast batches of grants begin.

use {
    hold::{Outbox, outbox::Ticket},
    key::clock::Tick,
    std::{collections::BTreeMap, time::Duration},
};

/// The processor time of one batch in the process that sends it.
const BATCH_COST: Duration = Duration::from_millis(3);
const STEP: Duration = Duration::from_millis(1);
/// The time limit of a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

struct Case {
    name: &'static str,
    batches: usize,
    /// Each batch whose number is a multiple of this gets no answer.
    silent_every: Option<usize>,
    /// The time by which all batches that are answered have ended.
    done_within: Duration,
}

const CASES: [Case; 5] = [
    Case {
        name: "a small fleet",
        batches: 20,
        silent_every: None,
        done_within: Duration::from_millis(100),
    },
    Case {
        name: "a takeover at 500 targets",
        batches: 500,
        silent_every: None,
        done_within: Duration::from_millis(2_000),
    },
    Case {
        name: "a takeover at 2,000 targets",
        batches: 2_000,
        silent_every: None,
        done_within: Duration::from_millis(7_000),
    },
    Case {
        name: "a fifth of 500 targets are cut off",
        batches: 500,
        silent_every: Some(5),
        done_within: Duration::from_millis(2_000),
    },
    Case {
        name: "half of 500 targets are cut off",
        batches: 500,
        silent_every: Some(2),
        done_within: Duration::from_millis(2_000),
    },
];

/// A process that works on its batches in turns, so that each takes longer the more there are.
fn run(case: &Case) -> (Duration, Duration) {
    let mut outbox = Outbox::default();
    for number in 0..case.batches {
        outbox.push(number);
    }
    let is_silent =
        |number: usize| case.silent_every.is_some_and(|every| number.is_multiple_of(every));
    let start = Tick::from(1_000_000);
    let (mut now, mut last_end, mut longest) = (start, start, Duration::ZERO);
    let mut sent: BTreeMap<Ticket, (usize, Tick, Duration)> = BTreeMap::new();
    let mut silent: Vec<(Ticket, Tick)> = Vec::new();
    while outbox.waiting() > 0 || !sent.is_empty() {
        while let Some((ticket, number)) = outbox.begin_next(now) {
            if is_silent(number) {
                silent.push((ticket, now));
            } else {
                sent.insert(ticket, (number, now, BATCH_COST));
            }
        }
        now = now.plus(STEP);
        let share = STEP / u32::try_from(sent.len().max(1)).expect("few batches");
        for (_, _, left) in sent.values_mut() {
            *left = left.saturating_sub(share);
        }
        let is_done = |entry: &(&Ticket, &(usize, Tick, Duration))| entry.1.2.is_zero();
        let done: Vec<Ticket> = sent.iter().filter(is_done).map(|(ticket, _)| *ticket).collect();
        for ticket in done {
            let (_, begun_at, _) = sent.remove(&ticket).expect("a batch that was sent");
            longest = longest.max(now.since(begun_at));
            last_end = now;
            outbox.record_end(ticket, true, now);
        }
        silent.retain(|(ticket, begun_at)| {
            let is_late = now.since(*begun_at) >= GRANT_TIMEOUT;
            if is_late {
                outbox.record_end(*ticket, false, now);
            }
            !is_late
        });
    }
    (last_end.since(start), longest)
}

#[test]
fn grants_that_wait_in_the_sender_are_not_lost() {
    for case in &CASES {
        let (total, longest) = run(case);
        assert!(longest < GRANT_TIMEOUT, "{}: a batch took {longest:?}", case.name);
        assert!(total <= case.done_within, "{}: all took {total:?}", case.name);
    }
}

#[test]
fn batches_of_a_former_leadership_are_dropped_and_its_tickets_not_given_again() {
    let mut outbox = Outbox::default();
    outbox.push("sent");
    let now = Tick::from(1_000_000);
    let (first, _) = outbox.begin_next(now).expect("a batch");
    outbox.push("waiting");
    outbox.discard_waiting();
    assert_eq!(outbox.begin_next(now), None);
    outbox.push("later");
    let (second, batch) = outbox.begin_next(now).expect("a batch");
    assert_eq!(batch, "later");
    assert_ne!(first, second);
}
