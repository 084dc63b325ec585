//! One test for each rule of ownership, in a case where the rule makes a difference.

mod bench;

use {
    bench::{Bench, LEASE_LIFETIME, LEASE_TIMING, STEP_INTERVAL, cell_name, process, vm},
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
fn a_lost_target_keeps_its_shards_until_its_last_lease_expires() {
    let mut bench = Bench::as_primary(Fencing::Full, &[]);
    bench.holders[0] = None;
    bench.run_for(LEASE_LIFETIME - LEASE_TIMING.renewal_interval - STEP_INTERVAL * 2);
    assert!(!bench.reassigns_shards_of(0), "the lease may still be in force");
    bench.run_for(LEASE_TIMING.renewal_interval + STEP_INTERVAL * 4);
    assert!(bench.reassigns_shards_of(0), "the lease has expired");
}

#[test]
fn a_lost_target_keeps_its_shards_until_the_standbys_have_stopped() {
    let mut bench = Bench::as_primary(Fencing::Full, &["deputy"]);
    bench.holders[0] = None;
    bench.run_for(LEASE_LIFETIME * 4);
    assert!(!bench.reassigns_shards_of(0), "the standby may still renew");
    let request =
        bench.stop_requests.iter().find(|request| request.target == Some(vm(0))).cloned().unwrap();
    let ends_in = Duration::from_millis(300);
    let ack = stop::Ack { process: process("deputy"), ends_in };
    let received_at = bench.now;
    bench.handle_event(Event::StopAcknowledged { request, ack, received_at });
    bench.run_for(ends_in - STEP_INTERVAL * 2);
    assert!(
        !bench.reassigns_shards_of(0),
        "a lease that the standby granted may still be in force"
    );
    bench.run_for(STEP_INTERVAL * 8);
    assert!(bench.reassigns_shards_of(0), "every lease has expired");
}

#[test]
fn the_leases_of_a_process_stay_in_force_after_its_end() {
    let mut bench = Bench::as_primary(Fencing::Full, &["deputy"]);
    bench.holders[0] = None;
    bench.run_for(LEASE_LIFETIME * 4);
    bench.responsive_peers.clear();
    bench.handle_event(Event::ProcessEnded(process("deputy")));
    bench.run_for(LEASE_LIFETIME - STEP_INTERVAL * 2);
    assert!(!bench.reassigns_shards_of(0), "the process may have renewed just before its end");
    bench.run_for(STEP_INTERVAL * 4);
    assert!(bench.reassigns_shards_of(0), "the last lease of the process has expired");
}

#[test]
fn an_unfenced_target_keeps_its_shards_until_earlier_leases_expire() {
    for (fencing, is_immediate) in [(Fencing::Full, true), (Fencing::Lease, false)] {
        let mut bench = Bench::as_primary(fencing, &[]);
        bench.handle_event(Event::Drained([vm(0)].into()));
        bench.run_for(STEP_INTERVAL * 3);
        assert_eq!(bench.reassigns_shards_of(0), is_immediate, "{:?}", bench.fencing);
        bench.run_for(LEASE_LIFETIME);
        assert!(bench.reassigns_shards_of(0), "{:?}: earlier leases have expired", bench.fencing);
    }
}

#[test]
fn a_stop_acknowledgement_survives_the_late_reply_to_a_write() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.poll_table(1, row);
    bench.run_for(LEASE_LIFETIME);
    let write =
        bench.writes.first().cloned().expect("the cell of the unresponsive primary is taken over");
    let request = stop::Request {
        cell: cell_name(),
        term: Term::from(3),
        version: Version::from(3),
        target: None,
    };
    bench.node.acknowledge_stop(&request, bench.now).expect("no newer row is known");
    bench.handle_event(Event::Written {
        id: write.id,
        result: Commit::Committed(vec![Version::from(2)]),
    });
    assert_eq!(
        bench.node.role(&cell_name()),
        Role::Observer,
        "the acknowledgement covers the row that was written"
    );
}

#[test]
fn a_primary_that_cannot_withdraw_a_failover_intent_stops_at_the_limit() {
    const MOVE_AFTER: Duration = Duration::from_millis(1_500);
    let mut bench = Bench::with_isolation(Fencing::Full, "{ \"move_after_ms\": 1500 }");
    let row = bench.row("me", &[]);
    bench.poll_table(1, row.clone());
    bench.run_for(MOVE_AFTER * 3);
    assert_eq!(bench.leased_shard_count(0), 2, "polls of the table succeed");
    bench.drop_write_results = true;
    bench.poll_table(
        2,
        Row { failover_intent: Some(cell::FailoverIntent { by: process("other") }), ..row },
    );
    let intent_seen_at = bench.now;
    // The table can still be polled, but each poll shows the intent.
    bench.run_for(MOVE_AFTER + LEASE_LIFETIME + STEP_INTERVAL * 2);
    assert_eq!(
        (bench.leased_shard_count(0), bench.leased_shard_count(1)),
        (0, 0),
        "intent seen at {intent_seen_at}, now {}",
        bench.now
    );
}

#[test]
fn a_standby_renews_until_it_acknowledges_a_stop() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.drop_write_results = true;
    bench.poll_table(1, row);
    bench.run_for(LEASE_LIFETIME * 2);
    assert_eq!(
        (bench.leased_shard_count(0), bench.leased_shard_count(1)),
        (2, 2),
        "the standby renews for the unresponsive primary"
    );
    let (term, version) = (Term::from(1), Version::from(1));
    let request = stop::Request { cell: cell_name(), term, version, target: Some(vm(0)) };
    let ack = bench.node.acknowledge_stop(&request, bench.now).expect("no newer row is known");
    bench.run_for(ack.ends_in + STEP_INTERVAL);
    assert_eq!(
        (bench.leased_shard_count(0), bench.leased_shard_count(1)),
        (0, 2),
        "only the lease of the target in the request expires"
    );
}

#[test]
fn a_new_primary_waits_for_the_leases_of_its_predecessor() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &[]);
    bench.poll_table(1, row.clone());
    bench.holders[0] = None;
    bench.poll_table(2, Row { primary: Some(process("me")), ..row });
    bench.run_for(LEASE_LIFETIME - STEP_INTERVAL * 2);
    assert!(!bench.reassigns_shards_of(0), "the predecessor may have renewed just before");
    bench.run_for(STEP_INTERVAL * 4);
    assert!(bench.reassigns_shards_of(0), "the last lease of the predecessor has expired");
}

#[test]
fn a_stop_request_on_an_outdated_row_is_refused() {
    let mut bench = Bench::new(Fencing::Full);
    let row = bench.row("other", &["me"]);
    bench.poll_table(5, row);
    let request = |version: u64| stop::Request {
        cell: cell_name(),
        term: Term::from(1),
        version: Version::from(version),
        target: Some(vm(0)),
    };
    assert!(bench.node.acknowledge_stop(&request(4), bench.now).is_err());
    assert!(bench.node.acknowledge_stop(&request(5), bench.now).is_ok());
}

#[test]
fn only_a_row_known_before_a_heartbeat_request_proves_the_end_of_a_predecessor() {
    // Whether the row was known before the heartbeat of the successor was requested, and whether
    // it then proves the end of the process that it names.
    for (known_before, has_ended) in [(true, true), (false, false)] {
        let mut bench = Bench::new(Fencing::Full);
        let row = bench.row("entry", &[]);
        let other = Process { incarnation: Incarnation::from(8), ..process("entry") };
        let peer = Peer { process: other, zone: Zone::from("a"), leaving: false };
        let asked_at = bench.now;
        if known_before {
            bench.poll_table(1, row.clone());
        }
        let asked_at = if known_before { asked_at.plus(STEP_INTERVAL) } else { asked_at };
        bench.now = bench.now.plus(STEP_INTERVAL * 2);
        bench.handle_event(Event::PeerHeartbeat { peer, asked_at });
        if !known_before {
            bench.poll_table(1, row);
        }
        assert_eq!(
            bench.node.unresponsive_renewers(&cell_name(), bench.now).is_empty(),
            has_ended,
            "known before: {known_before}"
        );
    }
}

#[test]
fn the_first_rows_of_all_cells_of_a_service_are_written_once() {
    let mut bench = Bench::new(Fencing::Full);
    bench.run_for(Duration::from_secs(2));
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
fn a_write_without_a_reply_is_retried_unchanged_and_recognized_by_its_token() {
    let mut bench = Bench::as_primary(Fencing::Full, &[]);
    bench.holders[0] = None;
    bench.run_for(LEASE_LIFETIME * 2);
    let first_try = bench.writes.last().cloned().expect("the shards are reassigned");
    bench.handle_event(Event::Written { id: first_try.id, result: Commit::Ambiguous });
    bench.run_for(Duration::from_millis(400));
    let second_try = bench.writes.last().cloned().expect("the write is retried");
    assert_eq!(first_try.rows, second_try.rows);
    assert_ne!(first_try.id, second_try.id);
    let (base, row) = second_try.rows[0].clone();
    let current = store::Row {
        name: cell_name().row_name().into(),
        version: base.next(),
        value: Some(row.encode()),
    };
    bench.handle_event(Event::Written {
        id: second_try.id,
        result: Commit::Conflict(vec![current]),
    });
    let known = bench.node.rows().next().expect("the row is known");
    assert_eq!((known.0, &**known.1), (base.next(), &row));
}

#[test]
fn a_target_that_returns_during_an_unconfirmed_write_is_not_renewed() {
    let mut bench = Bench::as_primary(Fencing::Full, &[]);
    let lost_holder = bench.holders[0].take();
    bench.run_for(LEASE_LIFETIME * 2);
    assert!(bench.reassigns_shards_of(0));
    let write = bench.writes.last().cloned().unwrap();
    bench.handle_event(Event::Written { id: write.id, result: Commit::Ambiguous });
    bench.holders[0] = lost_holder;
    bench.run_for(LEASE_LIFETIME * 2);
    let held = bench.holders[0].as_ref().unwrap().active_shards(bench.now.as_millis()).count();
    assert_eq!(held, 0, "the write may have reassigned its shards");
}

/// A grant of shard 2, and the verdict of a target that was granted shard 1 under stamp 2.2.0.
struct GrantCase {
    stamp: (u64, u64, u64),
    incarnation: u64,
    deadline_ms: Option<u64>,
    lists_shards: bool,
    full_fencing: Verdict,
    lease_fencing: Verdict,
}

const GRANT_CASES: [GrantCase; 7] = [
    GrantCase {
        stamp: (2, 2, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        lists_shards: true,
        full_fencing: Verdict::Accepted,
        lease_fencing: Verdict::Accepted,
    },
    GrantCase {
        stamp: (2, 2, 1),
        incarnation: 1,
        deadline_ms: Some(900),
        lists_shards: true,
        full_fencing: Verdict::Accepted,
        lease_fencing: Verdict::Accepted,
    },
    GrantCase {
        stamp: (2, 1, 9),
        incarnation: 1,
        deadline_ms: Some(900),
        lists_shards: true,
        full_fencing: Verdict::Stale,
        lease_fencing: Verdict::Accepted,
    },
    GrantCase {
        stamp: (1, 9, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        lists_shards: true,
        full_fencing: Verdict::Stale,
        lease_fencing: Verdict::Accepted,
    },
    GrantCase {
        stamp: (3, 3, 0),
        incarnation: 1,
        deadline_ms: Some(900),
        lists_shards: false,
        full_fencing: Verdict::NeedsShards,
        lease_fencing: Verdict::NeedsShards,
    },
    GrantCase {
        stamp: (3, 3, 0),
        incarnation: 2,
        deadline_ms: Some(900),
        lists_shards: true,
        full_fencing: Verdict::OtherIncarnation,
        lease_fencing: Verdict::OtherIncarnation,
    },
    GrantCase {
        stamp: (3, 3, 0),
        incarnation: 1,
        deadline_ms: None,
        lists_shards: false,
        full_fencing: Verdict::Accepted,
        lease_fencing: Verdict::Accepted,
    },
];

fn grant(
    stamp: (u64, u64, u64),
    shard: u32,
    deadline_ms: Option<u64>,
    lists_shards: bool,
) -> Grant {
    let shards = vec![LeasedShard { shard: Shard::from(shard), fence: Fence::from(1) }];
    let (term, version, seq) = stamp;
    Grant {
        cell: cell_name(),
        from: process("me"),
        stamp: Stamp { term: Term::from(term), version: Version::from(version), seq },
        incarnation: None,
        deadline_ms,
        digest: digest(&shards),
        shards: lists_shards.then_some(shards),
    }
}

#[test]
fn targets_apply_grants_by_stamp_incarnation_and_shard_list() {
    for fencing in [Fencing::Full, Fencing::Lease] {
        for case in &GRANT_CASES {
            let mut holder = Holder::new(fencing, Incarnation::from(1));
            assert_eq!(holder.apply(&grant((2, 2, 0), 1, Some(500), true)), Verdict::Accepted);
            let mut case_grant = grant(case.stamp, 2, case.deadline_ms, case.lists_shards);
            case_grant.incarnation = Some(Incarnation::from(case.incarnation));
            let expected =
                if fencing == Fencing::Full { case.full_fencing } else { case.lease_fencing };
            assert_eq!(holder.apply(&case_grant), expected, "{fencing:?} {:?}", case.stamp);
            let is_applied = expected == Verdict::Accepted && case.deadline_ms.is_some();
            let fence = Fence::from(1);
            assert_eq!(holder.holds(Shard::from(2), fence, 400), is_applied, "{:?}", case.stamp);
            assert_eq!(holder.holds(Shard::from(1), fence, 400), !is_applied, "{:?}", case.stamp);
            assert!(!holder.holds(Shard::from(2), fence, 900), "the lease expires at its deadline");
        }
    }
}

#[test]
fn a_target_with_full_fencing_rejects_other_fences() {
    for (fencing, is_accepted) in [(Fencing::Full, false), (Fencing::Lease, true)] {
        let mut holder = Holder::new(fencing, Incarnation::from(1));
        holder.apply(&grant((1, 1, 0), 1, Some(500), true));
        assert_eq!(holder.holds(Shard::from(1), Fence::from(2), 100), is_accepted, "{fencing:?}");
    }
}
