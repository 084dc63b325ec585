//! Making the routing table from what the control thread knows.

use {
    crate::{
        shared::Shared,
        snapshot::{Owner, Route, Service, Snapshot},
        traffic::{
            service::Live,
            target::{Target, Way},
        },
    },
    conf::services::{self, OperatorConfig},
    key::{
        Service as Name, Vm, Zone,
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
pub(crate) struct Registry {
    targets: HashMap<(Vm, SocketAddr), Arc<Target>>,
    services: HashMap<Name, Arc<Live>>,
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
    registry: &'a mut Registry,
    arena: Arena<Arc<Target>>,
    known: HashMap<(Vm, SocketAddr), Index<Arc<Target>>>,
}

impl Registry {
    /// Makes a routing table.
    pub(crate) fn build(&mut self, sources: &Sources<'_>) -> Snapshot {
        let mut builder =
            Builder { sources, registry: self, arena: Arena::default(), known: HashMap::new() };
        let mut routes = HashMap::new();
        for conf in &sources.text.services {
            let route = if conf.keyed.is_some() { builder.keyed(conf) } else { builder.any(conf) };
            let live = builder.live(conf);
            let needs = sources.text.transitive_dependencies(conf);
            let service = Service { conf: conf.clone(), needs, route, live };
            routes.insert(conf.name.clone(), Arc::new(service));
        }
        let Builder { arena, known, .. } = builder;
        self.targets.retain(|key, _| known.contains_key(key));
        self.services.retain(|name, _| routes.contains_key(name));
        Snapshot { services: routes, targets: arena }
    }
}

impl Builder<'_> {
    fn live(&mut self, conf: &services::Service) -> Arc<Live> {
        let fresh = || Arc::new(Live::new(conf));
        let live = self.registry.services.entry(conf.name.clone()).or_insert_with(fresh);
        if !live.fits(conf) {
            *live = fresh();
        }
        Arc::clone(live)
    }

    fn target(
        &mut self,
        conf: &services::Service,
        vm: &Vm,
        zone: &Zone,
        address: SocketAddr,
    ) -> Index<Arc<Target>> {
        let key = (vm.clone(), address);
        if let Some(index) = self.known.get(&key) {
            return *index;
        }
        let settings = &self.sources.shared.settings;
        let buffer = settings.traffic.buffer_bytes.get() as usize;
        let way = Way { buffer, source: settings.source };
        let target = self
            .registry
            .targets
            .entry(key.clone())
            .or_insert_with(|| Target::new(vm.clone(), zone.clone(), address, way));
        let connections = conf.limits.connections.get() as usize;
        target.set_limit(connections / self.sources.entries.max(1));
        let index = self.arena.push(Arc::clone(target));
        self.known.insert(key, index);
        index
    }

    fn keyed(&mut self, conf: &services::Service) -> Route {
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

    fn any(&mut self, conf: &services::Service) -> Route {
        let vms = self.sources.vms;
        let serving = vms.iter().filter(|listed| {
            listed.role == conf.name.as_str()
                && listed.state == VmState::Live
                && !self.sources.drained.contains(&listed.vm)
        });
        let serving: Vec<&VmRecord> = serving.collect();
        let targets = serving
            .into_iter()
            .map(|listed| self.target(conf, &listed.vm, &listed.zone, listed.address))
            .collect();
        Route::Any(targets)
    }
}
