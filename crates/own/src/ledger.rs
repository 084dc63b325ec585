//! The last possible end of the leases that this process granted.

use {
    crate::cell,
    key::{Vm, clock::Tick},
    std::{collections::HashMap, time::Duration},
};

/// The last possible end of every lease that may still be in force.
///
/// The ledger is kept across changes of role, because a lease stays in force after its sender has
/// lost the permission to grant another.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    ends: HashMap<cell::Name, HashMap<Vm, Tick>>,
}

impl Ledger {
    /// Records that a lease of `vm` may be in force until `end`.
    pub(crate) fn extend(&mut self, cell: &cell::Name, vm: &Vm, end: Tick) {
        let ends = self.ends.entry(cell.clone()).or_default();
        let latest = ends.entry(vm.clone()).or_default();
        *latest = end.max(*latest);
    }

    /// Removes the leases of `vm`, whose process is proved to have ended.
    pub(crate) fn remove(&mut self, cell: &cell::Name, vm: &Vm) {
        if let Some(ends) = self.ends.get_mut(cell) {
            ends.remove(vm);
        }
    }

    /// Returns the last possible end of a lease of `vm`.
    pub(crate) fn latest_end(&self, cell: &cell::Name, vm: &Vm) -> Tick {
        self.ends.get(cell).and_then(|ends| ends.get(vm)).copied().unwrap_or_default()
    }

    /// Returns how long a lease of `vm`, or of any target of the cell if `None`, may stay in force.
    pub(crate) fn remaining(&self, cell: &cell::Name, vm: Option<&Vm>, now: Tick) -> Duration {
        let end = match vm {
            Some(vm) => self.latest_end(cell, vm),
            None => self
                .ends
                .get(cell)
                .and_then(|ends| ends.values().max().copied())
                .unwrap_or_default(),
        };
        end.since(now)
    }
}
