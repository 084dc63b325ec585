//! Grants of leases to targets, and the targets' replies.
//!
//! A grant states the end of the lease on the *target's own* clock, as read from an earlier reply.
//! A grant that was delayed, or read after a pause, therefore cannot extend a lease beyond the end
//! that its sender recorded when it sent the grant.

use {
    crate::cell,
    conf::{services::Fencing, settings::Lease},
    key::{Fence, Incarnation, Process, Shard, Stamp},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// The path on which a target accepts grants.
pub const LEASE_PATH: &str = "/control/lease";

/// The timing of leases.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The duration of a lease.
    pub ttl: Duration,
    /// The time between renewals.
    pub renewal_interval: Duration,
    /// The time without a reply after which a target is suspected to be lost.
    pub suspect_after: Duration,
    /// The allowance for clocks that run at different rates.
    pub drift_allowance: Duration,
    /// The time without a heartbeat after which a peer counts as lost.
    pub peer_lost_after: Duration,
    /// The longest wait for requests in flight during a planned reassignment.
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

/// A grant of a lease to one target; without a deadline it only reads the target's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The cell.
    pub cell: cell::Name,
    /// The process that sends the grant.
    pub from: Process,
    /// The position of the grant in the order of all grants for the target.
    pub stamp: Stamp,
    /// The incarnation of the target that the grant is addressed to, once it is known.
    pub incarnation: Option<Incarnation>,
    /// The end of the lease in milliseconds of the target's clock.
    pub deadline_ms: Option<u64>,
    /// The digest of the shards of the lease.
    pub digest: u64,
    /// The shards, left out if the target is known to have the list already.
    pub shards: Option<Vec<LeasedShard>>,
}

/// A target's verdict on a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The target applied the grant.
    Accepted,
    /// The target does not have the shards of the digest and needs the list.
    NeedsShards,
    /// The target has already accepted a grant with a higher stamp.
    Stale,
    /// The grant is addressed to another incarnation of the target.
    OtherIncarnation,
}

/// A target's reply to a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The target's clock in milliseconds, read while it handled the grant.
    pub now_ms: u64,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether the target will stop soon.
    pub leaving: bool,
    /// The verdict on the grant.
    pub verdict: Verdict,
    /// The highest stamp that the target has accepted.
    pub stamp: Stamp,
    /// Shards outside the lease that still have requests in flight.
    pub busy: Vec<Shard>,
}

/// Returns the digest of a list of shards, given in the order of the cell's row.
#[must_use]
pub fn digest(shards: &[LeasedShard]) -> u64 {
    let mut hash = key::Digest::default();
    for leased in shards {
        hash.add(&leased.shard.get().to_le_bytes());
        hash.add(&leased.fence.get().to_le_bytes());
    }
    hash.finish()
}

/// The target's side of a lease.
///
/// This is the reference implementation of the interface that targets have to implement; the
/// stand-ins and the model tests share it.
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
    /// Returns a holder that has accepted no grant.
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

    /// Applies a grant and returns the verdict on it.
    pub fn apply(&mut self, grant: &Grant) -> Verdict {
        if grant.incarnation.is_some_and(|addressed| addressed != self.incarnation) {
            return Verdict::OtherIncarnation;
        }
        if self.fencing == Fencing::Full && grant.stamp < self.stamp {
            return Verdict::Stale;
        }
        let Some(deadline_ms) = grant.deadline_ms else { return Verdict::Accepted };
        if self.digest == Some(grant.digest) {
            self.deadline_ms = match self.fencing {
                Fencing::Full => deadline_ms.max(self.deadline_ms),
                Fencing::Lease => deadline_ms,
            };
        } else {
            let listed = grant.shards.as_ref().filter(|shards| digest(shards) == grant.digest);
            let Some(shards) = listed else { return Verdict::NeedsShards };
            self.shards = shards.iter().map(|leased| (leased.shard, leased.fence)).collect();
            self.digest = Some(grant.digest);
            self.deadline_ms = deadline_ms;
        }
        self.stamp = grant.stamp.max(self.stamp);
        Verdict::Accepted
    }

    /// Returns true if the lease covers a shard at `now_ms` of the target's clock.
    ///
    /// A target with full fencing also requires that `fence`, taken from a request, is the fence
    /// of the lease.
    #[must_use]
    pub fn holds(&self, shard: Shard, fence: Fence, now_ms: u64) -> bool {
        let leased = self.shards.get(&shard);
        let fence_accepted = self.fencing == Fencing::Lease || leased == Some(&fence);
        now_ms < self.deadline_ms && leased.is_some() && fence_accepted
    }

    /// Returns the shards of the lease, or none if it has expired at `now_ms`.
    pub fn active_shards(&self, now_ms: u64) -> impl Iterator<Item = Shard> {
        let active = now_ms < self.deadline_ms;
        self.shards.keys().copied().filter(move |_| active)
    }

    /// Returns true if a shard is part of the lease, whether or not the lease has expired.
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
