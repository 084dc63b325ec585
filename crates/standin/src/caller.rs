//! What callers and the operator of the users' platform send.

use {
    http::HeaderMap,
    serde::Serialize,
    serde_json::{Value, json},
};

/// A route of the routing text.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Route {
    /// The beginning of the path.
    pub prefix: &'static str,
    /// What may be repeated, in the platform's words.
    pub kind: &'static str,
    /// The service.
    pub service: &'static str,
}

/// Returns a version of the routing text, with a keyed service `catalogue` and a service `orders`.
#[must_use]
pub fn routing_text(version: u64, host: &str, routes: &[Route]) -> Value {
    let paths = routes.iter().map(|route| {
        json!({
            "name": route.prefix,
            "pathPrefix": route.prefix,
            "kind": route.kind,
            "timeout": "1000ms",
            "targetLatency": "400ms",
            "priority": 1,
            "maxAttempts": 2,
            "service": route.service,
        })
    });
    let paths: Vec<Value> = paths.collect();
    json!({
        "version": version,
        "services": [
            { "name": "catalogue", "maxConns": 130, "sharded": true },
            { "name": "orders", "maxConns": 130 },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "idleTimeout": "15s" },
        "hosts": [{ "host": host, "paths": paths }],
    })
}

/// Returns the headers of a request that a caller waits for during `deadline_ms`.
#[must_use]
pub fn request_headers(
    id: &str,
    deadline_ms: u64,
    key: Option<u16>,
) -> Vec<(&'static str, String)> {
    let mut headers =
        vec![("attempt-id", id.to_owned()), ("deadline-remaining", deadline_ms.to_string())];
    headers.extend(key.map(|key| ("shard-key", key.to_string())));
    headers
}

/// Tells whether an answer bears the signature of a target.
#[must_use]
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("response-signature")
}
