//! Choosing the service of a request, and the target for a service without keys.
//!
//! Only a few targets, drawn at random, are compared by their expected latency. If every entry
//! compared all of them, many requests could go to the same target at once.

use {
    crate::{
        shared::Shared,
        snapshot::Snapshot,
        traffic::{attempt::Call, reported, target::Target, warming},
    },
    conf::routing::{Route, WeightedService},
    key::{Service, Zone, clock::Tick},
    route::{
        backpressure::Intake,
        load::selection::{self, Candidate},
    },
    std::sync::Arc,
};

/// The factor on the expected latency of a target in another zone. A target in the own zone is
/// preferred until its latency is higher by this factor.
const OTHER_ZONE_COST_FACTOR: f64 = 1.15;

/// The number of targets that are compared for one request.
const COMPARED_TARGETS: usize = 3;

/// Returns the service of a request by the weights of the route's parts; `draw` is a random number
/// from 0 to 1.
pub(crate) fn choose_service(route: &Route, draw: f64) -> Option<&Service> {
    let total: u32 = route.parts.iter().map(|part| part.weight).sum();
    let mut remaining = draw * f64::from(total);
    let contains_point = |part: &&WeightedService| {
        remaining -= f64::from(part.weight);
        remaining < 0.0
    };
    route.parts.iter().find(contains_point).or(route.parts.last()).map(|part| &part.service)
}

/// Returns the target with the lowest expected cost among a few drawn at random. Targets in `tried`
/// and those in a back-off are drawn only if there are no others, unreachable ones only if all are.
/// A target with a rate limit that has not been heard for a while goes first, since only an answer
/// shows that its limit is over. `is_refused` says that the request got no permit from a target.
pub(crate) fn choose_unkeyed(
    shared: &Shared,
    snapshot: &Snapshot,
    service: &Service,
    tried: &[Arc<Target>],
    call: &Call,
    is_refused: bool,
) -> Option<Arc<Target>> {
    let ready = snapshot.ready.get(service)?;
    let (now, entries) = (Tick::now(), snapshot.entries);
    let limits = shared.limits();
    let is_untried =
        |target: &&Arc<Target>| !tried.iter().any(|previous| Arc::ptr_eq(previous, target));
    let mut candidates: Vec<&Arc<Target>> = ready
        .iter()
        .filter(is_untried)
        .filter(|target| !target.condition.is_unreachable())
        .filter(|target| {
            let is_over_limit = limits.is_avoided(&target.instance, now);
            target.condition.intake(target.in_flight(), is_over_limit) == Intake::Any
        })
        .collect();
    let needs_trickle =
        |target: &&&Arc<Target>| limits.needs_trickle(&target.instance, entries, now);
    if let Some(target) = candidates.iter().find(needs_trickle) {
        return Some(Arc::clone(target));
    }
    drop(limits);
    if candidates.is_empty() {
        candidates = admitting(ready).filter(|target| !target.condition.is_unreachable()).collect();
    }
    if candidates.is_empty() {
        candidates = admitting(ready).collect();
    }
    warming::narrow(shared, &mut candidates, is_refused, rand::random());
    // Targets that leave by their own word are no longer among `ready` once the control thread
    // knows.
    candidates.retain(|target| !target.condition.is_closed());
    if let Some(target) = choose_by_load(shared, service, &mut candidates, call) {
        return Some(target);
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

/// Returns the target to send to by the load that targets report: among a few of each zone drawn at
/// random, and besides those known to be full while there are others. Returns `None` if no target
/// reports its load.
fn choose_by_load(
    shared: &Shared,
    service: &Service,
    candidates: &mut [&Arc<Target>],
    call: &Call,
) -> Option<Arc<Target>> {
    let usual = shared.news.usual(service);
    usual.work_s()?;
    candidates.sort_by_key(|target| target.zone != shared.settings.zone);
    let own = candidates.partition_point(|target| target.zone == shared.settings.zone);
    let draw = |count| rand::random_range(0..count);
    for zone in <[_; 2]>::from(candidates.split_at_mut(own)) {
        selection::draw_to_front(zone, selection::COMPARED, draw);
    }
    let is_short = |target: &Target| reported::shortage_at(target, &usual, call, 0).is_some();
    let others = (own..candidates.len()).take(selection::COMPARED);
    let drawn: Vec<usize> = (0..own).take(selection::COMPARED).chain(others).collect();
    let mut compared: Vec<&Arc<Target>> = drawn.iter().map(|index| candidates[*index]).collect();
    compared.retain(|target| !is_short(target));
    if compared.is_empty() {
        compared.extend(candidates.iter().filter(|target| !is_short(target)));
        selection::draw_to_front(&mut compared, selection::COMPARED, draw);
        compared.truncate(selection::COMPARED);
    }
    if compared.is_empty() {
        compared.extend(drawn.iter().map(|index| candidates[*index]));
    }
    let candidate = |target: &&Arc<Target>| {
        let is_own_zone = target.zone == shared.settings.zone;
        match reported::estimate(target, &usual) {
            Some(estimate) => Candidate::new(&estimate, is_own_zone),
            None => Candidate {
                time_s: target.expected_latency().as_secs_f64(),
                uncertainty: 0.0,
                waits: false,
                is_own_zone,
            },
        }
    };
    let estimates: Vec<Candidate> = compared.iter().map(candidate).collect();
    let chosen = selection::select(&estimates, rand::random::<f64>)?;
    compared.get(chosen).map(|target| Arc::clone(target))
}

/// Returns the targets that take a request, if only for lack of others.
fn admitting(ready: &[Arc<Target>]) -> impl Iterator<Item = &Arc<Target>> {
    ready.iter().filter(|target| target.condition.intake(target.in_flight(), false).admits())
}

/// Returns the expected latency in seconds, weighted by zone.
fn expected_cost(target: &Target, zone: &Zone) -> f64 {
    let factor = if target.zone == *zone { 1.0 } else { OTHER_ZONE_COST_FACTOR };
    target.expected_latency().as_secs_f64() * factor
}
