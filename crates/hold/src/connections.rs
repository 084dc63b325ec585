//! The connections over which targets get grants.
//!
//! A connection that ended may mean that its target's process did. A grant over a new connection
//! would then reach another run of the target. So a connection is never replaced silently: its end is
//! reported once, as a failure, and the planner gives the target's keys a new fence before any grant
//! goes out over a new connection.

use {crate::map::Instance, std::collections::HashMap};

/// How the next grants reach a target.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<C> {
    /// Over the connection that it was granted keys on before.
    Reuse(C),
    /// Over a new connection.
    Connect,
    /// Not at all: the connection has ended.
    Closed,
}

/// The connections to all runs of targets.
#[derive(Debug)]
pub struct Connections<C> {
    idle: HashMap<Instance, C>,
}

impl<C> Default for Connections<C> {
    fn default() -> Self {
        Self { idle: HashMap::new() }
    }
}

impl<C> Connections<C> {
    /// Takes the connection to a target for use; `is_open` tells whether it still stands.
    pub fn check_out(
        &mut self,
        instance: &Instance,
        is_open: impl FnOnce(&C) -> bool,
    ) -> Checkout<C> {
        match self.idle.remove(instance) {
            Some(connection) if is_open(&connection) => Checkout::Reuse(connection),
            Some(_) => Checkout::Closed,
            None => Checkout::Connect,
        }
    }

    /// Takes away the connections that have ended while nobody used them, and returns whose they were.
    pub fn remove_closed(&mut self, is_open: impl Fn(&C) -> bool) -> Vec<Instance> {
        let closed: Vec<Instance> = self
            .idle
            .iter()
            .filter(|(_, connection)| !is_open(connection))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &closed {
            self.idle.remove(instance);
        }
        closed
    }

    /// Gives a connection back.
    pub fn check_in(&mut self, instance: &Instance, connection: C) {
        self.idle.insert(instance.clone(), connection);
    }

    /// Drops the connections to runs that hold no keys.
    pub fn retain(&mut self, holds: impl Fn(&Instance) -> bool) {
        self.idle.retain(|instance, _| holds(instance));
    }
}
