//! Which targets are cold by their registration, for the data path.

use {
    super::State,
    crate::{snapshot::TargetPool, traffic::warming},
    conf::routing::Routing,
    key::{Service, Vm, clock::Tick},
    limit::{Candidate, Coordinators, Registered},
    std::{collections::HashMap, time::Duration},
};

impl State {
    /// Tells the data path which targets are cold; to be called before a snapshot brings a target
    /// that is new.
    pub(super) fn update_warmups(&self, now: Tick) {
        let Some(routing) = self.routing.routing() else { return };
        if slow_services(routing).next().is_none() {
            return;
        }
        let is_concerned = |service: &Service| {
            routing.service(service).is_some_and(|one| one.slow_start.is_some())
        };
        let concerned = self
            .registry
            .targets()
            .filter(|target| target.is_registered() && is_concerned(&target.registration.service));
        let registered = concerned.map(|target| Registered {
            instance: target.registration.instance(),
            cold_until: target.cold_until(),
            written_at: target.written_at(),
        });
        let became_cold = self.shared.warmups().update(registered, now);
        for vm in became_cold {
            warming::log(&self.shared, vm.as_str(), "registered cold");
        }
    }

    /// Forgets targets that are warm.
    pub(super) fn expire_warmups(&self, now: Tick) {
        let mut warmups = self.shared.warmups();
        if !warmups.is_empty() {
            warmups.expire(|vm: &Vm| self.registry.get(vm).is_some(), now);
        }
        let count = warmups.cold_count(now);
        drop(warmups);
        self.shared.counters.set("cold_targets", count as u64);
    }

    /// Returns the entries among which each entry finds the coordinators of cold targets.
    pub(super) fn coordinators(&self) -> Coordinators {
        let members = self.members.iter();
        let candidates: Vec<Candidate> = members
            .map(|(vm, member)| Candidate {
                vm: vm.clone(),
                address: member.address,
                power: member.power,
            })
            .collect();
        Coordinators::new(&candidates)
    }
}

/// Returns the services whose targets have a slow start.
fn slow_services(routing: &Routing) -> impl Iterator<Item = &Service> {
    let slow = routing.services.iter().filter(|service| service.slow_start.is_some());
    slow.map(|service| &service.name)
}

/// Returns the usual latency of each service whose targets have a slow start: the median of those of
/// its targets.
pub(super) fn usual_latencies(
    routing: Option<&Routing>,
    pool: &TargetPool,
) -> HashMap<Service, Duration> {
    let mut usual = HashMap::new();
    for service in routing.into_iter().flat_map(slow_services) {
        let of_service = pool.iter().filter(|target| target.service == *service);
        let mut latencies: Vec<Duration> =
            of_service.filter_map(|target| target.learned_latency()).collect();
        latencies.sort_unstable();
        if let Some(median) = latencies.get(latencies.len() / 2) {
            usual.insert(service.clone(), *median);
        }
    }
    usual
}
