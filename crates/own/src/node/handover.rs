//! Cells that change hands: taken over, rescued, given away or resigned.

use {
    crate::{
        cell::{self, Row},
        decision::{Decision, Proof},
        election::{self, Verdict},
        failover::{self, Step},
        node::{Action, Cell, Node, Role, RoleState, renew_until, writes::WritePurpose},
        renewer::{RenewalContext, Renewer},
    },
    key::{Version, Vm, clock::Tick},
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// The time shards stay without owner in a cell that has no targets before others get them.
const VACANT_BEFORE_TRANSFER: Duration = Duration::from_millis(200);

/// The time between two looks at a cell of another zone.
const RESCUE_EVERY: Duration = Duration::from_millis(100);

/// The cells that are considered for the shards of one that cannot serve them.
const CANDIDATES: usize = 4;

/// The cells that get the shards of one that cannot serve them.
const SUCCESSORS: usize = 2;

impl Node {
    /// Acts for a cell of the own zone that another process guards.
    pub(super) fn stand_by(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let verdict = election::evaluate(&cell.row, &view, now);
        let released = self.stopped.contains_key(&(name.clone(), None));
        let Verdict::TakeOver(reason) = verdict else {
            if matches!(cell.role, RoleState::Standby(_)) {
                cell.role = RoleState::Observer;
            }
            return;
        };
        let is_deputy = cell.row.standbys.contains(view.me) && !released;
        if is_deputy && matches!(cell.role, RoleState::Observer) {
            let renewer = Renewer::new(Arc::clone(&cell.row), cell.version, now);
            cell.role = RoleState::Standby(renewer);
            actions.push(Action::Record(Decision::ActingStandby {
                cell: name.clone(),
                primary: cell.row.primary.clone(),
            }));
        }
        if self.writes.can_start(name, now) && self.table_polled_at.is_some() {
            let row = election::take_over(&cell.row, &view, now);
            let decision = Decision::BecamePrimary {
                cell: name.clone(),
                term: row.term,
                predecessor: cell.row.primary.clone(),
                reason,
            };
            let rows = vec![(cell.version, row)];
            self.writes.start(WritePurpose::TakeOver, rows, vec![decision], actions);
        }
        if let RoleState::Standby(renewer) = &mut cell.role {
            let until = renew_until(&view, cell.looked);
            let rights =
                RenewalContext { me: view.me, timing: view.timing, clock_read_before: until };
            let stopped = |vm: &Vm| self.stopped.contains_key(&(name.clone(), Some(vm.clone())));
            renewer.renew(now, rights, &mut self.ledger, stopped, actions);
        }
    }

    /// Hands shards that cannot be served here to cells that can.
    pub(super) fn give_away(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get(name) else { return };
        let RoleState::Primary(guardian) = &cell.role else { return };
        let vacant = cell.row.slots.iter().any(|slot| slot.owner.is_none());
        let rested = now.since(cell.changed) >= VACANT_BEFORE_TRANSFER;
        if !vacant || !rested || guardian.can_serve(&view) {
            return;
        }
        self.transfer(name, |slot| slot.owner.is_none(), Proof::Vacant, now, actions);
    }

    pub(super) fn consider_rescue(
        &mut self,
        name: &cell::Name,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        if self.resigning || now.since(cell.considered) < RESCUE_EVERY {
            return;
        }
        cell.considered = now;
        let view = self.fleet.view(&name.service, false, self.table_polled_at);
        let quiet =
            cell.row.slots.is_empty() || !failover::is_cell_unresponsive(&cell.row, &view, now);
        if quiet || !self.is_rescuer(name, now) || !self.writes.can_start(name, now) {
            return;
        }
        let view = self.fleet.view(&name.service, false, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        match cell.rescue.next_step(&cell.row, cell.version, view.isolation, &view, now) {
            Step::Wait => {}
            Step::Declare => {
                let mut row = (*cell.row).clone();
                row.failover_intent = Some(cell::FailoverIntent { by: view.me.clone() });
                let decisions = vec![Decision::FailoverDeclared { cell: name.clone() }];
                let rows = vec![(cell.version, row)];
                self.writes.start(
                    WritePurpose::DeclareFailover(name.clone()),
                    rows,
                    decisions,
                    actions,
                );
            }
            Step::TakeOver(proof) => self.transfer(name, |_| true, proof, now, actions),
        }
    }

    /// Tells whether this process is the one that would rescue a cell of another zone.
    fn is_rescuer(&self, name: &cell::Name, now: Tick) -> bool {
        let subject = name.to_string();
        let cells = self.receivers(name, now);
        let best = cells
            .iter()
            .max_by_key(|(other, _)| key::rendezvous_weight(&subject, &other.to_string()));
        best.is_some_and(|(other, _)| self.role(other) == Role::Primary)
    }

    /// Returns the cells of the service, other than `name`, that can take shards.
    pub(super) fn receivers(&self, name: &cell::Name, now: Tick) -> Vec<(cell::Name, Version)> {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let able = |cell: &Cell| {
            let guardian = cell.row.primary.as_ref();
            let guarded = guardian.is_some_and(|process| view.is_alive(process, now));
            guarded && cell.row.targets.iter().any(|target| view.is_vm_available(&target.vm))
        };
        let others = self.cells.iter().filter(|(other, cell)| {
            other.service == name.service
                && *other != name
                && cell.row.failover_intent.is_none()
                && able(cell)
        });
        others.map(|(other, cell)| (other.clone(), cell.version)).collect()
    }

    /// Returns the few cells that take the shards of `name`.
    ///
    /// Different cells choose differently, so the loss of a zone writes a number of rows in
    /// proportion to its cells; with all receivers in each write it would grow with their square.
    fn successors(&self, name: &cell::Name, now: Tick) -> Vec<(cell::Name, Version)> {
        let subject = name.to_string();
        let mut receivers = self.receivers(name, now);
        receivers.sort_by_key(|(other, _)| {
            Reverse(key::rendezvous_weight(&subject, &other.to_string()))
        });
        receivers.truncate(CANDIDATES);
        let load = |(other, _): &(cell::Name, Version)| {
            self.cells
                .get(other)
                .map_or(0, |cell| cell.row.slots.len() / cell.row.targets.len().max(1))
        };
        receivers.sort_by_key(load);
        receivers.truncate(SUCCESSORS);
        receivers
    }

    fn transfer(
        &mut self,
        name: &cell::Name,
        leaves: impl Fn(&cell::Slot) -> bool,
        proof: Proof,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let receivers = self.successors(name, now);
        let busy = receivers.iter().any(|(other, _)| self.writes.is_in_flight(other));
        if receivers.is_empty() || busy || !self.writes.can_start(name, now) {
            return;
        }
        let Some(cell) = self.cells.get(name) else { return };
        let to: Vec<(cell::Name, &Row)> =
            receivers.iter().map(|(other, _)| (other.clone(), &*self.cells[other].row)).collect();
        let (mut source, rows, counts) = failover::transfer(&cell.row, leaves, &to);
        if name.zone != *self.fleet.zone() {
            source.term = source.term.next();
            source.former = source.renewers().cloned().collect();
            source.primary = None;
            source.standbys.clear();
        }
        let mut writes = vec![(cell.version, source)];
        writes.extend(receivers.iter().map(|(_, version)| *version).zip(rows));
        let decision = Decision::Transferred { cell: name.clone(), to: counts, proof };
        self.writes.start(WritePurpose::Transfer, writes, vec![decision], actions);
    }

    /// Gives a cell to a successor, renewing nothing from now on.
    pub(super) fn resign(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.fleet.view(&name.service, true, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        if !matches!(cell.role, RoleState::Primary(_)) || !self.writes.can_start(name, now) {
            return;
        }
        let candidates = election::candidates(&cell.row, &view, now);
        let Some(successor) = candidates.first().cloned() else {
            cell.role = RoleState::Observer;
            return;
        };
        let mut row = (*cell.row).clone();
        row.term = row.term.next();
        row.primary = Some(successor.clone());
        row.standbys.retain(|deputy| *deputy != successor && !view.has_ended(deputy));
        let decision = Decision::Resigned { cell: name.clone(), to: successor };
        let rows = vec![(cell.version, row)];
        self.writes.start(WritePurpose::Resign(name.clone()), rows, vec![decision], actions);
    }
}
