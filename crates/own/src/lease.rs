//! The orders that a guardian sends to a target, and the target's answers.
//!
//! An order states the end of the lease in the *target's own* clock, as read from an earlier answer.
//! An order that was delayed, or read after a pause, therefore cannot extend a lease beyond what its
//! sender accounted for when it was written.

use {
    crate::cell,
    conf::{services::Fencing, settings::Lease},
    key::{Fence, Incarnation, Process, Shard, Stamp},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// The path on which a target takes orders.
pub const LEASE_PATH: &str = "/control/lease";

/// The timing of leases.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The life of a lease.
    pub ttl: Duration,
    /// The time between renewals.
    pub renewal_interval: Duration,
    /// The silence after which a target counts as lost.
    pub suspect_after: Duration,
    /// The allowance for clocks that run at different rates.
    pub drift_allowance: Duration,
    /// The silence after which a peer counts as lost.
    pub peer_lost_after: Duration,
    /// The longest wait for requests in flight in a planned move.
    pub drain_timeout: Duration,
}

impl From<&Lease> for Timing {
    fn from(lease: &Lease) -> Self {
        Self {
            ttl: lease.ttl(),
            renewal_interval: lease.renewal_interval(),
            suspect_after: lease.suspect_after(),
            drift_allowance: lease.clock_drift(),
            peer_lost_after: lease.peer_lost_after(),
            drain_timeout: lease.drain_timeout(),
        }
    }
}

/// One shard of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedShard {
    /// The shard.
    pub shard: Shard,
    /// The fence under which the target owns it.
    pub fence: Fence,
}

/// An order about the lease of one target; without a deadline it only asks for the clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
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
    pub shards: Option<Vec<LeasedShard>>,
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
pub struct Reply {
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
pub fn digest(shards: &[LeasedShard]) -> u64 {
    let mut hash = key::Digest::default();
    for held in shards {
        hash.add(&held.shard.get().to_le_bytes());
        hash.add(&held.fence.get().to_le_bytes());
    }
    hash.finish()
}

/// The target's side of a lease, as targets are expected to keep it.
///
/// It is here so that the stand-ins and the model tests rest on one statement of the interface.
#[derive(Clone, Debug)]
pub struct Holder {
    fencing: Fencing,
    incarnation: Incarnation,
    stamp: Stamp,
    digest: Option<u64>,
    deadline_ms: u64,
    shards: HashMap<Shard, Fence>,
}

impl Holder {
    /// Returns a holder that has accepted nothing.
    #[must_use]
    pub fn new(fencing: Fencing, incarnation: Incarnation) -> Self {
        Self {
            fencing,
            incarnation,
            stamp: Stamp::default(),
            digest: None,
            deadline_ms: 0,
            shards: HashMap::new(),
        }
    }

    /// Takes an order and returns the verdict on it.
    pub fn apply(&mut self, offer: &Grant) -> Verdict {
        if offer.incarnation.is_some_and(|meant| meant != self.incarnation) {
            return Verdict::OtherIncarnation;
        }
        if self.fencing == Fencing::Full && offer.stamp < self.stamp {
            return Verdict::Stale;
        }
        let Some(deadline_ms) = offer.deadline_ms else { return Verdict::Accepted };
        if self.digest == Some(offer.digest) {
            self.deadline_ms = match self.fencing {
                Fencing::Full => deadline_ms.max(self.deadline_ms),
                Fencing::Lease => deadline_ms,
            };
        } else {
            let listed = offer.shards.as_ref().filter(|shards| digest(shards) == offer.digest);
            let Some(shards) = listed else { return Verdict::NeedsShards };
            self.shards = shards.iter().map(|held| (held.shard, held.fence)).collect();
            self.digest = Some(offer.digest);
            self.deadline_ms = deadline_ms;
        }
        self.stamp = offer.stamp.max(self.stamp);
        Verdict::Accepted
    }

    /// Tells whether the lease covers a shard at `now_ms` of the target's clock, under the fence
    /// of a request where the target compares fences.
    #[must_use]
    pub fn holds(&self, shard: Shard, fence: Fence, now_ms: u64) -> bool {
        let held = self.shards.get(&shard);
        let fenced = self.fencing == Fencing::Lease || held == Some(&fence);
        now_ms < self.deadline_ms && held.is_some() && fenced
    }

    /// Returns the shards of the lease that has not run out at `now_ms`.
    pub fn active_shards(&self, now_ms: u64) -> impl Iterator<Item = Shard> {
        let live = now_ms < self.deadline_ms;
        self.shards.keys().copied().filter(move |_| live)
    }

    /// Tells whether a shard is part of the lease, run out or not.
    #[must_use]
    pub fn contains(&self, shard: Shard) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Returns the highest stamp that was accepted.
    #[must_use]
    pub const fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the end of the lease in milliseconds of the target's clock.
    #[must_use]
    pub const fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// Returns the digest of the shards of the lease.
    #[must_use]
    pub const fn digest(&self) -> Option<u64> {
        self.digest
    }
}
