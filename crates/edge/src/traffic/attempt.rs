//! One attempt to have a request answered by one target.

use {
    crate::traffic::{
        body::Body,
        target::{ConnectError, Connection, Target},
    },
    bytes::{Bytes, BytesMut},
    http::{
        HeaderMap, HeaderName, Request, Response, StatusCode, header as standard, request::Parts,
    },
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    platform::header::{self, Denial},
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The headers that concern one connection and are not passed on.
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

/// The largest answer that is read whole before it is passed on, in bytes, so that a break can be
/// mended by another attempt.
const BUFFERED_RESPONSE_BYTES: u64 = 1 << 20;

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The target answered.
    Answered(Box<Response<Body>>),
    /// Nothing was sent, since the target cannot be reached.
    Unsent(ConnectError),
    /// The target says that it has not run the request.
    Denied(Denial),
    /// The connection ended before an answer began; the target may have run the request.
    Lost,
    /// No answer came in time; the target may have run the request.
    Late,
    /// The answer is not the answer to this request, or it broke off.
    Broken,
}

/// A request in a form that can be sent more than once.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) at_most_once: bool,
}

impl Call {
    /// Returns the time left until the answer must be complete.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as in flight at a target.
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

/// Makes one attempt.
pub(crate) async fn send(call: &Call, target: &Arc<Target>) -> AttemptResult {
    let _in_flight = InFlightGuard::new(target);
    let mut connection = match target.connect(call.at_most_once).await {
        Ok(connection) => connection,
        Err(error) => return AttemptResult::Unsent(error),
    };
    // Opening a connection may have taken any time, so both limits are looked at again.
    if target.is_closed() {
        connection.release();
        return AttemptResult::Unsent(ConnectError::Leaving);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return AttemptResult::Unsent(ConnectError::Unreachable);
    }
    let sent_at = Instant::now();
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
    receive(call, connection, response, sent_at).await
}

async fn receive(
    call: &Call,
    connection: Connection,
    response: Response<Incoming>,
    sent_at: Instant,
) -> AttemptResult {
    let target = Arc::clone(&connection.target);
    if !header::is_response_to(&response, header::request_id(&call.parts.headers)) {
        return AttemptResult::Broken;
    }
    if let Some(denial) = header::denial(&response, target.instance.vm.as_str()) {
        drain_body(response.into_body(), connection).await;
        return AttemptResult::Denied(denial);
    }
    if response.status().is_success() && !header::is_signed(response.headers()) {
        return AttemptResult::Broken;
    }
    if response.status().is_success() {
        target.record_latency(sent_at.elapsed());
    }
    let (mut parts, incoming) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    if incoming.size_hint().lower() > BUFFERED_RESPONSE_BYTES {
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

async fn read_body(mut incoming: Incoming) -> Result<Bytes, hyper::Error> {
    let mut buffer = BytesMut::with_capacity(incoming.size_hint().lower() as usize);
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}

/// Reads the short body of a denial so that the connection can be used again.
async fn drain_body(incoming: Incoming, connection: Connection) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, read_body(incoming)).await {
        connection.release();
    }
}

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

/// Tells whether an answer is a failure of the target that another one might not have.
pub(crate) fn is_failure<B>(response: &Response<B>) -> bool {
    response.status().is_server_error() && response.status() != StatusCode::NOT_IMPLEMENTED
}

/// Removes the headers that concern one connection.
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
