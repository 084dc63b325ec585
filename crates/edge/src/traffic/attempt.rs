//! One attempt to get a response from one target.

use {
    crate::{
        gather,
        permit::cold,
        shared::Shared,
        traffic::{
            body::{Body, Stream},
            notice, relay,
            reported::{self, Ending},
            target::{ConnectError, Connection, Reuse, Target},
            warming,
        },
    },
    bytes::Bytes,
    hold::Instance,
    http::{HeaderMap, Request, Response, StatusCode, Version, header as standard, request::Parts},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::{Body as _, Incoming},
    key::clock::Tick,
    platform::header::{self, Denial},
    serde::Serialize,
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The largest response body of known length that is buffered before it is passed on, in bytes. If
/// a buffered one breaks off, another attempt can replace it.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 1 << 20;

/// The size up to which a response body of unknown length is buffered, in bytes; a longer one may
/// have no end.
const MAX_BUFFERED_UNSIZED_BYTES: usize = 256 << 10;

/// The largest body of a denial for which its connection is kept, in bytes.
const MAX_DENIAL_BYTES: usize = 16 << 10;

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
        target.reported.record_sent();
        Self(target)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a request gets to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Over a connection of this entry.
    Direct,
    /// Through another entry, after so many attempts of this one.
    Relayed {
        /// The number of attempts in which anything was sent.
        sent: u32,
    },
}

/// Makes one attempt: sends the request to a target, or to another entry, and receives the
/// response.
/// `is_repeated` says that the same one got the request before, and `use_by` until when its permit
/// for a cold target may be used.
pub(crate) async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    target: &Arc<Target>,
    way: Way,
    is_repeated: bool,
    use_by: Option<Tick>,
) -> AttemptResult {
    let _in_flight = InFlightGuard::new(target);
    let reuse = match (is_repeated, call.at_most_once) {
        (true, _) => Reuse::None,
        (false, true) => Reuse::Trusted,
        (false, false) => Reuse::Any,
    };
    let connected = target.connect(reuse, &shared.limiter).await;
    if target.take_lost_connection() {
        record_lost(shared, target, way);
    }
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            if error != ConnectError::NoRoom {
                record_reach(shared, target, way, false);
                record_lost(shared, target, way);
            }
            return AttemptResult::Unsent(error);
        }
    };
    // Opening a connection takes time, so both limits are checked again.
    if target.condition.is_closed() {
        connection.release();
        return AttemptResult::Unsent(ConnectError::Leaving);
    }
    // This request is one of those in flight.
    if !target.condition.intake(target.in_flight().saturating_sub(1), false).admits() {
        connection.release();
        return AttemptResult::Unsent(ConnectError::Deferred);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return AttemptResult::Unsent(ConnectError::Unreachable);
    }
    // The target may have become cold, or the permit too old.
    if way == Way::Direct && !cold::is_covered(shared, target, use_by) {
        connection.release();
        return AttemptResult::Unsent(ConnectError::Unpermitted);
    }
    let sent_at = Tick::now();
    let written_before = connection.written();
    let request = outgoing_request(call, target, way, remaining);
    let result = time::timeout(remaining, connection.sender().try_send_request(request)).await;
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.message().is_some() => {
            record_lost(shared, target, way);
            return AttemptResult::Unsent(ConnectError::Unreachable);
        }
        Ok(Err(_)) => {
            target.close_idle();
            record_reach(shared, target, way, false);
            record_lost(shared, target, way);
            warming::record_unanswered(shared, target);
            return if connection.close().await > written_before {
                AttemptResult::Lost
            } else {
                unwritten(shared, "failed")
            };
        }
        // A busy process may not have written the request yet.
        Err(_) => {
            warming::record_unanswered(shared, target);
            return if connection.close().await > written_before {
                AttemptResult::Late
            } else {
                unwritten(shared, "late")
            };
        }
    };
    // The response to an earlier request was sent twice.
    if connection.written() == written_before {
        return unwritten(shared, "answered");
    }
    record_reach(shared, target, way, true);
    receive(shared, call, connection, response, way, sent_at).await
}

/// Returns the result of an attempt of which no byte was written to its connection.
fn unwritten(shared: &Shared, end: &str) -> AttemptResult {
    shared.counters.count("unwritten", end);
    AttemptResult::Unsent(ConnectError::Unreachable)
}

/// Records whether a target was reached. Another entry is no target.
fn record_reach(shared: &Shared, target: &Target, way: Way, reached: bool) {
    if way == Way::Direct {
        shared.record_reach(&target.instance, reached);
    }
}

/// Records that a connection to a target was lost or refused. Another entry is no target.
fn record_lost(shared: &Shared, target: &Target, way: Way) {
    if way == Way::Direct {
        warming::record_lost(shared, target);
    }
}

/// Checks that a response belongs to the request, and reads its body or passes it on.
async fn receive(
    shared: &Arc<Shared>,
    call: &Call,
    connection: Connection,
    response: Response<Incoming>,
    way: Way,
    sent_at: Tick,
) -> AttemptResult {
    let target = Arc::clone(&connection.target);
    // A status that is none proves nothing, whatever its headers say.
    if !wire::is_final(response.status())
        || !header::is_response_to(&response, header::request_id(&call.parts.headers))
    {
        return AttemptResult::Broken;
    }
    let denial = header::denial(&response, target.instance.vm.as_str());
    if denial != Some(Denial::WrongTarget) && way == Way::Direct {
        let said = header::notice(&response);
        if denial.is_none() {
            target.condition.record_taken();
        }
        notice::record(shared, &target, said);
        warming::record_response(shared, &target, denial == Some(Denial::Shed), sent_at);
        record_limit(shared, &target, response.headers(), sent_at);
        let ending = match denial {
            Some(Denial::Shed) => Ending::Shed,
            None if response.status().is_success() => Ending::Served,
            _ => Ending::Other,
        };
        reported::record(shared, &target, response.headers(), ending, sent_at);
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
    wire::remove_hop_by_hop(&mut parts.headers);
    let answer = |body| AttemptResult::Answered(Box::new(Response::from_parts(parts, body)));
    let stream = |prefix, incoming, connection: Connection| {
        let (shared, instance) = (Arc::clone(shared), connection.target.instance.clone());
        let id = header::request_id(&call.parts.headers).unwrap_or_default().to_owned();
        let on_late = move || log_late_body(&shared, &instance, &id);
        Body::Streamed(Box::new(Stream::new(prefix, incoming, connection, call.deadline, on_late)))
    };
    let (expected_bytes, max_bytes) = match incoming.size_hint().exact() {
        Some(size) if size > MAX_BUFFERED_RESPONSE_BYTES => {
            return answer(stream(Bytes::new(), incoming, connection));
        }
        Some(size) => (size as usize, size as usize),
        None => (0, MAX_BUFFERED_UNSIZED_BYTES),
    };
    let Some(reservation) = shared.limiter.hold_response(expected_bytes) else {
        shared.counters.count("bodies", "no memory to gather");
        return answer(stream(Bytes::new(), incoming, connection));
    };
    let read = gather::read(incoming, max_bytes, reservation);
    match time::timeout(call.remaining(), read).await {
        Ok(Ok(gather::Read::Whole(bytes))) => {
            connection.release();
            answer(Body::Buffered(bytes))
        }
        // To a caller of HTTP/1.0, a body of unknown length that breaks off looks complete.
        Ok(Ok(gather::Read::Longer(..))) if call.parts.version < Version::HTTP_11 => {
            AttemptResult::Broken
        }
        Ok(Ok(gather::Read::Longer(prefix, incoming))) => {
            answer(stream(prefix, incoming, connection))
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

/// Logs that the body of a response did not end before the deadline of its request.
fn log_late_body(shared: &Shared, target: &Instance, id: &str) {
    #[derive(Serialize)]
    struct LateBodyLine<'a> {
        id: &'a str,
        target: &'a str,
    }
    shared.counters.count("bodies", "late");
    shared.journal.log("late_body", &LateBodyLine { id, target: target.vm.as_str() });
}

/// Reads the short body of a denial so that the connection can be reused.
async fn drain_body(incoming: Incoming, connection: Connection) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    let body = Limited::new(incoming, MAX_DENIAL_BYTES).collect();
    if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, body).await {
        connection.release();
    }
}

/// Returns the request as it is sent to a target.
fn outgoing_request(
    call: &Call,
    target: &Target,
    way: Way,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::from(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    let headers = request.headers_mut();
    *headers = call.parts.headers.clone();
    wire::remove_hop_by_hop(headers);
    headers.remove(standard::EXPECT);
    match way {
        Way::Direct => {
            header::set_deadline(headers, remaining);
            relay::clear_request(headers);
            header::set_expected_target(headers, target.instance.vm.as_str());
        }
        Way::Relayed { sent } => {
            header::set_deadline(headers, relay::remaining_there(remaining));
            relay::mark_request(headers, sent);
        }
    }
    request
}

/// Returns true if a response is a server error that another target might not return.
pub(crate) fn is_failure<B>(response: &Response<B>) -> bool {
    response.status().is_server_error() && response.status() != StatusCode::NOT_IMPLEMENTED
}
