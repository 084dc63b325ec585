//! A model of a fleet in virtual time: the real decisions between fake networks, clocks and
//! targets. One seed gives one run.

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

pub const SHARDS: u32 = 12;
const STEP: Duration = Duration::from_millis(20);
const HELLO_EVERY: Duration = Duration::from_millis(150);
const SCAN_EVERY: Duration = Duration::from_millis(200);
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);
const START: Duration = Duration::from_secs(100);

/// What varies from run to run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub fencing: Fencing,
    pub isolation: Isolation,
    pub zones: usize,
    pub entries: usize,
    pub targets: usize,
}

/// The ends of a way through the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Entry(usize),
    Target(usize),
    Platform,
}

#[derive(Debug)]
enum Message {
    Offer {
        from: usize,
        incarnation: Incarnation,
        offer: Grant,
        number: u64,
    },
    Answer {
        incarnation: Incarnation,
        reply: TargetReply,
        number: u64,
    },
    OfferFailed {
        incarnation: Incarnation,
        offer: Grant,
        vm: Vm,
        number: u64,
    },
    Commit {
        from: usize,
        incarnation: Incarnation,
        write: Write,
    },
    Written {
        incarnation: Incarnation,
        id: u64,
        result: Commit,
    },
    Scan {
        from: usize,
        incarnation: Incarnation,
        revision: u64,
        started_at: Tick,
    },
    Scanned {
        incarnation: Incarnation,
        revision: u64,
        started_at: Tick,
        rows: Vec<(Version, Row)>,
        list: Vec<VmRecord>,
    },
    Hello {
        from: usize,
        incarnation: Incarnation,
        number: u64,
    },
    Welcome {
        incarnation: Incarnation,
        from: usize,
        peer: Peer,
        number: u64,
    },
    Stop {
        from: usize,
        incarnation: Incarnation,
        meant: Process,
        request: stop::Request,
    },
    Stopped {
        incarnation: Incarnation,
        request: stop::Request,
        ack: stop::Ack,
    },
    Row {
        version: Version,
        row: Row,
    },
    Ended(Process),
}

struct Entry {
    vm: Vm,
    zone: Zone,
    incarnation: Incarnation,
    node: Option<Node>,
    paused: bool,
    inbox: Vec<Message>,
    revision: u64,
    scan_due: Tick,
    hello_due: BTreeMap<usize, Tick>,
    hello_number: BTreeMap<usize, (u64, Tick)>,
    offers: HashMap<u64, Tick>,
    resigning: bool,
}

pub struct Target {
    pub vm: Vm,
    pub zone: Zone,
    incarnation: Incarnation,
    pub holder: Option<Holder>,
    paused: bool,
    inbox: Vec<Message>,
    offset_ms: u64,
    /// The rate of its clock against real time, in millionths.
    rate_ppm: u64,
    leaving: bool,
    lost: bool,
}

struct Due {
    at: Tick,
    order: u64,
    to: End,
    message: Message,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The faults of the platform in the model.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFault {
    pub down: bool,
    pub lose_percent: u32,
}

pub struct Sim {
    pub now: Tick,
    rng: StdRng,
    pub setup: Setup,
    text: Arc<OperatorConfig>,
    entries: Vec<Entry>,
    pub targets: Vec<Target>,
    rows: BTreeMap<String, (u64, Version, Option<Row>)>,
    revision: u64,
    listed: Vec<(Tick, VmRecord)>,
    pub platform: PlatformFault,
    pub cut: BTreeSet<(End, End)>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    pub vms_lag: Duration,
    pub overlaps: Vec<String>,
    pub commits: u64,
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
            "shards": {SHARDS}, "fencing": "{fencing}", "isolation": {isolation} }} }}] }}"#,
        );
        let mut sim = Self {
            now: Tick::default().plus(START),
            rng: StdRng::seed_from_u64(seed),
            setup,
            text: Arc::new(OperatorConfig::parse(&text).expect("the text is valid")),
            entries: Vec::new(),
            targets: Vec::new(),
            rows: BTreeMap::new(),
            revision: 0,
            listed: Vec::new(),
            platform: PlatformFault::default(),
            cut: BTreeSet::new(),
            queue: BinaryHeap::new(),
            order: 0,
            vms_lag: Duration::from_secs(2),
            overlaps: Vec::new(),
            commits: 0,
        };
        for at in 0..setup.zones * setup.targets {
            sim.add_target(at);
        }
        for at in 0..setup.zones * setup.entries {
            sim.add_entry(at);
        }
        sim
    }

    fn zone(&self, at: usize) -> Zone {
        Zone::from(["a", "b", "c"][at % self.setup.zones])
    }

    fn add_target(&mut self, at: usize) {
        let vm = Vm::from(format!("target-{at}").as_str());
        let zone = self.zone(at);
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        self.list(&vm, "folds", &zone, 1_000 + at, VmState::Live);
        self.targets.push(Target {
            vm,
            zone,
            incarnation,
            holder: Some(Holder::new(self.setup.fencing, incarnation)),
            paused: false,
            inbox: Vec::new(),
            offset_ms: self.rng.random_range(0..1_000_000),
            rate_ppm: self.rng.random_range(996_000..1_004_000),
            leaving: false,
            lost: false,
        });
    }

    fn add_entry(&mut self, at: usize) {
        let vm = Vm::from(format!("entry-{at}").as_str());
        let zone = self.zone(at);
        self.list(&vm, ENTRY_ROLE, &zone, 2_000 + at, VmState::Live);
        self.entries.push(Entry {
            vm,
            zone,
            incarnation: Incarnation::ZERO,
            node: None,
            paused: false,
            inbox: Vec::new(),
            revision: 0,
            scan_due: self.now,
            hello_due: BTreeMap::new(),
            hello_number: BTreeMap::new(),
            offers: HashMap::new(),
            resigning: false,
        });
        self.start_entry(at);
    }

    fn list(&mut self, vm: &Vm, role: &str, zone: &Zone, port: usize, state: VmState) {
        let address = format!("127.0.0.1:{port}").parse().expect("the address is valid");
        let listed =
            VmRecord { vm: vm.clone(), role: role.into(), zone: zone.clone(), address, state };
        self.listed.push((self.now, listed));
    }

    /// Notes every shard that two targets hold at this moment, paused ones included.
    fn check(&mut self) {
        let mut owners: BTreeMap<Shard, Vec<usize>> = BTreeMap::new();
        for at in 0..self.targets.len() {
            let now_ms = self.target_ms(at);
            let Some(holder) = &self.targets[at].holder else { continue };
            for shard in holder.active_shards(now_ms) {
                owners.entry(shard).or_default().push(at);
            }
        }
        for (shard, owners) in owners {
            if owners.len() > 1 {
                self.overlaps
                    .push(format!("{:?}: shard {shard} held by targets {owners:?}", self.now));
            }
        }
    }

    /// Returns the number of shards that some target holds.
    pub fn served(&self) -> usize {
        let mut shards = BTreeSet::new();
        for at in 0..self.targets.len() {
            if let Some(holder) =
                self.targets[at].holder.as_ref().filter(|_| !self.targets[at].paused)
            {
                shards.extend(holder.active_shards(self.target_ms(at)));
            }
        }
        shards.len()
    }

    /// Returns the shards that the table knows, with the versions of their rows.
    pub fn slots(&self) -> usize {
        self.rows.values().filter_map(|(_, _, row)| row.as_ref()).map(|row| row.slots.len()).sum()
    }

    /// Describes who guards what, for a failure's message.
    pub fn describe(&self) -> String {
        let rows =
            self.rows.values().filter_map(|(_, version, row)| Some((version, row.as_ref()?)));
        let lines: Vec<String> = rows
            .map(|(version, row)| {
                let vacant = row.slots.iter().filter(|slot| slot.owner.is_none()).count();
                format!(
                    "{} v{version} t{} guardian {:?} deputies {} former {:?} slots {} vacant {vacant} closing {}",
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
