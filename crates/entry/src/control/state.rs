//! Everything the control thread knows.

mod answers;

use {
    crate::{
        control::{
            Handles, change,
            fleet::{self, PeerServer},
            input::Input,
            routing::{RoutingCache, Sources},
        },
        shared::{Feedback, Shared},
    },
    conf::OperatorConfig,
    key::{Process, Version, Vm, clock::Tick},
    log::{info, warn},
    own::{Action, Config, Event, Node, Row, lease::Timing},
    peer::{Versioned, Welcome},
    report::{
        Burn, Kind, Ring,
        burn::{BUCKET, Line},
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
const RING_CAPACITY: usize = 4_096;

/// The records in one batch for the object store.
const SHIPPING_BATCH_RECORDS: usize = 512;

/// The time between two looks at the balance of a cell.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The share of requests that could not be served above which a service counts as down.
const DOWN_FAILURE_RATIO: f64 = 0.5;

/// The requests in a sample below which nothing is concluded from it.
const DOWN_MIN_REQUESTS: u64 = 5;

/// The operators' text in force.
#[derive(Debug, Default)]
struct ActiveConfig {
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
    ring: Ring,
    burn: Burn,
    started: Instant,
    registry: RoutingCache,
    active_config: ActiveConfig,
    vms: Vec<VmRecord>,
    drained: BTreeSet<Vm>,
    heartbeats: HashMap<Vm, Welcome>,
    table_reachable: Option<bool>,
    published_generation: Option<u64>,
    entries: usize,
}

impl State {
    pub(crate) fn new(me: Process, shared: Arc<Shared>, now: Tick) -> Self {
        let settings = &shared.settings;
        let timing = Timing::from(&settings.lease);
        let zone = settings.zone.clone();
        let config = Config {
            me: me.clone(),
            zone: zone.clone(),
            timing,
            balance_interval: BALANCE_INTERVAL,
        };
        let mut ring = Ring::new(me.clone(), zone, RING_CAPACITY);
        ring.push(Version::ZERO, Kind::Started);
        Self {
            me,
            node: Node::new(config, now),
            shared,
            ring,
            burn: Burn::default(),
            started: Instant::now(),
            registry: RoutingCache::default(),
            active_config: ActiveConfig::default(),
            vms: Vec::new(),
            drained: BTreeSet::new(),
            heartbeats: HashMap::new(),
            table_reachable: None,
            published_generation: None,
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
        let record = self.ring.push(self.active_config.version, kind);
        match serde_json::to_string(&record.kind) {
            Ok(text) => info!("decision {}: {}", record.seq, shorten(&text)),
            Err(error) => warn!("decision {} cannot be shown: {error}", record.seq),
        }
    }

    /// Returns where the peers listen.
    pub(crate) fn peer_addresses(&self) -> HashSet<SocketAddr> {
        let settings = &self.shared.settings;
        let record = self.vms.iter().filter(|record| {
            record.role == ENTRY_ROLE && record.state != VmState::Gone && record.vm != settings.vm
        });
        let mut addresses: HashSet<SocketAddr> = record.map(|record| record.address).collect();
        addresses.extend(&settings.peers);
        addresses.remove(&settings.peer_listen);
        addresses
    }

    /// Takes one message and returns what has to be done.
    pub(crate) fn handle(&mut self, input: Input, handles: &Handles) -> Vec<Action> {
        let now = Tick::now();
        match input {
            Input::Event(event) => return self.node.handle(event, now),
            Input::TablePolled { started_at, rows } => {
                return self.handle_table(started_at, rows, now);
            }
            Input::TablePollFailed => self.record_table_reachability(false),
            Input::Vms(list) => return self.handle_vms(list, now),
            Input::PeerHeartbeat { welcome, asked_at } => {
                let peer = fleet::to_peer(&welcome);
                self.heartbeats.insert(peer.process.vm.clone(), welcome);
                return self.node.handle(Event::PeerHeartbeat { peer, asked_at }, now);
            }
            Input::PeerState(state) => return self.apply_peer_state(state, now),
            Input::PeerConfig(text) => return self.apply_config(text, None, now),
            Input::StopRequested { request, respond_to } => {
                let ack =
                    self.node.acknowledge_stop(&request, now).map_err(|_| peer::Refused::Stale);
                respond_to.send(ack).ok();
            }
            Input::StateRequested(respond_to) => {
                respond_to.send(self.peer_state()).ok();
            }
            Input::CrashReported(report) => self.handle_crash_report(report),
            Input::Feedback(feedback) => self.handle_feedback(feedback, handles),
            Input::Operator { request, respond_to } => {
                self.handle_operator(request, respond_to, handles)
            }
            Input::ConfigCommitted { text, by } => {
                let version = text.version;
                fleet::broadcast_config(handles, &text);
                self.record(Kind::Configured { version, by });
                return self.apply_config(text, None, now);
            }
            Input::ChangeCommitted(kind) => self.record(kind),
            Input::RecordsRequested { limit, respond_to } => {
                respond_to.send(self.newest_records(limit)).ok();
            }
            Input::BurnRequested(respond_to) => {
                respond_to.send(self.burn_lines()).ok();
            }
            Input::UnshippedRequested(respond_to) => {
                respond_to.send(self.ring.unshipped(SHIPPING_BATCH_RECORDS)).ok();
            }
            Input::Shipped(seq) => self.ring.mark_shipped(seq),
            Input::SampleCounts => self.sample_counts(),
            Input::Stop => {
                self.record(Kind::Stopping);
                return self.node.handle(Event::Resign, now);
            }
        }
        Vec::new()
    }

    fn record_table_reachability(&mut self, up: bool) {
        if self.table_reachable == Some(up) {
            return;
        }
        // The first look that succeeds is no news.
        if self.table_reachable.is_some() || !up {
            self.record(Kind::Platform { up });
        }
        self.table_reachable = Some(up);
    }

    fn handle_table(&mut self, started_at: Tick, rows: Vec<table::Row>, now: Tick) -> Vec<Action> {
        let first = self.table_reachable.is_none();
        self.record_table_reachability(true);
        let mut cells = Vec::new();
        let mut actions = Vec::new();
        for row in rows {
            if row.name.starts_with(own::cell::ROW_PREFIX) {
                cells.extend(decode(&row));
            } else if row.name == change::CONFIG_ROW {
                if let Some(found) = change::ConfigRow::decode(&row) {
                    let text = Versioned { version: row.version, value: found.text.clone() };
                    actions.extend(self.apply_config(text, Some(found), now));
                }
            } else if let Some(vm) = row.name.strip_prefix(change::DRAIN_PREFIX) {
                actions.extend(self.apply_drain(&Vm::from(vm), row.value.is_some(), now));
            } else if let Some(vm) = row.name.strip_prefix(change::VOUCH_PREFIX)
                && !first
            {
                // What stood there before this process started may speak of an earlier run.
                actions.extend(self.node.handle(Event::Vouched(Vm::from(vm)), now));
            }
        }
        actions.extend(
            self.node.handle(Event::TablePolled { started_at: started_at, rows: cells }, now),
        );
        actions
    }

    fn apply_drain(&mut self, vm: &Vm, on: bool, now: Tick) -> Vec<Action> {
        let changed = if on { self.drained.insert(vm.clone()) } else { self.drained.remove(vm) };
        if !changed {
            return Vec::new();
        }
        self.published_generation = None;
        self.node.handle(Event::Drained(self.drained.clone()), now)
    }

    fn handle_vms(&mut self, list: VmList, now: Tick) -> Vec<Action> {
        if list.vms == self.vms {
            return Vec::new();
        }
        self.vms = list.vms;
        self.published_generation = None;
        self.node.handle(Event::Vms(self.vms.clone()), now)
    }

    /// Takes an operators' text if it is newer than the one in force.
    fn apply_config(
        &mut self,
        text: Versioned<String>,
        row: Option<change::ConfigRow>,
        now: Tick,
    ) -> Vec<Action> {
        let Versioned { version, value } = text;
        if version == self.active_config.version && row.is_some() {
            self.active_config.row = row;
            return Vec::new();
        }
        if version <= self.active_config.version {
            return Vec::new();
        }
        let parsed = match OperatorConfig::parse(&value) {
            Ok(parsed) => Arc::new(parsed),
            Err(error) => {
                warn!("version {version} of the operators' text cannot be used: {error}");
                return Vec::new();
            }
        };
        self.active_config = ActiveConfig { version, text: Arc::clone(&parsed), row, raw: value };
        self.published_generation = None;
        self.record(Kind::InForce { version });
        self.node.handle(Event::Services(parsed), now)
    }

    fn apply_peer_state(&mut self, state: peer::State, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(text) = state.config {
            actions.extend(self.apply_config(text, None, now));
        }
        for Versioned { version, value } in state.rows {
            actions.extend(self.node.handle(Event::Row { version, row: value }, now));
        }
        actions
    }

    fn peer_state(&self) -> peer::State {
        let config = (self.active_config.version > Version::ZERO).then(|| Versioned {
            version: self.active_config.version,
            value: self.active_config.raw.clone(),
        });
        let rows = self.node.rows();
        let rows = rows.map(|(version, row)| Versioned { version, value: Row::clone(row) });
        peer::State {
            config,
            rows: rows.collect(),
            drained: self.drained.iter().cloned().collect(),
        }
    }

    fn handle_crash_report(&mut self, report: route::quarantine::CrashReport) {
        self.shared.quarantine().record_crash(report, Instant::now());
        self.shared.has_suspects.store(true, Ordering::Relaxed);
    }

    fn handle_feedback(&mut self, feedback: Feedback, handles: &Handles) {
        match feedback {
            Feedback::Crash { service, report, peers_notified } => {
                if self.shared.quarantine().is_refused(report.fingerprint) {
                    let fingerprint = report.fingerprint;
                    self.record(Kind::Quarantined { fingerprint, service });
                }
                fleet::broadcast_crash_report(handles, report, peers_notified);
            }
            Feedback::Ejected { service, vm, failures } => {
                self.record(Kind::Ejected { service, vm, failures });
            }
        }
    }

    /// Samples what traffic counted.
    fn sample_counts(&mut self) {
        let bucket = self.current_bucket();
        let snapshot = self.shared.snapshot.load();
        for (name, service) in &snapshot.services {
            let (count, unserved) = service.state.take_counts();
            self.burn.add(name, bucket, count);
            let failing = count.total >= DOWN_MIN_REQUESTS
                && unserved as f64 > count.total as f64 * DOWN_FAILURE_RATIO;
            service.state.down.store(failing, Ordering::Relaxed);
        }
        let metrics = &self.shared.metrics;
        metrics.gauge("config.version", self.active_config.version.get());
        metrics.gauge("decisions.lost", self.ring.lost());
        metrics
            .gauge("requests.waiting", self.shared.waiting_requests.load(Ordering::Relaxed) as u64);
    }

    fn current_bucket(&self) -> u64 {
        self.started.elapsed().as_secs() / BUCKET.as_secs()
    }

    fn burn_lines(&self) -> Vec<Line> {
        let services = &self.active_config.text.services;
        let line = |service: &conf::services::Service| {
            self.burn.line(&service.name, &service.objective, self.current_bucket())
        };
        services.iter().map(line).collect()
    }

    /// Replaces the routing table if anything it is made from has changed.
    pub(crate) fn publish(&mut self, peer_server: &PeerServer) {
        let now = Tick::now();
        // Itself, and room for one that joins.
        let entries = self.node.live_peer_count(now) + 2;
        if self.published_generation == Some(self.node.generation()) && self.entries == entries {
            return;
        }
        self.published_generation = Some(self.node.generation());
        self.entries = entries;
        let sources = Sources {
            shared: &self.shared,
            text: &self.active_config.text,
            node: &self.node,
            vms: &self.vms,
            drained: &self.drained,
            entries,
        };
        let snapshot = self.registry.build(&sources);
        self.shared.publish(snapshot);
        let leaving = self.shared.is_stopping();
        peer_server.update_welcome(|welcome| {
            welcome.config = self.active_config.version;
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
    const MAX_CHARS: usize = 400;
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}… ({} bytes)", &text[..end], text.len()),
        None => text.to_owned(),
    }
}
