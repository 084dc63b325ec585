//! Targets that return cold get no more requests than they tolerate, from all entries together, and
//! are not left idle.

use {
    key::Vm,
    serde_json::json,
    standin::journal::{Kind, Line},
    std::{
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time,
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest},
};

const ENTRY_COUNT: usize = 3;

/// The interval between two requests of one caller. Together the callers send more than ten times
/// what the cold targets tolerate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// The time for which a target is cold.
const COLD_MS: u64 = 3_000;

/// The requests a second that a cold target tolerates.
const COLD_PER_S: f64 = 3.9;

/// The requests that a cold target may get in one second: 3.9 x 1.5 + 8.
const MAX_PER_S: usize = 13;

const SECOND_MICROS: u64 = 1_000_000;

/// The targets that return cold; one target of the service stays.
const COLD_TARGETS: [usize; 2] = [3, 4];

#[derive(Debug, Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    other: AtomicUsize,
}

/// Sends orders through one entry at a fixed interval until `stop` is set, without waiting for the
/// responses.
async fn call(site: &Site, entry: usize, stop: &AtomicBool, counts: &Counts) {
    const CALLERS: usize = 4;
    let callers = (0..CALLERS).map(|_| async {
        let mut ticks = time::interval(REQUEST_INTERVAL * CALLERS as u32);
        while !stop.load(Ordering::Relaxed) {
            ticks.tick().await;
            let response = site.send(entry, &SiteRequest::order()).await;
            let count = if response.is_served() {
                &counts.served
            } else if response.is_not_run() {
                &counts.refused
            } else {
                &counts.other
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    futures::future::join_all(callers).await;
}

/// Returns when each request arrived at a target, from its start until it was warm.
fn arrivals_while_cold(lines: &[Line], vm: &Vm) -> Vec<u64> {
    let of_target = lines.iter().filter(|line| line.vm == *vm);
    let arrived = of_target.filter(|line| matches!(line.kind, Kind::Arrived { .. }));
    let all: Vec<u64> = arrived.map(|line| line.at.as_micros()).collect();
    let first = all.first().copied().unwrap_or_default();
    all.into_iter().filter(|at| *at < first + (COLD_MS - 500) * 1_000).collect()
}

fn busiest_second(arrivals: &[u64]) -> usize {
    let in_second = |(index, start): (usize, &u64)| {
        arrivals[index..].iter().take_while(|at| **at < start + SECOND_MICROS).count()
    };
    arrivals.iter().enumerate().map(in_second).max().unwrap_or(0)
}

/// Guards against requests without a permit from entries that have not learned that a target is
/// cold, or that prefer it since it has no latency yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_return_cold_get_what_they_tolerate() {
    struct Case {
        name: &'static str,
        down: Duration,
    }
    let cases = [
        Case { name: "shorter than a registration lasts", down: Duration::from_millis(300) },
        Case { name: "as long as an outage of a zone", down: Duration::from_millis(4_500) },
    ];
    for Case { name, down } in cases {
        let plan = SitePlan {
            entries: ENTRY_COUNT,
            keyed_targets: 3,
            unkeyed_targets: 3,
            proxied: false,
            ..SitePlan::default()
        };
        let mut site = Site::prepare(plan).await;
        site.write_slow_start_routing(2, &INITIAL_ROUTES, "3s", COLD_PER_S);
        for entry in 0..ENTRY_COUNT {
            site.set_setting(entry, "slow_start", json!({ "overshoot": 1.5, "slack": 8 }));
        }
        site.start_entries().await;
        let (stop, counts) = (AtomicBool::new(false), Counts::default());
        for (is_over, span) in [(false, down), (true, Duration::from_millis(COLD_MS + 2_000))] {
            for target in COLD_TARGETS {
                if is_over {
                    site.start_cold_target(target, COLD_MS);
                } else {
                    site.kill_target(target);
                }
            }
            stop.store(false, Ordering::Relaxed);
            let pause = async {
                time::sleep(span).await;
                stop.store(true, Ordering::Relaxed);
            };
            tokio::join!(
                pause,
                call(&site, 0, &stop, &counts),
                call(&site, 1, &stop, &counts),
                call(&site, 2, &stop, &counts),
            );
        }
        let lines = site.journal_lines();
        for target in COLD_TARGETS {
            let vm = Vm::from(format!("t{target}").as_str());
            let arrivals = arrivals_while_cold(&lines, &vm);
            let busiest = busiest_second(&arrivals);
            assert!(
                busiest <= MAX_PER_S,
                "{name}: {busiest} requests in a second to {vm:?}, {MAX_PER_S} allowed; {counts:?}"
            );
            let idle_limit = (COLD_PER_S * 1.0) as usize;
            assert!(
                arrivals.len() >= idle_limit,
                "{name}: only {} requests to {vm:?} while cold; {counts:?}",
                arrivals.len()
            );
        }
    }
}
