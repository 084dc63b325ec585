//! The platform down, and availability zones cut off.

use {
    serde_json::json,
    standin::platform::Fault as PlatformFault,
    std::time::{Duration, Instant},
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Exchange, Fleet, FleetPlan, KEYED, Load, eventually},
};

/// The outage that the promises name.
const OUTAGE: Duration = Duration::from_secs(60);

fn keyed_failures(exchanges: &[Exchange]) -> Vec<&Exchange> {
    exchanges
        .iter()
        .filter(|exchange| exchange.idempotency_key.is_none() && !exchange.response.is_served())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_through_an_outage_and_the_loss_of_an_entry() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let primary = eventually("a guardian", || fleet.primary(0, 0)).await;
    let others: Vec<usize> = (0..fleet.entries.len()).filter(|at| *at != primary).collect();
    let load = Load::start(&fleet, &others, 2);
    let began = Instant::now();
    fleet.set_platform_fault(PlatformFault { silent: true, ..PlatformFault::default() });
    sleep(Duration::from_secs(5)).await;
    fleet.kill_entry(primary);
    // The platform will say so once it answers again; until then nothing proves it.
    fleet.set_entry_vm_state(primary, VmState::Gone);
    sleep(Duration::from_secs(15)).await;
    // A planned stop in the same outage.
    let planned = others[others.len() - 1];
    let remaining: Vec<usize> = others[..others.len() - 1].to_vec();
    let exchanges = load.finish().await;
    assert!(keyed_failures(&exchanges).is_empty(), "{:?}", keyed_failures(&exchanges)[0]);
    let load = Load::start(&fleet, &remaining, 2);
    fleet.terminate_entry(planned);
    assert_eq!(
        fleet
            .wait_for_entry_exit(planned, Duration::from_secs(20))
            .and_then(|status| status.code()),
        Some(0),
    );
    sleep(OUTAGE.saturating_sub(began.elapsed())).await;
    let orders: Vec<Exchange> = load.exchanges();
    assert!(
        orders
            .iter()
            .filter(|exchange| exchange.idempotency_key.is_some())
            .all(|exchange| exchange.response.is_not_run()),
        "an order without a claim must be refused as not run",
    );
    // What cannot be repaired meanwhile: the keys of a target that is lost now.
    let key = fleet.keys()[0].clone();
    let exchanges = load.finish().await;
    let failures = keyed_failures(&exchanges);
    assert!(failures.is_empty(), "{} failed, the first {:?}", failures.len(), failures[0]);
    let owner = eventually("an owner", || fleet.owner(remaining[0], &key)).await;
    fleet.kill_target(owner);
    sleep(Duration::from_secs(3)).await;
    let path = format!("/{KEYED}/{key}");
    let response = fleet.caller.get(fleet.entries[remaining[0]].caller_address, &path).await;
    assert!(!response.is_served(), "nobody can own the key yet: {response:?}");
    // And it is repaired after.
    fleet.clear_faults();
    for at in &remaining {
        fleet.wait_until_converged(*at).await;
    }
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_while_the_platform_answers_in_five_seconds() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let load = Load::start(&fleet, &[0, 1, 2, 3], 2);
    fleet.set_platform_fault(PlatformFault { slow_ms: 5_000, ..PlatformFault::default() });
    sleep(Duration::from_secs(15)).await;
    let exchanges = load.finish().await;
    let failures = keyed_failures(&exchanges);
    assert!(failures.is_empty(), "{} failed, the first {:?}", failures.len(), failures[0]);
    fleet.clear_faults();
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_entry_serves_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    fleet.set_platform_fault(PlatformFault { down: true, ..PlatformFault::default() });
    fleet.kill_entry(1);
    fleet.add_peers_to_settings(1);
    fleet.start_entry(1);
    fleet.wait_until_keys_served(1).await;
    fleet.clear_faults();
    fleet.verify_journals();
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
    let fleet = Fleet::start(FleetPlan { isolation, limits, ..FleetPlan::default() }).await;
    let text = fleet.plan.operator_config();
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
        let response = fleet.caller.get(fleet.entries[inside].caller_address, &path).await;
        assert!(response.is_served() && response.echoes(&path), "{cut:?}: {path}: {response:?}");
    }
    // Others cannot reach them, and say so; under `move` they own them after the limit.
    if cut.others {
        let path = format!("/{KEYED}/{}", inner[0]);
        let response = fleet.caller.get(fleet.entries[0].caller_address, &path).await;
        assert!(!response.is_served(), "{cut:?}: {response:?}");
    }
    // A change that is accepted outside is in force inside after the healing.
    let accepted = fleet
        .put_config(0, config, &format!("// second\n{text}"), "trial")
        .await
        .expect("accepted");
    if moves && cut.others && cut.platform {
        for key in inner.iter().take(5) {
            let path = format!("/{KEYED}/{key}");
            eventually("another zone serves the key", || async {
                let response = fleet.caller.get(fleet.entries[0].caller_address, &path).await;
                response.is_served().then_some(())
            })
            .await;
        }
    } else {
        sleep(Duration::from_secs(4)).await;
    }
    fleet.clear_faults();
    for at in 0..fleet.entries.len() {
        fleet.wait_until_converged(at).await;
        eventually("the change is in force", || async {
            (fleet.config(at).await?.version.get() == accepted).then_some(())
        })
        .await;
    }
    let exchanges = load.finish().await;
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
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
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    for at in 0..fleet.entries.len() {
        if fleet.entries[at].zone == 1 {
            fleet.kill_entry(at);
            fleet.set_entry_vm_state(at, VmState::Gone);
        }
    }
    for at in 0..fleet.targets.len() {
        if fleet.targets[at].zone == 1 {
            fleet.kill_target(at);
            fleet.set_target_vm_state(at, VmState::Gone);
        }
    }
    fleet.wait_until_keys_served(0).await;
    fleet.verify_journals();
}
