//! The routing text: which requests go to which service, and within which limits.
//!
//! The platform delivers it as one versioned document; the adapter decodes that document into these
//! types, and entries pass them on to peers that the platform's store turns away.

use {
    key::{Service as Name, Version},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::time::Duration,
};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    Once,
}

/// One of the services that share the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its share, in proportion to the sum of all shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that operators gave it.
    pub name: SmolStr,
    /// The host that requests name, in lower case.
    pub host: SmolStr,
    /// The beginning of the path, from slash to slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time until the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The rank; zero is the highest.
    pub priority: u32,
    /// The most targets to which one request may be sent.
    pub attempts: u32,
    /// Where requests go.
    pub parts: Vec<WeightedService>,
}

impl Route {
    /// Returns the longest time until the answer.
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

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// Whether its keys are held by one target each.
    pub keyed: bool,
    /// The connections that each target accepts from all callers.
    pub connections: u32,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub header_bytes: u64,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The time in which a connection without a request is kept, in milliseconds.
    pub idle_ms: u64,
}

/// One version of the routing text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The version; a higher one replaces it.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits for callers.
    pub limits: Limits,
}

impl Routing {
    /// Returns the route of a request: of those of its host, the one with the longest prefix.
    #[must_use]
    pub fn route_index(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        let fitting = self.routes.iter().enumerate().filter(|(_, route)| fits(route));
        fitting.max_by_key(|(_, route)| route.prefix.len()).map(|(at, _)| at)
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
