//! What one entry knows, and how each message changes it.

mod following;
mod leading;
mod publishing;

use {
    crate::{
        control::{
            feeds::send,
            input::Input,
            lead::{LEAD_KEY, Lead, Member, Subject, member_key},
            peers::{Hello, NewChange, Peers},
        },
        shared::Shared,
        view::Pool,
    },
    conf::routing::Routing,
    hold::{Election, Map, Registration, Registry, election::Leader},
    key::{Process, Service, Version, Vm, clock::Tick},
    leading::Leading,
    platform::{
        Store,
        store::{Commit, ROUTING_KEY, Row, Table, Write},
        text,
    },
    route::quarantine::CrashReport,
    serde::Serialize,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::mpsc::Sender,
};

/// The silence of the store after which a process counts as turned away.
const STORE_SILENCE: Duration = Duration::from_millis(1_600);

/// The time after an excuse has ended within which the view is made anew.
const SETTLING: Duration = Duration::from_millis(500);

/// The time for which strikes are passed on.
const STRIKE_MEMORY: Duration = Duration::from_secs(3);

/// What is logged when a belief changes.
#[derive(Serialize)]
struct Believed<'a> {
    subject: &'a str,
    version: u64,
    detail: &'a str,
}

#[derive(Debug)]
struct Fresh {
    strike: CrashReport,
    since: Tick,
}

/// The control thread's state.
pub(crate) struct State {
    me: Process,
    shared: Arc<Shared>,
    store: Store,
    inputs: Sender<Input>,
    peers: Peers,
    routing: Option<Arc<Routing>>,
    registry: Registry,
    /// When the list last had a target that was new.
    list_grew: Option<Tick>,
    maps: BTreeMap<Service, Arc<Map>>,
    members: BTreeMap<Vm, Member>,
    lead: Option<Lead>,
    lead_version: Version,
    /// Whether the product's own rows have been read since the start.
    own_read: bool,
    election: Election,
    resigning: bool,
    standing: bool,
    leading: Option<Leading>,
    entries: usize,
    store_up: bool,
    reported: Tick,
    reporting: bool,
    reading_maps: bool,
    maps_read: Tick,
    strikes: VecDeque<Fresh>,
    pool: Pool,
    /// Whether the view is older than what is known.
    dirty: bool,
}

impl State {
    pub(crate) fn new(
        me: Process,
        shared: Arc<Shared>,
        store: Store,
        inputs: Sender<Input>,
    ) -> Self {
        let now = Tick::now();
        Self {
            me,
            shared,
            store,
            inputs,
            peers: Peers::new(),
            routing: None,
            registry: Registry::default(),
            list_grew: None,
            maps: BTreeMap::new(),
            members: BTreeMap::new(),
            lead: None,
            lead_version: Version::ZERO,
            own_read: false,
            election: Election::new(now),
            resigning: false,
            standing: false,
            leading: None,
            entries: 1,
            store_up: true,
            reported: now,
            reporting: false,
            reading_maps: false,
            maps_read: Tick::default(),
            strikes: VecDeque::new(),
            pool: Pool::default(),
            dirty: false,
        }
    }

    /// Writes this entry's row, until the store has it.
    pub(crate) fn join(&self) {
        let settings = &self.shared.settings;
        let member = Member {
            incarnation: self.me.incarnation,
            address: settings.peer_listen,
            zone: settings.zone.clone(),
            power: settings.power,
        };
        let key = member_key(&self.me.vm);
        let store = self.store.clone();
        tokio::task::spawn_local(async move {
            following::write_member(&store, key, &member).await;
        });
    }

    /// Takes a message.
    pub(crate) fn take(&mut self, input: Input, now: Tick) {
        match input {
            Input::Tick => self.tick(now),
            Input::Operator(rows) => self.take_operator(&rows),
            Input::Targets { rows, whole, behind } => {
                self.registry.record_poll(true, now);
                self.take_targets(rows, whole, now.before(behind), now);
            }
            Input::TargetsSilent => self.registry.record_poll(false, now),
            Input::Own { rows, whole } => self.take_own(&rows, whole, now),
            Input::Maps { rows, own } => self.take_maps(&rows, own, now),
            Input::Pushed(change) => self.take_pushed(&change),
            Input::Candidacy { lead, commit } => self.take_candidacy(lead, commit, now),
            Input::Polled { silent, heard } => {
                self.election.record_poll(silent, heard, self.entries, now);
            }
            Input::Written { service, commit } => self.take_written(&service, commit, now),
            Input::Granted { service, instance, results, link } => {
                self.take_granted(&service, &instance, &results, link, now);
            }
            Input::Released { service, instance, span, result } => {
                self.take_released(&service, &instance, span, result, now);
            }
            Input::Announced { lead, version } => self.take_lead(lead, version, now),
            Input::Report { report, answer } => {
                let reply = self.take_report(&report, now);
                // A peer that gave up waiting reports again.
                if answer.send(reply).is_err() {
                    self.shared.counters.count("replies", "too late");
                }
            }
            Input::Hello { answer } => {
                let hears_leader = self.leading.is_some()
                    || (self.lead.is_some() && !self.election.is_leader_unresponsive(now));
                if answer.send(Hello { hears_leader }).is_err() {
                    self.shared.counters.count("replies", "too late");
                }
            }
            Input::Replied { leader, reply } => self.take_reply(&leader, reply, now),
        }
        if self.dirty {
            self.publish(now);
        }
    }

    fn tick(&mut self, now: Tick) {
        self.note_store(now);
        self.registry.expire(now);
        while self.strikes.front().is_some_and(|strike| now.since(strike.since) > STRIKE_MEMORY) {
            self.strikes.pop_front();
        }
        if self.leading.is_some() {
            self.lead(now);
        } else {
            self.follow(now);
        }
        self.report(now);
        self.dirty |= self.registry.has_grace_period_within(SETTLING, now);
    }

    fn note_store(&mut self, now: Tick) {
        let up = !self.is_turned_away(now);
        if up != self.store_up {
            self.store_up = up;
            self.believe("store", Version::ZERO, if up { "answers again" } else { "silent" });
        }
    }

    /// Tells whether the store has not answered this process for a while.
    fn is_turned_away(&self, now: Tick) -> bool {
        self.registry.unavailable_for(now) >= STORE_SILENCE
    }

    fn believe(&self, subject: &str, version: Version, detail: &str) {
        self.shared.journal.log("belief", &Believed { subject, version: version.get(), detail });
    }

    fn take_operator(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| row.key == ROUTING_KEY) {
            let Some(value) = &row.value else { continue };
            match text::parse_routing(value) {
                Ok(routing) => self.adopt_routing(routing, "read from the store"),
                Err(error) => self.believe("routing", row.version, &error.to_string()),
            }
        }
    }

    fn adopt_routing(&mut self, routing: Routing, source: &str) {
        let known = self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version);
        if routing.version <= known {
            return;
        }
        self.believe("routing", routing.version, source);
        self.shared.counters.set("routing_version", routing.version.get());
        let named = |service: &Service| routing.service(service).is_some();
        self.registry.remove_if(|registration| !named(&registration.service));
        self.routing = Some(Arc::new(routing));
        self.dirty = true;
    }

    /// Takes entries of the list that may have changed as early as `at`.
    fn take_targets(&mut self, rows: Vec<Row>, whole: bool, at: Tick, now: Tick) {
        let known = self.registry.len();
        if whole {
            let listed = |vm: &Vm| rows.iter().any(|row| row.key == vm.as_str());
            self.dirty |= self.registry.retain(listed, at);
        }
        for row in rows {
            let vm = Vm::from(row.key.as_str());
            let Some(value) = &row.value else {
                if self.registry.remove(&vm, at) {
                    self.believe_target(&vm, row.version, "gone from the list");
                    self.dirty = true;
                }
                continue;
            };
            match text::parse_registration(&row.key, value) {
                Ok(registration) if !self.knows_service(&registration) => {
                    self.believe_target(&vm, row.version, "names no known service");
                }
                Ok(registration) => {
                    let state = format!("{:?}", registration.state);
                    if self.registry.register(registration, row.version, at) {
                        self.believe_target(&vm, row.version, &state);
                        self.dirty = true;
                    }
                }
                Err(error) => self.believe_target(&vm, row.version, &error.to_string()),
            }
        }
        if self.registry.len() > known {
            self.list_grew = Some(now);
        }
    }

    /// Tells whether an entry of the list can be a target's own: one that names no service of the
    /// routing text comes from another writer, and proves nothing about the address it names.
    fn knows_service(&self, registration: &Registration) -> bool {
        let Some(routing) = &self.routing else { return true };
        routing.service(&registration.service).is_some()
    }

    fn believe_target(&self, vm: &Vm, version: Version, detail: &str) {
        self.shared
            .journal
            .log("target", &Believed { subject: vm.as_str(), version: version.get(), detail });
    }

    fn take_own(&mut self, rows: &[Row], whole: bool, now: Tick) {
        for row in rows {
            let Some(value) = &row.value else { continue };
            match Subject::of(&row.key) {
                Subject::Lead => match serde_json::from_slice(value) {
                    Ok(lead) => self.take_lead(lead, row.version, now),
                    Err(error) => self.believe(LEAD_KEY, row.version, &error.to_string()),
                },
                Subject::Member(vm) => match serde_json::from_slice(value) {
                    Ok(member) => {
                        self.members.insert(Vm::from(vm), member);
                        self.dirty = true;
                    }
                    Err(error) => self.believe(&row.key, row.version, &error.to_string()),
                },
                Subject::Other => {}
            }
        }
        self.own_read |= whole;
    }

    fn take_maps(&mut self, rows: &[Row], own: Option<(Vec<Row>, Tick)>, now: Tick) {
        self.reading_maps = false;
        for row in rows {
            let Some(value) = &row.value else { continue };
            match Map::parse(value, row.version) {
                Ok(map) => self.adopt_map(Service::from(row.key.as_str()), map),
                Err(error) => self.believe(&row.key, row.version, &error.to_string()),
            }
        }
        if let Some((own, asked)) = own {
            self.take_own(&own, true, now);
            self.confirm_lead(asked);
        }
    }

    /// Takes a change; one that does not rest on the map known here is made up for by the reply to
    /// the next report.
    fn take_pushed(&mut self, new: &NewChange) {
        let map = self.maps.get(&new.service).and_then(|map| map.with_delta(&new.change));
        if let Some(map) = map {
            self.adopt_map(new.service.clone(), map);
        }
    }

    fn take_lead(&mut self, lead: Lead, version: Version, now: Tick) {
        if version <= self.lead_version {
            return;
        }
        self.believe(LEAD_KEY, version, lead.vm.as_str());
        if !lead.is(&self.me) && self.leading.take().is_some() {
            self.believe(LEAD_KEY, version, "no longer this process");
        }
        self.lead = Some(lead);
        self.lead_version = version;
        self.resigning = false;
        self.election.record_heartbeat(now);
    }

    fn adopt_map(&mut self, service: Service, map: Map) {
        let known = self.maps.get(&service).map_or(Version::ZERO, |map| map.version);
        if map.version <= known {
            return;
        }
        self.believe(service.as_str(), map.version, "holders of keys");
        self.maps.insert(service, Arc::new(map));
        self.dirty = true;
    }

    fn leader(&self) -> Leader {
        match &self.lead {
            None => Leader::Vacant,
            Some(lead) if lead.vm == self.me.vm => Leader::FormerSelf,
            Some(_) => Leader::Other { resigning: self.resigning },
        }
    }

    /// Tries to become the leader.
    fn stand(&mut self, now: Tick) {
        self.election.record_attempt(now);
        self.standing = true;
        let lead = Lead {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            address: self.shared.settings.peer_listen,
            term: self.lead.as_ref().map_or(0, |lead| lead.term) + 1,
        };
        self.believe(LEAD_KEY, self.lead_version, "standing");
        // A row of plain fields always has a form in JSON.
        let value = serde_json::to_vec(&lead).unwrap_or_default();
        let write = Write {
            table: Table::Entries,
            key: LEAD_KEY.into(),
            expected: self.lead_version,
            value: Some(value),
        };
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = store.commit(&[write]).await;
            send(&inputs, Input::Candidacy { lead, commit }).await;
        });
    }

    fn take_candidacy(&mut self, lead: Lead, commit: Commit, now: Tick) {
        self.standing = false;
        // The row may have come through the feed before the answer. Without an answer it shows there
        // if the attempt took effect, and names what looks like an earlier run; this process stands
        // again then.
        if let Commit::Committed(version) = commit
            && version >= self.lead_version
        {
            self.lead = Some(lead);
            self.lead_version = version;
            if self.leading.is_none() {
                self.begin_to_lead(now);
                self.announce_lead();
            }
        }
    }
}
