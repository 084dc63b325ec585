//! The decision log: every decision of a process as a typed [`Record`].
//!
//! A [`DecisionLog`] keeps the newest records in memory, where operators read them, and hands out
//! those that have not been shipped to the object store. It has a fixed capacity: when records
//! arrive faster than they are shipped, the oldest are dropped and counted.

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

/// The kind of a record, with the details of the decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The process received the request to stop.
    Stopping,
    /// A decision about the ownership of shards.
    Ownership(Decision),
    /// This process applied a version of the operators' configuration.
    #[serde(rename = "in_force")]
    ConfigApplied {
        /// The version that was applied.
        version: Version,
    },
    /// An operator's change of the configuration was accepted.
    #[serde(rename = "configured")]
    ConfigAccepted {
        /// The new version.
        version: Version,
        /// The author of the change, as stated by the operator.
        by: String,
    },
    /// An operator started or ended the drain of a target.
    Drained {
        /// The target.
        vm: Vm,
        /// Whether the target is being drained from now on.
        on: bool,
        /// The author of the request, as stated by the operator.
        by: String,
    },
    /// An operator vouched that all processes on a VM have ended.
    Vouched {
        /// The VM.
        vm: Vm,
        /// The author of the statement, as stated by the operator.
        by: String,
    },
    /// A target was ejected from load balancing after consecutive failures.
    Ejected {
        /// The service.
        service: Service,
        /// The target.
        vm: Vm,
        /// The number of consecutive failures.
        failures: u32,
    },
    /// A request was quarantined: it was in flight when several targets crashed, and is refused
    /// from now on.
    Quarantined {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The service.
        service: Service,
    },
    /// The platform became unavailable, or available again.
    #[serde(rename = "platform")]
    PlatformAvailability {
        /// Whether the platform answers.
        up: bool,
    },
}

/// A decision, with the process that made it and the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The sequence number of the record in its process, from 1.
    pub seq: u64,
    /// The wall clock of the VM in milliseconds since the Unix epoch. It is shown to operators; no
    /// decision depends on it.
    pub at_ms: u64,
    /// The process that made the decision.
    pub by: Process,
    /// The availability zone of the process.
    pub zone: Zone,
    /// The version of the operators' configuration in force in the process.
    pub config: Version,
    /// The decision.
    pub kind: Kind,
}

/// Returns the wall clock in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// The newest records of one process, including those that have not been shipped.
#[derive(Debug)]
pub struct DecisionLog {
    process: Process,
    zone: Zone,
    next_seq: u64,
    records: VecDeque<Record>,
    capacity: usize,
    shipped_seq: u64,
}

impl DecisionLog {
    /// Returns an empty log that keeps up to `capacity` records, at least one.
    #[must_use]
    pub fn new(process: Process, zone: Zone, capacity: usize) -> Self {
        Self {
            process,
            zone,
            next_seq: 1,
            records: VecDeque::new(),
            capacity: capacity.max(1),
            shipped_seq: 0,
        }
    }

    /// Appends a record, dropping the oldest one if the log is full.
    pub fn push(&mut self, config: Version, kind: Kind) -> &Record {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        let record = Record {
            seq: self.next_seq,
            at_ms: wall_clock_ms(),
            by: self.process.clone(),
            zone: self.zone.clone(),
            config,
            kind,
        };
        self.next_seq += 1;
        let index = self.records.len();
        self.records.push_back(record);
        &self.records[index]
    }

    /// Returns an iterator over the records, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    /// Returns the oldest records that have not been shipped, at most `limit`.
    #[must_use]
    pub fn unshipped(&self, limit: usize) -> Vec<Record> {
        self.records
            .iter()
            .filter(|record| record.seq > self.shipped_seq)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Records that all records up to `seq` are in the object store.
    pub fn mark_shipped(&mut self, seq: u64) {
        self.shipped_seq = self.shipped_seq.max(seq);
    }

    /// Returns the number of records that were dropped before they were shipped.
    #[must_use]
    pub fn dropped_records(&self) -> u64 {
        let oldest_seq = self.records.front().map_or(self.next_seq, |record| record.seq);
        oldest_seq.saturating_sub(self.shipped_seq + 1)
    }
}

/// Returns true if a record is about a shard of a cell, about the cell as a whole or about the
/// shard's owner.
#[must_use]
pub fn is_about(record: &Record, shard: Shard, owner: Option<&Vm>, cell_name: &str) -> bool {
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
            cell.to_string() == cell_name && changes.iter().any(|change| change.shard == shard)
        }
        Decision::Suspected { cell, target, .. }
        | Decision::Returned { cell, target }
        | Decision::Restarted { cell, target }
        | Decision::Abandoned { cell, target } => {
            cell.to_string() == cell_name && Some(target) == owner
        }
        Decision::BecamePrimary { cell, .. }
        | Decision::FailoverDeclared { cell }
        | Decision::FailoverWithdrawn { cell }
        | Decision::Transferred { cell, .. } => cell.to_string() == cell_name,
        _ => false,
    }
}

/// Returns true if a record is the assignment of a shard of a cell under a given fencing token.
#[must_use]
pub fn is_assignment_of(record: &Record, shard: Shard, fence: Fence, cell_name: &str) -> bool {
    let Kind::Ownership(Decision::Reassigned { cell, changes }) = &record.kind else {
        return false;
    };
    cell.to_string() == cell_name
        && changes.iter().any(|change| change.shard == shard && change.fence == fence)
}
