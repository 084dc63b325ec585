//! The attempts at one request: which target comes next, and what each result means.
//!
//! A request is sent to one target after another until one answers or a limit is reached: the
//! deadline, the attempts of the route, the retry budget that all entries share, or the rate limits
//! that targets name. A request that may have run is sent again only if its route allows repeats.

use {
    crate::{
        permit,
        shared::Shared,
        snapshot::Snapshot,
        traffic::{
            attempt::{self, AttemptResult, Way},
            body::Body,
            choose,
            handle::{AdmittedRequest, Origin},
            relay::{self, MAX_RELAYS},
            target::{ConnectError, Target},
        },
    },
    http::Response,
    key::clock::Tick,
    limit::{Permit, Request as PermitRequest},
    platform::header::Denial,
    route::{
        Reason, Refusal,
        budget::{RetryLimit, Window},
        quarantine::CrashReport,
    },
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The fraction of the route's latency objective for which a request waits for a holder of its key,
/// or for a ready target if the service has no keys.
const TARGET_WAIT_FRACTION: f64 = 0.4;

/// The longest time before a waiting request looks for a target again; a new snapshot ends it early.
const TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The number of denials by targets that don't hold the key, or are not the expected instance, after
/// which a request is refused.
const MAX_MISDIRECTIONS: u32 = 2;

/// The fraction of the fleet's retry budget that the entries use; the rest allows for retries that
/// they cannot count.
const RETRY_BUDGET_FRACTION: f64 = 0.75;

/// The time for which no request is passed on to an entry that reaches no target either.
const STRANDED_RELAY_BACKOFF: Duration = Duration::from_millis(800);

/// The share of targets that are not reached, in percent, from which a refused connection proves no
/// crash.
const MAX_CREDIBLE_UNREACHED_PERCENT: u8 = 40;

/// The longest delay by which callers of the highest priority are spread when they come back; each
/// priority below adds as much.
const RETURN_SPREAD: Duration = Duration::from_millis(80);

/// The priority from which the spread grows no more.
const MAX_SPREAD_RANK: u32 = 3;

/// The journal line about a failed attempt.
#[derive(Serialize)]
struct AttemptLine<'a> {
    id: &'a str,
    target: &'a str,
    result: &'a str,
    after_ms: u64,
}

/// The attempts at one request, and what they have shown so far.
pub(crate) struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    admitted: &'a AdmittedRequest,
    /// The number of attempts in which anything was sent.
    pub(crate) sent: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// The other entries to which the request was passed on.
    relays: Vec<Arc<Target>>,
    /// The holder that was not reached before the request was passed on.
    unreached: Option<Arc<Target>>,
    /// The targets of the attempts so far.
    tried: Vec<Arc<Target>>,
    /// The time after which a target that refused the request for its rate limit can take it.
    pub(crate) due_in: Option<Duration>,
}

impl<'a> Attempts<'a> {
    pub(crate) const fn new(shared: &'a Arc<Shared>, admitted: &'a AdmittedRequest) -> Self {
        Self {
            shared,
            admitted,
            sent: admitted.origin.attempts_made(),
            may_have_run: false,
            relays: Vec::new(),
            unreached: None,
            tried: Vec::new(),
            due_in: None,
        }
    }

    /// Makes attempts until one settles the request.
    pub(crate) async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let mut misdirections = 0;
        loop {
            if self.admitted.call.remaining().is_zero() {
                return Err(self.refusal(Reason::Deadline));
            }
            if self.shared.quarantine().is_refused(self.admitted.fingerprint) {
                return Err(self.refusal(Reason::Quarantined));
            }
            if self.sent > 0 && !self.try_retry() {
                return Err(self.refusal(Reason::Overloaded));
            }
            if let Some(entry) = self.next_relay() {
                match self.relay_through(&entry).await? {
                    Some(response) => return Ok(response),
                    None => continue,
                }
            }
            let target = self.next_permitted_target().await?;
            let result = self.send_to(&target).await;
            if !matches!(result, AttemptResult::Unsent(_)) {
                self.sent += 1;
            }
            self.tried.push(Arc::clone(&target));
            match result {
                AttemptResult::Answered(response) => {
                    let can_try_other = self.can_repeat() && attempt::is_failure(&response);
                    if !can_try_other || !self.has_other_target() {
                        return Ok(*response);
                    }
                    self.record_failure(&target, "failure of the target");
                    if !self.try_retry() {
                        return Ok(*response);
                    }
                    self.may_have_run = true;
                    // The retry budget was already charged for this attempt.
                    return self.final_attempt(*response).await;
                }
                AttemptResult::Unsent(error) => {
                    self.record_failure(&target, "unreachable");
                    if !self.can_relay() || !target.condition.may_be_reached_elsewhere() {
                        self.check_unsent(error)?;
                    }
                }
                AttemptResult::Denied(denial @ (Denial::NotHeld | Denial::WrongTarget)) => {
                    self.record_misdirection(&target, denial);
                    misdirections += 1;
                    if misdirections >= MAX_MISDIRECTIONS {
                        return Err(self.refusal(Reason::NoOwner));
                    }
                    self.wait_for_change(TARGET_RETRY_INTERVAL).await;
                }
                AttemptResult::Denied(Denial::Malformed) => {
                    return Err(self.refusal(Reason::BadHeader));
                }
                AttemptResult::Denied(Denial::Shed) => {
                    self.record_failure(&target, "shed");
                    target.condition.record_shed();
                    if self.admitted.keyed || !self.has_attempts() {
                        return Err(self.refusal(Reason::Overloaded));
                    }
                }
                AttemptResult::Lost => {
                    self.record_failure(&target, "connection lost");
                    self.may_have_run = true;
                    self.report_crash(&target).await;
                    if !self.can_repeat() {
                        return Err(self.refusal(Reason::ConnectionLost));
                    }
                }
                AttemptResult::Broken => {
                    self.record_failure(&target, "broken answer");
                    self.may_have_run = true;
                    if !self.can_repeat() {
                        return Err(self.refusal(Reason::MismatchedAnswer));
                    }
                }
                AttemptResult::Late => {
                    self.record_failure(&target, "late");
                    target.close_idle();
                    self.may_have_run = true;
                    return Err(self.refusal(Reason::Deadline));
                }
            }
        }
    }

    /// Sends the request to a target.
    async fn send_to(&self, target: &Arc<Target>) -> AttemptResult {
        let is_repeated = self.tried.iter().any(|tried| Arc::ptr_eq(tried, target));
        attempt::send(self.shared, &self.admitted.call, target, Way::Direct, is_repeated).await
    }

    /// Returns true if the request may be passed on to another entry.
    fn can_relay(&self) -> bool {
        self.admitted.origin == Origin::Caller && self.relays.len() < MAX_RELAYS
    }

    /// Returns the entry to which the request is passed on next, if this one cannot reach a target
    /// for it: it is stranded, or it alone may have lost its link to the holder of the key.
    fn next_relay(&mut self) -> Option<Arc<Target>> {
        if !self.can_relay() {
            return None;
        }
        let snapshot = self.shared.snapshot.load_full();
        if !self.shared.is_stranded() {
            let key = self.admitted.key.filter(|_| self.admitted.keyed)?;
            let holder = snapshot.holder(&self.admitted.service, key)?;
            if !holder.condition.may_be_reached_elsewhere() {
                return None;
            }
            self.unreached = Some(holder);
        }
        relay::choose(&snapshot, &self.relays)
    }

    /// Passes the request on to another entry. Returns its final response, or none if the request
    /// can be tried again.
    async fn relay_through(
        &mut self,
        entry: &Arc<Target>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        self.relays.push(Arc::clone(entry));
        let way = Way::Relayed { sent: self.sent };
        let unreached = self.unreached.take();
        match attempt::send(self.shared, &self.admitted.call, entry, way, false).await {
            AttemptResult::Answered(mut response) => {
                let reached = !relay::take_unreached(response.headers_mut());
                self.shared
                    .counters
                    .count("relayed", if reached { "answered" } else { "unreached" });
                match &unreached {
                    Some(holder) => holder.condition.record_relayed(reached),
                    None if !reached => entry.condition.avoid_for(STRANDED_RELAY_BACKOFF),
                    None => {}
                }
                // The last entry's refusal stands if there is no other one.
                let is_final = reached || !self.can_relay();
                Ok(is_final.then_some(*response))
            }
            AttemptResult::Unsent(_) | AttemptResult::Denied(_) => {
                self.record_failure(entry, "relay unreachable");
                Ok(None)
            }
            AttemptResult::Lost => self.record_uncertain_relay(entry, Reason::ConnectionLost),
            AttemptResult::Broken => self.record_uncertain_relay(entry, Reason::MismatchedAnswer),
            AttemptResult::Late => {
                self.record_failure(entry, "relay late");
                self.may_have_run = true;
                Err(self.refusal(Reason::Deadline))
            }
        }
    }

    /// Records that a request may have run after it was passed on. It is tried again if its route
    /// allows repeats.
    fn record_uncertain_relay(
        &mut self,
        entry: &Target,
        reason: Reason,
    ) -> Result<Option<Response<Body>>, Refusal> {
        self.record_failure(entry, "relay lost");
        self.may_have_run = true;
        self.sent += 1;
        if self.can_repeat() { Ok(None) } else { Err(self.refusal(reason)) }
    }

    /// Tries one other target after a failure response, and returns the failure if that attempt
    /// gets no response.
    async fn final_attempt(&mut self, failure: Response<Body>) -> Result<Response<Body>, Refusal> {
        let Ok(target) = self.next_permitted_target().await else { return Ok(failure) };
        let result = self.send_to(&target).await;
        self.sent += 1;
        match result {
            AttemptResult::Answered(response) => Ok(*response),
            _ => Ok(failure),
        }
    }

    /// Returns a refusal that says whether the request may have run.
    fn refusal(&self, reason: Reason) -> Refusal {
        if self.may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) }
    }

    fn has_attempts(&self) -> bool {
        self.sent < self.admitted.route.attempts
    }

    /// Returns true if the request may be sent again although it may have run.
    fn can_repeat(&self) -> bool {
        !self.admitted.call.at_most_once && self.has_attempts()
    }

    /// Returns true if another target can serve the request; a key has one holder only.
    fn has_other_target(&self) -> bool {
        !self.admitted.keyed
    }

    /// Charges one retry to this entry's share of the fleet's budget; returns false if none is
    /// left.
    fn try_retry(&self) -> bool {
        let retries = self.shared.settings.retries;
        let entries = self.shared.snapshot.load().entries.max(1) as f64;
        let limit = RetryLimit {
            ratio: retries.ratio * RETRY_BUDGET_FRACTION,
            extra: retries.extra * RETRY_BUDGET_FRACTION / entries,
        };
        let window = || Window::new(retries.window.as_duration());
        let mut budgets = self.shared.budgets();
        let budget = budgets.entry(self.admitted.service.clone()).or_insert_with(window);
        let allowed = budget.try_retry(Instant::now(), limit);
        self.shared.counters.count("retries", if allowed { "allowed" } else { "denied" });
        allowed
    }

    /// Returns the target of the next attempt, with a permit if it names a rate limit. A request
    /// that gets none goes to another target if the service has no keys, or else is refused.
    async fn next_permitted_target(&mut self) -> Result<Arc<Target>, Refusal> {
        const MAX_PERMIT_REQUESTS: usize = 3;
        if let Some(due_in) = self.deferred_for() {
            self.due_in = Some(due_in + self.spread());
            return Err(self.refusal(Reason::RateLimited));
        }
        for _ in 0..MAX_PERMIT_REQUESTS {
            let target = self.next_target().await?;
            let has_choice = !self.admitted.keyed
                && !self.shared.limits().is_avoided(&target.instance, Tick::now());
            let request = self.permit_request(has_choice);
            match permit::acquire(self.shared, &target.instance, request).await {
                Permit::After(wait) => {
                    time::sleep(wait).await;
                    return Ok(target);
                }
                Permit::Refused(due_in) => {
                    self.record_failure(&target, "rate limited");
                    self.due_in = Some(self.due_in.map_or(due_in, |other| other.min(due_in)));
                    if !has_choice {
                        break;
                    }
                    self.shared.limits().avoid(&target.instance, due_in, Tick::now());
                }
            }
        }
        Err(self.refusal(Reason::RateLimited))
    }

    /// Returns for how long no target wants the request, if that is known.
    fn deferred_for(&self) -> Option<Duration> {
        let snapshot = self.shared.snapshot.load();
        if let Some(key) = self.admitted.key.filter(|_| self.admitted.keyed) {
            return snapshot.holder(&self.admitted.service, key)?.condition.deferred_for();
        }
        let usable = snapshot.ready.get(&self.admitted.service)?;
        let usable = usable.iter().filter(|target| !target.condition.is_unreachable());
        let times: Option<Vec<Duration>> =
            usable.map(|target| target.condition.deferred_for()).collect();
        times?.into_iter().min()
    }

    /// Returns a random delay for the return of a refused caller, longer with a lower priority, so that
    /// callers do not come back all at once.
    fn spread(&self) -> Duration {
        let rank = f64::from(self.admitted.route.priority.min(MAX_SPREAD_RANK) + 1);
        RETURN_SPREAD.mul_f64(rank * rand::random::<f64>())
    }

    /// Returns how long the request can wait for a permit, and its priority. A request that has a
    /// choice of targets does not wait.
    fn permit_request(&self, has_choice: bool) -> PermitRequest {
        let snapshot = self.shared.snapshot.load();
        let routes = snapshot.routing.iter().flat_map(|routing| &routing.routes);
        let competing = routes
            .filter(|route| route.parts.iter().any(|part| part.service == self.admitted.service));
        let highest = competing.map(|route| route.priority).min();
        let wait = self.admitted.route.objective().mul_f64(TARGET_WAIT_FRACTION);
        let wait = wait.saturating_sub(self.admitted.arrived_at.elapsed());
        PermitRequest {
            max_wait: if has_choice { Duration::ZERO } else { wait },
            is_urgent: highest.is_none_or(|highest| self.admitted.route.priority <= highest),
        }
    }

    /// Returns the target of the next attempt. Waits up to a fraction of the latency objective for
    /// one that can be used.
    async fn next_target(&self) -> Result<Arc<Target>, Refusal> {
        let wait = self.admitted.route.objective().mul_f64(TARGET_WAIT_FRACTION);
        let wait_until = self.admitted.arrived_at + wait;
        loop {
            let mut changed = self.shared.snapshot_changed.subscribe();
            let snapshot = self.shared.snapshot.load_full();
            if let Some(target) = self.choose_target(&snapshot) {
                return Ok(target);
            }
            let remaining = wait_until.saturating_duration_since(Instant::now());
            if time::timeout(remaining.min(TARGET_RETRY_INTERVAL), changed.changed()).await.is_err()
                && remaining <= TARGET_RETRY_INTERVAL
            {
                let reason =
                    if self.admitted.keyed { Reason::NoOwner } else { Reason::Unreachable };
                return Err(self.refusal(reason));
            }
        }
    }

    /// Returns the holder of the key, or a target of a service without keys.
    fn choose_target(&self, snapshot: &Snapshot) -> Option<Arc<Target>> {
        match self.admitted.key {
            Some(key) if self.admitted.keyed => {
                let map_version = snapshot.map_version(&self.admitted.service);
                snapshot.holder(&self.admitted.service, key).filter(|target| {
                    !target.condition.is_unreachable()
                        && !target.condition.has_denied(key, map_version)
                        && target.condition.admits(target.in_flight())
                })
            }
            _ => choose::choose_unkeyed(self.shared, snapshot, &self.admitted.service, &self.tried),
        }
    }

    /// Records that a target denied the request: another target runs at its address, or it does not
    /// hold the key.
    fn record_misdirection(&self, target: &Target, denial: Denial) {
        if denial == Denial::WrongTarget {
            self.record_failure(target, "another target");
            if target.record_end() {
                self.shared.feedback().ended_instances.push(target.instance.clone());
            }
            return;
        }
        self.record_failure(target, "not held");
        let snapshot = self.shared.snapshot.load();
        if let (Some(holders), Some(key)) =
            (snapshot.holders.get(&self.admitted.service), self.admitted.key)
            && let Some(assignment) = holders.map.assignment(key)
        {
            target.condition.record_denial(assignment.span, holders.map.version);
        }
    }

    /// Waits for a new snapshot, up to a timeout.
    async fn wait_for_change(&self, timeout: Duration) {
        let mut changed = self.shared.snapshot_changed.subscribe();
        // Whether the time is over or the snapshot has changed, the request tries again.
        if time::timeout(timeout, changed.changed()).await.is_err() {
            self.shared.counters.count("waits", "holder");
        }
    }

    /// Returns a refusal if it is no use to try again after an attempt that sent nothing: too many
    /// targets were tried, or no process listens at the address of the holder.
    fn check_unsent(&self, error: ConnectError) -> Result<(), Refusal> {
        const MAX_UNSENT_ATTEMPTS: usize = 4;
        if self.tried.len() > MAX_UNSENT_ATTEMPTS
            || (self.admitted.keyed && error == ConnectError::Refused)
        {
            return Err(self.refusal(Reason::Unreachable));
        }
        Ok(())
    }

    /// Counts a failed attempt and logs it.
    fn record_failure(&self, target: &Target, result: &str) {
        self.shared.counters.count("attempts_failed", result);
        self.shared.journal.log(
            "attempt",
            &AttemptLine {
                id: &self.admitted.id,
                target: target.instance.vm.as_str(),
                result,
                after_ms: self.admitted.arrived_at.elapsed().as_millis() as u64,
            },
        );
    }

    /// Reports that the request may have crashed the target, if the target's process has ended.
    async fn report_crash(&self, target: &Target) {
        if !target.probe_ended().await {
            return;
        }
        // Many targets that refuse connections at once have not crashed: the links are at fault.
        if self.shared.unreached_percent() >= MAX_CREDIBLE_UNREACHED_PERCENT {
            return;
        }
        // Identifies the instance, so that one crash seen by two entries counts once.
        let crash = key::rendezvous_weight(
            target.instance.vm.as_str(),
            &target.instance.started_at_ms.to_string(),
        );
        let report = CrashReport { fingerprint: self.admitted.fingerprint, crash };
        self.shared.feedback().crash_reports.push(report);
        if self.shared.quarantine().record_crash(report, Instant::now()) {
            self.shared.journal.log("quarantined", &report);
        }
    }
}
