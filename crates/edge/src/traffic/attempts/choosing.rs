//! Which target gets the next attempt at a request, and whether any may.

use {
    super::{Attempts, TARGET_RETRY_INTERVAL},
    crate::{
        permit,
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

impl Attempts<'_> {
    /// Returns the target of the next attempt, with a permit if it names a rate limit. A request
    /// that gets none goes to another target if the service has no keys, or else is refused.
    pub(super) async fn next_permitted_target(&mut self) -> Result<Arc<Target>, Refusal> {
        const MAX_PERMIT_REQUESTS: usize = 3;
        if let Some(due_in) = self.deferred_for() {
            self.due_in = Some(due_in + self.spread());
            return Err(self.refusal(Reason::RateLimited));
        }
        if let Some(due_in) = self.shortage() {
            let spread = due_in.mul_f64(SHORTAGE_SPREAD * rand::random::<f64>());
            self.due_in = Some(due_in + spread + self.spread());
            self.shared.counters.count("shed", self.admitted.service.as_str());
            return Err(self.refusal(Reason::Overloaded));
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
                        && target.condition.intake(target.in_flight(), false).admits()
                })
            }
            _ => {
                let Self { shared, admitted, tried, .. } = self;
                choose::choose_unkeyed(shared, snapshot, &admitted.service, tried, &admitted.call)
            }
        }
    }
}
