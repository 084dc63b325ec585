//! Requests through a site on the users' platform, while processes, connections and the store fail.

use {
    standin::{caller::Route, check, holder, proxy, rows},
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

/// Checks that the journals show no key with two holders, no order that ran twice, and no order
/// that ran although its caller was told that it had not.
fn verify_journal(site: &Site, not_run: &HashSet<String>) {
    let lines = site.journal_lines();
    let double_holders = check::key_overlaps(&lines);
    assert!(double_holders.is_empty(), "a key had two holders: {:?}", double_holders.first());
    let runs = check::run_counts(&lines);
    let run_twice = runs.iter().find(|(_, count)| **count > 1);
    assert!(run_twice.is_none(), "an order ran twice: {run_twice:?}");
    let run_despite_refusal = runs.keys().find(|id| not_run.contains(id.as_str()));
    assert!(
        run_despite_refusal.is_none(),
        "an order refused as not run did run: {run_despite_refusal:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_and_a_new_version_comes_into_force() {
    let site = Site::start(SitePlan::default()).await;
    let unknown = SiteRequest { path: "/nowhere/1".to_owned(), ..SiteRequest::lookup(1) };
    assert_eq!(site.send(0, &unknown).await.status.map(|status| status.as_u16()), Some(404));
    site.write_routing(
        7,
        &[
            Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" },
            Route { prefix: "/catalogue/plain/", kind: "safe", service: "orders" },
        ],
    );
    eventually("the route for orders is gone", || async {
        let response = site.send(1, &SiteRequest::order()).await;
        (response.status.map(|status| status.as_u16()) == Some(404)).then_some(())
    })
    .await;
    let longest_prefix =
        SiteRequest { path: "/catalogue/plain/1".to_owned(), key: None, ..SiteRequest::lookup(1) };
    site.wait_until_served(1, &longest_prefix).await;
    assert!(site.is_ready(0).await);
    assert!(site.metrics(0).await.contains("almondworks_answers"));
    verify_journal(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_have_one_holder_while_targets_and_entries_fail() {
    let mut site = Site::start(SitePlan::default()).await;
    let mut not_run = HashSet::new();
    for round in 0..3_usize {
        site.kill_target(round);
        site.kill_entry(round);
        for key in (0..=u16::MAX).step_by(4_099) {
            let entry = (round + 1) % 3;
            site.send(entry, &SiteRequest::lookup(key)).await;
            let order = site.send(entry, &SiteRequest::order()).await;
            if order.is_not_run() {
                not_run.insert(order.id);
            }
        }
        site.start_target(round);
        site.start_entry(round);
        for key in (0..=u16::MAX).step_by(8_191) {
            site.wait_until_served(round, &SiteRequest::lookup(key)).await;
        }
    }
    verify_journal(&site, &not_run);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_of_targets_show_no_wrong_answer() {
    struct FaultCase {
        name: &'static str,
        target_fault: holder::Fault,
        proxy_fault: proxy::Fault,
    }
    let no_fault = holder::Fault::default();
    let cases = [
        FaultCase {
            name: "responses are cut short",
            target_fault: holder::Fault { cut_answers: true, ..no_fault },
            proxy_fault: proxy::Fault::default(),
        },
        FaultCase {
            name: "responses belong to other requests",
            target_fault: holder::Fault { crossed: true, ..no_fault },
            proxy_fault: proxy::Fault::default(),
        },
        FaultCase {
            name: "responses are lost",
            target_fault: holder::Fault { lose_answers: true, ..no_fault },
            proxy_fault: proxy::Fault::default(),
        },
        FaultCase {
            name: "requests are shed",
            target_fault: holder::Fault { shed: true, ..no_fault },
            proxy_fault: proxy::Fault::default(),
        },
        FaultCase {
            name: "the connection to the target is cut",
            target_fault: no_fault,
            proxy_fault: proxy::Fault { cut: true, ..proxy::Fault::default() },
        },
        FaultCase {
            name: "connections are reset",
            target_fault: no_fault,
            proxy_fault: proxy::Fault { reset_after: Some(40), ..proxy::Fault::default() },
        },
    ];
    let site = Site::start(SitePlan::default()).await;
    let mut not_run = HashSet::new();
    for case in cases {
        // Target 0 serves keys, target 4 serves orders.
        for target in [0, 4] {
            site.set_target_fault(target, case.target_fault).await;
            site.set_proxy_fault(target, case.proxy_fault.clone());
        }
        for key in (0..=u16::MAX).step_by(6_007) {
            for request in [SiteRequest::lookup(key), SiteRequest::order()] {
                let response = site.send(0, &request).await;
                let status = response.status.map_or(0, |status| status.as_u16());
                assert!(status != 200 || response.is_served(), "{}: {response:?}", case.name);
                if response.is_not_run() && request.key.is_none() {
                    not_run.insert(response.id);
                }
            }
        }
        for target in [0, 4] {
            site.set_proxy_fault(target, proxy::Fault::default());
            site.set_target_fault(target, no_fault).await;
        }
    }
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
    verify_journal(&site, &not_run);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_later_changes_survive_an_outage_of_the_store() {
    let site = Site::start(SitePlan { grant_duration_ms: 8_000, ..SitePlan::default() }).await;
    for fault in [
        rows::Fault { silent: true, ..rows::Fault::default() },
        rows::Fault { refuse: Some(503), ..rows::Fault::default() },
    ] {
        site.store.set_fault(fault);
        let deadline = time::Instant::now() + Duration::from_secs(4);
        while time::Instant::now() < deadline {
            let response = site.send(0, &SiteRequest::lookup(77)).await;
            assert!(response.is_served(), "{fault:?}: {response:?}");
            time::sleep(Duration::from_millis(50)).await;
        }
        site.store.set_fault(rows::Fault::default());
        site.store.compact();
    }
    site.write_routing(9, &[Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" }]);
    eventually("the new version is in force", || async {
        let response = site.send(2, &SiteRequest::order()).await;
        (response.status.map(|status| status.as_u16()) == Some(404)).then_some(())
    })
    .await;
    verify_journal(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn writes_without_answers_and_late_grants_give_no_key_two_holders() {
    let mut site = Site::start(SitePlan::default()).await;
    let fault = rows::Fault { lose_answers: 0.5, late_ms: 1_500, ..rows::Fault::default() };
    site.store.set_fault(fault);
    let late_grants = holder::Fault { late_grants_ms: 2_000, ..holder::Fault::default() };
    site.set_target_fault(1, late_grants).await;
    site.kill_target(0);
    site.set_target_fault(2, holder::Fault { draining: true, ..holder::Fault::default() }).await;
    time::sleep(Duration::from_secs(6)).await;
    site.store.set_fault(rows::Fault::default());
    site.set_target_fault(1, holder::Fault::default()).await;
    site.start_target(0);
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
    verify_journal(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_completes_requests_in_flight() {
    let mut site = Site::start(SitePlan::default()).await;
    for target in 4..7 {
        let slow = holder::Fault { slow_ms: 600, ..holder::Fault::default() };
        site.set_target_fault(target, slow).await;
    }
    let order = SiteRequest::order();
    let send_order = async {
        let response = site.send(0, &order).await;
        assert!(response.is_served(), "{response:?}");
    };
    let stop_entry = async {
        time::sleep(Duration::from_millis(200)).await;
        site.terminate_entry(0);
        eventually("the entry reports that it is not ready", || async {
            (!site.is_ready(0).await).then_some(())
        })
        .await;
    };
    tokio::join!(send_order, stop_entry);
    assert_eq!(site.wait_for_exit_code(0), Some(0));
    site.wait_until_served(1, &SiteRequest::order()).await;
}

/// The depth of a registration that a parser which recurses does not survive.
const NESTING_DEPTH: usize = 12_000;

/// Returns a registration of another writer at the address of a target, with some fields replaced
/// by JSON texts.
fn odd_registration(address: &SocketAddr, fields: &[(&str, &str)]) -> String {
    let mut all = BTreeMap::from([
        ("service", r#""catalogue""#.to_owned()),
        ("address", format!(r#""{address}""#)),
        ("zone", r#""a""#.to_owned()),
        ("version", r#""v1""#.to_owned()),
        ("slots", "2".to_owned()),
        ("state", r#""ready""#.to_owned()),
        ("coldLeft", r#""0ms""#.to_owned()),
        ("sequence", "1".to_owned()),
        ("born", "9000000000000".to_owned()),
    ]);
    all.extend(fields.iter().map(|(name, text)| (*name, (*text).to_owned())));
    let fields: Vec<String> =
        all.into_iter().map(|(name, text)| format!(r#""{name}":{text}"#)).collect();
    format!("{{{}}}", fields.join(","))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_registrations_of_other_writers_are_ignored() {
    let site = Site::start(SitePlan::default()).await;
    let target_address = site.target_address(0);
    let nested = format!("{}{}", "[".repeat(NESTING_DEPTH), "]".repeat(NESTING_DEPTH));
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        format!(
            r#"{{"service":"unheard of","address":"{target_address}","zone":"a","slots":2,"state":"ready","born":9000000000000}}"#
        ),
        format!(
            r#"{{"service":"catalogue","address":"{target_address}","zone":"a","slots":"2","state":"ready","born":9000000000000}}"#
        ),
        format!(
            r#"{{"service":"catalogue","address":"{target_address}","zone":"a","slots":2,"state":"resting","born":9000000000000}}"#
        ),
        odd_registration(&target_address, &[("address", r#""10.0.0.1:70000""#)]),
        odd_registration(&target_address, &[("slots", "4294967295")]),
        odd_registration(&target_address, &[("slots", "1e400")]),
        odd_registration(&target_address, &[("born", "18446744073709551615")]),
        odd_registration(&target_address, &[("born", "9007199254740993")]),
        odd_registration(&target_address, &[("sequence", "18446744073709551615")]),
        odd_registration(&target_address, &[("coldLeft", r#""1e300s""#)]),
        odd_registration(&target_address, &[("coldLeft", r#""18446744073709551615s""#)]),
        odd_registration(&target_address, &[("zone", &nested)]),
        nested.clone(),
    ];
    for (number, text) in cases.iter().enumerate() {
        site.store.write_row("servers", &format!("foreign-{number}"), text.as_bytes());
    }
    let deadline = time::Instant::now() + Duration::from_secs(3);
    while time::Instant::now() < deadline {
        for key in (0..=u16::MAX).step_by(8_191) {
            let response = site.send(0, &SiteRequest::lookup(key)).await;
            assert!(response.is_served(), "{response:?}");
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    verify_journal(&site, &HashSet::new());
}
