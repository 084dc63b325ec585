//! The contract of the platform's interface: for each fault, the outcome that a client sees of a
//! commit and whether the commit took effect.

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

const CLIENT_TIMEOUT: Duration = Duration::from_millis(200);

async fn start() -> (Arc<Platform>, Client) {
    let journal = Journal::open(None, Vm::from("platform"), Incarnation::ZERO);
    let platform = Platform::new(journal.expect("no file has to be opened"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port should be free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(Arc::clone(&platform).serve(listener));
    (platform, Config::new(address).timeout(CLIENT_TIMEOUT).build())
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

/// The outcome that a client sees, without the versions and rows that come with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitOutcome {
    Committed,
    Conflict,
    Refused,
    Ambiguous,
}

struct CommitCase {
    fault: Fault,
    version: u64,
    outcome: CommitOutcome,
    takes_effect: bool,
}

/// Returns a configuration without faults; `Default` is not available in constants.
const fn no_fault() -> Fault {
    Fault {
        slow_ms: 0,
        down: false,
        silent: false,
        lose_answers_percent: 0,
        lose_requests_percent: 0,
        vms_late_ms: 0,
    }
}

const COMMIT_CASES: [CommitCase; 7] = [
    CommitCase {
        fault: no_fault(),
        version: 0,
        outcome: CommitOutcome::Committed,
        takes_effect: true,
    },
    CommitCase {
        fault: no_fault(),
        version: 7,
        outcome: CommitOutcome::Conflict,
        takes_effect: false,
    },
    CommitCase {
        fault: Fault { down: true, ..no_fault() },
        version: 0,
        outcome: CommitOutcome::Refused,
        takes_effect: false,
    },
    CommitCase {
        fault: Fault { silent: true, ..no_fault() },
        version: 0,
        outcome: CommitOutcome::Ambiguous,
        takes_effect: false,
    },
    CommitCase {
        fault: Fault { lose_answers_percent: 100, ..no_fault() },
        version: 0,
        outcome: CommitOutcome::Ambiguous,
        takes_effect: true,
    },
    CommitCase {
        fault: Fault { lose_requests_percent: 100, ..no_fault() },
        version: 0,
        outcome: CommitOutcome::Ambiguous,
        takes_effect: false,
    },
    CommitCase {
        fault: Fault { slow_ms: 1_000, ..no_fault() },
        version: 0,
        outcome: CommitOutcome::Ambiguous,
        takes_effect: false,
    },
];

#[tokio::test]
async fn each_fault_leads_to_its_commit_outcome() {
    for (number, case) in COMMIT_CASES.iter().enumerate() {
        let (platform, client) = start().await;
        platform.set_fault(case.fault);
        let outcome = match client.commit(&transaction(&[("a", case.version)], "x")).await {
            Commit::Committed(versions) => {
                assert_eq!(versions, vec![Version::from(1)]);
                CommitOutcome::Committed
            }
            Commit::Conflict(rows) => {
                assert_eq!(rows[0].version, Version::ZERO);
                CommitOutcome::Conflict
            }
            Commit::Refused => CommitOutcome::Refused,
            Commit::Ambiguous => CommitOutcome::Ambiguous,
        };
        platform.set_fault(Fault::default());
        let row = client.read_row("a").await.expect("the platform should reply");
        assert_eq!(outcome, case.outcome, "case {number}");
        assert_eq!(row.version > Version::ZERO, case.takes_effect, "case {number}");
    }
}

#[tokio::test]
async fn a_transaction_is_atomic() {
    let (_, client) = start().await;
    let both = transaction(&[("a", 0), ("b", 0)], "x");
    assert!(matches!(client.commit(&both).await, Commit::Committed(_)));
    let partly_outdated = transaction(&[("a", 1), ("b", 0)], "y");
    assert!(
        matches!(client.commit(&partly_outdated).await, Commit::Conflict(rows) if rows.len() == 2)
    );
    for name in ["a", "b"] {
        assert_eq!(
            client.read_row(name).await.expect("the platform should reply").value.as_deref(),
            Some("x")
        );
    }
}

#[tokio::test]
async fn a_scan_returns_the_rows_changed_since_a_revision() {
    let (_, client) = start().await;
    client.commit(&transaction(&[("p/a", 0)], "x")).await;
    client.commit(&transaction(&[("q/b", 0)], "x")).await;
    let first = client.scan("p/", 0).await.expect("the platform should reply");
    assert_eq!(first.rows.len(), 1);
    let second = client.scan("p/", first.revision).await.expect("the platform should reply");
    assert!(second.rows.is_empty());
    client.commit(&transaction(&[("p/a", 1)], "y")).await;
    let third = client.scan("p/", second.revision).await.expect("the platform should reply");
    assert_eq!(third.rows[0].version, Version::from(2));
}

#[tokio::test]
async fn objects_are_stored_by_name() {
    let (platform, client) = start().await;
    client.put_object("decisions/1", b"one".to_vec()).await.expect("the object should be stored");
    assert_eq!(client.get_object("decisions/1").await.expect("the object should exist"), b"one");
    assert_eq!(
        client.list_objects("decisions/").await.expect("the platform should reply"),
        ["decisions/1"]
    );
    let absent = client.get_object("decisions/2").await.expect_err("the object should not exist");
    assert_eq!(absent.kind(), ErrorKind::NotFound);
    platform.set_fault(Fault { down: true, ..Fault::default() });
    let refused =
        client.put_object("decisions/2", Vec::new()).await.expect_err("the platform is down");
    assert_eq!(refused.kind(), ErrorKind::Refused);
}

#[tokio::test]
async fn a_table_that_went_back_is_refused() {
    let (platform, client) = start().await;
    for value in ["one", "two"] {
        let version = u64::from(value == "two");
        let commit = client.commit(&transaction(&[("control/a", version)], value)).await;
        assert!(matches!(commit, Commit::Committed(_)), "{commit:?}");
    }
    let known = client.scan("control/", 0).await.expect("a scan").revision;
    assert_eq!(client.scan("control/", known).await.expect("a scan").revision, known);
    platform.forget();
    let error = client.scan("control/", known).await.expect_err("the table went back");
    assert_eq!(error.kind(), ErrorKind::WentBack);
}
