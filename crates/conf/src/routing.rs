//! The routing configuration on the users' platform: routes, services and limits for callers.
//!
//! The platform delivers it as one versioned document, which the `platform` crate decodes into
//! these types. Entries also send them, in this serialized form, to peers that cannot read the
//! platform's store.

use {
    key::{Service as Name, Version},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::time::Duration,
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    Once,
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// The share, in proportion to the sum of the weights in the route.
    pub weight: u32,
}

/// A rule that sends the requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that operators gave the route.
    pub name: SmolStr,
    /// The host of the request, in lower case and without a port.
    pub host: SmolStr,
    /// The prefix of the path, which begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// The timeout for the response, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The priority; zero is the highest.
    pub priority: u32,
    /// The maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// The services that share the requests.
    pub parts: Vec<WeightedService>,
}

impl Route {
    /// Returns the timeout for the response.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the latency objective.
    #[must_use]
    pub const fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

/// How long a target is cold after its start, and what it tolerates until then.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// The time after the start for which a target is cold, in milliseconds.
    pub span_ms: u64,
    /// The requests per second that a cold target tolerates from all entries together.
    pub requests_per_s: f64,
}

/// A service as the routing configuration defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// Whether each key is served by one target at a time.
    pub keyed: bool,
    /// The number of connections that each target accepts from all entries together.
    pub connections: u32,
    /// What a target tolerates while it is cold, if the operators state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_start: Option<SlowStart>,
}

/// The limits for what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: u64,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
}

/// One version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// The version; a higher one replaces a lower one.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits for callers.
    pub limits: Limits,
}

impl Routing {
    /// Returns the index of the route for a request.
    ///
    /// This is the one with the longest prefix of the routes whose host and prefix match.
    #[must_use]
    pub fn route_index(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |route: &Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        let matching = self.routes.iter().enumerate().filter(|(_, route)| matches(route));
        matching.max_by_key(|(_, route)| route.prefix.len()).map(|(index, _)| index)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
