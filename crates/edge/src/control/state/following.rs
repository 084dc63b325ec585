//! Following a leader: reports, and what to do about its silence.

use {
    super::State,
    crate::{
        control::{
            feeds::send,
            input::Input,
            peers::{Answers, KeyCount, KeyLoad, MapVersion, Reply, Report},
            records::Member,
        },
        shared::Feedback,
    },
    hold::{Map, election::Verdict},
    key::{Version, Vm, clock::Tick},
    platform::{
        Store,
        store::{Commit, Table, Write},
    },
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The time between two reports.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The entries beyond which each reports more rarely, so that the leader's work stays the same.
const PACED_ENTRIES: f64 = 20.0;

/// The time between two readings of the rows on holders of keys, which are read while the leader is
/// not heard.
const READ_MAPS_EVERY: Duration = Duration::from_millis(800);

/// The wait of the weakest entry before it tries to lead at the first start.
const WEAKEST_START: Duration = Duration::from_millis(800);

/// The pause before the entry's own row is written again.
const PAUSE: Duration = Duration::from_millis(400);

/// Writes the row of this entry, until the store has it.
pub(super) async fn write_member(store: &Store, key: SmolStr, member: &Member) {
    // A row of plain fields always has a form in JSON.
    let value = serde_json::to_vec(member).unwrap_or_default();
    let mut expected = Version::ZERO;
    loop {
        let value = Some(value.clone());
        let write = Write { table: Table::Entries, key: key.clone(), expected, value };
        if let Commit::Committed(_) = store.commit(&[write]).await {
            return;
        }
        time::sleep(PAUSE).await;
        if let Ok(rows) = store.read(Table::Entries).await {
            let row = rows.rows.iter().find(|row| row.key == key);
            expected = row.map_or(Version::ZERO, |row| row.version);
        }
    }
}

impl State {
    pub(super) fn follow(&mut self, now: Tick) {
        let unheard = self.election.is_leader_unresponsive(now) || self.lead.is_none();
        if unheard && now.since(self.maps_read) >= READ_MAPS_EVERY {
            self.read_maps(now);
        }
        if !self.own_read || self.standing || self.is_turned_away(now) || self.shared.is_stopping()
        {
            return;
        }
        let rank = self.rank();
        // At the first start nobody knows the others yet, and the strongest should lead.
        let weakness = (1.0 - self.shared.settings.power).clamp(0.0, 1.0);
        if self.lead.is_none()
            && self.election.unresponsive_for(now) < WEAKEST_START.mul_f64(weakness)
        {
            return;
        }
        match self.election.decide(self.leader(), rank, now) {
            Verdict::Wait => {}
            Verdict::Campaign => self.stand(now),
            Verdict::Poll => self.poll(now),
        }
    }

    /// Reads the rows on holders of keys, which otherwise come from the leader.
    fn read_maps(&mut self, now: Tick) {
        self.maps_read = now;
        if self.reading_maps {
            return;
        }
        self.reading_maps = true;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let rows = store.read(Table::Maps).await.map(|rows| rows.rows).unwrap_or_default();
            send(&inputs, Input::Maps { rows, own: None }).await;
        });
    }

    /// Returns how many entries come before this one when a leader is needed.
    fn rank(&self) -> usize {
        let leader = self.lead.as_ref().map(|lead| &lead.vm);
        let place = |vm: &Vm, power: f64| {
            (power, key::rendezvous_weight(vm.as_str(), leader.map_or("", |vm| vm.as_str())))
        };
        let own = place(&self.me.vm, self.shared.settings.power);
        let others = self.members.iter().filter(|(vm, _)| Some(*vm) != leader);
        others.filter(|(vm, member)| place(vm, member.power) > own).count()
    }

    fn poll(&mut self, now: Tick) {
        self.election.record_attempt(now);
        let leader = self.lead.as_ref().map(|lead| &lead.vm);
        let members = self
            .members
            .iter()
            .filter(|(vm, _)| Some(*vm) != leader && **vm != self.me.vm)
            .map(|(_, member)| member.address)
            .collect();
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (silent, heard) = peers.poll(members).await;
            send(&inputs, Input::Polled { silent, heard }).await;
        });
    }

    /// Sends a report to the leader if one is due.
    pub(super) fn report(&mut self, now: Tick) {
        let pace = REPORT_EVERY.mul_f64((self.sharers() as f64 / PACED_ENTRIES).max(1.0));
        self.election.set_report_interval(pace);
        if self.reporting || now.since(self.reported) < pace {
            return;
        }
        self.reported = now;
        let report = self.make_report(now);
        if self.leading.is_some() {
            self.take_load(&report, now);
            return;
        }
        let Some(lead) = self.lead.clone().filter(|lead| lead.vm != self.me.vm) else { return };
        self.reporting = true;
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let reply = peers.report(lead.address, &report).await;
            send(&inputs, Input::Replied { leader: lead.vm, reply }).await;
        });
    }

    fn make_report(&self, now: Tick) -> Report {
        let Feedback { requests_by_key, crash_reports, ended_instances } =
            std::mem::take(&mut *self.shared.feedback());
        let mut load = BTreeMap::new();
        for ((service, key), requests) in requests_by_key {
            let keys: &mut Vec<KeyCount> = load.entry(service).or_default();
            keys.push(KeyCount { key, requests });
        }
        let answers = self.pool.iter().filter_map(|target| {
            let (count, sum) = target.take_answers();
            (count > 0).then(|| Answers {
                service: target.service.clone(),
                instance: target.instance.clone(),
                count,
                mean_ms: (sum / count).as_millis() as u64,
            })
        });
        let maps = self
            .maps
            .iter()
            .map(|(service, map)| MapVersion { service: service.clone(), version: map.version });
        Report {
            vm: self.me.vm.clone(),
            routing: self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version),
            maps: maps.collect(),
            wants_targets: self.wants_targets(now),
            load: load.into_iter().map(|(service, keys)| KeyLoad { service, keys }).collect(),
            answers: answers.collect(),
            crash_reports,
            ended_instances,
        }
    }

    fn wants_targets(&self, now: Tick) -> bool {
        self.is_turned_away(now) || self.registry.is_empty()
    }

    pub(super) fn take_reply(&mut self, leader: &Vm, reply: Option<Reply>, now: Tick) {
        self.reporting = false;
        let Some(reply) = reply else { return };
        let is_leader = self.lead.as_ref().is_some_and(|lead| lead.vm == *leader);
        if reply.leads && is_leader {
            self.election.record_heartbeat(now);
            self.resigning = reply.resigning;
            if self.entries != reply.entries {
                self.entries = reply.entries;
                self.dirty = true;
            }
        }
        for crash_report in reply.crash_reports {
            self.shared.quarantine().record_crash(crash_report, Instant::now());
        }
        if let Some(routing) = reply.routing {
            self.adopt_routing(routing, "from the leader");
        }
        for new in reply.maps {
            let map = Map { version: new.version, ..new.map };
            self.adopt_map(new.service, map);
        }
        // Where the list can be read here by now, it is newer than a peer's word.
        let targets =
            reply.targets.filter(|targets| self.wants_targets(now) && !targets.is_empty());
        if let Some(targets) = targets {
            let listed = |vm: &Vm| targets.iter().any(|listed| listed.registration.vm == *vm);
            self.dirty |= self.registry.retain(listed, now);
            for listed in targets {
                let at = now.before(Duration::from_millis(listed.left_ms));
                self.dirty |= self.registry.register(listed.registration, listed.version, at);
            }
        }
    }
}
