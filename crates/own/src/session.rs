//! The state that a renewer keeps for one target.

use {
    crate::{cell, lease},
    key::{Fence, Incarnation, Shard, clock::Tick},
    std::collections::BTreeSet,
};

/// The target's clock as read from a reply, and when the reply arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) target_ms: u64,
    pub(crate) received_at: Tick,
}

/// What a renewer knows about whether a target is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// The target has not replied yet.
    Unknown,
    /// The target replies, and its lease is renewed.
    Live,
    /// The target did not reply for too long; its clock is still read but its lease not renewed.
    Suspected,
}

/// A planned reassignment of shards away from a target.
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub(crate) shards: BTreeSet<Shard>,
    pub(crate) started_at: Tick,
    /// The last possible end of the leases granted before the revocation.
    pub(crate) earlier_leases_end: Tick,
    pub(crate) acknowledged_at: Option<Tick>,
    /// The revoked shards that still have requests in flight.
    pub(crate) busy: BTreeSet<Shard>,
}

/// The state of the exchange with one target.
#[derive(Debug)]
pub(crate) struct TargetSession {
    pub(crate) target: cell::Target,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) clock_reading: Option<ClockReading>,
    pub(crate) last_heard_at: Tick,
    pub(crate) next_grant_at: Tick,
    /// Whether a grant was sent whose reply or failure has not arrived.
    pub(crate) grant_in_flight: bool,
    /// The shards that the row assigns to the target.
    pub(crate) owned: Vec<(Shard, Fence)>,
    /// The shards that the target may be granted: those it owns, less those being revoked.
    pub(crate) lease_shards: Vec<lease::LeasedShard>,
    pub(crate) lease_digest: u64,
    /// The digest of the shards that the target is known to have.
    pub(crate) acknowledged_digest: Option<u64>,
    pub(crate) liveness: Liveness,
    pub(crate) leaving: bool,
    /// The sequence number in the stamps of the next grants, which orders changes of the lease
    /// under the same row.
    pub(crate) seq: u64,
    pub(crate) revocation: Option<Revocation>,
}

impl TargetSession {
    pub(crate) fn new(target: cell::Target, now: Tick) -> Self {
        Self {
            target,
            incarnation: None,
            clock_reading: None,
            last_heard_at: now,
            next_grant_at: now,
            grant_in_flight: false,
            owned: Vec::new(),
            lease_shards: Vec::new(),
            lease_digest: 0,
            acknowledged_digest: None,
            liveness: Liveness::Unknown,
            leaving: false,
            seq: 0,
            revocation: None,
        }
    }

    /// Replaces the shards that the row assigns to the target.
    pub(crate) fn set_owned(&mut self, owned: Vec<(Shard, Fence)>, now: Tick) {
        self.owned = owned;
        self.update_lease(now);
    }

    /// Recomputes the shards of the lease, and makes a grant due at once if they changed.
    pub(crate) fn update_lease(&mut self, now: Tick) {
        let revoked = self.revocation.as_ref().map(|revocation| &revocation.shards);
        let is_kept = |shard: &Shard| !revoked.is_some_and(|shards| shards.contains(shard));
        let kept = self.owned.iter().filter(|(shard, _)| is_kept(shard));
        self.lease_shards =
            kept.map(|&(shard, fence)| lease::LeasedShard { shard, fence }).collect();
        let digest = lease::digest(&self.lease_shards);
        if digest != self.lease_digest {
            self.lease_digest = digest;
            self.next_grant_at = now;
        }
    }

    /// Returns true if shards can be assigned to the target.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.liveness, Liveness::Live)
    }
}
