//! Everything the control thread knows.

mod answers;

use {
    crate::{
        control::{
            Outside, change,
            fleet::{self, Answering},
            input::Input,
            routing::{Registry, Sources},
        },
        shared::{Feedback, Shared},
    },
    conf::OperatorConfig,
    key::{Process, Version, Vm, clock::Tick},
    log::{info, warn},
    own::{Action, Config, Event, Node, Row, lease::Timing},
    peer::{Versioned, Welcome},
    report::{
        BurnCounts, DecisionLog, Kind,
        burn::{BUCKET_SPAN, ServiceBurn},
    },
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    store::{
        table,
        vms::{ENTRY_ROLE, VmList, VmRecord, VmState},
    },
};

/// The records kept in memory.
const RING: usize = 4_096;

/// The records in one batch for the object store.
const BATCH: usize = 512;

/// The time between two looks at the balance of a cell.
const BALANCE_EVERY: Duration = Duration::from_secs(1);

/// The share of requests that could not be served above which a service counts as down.
const DOWN_ABOVE: f64 = 0.5;

/// The requests in a sample below which nothing is concluded from it.
const DOWN_FROM: u64 = 5;

/// The operators' text in force.
#[derive(Debug, Default)]
struct InForce {
    version: Version,
    text: Arc<OperatorConfig>,
    row: Option<change::ConfigRow>,
    raw: String,
}

/// The state of the control thread.
pub(crate) struct State {
    me: Process,
    shared: Arc<Shared>,
    node: Node,
    ring: DecisionLog,
    burn: BurnCounts,
    started: Instant,
    registry: Registry,
    in_force: InForce,
    vms: Vec<VmRecord>,
    drained: BTreeSet<Vm>,
    welcomes: HashMap<Vm, Welcome>,
    table_up: Option<bool>,
    routed: Option<u64>,
    entries: usize,
}

impl State {
    pub(crate) fn new(me: Process, shared: Arc<Shared>, now: Tick) -> Self {
        let settings = &shared.settings;
        let timing = Timing::from(&settings.lease);
        let zone = settings.zone.clone();
        let config =
            Config { me: me.clone(), zone: zone.clone(), timing, balance_interval: BALANCE_EVERY };
        let mut ring = DecisionLog::new(me.clone(), zone, RING);
        ring.push(Version::ZERO, Kind::Started);
        Self {
            me,
            node: Node::new(config, now),
            shared,
            ring,
            burn: BurnCounts::default(),
            started: Instant::now(),
            registry: Registry::default(),
            in_force: InForce::default(),
            vms: Vec::new(),
            drained: BTreeSet::new(),
            welcomes: HashMap::new(),
            table_up: None,
            routed: None,
            entries: 1,
        }
    }

    pub(crate) const fn node(&self) -> &Node {
        &self.node
    }

    pub(crate) const fn me(&self) -> &Process {
        &self.me
    }

    /// Puts a decision on record and into the log.
    pub(crate) fn record(&mut self, kind: Kind) {
        let record = self.ring.push(self.in_force.version, kind);
        match serde_json::to_string(&record.kind) {
            Ok(text) => info!("decision {}: {}", record.seq, shorten(&text)),
            Err(error) => warn!("decision {} cannot be shown: {error}", record.seq),
        }
    }

    /// Returns where the peers listen.
    pub(crate) fn peer_addresses(&self) -> HashSet<SocketAddr> {
        let settings = &self.shared.settings;
        let listed = self.vms.iter().filter(|listed| {
            listed.role == ENTRY_ROLE && listed.state != VmState::Gone && listed.vm != settings.vm
        });
        let mut addresses: HashSet<SocketAddr> = listed.map(|listed| listed.address).collect();
        addresses.extend(&settings.peers);
        addresses.remove(&settings.peer_listen);
        addresses
    }

    /// Takes one message and returns what has to be done.
    pub(crate) fn take(&mut self, input: Input, outside: &Outside) -> Vec<Action> {
        let now = Tick::now();
        match input {
            Input::Event(event) => return self.node.handle(event, now),
            Input::Table { began, rows } => return self.table(began, rows, now),
            Input::TableSilent => self.note_table(false),
            Input::Vms(list) => return self.list(list, now),
            Input::Welcomed { welcome, asked } => {
                let peer = fleet::peer_of(&welcome);
                self.welcomes.insert(peer.process.vm.clone(), welcome);
                return self.node.handle(Event::PeerHeartbeat { peer, asked_at: asked }, now);
            }
            Input::Synced(state) => return self.sync(state, now),
            Input::Configured(text) => return self.configure(text, None, now),
            Input::StopAsked { ask, answer } => {
                let ack = self.node.acknowledge_stop(&ask, now).map_err(|_| peer::Rejection::Stale);
                answer.send(ack).ok();
            }
            Input::SyncAsked(answer) => {
                answer.send(self.snapshot_for_peer()).ok();
            }
            Input::Struck(strike) => self.struck(strike),
            Input::Feedback(feedback) => self.feedback(feedback, outside),
            Input::Operator { ask, answer } => self.operate(ask, answer, outside),
            Input::Accepted { text, by } => {
                let version = text.version;
                fleet::share_config(outside, &text);
                self.record(Kind::ConfigAccepted { version, by });
                return self.configure(text, None, now);
            }
            Input::Changed(kind) => self.record(kind),
            Input::Records { limit, answer } => {
                answer.send(self.newest(limit)).ok();
            }
            Input::Burn(answer) => {
                answer.send(self.burn_lines()).ok();
            }
            Input::Unshipped(answer) => {
                answer.send(self.ring.unshipped(BATCH)).ok();
            }
            Input::Shipped(seq) => self.ring.mark_shipped(seq),
            Input::Sample => self.sample(),
            Input::Stop => {
                self.record(Kind::Stopping);
                return self.node.handle(Event::Resign, now);
            }
        }
        Vec::new()
    }

    fn note_table(&mut self, up: bool) {
        if self.table_up == Some(up) {
            return;
        }
        // The first look that succeeds is no news.
        if self.table_up.is_some() || !up {
            self.record(Kind::PlatformAvailability { up });
        }
        self.table_up = Some(up);
    }

    fn table(&mut self, began: Tick, rows: Vec<table::Row>, now: Tick) -> Vec<Action> {
        let first = self.table_up.is_none();
        self.note_table(true);
        let mut cells = Vec::new();
        let mut actions = Vec::new();
        for row in rows {
            if row.name.starts_with(own::cell::ROW_PREFIX) {
                cells.extend(decode(&row));
            } else if row.name == change::CONFIG_ROW {
                if let Some(found) = change::ConfigRow::decode(&row) {
                    let text = Versioned { version: row.version, value: found.text.clone() };
                    actions.extend(self.configure(text, Some(found), now));
                }
            } else if let Some(vm) = row.name.strip_prefix(change::DRAIN_PREFIX) {
                actions.extend(self.drain(&Vm::from(vm), row.value.is_some(), now));
            } else if let Some(vm) = row.name.strip_prefix(change::VOUCH_PREFIX)
                && !first
            {
                // What stood there before this process started may speak of an earlier run.
                actions.extend(self.node.handle(Event::Vouched(Vm::from(vm)), now));
            }
        }
        actions
            .extend(self.node.handle(Event::TablePolled { started_at: began, rows: cells }, now));
        actions
    }

    fn drain(&mut self, vm: &Vm, on: bool, now: Tick) -> Vec<Action> {
        let changed = if on { self.drained.insert(vm.clone()) } else { self.drained.remove(vm) };
        if !changed {
            return Vec::new();
        }
        self.routed = None;
        self.node.handle(Event::Drained(self.drained.clone()), now)
    }

    fn list(&mut self, list: VmList, now: Tick) -> Vec<Action> {
        if list.vms == self.vms {
            return Vec::new();
        }
        self.vms = list.vms;
        self.routed = None;
        self.node.handle(Event::Vms(self.vms.clone()), now)
    }

    /// Takes an operators' text if it is newer than the one in force.
    fn configure(
        &mut self,
        text: Versioned<String>,
        row: Option<change::ConfigRow>,
        now: Tick,
    ) -> Vec<Action> {
        let Versioned { version, value } = text;
        if version == self.in_force.version && row.is_some() {
            self.in_force.row = row;
            return Vec::new();
        }
        if version <= self.in_force.version {
            return Vec::new();
        }
        let parsed = match OperatorConfig::parse(&value) {
            Ok(parsed) => Arc::new(parsed),
            Err(error) => {
                warn!("version {version} of the operators' text cannot be used: {error}");
                return Vec::new();
            }
        };
        self.in_force = InForce { version, text: Arc::clone(&parsed), row, raw: value };
        self.routed = None;
        self.record(Kind::ConfigApplied { version });
        self.node.handle(Event::Services(parsed), now)
    }

    fn sync(&mut self, state: peer::BootstrapState, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(text) = state.config {
            actions.extend(self.configure(text, None, now));
        }
        for Versioned { version, value } in state.rows {
            actions.extend(self.node.handle(Event::Row { version, row: value }, now));
        }
        actions
    }

    fn snapshot_for_peer(&self) -> peer::BootstrapState {
        let config = (self.in_force.version > Version::ZERO).then(|| Versioned {
            version: self.in_force.version,
            value: self.in_force.raw.clone(),
        });
        let rows = self.node.rows();
        let rows = rows.map(|(version, row)| Versioned { version, value: Row::clone(row) });
        peer::BootstrapState {
            config,
            rows: rows.collect(),
            drained: self.drained.iter().cloned().collect(),
        }
    }

    fn struck(&mut self, strike: route::quarantine::CrashReport) {
        self.shared.quarantine().record_crash(strike, Instant::now());
        self.shared.suspects.store(true, Ordering::Relaxed);
    }

    fn feedback(&mut self, feedback: Feedback, outside: &Outside) {
        match feedback {
            Feedback::Strike { service, strike, told } => {
                if self.shared.quarantine().is_refused(strike.fingerprint) {
                    let fingerprint = strike.fingerprint;
                    self.record(Kind::Quarantined { fingerprint, service });
                }
                fleet::share_strike(outside, strike, told);
            }
            Feedback::Ejected { service, vm, failures } => {
                self.record(Kind::Ejected { service, vm, failures });
            }
        }
    }

    /// Samples what traffic counted.
    fn sample(&mut self) {
        let bucket = self.bucket();
        let snapshot = self.shared.snapshot.load();
        for (name, service) in &snapshot.services {
            let (count, unserved) = service.live.take_counts();
            self.burn.add(name, bucket, count);
            let failing =
                count.total >= DOWN_FROM && unserved as f64 > count.total as f64 * DOWN_ABOVE;
            service.live.down.store(failing, Ordering::Relaxed);
        }
        let metrics = &self.shared.metrics;
        metrics.gauge("config.version", self.in_force.version.get());
        metrics.gauge("decisions.lost", self.ring.dropped_records());
        metrics.gauge("requests.waiting", self.shared.waiting.load(Ordering::Relaxed) as u64);
    }

    fn bucket(&self) -> u64 {
        self.started.elapsed().as_secs() / BUCKET_SPAN.as_secs()
    }

    fn burn_lines(&self) -> Vec<ServiceBurn> {
        let services = &self.in_force.text.services;
        let line = |service: &conf::services::Service| {
            self.burn.service_burn(&service.name, &service.objective, self.bucket())
        };
        services.iter().map(line).collect()
    }

    /// Replaces the routing table if anything it is made from has changed.
    pub(crate) fn publish(&mut self, answering: &Answering) {
        let now = Tick::now();
        // Itself, and room for one that joins.
        let entries = self.node.live_peer_count(now) + 2;
        if self.routed == Some(self.node.generation()) && self.entries == entries {
            return;
        }
        self.routed = Some(self.node.generation());
        self.entries = entries;
        let sources = Sources {
            shared: &self.shared,
            text: &self.in_force.text,
            node: &self.node,
            vms: &self.vms,
            drained: &self.drained,
            entries,
        };
        let snapshot = self.registry.build(&sources);
        self.shared.publish(snapshot);
        let leaving = self.shared.is_stopping();
        answering.update(|welcome| {
            welcome.config = self.in_force.version;
            welcome.leaving = leaving;
        });
    }
}

fn decode(row: &table::Row) -> Option<(Version, Row)> {
    match Row::decode(&row.name, row.value.as_ref()?) {
        Ok(decoded) => Some((row.version, decoded)),
        Err(error) => {
            warn!("{error}");
            None
        }
    }
}

/// Shortens the text of a decision about many shards, which the log shows whole only on request.
fn shorten(text: &str) -> String {
    const LONGEST: usize = 400;
    match text.char_indices().nth(LONGEST) {
        Some((at, _)) => format!("{}… ({} bytes)", &text[..at], text.len()),
        None => text.to_owned(),
    }
}
