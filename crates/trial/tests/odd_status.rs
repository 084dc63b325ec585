//! Responses with a status that HTTP does not know, such as 000, or that nobody asked for: they are
//! no answers, and their statuses do not reach callers.

use {
    http::StatusCode,
    standin::{
        caller::Route,
        faulty::{Faulty, Kind},
        holder,
    },
    std::{
        collections::BTreeSet,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, time},
    trial::{INITIAL_ROUTES, Site, SitePlan, SiteRequest, SiteResponse, eventually},
};

/// The other targets of the service, which are in use until the faulty one is. An entry that fails
/// to reach as many is isolated.
const SOUND_TARGETS: [usize; 3] = [1, 2, 3];

/// An entry that reaches the targets, and one that does not and passes requests on.
const ENTRIES: [usize; 2] = [0, 1];

/// The statuses that are no answer: outside of 100 to 599, or a switch of protocols.
const ODD_STATUSES: [&str; 7] = ["000", "099", "1000", "101", "600", "999", "-01"];

/// The routes of the site, and one to the same targets whose requests may be repeated.
const ROUTES: [Route; 3] = [
    INITIAL_ROUTES[0],
    INITIAL_ROUTES[1],
    Route { prefix: "/reads/", kind: "safe", service: "orders" },
];

fn read() -> SiteRequest {
    SiteRequest { method: http::Method::GET, path: "/reads/1".to_owned(), ..SiteRequest::order() }
}

/// Sends orders and reads through both entries to a site whose only target for them is faulty, and
/// checks the response to each.
async fn check(kind: Kind, check: impl Fn(&Faulty, &SiteRequest, &SiteResponse)) -> Arc<Faulty> {
    let plan = SitePlan { entries: 2, keyed_targets: 1, ..SitePlan::default() };
    let mut site = Site::start(plan).await;
    site.write_routing(2, &ROUTES);
    site.restart_isolated(ENTRIES[1]);
    for entry in ENTRIES {
        site.wait_until_served(entry, &read()).await;
    }
    let target = Faulty::new(kind);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(Arc::clone(&target).serve(listener));
    let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
    for target in SOUND_TARGETS {
        site.set_target_fault(target, leaving).await;
    }
    let stop = AtomicBool::new(false);
    let work = async {
        eventually("the sound targets get no orders any more", || async {
            let before = target.arrived_count();
            for entry in ENTRIES {
                site.send(entry, &SiteRequest::order()).await;
            }
            time::sleep(Duration::from_millis(50)).await;
            (target.arrived_count() == before + ENTRIES.len() && before > 0).then_some(())
        })
        .await;
        for request in [SiteRequest::order(), read()] {
            for _ in 0..2 * ODD_STATUSES.len() {
                for entry in ENTRIES {
                    let response = site.send(entry, &request).await;
                    check(&target, &request, &response);
                }
            }
        }
        stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(work, site.keep_listed(address, &stop));
    target
}

/// A switch of protocols, and statuses above 599, reached callers as the answer to an order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_is_no_answer_reaches_no_caller() {
    let wrong = Mutex::new(BTreeSet::new());
    for kind in [Kind::Statuses(&ODD_STATUSES), Kind::RefusedStatuses(&ODD_STATUSES)] {
        let target = check(kind, |target, request, response| {
            if target.has_run(&response.id) {
                let unknown = [Some(StatusCode::BAD_GATEWAY), Some(StatusCode::GATEWAY_TIMEOUT)];
                if !unknown.contains(&response.status) {
                    let path = &request.path;
                    let line = format!("{kind:?}, {path}: {:?}", response.status);
                    wrong.lock().expect("no test panicked with the lock").insert(line);
                }
            }
        })
        .await;
        let most = target.most_requests_on_one_connection();
        if most > 1 {
            let line = format!("{kind:?}: {most} requests on one connection");
            wrong.lock().expect("no test panicked with the lock").insert(line);
        }
    }
    let wrong = wrong.into_inner().expect("no test panicked with the lock");
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Informational responses say nothing of the outcome, and the response behind them is delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_responses_are_skipped() {
    check(Kind::Informed(&["100", "102", "103", "199"]), |target, request, response| {
        if target.has_run(&response.id) {
            assert_eq!(response.status, Some(StatusCode::OK), "{request:?}: {response:?}");
        }
    })
    .await;
}
