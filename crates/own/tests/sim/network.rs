//! The passage of time, the delivery of messages and the platform of the simulation.

use {
    super::{
        Endpoint, GRANT_TIMEOUT, HEARTBEAT_INTERVAL, Message, STEP_INTERVAL, ScheduledMessage, Sim,
        TABLE_POLL_INTERVAL, version_of_row,
    },
    key::{Process, Version, Vm},
    own::{
        Action, Event, Peer, Row, TargetReply, Write,
        cell::Target as CellTarget,
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
    /// Advances virtual time by `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            let step_end = self.now.plus(STEP_INTERVAL);
            while self.scheduled.peek().is_some_and(|Reverse(next)| next.deliver_at <= step_end) {
                let Some(Reverse(next)) = self.scheduled.pop() else { break };
                self.now = next.deliver_at.max(self.now);
                self.deliver(next.to, next.message);
            }
            self.now = step_end;
            self.step_entries();
            self.record_overlaps();
        }
    }

    /// Sends a tick to each running entry, and its polls and heartbeat requests that are due.
    pub(super) fn step_entries(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].node.is_none() || self.entries[index].paused {
                continue;
            }
            self.handle_event(index, Event::Tick);
            let incarnation = self.entries[index].incarnation;
            if self.entries[index].next_poll_at <= self.now {
                self.entries[index].next_poll_at = self.now.plus(TABLE_POLL_INTERVAL);
                let (table_revision, started_at) = (self.entries[index].table_revision, self.now);
                let poll =
                    Message::TablePoll { from: index, incarnation, table_revision, started_at };
                self.send(Endpoint::Entry(index), Endpoint::Platform, poll);
            }
            for other in 0..self.entries.len() {
                let next_at =
                    self.entries[index].next_heartbeat_at.get(&other).copied().unwrap_or_default();
                if other == index || next_at > self.now {
                    continue;
                }
                // Only the answer to the latest request counts; a late one to an earlier request is
                // ignored.
                self.last_sequence += 1;
                let request_id = self.last_sequence;
                self.entries[index]
                    .next_heartbeat_at
                    .insert(other, self.now.plus(HEARTBEAT_INTERVAL));
                self.entries[index].latest_heartbeat.insert(other, (request_id, self.now));
                let request = Message::HeartbeatRequest { from: index, incarnation, request_id };
                self.send(Endpoint::Entry(index), Endpoint::Entry(other), request);
            }
        }
    }

    /// Sends a message, with a random delay, unless the link is cut.
    pub(super) fn send(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let delay = match self.rng.random_range(0..1_000) {
            0..2 => 5_000,
            2..20 => self.rng.random_range(50..600),
            _ => self.rng.random_range(1..8),
        };
        self.last_sequence += 1;
        let deliver_at = self.now.plus(Duration::from_millis(delay));
        self.scheduled.push(Reverse(ScheduledMessage {
            deliver_at,
            sequence: self.last_sequence,
            to,
            message,
        }));
    }

    /// Delivers a message to its receiver, or to its inbox while it is paused.
    pub(super) fn deliver(&mut self, to: Endpoint, message: Message) {
        match to {
            Endpoint::Entry(index) if self.entries[index].paused => {
                self.entries[index].inbox.push(message);
            }
            Endpoint::Entry(index) => self.handle_at_entry(index, message),
            Endpoint::Target(index) if self.targets[index].paused => {
                self.targets[index].inbox.push(message);
            }
            Endpoint::Target(index) => self.handle_at_target(index, message),
            Endpoint::Platform => self.handle_at_platform(message),
        }
    }

    pub(super) fn handle_at_entry(&mut self, index: usize, message: Message) {
        let own_incarnation = self.entries[index].incarnation;
        let now = self.now;
        if self.entries[index].node.is_none() {
            return;
        }
        match message {
            Message::GrantReply { incarnation, reply, request_id }
                if incarnation == own_incarnation =>
            {
                let sent_at = self.entries[index].pending_grants.remove(&request_id);
                if sent_at.is_some_and(|sent_at| now.since(sent_at) < GRANT_TIMEOUT) {
                    self.handle_event(
                        index,
                        Event::TargetReplied(TargetReply { received_at: now, ..reply }),
                    );
                }
            }
            Message::GrantTimedOut { incarnation, grant, vm, request_id }
                if incarnation == own_incarnation
                    && self.entries[index].pending_grants.remove(&request_id).is_some() =>
            {
                self.handle_event(index, Event::TargetUnanswered { cell: grant.cell, vm });
            }
            Message::WriteResult { incarnation, id, result } if incarnation == own_incarnation => {
                self.handle_event(index, Event::Written { id, result });
            }
            Message::TableContent { incarnation, table_revision, started_at, rows, list }
                if incarnation == own_incarnation
                    && table_revision >= self.entries[index].table_revision =>
            {
                self.entries[index].table_revision = table_revision;
                self.handle_event(index, Event::Vms(list));
                self.handle_event(index, Event::TablePolled { started_at, rows });
            }
            Message::HeartbeatRequest { from, incarnation, request_id } => {
                let entry = &self.entries[index];
                let process = Process { vm: entry.vm.clone(), incarnation: entry.incarnation };
                let peer = Peer { process, zone: entry.zone.clone(), leaving: entry.resigning };
                let heartbeat = Message::Heartbeat { incarnation, from: index, peer, request_id };
                self.send(Endpoint::Entry(index), Endpoint::Entry(from), heartbeat);
            }
            Message::Heartbeat { incarnation, from, peer, request_id }
                if incarnation == own_incarnation =>
            {
                let latest = self.entries[index].latest_heartbeat.get(&from).copied();
                if let Some((_, asked_at)) = latest.filter(|(latest, _)| *latest == request_id) {
                    self.handle_event(index, Event::PeerHeartbeat { peer, asked_at });
                }
            }
            Message::StopRequest { from, incarnation, recipient, request } => {
                let entry = &mut self.entries[index];
                if recipient.incarnation != own_incarnation {
                    return;
                }
                let Some(node) = &mut entry.node else { return };
                if let Ok(ack) = node.acknowledge_stop(&request, now) {
                    let answer = Message::StopAck { incarnation, request, ack };
                    self.send(Endpoint::Entry(index), Endpoint::Entry(from), answer);
                }
            }
            Message::StopAck { incarnation, request, ack } if incarnation == own_incarnation => {
                self.handle_event(
                    index,
                    Event::StopAcknowledged { request, ack, received_at: now },
                );
            }
            Message::Row { version, row } => self.handle_event(index, Event::Row { version, row }),
            Message::ProcessEnded(process) => {
                self.handle_event(index, Event::ProcessEnded(process));
            }
            _ => {}
        }
    }

    pub(super) fn handle_at_target(&mut self, index: usize, message: Message) {
        let Message::Grant { from, incarnation, grant, request_id } = message else { return };
        let now_ms = self.target_clock_ms(index);
        let target = &mut self.targets[index];
        let Some(holder) = &mut target.holder else { return };
        let verdict = holder.apply(&grant);
        let deadline = holder.deadline_ms();
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!(
                "{} target {index} now {now_ms} {verdict:?} {} {} from {from} until {deadline} digest {}",
                self.now, grant.stamp, grant.cell, grant.digest
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
        let sent = (&grant).into();
        let vm = target.vm.clone();
        let reply = TargetReply { cell: grant.cell, vm, sent, received_at: self.now, reply };
        self.send(
            Endpoint::Target(index),
            Endpoint::Entry(from),
            Message::GrantReply { incarnation, reply, request_id },
        );
    }

    pub(super) fn handle_at_platform(&mut self, message: Message) {
        if self.platform.down {
            return;
        }
        let is_lost = self.rng.random_range(0..100) < self.platform.loss_percent;
        match message {
            Message::Write { from, incarnation, write } => {
                let result = write.result(self.commit(&write));
                if !is_lost {
                    let answer = Message::WriteResult { incarnation, id: write.id, result };
                    self.send(Endpoint::Platform, Endpoint::Entry(from), answer);
                }
            }
            Message::TablePoll { from, incarnation, table_revision, started_at } if !is_lost => {
                let changed =
                    self.rows.values().filter(|(changed_in, ..)| *changed_in > table_revision);
                let rows = changed
                    .filter_map(|(_, version, row)| Some((*version, row.clone()?)))
                    .collect();
                let list = self.vm_list();
                let table_revision = self.table_revision;
                let content =
                    Message::TableContent { incarnation, table_revision, started_at, rows, list };
                self.send(Endpoint::Platform, Endpoint::Entry(from), content);
            }
            _ => {}
        }
    }

    /// Returns the list of VMs as the platform shows it, in which ended VMs appear with a delay.
    fn vm_list(&self) -> Vec<VmRecord> {
        let mut list: BTreeMap<Vm, VmRecord> = BTreeMap::new();
        for (listed_at, record) in &self.vm_records {
            if self.now.since(*listed_at) >= self.vm_list_delay || record.state == VmState::Live {
                list.insert(record.vm.clone(), record.clone());
            }
        }
        list.into_values().collect()
    }

    fn commit(&mut self, write: &Write) -> Commit {
        let transaction = write.transaction();
        let version_of =
            |name: &str| self.rows.get(name).map_or(Version::ZERO, |(_, version, _)| *version);
        let is_met = |condition: &Condition| version_of(&condition.name) == condition.version;
        if !transaction.conditions.iter().all(is_met) {
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
        self.table_revision += 1;
        self.commit_count += 1;
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let version = version_of_row(&self.rows, &write.name).next();
            let row = write.value.as_ref().and_then(|text| Row::decode(&write.name, text).ok());
            self.rows.insert(write.name.to_string(), (self.table_revision, version, row));
            versions.push(version);
        }
        Commit::Committed(versions)
    }

    /// Passes an event to an entry's state machine and carries out the resulting actions.
    pub(super) fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.entries[index].node else { return };
        for action in node.handle(event, now) {
            self.perform(index, action);
        }
    }

    /// Prints a line if `ALMONDWORKS_TRACE` is set, for the analysis of a seed.
    pub(super) fn trace(&self, line: impl FnOnce() -> String) {
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!("{} {}", self.now, line());
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        self.trace(|| match &action {
            Action::Publish { .. } => format!("entry {index} publishes"),
            Action::Write(write) => format!(
                "entry {index} writes {:?}",
                write
                    .rows
                    .iter()
                    .map(|(base, row)| (row.name.to_string(), base.get(), row.term.get()))
                    .collect::<Vec<_>>()
            ),
            other => format!("entry {index} {other:?}"),
        });
        let incarnation = self.entries[index].incarnation;
        match action {
            Action::Grant { target, grant } => self.send_grant(index, &target, grant),
            Action::Write(write) => {
                let id = write.id;
                self.send(
                    Endpoint::Entry(index),
                    Endpoint::Platform,
                    Message::Write { from: index, incarnation, write },
                );
                // If the response is lost, the entry times out with an unknown result.
                let result = Commit::Ambiguous;
                self.deliver_after(
                    Duration::from_secs(1),
                    Endpoint::Entry(index),
                    Message::WriteResult { incarnation, id, result },
                );
            }
            Action::RequestStop { process, request } => {
                if let Some(to) = self.entries.iter().position(|entry| entry.vm == process.vm) {
                    let message = Message::StopRequest {
                        from: index,
                        incarnation,
                        recipient: process,
                        request,
                    };
                    self.send(Endpoint::Entry(index), Endpoint::Entry(to), message);
                }
            }
            Action::Publish { version, row } => {
                for other in (0..self.entries.len()).filter(|other| *other != index) {
                    let row = row.clone();
                    self.send(
                        Endpoint::Entry(index),
                        Endpoint::Entry(other),
                        Message::Row { version, row },
                    );
                }
            }
            Action::Record(_) => {}
        }
    }

    fn send_grant(&mut self, index: usize, target: &CellTarget, grant: Grant) {
        let Some(to) = self.targets.iter().position(|known| known.vm == target.vm) else { return };
        let incarnation = self.entries[index].incarnation;
        self.last_sequence += 1;
        let request_id = self.last_sequence;
        self.entries[index].pending_grants.insert(request_id, self.now);
        let vm = target.vm.clone();
        let timeout = Message::GrantTimedOut { incarnation, grant: grant.clone(), vm, request_id };
        self.deliver_after(GRANT_TIMEOUT, Endpoint::Entry(index), timeout);
        let message = Message::Grant { from: index, incarnation, grant, request_id };
        self.send(Endpoint::Entry(index), Endpoint::Target(to), message);
    }

    /// Delivers a message after `span` without use of the network.
    fn deliver_after(&mut self, span: Duration, to: Endpoint, message: Message) {
        self.last_sequence += 1;
        let deliver_at = self.now.plus(span);
        self.scheduled.push(Reverse(ScheduledMessage {
            deliver_at,
            sequence: self.last_sequence,
            to,
            message,
        }));
    }

    /// Returns the clock of a target, which has an offset and a rate of its own.
    pub(super) fn target_clock_ms(&self, index: usize) -> u64 {
        let target = &self.targets[index];
        let micros =
            u128::from(self.now.as_micros()) * u128::from(target.clock_rate_ppm) / 1_000_000;
        micros as u64 / 1_000 + target.clock_offset_ms
    }
}
