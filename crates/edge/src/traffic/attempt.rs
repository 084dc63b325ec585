//! One attempt to get a response from one target.

use {
    crate::{
        shared::Shared,
        traffic::{
            body::Body,
            target::{ConnectError, Connection, Target},
        },
    },
    bytes::{Bytes, BytesMut},
    http::{
        HeaderMap, HeaderName, Request, Response, StatusCode, header as standard, request::Parts,
    },
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    key::clock::Tick,
    platform::header::{self, Denial},
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    standard::CONNECTION,
    standard::PROXY_AUTHENTICATE,
    standard::PROXY_AUTHORIZATION,
    standard::TE,
    standard::TRAILER,
    standard::TRANSFER_ENCODING,
    standard::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// The largest response body that is buffered before it is passed on, in bytes. If a buffered one
/// breaks off, another attempt can replace it. A body of unknown length is always buffered.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 1 << 20;

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The target responded.
    Answered(Box<Response<Body>>),
    /// Nothing was sent, since no connection could be used.
    Unsent(ConnectError),
    /// The target says that it has not run the request.
    Denied(Denial),
    /// The connection closed before a response began; the target may have run the request.
    Lost,
    /// No response came before the deadline; the target may have run the request.
    Late,
    /// The response does not belong to this request, or it broke off.
    Broken,
}

/// A request with its body buffered, so that it can be sent more than once.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Whether the request must not be sent twice if it may have run.
    pub(crate) at_most_once: bool,
}

impl Call {
    /// Returns the time left until the response must be complete.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as in flight at a target until the guard is dropped.
struct InFlightGuard<'a>(&'a Target);

impl<'a> InFlightGuard<'a> {
    fn new(target: &'a Target) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(target)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Makes one attempt: sends the request to a target and receives the response.
pub(crate) async fn send(shared: &Shared, call: &Call, target: &Arc<Target>) -> AttemptResult {
    let _in_flight = InFlightGuard::new(target);
    let mut connection = match target.connect(call.at_most_once).await {
        Ok(connection) => connection,
        Err(error) => return AttemptResult::Unsent(error),
    };
    // Opening a connection takes time, so both limits are checked again.
    if target.is_closed() {
        connection.release();
        return AttemptResult::Unsent(ConnectError::Leaving);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return AttemptResult::Unsent(ConnectError::Unreachable);
    }
    let sent_at = Tick::now();
    let request = outgoing_request(call, target, remaining);
    let result = time::timeout(remaining, connection.sender().try_send_request(request)).await;
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.message().is_some() => {
            return AttemptResult::Unsent(ConnectError::Unreachable);
        }
        Ok(Err(_)) => {
            target.close_idle();
            return AttemptResult::Lost;
        }
        Err(_) => return AttemptResult::Late,
    };
    receive(shared, call, connection, response, sent_at).await
}

/// Checks that a response belongs to the request, and reads its body or passes it on.
async fn receive(
    shared: &Shared,
    call: &Call,
    connection: Connection,
    response: Response<Incoming>,
    sent_at: Tick,
) -> AttemptResult {
    let target = Arc::clone(&connection.target);
    if !header::is_response_to(&response, header::request_id(&call.parts.headers)) {
        return AttemptResult::Broken;
    }
    let denial = header::denial(&response, target.instance.vm.as_str());
    if denial != Some(Denial::WrongTarget) {
        record_limit(shared, &target, response.headers(), sent_at);
    }
    if let Some(denial) = denial {
        drain_body(response.into_body(), connection).await;
        return AttemptResult::Denied(denial);
    }
    if response.status().is_success() && !header::is_signed(response.headers()) {
        return AttemptResult::Broken;
    }
    if response.status().is_success() {
        target.record_latency(Tick::now().since(sent_at));
    }
    let (mut parts, incoming) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    if incoming.size_hint().lower() > MAX_BUFFERED_RESPONSE_BYTES {
        let body = Body::Streamed(incoming, Some(Box::new(connection)));
        return AttemptResult::Answered(Box::new(Response::from_parts(parts, body)));
    }
    match time::timeout(call.remaining(), read_body(incoming)).await {
        Ok(Ok(bytes)) => {
            connection.release();
            AttemptResult::Answered(Box::new(Response::from_parts(parts, Body::Buffered(bytes))))
        }
        Ok(Err(_)) => AttemptResult::Broken,
        Err(_) => AttemptResult::Late,
    }
}

/// Records the rate limit that an answer names, or that it names none.
fn record_limit(shared: &Shared, target: &Target, headers: &HeaderMap, sent_at: Tick) {
    let rate = header::rate_limit(headers);
    let change = shared.limits().record_answer(&target.instance, rate, sent_at, Tick::now());
    if let Some(change) = change {
        shared.log_limit(&target.instance, change, "answer");
    }
}

async fn read_body(mut incoming: Incoming) -> Result<Bytes, hyper::Error> {
    let mut buffer = BytesMut::with_capacity(incoming.size_hint().lower() as usize);
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}

/// Reads the short body of a denial so that the connection can be reused.
async fn drain_body(incoming: Incoming, connection: Connection) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, read_body(incoming)).await {
        connection.release();
    }
}

/// Returns the request as it is sent to a target.
fn outgoing_request(call: &Call, target: &Target, remaining: Duration) -> Request<Body> {
    let mut request = Request::new(Body::Buffered(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    remove_hop_by_hop(headers);
    headers.remove(standard::EXPECT);
    header::set_deadline_and_target(headers, remaining, target.instance.vm.as_str());
    request
}

/// Returns true if a response is a server error that another target might not return.
pub(crate) fn is_failure<B>(response: &Response<B>) -> bool {
    response.status().is_server_error() && response.status() != StatusCode::NOT_IMPLEMENTED
}

/// Removes the hop-by-hop headers, those that `Connection` names included.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(standard::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
