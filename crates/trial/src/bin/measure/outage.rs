//! How fast a configuration is in force, and what a cut-off zone costs under each policy.

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

const CHANGES: usize = 50;
const LIMIT_MS: u64 = 5_000;
const CUT: Duration = Duration::from_secs(15);
const SAMPLE: Duration = Duration::from_millis(100);

/// Prints the time from the acceptance of a text until every entry has it in force.
pub(crate) async fn configuration() {
    let fleet =
        Fleet::start(FleetPlan { zones: 3, entries_per_zone: 3, ..FleetPlan::default() }).await;
    let mut times = Vec::new();
    let mut base = 1;
    for number in 0..CHANGES {
        let text = format!("// change {number}\n{}", fleet.plan.operator_config());
        let Ok(version) = fleet.put_config(number % 9, base, &text, "measure").await else {
            continue;
        };
        let accepted = Instant::now();
        base = version;
        for at in 0..fleet.entries.len() {
            eventually("the text is in force", || async {
                (fleet.config(at).await?.version.get() >= version).then_some(())
            })
            .await;
        }
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
    }
    println!(
        "{} changes, 9 entries in 3 zones | in force everywhere after: median {:.1} ms, worst {:.1} ms",
        times.len(),
        stats::quantile(&mut times, 0.5),
        stats::quantile(&mut times, 1.0),
    );
}

/// Prints how long after each kind of notice a target still gets new work.
pub(crate) async fn leaving() {
    for source in ["target", "list", "operator"] {
        for service in [KEYED, "orders"] {
            let fleet =
                Fleet::start(FleetPlan { orders_per_zone: 2, ..FleetPlan::default() }).await;
            let at = fleet.targets.iter().position(|target| target.service == service);
            let Some(at) = at else { continue };
            let vm = fleet.targets[at].vm.clone();
            let load = Load::start(&fleet, &[0, 1, 2, 3], 4);
            sleep(Duration::from_secs(1)).await;
            let notice = Tick::now();
            match source {
                "target" => fleet.set_target_fault(at, json!({ "leaving": true })).await,
                "list" => fleet.set_target_vm_state(at, VmState::Leaving),
                _ => {
                    fleet.post_operation(0, &format!("/drain?vm={vm}&on=true&by=measure")).await;
                }
            }
            sleep(Duration::from_secs(5)).await;
            let exchanges = load.finish().await;
            let lines = fleet.journal_lines();
            let ran =
                lines.iter().filter(|line| line.vm == vm && matches!(line.kind, Kind::Ran { .. }));
            let last = ran.map(|line| line.at).max().unwrap_or_default();
            let refused = exchanges.iter().filter(|one| !one.response.is_served()).count();
            println!(
                "{service} leaving on the word of the {source} | last new work {} ms after the notice | \
                 {refused} of {} requests refused",
                last.since(notice).as_millis(),
                exchanges.len(),
            );
            fleet.verify_journals();
        }
    }
}

/// Prints for how long the keys of a cut-off zone are unavailable inside and outside of it.
pub(crate) async fn isolation() {
    for (name, isolation) in
        [("hold", json!("hold")), ("move", json!({ "move_after_ms": LIMIT_MS }))]
    {
        let limits = json!({ "deadline_ms": 300, "attempt_ms": 100 });
        let fleet = Fleet::start(FleetPlan { isolation, limits, ..FleetPlan::default() }).await;
        let mut key = String::new();
        for candidate in fleet.keys() {
            let owner = eventually("an owner", || fleet.owner(0, &candidate)).await;
            if fleet.targets[owner].zone == 1 {
                key = candidate;
                break;
            }
        }
        let inside = fleet.entries.iter().position(|entry| entry.zone == 1).unwrap_or_default();
        fleet.isolate(1, true, true);
        let cut = Instant::now();
        let (mut lost_inside, mut lost_outside) = (Duration::ZERO, Duration::ZERO);
        let path = format!("/{KEYED}/{key}");
        let (mut healed, mut last) = (false, Instant::now());
        while cut.elapsed() < CUT * 2 {
            let (one, other) = futures::future::join(
                fleet.caller.get(fleet.entries[inside].caller_address, &path),
                fleet.caller.get(fleet.entries[0].caller_address, &path),
            )
            .await;
            let span = last.elapsed();
            last = Instant::now();
            lost_inside += if one.is_served() { Duration::ZERO } else { span };
            lost_outside += if other.is_served() { Duration::ZERO } else { span };
            if !healed && cut.elapsed() > CUT {
                fleet.clear_faults();
                healed = true;
            }
            sleep(SAMPLE).await;
        }
        println!(
            "{name} | zone cut off from both for {} s | unavailable to its own callers {:.1} s | to \
             others {:.1} s",
            CUT.as_secs(),
            lost_inside.as_secs_f64(),
            lost_outside.as_secs_f64(),
        );
        fleet.verify_journals();
    }
}
