//! The routing table that traffic reads. It is immutable and replaced as a whole.

use {
    crate::traffic::{service::ServiceState, target::Target},
    conf::services,
    key::{
        Fence, Service as ServiceName, Shard,
        arena::{Arena, Index},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// The target that owns a shard, with its fencing token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Owner {
    pub(crate) target: Index<Arc<Target>>,
    pub(crate) fence: Fence,
}

/// How the requests of a service are routed.
#[derive(Debug)]
pub(crate) enum Route {
    /// By key, to the owner of each shard.
    Keyed(Vec<Option<Owner>>),
    /// To any of the targets.
    Any(Vec<Index<Arc<Target>>>),
}

/// The part of the routing table for one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) conf: services::Service,
    /// The services that this one depends on, directly or through others.
    pub(crate) dependencies: HashSet<ServiceName>,
    pub(crate) route: Route,
    pub(crate) state: Arc<ServiceState>,
}

impl Service {
    /// Returns true if no target can serve any request of the service.
    pub(crate) fn is_vacant(&self) -> bool {
        match &self.route {
            Route::Keyed(owners) => owners.iter().all(Option::is_none),
            Route::Any(targets) => targets.is_empty(),
        }
    }

    /// Returns the owner of a shard, if it has one.
    pub(crate) fn owner(&self, shard: Shard) -> Option<Owner> {
        match &self.route {
            Route::Keyed(owners) => owners.get(shard.get() as usize).copied().flatten(),
            Route::Any(_) => None,
        }
    }
}

/// The routing table: all services and their targets.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) services: HashMap<ServiceName, Arc<Service>>,
    pub(crate) targets: Arena<Arc<Target>>,
}

impl Snapshot {
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(&ServiceName::from(name))
    }
}
