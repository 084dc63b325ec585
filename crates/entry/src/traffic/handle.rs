//! One caller's request, from its arrival to its answer or refusal.

use {
    crate::{
        shared::{Feedback, Shared},
        snapshot::{Route, Service},
        traffic::{
            admitted::{self, AdmittedRequest, RequestBody},
            attempt::{self, AttemptResult, Destination},
            body::{Body, Relay},
            claim::Claim,
            refusal,
            target::{Connection, Target},
            tracker::{InFlightGuard, RequestTracker},
        },
    },
    conf::services,
    http::{HeaderValue, Request, Response, StatusCode, Version, request::Parts},
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body as _, Incoming},
    key::{Process, Shard},
    route::{
        Reason, Refusal, choice, header, locate,
        quarantine::{CrashReport, Fingerprint},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{OwnedSemaphorePermit, oneshot},
        time,
    },
};

/// The path on which the balancer in front asks whether to send callers here.
const HEALTH_PATH: &str = "/-/health";

/// The pause before another attempt at an owner that does not answer or does not own yet.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// The longest wait until the peers know of a strike.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The share of the deadline that is kept for the request itself when a claim is taken.
const CLAIM_DEADLINE_DIVISOR: u32 = 2;

/// What every request needs.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) me: Process,
    pub(crate) platform: store::Client,
    pub(crate) probe: wire::Client,
}

/// Answers one request.
pub(crate) async fn handle_request(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Response<Body> {
    let started = Instant::now();
    if request.uri().path() == HEALTH_PATH {
        return health(&context.shared);
    }
    let name = locate::service(request.uri().path()).to_owned();
    let answered = route(&context, request, &name, started).await;
    let metrics = &context.shared.metrics;
    match answered {
        Ok(response) => {
            metrics.time("request.latency", "service", &name, started.elapsed());
            response
        }
        Err(refusal) => {
            metrics.count("request.refused", "reason", &refusal.reason.to_string());
            refusal::response(refusal, &name, context.me.vm.as_str())
        }
    }
}

fn health(shared: &Shared) -> Response<Body> {
    let mut response = Response::new(Body::Whole(bytes::Bytes::new()));
    if shared.is_stopping() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn route(
    context: &Context,
    request: Request<Incoming>,
    name: &str,
    started: Instant,
) -> Result<Response<Body>, Refusal> {
    if request.version() < Version::HTTP_11 {
        return Err(Refusal::not_run(Reason::OldProtocol));
    }
    let snapshot = context.shared.snapshot.load();
    let service = snapshot.service(name).cloned();
    drop(snapshot);
    let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
    let permit = acquire_permit(&context.shared, &service).await?;
    let mut tracker = RequestTracker::new(Arc::clone(&service), started, permit);
    match run(context, request, service, started).await {
        Ok((admitted, response, connection)) => {
            Ok(relay_response(&admitted, response, connection, tracker))
        }
        Err(refusal) => {
            tracker.record_refused(refusal.reason);
            Err(refusal)
        }
    }
}

/// Runs a request that has a place.
async fn run(
    context: &Context,
    request: Request<Incoming>,
    service: Arc<Service>,
    started: Instant,
) -> Result<(AdmittedRequest, Response<Incoming>, Connection), Refusal> {
    check_dependencies(&context.shared, &service)?;
    let mut admitted = admit(context, request, service, started).await.map_err(Refusal::not_run)?;
    admitted.service.state.retries.deposit(admitted.service.conf.limits.retry_percent.get());
    let claim = claim(context, &admitted).await?;
    match serve(context, &mut admitted).await {
        Ok((response, connection)) => Ok((admitted, response, connection)),
        Err(refusal) => {
            if let Some(claim) = claim
                && refusal.outcome == route::Outcome::NotRun
            {
                claim.release(&context.platform).await;
            }
            Err(refusal)
        }
    }
}

/// Waits for a place among the requests in flight.
async fn acquire_permit(
    shared: &Shared,
    service: &Service,
) -> Result<OwnedSemaphorePermit, Refusal> {
    let overloaded = Refusal::not_run(Reason::Overloaded);
    let places = Arc::clone(&service.state.permits);
    if let Ok(permit) = Arc::clone(&places).try_acquire_owned() {
        return Ok(permit);
    }
    let _waiting = Waiting::try_new(shared).ok_or(overloaded)?;
    let permit = time::timeout(service.conf.limits.queue_timeout(), places.acquire_owned()).await;
    permit.ok().and_then(Result::ok).ok_or(overloaded)
}

/// Refuses early what cannot succeed because a needed service is down.
fn check_dependencies(shared: &Shared, service: &Service) -> Result<(), Refusal> {
    if service.dependencies.is_empty() {
        return Ok(());
    }
    let snapshot = shared.snapshot.load();
    let down = |needed: &Service| needed.is_vacant() || needed.state.down.load(Ordering::Relaxed);
    let needed = service.dependencies.iter().filter_map(|name| snapshot.services.get(name));
    if needed.into_iter().any(|needed| down(needed)) {
        return Err(Refusal::not_run(Reason::DependencyDown));
    }
    Ok(())
}

/// One of the requests that wait for a place or an owner, of which there is a fixed number.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn try_new(shared: &'a Shared) -> Option<Self> {
        let incarnation_before = shared.waiting_requests.fetch_add(1, Ordering::Relaxed);
        let waiting = Self(shared);
        (incarnation_before < shared.settings.traffic.waiting.get() as usize).then_some(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads what the request says of itself and as much of its body as may be held.
async fn admit(
    context: &Context,
    request: Request<Incoming>,
    service: Arc<Service>,
    started: Instant,
) -> Result<AdmittedRequest, Reason> {
    let (parts, incoming) = request.into_parts();
    let shard = shard(&service.conf, &parts)?;
    let deadline = started + deadline(&service.conf, &parts)?;
    let limit = context.shared.settings.traffic.held_body_bytes.get();
    let body = if incoming.size_hint().upper().is_some_and(|size| size <= limit) {
        let body = Limited::new(incoming, limit as usize).collect();
        let body = time::timeout(admitted::remaining(deadline), body).await;
        RequestBody::Whole(body.ok().and_then(Result::ok).ok_or(Reason::BadBody)?.to_bytes())
    } else {
        RequestBody::Upload(incoming)
    };
    let content: &[u8] = if let RequestBody::Whole(bytes) = &body { bytes } else { &[] };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, content);
    let idempotent = service.conf.is_idempotent(parts.method.as_str());
    Ok(AdmittedRequest { service, parts, shard, idempotent, deadline, body, fingerprint })
}

fn shard(conf: &services::Service, parts: &Parts) -> Result<Option<Shard>, Reason> {
    let Some(keyed) = &conf.keyed else { return Ok(None) };
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let key = locate::key(keyed, parts.uri.path(), header)?;
    Ok(Some(key::shard_of(key.as_bytes(), keyed.shards.get() as u32)))
}

/// Returns the time for the request: the service's, or the caller's where it is shorter.
fn deadline(conf: &services::Service, parts: &Parts) -> Result<Duration, Reason> {
    let limit = conf.limits.deadline();
    let Some(value) = parts.headers.get(header::DEADLINE_MS) else { return Ok(limit) };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or(Reason::BadHeader)?;
    Ok(limit.min(Duration::from_millis(millis)))
}

/// Takes the claim that keeps a request with an idempotency key from running twice.
async fn claim(context: &Context, admitted: &AdmittedRequest) -> Result<Option<Claim>, Refusal> {
    if admitted.idempotent {
        return Ok(None);
    }
    let Some(id) = admitted.parts.headers.get(header::IDEMPOTENCY_KEY) else { return Ok(None) };
    let id = id.to_str().map_err(|_| Refusal::not_run(Reason::BadHeader))?;
    let service = admitted.service.conf.name.as_str();
    let deadline = Instant::now() + admitted.remaining() / CLAIM_DEADLINE_DIVISOR;
    match Claim::acquire(&context.platform, &context.me, service, id, deadline).await {
        Ok(claim) => Ok(Some(claim)),
        // The request that came before may have run, so this cannot be told from that one.
        Err(Reason::Duplicate) => Err(Refusal::unknown(Reason::Duplicate)),
        Err(reason) => Err(Refusal::not_run(reason)),
    }
}

/// Makes attempts until one is answered or no other is allowed.
async fn serve(
    context: &Context,
    admitted: &mut AdmittedRequest,
) -> Result<(Response<Incoming>, Connection), Refusal> {
    let suspect_guard = Arc::clone(&admitted.service.state);
    let _suspect_guard = if is_suspect(&context.shared, admitted)? {
        let suspect_guard = suspect_guard.suspect_lock.lock().await;
        is_suspect(&context.shared, admitted)?;
        Some(suspect_guard)
    } else {
        None
    };
    // Once an attempt may have run, nothing that follows can make the request one that has not.
    let mut may_have_run = false;
    loop {
        let refusal = |reason, may_have_run| {
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
        };
        if admitted.remaining().is_zero() {
            return Err(refusal(Reason::Deadline, may_have_run));
        }
        let mut changed = context.shared.snapshot_changed.subscribe();
        let destination = match choose_target(&context.shared, admitted) {
            Ok(destination) => destination,
            Err(reason) => {
                let _waiting = Waiting::try_new(&context.shared)
                    .ok_or(refusal(Reason::Overloaded, may_have_run))?;
                time::timeout(OWNER_RETRY_INTERVAL.min(admitted.remaining()), changed.changed())
                    .await
                    .ok();
                if admitted.remaining().is_zero() {
                    return Err(refusal(reason, may_have_run));
                }
                continue;
            }
        };
        let in_flight = InFlightGuard::new(&destination.target);
        let incarnation_before = destination.target.incarnation.load(Ordering::Relaxed);
        let outcome = attempt::make(admitted, &destination).await;
        drop(in_flight);
        match outcome {
            AttemptResult::Answered(answered) => {
                destination.target.record_success();
                clear_suspect(&context.shared, admitted);
                return Ok(*answered);
            }
            AttemptResult::NotRun(reason) => {
                record_failure(context, admitted, &destination.target, reason);
                if !can_repeat_unexecuted(admitted, reason) {
                    return Err(refusal(reason, may_have_run));
                }
                let _waiting = Waiting::try_new(&context.shared)
                    .ok_or(refusal(Reason::Overloaded, may_have_run))?;
                let pause = OWNER_RETRY_INTERVAL.min(admitted.remaining());
                time::timeout(pause, changed.changed()).await.ok();
            }
            AttemptResult::Unknown(reason) => {
                may_have_run = true;
                record_failure(context, admitted, &destination.target, reason);
                if reason == Reason::ConnectionLost {
                    report_crash(context, admitted, &destination.target, incarnation_before)
                        .await?;
                }
                if !admitted.can_repeat() || !admitted.service.state.retries.withdraw() {
                    return Err(Refusal::unknown(reason));
                }
            }
        }
    }
}

/// Tells whether a request that has not run may be tried again.
///
/// Waiting for an owner costs no target anything; another attempt at a busy service does, and is
/// taken from the budget.
fn can_repeat_unexecuted(admitted: &AdmittedRequest, reason: Reason) -> bool {
    if matches!(admitted.body, RequestBody::Spent) {
        return false;
    }
    match reason {
        Reason::NoOwner | Reason::Unreachable | Reason::ConnectionLost => true,
        Reason::Overloaded => admitted.service.state.retries.withdraw(),
        _ => false,
    }
}

fn record_failure(context: &Context, admitted: &AdmittedRequest, target: &Target, reason: Reason) {
    let is_fault = matches!(
        reason,
        Reason::Unreachable | Reason::ConnectionLost | Reason::Deadline | Reason::MismatchedAnswer
    );
    if !is_fault {
        return;
    }
    if let Some(failures) = target.record_failure() {
        let service = admitted.service.conf.name.clone();
        let ejected = Feedback::Ejected { service, vm: target.vm.clone(), failures };
        context.shared.feedback.try_send(ejected).ok();
    }
}

/// Returns where the next attempt goes, or why it has to wait.
fn choose_target(shared: &Shared, admitted: &AdmittedRequest) -> Result<Destination, Reason> {
    let snapshot = shared.snapshot.load();
    let service =
        snapshot.services.get(&admitted.service.conf.name).ok_or(Reason::UnknownService)?;
    if let Some(shard) = admitted.shard {
        let owner = service.owner(shard).ok_or(Reason::NoOwner)?;
        let target = Arc::clone(snapshot.targets.get(owner.target));
        let allowed = target.reserve_attempt();
        let destination = Destination { target, fence: Some(owner.fence) };
        return if allowed { Ok(destination) } else { Err(Reason::Unreachable) };
    }
    let Route::Any(indices) = &service.route else { return Err(Reason::NoOwner) };
    let targets: Vec<&Arc<Target>> = indices
        .iter()
        .map(|index| snapshot.targets.get(*index))
        .filter(|target| !target.leaving.load(Ordering::Relaxed))
        .collect();
    let candidates: Vec<choice::Candidate> = targets
        .iter()
        .map(|target| choice::Candidate {
            in_flight: target.in_flight.load(Ordering::Relaxed),
            failing: target.is_failing(),
        })
        .collect();
    let draw = |count: usize| rand::random_range(0..count);
    let chosen = choice::less_busy_of_two(&candidates, draw).ok_or(Reason::Unreachable)?;
    Ok(Destination { target: Arc::clone(targets[chosen]), fence: None })
}

/// Tells whether a request has a strike, and refuses it if it has too many.
fn is_suspect(shared: &Shared, admitted: &AdmittedRequest) -> Result<bool, Refusal> {
    if !shared.has_suspects.load(Ordering::Relaxed) {
        return Ok(false);
    }
    let quarantine = shared.quarantine();
    if quarantine.is_refused(admitted.fingerprint) {
        return Err(Refusal::not_run(Reason::Quarantined));
    }
    Ok(quarantine.is_suspect(admitted.fingerprint))
}

/// Clears a request that was answered.
fn clear_suspect(shared: &Shared, admitted: &AdmittedRequest) {
    if shared.has_suspects.load(Ordering::Relaxed) {
        let mut quarantine = shared.quarantine();
        quarantine.clear(admitted.fingerprint);
        shared.has_suspects.store(!quarantine.is_empty(), Ordering::Relaxed);
    }
}

/// Notes a strike if the target died, and tells the peers before any other attempt.
async fn report_crash(
    context: &Context,
    admitted: &AdmittedRequest,
    target: &Target,
    incarnation_before: u64,
) -> Result<(), Refusal> {
    if !target.has_crashed(&context.probe, incarnation_before).await {
        return Ok(());
    }
    let crash = key::rendezvous_weight(target.vm.as_str(), &incarnation_before.to_string());
    let report = CrashReport { fingerprint: admitted.fingerprint, crash };
    let service = admitted.service.conf.name.clone();
    let refused = {
        let mut quarantine = context.shared.quarantine();
        quarantine.record_crash(report, Instant::now());
        context.shared.has_suspects.store(true, Ordering::Relaxed);
        quarantine.is_refused(admitted.fingerprint)
    };
    let (peers_notified, notified) = oneshot::channel();
    let sent =
        context.shared.feedback.try_send(Feedback::Crash { service, report, peers_notified });
    if sent.is_ok() {
        time::timeout(CRASH_REPORT_TIMEOUT, notified).await.ok();
    }
    if refused { Err(Refusal::unknown(Reason::Quarantined)) } else { Ok(()) }
}

fn relay_response(
    admitted: &AdmittedRequest,
    response: Response<Incoming>,
    connection: Connection,
    mut tracker: RequestTracker,
) -> Response<Body> {
    tracker.record_response(&connection.target);
    let (mut parts, incoming) = response.into_parts();
    attempt::remove_hop_by_hop(&mut parts.headers);
    for name in [
        header::REQUEST_ID,
        header::TARGET_NOW_MS,
        header::TARGET_INCARNATION,
        header::TARGET_STATE,
    ] {
        parts.headers.remove(name);
    }
    if let Some(id) = admitted.parts.headers.get(header::REQUEST_ID) {
        parts.headers.insert(header::REQUEST_ID, id.clone());
    }
    if let Ok(vm) = HeaderValue::from_str(connection.target.vm.as_str()) {
        parts.headers.insert(header::SERVED_BY, vm);
    }
    let stall_timeout = admitted.service.conf.limits.stall_timeout();
    let relay = Relay::new(incoming, connection, stall_timeout, tracker);
    Response::from_parts(parts, Body::Relay(Box::new(relay)))
}
