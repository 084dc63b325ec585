//! The input of a [`Node`](crate::Node), [`Event`], and its output, [`Action`].

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

/// The part of a grant that is needed to handle the target's reply to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentGrant {
    /// The stamp of the grant.
    pub stamp: Stamp,
    /// The digest of its shards.
    pub digest: u64,
    /// Whether it granted a lease or only requested the target's clock.
    pub leased: bool,
}

impl From<&Grant> for SentGrant {
    fn from(grant: &Grant) -> Self {
        Self { stamp: grant.stamp, digest: grant.digest, leased: grant.deadline_ms.is_some() }
    }
}

/// A target's reply to a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReply {
    /// The cell.
    pub cell: cell::Name,
    /// The target.
    pub vm: Vm,
    /// The grant that it replies to.
    pub sent: SentGrant,
    /// When the reply arrived.
    pub received_at: Tick,
    /// The reply.
    pub reply: Reply,
}

/// Something that happened, as input of [`Node::handle`](crate::Node::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A poll of the table succeeded.
    TablePolled {
        /// When the poll started.
        started_at: Tick,
        /// The rows that have changed.
        rows: Vec<(Version, Row)>,
    },
    /// A peer sent a row.
    Row {
        /// Its version.
        version: Version,
        /// The row.
        row: Row,
    },
    /// A new operators' configuration is in force.
    Services(Arc<OperatorConfig>),
    /// The platform's list of VMs was read.
    Vms(Vec<VmRecord>),
    /// A peer answered a heartbeat request that was sent to its own address.
    PeerHeartbeat {
        /// The peer.
        peer: Peer,
        /// When the heartbeat was requested.
        asked_at: Tick,
    },
    /// A process announced that it renews no leases any more.
    ProcessEnded(Process),
    /// An operator confirmed that everything on a VM has ended.
    Vouched(Vm),
    /// The operators' set of drained VMs, whose targets must not keep shards, has changed.
    Drained(BTreeSet<Vm>),
    /// New weights of the shards of a service.
    ///
    /// No entry measures load yet, so all shards weigh the same.
    Loads {
        /// The service.
        service: Service,
        /// The weights.
        loads: HashMap<Shard, f64>,
    },
    /// A target replied to a grant.
    TargetReplied(TargetReply),
    /// A target did not reply to a grant.
    TargetUnanswered {
        /// The cell.
        cell: cell::Name,
        /// The target.
        vm: Vm,
    },
    /// A write has completed, possibly with an unknown result.
    Written {
        /// The number of the write.
        id: u64,
        /// The result.
        result: Commit,
    },
    /// A process promised to stop renewing.
    StopAcknowledged {
        /// The request that it acknowledged.
        request: stop::Request,
        /// Its promise.
        ack: stop::Ack,
        /// When the promise arrived.
        received_at: Tick,
    },
    /// This process will stop and must hand its cells over to successors.
    Resign,
}

/// A write of several rows in one transaction, conditional on the version of each.
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
    /// The first rows of a service are written with a marker row that must not exist yet. Without
    /// it, two processes with different lists of VMs could assign the same shards to different
    /// cells.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let mut transaction = Transaction::default();
        let is_first =
            |(base, row): &&(Version, Row)| *base == Version::ZERO && !row.slots.is_empty();
        if let Some((_, row)) = self.rows.iter().find(is_first) {
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

    /// Returns the result without the version of the marker row, which [`transaction`] may add.
    ///
    /// [`transaction`]: Self::transaction
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

/// Something to do, as output of [`Node::handle`](crate::Node::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a grant to a target.
    Grant {
        /// The target.
        target: cell::Target,
        /// The grant.
        grant: Grant,
    },
    /// Request a process to stop renewing leases.
    RequestStop {
        /// The process.
        process: Process,
        /// The request.
        request: stop::Request,
    },
    /// Write rows to the table.
    Write(Write),
    /// Send a row that was written to the peers.
    Publish {
        /// Its version.
        version: Version,
        /// The row.
        row: Row,
    },
    /// Log a decision.
    Record(Decision),
}
