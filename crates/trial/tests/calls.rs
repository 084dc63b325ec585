//! The calls to the store of a fleet in which most entries follow a few others.

use {
    standin::rows::CallKind,
    std::time::{Duration, Instant},
    tokio::time,
    trial::{INITIAL_ROUTES, ROUTES_WITH_LATER, Site, SitePlan, eventually},
};

/// Seven entries in each of three zones, so that two of each zone read the store.
const ENTRIES: usize = 21;
const ZONES: usize = 3;

/// The entries that read the store: two of each zone, and the leader if it is another one.
const READING: u64 = 7;

const OPERATOR_TABLE: &str = "op";
const ENTRIES_TABLE: &str = "almondworks";

/// The changes of the routing configuration that are counted.
const CHANGES: u64 = 3;

/// The time within which a change of the routing configuration is in force, as in the settings.
const ROUTING_APPLY: Duration = Duration::from_millis(2_500);

/// Longer than an entry takes to find a reader once it knows the others.
const SETTLING_TIME: Duration = Duration::from_secs(6);

fn plan() -> SitePlan {
    SitePlan { entries: ENTRIES, keyed_targets: 2, unkeyed_targets: 3, ..SitePlan::default() }
}

fn polls(site: &Site, table: &str) -> u64 {
    site.store.call_count(CallKind::Poll, table) + site.store.call_count(CallKind::Read, table)
}

/// Waits until all of some entries have a version of the routing configuration, and returns how
/// long that took.
async fn wait_for_routing(site: &Site, entries: &[usize], version: u64) -> Duration {
    let line = format!("almondworks_routing_version {version}");
    let since = Instant::now();
    for entry in entries {
        eventually("an entry has the routing configuration", || async {
            let metrics = site.metrics_if_running(*entry).await?;
            metrics.lines().any(|other| other == line).then_some(())
        })
        .await;
    }
    since.elapsed()
}

/// Guards against every entry polling the tables of operators and entries, so that each change in
/// one costs as many calls as there are entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_cost_calls_of_the_readers_only() {
    let site = Site::start(plan()).await;
    time::sleep(SETTLING_TIME).await;
    let all: Vec<usize> = (0..ENTRIES).collect();
    // The polls that were made before the entries followed others end with the first change.
    site.write_routing(2, &ROUTES_WITH_LATER);
    wait_for_routing(&site, &all, 2).await;
    site.store.write_row(ENTRIES_TABLE, "nobody", b"{}");
    time::sleep(SETTLING_TIME).await;
    let before = polls(&site, OPERATOR_TABLE);
    for number in 0..CHANGES {
        let routes =
            if number.is_multiple_of(2) { &INITIAL_ROUTES[..] } else { &ROUTES_WITH_LATER };
        site.write_routing(3 + number, routes);
        let took = wait_for_routing(&site, &all, 3 + number).await;
        assert!(took < ROUTING_APPLY, "the change was in force after {took:?}");
    }
    time::sleep(Duration::from_secs(1)).await;
    let calls = polls(&site, OPERATOR_TABLE) - before;
    // Each reader polls again after each change, and once more when a poll without one has ended.
    assert!(calls <= READING * (CHANGES + 1), "{calls} calls for the operators' table");

    let before = polls(&site, ENTRIES_TABLE);
    let vms: Vec<String> = (0..ENTRIES).map(|entry| format!("member/e{entry}")).collect();
    let known = vms.iter().filter(|key| site.store.read_row(ENTRIES_TABLE, key).is_some());
    assert_eq!(known.count(), ENTRIES, "the rows of the entries have other keys");
    site.store.remove_row(ENTRIES_TABLE, &vms[ENTRIES - 1]);
    eventually("an entry whose row was removed writes it again", || async {
        site.store.read_row(ENTRIES_TABLE, &vms[ENTRIES - 1]).map(drop)
    })
    .await;
    time::sleep(Duration::from_secs(2)).await;
    let calls = polls(&site, ENTRIES_TABLE) - before;
    // Two changes, a poll without one, and the reads by which the leader confirms its leadership.
    assert!(calls <= READING * 3 + 4, "{calls} calls for the table of entries");
}

/// Guards against followers that hear of no routing configuration since the entries that told them
/// are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_of_lost_readers_get_the_routing_configuration_in_time() {
    let mut site = Site::start(plan()).await;
    time::sleep(SETTLING_TIME).await;
    let zone: Vec<usize> = (0..ENTRIES).step_by(ZONES).collect();
    let follows = |entry: &usize| {
        let log = std::fs::read_to_string(site.entry_log_path(*entry)).expect("a log");
        log.lines().any(|line| line.contains("\"follow\""))
    };
    let (followers, readers): (Vec<usize>, Vec<usize>) = zone.into_iter().partition(follows);
    assert!(!followers.is_empty(), "no entry of the zone follows another");
    for reader in readers {
        site.kill_entry(reader);
    }
    site.write_routing(2, &ROUTES_WITH_LATER);
    let took = wait_for_routing(&site, &followers, 2).await;
    assert!(took < ROUTING_APPLY, "the change was in force after {took:?}");
    site.write_routing(3, &INITIAL_ROUTES);
    let took = wait_for_routing(&site, &followers, 3).await;
    assert!(took < ROUTING_APPLY, "the next change was in force after {took:?}");
}

/// Guards against followers that take what their reader knew before the store came back from a copy
/// for newer than what it says afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_learn_what_changes_after_the_store_came_back_from_a_copy() {
    let site = Site::start(plan()).await;
    time::sleep(SETTLING_TIME).await;
    let all: Vec<usize> = (0..ENTRIES).collect();
    let copy = site.store.copy();
    site.write_routing(2, &ROUTES_WITH_LATER);
    wait_for_routing(&site, &all, 2).await;
    site.store.restore(&copy);
    time::sleep(Duration::from_secs(2)).await;
    site.write_routing(3, &INITIAL_ROUTES);
    let took = wait_for_routing(&site, &all, 3).await;
    assert!(took < ROUTING_APPLY, "the change was in force after {took:?}");
    let key = format!("member/e{}", ENTRIES - 1);
    site.store.remove_row(ENTRIES_TABLE, &key);
    eventually("an entry whose row was removed writes it again", || async {
        site.store.read_row(ENTRIES_TABLE, &key).map(drop)
    })
    .await;
}
