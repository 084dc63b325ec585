//! The facts about the fleet on which ownership decisions are based.
//!
//! [`FleetState`] collects them for all services; a [`View`] presents them to the cells of one
//! service.

use {
    crate::{
        cell::{self, Row},
        lease::Timing,
    },
    conf::services::{Fencing, Isolation, Keyed, OperatorConfig},
    key::{Process, Service, Shard, Vm, Zone, clock::Tick},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    store::vms::{VmRecord, VmState},
};

/// The settings of a [`Node`](crate::Node).
#[derive(Clone, Debug)]
pub struct Config {
    /// This process.
    pub me: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The timing of leases.
    pub timing: Timing,
    /// The time between two checks of a cell's balance.
    pub balance_interval: Duration,
}

/// An entry process of the fleet, as its last heartbeat describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The process.
    pub process: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it will stop soon.
    pub leaving: bool,
}

/// The role of a process for a cell; displayed as observer, deputy or guardian.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Role {
    /// It only routes by the cell's row.
    #[display("observer")]
    Observer,
    /// It renews leases while the primary is unresponsive.
    #[display("deputy")]
    Standby,
    /// It renews leases and decides on owners.
    #[display("guardian")]
    Primary,
}

/// The state of the fleet apart from the rows of its cells.
#[derive(Debug)]
pub(crate) struct FleetState {
    config: Config,
    started_at: Tick,
    services: Arc<OperatorConfig>,
    /// The peer on each VM, with the time of its last heartbeat.
    peers: HashMap<Vm, (Peer, Tick)>,
    /// The processes that have ended, with the time at which that became known.
    ended: HashMap<Process, Tick>,
    newly_ended: Vec<Process>,
    /// The VMs that the platform has listed as gone, with the time at which it first did.
    gone: HashMap<Vm, Tick>,
    vms: BTreeMap<Vm, VmRecord>,
    vms_changed_at: Option<Tick>,
    /// Increases with each change of the list of VMs, of the services or of the drained VMs.
    generation: u64,
    /// The VMs whose end an operator has confirmed, with the time of the confirmation.
    vouched: HashMap<Vm, Tick>,
    drained: BTreeSet<Vm>,
    loads: HashMap<Service, HashMap<Shard, f64>>,
}

impl FleetState {
    pub(crate) fn new(config: Config, now: Tick) -> Self {
        Self {
            config,
            started_at: now,
            services: Arc::default(),
            peers: HashMap::new(),
            ended: HashMap::new(),
            newly_ended: Vec::new(),
            gone: HashMap::new(),
            vms: BTreeMap::new(),
            vms_changed_at: None,
            generation: 0,
            vouched: HashMap::new(),
            drained: BTreeSet::new(),
            loads: HashMap::new(),
        }
    }

    pub(crate) const fn me(&self) -> &Process {
        &self.config.me
    }

    pub(crate) const fn zone(&self) -> &Zone {
        &self.config.zone
    }

    pub(crate) const fn timing(&self) -> &Timing {
        &self.config.timing
    }

    pub(crate) const fn services(&self) -> &Arc<OperatorConfig> {
        &self.services
    }

    pub(crate) fn loads(&self, service: &Service) -> Option<&HashMap<Shard, f64>> {
        self.loads.get(service)
    }

    pub(crate) fn peers(&self, now: Tick) -> impl Iterator<Item = (&Peer, Duration)> {
        self.peers.values().map(move |(peer, heard_at)| (peer, now.since(*heard_at)))
    }

    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn set_services(&mut self, config: Arc<OperatorConfig>) {
        self.generation += 1;
        self.services = config;
    }

    pub(crate) fn set_drained(&mut self, vms: BTreeSet<Vm>) {
        self.generation += 1;
        self.drained = vms;
    }

    pub(crate) fn set_loads(&mut self, service: Service, loads: HashMap<Shard, f64>) {
        self.loads.insert(service, loads);
    }

    /// Applies a list of VMs.
    ///
    /// A VM that was once listed as gone stays gone, since a stale response of the platform must
    /// not bring it back.
    pub(crate) fn set_vms(&mut self, list: Vec<VmRecord>, now: Tick) {
        let mut changed = self.vms_changed_at.is_none();
        for record in list {
            let known = self.vms.get(&record.vm);
            if self.gone.contains_key(&record.vm) || known == Some(&record) {
                continue;
            }
            changed = true;
            if record.state == VmState::Gone {
                self.gone.insert(record.vm.clone(), now);
                self.record_process_end_on(&record.vm.clone(), None, now);
            }
            self.vms.insert(record.vm.clone(), record);
        }
        if changed {
            self.generation += 1;
            self.vms_changed_at = Some(now);
        }
    }

    /// Records a heartbeat that arrived over a connection to the peer's own address.
    ///
    /// A heartbeat is discarded if another process of the VM has answered since it was requested,
    /// or if its process is known to have ended.
    pub(crate) fn record_heartbeat(&mut self, peer: Peer, asked_at: Tick, now: Tick) {
        let vm = peer.process.vm.clone();
        let known = self.peers.get(&vm);
        let is_outdated = known.is_some_and(|(known, heard_at)| {
            known.process != peer.process && *heard_at >= asked_at
        });
        if is_outdated || self.ended.contains_key(&peer.process) {
            return;
        }
        // This process holds the address, so any other process known on this VM has ended.
        self.record_process_end_on(&vm, Some(&peer.process), now);
        self.vouched.remove(&vm);
        self.peers.insert(vm, (peer, now));
    }

    /// Records an operator's confirmation that everything on a VM has ended.
    pub(crate) fn record_vouch(&mut self, vm: Vm, now: Tick) {
        self.record_process_end_on(&vm, None, now);
        self.vouched.insert(vm, now);
    }

    /// Drops operators' confirmations that are no longer valid.
    ///
    /// They would otherwise apply to a process that was started on the VM later.
    pub(crate) fn expire_vouches(&mut self, now: Tick) {
        self.vouched.retain(|_, vouched_at| now.since(*vouched_at) < VOUCH_VALID_FOR);
    }

    pub(crate) fn withdraw_vouch(&mut self, vm: &Vm) {
        self.vouched.remove(vm);
    }

    /// Removes and returns the processes whose end was recorded since the last call.
    pub(crate) fn take_newly_ended(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.newly_ended)
    }

    /// Records that a process has ended.
    pub(crate) fn record_process_end(&mut self, process: Process, now: Tick) {
        if self.ended.contains_key(&process) {
            return;
        }
        self.peers.retain(|_, (peer, _)| peer.process != process);
        self.ended.insert(process.clone(), now);
        self.newly_ended.push(process);
    }

    /// Records the end of the process known on a VM unless it is `alive`.
    fn record_process_end_on(&mut self, vm: &Vm, alive: Option<&Process>, now: Tick) {
        let known = self.peers.get(vm).map(|(peer, _)| peer.process.clone());
        if let Some(process) = known.filter(|process| Some(process) != alive) {
            self.record_process_end(process, now);
        }
    }

    /// Reports whether the list of VMs is known and has been unchanged for `span`.
    pub(crate) fn is_vm_list_stable(&self, span: Duration, now: Tick) -> bool {
        self.vms_changed_at.is_some_and(|changed_at| now.since(changed_at) >= span)
    }

    /// Returns, for each service, the rows of cells that have none.
    ///
    /// If the service has no row yet, its shards are distributed over the returned rows.
    pub(crate) fn missing_rows(&self, exists: impl Fn(&cell::Name) -> bool) -> Vec<Vec<Row>> {
        let mut missing = Vec::new();
        for service in &self.services.services {
            let Some(keyed) = &service.keyed else { continue };
            let names = self.cells_of(&service.name, keyed);
            let absent: Vec<_> = names.keys().filter(|name| !exists(name)).cloned().collect();
            if absent.is_empty() {
                continue;
            }
            let mut rows: Vec<Row> = absent.into_iter().map(Row::empty).collect();
            if rows.len() == names.len() {
                let weights: Vec<usize> = rows.iter().map(|row| names[&row.name]).collect();
                distribute_shards(&mut rows, &weights, keyed.shards.get() as u32);
            }
            missing.push(rows);
        }
        missing
    }

    /// Returns the cells of a service that have live targets, with the number of these.
    fn cells_of(&self, service: &Service, keyed: &Keyed) -> BTreeMap<cell::Name, usize> {
        let mut names = BTreeMap::new();
        for record in self.vms.values() {
            if record.role == service.as_str() && record.state == VmState::Live {
                *names.entry(cell_of(service, keyed, record)).or_default() += 1;
            }
        }
        names
    }

    /// Returns the facts that apply to the cells of a service.
    pub(crate) fn view(
        &self,
        service: &Service,
        resigning: bool,
        table_polled_at: Option<Tick>,
    ) -> View<'_> {
        let keyed = self.services.service(service.as_str()).and_then(|found| found.keyed.as_ref());
        View {
            me: &self.config.me,
            timing: &self.config.timing,
            peer_lost_after: self.config.timing.peer_lost_after,
            balance_interval: self.config.balance_interval,
            started_at: self.started_at,
            fleet_generation: self.generation,
            vouched: VmSet(&self.vouched),
            fencing: keyed.map_or(Fencing::Lease, |keyed| keyed.fencing),
            isolation: keyed.map_or(Isolation::Hold, |keyed| keyed.isolation),
            loads: self.loads.get(service),
            keyed,
            resigning,
            table_polled_at,
            fleet: self,
        }
    }
}

/// How long an operator's confirmation that a VM has ended is valid.
const VOUCH_VALID_FOR: Duration = Duration::from_secs(60);

/// The VMs among the keys of a map, without its values.
#[derive(Clone, Copy)]
pub(crate) struct VmSet<'a>(&'a HashMap<Vm, Tick>);

impl VmSet<'_> {
    pub(crate) fn contains(&self, vm: &Vm) -> bool {
        self.0.contains_key(vm)
    }
}

/// The facts that apply to the cells of one service.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) me: &'a Process,
    pub(crate) timing: &'a Timing,
    pub(crate) peer_lost_after: Duration,
    pub(crate) balance_interval: Duration,
    /// When this process started.
    pub(crate) started_at: Tick,
    /// The generation of the fleet state that this view shows.
    pub(crate) fleet_generation: u64,
    pub(crate) vouched: VmSet<'a>,
    pub(crate) fencing: Fencing,
    pub(crate) isolation: Isolation,
    loads: Option<&'a HashMap<Shard, f64>>,
    keyed: Option<&'a Keyed>,
    resigning: bool,
    table_polled_at: Option<Tick>,
    fleet: &'a FleetState,
}

/// How many times longer the heartbeat interval is between availability zones than within one.
pub const CROSS_ZONE_HEARTBEAT_FACTOR: u32 = 5;

/// The age of the last successful poll of the table above which no planned reassignment starts.
const MAX_TABLE_AGE: Duration = Duration::from_secs(2);

impl View<'_> {
    /// Reports whether the table was polled successfully within [`MAX_TABLE_AGE`].
    pub(crate) fn is_table_fresh(&self, now: Tick) -> bool {
        self.table_polled_at.is_some_and(|polled_at| now.since(polled_at) < MAX_TABLE_AGE)
    }

    /// Reports whether a process is proved to have ended.
    pub(crate) fn has_ended(&self, process: &Process) -> bool {
        let was_replaced = process.vm == self.me.vm && process != self.me;
        let vm_ended = self.is_vm_gone(&process.vm) || self.vouched.contains(&process.vm);
        was_replaced || vm_ended || self.fleet.ended.contains_key(process)
    }

    /// Returns when the last of a cell's renewers was found to have ended, or `None` if there are
    /// none or one may still run.
    pub(crate) fn renewers_ended_at(&self, row: &Row) -> Option<Tick> {
        let ended_at = |process: &Process| {
            let known_at = [
                self.fleet.ended.get(process),
                self.fleet.gone.get(&process.vm),
                self.fleet.vouched.get(&process.vm),
            ];
            known_at.into_iter().flatten().min().copied()
        };
        let mut last_ended_at = Tick::default();
        for process in row.renewers() {
            last_ended_at = last_ended_at.max(ended_at(process)?);
        }
        (last_ended_at > Tick::default()).then_some(last_ended_at)
    }

    pub(crate) fn is_leaving(&self, process: &Process) -> bool {
        let known = self.fleet.peers.get(&process.vm);
        known.is_some_and(|(peer, _)| peer.process == *process && peer.leaving)
    }

    /// Returns the time since the last heartbeat of a process.
    ///
    /// It is counted from the start of this process if no heartbeat has arrived.
    pub(crate) fn unresponsive_for(&self, process: &Process, now: Tick) -> Duration {
        let known = self.fleet.peers.get(&process.vm);
        let heard_at = known.filter(|(peer, _)| peer.process == *process).map(|(_, at)| *at);
        now.since(heard_at.unwrap_or(self.started_at).max(self.started_at))
    }

    /// Returns the time without a heartbeat after which a process counts as lost.
    ///
    /// It is longer for other zones: heartbeats between zones are less frequent, since nothing
    /// urgent depends on them.
    pub(crate) fn heartbeat_timeout(&self, process: &Process) -> Duration {
        let known = self.fleet.peers.get(&process.vm);
        let same_zone = known.is_some_and(|(peer, _)| peer.zone == self.fleet.config.zone);
        if same_zone {
            self.peer_lost_after
        } else {
            self.peer_lost_after * CROSS_ZONE_HEARTBEAT_FACTOR
        }
    }

    /// Reports whether a process is responsive and not leaving.
    pub(crate) fn is_alive(&self, process: &Process, now: Tick) -> bool {
        if process == self.me {
            return !self.resigning;
        }
        let known = self.fleet.peers.get(&process.vm);
        let is_current = known.is_some_and(|(peer, _)| peer.process == *process && !peer.leaving);
        is_current
            && !self.has_ended(process)
            && self.unresponsive_for(process, now) < self.heartbeat_timeout(process)
    }

    /// Returns the number of other processes that are responsive and not leaving.
    pub(crate) fn live_peer_count(&self, now: Tick) -> usize {
        let peers = self.fleet.peers.values();
        peers.filter(|(peer, _)| self.is_alive(&peer.process, now)).count()
    }

    /// Returns the processes of a zone that are responsive and not leaving, in order, including
    /// this one.
    pub(crate) fn live_processes_in(&self, zone: &Zone, now: Tick) -> Vec<Process> {
        let others = self.fleet.peers.values().filter(|(peer, _)| peer.zone == *zone);
        let mut alive: Vec<Process> = others
            .map(|(peer, _)| peer.process.clone())
            .filter(|process| process != self.me && self.is_alive(process, now))
            .collect();
        if *zone == self.fleet.config.zone && !self.resigning {
            alive.push(self.me.clone());
        }
        alive.sort();
        alive
    }

    /// Reports whether the platform has listed a VM as gone.
    pub(crate) fn is_vm_gone(&self, vm: &Vm) -> bool {
        self.fleet.gone.contains_key(vm)
    }

    /// Reports whether a VM is listed as leaving or is drained by an operator.
    pub(crate) fn is_vm_leaving(&self, vm: &Vm) -> bool {
        let is_listed =
            self.fleet.vms.get(vm).is_some_and(|record| record.state == VmState::Leaving);
        is_listed || self.fleet.drained.contains(vm)
    }

    /// Reports whether a VM is neither gone nor leaving, as far as the platform and the operators
    /// have said.
    pub(crate) fn is_vm_available(&self, vm: &Vm) -> bool {
        !self.is_vm_gone(vm) && !self.is_vm_leaving(vm)
    }

    /// Returns the weight of a shard; shards without a known load all weigh the same.
    pub(crate) fn shard_weight(&self, shard: Shard) -> f64 {
        /// The weight of a shard without load, so that idle shards are spread evenly by number.
        const IDLE_SHARD_WEIGHT: f64 = 1.0;
        let load = self.loads.and_then(|loads| loads.get(&shard)).copied().unwrap_or_default();
        load + IDLE_SHARD_WEIGHT
    }

    /// Returns the VMs that belong to a cell.
    pub(crate) fn vms_in_cell<'b>(
        &'b self,
        name: &'b cell::Name,
    ) -> impl Iterator<Item = &'b VmRecord> {
        self.fleet.vms.values().filter(move |record| {
            let keyed = self.keyed.filter(|_| record.role == name.service.as_str());
            keyed.is_some_and(|keyed| cell_of(&name.service, keyed, record) == *name)
        })
    }
}

/// Returns the cell to which the hash of a VM's name assigns it.
fn cell_of(service: &Service, keyed: &Keyed, record: &VmRecord) -> cell::Name {
    let cells = keyed.cells_per_zone.get() as u32;
    let index = key::shard_of(record.vm.as_str().as_bytes(), cells).get();
    cell::Name { service: service.clone(), zone: record.zone.clone(), index }
}

/// Distributes the shards of a service over its first cells in proportion to their targets.
fn distribute_shards(rows: &mut [Row], weights: &[usize], shards: u32) {
    let total: usize = weights.iter().sum();
    let mut start = 0usize;
    let mut cumulative = 0usize;
    for (row, weight) in rows.iter_mut().zip(weights) {
        cumulative += weight;
        let end = (shards as usize * cumulative) / total.max(1);
        row.slots = (start..end)
            .map(|shard| cell::Slot {
                shard: Shard::from(shard as u32),
                owner: None,
                fence: key::Fence::ZERO,
            })
            .collect();
        start = end;
    }
}
