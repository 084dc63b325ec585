//! Handling one request of a caller, from its arrival to the response or refusal.
//!
//! A request is admitted (module [`admission`](super::admission)), then its attempts are made
//! (module [`attempts`](super::attempts)), and what came of them is counted and logged.

use {
    crate::{
        shared::Shared,
        traffic::{
            admission::{self, AdmittedRequest, DEFAULT_CALLER_TIMEOUT, Origin},
            attempts::Attempts,
            body::Body,
            refusal, relay,
        },
    },
    http::{HeaderValue, Request, Response, header as standard},
    hyper::body::Incoming,
    platform::header,
    route::{Reason, Refusal, budget::Window},
    serde::Serialize,
    std::{sync::Arc, time::Instant},
};

/// The journal line about a refused request.
#[derive(Serialize)]
struct RefusalLine<'a> {
    id: &'a str,
    route: &'a str,
    service: &'a str,
    key: Option<u16>,
    outcome: route::Outcome,
    reason: Reason,
    after_ms: u64,
    left_ms: u64,
    sent: u32,
    config: u64,
    map: u64,
}

/// Handles one request of a caller and returns the response or refusal.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    handle(shared, request, Origin::Caller).await
}

/// Handles one request that another entry passes on.
pub(crate) async fn handle_relayed(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    let sent = relay::attempts_made(request.headers());
    handle(shared, request, Origin::Entry { sent }).await
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>, origin: Origin) -> Response<Body> {
    let arrived_at = Instant::now();
    let id = header::request_id_value(request.headers()).cloned();
    let mut response = match admission::admit(&shared, request, origin, arrived_at).await {
        Ok(admitted) => serve(&shared, &admitted).await,
        Err(refusal) => {
            let id_text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            log_refusal(&shared, refusal, None, id_text, arrived_at, 0);
            let vm = shared.settings.vm.as_str();
            let mut response = refusal::response(refusal, None, DEFAULT_CALLER_TIMEOUT, vm);
            mark_refusal(&mut response, origin, refusal);
            response
        }
    };
    if let Some(id) = id {
        header::set_request_id(response.headers_mut(), &id);
    }
    if shared.is_stopping() {
        response.headers_mut().insert(standard::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Names the reason of a refusal to the entry that passed the request on.
fn mark_refusal(response: &mut Response<Body>, origin: Origin, refusal: Refusal) {
    if origin != Origin::Caller && refusal.outcome == route::Outcome::NotRun {
        relay::mark_refusal(response.headers_mut(), refusal.reason);
    }
}

/// Counts a refusal and logs it.
fn log_refusal(
    shared: &Shared,
    refusal: Refusal,
    admitted: Option<&AdmittedRequest>,
    id: &str,
    arrived_at: Instant,
    sent: u32,
) {
    let snapshot = shared.snapshot.load();
    let service = admitted.map(|admitted| &admitted.service);
    shared.counters.count("refusals", &refusal.reason.to_string());
    shared.journal.log(
        "refused",
        &RefusalLine {
            id,
            route: admitted.map_or("", |admitted| admitted.route.name.as_str()),
            service: service.map_or("", |service| service.as_str()),
            key: admitted.and_then(|admitted| admitted.key),
            outcome: refusal.outcome,
            reason: refusal.reason,
            after_ms: arrived_at.elapsed().as_millis() as u64,
            left_ms: admitted.map_or(0, |admitted| admitted.call.remaining().as_millis() as u64),
            sent,
            config: snapshot.routing_version().get(),
            map: service.map_or(0, |service| snapshot.map_version(service).get()),
        },
    );
}

/// Counts an admitted request, makes its attempts, and returns the response or refusal.
async fn serve(shared: &Arc<Shared>, admitted: &AdmittedRequest) -> Response<Body> {
    // The entry that passed a request on has counted it.
    if admitted.origin == Origin::Caller {
        let mut budgets = shared.budgets();
        let window = || Window::new(shared.settings.retries.window.as_duration());
        budgets
            .entry(admitted.service.clone())
            .or_insert_with(window)
            .record_request(admitted.arrived_at);
        if let Some(key) = admitted.key.filter(|_| admitted.keyed) {
            *shared
                .feedback()
                .requests_by_key
                .entry((admitted.service.clone(), key))
                .or_default() += 1;
        }
    }
    let mut attempts = Attempts::new(shared, admitted);
    match attempts.run().await {
        Ok(response) => {
            shared.counters.count("answers", admitted.service.as_str());
            shared
                .counters
                .record_latency(admitted.service.as_str(), admitted.arrived_at.elapsed());
            response
        }
        Err(refusal) => {
            log_refusal(
                shared,
                refusal,
                Some(admitted),
                &admitted.id,
                admitted.arrived_at,
                attempts.sent,
            );
            let remaining = admitted.call.remaining();
            let vm = shared.settings.vm.as_str();
            let mut response = refusal::response(refusal, attempts.due_in, remaining, vm);
            mark_refusal(&mut response, admitted.origin, refusal);
            response
        }
    }
}
