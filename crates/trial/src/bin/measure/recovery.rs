//! Measures how long keys are unavailable after the loss of their target.

use {
    crate::stats,
    own::{Decision, decision::Proof},
    report::{Kind, Record, log::wall_clock_ms},
    std::time::{Duration, Instant},
    tokio::time::sleep,
    trial::{Fleet, FleetPlan, KEYED, Load, eventually},
};

const RUN_COUNT: usize = 20;

/// The phases of the recovery from one loss.
struct Recovery {
    total: Duration,
    /// From the kill until an entry suspects the target.
    detection_ms: u64,
    /// From the suspicion until the reassignment of its shards is written.
    reassignment_ms: u64,
    /// From the reassignment until every key of the target is served again.
    resumption_ms: u64,
}

/// Returns the time of the first decision that matches.
fn first_decision_at_ms(records: &[Record], is_match: impl Fn(&Decision) -> bool) -> Option<u64> {
    let record = records.iter().find(|record| match &record.kind {
        Kind::Ownership(decision) => is_match(decision),
        _ => false,
    });
    record.map(|record| record.at_ms)
}

/// Kills the target with the most shards under load and waits until its keys are served again.
async fn measure_recovery(fleet: &mut Fleet) -> Recovery {
    let keys = fleet.keys();
    let status = eventually("the entry returns its status", || fleet.status(0)).await;
    let largest_target = status.services[0].targets.iter().max_by_key(|target| target.shards);
    let vm = largest_target.map(|target| target.vm.clone()).unwrap_or_default();
    let owner = fleet.targets.iter().position(|target| target.vm == vm).unwrap_or_default();
    let mut owned_keys = Vec::new();
    for key in &keys {
        if fleet.owner(0, key).await == Some(owner) {
            owned_keys.push(key.clone());
        }
    }
    let load = Load::start(fleet, &[0, 1, 2, 3], 2);
    sleep(Duration::from_millis(200)).await;
    let (killed_at, killed_at_ms) = (Instant::now(), wall_clock_ms());
    fleet.kill_target(owner);
    let key_polls = owned_keys.iter().enumerate().map(|(index, key)| {
        let entry_address = fleet.entries[index % fleet.entries.len()].caller_address;
        let path = format!("/{KEYED}/{key}");
        let fleet = &*fleet;
        async move {
            eventually("the key is served", || async {
                fleet.caller.get(entry_address, &path).await.is_served().then_some(())
            })
            .await;
        }
    });
    futures::future::join_all(key_polls).await;
    let total = killed_at.elapsed();
    load.finish().await;
    let records = eventually("the entry returns its history", || fleet.history(0)).await.result;
    let later_records: Vec<Record> =
        records.into_iter().filter(|record| record.at_ms >= killed_at_ms).collect();
    let suspected_at_ms = first_decision_at_ms(&later_records, |decision| {
        matches!(decision, Decision::Suspected { .. })
    })
    .unwrap_or(killed_at_ms);
    let reassigned_at_ms = first_decision_at_ms(&later_records, |decision| match decision {
        Decision::Reassigned { changes, .. } => {
            changes.iter().any(|change| matches!(change.proof, Proof::Lapsed { .. }))
        }
        _ => false,
    });
    let reassigned_at_ms = reassigned_at_ms.unwrap_or(suspected_at_ms);
    fleet.start_target(owner);
    for entry in 0..fleet.entries.len() {
        fleet.wait_until_converged(entry).await;
    }
    Recovery {
        total,
        detection_ms: suspected_at_ms - killed_at_ms,
        reassignment_ms: reassigned_at_ms.saturating_sub(suspected_at_ms),
        resumption_ms: (total.as_millis() as u64).saturating_sub(reassigned_at_ms - killed_at_ms),
    }
}

/// Prints the phases of a number of recoveries.
pub(crate) async fn run() {
    let mut fleet = Fleet::start(FleetPlan { proxied: false, ..FleetPlan::default() }).await;
    let mut totals_ms = Vec::new();
    for run in 0..RUN_COUNT {
        let recovery = measure_recovery(&mut fleet).await;
        println!(
            "loss {run} | {} ms until every key was answered | detected after {} ms | proved and \
             written after {} ms more | granted, published and answered after {} ms more",
            recovery.total.as_millis(),
            recovery.detection_ms,
            recovery.reassignment_ms,
            recovery.resumption_ms,
        );
        totals_ms.push(recovery.total.as_millis() as f64);
        sleep(Duration::from_millis(200)).await;
    }
    println!(
        "{RUN_COUNT} losses | median {} ms | worst {} ms",
        stats::quantile(&mut totals_ms, 0.5),
        stats::quantile(&mut totals_ms, 1.0),
    );
    fleet.verify_journals();
}

/// Prints the recovery time by the number of shards of the lost target.
pub(crate) async fn run_by_shards() {
    const RUNS_PER_SIZE: usize = 3;
    let mut points = Vec::new();
    for shards in [48, 384, 1_536] {
        let mut fleet =
            Fleet::start(FleetPlan { proxied: false, shards, ..FleetPlan::default() }).await;
        let mut totals_ms = Vec::new();
        for _ in 0..RUNS_PER_SIZE {
            totals_ms.push(measure_recovery(&mut fleet).await.total.as_millis() as f64);
        }
        points.push((f64::from(shards) / 4.0, stats::quantile(&mut totals_ms, 0.5)));
    }
    stats::print_fit("recovery", "shard of the lost target", "ms", &points);
}
