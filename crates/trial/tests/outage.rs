//! The platform down, and availability zones cut off.

use {
    serde_json::json,
    standin::platform::Fault as PlatformFault,
    std::time::{Duration, Instant},
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Fleet, KEYED, Load, Plan, Seen, eventually},
};

/// The outage that the promises name.
const OUTAGE: Duration = Duration::from_secs(60);

fn keyed_failures(seen: &[Seen]) -> Vec<&Seen> {
    seen.iter().filter(|one| one.id.is_none() && !one.answer.is_served()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_through_an_outage_and_the_loss_of_an_entry() {
    let mut fleet = Fleet::start(Plan::default()).await;
    let guardian = eventually("a guardian", || fleet.guardian(0, 0)).await;
    let others: Vec<usize> = (0..fleet.entries.len()).filter(|at| *at != guardian).collect();
    let load = Load::start(&fleet, &others, 2);
    let began = Instant::now();
    fleet.upset_platform(PlatformFault { silent: true, ..PlatformFault::default() });
    sleep(Duration::from_secs(5)).await;
    fleet.kill_entry(guardian);
    // The platform will say so once it answers again; until then nothing proves it.
    fleet.list_entry(guardian, VmState::Gone);
    sleep(Duration::from_secs(15)).await;
    // A planned stop in the same outage.
    let planned = others[others.len() - 1];
    let remaining: Vec<usize> = others[..others.len() - 1].to_vec();
    let seen = load.finish().await;
    assert!(keyed_failures(&seen).is_empty(), "{:?}", keyed_failures(&seen)[0]);
    let load = Load::start(&fleet, &remaining, 2);
    fleet.terminate_entry(planned);
    assert_eq!(
        fleet.entry_ended(planned, Duration::from_secs(20)).and_then(|status| status.code()),
        Some(0),
    );
    sleep(OUTAGE.saturating_sub(began.elapsed())).await;
    let orders: Vec<Seen> = load.seen();
    assert!(
        orders.iter().filter(|one| one.id.is_some()).all(|one| one.answer.is_not_run()),
        "an order without a claim must be refused as not run",
    );
    // What cannot be repaired meanwhile: the keys of a target that is lost now.
    let key = fleet.keys()[0].clone();
    let seen = load.finish().await;
    let failures = keyed_failures(&seen);
    assert!(failures.is_empty(), "{} failed, the first {:?}", failures.len(), failures[0]);
    let owner = eventually("an owner", || fleet.owner(remaining[0], &key)).await;
    fleet.kill_target(owner);
    sleep(Duration::from_secs(3)).await;
    let path = format!("/{KEYED}/{key}");
    let answer = fleet.caller.get(fleet.entries[remaining[0]].callers, &path).await;
    assert!(!answer.is_served(), "nobody can own the key yet: {answer:?}");
    // And it is repaired after.
    fleet.heal();
    for at in &remaining {
        fleet.wait_whole(*at).await;
    }
    fleet.verify();
    fleet.verify_answers(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_while_the_platform_answers_in_five_seconds() {
    let fleet = Fleet::start(Plan::default()).await;
    let load = Load::start(&fleet, &[0, 1, 2, 3], 2);
    fleet.upset_platform(PlatformFault { slow_ms: 5_000, ..PlatformFault::default() });
    sleep(Duration::from_secs(15)).await;
    let seen = load.finish().await;
    let failures = keyed_failures(&seen);
    assert!(failures.is_empty(), "{} failed, the first {:?}", failures.len(), failures[0]);
    fleet.heal();
    fleet.verify();
    fleet.verify_answers(&seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_entry_serves_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::start(Plan::default()).await;
    fleet.upset_platform(PlatformFault { down: true, ..PlatformFault::default() });
    fleet.kill_entry(1);
    fleet.add_peers(1);
    fleet.start_entry(1);
    fleet.wait_whole_keys(1).await;
    fleet.heal();
    fleet.verify();
}

/// How a zone is cut off.
#[derive(Clone, Copy, Debug)]
struct Cut {
    others: bool,
    platform: bool,
}

async fn survive(cut: Cut, isolation: serde_json::Value) {
    let moves = isolation.is_object();
    let limits = json!({ "deadline_ms": 1_500, "attempt_ms": 400 });
    let fleet = Fleet::start(Plan { isolation, limits, ..Plan::default() }).await;
    let text = fleet.plan.text();
    let inside =
        fleet.entries.iter().position(|entry| entry.zone == 1).expect("zone b has entries");
    let inner: Vec<String> = {
        let mut found = Vec::new();
        for key in fleet.keys() {
            let owner = eventually("an owner", || fleet.owner(0, &key)).await;
            if fleet.targets[owner].zone == 1 {
                found.push(key);
            }
        }
        found
    };
    let config = fleet.config(0).await.expect("the entry answers").version.get();
    fleet.isolate(1, cut.others, cut.platform);
    let load = Load::start(&fleet, &(0..fleet.entries.len()).collect::<Vec<_>>(), 2);
    sleep(Duration::from_secs(2)).await;
    // The zone serves its own keys to its own callers.
    for key in inner.iter().take(5) {
        let path = format!("/{KEYED}/{key}");
        let answer = fleet.caller.get(fleet.entries[inside].callers, &path).await;
        assert!(answer.is_served() && answer.echoes(&path), "{cut:?}: {path}: {answer:?}");
    }
    // Others cannot reach them, and say so; under `move` they own them after the limit.
    if cut.others {
        let path = format!("/{KEYED}/{}", inner[0]);
        let answer = fleet.caller.get(fleet.entries[0].callers, &path).await;
        assert!(!answer.is_served(), "{cut:?}: {answer:?}");
    }
    // A change that is accepted outside is in force inside after the healing.
    let accepted =
        fleet.put(0, config, &format!("// second\n{text}"), "trial").await.expect("accepted");
    if moves && cut.others && cut.platform {
        for key in inner.iter().take(5) {
            let path = format!("/{KEYED}/{key}");
            eventually("another zone serves the key", || async {
                let answer = fleet.caller.get(fleet.entries[0].callers, &path).await;
                answer.is_served().then_some(())
            })
            .await;
        }
    } else {
        sleep(Duration::from_secs(4)).await;
    }
    fleet.heal();
    for at in 0..fleet.entries.len() {
        fleet.wait_whole(at).await;
        eventually("the change is in force", || async {
            (fleet.config(at).await?.version.get() == accepted).then_some(())
        })
        .await;
    }
    let seen = load.finish().await;
    fleet.verify();
    fleet.verify_answers(&seen);
}

const HOLD: &str = "hold";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_others_holds_its_keys() {
    survive(Cut { others: true, platform: false }, json!(HOLD)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_platform_holds_its_keys() {
    survive(Cut { others: false, platform: true }, json!(HOLD)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_both_holds_its_keys() {
    survive(Cut { others: true, platform: true }, json!(HOLD)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_both_loses_its_keys_after_the_limit() {
    survive(Cut { others: true, platform: true }, json!({ "move_after_ms": 4_000 })).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_others_withdraws_the_take_over() {
    survive(Cut { others: true, platform: false }, json!({ "move_after_ms": 4_000 })).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_vms_are_gone_is_rescued() {
    let mut fleet = Fleet::start(Plan::default()).await;
    for at in 0..fleet.entries.len() {
        if fleet.entries[at].zone == 1 {
            fleet.kill_entry(at);
            fleet.list_entry(at, VmState::Gone);
        }
    }
    for at in 0..fleet.targets.len() {
        if fleet.targets[at].zone == 1 {
            fleet.kill_target(at);
            fleet.list_target(at, VmState::Gone);
        }
    }
    fleet.wait_whole_keys(0).await;
    fleet.verify();
}
