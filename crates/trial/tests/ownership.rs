//! One owner at a time, with real processes.

use {
    serde_json::json,
    standin::{platform::Fault as PlatformFault, proxy::Fault},
    std::time::Duration,
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Fleet, FleetPlan, KEYED, Load, eventually},
};

/// Longer than a lease lives, so that what is stopped for it loses its keys.
const PAST_THE_LEASE: Duration = Duration::from_millis(2_500);

/// Something that endangers the sole ownership of keys.
#[derive(Clone, Copy, Debug)]
enum Danger {
    FrozenTarget,
    PausedGuardian,
    CutGuardian,
    DelayedOrders,
    LostAnswers,
    LostRequests,
    KilledGuardianAndTarget,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    danger: Danger,
    fenced: bool,
}

async fn survive(case: Case) {
    let mut fleet = Fleet::start(FleetPlan { fenced: case.fenced, ..FleetPlan::default() }).await;
    let load = Load::start(&fleet, &[0, 1, 2, 3], 2);
    sleep(Duration::from_millis(300)).await;
    endanger(&mut fleet, case.danger).await;
    for at in 0..fleet.entries.len() {
        fleet.wait_until_converged(at).await;
    }
    let exchanges = load.finish().await;
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
    assert!(
        exchanges.iter().filter(|exchange| exchange.response.is_served()).count() > 50,
        "hardly any traffic"
    );
}

async fn endanger(fleet: &mut Fleet, danger: Danger) {
    let key = fleet.keys()[0].clone();
    let owner = eventually("the key has an owner", || fleet.owner(0, &key)).await;
    let zone = fleet.targets[owner].zone;
    let primary = eventually("the cell has a guardian", || fleet.primary(0, zone)).await;
    let name = fleet.targets[owner].vm.to_string();
    match danger {
        Danger::FrozenTarget => {
            fleet.pause_target(owner);
            // Requests go on reaching its socket until its keys have moved.
            sleep(PAST_THE_LEASE).await;
            fleet.resume_target(owner);
        }
        Danger::PausedGuardian => {
            fleet.pause_entry(primary);
            sleep(PAST_THE_LEASE).await;
            fleet.kill_target(owner);
            sleep(PAST_THE_LEASE).await;
            fleet.resume_entry(primary);
            sleep(Duration::from_secs(1)).await;
            fleet.start_target(owner);
        }
        Danger::CutGuardian => {
            fleet.set_proxy_fault(&name, &Fault { cut_backward: true, ..Fault::default() });
            sleep(PAST_THE_LEASE).await;
            fleet.clear_faults();
        }
        Danger::DelayedOrders => {
            fleet.set_proxy_fault(&name, &Fault { delay_ms: 5_000, ..Fault::default() });
            sleep(Duration::from_secs(6)).await;
            fleet.clear_faults();
        }
        Danger::LostAnswers | Danger::LostRequests => {
            let lost = matches!(danger, Danger::LostAnswers);
            fleet.set_platform_fault(PlatformFault {
                lose_answers_percent: if lost { 70 } else { 0 },
                lose_requests_percent: if lost { 0 } else { 70 },
                ..PlatformFault::default()
            });
            fleet.kill_target(owner);
            sleep(PAST_THE_LEASE).await;
            fleet.clear_faults();
            fleet.start_target(owner);
        }
        Danger::KilledGuardianAndTarget => {
            fleet.kill_entry(primary);
            fleet.kill_target(owner);
            sleep(PAST_THE_LEASE).await;
            // Nothing proves yet that the guardian renews no more; its VM's end does.
            fleet.set_entry_vm_state(primary, VmState::Gone);
            let entry = if primary == 0 { 1 } else { 0 };
            eventually("the key has another owner", || async {
                fleet.owner(entry, &key).await.filter(|other| *other != owner)
            })
            .await;
            // A VM that is gone does not come back; the fleet is whole without it.
            fleet.entries.remove(primary);
        }
    }
}

macro_rules! dangers {
    ($($name:ident: $danger:ident, $fenced:literal;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                survive(Case { danger: Danger::$danger, fenced: $fenced }).await;
            }
        )*
    };
}

dangers! {
    one_owner_when_a_target_freezes: FrozenTarget, true;
    one_owner_when_an_unfenced_target_freezes: FrozenTarget, false;
    one_owner_when_a_guardian_is_paused: PausedGuardian, true;
    one_owner_when_a_guardian_of_unfenced_targets_is_paused: PausedGuardian, false;
    one_owner_when_answers_to_orders_are_cut_off: CutGuardian, true;
    one_owner_when_answers_of_an_unfenced_target_are_cut_off: CutGuardian, false;
    one_owner_when_orders_are_late: DelayedOrders, true;
    one_owner_when_orders_to_an_unfenced_target_are_late: DelayedOrders, false;
    one_owner_when_answers_of_the_table_are_lost: LostAnswers, true;
    one_owner_when_writes_to_the_table_are_lost: LostRequests, true;
    one_owner_when_guardian_and_target_are_killed: KilledGuardianAndTarget, true;
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
    let before = fleet.status(0).await.expect("the entry answers");
    for at in 0..fleet.entries.len() {
        fleet.kill_entry(at);
    }
    sleep(PAST_THE_LEASE).await;
    for at in 0..fleet.entries.len() {
        fleet.start_entry(at);
    }
    for at in 0..fleet.entries.len() {
        fleet.wait_until_converged(at).await;
    }
    let after = fleet.status(0).await.expect("the entry answers");
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
    let refused: Vec<_> =
        exchanges.iter().filter(|exchange| !exchange.response.is_served()).collect();
    assert!(refused.is_empty(), "{} refused, the first {:?}", refused.len(), refused[0]);
    fleet.verify_journals();
    fleet.verify_responses(&exchanges);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_is_emptied_without_a_refusal() {
    // The last target of a zone gives its shards to another zone.
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
        eventually(&format!("{vm} is empty on the word of the {source}"), || async {
            let status = fleet.status(0).await?;
            let targets = status.services[0].targets.clone();
            let owned =
                targets.iter().find(|target| target.vm == vm).map_or(0, |target| target.shards);
            (owned == 0).then_some(())
        })
        .await;
        let exchanges = load.finish().await;
        let refused: Vec<_> =
            exchanges.iter().filter(|exchange| !exchange.response.is_served()).collect();
        assert!(
            refused.is_empty(),
            "{source}: {} refused, the first {:?}",
            refused.len(),
            refused[0]
        );
        fleet.verify_journals();
        fleet.verify_responses(&exchanges);
    }
}
