//! Changes of the operators' configuration, and peers that must not influence a fleet.
//!
//! Edits by two operators at the same time must neither be lost nor reverted, and a peer of another
//! cluster or protocol version, or one with an old configuration, must change nothing.

use {
    entry::ChangeError,
    peer::{Error, Hello, PROTOCOL, Rejection, Versioned},
    standin::platform::Fault as PlatformFault,
    std::{collections::BTreeMap, time::Duration},
    store::vms::VmState,
    trial::{Fleet, FleetPlan, eventually},
};

/// The number of edits that each operator makes.
const EDITS_PER_OPERATOR: usize = 100;

/// Returns the configuration of one edit, made unique by a comment.
fn edited_config(fleet: &Fleet, operator: &str, number: usize) -> String {
    format!("// {operator} {number}\n{}", fleet.plan.operator_config())
}

/// Submits edits through one entry until all were accepted, and returns them by version.
async fn make_edits(fleet: &Fleet, index: usize, operator: &str) -> BTreeMap<u64, String> {
    let mut accepted = BTreeMap::new();
    let mut base = fleet.config(index).await.map_or(0, |config| config.version.get());
    let mut number = 0;
    while number < EDITS_PER_OPERATOR {
        let config = edited_config(fleet, operator, number);
        match fleet.put_config(index, base, &config, operator).await {
            Ok(version) => {
                accepted.insert(version, config);
                base = version;
                number += 1;
            }
            Err(Some(ChangeError::Version(current))) => {
                assert!(
                    current.version.get() > base,
                    "a conflict with version {} over base {base}",
                    current.version
                );
                base = current.version.get();
            }
            Err(Some(ChangeError::Unknown) | None) => {
                // The edit may have been accepted; the configuration in force shows it.
                let current =
                    eventually("an entry returns the configuration", || fleet.config(index)).await;
                base = current.version.get();
                if current.text == config {
                    accepted.insert(base, config);
                    number += 1;
                }
            }
            Err(Some(other)) => panic!("not a version conflict: {other:?}"),
        }
    }
    accepted
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_edits_are_neither_lost_nor_reverted() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let first = fleet.config(0).await.expect("the entry does not answer").version.get();
    fleet.set_platform_fault(PlatformFault { lose_answers_percent: 3, ..PlatformFault::default() });
    let watch_versions = async {
        let mut highest_seen = vec![first; fleet.entries.len()];
        for _ in 0..200 {
            for (index, highest_seen) in highest_seen.iter_mut().enumerate() {
                if let Some(config) = fleet.config(index).await {
                    let version = config.version.get();
                    assert!(
                        version >= *highest_seen,
                        "entry {index} went from {highest_seen} back to {version}"
                    );
                    *highest_seen = version;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let operators =
        futures::future::join(make_edits(&fleet, 0, "ada"), make_edits(&fleet, 3, "ben"));
    let ((by_ada, by_ben), ()) = futures::future::join(operators, watch_versions).await;
    fleet.clear_faults();
    assert!(
        by_ada.keys().all(|version| !by_ben.contains_key(version)),
        "two edits got the same version"
    );
    let accepted: BTreeMap<u64, String> = by_ada.into_iter().chain(by_ben).collect();
    assert_eq!(accepted.len(), 2 * EDITS_PER_OPERATOR);
    let last = first + 2 * EDITS_PER_OPERATOR as u64;
    let versions: Vec<u64> = accepted.keys().copied().collect();
    assert_eq!(versions, (first + 1..=last).collect::<Vec<_>>(), "the versions have gaps");
    for index in 0..fleet.entries.len() {
        eventually("the last edit is in force everywhere", || async {
            let config = fleet.config(index).await?;
            (config.version.get() == last && config.text == accepted[&last]).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_configurations_are_refused_with_their_line() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let base = fleet.config(0).await.expect("the entry does not answer").version.get();
    let config = fleet.plan.operator_config();
    let cases = [
        ("{", 1),
        ("// fine\n{ \"services\": [{ \"name\": \"x\", \"colour\": 1 }] }", 2),
        ("{ \"services\": [\n{ \"name\": \"x\" },\n{ \"name\": \"x\" }] }", 3),
        ("{ \"services\": [\n{ \"name\": \"x\",\n\"depends_on\": [\"y\"] }] }", 3),
    ];
    for (invalid, line) in cases {
        match fleet.put_config(0, base, invalid, "trial").await {
            Err(Some(ChangeError::Invalid { line: found, .. })) => {
                assert_eq!(found, Some(line), "{invalid}");
            }
            other => panic!("{invalid}: {other:?}"),
        }
    }
    let resharded = config.replace("\"shards\":48", "\"shards\":49");
    assert_ne!(resharded, config);
    let refused = fleet.put_config(0, base, &resharded, "trial").await;
    assert!(matches!(refused, Err(Some(ChangeError::Invalid { .. }))), "{refused:?}");
    assert_eq!(fleet.config(0).await.expect("the entry does not answer").text, config);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_of_another_cluster_or_protocol_are_refused() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let timeout = Duration::from_secs(5);
    let rejected_hellos = [
        Hello { cluster: "another".into(), protocol: PROTOCOL },
        Hello { cluster: "trial".into(), protocol: PROTOCOL + 1 },
    ];
    for hello in rejected_hellos {
        let client = peer::connect(fleet.entries[0].peer_address, None, timeout)
            .await
            .expect("cannot connect to the entry");
        let refused = client.hello(hello).await.expect_err("the peer was accepted");
        let expected = [Rejection::Cluster("trial".into()), Rejection::Protocol(PROTOCOL)];
        assert!(
            matches!(&refused, Error::Rejected(reason) if expected.contains(reason)),
            "{refused:?}"
        );
        let config = Versioned { version: 1_000.into(), value: "{ \"services\": [] }".to_owned() };
        let refused = client.configure(config).await.expect_err("the peer was accepted");
        assert!(matches!(refused, Error::Rejected(Rejection::HelloMissing)), "{refused:?}");
    }
    assert_eq!(fleet.config(0).await.expect("the entry does not answer").version.get(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_peer_does_not_bring_an_old_text_back() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let config = fleet.plan.operator_config();
    fleet.pause_entry(3);
    let accepted = fleet
        .put_config(0, 1, &format!("// second\n{config}"), "trial")
        .await
        .expect("the change was not accepted");
    // A restarted entry receives the first version from the paused entry once that one resumes.
    fleet.kill_entry(2);
    fleet.start_entry(2);
    fleet.resume_entry(3);
    for index in 0..fleet.entries.len() {
        eventually("the second version is in force", || async {
            (fleet.config(index).await?.version.get() == accepted).then_some(())
        })
        .await;
    }
    let client = peer::connect(fleet.entries[0].peer_address, None, Duration::from_secs(5)).await;
    let client = client.expect("cannot connect to the entry");
    let hello = Hello { cluster: "trial".into(), protocol: PROTOCOL };
    client.hello(hello).await.expect("the greeting was refused");
    let old_config = Versioned { version: 1.into(), value: config };
    client.configure(old_config).await.expect("the old version was not received");
    fleet.wait_until_converged(0).await;
    assert_eq!(fleet.config(0).await.expect("the entry does not answer").version.get(), accepted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operators_vouch_reassigns_the_keys_of_a_lost_primary_and_target() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let key = fleet.keys()[0].clone();
    let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
    let zone = fleet.targets[owner].zone;
    let primary = eventually("the cell has a primary", || fleet.primary(0, zone)).await;
    let asked_entry = if primary == 0 { 1 } else { 0 };
    fleet.kill_entry(primary);
    fleet.kill_target(owner);
    let lost_vm = fleet.entries[primary].vm.clone();
    eventually("the explanation names the awaited process", || async {
        let explanation = fleet.why(asked_entry, &key).await?;
        explanation
            .result
            .possible_renewers
            .iter()
            .any(|process| process.vm == lost_vm)
            .then_some(())
    })
    .await;
    assert!(fleet.post_operation(asked_entry, &format!("/vouch?vm={lost_vm}&by=trial")).await);
    eventually("the key has another owner", || async {
        fleet.owner(asked_entry, &key).await.filter(|other| *other != owner)
    })
    .await;
    let records = fleet.history(asked_entry).await.expect("the entry does not answer").result;
    let is_vouch_recorded =
        records.iter().any(|record| matches!(&record.kind, report::Kind::Vouched { .. }));
    assert!(is_vouch_recorded, "the vouching is not in the decision log");
    fleet.set_entry_vm_state(primary, VmState::Gone);
    fleet.verify_journals();
}
