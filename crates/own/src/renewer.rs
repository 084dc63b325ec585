//! Renewals of the leases of one cell, by its guardian or by a deputy.
//!
//! Renewing what the row says is idempotent and needs no table, so it goes on while the platform is
//! down, and more than one process may do it at once.

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

/// The limits under which a renewer may extend leases at this moment.
#[derive(Clone, Copy)]
pub(crate) struct RenewalContext<'a> {
    /// The process that renews.
    pub(crate) me: &'a Process,
    /// The timing.
    pub(crate) timing: &'a Timing,
    /// The latest reading of a target's clock on which a lease may rest, if there is a limit.
    pub(crate) clock_read_before: Option<Tick>,
}

/// What an answer of a target means for the cell.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplyOutcome {
    /// Nothing beyond the renewal itself.
    Routine,
    /// The target has accepted orders of a newer guardian.
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
        renewer.give_out(now);
        renewer
    }

    /// Tells each session what the row gives to its target.
    fn give_out(&mut self, now: Tick) {
        let mut holdings = self.row.shards_by_target();
        for session in &mut self.sessions {
            let position = self.row.position(&session.target.vm);
            let holding = position.and_then(|at| holdings.get_mut(at as usize));
            session.own(holding.map(std::mem::take).unwrap_or_default(), now);
        }
    }

    /// Adopts a newer row of the same cell and keeps what is known of its targets.
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
        self.give_out(now);
        for session in &mut self.sessions {
            rebase_revocation(session);
            session.refresh(now);
        }
    }

    pub(crate) fn session(&self, vm: &Vm) -> Option<&TargetSession> {
        self.sessions.iter().find(|session| session.target.vm == *vm)
    }

    pub(crate) fn session_mut(&mut self, vm: &Vm) -> Option<&mut TargetSession> {
        self.sessions.iter_mut().find(|session| session.target.vm == *vm)
    }

    /// Emits the orders that are due, leaving out targets for which `stopped` is true.
    pub(crate) fn renew(
        &mut self,
        now: Tick,
        rights: RenewalContext<'_>,
        ledger: &mut Ledger,
        stopped: impl Fn(&Vm) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let term = self.row.term;
        for session in &mut self.sessions {
            if session.in_flight || session.due > now {
                continue;
            }
            let renewable = session.liveness == Liveness::Live && !stopped(&session.target.vm);
            let reading = session.reading.filter(|reading| {
                renewable && rights.clock_read_before.is_none_or(|until| reading.received < until)
            });
            if let Some(reading) = reading {
                let end =
                    reading.received.plus(rights.timing.ttl).plus(rights.timing.drift_allowance);
                ledger.extend(&self.row.name, &session.target.vm, end);
            }
            session.in_flight = true;
            session.due = now.plus(rights.timing.renewal_interval);
            let deadline_ms =
                reading.map(|reading| reading.target_ms + rights.timing.ttl.as_millis() as u64);
            let shards = deadline_ms.filter(|_| session.held != Some(session.digest));
            let offer = Grant {
                cell: self.row.name.clone(),
                from: rights.me.clone(),
                stamp: Stamp { term, version: self.version, seq: session.seq },
                incarnation: session.incarnation,
                deadline_ms,
                digest: session.digest,
                shards: shards.map(|_| session.set.clone()),
            };
            actions.push(Action::Grant { target: session.target.clone(), grant: offer });
        }
    }

    /// Marks targets that were silent for too long.
    pub(crate) fn suspect_unresponsive(
        &mut self,
        now: Tick,
        terms: &Timing,
        actions: &mut Vec<Action>,
    ) {
        for session in &mut self.sessions {
            let unresponsive_for = now.since(session.last_heard_at);
            if session.liveness == Liveness::Suspected || unresponsive_for < terms.suspect_after {
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

    /// Takes the failure of an exchange.
    pub(crate) fn handle_unanswered(&mut self, vm: &Vm) {
        if let Some(session) = self.session_mut(vm) {
            session.in_flight = false;
        }
    }

    /// Takes a target's answer.
    pub(crate) fn handle_reply(
        &mut self,
        answered: &TargetReply,
        terms: &Timing,
        ledger: &mut Ledger,
        actions: &mut Vec<Action>,
    ) -> ReplyOutcome {
        let TargetReply { vm, sent, received_at: received, reply: answer, .. } = answered;
        let (sent, received) = (*sent, *received);
        let own = Stamp { term: self.row.term, version: self.version, seq: 0 };
        let name = self.row.name.clone();
        let Some(session) = self.session_mut(vm) else { return ReplyOutcome::Routine };
        session.in_flight = false;
        if session.incarnation.is_some_and(|known| known != answer.incarnation) {
            restart(session, &name, received, ledger, actions);
        }
        revive(session, &name, received, actions);
        session.incarnation = Some(answer.incarnation);
        session.last_heard_at = received;
        session.leaving = answer.leaving;
        let before = session.reading.replace(ClockReading { target_ms: answer.now_ms, received });
        if before
            .is_some_and(|before| received.since(before.received) > terms.renewal_interval * LATE)
        {
            // The order just answered rested on an old reading and gave little time.
            session.due = received;
        }
        match answer.verdict {
            Verdict::Accepted => accept(session, own, sent, received, answer),
            Verdict::NeedsShards => {
                session.held = None;
                session.due = received;
            }
            Verdict::OtherIncarnation => session.due = received,
            Verdict::Stale => return stale(session, own, answer, received),
        }
        ReplyOutcome::Routine
    }
}

fn rebase_revocation(session: &mut TargetSession) {
    session.seq = 0;
    let Some(revocation) = &mut session.revocation else { return };
    let owned: BTreeSet<_> = session.owned.iter().map(|(shard, _)| *shard).collect();
    revocation.shards.retain(|shard| owned.contains(shard));
    if revocation.shards.is_empty() {
        session.revocation = None;
        return;
    }
    // A deputy that knows the new row would send its stamp with the sequence zero, so the
    // revocation has to be acknowledged again under a higher one.
    revocation.acked = None;
    session.seq = 1;
}

fn restart(
    session: &mut TargetSession,
    name: &cell::Name,
    now: Tick,
    ledger: &mut Ledger,
    actions: &mut Vec<Action>,
) {
    // The new process holds the target's address, so the former one has ended with its leases.
    ledger.remove(name, &session.target.vm);
    session.held = None;
    session.due = now;
    if let Some(revocation) = &mut session.revocation {
        revocation.acked = None;
    }
    let target = session.target.vm.clone();
    actions.push(Action::Record(Decision::Restarted { cell: name.clone(), target }));
}

fn revive(session: &mut TargetSession, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
    if session.liveness == Liveness::Live {
        return;
    }
    if session.liveness == Liveness::Suspected {
        let target = session.target.vm.clone();
        actions.push(Action::Record(Decision::Returned { cell: name.clone(), target }));
    }
    session.liveness = Liveness::Live;
    session.due = now;
}

fn accept(
    session: &mut TargetSession,
    own: Stamp,
    sent: SentGrant,
    received: Tick,
    answer: &Reply,
) {
    if !sent.leased || sent.digest != session.digest {
        return;
    }
    session.held = Some(sent.digest);
    let current = Stamp { seq: session.seq, ..own };
    if let Some(revocation) = session.revocation.as_mut().filter(|_| sent.stamp == current) {
        revocation.acked.get_or_insert(received);
        revocation.busy = answer.busy.iter().copied().collect();
        if !revocation.busy.is_empty() {
            session.due = received.plus(BUSY_POLL);
        }
    }
}

/// How many times the renewal interval a reading may be old before the next order is sent at once.
const LATE: u32 = 2;

/// The time between two questions whether requests still run on a revoked shard.
const BUSY_POLL: std::time::Duration = std::time::Duration::from_millis(20);

fn stale(session: &mut TargetSession, own: Stamp, answer: &Reply, now: Tick) -> ReplyOutcome {
    let highest = Stamp { seq: 0, ..answer.stamp };
    if highest > own {
        return ReplyOutcome::Superseded(answer.stamp);
    }
    // An order of our own under this row was higher; go on above it.
    session.seq = answer.stamp.seq + 1;
    session.due = now;
    ReplyOutcome::Routine
}
