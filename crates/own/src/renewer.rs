//! Renewal of the leases of one cell, by its primary or by a standby.
//!
//! Renewing the leases that the row prescribes is idempotent and does not need the table. Renewals
//! therefore continue while the platform is down, and several processes may send them at the same
//! time.

use {
    crate::{
        cell::{self, Row},
        decision::Decision,
        lease::{Grant, Reply, Timing, Verdict},
        ledger::Ledger,
        node::{Action, SentGrant, TargetReply},
        session::{ClockReading, Liveness, TargetSession},
    },
    key::{Process, Stamp, Version, Vm, clock::Tick},
    std::{collections::BTreeSet, sync::Arc},
};

/// The process, timing and limit that apply to one round of renewals.
#[derive(Clone, Copy)]
pub(crate) struct RenewalContext<'a> {
    /// The process that renews.
    pub(crate) me: &'a Process,
    /// The timing of leases.
    pub(crate) timing: &'a Timing,
    /// If set, a lease may only be based on a reading of the target's clock from before this time.
    pub(crate) clock_read_before: Option<Tick>,
}

/// The consequence of a target's reply for the cell.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplyOutcome {
    /// The reply only concerns the renewal itself.
    Routine,
    /// The target has accepted grants of a newer primary.
    Superseded(Stamp),
}

/// The renewals of one cell.
#[derive(Debug)]
pub(crate) struct Renewer {
    pub(crate) row: Arc<Row>,
    pub(crate) version: Version,
    pub(crate) sessions: Vec<TargetSession>,
}

impl Renewer {
    pub(crate) fn new(row: Arc<Row>, version: Version, now: Tick) -> Self {
        let sessions =
            row.targets.iter().map(|target| TargetSession::new(target.clone(), now)).collect();
        let mut renewer = Self { row, version, sessions };
        renewer.update_owned_shards(now);
        renewer
    }

    /// Sets the owned shards of each session from the row.
    fn update_owned_shards(&mut self, now: Tick) {
        let mut by_target = self.row.shards_by_target();
        for session in &mut self.sessions {
            let position = self.row.position(&session.target.vm);
            let owned = position.and_then(|index| by_target.get_mut(index as usize));
            session.set_owned(owned.map(std::mem::take).unwrap_or_default(), now);
        }
    }

    /// Adopts a newer row of the same cell and keeps the sessions of its remaining targets.
    pub(crate) fn replace_row(&mut self, row: Arc<Row>, version: Version, now: Tick) {
        self.row = row;
        self.version = version;
        let row = &self.row;
        self.sessions.retain(|session| row.targets.contains(&session.target));
        for target in &row.targets {
            if !self.sessions.iter().any(|session| session.target == *target) {
                self.sessions.push(TargetSession::new(target.clone(), now));
            }
        }
        self.update_owned_shards(now);
        for session in &mut self.sessions {
            restart_revocation(session);
            session.update_lease(now);
        }
    }

    pub(crate) fn session(&self, vm: &Vm) -> Option<&TargetSession> {
        self.sessions.iter().find(|session| session.target.vm == *vm)
    }

    pub(crate) fn session_mut(&mut self, vm: &Vm) -> Option<&mut TargetSession> {
        self.sessions.iter_mut().find(|session| session.target.vm == *vm)
    }

    /// Emits the grants that are due.
    ///
    /// A target for which `must_not_renew` returns true gets no lease; the grant only reads its
    /// clock.
    pub(crate) fn renew(
        &mut self,
        now: Tick,
        context: RenewalContext<'_>,
        ledger: &mut Ledger,
        must_not_renew: impl Fn(&Vm) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let term = self.row.term;
        for session in &mut self.sessions {
            if session.grant_in_flight || session.next_grant_at > now {
                continue;
            }
            let renewable =
                session.liveness == Liveness::Live && !must_not_renew(&session.target.vm);
            let reading = session.clock_reading.filter(|reading| {
                renewable
                    && context.clock_read_before.is_none_or(|limit| reading.received_at < limit)
            });
            if let Some(reading) = reading {
                let end = reading
                    .received_at
                    .plus(context.timing.ttl)
                    .plus(context.timing.drift_allowance);
                ledger.extend(&self.row.name, &session.target.vm, end);
            }
            session.grant_in_flight = true;
            session.next_grant_at = now.plus(context.timing.renewal_interval);
            let deadline_ms =
                reading.map(|reading| reading.target_ms + context.timing.ttl.as_millis() as u64);
            let shards =
                deadline_ms.filter(|_| session.acknowledged_digest != Some(session.lease_digest));
            let grant = Grant {
                cell: self.row.name.clone(),
                from: context.me.clone(),
                stamp: Stamp { term, version: self.version, seq: session.seq },
                incarnation: session.incarnation,
                deadline_ms,
                digest: session.lease_digest,
                shards: shards.map(|_| session.lease_shards.clone()),
            };
            actions.push(Action::Grant { target: session.target.clone(), grant });
        }
    }

    /// Marks targets that have been unresponsive for too long as suspected.
    pub(crate) fn suspect_unresponsive(
        &mut self,
        now: Tick,
        timing: &Timing,
        actions: &mut Vec<Action>,
    ) {
        for session in &mut self.sessions {
            let unresponsive_for = now.since(session.last_heard_at);
            if session.liveness == Liveness::Suspected || unresponsive_for < timing.suspect_after {
                continue;
            }
            session.liveness = Liveness::Suspected;
            actions.push(Action::Record(Decision::Suspected {
                cell: self.row.name.clone(),
                target: session.target.vm.clone(),
                unresponsive_for,
            }));
        }
    }

    /// Handles a grant that got no reply.
    pub(crate) fn handle_unanswered(&mut self, vm: &Vm) {
        if let Some(session) = self.session_mut(vm) {
            session.grant_in_flight = false;
        }
    }

    /// Handles a target's reply.
    pub(crate) fn handle_reply(
        &mut self,
        target_reply: &TargetReply,
        timing: &Timing,
        ledger: &mut Ledger,
        actions: &mut Vec<Action>,
    ) -> ReplyOutcome {
        let TargetReply { vm, sent, received_at, reply, .. } = target_reply;
        let (sent, received_at) = (*sent, *received_at);
        let row_stamp = Stamp { term: self.row.term, version: self.version, seq: 0 };
        let name = self.row.name.clone();
        let Some(session) = self.session_mut(vm) else { return ReplyOutcome::Routine };
        session.grant_in_flight = false;
        if session.incarnation.is_some_and(|known| known != reply.incarnation) {
            handle_restart(session, &name, received_at, ledger, actions);
        }
        mark_live(session, &name, received_at, actions);
        session.incarnation = Some(reply.incarnation);
        session.last_heard_at = received_at;
        session.leaving = reply.leaving;
        let previous =
            session.clock_reading.replace(ClockReading { target_ms: reply.now_ms, received_at });
        if previous.is_some_and(|previous| {
            received_at.since(previous.received_at)
                > timing.renewal_interval * MAX_READING_AGE_INTERVALS
        }) {
            // The grant of this reply was based on an old clock reading, so its lease ends soon.
            session.next_grant_at = received_at;
        }
        match reply.verdict {
            Verdict::Accepted => handle_accepted(session, row_stamp, sent, received_at, reply),
            Verdict::NeedsShards => {
                session.acknowledged_digest = None;
                session.next_grant_at = received_at;
            }
            Verdict::OtherIncarnation => session.next_grant_at = received_at,
            Verdict::Stale => return handle_stale(session, row_stamp, reply, received_at),
        }
        ReplyOutcome::Routine
    }
}

/// Restarts the revocation of a session under a new row, or removes it if nothing is left of it.
fn restart_revocation(session: &mut TargetSession) {
    session.seq = 0;
    let Some(revocation) = &mut session.revocation else { return };
    let owned: BTreeSet<_> = session.owned.iter().map(|(shard, _)| *shard).collect();
    revocation.shards.retain(|shard| owned.contains(shard));
    if revocation.shards.is_empty() {
        session.revocation = None;
        return;
    }
    // A standby that knows the new row would send its stamp with the sequence number zero, so the
    // target has to acknowledge the revocation again under a higher number.
    revocation.acknowledged_at = None;
    session.seq = 1;
}

/// Resets what was known about the previous process of a target.
fn handle_restart(
    session: &mut TargetSession,
    name: &cell::Name,
    now: Tick,
    ledger: &mut Ledger,
    actions: &mut Vec<Action>,
) {
    // The new process holds the target's address, so the previous one and its leases have ended.
    ledger.remove(name, &session.target.vm);
    session.acknowledged_digest = None;
    session.next_grant_at = now;
    if let Some(revocation) = &mut session.revocation {
        revocation.acknowledged_at = None;
    }
    let target = session.target.vm.clone();
    actions.push(Action::Record(Decision::Restarted { cell: name.clone(), target }));
}

fn mark_live(session: &mut TargetSession, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
    if session.liveness == Liveness::Live {
        return;
    }
    if session.liveness == Liveness::Suspected {
        let target = session.target.vm.clone();
        actions.push(Action::Record(Decision::Returned { cell: name.clone(), target }));
    }
    session.liveness = Liveness::Live;
    session.next_grant_at = now;
}

/// Records the acknowledged shards and revocation of an accepted grant.
fn handle_accepted(
    session: &mut TargetSession,
    row_stamp: Stamp,
    sent: SentGrant,
    received_at: Tick,
    reply: &Reply,
) {
    if !sent.leased || sent.digest != session.lease_digest {
        return;
    }
    session.acknowledged_digest = Some(sent.digest);
    let current = Stamp { seq: session.seq, ..row_stamp };
    if let Some(revocation) = session.revocation.as_mut().filter(|_| sent.stamp == current) {
        revocation.acknowledged_at.get_or_insert(received_at);
        revocation.busy = reply.busy.iter().copied().collect();
        if !revocation.busy.is_empty() {
            session.next_grant_at = received_at.plus(BUSY_POLL_INTERVAL);
        }
    }
}

/// The age of a clock reading, in renewal intervals, above which the next grant is sent at once.
const MAX_READING_AGE_INTERVALS: u32 = 2;

/// The time between two polls of a target for requests in flight on revoked shards.
const BUSY_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// Continues above the highest accepted stamp, unless that is of a newer row.
fn handle_stale(
    session: &mut TargetSession,
    row_stamp: Stamp,
    reply: &Reply,
    now: Tick,
) -> ReplyOutcome {
    let highest = Stamp { seq: 0, ..reply.stamp };
    if highest > row_stamp {
        return ReplyOutcome::Superseded(reply.stamp);
    }
    // The higher stamp is of a grant that was sent under this row.
    session.seq = reply.stamp.seq + 1;
    session.next_grant_at = now;
    ReplyOutcome::Routine
}
