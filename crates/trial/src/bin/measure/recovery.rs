//! How long keys are without an owner after the loss of their target.

use {
    crate::stats,
    own::{Decision, decision::Proof},
    report::{Kind, Record, log::wall_clock_ms},
    std::time::{Duration, Instant},
    tokio::time::sleep,
    trial::{Fleet, FleetPlan, KEYED, Load, eventually},
};

const RUNS: usize = 20;

/// One loss.
struct Loss {
    total: Duration,
    detect_ms: u64,
    prove_ms: u64,
    answer_ms: u64,
}

fn at(records: &[Record], matches: impl Fn(&Decision) -> bool) -> Option<u64> {
    let found = records.iter().find(|record| match &record.kind {
        Kind::Ownership(decision) => matches(decision),
        _ => false,
    });
    found.map(|record| record.at_ms)
}

/// Kills the owner of a key under load and waits until every one of its keys is answered again.
async fn lose(fleet: &mut Fleet) -> Loss {
    let keys = fleet.keys();
    let status = eventually("the status", || fleet.status(0)).await;
    let target = status.services[0].targets.iter().max_by_key(|target| target.shards);
    let vm = target.map(|target| target.vm.clone()).unwrap_or_default();
    let owner = fleet.targets.iter().position(|target| target.vm == vm).unwrap_or_default();
    let mut owned = Vec::new();
    for key in &keys {
        if fleet.owner(0, key).await == Some(owner) {
            owned.push(key.clone());
        }
    }
    let load = Load::start(fleet, &[0, 1, 2, 3], 2);
    sleep(Duration::from_millis(200)).await;
    let (killed, killed_ms) = (Instant::now(), wall_clock_ms());
    fleet.kill_target(owner);
    let answers = owned.iter().enumerate().map(|(number, key)| {
        let to = fleet.entries[number % fleet.entries.len()].caller_address;
        let path = format!("/{KEYED}/{key}");
        let fleet = &*fleet;
        async move {
            eventually("the key is answered", || async {
                fleet.caller.get(to, &path).await.is_served().then_some(())
            })
            .await;
        }
    });
    futures::future::join_all(answers).await;
    let total = killed.elapsed();
    load.finish().await;
    let records = eventually("the history", || fleet.history(0)).await.result;
    let since: Vec<Record> =
        records.into_iter().filter(|record| record.at_ms >= killed_ms).collect();
    let suspected =
        at(&since, |one| matches!(one, Decision::Suspected { .. })).unwrap_or(killed_ms);
    let moved = at(&since, |one| match one {
        Decision::Reassigned { changes, .. } => {
            changes.iter().any(|change| matches!(change.proof, Proof::Lapsed { .. }))
        }
        _ => false,
    });
    let moved = moved.unwrap_or(suspected);
    fleet.start_target(owner);
    for entry in 0..fleet.entries.len() {
        fleet.wait_until_converged(entry).await;
    }
    Loss {
        total,
        detect_ms: suspected - killed_ms,
        prove_ms: moved.saturating_sub(suspected),
        answer_ms: (total.as_millis() as u64).saturating_sub(moved - killed_ms),
    }
}

/// Prints where the time goes over a number of losses.
pub(crate) async fn run() {
    let mut fleet = Fleet::start(FleetPlan { proxied: false, ..FleetPlan::default() }).await;
    let mut totals = Vec::new();
    for run in 0..RUNS {
        let loss = lose(&mut fleet).await;
        println!(
            "loss {run} | {} ms until every key was answered | detected after {} ms | proved and \
             written after {} ms more | granted, published and answered after {} ms more",
            loss.total.as_millis(),
            loss.detect_ms,
            loss.prove_ms,
            loss.answer_ms,
        );
        totals.push(loss.total.as_millis() as f64);
        sleep(Duration::from_millis(200)).await;
    }
    println!(
        "{RUNS} losses | median {} ms | worst {} ms",
        stats::quantile(&mut totals, 0.5),
        stats::quantile(&mut totals, 1.0),
    );
    fleet.verify_journals();
}

/// Prints the time against the shards of the lost target.
pub(crate) async fn by_shards() {
    const PER_SIZE: usize = 3;
    let mut points = Vec::new();
    for shards in [48, 384, 1_536] {
        let mut fleet =
            Fleet::start(FleetPlan { proxied: false, shards, ..FleetPlan::default() }).await;
        let mut times = Vec::new();
        for _ in 0..PER_SIZE {
            times.push(lose(&mut fleet).await.total.as_millis() as f64);
        }
        points.push((f64::from(shards) / 4.0, stats::quantile(&mut times, 0.5)));
    }
    stats::show("recovery", "shard of the lost target", "ms", &points);
}
