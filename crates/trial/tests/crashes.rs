//! Targets of the users' platform that crash.

use trial::{Site, SitePlan, SiteRequest};

/// A target whose address accepted connections after its end was granted its keys for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_target_that_is_gone_get_another_holder_though_its_address_accepts_connections() {
    let mut site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    site.kill_target(0);
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
}
