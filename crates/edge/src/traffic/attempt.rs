//! One attempt to have a request answered by one target.

use {
    crate::traffic::{
        body::Body,
        target::{Connection, Error, Target},
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
const HELD_ANSWER_BYTES: u64 = 1 << 20;

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The target answered.
    Answered(Box<Response<Body>>),
    /// Nothing was sent, since the target cannot be reached.
    Unsent(Error),
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
    pub(crate) once: bool,
}

impl Call {
    /// Returns the time left until the answer must be complete.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Counts a request as in flight at a target.
struct InFlight<'a>(&'a Target);

impl<'a> InFlight<'a> {
    fn new(target: &'a Target) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(target)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Makes one attempt.
pub(crate) async fn make(call: &Call, target: &Arc<Target>) -> Attempt {
    let _in_flight = InFlight::new(target);
    let mut connection = match target.connect(call.once).await {
        Ok(connection) => connection,
        Err(error) => return Attempt::Unsent(error),
    };
    // Opening a connection may have taken any time, so both limits are looked at again.
    if target.is_closed() {
        connection.release();
        return Attempt::Unsent(Error::Leaving);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return Attempt::Unsent(Error::Unreachable);
    }
    let began = Instant::now();
    let request = request(call, target, remaining);
    let sent = time::timeout(remaining, connection.sender().try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.message().is_some() => return Attempt::Unsent(Error::Unreachable),
        Ok(Err(_)) => {
            target.retire_idle();
            return Attempt::Lost;
        }
        Err(_) => return Attempt::Late,
    };
    receive(call, connection, response, began).await
}

async fn receive(
    call: &Call,
    connection: Connection,
    response: Response<Incoming>,
    began: Instant,
) -> Attempt {
    let target = Arc::clone(&connection.target);
    if !header::is_response_to(&response, header::request_id(&call.parts.headers)) {
        return Attempt::Broken;
    }
    if let Some(denial) = header::denial(&response, target.instance.vm.as_str()) {
        drain(response.into_body(), connection).await;
        return Attempt::Denied(denial);
    }
    if response.status().is_success() && !header::is_signed(response.headers()) {
        return Attempt::Broken;
    }
    if response.status().is_success() {
        target.note_latency(began.elapsed());
    }
    let (mut parts, incoming) = response.into_parts();
    strip(&mut parts.headers);
    if incoming.size_hint().lower() > HELD_ANSWER_BYTES {
        let body = Body::Relay(incoming, Some(Box::new(connection)));
        return Attempt::Answered(Box::new(Response::from_parts(parts, body)));
    }
    match time::timeout(call.remaining(), read(incoming)).await {
        Ok(Ok(bytes)) => {
            connection.release();
            Attempt::Answered(Box::new(Response::from_parts(parts, Body::Whole(bytes))))
        }
        Ok(Err(_)) => Attempt::Broken,
        Err(_) => Attempt::Late,
    }
}

async fn read(mut incoming: Incoming) -> Result<Bytes, hyper::Error> {
    let mut whole = BytesMut::with_capacity(incoming.size_hint().lower() as usize);
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// Reads the short body of a denial so that the connection can be used again.
async fn drain(incoming: Incoming, connection: Connection) {
    const PATIENCE: Duration = Duration::from_millis(20);
    if let Ok(Ok(_)) = time::timeout(PATIENCE, read(incoming)).await {
        connection.release();
    }
}

fn request(call: &Call, target: &Target, remaining: Duration) -> Request<Body> {
    let mut request = Request::new(Body::Whole(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    strip(headers);
    headers.remove(standard::EXPECT);
    header::set_deadline_and_target(headers, remaining, target.instance.vm.as_str());
    request
}

/// Tells whether an answer is a failure of the target that another one might not have.
pub(crate) fn is_failure<B>(response: &Response<B>) -> bool {
    response.status().is_server_error() && response.status() != StatusCode::NOT_IMPLEMENTED
}

/// Removes the headers that concern one connection.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(standard::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
