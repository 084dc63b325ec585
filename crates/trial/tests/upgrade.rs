//! Entries of an earlier release beside those of this one, in both orders of replacement.
//!
//! The program of the earlier release is built by hand from this repository's history:
//!
//! ```text
//! git worktree add target/earlier COMMIT
//! cargo build --release --package almondworks --manifest-path target/earlier/Cargo.toml
//! ALMONDWORKS_EARLIER=target/earlier/target/release/almondworks cargo test -p trial --test upgrade -- --ignored
//! ```

use {
    standin::{caller::Route, check},
    std::{collections::HashSet, env, path::Path},
    trial::{Site, SitePlan, SiteRequest},
};

/// Seven entries in each of three zones, so that those of this release follow readers.
const ENTRIES: usize = 21;
const KEYS_PER_STEP: u16 = 6;

/// Sends lookups and orders through all entries but `except`, and records the orders that were
/// refused as not run.
async fn send_requests(site: &Site, except: usize, not_run: &mut HashSet<String>) {
    for entry in (0..ENTRIES).filter(|entry| *entry != except).step_by(3) {
        for number in 0..KEYS_PER_STEP {
            site.send(entry, &SiteRequest::lookup(number * 9_973)).await;
        }
        let order = site.send(entry, &SiteRequest::order()).await;
        if order.is_not_run() {
            not_run.insert(order.id);
        }
    }
}

/// Replaces all entries one after the other, with a lost target and a change of the routing
/// configuration in between.
async fn replace_all(
    site: &mut Site,
    program: Option<&str>,
    version: u64,
    not_run: &mut HashSet<String>,
) {
    for entry in 0..ENTRIES {
        site.kill_entry(entry);
        site.set_program(entry, program);
        if entry == ENTRIES / 3 {
            site.kill_target(0);
        }
        if entry == ENTRIES / 2 {
            site.write_routing(
                version,
                &[
                    Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" },
                    Route { prefix: "/orders/", kind: "unsafe", service: "orders" },
                ],
            );
            site.start_target(0);
        }
        send_requests(site, entry, not_run).await;
        site.start_entry(entry);
        site.wait_until_served(entry, &SiteRequest::order()).await;
    }
    for entry in 0..ENTRIES {
        for key in (0..=u16::MAX).step_by(8_191) {
            site.wait_until_served(entry, &SiteRequest::lookup(key)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "needs the program of an earlier release in ALMONDWORKS_EARLIER"]
async fn an_earlier_release_runs_beside_this_one_in_both_orders() {
    let path = env::var("ALMONDWORKS_EARLIER").expect("ALMONDWORKS_EARLIER is set");
    let earlier = Path::new(&path).canonicalize().expect("the program exists");
    let earlier = earlier.to_str().expect("a path in UTF-8");
    let plan = SitePlan { entries: ENTRIES, keyed_targets: 4, ..SitePlan::default() };
    let mut site = Site::start(plan).await;
    let mut not_run = HashSet::new();
    replace_all(&mut site, Some(earlier), 11, &mut not_run).await;
    replace_all(&mut site, None, 12, &mut not_run).await;
    let lines = site.journal_lines();
    let overlaps = check::key_overlaps(&lines);
    assert!(overlaps.is_empty(), "a key had two holders: {:?}", overlaps.first());
    let runs = check::run_counts(&lines);
    let run_twice = runs.iter().find(|(_, count)| **count > 1);
    assert!(run_twice.is_none(), "an order ran twice: {run_twice:?}");
    let run_despite_refusal = runs.keys().find(|id| not_run.contains(id.as_str()));
    assert!(run_despite_refusal.is_none(), "run despite a refusal: {run_despite_refusal:?}");
}
