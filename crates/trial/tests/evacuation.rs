//! An availability zone that an operator evacuates, and takes back.

use {
    futures::future::join_all,
    key::clock::Tick,
    serde_json::json,
    standin::{
        journal::{Kind, Line},
        proxy,
    },
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

const ENTRIES: usize = 3;

/// Two targets of each service in each of the three zones.
const TARGETS_PER_SERVICE: usize = 6;

/// The targets of the zone that is evacuated.
const ZONE: &str = "c";
const KEYED_TARGETS: [&str; 2] = ["t2", "t5"];
const UNKEYED_TARGETS: [&str; 2] = ["t8", "t11"];

/// The bound on the time from the acknowledged row to the last request for the zone.
const BOUND: Duration = Duration::from_secs(3);

/// The time for which requests are sent after the bound.
const SENDING_TIME: Duration = Duration::from_millis(1_500);

/// The time between two requests through an entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The orders at a time that show whether the zone is used again. A target that is new to an entry
/// counts as slower than one that has answered a few requests at leisure, so the others must be busy.
const ORDERS_AT_A_TIME: usize = 48;

/// The entry that the store turns away.
const CUT_ENTRY: usize = 1;

async fn start_site() -> Site {
    let plan = SitePlan {
        entries: ENTRIES,
        keyed_targets: TARGETS_PER_SERVICE,
        unkeyed_targets: TARGETS_PER_SERVICE,
        ..SitePlan::default()
    };
    let mut site = Site::prepare(plan).await;
    for entry in 0..ENTRIES {
        site.set_setting(entry, "evacuation", json!(format!("{}ms", BOUND.as_millis())));
    }
    site.start_entries().await;
    site
}

/// Sends lookups and orders through an entry until `stop` is set. Returns when each order ended that
/// was not served.
async fn send_requests(site: &Site, entry: usize, stop: &AtomicBool) -> Vec<Tick> {
    let mut unserved = Vec::new();
    let mut key = 0_u16;
    while !stop.load(Ordering::Relaxed) {
        key = key.wrapping_add(4_099);
        let (order, _) =
            tokio::join!(async { site.send(entry, &SiteRequest::order()).await }, async {
                site.send(entry, &SiteRequest::lookup(key)).await
            },);
        if !order.is_served() {
            unserved.push(Tick::now());
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
    unserved
}

/// Returns when requests began on some targets.
fn begun_on(site: &Site, targets: &[&str]) -> Vec<Tick> {
    let is_begun = |line: &Line| {
        matches!(line.kind, Kind::Began { .. }) && targets.contains(&line.vm.as_str())
    };
    site.journal_lines().into_iter().filter(is_begun).map(|line| line.at).collect()
}

/// Guards against entries that keep using the targets of a zone after an operator has evacuated it,
/// whether they read the store or it turns them away, and against a zone that stays unused after it
/// was taken back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_zone_gets_no_requests_until_it_is_taken_back() {
    let site = start_site().await;
    let row = format!("evacuate/{ZONE}");
    let stop = AtomicBool::new(false);
    let operate = async {
        time::sleep(Duration::from_secs(1)).await;
        site.set_store_proxy_fault(CUT_ENTRY, proxy::Fault { cut: true, ..Default::default() });
        time::sleep(Duration::from_secs(2)).await;
        site.store.write_row("op", &row, b"{}");
        let requested_at = Tick::now();
        time::sleep(BOUND + SENDING_TIME).await;
        stop.store(true, Ordering::Relaxed);
        requested_at
    };
    let load = join_all((0..ENTRIES).map(|entry| send_requests(&site, entry, &stop)));
    let (requested_at, unserved) = tokio::join!(operate, load);

    let zone: Vec<&str> = KEYED_TARGETS.into_iter().chain(UNKEYED_TARGETS).collect();
    for targets in [&KEYED_TARGETS, &UNKEYED_TARGETS] {
        let before = begun_on(&site, targets).iter().filter(|at| **at < requested_at).count();
        assert!(before > 0, "no request began on {targets:?} before the evacuation");
    }
    let closed_at = requested_at.plus(BOUND);
    let late = begun_on(&site, &zone).iter().filter(|at| **at > closed_at).count();
    assert_eq!(late, 0, "requests began in the zone after the bound");
    let refused = unserved.iter().flatten().filter(|at| **at > requested_at).count();
    assert_eq!(refused, 0, "orders were not served although two zones are in use");
    for entry in 0..ENTRIES {
        for key in (0..=u16::MAX).step_by(2_731) {
            site.wait_until_served(entry, &SiteRequest::lookup(key)).await;
        }
    }

    site.set_store_proxy_fault(CUT_ENTRY, proxy::Fault::default());
    site.store.remove_row("op", &row);
    let taken_back_at = Tick::now();
    for entry in 0..ENTRIES {
        let description = format!("an order through entry {entry} reaches the zone again");
        eventually(&description, || async {
            let order = SiteRequest::order();
            let orders = join_all((0..ORDERS_AT_A_TIME).map(|_| site.send(entry, &order))).await;
            let ids: Vec<String> = orders.into_iter().map(|order| order.id).collect();
            let is_reached = |vm: &&str| site.orders_begun(vm).iter().any(|id| ids.contains(id));
            UNKEYED_TARGETS.iter().any(is_reached).then_some(())
        })
        .await;
    }
    let again = begun_on(&site, &UNKEYED_TARGETS);
    assert!(again.iter().any(|at| *at > taken_back_at), "the zone is not used again");
}

/// Guards against requests that wait for nothing, get an unclear refusal or are sent all the same
/// while every zone is evacuated, and against keys that have lost their holders afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_as_not_run_while_all_zones_are_evacuated() {
    const ZONES: [&str; 3] = ["a", "b", "c"];
    const ALL_TARGETS: [&str; 2 * TARGETS_PER_SERVICE] =
        ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10", "t11"];
    let site = start_site().await;
    for zone in ZONES {
        site.store.write_row("op", &format!("evacuate/{zone}"), b"{}");
    }
    let closed_at = Tick::now().plus(BOUND);
    time::sleep(BOUND).await;
    for entry in 0..ENTRIES {
        for request in [SiteRequest::order(), SiteRequest::lookup(4_099)] {
            let response = site.send(entry, &request).await;
            assert!(response.is_not_run(), "{response:?}");
            assert!(response.headers.contains_key("retry-after"), "{response:?}");
        }
        assert!(site.is_ready(entry).await, "entry {entry} takes no callers");
    }
    let late = begun_on(&site, &ALL_TARGETS).iter().filter(|at| **at > closed_at).count();
    assert_eq!(late, 0, "requests began after the bound");

    for zone in ZONES {
        site.store.remove_row("op", &format!("evacuate/{zone}"));
    }
    for entry in 0..ENTRIES {
        site.wait_until_served(entry, &SiteRequest::order()).await;
        for key in (0..=u16::MAX).step_by(2_731) {
            site.wait_until_served(entry, &SiteRequest::lookup(key)).await;
        }
    }
}
