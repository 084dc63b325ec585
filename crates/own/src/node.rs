//! Everything that one entry process knows and decides about ownership.

mod event;
mod handover;
mod results;
mod view;
mod writes;

pub(crate) use self::view::View;
pub use self::{
    event::{Action, Answered, Event, Sent, Write},
    view::{Config, FAR, Peer, Role},
};

use {
    self::{
        view::World,
        writes::{Purpose, Writes},
    },
    crate::{
        Error,
        cell::{self, Row},
        decision::Decision,
        guardian::{Draft, Guardian},
        ledger::Ledger,
        renewer::{Meaning, Renewer, Rights},
        rescue::Rescue,
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

/// The part that this process plays for one cell.
#[derive(Debug)]
enum Part {
    Observer,
    Deputy(Renewer),
    Guardian(Box<Guardian>),
}

/// One cell as this process knows it.
#[derive(Debug)]
struct Cell {
    row: Arc<Row>,
    version: Version,
    part: Part,
    rescue: Rescue,
    changed: Tick,
    /// When a rescue was last considered.
    considered: Tick,
    /// When the last look at the table began that showed no intent to take the cell over.
    looked: Option<Tick>,
}

/// The ownership state of one entry process.
#[derive(Debug)]
pub struct Node {
    world: World,
    cells: BTreeMap<cell::Name, Cell>,
    ledger: Ledger,
    writes: Writes,
    /// The promises not to renew, each valid up to a version of the row.
    stopped: HashMap<(cell::Name, Option<Vm>), Version>,
    read_at: Option<Tick>,
    resigning: bool,
    generation: u64,
    /// The state of the list and the number of cells for which no row was missing.
    complete: Option<(u64, usize)>,
}

impl Node {
    /// Returns a process that knows nothing and has promised nothing.
    #[must_use]
    pub fn new(config: Config, now: Tick) -> Self {
        let writes = Writes::new(config.me.incarnation);
        Self {
            world: World::new(config, now),
            cells: BTreeMap::new(),
            ledger: Ledger::default(),
            writes,
            stopped: HashMap::new(),
            read_at: None,
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
        match self.cells.get(name).map(|cell| &cell.part) {
            Some(Part::Guardian(_)) => Role::Guardian,
            Some(Part::Deputy(_)) => Role::Deputy,
            _ => Role::Observer,
        }
    }

    /// Returns when the last successful look at the table began.
    #[must_use]
    pub const fn read_at(&self) -> Option<Tick> {
        self.read_at
    }

    /// Tells whether the process has handed over everything and may end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let guards = |cell: &Cell| matches!(cell.part, Part::Guardian(_));
        self.writes.is_empty() && !self.cells.values().any(guards)
    }

    /// Returns what is known of the processes of the fleet and how long each has been silent.
    pub fn peers(&self, now: Tick) -> impl Iterator<Item = (&Peer, Duration)> {
        self.world.peers(now)
    }

    /// Returns how many other processes of the fleet are well.
    #[must_use]
    pub fn alive(&self, now: Tick) -> usize {
        self.world.view(&key::Service::default(), self.resigning, self.read_at).alive(now)
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, event: Event, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        self.world.expire(now);
        match event {
            Event::Tick => {}
            Event::Table { began, rows } => {
                for (version, row) in rows {
                    self.adopt(version, row, now, &mut actions);
                }
                self.looked(began);
            }
            Event::Row { version, row } => self.adopt(version, row, now, &mut actions),
            Event::Services(text) => self.world.set_services(text),
            Event::Vms(list) => {
                self.world.set_vms(list, now);
                self.note_ended(now);
            }
            Event::Peer { peer, asked } => {
                self.end_predecessors(&peer.process, asked, now);
                self.world.heard(peer, asked, now);
                self.note_ended(now);
            }
            Event::Ended(process) => {
                self.world.end(process, now);
                self.note_ended(now);
            }
            Event::Vouched(vm) => {
                self.world.vouch(vm, now);
                self.note_ended(now);
            }
            Event::Drained(vms) => self.world.set_drained(vms),
            Event::Loads { service, loads } => self.world.set_loads(service, loads),
            Event::Answered(answered) => {
                // Most answers are routine, so only their own cell is looked at.
                self.answered(&answered, now, &mut actions);
                self.advance_cell(&answered.cell, now, &mut actions);
                return actions;
            }
            Event::Failed { cell, vm } => {
                if let Some(renewer) = self.renewer_mut(&cell) {
                    renewer.failed(&vm);
                }
                return actions;
            }
            Event::Written { id, result } => self.written(id, result, now, &mut actions),
            Event::StopAcked { ask, ack, received } => self.stop_acked(&ask, &ack, received),
            Event::Resign => self.resigning = true,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Promises another process to stop renewing, if its row is not out of date.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stale`] if a newer row is known here; nothing is promised then.
    pub fn stop(&mut self, ask: &stop::Ask, now: Tick) -> Result<stop::Ack, Error> {
        if let Some(cell) = self.cells.get_mut(&ask.cell) {
            let guards = matches!(cell.part, Part::Guardian(_));
            if cell.version > ask.version || (guards && cell.row.term >= ask.term) {
                return Err(Error::Stale(ask.cell.clone()));
            }
            if guards || ask.target.is_none() {
                cell.part = Part::Observer;
            }
        }
        let promise = self.stopped.entry((ask.cell.clone(), ask.target.clone())).or_default();
        *promise = ask.version.max(*promise);
        let ends_in = self.ledger.remaining(&ask.cell, ask.target.as_ref(), now);
        Ok(stop::Ack { process: self.world.me().clone(), ends_in })
    }

    fn renewer_mut(&mut self, name: &cell::Name) -> Option<&mut Renewer> {
        match &mut self.cells.get_mut(name)?.part {
            Part::Guardian(guardian) => Some(&mut guardian.renewer),
            Part::Deputy(renewer) => Some(renewer),
            Part::Observer => None,
        }
    }

    /// Takes note of a look at the table.
    fn looked(&mut self, began: Tick) {
        self.read_at = Some(self.read_at.unwrap_or_default().max(began));
        for cell in self.cells.values_mut().filter(|cell| cell.row.closing.is_none()) {
            cell.looked = Some(cell.looked.unwrap_or_default().max(began));
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
        let (part, rescue) =
            before.map_or((Part::Observer, Rescue::default()), |cell| (cell.part, cell.rescue));
        // The answer to a write of this process can come after a promise that covers the row it
        // wrote; the promise counts.
        let released = self.stopped.contains_key(&(name.clone(), None));
        let guards = row.guardian.as_ref() == Some(self.world.me()) && !released;
        let view = self.world.view(&name.service, self.resigning, self.read_at);
        let part = match part {
            Part::Guardian(mut guardian) if guards => {
                guardian.renewer.rebase(Arc::clone(&row), version, now);
                guardian.rebased();
                Part::Guardian(guardian)
            }
            Part::Guardian(_) => {
                if !self.resigning {
                    let decision = Decision::Superseded { cell: name.clone(), term: row.term };
                    actions.push(Action::Record(decision));
                }
                Part::Observer
            }
            Part::Deputy(mut renewer) if guards || row.deputies.contains(self.world.me()) => {
                renewer.rebase(Arc::clone(&row), version, now);
                if guards {
                    guard(renewer, &view, &mut self.ledger, now)
                } else {
                    Part::Deputy(renewer)
                }
            }
            _ if guards && !self.resigning => {
                let renewer = Renewer::new(Arc::clone(&row), version, now);
                guard(renewer, &view, &mut self.ledger, now)
            }
            _ => Part::Observer,
        };
        self.cells.insert(
            name,
            Cell { row, version, part, rescue, changed: now, considered: Tick::default(), looked },
        );
    }

    /// Notes the end of processes that `process` has succeeded on its VM.
    ///
    /// A process holds its VM's address for life. So one that is named by a row known before the
    /// question was sent, and is not the one that answered, had ended when that one started. A row
    /// that came later proves nothing: it may name the successor of the one that answered.
    fn end_predecessors(&mut self, process: &Process, asked: Tick, now: Tick) {
        let mut ended: Vec<Process> = Vec::new();
        for cell in self.cells.values().filter(|cell| cell.changed < asked) {
            let others =
                cell.row.renewers().filter(|other| other.vm == process.vm && *other != process);
            ended.extend(others.cloned());
        }
        for process in ended {
            self.world.end(process, now);
        }
    }

    /// Accounts for leases that a process may have given just before it was known to have ended.
    fn note_ended(&mut self, now: Tick) {
        let fresh = self.world.take_freshly_ended();
        if fresh.is_empty() {
            return;
        }
        let end = now.plus(self.world.terms().ttl).plus(self.world.terms().drift);
        for cell in self.cells.values() {
            if !cell.row.renewers().any(|process| fresh.contains(process)) {
                continue;
            }
            for target in &cell.row.targets {
                self.ledger.extend(&cell.row.name, &target.vm, end);
            }
        }
    }

    fn answered(&mut self, answered: &Answered, now: Tick, actions: &mut Vec<Action>) {
        let name = &answered.cell;
        self.world.unvouch(&answered.vm);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let renewer = match &mut cell.part {
            Part::Guardian(guardian) => &mut guardian.renewer,
            Part::Deputy(renewer) => renewer,
            Part::Observer => return,
        };
        let meaning = renewer.answered(answered, self.world.terms(), &mut self.ledger, actions);
        if let Meaning::Superseded(stamp) = meaning {
            let decision = Decision::Superseded { cell: name.clone(), term: stamp.term };
            actions.push(Action::Record(decision));
            cell.part = Part::Observer;
            cell.changed = now;
        }
    }

    fn stop_acked(&mut self, ask: &stop::Ask, ack: &stop::Ack, received: Tick) {
        let Some(cell) = self.cells.get_mut(&ask.cell) else { return };
        if cell.version != ask.version {
            return;
        }
        let end = received.plus(ack.ends_in).plus(self.world.terms().drift);
        for target in &cell.row.targets {
            if ask.target.as_ref().is_none_or(|vm| *vm == target.vm) {
                self.ledger.extend(&ask.cell, &target.vm, end);
            }
        }
        if let Part::Guardian(guardian) = &mut cell.part {
            guardian.stop_acked(&ack.process, ask.target.clone());
        }
    }

    fn advance(&mut self, now: Tick, actions: &mut Vec<Action>) {
        self.writes.resend(now, actions);
        self.create(now, actions);
        let names: Vec<cell::Name> = self.cells.keys().cloned().collect();
        for name in names {
            self.advance_cell(&name, now, actions);
        }
    }

    /// Writes the first rows of services that have none.
    fn create(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let seen = (self.world.generation(), self.cells.len());
        if self.complete == Some(seen) {
            return;
        }
        if self.resigning || self.read_at.is_none() || !self.world.is_settled(SETTLE, now) {
            return;
        }
        let missing = self.world.missing(|name| self.cells.contains_key(name));
        self.complete = missing.is_empty().then_some(seen);
        for rows in missing {
            let Some(first) = rows.first() else { continue };
            if self.writes.is_busy(&first.name) {
                continue;
            }
            let cells = rows.iter().map(|row| row.name.clone()).collect();
            let decisions = vec![Decision::Created { cells }];
            let rows: Vec<_> = rows.into_iter().map(|row| (Version::ZERO, row)).collect();
            self.writes.start(Purpose::Create, rows, decisions, actions);
        }
    }

    fn advance_cell(&mut self, name: &cell::Name, now: Tick, actions: &mut Vec<Action>) {
        let view = self.world.view(&name.service, self.resigning, self.read_at);
        let Some(cell) = self.cells.get_mut(name) else { return };
        if name.zone != *self.world.zone() {
            self.consider_rescue(name, now, actions);
            return;
        }
        if self.resigning {
            self.resign(name, now, actions);
            return;
        }
        let alone = matches!(&cell.part, Part::Guardian(guardian) if guardian.is_emptying(&view));
        let elsewhere = alone && !self.receivers(name, now).is_empty();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let until = renew_until(&view, cell.looked);
        let rights = Rights { me: view.me, terms: view.terms, until };
        match &mut cell.part {
            Part::Guardian(guardian) => {
                guardian.renewer.suspect(now, view.terms, actions);
                let draft = guardian.draft(&view, &self.ledger, elsewhere, now, actions);
                let draft = draft.filter(|_| self.writes.may_start(name, now));
                if let Some(draft) = &draft {
                    guardian.sent(draft);
                }
                let blocked = guardian.blocked();
                let stopped = |vm: &Vm| {
                    blocked.contains(vm)
                        || self.stopped.contains_key(&(name.clone(), Some(vm.clone())))
                };
                guardian.renewer.renew(now, rights, &mut self.ledger, stopped, actions);
                if let Some(Draft { row, decisions, .. }) = draft {
                    let rows = vec![(cell.version, row)];
                    self.writes.start(Purpose::Guard(name.clone()), rows, decisions, actions);
                } else if !guardian.is_writing() {
                    self.give_away(name, now, actions);
                }
            }
            Part::Deputy(_) | Part::Observer => self.stand_by(name, now, actions),
        }
    }

    /// Returns the weights of the shards of a service, as far as they are known.
    #[must_use]
    pub fn loads(&self, service: &key::Service) -> Option<&HashMap<Shard, f64>> {
        self.world.loads(service)
    }

    /// Returns the silent processes that are not proved to have stopped renewing.
    #[must_use]
    pub fn awaited(&self, name: &cell::Name, now: Tick) -> Vec<Process> {
        let Some(cell) = self.cells.get(name) else { return Vec::new() };
        let view = self.world.view(&name.service, self.resigning, self.read_at);
        let others = cell.row.renewers().filter(|process| *process != view.me);
        let silent = |process: &&Process| !view.has_ended(process) && !view.is_alive(process, now);
        others.filter(silent).cloned().collect()
    }

    /// Returns the text of services in force here.
    #[must_use]
    pub const fn services(&self) -> &Arc<OperatorConfig> {
        self.world.services()
    }
}

fn guard(renewer: Renewer, view: &View<'_>, ledger: &mut Ledger, now: Tick) -> Part {
    Part::Guardian(Box::new(Guardian::new(renewer, view, ledger, now)))
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
