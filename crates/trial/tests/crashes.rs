//! Targets of the users' platform that crash, and requests that crash them.

use {
    standin::journal::Kind,
    std::collections::BTreeSet,
    trial::{Site, SitePlan, SiteRequest},
};

/// The number of crashes after which a request is refused, as in crate `route`.
const MAX_CRASHES: usize = 2;

/// The key of the requests that crash targets.
const KEY: u16 = 4_099;

/// Callers repeat each request this often.
const CALLS: usize = 8;

/// A process that ends may accept connections for a while, and then it was taken to be alive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_targets_is_refused_after_two() {
    for crash in ["poison", "poison/slow"] {
        let plan = SitePlan { entries: 1, proxied: false, ..SitePlan::default() };
        let site = Site::start(plan).await;
        let path = format!("/catalogue/{crash}");
        let request = SiteRequest { path: path.clone(), ..SiteRequest::lookup(KEY) };
        for _ in 0..CALLS {
            let response = site.send(0, &request).await;
            assert!(!response.is_served(), "{crash}: {response:?}");
            // The key gets another holder, which the next call would crash.
            site.wait_until_served(0, &SiteRequest::lookup(KEY)).await;
        }
        let lines = site.journal_lines();
        let crashed: BTreeSet<_> = lines
            .iter()
            .filter(|line| matches!(&line.kind, Kind::Began { path: began, .. } if *began == path))
            .map(|line| line.vm.clone())
            .collect();
        assert!(crashed.len() <= MAX_CRASHES, "{crash}: {crashed:?} crashed");
        assert!(!crashed.is_empty(), "{crash}: no target ran the request");
    }
}

/// A target whose address accepted connections after its end was granted its keys for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_target_that_is_gone_get_another_holder_though_its_address_accepts_connections() {
    let mut site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    site.kill_target(0);
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
}
