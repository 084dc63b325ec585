//! Permits to send requests to targets that name a rate limit.
//!
//! The leader names one entry as the coordinator of each limited target. Every other entry asks it
//! before each request to that target, so that all of them together keep the limit. While no
//! coordinator is known or answers, an entry uses its even share of the limit. See crate [`limit`].

pub(crate) mod cold;

use {
    crate::shared::Shared,
    hold::Instance,
    http::StatusCode,
    hyper::{Request as HttpRequest, body::Incoming},
    key::{Vm, clock::Tick},
    limit::{Limit, Permit, Rate, Request, Word},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// The path of the call with which entries ask for a permit.
pub(crate) const PATH: &str = "/permit";

/// The shortest and the longest time that a coordinator may take to answer. In between it is the
/// time for which the request can wait for its permit.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(80);
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(250);

const MAX_CALL_BYTES: usize = 4 << 10;

/// The request for one permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Call {
    target: Instance,
    /// The limit as the entry that asks knows it; the coordinator may not have heard of it.
    rate: Rate,
    age_ms: u64,
    max_wait_ms: u64,
    is_urgent: bool,
}

/// The answer: the time after which the request may be sent, or after which the next permit is due.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Reply {
    is_granted: bool,
    wait_ms: u64,
}

impl From<Permit> for Reply {
    fn from(permit: Permit) -> Self {
        let (is_granted, wait) = match permit {
            Permit::After(wait) => (true, wait),
            Permit::Refused(wait) => (false, wait),
        };
        Self { is_granted, wait_ms: wait.as_millis() as u64 }
    }
}

impl From<Reply> for Permit {
    fn from(reply: Reply) -> Self {
        let wait = Duration::from_millis(reply.wait_ms);
        if reply.is_granted { Self::After(wait) } else { Self::Refused(wait) }
    }
}

/// The client with which the traffic thread asks coordinators.
pub(crate) fn new_client() -> wire::Client {
    wire::Config::default().timeout(MAX_CALL_TIMEOUT).build()
}

/// Gets a permit for a request to a target; a target without a limit needs none.
pub(crate) async fn acquire(shared: &Shared, target: &Instance, request: Request) -> Permit {
    let now = Tick::now();
    let Some(limit) = shared.limits().limit(target, now) else {
        return Permit::After(Duration::ZERO);
    };
    let (permit, source) = match limit.coordinator {
        Some(address) if address == shared.settings.peer_listen => {
            (Some(shared.limits().take_permit(target, request, now)), "own")
        }
        Some(address) => (ask(shared, address, target, limit, request).await, "coordinator"),
        None => (None, "share"),
    };
    let (permit, source) = match permit {
        Some(permit) => (permit, source),
        None => (take_share(shared, target, request), "share"),
    };
    let outcome = match permit {
        Permit::After(Duration::ZERO) => "granted",
        Permit::After(_) => "granted later",
        Permit::Refused(_) => "refused",
    };
    shared.counters.count("permits", outcome);
    shared.counters.count("permit_sources", source);
    permit
}

/// Asks the coordinator of a target; returns `None` if it does not answer in time.
async fn ask(
    shared: &Shared,
    coordinator: SocketAddr,
    target: &Instance,
    limit: Limit,
    request: Request,
) -> Option<Permit> {
    let call = Call {
        target: target.clone(),
        rate: limit.rate,
        age_ms: limit.age.as_millis() as u64,
        max_wait_ms: request.max_wait.as_millis() as u64,
        is_urgent: request.is_urgent,
    };
    let timeout = request.max_wait.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
    let reply = shared.permit_client.post::<_, Reply>(coordinator, PATH, &call);
    let error = match time::timeout(timeout, reply).await {
        Ok(Ok(reply)) => return Some(reply.into()),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    log_failure(shared, &target.vm, coordinator, &error);
    None
}

/// Takes a turn of this entry's even share of a limit.
fn take_share(shared: &Shared, target: &Instance, request: Request) -> Permit {
    let entries = shared.snapshot.load().entries;
    let phase = rand::random::<f64>();
    shared.limits().take_share(target, entries, request.max_wait, phase, Tick::now())
}

/// Answers the call of another entry that asks for a permit.
pub(crate) async fn handle_call(shared: &Shared, request: HttpRequest<Incoming>) -> wire::Reply {
    let Ok(call) = wire::read_json::<Call>(request, MAX_CALL_BYTES).await else {
        return wire::status(StatusCode::BAD_REQUEST);
    };
    let now = Tick::now();
    let word = Word { rate: Some(call.rate), at: now.before(Duration::from_millis(call.age_ms)) };
    let request =
        Request { max_wait: Duration::from_millis(call.max_wait_ms), is_urgent: call.is_urgent };
    let mut limits = shared.limits();
    let change = limits.merge(&call.target, word);
    let permit = limits.take_permit(&call.target, request, now);
    drop(limits);
    if let Some(change) = change {
        shared.log_limit(&call.target, change, "peer");
    }
    wire::json(StatusCode::OK, &Reply::from(permit))
}

/// Logs that the coordinator of a target did not answer a request for a permit.
fn log_failure(shared: &Shared, target: &Vm, coordinator: SocketAddr, error: &str) {
    #[derive(Serialize)]
    struct PermitFailureLine<'a> {
        target: &'a str,
        coordinator: SocketAddr,
        error: &'a str,
    }
    let line = PermitFailureLine { target: target.as_str(), coordinator, error };
    shared.journal.log("permit_failed", &line);
}
