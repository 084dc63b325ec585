//! Refusals as HTTP responses.

use {
    crate::traffic::body::Body,
    http::{HeaderValue, Response, StatusCode, header},
    route::{Outcome, Reason, Refusal},
    serde::Serialize,
    std::time::Duration,
};

/// The value of `Retry-After` where a target is expected to be available again soon.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(150);

/// The value of `Retry-After` while keys are being reassigned.
const RETRY_AFTER_REASSIGNMENT: Duration = Duration::from_millis(250);

/// The JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Outcome,
    reason: Reason,
    vm: &'a str,
}

/// Returns the status of a refusal. A status that promises that the request has not run is used
/// only where that is proved.
fn status(refusal: Refusal) -> StatusCode {
    let Refusal { outcome, reason } = refusal;
    match (outcome, reason) {
        (Outcome::Unknown, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
        (Outcome::NotRun, Reason::UnknownService) => StatusCode::NOT_FOUND,
        (Outcome::NotRun, Reason::NoKey | Reason::BadHeader | Reason::BadBody) => {
            StatusCode::BAD_REQUEST
        }
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response to a refused request; `remaining` is the time that its caller has left, and
/// bounds `Retry-After`. `due_in` is the time after which the request can be served, if it is
/// known.
pub(crate) fn response(
    refusal: Refusal,
    due_in: Option<Duration>,
    remaining: Duration,
    vm: &str,
) -> Response<Body> {
    let Refusal { outcome, reason } = refusal;
    let body = serde_json::to_vec(&RefusalBody { outcome, reason, vm }).unwrap_or_default();
    let mut response = Response::new(Body::Buffered(body.into()));
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let usual =
            if reason == Reason::NoOwner { RETRY_AFTER_REASSIGNMENT } else { RETRY_AFTER_OVERLOAD };
        let retry_after = due_in.unwrap_or(usual).min(remaining / 3);
        if let Ok(retry_after) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, retry_after);
        }
    }
    response
}
