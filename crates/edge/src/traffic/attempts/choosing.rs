//! Which target gets the next attempt at a request, and whether any may.

use {
    super::{Attempts, TARGET_RETRY_INTERVAL},
    crate::{
        permit::{
            self,
            cold::{self, Grant},
        },
        snapshot::Snapshot,
        traffic::{choose, target::Target},
    },
    key::clock::Tick,
    limit::{Permit, Request as PermitRequest},
    route::{Reason, Refusal},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The fraction of the route's latency objective for which a request waits for a holder of its key,
/// or for a ready target if the service has no keys.
const TARGET_WAIT_FRACTION: f64 = 0.4;

/// The longest delay by which callers of the highest priority are spread when they come back; each
/// priority below adds as much.
const RETURN_SPREAD: Duration = Duration::from_millis(80);

/// The part of the time until capacity is expected by which callers are spread in addition. The
/// longer that time, the more of them wait for it.
const SHORTAGE_SPREAD: f64 = 0.3;

/// The priority from which the spread grows no more.
const MAX_SPREAD_RANK: u32 = 3;

/// The time after which callers come back while every target of a service is in an evacuated
/// availability zone. An operator takes a zone back after minutes, so they find out with few requests.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A target to which the request may be sent.
pub(super) struct Permitted {
    pub(super) target: Arc<Target>,
    /// Until when, if the target is cold.
    pub(super) use_by: Option<Tick>,
}

impl Attempts<'_> {
    /// Returns the target of the next attempt, with a permit if it names a rate limit or is cold. A
    /// request that gets none goes to another target if the service has no keys, or else is refused.
    pub(super) async fn next_permitted_target(&mut self) -> Result<Permitted, Refusal> {
        const MAX_PERMIT_REQUESTS: usize = 3;
        if let Some(due_in) = self.deferred_for() {
            self.due_in = Some(due_in + self.spread());
            return Err(self.refusal(Reason::RateLimited));
        }
        if self.is_evacuated() {
            self.due_in = Some(EVACUATED_RETRY_AFTER + self.spread());
            return Err(self.refusal(Reason::Unreachable));
        }
        if let Some(due_in) = self.shortage() {
            let spread = due_in.mul_f64(SHORTAGE_SPREAD * rand::random::<f64>());
            self.due_in = Some(due_in + spread + self.spread());
            self.shared.counters.count("shed", self.admitted.service.as_str());
            return Err(self.refusal(Reason::Overloaded));
        }
        for index in 0..MAX_PERMIT_REQUESTS {
            let target = self.next_target().await?;
            // Without a warm target, the last request for a permit may wait for it.
            let has_other = !self.admitted.keyed && index + 1 < MAX_PERMIT_REQUESTS;
            let use_by = match self.acquire_cold(&target, has_other).await {
                Ok(use_by) => use_by,
                Err(due_in) => {
                    self.record_failure(&target, "cold");
                    let due_in = due_in + self.spread();
                    self.due_in = Some(self.due_in.map_or(due_in, |other| other.min(due_in)));
                    if !has_other {
                        break;
                    }
                    continue;
                }
            };
            let has_choice = !self.admitted.keyed
                && !self.shared.limits().is_avoided(&target.instance, Tick::now());
            let request = self.permit_request(has_choice);
            match permit::acquire(self.shared, &target.instance, request).await {
                Permit::After(wait) => {
                    time::sleep(wait).await;
                    return Ok(Permitted { target, use_by });
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

    /// Gets a permit for a target if it is cold or may be, and waits until it is due. Returns until
    /// when it may be used, or the time after which the next one is due.
    pub(super) async fn acquire_cold(
        &self,
        target: &Target,
        has_other: bool,
    ) -> Result<Option<Tick>, Duration> {
        let request = self.permit_request(has_other);
        let Grant { permit, use_by } = cold::acquire(self.shared, target, request).await;
        match permit {
            Permit::After(wait) => {
                if !wait.is_zero() {
                    time::sleep(wait).await;
                }
                Ok(use_by)
            }
            Permit::Refused(due_in) => {
                self.shared.warmups().avoid(&target.instance.vm, due_in, Tick::now());
                Err(due_in)
            }
        }
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

    /// Returns true if nothing may be sent to any target that could serve the request, since
    /// operators have evacuated their availability zones.
    fn is_evacuated(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        snapshot.evacuated.contains(&self.admitted.service)
            && self.choose_target(&snapshot).is_none()
    }

    /// Returns a random delay for the return of a refused caller, longer with a lower priority, so
    /// that callers do not come back all at once.
    fn spread(&self) -> Duration {
        let rank = f64::from(self.admitted.route.priority.min(MAX_SPREAD_RANK) + 1);
        RETURN_SPREAD.mul_f64(rank * rand::random::<f64>())
    }

    /// Returns how long the request can wait for a permit, and its priority. A request that has a
    /// choice of targets does not wait.
    pub(super) fn permit_request(&self, has_choice: bool) -> PermitRequest {
        let snapshot = self.shared.snapshot.load();
        let routes = snapshot.routing.iter().flat_map(|routing| &routing.routes);
        let competing = routes
            .filter(|route| route.parts.iter().any(|part| part.service == self.admitted.service));
        let highest = competing.map(|route| route.priority).min();
        let wait = self.admitted.route.objective().mul_f64(TARGET_WAIT_FRACTION);
        let wait = wait.saturating_sub(self.admitted.arrived_at.elapsed());
        let wait = wait.min(self.admitted.call.remaining());
        PermitRequest {
            max_wait: if has_choice { Duration::ZERO } else { wait },
            is_urgent: highest.is_none_or(|highest| self.admitted.route.priority <= highest),
        }
    }

    /// Returns the target of the next attempt. Waits up to a fraction of the latency objective for
    /// one that can be used, and no longer than the deadline.
    async fn next_target(&self) -> Result<Arc<Target>, Refusal> {
        let wait = self.admitted.route.objective().mul_f64(TARGET_WAIT_FRACTION);
        let wait_until = (self.admitted.arrived_at + wait).min(self.admitted.call.deadline);
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
                let service = &self.admitted.service;
                snapshot.holder(service, key).filter(|target| {
                    !self.shared.moves.is_leaving(service, key, &target.instance)
                        && !target.condition.is_unreachable()
                        && !target.condition.has_denied(key, map_version)
                        && target.condition.intake(target.in_flight(), false).admits()
                })
            }
            _ => {
                let Self { shared, admitted, tried, .. } = self;
                let is_refused = self.due_in.is_some();
                let (service, call) = (&admitted.service, &admitted.call);
                choose::choose_unkeyed(shared, snapshot, service, tried, call, is_refused)
            }
        }
    }
}
