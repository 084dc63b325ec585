//! The ownership state machine of one entry process.
//!
//! [`Node`] keeps the latest known row of each cell and the facts about the fleet, and turns each
//! [`Event`] into [`Action`]s. It reads no clock and does no input or output, so that every order
//! of events can be tested with a given time.

mod event;
mod fleet;
mod takeover;
mod write_results;
mod writes;

pub(crate) use self::fleet::View;
pub use self::{
    event::{Action, Event, SentGrant, TargetReply, Write},
    fleet::{CROSS_ZONE_HEARTBEAT_FACTOR, Config, Peer, Role},
};

use {
    self::{
        fleet::FleetState,
        writes::{PendingWrites, WritePurpose},
    },
    crate::{
        Error,
        cell::{self, Row},
        decision::Decision,
        failover::Failover,
        ledger::Ledger,
        primary::{Draft, Primary},
        renewer::{RenewalContext, Renewer, ReplyOutcome},
        stop,
    },
    conf::services::{Isolation, OperatorConfig},
    key::{Process, Shard, Version, Vm, clock::Tick},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How long the list of VMs must be unchanged before the first rows of a service are written.
const VM_LIST_STABLE_AFTER: Duration = Duration::from_millis(1_000);

/// The role of this process for one cell, with the state that goes with it.
#[derive(Debug)]
enum RoleState {
    Observer,
    Standby(Renewer),
    Primary(Box<Primary>),
}

/// The state of one cell in this process.
#[derive(Debug)]
struct Cell {
    row: Arc<Row>,
    version: Version,
    role: RoleState,
    failover: Failover,
    /// When the row was last replaced, or the role was lost to a newer primary.
    changed_at: Tick,
    failover_checked_at: Tick,
    /// The start of the last successful poll after which the row had no failover intent.
    polled_without_intent_at: Option<Tick>,
}

/// The ownership state of one entry process.
#[derive(Debug)]
pub struct Node {
    fleet: FleetState,
    cells: BTreeMap<cell::Name, Cell>,
    ledger: Ledger,
    writes: PendingWrites,
    /// Promises not to renew leases of a cell or of one target, each until the row has a version
    /// higher than the given one.
    stop_promises: HashMap<(cell::Name, Option<Vm>), Version>,
    table_polled_at: Option<Tick>,
    resigning: bool,
    generation: u64,
    /// The generation of the fleet's state and the number of cells for which no row was missing.
    rows_complete_for: Option<(u64, usize)>,
}

impl Node {
    /// Returns the state of a process that has just started, with no known row and no promise.
    #[must_use]
    pub fn new(config: Config, now: Tick) -> Self {
        let writes = PendingWrites::new(config.me.incarnation);
        Self {
            fleet: FleetState::new(config, now),
            cells: BTreeMap::new(),
            ledger: Ledger::default(),
            writes,
            stop_promises: HashMap::new(),
            table_polled_at: None,
            resigning: false,
            generation: 0,
            rows_complete_for: None,
        }
    }

    /// Returns a number that increases with each change of a row, and so of any owner.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the latest known rows with their versions.
    pub fn rows(&self) -> impl Iterator<Item = (Version, &Arc<Row>)> {
        self.cells.values().map(|cell| (cell.version, &cell.row))
    }

    /// Returns the role of this process for a cell.
    #[must_use]
    pub fn role(&self, name: &cell::Name) -> Role {
        match self.cells.get(name).map(|cell| &cell.role) {
            Some(RoleState::Primary(_)) => Role::Primary,
            Some(RoleState::Standby(_)) => Role::Standby,
            _ => Role::Observer,
        }
    }

    /// Returns the start of the last successful poll of the table.
    #[must_use]
    pub const fn table_polled_at(&self) -> Option<Tick> {
        self.table_polled_at
    }

    /// Reports whether this process is primary of no cell and has no pending write, so that it may
    /// end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_primary = |cell: &Cell| matches!(cell.role, RoleState::Primary(_));
        self.writes.is_empty() && !self.cells.values().any(is_primary)
    }

    /// Returns the known peers with the time since the last heartbeat of each.
    pub fn peers(&self, now: Tick) -> impl Iterator<Item = (&Peer, Duration)> {
        self.fleet.peers(now)
    }

    /// Returns the number of other processes that are responsive and not leaving.
    #[must_use]
    pub fn live_peer_count(&self, now: Tick) -> usize {
        self.fleet
            .view(&key::Service::default(), self.resigning, self.table_polled_at)
            .live_peer_count(now)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fleet.expire_vouches(now);
        match event {
            Event::Tick => {}
            Event::TablePolled { started_at, rows } => {
                for (version, row) in rows {
                    self.apply_row(version, row, now, &mut actions);
                }
                self.record_poll(started_at);
            }
            Event::Row { version, row } => self.apply_row(version, row, now, &mut actions),
            Event::Services(config) => self.fleet.set_services(config),
            Event::Vms(list) => {
                self.fleet.set_vms(list, now);
                self.extend_leases_of_ended(now);
            }
            Event::PeerHeartbeat { peer, asked_at } => {
                self.record_predecessor_ends(&peer.process, asked_at, now);
                self.fleet.record_heartbeat(peer, asked_at, now);
                self.extend_leases_of_ended(now);
            }
            Event::ProcessEnded(process) => {
                self.fleet.record_process_end(process, now);
                self.extend_leases_of_ended(now);
            }
            Event::Vouched(vm) => {
                self.fleet.record_vouch(vm, now);
                self.extend_leases_of_ended(now);
            }
            Event::Drained(vms) => self.fleet.set_drained(vms),
            Event::Loads { service, loads } => self.fleet.set_loads(service, loads),
            Event::TargetReplied(reply) => {
                // Replies are frequent and most change nothing, so only their own cell is advanced.
                self.handle_target_reply(&reply, now, &mut actions);
                self.advance_cell(&reply.cell, now, &mut actions);
                return actions;
            }
            Event::TargetUnanswered { cell, vm } => {
                if let Some(renewer) = self.renewer_mut(&cell) {
                    renewer.handle_unanswered(&vm);
                }
                return actions;
            }
            Event::Written { id, result } => {
                self.handle_write_result(id, result, now, &mut actions);
            }
            Event::StopAcknowledged { request, ack, received_at } => {
                self.handle_stop_ack(&request, &ack, received_at);
            }
            Event::Resign => self.resigning = true,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Promises another process to stop renewing leases, unless its row is out of date.
    ///
    /// # Errors
    ///
    /// Returns [`Error::StaleRow`] if this process knows a newer row; then it promises nothing.
    pub fn acknowledge_stop(
        &mut self,
        request: &stop::Request,
        now: Tick,
    ) -> Result<stop::Ack, Error> {
        if let Some(cell) = self.cells.get_mut(&request.cell) {
            let is_primary = matches!(cell.role, RoleState::Primary(_));
            if cell.version > request.version || (is_primary && cell.row.term >= request.term) {
                return Err(Error::StaleRow(request.cell.clone()));
            }
            if is_primary || request.target.is_none() {
                cell.role = RoleState::Observer;
            }
        }
        let promise =
            self.stop_promises.entry((request.cell.clone(), request.target.clone())).or_default();
        *promise = request.version.max(*promise);
        let ends_in = self.ledger.remaining(&request.cell, request.target.as_ref(), now);
        Ok(stop::Ack { process: self.fleet.me().clone(), ends_in })
    }

    fn renewer_mut(&mut self, name: &cell::Name) -> Option<&mut Renewer> {
        match &mut self.cells.get_mut(name)?.role {
            RoleState::Primary(primary) => Some(&mut primary.renewer),
            RoleState::Standby(renewer) => Some(renewer),
            RoleState::Observer => None,
        }
    }

    /// Records a successful poll of the table that started at `started_at`.
    fn record_poll(&mut self, started_at: Tick) {
        self.table_polled_at = Some(self.table_polled_at.unwrap_or_default().max(started_at));
        for cell in self.cells.values_mut().filter(|cell| cell.row.failover_intent.is_none()) {
            cell.polled_without_intent_at =
                Some(cell.polled_without_intent_at.unwrap_or_default().max(started_at));
        }
    }

    /// Applies a row, with the change of role that it brings, if it is newer than the known one.
    fn apply_row(&mut self, version: Version, row: Row, now: Tick, actions: &mut Vec<Action>) {
        let row = Arc::new(row);
        let name = row.name.clone();
        if self.cells.get(&name).is_some_and(|cell| cell.version >= version) {
            return;
        }
        self.generation += 1;
        self.stop_promises.retain(|(cell, _), promised| *cell != name || *promised >= version);
        let previous = self.cells.remove(&name);
        let polled_without_intent_at =
            previous.as_ref().and_then(|cell| cell.polled_without_intent_at);
        let (role, failover) = previous
            .map_or((RoleState::Observer, Failover::default()), |cell| (cell.role, cell.failover));
        // The result of this process's own write can arrive after it made a promise that covers the
        // written version; the promise takes precedence.
        let has_promised_stop = self.stop_promises.contains_key(&(name.clone(), None));
        let is_primary = row.primary.as_ref() == Some(self.fleet.me()) && !has_promised_stop;
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let role = match role {
            RoleState::Primary(mut primary) if is_primary => {
                primary.renewer.replace_row(Arc::clone(&row), version, now);
                primary.clear_acknowledgements();
                RoleState::Primary(primary)
            }
            RoleState::Primary(_) => {
                if !self.resigning {
                    let decision = Decision::Superseded { cell: name.clone(), term: row.term };
                    actions.push(Action::Record(decision));
                }
                RoleState::Observer
            }
            RoleState::Standby(mut renewer)
                if is_primary || row.standbys.contains(self.fleet.me()) =>
            {
                renewer.replace_row(Arc::clone(&row), version, now);
                if is_primary {
                    new_primary(renewer, &view, &mut self.ledger, now)
                } else {
                    RoleState::Standby(renewer)
                }
            }
            _ if is_primary && !self.resigning => {
                let renewer = Renewer::new(Arc::clone(&row), version, now);
                new_primary(renewer, &view, &mut self.ledger, now)
            }
            _ => RoleState::Observer,
        };
        self.cells.insert(
            name,
            Cell {
                row,
                version,
                role,
                failover,
                changed_at: now,
                failover_checked_at: Tick::default(),
                polled_without_intent_at,
            },
        );
    }

    /// Records the end of processes that `process` has succeeded on its VM.
    ///
    /// A process listens on its VM's address until it ends. A row that was known before the
    /// heartbeat was requested can therefore only name processes of this VM that had started no
    /// later than the one that answered, so any other one has ended. A row that arrived later
    /// proves nothing: it may name the successor of the process that answered.
    fn record_predecessor_ends(&mut self, process: &Process, asked_at: Tick, now: Tick) {
        let mut ended: Vec<Process> = Vec::new();
        for cell in self.cells.values().filter(|cell| cell.changed_at < asked_at) {
            let predecessors =
                cell.row.renewers().filter(|other| other.vm == process.vm && *other != process);
            ended.extend(predecessors.cloned());
        }
        for process in ended {
            self.fleet.record_process_end(process, now);
        }
    }

    /// Extends the leases in the ledger that newly ended processes may have granted just before
    /// their end was known.
    fn extend_leases_of_ended(&mut self, now: Tick) {
        let newly_ended = self.fleet.take_newly_ended();
        if newly_ended.is_empty() {
            return;
        }
        let expires_at =
            now.plus(self.fleet.timing().ttl).plus(self.fleet.timing().drift_allowance);
        for cell in self.cells.values() {
            if !cell.row.renewers().any(|process| newly_ended.contains(process)) {
                continue;
            }
            for target in &cell.row.targets {
                self.ledger.extend(&cell.row.name, &target.vm, expires_at);
            }
        }
    }

    fn handle_target_reply(&mut self, reply: &TargetReply, now: Tick, actions: &mut Vec<Action>) {
        let name = &reply.cell;
        // A target that replies is alive, so an operator's confirmation of its end no longer holds.
        self.fleet.withdraw_vouch(&reply.vm);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let renewer = match &mut cell.role {
            RoleState::Primary(primary) => &mut primary.renewer,
            RoleState::Standby(renewer) => renewer,
            RoleState::Observer => return,
        };
        let outcome = renewer.handle_reply(reply, self.fleet.timing(), &mut self.ledger, actions);
        if let ReplyOutcome::Superseded(stamp) = outcome {
            let decision = Decision::Superseded { cell: name.clone(), term: stamp.term };
            actions.push(Action::Record(decision));
            cell.role = RoleState::Observer;
            cell.changed_at = now;
        }
    }

    fn handle_stop_ack(&mut self, request: &stop::Request, ack: &stop::Ack, received_at: Tick) {
        let Some(cell) = self.cells.get_mut(&request.cell) else { return };
        if cell.version != request.version {
            return;
        }
        let expires_at = received_at.plus(ack.ends_in).plus(self.fleet.timing().drift_allowance);
        for target in &cell.row.targets {
            if request.target.as_ref().is_none_or(|vm| *vm == target.vm) {
                self.ledger.extend(&request.cell, &target.vm, expires_at);
            }
        }
        if let RoleState::Primary(primary) = &mut cell.role {
            primary.record_stop_ack(&ack.process, request.target.clone());
        }
    }

    /// Sends due retries of writes, creates missing rows and advances every cell.
    fn advance(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.writes.send_due_retries(now, actions);
        self.create_missing_rows(now, actions);
        let names: Vec<cell::Name> = self.cells.keys().cloned().collect();
        for name in names {
            self.advance_cell(&name, now, actions);
        }
    }

    /// Writes the first rows of services that have none.
    fn create_missing_rows(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let current = (self.fleet.generation(), self.cells.len());
        if self.rows_complete_for == Some(current) {
            return;
        }
        if self.resigning
            || self.table_polled_at.is_none()
            || !self.fleet.is_vm_list_stable(VM_LIST_STABLE_AFTER, now)
        {
            return;
        }
        let missing = self.fleet.missing_rows(|name| self.cells.contains_key(name));
        self.rows_complete_for = missing.is_empty().then_some(current);
        for rows in missing {
            let Some(first) = rows.first() else { continue };
            if self.writes.is_pending(&first.name) {
                continue;
            }
            let cells = rows.iter().map(|row| row.name.clone()).collect();
            let decisions = vec![Decision::Created { cells }];
            let rows: Vec<_> = rows.into_iter().map(|row| (Version::ZERO, row)).collect();
            self.writes.start(WritePurpose::Create, rows, decisions, actions);
        }
    }

    /// Does what is due for one cell, according to the role of this process.
    fn advance_cell(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        if name.zone != *self.fleet.zone() {
            self.check_failover(name, now, actions);
            return;
        }
        if self.resigning {
            self.resign_cell(name, now, actions);
            return;
        }
        let needs_other_cells =
            matches!(&cell.role, RoleState::Primary(primary) if primary.needs_other_cells(&view));
        let others_can_serve = needs_other_cells && !self.receiving_cells(name, now).is_empty();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let clock_read_before = clock_reading_limit(&view, cell.polled_without_intent_at);
        let context = RenewalContext { me: view.me, timing: view.timing, clock_read_before };
        match &mut cell.role {
            RoleState::Primary(primary) => {
                primary.renewer.suspect_unresponsive(now, view.timing, actions);
                let draft = primary.draft(&view, &self.ledger, others_can_serve, now, actions);
                let draft = draft.filter(|_| self.writes.can_start(name, now));
                if let Some(draft) = &draft {
                    primary.record_write_started(draft);
                }
                let blocked = primary.blocked_targets();
                let must_not_renew = |vm: &Vm| {
                    blocked.contains(vm)
                        || self.stop_promises.contains_key(&(name.clone(), Some(vm.clone())))
                };
                primary.renewer.renew(now, context, &mut self.ledger, must_not_renew, actions);
                if let Some(Draft { row, decisions, .. }) = draft {
                    let rows = vec![(cell.version, row)];
                    self.writes.start(WritePurpose::Update(name.clone()), rows, decisions, actions);
                } else if !primary.is_writing() {
                    self.transfer_vacant_shards(name, now, actions);
                }
            }
            RoleState::Standby(_) | RoleState::Observer => self.check_primary(name, now, actions),
        }
    }

    /// Returns the weights of the shards of a service, if any were reported.
    #[must_use]
    pub fn loads(&self, service: &key::Service) -> Option<&HashMap<Shard, f64>> {
        self.fleet.loads(service)
    }

    /// Returns the unresponsive processes that may still renew leases of a cell.
    #[must_use]
    pub fn unresponsive_renewers(&self, name: &cell::Name, now: Tick) -> Vec<Process> {
        let Some(cell) = self.cells.get(name) else { return Vec::new() };
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let others = cell.row.renewers().filter(|process| *process != view.me);
        let is_unresponsive =
            |process: &&Process| !view.has_ended(process) && !view.is_alive(process, now);
        others.filter(is_unresponsive).cloned().collect()
    }

    /// Returns the operators' configuration in force in this process.
    #[must_use]
    pub const fn services(&self) -> &Arc<OperatorConfig> {
        self.fleet.services()
    }
}

fn new_primary(renewer: Renewer, view: &View<'_>, ledger: &mut Ledger, now: Tick) -> RoleState {
    RoleState::Primary(Box::new(Primary::new(renewer, view, ledger, now)))
}

/// Returns the latest instant at which a target's clock may have been read for a lease to be based
/// on it, or `None` if the service's isolation rule sets no limit.
///
/// Leases then run out by a known time after the last poll that showed no failover intent.
fn clock_reading_limit(view: &View<'_>, polled_without_intent_at: Option<Tick>) -> Option<Tick> {
    match view.isolation {
        Isolation::Hold => None,
        Isolation::MoveAfterMs(limit) => {
            let limit = Duration::from_millis(limit.get());
            Some(
                polled_without_intent_at.map_or(Tick::default(), |polled_at| polled_at.plus(limit)),
            )
        }
    }
}
