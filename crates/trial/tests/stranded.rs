//! Entries that reach no target, while callers, the store and the other entries reach them.

use {
    serde_json::json,
    standin::check,
    std::time::Duration,
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

const ENTRY_COUNT: usize = 3;

/// An address that is not this machine's: no connection can be opened from it.
const FOREIGN_ADDRESS: &str = "192.0.2.1";

/// The number of requests of which nearly all must be served, as at an entry that reaches targets.
const REQUESTS: usize = 60;

fn sample_key(number: usize) -> u16 {
    (number * 1_093 % 65_536) as u16
}

/// Restarts an entry so that it reaches no target.
fn restart_stranded(site: &mut Site, entry: usize) {
    site.kill_entry(entry);
    site.set_setting(entry, "source", json!(FOREIGN_ADDRESS));
    site.start_entry(entry);
}

/// Returns how many lookups and orders are served at an entry.
async fn count_served(site: &Site, entry: usize) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS / 2 {
        for request in [SiteRequest::lookup(sample_key(number)), SiteRequest::order()] {
            served += usize::from(site.send(entry, &request).await.is_served());
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    served
}

fn verify_journal(site: &Site) {
    let lines = site.journal_lines();
    let double_holders = check::key_overlaps(&lines);
    assert!(double_holders.is_empty(), "a key had two holders: {:?}", double_holders.first());
    let run_twice = check::run_counts(&lines).into_iter().find(|(_, count)| *count > 1);
    assert!(run_twice.is_none(), "a request ran twice: {run_twice:?}");
}

/// An entry that had lost its links to the targets refused every request, although the other entries
/// reached the targets, and it reached them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_reaches_no_target_serves_through_others() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    restart_stranded(&mut site, 2);
    eventually("the entry is ready", || async { site.is_ready(2).await.then_some(()) }).await;
    site.wait_until_served(2, &SiteRequest::lookup(1)).await;
    site.wait_until_served(2, &SiteRequest::order()).await;
    let served = count_served(&site, 2).await;
    assert!(served >= REQUESTS - 2, "{served} of {REQUESTS} requests were served");
    verify_journal(&site);
}

/// Requests of a stranded entry were passed on to another stranded one, and ended there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_of_three_entries_that_reach_no_target_serve_through_the_third() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    for entry in [0, 1] {
        restart_stranded(&mut site, entry);
        site.wait_until_served(entry, &SiteRequest::order()).await;
    }
    for entry in [0, 1] {
        for key in [1, 30_000] {
            site.wait_until_served(entry, &SiteRequest::lookup(key)).await;
        }
        let served = count_served(&site, entry).await;
        assert!(served >= REQUESTS - 4, "entry {entry}: {served} of {REQUESTS} were served");
    }
    verify_journal(&site);
}

/// A leader that reached no target went on leading, since it reached the store and the other entries.
/// Its grants did not arrive, and all keys lost their holders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_reaches_no_target_is_replaced() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    for entry in 0..ENTRY_COUNT {
        site.kill_entry(entry);
    }
    for entry in 1..ENTRY_COUNT {
        site.set_setting(entry, "power", json!(0.5));
    }
    // The strongest entry campaigns first.
    restart_stranded(&mut site, 0);
    time::sleep(Duration::from_millis(500)).await;
    for entry in 1..ENTRY_COUNT {
        site.start_entry(entry);
    }
    for entry in 1..ENTRY_COUNT {
        for key in (0..=u16::MAX).step_by(8_191) {
            site.wait_until_served(entry, &SiteRequest::lookup(key)).await;
        }
    }
    // Longer than the grants last.
    time::sleep(Duration::from_secs(5)).await;
    let served = count_served(&site, 1).await;
    assert!(served >= REQUESTS - 2, "{served} of {REQUESTS} requests were served");
    verify_journal(&site);
}
