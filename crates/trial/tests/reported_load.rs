//! Targets that report their load: full ones get nothing while others are free, and what none can
//! answer in time is refused at once.

use {
    futures::future,
    http::{Method, header},
    standin::{caller::Route, holder, journal::Kind},
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, SiteResponse, eventually},
};

/// The targets of the service without keys; the last one is in the zone of the entry.
const TARGETS: [usize; 3] = [1, 2, 3];

const BATCH: usize = 10;

const ROUTES: [Route; 3] = [
    INITIAL_ROUTES[0],
    INITIAL_ROUTES[1],
    Route { prefix: "/reads/", kind: "safe", service: "orders" },
];

/// A target with free slots, and one with far more waiting than it can run in time.
const FREE: [u32; 3] = [1, 0, 4];
const FULL: [u32; 3] = [4, 400, 4];

fn read() -> SiteRequest {
    let path = "/reads/one".to_owned();
    SiteRequest { method: Method::GET, path, key: None, deadline_ms: 2_000 }
}

async fn report(site: &Site, target: usize, load: [u32; 3]) {
    let fault = holder::Fault { load, slow_ms: 100, ..holder::Fault::default() };
    site.set_target_fault(target, fault).await;
}

/// Returns the ids of the reads that a target, or any, has begun.
fn begun(site: &Site, vm: Option<&str>) -> Vec<String> {
    let lines = site.journal_lines().into_iter();
    let lines = lines.filter(|line| vm.is_none_or(|vm| line.vm.as_str() == vm));
    let id = |kind| match kind {
        Kind::Began { id, method, .. } if method == "GET" => id,
        _ => None,
    };
    lines.filter_map(|line| id(line.kind)).collect()
}

async fn send_batch(site: &Site) -> Vec<SiteResponse> {
    let read = read();
    future::join_all((0..BATCH).map(|_| site.send(0, &read))).await
}

/// Reports of load were ignored: a full target got its share while others were free, and requests
/// were sent to targets that could not answer them before their callers gave up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_targets_are_passed_over_and_what_none_can_answer_in_time_is_refused() {
    const BATCHES: usize = 3;
    let plan = SitePlan { entries: 1, keyed_targets: 1, unkeyed_targets: 3, ..SitePlan::default() };
    let site = Site::start(plan).await;
    site.write_patient_routing(2, &ROUTES, "4s");
    site.wait_until_served(0, &read()).await;
    for target in TARGETS {
        report(&site, target, FREE).await;
    }
    for _ in 0..BATCHES {
        for response in send_batch(&site).await {
            assert!(response.is_served(), "{response:?}");
        }
    }

    report(&site, TARGETS[2], FULL).await;
    let count = || begun(&site, Some("t3")).len();
    let before = count();
    eventually("the full target reports that it is", || async {
        send_batch(&site).await;
        (count() > before).then_some(())
    })
    .await;
    let before = count();
    for _ in 0..BATCHES {
        send_batch(&site).await;
    }
    assert_eq!(count(), before, "requests went to a full target while others were free");

    for target in TARGETS {
        report(&site, target, FULL).await;
    }
    let refused = eventually("a request is refused", || async {
        send_batch(&site).await.into_iter().find(SiteResponse::is_not_run)
    })
    .await;
    assert!(refused.headers.contains_key(header::RETRY_AFTER), "{refused:?}");
    assert!(refused.body.windows(10).any(|part| part == b"overloaded"), "{refused:?}");
    assert!(!begun(&site, None).contains(&refused.id), "refused as not run, and has run");
}
