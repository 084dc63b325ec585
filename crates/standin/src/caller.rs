//! Requests and routing texts as callers and the operator of the users' platform send them.

use {
    http::HeaderMap,
    serde::Serialize,
    serde_json::{Value, json},
};

/// A route in the routing text.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Route {
    /// The prefix of the paths that the route matches.
    pub prefix: &'static str,
    /// Whether requests may be repeated, as a value of the routing text's field `kind`.
    pub kind: &'static str,
    /// The service that handles the requests.
    pub service: &'static str,
}

/// Returns a routing text with the keyed service `catalogue` and the unkeyed service `orders`.
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

/// Adds what a cold target of each service tolerates to a routing text.
pub fn set_slow_start(routing: &mut Value, cold_start: &str, cold_per_s: f64) {
    for service in routing["services"].as_array_mut().into_iter().flatten() {
        service["coldStart"] = json!(cold_start);
        service["coldPerS"] = json!(cold_per_s);
    }
}

/// Returns the headers of a request whose caller waits for `deadline_ms` milliseconds.
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

/// Returns true if a response carries the signature of a target.
#[must_use]
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("response-signature")
}
