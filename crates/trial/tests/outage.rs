//! A fleet during outages of the platform and while availability zones are cut off.
//!
//! Keyed requests must be served without the platform, and a cut-off zone must keep its shards or
//! lose them after a limit, as its isolation policy says, without two owners of a shard.

use {
    serde_json::json,
    standin::platform::Fault as PlatformFault,
    std::time::{Duration, Instant},
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Exchange, Fleet, FleetPlan, KEYED, Load, eventually},
};

/// The length of the platform outage that the documentation promises to survive.
const OUTAGE_DURATION: Duration = Duration::from_secs(60);

fn keyed_failures(exchanges: &[Exchange]) -> Vec<&Exchange> {
    exchanges
        .iter()
        .filter(|exchange| exchange.idempotency_key.is_none() && !exchange.response.is_served())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_served_through_an_outage_and_the_loss_of_an_entry() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let primary = eventually("the cell has a primary", || fleet.primary(0, 0)).await;
    let other_entries: Vec<usize> =
        (0..fleet.entries.len()).filter(|index| *index != primary).collect();
    let load = Load::start(&fleet, &other_entries, 2);
    let began_at = Instant::now();
    fleet.set_platform_fault(PlatformFault { silent: true, ..PlatformFault::default() });
    sleep(Duration::from_secs(5)).await;
    fleet.kill_entry(primary);
    // The platform reports this only once it answers again; until then nothing proves it.
    fleet.set_entry_vm_state(primary, VmState::Gone);
    sleep(Duration::from_secs(15)).await;
    // Stop another entry regularly during the same outage.
    let stopped_entry = other_entries[other_entries.len() - 1];
    let remaining_entries: Vec<usize> = other_entries[..other_entries.len() - 1].to_vec();
    let exchanges = load.finish().await;
    assert!(keyed_failures(&exchanges).is_empty(), "{:?}", keyed_failures(&exchanges)[0]);
    let load = Load::start(&fleet, &remaining_entries, 2);
    fleet.terminate_entry(stopped_entry);
    assert_eq!(
        fleet
            .wait_for_entry_exit(stopped_entry, Duration::from_secs(20))
            .and_then(|status| status.code()),
        Some(0),
    );
    sleep(OUTAGE_DURATION.saturating_sub(began_at.elapsed())).await;
    let orders: Vec<Exchange> = load.exchanges();
    assert!(
        orders
            .iter()
            .filter(|exchange| exchange.idempotency_key.is_some())
            .all(|exchange| exchange.response.is_not_run()),
        "an order that cannot be claimed must be refused as not run",
    );
    // Without the platform, the shards of a target that fails now cannot be reassigned.
    let key = fleet.keys()[0].clone();
    let exchanges = load.finish().await;
    let failures = keyed_failures(&exchanges);
    assert!(failures.is_empty(), "{} not served, the first {:?}", failures.len(), failures[0]);
    let owner =
        eventually("the key has an owner", || fleet.owner(remaining_entries[0], &key)).await;
    fleet.kill_target(owner);
    sleep(Duration::from_secs(3)).await;
    let path = format!("/{KEYED}/{key}");
    let response =
        fleet.caller.get(fleet.entries[remaining_entries[0]].caller_address, &path).await;
    assert!(!response.is_served(), "no target can own the key yet: {response:?}");
    // Once the platform answers again, they are reassigned.
    fleet.clear_faults();
    for index in &remaining_entries {
        fleet.wait_until_converged(*index).await;
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
    assert!(failures.is_empty(), "{} not served, the first {:?}", failures.len(), failures[0]);
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

/// What a zone is cut off from.
#[derive(Clone, Copy, Debug)]
struct Cut {
    from_zones: bool,
    from_platform: bool,
}

/// Cuts zone `b` off under load, checks which keys are served on both sides, and reconnects it.
async fn check_isolation(cut: Cut, isolation: serde_json::Value) {
    let has_failover = isolation.is_object();
    let limits = json!({ "deadline_ms": 1_500, "attempt_ms": 400 });
    let fleet = Fleet::start(FleetPlan { isolation, limits, ..FleetPlan::default() }).await;
    let config = fleet.plan.operator_config();
    let inside_entry =
        fleet.entries.iter().position(|entry| entry.zone == 1).expect("zone b has no entry");
    let inside_keys: Vec<String> = {
        let mut keys = Vec::new();
        for key in fleet.keys() {
            let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
            if fleet.targets[owner].zone == 1 {
                keys.push(key);
            }
        }
        keys
    };
    let base = fleet.config(0).await.expect("the entry does not answer").version.get();
    fleet.isolate(1, cut.from_zones, cut.from_platform);
    let load = Load::start(&fleet, &(0..fleet.entries.len()).collect::<Vec<_>>(), 2);
    sleep(Duration::from_secs(2)).await;
    // The zone still serves its own keys to its own callers.
    for key in inside_keys.iter().take(5) {
        let path = format!("/{KEYED}/{key}");
        let response = fleet.caller.get(fleet.entries[inside_entry].caller_address, &path).await;
        assert!(response.is_served() && response.echoes(&path), "{cut:?}: {path}: {response:?}");
    }
    // Other zones cannot reach these keys and refuse the requests; under `move_after_ms` they take
    // over the shards after that time.
    if cut.from_zones {
        let path = format!("/{KEYED}/{}", inside_keys[0]);
        let response = fleet.caller.get(fleet.entries[0].caller_address, &path).await;
        assert!(!response.is_served(), "{cut:?}: {response:?}");
    }
    // A change that is accepted outside must be in force inside once the zone is reconnected.
    let accepted = fleet
        .put_config(0, base, &format!("// second\n{config}"), "trial")
        .await
        .expect("the change was not accepted");
    if has_failover && cut.from_zones && cut.from_platform {
        for key in inside_keys.iter().take(5) {
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
    for index in 0..fleet.entries.len() {
        fleet.wait_until_converged(index).await;
        eventually("the change is in force", || async {
            (fleet.config(index).await?.version.get() == accepted).then_some(())
        })
        .await;
    }
    let exchanges = load.finish().await;
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
}

const HOLD_POLICY: &str = "hold";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_others_holds_its_keys() {
    check_isolation(Cut { from_zones: true, from_platform: false }, json!(HOLD_POLICY)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_platform_holds_its_keys() {
    check_isolation(Cut { from_zones: false, from_platform: true }, json!(HOLD_POLICY)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_both_holds_its_keys() {
    check_isolation(Cut { from_zones: true, from_platform: true }, json!(HOLD_POLICY)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_both_loses_its_keys_after_the_limit() {
    check_isolation(
        Cut { from_zones: true, from_platform: true },
        json!({ "move_after_ms": 4_000 }),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_cut_off_from_the_others_withdraws_the_take_over() {
    check_isolation(
        Cut { from_zones: true, from_platform: false },
        json!({ "move_after_ms": 4_000 }),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_vms_are_gone_is_failed_over() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    for index in 0..fleet.entries.len() {
        if fleet.entries[index].zone == 1 {
            fleet.kill_entry(index);
            fleet.set_entry_vm_state(index, VmState::Gone);
        }
    }
    for index in 0..fleet.targets.len() {
        if fleet.targets[index].zone == 1 {
            fleet.kill_target(index);
            fleet.set_target_vm_state(index, VmState::Gone);
        }
    }
    fleet.wait_until_keys_served(0).await;
    fleet.verify_journals();
}
