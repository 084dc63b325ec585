//! Choosing the service and the target of a request.

use {
    crate::{shared::Shared, snapshot::Snapshot, traffic::target::Target},
    conf::routing::{Route, WeightedService},
    key::{Service, Zone},
    std::sync::Arc,
};

/// How much longer an answer from another zone may be expected to take before the own zone is
/// preferred no more, as a factor.
const ZONE_PREFERENCE: f64 = 1.15;

/// The targets that are compared for one request.
const COMPARED: usize = 3;

/// Returns the service of a request by the weights of the route's parts; `draw` is from 0 to 1.
pub(crate) fn part(route: &Route, draw: f64) -> Option<&Service> {
    let total: u32 = route.parts.iter().map(|part| part.weight).sum();
    let mut point = draw * f64::from(total);
    let hit = |part: &&WeightedService| {
        point -= f64::from(part.weight);
        point < 0.0
    };
    route.parts.iter().find(hit).or(route.parts.last()).map(|part| &part.service)
}

/// Returns the target of a service without keys that is expected to answer first among some drawn
/// at random; `tried` are passed over while there are others.
pub(crate) fn any(
    shared: &Shared,
    snapshot: &Snapshot,
    service: &Service,
    tried: &[Arc<Target>],
) -> Option<Arc<Target>> {
    let ready = snapshot.ready.get(service)?;
    let is_fresh = |target: &&Arc<Target>| !tried.iter().any(|known| Arc::ptr_eq(known, target));
    let mut pool: Vec<&Arc<Target>> =
        ready.iter().filter(is_fresh).filter(|target| !target.is_passed_over()).collect();
    if pool.is_empty() {
        pool = ready.iter().filter(|target| !target.is_unreachable()).collect();
    }
    if pool.is_empty() {
        pool = ready.iter().collect();
    }
    let compared = COMPARED.min(pool.len());
    for at in 0..compared {
        let other = rand::random_range(at..pool.len());
        pool.swap(at, other);
    }
    let cost = |target: &Arc<Target>| cost(target, &shared.settings.zone);
    let best = pool[..compared].iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|target| Arc::clone(target))
}

fn cost(target: &Target, zone: &Zone) -> f64 {
    let factor = if target.zone == *zone { 1.0 } else { ZONE_PREFERENCE };
    target.expected().as_secs_f64() * factor
}
