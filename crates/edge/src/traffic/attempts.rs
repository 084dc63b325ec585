//! The attempts at one request: which target comes next, and what each result means.
//!
//! A request is sent to one target after another until one answers or a limit is reached: the
//! deadline, the attempts of the route, the retry budget that all entries share, or the rate limits
//! that targets name. A request that may have run is sent again only if its route allows repeats.

mod choosing;
mod hedging;
mod relaying;
mod shedding;

use {
    self::choosing::Permitted,
    crate::{
        shared::Shared,
        traffic::{
            admission::AdmittedRequest,
            attempt::{self, AttemptResult, Way},
            body::Body,
            target::{ConnectError, Target},
        },
    },
    http::Response,
    key::clock::Tick,
    platform::header::Denial,
    route::{
        Reason, Refusal,
        budget::{RetryLimit, Window},
        hedge,
        quarantine::CrashReport,
    },
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The longest time before a waiting request looks for a target again; a new snapshot ends it
/// early.
const TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The number of denials by targets that don't hold the key, or are not the expected instance,
/// after which a request is refused. The second may come from the next holder, which has the map's
/// word for the key but not yet the grant.
const MAX_MISDIRECTIONS: u32 = 3;

/// The fraction of the fleet's retry budget that the entries use; the rest allows for retries that
/// they cannot count.
const RETRY_BUDGET_FRACTION: f64 = 0.75;

/// The share of the other targets that are not reached, in percent, from which a refused connection
/// proves no crash.
const MAX_CREDIBLE_UNREACHED_PERCENT: u8 = 40;

/// The journal line about a target that refuses connections after it was lost with a request.
#[derive(Serialize)]
struct CrashLine<'a> {
    id: &'a str,
    target: &'a str,
    unreached_percent: u8,
    is_credible: bool,
}

/// The journal line about a failed attempt.
#[derive(Serialize)]
struct AttemptLine<'a> {
    id: &'a str,
    target: &'a str,
    result: &'a str,
    after_ms: u64,
    /// The version of the map by which the target holds the key, if it denies that, and for how long
    /// this process has known the map.
    #[serde(skip_serializing_if = "Option::is_none")]
    map_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    map_age_ms: Option<u64>,
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
            let permitted = self.next_permitted_target().await?;
            let (target, result, begun_at) = self.send_hedged(permitted).await;
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
                    // A map that arrived meanwhile may name the next holder already.
                    if !self.has_other_holder(&target) {
                        self.wait_for_change(TARGET_RETRY_INTERVAL).await;
                    }
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
                    target.record_unanswered(begun_at.elapsed());
                    self.may_have_run = true;
                    return Err(self.refusal(Reason::Deadline));
                }
            }
        }
    }

    /// Sends the request to a target; `use_by` is the time until which its permit for a cold target
    /// may be used.
    async fn send_to(&self, target: &Arc<Target>, use_by: Option<Tick>) -> AttemptResult {
        let is_repeated = self.tried.iter().any(|tried| Arc::ptr_eq(tried, target));
        let call = &self.admitted.call;
        attempt::send(self.shared, call, target, Way::Direct, is_repeated, use_by).await
    }

    /// Tries one other target after a failure response, and returns the failure if that attempt
    /// gets no response.
    async fn final_attempt(&mut self, failure: Response<Body>) -> Result<Response<Body>, Refusal> {
        let Ok(Permitted { target, use_by }) = self.next_permitted_target().await else {
            return Ok(failure);
        };
        let result = self.send_to(&target, use_by).await;
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
        let allowed = self.charge_retry(|limit| limit);
        self.shared.counters.count("retries", if allowed { "allowed" } else { "denied" });
        allowed
    }

    /// The same for a second attempt beside the first, which may use a part of the budget.
    fn try_hedge(&self) -> bool {
        self.charge_retry(hedge::hedge_limit)
    }

    fn charge_retry(&self, part: impl Fn(RetryLimit) -> RetryLimit) -> bool {
        let retries = self.shared.settings.retries;
        let entries = self.shared.snapshot.load().entries.max(1) as f64;
        let limit = RetryLimit {
            ratio: retries.ratio * RETRY_BUDGET_FRACTION,
            extra: retries.extra * RETRY_BUDGET_FRACTION / entries,
        };
        let window = || Window::new(retries.window.as_duration());
        let mut budgets = self.shared.budgets();
        let budget = budgets.entry(self.admitted.service.clone()).or_insert_with(window);
        budget.try_retry(Instant::now(), part(limit))
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
        let snapshot = self.shared.snapshot.load();
        let holders = snapshot.holders.get(&self.admitted.service);
        let map = holders.map(|holders| {
            (holders.map.version.get(), Tick::now().since(holders.learned_at).as_millis() as u64)
        });
        if let Some((_, age_ms)) = map {
            self.shared.counters.count("misdirected", map_age(age_ms));
        }
        self.log_failure(target, "not held", map);
        if let (Some(holders), Some(key)) = (holders, self.admitted.key)
            && let Some(assignment) = holders.map.assignment(key)
        {
            target.condition.record_denial(assignment.span, holders.map.version);
        }
    }

    /// Returns true if another target than this one holds the key by the newest map.
    fn has_other_holder(&self, target: &Arc<Target>) -> bool {
        let snapshot = self.shared.snapshot.load();
        let holder = self.admitted.key.filter(|_| self.admitted.keyed);
        let holder = holder.and_then(|key| snapshot.holder(&self.admitted.service, key));
        holder.is_some_and(|holder| !Arc::ptr_eq(&holder, target))
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
        if error == ConnectError::NoRoom {
            return Err(self.refusal(Reason::Overloaded));
        }
        if self.tried.len() > MAX_UNSENT_ATTEMPTS
            || (self.admitted.keyed && error == ConnectError::Refused)
        {
            return Err(self.refusal(Reason::Unreachable));
        }
        Ok(())
    }

    /// Counts a failed attempt and logs it.
    fn record_failure(&self, target: &Target, result: &str) {
        self.log_failure(target, result, None);
    }

    /// Counts a failed attempt and logs it, with the version and age of the map that led to it.
    fn log_failure(&self, target: &Target, result: &str, map: Option<(u64, u64)>) {
        self.shared.counters.count("attempts_failed", result);
        self.shared.journal.log(
            "attempt",
            &AttemptLine {
                id: &self.admitted.id,
                target: target.instance.vm.as_str(),
                result,
                after_ms: self.admitted.arrived_at.elapsed().as_millis() as u64,
                map_version: map.map(|(version, _)| version),
                map_age_ms: map.map(|(_, age_ms)| age_ms),
            },
        );
    }

    /// Reports that the request may have crashed the target, if the target's process has ended.
    async fn report_crash(&self, target: &Target) {
        if !target.probe_ended(&self.shared.limiter).await {
            return;
        }
        // Many targets that refuse connections at once have not crashed: the links are at fault.
        let unreached_percent = self.shared.unreached_percent_besides(&target.instance);
        let is_credible = unreached_percent < MAX_CREDIBLE_UNREACHED_PERCENT;
        let vm = target.instance.vm.as_str();
        let line = CrashLine { id: &self.admitted.id, target: vm, unreached_percent, is_credible };
        self.shared.journal.log("crash", &line);
        if !is_credible {
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

/// Returns the age of a map as the metrics have it. A young map says that its new holder has no grant
/// yet, an old one that the key has left its holder since.
const fn map_age(age_ms: u64) -> &'static str {
    match age_ms {
        0..100 => "map under 0.1 s old",
        100..1_000 => "map under 1 s old",
        1_000..10_000 => "map under 10 s old",
        _ => "map over 10 s old",
    }
}
