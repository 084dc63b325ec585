//! Time, messages and the platform of the model.

use {
    super::{
        Due, EXCHANGE_LIMIT, End, HELLO_EVERY, Message, SCAN_EVERY, STEP, Sim, version_of_row,
    },
    key::{Process, Version, Vm},
    own::{
        Action, Event, Peer, Row, TargetReply, Write,
        cell::Target as Address,
        lease::{Grant, Reply},
    },
    rand::Rng,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    store::{
        Commit,
        table::{self, Condition},
        vms::{VmRecord, VmState},
    },
};

impl Sim {
    /// Lets `span` go by.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            let next = self.now.plus(STEP);
            while self.queue.peek().is_some_and(|Reverse(due)| due.at <= next) {
                let Some(Reverse(due)) = self.queue.pop() else { break };
                self.now = due.at.max(self.now);
                self.deliver(due.to, due.message);
            }
            self.now = next;
            self.tick();
            self.check();
        }
    }

    pub(super) fn tick(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].node.is_none() || self.entries[at].paused {
                continue;
            }
            self.feed(at, Event::Tick);
            let incarnation = self.entries[at].incarnation;
            if self.entries[at].scan_due <= self.now {
                self.entries[at].scan_due = self.now.plus(SCAN_EVERY);
                let (revision, started_at) = (self.entries[at].revision, self.now);
                let scan = Message::Scan { from: at, incarnation, revision, started_at };
                self.send(End::Entry(at), End::Platform, scan);
            }
            for other in 0..self.entries.len() {
                let due = self.entries[at].hello_due.get(&other).copied().unwrap_or_default();
                if other == at || due > self.now {
                    continue;
                }
                // One sign of life is asked for at a time; one that is late counts as none.
                self.order += 1;
                let number = self.order;
                self.entries[at].hello_due.insert(other, self.now.plus(HELLO_EVERY));
                self.entries[at].hello_number.insert(other, (number, self.now));
                let hello = Message::Hello { from: at, incarnation, number };
                self.send(End::Entry(at), End::Entry(other), hello);
            }
        }
    }

    pub(super) fn send(&mut self, from: End, to: End, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let delay = match self.rng.random_range(0..1_000) {
            0..2 => 5_000,
            2..20 => self.rng.random_range(50..600),
            _ => self.rng.random_range(1..8),
        };
        self.order += 1;
        let at = self.now.plus(Duration::from_millis(delay));
        self.queue.push(Reverse(Due { at, order: self.order, to, message }));
    }

    pub(super) fn deliver(&mut self, to: End, message: Message) {
        match to {
            End::Entry(at) if self.entries[at].paused => self.entries[at].inbox.push(message),
            End::Entry(at) => self.take_at_entry(at, message),
            End::Target(at) if self.targets[at].paused => self.targets[at].inbox.push(message),
            End::Target(at) => self.take_at_target(at, message),
            End::Platform => self.take_at_platform(message),
        }
    }

    pub(super) fn take_at_entry(&mut self, at: usize, message: Message) {
        let mine = self.entries[at].incarnation;
        let now = self.now;
        if self.entries[at].node.is_none() {
            return;
        }
        match message {
            Message::Answer { incarnation, reply, number } if incarnation == mine => {
                let sent = self.entries[at].offers.remove(&number);
                if sent.is_some_and(|sent| now.since(sent) < EXCHANGE_LIMIT) {
                    self.feed(at, Event::TargetReplied(TargetReply { received_at: now, ..reply }));
                }
            }
            Message::OfferFailed { incarnation, offer, vm, number }
                if incarnation == mine && self.entries[at].offers.remove(&number).is_some() =>
            {
                self.feed(at, Event::TargetUnanswered { cell: offer.cell, vm });
            }
            Message::Written { incarnation, id, result } if incarnation == mine => {
                self.feed(at, Event::Written { id, result });
            }
            Message::Scanned { incarnation, revision, started_at, rows, list }
                if incarnation == mine && revision >= self.entries[at].revision =>
            {
                self.entries[at].revision = revision;
                self.feed(at, Event::Vms(list));
                self.feed(at, Event::TablePolled { started_at, rows });
            }
            Message::Hello { from, incarnation, number } => {
                let entry = &self.entries[at];
                let process = Process { vm: entry.vm.clone(), incarnation: entry.incarnation };
                let peer = Peer { process, zone: entry.zone.clone(), leaving: entry.resigning };
                let welcome = Message::Welcome { incarnation, from: at, peer, number };
                self.send(End::Entry(at), End::Entry(from), welcome);
            }
            Message::Welcome { incarnation, from, peer, number } if incarnation == mine => {
                let last = self.entries[at].hello_number.get(&from).copied();
                if let Some((_, asked_at)) = last.filter(|(last, _)| *last == number) {
                    self.feed(at, Event::PeerHeartbeat { peer, asked_at });
                }
            }
            Message::Stop { from, incarnation, meant, request } => {
                let entry = &mut self.entries[at];
                if meant.incarnation != mine {
                    return;
                }
                let Some(node) = &mut entry.node else { return };
                if let Ok(ack) = node.acknowledge_stop(&request, now) {
                    let stopped = Message::Stopped { incarnation, request, ack };
                    self.send(End::Entry(at), End::Entry(from), stopped);
                }
            }
            Message::Stopped { incarnation, request, ack } if incarnation == mine => {
                self.feed(at, Event::StopAcknowledged { request, ack, received_at: now });
            }
            Message::Row { version, row } => self.feed(at, Event::Row { version, row }),
            Message::Ended(process) => self.feed(at, Event::ProcessEnded(process)),
            _ => {}
        }
    }

    pub(super) fn take_at_target(&mut self, at: usize, message: Message) {
        let Message::Offer { from, incarnation, offer, number } = message else { return };
        let now_ms = self.target_ms(at);
        let target = &mut self.targets[at];
        let Some(holder) = &mut target.holder else { return };
        let verdict = holder.apply(&offer);
        let deadline = holder.deadline_ms();
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!(
                "{} target {at} now {now_ms} {verdict:?} {} {} from {from} until {deadline} digest {}",
                self.now, offer.stamp, offer.cell, offer.digest
            );
        }
        let reply = Reply {
            now_ms,
            incarnation: target.incarnation,
            leaving: target.leaving,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let sent = (&offer).into();
        let vm = target.vm.clone();
        let reply = TargetReply { cell: offer.cell, vm, sent, received_at: self.now, reply };
        self.send(
            End::Target(at),
            End::Entry(from),
            Message::Answer { incarnation, reply, number },
        );
    }

    pub(super) fn take_at_platform(&mut self, message: Message) {
        if self.platform.down {
            return;
        }
        let lost = self.rng.random_range(0..100) < self.platform.lose_percent;
        match message {
            Message::Commit { from, incarnation, write } => {
                let result = write.result(self.commit(&write));
                if !lost {
                    let written = Message::Written { incarnation, id: write.id, result };
                    self.send(End::Platform, End::Entry(from), written);
                }
            }
            Message::Scan { from, incarnation, revision, started_at } if !lost => {
                let fresh = self.rows.values().filter(|(changed, ..)| *changed > revision);
                let rows =
                    fresh.filter_map(|(_, version, row)| Some((*version, row.clone()?))).collect();
                let list = self.vm_list();
                let revision = self.revision;
                let scanned = Message::Scanned { incarnation, revision, started_at, rows, list };
                self.send(End::Platform, End::Entry(from), scanned);
            }
            _ => {}
        }
    }

    fn vm_list(&self) -> Vec<VmRecord> {
        let mut list: BTreeMap<Vm, VmRecord> = BTreeMap::new();
        for (at, listed) in &self.listed {
            if self.now.since(*at) >= self.vms_lag || listed.state == VmState::Live {
                list.insert(listed.vm.clone(), listed.clone());
            }
        }
        list.into_values().collect()
    }

    fn commit(&mut self, write: &Write) -> Commit {
        let transaction = write.transaction();
        let version_of =
            |name: &str| self.rows.get(name).map_or(Version::ZERO, |(_, version, _)| *version);
        let holds = |condition: &Condition| version_of(&condition.name) == condition.version;
        if !transaction.conditions.iter().all(holds) {
            let current = |condition: &Condition| {
                let row = self.rows.get(condition.name.as_str());
                let value = row.and_then(|(_, _, row)| row.as_ref().map(Row::encode));
                table::Row {
                    name: condition.name.clone(),
                    version: version_of(&condition.name),
                    value,
                }
            };
            return Commit::Conflict(transaction.conditions.iter().map(current).collect());
        }
        self.revision += 1;
        self.commits += 1;
        let mut versions = Vec::new();
        for one in &transaction.writes {
            let version = version_of_row(&self.rows, &one.name).next();
            let row = one.value.as_ref().and_then(|text| Row::decode(&one.name, text).ok());
            self.rows.insert(one.name.to_string(), (self.revision, version, row));
            versions.push(version);
        }
        Commit::Committed(versions)
    }

    pub(super) fn feed(&mut self, at: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.entries[at].node else { return };
        for action in node.handle(event, now) {
            self.act(at, action);
        }
    }

    /// Prints what happens if `ALMONDWORKS_TRACE` is set, to look into a seed.
    pub(super) fn trace(&self, line: impl FnOnce() -> String) {
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!("{} {}", self.now, line());
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        self.trace(|| match &action {
            Action::Publish { .. } => format!("entry {at} publishes"),
            Action::Write(write) => format!(
                "entry {at} writes {:?}",
                write
                    .rows
                    .iter()
                    .map(|(base, row)| (row.name.to_string(), base.get(), row.term.get()))
                    .collect::<Vec<_>>()
            ),
            other => format!("entry {at} {other:?}"),
        });
        let incarnation = self.entries[at].incarnation;
        match action {
            Action::Grant { target, grant } => self.offer(at, &target, grant),
            Action::Write(write) => {
                let id = write.id;
                self.send(
                    End::Entry(at),
                    End::Platform,
                    Message::Commit { from: at, incarnation, write },
                );
                // The answer may never come; then the result is unknown.
                let result = Commit::Ambiguous;
                self.after(
                    Duration::from_secs(1),
                    End::Entry(at),
                    Message::Written { incarnation, id, result },
                );
            }
            Action::RequestStop { process, request } => {
                if let Some(to) = self.entries.iter().position(|entry| entry.vm == process.vm) {
                    let stop = Message::Stop { from: at, incarnation, meant: process, request };
                    self.send(End::Entry(at), End::Entry(to), stop);
                }
            }
            Action::Publish { version, row } => {
                for other in (0..self.entries.len()).filter(|other| *other != at) {
                    let row = row.clone();
                    self.send(End::Entry(at), End::Entry(other), Message::Row { version, row });
                }
            }
            Action::Record(_) => {}
        }
    }

    fn offer(&mut self, at: usize, target: &Address, offer: Grant) {
        let Some(to) = self.targets.iter().position(|known| known.vm == target.vm) else { return };
        let incarnation = self.entries[at].incarnation;
        self.order += 1;
        let number = self.order;
        self.entries[at].offers.insert(number, self.now);
        let vm = target.vm.clone();
        let failed = Message::OfferFailed { incarnation, offer: offer.clone(), vm, number };
        self.after(EXCHANGE_LIMIT, End::Entry(at), failed);
        let offer = Message::Offer { from: at, incarnation, offer, number };
        self.send(End::Entry(at), End::Target(to), offer);
    }

    fn after(&mut self, span: Duration, to: End, message: Message) {
        self.order += 1;
        let at = self.now.plus(span);
        self.queue.push(Reverse(Due { at, order: self.order, to, message }));
    }

    pub(super) fn target_ms(&self, at: usize) -> u64 {
        let target = &self.targets[at];
        let micros = u128::from(self.now.as_micros()) * u128::from(target.rate_ppm) / 1_000_000;
        micros as u64 / 1_000 + target.offset_ms
    }
}
