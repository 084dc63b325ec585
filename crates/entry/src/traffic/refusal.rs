//! Responses to refused requests.

use {
    crate::traffic::body::Body,
    http::{HeaderValue, Response, StatusCode, header as standard},
    route::{Outcome, Refusal, header},
    serde::Serialize,
};

/// The body of the response to a refused request.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Outcome,
    reason: route::Reason,
    service: &'a str,
    entry: &'a str,
}

/// Returns the response to a refused request, with outcome and reason in its headers and body.
pub(crate) fn response(refusal: Refusal, service: &str, entry: &str) -> Response<Body> {
    let Refusal { outcome, reason } = refusal;
    let body = serde_json::to_vec(&RefusalBody { outcome, reason, service, entry });
    let mut response = Response::new(Body::Whole(body.unwrap_or_default().into()));
    *response.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(standard::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in
        [(header::OUTCOME, outcome.to_string()), (header::REASON, reason.to_string())]
    {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    if let Some(delay) = reason.retry_after() {
        headers.insert(standard::RETRY_AFTER, delay.as_secs().into());
    }
    response
}
