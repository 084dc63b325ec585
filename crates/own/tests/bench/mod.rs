//! One process of a fleet with two targets, driven event by event.

use {
    conf::{OperatorConfig, services::Fencing},
    key::{Fence, Incarnation, Process, Shard, Term, Version, Vm, Zone, clock::Tick},
    own::{
        Action, Config, Event, Node, Peer, Row, SentGrant, TargetReply, Write,
        cell::{self, Slot, Target},
        lease::{Grant, Holder, Reply, Timing},
        stop,
    },
    std::{sync::Arc, time::Duration},
    store::{
        Commit,
        vms::{VmRecord, VmState},
    },
};

pub const LEASE_TIMING: Timing = Timing {
    ttl: Duration::from_millis(1_000),
    renewal_interval: Duration::from_millis(200),
    suspect_after: Duration::from_millis(500),
    drift_allowance: Duration::from_millis(10),
    peer_lost_after: Duration::from_millis(400),
    drain_timeout: Duration::from_millis(5_000),
};

pub const LIFE: Duration = Duration::from_millis(1_010);
pub const STEP: Duration = Duration::from_millis(10);
pub const TARGETS: usize = 2;

pub fn process(vm: &str) -> Process {
    Process { vm: Vm::from(vm), incarnation: Incarnation::from(7) }
}

pub fn name() -> cell::Name {
    cell::Name { service: "folds".into(), zone: Zone::from("a"), index: 0 }
}

pub fn vm(target: usize) -> Vm {
    Vm::from(format!("t{target}").as_str())
}

/// A process `me` of zone a, two targets that answer every order, and a table that takes no write
/// until it is told to.
pub struct Bench {
    pub node: Node,
    pub now: Tick,
    pub holders: Vec<Option<Holder>>,
    pub writes: Vec<Write>,
    pub asks: Vec<stop::Request>,
    pub fencing: Fencing,
    /// The entries that answer signs of life.
    pub alive: Vec<&'static str>,
    /// Whether no write is answered.
    pub mute: bool,
}

impl Bench {
    pub fn new(fencing: Fencing) -> Self {
        Self::with(fencing, "\"hold\"")
    }

    /// Returns a bench on which `me` has guarded the cell for a while.
    pub fn guarding(fencing: Fencing, deputies: &[&'static str]) -> Self {
        let mut bench = Self::new(fencing);
        bench.alive.extend(deputies);
        bench.run(STEP);
        let row = bench.row("me", deputies);
        bench.look(1, row);
        bench.run(Duration::from_secs(2));
        bench
    }

    pub fn with(fencing: Fencing, isolation: &str) -> Self {
        let now = Tick::from(60_000_000);
        let config = Config {
            me: process("me"),
            zone: Zone::from("a"),
            timing: LEASE_TIMING,
            balance_interval: Duration::from_secs(3_600),
        };
        let word = if fencing == Fencing::Full { "full" } else { "lease" };
        let text = format!(
            r#"{{ "services": [{{ "name": "folds",
            "keyed": {{ "key": {{ "segment": 1 }}, "shards": 4, "fencing": "{word}",
            "isolation": {isolation} }} }}] }}"#,
        );
        let mut node = Node::new(config, now);
        node.handle(
            Event::Services(Arc::new(OperatorConfig::parse(&text).expect("the text is valid"))),
            now,
        );
        let holders = (0..TARGETS).map(|at| Some(Holder::new(fencing, incarnation(at)))).collect();
        let mut bench = Self {
            node,
            now,
            holders,
            writes: Vec::new(),
            asks: Vec::new(),
            fencing,
            alive: Vec::new(),
            mute: false,
        };
        let listed = (0..TARGETS).map(|at| bench.listed(at, VmState::Live)).collect();
        bench.feed(Event::Vms(listed));
        bench
    }

    pub fn listed(&self, at: usize, state: VmState) -> VmRecord {
        let (vm, zone) = (vm(at), Zone::from("a"));
        VmRecord { vm, role: "folds".into(), zone, address: address(at), state }
    }

    /// Returns a row in which each target owns two of the four shards.
    pub fn row(&self, guardian: &str, deputies: &[&str]) -> Row {
        let slot = |shard: u32| Slot {
            shard: Shard::from(shard),
            owner: Some(shard % TARGETS as u32),
            fence: Fence::from(1),
        };
        Row {
            term: Term::from(1),
            primary: Some(process(guardian)),
            standbys: deputies.iter().map(|vm| process(vm)).collect(),
            targets: (0..TARGETS).map(|at| Target { vm: vm(at), address: address(at) }).collect(),
            slots: (0..4).map(slot).collect(),
            ..Row::empty(name())
        }
    }

    pub fn look(&mut self, version: u64, row: Row) {
        let started_at = self.now;
        self.feed(Event::TablePolled { started_at, rows: vec![(Version::from(version), row)] });
    }

    pub fn feed(&mut self, event: Event) {
        for action in self.node.handle(event, self.now) {
            match action {
                Action::Grant { target, grant } => self.offer(&target.vm, &grant),
                Action::Write(write) => self.write(&write),
                Action::RequestStop { request, .. } => self.asks.push(request),
                Action::Publish { .. } | Action::Record(_) => {}
            }
        }
    }

    /// Lets a write take effect at once if it takes no shards away.
    pub fn write(&mut self, write: &Write) {
        self.writes.push(write.clone());
        let only_renewers = write.rows.iter().all(|(base, row)| {
            *base > Version::ZERO && row.primary == Some(process("me")) && row.term == Term::from(1)
        });
        if !self.mute && only_renewers && !(0..TARGETS).any(|target| self.takes_from(target)) {
            let versions = write.rows.iter().map(|(base, _)| base.next()).collect();
            self.feed(Event::Written { id: write.id, result: Commit::Committed(versions) });
        }
    }

    pub fn offer(&mut self, to: &Vm, offer: &Grant) {
        let at = (0..TARGETS).find(|at| vm(*at) == *to).expect("the target is one of them");
        let Some(holder) = &mut self.holders[at] else {
            return self.feed(Event::TargetUnanswered { cell: name(), vm: to.clone() });
        };
        let verdict = holder.apply(offer);
        let reply = Reply {
            now_ms: self.now.as_millis(),
            incarnation: incarnation(at),
            leaving: false,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let (vm, sent, received_at) = (to.clone(), SentGrant::from(offer), self.now);
        self.feed(Event::TargetReplied(TargetReply { cell: name(), vm, sent, received_at, reply }));
    }

    /// Lets time go by, with a look at the table at each step that shows nothing new.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(STEP);
            let started_at = self.now;
            self.feed(Event::TablePolled { started_at, rows: Vec::new() });
            for vm in self.alive.clone() {
                let peer = Peer { process: process(vm), zone: Zone::from("a"), leaving: false };
                self.feed(Event::PeerHeartbeat { peer, asked_at: started_at });
            }
        }
    }

    /// Returns the number of shards that a target holds now.
    pub fn held(&self, target: usize) -> usize {
        let now_ms = self.now.as_millis();
        self.holders[target].as_ref().map_or(0, |holder| holder.active_shards(now_ms).count())
    }

    /// Tells whether a write on its way takes shards from a target.
    pub fn takes_from(&self, target: usize) -> bool {
        let owned = |row: &Row| row.shards_of(&vm(target)).len();
        self.writes.iter().any(|write| write.rows.iter().any(|(_, row)| owned(row) < 2))
    }
}

pub fn incarnation(at: usize) -> Incarnation {
    Incarnation::from(100 + at as u64)
}

pub fn address(at: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + at as u16))
}
