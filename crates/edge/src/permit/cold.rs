//! Permits to send requests to targets that are cold, or may be.
//!
//! Addresses the load when targets return cold. An entry derives the coordinator of a target itself,
//! from the table of entries, and asks it for a permit before each request. If it does not answer,
//! the next one is asked; if that does not either, the entry sends a request in ten seconds at most.
//! The outcomes of earlier requests go along with the question. See [`limit::Warmups`].

use {
    super::Reply,
    crate::{shared::Shared, traffic::target::Target},
    conf::routing::SlowStart,
    http::StatusCode,
    hyper::{Request as HttpRequest, body::Incoming},
    key::{Vm, clock::Tick},
    limit::{Bound, MAX_USE_DELAY, Outcomes, Permit, Question, Request, Stage},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// The path of the call with which entries ask for a permit for a cold target. Earlier releases do
/// not know it.
pub(crate) const PATH: &str = "/cold-permit";

/// The shortest and the longest time that a coordinator may take to answer. A permit whose answer
/// takes longer would hardly be used in time.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(80);
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// The time after which a request without a coordinator is told to come back, at most. Coordinators
/// are replaced sooner than the entry's own turn comes.
const MAX_LONE_RETURN: Duration = Duration::from_secs(1);

/// The call for a permit.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Call {
    target: Vm,
    /// What a cold target of the service tolerates.
    requests_per_s: f64,
    #[serde(default)]
    doublings: u32,
    max_wait_ms: u64,
    is_urgent: bool,
    #[serde(default)]
    good: u32,
    #[serde(default)]
    bad: u32,
}

/// A permit, and until when it may be used; a target that is warm needs none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) permit: Permit,
    pub(crate) use_by: Option<Tick>,
}

/// Returns what cold targets of a service tolerate, if the service has a slow start.
fn slow_start(shared: &Shared, target: &Target) -> Option<SlowStart> {
    let snapshot = shared.snapshot.load();
    snapshot.routing.as_ref()?.service(&target.service)?.slow_start
}

/// Returns how far a target has warmed up; none if it needs no permit.
fn stage(shared: &Shared, target: &Target) -> Option<Stage> {
    let stage = shared.warmups().stage(&target.instance.vm, Tick::now())?;
    slow_start(shared, target).map(|_| stage)
}

/// Returns true if a request may be sent to a target now: the target is warm, or the request has a
/// permit that is not too old.
pub(crate) fn is_covered(shared: &Shared, target: &Target, use_by: Option<Tick>) -> bool {
    match use_by {
        Some(use_by) => Tick::now() <= use_by,
        None => stage(shared, target).is_none(),
    }
}

/// Gets a permit for a request to a target that is cold or may be.
pub(crate) async fn acquire(shared: &Shared, target: &Target, request: Request) -> Grant {
    let needed = stage(shared, target).zip(slow_start(shared, target));
    let Some((stage, slow_start)) = needed else {
        return Grant { permit: Permit::After(Duration::ZERO), use_by: None };
    };
    let vm = &target.instance.vm;
    let asked = async {
        let coordinators = shared.snapshot.load().coordinators.of(vm);
        let askable = shared.warmups().askable(&coordinators, Tick::now());
        for coordinator in askable {
            let asked_at = Tick::now();
            let permit = if coordinator == shared.settings.peer_listen {
                Some(take_own(shared, vm, slow_start, stage, request))
            } else {
                ask(shared, coordinator, vm, slow_start, stage, request).await
            };
            if let Some(permit) = permit {
                return Some((permit, asked_at));
            }
        }
        None
    };
    let (permit, asked_at, source) = match asked.await {
        Some((permit, asked_at)) => (permit, asked_at, "coordinator"),
        None => (take_lone(shared, vm), Tick::now(), "alone"),
    };
    let (outcome, use_by) = match permit {
        Permit::After(wait) => ("granted", Some(asked_at.plus(wait + MAX_USE_DELAY))),
        Permit::Refused(_) => ("refused", None),
    };
    shared.counters.count("cold_permits", outcome);
    shared.counters.count("cold_permit_sources", source);
    Grant { permit, use_by }
}

fn bound(shared: &Shared, requests_per_s: f64) -> Bound {
    let margin = shared.settings.slow_start;
    Bound::new(requests_per_s, margin.overshoot, margin.slack)
}

/// Takes a permit of a target that this entry coordinates.
fn take_own(
    shared: &Shared,
    target: &Vm,
    slow_start: SlowStart,
    stage: Stage,
    request: Request,
) -> Permit {
    let bound = bound(shared, slow_start.requests_per_s);
    let mut warmups = shared.warmups();
    let outcomes = warmups.take_outcomes(target);
    warmups.take(target, Question { bound, stage, outcomes, request }, Tick::now())
}

/// Takes this entry's turn while no coordinator answers.
fn take_lone(shared: &Shared, target: &Vm) -> Permit {
    let entries = shared.snapshot.load().entries;
    let permit = shared.warmups().take_lone(target, entries, rand::random(), Tick::now());
    match permit {
        Permit::Refused(due_in) => Permit::Refused(due_in.min(MAX_LONE_RETURN)),
        Permit::After(_) => permit,
    }
}

/// Asks a coordinator of a target; returns `None` if it does not answer in time.
async fn ask(
    shared: &Shared,
    coordinator: SocketAddr,
    target: &Vm,
    slow_start: SlowStart,
    stage: Stage,
    request: Request,
) -> Option<Permit> {
    let Outcomes { good, bad } = shared.warmups().take_outcomes(target);
    let call = Call {
        target: target.clone(),
        requests_per_s: slow_start.requests_per_s,
        doublings: stage.doublings,
        max_wait_ms: request.max_wait.as_millis() as u64,
        is_urgent: request.is_urgent,
        good,
        bad,
    };
    let timeout = request.max_wait.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
    let reply = shared.permit_client.post::<_, Reply>(coordinator, PATH, &call);
    let error = match time::timeout(timeout, reply).await {
        Ok(Ok(reply)) => return Some(reply.into()),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    shared.warmups().record_failure(coordinator, Tick::now());
    super::log_failure(shared, target, coordinator, &error);
    None
}

/// Answers the call of another entry that asks for a permit for a cold target.
pub(crate) async fn handle_call(shared: &Shared, request: HttpRequest<Incoming>) -> wire::Reply {
    let call = wire::read_json::<Call>(request, super::MAX_CALL_BYTES).await;
    let Some(call) = call.ok().filter(|call| call.requests_per_s.is_normal()) else {
        return wire::status(StatusCode::BAD_REQUEST);
    };
    let request =
        Request { max_wait: Duration::from_millis(call.max_wait_ms), is_urgent: call.is_urgent };
    let bound = bound(shared, call.requests_per_s.abs());
    let stage = Stage { doublings: call.doublings };
    let outcomes = Outcomes { good: call.good, bad: call.bad };
    let question = Question { bound, stage, outcomes, request };
    let permit = shared.warmups().take(&call.target, question, Tick::now());
    wire::json(StatusCode::OK, &Reply::from(permit))
}
