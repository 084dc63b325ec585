//! Choosing the service and the target of a request.

use {
    crate::{shared::Shared, snapshot::Snapshot, traffic::target::Target},
    conf::routing::{Route, WeightedService},
    key::{Service, Zone},
    std::sync::Arc,
};

/// How much longer an answer from another zone may be expected to take before the own zone is
/// preferred no more, as a factor.
const OTHER_ZONE_COST_FACTOR: f64 = 1.15;

/// The targets that are compared for one request.
const COMPARED_TARGETS: usize = 3;

/// Returns the service of a request by the weights of the route's parts; `draw` is from 0 to 1.
pub(crate) fn choose_service(route: &Route, draw: f64) -> Option<&Service> {
    let total: u32 = route.parts.iter().map(|part| part.weight).sum();
    let mut remaining = draw * f64::from(total);
    let contains_point = |part: &&WeightedService| {
        remaining -= f64::from(part.weight);
        remaining < 0.0
    };
    route.parts.iter().find(contains_point).or(route.parts.last()).map(|part| &part.service)
}

/// Returns the target of a service without keys that is expected to answer first among some drawn
/// at random; `tried` are passed over while there are others.
pub(crate) fn choose_unkeyed(
    shared: &Shared,
    snapshot: &Snapshot,
    service: &Service,
    tried: &[Arc<Target>],
) -> Option<Arc<Target>> {
    let ready = snapshot.ready.get(service)?;
    let is_untried =
        |target: &&Arc<Target>| !tried.iter().any(|previous| Arc::ptr_eq(previous, target));
    let mut candidates: Vec<&Arc<Target>> =
        ready.iter().filter(is_untried).filter(|target| !target.is_deprioritized()).collect();
    if candidates.is_empty() {
        candidates = ready.iter().filter(|target| !target.is_unreachable()).collect();
    }
    if candidates.is_empty() {
        candidates = ready.iter().collect();
    }
    let compared = COMPARED_TARGETS.min(candidates.len());
    for index in 0..compared {
        let other = rand::random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    let cost_of = |target: &Arc<Target>| expected_cost(target, &shared.settings.zone);
    let cheapest = candidates[..compared].iter().min_by(|a, b| cost_of(a).total_cmp(&cost_of(b)));
    cheapest.map(|target| Arc::clone(target))
}

fn expected_cost(target: &Target, zone: &Zone) -> f64 {
    let factor = if target.zone == *zone { 1.0 } else { OTHER_ZONE_COST_FACTOR };
    target.expected_latency().as_secs_f64() * factor
}
