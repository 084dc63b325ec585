//! The stored row of a cell: a group of targets in one availability zone and the shards they own.
//!
//! One row holds all shards of a cell, so a single write reassigns the shards of any number of lost
//! targets. The alternative, a row per shard, would need as many writes as a lost target had
//! shards; see docs/CAPACITY.md.

use {
    crate::Error,
    key::{Fence, Process, Service, Shard, Term, Vm, Zone},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// The prefix of the names of all cell rows in the table.
pub const ROW_PREFIX: &str = "control/cell/";

/// The name of a cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// The service that the shards of the cell belong to.
    pub service: Service,
    /// The availability zone of its targets.
    pub zone: Zone,
    /// The number of the cell among those of the service in the zone.
    pub index: u32,
}

impl Name {
    /// Returns the name of the cell's row in the table.
    #[must_use]
    pub fn row_name(&self) -> String {
        format!("{ROW_PREFIX}{self}")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}/{}", self.service, self.zone, self.index)
    }
}

/// A target of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The VM that the target runs on.
    pub vm: Vm,
    /// The address that the target listens on.
    pub address: SocketAddr,
}

/// The ownership of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The shard.
    pub shard: Shard,
    /// The owner as an index into [`Row::targets`], or `None` while the shard has no owner.
    pub owner: Option<u32>,
    /// The fencing token, which grows with each change of the owner.
    pub fence: Fence,
}

/// A declared intent to take over a cell whose availability zone seems cut off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverIntent {
    /// The process that intends to take over.
    pub by: Process,
}

/// The stored row of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the cell.
    pub name: Name,
    /// A number that grows with each change of the primary.
    pub term: Term,
    /// The process that renews leases and decides on owners.
    #[serde(rename = "guardian")]
    pub primary: Option<Process>,
    /// The processes that renew leases while the primary is unresponsive, in order of preference.
    #[serde(rename = "deputies")]
    pub standbys: Vec<Process>,
    /// Processes that were allowed to renew and are not yet proved to have stopped.
    pub former: Vec<Process>,
    /// The targets.
    pub targets: Vec<Target>,
    /// The shards of the cell, ordered by number.
    pub slots: Vec<Slot>,
    /// A declared intent to take over the cell.
    #[serde(rename = "closing")]
    pub failover_intent: Option<FailoverIntent>,
    /// A token drawn by the writer, by which it recognizes its own write when the reply was lost.
    pub token: u64,
}

impl Row {
    /// Returns a row without primary, targets or shards.
    #[must_use]
    pub const fn empty(name: Name) -> Self {
        Self {
            name,
            term: Term::ZERO,
            primary: None,
            standbys: Vec::new(),
            former: Vec::new(),
            targets: Vec::new(),
            slots: Vec::new(),
            failover_intent: None,
            token: 0,
        }
    }

    /// Decodes a row from its text in the table.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidRow`] if the text is not a valid row.
    pub fn decode(name: &str, text: &str) -> Result<Self, Error> {
        serde_json::from_str(text)
            .map_err(|error| Error::InvalidRow { name: name.to_owned(), detail: error.to_string() })
    }

    /// Encodes the row as text for the table.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns every process that may renew leases under this row.
    pub fn renewers(&self) -> impl Iterator<Item = &Process> {
        self.primary.iter().chain(&self.standbys).chain(&self.former)
    }

    /// Returns the index of a target in [`Row::targets`].
    #[must_use]
    pub fn position(&self, vm: &Vm) -> Option<u32> {
        self.targets.iter().position(|target| target.vm == *vm).map(|index| index as u32)
    }

    /// Returns the target that owns a shard.
    #[must_use]
    pub fn owner(&self, slot: &Slot) -> Option<&Target> {
        slot.owner.and_then(|index| self.targets.get(index as usize))
    }

    /// Returns the shards that a target owns, with their fences.
    #[must_use]
    pub fn shards_of(&self, vm: &Vm) -> Vec<(Shard, Fence)> {
        let position = self.position(vm);
        let owned = self.slots.iter().filter(|slot| slot.owner.is_some() && slot.owner == position);
        owned.map(|slot| (slot.shard, slot.fence)).collect()
    }

    /// Returns the shards that each target owns, in the order of [`Row::targets`].
    #[must_use]
    pub fn shards_by_target(&self) -> Vec<Vec<(Shard, Fence)>> {
        let mut by_target = vec![Vec::new(); self.targets.len()];
        for slot in &self.slots {
            let owned = slot.owner.and_then(|index| by_target.get_mut(index as usize));
            owned.into_iter().for_each(|owned| owned.push((slot.shard, slot.fence)));
        }
        by_target
    }

    /// Removes a target that owns nothing and adjusts the owners' indices.
    pub fn remove_target(&mut self, vm: &Vm) {
        let Some(removed) = self.position(vm) else { return };
        self.targets.remove(removed as usize);
        for slot in &mut self.slots {
            slot.owner = match slot.owner {
                Some(index) if index == removed => None,
                Some(index) if index > removed => Some(index - 1),
                unchanged => unchanged,
            };
        }
    }
}
