//! Chooses the target that gets keys without a holder.

use {
    super::{Planner, place::to_holder},
    crate::{
        balance::Load,
        map::{Assignment, Holder, Holdings, Instance, Map, Span},
        registry::Registry,
    },
    key::{Vm, clock::Tick},
    std::collections::HashMap,
};

/// The rate that all keys together weigh besides their requests, in requests per second, so that
/// the number of keys decides between targets with little load.
const RATE_OF_ALL_KEYS: f64 = 1.0;

/// A target that can get keys, and the rate of those that it has.
#[derive(Debug)]
struct Candidate {
    holder: Holder,
    slots: u32,
    rate: f64,
}

/// The targets that can get keys in one write of a map.
///
/// The loss of many targets leaves hundreds of spans without a holder at once. So the load of each
/// target is counted once, and then kept up with every span that is assigned.
#[derive(Debug)]
pub(super) struct Recipients<'a> {
    load: &'a Load,
    candidates: Vec<Candidate>,
    by_vm: HashMap<Vm, usize>,
}

impl<'a> Recipients<'a> {
    /// Collects the targets that are ready, respond and are not known to have ended, with what they
    /// hold according to `map`.
    pub(super) fn new(planner: &'a Planner, registry: &'a Registry, map: &Map, now: Tick) -> Self {
        let load = &planner.load;
        let holdings = Holdings::new(map);
        let usable = planner.ready_targets(registry, now).filter(|target| {
            let instance = target.registration.instance();
            !planner.is_unresponsive(&instance) && !planner.ended_instances.contains(&instance)
        });
        let candidates: Vec<Candidate> = usable
            .map(|target| {
                let holder = to_holder(target);
                let held = holdings.of(&holder.instance).iter();
                let rate = held.map(|assignment| weighted_rate(load, assignment.span)).sum();
                Candidate { holder, slots: target.registration.slots, rate }
            })
            .collect();
        let names = candidates.iter().map(|candidate| candidate.holder.instance.vm.clone());
        let by_vm = names.enumerate().map(|(index, vm)| (vm, index)).collect();
        Self { load, candidates, by_vm }
    }

    /// Returns the target that gets a span: the preferred one if it can be used, or else the
    /// previous holder if it has restarted, or else the one that will be least utilised.
    pub(super) fn choose(
        &self,
        preferred: Option<&Instance>,
        previous: Option<&Holder>,
        span: Span,
    ) -> Option<&Holder> {
        let preferred = preferred.and_then(|instance| {
            self.get(&instance.vm).filter(|known| known.instance == *instance)
        });
        // A target that has restarted under its name keeps the keys it had.
        let restarted = previous.and_then(|previous| {
            let later = self.get(&previous.instance.vm);
            later.filter(|later| later.instance.started_at_ms > previous.instance.started_at_ms)
        });
        preferred.or(restarted).or_else(|| self.least_utilised(span))
    }

    /// Records that a span goes from its previous holder to another one.
    pub(super) fn record(&mut self, span: Span, from: Option<&Assignment>, map: &Map, to: &Holder) {
        let rate = weighted_rate(self.load, span);
        let previous = from.and_then(|assignment| map.holder(assignment));
        if let Some(previous) = previous.and_then(|holder| self.by_vm.get(&holder.instance.vm)) {
            self.candidates[*previous].rate -= rate;
        }
        if let Some(next) = self.by_vm.get(&to.instance.vm) {
            self.candidates[*next].rate += rate;
        }
    }

    fn get(&self, vm: &Vm) -> Option<&Holder> {
        let index = self.by_vm.get(vm)?;
        Some(&self.candidates[*index].holder)
    }

    fn least_utilised(&self, span: Span) -> Option<&Holder> {
        let added = weighted_rate(self.load, span);
        let utilisation = |candidate: &Candidate| {
            let instance = &candidate.holder.instance;
            self.load.utilisation(instance, candidate.slots, candidate.rate + added)
        };
        let least = self.candidates.iter().min_by(|a, b| utilisation(a).total_cmp(&utilisation(b)));
        least.map(|candidate| &candidate.holder)
    }
}

/// Returns the rate of a span with the weight of its keys.
fn weighted_rate(load: &Load, span: Span) -> f64 {
    let share = f64::from(span.width()) / f64::from(Span::ALL.width());
    load.rate(span) + share * RATE_OF_ALL_KEYS
}
