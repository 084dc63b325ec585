//! The connections over which targets get grants.
//!
//! A connection that ended may mean that its target's process did. A grant over a new connection
//! would then reach another run of the target. So a connection is never replaced silently: its end is
//! reported once, as a failure, and the planner gives the target's keys a new fence before any grant
//! goes out over a new connection.

use {crate::map::Instance, std::collections::HashMap};

/// How the next grants reach a target.
#[derive(Debug, PartialEq, Eq)]
pub enum Way<L> {
    /// Over the connection that it was granted keys on before.
    Open(L),
    /// Over a new connection.
    Fresh,
    /// Not at all: the connection has ended.
    Ended,
}

/// The connections to all runs of targets.
#[derive(Debug)]
pub struct Links<L> {
    idle: HashMap<Instance, L>,
}

impl<L> Default for Links<L> {
    fn default() -> Self {
        Self { idle: HashMap::new() }
    }
}

impl<L> Links<L> {
    /// Takes the connection to a target for use; `is_open` tells whether it still stands.
    pub fn take(&mut self, instance: &Instance, is_open: impl FnOnce(&L) -> bool) -> Way<L> {
        match self.idle.remove(instance) {
            Some(link) if is_open(&link) => Way::Open(link),
            Some(_) => Way::Ended,
            None => Way::Fresh,
        }
    }

    /// Takes away the connections that have ended while nobody used them, and returns whose they were.
    pub fn take_ended(&mut self, is_open: impl Fn(&L) -> bool) -> Vec<Instance> {
        let ended: Vec<Instance> = self
            .idle
            .iter()
            .filter(|(_, link)| !is_open(link))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &ended {
            self.idle.remove(instance);
        }
        ended
    }

    /// Gives a connection back.
    pub fn give_back(&mut self, instance: &Instance, link: L) {
        self.idle.insert(instance.clone(), link);
    }

    /// Drops the connections to runs that hold no keys.
    pub fn retain(&mut self, holds: impl Fn(&Instance) -> bool) {
        self.idle.retain(|instance, _| holds(instance));
    }
}
