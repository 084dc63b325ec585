//! What was decided about ownership, and on what grounds.

use {
    crate::cell,
    key::{Fence, Process, Shard, Term, Vm},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Why a former ownership is known to have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Proof {
    /// The shard had no owner.
    Vacant,
    /// Every process that may renew has stopped, and the last possible lease has run out.
    Lapsed {
        /// How long the target had been silent.
        #[serde(rename = "silent_for")]
        unresponsive_for: Duration,
    },
    /// The platform lists the target's VM as gone.
    VmGone,
    /// The target gave the shard up and acknowledged it.
    Revoked {
        /// The time from the first order to the acknowledgement.
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
    /// The owner before.
    pub from: Option<Vm>,
    /// The owner after.
    pub to: Option<Vm>,
    /// The fence of the new ownership.
    pub fence: Fence,
    /// Why the ownership before has ended.
    pub proof: Proof,
}

/// Why a process may count another as silent or ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverReason {
    /// The cell had no guardian.
    Vacant,
    /// The guardian was silent for this long.
    #[serde(rename = "silent")]
    Unresponsive(Duration),
    /// The guardian has ended or resigned.
    Ended,
}

/// One decision. Each is recorded when it takes effect, not when it is first considered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The first rows of a service were written.
    Created {
        /// The cells.
        cells: Vec<cell::Name>,
    },
    /// This process became the guardian.
    #[serde(rename = "guarding")]
    BecamePrimary {
        /// The cell.
        cell: cell::Name,
        /// The new term.
        term: Term,
        /// The guardian before.
        #[serde(rename = "before")]
        predecessor: Option<Process>,
        /// Why the cell needed another.
        #[serde(rename = "ground")]
        reason: TakeoverReason,
    },
    /// This process renews as a deputy while the guardian is silent.
    #[serde(rename = "standing")]
    ActingStandby {
        /// The cell.
        cell: cell::Name,
        /// The guardian.
        #[serde(rename = "guardian")]
        primary: Option<Process>,
    },
    /// This process gave its cell to a successor.
    Resigned {
        /// The cell.
        cell: cell::Name,
        /// The successor.
        to: Process,
    },
    /// This process found that another guards the cell.
    Superseded {
        /// The cell.
        cell: cell::Name,
        /// The other's term.
        term: Term,
    },
    /// A target was silent for too long and is renewed no more.
    Suspected {
        /// The cell.
        cell: cell::Name,
        /// The target.
        target: Vm,
        /// How long it was silent.
        #[serde(rename = "silent_for")]
        unresponsive_for: Duration,
    },
    /// A suspected target answered before its shards were given away.
    Returned {
        /// The cell.
        cell: cell::Name,
        /// The target.
        target: Vm,
    },
    /// A target answered as a new process, so the former one has ended.
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
    /// A planned move was given up because requests went on for too long.
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
        /// Those that joined.
        joined: Vec<Vm>,
        /// Those that left.
        left: Vec<Vm>,
    },
    /// The processes that may renew changed.
    #[serde(rename = "renewers")]
    RenewersChanged {
        /// The cell.
        cell: cell::Name,
        /// The deputies now.
        #[serde(rename = "deputies")]
        standbys: Vec<Process>,
        /// Those not yet proved to have stopped.
        former: Vec<Process>,
    },
    /// An intent to take the cell over was declared.
    #[serde(rename = "closing")]
    FailoverDeclared {
        /// The cell.
        cell: cell::Name,
    },
    /// An intent to take the cell over was withdrawn by its guardian, which is alive.
    #[serde(rename = "reopened")]
    FailoverWithdrawn {
        /// The cell.
        cell: cell::Name,
    },
    /// Shards without owner went to cells that can serve them.
    Transferred {
        /// The cell they left.
        cell: cell::Name,
        /// Where they went, with their number.
        to: Vec<(cell::Name, usize)>,
        /// Why the former ownership had ended.
        proof: Proof,
    },
    /// The answer to a write was lost; the write is repeated until it is known.
    #[serde(rename = "unconfirmed")]
    WriteUnconfirmed {
        /// The cell.
        cell: cell::Name,
    },
}
