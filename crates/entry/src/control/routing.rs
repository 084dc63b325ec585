//! Builds the routing table from the state of the control thread.

use {
    crate::{
        shared::Shared,
        snapshot::{Owner, Route, Service, Snapshot},
        traffic::{
            service::ServiceState,
            target::{ConnectOptions, Target},
        },
    },
    conf::services::{self, OperatorConfig},
    key::{
        Service as ServiceName, Vm, Zone,
        arena::{Arena, Index},
    },
    own::Node,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
    store::vms::{VmRecord, VmState},
};

/// The targets and service states that are carried over from one routing table to the next.
///
/// Targets keep their connections that way, and services their counts and permits.
#[derive(Debug, Default)]
pub(crate) struct RoutingCache {
    targets: HashMap<(Vm, SocketAddr), Arc<Target>>,
    services: HashMap<ServiceName, Arc<ServiceState>>,
}

/// What a routing table is built from.
pub(crate) struct Sources<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) config: &'a OperatorConfig,
    pub(crate) node: &'a Node,
    pub(crate) vms: &'a [VmRecord],
    pub(crate) drained: &'a BTreeSet<Vm>,
    /// The number of entries that share the targets' connections, including a spare share for an
    /// entry that joins.
    pub(crate) entry_count: usize,
}

/// Collects the targets of a routing table while it is built.
struct SnapshotBuilder<'a> {
    sources: &'a Sources<'a>,
    cache: &'a mut RoutingCache,
    arena: Arena<Arc<Target>>,
    indices: HashMap<(Vm, SocketAddr), Index<Arc<Target>>>,
}

impl RoutingCache {
    /// Builds a routing table and drops what it no longer uses from the cache.
    pub(crate) fn build(&mut self, sources: &Sources<'_>) -> Snapshot {
        let mut builder = SnapshotBuilder {
            sources,
            cache: self,
            arena: Arena::default(),
            indices: HashMap::new(),
        };
        let mut services = HashMap::new();
        for conf in &sources.config.services {
            let route = if conf.keyed.is_some() {
                builder.keyed_route(conf)
            } else {
                builder.unkeyed_route(conf)
            };
            let state = builder.service_state(conf);
            let dependencies = sources.config.transitive_dependencies(conf);
            let service = Service { conf: conf.clone(), dependencies, route, state };
            services.insert(conf.name.clone(), Arc::new(service));
        }
        let SnapshotBuilder { arena, indices, .. } = builder;
        self.targets.retain(|key, _| indices.contains_key(key));
        self.services.retain(|name, _| services.contains_key(name));
        Snapshot { services, targets: arena }
    }
}

impl SnapshotBuilder<'_> {
    fn service_state(&mut self, conf: &services::Service) -> Arc<ServiceState> {
        let new_state = || Arc::new(ServiceState::new(conf));
        let state = self.cache.services.entry(conf.name.clone()).or_insert_with(new_state);
        if !state.is_compatible(conf) {
            *state = new_state();
        }
        Arc::clone(state)
    }

    fn target_index(
        &mut self,
        conf: &services::Service,
        vm: &Vm,
        zone: &Zone,
        address: SocketAddr,
    ) -> Index<Arc<Target>> {
        let key = (vm.clone(), address);
        if let Some(index) = self.indices.get(&key) {
            return *index;
        }
        let settings = &self.sources.shared.settings;
        let buffer_bytes = settings.traffic.buffer_bytes.get() as usize;
        let options = ConnectOptions { buffer_bytes, source: settings.source };
        let target = self
            .cache
            .targets
            .entry(key.clone())
            .or_insert_with(|| Target::new(vm.clone(), zone.clone(), address, options));
        let connections = conf.limits.connections.get() as usize;
        target.set_limit(connections / self.sources.entry_count.max(1));
        let index = self.arena.push(Arc::clone(target));
        self.indices.insert(key, index);
        index
    }

    fn keyed_route(&mut self, conf: &services::Service) -> Route {
        let shards = conf.keyed.as_ref().map_or(0, |keyed| keyed.shards.get() as usize);
        let mut owners = vec![None; shards];
        let node = self.sources.node;
        for (_, row) in node.rows().filter(|(_, row)| row.name.service == conf.name) {
            let targets: Vec<_> = row
                .targets
                .iter()
                .map(|target| self.target_index(conf, &target.vm, &row.name.zone, target.address))
                .collect();
            for slot in &row.slots {
                let owner = slot.owner.and_then(|index| targets.get(index as usize));
                if let (Some(target), Some(owner_entry)) =
                    (owner, owners.get_mut(slot.shard.get() as usize))
                {
                    *owner_entry = Some(Owner { target: *target, fence: slot.fence });
                }
            }
        }
        Route::Keyed(owners)
    }

    fn unkeyed_route(&mut self, conf: &services::Service) -> Route {
        let vms = self.sources.vms;
        let serving = vms.iter().filter(|record| {
            record.role == conf.name.as_str()
                && record.state == VmState::Live
                && !self.sources.drained.contains(&record.vm)
        });
        let serving: Vec<&VmRecord> = serving.collect();
        let targets = serving
            .into_iter()
            .map(|record| self.target_index(conf, &record.vm, &record.zone, record.address))
            .collect();
        Route::Any(targets)
    }
}
