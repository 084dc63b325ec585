//! Idempotent requests that a caller sends before the first one is answered.

use {
    standin::{holder, journal::Kind},
    std::{collections::HashSet, time::Duration},
    tokio::time,
    trial::{Pipeline, Site, SitePlan, SiteRequest},
};

const REQUESTS: u16 = 12;

fn lookups() -> Vec<SiteRequest> {
    let key = |number| number * (u16::MAX / REQUESTS);
    (0..REQUESTS)
        .map(|number| SiteRequest { deadline_ms: 4_000, ..SiteRequest::lookup(key(number)) })
        .collect()
}

/// Returns the ids of all requests that any target began to run.
fn ids_run(site: &Site) -> HashSet<String> {
    let lines = site.journal_lines().into_iter();
    lines
        .filter_map(|line| match line.kind {
            Kind::Ran { id, .. } | Kind::Began { id, .. } => id,
            _ => None,
        })
        .collect()
}

/// Checks that each response belongs to the request at its place.
fn check_order(pipeline: &Pipeline, name: &str) {
    let answered: Vec<&str> =
        pipeline.responses.iter().map(|response| response.id.as_str()).collect();
    let sent: Vec<&str> = pipeline.ids.iter().map(String::as_str).collect();
    assert!(sent.starts_with(&answered), "{name}: sent {sent:?}, answered {answered:?}");
    assert!(!pipeline.has_rest, "{name}: a response broke off");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_are_answered_in_order_behind_a_slow_one() {
    let site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    let slow = holder::Fault { slow_ms: 300, ..holder::Fault::default() };
    site.set_target_fault(0, slow).await;
    let pipeline = site.send_pipelined(0, &lookups(), || {}).await;
    check_order(&pipeline, "one slow target");
    assert_eq!(pipeline.responses.len(), usize::from(REQUESTS));
    assert!(pipeline.responses.iter().all(trial::SiteResponse::is_served), "{pipeline:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_between_pipelined_requests_takes_its_place() {
    let site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
    let mut requests = lookups();
    for place in [0, 4, usize::from(REQUESTS) - 1] {
        requests[place].path = "/nowhere/1".to_owned();
    }
    let pipeline = site.send_pipelined(0, &requests, || {}).await;
    check_order(&pipeline, "unknown routes");
    assert_eq!(pipeline.responses.len(), usize::from(REQUESTS));
    for (place, response) in pipeline.responses.iter().enumerate() {
        let is_refused = response.status.is_some_and(|status| status.as_u16() == 404);
        let is_right =
            if requests[place].path == "/nowhere/1" { is_refused } else { response.is_served() };
        assert!(is_right, "place {place}: {response:?}");
    }
}

/// Requests behind a response that closes the connection count as not read, and their caller sends
/// them again, whatever their kind: none of them may have reached a target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_behind_a_response_that_closes_the_connection_reach_no_target() {
    /// The times from the request to the stop, as fractions of the work of all requests.
    const STOP_TENTHS: [u64; 4] = [0, 2, 5, 9];
    const SLOW_MS: u64 = 100;
    for tenths in STOP_TENTHS {
        let mut site = Site::start(SitePlan { entries: 1, ..SitePlan::default() }).await;
        let slow = holder::Fault { slow_ms: SLOW_MS, ..holder::Fault::default() };
        for target in 0..SitePlan::default().keyed_targets {
            site.set_target_fault(target, slow).await;
        }
        let stop = async {
            let work_ms = SLOW_MS * u64::from(REQUESTS);
            time::sleep(Duration::from_millis(work_ms * tenths / 10 + SLOW_MS / 2)).await;
            site.terminate_entry(0);
        };
        let requests = lookups();
        let (pipeline, ()) = tokio::join!(site.send_pipelined(0, &requests, || {}), stop);
        let name = format!("stopped after {tenths} tenths");
        check_order(&pipeline, &name);
        let run = ids_run(&site);
        let unanswered = &pipeline.ids[pipeline.responses.len()..];
        let leaked = unanswered.iter().find(|id| run.contains(id.as_str()));
        assert!(leaked.is_none(), "{name}: {leaked:?} reached a target");
        let closes = |response: &trial::SiteResponse| {
            response.headers.get("connection").is_some_and(|value| value == "close")
        };
        let last = pipeline.responses.last();
        assert!(
            unanswered.is_empty() || last.is_some_and(closes),
            "{name}: the last response does not close the connection: {last:?}"
        );
        assert_eq!(site.wait_for_exit_code(0), Some(0), "{name}");
    }
}
