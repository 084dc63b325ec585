//! Renewals of the leases of one cell, by its guardian or by a deputy.
//!
//! Renewing what the row says is idempotent and needs no table, so it goes on while the platform is
//! down, and more than one process may do it at once.

use {
    crate::{
        cell::{self, Row},
        decision::Decision,
        lease::{Answer, Offer, Terms, Verdict},
        ledger::Ledger,
        link::{Life, Link, Reading},
        node::{Action, SentGrant, TargetReply},
    },
    key::{Process, Stamp, Version, Vm, clock::Tick},
    std::{collections::BTreeSet, sync::Arc},
};

/// The limits under which a renewer may extend leases at this moment.
#[derive(Clone, Copy)]
pub(crate) struct Rights<'a> {
    /// The process that renews.
    pub(crate) me: &'a Process,
    /// The timing.
    pub(crate) terms: &'a Terms,
    /// The latest reading of a target's clock on which a lease may rest, if there is a limit.
    pub(crate) until: Option<Tick>,
}

/// What an answer of a target means for the cell.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Meaning {
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
    pub(crate) links: Vec<Link>,
}

impl Renewer {
    pub(crate) fn new(row: Arc<Row>, version: Version, now: Tick) -> Self {
        let links = row.targets.iter().map(|target| Link::new(target.clone(), now)).collect();
        let mut renewer = Self { row, version, links };
        renewer.give_out(now);
        renewer
    }

    /// Tells each link what the row gives to its target.
    fn give_out(&mut self, now: Tick) {
        let mut holdings = self.row.holdings();
        for link in &mut self.links {
            let position = self.row.position(&link.target.vm);
            let holding = position.and_then(|at| holdings.get_mut(at as usize));
            link.own(holding.map(std::mem::take).unwrap_or_default(), now);
        }
    }

    /// Adopts a newer row of the same cell and keeps what is known of its targets.
    pub(crate) fn rebase(&mut self, row: Arc<Row>, version: Version, now: Tick) {
        self.row = row;
        self.version = version;
        let row = &self.row;
        self.links.retain(|link| row.targets.contains(&link.target));
        for target in &row.targets {
            if !self.links.iter().any(|link| link.target == *target) {
                self.links.push(Link::new(target.clone(), now));
            }
        }
        self.give_out(now);
        for link in &mut self.links {
            rebase_revocation(link);
            link.refresh(now);
        }
    }

    pub(crate) fn link(&self, vm: &Vm) -> Option<&Link> {
        self.links.iter().find(|link| link.target.vm == *vm)
    }

    pub(crate) fn link_mut(&mut self, vm: &Vm) -> Option<&mut Link> {
        self.links.iter_mut().find(|link| link.target.vm == *vm)
    }

    /// Emits the orders that are due, leaving out targets for which `stopped` is true.
    pub(crate) fn renew(
        &mut self,
        now: Tick,
        rights: Rights<'_>,
        ledger: &mut Ledger,
        stopped: impl Fn(&Vm) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let term = self.row.term;
        for link in &mut self.links {
            if link.in_flight || link.due > now {
                continue;
            }
            let renewable = link.life == Life::Live && !stopped(&link.target.vm);
            let reading = link.reading.filter(|reading| {
                renewable && rights.until.is_none_or(|until| reading.received < until)
            });
            if let Some(reading) = reading {
                let end = reading.received.plus(rights.terms.ttl).plus(rights.terms.drift);
                ledger.extend(&self.row.name, &link.target.vm, end);
            }
            link.in_flight = true;
            link.due = now.plus(rights.terms.renew);
            let deadline_ms =
                reading.map(|reading| reading.target_ms + rights.terms.ttl.as_millis() as u64);
            let shards = deadline_ms.filter(|_| link.held != Some(link.digest));
            let offer = Offer {
                cell: self.row.name.clone(),
                from: rights.me.clone(),
                stamp: Stamp { term, version: self.version, seq: link.seq },
                incarnation: link.incarnation,
                deadline_ms,
                digest: link.digest,
                shards: shards.map(|_| link.set.clone()),
            };
            actions.push(Action::Grant { target: link.target.clone(), grant: offer });
        }
    }

    /// Marks targets that were silent for too long.
    pub(crate) fn suspect(&mut self, now: Tick, terms: &Terms, actions: &mut Vec<Action>) {
        for link in &mut self.links {
            let silent_for = now.since(link.heard);
            if link.life == Life::Suspected || silent_for < terms.suspect {
                continue;
            }
            link.life = Life::Suspected;
            actions.push(Action::Record(Decision::Suspected {
                cell: self.row.name.clone(),
                target: link.target.vm.clone(),
                silent_for,
            }));
        }
    }

    /// Takes the failure of an exchange.
    pub(crate) fn failed(&mut self, vm: &Vm) {
        if let Some(link) = self.link_mut(vm) {
            link.in_flight = false;
        }
    }

    /// Takes a target's answer.
    pub(crate) fn answered(
        &mut self,
        answered: &TargetReply,
        terms: &Terms,
        ledger: &mut Ledger,
        actions: &mut Vec<Action>,
    ) -> Meaning {
        let TargetReply { vm, sent, received_at: received, reply: answer, .. } = answered;
        let (sent, received) = (*sent, *received);
        let own = Stamp { term: self.row.term, version: self.version, seq: 0 };
        let name = self.row.name.clone();
        let Some(link) = self.link_mut(vm) else { return Meaning::Routine };
        link.in_flight = false;
        if link.incarnation.is_some_and(|known| known != answer.incarnation) {
            restart(link, &name, received, ledger, actions);
        }
        revive(link, &name, received, actions);
        link.incarnation = Some(answer.incarnation);
        link.heard = received;
        link.leaving = answer.leaving;
        let before = link.reading.replace(Reading { target_ms: answer.now_ms, received });
        if before.is_some_and(|before| received.since(before.received) > terms.renew * LATE) {
            // The order just answered rested on an old reading and gave little time.
            link.due = received;
        }
        match answer.verdict {
            Verdict::Accepted => accept(link, own, sent, received, answer),
            Verdict::NeedsShards => {
                link.held = None;
                link.due = received;
            }
            Verdict::OtherIncarnation => link.due = received,
            Verdict::Stale => return stale(link, own, answer, received),
        }
        Meaning::Routine
    }
}

fn rebase_revocation(link: &mut Link) {
    link.seq = 0;
    let Some(revocation) = &mut link.revocation else { return };
    let owned: BTreeSet<_> = link.owned.iter().map(|(shard, _)| *shard).collect();
    revocation.shards.retain(|shard| owned.contains(shard));
    if revocation.shards.is_empty() {
        link.revocation = None;
        return;
    }
    // A deputy that knows the new row would send its stamp with the sequence zero, so the
    // revocation has to be acknowledged again under a higher one.
    revocation.acked = None;
    link.seq = 1;
}

fn restart(
    link: &mut Link,
    name: &cell::Name,
    now: Tick,
    ledger: &mut Ledger,
    actions: &mut Vec<Action>,
) {
    // The new process holds the target's address, so the former one has ended with its leases.
    ledger.clear(name, &link.target.vm);
    link.held = None;
    link.due = now;
    if let Some(revocation) = &mut link.revocation {
        revocation.acked = None;
    }
    let target = link.target.vm.clone();
    actions.push(Action::Record(Decision::Restarted { cell: name.clone(), target }));
}

fn revive(link: &mut Link, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
    if link.life == Life::Live {
        return;
    }
    if link.life == Life::Suspected {
        let target = link.target.vm.clone();
        actions.push(Action::Record(Decision::Returned { cell: name.clone(), target }));
    }
    link.life = Life::Live;
    link.due = now;
}

fn accept(link: &mut Link, own: Stamp, sent: SentGrant, received: Tick, answer: &Answer) {
    if !sent.leased || sent.digest != link.digest {
        return;
    }
    link.held = Some(sent.digest);
    let current = Stamp { seq: link.seq, ..own };
    if let Some(revocation) = link.revocation.as_mut().filter(|_| sent.stamp == current) {
        revocation.acked.get_or_insert(received);
        revocation.busy = answer.busy.iter().copied().collect();
        if !revocation.busy.is_empty() {
            link.due = received.plus(BUSY_POLL);
        }
    }
}

/// How many times the renewal interval a reading may be old before the next order is sent at once.
const LATE: u32 = 2;

/// The time between two questions whether requests still run on a revoked shard.
const BUSY_POLL: std::time::Duration = std::time::Duration::from_millis(20);

fn stale(link: &mut Link, own: Stamp, answer: &Answer, now: Tick) -> Meaning {
    let highest = Stamp { seq: 0, ..answer.stamp };
    if highest > own {
        return Meaning::Superseded(answer.stamp);
    }
    // An order of our own under this row was higher; go on above it.
    link.seq = answer.stamp.seq + 1;
    link.due = now;
    Meaning::Routine
}
