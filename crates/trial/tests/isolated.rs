//! Entries that reach no target, while callers, the store and the other entries reach them.

use {
    serde_json::json,
    standin::{check, holder},
    std::time::Duration,
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

const ENTRY_COUNT: usize = 3;

/// The number of requests of which nearly all must be served, as at an entry that reaches targets.
const REQUESTS: usize = 60;

fn sample_key(number: usize) -> u16 {
    (number * 1_093 % 65_536) as u16
}

/// Slows the work of the targets for orders down.
async fn set_slow(site: &Site, slow_ms: u64) {
    let plan = SitePlan::default();
    for target in plan.keyed_targets..plan.keyed_targets + plan.unkeyed_targets {
        let fault = holder::Fault { slow_ms, ..holder::Fault::default() };
        site.set_target_fault(target, fault).await;
    }
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

/// An entry that had lost its links to the targets refused every request, although the other
/// entries reached the targets, and it reached them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_reaches_no_target_serves_through_others() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    site.restart_isolated(2);
    eventually("the entry is ready", || async { site.is_ready(2).await.then_some(()) }).await;
    site.wait_until_served(2, &SiteRequest::lookup(1)).await;
    site.wait_until_served(2, &SiteRequest::order()).await;
    let served = count_served(&site, 2).await;
    assert!(served >= REQUESTS - 2, "{served} of {REQUESTS} requests were served");
    verify_journal(&site);
}

/// Requests of an isolated entry were passed on to another isolated one, and ended there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_of_three_entries_that_reach_no_target_serve_through_the_third() {
    let mut site = Site::start(SitePlan { entries: ENTRY_COUNT, ..SitePlan::default() }).await;
    for entry in [0, 1] {
        site.restart_isolated(entry);
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

/// A request that was passed on and whose connection then broke may have run, so the caller must
/// not be told that it has not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_was_passed_on_to_a_lost_entry_may_have_run() {
    let mut site = Site::start(SitePlan { entries: 2, ..SitePlan::default() }).await;
    site.restart_isolated(1);
    site.wait_until_served(1, &SiteRequest::order()).await;
    set_slow(&site, 400).await;
    let order = SiteRequest { deadline_ms: 2_000, ..SiteRequest::order() };
    let response = {
        let pending = site.send(1, &order);
        tokio::pin!(pending);
        let early = time::timeout(Duration::from_millis(150), &mut pending).await;
        assert!(early.is_err(), "answered before the target had done its work: {early:?}");
        site.kill_entry_now(0);
        pending.await
    };
    assert!(!response.is_served(), "{response:?}");
    time::sleep(Duration::from_millis(500)).await;
    let has_run = check::run_counts(&site.journal_lines()).contains_key(response.id.as_str());
    assert!(has_run, "the order did not reach a target");
    assert!(!response.is_not_run(), "refused as not run, and has run: {response:?}");
}

/// A planned stop of the entry that passes requests on for others completes them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_completes_requests_that_others_passed_on() {
    let mut site = Site::start(SitePlan { entries: 2, ..SitePlan::default() }).await;
    site.restart_isolated(1);
    site.wait_until_served(1, &SiteRequest::order()).await;
    set_slow(&site, 800).await;
    let order = SiteRequest { deadline_ms: 3_000, ..SiteRequest::order() };
    let pending = site.send(1, &order);
    tokio::pin!(pending);
    let early = time::timeout(Duration::from_millis(200), &mut pending).await;
    assert!(early.is_err(), "answered before the target had done its work: {early:?}");
    site.terminate_entry(0);
    let response = pending.await;
    assert!(response.is_served(), "{response:?}");
}

/// A caller that leaves ends the request at the target, also behind a second entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_was_passed_on_ends_when_its_caller_leaves() {
    let mut site = Site::start(SitePlan { entries: 2, ..SitePlan::default() }).await;
    site.restart_isolated(1);
    site.wait_until_served(1, &SiteRequest::order()).await;
    set_slow(&site, 3_000).await;
    let order = SiteRequest { deadline_ms: 4_000, ..SiteRequest::order() };
    let early = time::timeout(Duration::from_millis(300), site.send(1, &order)).await;
    assert!(early.is_err(), "answered before the target had done its work: {early:?}");
    // The proxies in front of the targets see the connections that end.
    eventually("no request is in flight at the entry that passed it on", || async {
        let text = site.metrics(0).await;
        let value = |label: &str| {
            let line = text.lines().find(|line| line.contains(label))?;
            line.rsplit(' ').next()?.parse::<u64>().ok()
        };
        (value("connections{of=\"accepted\"}") == value("connections{of=\"closed\"}")).then_some(())
    })
    .await;
}

/// A leader that reached no target went on leading, since it reached the store and the other
/// entries. Its grants did not arrive, and all keys lost their holders.
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
    site.restart_isolated(0);
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
