//! A model of a fleet in virtual time: the real decisions between fake networks, clocks and
//! targets. One seed gives one run.

use {
    conf::{
        Text,
        services::{Fencing, Isolation},
        settings::Lease,
    },
    key::{Incarnation, Process, Shard, Version, Vm, Zone, clock::Tick},
    own::{
        Action, Answered, Config, Event, Node, Peer, Row, Write,
        cell::Target as Address,
        lease::{Answer, Holder, Offer, Terms},
        stop,
    },
    platform::{
        Commit,
        table::{self, Condition},
        vms::{ENTRY_ROLE, Listed, State},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
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
        offer: Offer,
        number: u64,
    },
    Answer {
        incarnation: Incarnation,
        answered: Answered,
        number: u64,
    },
    OfferFailed {
        incarnation: Incarnation,
        offer: Offer,
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
        began: Tick,
    },
    Scanned {
        incarnation: Incarnation,
        revision: u64,
        began: Tick,
        rows: Vec<(Version, Row)>,
        list: Vec<Listed>,
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
        ask: stop::Ask,
    },
    Stopped {
        incarnation: Incarnation,
        ask: stop::Ask,
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
    text: Arc<Text>,
    entries: Vec<Entry>,
    pub targets: Vec<Target>,
    rows: BTreeMap<String, (u64, Version, Option<Row>)>,
    revision: u64,
    listed: Vec<(Tick, Listed)>,
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
            text: Arc::new(Text::parse(&text).expect("the text is valid")),
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
        self.list(&vm, "folds", &zone, 1_000 + at, State::Live);
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
        self.list(&vm, ENTRY_ROLE, &zone, 2_000 + at, State::Live);
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

    fn list(&mut self, vm: &Vm, role: &str, zone: &Zone, port: usize, state: State) {
        let address = format!("127.0.0.1:{port}").parse().expect("the address is valid");
        let listed =
            Listed { vm: vm.clone(), role: role.into(), zone: zone.clone(), address, state };
        self.listed.push((self.now, listed));
    }

    // Faults.

    /// Starts an entry that is down, as a fresh process.
    pub fn start_entry(&mut self, at: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let (text, now) = (Arc::clone(&self.text), self.now);
        let entry = &mut self.entries[at];
        if entry.node.is_some() {
            return;
        }
        let me = Process { vm: entry.vm.clone(), incarnation };
        let zone = entry.zone.clone();
        let balance_every = Duration::from_secs(1);
        let mut node = Node::new(
            Config { me, zone, terms: Terms::from(&Lease::default()), balance_every },
            now,
        );
        node.handle(Event::Services(text), now);
        entry.incarnation = incarnation;
        entry.node = Some(node);
        entry.paused = false;
        entry.inbox.clear();
        entry.revision = 0;
        entry.scan_due = now;
        entry.hello_due.clear();
        entry.offers.clear();
        entry.resigning = false;
    }

    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].node = None;
        self.entries[at].inbox.clear();
    }

    pub fn pause_entry(&mut self, at: usize, paused: bool) {
        self.entries[at].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.entries[at].inbox) {
                self.deliver(End::Entry(at), message);
            }
        }
    }

    /// Tells an entry to stop.
    fn resign_entry(&mut self, at: usize) {
        if !self.entries[at].paused {
            self.entries[at].resigning = true;
            self.feed(at, Event::Resign);
        }
    }

    /// Ends an entry that has handed everything over, after its farewell.
    fn farewell_entry(&mut self, at: usize) {
        let entry = &self.entries[at];
        let idle = entry.node.as_ref().is_some_and(Node::is_idle);
        if !idle || !entry.resigning || entry.paused {
            return;
        }
        let process =
            Process { vm: self.entries[at].vm.clone(), incarnation: self.entries[at].incarnation };
        for other in 0..self.entries.len() {
            if other != at {
                self.send(End::Entry(at), End::Entry(other), Message::Ended(process.clone()));
            }
        }
        self.kill_entry(at);
    }

    pub fn pause_target(&mut self, at: usize, paused: bool) {
        self.targets[at].paused = paused;
        if !paused {
            for message in std::mem::take(&mut self.targets[at].inbox) {
                self.deliver(End::Target(at), message);
            }
        }
    }

    pub fn kill_target(&mut self, at: usize) {
        self.targets[at].holder = None;
        self.targets[at].inbox.clear();
    }

    pub fn start_target(&mut self, at: usize) {
        let incarnation = Incarnation::from(self.rng.random::<u64>());
        let target = &mut self.targets[at];
        if target.holder.is_none() && !target.lost {
            target.incarnation = incarnation;
            target.holder = Some(Holder::new(self.setup.fencing, incarnation));
            target.paused = false;
        }
    }

    /// Ends a target's VM for good; the list says so after its lag.
    fn lose_target_vm(&mut self, at: usize) {
        self.kill_target(at);
        self.targets[at].lost = true;
        let (vm, zone) = (self.targets[at].vm.clone(), self.targets[at].zone.clone());
        self.list(&vm, "folds", &zone, 1_000 + at, State::Gone);
    }

    /// Cuts a zone off from the other zones, from the platform, or from both.
    pub fn isolate(&mut self, zone: usize, others: bool, platform: bool) {
        let zone = self.zone(zone);
        let ends = self.ends();
        for a in &ends {
            for b in &ends {
                let (inside, outside) = (self.zone_of(*a), self.zone_of(*b));
                let to_platform = platform && *b == End::Platform && inside.as_ref() == Some(&zone);
                let between = others
                    && inside.as_ref() == Some(&zone)
                    && outside.as_ref().is_some_and(|outside| *outside != zone);
                if to_platform || between {
                    self.cut.insert((*a, *b));
                    self.cut.insert((*b, *a));
                }
            }
        }
    }

    fn ends(&self) -> Vec<End> {
        let entries = (0..self.entries.len()).map(End::Entry);
        let targets = (0..self.targets.len()).map(End::Target);
        entries.chain(targets).chain([End::Platform]).collect()
    }

    fn zone_of(&self, end: End) -> Option<Zone> {
        match end {
            End::Entry(at) => Some(self.entries[at].zone.clone()),
            End::Target(at) => Some(self.targets[at].zone.clone()),
            End::Platform => None,
        }
    }

    /// Ends every fault but losses.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.platform = PlatformFault::default();
        for at in 0..self.entries.len() {
            self.pause_entry(at, false);
            if self.entries[at].resigning {
                self.kill_entry(at);
            }
            self.start_entry(at);
        }
        for at in 0..self.targets.len() {
            self.pause_target(at, false);
            self.start_target(at);
            self.targets[at].leaving = false;
        }
    }

    /// Does something bad, chosen by the seed.
    pub fn fault(&mut self) {
        self.trace(|| format!("cut {:?} platform {:?}", self.cut, self.platform));
        let entry = self.rng.random_range(0..self.entries.len());
        let target = self.rng.random_range(0..self.targets.len());
        let zone = self.rng.random_range(0..self.setup.zones);
        match self.rng.random_range(0..20) {
            0 | 1 => self.pause_entry(entry, true),
            2 => self.pause_entry(entry, false),
            3 => self.kill_entry(entry),
            4 => self.start_entry(entry),
            5 | 6 => self.pause_target(target, true),
            7 | 8 => self.pause_target(target, false),
            9 => self.kill_target(target),
            10 => self.start_target(target),
            11 => self.platform.down = !self.platform.down,
            12 => self.platform.lose_percent = if self.platform.lose_percent > 0 { 0 } else { 30 },
            13 => {
                let (others, platform) = (self.rng.random(), self.rng.random());
                self.isolate(zone, others, platform);
            }
            14 => self.cut.clear(),
            15 => self.resign_entry(entry),
            16 => self.farewell_entry(entry),
            17 => {
                // A zone keeps one VM that cannot be lost.
                if target >= self.setup.zones {
                    self.lose_target_vm(target);
                }
            }
            18 => self.targets[target].leaving = !self.targets[target].leaving,
            _ => {
                // One direction between one entry and one target.
                let ends = [End::Entry(entry), End::Target(target)];
                let way = if self.rng.random() { (ends[0], ends[1]) } else { (ends[1], ends[0]) };
                self.cut.insert(way);
            }
        }
    }

    // Time and messages.

    /// Lets `span` go by.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            let next = self.now.plus(STEP);
            while self.queue.peek().is_some_and(|Reverse(due)| due.at <= next) {
                let Some(Reverse(due)) = self.queue.pop() else { break };
                self.now = due.at.max(self.now);
                self.deliver(due.to, due.message);
            }
            self.now = next;
            self.tick();
            self.check();
        }
    }

    fn tick(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].node.is_none() || self.entries[at].paused {
                continue;
            }
            self.feed(at, Event::Tick);
            let incarnation = self.entries[at].incarnation;
            if self.entries[at].scan_due <= self.now {
                self.entries[at].scan_due = self.now.plus(SCAN_EVERY);
                let (revision, began) = (self.entries[at].revision, self.now);
                let scan = Message::Scan { from: at, incarnation, revision, began };
                self.send(End::Entry(at), End::Platform, scan);
            }
            for other in 0..self.entries.len() {
                let due = self.entries[at].hello_due.get(&other).copied().unwrap_or_default();
                if other == at || due > self.now {
                    continue;
                }
                // One sign of life is asked for at a time; one that is late counts as none.
                self.order += 1;
                let number = self.order;
                self.entries[at].hello_due.insert(other, self.now.plus(HELLO_EVERY));
                self.entries[at].hello_number.insert(other, (number, self.now));
                let hello = Message::Hello { from: at, incarnation, number };
                self.send(End::Entry(at), End::Entry(other), hello);
            }
        }
    }

    fn send(&mut self, from: End, to: End, message: Message) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let delay = match self.rng.random_range(0..1_000) {
            0..2 => 5_000,
            2..20 => self.rng.random_range(50..600),
            _ => self.rng.random_range(1..8),
        };
        self.order += 1;
        let at = self.now.plus(Duration::from_millis(delay));
        self.queue.push(Reverse(Due { at, order: self.order, to, message }));
    }

    fn deliver(&mut self, to: End, message: Message) {
        match to {
            End::Entry(at) if self.entries[at].paused => self.entries[at].inbox.push(message),
            End::Entry(at) => self.take_at_entry(at, message),
            End::Target(at) if self.targets[at].paused => self.targets[at].inbox.push(message),
            End::Target(at) => self.take_at_target(at, message),
            End::Platform => self.take_at_platform(message),
        }
    }

    fn take_at_entry(&mut self, at: usize, message: Message) {
        let mine = self.entries[at].incarnation;
        let now = self.now;
        if self.entries[at].node.is_none() {
            return;
        }
        match message {
            Message::Answer { incarnation, answered, number } if incarnation == mine => {
                let sent = self.entries[at].offers.remove(&number);
                if sent.is_some_and(|sent| now.since(sent) < EXCHANGE_LIMIT) {
                    self.feed(at, Event::Answered(Answered { received: now, ..answered }));
                }
            }
            Message::OfferFailed { incarnation, offer, vm, number }
                if incarnation == mine && self.entries[at].offers.remove(&number).is_some() =>
            {
                self.feed(at, Event::Failed { cell: offer.cell, vm });
            }
            Message::Written { incarnation, id, result } if incarnation == mine => {
                self.feed(at, Event::Written { id, result });
            }
            Message::Scanned { incarnation, revision, began, rows, list }
                if incarnation == mine && revision >= self.entries[at].revision =>
            {
                self.entries[at].revision = revision;
                self.feed(at, Event::Vms(list));
                self.feed(at, Event::Table { began, rows });
            }
            Message::Hello { from, incarnation, number } => {
                let entry = &self.entries[at];
                let process = Process { vm: entry.vm.clone(), incarnation: entry.incarnation };
                let peer = Peer { process, zone: entry.zone.clone(), leaving: entry.resigning };
                let welcome = Message::Welcome { incarnation, from: at, peer, number };
                self.send(End::Entry(at), End::Entry(from), welcome);
            }
            Message::Welcome { incarnation, from, peer, number } if incarnation == mine => {
                let last = self.entries[at].hello_number.get(&from).copied();
                if let Some((_, asked)) = last.filter(|(last, _)| *last == number) {
                    self.feed(at, Event::Peer { peer, asked });
                }
            }
            Message::Stop { from, incarnation, meant, ask } => {
                let entry = &mut self.entries[at];
                if meant.incarnation != mine {
                    return;
                }
                let Some(node) = &mut entry.node else { return };
                if let Ok(ack) = node.stop(&ask, now) {
                    let stopped = Message::Stopped { incarnation, ask, ack };
                    self.send(End::Entry(at), End::Entry(from), stopped);
                }
            }
            Message::Stopped { incarnation, ask, ack } if incarnation == mine => {
                self.feed(at, Event::StopAcked { ask, ack, received: now });
            }
            Message::Row { version, row } => self.feed(at, Event::Row { version, row }),
            Message::Ended(process) => self.feed(at, Event::Ended(process)),
            _ => {}
        }
    }

    fn take_at_target(&mut self, at: usize, message: Message) {
        let Message::Offer { from, incarnation, offer, number } = message else { return };
        let now_ms = self.target_ms(at);
        let target = &mut self.targets[at];
        let Some(holder) = &mut target.holder else { return };
        let verdict = holder.obey(&offer);
        let deadline = holder.deadline_ms();
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!(
                "{} target {at} now {now_ms} {verdict:?} {} {} from {from} until {deadline} digest {}",
                self.now, offer.stamp, offer.cell, offer.digest
            );
        }
        let answer = Answer {
            now_ms,
            incarnation: target.incarnation,
            leaving: target.leaving,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let sent = (&offer).into();
        let vm = target.vm.clone();
        let answered = Answered { cell: offer.cell, vm, sent, received: self.now, answer };
        self.send(
            End::Target(at),
            End::Entry(from),
            Message::Answer { incarnation, answered, number },
        );
    }

    fn take_at_platform(&mut self, message: Message) {
        if self.platform.down {
            return;
        }
        let lost = self.rng.random_range(0..100) < self.platform.lose_percent;
        match message {
            Message::Commit { from, incarnation, write } => {
                let result = write.result(self.commit(&write));
                if !lost {
                    let written = Message::Written { incarnation, id: write.id, result };
                    self.send(End::Platform, End::Entry(from), written);
                }
            }
            Message::Scan { from, incarnation, revision, began } if !lost => {
                let fresh = self.rows.values().filter(|(changed, ..)| *changed > revision);
                let rows =
                    fresh.filter_map(|(_, version, row)| Some((*version, row.clone()?))).collect();
                let list = self.vm_list();
                let revision = self.revision;
                let scanned = Message::Scanned { incarnation, revision, began, rows, list };
                self.send(End::Platform, End::Entry(from), scanned);
            }
            _ => {}
        }
    }

    fn vm_list(&self) -> Vec<Listed> {
        let mut list: BTreeMap<Vm, Listed> = BTreeMap::new();
        for (at, listed) in &self.listed {
            if self.now.since(*at) >= self.vms_lag || listed.state == State::Live {
                list.insert(listed.vm.clone(), listed.clone());
            }
        }
        list.into_values().collect()
    }

    fn commit(&mut self, write: &Write) -> Commit {
        let transaction = write.transaction();
        let version_of =
            |name: &str| self.rows.get(name).map_or(Version::ZERO, |(_, version, _)| *version);
        let holds = |condition: &Condition| version_of(&condition.name) == condition.version;
        if !transaction.conditions.iter().all(holds) {
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
        self.revision += 1;
        self.commits += 1;
        let mut versions = Vec::new();
        for one in &transaction.writes {
            let version = version_of_row(&self.rows, &one.name).next();
            let row = one.value.as_ref().and_then(|text| Row::decode(&one.name, text).ok());
            self.rows.insert(one.name.to_string(), (self.revision, version, row));
            versions.push(version);
        }
        Commit::Committed(versions)
    }

    fn feed(&mut self, at: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.entries[at].node else { return };
        for action in node.handle(event, now) {
            self.act(at, action);
        }
    }

    /// Prints what happens if `ALMONDWORKS_TRACE` is set, to look into a seed.
    fn trace(&self, line: impl FnOnce() -> String) {
        if std::env::var_os("ALMONDWORKS_TRACE").is_some() {
            eprintln!("{} {}", self.now, line());
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        self.trace(|| match &action {
            Action::Publish { .. } => format!("entry {at} publishes"),
            Action::Write(write) => format!(
                "entry {at} writes {:?}",
                write
                    .rows
                    .iter()
                    .map(|(base, row)| (row.name.to_string(), base.get(), row.term.get()))
                    .collect::<Vec<_>>()
            ),
            other => format!("entry {at} {other:?}"),
        });
        let incarnation = self.entries[at].incarnation;
        match action {
            Action::Offer { target, offer } => self.offer(at, &target, offer),
            Action::Write(write) => {
                let id = write.id;
                self.send(
                    End::Entry(at),
                    End::Platform,
                    Message::Commit { from: at, incarnation, write },
                );
                // The answer may never come; then the result is unknown.
                let result = Commit::Ambiguous;
                self.after(
                    Duration::from_secs(1),
                    End::Entry(at),
                    Message::Written { incarnation, id, result },
                );
            }
            Action::AskStop { process, ask } => {
                if let Some(to) = self.entries.iter().position(|entry| entry.vm == process.vm) {
                    let stop = Message::Stop { from: at, incarnation, meant: process, ask };
                    self.send(End::Entry(at), End::Entry(to), stop);
                }
            }
            Action::Publish { version, row } => {
                for other in (0..self.entries.len()).filter(|other| *other != at) {
                    let row = row.clone();
                    self.send(End::Entry(at), End::Entry(other), Message::Row { version, row });
                }
            }
            Action::Record(_) => {}
        }
    }

    fn offer(&mut self, at: usize, target: &Address, offer: Offer) {
        let Some(to) = self.targets.iter().position(|known| known.vm == target.vm) else { return };
        let incarnation = self.entries[at].incarnation;
        self.order += 1;
        let number = self.order;
        self.entries[at].offers.insert(number, self.now);
        let vm = target.vm.clone();
        let failed = Message::OfferFailed { incarnation, offer: offer.clone(), vm, number };
        self.after(EXCHANGE_LIMIT, End::Entry(at), failed);
        let offer = Message::Offer { from: at, incarnation, offer, number };
        self.send(End::Entry(at), End::Target(to), offer);
    }

    fn after(&mut self, span: Duration, to: End, message: Message) {
        self.order += 1;
        let at = self.now.plus(span);
        self.queue.push(Reverse(Due { at, order: self.order, to, message }));
    }

    fn target_ms(&self, at: usize) -> u64 {
        let target = &self.targets[at];
        let micros = u128::from(self.now.micros()) * u128::from(target.rate_ppm) / 1_000_000;
        micros as u64 / 1_000 + target.offset_ms
    }

    // What must hold.

    /// Notes every shard that two targets hold at this moment, paused ones included.
    fn check(&mut self) {
        let mut owners: BTreeMap<Shard, Vec<usize>> = BTreeMap::new();
        for at in 0..self.targets.len() {
            let now_ms = self.target_ms(at);
            let Some(holder) = &self.targets[at].holder else { continue };
            for shard in holder.held(now_ms) {
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
                shards.extend(holder.held(self.target_ms(at)));
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
                    row.guardian.as_ref().map(|process| process.vm.as_str()),
                    row.deputies.len(),
                    row.former.iter().map(|process| process.vm.as_str()).collect::<Vec<_>>(),
                    row.slots.len(),
                    row.closing.is_some(),
                )
            })
            .collect();
        lines.join("\n")
    }
}

fn version_of_row(rows: &BTreeMap<String, (u64, Version, Option<Row>)>, name: &str) -> Version {
    rows.get(name).map_or(Version::ZERO, |(_, version, _)| *version)
}
