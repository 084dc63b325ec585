//! A deterministic simulation of a fleet in virtual time.
//!
//! The state machines of the entries are real; the network, the clocks, the targets and the
//! platform are simulated. A seed determines the whole run.

mod faults;
mod network;

use {
    conf::{
        OperatorConfig,
        services::{Fencing, Isolation},
    },
    key::{Incarnation, Process, Shard, Version, Vm, Zone, clock::Tick},
    own::{
        Node, Peer, Row, TargetReply, Write,
        lease::{Grant, Holder},
        stop,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
    store::{
        Commit,
        vms::{ENTRY_ROLE, VmRecord, VmState},
    },
};

pub const SHARD_COUNT: u32 = 12;
const STEP_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// The time between boot and the start of the simulation.
const START_SINCE_BOOT: Duration = Duration::from_secs(100);

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub fencing: Fencing,
    pub isolation: Isolation,
    pub zones: usize,
    pub entries_per_zone: usize,
    pub targets_per_zone: usize,
}

/// A sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Entry(usize),
    Target(usize),
    Platform,
}

#[derive(Debug)]
enum Message {
    Grant {
        from: usize,
        incarnation: Incarnation,
        grant: Grant,
        request_id: u64,
    },
    GrantReply {
        incarnation: Incarnation,
        reply: TargetReply,
        request_id: u64,
    },
    GrantTimedOut {
        incarnation: Incarnation,
        grant: Grant,
        vm: Vm,
        request_id: u64,
    },
    Write {
        from: usize,
        incarnation: Incarnation,
        write: Write,
    },
    WriteResult {
        incarnation: Incarnation,
        id: u64,
        result: Commit,
    },
    TablePoll {
        from: usize,
        incarnation: Incarnation,
        table_revision: u64,
        started_at: Tick,
    },
    TableContent {
        incarnation: Incarnation,
        table_revision: u64,
        started_at: Tick,
        rows: Vec<(Version, Row)>,
        list: Vec<VmRecord>,
    },
    HeartbeatRequest {
        from: usize,
        incarnation: Incarnation,
        request_id: u64,
    },
    Heartbeat {
        incarnation: Incarnation,
        from: usize,
        peer: Peer,
        request_id: u64,
    },
    StopRequest {
        from: usize,
        incarnation: Incarnation,
        recipient: Process,
        request: stop::Request,
    },
    StopAck {
        incarnation: Incarnation,
        request: stop::Request,
        ack: stop::Ack,
    },
    Row {
        version: Version,
        row: Row,
    },
    ProcessEnded(Process),
}

struct Entry {
    vm: Vm,
    zone: Zone,
    incarnation: Incarnation,
    node: Option<Node>,
    paused: bool,
    inbox: Vec<Message>,
    table_revision: u64,
    next_poll_at: Tick,
    next_heartbeat_at: BTreeMap<usize, Tick>,
    /// The number of the latest heartbeat request to each entry, and when it was sent.
    latest_heartbeat: BTreeMap<usize, (u64, Tick)>,
    /// When each grant without a reply was sent, by the number of the request.
    pending_grants: HashMap<u64, Tick>,
    resigning: bool,
}

pub struct Target {
    pub vm: Vm,
    pub zone: Zone,
    incarnation: Incarnation,
    pub holder: Option<Holder>,
    paused: bool,
    inbox: Vec<Message>,
    clock_offset_ms: u64,
    /// The rate of its clock relative to virtual time, in millionths.
    clock_rate_ppm: u64,
    leaving: bool,
    vm_lost: bool,
}

/// A message in flight; messages of the same time are delivered in the order of sending.
struct ScheduledMessage {
    deliver_at: Tick,
    sequence: u64,
    to: Endpoint,
    message: Message,
}

impl PartialEq for ScheduledMessage {
    fn eq(&self, other: &Self) -> bool {
        (self.deliver_at, self.sequence) == (other.deliver_at, other.sequence)
    }
}
impl Eq for ScheduledMessage {}
impl PartialOrd for ScheduledMessage {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledMessage {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.deliver_at, self.sequence).cmp(&(other.deliver_at, other.sequence))
    }
}

/// The current faults of the simulated platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFault {
    pub down: bool,
    /// The percentage of responses that are lost.
    pub loss_percent: u32,
}

pub struct Sim {
    pub now: Tick,
    rng: StdRng,
    pub setup: Setup,
    config: Arc<OperatorConfig>,
    entries: Vec<Entry>,
    pub targets: Vec<Target>,
    /// The rows of the table by name, with the revision of their last change and their version.
    /// Rows of other kinds than cells are kept without content.
    rows: BTreeMap<String, (u64, Version, Option<Row>)>,
    table_revision: u64,
    /// All records of VMs in the order in which they were made.
    vm_records: Vec<(Tick, VmRecord)>,
    pub platform: PlatformFault,
    pub cut_links: BTreeSet<(Endpoint, Endpoint)>,
    scheduled: BinaryHeap<Reverse<ScheduledMessage>>,
    /// The latest sequence number, by which messages and requests are counted.
    last_sequence: u64,
    /// The time until the platform's list shows that a VM is gone.
    pub vm_list_delay: Duration,
    /// Descriptions of the moments at which two targets held leases of the same shard.
    pub overlaps: Vec<String>,
    pub commit_count: u64,
}

impl Sim {
    pub fn new(seed: u64, setup: Setup) -> Self {
        let isolation = match setup.isolation {
            Isolation::Hold => "\"hold\"".to_owned(),
            Isolation::MoveAfterMs(limit) => format!("{{ \"move_after_ms\": {} }}", limit.get()),
        };
        let fencing = if setup.fencing == Fencing::Full { "full" } else { "lease" };
        let text = format!(
            r#"{{ "services": [{{ "name": "folds", "keyed": {{ "key": {{ "segment": 1 }},
            "shards": {SHARD_COUNT}, "fencing": "{fencing}", "isolation": {isolation} }} }}] }}"#,
        );
        let mut sim = Self {
            now: Tick::default().plus(START_SINCE_BOOT),
            rng: StdRng::seed_from_u64(seed),
            setup,
            config: Arc::new(OperatorConfig::parse(&text).expect("the text is valid")),
            entries: Vec::new(),
            targets: Vec::new(),
            rows: BTreeMap::new(),
            table_revision: 0,
            vm_records: Vec::new(),
            platform: PlatformFault::default(),
            cut_links: BTreeSet::new(),
            scheduled: BinaryHeap::new(),
            last_sequence: 0,
            vm_list_delay: Duration::from_secs(2),
            overlaps: Vec::new(),
            commit_count: 0,
        };
        for index in 0..setup.zones * setup.targets_per_zone {
            sim.add_target(index);
        }
        for index in 0..setup.zones * setup.entries_per_zone {
            sim.add_entry(index);
        }
        sim
    }

    fn zone_at(&self, index: usize) -> Zone {
        Zone::from(["a", "b", "c"][index % self.setup.zones])
    }

    fn add_target(&mut self, index: usize) {
        let vm = Vm::from(format!("target-{index}").as_str());
        let zone = self.zone_at(index);
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        self.register_vm(&vm, "folds", &zone, 1_000 + index, VmState::Live);
        self.targets.push(Target {
            vm,
            zone,
            incarnation,
            holder: Some(Holder::new(self.setup.fencing, incarnation)),
            paused: false,
            inbox: Vec::new(),
            clock_offset_ms: self.rng.random_range(0..1_000_000),
            clock_rate_ppm: self.rng.random_range(996_000..1_004_000),
            leaving: false,
            vm_lost: false,
        });
    }

    fn add_entry(&mut self, index: usize) {
        let vm = Vm::from(format!("entry-{index}").as_str());
        let zone = self.zone_at(index);
        self.register_vm(&vm, ENTRY_ROLE, &zone, 2_000 + index, VmState::Live);
        self.entries.push(Entry {
            vm,
            zone,
            incarnation: Incarnation::ZERO,
            node: None,
            paused: false,
            inbox: Vec::new(),
            table_revision: 0,
            next_poll_at: self.now,
            next_heartbeat_at: BTreeMap::new(),
            latest_heartbeat: BTreeMap::new(),
            pending_grants: HashMap::new(),
            resigning: false,
        });
        self.start_entry(index);
    }

    fn register_vm(&mut self, vm: &Vm, role: &str, zone: &Zone, port: usize, state: VmState) {
        let address = format!("127.0.0.1:{port}").parse().expect("the address is valid");
        let record =
            VmRecord { vm: vm.clone(), role: role.into(), zone: zone.clone(), address, state };
        self.vm_records.push((self.now, record));
    }

    /// Records every shard for which two targets hold a lease now, including paused targets.
    fn record_overlaps(&mut self) {
        let mut owners: BTreeMap<Shard, Vec<usize>> = BTreeMap::new();
        for index in 0..self.targets.len() {
            let now_ms = self.target_clock_ms(index);
            let Some(holder) = &self.targets[index].holder else { continue };
            for shard in holder.active_shards(now_ms) {
                owners.entry(shard).or_default().push(index);
            }
        }
        for (shard, owners) in owners {
            if owners.len() > 1 {
                self.overlaps
                    .push(format!("{:?}: shard {shard} held by targets {owners:?}", self.now));
            }
        }
    }

    /// Returns the number of shards for which a target that is not paused holds a lease.
    pub fn served_shard_count(&self) -> usize {
        let mut shards = BTreeSet::new();
        for index in 0..self.targets.len() {
            if let Some(holder) =
                self.targets[index].holder.as_ref().filter(|_| !self.targets[index].paused)
            {
                shards.extend(holder.active_shards(self.target_clock_ms(index)));
            }
        }
        shards.len()
    }

    /// Returns the number of shards in the rows of the table.
    pub fn shard_count_in_table(&self) -> usize {
        self.rows.values().filter_map(|(_, _, row)| row.as_ref()).map(|row| row.slots.len()).sum()
    }

    /// Describes the rows of the table for the message of a failed run.
    pub fn describe(&self) -> String {
        let rows =
            self.rows.values().filter_map(|(_, version, row)| Some((version, row.as_ref()?)));
        let lines: Vec<String> = rows
            .map(|(version, row)| {
                let vacant = row.slots.iter().filter(|slot| slot.owner.is_none()).count();
                format!(
                    "{} v{version} t{} primary {:?} standbys {} former {:?} slots {} vacant {vacant} failover intent {}",
                    row.name,
                    row.term,
                    row.primary.as_ref().map(|process| process.vm.as_str()),
                    row.standbys.len(),
                    row.former.iter().map(|process| process.vm.as_str()).collect::<Vec<_>>(),
                    row.slots.len(),
                    row.failover_intent.is_some(),
                )
            })
            .collect();
        lines.join("\n")
    }
}

fn version_of_row(rows: &BTreeMap<String, (u64, Version, Option<Row>)>, name: &str) -> Version {
    rows.get(name).map_or(Version::ZERO, |(_, version, _)| *version)
}
