//! One caller's request, from its arrival to its answer or refusal.

use {
    crate::{
        shared::Shared,
        traffic::{
            attempt::{self, Attempt, Call},
            body::Body,
            choose, refuse,
            target::{Error, Target},
        },
        view::View,
    },
    bytes::Bytes,
    conf::routing::{RequestKind, Route, Routing},
    http::{HeaderValue, Request, Response, header as standard, request::Parts},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    key::Service,
    platform::header::{self, Denial},
    route::{
        Reason, Refusal,
        budget::{RetryLimit, Window},
        quarantine::{CrashReport, Fingerprint},
    },
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The part of the objective for which a request waits for a holder of its key.
const HOLDER_PATIENCE: f64 = 0.4;

/// The pause before a request is sent to the same holder again.
const HOLDER_PAUSE: Duration = Duration::from_millis(25);

/// The times that a holder may deny a request before it is refused.
const MISDIRECTIONS: u32 = 2;

/// The time a caller that names none is taken to wait.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// The share of the fleet's retries that is used; the rest is left for what entries cannot count.
const BUDGET_PART: f64 = 0.75;

/// The time before the caller's deadline at which the last answer goes out.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// A request that matched a route.
struct Task {
    route: Route,
    service: Service,
    keyed: bool,
    key: Option<u16>,
    fingerprint: Fingerprint,
    call: Call,
    began: Instant,
    id: String,
}

/// The line of the log about a request that was not answered by a target.
#[derive(Serialize)]
struct Unanswered<'a> {
    id: &'a str,
    route: &'a str,
    service: &'a str,
    key: Option<u16>,
    outcome: route::Outcome,
    reason: Reason,
    after_ms: u64,
    left_ms: u64,
    sent: u32,
    config: u64,
    map: u64,
}

/// The line of the log about one attempt that failed.
#[derive(Serialize)]
struct Failed<'a> {
    id: &'a str,
    target: &'a str,
    result: &'a str,
    after_ms: u64,
}

/// Answers one request.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let id = header::request_id_value(request.headers()).cloned();
    let mut response = match take_on(&shared, request, began).await {
        Ok(task) => serve(&shared, &task).await,
        Err(refusal) => {
            let text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            note(&shared, refusal, None, text, began, 0);
            refuse::response(refusal, DEFAULT_DEADLINE, shared.settings.vm.as_str())
        }
    };
    if let Some(id) = id {
        header::set_request_id(response.headers_mut(), &id);
    }
    if shared.is_stopping() {
        response.headers_mut().insert(standard::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn note(
    shared: &Shared,
    refusal: Refusal,
    task: Option<&Task>,
    id: &str,
    began: Instant,
    sent: u32,
) {
    let view = shared.view.load();
    let service = task.map(|task| &task.service);
    shared.counters.count("refusals", &refusal.reason.to_string());
    shared.journal.log(
        "refused",
        &Unanswered {
            id,
            route: task.map_or("", |task| task.route.name.as_str()),
            service: service.map_or("", |service| service.as_str()),
            key: task.and_then(|task| task.key),
            outcome: refusal.outcome,
            reason: refusal.reason,
            after_ms: began.elapsed().as_millis() as u64,
            left_ms: task.map_or(0, |task| task.call.remaining().as_millis() as u64),
            sent,
            config: view.version().get(),
            map: service.map_or(0, |service| view.map_version(service).get()),
        },
    );
}

/// Finds the route of a request and reads its body.
async fn take_on(
    shared: &Shared,
    request: Request<Incoming>,
    began: Instant,
) -> Result<Task, Refusal> {
    let view = shared.view.load_full();
    let routing = view.routing.as_ref().ok_or(Refusal::not_run(Reason::NoConfiguration))?;
    let (parts, incoming) = request.into_parts();
    let route = route(routing, &parts)?.clone();
    let service = choose::part(&route, rand::random::<f64>())
        .ok_or(Refusal::not_run(Reason::UnknownService))?
        .clone();
    let patience = header::remaining_time(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
    let deadline = began + patience.saturating_sub(ANSWER_MARGIN).min(route.timeout());
    let limit = routing.limits.body_bytes as usize;
    let body = read(incoming, limit, deadline).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = Fingerprint::new(parts.method.as_str(), path, &body);
    let keyed = routing.service(&service).is_some_and(|service| service.keyed);
    let key = header::request_key(&parts.headers);
    let id = header::request_id(&parts.headers).unwrap_or_default().to_owned();
    let once = route.kind == RequestKind::Once;
    let call = Call { parts, body, deadline, once };
    Ok(Task { route, service, keyed, key, fingerprint, call, began, id })
}

fn route<'a>(routing: &'a Routing, parts: &Parts) -> Result<&'a Route, Refusal> {
    let named = parts.headers.get(standard::HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(named).unwrap_or_default();
    let found = routing.route_index(host, parts.uri.path());
    found.map(|at| &routing.routes[at]).ok_or(Refusal::not_run(Reason::UnknownService))
}

async fn read(incoming: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let body = Limited::new(incoming, limit).collect();
    let read = time::timeout_at(deadline.into(), body).await;
    let body = read.map_err(|_| Refusal::not_run(Reason::Deadline))?;
    Ok(body.map_err(|_| Refusal::not_run(Reason::BadBody))?.to_bytes())
}

async fn serve(shared: &Shared, task: &Task) -> Response<Body> {
    {
        let mut budgets = shared.budgets();
        let window = || Window::new(shared.settings.retries.window.as_duration());
        budgets.entry(task.service.clone()).or_insert_with(window).record_request(task.began);
        if let Some(key) = task.key.filter(|_| task.keyed) {
            *shared.seen().keys.entry((task.service.clone(), key)).or_default() += 1;
        }
    }
    let mut attempts = Attempts { shared, task, sent: 0, uncertain: false, tried: Vec::new() };
    match attempts.run().await {
        Ok(response) => {
            shared.counters.count("answers", task.service.as_str());
            shared.counters.record(task.service.as_str(), task.began.elapsed());
            response
        }
        Err(refusal) => {
            note(shared, refusal, Some(task), &task.id, task.began, attempts.sent);
            refuse::response(refusal, task.call.remaining(), shared.settings.vm.as_str())
        }
    }
}

/// The attempts at one request.
struct Attempts<'a> {
    shared: &'a Shared,
    task: &'a Task,
    /// The attempts in which something was sent.
    sent: u32,
    /// Whether a target may have run the request.
    uncertain: bool,
    tried: Vec<Arc<Target>>,
}

impl Attempts<'_> {
    async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut misdirections = 0;
        loop {
            if self.task.call.remaining().is_zero() {
                return Err(self.refusal(Reason::Deadline));
            }
            if self.shared.quarantine().is_refused(self.task.fingerprint) {
                return Err(self.refusal(Reason::Quarantined));
            }
            let target = self.target().await?;
            if self.sent > 0 && !self.may_retry() {
                return Err(self.refusal(Reason::Overloaded));
            }
            let result = attempt::make(&self.task.call, &target).await;
            if !matches!(result, Attempt::Unsent(_)) {
                self.sent += 1;
            }
            self.tried.push(Arc::clone(&target));
            match result {
                Attempt::Answered(response) => {
                    let another = self.may_repeat() && attempt::is_failure(&response);
                    if !another || !self.has_other_target() {
                        return Ok(*response);
                    }
                    self.note_failure(&target, "failure of the target");
                    if !self.may_retry() {
                        return Ok(*response);
                    }
                    self.uncertain = true;
                    // The retry was paid for just now.
                    return self.last_attempt(*response).await;
                }
                Attempt::Unsent(error) => {
                    self.note_failure(&target, "unreachable");
                    self.after_unsent(error)?;
                }
                Attempt::Denied(denial @ (Denial::NotHeld | Denial::WrongTarget)) => {
                    self.note_misdirection(&target, denial);
                    misdirections += 1;
                    if misdirections >= MISDIRECTIONS {
                        return Err(self.refusal(Reason::NoOwner));
                    }
                    self.wait_for_change(HOLDER_PAUSE).await;
                }
                Attempt::Denied(Denial::Malformed) => {
                    return Err(self.refusal(Reason::BadHeader));
                }
                Attempt::Denied(Denial::Shed) => {
                    self.note_failure(&target, "shed");
                    target.note_shedding();
                    if self.task.keyed || !self.has_attempts() {
                        return Err(self.refusal(Reason::Overloaded));
                    }
                }
                Attempt::Lost => {
                    self.note_failure(&target, "connection lost");
                    self.uncertain = true;
                    self.accuse(&target).await;
                    if !self.may_repeat() {
                        return Err(self.refusal(Reason::ConnectionLost));
                    }
                }
                Attempt::Broken => {
                    self.note_failure(&target, "broken answer");
                    self.uncertain = true;
                    if !self.may_repeat() {
                        return Err(self.refusal(Reason::MismatchedAnswer));
                    }
                }
                Attempt::Late => {
                    self.note_failure(&target, "late");
                    target.retire_idle();
                    self.uncertain = true;
                    return Err(self.refusal(Reason::Deadline));
                }
            }
        }
    }

    /// Tries another target in place of one that answered with a failure, whose answer is passed on
    /// if the other does not do better.
    async fn last_attempt(&mut self, failure: Response<Body>) -> Result<Response<Body>, Refusal> {
        let Ok(target) = self.target().await else { return Ok(failure) };
        let result = attempt::make(&self.task.call, &target).await;
        self.sent += 1;
        match result {
            Attempt::Answered(response) => Ok(*response),
            _ => Ok(failure),
        }
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        if self.uncertain { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
    }

    fn has_attempts(&self) -> bool {
        self.sent < self.task.route.attempts
    }

    /// Tells whether the request may be sent again although it may have run.
    fn may_repeat(&self) -> bool {
        !self.task.call.once && self.has_attempts()
    }

    fn has_other_target(&self) -> bool {
        !self.task.keyed
    }

    /// Takes one retry from this entry's share of the fleet's budget.
    fn may_retry(&self) -> bool {
        let retries = self.shared.settings.retries;
        let entries = self.shared.view.load().entries.max(1) as f64;
        let limit = RetryLimit {
            ratio: retries.ratio * BUDGET_PART,
            extra: retries.extra * BUDGET_PART / entries,
        };
        let window = || Window::new(retries.window.as_duration());
        let mut budgets = self.shared.budgets();
        let budget = budgets.entry(self.task.service.clone()).or_insert_with(window);
        let allowed = budget.try_retry(Instant::now(), limit);
        self.shared.counters.count("retries", if allowed { "allowed" } else { "denied" });
        allowed
    }

    /// Returns where the next attempt goes, waiting a little for a holder of the key.
    async fn target(&self) -> Result<Arc<Target>, Refusal> {
        let patience = self.task.route.objective().mul_f64(HOLDER_PATIENCE);
        let until = self.task.began + patience;
        loop {
            let mut changed = self.shared.changed.subscribe();
            let view = self.shared.view.load_full();
            if let Some(target) = self.choose(&view) {
                return Ok(target);
            }
            let left = until.saturating_duration_since(Instant::now());
            if time::timeout(left.min(HOLDER_PAUSE), changed.changed()).await.is_err()
                && left <= HOLDER_PAUSE
            {
                let reason = if self.task.keyed { Reason::NoOwner } else { Reason::Unreachable };
                return Err(self.refusal(reason));
            }
        }
    }

    fn choose(&self, view: &View) -> Option<Arc<Target>> {
        match self.task.key {
            Some(key) if self.task.keyed => {
                let map = view.map_version(&self.task.service);
                view.holder(&self.task.service, key)
                    .filter(|target| !target.is_unreachable() && !target.denies(key, map))
            }
            _ => choose::any(self.shared, view, &self.task.service, &self.tried),
        }
    }

    fn note_misdirection(&self, target: &Target, denial: Denial) {
        if denial == Denial::WrongTarget {
            self.note_failure(target, "another target");
            if target.note_end() {
                self.shared.seen().ended.push(target.instance.clone());
            }
            return;
        }
        self.note_failure(target, "not held");
        let view = self.shared.view.load();
        if let (Some(holders), Some(key)) = (view.holders.get(&self.task.service), self.task.key)
            && let Some(assignment) = holders.map.assignment(key)
        {
            target.note_denial(assignment.span, holders.map.version);
        }
    }

    async fn wait_for_change(&self, pause: Duration) {
        let mut changed = self.shared.changed.subscribe();
        // The time is over or the view has changed: either way the request looks again.
        if time::timeout(pause, changed.changed()).await.is_err() {
            self.shared.counters.count("waits", "holder");
        }
    }

    fn after_unsent(&self, error: Error) -> Result<(), Refusal> {
        const UNSENT: usize = 4;
        if self.tried.len() > UNSENT || (self.task.keyed && error == Error::Refused) {
            return Err(self.refusal(Reason::Unreachable));
        }
        Ok(())
    }

    fn note_failure(&self, target: &Target, result: &str) {
        self.shared.counters.count("attempts_failed", result);
        self.shared.journal.log(
            "attempt",
            &Failed {
                id: &self.task.id,
                target: target.instance.vm.as_str(),
                result,
                after_ms: self.task.began.elapsed().as_millis() as u64,
            },
        );
    }

    /// Notes a strike against the request if the target's process has ended.
    async fn accuse(&self, target: &Target) {
        if !target.has_ended().await {
            return;
        }
        let crash = key::rendezvous_weight(
            target.instance.vm.as_str(),
            &target.instance.started_at_ms.to_string(),
        );
        let strike = CrashReport { fingerprint: self.task.fingerprint, crash };
        self.shared.seen().strikes.push(strike);
        if self.shared.quarantine().record_crash(strike, Instant::now()) {
            self.shared.journal.log("quarantined", &strike);
        }
    }
}
