//! The state of the control thread, and how each input changes it.

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

/// The number of decision records kept in memory.
const DECISION_LOG_CAPACITY: usize = 4_096;

/// The number of records in one batch for the object store.
const SHIPPING_BATCH_RECORDS: usize = 512;

/// The interval at which the balance of a cell is checked.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The share of unserved requests in a sample above which a service counts as down.
const DOWN_FAILURE_RATIO: f64 = 0.5;

/// The number of requests in a sample below which it says nothing about the service.
const DOWN_MIN_REQUESTS: u64 = 5;

/// The operators' configuration in force.
#[derive(Debug, Default)]
struct ActiveConfig {
    version: Version,
    parsed: Arc<OperatorConfig>,
    row: Option<change::ConfigRow>,
    text: String,
}

/// Everything that the control thread knows. No other thread reads or changes it.
pub(crate) struct State {
    me: Process,
    shared: Arc<Shared>,
    node: Node,
    decision_log: DecisionLog,
    burn_counts: BurnCounts,
    started_at: Instant,
    routing_cache: RoutingCache,
    active_config: ActiveConfig,
    vms: Vec<VmRecord>,
    drained: BTreeSet<Vm>,
    heartbeats: HashMap<Vm, Welcome>,
    table_reachable: Option<bool>,
    /// The generation of `node` in the published routing table; `None` if a new table is due.
    published_generation: Option<u64>,
    entry_count: usize,
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
        let mut decision_log = DecisionLog::new(me.clone(), zone, DECISION_LOG_CAPACITY);
        decision_log.push(Version::ZERO, Kind::Started);
        Self {
            me,
            node: Node::new(config, now),
            shared,
            decision_log,
            burn_counts: BurnCounts::default(),
            started_at: Instant::now(),
            routing_cache: RoutingCache::default(),
            active_config: ActiveConfig::default(),
            vms: Vec::new(),
            drained: BTreeSet::new(),
            heartbeats: HashMap::new(),
            table_reachable: None,
            published_generation: None,
            entry_count: 1,
        }
    }

    pub(crate) const fn node(&self) -> &Node {
        &self.node
    }

    pub(crate) const fn me(&self) -> &Process {
        &self.me
    }

    /// Appends a decision to the decision log and writes it to the process's log output.
    pub(crate) fn record(&mut self, kind: Kind) {
        let record = self.decision_log.push(self.active_config.version, kind);
        match serde_json::to_string(&record.kind) {
            Ok(text) => info!("decision {}: {}", record.seq, truncate(&text)),
            Err(error) => warn!("decision {} cannot be serialized: {error}", record.seq),
        }
    }

    /// Returns the addresses of the other entries, from the list of VMs and the settings.
    pub(crate) fn peer_addresses(&self) -> HashSet<SocketAddr> {
        let settings = &self.shared.settings;
        let entries = self.vms.iter().filter(|record| {
            record.role == ENTRY_ROLE && record.state != VmState::Gone && record.vm != settings.vm
        });
        let mut addresses: HashSet<SocketAddr> = entries.map(|record| record.address).collect();
        addresses.extend(&settings.peers);
        addresses.remove(&settings.peer_listen);
        addresses
    }

    /// Handles one input and returns the actions that follow from it.
    pub(crate) fn handle(&mut self, input: Input, handles: &Handles) -> Vec<Action> {
        let now = Tick::now();
        match input {
            Input::Event(event) => return self.node.handle(event, now),
            Input::TablePolled { started_at, rows } => {
                return self.handle_table_poll(started_at, rows, now);
            }
            Input::TablePollFailed => self.record_table_reachability(false),
            Input::Vms(list) => return self.handle_vm_list(list, now),
            Input::PeerHeartbeat { welcome, asked_at } => {
                let peer = fleet::to_peer(&welcome);
                self.heartbeats.insert(peer.process.vm.clone(), welcome);
                return self.node.handle(Event::PeerHeartbeat { peer, asked_at }, now);
            }
            Input::PeerBootstrapState(state) => return self.apply_bootstrap_state(state, now),
            Input::PeerConfig(config) => return self.apply_config(config, None, now),
            Input::StopRequested { request, respond_to } => {
                let ack =
                    self.node.acknowledge_stop(&request, now).map_err(|_| peer::Rejection::Stale);
                respond_to.send(ack).ok();
            }
            Input::BootstrapStateRequested(respond_to) => {
                respond_to.send(self.bootstrap_state()).ok();
            }
            Input::CrashReported(report) => self.handle_crash_report(report),
            Input::Feedback(feedback) => self.handle_feedback(feedback, handles),
            Input::Operator { request, respond_to } => {
                self.handle_operator(request, respond_to, handles);
            }
            Input::ConfigCommitted { config, by } => {
                let version = config.version;
                fleet::broadcast_config(handles, &config);
                self.record(Kind::ConfigAccepted { version, by });
                return self.apply_config(config, None, now);
            }
            Input::ChangeCommitted(kind) => self.record(kind),
            Input::RecordsRequested { limit, respond_to } => {
                respond_to.send(self.newest_records(limit)).ok();
            }
            Input::BurnRequested(respond_to) => {
                respond_to.send(self.service_burns()).ok();
            }
            Input::UnshippedRequested(respond_to) => {
                respond_to.send(self.decision_log.unshipped(SHIPPING_BATCH_RECORDS)).ok();
            }
            Input::Shipped(seq) => self.decision_log.mark_shipped(seq),
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
        // A first poll that succeeds is the normal case and not recorded.
        if self.table_reachable.is_some() || !up {
            self.record(Kind::PlatformAvailability { up });
        }
        self.table_reachable = Some(up);
    }

    fn handle_table_poll(
        &mut self,
        started_at: Tick,
        rows: Vec<table::Row>,
        now: Tick,
    ) -> Vec<Action> {
        let first_poll = self.table_reachable.is_none();
        self.record_table_reachability(true);
        let mut cells = Vec::new();
        let mut actions = Vec::new();
        for row in rows {
            if row.name.starts_with(own::cell::ROW_PREFIX) {
                cells.extend(decode_cell(&row));
            } else if row.name == change::CONFIG_ROW {
                if let Some(config_row) = change::ConfigRow::decode(&row) {
                    let config = Versioned { version: row.version, value: config_row.text.clone() };
                    actions.extend(self.apply_config(config, Some(config_row), now));
                }
            } else if let Some(vm) = row.name.strip_prefix(change::DRAIN_PREFIX) {
                actions.extend(self.apply_drain(&Vm::from(vm), row.value.is_some(), now));
            } else if let Some(vm) = row.name.strip_prefix(change::VOUCH_PREFIX)
                && !first_poll
            {
                // A mark that the first poll finds may be older than this process and vouch for an
                // earlier run of the VM, so only later ones count.
                actions.extend(self.node.handle(Event::Vouched(Vm::from(vm)), now));
            }
        }
        actions.extend(self.node.handle(Event::TablePolled { started_at, rows: cells }, now));
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

    fn handle_vm_list(&mut self, list: VmList, now: Tick) -> Vec<Action> {
        if list.vms == self.vms {
            return Vec::new();
        }
        self.vms = list.vms;
        self.published_generation = None;
        self.node.handle(Event::Vms(self.vms.clone()), now)
    }

    /// Applies an operators' configuration if it is newer than the one in force.
    fn apply_config(
        &mut self,
        config: Versioned<String>,
        row: Option<change::ConfigRow>,
        now: Tick,
    ) -> Vec<Action> {
        let Versioned { version, value } = config;
        // A configuration from a peer or from a change made here comes without its row, which a
        // later poll of the table supplies.
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
                warn!("version {version} of the operators' configuration is invalid: {error}");
                return Vec::new();
            }
        };
        self.active_config =
            ActiveConfig { version, parsed: Arc::clone(&parsed), row, text: value };
        self.published_generation = None;
        self.record(Kind::ConfigApplied { version });
        self.node.handle(Event::Services(parsed), now)
    }

    fn apply_bootstrap_state(&mut self, state: peer::BootstrapState, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(config) = state.config {
            actions.extend(self.apply_config(config, None, now));
        }
        for Versioned { version, value } in state.rows {
            actions.extend(self.node.handle(Event::Row { version, row: value }, now));
        }
        actions
    }

    fn bootstrap_state(&self) -> peer::BootstrapState {
        let config = (self.active_config.version > Version::ZERO).then(|| Versioned {
            version: self.active_config.version,
            value: self.active_config.text.clone(),
        });
        let rows = self.node.rows();
        let rows = rows.map(|(version, row)| Versioned { version, value: Row::clone(row) });
        peer::BootstrapState {
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

    /// Collects the counts of traffic since the last sample and updates the metrics.
    fn sample_counts(&mut self) {
        let bucket = self.current_bucket();
        let snapshot = self.shared.snapshot.load();
        for (name, service) in &snapshot.services {
            let (count, unserved) = service.state.take_counts();
            self.burn_counts.add(name, bucket, count);
            let down = count.total >= DOWN_MIN_REQUESTS
                && unserved as f64 > count.total as f64 * DOWN_FAILURE_RATIO;
            service.state.down.store(down, Ordering::Relaxed);
        }
        let metrics = &self.shared.metrics;
        metrics.gauge("config.version", self.active_config.version.get());
        metrics.gauge("decisions.lost", self.decision_log.dropped_records());
        metrics
            .gauge("requests.waiting", self.shared.waiting_requests.load(Ordering::Relaxed) as u64);
    }

    fn current_bucket(&self) -> u64 {
        self.started_at.elapsed().as_secs() / BUCKET_SPAN.as_secs()
    }

    fn service_burns(&self) -> Vec<ServiceBurn> {
        let services = &self.active_config.parsed.services;
        let service_burn = |service: &conf::services::Service| {
            self.burn_counts.service_burn(&service.name, &service.objective, self.current_bucket())
        };
        services.iter().map(service_burn).collect()
    }

    /// Publishes a new routing table if anything that it is built from has changed.
    pub(crate) fn publish(&mut self, peer_server: &PeerServer) {
        let now = Tick::now();
        // This entry, and one spare share for an entry that joins.
        let entry_count = self.node.live_peer_count(now) + 2;
        if self.published_generation == Some(self.node.generation())
            && self.entry_count == entry_count
        {
            return;
        }
        self.published_generation = Some(self.node.generation());
        self.entry_count = entry_count;
        let sources = Sources {
            shared: &self.shared,
            config: &self.active_config.parsed,
            node: &self.node,
            vms: &self.vms,
            drained: &self.drained,
            entry_count,
        };
        let snapshot = self.routing_cache.build(&sources);
        self.shared.publish(snapshot);
        let leaving = self.shared.is_stopping();
        peer_server.update_welcome(|welcome| {
            welcome.config = self.active_config.version;
            welcome.leaving = leaving;
        });
    }
}

fn decode_cell(row: &table::Row) -> Option<(Version, Row)> {
    match Row::decode(&row.name, row.value.as_ref()?) {
        Ok(decoded) => Some((row.version, decoded)),
        Err(error) => {
            warn!("a row of the table is ignored: {error}");
            None
        }
    }
}

/// Truncates the text of a decision, which is long if it concerns many shards.
///
/// The decision log, which operators can request, keeps it whole.
fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 400;
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}… ({} bytes)", &text[..end], text.len()),
        None => text.to_owned(),
    }
}
