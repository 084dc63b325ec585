//! The decision log.

use {
    key::{Fence, Process, Service, Shard, Version, Vm, Zone},
    own::Decision,
    route::quarantine::Fingerprint,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The process was told to stop.
    Stopping,
    /// A decision about ownership.
    Ownership(Decision),
    /// A version of the operators' text came into force here.
    #[serde(rename = "in_force")]
    ConfigApplied {
        /// The version.
        version: Version,
    },
    /// An operator changed the operators' text.
    #[serde(rename = "configured")]
    ConfigAccepted {
        /// The new version.
        version: Version,
        /// Who changed it, as the operator says.
        by: String,
    },
    /// An operator asked for a target to be emptied, or no longer.
    Drained {
        /// The target.
        vm: Vm,
        /// Whether it is to be emptied.
        on: bool,
        /// Who asked, as the operator says.
        by: String,
    },
    /// An operator vouched that everything on a VM has ended.
    Vouched {
        /// The VM.
        vm: Vm,
        /// Who vouched, as the operator says.
        by: String,
    },
    /// A target was passed over because attempts at it failed.
    Ejected {
        /// The service.
        service: Service,
        /// The target.
        vm: Vm,
        /// The failures in a row.
        failures: u32,
    },
    /// A request that was in flight at several deaths of targets is refused from now on.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The service.
        service: Service,
    },
    /// The platform stopped answering, or answers again.
    #[serde(rename = "platform")]
    PlatformAvailability {
        /// Whether it answers.
        up: bool,
    },
}

/// One decision with its circumstances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The number of the record in its process.
    pub seq: u64,
    /// The wall clock of the VM in milliseconds since 1970, for people; nothing is decided by it.
    pub at_ms: u64,
    /// The process that decided.
    pub by: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The version of the operators' text in force there.
    pub config: Version,
    /// What was decided.
    pub kind: Kind,
}

/// Returns the wall clock in milliseconds since 1970.
#[must_use]
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// The newest records of one process, and those that wait to be shipped.
#[derive(Debug)]
pub struct DecisionLog {
    by: Process,
    zone: Zone,
    next: u64,
    kept: VecDeque<Record>,
    capacity: usize,
    shipped: u64,
}

impl DecisionLog {
    /// Returns an empty ring that keeps `capacity` records.
    #[must_use]
    pub fn new(by: Process, zone: Zone, capacity: usize) -> Self {
        Self { by, zone, next: 1, kept: VecDeque::new(), capacity: capacity.max(1), shipped: 0 }
    }

    /// Adds a record, dropping the oldest one where there is no room.
    pub fn push(&mut self, config: Version, kind: Kind) -> &Record {
        if self.kept.len() == self.capacity {
            self.kept.pop_front();
        }
        let record = Record {
            seq: self.next,
            at_ms: wall_clock_ms(),
            by: self.by.clone(),
            zone: self.zone.clone(),
            config,
            kind,
        };
        self.next += 1;
        let at = self.kept.len();
        self.kept.push_back(record);
        &self.kept[at]
    }

    /// Returns the records from the oldest kept to the newest.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.kept.iter()
    }

    /// Returns the records that have not been shipped, at most `limit`.
    #[must_use]
    pub fn unshipped(&self, limit: usize) -> Vec<Record> {
        self.kept.iter().filter(|record| record.seq > self.shipped).take(limit).cloned().collect()
    }

    /// Notes that the records up to `seq` are in the object store.
    pub fn mark_shipped(&mut self, seq: u64) {
        self.shipped = self.shipped.max(seq);
    }

    /// Returns how many records were dropped before they could be shipped.
    #[must_use]
    pub fn dropped_records(&self) -> u64 {
        let oldest = self.kept.front().map_or(self.next, |record| record.seq);
        oldest.saturating_sub(self.shipped + 1)
    }
}

/// Tells whether a record concerns a shard of a cell or its owner.
#[must_use]
pub fn is_about(record: &Record, shard: Shard, owner: Option<&Vm>, in_cell: &str) -> bool {
    let Kind::Ownership(decision) = &record.kind else {
        return match &record.kind {
            Kind::Drained { vm, .. } | Kind::Vouched { vm, .. } | Kind::Ejected { vm, .. } => {
                Some(vm) == owner
            }
            _ => false,
        };
    };
    match decision {
        Decision::Reassigned { cell, changes } => {
            cell.to_string() == in_cell && changes.iter().any(|change| change.shard == shard)
        }
        Decision::Suspected { cell, target, .. }
        | Decision::Returned { cell, target }
        | Decision::Restarted { cell, target }
        | Decision::Abandoned { cell, target } => {
            cell.to_string() == in_cell && Some(target) == owner
        }
        Decision::BecamePrimary { cell, .. }
        | Decision::FailoverDeclared { cell }
        | Decision::FailoverWithdrawn { cell }
        | Decision::Transferred { cell, .. } => cell.to_string() == in_cell,
        _ => false,
    }
}

/// Tells whether a record gave a shard of a cell its ownership under a fence.
#[must_use]
pub fn is_assignment_of(record: &Record, shard: Shard, fence: Fence, in_cell: &str) -> bool {
    let Kind::Ownership(Decision::Reassigned { cell, changes }) = &record.kind else {
        return false;
    };
    cell.to_string() == in_cell
        && changes.iter().any(|change| change.shard == shard && change.fence == fence)
}
