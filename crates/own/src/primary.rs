//! The decisions of a cell's guardian: who owns which shard, and why the one before does not.

use {
    crate::{
        cell::{Row, Target},
        decision::{Change, Decision, Proof},
        election,
        ledger::Ledger,
        node::{Action, View},
        plan::{self, MoveLimits, TargetLoad},
        renewer::Renewer,
        session::{Liveness, Revocation, TargetSession},
        stop,
    },
    conf::services::Fencing,
    key::{Process, Shard, Vm, clock::Tick},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    store::vms,
};

/// The time between two questions to a process that has not acknowledged its stop.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The longest time between two looks at everything.
const CONSIDER_EVERY: Duration = Duration::from_millis(100);

/// The most shards that move for balance at once, in one cell.
const BALANCE_MOVES: usize = 8;

/// The excess over the mean that balance leaves alone.
const BALANCE_TOLERANCE: f64 = 0.10;

/// The state of asking one process to stop.
#[derive(Clone, Copy, Debug)]
struct Stop {
    asked: Tick,
    acked: bool,
}

/// The guardian of one cell.
#[derive(Debug)]
pub(crate) struct Primary {
    pub(crate) renewer: Renewer,
    stops: BTreeMap<(Process, Option<Vm>), Stop>,
    /// Targets that must not be renewed, since a write that takes their shards is not yet known
    /// to have failed.
    blocked: BTreeSet<Vm>,
    /// Whether a write of this guardian is on its way.
    writing: bool,
    /// When balance was last considered.
    balanced: Tick,
    /// When everything was last considered.
    drafted: Tick,
    /// The state of the fleet's list when members were last considered.
    members_of: Option<u64>,
}

/// A row to write, and what will have been decided once it is written.
#[derive(Debug)]
pub(crate) struct Draft {
    pub(crate) row: Row,
    pub(crate) decisions: Vec<Decision>,
    blocked: BTreeSet<Vm>,
}

impl Primary {
    pub(crate) fn new(renewer: Renewer, view: &View<'_>, ledger: &mut Ledger, now: Tick) -> Self {
        // Whoever renewed before may have given a lease just now.
        let end = now.plus(view.timing.ttl).plus(view.timing.drift_allowance);
        for target in &renewer.row.targets {
            ledger.extend(&renewer.row.name, &target.vm, end);
        }
        Self {
            renewer,
            stops: BTreeMap::new(),
            blocked: BTreeSet::new(),
            writing: false,
            balanced: now,
            drafted: Tick::default(),
            members_of: None,
        }
    }

    /// Returns the targets that must not be renewed.
    pub(crate) fn blocked_targets(&self) -> BTreeSet<Vm> {
        self.blocked.clone()
    }

    /// Tells whether some target can take shards, or may be found to be able to.
    pub(crate) fn can_serve(&self, view: &View<'_>) -> bool {
        let sessions = &self.renewer.sessions;
        sessions
            .iter()
            .any(|session| session.liveness == Liveness::Unknown || is_usable(session, view))
    }

    /// Tells whether a write is on its way.
    pub(crate) const fn is_writing(&self) -> bool {
        self.writing
    }

    /// Notes that the write of a draft was sent.
    pub(crate) fn record_write_started(&mut self, draft: &Draft) {
        self.writing = true;
        self.blocked = draft.blocked.clone();
    }

    /// Notes that the result of the write is known.
    pub(crate) fn record_write_finished(&mut self) {
        self.writing = false;
        self.blocked.clear();
    }

    /// Forgets acknowledgements, which hold for one version of the row only.
    pub(crate) fn clear_acknowledgements(&mut self) {
        self.stops.clear();
    }

    /// Takes a promise to stop. The ledger already accounts for its last leases.
    pub(crate) fn record_stop_ack(&mut self, process: &Process, target: Option<Vm>) {
        if let Some(stop) = self.stops.get_mut(&(process.clone(), target)) {
            stop.acked = true;
        }
    }

    /// Asks every other renewer to stop renewing `vm`, and tells whether all have.
    fn all_stopped(
        &mut self,
        vm: &Vm,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> bool {
        let row = Arc::clone(&self.renewer.row);
        let others = row.renewers().filter(|process| *process != view.me);
        self.ask_stop(others, Some(vm), view, now, actions)
    }

    /// Asks processes to stop, and tells whether all have.
    fn ask_stop<'a>(
        &mut self,
        processes: impl Iterator<Item = &'a Process>,
        target: Option<&Vm>,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> bool {
        let row = &self.renewer.row;
        let mut all = true;
        for process in processes.filter(|process| !view.has_ended(process)) {
            let key = (process.clone(), target.cloned());
            let stop = self.stops.get(&key).copied();
            if stop.is_some_and(|stop| stop.acked) {
                continue;
            }
            all = false;
            if stop.is_some_and(|stop| now.since(stop.asked) < ASK_AGAIN) {
                continue;
            }
            self.stops.insert(key, Stop { asked: now, acked: false });
            let ask = stop::Request {
                cell: row.name.clone(),
                term: row.term,
                version: self.renewer.version,
                target: target.cloned(),
            };
            actions.push(Action::RequestStop { process: process.clone(), request: ask });
        }
        all
    }

    /// Returns the proof that a target's ownership of everything has ended, if there is one.
    fn loss(
        &mut self,
        vm: &Vm,
        view: &View<'_>,
        ledger: &Ledger,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Option<Proof> {
        if view.is_vm_gone(vm) {
            return Some(Proof::VmGone);
        }
        let heard = self
            .renewer
            .session(vm)
            .filter(|session| session.liveness == Liveness::Suspected)?
            .last_heard_at;
        if view.vouched.contains(vm) {
            return Some(Proof::Operator);
        }
        let stopped = self.all_stopped(vm, view, now, actions);
        let lapsed = ledger.latest_end(&self.renewer.row.name, vm) <= now;
        (stopped && lapsed).then_some(Proof::Lapsed { unresponsive_for: now.since(heard) })
    }

    /// Returns the shards of a target whose revocation is proved, with the proof.
    fn yielded(
        &mut self,
        vm: &Vm,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Option<(BTreeSet<Shard>, Proof)> {
        let revocation = self.renewer.session(vm)?.revocation.clone()?;
        let acked = revocation.acked?;
        if view.fencing == Fencing::Lease {
            // The target would obey a delayed order, so every order given before must have run out.
            let stopped = self.all_stopped(vm, view, now, actions);
            if !stopped || now < revocation.former_end {
                return None;
            }
        }
        let free: BTreeSet<_> = revocation.shards.difference(&revocation.busy).copied().collect();
        let proof = Proof::Revoked { took: acked.since(revocation.since) };
        (!free.is_empty()).then_some((free, proof))
    }

    /// Tells whether a look at everything could find something to change.
    ///
    /// Most answers of targets change nothing, and a look costs time in proportion to the cell.
    fn is_due(&self, view: &View<'_>, now: Tick) -> bool {
        let pending = |session: &TargetSession| {
            let moving = session.liveness == Liveness::Suspected || session.leaving;
            (moving && !session.owned.is_empty()) || session.revocation.is_some()
        };
        now.since(self.drafted) >= CONSIDER_EVERY
            || self.members_of != Some(view.fleet_generation)
            || self.renewer.sessions.iter().any(pending)
    }

    /// Tells whether every target that could take shards is leaving, so that only other cells can.
    pub(crate) fn needs_other_cells(&self, view: &View<'_>) -> bool {
        let sessions = &self.renewer.sessions;
        sessions.iter().any(|session| is_leaving(session, view) && !session.owned.is_empty())
            && !sessions.iter().any(|session| is_usable(session, view))
    }

    /// Considers everything that may need a change of the row; `elsewhere` tells whether another
    /// cell could take shards that no target of this one can.
    pub(crate) fn draft(
        &mut self,
        view: &View<'_>,
        ledger: &Ledger,
        elsewhere: bool,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Option<Draft> {
        if self.writing || !self.is_due(view, now) {
            return None;
        }
        self.drafted = now;
        self.abandon(view, now, actions);
        self.revoke(view, ledger, elsewhere, now);
        let mut draft = Draft {
            row: (*self.renewer.row).clone(),
            decisions: Vec::new(),
            blocked: BTreeSet::new(),
        };
        self.draft_owners(&mut draft, view, ledger, now, actions);
        self.draft_members(&mut draft, view);
        self.draft_renewers(&mut draft, view, now, actions);
        if draft.row.failover_intent.take().is_some() {
            draft.decisions.push(Decision::FailoverWithdrawn { cell: draft.row.name.clone() });
        }
        (!draft.decisions.is_empty()).then_some(draft)
    }

    fn draft_owners(
        &mut self,
        draft: &mut Draft,
        view: &View<'_>,
        ledger: &Ledger,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let mut orphans: BTreeMap<Shard, Proof> = BTreeMap::new();
        let sessions = self.renewer.sessions.iter().filter(|session| !session.owned.is_empty());
        let touched = sessions.filter(|session| {
            session.liveness == Liveness::Suspected
                || session.revocation.is_some()
                || view.is_vm_gone(&session.target.vm)
        });
        let touched: Vec<_> =
            touched.map(|session| (session.target.vm.clone(), session.owned.clone())).collect();
        for (vm, owned) in &touched {
            if let Some(proof) = self.loss(vm, view, ledger, now, actions) {
                draft.blocked.insert(vm.clone());
                orphans.extend(owned.iter().map(|(shard, _)| (*shard, proof.clone())));
            } else if let Some((shards, proof)) = self.yielded(vm, view, now, actions) {
                orphans.extend(shards.into_iter().map(|shard| (shard, proof.clone())));
            }
        }
        // Before every target has answered or been silent for too long, the first one to answer
        // would get everything.
        let known =
            self.renewer.sessions.iter().all(|session| session.liveness != Liveness::Unknown);
        let vacant = draft.row.slots.iter().filter(|slot| known && slot.owner.is_none());
        orphans.extend(vacant.map(|slot| (slot.shard, Proof::Vacant)));
        if orphans.is_empty() {
            return;
        }
        let bins = self.bins(view, &orphans);
        let weights = orphans.keys().map(|shard| (*shard, view.shard_weight(*shard))).collect();
        let placed = plan::assign_orphans(&weights, &bins);
        let changes = apply(&mut draft.row, &orphans, &placed);
        if !changes.is_empty() {
            let cell = draft.row.name.clone();
            draft.decisions.push(Decision::Reassigned { cell, changes });
        }
    }

    /// Returns the targets that can take shards, without the shards that are to be placed.
    fn bins(&self, view: &View<'_>, orphans: &BTreeMap<Shard, Proof>) -> Vec<TargetLoad> {
        let usable = self.renewer.sessions.iter().filter(|session| is_usable(session, view));
        let bins = usable.map(|session| {
            let kept = session.owned.iter().filter(|(shard, _)| !orphans.contains_key(shard));
            let shards = kept.map(|(shard, _)| (*shard, view.shard_weight(*shard))).collect();
            TargetLoad { vm: session.target.vm.clone(), shards }
        });
        bins.collect()
    }

    fn draft_members(&mut self, draft: &mut Draft, view: &View<'_>) {
        if self.members_of == Some(view.fleet_generation) {
            return;
        }
        let cell = draft.row.name.clone();
        let mut joined = Vec::new();
        for listed in view.vms_in_cell(&cell) {
            if listed.state == vms::VmState::Live && draft.row.position(&listed.vm).is_none() {
                draft.row.targets.push(Target { vm: listed.vm.clone(), address: listed.address });
                joined.push(listed.vm.clone());
            }
        }
        let gone = |target: &&Target| {
            view.is_vm_gone(&target.vm) && draft.row.shards_of(&target.vm).is_empty()
        };
        let left: Vec<Vm> =
            draft.row.targets.iter().filter(gone).map(|target| target.vm.clone()).collect();
        for vm in &left {
            draft.row.remove_target(vm);
        }
        if joined.is_empty() && left.is_empty() {
            // A target that is gone but still owns shards has to be looked at again.
            let waiting = draft.row.targets.iter().any(|target| view.is_vm_gone(&target.vm));
            self.members_of = (!waiting).then_some(view.fleet_generation);
            return;
        }
        draft.decisions.push(Decision::MembersChanged { cell, joined, left });
    }

    fn draft_renewers(
        &mut self,
        draft: &mut Draft,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let row = Arc::clone(&self.renewer.row);
        let row = &*row;
        let wanted = election::deputies(row, view, now);
        let lost = row.standbys.iter().any(|deputy| !wanted.contains(deputy));
        if lost || row.standbys.len() < wanted.len() {
            draft.row.standbys = wanted;
        }
        let mut former = election::former(row, &draft.row, view);
        let known = row.former.clone();
        self.ask_stop(known.iter(), None, view, now, actions);
        former.retain(|process| !self.has_released(process));
        draft.row.former = former;
        if draft.row.standbys != row.standbys || draft.row.former != row.former {
            draft.decisions.push(Decision::RenewersChanged {
                cell: row.name.clone(),
                standbys: draft.row.standbys.clone(),
                former: draft.row.former.clone(),
            });
        }
    }

    fn has_released(&self, process: &Process) -> bool {
        self.stops.get(&(process.clone(), None)).is_some_and(|stop| stop.acked)
    }

    /// Starts the planned moves: everything off targets that leave, and some for balance.
    fn revoke(&mut self, view: &View<'_>, ledger: &Ledger, elsewhere: bool, now: Tick) {
        let usable = self.renewer.sessions.iter().any(|session| is_usable(session, view));
        if !(usable || elsewhere) || !view.is_table_fresh(now) {
            // A move whose write cannot be confirmed would leave its shards without an owner.
            return;
        }
        let sessions = self.renewer.sessions.iter().filter(|session| is_leaving(session, view));
        let shards =
            |session: &TargetSession| session.owned.iter().map(|(shard, _)| *shard).collect();
        let leaving: Vec<(Vm, BTreeSet<Shard>)> =
            sessions.map(|session| (session.target.vm.clone(), shards(session))).collect();
        for (vm, shards) in leaving {
            self.start_revocation(&vm, shards, ledger, now);
        }
        if now.since(self.balanced) < view.balance_interval {
            return;
        }
        self.balanced = now;
        if self.renewer.sessions.iter().any(|session| session.revocation.is_some()) {
            return;
        }
        let bins = self.bins(view, &BTreeMap::new());
        let budget = MoveLimits { max_moves: BALANCE_MOVES, tolerance: BALANCE_TOLERANCE };
        if let Some((vm, shards)) = plan::rebalance(&bins, budget) {
            self.start_revocation(&vm, shards, ledger, now);
        }
    }

    fn start_revocation(&mut self, vm: &Vm, shards: BTreeSet<Shard>, ledger: &Ledger, now: Tick) {
        let former_end = ledger.latest_end(&self.renewer.row.name, vm);
        let Some(session) = self.renewer.session_mut(vm) else { return };
        if shards.is_empty() || session.revocation.is_some() || !session.is_live() {
            return;
        }
        session.seq += 1;
        session.revocation =
            Some(Revocation { shards, since: now, former_end, acked: None, busy: BTreeSet::new() });
        session.refresh(now);
        session.due = now;
    }

    /// Gives up planned moves whose requests in flight last too long.
    fn abandon(&mut self, view: &View<'_>, now: Tick, actions: &mut Vec<Action>) {
        let row = Arc::clone(&self.renewer.row);
        for session in &mut self.renewer.sessions {
            let Some(revocation) = &session.revocation else { continue };
            if now.since(revocation.since) < view.timing.drain_timeout || is_leaving(session, view)
            {
                continue;
            }
            session.revocation = None;
            session.seq += 1;
            session.refresh(now);
            let target = session.target.vm.clone();
            actions.push(Action::Record(Decision::Abandoned { cell: row.name.clone(), target }));
        }
    }
}

fn is_leaving(session: &TargetSession, view: &View<'_>) -> bool {
    session.leaving || view.is_vm_leaving(&session.target.vm)
}

fn is_usable(session: &TargetSession, view: &View<'_>) -> bool {
    session.is_live() && !is_leaving(session, view) && !view.is_vm_gone(&session.target.vm)
}

/// Writes the new owners into the row; an orphan without a place stays without an owner.
fn apply(
    row: &mut Row,
    orphans: &BTreeMap<Shard, Proof>,
    placed: &BTreeMap<Shard, Vm>,
) -> Vec<Change> {
    let positions: HashMap<Vm, u32> =
        row.targets.iter().enumerate().map(|(at, target)| (target.vm.clone(), at as u32)).collect();
    let mut changes = Vec::new();
    for slot in &mut row.slots {
        let Some(proof) = orphans.get(&slot.shard) else { continue };
        let to = placed.get(&slot.shard);
        let owner = to.and_then(|vm| positions.get(vm)).copied();
        if owner == slot.owner {
            continue;
        }
        let from = slot.owner.and_then(|at| row.targets.get(at as usize));
        slot.owner = owner;
        slot.fence = slot.fence.next();
        changes.push(Change {
            shard: slot.shard,
            from: from.map(|target| target.vm.clone()),
            to: to.cloned(),
            fence: slot.fence,
            proof: proof.clone(),
        });
    }
    changes
}
