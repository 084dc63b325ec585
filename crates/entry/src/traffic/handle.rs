//! One caller's request, from its arrival to its answer or refusal.

use {
    crate::{
        shared::{Feedback, Shared},
        snapshot::{Route, Service},
        traffic::{
            attempt::{self, Attempt, Goal},
            body::{Body, Relay},
            call::{self, Call, Held},
            claim::Claim,
            refuse,
            target::{Connection, Target},
            watch::{InFlight, Watch},
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
const OWNER_RETRY: Duration = Duration::from_millis(15);

/// The longest wait until the peers know of a strike.
const STRIKE_PATIENCE: Duration = Duration::from_millis(300);

/// The share of the deadline that is kept for the request itself when a claim is taken.
const CLAIM_SHARE: u32 = 2;

/// What every request needs.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) me: Process,
    pub(crate) platform: store::Client,
    pub(crate) probe: wire::Client,
}

/// Answers one request.
pub(crate) async fn answer(context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
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
            refuse::response(refusal, &name, context.me.vm.as_str())
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
    let place = admit(&context.shared, &service).await?;
    let mut watch = Watch::new(Arc::clone(&service), started, place);
    match run(context, request, service, started).await {
        Ok((call, response, connection)) => Ok(pass_on(&call, response, connection, watch)),
        Err(refusal) => {
            watch.refuse(refusal.reason);
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
) -> Result<(Call, Response<Incoming>, Connection), Refusal> {
    check_needs(&context.shared, &service)?;
    let mut call = take_on(context, request, service, started).await.map_err(Refusal::not_run)?;
    call.service.live.retries.deposit(call.service.conf.limits.retry_percent.get());
    let claim = claim(context, &call).await?;
    match serve(context, &mut call).await {
        Ok((response, connection)) => Ok((call, response, connection)),
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
async fn admit(shared: &Shared, service: &Service) -> Result<OwnedSemaphorePermit, Refusal> {
    let overloaded = Refusal::not_run(Reason::Overloaded);
    let places = Arc::clone(&service.live.places);
    if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
        return Ok(place);
    }
    let _waiting = Waiting::enter(shared).ok_or(overloaded)?;
    let place = time::timeout(service.conf.limits.queue_timeout(), places.acquire_owned()).await;
    place.ok().and_then(Result::ok).ok_or(overloaded)
}

/// Refuses early what cannot succeed because a needed service is down.
fn check_needs(shared: &Shared, service: &Service) -> Result<(), Refusal> {
    if service.needs.is_empty() {
        return Ok(());
    }
    let snapshot = shared.snapshot.load();
    let down = |needed: &Service| needed.is_vacant() || needed.live.down.load(Ordering::Relaxed);
    let needed = service.needs.iter().filter_map(|name| snapshot.services.get(name));
    if needed.into_iter().any(|needed| down(needed)) {
        return Err(Refusal::not_run(Reason::DependencyDown));
    }
    Ok(())
}

/// One of the requests that wait for a place or an owner, of which there is a fixed number.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn enter(shared: &'a Shared) -> Option<Self> {
        let before = shared.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting = Self(shared);
        (before < shared.settings.traffic.waiting.get() as usize).then_some(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads what the request says of itself and as much of its body as may be held.
async fn take_on(
    context: &Context,
    request: Request<Incoming>,
    service: Arc<Service>,
    started: Instant,
) -> Result<Call, Reason> {
    let (parts, incoming) = request.into_parts();
    let shard = shard(&service.conf, &parts)?;
    let deadline = started + deadline(&service.conf, &parts)?;
    let limit = context.shared.settings.traffic.held_body_bytes.get();
    let held = if incoming.size_hint().upper().is_some_and(|size| size <= limit) {
        let body = Limited::new(incoming, limit as usize).collect();
        let body = time::timeout(call::remaining(deadline), body).await;
        Held::Whole(body.ok().and_then(Result::ok).ok_or(Reason::BadBody)?.to_bytes())
    } else {
        Held::Upload(incoming)
    };
    let content: &[u8] = if let Held::Whole(bytes) = &held { bytes } else { &[] };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, content);
    let idempotent = service.conf.is_idempotent(parts.method.as_str());
    Ok(Call { service, parts, shard, idempotent, deadline, held, fingerprint })
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
async fn claim(context: &Context, call: &Call) -> Result<Option<Claim>, Refusal> {
    if call.idempotent {
        return Ok(None);
    }
    let Some(id) = call.parts.headers.get(header::IDEMPOTENCY_KEY) else { return Ok(None) };
    let id = id.to_str().map_err(|_| Refusal::not_run(Reason::BadHeader))?;
    let service = call.service.conf.name.as_str();
    let deadline = Instant::now() + call.remaining() / CLAIM_SHARE;
    match Claim::take(&context.platform, &context.me, service, id, deadline).await {
        Ok(claim) => Ok(Some(claim)),
        // The request that came before may have run, so this cannot be told from that one.
        Err(Reason::Duplicate) => Err(Refusal::unknown(Reason::Duplicate)),
        Err(reason) => Err(Refusal::not_run(reason)),
    }
}

/// Makes attempts until one is answered or no other is allowed.
async fn serve(
    context: &Context,
    call: &mut Call,
) -> Result<(Response<Incoming>, Connection), Refusal> {
    let lane = Arc::clone(&call.service.live);
    let _lane = if is_suspect(&context.shared, call)? {
        let lane = lane.suspect_lane.lock().await;
        is_suspect(&context.shared, call)?;
        Some(lane)
    } else {
        None
    };
    // Once an attempt may have run, nothing that follows can make the request one that has not.
    let mut uncertain = false;
    loop {
        let refuse = |reason, uncertain| {
            if uncertain { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
        };
        if call.remaining().is_zero() {
            return Err(refuse(Reason::Deadline, uncertain));
        }
        let mut changed = context.shared.changed.subscribe();
        let goal = match choose(&context.shared, call) {
            Ok(goal) => goal,
            Err(reason) => {
                let _waiting =
                    Waiting::enter(&context.shared).ok_or(refuse(Reason::Overloaded, uncertain))?;
                time::timeout(OWNER_RETRY.min(call.remaining()), changed.changed()).await.ok();
                if call.remaining().is_zero() {
                    return Err(refuse(reason, uncertain));
                }
                continue;
            }
        };
        let in_flight = InFlight::new(&goal.target);
        let before = goal.target.incarnation.load(Ordering::Relaxed);
        let outcome = attempt::make(call, &goal).await;
        drop(in_flight);
        match outcome {
            Attempt::Answered(answered) => {
                goal.target.succeeded();
                acquit(&context.shared, call);
                return Ok(*answered);
            }
            Attempt::NotRun(reason) => {
                fail(context, call, &goal.target, reason);
                if !may_repeat(call, reason) {
                    return Err(refuse(reason, uncertain));
                }
                let _waiting =
                    Waiting::enter(&context.shared).ok_or(refuse(Reason::Overloaded, uncertain))?;
                let pause = OWNER_RETRY.min(call.remaining());
                time::timeout(pause, changed.changed()).await.ok();
            }
            Attempt::Unknown(reason) => {
                uncertain = true;
                fail(context, call, &goal.target, reason);
                if reason == Reason::ConnectionLost {
                    accuse(context, call, &goal.target, before).await?;
                }
                if !call.can_repeat() || !call.service.live.retries.withdraw() {
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
fn may_repeat(call: &Call, reason: Reason) -> bool {
    if matches!(call.held, Held::Spent) {
        return false;
    }
    match reason {
        Reason::NoOwner | Reason::Unreachable | Reason::ConnectionLost => true,
        Reason::Overloaded => call.service.live.retries.withdraw(),
        _ => false,
    }
}

fn fail(context: &Context, call: &Call, target: &Target, reason: Reason) {
    let is_fault = matches!(
        reason,
        Reason::Unreachable | Reason::ConnectionLost | Reason::Deadline | Reason::MismatchedAnswer
    );
    if !is_fault {
        return;
    }
    if let Some(failures) = target.failed() {
        let service = call.service.conf.name.clone();
        let ejected = Feedback::Ejected { service, vm: target.vm.clone(), failures };
        context.shared.feedback.try_send(ejected).ok();
    }
}

/// Returns where the next attempt goes, or why it has to wait.
fn choose(shared: &Shared, call: &Call) -> Result<Goal, Reason> {
    let snapshot = shared.snapshot.load();
    let service = snapshot.services.get(&call.service.conf.name).ok_or(Reason::UnknownService)?;
    if let Some(shard) = call.shard {
        let owner = service.owner(shard).ok_or(Reason::NoOwner)?;
        let target = Arc::clone(snapshot.targets.get(owner.target));
        let allowed = target.may_try();
        let goal = Goal { target, fence: Some(owner.fence) };
        return if allowed { Ok(goal) } else { Err(Reason::Unreachable) };
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
    Ok(Goal { target: Arc::clone(targets[chosen]), fence: None })
}

/// Tells whether a request has a strike, and refuses it if it has too many.
fn is_suspect(shared: &Shared, call: &Call) -> Result<bool, Refusal> {
    if !shared.suspects.load(Ordering::Relaxed) {
        return Ok(false);
    }
    let quarantine = shared.quarantine();
    if quarantine.is_refused(call.fingerprint) {
        return Err(Refusal::not_run(Reason::Quarantined));
    }
    Ok(quarantine.is_suspect(call.fingerprint))
}

/// Clears a request that was answered.
fn acquit(shared: &Shared, call: &Call) {
    if shared.suspects.load(Ordering::Relaxed) {
        let mut quarantine = shared.quarantine();
        quarantine.clear(call.fingerprint);
        shared.suspects.store(!quarantine.is_empty(), Ordering::Relaxed);
    }
}

/// Notes a strike if the target died, and tells the peers before any other attempt.
async fn accuse(
    context: &Context,
    call: &Call,
    target: &Target,
    before: u64,
) -> Result<(), Refusal> {
    if !target.has_died(&context.probe, before).await {
        return Ok(());
    }
    let crash = key::rendezvous_weight(target.vm.as_str(), &before.to_string());
    let strike = CrashReport { fingerprint: call.fingerprint, crash };
    let service = call.service.conf.name.clone();
    let refused = {
        let mut quarantine = context.shared.quarantine();
        quarantine.record_crash(strike, Instant::now());
        context.shared.suspects.store(true, Ordering::Relaxed);
        quarantine.is_refused(call.fingerprint)
    };
    let (told, knows) = oneshot::channel();
    let sent = context.shared.feedback.try_send(Feedback::Strike { service, strike, told });
    if sent.is_ok() {
        time::timeout(STRIKE_PATIENCE, knows).await.ok();
    }
    if refused { Err(Refusal::unknown(Reason::Quarantined)) } else { Ok(()) }
}

fn pass_on(
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
    mut watch: Watch,
) -> Response<Body> {
    watch.answered_by(&connection.target);
    let (mut parts, incoming) = response.into_parts();
    attempt::strip(&mut parts.headers);
    for name in [
        header::REQUEST_ID,
        header::TARGET_NOW_MS,
        header::TARGET_INCARNATION,
        header::TARGET_STATE,
    ] {
        parts.headers.remove(name);
    }
    if let Some(id) = call.parts.headers.get(header::REQUEST_ID) {
        parts.headers.insert(header::REQUEST_ID, id.clone());
    }
    if let Ok(vm) = HeaderValue::from_str(connection.target.vm.as_str()) {
        parts.headers.insert(header::SERVED_BY, vm);
    }
    let patience = call.service.conf.limits.stall_timeout();
    let relay = Relay::new(incoming, connection, patience, watch);
    Response::from_parts(parts, Body::Relay(Box::new(relay)))
}
