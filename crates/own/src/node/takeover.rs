//! Changes of a cell's primary and transfers of shards between cells.
//!
//! A standby takes over from an unresponsive primary, a resigning primary names its successor, and
//! shards that a cell cannot serve move to other cells, also when its availability zone is cut off.

use {
    crate::{
        cell::{self, Row},
        decision::{Decision, Proof},
        election::{self, Verdict},
        failover::{self, Step},
        node::{Action, Cell, Node, Role, RoleState, clock_reading_limit, writes::WritePurpose},
        renewer::{RenewalContext, Renewer},
    },
    key::{Version, Vm, clock::Tick},
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// How long shards stay without an owner in a cell without usable targets before they move to other
/// cells.
const TRANSFER_VACANT_AFTER: Duration = Duration::from_millis(200);

/// The time between two checks whether a cell of another zone needs a failover.
const FAILOVER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The largest number of cells that are considered as receivers of the shards of another one.
const MAX_CANDIDATE_CELLS: usize = 4;

/// The largest number of cells that receive the shards of another one.
const MAX_RECEIVING_CELLS: usize = 2;

impl Node {
    /// Checks the primary of a cell of this zone, and starts to take the cell over if it is lost.
    ///
    /// If this process is a standby of the cell, it renews the leases meanwhile.
    pub(super) fn check_primary(
        &mut self,
        name: &cell::Name,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let verdict = election::evaluate(&cell.row, &view, now);
        let has_promised_stop = self.stop_promises.contains_key(&(name.clone(), None));
        let Verdict::TakeOver(reason) = verdict else {
            if matches!(cell.role, RoleState::Standby(_)) {
                cell.role = RoleState::Observer;
            }
            return;
        };
        let is_standby = cell.row.standbys.contains(view.me) && !has_promised_stop;
        if is_standby && matches!(cell.role, RoleState::Observer) {
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
            let clock_read_before = clock_reading_limit(&view, cell.polled_without_intent_at);
            let context = RenewalContext { me: view.me, timing: view.timing, clock_read_before };
            let must_not_renew =
                |vm: &Vm| self.stop_promises.contains_key(&(name.clone(), Some(vm.clone())));
            renewer.renew(now, context, &mut self.ledger, must_not_renew, actions);
        }
    }

    /// Transfers shards without an owner to other cells if no target of this one can serve them.
    pub(super) fn transfer_vacant_shards(
        &mut self,
        name: &cell::Name,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get(name) else { return };
        let RoleState::Primary(primary) = &cell.role else { return };
        let has_vacant = cell.row.slots.iter().any(|slot| slot.owner.is_none());
        let is_due = now.since(cell.changed_at) >= TRANSFER_VACANT_AFTER;
        if !has_vacant || !is_due || primary.can_serve(&view) {
            return;
        }
        self.transfer_shards(name, |slot| slot.owner.is_none(), Proof::Vacant, now, actions);
    }

    /// Declares or carries out the failover of a cell of another zone that has become unresponsive.
    pub(super) fn check_failover(
        &mut self,
        name: &cell::Name,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        if self.resigning || now.since(cell.failover_checked_at) < FAILOVER_CHECK_INTERVAL {
            return;
        }
        cell.failover_checked_at = now;
        let view = self.fleet.view(&name.service, false, self.table_polled_at);
        let not_needed =
            cell.row.slots.is_empty() || !failover::is_cell_unresponsive(&cell.row, &view, now);
        if not_needed || !self.is_failover_executor(name, now) || !self.writes.can_start(name, now)
        {
            return;
        }
        let view = self.fleet.view(&name.service, false, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        match cell.failover.next_step(&cell.row, cell.version, view.isolation, &view, now) {
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
            Step::TakeOver(proof) => self.transfer_shards(name, |_| true, proof, now, actions),
        }
    }

    /// Reports whether this process is the one that carries out the failover of a cell of another
    /// zone: the primary of the receiving cell with the greatest rendezvous weight.
    fn is_failover_executor(&self, name: &cell::Name, now: Tick) -> bool {
        let subject = name.to_string();
        let cells = self.receiving_cells(name, now);
        let preferred = cells
            .iter()
            .max_by_key(|(other, _)| key::rendezvous_weight(&subject, &other.to_string()));
        preferred.is_some_and(|(other, _)| self.role(other) == Role::Primary)
    }

    /// Returns the cells of the service, other than `name`, that can receive shards.
    pub(super) fn receiving_cells(
        &self,
        name: &cell::Name,
        now: Tick,
    ) -> Vec<(cell::Name, Version)> {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let can_serve = |cell: &Cell| {
            let primary = cell.row.primary.as_ref();
            let has_primary = primary.is_some_and(|process| view.is_alive(process, now));
            has_primary && cell.row.targets.iter().any(|target| view.is_vm_available(&target.vm))
        };
        let others = self.cells.iter().filter(|(other, cell)| {
            other.service == name.service
                && *other != name
                && cell.row.failover_intent.is_none()
                && can_serve(cell)
        });
        others.map(|(other, cell)| (other.clone(), cell.version)).collect()
    }

    /// Chooses the few cells that receive the shards of `name`.
    ///
    /// The choice differs from cell to cell, so the number of rows written after the loss of a zone
    /// is proportional to its cells. With all receiving cells in each write it would grow with the
    /// square of their number.
    fn choose_receivers(&self, name: &cell::Name, now: Tick) -> Vec<(cell::Name, Version)> {
        let subject = name.to_string();
        let mut receivers = self.receiving_cells(name, now);
        receivers.sort_by_key(|(other, _)| {
            Reverse(key::rendezvous_weight(&subject, &other.to_string()))
        });
        receivers.truncate(MAX_CANDIDATE_CELLS);
        let shards_per_target = |(other, _): &(cell::Name, Version)| {
            self.cells
                .get(other)
                .map_or(0, |cell| cell.row.slots.len() / cell.row.targets.len().max(1))
        };
        receivers.sort_by_key(shards_per_target);
        receivers.truncate(MAX_RECEIVING_CELLS);
        receivers
    }

    /// Writes the rows that move the shards chosen by `is_transferred` from a cell to others.
    fn transfer_shards(
        &mut self,
        name: &cell::Name,
        is_transferred: impl Fn(&cell::Slot) -> bool,
        proof: Proof,
        now: Tick,
        actions: &mut Vec<Action>,
    ) {
        let receivers = self.choose_receivers(name, now);
        let has_pending_write = receivers.iter().any(|(other, _)| self.writes.is_pending(other));
        if receivers.is_empty() || has_pending_write || !self.writes.can_start(name, now) {
            return;
        }
        let Some(cell) = self.cells.get(name) else { return };
        let to: Vec<(cell::Name, &Row)> =
            receivers.iter().map(|(other, _)| (other.clone(), &*self.cells[other].row)).collect();
        let (mut source, rows, counts) = failover::transfer(&cell.row, is_transferred, &to);
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

    /// Makes another process the primary of a cell, because this one is about to stop.
    ///
    /// From here on this process renews none of the cell's leases.
    pub(super) fn resign_cell(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
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
        row.standbys.retain(|standby| *standby != successor && !view.has_ended(standby));
        let decision = Decision::Resigned { cell: name.clone(), to: successor };
        let rows = vec![(cell.version, row)];
        self.writes.start(WritePurpose::Resign(name.clone()), rows, vec![decision], actions);
    }
}
