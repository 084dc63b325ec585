//! What a node knows of the fleet around it.

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

/// How a node is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// This process.
    pub me: Process,
    /// Its availability zone.
    pub zone: Zone,
    /// The timing of leases.
    pub timing: Timing,
    /// The time between two looks at the balance of a cell.
    pub balance_interval: Duration,
}

/// A process of the fleet.
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

/// The facts, apart from the cells.
#[derive(Debug)]
pub(crate) struct FleetState {
    config: Config,
    started_at: Tick,
    services: Arc<OperatorConfig>,
    peers: HashMap<Vm, (Peer, Tick)>,
    ended: HashMap<Process, Tick>,
    newly_ended: Vec<Process>,
    gone: HashMap<Vm, Tick>,
    vms: BTreeMap<Vm, VmRecord>,
    vms_changed: Option<Tick>,
    /// Grows with each change of the list of VMs, of the services or of what operators drain.
    generation: u64,
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
            vms_changed: None,
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
        self.peers.values().map(move |(peer, heard)| (peer, now.since(*heard)))
    }

    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn set_services(&mut self, text: Arc<OperatorConfig>) {
        self.generation += 1;
        self.services = text;
    }

    pub(crate) fn set_drained(&mut self, vms: BTreeSet<Vm>) {
        self.generation += 1;
        self.drained = vms;
    }

    pub(crate) fn set_loads(&mut self, service: Service, loads: HashMap<Shard, f64>) {
        self.loads.insert(service, loads);
    }

    /// Takes the list of VMs. A VM that was listed as gone stays so, since a stale answer of the
    /// platform must not bring it back.
    pub(crate) fn set_vms(&mut self, list: Vec<VmRecord>, now: Tick) {
        let mut changed = self.vms_changed.is_none();
        for listed in list {
            let known = self.vms.get(&listed.vm);
            if self.gone.contains_key(&listed.vm) || known == Some(&listed) {
                continue;
            }
            changed = true;
            if listed.state == VmState::Gone {
                self.gone.insert(listed.vm.clone(), now);
                self.end_processes_of(&listed.vm.clone(), None, now);
            }
            self.vms.insert(listed.vm.clone(), listed);
        }
        if changed {
            self.generation += 1;
            self.vms_changed = Some(now);
        }
    }

    /// Takes a sign of life that came over a connection to the peer's own address.
    pub(crate) fn record_heartbeat(&mut self, peer: Peer, asked_at: Tick, now: Tick) {
        let vm = peer.process.vm.clone();
        let known = self.peers.get(&vm);
        let late =
            known.is_some_and(|(known, at)| known.process != peer.process && *at >= asked_at);
        if late || self.ended.contains_key(&peer.process) {
            return;
        }
        // The address is held by this process, so one that was heard before has ended.
        self.end_processes_of(&vm, Some(&peer.process), now);
        self.vouched.remove(&vm);
        self.peers.insert(vm, (peer, now));
    }

    pub(crate) fn record_vouch(&mut self, vm: Vm, now: Tick) {
        self.end_processes_of(&vm, None, now);
        self.vouched.insert(vm, now);
    }

    /// Forgets what operators vouched for a while ago, so that it never speaks of a later run.
    pub(crate) fn expire_vouches(&mut self, now: Tick) {
        self.vouched.retain(|_, since| now.since(*since) < VOUCHED);
    }

    pub(crate) fn withdraw_vouch(&mut self, vm: &Vm) {
        self.vouched.remove(vm);
    }

    pub(crate) fn take_newly_ended(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.newly_ended)
    }

    /// Notes that a process has ended.
    pub(crate) fn record_process_end(&mut self, process: Process, now: Tick) {
        if self.ended.contains_key(&process) {
            return;
        }
        self.peers.retain(|_, (peer, _)| peer.process != process);
        self.ended.insert(process.clone(), now);
        self.newly_ended.push(process);
    }

    /// Notes the end of the process known to run on a VM, except for `alive`.
    fn end_processes_of(&mut self, vm: &Vm, alive: Option<&Process>, now: Tick) {
        let known = self.peers.get(vm).map(|(peer, _)| peer.process.clone());
        if let Some(process) = known.filter(|process| Some(process) != alive) {
            self.record_process_end(process, now);
        }
    }

    /// Tells whether the list of VMs is known and has not changed for `span`.
    pub(crate) fn is_vm_list_stable(&self, span: Duration, now: Tick) -> bool {
        self.vms_changed.is_some_and(|changed| now.since(changed) >= span)
    }

    /// Returns, for each service, the rows that it lacks; the first rows hold all its shards.
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
                fill(&mut rows, &weights, keyed.shards.get() as u32);
            }
            missing.push(rows);
        }
        missing
    }

    /// Returns the cells for which there are targets, with the number of their targets.
    fn cells_of(&self, service: &Service, keyed: &Keyed) -> BTreeMap<cell::Name, usize> {
        let mut names = BTreeMap::new();
        for listed in self.vms.values() {
            if listed.role == service.as_str() && listed.state == VmState::Live {
                *names.entry(cell_of(service, keyed, listed)).or_default() += 1;
            }
        }
        names
    }

    /// Returns the facts that matter to the cells of a service.
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
            peer_timeout: self.config.timing.peer_lost_after,
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

/// The time for which an operator's word holds.
const VOUCHED: Duration = Duration::from_secs(60);

/// A set of VMs.
#[derive(Clone, Copy)]
pub(crate) struct VmSet<'a>(&'a HashMap<Vm, Tick>);

impl VmSet<'_> {
    pub(crate) fn contains(&self, vm: &Vm) -> bool {
        self.0.contains_key(vm)
    }
}

/// The facts as the cells of one service see them.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) me: &'a Process,
    pub(crate) timing: &'a Timing,
    pub(crate) peer_timeout: Duration,
    pub(crate) balance_interval: Duration,
    pub(crate) started_at: Tick,
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

/// How many times rarer signs of life are between zones than within one.
pub const CROSS_ZONE_HEARTBEAT_FACTOR: u32 = 5;

/// The age of the last look at the table beyond which no planned move starts.
const MAX_TABLE_AGE: Duration = Duration::from_secs(2);

impl View<'_> {
    /// Tells whether the table has answered lately.
    pub(crate) fn is_table_fresh(&self, now: Tick) -> bool {
        self.table_polled_at
            .is_some_and(|table_polled_at| now.since(table_polled_at) < MAX_TABLE_AGE)
    }

    /// Tells whether a process is proved to have ended.
    pub(crate) fn has_ended(&self, process: &Process) -> bool {
        let replaced = process.vm == self.me.vm && process != self.me;
        let vm_ended = self.is_vm_gone(&process.vm) || self.vouched.contains(&process.vm);
        replaced || vm_ended || self.fleet.ended.contains_key(process)
    }

    /// Returns when the last of the cell's renewers was found to have ended, if all have.
    pub(crate) fn renewers_ended_at(&self, row: &Row) -> Option<Tick> {
        let ended_at = |process: &Process| {
            let ended = [
                self.fleet.ended.get(process),
                self.fleet.gone.get(&process.vm),
                self.fleet.vouched.get(&process.vm),
            ];
            ended.into_iter().flatten().min().copied()
        };
        let mut last = Tick::default();
        for process in row.renewers() {
            last = last.max(ended_at(process)?);
        }
        (last > Tick::default()).then_some(last)
    }

    pub(crate) fn is_leaving(&self, process: &Process) -> bool {
        let heard = self.fleet.peers.get(&process.vm);
        heard.is_some_and(|(peer, _)| peer.process == *process && peer.leaving)
    }

    pub(crate) fn unresponsive_for(&self, process: &Process, now: Tick) -> Duration {
        let heard = self.fleet.peers.get(&process.vm);
        let heard = heard.filter(|(peer, _)| peer.process == *process).map(|(_, at)| *at);
        // One that was never heard has been silent since this process began to listen.
        now.since(heard.unwrap_or(self.started_at).max(self.started_at))
    }

    /// Returns the silence after which a process counts as lost.
    ///
    /// Signs of life between zones are fewer, since nothing that is urgent depends on them.
    pub(crate) fn heartbeat_timeout(&self, process: &Process) -> Duration {
        let known = self.fleet.peers.get(&process.vm);
        let near = known.is_some_and(|(peer, _)| peer.zone == self.fleet.config.zone);
        if near { self.peer_timeout } else { self.peer_timeout * CROSS_ZONE_HEARTBEAT_FACTOR }
    }

    pub(crate) fn is_alive(&self, process: &Process, now: Tick) -> bool {
        if process == self.me {
            return !self.resigning;
        }
        let heard = self.fleet.peers.get(&process.vm);
        let known = heard.is_some_and(|(peer, _)| peer.process == *process && !peer.leaving);
        known
            && !self.has_ended(process)
            && self.unresponsive_for(process, now) < self.heartbeat_timeout(process)
    }

    /// Returns how many other processes are well.
    pub(crate) fn live_peer_count(&self, now: Tick) -> usize {
        let peers = self.fleet.peers.values();
        peers.filter(|(peer, _)| self.is_alive(&peer.process, now)).count()
    }

    /// Returns the processes of a zone that are well and stay, this one included.
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

    pub(crate) fn is_vm_gone(&self, vm: &Vm) -> bool {
        self.fleet.gone.contains_key(vm)
    }

    pub(crate) fn is_vm_leaving(&self, vm: &Vm) -> bool {
        let listed = self.fleet.vms.get(vm).is_some_and(|listed| listed.state == VmState::Leaving);
        listed || self.fleet.drained.contains(vm)
    }

    /// Tells whether nothing speaks against a target's serving, as far as the list knows.
    pub(crate) fn is_vm_available(&self, vm: &Vm) -> bool {
        !self.is_vm_gone(vm) && !self.is_vm_leaving(vm)
    }

    /// Returns the weight of a shard; where no load is known all weigh the same.
    pub(crate) fn shard_weight(&self, shard: Shard) -> f64 {
        /// The weight of owning an idle shard, so that idle shards spread by number.
        const IDLE_WEIGHT: f64 = 1.0;
        let load = self.loads.and_then(|loads| loads.get(&shard)).copied().unwrap_or_default();
        load + IDLE_WEIGHT
    }

    /// Returns the VMs that belong to a cell.
    pub(crate) fn vms_in_cell<'b>(
        &'b self,
        name: &'b cell::Name,
    ) -> impl Iterator<Item = &'b VmRecord> {
        self.fleet.vms.values().filter(move |listed| {
            let keyed = self.keyed.filter(|_| listed.role == name.service.as_str());
            keyed.is_some_and(|keyed| cell_of(&name.service, keyed, listed) == *name)
        })
    }
}

/// Returns the cell to which a VM belongs.
fn cell_of(service: &Service, keyed: &Keyed, listed: &VmRecord) -> cell::Name {
    let cells = keyed.cells_per_zone.get() as u32;
    let index = key::shard_of(listed.vm.as_str().as_bytes(), cells).get();
    cell::Name { service: service.clone(), zone: listed.zone.clone(), index }
}

/// Deals the shards of a service to its first cells, in proportion to their targets.
fn fill(rows: &mut [Row], weights: &[usize], shards: u32) {
    let total: usize = weights.iter().sum();
    let mut dealt = 0usize;
    let mut before = 0usize;
    for (row, weight) in rows.iter_mut().zip(weights) {
        before += weight;
        let end = (shards as usize * before) / total.max(1);
        row.slots = (dealt..end)
            .map(|shard| cell::Slot {
                shard: Shard::from(shard as u32),
                owner: None,
                fence: key::Fence::ZERO,
            })
            .collect();
        dealt = end;
    }
}
