//! The pool of connections over which grants are sent.
//!
//! A connection may have closed because its target's process ended. A grant over a new connection
//! would then reach a later instance of the target. So a connection is never replaced silently: its
//! end is reported once, as a failure, and the planner gives the target's keys a new fence before
//! it sends a grant over a new connection.

use {crate::map::Instance, std::collections::HashMap};

/// How the next grants to a target are sent.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<C> {
    /// Over the connection of the earlier grants.
    Reuse(C),
    /// Over a new connection.
    Connect,
    /// Not at all: the connection has closed.
    Closed,
}

/// The idle connections, at most one for each instance.
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
    /// Removes the connection to an instance from the pool for use. `is_open` reports whether it is
    /// still open.
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

    /// Removes the idle connections that have closed, and returns their instances.
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

    /// Puts a connection back into the pool.
    pub fn check_in(&mut self, instance: &Instance, connection: C) {
        self.idle.insert(instance.clone(), connection);
    }

    /// Drops the connections to instances that hold no keys.
    pub fn retain(&mut self, is_holder: impl Fn(&Instance) -> bool) {
        self.idle.retain(|instance, _| is_holder(instance));
    }
}
