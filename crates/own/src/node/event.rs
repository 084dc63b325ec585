//! What a node is told, and what it asks for.

use {
    crate::{
        cell::{self, Row},
        decision::Decision,
        lease::{Grant, Reply},
        node::Peer,
        stop,
    },
    conf::services::OperatorConfig,
    key::{Process, Service, Shard, Stamp, Version, Vm, clock::Tick},
    smol_str::SmolStr,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
    store::{
        Commit,
        table::{self, Condition, Transaction},
        vms::VmRecord,
    },
};

/// What an answer refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentGrant {
    /// The stamp of the order.
    pub stamp: Stamp,
    /// The digest of its shards.
    pub digest: u64,
    /// Whether it gave a lease or only asked for the clock.
    pub leased: bool,
}

impl From<&Grant> for SentGrant {
    fn from(offer: &Grant) -> Self {
        Self { stamp: offer.stamp, digest: offer.digest, leased: offer.deadline_ms.is_some() }
    }
}

/// A target's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReply {
    /// The cell.
    pub cell: cell::Name,
    /// The target.
    pub vm: Vm,
    /// What was asked.
    pub sent: SentGrant,
    /// When the answer arrived.
    pub received_at: Tick,
    /// The reply.
    pub reply: Reply,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by.
    Tick,
    /// The table was read; the rows are those that changed.
    TablePolled {
        /// When the poll started.
        started_at: Tick,
        /// The rows.
        rows: Vec<(Version, Row)>,
    },
    /// A peer sent a row.
    Row {
        /// Its version.
        version: Version,
        /// The row.
        row: Row,
    },
    /// A new operators' text is in force.
    Services(Arc<OperatorConfig>),
    /// The list of VMs was read.
    Vms(Vec<VmRecord>),
    /// A peer answered a question that was sent to its own address.
    PeerHeartbeat {
        /// The peer.
        peer: Peer,
        /// When the heartbeat was requested.
        asked_at: Tick,
    },
    /// A process said that it renews nothing any more.
    ProcessEnded(Process),
    /// An operator vouched that everything on a VM has ended.
    Vouched(Vm),
    /// The targets that operators want to be emptied.
    Drained(BTreeSet<Vm>),
    /// The weights of the shards of a service. No entry counts them yet, so all weigh the same.
    Loads {
        /// The service.
        service: Service,
        /// The weights.
        loads: HashMap<Shard, f64>,
    },
    /// A target answered an order.
    TargetReplied(TargetReply),
    /// An order got no answer.
    TargetUnanswered {
        /// The cell.
        cell: cell::Name,
        /// The target.
        vm: Vm,
    },
    /// The result of a write.
    Written {
        /// The write.
        id: u64,
        /// The result.
        result: Commit,
    },
    /// A process promised to stop.
    StopAcknowledged {
        /// The request that it acknowledged.
        request: stop::Request,
        /// Its promise.
        ack: stop::Ack,
        /// When the promise arrived.
        received_at: Tick,
    },
    /// This process will stop.
    Resign,
}

/// Rows to write together, each if it still has the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The number under which the result is reported.
    pub id: u64,
    /// The rows with the versions they must have.
    pub rows: Vec<(Version, Row)>,
}

impl Write {
    /// Returns the transaction for the table.
    ///
    /// The first rows of a service go with a marker that must be absent: two processes with
    /// different lists of VMs would otherwise deal the same shards to different cells.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let mut transaction = Transaction::default();
        let fresh = |(base, row): &&(Version, Row)| *base == Version::ZERO && !row.slots.is_empty();
        if let Some((_, row)) = self.rows.iter().find(fresh) {
            let name = SmolStr::from(format!("dealt/{}", row.name.service));
            transaction.conditions.push(Condition { name: name.clone(), version: Version::ZERO });
            transaction.writes.push(table::Write { name, value: Some(row.token.to_string()) });
        }
        for (version, row) in &self.rows {
            let name = SmolStr::from(row.name.row_name());
            transaction.conditions.push(Condition { name: name.clone(), version: *version });
            transaction.writes.push(table::Write { name, value: Some(row.encode()) });
        }
        transaction
    }

    /// Returns the result with the versions of the rows alone, without the marker's.
    #[must_use]
    pub fn result(&self, result: Commit) -> Commit {
        match result {
            Commit::Committed(versions) => {
                let markers = versions.len().saturating_sub(self.rows.len());
                Commit::Committed(versions.into_iter().skip(markers).collect())
            }
            other => other,
        }
    }
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to a target.
    Grant {
        /// The target.
        target: cell::Target,
        /// The message.
        grant: Grant,
    },
    /// Ask a process to stop renewing.
    RequestStop {
        /// The process.
        process: Process,
        /// The request.
        request: stop::Request,
    },
    /// Write to the table.
    Write(Write),
    /// Tell the peers of a row that was written.
    Publish {
        /// Its version.
        version: Version,
        /// The row.
        row: Row,
    },
    /// Put a decision on record.
    Record(Decision),
}
