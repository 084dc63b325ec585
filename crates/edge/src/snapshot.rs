//! The immutable routing state that traffic reads, replaced as a whole.

use {
    crate::traffic::target::Target,
    conf::routing::Routing,
    hold::{Instance, Map},
    key::{Service, Version, clock::Tick},
    limit::Coordinators,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// The holders of a keyed service's keys.
#[derive(Debug)]
pub(crate) struct Holders {
    pub(crate) map: Arc<Map>,
    /// When this process learned of the map.
    pub(crate) learned_at: Tick,
    /// The targets of the map's holders, in their order; `None` where a target must get no
    /// requests.
    pub(crate) targets: Vec<Option<Arc<Target>>>,
}

/// Another entry that passes requests on.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    /// The entry, as the target of a connection.
    pub(crate) entry: Arc<Target>,
    /// The share of a core that it may use.
    pub(crate) power: f64,
}

/// Everything that traffic needs to route a request.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) routing: Option<Arc<Routing>>,
    /// The targets of each service that may get new requests.
    pub(crate) ready: HashMap<Service, Vec<Arc<Target>>>,
    pub(crate) holders: HashMap<Service, Holders>,
    /// The services whose targets are all in availability zones that are evacuated.
    pub(crate) evacuated: HashSet<Service>,
    /// The other entries that pass requests on while this one is isolated.
    pub(crate) relays: Vec<Relay>,
    /// The number of entries that share limits, this one included.
    pub(crate) entries: usize,
    /// The entries that give out the permits of cold targets.
    pub(crate) coordinators: Coordinators,
    /// The usual latency of each service whose targets have a slow start.
    pub(crate) usual_latencies: HashMap<Service, Duration>,
}

impl Snapshot {
    /// Returns the version of the routing configuration in force.
    pub(crate) fn routing_version(&self) -> Version {
        self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version)
    }

    /// Returns the version of a service's map.
    pub(crate) fn map_version(&self, service: &Service) -> Version {
        self.holders.get(service).map_or(Version::ZERO, |holders| holders.map.version)
    }

    /// Returns the target that holds a key, if it may get requests.
    pub(crate) fn holder(&self, service: &Service, key: u16) -> Option<Arc<Target>> {
        let holders = self.holders.get(service)?;
        let index = holders.map.assignment(key)?.holder?;
        holders.targets.get(usize::from(index)).cloned().flatten()
    }

    /// Returns true if requests can be routed, or refused since operators want nothing to be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.routing.is_some() && !(self.ready.is_empty() && self.evacuated.is_empty())
    }
}

/// The targets with their connections, which are kept from one snapshot to the next.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    targets: HashMap<Instance, Arc<Target>>,
}

impl TargetPool {
    /// Returns the target of an instance, and makes it if it is new.
    pub(crate) fn get_or_insert_with(
        &mut self,
        instance: &Instance,
        make: impl FnOnce() -> Target,
    ) -> Arc<Target> {
        Arc::clone(self.targets.entry(instance.clone()).or_insert_with(|| Arc::new(make())))
    }

    /// Removes every target that no snapshot uses.
    pub(crate) fn retain_used(&mut self) {
        self.targets.retain(|_, target| Arc::strong_count(target) > 1);
    }

    /// Returns every target.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }
}
