//! The keys that are about to leave their holders, as traffic reads them.
//!
//! They change with every release, so they are apart from the snapshot: an announcement replaces the
//! moves of one service and no other state. Module `hold::moves` says what they are for.

use {
    arc_swap::ArcSwap,
    hold::{Instance, Moves, moves::Announcement},
    key::{Service, clock::Tick},
    std::{collections::HashMap, sync::Arc},
};

/// The announced moves of all services.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    services: ArcSwap<HashMap<Service, Moves>>,
}

impl Announced {
    /// Replaces the moves of a service by those of a later announcement. Only the control thread calls
    /// this.
    pub(crate) fn apply(&self, service: &Service, announcement: Announcement, now: Tick) {
        let mut services = HashMap::clone(&self.services.load());
        if services.entry(service.clone()).or_default().apply(announcement, now) {
            self.services.store(Arc::new(services));
        }
    }

    /// Returns true if a key is about to leave its holder.
    pub(crate) fn is_leaving(&self, service: &Service, key: u16, holder: &Instance) -> bool {
        let services = self.services.load();
        services.get(service).is_some_and(|moves| moves.is_leaving(key, holder, Tick::now()))
    }
}
