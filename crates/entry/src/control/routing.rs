//! Making the routing table from what the control thread knows.

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

/// What outlives one routing table.
#[derive(Debug, Default)]
pub(crate) struct RoutingCache {
    targets: HashMap<(Vm, SocketAddr), Arc<Target>>,
    services: HashMap<ServiceName, Arc<ServiceState>>,
}

/// What a routing table is made from.
pub(crate) struct Sources<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) text: &'a OperatorConfig,
    pub(crate) node: &'a Node,
    pub(crate) vms: &'a [VmRecord],
    pub(crate) drained: &'a BTreeSet<Vm>,
    /// The entries that share the targets' connections, with one to spare for one that joins.
    pub(crate) entries: usize,
}

/// Gathers targets while a table is made.
struct Builder<'a> {
    sources: &'a Sources<'a>,
    cache: &'a mut RoutingCache,
    arena: Arena<Arc<Target>>,
    indices: HashMap<(Vm, SocketAddr), Index<Arc<Target>>>,
}

impl RoutingCache {
    /// Makes a routing table.
    pub(crate) fn build(&mut self, sources: &Sources<'_>) -> Snapshot {
        let mut builder =
            Builder { sources, cache: self, arena: Arena::default(), indices: HashMap::new() };
        let mut routes = HashMap::new();
        for conf in &sources.text.services {
            let route = if conf.keyed.is_some() {
                builder.keyed_route(conf)
            } else {
                builder.unkeyed_route(conf)
            };
            let state = builder.state(conf);
            let dependencies = sources.text.transitive_dependencies(conf);
            let service = Service { conf: conf.clone(), dependencies, route, state };
            routes.insert(conf.name.clone(), Arc::new(service));
        }
        let Builder { arena, indices, .. } = builder;
        self.targets.retain(|key, _| indices.contains_key(key));
        self.services.retain(|name, _| routes.contains_key(name));
        Snapshot { services: routes, targets: arena }
    }
}

impl Builder<'_> {
    fn state(&mut self, conf: &services::Service) -> Arc<ServiceState> {
        let new_state = || Arc::new(ServiceState::new(conf));
        let state = self.cache.services.entry(conf.name.clone()).or_insert_with(new_state);
        if !state.is_compatible(conf) {
            *state = new_state();
        }
        Arc::clone(state)
    }

    fn target(
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
        target.set_limit(connections / self.sources.entries.max(1));
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
                .map(|target| self.target(conf, &target.vm, &row.name.zone, target.address))
                .collect();
            for slot in &row.slots {
                let owner = slot.owner.and_then(|at| targets.get(at as usize));
                if let (Some(target), Some(entry)) =
                    (owner, owners.get_mut(slot.shard.get() as usize))
                {
                    *entry = Some(Owner { target: *target, fence: slot.fence });
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
            .map(|record| self.target(conf, &record.vm, &record.zone, record.address))
            .collect();
        Route::Any(targets)
    }
}
