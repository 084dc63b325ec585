//! Refusing at once what no target can answer in time, by the load that targets report.
//!
//! It addresses more requests than the targets can serve: a request that waits at a target for
//! longer than its caller does costs capacity and is worth nothing.

use {
    super::Attempts,
    crate::{snapshot::Snapshot, traffic::reported},
    route::load::capacity::LOWEST_RANK,
    std::time::Duration,
};

/// The weight of its own report from which the holder of a key is known to be full. What is usual
/// for its service says nothing of one holder.
const MIN_HOLDER_WEIGHT: f64 = 0.5;

impl Attempts<'_> {
    /// Returns after what time capacity for the request is expected, if no target that may get it
    /// can answer within the time left. A target that reports no load counts as able to.
    pub(super) fn shortage(&self) -> Option<Duration> {
        let snapshot = self.shared.snapshot.load();
        // The routes that compete are looked through only if the rank matters.
        self.shortage_for(&snapshot, LOWEST_RANK)?;
        self.shortage_for(&snapshot, self.rank(&snapshot))
    }

    fn shortage_for(&self, snapshot: &Snapshot, rank: usize) -> Option<Duration> {
        let (service, call) = (&self.admitted.service, &self.admitted.call);
        let usual = self.shared.news.usual(service);
        if let Some(key) = self.admitted.key.filter(|_| self.admitted.keyed) {
            let holder = snapshot.holder(service, key)?;
            let estimate = reported::estimate(&holder, &usual)?;
            let is_known = estimate.weight >= MIN_HOLDER_WEIGHT;
            let shortage = route::load::shortage(&estimate, call.remaining(), rank);
            return shortage.filter(|_| is_known).map(|shortage| shortage.due_in);
        }
        let ready = snapshot.ready.get(service)?;
        let mut soonest = None;
        for target in ready.iter().filter(|target| !target.condition.is_unreachable()) {
            let due_in = match target.condition.deferred_for() {
                Some(span) => span,
                None => reported::shortage_at(target, &usual, call, rank)?.due_in,
            };
            soonest = Some(soonest.map_or(due_in, |other: Duration| other.min(due_in)));
        }
        soonest
    }

    /// Returns how many other priorities of routes to the service are more urgent.
    fn rank(&self, snapshot: &Snapshot) -> usize {
        let (service, own) = (&self.admitted.service, self.admitted.route.priority);
        let routes = snapshot.routing.iter().flat_map(|routing| &routing.routes);
        let more_urgent = routes.filter(|route| {
            route.priority < own && route.parts.iter().any(|part| part.service == *service)
        });
        let mut priorities: Vec<u32> = more_urgent.map(|route| route.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        priorities.len()
    }
}
