//! Decisions about ownership and the reasons for them, as recorded in the decision log.

use {
    crate::cell,
    key::{Fence, Process, Shard, Term, Vm},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Why a previous ownership is known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// The shard had no owner.
    Vacant,
    /// Every process that may renew has stopped, and the last possible lease has expired.
    Lapsed {
        /// How long the target had been unresponsive.
        ///
        /// In a failover to another zone it is the time since the last renewer was found to have
        /// ended or, while one may still run, since the failover intent was declared.
        #[serde(rename = "silent_for")]
        unresponsive_for: Duration,
    },
    /// The platform lists the target's VM as gone.
    VmGone,
    /// The target acknowledged the revocation of the shard.
    Revoked {
        /// The time from the start of the revocation to the acknowledgement.
        took: Duration,
    },
    /// An operator vouched that the target has ended.
    Operator,
}

/// One change of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The shard.
    pub shard: Shard,
    /// The previous owner.
    pub from: Option<Vm>,
    /// The new owner.
    pub to: Option<Vm>,
    /// The fence of the new ownership.
    pub fence: Fence,
    /// Why the previous ownership has ended.
    pub proof: Proof,
}

/// Why a process became the primary of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverReason {
    /// The cell had no primary.
    Vacant,
    /// The primary had been unresponsive for this long.
    #[serde(rename = "silent")]
    Unresponsive(Duration),
    /// The primary has ended or resigned.
    Ended,
}

/// One decision, recorded when it takes effect and not when it is first considered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The first rows of a service were written.
    Created {
        /// The cells.
        cells: Vec<cell::Name>,
    },
    /// This process became the primary.
    #[serde(rename = "guarding")]
    BecamePrimary {
        /// The cell.
        cell: cell::Name,
        /// The new term.
        term: Term,
        /// The previous primary.
        #[serde(rename = "before")]
        predecessor: Option<Process>,
        /// Why the cell needed a new primary.
        #[serde(rename = "ground")]
        reason: TakeoverReason,
    },
    /// This process renews leases as a standby while the primary is unresponsive.
    #[serde(rename = "standing")]
    ActingStandby {
        /// The cell.
        cell: cell::Name,
        /// The unresponsive primary.
        #[serde(rename = "guardian")]
        primary: Option<Process>,
    },
    /// This process handed its cell to a successor.
    Resigned {
        /// The cell.
        cell: cell::Name,
        /// The successor.
        to: Process,
    },
    /// This process found that another one is the primary of the cell.
    Superseded {
        /// The cell.
        cell: cell::Name,
        /// The term of the other process.
        term: Term,
    },
    /// A target did not reply for too long, so its lease is no longer renewed.
    Suspected {
        /// The cell.
        cell: cell::Name,
        /// The target.
        target: Vm,
        /// How long it had been unresponsive.
        #[serde(rename = "silent_for")]
        unresponsive_for: Duration,
    },
    /// A suspected target replied before its shards were reassigned.
    Returned {
        /// The cell.
        cell: cell::Name,
        /// The target.
        target: Vm,
    },
    /// A target replied as a new process, so the previous one has ended.
    Restarted {
        /// The cell.
        cell: cell::Name,
        /// The target.
        target: Vm,
    },
    /// Shards changed their owner.
    #[serde(rename = "moved")]
    Reassigned {
        /// The cell.
        cell: cell::Name,
        /// The changes.
        changes: Vec<Change>,
    },
    /// A planned reassignment was abandoned because requests in flight took too long.
    Abandoned {
        /// The cell.
        cell: cell::Name,
        /// The target that keeps its shards.
        target: Vm,
    },
    /// Targets joined the cell or left it.
    #[serde(rename = "members")]
    MembersChanged {
        /// The cell.
        cell: cell::Name,
        /// The targets that joined.
        joined: Vec<Vm>,
        /// The targets that left.
        left: Vec<Vm>,
    },
    /// The processes that may renew leases changed.
    #[serde(rename = "renewers")]
    RenewersChanged {
        /// The cell.
        cell: cell::Name,
        /// The new standbys.
        #[serde(rename = "deputies")]
        standbys: Vec<Process>,
        /// The processes not yet proved to have stopped renewing.
        former: Vec<Process>,
    },
    /// An intent to take the cell over was declared.
    #[serde(rename = "closing")]
    FailoverDeclared {
        /// The cell.
        cell: cell::Name,
    },
    /// An intent to take the cell over was withdrawn by its primary, which is alive.
    #[serde(rename = "reopened")]
    FailoverWithdrawn {
        /// The cell.
        cell: cell::Name,
    },
    /// Shards without an owner were transferred to cells that can serve them.
    Transferred {
        /// The cell they left.
        cell: cell::Name,
        /// The receiving cells, with the number of shards each received.
        to: Vec<(cell::Name, usize)>,
        /// Why the previous ownership had ended.
        proof: Proof,
    },
    /// The reply to a write was lost; the write is retried until its result is known.
    #[serde(rename = "unconfirmed")]
    WriteUnconfirmed {
        /// The cell.
        cell: cell::Name,
    },
}
