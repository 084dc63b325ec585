//! Handling one request of a caller, from its arrival to the response or refusal.
//!
//! A request is admitted (route, body, key), then its attempts are made (module
//! [`attempts`](super::attempts)), and what came of them is counted and logged.

use {
    crate::{
        shared::Shared,
        traffic::{attempt::Call, attempts::Attempts, body::Body, choose, refusal, relay},
    },
    bytes::Bytes,
    conf::routing::{RequestKind, Route, Routing},
    http::{HeaderValue, Request, Response, header as standard, request::Parts},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    key::Service,
    platform::header,
    route::{Reason, Refusal, budget::Window, quarantine::Fingerprint},
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The time that a caller is assumed to wait if its request names none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time before the deadline of the caller at which the response must be complete.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From a caller.
    Caller,
    /// From another entry, which has made so many attempts.
    Entry {
        /// The number of attempts in which anything was sent.
        sent: u32,
    },
}

impl Origin {
    /// Returns the number of attempts that were made before the request arrived here.
    pub(crate) const fn attempts_made(self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Entry { sent } => sent,
        }
    }
}

/// A request that matched a route and was read in full.
pub(crate) struct AdmittedRequest {
    pub(crate) origin: Origin,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) keyed: bool,
    pub(crate) key: Option<u16>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) call: Call,
    pub(crate) arrived_at: Instant,
    pub(crate) id: String,
}

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
    let mut response = match admit(&shared, request, origin, arrived_at).await {
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

/// Admits a request: finds its route and service, and reads its body.
async fn admit(
    shared: &Shared,
    request: Request<Incoming>,
    origin: Origin,
    arrived_at: Instant,
) -> Result<AdmittedRequest, Refusal> {
    if origin != Origin::Caller && shared.is_isolated() {
        return Err(Refusal::not_run(Reason::Unreachable));
    }
    let snapshot = shared.snapshot.load_full();
    let routing = snapshot.routing.as_ref().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let (parts, incoming) = request.into_parts();
    let route = find_route(shared, routing, &parts)?.clone();
    let service = choose::choose_service(&route, rand::random::<f64>())
        .ok_or(Refusal::not_run(Reason::UnknownService))?
        .clone();
    let caller_timeout = header::remaining_time(&parts.headers).unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let deadline = arrived_at + caller_timeout.saturating_sub(RESPONSE_MARGIN).min(route.timeout());
    let limit = routing.limits.body_bytes as usize;
    let body = read_body(incoming, limit, deadline).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, &body);
    let keyed = routing.service(&service).is_some_and(|service| service.keyed);
    let key = header::request_key(&parts.headers);
    let id = header::request_id(&parts.headers).unwrap_or_default().to_owned();
    let at_most_once = route.kind == RequestKind::Once;
    let call = Call { parts, body, deadline, at_most_once };
    Ok(AdmittedRequest { origin, route, service, keyed, key, fingerprint, call, arrived_at, id })
}

/// Finds the route of a request. Without one, the request is refused for good only while the routing
/// configuration is known to be in force.
fn find_route<'a>(
    shared: &Shared,
    routing: &'a Routing,
    parts: &Parts,
) -> Result<&'a Route, Refusal> {
    let host_header = parts.headers.get(standard::HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(host_header).unwrap_or_default();
    let index = routing.route_index(host, parts.uri.path());
    let reason = if shared.is_routing_in_force() {
        Reason::UnknownService
    } else {
        Reason::OutdatedConfiguration
    };
    index.map(|index| &routing.routes[index]).ok_or(Refusal::not_run(reason))
}

async fn read_body(incoming: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let body = Limited::new(incoming, limit).collect();
    let result = time::timeout_at(deadline.into(), body).await;
    let body = result.map_err(|_| Refusal::not_run(Reason::Deadline))?;
    Ok(body.map_err(|_| Refusal::not_run(Reason::BadBody))?.to_bytes())
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
