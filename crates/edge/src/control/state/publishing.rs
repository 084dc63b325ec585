//! Building the snapshot that traffic reads.

use {
    super::{State, warming::usual_latencies},
    crate::{
        control::records::Member,
        snapshot::{Holders, Relay, Snapshot},
        traffic::target::Target,
    },
    hold::{
        Instance, Registration,
        map::Holder,
        registry::{Availability, State as RegistrationState},
    },
    key::{Service, Vm, clock::Tick},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// The number of other entries that an entry may pass requests on to; the most powerful ones.
const MAX_RELAY_CANDIDATES: usize = 24;

/// The slots assumed for a target that is known only from a map.
const ASSUMED_SLOTS: u32 = 2;

/// The number of entries assumed until the table of entries has been read.
const ASSUMED_ENTRIES: usize = 32;

impl State {
    /// Publishes a snapshot of the current state.
    pub(super) fn publish(&mut self, now: Tick) {
        self.dirty = false;
        self.update_readers();
        // The data path must know that a target is cold before it can choose it.
        self.update_warmups(now);
        let source = self.shared.settings.source;
        let mut snapshot = Snapshot {
            entries: self.entries_sharing_limits(),
            coordinators: self.coordinators(),
            usual_latencies: usual_latencies(self.routing.routing().map(AsRef::as_ref), &self.pool),
            ..Snapshot::default()
        };
        let mut ready: HashMap<_, Vec<Arc<Target>>> = HashMap::new();
        for registered in self.registry.targets() {
            if self.registry.availability(registered, now) == Availability::Ready {
                let target =
                    self.pool.get_or_insert_with(&registered.registration.instance(), || {
                        let usual = snapshot.usual_latencies.get(&registered.registration.service);
                        Target::new(&registered.registration, source).expecting(usual.copied())
                    });
                ready.entry(registered.registration.service.clone()).or_default().push(target);
            }
        }
        snapshot.ready = ready;
        snapshot.evacuated = self.evacuated_services(now);
        for (service, map) in self.maps.clone() {
            let usable_registration = |holder: &Holder| {
                let Some(registered) = self.registry.get(&holder.instance.vm) else {
                    return (!self.registry.is_complete(now))
                        .then(|| registration_of_holder(&service, holder));
                };
                let is_same_instance = registered.registration.instance() == holder.instance;
                is_same_instance.then(|| registered.registration.clone())
            };
            let registrations: Vec<Option<Registration>> =
                map.holders.iter().map(usable_registration).collect();
            let to_target = |registration: Option<Registration>| {
                let registration = registration?;
                let target = self.pool.get_or_insert_with(&registration.instance(), || {
                    let usual = snapshot.usual_latencies.get(&registration.service);
                    Target::new(&registration, source).expecting(usual.copied())
                });
                Some(target)
            };
            let targets = registrations.into_iter().map(to_target).collect();
            let learned_at = self.maps_learned_at.get(&service).copied().unwrap_or(now);
            snapshot.holders.insert(service, Holders { map, learned_at, targets });
        }
        // Requests that were on their way to a target before it left are sent only until it closes,
        // whether the snapshot still names it or not.
        for target in self.pool.iter() {
            let leaving = self.closes_at(&target.instance, now);
            let closes_at = leaving.into_iter().chain(self.evacuated_at(&target.zone)).min();
            target.condition.set_closing_time(closes_at);
        }
        snapshot.relays = self.relays();
        snapshot.routing = self.routing.routing().cloned();
        self.shared.publish(snapshot);
        self.pool.retain_used();
        self.relays.retain_used();
    }

    /// Returns the other entries that pass requests on. In a large fleet a few are enough, and each
    /// entry has others.
    fn relays(&mut self) -> Vec<Relay> {
        let own_vm = self.me.vm.as_str();
        let mut candidates: Vec<(u64, &Vm, &Member, SocketAddr)> = self
            .members
            .iter()
            .filter(|(vm, _)| vm.as_str() != own_vm)
            .filter_map(|(vm, member)| {
                let weight = key::rendezvous_weight(own_vm, vm.as_str());
                Some((weight, vm, member, member.relay?))
            })
            .collect();
        candidates.sort_by(|a, b| b.2.power.total_cmp(&a.2.power).then(a.0.cmp(&b.0)));
        candidates.truncate(MAX_RELAY_CANDIDATES);
        let to_relay = |(_, vm, member, address): (u64, &Vm, &Member, SocketAddr)| {
            let registration = registration_of_entry(vm, member, address);
            let entry = self
                .relays
                .get_or_insert_with(&registration.instance(), || Target::new(&registration, None));
            Relay { entry, power: member.power }
        };
        candidates.into_iter().map(to_relay).collect()
    }

    /// Returns the number of entries that share a limit. Counting too few of them would let this
    /// entry use more than its share. So every entry that has a row counts, and a high number is
    /// assumed until the rows have been read.
    pub(super) fn entries_sharing_limits(&self) -> usize {
        if self.entries_read { self.entry_count.max(self.members.len()) } else { ASSUMED_ENTRIES }
    }

    /// Returns the time from which a target gets no more requests, if it is leaving. Until then it
    /// may still get some, while its keys are reassigned.
    fn closes_at(&self, instance: &Instance, now: Tick) -> Option<Tick> {
        let registered = self.registry.get(&instance.vm)?;
        if registered.registration.instance() != *instance {
            return None;
        }
        match self.registry.availability(registered, now) {
            Availability::Ready | Availability::Evacuated => None,
            Availability::Leaving(since) => Some(since.plus(self.shared.leaving_span())),
        }
    }
}

/// Returns a registration with which another entry is connected to as a target is.
fn registration_of_entry(vm: &Vm, member: &Member, address: SocketAddr) -> Registration {
    Registration {
        vm: vm.clone(),
        started_at_ms: member.incarnation.get(),
        service: Service::from(""),
        address,
        zone: member.zone.clone(),
        slots: ASSUMED_SLOTS,
        state: RegistrationState::Ready,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}

/// Returns a registration, made from the map, for a holder that has not appeared in the registry
/// yet.
fn registration_of_holder(service: &Service, holder: &Holder) -> Registration {
    Registration {
        vm: holder.instance.vm.clone(),
        started_at_ms: holder.instance.started_at_ms,
        service: service.clone(),
        address: holder.address,
        zone: holder.zone.clone(),
        slots: ASSUMED_SLOTS,
        state: RegistrationState::Ready,
        warmup_remaining_ms: 0,
        sequence: 0,
    }
}
