//! Handles one request of a caller, from its arrival to its response or refusal.

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
    hyper::body::{Body as _, Incoming},
    key::{Process, Shard},
    quota::Phase,
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
    wire::{CollectError, Permit},
};

/// The path of the health check by which the load balancer decides whether to send callers here.
const HEALTH_PATH: &str = "/-/health";

/// The pause before another attempt if the owner did not respond or does not own the shard yet.
///
/// A new routing table ends the pause early.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// The time for which a request waits until the peers have received its crash report.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Divides the remaining time to get the time in which a claim must be acquired. The rest is kept
/// for the request itself.
const CLAIM_DEADLINE_DIVISOR: u32 = 2;

/// What the handler of every request needs.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) me: Process,
    pub(crate) platform: store::Client,
    pub(crate) probe: wire::Client,
}

/// Handles one request and returns the response, which may be a refusal.
pub(crate) async fn handle_request(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Response<Body> {
    let started_at = Instant::now();
    if request.uri().path() == HEALTH_PATH {
        return health_response(&context.shared);
    }
    let name = locate::service(request.uri().path()).to_owned();
    let result = dispatch(&context, request, &name, started_at).await;
    let metrics = &context.shared.metrics;
    match result {
        Ok(response) => {
            metrics.time("request.latency", "service", &name, started_at.elapsed());
            response
        }
        Err(refusal) => {
            metrics.count("request.refused", "reason", &refusal.reason.to_string());
            refusal::response(refusal, &name, context.me.vm.as_str())
        }
    }
}

fn health_response(shared: &Shared) -> Response<Body> {
    let mut response = Response::new(Body::Whole(bytes::Bytes::new()));
    if shared.is_stopping() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn dispatch(
    context: &Context,
    request: Request<Incoming>,
    name: &str,
    started_at: Instant,
) -> Result<Response<Body>, Refusal> {
    if request.version() < Version::HTTP_11 {
        return Err(Refusal::not_run(Reason::OldProtocol));
    }
    let snapshot = context.shared.snapshot.load();
    let service = snapshot.service(name).cloned();
    drop(snapshot);
    let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
    let permit = acquire_permit(&context.shared, &service).await?;
    let mut tracker = RequestTracker::new(Arc::clone(&service), started_at, permit);
    match run(context, request, service, started_at).await {
        Ok((admitted, response, connection)) => {
            Ok(relay_response(&admitted, response, connection, tracker))
        }
        Err(refusal) => {
            tracker.record_refused(refusal.reason);
            Err(refusal)
        }
    }
}

/// Runs a request that holds a permit, and releases its claim if the request has provably not run.
async fn run(
    context: &Context,
    request: Request<Incoming>,
    service: Arc<Service>,
    started_at: Instant,
) -> Result<(AdmittedRequest, Response<Incoming>, Connection), Refusal> {
    check_dependencies(&context.shared, &service)?;
    let mut admitted =
        admit(context, request, service, started_at).await.map_err(Refusal::not_run)?;
    admitted.service.state.retries.deposit(admitted.service.conf.limits.retry_percent.get());
    let claim = acquire_claim(context, &admitted).await?;
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

/// Acquires one of the permits that bound the requests in flight, waiting up to the queue timeout.
async fn acquire_permit(
    shared: &Shared,
    service: &Service,
) -> Result<OwnedSemaphorePermit, Refusal> {
    let overloaded = Refusal::not_run(Reason::Overloaded);
    let permits = Arc::clone(&service.state.permits);
    if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
        return Ok(permit);
    }
    let _waiting_slot = WaitingSlot::try_acquire(shared).ok_or(overloaded)?;
    let permit = time::timeout(service.conf.limits.queue_timeout(), permits.acquire_owned()).await;
    permit.ok().and_then(Result::ok).ok_or(overloaded)
}

/// Refuses a request early if a service that it depends on is down, since it could not succeed.
fn check_dependencies(shared: &Shared, service: &Service) -> Result<(), Refusal> {
    if service.dependencies.is_empty() {
        return Ok(());
    }
    let snapshot = shared.snapshot.load();
    let is_down = |dependency: &Service| {
        dependency.is_vacant() || dependency.state.down.load(Ordering::Relaxed)
    };
    let dependencies = service.dependencies.iter().filter_map(|name| snapshot.services.get(name));
    if dependencies.into_iter().any(|dependency| is_down(dependency)) {
        return Err(Refusal::not_run(Reason::DependencyDown));
    }
    Ok(())
}

/// A slot among the bounded number of requests that may wait for a permit or an owner.
struct WaitingSlot<'a>(&'a Shared);

impl<'a> WaitingSlot<'a> {
    /// Acquires a slot, or returns `None` if all are taken.
    fn try_acquire(shared: &'a Shared) -> Option<Self> {
        let already_waiting = shared.waiting_requests.fetch_add(1, Ordering::Relaxed);
        // Dropping the slot undoes the increment, also if it is not returned.
        let slot = Self(shared);
        (already_waiting < shared.settings.traffic.waiting.get() as usize).then_some(slot)
    }
}

impl Drop for WaitingSlot<'_> {
    fn drop(&mut self) {
        self.0.waiting_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Admits a request: finds its shard and deadline, and reads its body if that is small enough.
///
/// A body that is held whole can be sent again; a larger one is streamed.
async fn admit(
    context: &Context,
    request: Request<Incoming>,
    service: Arc<Service>,
    started_at: Instant,
) -> Result<AdmittedRequest, Reason> {
    let (parts, incoming) = request.into_parts();
    let shard = request_shard(&service.conf, &parts)?;
    let deadline = started_at + time_limit(&service.conf, &parts)?;
    let max_bytes = context.shared.settings.traffic.held_body_bytes.get();
    let body = if incoming.size_hint().upper().is_some_and(|size| size <= max_bytes) {
        let permit = parts.extensions.get::<Permit>();
        let body = read_body(incoming, max_bytes as usize, permit);
        let body = time::timeout(admitted::remaining(deadline), body).await;
        RequestBody::Whole(body.map_err(|_| Reason::BadBody)??)
    } else {
        RequestBody::Upload(incoming)
    };
    let content: &[u8] = if let RequestBody::Whole(bytes) = &body { bytes } else { &[] };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, content);
    let idempotent = service.conf.is_idempotent(parts.method.as_str());
    Ok(AdmittedRequest { service, parts, shard, idempotent, deadline, body, fingerprint })
}

async fn read_body(
    incoming: Incoming,
    max_bytes: usize,
    permit: Option<&Permit>,
) -> Result<bytes::Bytes, Reason> {
    if let Some(permit) = permit {
        permit.set_phase(Phase::Receiving);
    }
    wire::collect(incoming, max_bytes, permit).await.map_err(|error| match error {
        CollectError::NoRoom => Reason::Overloaded,
        CollectError::TooLong(_) | CollectError::Broken(_) => Reason::BadBody,
    })
}

fn request_shard(conf: &services::Service, parts: &Parts) -> Result<Option<Shard>, Reason> {
    let Some(keyed) = &conf.keyed else { return Ok(None) };
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let key = locate::key(keyed, parts.uri.path(), header)?;
    Ok(Some(key::shard_of(key.as_bytes(), keyed.shards.get() as u32)))
}

/// Returns the time limit of a request: the shorter one of the service's and the caller's.
fn time_limit(conf: &services::Service, parts: &Parts) -> Result<Duration, Reason> {
    let limit = conf.limits.deadline();
    let Some(value) = parts.headers.get(header::DEADLINE_MS) else { return Ok(limit) };
    let limit_ms =
        value.to_str().ok().and_then(|text| text.parse().ok()).ok_or(Reason::BadHeader)?;
    Ok(limit.min(Duration::from_millis(limit_ms)))
}

/// Acquires the claim that keeps a request with an idempotency key from running twice.
async fn acquire_claim(
    context: &Context,
    admitted: &AdmittedRequest,
) -> Result<Option<Claim>, Refusal> {
    if admitted.idempotent {
        return Ok(None);
    }
    let Some(id) = admitted.parts.headers.get(header::IDEMPOTENCY_KEY) else { return Ok(None) };
    let id = id.to_str().map_err(|_| Refusal::not_run(Reason::BadHeader))?;
    let service = admitted.service.conf.name.as_str();
    let deadline = Instant::now() + admitted.remaining() / CLAIM_DEADLINE_DIVISOR;
    match Claim::acquire(&context.platform, &context.me, service, id, deadline).await {
        Ok(claim) => Ok(Some(claim)),
        // The earlier request with this key may have run, and this one is a repeat of it.
        Err(Reason::Duplicate) => Err(Refusal::unknown(Reason::Duplicate)),
        Err(reason) => Err(Refusal::not_run(reason)),
    }
}

/// Makes attempts until a target responds or no further attempt is allowed.
async fn serve(
    context: &Context,
    admitted: &mut AdmittedRequest,
) -> Result<(Response<Incoming>, Connection), Refusal> {
    let state = Arc::clone(&admitted.service.state);
    let _suspect_guard = if is_suspect(&context.shared, admitted)? {
        let suspect_guard = state.suspect_lock.lock().await;
        // Checked again, since crashes reported during the wait may have led to its quarantine.
        is_suspect(&context.shared, admitted)?;
        Some(suspect_guard)
    } else {
        None
    };
    // Set once an attempt may have run. No later result can prove that the request has not run.
    let mut may_have_run = false;
    loop {
        let refusal = |reason, may_have_run| {
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
        };
        if admitted.remaining().is_zero() {
            return Err(refusal(Reason::Deadline, may_have_run));
        }
        // Subscribed before the target is chosen, so that no routing table published since then is
        // missed by the pauses below.
        let mut snapshot_changed = context.shared.snapshot_changed.subscribe();
        let destination = match choose_target(&context.shared, admitted) {
            Ok(destination) => destination,
            Err(reason) => {
                let _waiting_slot = WaitingSlot::try_acquire(&context.shared)
                    .ok_or(refusal(Reason::Overloaded, may_have_run))?;
                time::timeout(
                    OWNER_RETRY_INTERVAL.min(admitted.remaining()),
                    snapshot_changed.changed(),
                )
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
        let result = attempt::make(admitted, &destination).await;
        drop(in_flight);
        match result {
            AttemptResult::Answered(answered) => {
                destination.target.record_success();
                clear_suspect(&context.shared, admitted);
                return Ok(*answered);
            }
            AttemptResult::NotRun(reason) => {
                record_failure(context, admitted, &destination.target, reason);
                if !try_retry_unexecuted(admitted, reason) {
                    return Err(refusal(reason, may_have_run));
                }
                let _waiting_slot = WaitingSlot::try_acquire(&context.shared)
                    .ok_or(refusal(Reason::Overloaded, may_have_run))?;
                let pause = OWNER_RETRY_INTERVAL.min(admitted.remaining());
                time::timeout(pause, snapshot_changed.changed()).await.ok();
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

/// Returns true if another attempt may be made at a request that has not run.
///
/// Waiting for an owner costs no target anything. Another attempt at an overloaded service does,
/// so it is withdrawn from the retry budget.
fn try_retry_unexecuted(admitted: &AdmittedRequest, reason: Reason) -> bool {
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

/// Returns the destination of the next attempt, or the reason why the attempt has to wait.
fn choose_target(shared: &Shared, admitted: &AdmittedRequest) -> Result<Destination, Reason> {
    let snapshot = shared.snapshot.load();
    let service =
        snapshot.services.get(&admitted.service.conf.name).ok_or(Reason::UnknownService)?;
    if let Some(shard) = admitted.shard {
        let owner = service.owner(shard).ok_or(Reason::NoOwner)?;
        let target = Arc::clone(snapshot.targets.get(owner.target));
        let is_reserved = target.reserve_attempt();
        let destination = Destination { target, fence: Some(owner.fence) };
        return if is_reserved { Ok(destination) } else { Err(Reason::Unreachable) };
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
            failing: target.is_ejected(),
        })
        .collect();
    let random_index = |count: usize| rand::random_range(0..count);
    let index = choice::less_busy_of_two(&candidates, random_index).ok_or(Reason::Unreachable)?;
    Ok(Destination { target: Arc::clone(targets[index]), fence: None })
}

/// Returns true if a crash was reported for a request, or a refusal if it is in quarantine.
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

/// Clears the suspicion against a request that a target responded to.
fn clear_suspect(shared: &Shared, admitted: &AdmittedRequest) {
    if shared.has_suspects.load(Ordering::Relaxed) {
        let mut quarantine = shared.quarantine();
        quarantine.clear(admitted.fingerprint);
        shared.has_suspects.store(!quarantine.is_empty(), Ordering::Relaxed);
    }
}

/// Records a crash report if the target has ended, and notifies the peers before any further
/// attempt.
async fn report_crash(
    context: &Context,
    admitted: &AdmittedRequest,
    target: &Target,
    incarnation_before: u64,
) -> Result<(), Refusal> {
    let vm = &target.vm;
    if !target.probe_ended(&context.probe, incarnation_before).await {
        log::info!("{vm} was lost while it ran a request, and has not ended");
        return Ok(());
    }
    let crash = key::rendezvous_weight(target.vm.as_str(), &incarnation_before.to_string());
    let report = CrashReport { fingerprint: admitted.fingerprint, crash };
    let service = admitted.service.conf.name.clone();
    let is_refused = {
        let mut quarantine = context.shared.quarantine();
        quarantine.record_crash(report, Instant::now());
        context.shared.has_suspects.store(true, Ordering::Relaxed);
        quarantine.is_refused(admitted.fingerprint)
    };
    let (peers_notified, notification) = oneshot::channel();
    let sent =
        context.shared.feedback.try_send(Feedback::Crash { service, report, peers_notified });
    let notified = sent.is_ok() && time::timeout(CRASH_REPORT_TIMEOUT, notification).await.is_ok();
    log::warn!("{vm} crashed while it ran a request; peers notified in time: {notified}");
    if is_refused { Err(Refusal::unknown(Reason::Quarantined)) } else { Ok(()) }
}

fn relay_response(
    admitted: &AdmittedRequest,
    response: Response<Incoming>,
    connection: Connection,
    mut tracker: RequestTracker,
) -> Response<Body> {
    tracker.record_response(&connection.target);
    let (mut parts, incoming) = response.into_parts();
    wire::remove_hop_by_hop(&mut parts.headers);
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
