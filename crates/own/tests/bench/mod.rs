//! A test bench that drives the ownership state of one process event by event.

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

/// The time after which a lease has expired for certain: its duration and the drift allowance.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(1_010);
pub const STEP_INTERVAL: Duration = Duration::from_millis(10);
pub const TARGET_COUNT: usize = 2;

pub fn process(vm: &str) -> Process {
    Process { vm: Vm::from(vm), incarnation: Incarnation::from(7) }
}

pub fn cell_name() -> cell::Name {
    cell::Name { service: "folds".into(), zone: Zone::from("a"), index: 0 }
}

pub fn vm(target: usize) -> Vm {
    Vm::from(format!("t{target}").as_str())
}

/// A process `me` in zone a, two targets that reply to every grant, and a table that commits only
/// writes that change no owner and no primary.
pub struct Bench {
    pub node: Node,
    pub now: Tick,
    pub holders: Vec<Option<Holder>>,
    pub writes: Vec<Write>,
    pub stop_requests: Vec<stop::Request>,
    pub fencing: Fencing,
    /// The VMs of the entries that answer heartbeat requests.
    pub responsive_peers: Vec<&'static str>,
    /// Whether no write gets a result.
    pub drop_write_results: bool,
}

impl Bench {
    pub fn new(fencing: Fencing) -> Self {
        Self::with_isolation(fencing, "\"hold\"")
    }

    /// Returns a bench on which `me` has been the primary of the cell for two seconds.
    pub fn as_primary(fencing: Fencing, standbys: &[&'static str]) -> Self {
        let mut bench = Self::new(fencing);
        bench.responsive_peers.extend(standbys);
        bench.run_for(STEP_INTERVAL);
        let row = bench.row("me", standbys);
        bench.poll_table(1, row);
        bench.run_for(Duration::from_secs(2));
        bench
    }

    pub fn with_isolation(fencing: Fencing, isolation: &str) -> Self {
        let now = Tick::from(60_000_000);
        let config = Config {
            me: process("me"),
            zone: Zone::from("a"),
            timing: LEASE_TIMING,
            balance_interval: Duration::from_secs(3_600),
        };
        let fencing_text = if fencing == Fencing::Full { "full" } else { "lease" };
        let text = format!(
            r#"{{ "services": [{{ "name": "folds",
            "keyed": {{ "key": {{ "segment": 1 }}, "shards": 4, "fencing": "{fencing_text}",
            "isolation": {isolation} }} }}] }}"#,
        );
        let mut node = Node::new(config, now);
        node.handle(
            Event::Services(Arc::new(OperatorConfig::parse(&text).expect("the text is valid"))),
            now,
        );
        let holders =
            (0..TARGET_COUNT).map(|index| Some(Holder::new(fencing, incarnation(index)))).collect();
        let mut bench = Self {
            node,
            now,
            holders,
            writes: Vec::new(),
            stop_requests: Vec::new(),
            fencing,
            responsive_peers: Vec::new(),
            drop_write_results: false,
        };
        let records =
            (0..TARGET_COUNT).map(|index| bench.vm_record(index, VmState::Live)).collect();
        bench.handle_event(Event::Vms(records));
        bench
    }

    pub fn vm_record(&self, index: usize, state: VmState) -> VmRecord {
        let (vm, zone) = (vm(index), Zone::from("a"));
        VmRecord { vm, role: "folds".into(), zone, address: address(index), state }
    }

    /// Returns a row in which each target owns two of the four shards.
    pub fn row(&self, primary: &str, standbys: &[&str]) -> Row {
        let slot = |shard: u32| Slot {
            shard: Shard::from(shard),
            owner: Some(shard % TARGET_COUNT as u32),
            fence: Fence::from(1),
        };
        Row {
            term: Term::from(1),
            primary: Some(process(primary)),
            standbys: standbys.iter().map(|vm| process(vm)).collect(),
            targets: (0..TARGET_COUNT)
                .map(|index| Target { vm: vm(index), address: address(index) })
                .collect(),
            slots: (0..4).map(slot).collect(),
            ..Row::empty(cell_name())
        }
    }

    /// Passes the state machine a poll of the table that returned one row.
    pub fn poll_table(&mut self, version: u64, row: Row) {
        let started_at = self.now;
        self.handle_event(Event::TablePolled {
            started_at,
            rows: vec![(Version::from(version), row)],
        });
    }

    /// Passes the state machine an event and carries out the resulting actions.
    pub fn handle_event(&mut self, event: Event) {
        for action in self.node.handle(event, self.now) {
            match action {
                Action::Grant { target, grant } => self.handle_grant(&target.vm, &grant),
                Action::Write(write) => self.handle_write(&write),
                Action::RequestStop { request, .. } => self.stop_requests.push(request),
                Action::Publish { .. } | Action::Record(_) => {}
            }
        }
    }

    /// Records a write and commits it at once if it takes no shards from a target and leaves `me`
    /// the primary in the first term.
    pub fn handle_write(&mut self, write: &Write) {
        self.writes.push(write.clone());
        let only_renewers = write.rows.iter().all(|(base, row)| {
            *base > Version::ZERO && row.primary == Some(process("me")) && row.term == Term::from(1)
        });
        if !self.drop_write_results
            && only_renewers
            && !(0..TARGET_COUNT).any(|target| self.reassigns_shards_of(target))
        {
            let versions = write.rows.iter().map(|(base, _)| base.next()).collect();
            self.handle_event(Event::Written { id: write.id, result: Commit::Committed(versions) });
        }
    }

    pub fn handle_grant(&mut self, to: &Vm, grant: &Grant) {
        let index =
            (0..TARGET_COUNT).find(|index| vm(*index) == *to).expect("the target is one of them");
        let Some(holder) = &mut self.holders[index] else {
            return self
                .handle_event(Event::TargetUnanswered { cell: cell_name(), vm: to.clone() });
        };
        let verdict = holder.apply(grant);
        let reply = Reply {
            now_ms: self.now.as_millis(),
            incarnation: incarnation(index),
            leaving: false,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let (vm, sent, received_at) = (to.clone(), SentGrant::from(grant), self.now);
        self.handle_event(Event::TargetReplied(TargetReply {
            cell: cell_name(),
            vm,
            sent,
            received_at,
            reply,
        }));
    }

    /// Advances time by `span`; in each step a poll of the table returns nothing new and the
    /// responsive peers answer a heartbeat request.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(STEP_INTERVAL);
            let started_at = self.now;
            self.handle_event(Event::TablePolled { started_at, rows: Vec::new() });
            for vm in self.responsive_peers.clone() {
                let peer = Peer { process: process(vm), zone: Zone::from("a"), leaving: false };
                self.handle_event(Event::PeerHeartbeat { peer, asked_at: started_at });
            }
        }
    }

    /// Returns the number of shards for which a target holds a lease now.
    pub fn leased_shard_count(&self, target: usize) -> usize {
        let now_ms = self.now.as_millis();
        self.holders[target].as_ref().map_or(0, |holder| holder.active_shards(now_ms).count())
    }

    /// Reports whether a write so far takes shards from a target.
    pub fn reassigns_shards_of(&self, target: usize) -> bool {
        let owned = |row: &Row| row.shards_of(&vm(target)).len();
        self.writes.iter().any(|write| write.rows.iter().any(|(_, row)| owned(row) < 2))
    }
}

pub fn incarnation(index: usize) -> Incarnation {
    Incarnation::from(100 + index as u64)
}

pub fn address(index: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16))
}
