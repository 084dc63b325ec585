//! Requests to a site, and what their callers see.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    standin::caller,
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct SiteRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The shard key, for the keyed service.
    pub key: Option<u16>,
    /// The time until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
}

impl SiteRequest {
    /// Returns an idempotent request for a key.
    #[must_use]
    pub fn lookup(key: u16) -> Self {
        let path = format!("/catalogue/{key}");
        Self { method: Method::GET, path, key: Some(key), deadline_ms: 1_000 }
    }

    /// Returns an order, which must run at most once.
    #[must_use]
    pub fn order() -> Self {
        let path = "/orders/new".to_owned();
        Self { method: Method::POST, path, key: None, deadline_ms: 1_000 }
    }

    /// Returns an order on the route that the operator adds later.
    #[must_use]
    pub fn later_order() -> Self {
        Self { path: "/later/new".to_owned(), ..Self::order() }
    }
}

/// The outcome of a request as its caller saw it.
#[derive(Clone, Debug)]
pub struct SiteResponse {
    /// The id of the request.
    pub id: String,
    /// The HTTP status, or `None` if no complete response arrived.
    pub status: Option<StatusCode>,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

impl SiteResponse {
    /// Returns true if this is the complete response of a target to this very request.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let body = String::from_utf8_lossy(&self.body);
        self.status == Some(StatusCode::OK)
            && caller::is_signed(&self.headers)
            && body.split(' ').nth(1) == Some(self.id.as_str())
    }

    /// Returns true if the entry guaranteed that the request has not run and will not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.status == Some(StatusCode::SERVICE_UNAVAILABLE)
    }
}
