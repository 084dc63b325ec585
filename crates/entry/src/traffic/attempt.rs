//! One attempt to get a response to a request from one target.

use {
    crate::traffic::{
        admitted::AdmittedRequest,
        body::Body,
        target::{ConnectError, Connection, Target},
    },
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header as standard},
    hyper::body::Incoming,
    key::Fence,
    route::{Reason, header},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// The target of an attempt, with the fencing token if the target owns the shard of the request.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) target: Arc<Target>,
    pub(crate) fence: Option<Fence>,
}

/// The result of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The target responded; the body is still to be read from the connection.
    Answered(Box<(Response<Incoming>, Connection)>),
    /// The target has provably not run the request and will not.
    NotRun(Reason),
    /// The target may have run the request.
    Unknown(Reason),
}

/// Makes one attempt at the destination.
pub(crate) async fn make(
    admitted: &mut AdmittedRequest,
    destination: &Destination,
) -> AttemptResult {
    let remaining = admitted.remaining();
    let connect_timeout = remaining.min(admitted.service.conf.limits.queue_timeout());
    let connection = match destination.target.connect(!admitted.idempotent, connect_timeout).await {
        Ok(connection) => connection,
        Err(ConnectError::Busy) => return AttemptResult::NotRun(Reason::Overloaded),
        Err(ConnectError::Unreachable) => return AttemptResult::NotRun(Reason::Unreachable),
    };
    let id = HeaderValue::from(rand::random::<u64>());
    let Some(request) = build_request(admitted, destination, &id) else {
        return AttemptResult::NotRun(Reason::BadBody);
    };
    exchange(admitted, connection, request, &id).await
}

async fn exchange(
    admitted: &mut AdmittedRequest,
    mut connection: Connection,
    request: Request<Body>,
    id: &HeaderValue,
) -> AttemptResult {
    // The steps up to this point may have taken any amount of time, so the deadline is checked
    // again immediately before the first byte is sent.
    let remaining = admitted.remaining();
    if remaining.is_zero() {
        admitted.restore_body(request.into_body());
        return AttemptResult::NotRun(Reason::Deadline);
    }
    let timeout = if admitted.idempotent {
        remaining.min(admitted.service.conf.limits.attempt_timeout())
    } else {
        remaining
    };
    let response = time::timeout(timeout, connection.sender.try_send_request(request)).await;
    match response {
        Ok(Ok(response)) => receive(admitted, connection, response, id),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => {
                admitted.restore_body(request.into_body());
                AttemptResult::NotRun(Reason::ConnectionLost)
            }
            None => AttemptResult::Unknown(Reason::ConnectionLost),
        },
        Err(_) => {
            connection.target.close_idle();
            AttemptResult::Unknown(Reason::Deadline)
        }
    }
}

fn receive(
    admitted: &AdmittedRequest,
    connection: Connection,
    response: Response<Incoming>,
    id: &HeaderValue,
) -> AttemptResult {
    let headers = response.headers();
    record_target_state(&connection.target, headers);
    // A status that is none proves nothing, whatever its headers say.
    if !wire::is_final(response.status()) || headers.get(header::REQUEST_ID) != Some(id) {
        return AttemptResult::Unknown(Reason::MismatchedAnswer);
    }
    if let Some(reason) = not_run_reason(&response) {
        return AttemptResult::NotRun(reason);
    }
    if !is_framed(&admitted.parts.method, &response) {
        return AttemptResult::Unknown(Reason::UnframedAnswer);
    }
    AttemptResult::Answered(Box::new((response, connection)))
}

/// Records the state of the target that it reports in the headers of each response.
fn record_target_state(target: &Target, headers: &HeaderMap) {
    if let Some(now_ms) = parse_header(headers, header::TARGET_NOW_MS) {
        target.record_clock(now_ms);
    }
    if let Some(incarnation) = parse_header(headers, header::TARGET_INCARNATION) {
        target.incarnation.store(incarnation, Ordering::Relaxed);
    }
    let leaving = headers.get(header::TARGET_STATE).is_some_and(|state| state == header::LEAVING);
    target.leaving.store(leaving, Ordering::Relaxed);
}

/// Returns the reason if the target states that it has not run the request.
fn not_run_reason(response: &Response<Incoming>) -> Option<Reason> {
    let headers = response.headers();
    if headers.get(header::OUTCOME)? != "not-run" {
        return None;
    }
    match headers.get(header::REASON)?.to_str().ok()? {
        header::reason::NOT_OWNER => Some(Reason::NoOwner),
        header::reason::EXPIRED => Some(Reason::Deadline),
        _ => Some(Reason::Overloaded),
    }
}

/// Returns true if the end of a response is marked.
///
/// The end of a response that is delimited by the end of its connection cannot be told from a
/// lost connection.
fn is_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let has_no_body = method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    has_no_body
        || headers.contains_key(standard::CONTENT_LENGTH)
        || headers.contains_key(standard::TRANSFER_ENCODING)
}

/// Builds the request for the target; returns `None` if its body was already sent elsewhere.
fn build_request(
    admitted: &mut AdmittedRequest,
    destination: &Destination,
    id: &HeaderValue,
) -> Option<Request<Body>> {
    let body = admitted.take_body()?;
    let path = admitted.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = admitted.parts.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    let headers = request.headers_mut();
    *headers = admitted.parts.headers.clone();
    wire::remove_hop_by_hop(headers);
    headers.remove(standard::CONTENT_LENGTH);
    headers.remove(standard::EXPECT);
    headers.insert(header::REQUEST_ID, id.clone());
    if let (Some(shard), Some(fence)) = (admitted.shard, destination.fence) {
        headers.insert(header::SHARD, shard.get().into());
        headers.insert(header::FENCE, fence.get().into());
    }
    let remaining = admitted.remaining();
    headers.insert(header::DEADLINE_MS, whole_millis(remaining).into());
    if let Some(deadline_ms) = destination.target.deadline_at(remaining) {
        headers.insert(header::DEADLINE_AT_MS, deadline_ms.into());
    }
    Some(request)
}

fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn parse_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
