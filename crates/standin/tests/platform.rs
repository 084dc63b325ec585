//! The contract of the platform's interface, fault by fault: what a client is told of a commit, and
//! whether the commit took effect.

use {
    key::{Incarnation, Version, Vm},
    standin::{
        journal::Journal,
        platform::{Fault, Platform},
    },
    std::{sync::Arc, time::Duration},
    store::{
        Client, Commit, Config, ErrorKind,
        table::{Condition, Transaction, Write},
    },
    tokio::net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_millis(200);

async fn start() -> (Arc<Platform>, Client) {
    let journal = Journal::open(None, Vm::from("platform"), Incarnation::ZERO);
    let platform = Platform::new(journal.expect("nothing is opened"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(Arc::clone(&platform).serve(listener));
    (platform, Config::new(address).timeout(TIMEOUT).build())
}

fn transaction(rows: &[(&str, u64)], value: &str) -> Transaction {
    Transaction {
        conditions: rows
            .iter()
            .map(|(name, version)| Condition { name: (*name).into(), version: (*version).into() })
            .collect(),
        writes: rows
            .iter()
            .map(|(name, _)| Write { name: (*name).into(), value: Some(value.to_owned()) })
            .collect(),
    }
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Committed,
    Conflict,
    Refused,
    Ambiguous,
}

struct Case {
    fault: Fault,
    version: u64,
    told: Told,
    took_effect: bool,
}

const fn fault() -> Fault {
    Fault {
        slow_ms: 0,
        down: false,
        silent: false,
        lose_answers_percent: 0,
        lose_requests_percent: 0,
        vms_late_ms: 0,
    }
}

const CASES: [Case; 7] = [
    Case { fault: fault(), version: 0, told: Told::Committed, took_effect: true },
    Case { fault: fault(), version: 7, told: Told::Conflict, took_effect: false },
    Case {
        fault: Fault { down: true, ..fault() },
        version: 0,
        told: Told::Refused,
        took_effect: false,
    },
    Case {
        fault: Fault { silent: true, ..fault() },
        version: 0,
        told: Told::Ambiguous,
        took_effect: false,
    },
    Case {
        fault: Fault { lose_answers_percent: 100, ..fault() },
        version: 0,
        told: Told::Ambiguous,
        took_effect: true,
    },
    Case {
        fault: Fault { lose_requests_percent: 100, ..fault() },
        version: 0,
        told: Told::Ambiguous,
        took_effect: false,
    },
    Case {
        fault: Fault { slow_ms: 1_000, ..fault() },
        version: 0,
        told: Told::Ambiguous,
        took_effect: false,
    },
];

#[tokio::test]
async fn a_commit_has_three_results_and_a_conflict() {
    for (number, case) in CASES.iter().enumerate() {
        let (platform, client) = start().await;
        platform.set_fault(case.fault);
        let told = match client.commit(&transaction(&[("a", case.version)], "x")).await {
            Commit::Committed(versions) => {
                assert_eq!(versions, vec![Version::from(1)]);
                Told::Committed
            }
            Commit::Conflict(rows) => {
                assert_eq!(rows[0].version, Version::ZERO);
                Told::Conflict
            }
            Commit::Refused => Told::Refused,
            Commit::Ambiguous => Told::Ambiguous,
        };
        platform.set_fault(Fault::default());
        let row = client.read_row("a").await.expect("the platform answers");
        assert_eq!(told, case.told, "case {number}");
        assert_eq!(row.version > Version::ZERO, case.took_effect, "case {number}");
    }
}

#[tokio::test]
async fn a_transaction_takes_effect_whole_or_not_at_all() {
    let (_, client) = start().await;
    let both = transaction(&[("a", 0), ("b", 0)], "x");
    assert!(matches!(client.commit(&both).await, Commit::Committed(_)));
    let half = transaction(&[("a", 1), ("b", 0)], "y");
    assert!(matches!(client.commit(&half).await, Commit::Conflict(rows) if rows.len() == 2));
    for name in ["a", "b"] {
        assert_eq!(client.read_row(name).await.expect("it answers").value.as_deref(), Some("x"));
    }
}

#[tokio::test]
async fn a_scan_shows_what_changed_since_the_last_one() {
    let (_, client) = start().await;
    client.commit(&transaction(&[("p/a", 0)], "x")).await;
    client.commit(&transaction(&[("q/b", 0)], "x")).await;
    let first = client.scan("p/", 0).await.expect("it answers");
    assert_eq!(first.rows.len(), 1);
    let second = client.scan("p/", first.revision).await.expect("it answers");
    assert!(second.rows.is_empty());
    client.commit(&transaction(&[("p/a", 1)], "y")).await;
    let third = client.scan("p/", second.revision).await.expect("it answers");
    assert_eq!(third.rows[0].version, Version::from(2));
}

#[tokio::test]
async fn objects_are_kept_by_name() {
    let (platform, client) = start().await;
    client.put_object("decisions/1", b"one".to_vec()).await.expect("it is stored");
    assert_eq!(client.get_object("decisions/1").await.expect("it is there"), b"one");
    assert_eq!(client.list_objects("decisions/").await.expect("it answers"), ["decisions/1"]);
    let absent = client.get_object("decisions/2").await.expect_err("there is none");
    assert_eq!(absent.kind(), ErrorKind::NotFound);
    platform.set_fault(Fault { down: true, ..Fault::default() });
    let refused = client.put_object("decisions/2", Vec::new()).await.expect_err("it is down");
    assert_eq!(refused.kind(), ErrorKind::Refused);
}
