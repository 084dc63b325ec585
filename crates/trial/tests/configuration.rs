//! Two operators at once, and peers that do not belong here.

use {
    entry::ChangeError,
    peer::{Error, Hello, PROTOCOL, Refused, Versioned},
    standin::platform::Fault as PlatformFault,
    std::{collections::BTreeMap, time::Duration},
    store::vms::VmState,
    trial::{Fleet, Plan, eventually},
};

/// The edits of each operator.
const EDITS: usize = 100;

/// The text of one edit; the comment makes each its own.
fn edit(fleet: &Fleet, operator: &str, number: usize) -> String {
    format!("// {operator} {number}\n{}", fleet.plan.text())
}

/// Makes edits through one entry until all were accepted, and returns each with its version.
async fn operate(fleet: &Fleet, at: usize, operator: &str) -> BTreeMap<u64, String> {
    let mut accepted = BTreeMap::new();
    let mut base = fleet.config(at).await.map_or(0, |text| text.version.get());
    let mut number = 0;
    while number < EDITS {
        let text = edit(fleet, operator, number);
        match fleet.put(at, base, &text, operator).await {
            Ok(version) => {
                accepted.insert(version, text);
                base = version;
                number += 1;
            }
            Err(Some(ChangeError::Version(current))) => {
                assert!(
                    current.version.get() > base,
                    "a conflict with {} on {base}",
                    current.version
                );
                base = current.version.get();
            }
            Err(Some(ChangeError::Unknown) | None) => {
                // The edit may have been taken; the log tells.
                let current = eventually("the text in force", || fleet.config(at)).await;
                base = current.version.get();
                if current.text == text {
                    accepted.insert(base, text);
                    number += 1;
                }
            }
            Err(Some(other)) => panic!("not a conflict of versions: {other:?}"),
        }
    }
    accepted
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_edits_are_neither_lost_nor_reverted() {
    let fleet = Fleet::start(Plan::default()).await;
    let first = fleet.config(0).await.expect("the entry answers").version.get();
    fleet.upset_platform(PlatformFault { lose_answers_percent: 3, ..PlatformFault::default() });
    let watch = async {
        let mut seen = vec![first; fleet.entries.len()];
        for _ in 0..200 {
            for (at, seen) in seen.iter_mut().enumerate() {
                if let Some(text) = fleet.config(at).await {
                    let version = text.version.get();
                    assert!(version >= *seen, "entry {at} went from {seen} back to {version}");
                    *seen = version;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let operators = futures::future::join(operate(&fleet, 0, "ada"), operate(&fleet, 3, "ben"));
    let ((ada, ben), ()) = futures::future::join(operators, watch).await;
    fleet.heal();
    assert!(ada.keys().all(|version| !ben.contains_key(version)), "one version for two edits");
    let accepted: BTreeMap<u64, String> = ada.into_iter().chain(ben).collect();
    assert_eq!(accepted.len(), 2 * EDITS);
    let last = first + 2 * EDITS as u64;
    let versions: Vec<u64> = accepted.keys().copied().collect();
    assert_eq!(versions, (first + 1..=last).collect::<Vec<_>>(), "versions without a gap");
    for at in 0..fleet.entries.len() {
        eventually("the last edit is in force everywhere", || async {
            let text = fleet.config(at).await?;
            (text.version.get() == last && text.text == accepted[&last]).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_texts_are_refused_with_their_place() {
    let fleet = Fleet::start(Plan::default()).await;
    let base = fleet.config(0).await.expect("the entry answers").version.get();
    let text = fleet.plan.text();
    let cases = [
        ("{", 1),
        ("// fine\n{ \"services\": [{ \"name\": \"x\", \"colour\": 1 }] }", 2),
        ("{ \"services\": [\n{ \"name\": \"x\" },\n{ \"name\": \"x\" }] }", 3),
        ("{ \"services\": [\n{ \"name\": \"x\",\n\"depends_on\": [\"y\"] }] }", 3),
    ];
    for (wrong, line) in cases {
        match fleet.put(0, base, wrong, "trial").await {
            Err(Some(ChangeError::Invalid { line: found, .. })) => {
                assert_eq!(found, Some(line), "{wrong}");
            }
            other => panic!("{wrong}: {other:?}"),
        }
    }
    let shards = text.replace("\"shards\":48", "\"shards\":49");
    assert_ne!(shards, text);
    let refused = fleet.put(0, base, &shards, "trial").await;
    assert!(matches!(refused, Err(Some(ChangeError::Invalid { .. }))), "{refused:?}");
    assert_eq!(fleet.config(0).await.expect("the entry answers").text, text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_of_another_cluster_or_protocol_are_refused() {
    let fleet = Fleet::start(Plan::default()).await;
    let limit = Duration::from_secs(5);
    let strange = [
        Hello { cluster: "another".into(), protocol: PROTOCOL },
        Hello { cluster: "trial".into(), protocol: PROTOCOL + 1 },
    ];
    for hello in strange {
        let client = peer::connect(fleet.entries[0].peers, None, limit).await.expect("it listens");
        let refused = client.hello(hello).await.expect_err("it is refused");
        let expected = [Refused::Cluster("trial".into()), Refused::Protocol(PROTOCOL)];
        assert!(matches!(&refused, Error::Refused(why) if expected.contains(why)), "{refused:?}");
        let text = Versioned { version: 1_000.into(), value: "{ \"services\": [] }".to_owned() };
        let refused = client.configure(text).await.expect_err("it is refused");
        assert!(matches!(refused, Error::Refused(Refused::Ungreeted)), "{refused:?}");
    }
    assert_eq!(fleet.config(0).await.expect("the entry answers").version.get(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_peer_does_not_bring_an_old_text_back() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let text = fleet.plan.text();
    fleet.pause_entry(3);
    let accepted = fleet.put(0, 1, &format!("// second\n{text}"), "trial").await.expect("accepted");
    // An entry restarts and hears the paused one, which knows the first text only, when it wakes.
    fleet.kill_entry(2);
    fleet.start_entry(2);
    fleet.resume_entry(3);
    for at in 0..fleet.entries.len() {
        eventually("the second text is in force", || async {
            (fleet.config(at).await?.version.get() == accepted).then_some(())
        })
        .await;
    }
    let client = peer::connect(fleet.entries[0].peers, None, Duration::from_secs(5)).await;
    let client = client.expect("it listens");
    let hello = Hello { cluster: "trial".into(), protocol: PROTOCOL };
    client.hello(hello).await.expect("it is welcome");
    let old = Versioned { version: 1.into(), value: text };
    client.configure(old).await.expect("it is taken and passed over");
    fleet.wait_whole(0).await;
    assert_eq!(fleet.config(0).await.expect("the entry answers").version.get(), accepted);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operators_word_moves_the_keys_of_a_lost_guardian_and_target() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let key = fleet.keys()[0].clone();
    let owner = eventually("an owner", || fleet.owner(0, &key)).await;
    let zone = fleet.targets[owner].zone;
    let guardian = eventually("a guardian", || fleet.guardian(0, zone)).await;
    let asked = if guardian == 0 { 1 } else { 0 };
    fleet.kill_entry(guardian);
    fleet.kill_target(owner);
    let lost = fleet.entries[guardian].vm.clone();
    eventually("the explanation names who is awaited", || async {
        let why = fleet.why(asked, &key).await?;
        why.result.possible_renewers.iter().any(|process| process.vm == lost).then_some(())
    })
    .await;
    assert!(fleet.operate(asked, &format!("/vouch?vm={lost}&by=trial")).await);
    eventually("the key has another owner", || async {
        fleet.owner(asked, &key).await.filter(|other| *other != owner)
    })
    .await;
    let records = fleet.history(asked).await.expect("the entry answers").result;
    let vouched = records.iter().any(|record| matches!(&record.kind, report::Kind::Vouched { .. }));
    assert!(vouched, "the operator's word is on record");
    fleet.list_entry(guardian, VmState::Gone);
    fleet.verify();
}
