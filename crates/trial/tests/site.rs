//! The whole path on the users' platform, with real processes.

use {
    standin::{caller::Route, check, holder, proxy, rows},
    std::{collections::HashSet, time::Duration},
    tokio::time,
    trial::{Site, SitePlan, SiteRequest, eventually},
};

/// Checks what must hold whatever happened.
fn check_promises(site: &Site, not_run: &HashSet<String>) {
    let lines = site.journal_lines();
    let doubles = check::doubles(&lines);
    assert!(doubles.is_empty(), "keys with two holders: {:?}", doubles.first());
    let runs = check::runs(&lines);
    let twice = runs.iter().find(|(_, count)| **count > 1);
    assert!(twice.is_none(), "an order ran twice: {twice:?}");
    let broken = runs.keys().find(|id| not_run.contains(id.as_str()));
    assert!(broken.is_none(), "an order ran though its caller was told otherwise: {broken:?}");
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
    eventually("the order's route is gone", || async {
        let response = site.send(1, &SiteRequest::order()).await;
        (response.status.map(|status| status.as_u16()) == Some(404)).then_some(())
    })
    .await;
    let longest =
        SiteRequest { path: "/catalogue/plain/1".to_owned(), key: None, ..SiteRequest::lookup(1) };
    site.wait_until_served(1, &longest).await;
    assert!(site.is_ready(0).await);
    assert!(site.metrics(0).await.contains("almondworks_answers"));
    check_promises(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_have_one_holder_while_targets_and_entries_fail() {
    let mut site = Site::start(SitePlan::default()).await;
    let mut not_run = HashSet::new();
    for round in 0..3_usize {
        site.kill_target(round);
        site.kill_entry(round);
        for key in (0..=u16::MAX).step_by(4_099) {
            let through = (round + 1) % 3;
            site.send(through, &SiteRequest::lookup(key)).await;
            let order = site.send(through, &SiteRequest::order()).await;
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
    check_promises(&site, &not_run);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_of_targets_show_no_wrong_answer() {
    struct Case {
        name: &'static str,
        target: holder::Fault,
        way: proxy::Fault,
    }
    let quiet = holder::Fault::default();
    let cases = [
        Case {
            name: "answers break off",
            target: holder::Fault { cut_answers: true, ..quiet },
            way: proxy::Fault::default(),
        },
        Case {
            name: "answers belong to others",
            target: holder::Fault { crossed: true, ..quiet },
            way: proxy::Fault::default(),
        },
        Case {
            name: "answers are lost",
            target: holder::Fault { lose_answers: true, ..quiet },
            way: proxy::Fault::default(),
        },
        Case {
            name: "requests are shed",
            target: holder::Fault { shed: true, ..quiet },
            way: proxy::Fault::default(),
        },
        Case {
            name: "the way is cut",
            target: quiet,
            way: proxy::Fault { cut: true, ..proxy::Fault::default() },
        },
        Case {
            name: "connections are reset",
            target: quiet,
            way: proxy::Fault { reset_after: Some(40), ..proxy::Fault::default() },
        },
    ];
    let site = Site::start(SitePlan::default()).await;
    let mut not_run = HashSet::new();
    for case in cases {
        // One target with keys and one without.
        for target in [0, 4] {
            site.set_target_fault(target, case.target).await;
            site.set_proxy_fault(target, case.way.clone());
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
            site.set_target_fault(target, quiet).await;
        }
    }
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
    check_promises(&site, &not_run);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_stops_neither_requests_nor_what_comes_after() {
    let site = Site::start(SitePlan { grant_duration_ms: 8_000, ..SitePlan::default() }).await;
    for fault in [
        rows::Fault { silent: true, ..rows::Fault::default() },
        rows::Fault { refuse: Some(503), ..rows::Fault::default() },
    ] {
        site.store.set_fault(fault);
        let until = time::Instant::now() + Duration::from_secs(4);
        while time::Instant::now() < until {
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
    check_promises(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn writes_without_answers_and_late_grants_give_no_key_two_holders() {
    let mut site = Site::start(SitePlan::default()).await;
    let fault = rows::Fault { lose_answers: 0.5, late_ms: 1_500, ..rows::Fault::default() };
    site.store.set_fault(fault);
    let late = holder::Fault { late_grants_ms: 2_000, ..holder::Fault::default() };
    site.set_target_fault(1, late).await;
    site.kill_target(0);
    site.set_target_fault(2, holder::Fault { draining: true, ..holder::Fault::default() }).await;
    time::sleep(Duration::from_secs(6)).await;
    site.store.set_fault(rows::Fault::default());
    site.set_target_fault(1, holder::Fault::default()).await;
    site.start_target(0);
    for key in (0..=u16::MAX).step_by(8_191) {
        site.wait_until_served(0, &SiteRequest::lookup(key)).await;
    }
    check_promises(&site, &HashSet::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_ends_what_is_in_flight() {
    let mut site = Site::start(SitePlan::default()).await;
    for target in 4..7 {
        let slow = holder::Fault { slow_ms: 600, ..holder::Fault::default() };
        site.set_target_fault(target, slow).await;
    }
    let order = SiteRequest::order();
    let sending = async {
        let response = site.send(0, &order).await;
        assert!(response.is_served(), "{response:?}");
    };
    let stopping = async {
        time::sleep(Duration::from_millis(200)).await;
        site.terminate_entry(0);
        eventually("the entry says that it is not ready", || async {
            (!site.is_ready(0).await).then_some(())
        })
        .await;
    };
    tokio::join!(sending, stopping);
    assert_eq!(site.wait_for_exit_code(0), Some(0));
    site.wait_until_served(1, &SiteRequest::order()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_of_other_writers_disturb_nobody() {
    let site = Site::start(SitePlan::default()).await;
    let first = site.target_address(0);
    let cases = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        format!(
            r#"{{"service":"unheard of","address":"{first}","zone":"a","slots":2,"state":"ready","born":9000000000000}}"#
        ),
        format!(
            r#"{{"service":"catalogue","address":"{first}","zone":"a","slots":"2","state":"ready","born":9000000000000}}"#
        ),
        format!(
            r#"{{"service":"catalogue","address":"{first}","zone":"a","slots":2,"state":"resting","born":9000000000000}}"#
        ),
    ];
    for (number, text) in cases.iter().enumerate() {
        site.store.write("servers", &format!("foreign-{number}"), text.as_bytes());
    }
    let until = time::Instant::now() + Duration::from_secs(3);
    while time::Instant::now() < until {
        for key in (0..=u16::MAX).step_by(8_191) {
            let response = site.send(0, &SiteRequest::lookup(key)).await;
            assert!(response.is_served(), "{response:?}");
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    check_promises(&site, &HashSet::new());
}
