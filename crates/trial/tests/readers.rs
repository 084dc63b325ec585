//! A fleet in which most entries learn of targets through a few others.

use {
    http::{Request, StatusCode},
    hyper::body::Incoming,
    serde_json::json,
    standin::{holder, proxy},
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

/// Seven entries in each of three zones, so that two of each zone read the store.
const ENTRIES: usize = 21;
const ZONES: usize = 3;
const READERS_PER_ZONE: usize = 2;

/// The table in which entries write their rows.
const ENTRIES_TABLE: &str = "almondworks";

/// The time for which a target may get requests after the store's word that it leaves, as in the
/// settings.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// The time from the store's word that a target leaves to the last request for it: two seconds in
/// the settings, and one more for requests on their way in this process.
const LEAVING_TIME: Duration = Duration::from_secs(3);

fn plan() -> SitePlan {
    SitePlan { entries: ENTRIES, keyed_targets: 2, unkeyed_targets: 3, ..SitePlan::default() }
}

/// Returns how many polls of the registry an entry made, of the store or of other entries.
async fn polls(site: &Site, entry: usize, of: &str) -> u64 {
    let metrics = site.metrics(entry).await;
    let name = format!("almondworks_registry_polls{{of=\"{of}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Returns the entries that poll the store now.
async fn reading_entries(site: &Site, entries: &[usize]) -> Vec<usize> {
    let mut before = Vec::new();
    for entry in entries {
        before.push(polls(site, *entry, "store").await);
    }
    time::sleep(Duration::from_secs(4)).await;
    let mut reading = Vec::new();
    for (entry, before) in entries.iter().zip(before) {
        if polls(site, *entry, "store").await > before {
            reading.push(*entry);
        }
    }
    reading
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_follow_others_learn_what_the_store_says_in_time() {
    let site = Site::start(plan()).await;
    let all: Vec<usize> = (0..ENTRIES).collect();
    let reading = eventually("few entries read the store", || async {
        let reading = reading_entries(&site, &all).await;
        // The leader reads the store besides.
        (reading.len() <= ZONES * READERS_PER_ZONE + 1).then_some(reading)
    })
    .await;
    assert!(!reading.is_empty(), "no entry reads the store");
    let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
    site.set_target_fault(2, leaving).await;
    wait_until_registered_as_leaving(&site, "t2").await;
    time::sleep(LEAVING_TIME).await;
    let before = site.orders_begun("t2");
    for entry in 0..ENTRIES {
        for _ in 0..3 {
            let response = site.send(entry, &SiteRequest::order()).await;
            assert!(response.is_served(), "entry {entry}: {response:?}");
        }
    }
    let after = site.orders_begun("t2");
    assert_eq!(after.len(), before.len(), "orders went to a target that had left");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_go_on_when_all_readers_of_their_zone_are_lost() {
    let mut site = Site::start(plan()).await;
    let zone: Vec<usize> = (0..ENTRIES).step_by(ZONES).collect();
    let readers = eventually("few entries of the zone read the store", || async {
        let reading = reading_entries(&site, &zone).await;
        (reading.len() <= READERS_PER_ZONE + 1).then_some(reading)
    })
    .await;
    for reader in &readers {
        site.kill_entry(*reader);
    }
    site.kill_target(3);
    site.kill_target(4);
    site.start_target(3);
    let left: Vec<usize> = zone.iter().copied().filter(|entry| !readers.contains(entry)).collect();
    assert!(!left.is_empty(), "every entry of the zone read the store");
    for entry in left {
        site.wait_until_served(entry, &SiteRequest::order()).await;
        let polls = polls(&site, entry, "entry failed").await + polls(&site, entry, "store").await;
        assert!(polls > 0, "entry {entry} asked nobody else");
    }
}

/// Writes rows of entries of the first zone that rank before all others.
fn write_strong_entries(site: &Site, address: SocketAddr) {
    const COUNT: usize = 7;
    for number in 0..COUNT {
        let row = json!({ "incarnation": 1, "address": address, "zone": "a", "power": 2.0 });
        let key = format!("member/strong-{number}");
        site.store.write_row(ENTRIES_TABLE, &key, row.to_string().as_bytes());
    }
}

/// Answers like an entry whose news of the store are always old, and which has none.
async fn answer_with_old_news(request: Request<Incoming>) -> wire::Reply {
    const WAIT: Duration = Duration::from_millis(300);
    const AGE: Duration = Duration::from_millis(1_900);
    if request.uri().path() == "/hello" {
        return wire::json(StatusCode::OK, &json!({ "hears_leader": true }));
    }
    time::sleep(WAIT).await;
    let update = json!({
        "version": 1_000_000_000_001_u64, "age_ms": AGE.as_millis() as u64,
        "waited_ms": WAIT.as_millis() as u64, "complete": false, "registered": [], "removed": [],
        "outages": 0, "available_ms": null,
    });
    wire::json(StatusCode::OK, &update)
}

/// Guards against followers that believe a reader although the store's last word to it is old.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_do_not_follow_readers_whose_news_are_old() {
    let plan = SitePlan { entries: 2 * ZONES, ..plan() };
    let mut site = Site::prepare(plan).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    write_strong_entries(&site, listener.local_addr().expect("an address"));
    tokio::spawn(wire::serve(listener, answer_with_old_news));
    site.start_entries().await;
    // One of the two may lead and read the store.
    check_leaving(&site, &[0, ZONES]).await;
}

/// Guards against followers that ask removed entries one after the other, whose rows are still
/// there, and hear meanwhile of no target that leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_learn_in_time_that_targets_leave_among_rows_of_removed_entries() {
    let plan = SitePlan { entries: 2 * ZONES, ..plan() };
    let mut site = Site::prepare(plan).await;
    // It accepts connections and never answers, like the address of a VM that is gone.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("a bound socket");
    write_strong_entries(&site, address);
    site.start_entries().await;
    // The entries of the zone in which others were removed; one may lead and read the store.
    check_leaving(&site, &[0, ZONES]).await;
}

/// Returns true if the log of an entry says that it leads.
fn leads(site: &Site, entry: usize) -> bool {
    let log = fs::read_to_string(site.entry_log_path(entry)).expect("a log");
    log.contains("\"this process\"")
}

/// Guards against followers that believe readers which are cut off from the store, and hear
/// meanwhile of no target that leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_of_readers_that_are_cut_off_learn_in_time_that_targets_leave() {
    let site = Site::start(plan()).await;
    let zones = (0..ZONES).map(|zone| (zone..ENTRIES).step_by(ZONES).collect::<Vec<_>>());
    let calm = |zone: &Vec<usize>| zone.iter().all(|entry| !leads(&site, *entry));
    let zone = zones.into_iter().find(calm).expect("a zone without the leader");
    let readers = eventually("few entries of the zone read the store", || async {
        let reading = reading_entries(&site, &zone).await;
        (reading.len() <= READERS_PER_ZONE).then_some(reading)
    })
    .await;
    for reader in &readers {
        site.set_store_proxy_fault(*reader, proxy::Fault { cut: true, ..Default::default() });
    }
    let followers: Vec<usize> = zone.into_iter().filter(|entry| !readers.contains(entry)).collect();
    check_leaving(&site, &followers).await;
}

/// Lets targets leave one after the other, and checks that some entries know it in time, and that
/// each target gets no order through them once its time is over.
async fn check_leaving(site: &Site, entries: &[usize]) {
    /// The orders that each entry gets, of which some would go to a target that it thinks ready.
    const ORDERS: usize = 6;
    for target in [2, 3] {
        let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
        site.set_target_fault(target, leaving).await;
        let vm = format!("t{target}");
        wait_until_registered_as_leaving(site, &vm).await;
        time::sleep(LEAVING_LIMIT).await;
        let before = site.orders_begun(&vm);
        for entry in entries {
            assert!(
                knows_leaving(site, *entry, &vm),
                "entry {entry} does not know that {vm} leaves"
            );
            for _ in 0..ORDERS {
                let response = site.send(*entry, &SiteRequest::order()).await;
                assert!(response.is_served(), "entry {entry}: {response:?}");
            }
        }
        let after = site.orders_begun(&vm);
        assert_eq!(after.len(), before.len(), "orders went to {vm}, which had left");
    }
}

async fn wait_until_registered_as_leaving(site: &Site, vm: &str) {
    eventually("the target is registered as leaving", || async {
        let row = site.store.read_row("servers", vm)?;
        String::from_utf8_lossy(&row).contains("draining").then_some(())
    })
    .await;
}

/// Returns true if the log of an entry says that a target leaves.
fn knows_leaving(site: &Site, entry: usize, vm: &str) -> bool {
    let log = fs::read_to_string(site.entry_log_path(entry)).expect("a log");
    let is_known = |line: &str| line.contains(&format!("\"{vm}\"")) && line.contains("Leaving");
    log.lines().any(is_known)
}
