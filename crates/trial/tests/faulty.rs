//! Targets whose responses break the protocol: what callers are told stays true.

use {
    standin::{
        faulty::{Faulty, Kind},
        holder,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, time},
    trial::{Site, SitePlan, SiteRequest, SiteResponse, eventually},
};

/// The only other target of the service, which is in use until the faulty one is.
const SOUND_TARGET: usize = 1;

/// The number of orders that each case sends.
const ORDERS: usize = 20;

/// Sends orders to a site whose only target for them is faulty, and checks each response.
async fn check_orders(kind: Kind, check: impl Fn(&Faulty, &SiteResponse)) {
    let plan = SitePlan { entries: 1, keyed_targets: 1, unkeyed_targets: 1, ..SitePlan::default() };
    let site = Site::start(plan).await;
    let target = Faulty::new(kind);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(Arc::clone(&target).serve(listener));
    let leaving = holder::Fault { draining: true, ..holder::Fault::default() };
    site.set_target_fault(SOUND_TARGET, leaving).await;
    let stop = AtomicBool::new(false);
    let work = async {
        eventually("the sound target gets no orders any more", || async {
            let before = target.arrived_count();
            let response = site.send(0, &SiteRequest::order()).await;
            check(&target, &response);
            time::sleep(Duration::from_millis(50)).await;
            (target.arrived_count() > before + 1 || target.arrived_count() > 5).then_some(())
        })
        .await;
        for _ in 0..ORDERS {
            check(&target, &site.send(0, &SiteRequest::order()).await);
        }
        stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(work, site.keep_listed(address, &stop));
}

/// A target wrote an earlier refusal once more on a kept connection, as the answer to a request
/// that it was running, and the caller was told that the request had not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_written_again_is_no_proof_that_a_request_has_not_run() {
    check_orders(Kind::RepeatedRefusal, |target, response| {
        let is_wrong = response.is_not_run() && target.has_run(&response.id);
        assert!(!is_wrong, "refused as not run, and has run: {response:?}");
    })
    .await;
}

/// A target closed its connection in the middle of a head, and callers got a success with an empty
/// or short body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_ends_midway_is_no_success() {
    for lines in 1..=4 {
        check_orders(Kind::CutHead(lines), |target, response| {
            let is_success = response.status.is_some_and(|status| status.is_success());
            let is_from_faulty = target.has_run(&response.id);
            assert!(!is_success || !is_from_faulty, "{lines} lines: {response:?}");
            assert!(!response.is_not_run() || !is_from_faulty, "{lines} lines: {response:?}");
        })
        .await;
    }
}

/// A request that its entry had given up was delivered seconds later, when the link to the target
/// was whole again: closing a connection goes on sending what is in its buffer, and only a reset
/// drops it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_given_up_resets_its_connection() {
    check_orders(Kind::Silent, |target, response| {
        let (closed, _) = target.abandoned_counts();
        assert_eq!(closed, 0, "a connection was closed and not reset: {response:?}");
    })
    .await;
}

/// Some targets never answer a request that they cannot queue, nor a later one on its connection.
/// Nothing proves that such a request has not run, and the connection must not be used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_target_that_says_nothing_is_given_up_with_its_connection() {
    check_orders(Kind::Full, |target, response| {
        assert!(!response.is_not_run(), "no proof that it has not run: {response:?}");
        assert_eq!(target.bytes_behind(), 0, "a request followed on that connection");
        let (closed, _) = target.abandoned_counts();
        assert_eq!(closed, 0, "a connection was closed and not reset: {response:?}");
    })
    .await;
}

/// Requests that may be repeated go to the sound target while another one is full and says nothing:
/// it counts as full, and not as gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_target_that_says_nothing_is_avoided_while_others_take_requests() {
    const REQUESTS: usize = 60;
    let plan = SitePlan { entries: 1, keyed_targets: 1, unkeyed_targets: 2, ..SitePlan::default() };
    let site = Site::start(plan).await;
    // A target without observations is preferred to those that are known to be slow.
    let slow = holder::Fault { slow_ms: 200, ..holder::Fault::default() };
    for sound in 1..=2 {
        site.set_target_fault(sound, slow).await;
    }
    let target = Faulty::new(Kind::Full);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(Arc::clone(&target).serve(listener));
    let stop = AtomicBool::new(false);
    let work = async {
        eventually("the full target gets a request", || async {
            site.send(0, &SiteRequest::order()).await;
            (target.arrived_count() > 0).then_some(())
        })
        .await;
        let before = target.arrived_count();
        for _ in 0..REQUESTS {
            site.send(0, &SiteRequest::order()).await;
        }
        let arrived = target.arrived_count() - before;
        stop.store(true, Ordering::Relaxed);
        assert!(arrived <= REQUESTS / 4, "{arrived} of {REQUESTS} went to the full target");
    };
    tokio::join!(work, site.keep_listed(address, &stop));
}
