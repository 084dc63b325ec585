//! Measures how fast configurations and notices to leave take effect, and for how long keys are
//! unavailable when their zone is cut off.

use {
    crate::stats,
    key::clock::Tick,
    serde_json::json,
    standin::journal::Kind,
    std::time::{Duration, Instant},
    store::vms::VmState,
    tokio::time::sleep,
    trial::{Fleet, FleetPlan, KEYED, Load, eventually},
};

const CHANGE_COUNT: usize = 50;
const FAILOVER_LIMIT_MS: u64 = 5_000;
const CUT_DURATION: Duration = Duration::from_secs(15);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Prints the time from the acceptance of a configuration until it is in force in every entry.
pub(crate) async fn measure_configuration() {
    let fleet =
        Fleet::start(FleetPlan { zones: 3, entries_per_zone: 3, ..FleetPlan::default() }).await;
    let mut times_ms = Vec::new();
    let mut base = 1;
    for number in 0..CHANGE_COUNT {
        let config = format!("// change {number}\n{}", fleet.plan.operator_config());
        let Ok(version) = fleet.put_config(number % 9, base, &config, "measure").await else {
            continue;
        };
        let accepted_at = Instant::now();
        base = version;
        for index in 0..fleet.entries.len() {
            eventually("the configuration is in force", || async {
                (fleet.config(index).await?.version.get() >= version).then_some(())
            })
            .await;
        }
        times_ms.push(accepted_at.elapsed().as_secs_f64() * 1e3);
    }
    println!(
        "{} changes, 9 entries in 3 zones | in force everywhere after: median {:.1} ms, worst {:.1} ms",
        times_ms.len(),
        stats::quantile(&mut times_ms, 0.5),
        stats::quantile(&mut times_ms, 1.0),
    );
}

/// Prints for how long a target still gets new requests after each kind of notice to leave.
pub(crate) async fn measure_leaving() {
    for source in ["target", "list", "operator"] {
        for service in [KEYED, "orders"] {
            let fleet =
                Fleet::start(FleetPlan { orders_per_zone: 2, ..FleetPlan::default() }).await;
            let index = fleet.targets.iter().position(|target| target.service == service);
            let Some(index) = index else { continue };
            let vm = fleet.targets[index].vm.clone();
            let load = Load::start(&fleet, &[0, 1, 2, 3], 4);
            sleep(Duration::from_secs(1)).await;
            let notified_at = Tick::now();
            match source {
                "target" => fleet.set_target_fault(index, json!({ "leaving": true })).await,
                "list" => fleet.set_target_vm_state(index, VmState::Leaving),
                _ => {
                    fleet.post_operation(0, &format!("/drain?vm={vm}&on=true&by=measure")).await;
                }
            }
            sleep(Duration::from_secs(5)).await;
            let exchanges = load.finish().await;
            let lines = fleet.journal_lines();
            let runs =
                lines.iter().filter(|line| line.vm == vm && matches!(line.kind, Kind::Ran { .. }));
            let last_run_at = runs.map(|line| line.at).max().unwrap_or_default();
            let unserved =
                exchanges.iter().filter(|exchange| !exchange.response.is_served()).count();
            println!(
                "{service} leaving on the word of the {source} | last new work {} ms after the notice | \
                 {unserved} of {} requests refused",
                last_run_at.since(notified_at).as_millis(),
                exchanges.len(),
            );
            fleet.verify_journals();
        }
    }
}

/// Prints, for each isolation policy, how long a key of a cut-off zone is unavailable to callers
/// inside and outside the zone.
pub(crate) async fn measure_isolation() {
    for (name, isolation) in
        [("hold", json!("hold")), ("move", json!({ "move_after_ms": FAILOVER_LIMIT_MS }))]
    {
        let limits = json!({ "deadline_ms": 300, "attempt_ms": 100 });
        let fleet = Fleet::start(FleetPlan { isolation, limits, ..FleetPlan::default() }).await;
        let mut key = String::new();
        for candidate in fleet.keys() {
            let owner = eventually("the key has an owner", || fleet.owner(0, &candidate)).await;
            if fleet.targets[owner].zone == 1 {
                key = candidate;
                break;
            }
        }
        let inside_entry =
            fleet.entries.iter().position(|entry| entry.zone == 1).unwrap_or_default();
        fleet.isolate(1, true, true);
        let cut_at = Instant::now();
        let (mut unavailable_inside, mut unavailable_outside) = (Duration::ZERO, Duration::ZERO);
        let path = format!("/{KEYED}/{key}");
        let (mut is_reconnected, mut sampled_at) = (false, Instant::now());
        while cut_at.elapsed() < CUT_DURATION * 2 {
            let (inside_response, outside_response) = futures::future::join(
                fleet.caller.get(fleet.entries[inside_entry].caller_address, &path),
                fleet.caller.get(fleet.entries[0].caller_address, &path),
            )
            .await;
            let elapsed = sampled_at.elapsed();
            sampled_at = Instant::now();
            unavailable_inside +=
                if inside_response.is_served() { Duration::ZERO } else { elapsed };
            unavailable_outside +=
                if outside_response.is_served() { Duration::ZERO } else { elapsed };
            if !is_reconnected && cut_at.elapsed() > CUT_DURATION {
                fleet.clear_faults();
                is_reconnected = true;
            }
            sleep(SAMPLE_INTERVAL).await;
        }
        println!(
            "{name} | zone cut off from both for {} s | unavailable to its own callers {:.1} s | to \
             others {:.1} s",
            CUT_DURATION.as_secs(),
            unavailable_inside.as_secs_f64(),
            unavailable_outside.as_secs_f64(),
        );
        fleet.verify_journals();
    }
}
