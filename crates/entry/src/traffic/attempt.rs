//! One attempt to have a request answered by one target.

use {
    crate::traffic::{
        body::Body,
        call::Call,
        target::{Connection, Error, Target},
    },
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
        header as standard,
    },
    hyper::body::Incoming,
    key::Fence,
    route::{Reason, header},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// The headers that concern one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    standard::CONNECTION,
    standard::PROXY_AUTHENTICATE,
    standard::PROXY_AUTHORIZATION,
    standard::TE,
    standard::TRAILER,
    standard::TRANSFER_ENCODING,
    standard::UPGRADE,
];

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Goal {
    pub(crate) target: Arc<Target>,
    pub(crate) fence: Option<Fence>,
}

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The target answered; the connection carries the body.
    Answered(Box<(Response<Incoming>, Connection)>),
    /// It is proved that the target has not run the request and will not.
    NotRun(Reason),
    /// The target may have run it.
    Unknown(Reason),
}

/// Makes one attempt.
pub(crate) async fn make(call: &mut Call, goal: &Goal) -> Attempt {
    let remaining = call.remaining();
    let patience = remaining.min(call.service.conf.limits.queue_timeout());
    let connection = match goal.target.connect(!call.idempotent, patience).await {
        Ok(connection) => connection,
        Err(Error::Busy) => return Attempt::NotRun(Reason::Overloaded),
        Err(Error::Unreachable) => return Attempt::NotRun(Reason::Unreachable),
    };
    let id = HeaderValue::from(rand::random::<u64>());
    let Some(request) = request(call, goal, &id) else {
        return Attempt::NotRun(Reason::BadBody);
    };
    exchange(call, connection, request, &id).await
}

async fn exchange(
    call: &mut Call,
    mut connection: Connection,
    request: Request<Body>,
    id: &HeaderValue,
) -> Attempt {
    // Whatever was passed before this point may have taken any time, so the deadline is looked at
    // again immediately before the first byte.
    let remaining = call.remaining();
    if remaining.is_zero() {
        call.restore(request.into_body());
        return Attempt::NotRun(Reason::Deadline);
    }
    let limit = if call.idempotent {
        remaining.min(call.service.conf.limits.attempt_timeout())
    } else {
        remaining
    };
    let answer = time::timeout(limit, connection.sender.try_send_request(request)).await;
    match answer {
        Ok(Ok(response)) => receive(call, connection, response, id),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => {
                call.restore(request.into_body());
                Attempt::NotRun(Reason::ConnectionLost)
            }
            None => Attempt::Unknown(Reason::ConnectionLost),
        },
        Err(_) => {
            connection.target.retire_idle();
            Attempt::Unknown(Reason::Deadline)
        }
    }
}

fn receive(
    call: &Call,
    connection: Connection,
    response: Response<Incoming>,
    id: &HeaderValue,
) -> Attempt {
    let headers = response.headers();
    note(&connection.target, headers);
    if headers.get(header::REQUEST_ID) != Some(id) {
        return Attempt::Unknown(Reason::MismatchedAnswer);
    }
    if let Some(reason) = denial(&response) {
        return Attempt::NotRun(reason);
    }
    if !is_framed(&call.parts.method, &response) {
        return Attempt::Unknown(Reason::UnframedAnswer);
    }
    Attempt::Answered(Box::new((response, connection)))
}

/// Keeps what a target says of itself with each answer.
fn note(target: &Target, headers: &HeaderMap) {
    if let Some(now) = number(headers, header::TARGET_NOW_MS) {
        target.note_clock(now);
    }
    if let Some(incarnation) = number(headers, header::TARGET_INCARNATION) {
        target.incarnation.store(incarnation, Ordering::Relaxed);
    }
    let leaving = headers.get(header::TARGET_STATE).is_some_and(|state| state == header::LEAVING);
    target.leaving.store(leaving, Ordering::Relaxed);
}

/// Returns the reason if a target proves that it has not run a request.
fn denial(response: &Response<Incoming>) -> Option<Reason> {
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

/// Tells whether an answer says where it ends; one that ends with its connection does not.
fn is_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let bodiless = method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(standard::CONTENT_LENGTH)
        || headers.contains_key(standard::TRANSFER_ENCODING)
}

/// Returns the request for the target, or nothing if its body was already sent elsewhere.
fn request(call: &mut Call, goal: &Goal, id: &HeaderValue) -> Option<Request<Body>> {
    let body = call.body()?;
    let path = call.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(body);
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    strip(headers);
    headers.remove(standard::CONTENT_LENGTH);
    headers.remove(standard::EXPECT);
    headers.insert(header::REQUEST_ID, id.clone());
    if let (Some(shard), Some(fence)) = (call.shard, goal.fence) {
        headers.insert(header::SHARD, shard.get().into());
        headers.insert(header::FENCE, fence.get().into());
    }
    let remaining = call.remaining();
    headers.insert(header::DEADLINE_MS, millis(remaining).into());
    if let Some(at) = goal.target.deadline_at(remaining) {
        headers.insert(header::DEADLINE_AT_MS, at.into());
    }
    Some(request)
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Removes the headers that concern one connection.
pub(crate) fn strip(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
