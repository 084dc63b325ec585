//! Everything that one entry process knows and decides about ownership.

mod event;
mod handover;
mod results;
mod view;
mod writes;

pub(crate) use self::view::View;
pub use self::{
    event::{Action, Event, SentGrant, TargetReply, Write},
    view::{CROSS_ZONE_HEARTBEAT_FACTOR, Config, Peer, Role},
};

use {
    self::{
        view::FleetState,
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

/// The time the list of VMs must stand still before the first rows of a service are written.
const SETTLE: Duration = Duration::from_millis(1_000);

/// The role of this process for one cell, with the state that goes with it.
#[derive(Debug)]
enum RoleState {
    Observer,
    Standby(Renewer),
    Primary(Box<Primary>),
}

/// One cell as this process knows it.
#[derive(Debug)]
struct Cell {
    row: Arc<Row>,
    version: Version,
    role: RoleState,
    rescue: Failover,
    changed: Tick,
    /// When a rescue was last considered.
    considered: Tick,
    /// When the last look at the table began that showed no intent to take the cell over.
    looked: Option<Tick>,
}

/// The ownership state of one entry process.
#[derive(Debug)]
pub struct Node {
    fleet: FleetState,
    cells: BTreeMap<cell::Name, Cell>,
    ledger: Ledger,
    writes: PendingWrites,
    /// The promises not to renew, each valid up to a version of the row.
    stopped: HashMap<(cell::Name, Option<Vm>), Version>,
    table_polled_at: Option<Tick>,
    resigning: bool,
    generation: u64,
    /// The state of the list and the number of cells for which no row was missing.
    complete: Option<(u64, usize)>,
}

impl Node {
    /// Returns a process that knows nothing and has promised nothing.
    #[must_use]
    pub fn new(config: Config, now: Tick) -> Self {
        let writes = PendingWrites::new(config.me.incarnation);
        Self {
            fleet: FleetState::new(config, now),
            cells: BTreeMap::new(),
            ledger: Ledger::default(),
            writes,
            stopped: HashMap::new(),
            table_polled_at: None,
            resigning: false,
            generation: 0,
            complete: None,
        }
    }

    /// Returns a number that grows whenever a row, and so possibly an owner, changes.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the rows with their versions.
    pub fn rows(&self) -> impl Iterator<Item = (Version, &Arc<Row>)> {
        self.cells.values().map(|cell| (cell.version, &cell.row))
    }

    /// Returns the part that this process plays for a cell.
    #[must_use]
    pub fn role(&self, name: &cell::Name) -> Role {
        match self.cells.get(name).map(|cell| &cell.role) {
            Some(RoleState::Primary(_)) => Role::Primary,
            Some(RoleState::Standby(_)) => Role::Standby,
            _ => Role::Observer,
        }
    }

    /// Returns when the last successful look at the table began.
    #[must_use]
    pub const fn table_polled_at(&self) -> Option<Tick> {
        self.table_polled_at
    }

    /// Tells whether the process has handed over everything and may end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let guards = |cell: &Cell| matches!(cell.role, RoleState::Primary(_));
        self.writes.is_empty() && !self.cells.values().any(guards)
    }

    /// Returns what is known of the processes of the fleet and how long each has been silent.
    pub fn peers(&self, now: Tick) -> impl Iterator<Item = (&Peer, Duration)> {
        self.fleet.peers(now)
    }

    /// Returns how many other processes of the fleet are well.
    #[must_use]
    pub fn live_peer_count(&self, now: Tick) -> usize {
        self.fleet
            .view(&key::Service::default(), self.resigning, self.table_polled_at)
            .live_peer_count(now)
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fleet.expire_vouches(now);
        match event {
            Event::Tick => {}
            Event::TablePolled { started_at, rows } => {
                for (version, row) in rows {
                    self.adopt(version, row, now, &mut actions);
                }
                self.looked(started_at);
            }
            Event::Row { version, row } => self.adopt(version, row, now, &mut actions),
            Event::Services(text) => self.fleet.set_services(text),
            Event::Vms(list) => {
                self.fleet.set_vms(list, now);
                self.note_ended(now);
            }
            Event::PeerHeartbeat { peer, asked_at } => {
                self.end_predecessors(&peer.process, asked_at, now);
                self.fleet.record_heartbeat(peer, asked_at, now);
                self.note_ended(now);
            }
            Event::ProcessEnded(process) => {
                self.fleet.record_process_end(process, now);
                self.note_ended(now);
            }
            Event::Vouched(vm) => {
                self.fleet.record_vouch(vm, now);
                self.note_ended(now);
            }
            Event::Drained(vms) => self.fleet.set_drained(vms),
            Event::Loads { service, loads } => self.fleet.set_loads(service, loads),
            Event::TargetReplied(answered) => {
                // Most answers are routine, so only their own cell is looked at.
                self.answered(&answered, now, &mut actions);
                self.advance_cell(&answered.cell, now, &mut actions);
                return actions;
            }
            Event::TargetUnanswered { cell, vm } => {
                if let Some(renewer) = self.renewer_mut(&cell) {
                    renewer.handle_unanswered(&vm);
                }
                return actions;
            }
            Event::Written { id, result } => self.written(id, result, now, &mut actions),
            Event::StopAcknowledged { request, ack, received_at } => {
                self.stop_acked(&request, &ack, received_at);
            }
            Event::Resign => self.resigning = true,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Promises another process to stop renewing, if its row is not out of date.
    ///
    /// # Errors
    ///
    /// Returns [`Error::StaleRow`] if a newer row is known here; nothing is promised then.
    pub fn acknowledge_stop(
        &mut self,
        request: &stop::Request,
        now: Tick,
    ) -> Result<stop::Ack, Error> {
        if let Some(cell) = self.cells.get_mut(&request.cell) {
            let guards = matches!(cell.role, RoleState::Primary(_));
            if cell.version > request.version || (guards && cell.row.term >= request.term) {
                return Err(Error::StaleRow(request.cell.clone()));
            }
            if guards || request.target.is_none() {
                cell.role = RoleState::Observer;
            }
        }
        let promise =
            self.stopped.entry((request.cell.clone(), request.target.clone())).or_default();
        *promise = request.version.max(*promise);
        let ends_in = self.ledger.remaining(&request.cell, request.target.as_ref(), now);
        Ok(stop::Ack { process: self.fleet.me().clone(), ends_in })
    }

    fn renewer_mut(&mut self, name: &cell::Name) -> Option<&mut Renewer> {
        match &mut self.cells.get_mut(name)?.role {
            RoleState::Primary(guardian) => Some(&mut guardian.renewer),
            RoleState::Standby(renewer) => Some(renewer),
            RoleState::Observer => None,
        }
    }

    /// Takes note of a look at the table.
    fn looked(&mut self, started_at: Tick) {
        self.table_polled_at = Some(self.table_polled_at.unwrap_or_default().max(started_at));
        for cell in self.cells.values_mut().filter(|cell| cell.row.failover_intent.is_none()) {
            cell.looked = Some(cell.looked.unwrap_or_default().max(started_at));
        }
    }

    /// Takes a row if it is newer than the one known.
    fn adopt(&mut self, version: Version, row: Row, now: Tick, actions: &mut Vec<Action>) {
        let row = Arc::new(row);
        let name = row.name.clone();
        if self.cells.get(&name).is_some_and(|cell| cell.version >= version) {
            return;
        }
        self.generation += 1;
        self.stopped.retain(|(cell, _), promised| *cell != name || *promised >= version);
        let before = self.cells.remove(&name);
        let looked = before.as_ref().and_then(|cell| cell.looked);
        let (role, rescue) = before
            .map_or((RoleState::Observer, Failover::default()), |cell| (cell.role, cell.rescue));
        // The answer to a write of this process can come after a promise that covers the row it
        // wrote; the promise counts.
        let released = self.stopped.contains_key(&(name.clone(), None));
        let guards = row.primary.as_ref() == Some(self.fleet.me()) && !released;
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let role = match role {
            RoleState::Primary(mut guardian) if guards => {
                guardian.renewer.replace_row(Arc::clone(&row), version, now);
                guardian.clear_acknowledgements();
                RoleState::Primary(guardian)
            }
            RoleState::Primary(_) => {
                if !self.resigning {
                    let decision = Decision::Superseded { cell: name.clone(), term: row.term };
                    actions.push(Action::Record(decision));
                }
                RoleState::Observer
            }
            RoleState::Standby(mut renewer) if guards || row.standbys.contains(self.fleet.me()) => {
                renewer.replace_row(Arc::clone(&row), version, now);
                if guards {
                    guard(renewer, &view, &mut self.ledger, now)
                } else {
                    RoleState::Standby(renewer)
                }
            }
            _ if guards && !self.resigning => {
                let renewer = Renewer::new(Arc::clone(&row), version, now);
                guard(renewer, &view, &mut self.ledger, now)
            }
            _ => RoleState::Observer,
        };
        self.cells.insert(
            name,
            Cell { row, version, role, rescue, changed: now, considered: Tick::default(), looked },
        );
    }

    /// Notes the end of processes that `process` has succeeded on its VM.
    ///
    /// A process holds its VM's address for life. So one that is named by a row known before the
    /// question was sent, and is not the one that answered, had ended when that one started. A row
    /// that came later proves nothing: it may name the successor of the one that answered.
    fn end_predecessors(&mut self, process: &Process, asked_at: Tick, now: Tick) {
        let mut ended: Vec<Process> = Vec::new();
        for cell in self.cells.values().filter(|cell| cell.changed < asked_at) {
            let others =
                cell.row.renewers().filter(|other| other.vm == process.vm && *other != process);
            ended.extend(others.cloned());
        }
        for process in ended {
            self.fleet.record_process_end(process, now);
        }
    }

    /// Accounts for leases that a process may have given just before it was known to have ended.
    fn note_ended(&mut self, now: Tick) {
        let fresh = self.fleet.take_newly_ended();
        if fresh.is_empty() {
            return;
        }
        let end = now.plus(self.fleet.timing().ttl).plus(self.fleet.timing().drift_allowance);
        for cell in self.cells.values() {
            if !cell.row.renewers().any(|process| fresh.contains(process)) {
                continue;
            }
            for target in &cell.row.targets {
                self.ledger.extend(&cell.row.name, &target.vm, end);
            }
        }
    }

    fn answered(&mut self, answered: &TargetReply, now: Tick, actions: &mut Vec<Action>) {
        let name = &answered.cell;
        self.fleet.withdraw_vouch(&answered.vm);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let renewer = match &mut cell.role {
            RoleState::Primary(guardian) => &mut guardian.renewer,
            RoleState::Standby(renewer) => renewer,
            RoleState::Observer => return,
        };
        let meaning =
            renewer.handle_reply(answered, self.fleet.timing(), &mut self.ledger, actions);
        if let ReplyOutcome::Superseded(stamp) = meaning {
            let decision = Decision::Superseded { cell: name.clone(), term: stamp.term };
            actions.push(Action::Record(decision));
            cell.role = RoleState::Observer;
            cell.changed = now;
        }
    }

    fn stop_acked(&mut self, request: &stop::Request, ack: &stop::Ack, received_at: Tick) {
        let Some(cell) = self.cells.get_mut(&request.cell) else { return };
        if cell.version != request.version {
            return;
        }
        let end = received_at.plus(ack.ends_in).plus(self.fleet.timing().drift_allowance);
        for target in &cell.row.targets {
            if request.target.as_ref().is_none_or(|vm| *vm == target.vm) {
                self.ledger.extend(&request.cell, &target.vm, end);
            }
        }
        if let RoleState::Primary(guardian) = &mut cell.role {
            guardian.record_stop_ack(&ack.process, request.target.clone());
        }
    }

    fn advance(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.writes.resend_due(now, actions);
        self.create(now, actions);
        let names: Vec<cell::Name> = self.cells.keys().cloned().collect();
        for name in names {
            self.advance_cell(&name, now, actions);
        }
    }

    /// Writes the first rows of services that have none.
    fn create(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let seen = (self.fleet.generation(), self.cells.len());
        if self.complete == Some(seen) {
            return;
        }
        if self.resigning
            || self.table_polled_at.is_none()
            || !self.fleet.is_vm_list_stable(SETTLE, now)
        {
            return;
        }
        let missing = self.fleet.missing_rows(|name| self.cells.contains_key(name));
        self.complete = missing.is_empty().then_some(seen);
        for rows in missing {
            let Some(first) = rows.first() else { continue };
            if self.writes.is_in_flight(&first.name) {
                continue;
            }
            let cells = rows.iter().map(|row| row.name.clone()).collect();
            let decisions = vec![Decision::Created { cells }];
            let rows: Vec<_> = rows.into_iter().map(|row| (Version::ZERO, row)).collect();
            self.writes.start(WritePurpose::Create, rows, decisions, actions);
        }
    }

    fn advance_cell(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        if name.zone != *self.fleet.zone() {
            self.consider_rescue(name, now, actions);
            return;
        }
        if self.resigning {
            self.resign(name, now, actions);
            return;
        }
        let alone =
            matches!(&cell.role, RoleState::Primary(guardian) if guardian.needs_other_cells(&view));
        let elsewhere = alone && !self.receivers(name, now).is_empty();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let until = renew_until(&view, cell.looked);
        let rights = RenewalContext { me: view.me, timing: view.timing, clock_read_before: until };
        match &mut cell.role {
            RoleState::Primary(guardian) => {
                guardian.renewer.suspect_unresponsive(now, view.timing, actions);
                let draft = guardian.draft(&view, &self.ledger, elsewhere, now, actions);
                let draft = draft.filter(|_| self.writes.can_start(name, now));
                if let Some(draft) = &draft {
                    guardian.record_write_started(draft);
                }
                let blocked = guardian.blocked_targets();
                let stopped = |vm: &Vm| {
                    blocked.contains(vm)
                        || self.stopped.contains_key(&(name.clone(), Some(vm.clone())))
                };
                guardian.renewer.renew(now, rights, &mut self.ledger, stopped, actions);
                if let Some(Draft { row, decisions, .. }) = draft {
                    let rows = vec![(cell.version, row)];
                    self.writes.start(WritePurpose::Update(name.clone()), rows, decisions, actions);
                } else if !guardian.is_writing() {
                    self.give_away(name, now, actions);
                }
            }
            RoleState::Standby(_) | RoleState::Observer => self.stand_by(name, now, actions),
        }
    }

    /// Returns the weights of the shards of a service, as far as they are known.
    #[must_use]
    pub fn loads(&self, service: &key::Service) -> Option<&HashMap<Shard, f64>> {
        self.fleet.loads(service)
    }

    /// Returns the silent processes that are not proved to have stopped renewing.
    #[must_use]
    pub fn unresponsive_renewers(&self, name: &cell::Name, now: Tick) -> Vec<Process> {
        let Some(cell) = self.cells.get(name) else { return Vec::new() };
        let view = self.fleet.view(&name.service, self.resigning, self.table_polled_at);
        let others = cell.row.renewers().filter(|process| *process != view.me);
        let silent = |process: &&Process| !view.has_ended(process) && !view.is_alive(process, now);
        others.filter(silent).cloned().collect()
    }

    /// Returns the text of services in force here.
    #[must_use]
    pub const fn services(&self) -> &Arc<OperatorConfig> {
        self.fleet.services()
    }
}

fn guard(renewer: Renewer, view: &View<'_>, ledger: &mut Ledger, now: Tick) -> RoleState {
    RoleState::Primary(Box::new(Primary::new(renewer, view, ledger, now)))
}

/// Returns the latest clock reading on which a lease may rest, where isolation sets a limit.
fn renew_until(view: &View<'_>, looked: Option<Tick>) -> Option<Tick> {
    match view.isolation {
        Isolation::Hold => None,
        Isolation::MoveAfterMs(limit) => {
            let limit = Duration::from_millis(limit.get());
            Some(looked.map_or(Tick::default(), |looked| looked.plus(limit)))
        }
    }
}
