//! A routing configuration of thousands of routes: it reaches every entry, and its size slows
//! nothing else down.

use {
    http::{Method, Request, StatusCode},
    hyper::body::Incoming,
    serde_json::{Value, json},
    standin::{proxy, rows},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpListener, time},
    trial::{ROUTES_WITH_LATER, Site, SitePlan, SiteRequest, eventually},
};

/// The number of routes that no request uses; the configuration then has some 400 KB.
const FILLER_ROUTES: usize = 2_000;

/// The size of a message between entries that does not grow with the routing configuration.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// A request that no route matches.
fn request_without_route() -> SiteRequest {
    SiteRequest { path: "/nowhere/1".to_owned(), ..SiteRequest::lookup(1) }
}

/// A process that the leadership record names as the leader. It takes reports and says which
/// version of the routing configuration it has, but gives it to nobody.
struct FakeLeader {
    address: SocketAddr,
    /// The sizes of the reports, in bytes.
    report_sizes: Arc<Mutex<Vec<usize>>>,
}

impl FakeLeader {
    async fn start(routing_version: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let report_sizes = Arc::new(Mutex::new(Vec::new()));
        let sizes = Arc::clone(&report_sizes);
        tokio::spawn(wire::serve(listener, move |request| {
            let sizes = Arc::clone(&sizes);
            async move { reply(request, routing_version, &sizes).await }
        }));
        Self { address, report_sizes }
    }

    /// Writes a leadership record that names this process.
    fn take_over(&self, site: &Site) {
        let record = json!({
            "vm": "fake",
            "incarnation": 1,
            "address": self.address,
            "term": 1_000,
            "former": null,
        });
        site.store.write_row("almondworks", "lead", record.to_string().as_bytes());
    }

    fn report_sizes(&self) -> Vec<usize> {
        self.report_sizes.lock().expect("no test panicked with the lock").clone()
    }

    /// Waits until entries have reported `count` times.
    async fn wait_for_reports(&self, count: usize) {
        eventually("entries report to the leader that the record names", || async {
            (self.report_sizes().len() >= count).then_some(())
        })
        .await;
    }
}

async fn reply(
    request: Request<Incoming>,
    routing_version: u64,
    report_sizes: &Mutex<Vec<usize>>,
) -> wire::Reply {
    if request.uri().path() != "/report" {
        return wire::status(StatusCode::NOT_FOUND);
    }
    let Ok(body) = wire::read_body(request, 4 << 20).await else {
        return wire::status(StatusCode::BAD_REQUEST);
    };
    report_sizes.lock().expect("no test panicked with the lock").push(body.len());
    let reply = json!({
        "leads": true,
        "resigning": false,
        "entries": 4,
        "routing": null,
        "routing_version": routing_version,
        "maps": [],
        "targets": null,
        "strikes": [],
    });
    wire::json(StatusCode::OK, &reply)
}

/// A leader was sent the whole routing configuration in every report of every entry while it had an
/// older one, which filled its link for as long as it led.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_to_a_leader_that_is_behind_stay_small() {
    let site = Site::start(SitePlan::default()).await;
    site.write_large_routing(7, &ROUTES_WITH_LATER, FILLER_ROUTES);
    for entry in 0..3 {
        site.wait_until_served(entry, &SiteRequest::later_order()).await;
    }
    let leader = FakeLeader::start(1).await;
    leader.take_over(&site);
    leader.wait_for_reports(12).await;
    let largest = leader.report_sizes().into_iter().max().unwrap_or_default();
    assert!(largest <= MAX_MESSAGE_BYTES, "a report had {largest} bytes");
}

/// A leader sent the whole routing configuration in its reply to each report of an entry that had
/// an older one, which filled the link of a weak leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies_to_an_entry_that_is_behind_stay_small() {
    let site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    site.write_large_routing(7, &ROUTES_WITH_LATER, FILLER_ROUTES);
    site.wait_until_served(0, &SiteRequest::later_order()).await;
    let known_maps = json!([{ "service": "catalogue", "version": 1_u64 << 52 }]);
    let report = json!({
        "vm": "outdated",
        "routing": 1,
        "maps": known_maps,
        "wants_targets": false,
        "load": [],
        "answers": [],
        "strikes": [],
        "ended": [],
    });
    let client = wire::Config::default().build();
    let body = report.to_string().into_bytes().into();
    let reply = client.send(Method::POST, site.peer_address(0), "/report", body).await;
    let reply = reply.expect("the leader replies");
    assert!(reply.len() <= MAX_MESSAGE_BYTES, "a reply had {} bytes", reply.len());
    let reply: Value = serde_json::from_slice(&reply).expect("a reply in JSON");
    assert_eq!(reply["routing_version"], 7);
}

/// The time limit for a read was one second for the whole response, so an entry on a slow link
/// never got a large configuration, and asked for it again and again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_on_a_slow_link_gets_a_large_routing_configuration() {
    let mut site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    site.write_large_routing(7, &ROUTES_WITH_LATER, FILLER_ROUTES);
    site.wait_until_served(0, &SiteRequest::later_order()).await;
    site.kill_entry(0);
    // 16 KB in 60 ms: some two seconds for the configuration.
    site.set_store_proxy_fault(0, proxy::Fault { delay_ms: 60, ..proxy::Fault::default() });
    site.start_entry(0);
    site.wait_until_served(0, &SiteRequest::later_order()).await;
    assert!(site.is_ready(0).await);
}

/// An entry answered 404 by a configuration of which it could have known that it was outdated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_knows_of_a_newer_configuration_answers_no_404() {
    let mut site = Site::start(SitePlan::default()).await;
    let response = site.send(0, &request_without_route()).await;
    assert_eq!(response.status, Some(StatusCode::NOT_FOUND));
    let leader = FakeLeader::start(9).await;
    leader.take_over(&site);
    leader.wait_for_reports(6).await;
    time::sleep(Duration::from_millis(300)).await;
    let response = site.send(0, &request_without_route()).await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    // What has a route is served meanwhile.
    site.wait_until_served(0, &SiteRequest::order()).await;
    site.kill_entry(1);
    site.start_entry(1);
    eventually("the entry that starts has the routing configuration of the store", || async {
        site.metrics_if_running(1).await.filter(|text| text.contains("routing_version 1"))
    })
    .await;
    let reports = leader.report_sizes().len();
    leader.wait_for_reports(reports + 30).await;
    assert!(!site.is_ready(1).await, "an entry that has just started and is behind says ready");
}

/// The store's answer confirmed the configuration that the entry had, although the answer's own
/// could not be read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_that_cannot_be_read_does_not_confirm_the_one_before() {
    let site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    let response = site.send(0, &request_without_route()).await;
    assert_eq!(response.status, Some(StatusCode::NOT_FOUND));
    site.store.write_row("op", "config", b"{}");
    // Longer than an earlier confirmation counts.
    time::sleep(Duration::from_millis(2_600)).await;
    let response = site.send(0, &request_without_route()).await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    site.wait_until_served(0, &SiteRequest::order()).await;
    site.write_routing(7, &ROUTES_WITH_LATER);
    site.wait_until_served(0, &SiteRequest::later_order()).await;
    let response = site.send(0, &request_without_route()).await;
    assert_eq!(response.status, Some(StatusCode::NOT_FOUND));
}

/// Guards against 404 by a configuration that counts as the newest one as of the arrival of an answer
/// which the store gave long before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_of_the_store_that_arrives_late_confirms_nothing_as_of_then() {
    /// Longer than a confirmation counts.
    const LATE_BY: Duration = Duration::from_millis(2_600);
    const STORE_DELAY_MS: u64 = 5_000;
    let site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    site.set_store_proxy_fault(0, proxy::Fault { cut_backward: true, ..proxy::Fault::default() });
    site.write_routing(2, &ROUTES_WITH_LATER[..2]);
    time::sleep(Duration::from_millis(100)).await;
    // The later calls are answered too late to matter here.
    site.store.set_fault(rows::Fault { slow_ms: STORE_DELAY_MS, ..rows::Fault::default() });
    site.write_routing(3, &ROUTES_WITH_LATER);
    time::sleep(LATE_BY).await;
    site.set_store_proxy_fault(0, proxy::Fault::default());
    eventually("the answer of the store has arrived", || async {
        site.metrics(0).await.contains("routing_version 2").then_some(())
    })
    .await;
    let response = site.send(0, &SiteRequest::later_order()).await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
}
