//! What a renewer knows of one target.

use {
    crate::{cell, lease},
    key::{Fence, Incarnation, Shard, clock::Tick},
    std::collections::BTreeSet,
};

/// The target's clock as read from an answer, and when the answer arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) target_ms: u64,
    pub(crate) received: Tick,
}

/// The life of a target in the eyes of a renewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It has not answered yet.
    Unknown,
    /// It answers and is renewed.
    Live,
    /// It was silent for too long; it is asked for its clock but renewed no more.
    Suspected,
}

/// A planned move of shards away from a target.
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub(crate) shards: BTreeSet<Shard>,
    pub(crate) since: Tick,
    /// The last possible end of the leases given before the revocation.
    pub(crate) former_end: Tick,
    pub(crate) acked: Option<Tick>,
    pub(crate) busy: BTreeSet<Shard>,
}

/// The state of the exchange with one target.
#[derive(Debug)]
pub(crate) struct TargetSession {
    pub(crate) target: cell::Target,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) reading: Option<ClockReading>,
    pub(crate) last_heard_at: Tick,
    pub(crate) due: Tick,
    pub(crate) in_flight: bool,
    /// What the row gives to the target.
    pub(crate) owned: Vec<(Shard, Fence)>,
    /// What the target may hold: what it owns, less what is being revoked.
    pub(crate) set: Vec<lease::LeasedShard>,
    pub(crate) digest: u64,
    pub(crate) held: Option<u64>,
    pub(crate) liveness: Liveness,
    pub(crate) leaving: bool,
    pub(crate) seq: u64,
    pub(crate) revocation: Option<Revocation>,
}

impl TargetSession {
    pub(crate) fn new(target: cell::Target, now: Tick) -> Self {
        Self {
            target,
            incarnation: None,
            reading: None,
            last_heard_at: now,
            due: now,
            in_flight: false,
            owned: Vec::new(),
            set: Vec::new(),
            digest: 0,
            held: None,
            liveness: Liveness::Unknown,
            leaving: false,
            seq: 0,
            revocation: None,
        }
    }

    /// Takes what a new row gives to the target.
    pub(crate) fn own(&mut self, owned: Vec<(Shard, Fence)>, now: Tick) {
        self.owned = owned;
        self.refresh(now);
    }

    /// Works out the lease again after a change of what is being revoked.
    pub(crate) fn refresh(&mut self, now: Tick) {
        let revoked = self.revocation.as_ref().map(|revocation| &revocation.shards);
        let kept = |shard: &Shard| !revoked.is_some_and(|shards| shards.contains(shard));
        let owned = self.owned.iter().filter(|(shard, _)| kept(shard));
        self.set = owned.map(|&(shard, fence)| lease::LeasedShard { shard, fence }).collect();
        let digest = lease::digest(&self.set);
        if digest != self.digest {
            self.digest = digest;
            self.due = now;
        }
    }

    /// Tells whether the target can be given shards.
    pub(crate) const fn is_live(&self) -> bool {
        matches!(self.liveness, Liveness::Live)
    }
}
