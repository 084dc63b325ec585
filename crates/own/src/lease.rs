//! The orders that a guardian sends to a target, and the target's answers.
//!
//! An order states the end of the lease in the *target's own* clock, as read from an earlier answer.
//! An order that was delayed, or read after a pause, therefore cannot extend a lease beyond what its
//! sender accounted for when it was written.

use {
    crate::cell,
    key::{Fence, Incarnation, Process, Shard, Stamp},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The path on which a target takes orders.
pub const PATH: &str = "/control/lease";

/// The timing of leases.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The life of a lease.
    pub ttl: Duration,
    /// The time between renewals.
    pub renew: Duration,
    /// The silence after which a target counts as lost.
    pub suspect: Duration,
    /// The allowance for clocks that run at different rates.
    pub drift: Duration,
    /// The silence after which a peer counts as lost.
    pub peer_lost: Duration,
    /// The longest wait for requests in flight in a planned move.
    pub drain: Duration,
}

/// One shard of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The shard.
    pub shard: Shard,
    /// The fence under which the target owns it.
    pub fence: Fence,
}

/// An order about the lease of one target; without a deadline it only asks for the clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The cell.
    pub cell: cell::Name,
    /// The process that sends the order.
    pub from: Process,
    /// The order among all orders for the target.
    pub stamp: Stamp,
    /// The run of the target that the order is meant for, once it is known.
    pub incarnation: Option<Incarnation>,
    /// The end of the lease in milliseconds of the target's clock.
    pub deadline_ms: Option<u64>,
    /// The digest of the shards of the lease.
    pub digest: u64,
    /// The shards, left out where the target is known to hold them.
    pub shards: Option<Vec<Held>>,
}

/// What a target did with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It obeyed.
    Accepted,
    /// It does not hold the shards of the digest and needs the list.
    NeedsShards,
    /// It has accepted a higher stamp.
    Stale,
    /// The order is meant for an earlier run of the target.
    OtherIncarnation,
}

/// The answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The target's clock in milliseconds, read while it handled the order.
    pub now_ms: u64,
    /// The run of the target.
    pub incarnation: Incarnation,
    /// Whether the target will stop soon.
    pub leaving: bool,
    /// What it did with the order.
    pub verdict: Verdict,
    /// The highest stamp it has accepted.
    pub stamp: Stamp,
    /// Shards outside the lease on which requests still run.
    pub busy: Vec<Shard>,
}

/// Returns the digest of a set of shards, given in the order of the cell's row.
#[must_use]
pub fn digest(shards: &[Held]) -> u64 {
    let mut hash = key::Digest::default();
    for held in shards {
        hash.add(&held.shard.get().to_le_bytes());
        hash.add(&held.fence.get().to_le_bytes());
    }
    hash.finish()
}
