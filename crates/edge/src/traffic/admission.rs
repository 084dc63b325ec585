//! Admitting a request: its route and service are found, and its body is read.

use {
    crate::{
        shared::Shared,
        traffic::{attempt::Call, choose},
    },
    bytes::Bytes,
    conf::routing::{RequestKind, Route, Routing},
    http::{Request, header as standard, request::Parts},
    hyper::body::Incoming,
    key::Service,
    platform::header,
    route::{Reason, Refusal, quarantine::Fingerprint},
    std::time::{Duration, Instant},
    tokio::time,
    wire::{CollectError, Permit},
};

/// The time that a caller is assumed to wait if its request names none.
pub(crate) const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Admits a request: finds its route and service, and reads its body.
pub(crate) async fn admit(
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
    let permit = parts.extensions.get::<Permit>();
    let body = read_body(incoming, limit, permit, deadline).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, &body);
    let keyed = routing.service(&service).is_some_and(|service| service.keyed);
    let key = header::request_key(&parts.headers);
    let id = header::request_id(&parts.headers).unwrap_or_default().to_owned();
    let at_most_once = route.kind == RequestKind::Once;
    let call = Call { parts, body, deadline, at_most_once };
    Ok(AdmittedRequest { origin, route, service, keyed, key, fingerprint, call, arrived_at, id })
}

/// Finds the route of a request. Without one, the request is refused for good only while the
/// routing configuration is known to be in force.
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

async fn read_body(
    incoming: Incoming,
    limit: usize,
    permit: Option<&Permit>,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let body = wire::collect(incoming, limit, permit);
    let result = time::timeout_at(deadline.into(), body).await;
    let body = result.map_err(|_| Refusal::not_run(Reason::Deadline))?;
    body.map_err(|error| {
        Refusal::not_run(match error {
            CollectError::NoRoom => Reason::Overloaded,
            CollectError::TooLong(_) | CollectError::Broken(_) => Reason::BadBody,
        })
    })
}
