//! Sole ownership of shards in a fleet, while processes and connections fail.
//!
//! Two targets must never own the same shard at the same time, and no target may serve a shard that
//! it does not own.

use {
    serde_json::json,
    standin::{platform::Fault as PlatformFault, proxy::Fault},
    std::time::Duration,
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Fleet, FleetPlan, KEYED, Load, eventually},
};

/// Longer than a lease lasts, so a process that is stopped for this time loses its shards.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_millis(2_500);

/// A failure that could give a shard two owners.
#[derive(Clone, Copy, Debug)]
enum Failure {
    TargetPaused,
    PrimaryPaused,
    RepliesCutOff,
    GrantsDelayed,
    TableResponsesLost,
    TableRequestsLost,
    PrimaryAndTargetKilled,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    failure: Failure,
    fenced: bool,
}

/// Checks the journals and responses of a fleet under load during one failure.
async fn check_sole_ownership(case: Case) {
    let mut fleet = Fleet::start(FleetPlan { fenced: case.fenced, ..FleetPlan::default() }).await;
    let load = Load::start(&fleet, &[0, 1, 2, 3], 2);
    sleep(Duration::from_millis(300)).await;
    inject_failure(&mut fleet, case.failure).await;
    for index in 0..fleet.entries.len() {
        fleet.wait_until_converged(index).await;
    }
    let exchanges = load.finish().await;
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
    assert!(
        exchanges.iter().filter(|exchange| exchange.response.is_served()).count() > 50,
        "too few requests were served"
    );
}

/// Lets one failure happen around the owner of a key, until the processes involved run again or are
/// replaced.
async fn inject_failure(fleet: &mut Fleet, failure: Failure) {
    let key = fleet.keys()[0].clone();
    let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
    let zone = fleet.targets[owner].zone;
    let primary = eventually("the cell has a primary", || fleet.primary(0, zone)).await;
    let owner_vm = fleet.targets[owner].vm.to_string();
    match failure {
        Failure::TargetPaused => {
            fleet.pause_target(owner);
            // Until its shards are reassigned, requests still queue at its socket.
            sleep(LEASE_EXPIRY_WAIT).await;
            fleet.resume_target(owner);
        }
        Failure::PrimaryPaused => {
            fleet.pause_entry(primary);
            sleep(LEASE_EXPIRY_WAIT).await;
            fleet.kill_target(owner);
            sleep(LEASE_EXPIRY_WAIT).await;
            fleet.resume_entry(primary);
            sleep(Duration::from_secs(1)).await;
            fleet.start_target(owner);
        }
        Failure::RepliesCutOff => {
            fleet.set_proxy_fault(&owner_vm, &Fault { cut_backward: true, ..Fault::default() });
            sleep(LEASE_EXPIRY_WAIT).await;
            fleet.clear_faults();
        }
        Failure::GrantsDelayed => {
            fleet.set_proxy_fault(&owner_vm, &Fault { delay_ms: 5_000, ..Fault::default() });
            sleep(Duration::from_secs(6)).await;
            fleet.clear_faults();
        }
        Failure::TableResponsesLost | Failure::TableRequestsLost => {
            let lose_responses = matches!(failure, Failure::TableResponsesLost);
            fleet.set_platform_fault(PlatformFault {
                lose_answers_percent: if lose_responses { 70 } else { 0 },
                lose_requests_percent: if lose_responses { 0 } else { 70 },
                ..PlatformFault::default()
            });
            fleet.kill_target(owner);
            sleep(LEASE_EXPIRY_WAIT).await;
            fleet.clear_faults();
            fleet.start_target(owner);
        }
        Failure::PrimaryAndTargetKilled => {
            fleet.kill_entry(primary);
            fleet.kill_target(owner);
            sleep(LEASE_EXPIRY_WAIT).await;
            // The primary might still renew leases; only the end of its VM proves that it does not.
            fleet.set_entry_vm_state(primary, VmState::Gone);
            let other_entry = if primary == 0 { 1 } else { 0 };
            eventually("the key has another owner", || async {
                fleet.owner(other_entry, &key).await.filter(|other| *other != owner)
            })
            .await;
            // A VM that is gone does not return, so the remaining entries must serve everything.
            fleet.entries.remove(primary);
        }
    }
}

macro_rules! ownership_tests {
    ($($name:ident: $failure:ident, $fenced:literal;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_sole_ownership(Case { failure: Failure::$failure, fenced: $fenced }).await;
            }
        )*
    };
}

ownership_tests! {
    one_owner_when_a_target_freezes: TargetPaused, true;
    one_owner_when_an_unfenced_target_freezes: TargetPaused, false;
    one_owner_when_a_primary_is_paused: PrimaryPaused, true;
    one_owner_when_a_primary_of_unfenced_targets_is_paused: PrimaryPaused, false;
    one_owner_when_replies_to_grants_are_cut_off: RepliesCutOff, true;
    one_owner_when_replies_of_an_unfenced_target_are_cut_off: RepliesCutOff, false;
    one_owner_when_grants_are_late: GrantsDelayed, true;
    one_owner_when_grants_to_an_unfenced_target_are_late: GrantsDelayed, false;
    one_owner_when_answers_of_the_table_are_lost: TableResponsesLost, true;
    one_owner_when_writes_to_the_table_are_lost: TableRequestsLost, true;
    one_owner_when_primary_and_target_are_killed: PrimaryAndTargetKilled, true;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_served_again_after_the_loss_of_its_target() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let key = fleet.keys()[0].clone();
    let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
    fleet.kill_target(owner);
    let path = format!("/{KEYED}/{key}");
    let response = fleet.caller.get(fleet.entries[0].caller_address, &path).await;
    assert!(response.is_served() && response.echoes(&path), "{response:?}");
    assert_ne!(response.served_by.as_deref(), Some(fleet.targets[owner].vm.as_str()));
    fleet.verify_journals();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn assignments_survive_the_loss_of_every_entry() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    let before = fleet.status(0).await.expect("the entry does not answer");
    for index in 0..fleet.entries.len() {
        fleet.kill_entry(index);
    }
    sleep(LEASE_EXPIRY_WAIT).await;
    for index in 0..fleet.entries.len() {
        fleet.start_entry(index);
    }
    for index in 0..fleet.entries.len() {
        fleet.wait_until_converged(index).await;
    }
    let after = fleet.status(0).await.expect("the entry does not answer");
    let shards = |status: &entry::Status| {
        let service = &status.services[0];
        let targets = service.targets.iter();
        let mut owned: Vec<_> = targets.map(|target| (target.vm.clone(), target.shards)).collect();
        owned.sort();
        owned
    };
    assert_eq!(shards(&before), shards(&after));
    fleet.verify_journals();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_target_gets_its_share() {
    let mut fleet =
        Fleet::start(FleetPlan { keyed_per_zone: 1, zones: 1, ..FleetPlan::default() }).await;
    let load = Load::start(&fleet, &[0, 1], 2);
    let added = fleet.add_target(KEYED, 0).await;
    let vm = fleet.targets[added].vm.clone();
    let shards = fleet.plan.shards as usize;
    eventually("the new target owns nearly half of the shards", || async {
        let status = fleet.status(0).await?;
        let targets = status.services[0].targets.clone();
        let owned = targets.iter().find(|target| target.vm == vm)?.shards;
        (owned * 5 >= shards * 2).then_some(())
    })
    .await;
    let exchanges = load.finish().await;
    let unserved: Vec<_> =
        exchanges.iter().filter(|exchange| !exchange.response.is_served()).collect();
    assert!(unserved.is_empty(), "{} not served, the first {:?}", unserved.len(), unserved[0]);
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_is_emptied_without_a_refusal() {
    // With one target in each zone, the shards go to another zone.
    for (source, keyed_per_zone) in [("target", 2), ("list", 2), ("operator", 2), ("operator", 1)] {
        let fleet = Fleet::start(FleetPlan { keyed_per_zone, ..FleetPlan::default() }).await;
        let key = fleet.keys()[0].clone();
        let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
        let load = Load::start(&fleet, &[0, 1, 2, 3], 2);
        let vm = fleet.targets[owner].vm.clone();
        match source {
            "target" => fleet.set_target_fault(owner, json!({ "leaving": true })).await,
            "list" => fleet.set_target_vm_state(owner, VmState::Leaving),
            _ => {
                assert!(fleet.post_operation(0, &format!("/drain?vm={vm}&on=true&by=trial")).await);
            }
        }
        eventually(&format!("{vm} owns no shard after a notice from the {source}"), || async {
            let status = fleet.status(0).await?;
            let targets = status.services[0].targets.clone();
            let owned =
                targets.iter().find(|target| target.vm == vm).map_or(0, |target| target.shards);
            (owned == 0).then_some(())
        })
        .await;
        let exchanges = load.finish().await;
        let unserved: Vec<_> =
            exchanges.iter().filter(|exchange| !exchange.response.is_served()).collect();
        assert!(
            unserved.is_empty(),
            "{source}: {} not served, the first {:?}",
            unserved.len(),
            unserved[0]
        );
        fleet.verify_journals();
        fleet.verify_responses(&exchanges);
    }
}
