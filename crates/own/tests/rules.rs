//! The rules of ownership one by one, each with the case in which it matters.

mod bench;

use {
    bench::{Bench, LEASE_TIMING, LIFE, STEP, name, process, vm},
    conf::services::Fencing,
    key::{Fence, Incarnation, Process, Shard, Stamp, Term, Version, Zone},
    own::{
        Event, Peer, Role, Row, cell,
        lease::{Grant, Holder, LeasedShard, Verdict, digest},
        stop,
    },
    std::time::Duration,
    store::Commit,
};

#[test]
fn a_lost_target_keeps_its_shards_until_its_last_lease_has_run_out() {
    let mut bench = Bench::guarding(Fencing::Full, &[]);
    bench.holders[0] = None;
    bench.run(LIFE - LEASE_TIMING.renewal_interval - STEP * 2);
    assert!(!bench.takes_from(0), "the lease may still run");
    bench.run(LEASE_TIMING.renewal_interval + STEP * 4);
    assert!(bench.takes_from(0), "the lease has run out");
}

#[test]
fn a_lost_target_keeps_its_shards_until_the_deputies_have_stopped() {
    let mut bench = Bench::guarding(Fencing::Full, &["deputy"]);
    bench.holders[0] = None;
    bench.run(LIFE * 4);
    assert!(!bench.takes_from(0), "the deputy may still renew");
    let request = bench.asks.iter().find(|request| request.target == Some(vm(0))).cloned().unwrap();
    let ends_in = Duration::from_millis(300);
    let ack = stop::Ack { process: process("deputy"), ends_in };
    let received_at = bench.now;
    bench.feed(Event::StopAcknowledged { request, ack, received_at });
    bench.run(ends_in - STEP * 2);
    assert!(!bench.takes_from(0), "a lease that the deputy gave may still run");
    bench.run(STEP * 8);
    assert!(bench.takes_from(0), "every lease has run out");
}

#[test]
fn the_leases_of_a_process_count_for_a_while_after_its_end() {
    let mut bench = Bench::guarding(Fencing::Full, &["deputy"]);
    bench.holders[0] = None;
    bench.run(LIFE * 4);
    bench.alive.clear();
    bench.feed(Event::ProcessEnded(process("deputy")));
    bench.run(LIFE - STEP * 2);
    assert!(!bench.takes_from(0), "it may have renewed just before its end");
    bench.run(STEP * 4);
    assert!(bench.takes_from(0), "its last lease has run out");
}

#[test]
fn an_unfenced_target_keeps_its_shards_until_earlier_orders_have_run_out() {
    for (fencing, at_once) in [(Fencing::Full, true), (Fencing::Lease, false)] {
        let mut bench = Bench::guarding(fencing, &[]);
        bench.feed(Event::Drained([vm(0)].into()));
        bench.run(STEP * 3);
        assert_eq!(bench.takes_from(0), at_once, "{:?}", bench.fencing);
        bench.run(LIFE);
        assert!(bench.takes_from(0), "{:?}: earlier orders have run out", bench.fencing);
    }
}

#[test]
fn a_promise_outlives_the_late_answer_to_a_write() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.look(1, row);
    bench.run(LIFE);
    let write = bench.writes.first().cloned().expect("the silent guardian's cell is claimed");
    let request = stop::Request {
        cell: name(),
        term: Term::from(3),
        version: Version::from(3),
        target: None,
    };
    bench.node.acknowledge_stop(&request, bench.now).expect("nothing newer is known");
    bench.feed(Event::Written { id: write.id, result: Commit::Committed(vec![Version::from(2)]) });
    assert_eq!(bench.node.role(&name()), Role::Observer, "the promise covers the row it wrote");
}

#[test]
fn a_guardian_that_cannot_withdraw_an_intent_stops_at_the_limit() {
    const LIMIT: Duration = Duration::from_millis(1_500);
    let mut bench = Bench::with(Fencing::Full, "{ \"move_after_ms\": 1500 }");
    let row = bench.row("me", &[]);
    bench.look(1, row.clone());
    bench.run(LIMIT * 3);
    assert_eq!(bench.held(0), 2, "looks at the table go on");
    bench.mute = true;
    bench.look(
        2,
        Row { failover_intent: Some(cell::FailoverIntent { by: process("other") }), ..row },
    );
    let seen = bench.now;
    // The table can be looked at all the time, yet each look shows the intent.
    bench.run(LIMIT + LIFE + STEP * 2);
    assert_eq!((bench.held(0), bench.held(1)), (0, 0), "seen at {seen}, now {}", bench.now);
}

#[test]
fn a_deputy_renews_until_it_has_promised_to_stop() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.mute = true;
    bench.look(1, row);
    bench.run(LIFE * 2);
    assert_eq!((bench.held(0), bench.held(1)), (2, 2), "the guardian is silent");
    let (term, version) = (Term::from(1), Version::from(1));
    let request = stop::Request { cell: name(), term, version, target: Some(vm(0)) };
    let ack = bench.node.acknowledge_stop(&request, bench.now).expect("nothing newer is known");
    bench.run(ack.ends_in + STEP);
    assert_eq!((bench.held(0), bench.held(1)), (0, 2), "only the target of the promise lapses");
}

#[test]
fn a_new_guardian_counts_the_leases_of_the_one_before() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &[]);
    bench.look(1, row.clone());
    bench.holders[0] = None;
    bench.look(2, Row { primary: Some(process("me")), ..row });
    bench.run(LIFE - STEP * 2);
    assert!(!bench.takes_from(0), "the one before may have renewed just before");
    bench.run(STEP * 4);
    assert!(bench.takes_from(0), "its last lease has run out");
}

#[test]
fn a_stop_is_not_promised_on_an_old_row() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.look(5, row);
    let request = |version: u64| stop::Request {
        cell: name(),
        term: Term::from(1),
        version: Version::from(version),
        target: Some(vm(0)),
    };
    assert!(bench.node.acknowledge_stop(&request(4), bench.now).is_err());
    assert!(bench.node.acknowledge_stop(&request(5), bench.now).is_ok());
}

#[test]
fn only_a_row_that_was_known_before_proves_the_end_of_a_predecessor() {
    // Whether the row was known before the question to the successor was sent.
    for (known_before, ended) in [(true, true), (false, false)] {
        let mut bench = Bench::new(Fencing::Full);
        let row = bench.row("entry", &[]);
        let other = Process { incarnation: Incarnation::from(8), ..process("entry") };
        let peer = Peer { process: other, zone: Zone::from("a"), leaving: false };
        let asked_at = bench.now;
        if known_before {
            bench.look(1, row.clone());
        }
        let asked_at = if known_before { asked_at.plus(STEP) } else { asked_at };
        bench.now = bench.now.plus(STEP * 2);
        bench.feed(Event::PeerHeartbeat { peer, asked_at });
        if !known_before {
            bench.look(1, row);
        }
        assert_eq!(
            bench.node.unresponsive_renewers(&name(), bench.now).is_empty(),
            ended,
            "known before: {known_before}"
        );
    }
}

#[test]
fn the_first_rows_of_a_service_are_written_once_for_all_cells() {
    let mut bench = Bench::new(Fencing::Full);
    bench.run(Duration::from_secs(2));
    let write = bench.writes.first().expect("the first rows are written");
    let transaction = write.transaction();
    let marker = transaction.conditions.iter().find(|condition| condition.name == "dealt/folds");
    assert_eq!(marker.map(|marker| marker.version), Some(Version::ZERO));
    let versions = vec![Version::from(1); transaction.writes.len()];
    let rows = write.rows.len();
    assert_eq!(
        write.result(Commit::Committed(versions)),
        Commit::Committed(vec![Version::from(1); rows])
    );
}

#[test]
fn a_write_without_an_answer_is_repeated_unchanged_and_known_by_its_token() {
    let mut bench = Bench::guarding(Fencing::Full, &[]);
    bench.holders[0] = None;
    bench.run(LIFE * 2);
    let first = bench.writes.last().cloned().expect("the shards are given away");
    bench.feed(Event::Written { id: first.id, result: Commit::Ambiguous });
    bench.run(Duration::from_millis(400));
    let second = bench.writes.last().cloned().expect("the write is repeated");
    assert_eq!(first.rows, second.rows);
    assert_ne!(first.id, second.id);
    let (base, row) = second.rows[0].clone();
    let current = store::Row {
        name: name().row_name().into(),
        version: base.next(),
        value: Some(row.encode()),
    };
    bench.feed(Event::Written { id: second.id, result: Commit::Conflict(vec![current]) });
    let known = bench.node.rows().next().expect("the row is known");
    assert_eq!((known.0, &**known.1), (base.next(), &row));
}

#[test]
fn a_target_that_returns_during_an_unconfirmed_write_is_not_renewed() {
    let mut bench = Bench::guarding(Fencing::Full, &[]);
    let lost = bench.holders[0].take();
    bench.run(LIFE * 2);
    assert!(bench.takes_from(0));
    let write = bench.writes.last().cloned().unwrap();
    bench.feed(Event::Written { id: write.id, result: Commit::Ambiguous });
    bench.holders[0] = lost;
    bench.run(LIFE * 2);
    let held = bench.holders[0].as_ref().unwrap().active_shards(bench.now.as_millis()).count();
    assert_eq!(held, 0, "the write may have given its shards to another");
}

/// An order and what a target that holds shard 1 under stamp 2.2.0 makes of it.
struct Order {
    stamp: (u64, u64, u64),
    incarnation: u64,
    deadline_ms: Option<u64>,
    listed: bool,
    full: Verdict,
    lease: Verdict,
}

const ORDERS: [Order; 7] = [
    Order {
        stamp: (2, 2, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        listed: true,
        full: Verdict::Accepted,
        lease: Verdict::Accepted,
    },
    Order {
        stamp: (2, 2, 1),
        incarnation: 1,
        deadline_ms: Some(900),
        listed: true,
        full: Verdict::Accepted,
        lease: Verdict::Accepted,
    },
    Order {
        stamp: (2, 1, 9),
        incarnation: 1,
        deadline_ms: Some(900),
        listed: true,
        full: Verdict::Stale,
        lease: Verdict::Accepted,
    },
    Order {
        stamp: (1, 9, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        listed: true,
        full: Verdict::Stale,
        lease: Verdict::Accepted,
    },
    Order {
        stamp: (3, 3, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        listed: false,
        full: Verdict::NeedsShards,
        lease: Verdict::NeedsShards,
    },
    Order {
        stamp: (3, 3, 0),
        incarnation: 2,
        deadline_ms: Some(900),
        listed: true,
        full: Verdict::OtherIncarnation,
        lease: Verdict::OtherIncarnation,
    },
    Order {
        stamp: (3, 3, 0),
        incarnation: 1,
        deadline_ms: None,
        listed: false,
        full: Verdict::Accepted,
        lease: Verdict::Accepted,
    },
];

fn order(stamp: (u64, u64, u64), shard: u32, deadline_ms: Option<u64>, listed: bool) -> Grant {
    let shards = vec![LeasedShard { shard: Shard::from(shard), fence: Fence::from(1) }];
    let (term, version, seq) = stamp;
    Grant {
        cell: name(),
        from: process("me"),
        stamp: Stamp { term: Term::from(term), version: Version::from(version), seq },
        incarnation: None,
        deadline_ms,
        digest: digest(&shards),
        shards: listed.then_some(shards),
    }
}

#[test]
fn targets_obey_by_stamp_incarnation_and_list() {
    for fencing in [Fencing::Full, Fencing::Lease] {
        for case in &ORDERS {
            let mut holder = Holder::new(fencing, Incarnation::from(1));
            assert_eq!(holder.apply(&order((2, 2, 0), 1, Some(500), true)), Verdict::Accepted);
            let mut offer = order(case.stamp, 2, case.deadline_ms, case.listed);
            offer.incarnation = Some(Incarnation::from(case.incarnation));
            let expected = if fencing == Fencing::Full { case.full } else { case.lease };
            assert_eq!(holder.apply(&offer), expected, "{fencing:?} {:?}", case.stamp);
            let obeyed = expected == Verdict::Accepted && case.deadline_ms.is_some();
            let fence = Fence::from(1);
            assert_eq!(holder.holds(Shard::from(2), fence, 400), obeyed, "{:?}", case.stamp);
            assert_eq!(holder.holds(Shard::from(1), fence, 400), !obeyed, "{:?}", case.stamp);
            assert!(!holder.holds(Shard::from(2), fence, 900), "a lease ends at its deadline");
        }
    }
}

#[test]
fn a_target_that_compares_fences_runs_nothing_under_another() {
    for (fencing, runs) in [(Fencing::Full, false), (Fencing::Lease, true)] {
        let mut holder = Holder::new(fencing, Incarnation::from(1));
        holder.apply(&order((1, 1, 0), 1, Some(500), true));
        assert_eq!(holder.holds(Shard::from(1), Fence::from(2), 100), runs, "{fencing:?}");
    }
}
