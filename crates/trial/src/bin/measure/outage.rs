//! How fast a configuration is in force, and what a cut-off zone costs under each policy.

use {
    crate::stats,
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
    trial::{Fleet, KEYED, Plan, eventually},
};

const CHANGES: usize = 50;
const LIMIT_MS: u64 = 5_000;
const CUT: Duration = Duration::from_secs(15);
const SAMPLE: Duration = Duration::from_millis(100);

/// Prints the time from the acceptance of a text until every entry has it in force.
pub(crate) async fn configuration() {
    let fleet = Fleet::start(Plan { zones: 3, entries: 3, ..Plan::default() }).await;
    let mut times = Vec::new();
    let mut base = 1;
    for number in 0..CHANGES {
        let text = format!("// change {number}\n{}", fleet.plan.text());
        let Ok(version) = fleet.put(number % 9, base, &text, "measure").await else { continue };
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

/// Prints for how long the keys of a cut-off zone are unavailable inside and outside of it.
pub(crate) async fn isolation() {
    for (name, isolation) in
        [("hold", json!("hold")), ("move", json!({ "move_after_ms": LIMIT_MS }))]
    {
        let limits = json!({ "deadline_ms": 300, "attempt_ms": 100 });
        let fleet = Fleet::start(Plan { isolation, limits, ..Plan::default() }).await;
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
                fleet.caller.get(fleet.entries[inside].callers, &path),
                fleet.caller.get(fleet.entries[0].callers, &path),
            )
            .await;
            let span = last.elapsed();
            last = Instant::now();
            lost_inside += if one.is_served() { Duration::ZERO } else { span };
            lost_outside += if other.is_served() { Duration::ZERO } else { span };
            if !healed && cut.elapsed() > CUT {
                fleet.heal();
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
        fleet.verify();
    }
}
