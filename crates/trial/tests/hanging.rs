//! Targets that never answer some requests: another target answers those that may be repeated.

use {
    futures::future,
    http::Method,
    standin::{
        caller::Route,
        holder,
        journal::{Kind, Line},
    },
    std::collections::HashMap,
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, SiteResponse, eventually},
};

/// The target that runs requests and never answers them: the one in the zone of the entry, which it
/// prefers.
const HANGING_TARGET: usize = 3;

/// The requests whose times show what is usual.
const USUAL_REQUESTS: usize = 120;

/// The requests that are sent at the same time.
const BATCH: usize = 10;

const ROUTES: [Route; 3] = [
    INITIAL_ROUTES[0],
    INITIAL_ROUTES[1],
    Route { prefix: "/reads/", kind: "safe", service: "orders" },
];

fn read() -> SiteRequest {
    let path = "/reads/one".to_owned();
    SiteRequest { method: Method::GET, path, key: None, deadline_ms: 4_000 }
}

/// Returns how many requests of each id have begun, over all targets.
fn begun(lines: &[Line]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for line in lines {
        if let Kind::Began { id: Some(id), .. } = &line.kind {
            *counts.entry(id.as_str()).or_default() += 1;
        }
    }
    counts
}

async fn send_batch(site: &Site, request: &SiteRequest) -> Vec<SiteResponse> {
    future::join_all((0..BATCH).map(|_| site.send(0, request))).await
}

/// On deployment B, a full target never answers what it cannot queue: such reads waited until their
/// callers gave up, and other targets were free. An order may have run, and is sent to no other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_target_never_answers_is_answered_by_another_if_it_may_be_repeated() {
    let plan = SitePlan { entries: 1, keyed_targets: 1, unkeyed_targets: 3, ..SitePlan::default() };
    let site = Site::start(plan).await;
    site.write_patient_routing(2, &ROUTES, "4s");
    site.wait_until_served(0, &read()).await;
    for _ in 0..USUAL_REQUESTS / BATCH {
        for response in send_batch(&site, &read()).await {
            assert!(response.is_served(), "{response:?}");
        }
    }
    let hanging = holder::Fault { lose_answers: true, ..holder::Fault::default() };
    site.set_target_fault(HANGING_TARGET, hanging).await;

    eventually("a read reaches the target that never answers", || async {
        let reads = send_batch(&site, &read()).await;
        for response in &reads {
            assert!(response.is_served(), "{response:?}");
        }
        let lines = site.journal_lines();
        let counts = begun(&lines);
        reads.iter().any(|read| counts.get(read.id.as_str()) == Some(&2)).then_some(())
    })
    .await;

    let order = SiteRequest { deadline_ms: 1_000, ..SiteRequest::order() };
    // The target is passed over for a while after each request that it lets hang.
    let orders = eventually("an order reaches the target that never answers", || async {
        let orders = send_batch(&site, &order).await;
        orders.iter().any(|response| !response.is_served()).then_some(orders)
    })
    .await;
    let lines = site.journal_lines();
    let counts = begun(&lines);
    for response in &orders {
        let count = counts.get(response.id.as_str()).copied().unwrap_or_default();
        assert!(count <= 1, "an order began {count} times: {response:?}");
        assert!(!response.is_not_run() || count == 0, "refused as not run: {response:?}");
    }
}
