//! Passing requests on through another entry.
//!
//! An entry that has lost its links to the targets is still reached by callers, and the other
//! entries reach the targets. It passes a request on to one of them, at a listener that only
//! entries know, with the time that is left and the number of attempts made. The other entry makes
//! the attempts by its own configuration and passes nothing on further. It answers with the
//! target's response or with a refusal that names its reason, so that a request that met an
//! isolated entry there, too, can go to another one.
//!
//! Weighed: leaving the load balancer, which keeps open connections and uses unready entries again
//! if most of a zone's are unready.

use {
    crate::{
        shared::Shared,
        snapshot::{Relay, Snapshot},
        traffic::target::{ConnectError, Reuse, Target},
    },
    http::{HeaderMap, HeaderName, HeaderValue},
    route::Reason,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The header with the number of attempts that the entry made before it passed the request on.
const SENT: HeaderName = HeaderName::from_static("almondworks-sent");

/// The header with the reason of a refusal by the other entry.
const REFUSED: HeaderName = HeaderName::from_static("almondworks-refused");

/// The number of entries to which one request is passed on.
pub(crate) const MAX_RELAYS: usize = 6;

/// The time between two attempts of an isolated entry to reach a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The longest time that is kept for the answer of another entry to come back, on a VM that runs for
/// a part of each 100 ms only.
const MAX_RETURN_MARGIN: Duration = Duration::from_millis(50);

/// The part of the time left that is kept for it at most.
const RETURN_MARGIN_DIVISOR: u32 = 8;

/// Returns the time that another entry has for a request, less than the time that is left here: if it
/// refuses the request at the end, its proof that nothing has run still arrives in time.
pub(crate) fn remaining_there(remaining: Duration) -> Duration {
    remaining.saturating_sub(MAX_RETURN_MARGIN.min(remaining / RETURN_MARGIN_DIVISOR))
}

/// Removes what a caller may have set, and says how many attempts were made.
pub(crate) fn mark_request(headers: &mut HeaderMap, sent: u32) {
    clear_request(headers);
    headers.insert(SENT, HeaderValue::from(sent));
}

/// Removes the marks of a request before it is sent to a target.
pub(crate) fn clear_request(headers: &mut HeaderMap) {
    headers.remove(SENT);
}

/// Returns how many attempts were made before a request was passed on.
pub(crate) fn attempts_made(headers: &HeaderMap) -> u32 {
    let sent = headers.get(SENT).and_then(|value| value.to_str().ok()?.parse().ok());
    sent.unwrap_or_default()
}

/// Says in a refusal why the request was refused.
pub(crate) fn mark_refusal(headers: &mut HeaderMap, reason: Reason) {
    if let Ok(reason) = HeaderValue::from_str(&reason.to_string()) {
        headers.insert(REFUSED, reason);
    }
}

/// What the answer of another entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// A target's response, or a refusal that does not say that the request has not run.
    Final,
    /// A refusal: the request has not run there.
    Refused,
    /// The same, since that entry reached no target either.
    Unreached,
}

/// Removes the reason of a refusal, and returns what the answer is.
pub(crate) fn take_answer(headers: &mut HeaderMap) -> Answer {
    let unreachable = Reason::Unreachable.to_string();
    match headers.remove(REFUSED) {
        None => Answer::Final,
        Some(reason) if reason.as_bytes() == unreachable.as_bytes() => Answer::Unreached,
        Some(_) => Answer::Refused,
    }
}

/// Returns the entry to pass a request on to: of two drawn at random by their power, the one with
/// fewer requests in flight. Entries in `tried` and those in a back-off are not drawn.
pub(crate) fn choose(snapshot: &Snapshot, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let is_usable = |relay: &&Relay| {
        !relay.entry.condition.is_unreachable()
            && !tried.iter().any(|tried| Arc::ptr_eq(tried, &relay.entry))
    };
    // The largest of `u^(1/w)` is drawn with a probability in proportion to its weight `w`.
    let draw = |relay: &Relay| rand::random::<f64>().powf(relay.power.max(f64::EPSILON).recip());
    let mut drawn: Vec<(f64, &Relay)> =
        snapshot.relays.iter().filter(is_usable).map(|relay| (draw(relay), relay)).collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0));
    let load = |relay: &Relay| relay.entry.in_flight() as f64 / relay.power.max(f64::EPSILON);
    let best = drawn.iter().take(2).min_by(|a, b| load(a.1).total_cmp(&load(b.1)));
    best.map(|(_, relay)| Arc::clone(&relay.entry))
}

/// Tries to reach a target every now and then while this entry is isolated; never returns.
pub(crate) async fn probe_targets(shared: Arc<Shared>) {
    loop {
        time::sleep(PROBE_INTERVAL).await;
        if !shared.is_isolated() {
            continue;
        }
        let snapshot = shared.snapshot.load_full();
        let ready: Vec<&Arc<Target>> = snapshot.ready.values().flatten().collect();
        if ready.is_empty() {
            continue;
        }
        let target = Arc::clone(ready[rand::random_range(0..ready.len())]);
        let reached = match target.connect(Reuse::None, &shared.limiter).await {
            Ok(connection) => {
                connection.release();
                true
            }
            Err(ConnectError::NoRoom) => continue,
            Err(_) => false,
        };
        shared.record_reach(&target.instance, reached);
    }
}
