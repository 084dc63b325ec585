//! A request of which nothing was sent to a target is refused as not run, so that its caller can
//! repeat it.

use {
    serde_json::json,
    standin::holder,
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, eventually},
};

/// The entry that reaches no target and passes requests on.
const ISOLATED: usize = 1;

/// The targets that serve orders; an entry that fails to reach as many of them is isolated.
const ORDER_TARGETS: [usize; 3] = [1, 2, 3];

/// An isolated entry gave a request up at the caller's deadline, while the entry to which it had
/// passed the request on still waited for a target, and refused it as not run too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_that_waits_for_a_target_until_its_deadline_has_not_run() {
    let plan = SitePlan { entries: 2, keyed_targets: 1, ..SitePlan::default() };
    let mut site = Site::start(plan).await;
    // The other entry waits for a target for two fifths of this, which is after the deadline.
    site.write_patient_routing(2, &INITIAL_ROUTES, "4s");
    site.restart_isolated(ISOLATED);
    site.wait_until_served(ISOLATED, &SiteRequest::order()).await;
    let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
    for target in ORDER_TARGETS {
        site.set_target_fault(target, leaving).await;
    }
    eventually("the targets get no orders any more", || async {
        (!site.send(ISOLATED, &SiteRequest::order()).await.is_served()).then_some(())
    })
    .await;
    for _ in 0..4 {
        let response = site.send(ISOLATED, &SiteRequest::order()).await;
        let outcome: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
        assert!(response.is_not_run(), "{response:?}");
        assert_eq!(outcome["outcome"], json!("not-run"), "{response:?}");
    }
}
