//! Decisions of a cell's primary: which target owns which shard, and the proof that the previous
//! owner has stopped.

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

/// The time between two requests to a process that has not acknowledged its stop.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time between two full evaluations of a cell.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// The most shards of a cell that one round of rebalancing moves.
const MAX_REBALANCE_MOVES: usize = 8;

/// The excess over the mean, as a fraction of it, that rebalancing tolerates.
const REBALANCE_TOLERANCE: f64 = 0.10;

/// The state of a request to one process to stop renewing.
#[derive(Clone, Copy, Debug)]
struct StopRequest {
    requested_at: Tick,
    acknowledged: bool,
}

/// The state of this process as the primary of one cell.
#[derive(Debug)]
pub(crate) struct Primary {
    pub(crate) renewer: Renewer,
    /// The requests to stop renewing one target or, without a VM, the whole cell.
    stop_requests: BTreeMap<(Process, Option<Vm>), StopRequest>,
    /// Targets that must not be renewed, because a write that reassigns their shards is not known
    /// to have failed.
    blocked: BTreeSet<Vm>,
    /// Whether a write of this primary is in flight.
    write_in_flight: bool,
    /// When rebalancing was last considered.
    rebalanced_at: Tick,
    /// When the cell was last evaluated in full.
    evaluated_at: Tick,
    /// The generation of the fleet state for which the row's list of targets is up to date.
    members_generation: Option<u64>,
}

/// A row to write, and the decisions that take effect once it is written.
#[derive(Debug)]
pub(crate) struct Draft {
    pub(crate) row: Row,
    pub(crate) decisions: Vec<Decision>,
    /// Targets that lose all their shards, and so must not be renewed while the write may take
    /// effect.
    blocked: BTreeSet<Vm>,
}

impl Primary {
    pub(crate) fn new(renewer: Renewer, view: &View<'_>, ledger: &mut Ledger, now: Tick) -> Self {
        // A previous renewer may have granted a lease just before this process became the primary.
        let end = now.plus(view.timing.ttl).plus(view.timing.drift_allowance);
        for target in &renewer.row.targets {
            ledger.extend(&renewer.row.name, &target.vm, end);
        }
        Self {
            renewer,
            stop_requests: BTreeMap::new(),
            blocked: BTreeSet::new(),
            write_in_flight: false,
            rebalanced_at: now,
            evaluated_at: Tick::default(),
            members_generation: None,
        }
    }

    /// Returns the targets that must not be renewed.
    pub(crate) fn blocked_targets(&self) -> BTreeSet<Vm> {
        self.blocked.clone()
    }

    /// Returns true if some target can take shards, or has not replied yet and may be able to.
    pub(crate) fn can_serve(&self, view: &View<'_>) -> bool {
        let sessions = &self.renewer.sessions;
        sessions
            .iter()
            .any(|session| session.liveness == Liveness::Unknown || is_usable(session, view))
    }

    /// Returns true if a write is in flight.
    pub(crate) const fn is_writing(&self) -> bool {
        self.write_in_flight
    }

    /// Records that the write of a draft was sent.
    pub(crate) fn record_write_started(&mut self, draft: &Draft) {
        self.write_in_flight = true;
        self.blocked = draft.blocked.clone();
    }

    /// Records that the result of the write is known.
    pub(crate) fn record_write_finished(&mut self) {
        self.write_in_flight = false;
        self.blocked.clear();
    }

    /// Discards the acknowledgements of stop requests, which are valid for one version of the row.
    pub(crate) fn clear_acknowledgements(&mut self) {
        self.stop_requests.clear();
    }

    /// Records an acknowledged stop request, whose last leases are already in the ledger.
    pub(crate) fn record_stop_ack(&mut self, process: &Process, target: Option<Vm>) {
        if let Some(request) = self.stop_requests.get_mut(&(process.clone(), target)) {
            request.acknowledged = true;
        }
    }

    /// Requests that every other renewer stops renewing `vm`; returns true once all have.
    fn stop_other_renewers(
        &mut self,
        vm: &Vm,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> bool {
        let row = Arc::clone(&self.renewer.row);
        let others = row.renewers().filter(|process| *process != view.me);
        self.request_stop(others, Some(vm), view, now, actions)
    }

    /// Requests that processes stop renewing; returns true once all have.
    fn request_stop<'a>(
        &mut self,
        processes: impl Iterator<Item = &'a Process>,
        target: Option<&Vm>,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> bool {
        let row = &self.renewer.row;
        let mut all_stopped = true;
        for process in processes.filter(|process| !view.has_ended(process)) {
            let key = (process.clone(), target.cloned());
            let previous = self.stop_requests.get(&key).copied();
            if previous.is_some_and(|previous| previous.acknowledged) {
                continue;
            }
            all_stopped = false;
            if previous
                .is_some_and(|previous| now.since(previous.requested_at) < STOP_RETRY_INTERVAL)
            {
                continue;
            }
            self.stop_requests.insert(key, StopRequest { requested_at: now, acknowledged: false });
            let request = stop::Request {
                cell: row.name.clone(),
                term: row.term,
                version: self.renewer.version,
                target: target.cloned(),
            };
            actions.push(Action::RequestStop { process: process.clone(), request });
        }
        all_stopped
    }

    /// Returns the proof that a target no longer owns any shard, if there is one.
    fn proof_of_loss(
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
        let last_heard_at = self
            .renewer
            .session(vm)
            .filter(|session| session.liveness == Liveness::Suspected)?
            .last_heard_at;
        if view.vouched.contains(vm) {
            return Some(Proof::Operator);
        }
        let stopped = self.stop_other_renewers(vm, view, now, actions);
        let lapsed = ledger.latest_end(&self.renewer.row.name, vm) <= now;
        (stopped && lapsed).then_some(Proof::Lapsed { unresponsive_for: now.since(last_heard_at) })
    }

    /// Returns the shards of a target whose revocation is complete, with the proof.
    fn revoked_shards(
        &mut self,
        vm: &Vm,
        view: &View<'_>,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Option<(BTreeSet<Shard>, Proof)> {
        let revocation = self.renewer.session(vm)?.revocation.clone()?;
        let acknowledged_at = revocation.acknowledged_at?;
        if view.fencing == Fencing::Lease {
            // The target does not compare stamps and would apply a delayed grant, so every lease
            // granted before must have expired.
            let stopped = self.stop_other_renewers(vm, view, now, actions);
            if !stopped || now < revocation.earlier_leases_end {
                return None;
            }
        }
        let idle: BTreeSet<_> = revocation.shards.difference(&revocation.busy).copied().collect();
        let proof = Proof::Revoked { took: acknowledged_at.since(revocation.started_at) };
        (!idle.is_empty()).then_some((idle, proof))
    }

    /// Returns true if a full evaluation could find something to change.
    ///
    /// Most replies of targets change nothing, and the cost of an evaluation is proportional to the
    /// size of the cell.
    fn is_due(&self, view: &View<'_>, now: Tick) -> bool {
        let has_pending_change = |session: &TargetSession| {
            let losing = session.liveness == Liveness::Suspected || session.leaving;
            (losing && !session.owned.is_empty()) || session.revocation.is_some()
        };
        now.since(self.evaluated_at) >= EVALUATION_INTERVAL
            || self.members_generation != Some(view.fleet_generation)
            || self.renewer.sessions.iter().any(has_pending_change)
    }

    /// Returns true if leaving targets own shards that no target of this cell can take.
    pub(crate) fn needs_other_cells(&self, view: &View<'_>) -> bool {
        let sessions = &self.renewer.sessions;
        sessions.iter().any(|session| is_leaving(session, view) && !session.owned.is_empty())
            && !sessions.iter().any(|session| is_usable(session, view))
    }

    /// Evaluates the cell in full and returns a draft if the row needs a change.
    ///
    /// `others_can_serve` is true if another cell could take shards that no target of this one can.
    pub(crate) fn draft(
        &mut self,
        view: &View<'_>,
        ledger: &Ledger,
        others_can_serve: bool,
        now: Tick,
        actions: &mut Vec<Action>,
    ) -> Option<Draft> {
        if self.write_in_flight || !self.is_due(view, now) {
            return None;
        }
        self.evaluated_at = now;
        self.abandon_overdue(view, now, actions);
        self.start_revocations(view, ledger, others_can_serve, now);
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
        let affected = sessions.filter(|session| {
            session.liveness == Liveness::Suspected
                || session.revocation.is_some()
                || view.is_vm_gone(&session.target.vm)
        });
        let affected: Vec<_> =
            affected.map(|session| (session.target.vm.clone(), session.owned.clone())).collect();
        for (vm, owned) in &affected {
            if let Some(proof) = self.proof_of_loss(vm, view, ledger, now, actions) {
                draft.blocked.insert(vm.clone());
                orphans.extend(owned.iter().map(|(shard, _)| (*shard, proof.clone())));
            } else if let Some((shards, proof)) = self.revoked_shards(vm, view, now, actions) {
                orphans.extend(shards.into_iter().map(|shard| (shard, proof.clone())));
            }
        }
        // Vacant shards wait until each target has replied or is suspected; otherwise the first
        // target to reply would get all of them.
        let all_known =
            self.renewer.sessions.iter().all(|session| session.liveness != Liveness::Unknown);
        let vacant = draft.row.slots.iter().filter(|slot| all_known && slot.owner.is_none());
        orphans.extend(vacant.map(|slot| (slot.shard, Proof::Vacant)));
        if orphans.is_empty() {
            return;
        }
        let targets = self.target_loads(view, &orphans);
        let weights = orphans.keys().map(|shard| (*shard, view.shard_weight(*shard))).collect();
        let assigned = plan::assign_orphans(&weights, &targets);
        let changes = apply_assignments(&mut draft.row, &orphans, &assigned);
        if !changes.is_empty() {
            let cell = draft.row.name.clone();
            draft.decisions.push(Decision::Reassigned { cell, changes });
        }
    }

    /// Returns the targets that can take shards, without the orphans among their shards.
    fn target_loads(&self, view: &View<'_>, orphans: &BTreeMap<Shard, Proof>) -> Vec<TargetLoad> {
        let usable = self.renewer.sessions.iter().filter(|session| is_usable(session, view));
        let loads = usable.map(|session| {
            let kept = session.owned.iter().filter(|(shard, _)| !orphans.contains_key(shard));
            let shards = kept.map(|(shard, _)| (*shard, view.shard_weight(*shard))).collect();
            TargetLoad { vm: session.target.vm.clone(), shards }
        });
        loads.collect()
    }

    fn draft_members(&mut self, draft: &mut Draft, view: &View<'_>) {
        if self.members_generation == Some(view.fleet_generation) {
            return;
        }
        let cell = draft.row.name.clone();
        let mut joined = Vec::new();
        for record in view.vms_in_cell(&cell) {
            if record.state == vms::VmState::Live && draft.row.position(&record.vm).is_none() {
                draft.row.targets.push(Target { vm: record.vm.clone(), address: record.address });
                joined.push(record.vm.clone());
            }
        }
        let is_removable = |target: &&Target| {
            view.is_vm_gone(&target.vm) && draft.row.shards_of(&target.vm).is_empty()
        };
        let left: Vec<Vm> =
            draft.row.targets.iter().filter(is_removable).map(|target| target.vm.clone()).collect();
        for vm in &left {
            draft.row.remove_target(vm);
        }
        if joined.is_empty() && left.is_empty() {
            // A target that is gone but still owns shards has to be evaluated again.
            let has_gone_owner = draft.row.targets.iter().any(|target| view.is_vm_gone(&target.vm));
            self.members_generation = (!has_gone_owner).then_some(view.fleet_generation);
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
        let wanted = election::choose_standbys(row, view, now);
        let is_outdated = row.standbys.iter().any(|standby| !wanted.contains(standby));
        if is_outdated || row.standbys.len() < wanted.len() {
            draft.row.standbys = wanted;
        }
        let mut former = election::former_renewers(row, &draft.row, view);
        let previous = row.former.clone();
        self.request_stop(previous.iter(), None, view, now, actions);
        former.retain(|process| !self.has_stopped(process));
        draft.row.former = former;
        if draft.row.standbys != row.standbys || draft.row.former != row.former {
            draft.decisions.push(Decision::RenewersChanged {
                cell: row.name.clone(),
                standbys: draft.row.standbys.clone(),
                former: draft.row.former.clone(),
            });
        }
    }

    fn has_stopped(&self, process: &Process) -> bool {
        self.stop_requests.get(&(process.clone(), None)).is_some_and(|request| request.acknowledged)
    }

    /// Starts revocations: of all shards of leaving targets, and of some for rebalancing.
    fn start_revocations(
        &mut self,
        view: &View<'_>,
        ledger: &Ledger,
        others_can_serve: bool,
        now: Tick,
    ) {
        let usable = self.renewer.sessions.iter().any(|session| is_usable(session, view));
        if !(usable || others_can_serve) || !view.is_table_fresh(now) {
            // A revocation whose write cannot be confirmed would leave its shards without an owner.
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
        if now.since(self.rebalanced_at) < view.balance_interval {
            return;
        }
        self.rebalanced_at = now;
        if self.renewer.sessions.iter().any(|session| session.revocation.is_some()) {
            return;
        }
        let targets = self.target_loads(view, &BTreeMap::new());
        let limits = MoveLimits { max_moves: MAX_REBALANCE_MOVES, tolerance: REBALANCE_TOLERANCE };
        if let Some((vm, shards)) = plan::rebalance(&targets, limits) {
            self.start_revocation(&vm, shards, ledger, now);
        }
    }

    fn start_revocation(&mut self, vm: &Vm, shards: BTreeSet<Shard>, ledger: &Ledger, now: Tick) {
        let earlier_leases_end = ledger.latest_end(&self.renewer.row.name, vm);
        let Some(session) = self.renewer.session_mut(vm) else { return };
        if shards.is_empty() || session.revocation.is_some() || !session.is_live() {
            return;
        }
        session.seq += 1;
        session.revocation = Some(Revocation {
            shards,
            started_at: now,
            earlier_leases_end,
            acknowledged_at: None,
            busy: BTreeSet::new(),
        });
        session.update_lease(now);
        session.next_grant_at = now;
    }

    /// Abandons revocations whose requests in flight take too long.
    fn abandon_overdue(&mut self, view: &View<'_>, now: Tick, actions: &mut Vec<Action>) {
        let row = Arc::clone(&self.renewer.row);
        for session in &mut self.renewer.sessions {
            let Some(revocation) = &session.revocation else { continue };
            if now.since(revocation.started_at) < view.timing.drain_timeout
                || is_leaving(session, view)
            {
                continue;
            }
            session.revocation = None;
            session.seq += 1;
            session.update_lease(now);
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

/// Writes the new owners into the row and returns the changes.
///
/// An orphan that is not in `assigned` becomes a shard without an owner.
fn apply_assignments(
    row: &mut Row,
    orphans: &BTreeMap<Shard, Proof>,
    assigned: &BTreeMap<Shard, Vm>,
) -> Vec<Change> {
    let positions: HashMap<Vm, u32> = row
        .targets
        .iter()
        .enumerate()
        .map(|(index, target)| (target.vm.clone(), index as u32))
        .collect();
    let mut changes = Vec::new();
    for slot in &mut row.slots {
        let Some(proof) = orphans.get(&slot.shard) else { continue };
        let to = assigned.get(&slot.shard);
        let owner = to.and_then(|vm| positions.get(vm)).copied();
        if owner == slot.owner {
            continue;
        }
        let from = slot.owner.and_then(|index| row.targets.get(index as usize));
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
