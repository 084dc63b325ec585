//! The slopes from which docs/CAPACITY.md is worked out.

use {
    crate::{ALLOCATOR, stats},
    conf::{OperatorConfig, settings::Lease},
    entry::benchmark::{RoutingInputs, cell_row},
    key::{Incarnation, Process, Version, Vm, Zone, clock::Tick},
    own::{
        Action, Config, Event, Node, Peer, Row, SentGrant, TargetReply,
        cell::Target,
        lease::{Holder, Reply, Timing},
    },
    stats_alloc::Region,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{
        Commit,
        vms::{VmRecord, VmState},
    },
    tokio::time::sleep,
    trial::{Fleet, Plan},
};

const SHARDS_PER_TARGET: u32 = 16;
const IDLE: Duration = Duration::from_secs(10);

/// Measures what needs no processes.
pub(crate) fn decisions() {
    routing();
    rows();
    renewals();
    zone_loss();
    set_summary();
}

/// The routing table: bytes and time against shards.
fn routing() {
    let (mut bytes, mut micros) = (Vec::new(), Vec::new());
    for shards in [1_000u32, 10_000, 50_000, 200_000] {
        let targets = shards / SHARDS_PER_TARGET;
        let mut inputs = RoutingInputs::new(shards, targets, (targets / 64).max(1));
        // The connections' state is made with the first table and lives on.
        drop(inputs.build());
        let region = Region::new(ALLOCATOR);
        let table = inputs.build();
        let change = region.change();
        bytes.push((f64::from(shards), (change.bytes_allocated - change.bytes_deallocated) as f64));
        drop(table);
        let mut times: Vec<f64> = (0..9)
            .map(|_| {
                let started = Instant::now();
                drop(inputs.build());
                started.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        micros.push((f64::from(shards), stats::quantile(&mut times, 0.5)));
    }
    stats::show("routing table", "shard", "bytes", &bytes);
    stats::show("routing table made", "shard", "us", &micros);
}

/// A cell's row: bytes against shards and against targets.
fn rows() {
    let by_shards: Vec<_> = [256u32, 1_024, 4_096]
        .iter()
        .map(|shards| (f64::from(*shards), cell_row(1, *shards, 64).encode().len() as f64))
        .collect();
    stats::show("row of a cell with 64 targets", "shard", "bytes", &by_shards);
    let by_targets: Vec<_> = [16u32, 64, 256]
        .iter()
        .map(|targets| (f64::from(*targets), cell_row(1, 1_024, *targets).encode().len() as f64))
        .collect();
    stats::show("row of a cell with 1024 shards", "target", "bytes", &by_targets);
}

fn me(vm: &str) -> Process {
    Process { vm: Vm::from(vm), incarnation: Incarnation::from(1) }
}

fn node(zone: &str, vm: &str, cells: u32, shards: u32, now: Tick) -> Node {
    let text = format!(
        r#"{{ "services": [{{ "name": "folds", "keyed": {{ "key": {{ "segment": 1 }},
        "shards": {shards}, "cells_per_zone": {cells} }} }}] }}"#,
    );
    let text = Arc::new(OperatorConfig::parse(&text).expect("the text is valid"));
    let balance_interval = Duration::from_secs(1);
    let config = Config {
        me: me(vm),
        zone: Zone::from(zone),
        timing: Timing::from(&Lease::default()),
        balance_interval,
    };
    let mut node = Node::new(config, now);
    node.handle(Event::Services(text), now);
    node
}

/// Drives a guardian with targets that answer everything, in virtual time.
struct Driver {
    node: Node,
    now: Tick,
    holders: HashMap<Vm, Holder>,
    offers: u64,
    offer_bytes: u64,
    writes: Vec<(usize, usize)>,
    versions: HashMap<String, u64>,
}

impl Driver {
    fn feed(&mut self, event: Event) {
        let mut open = vec![event];
        while let Some(event) = open.pop() {
            for action in self.node.handle(event, self.now) {
                match action {
                    Action::Grant { target, grant } => open.push(self.offer(&target, grant)),
                    Action::Write(write) => {
                        let bytes = write.rows.iter().map(|(_, row)| row.encode().len()).sum();
                        self.writes.push((write.rows.len(), bytes));
                        let versions = write.rows.iter().map(|(base, _)| base.next()).collect();
                        open.push(Event::Written {
                            id: write.id,
                            result: Commit::Committed(versions),
                        });
                    }
                    _ => {}
                }
            }
        }
    }

    fn offer(&mut self, target: &Target, offer: own::lease::Grant) -> Event {
        self.offers += 1;
        self.offer_bytes += serde_json::to_vec(&offer).map_or(0, |text| text.len() as u64);
        let fresh = || Holder::new(conf::services::Fencing::Full, Incarnation::from(9));
        let holder = self.holders.entry(target.vm.clone()).or_insert_with(fresh);
        let verdict = holder.apply(&offer);
        let reply = Reply {
            now_ms: self.now.as_millis(),
            incarnation: Incarnation::from(9),
            leaving: false,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let (vm, sent, received_at) = (target.vm.clone(), SentGrant::from(&offer), self.now);
        Event::TargetReplied(TargetReply { cell: offer.cell, vm, sent, received_at, reply })
    }

    fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(Duration::from_millis(20));
            self.feed(Event::Tick);
        }
    }
}

fn guarded(row: Row, guardian: &str) -> Row {
    Row { primary: Some(me(guardian)), term: 1.into(), ..row }
}

/// Renewals: processor time and bytes of the decisions against targets.
fn renewals() {
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for targets in [16u32, 64, 256] {
        let now = Tick::from(60_000_000);
        let shards = targets * SHARDS_PER_TARGET;
        let mut driver = Driver {
            node: node("a", "me", 1, shards, now),
            now,
            holders: HashMap::new(),
            offers: 0,
            offer_bytes: 0,
            writes: Vec::new(),
            versions: HashMap::new(),
        };
        let row = guarded(cell_row(0, shards, targets), "me");
        driver.feed(Event::TablePolled { started_at: now, rows: vec![(Version::from(1), row)] });
        driver.run(Duration::from_secs(2));
        let (offers, sent) = (driver.offers, driver.offer_bytes);
        let started = Instant::now();
        let span = Duration::from_secs(20);
        driver.run(span);
        let spent = started.elapsed();
        let rate = (driver.offers - offers) as f64 / span.as_secs_f64();
        micros.push((f64::from(targets), spent.as_secs_f64() * 1e6 / span.as_secs_f64()));
        bytes.push((f64::from(targets), (driver.offer_bytes - sent) as f64 / span.as_secs_f64()));
        println!("renewals | {targets} targets | {rate:.0} orders/s");
    }
    stats::show("decisions of a guardian", "target", "us/s", &micros);
    stats::show("orders of a guardian, bodies only", "target", "bytes/s", &bytes);
}

/// Returns names of VMs that belong to a cell by their hash.
fn names_in(index: u32, cells: u32) -> impl Iterator<Item = Vm> {
    let names = (0u32..).map(|number| Vm::from(format!("catalogue-b-{number:06}").as_str()));
    names.filter(move |vm| key::shard_of(vm.as_str().as_bytes(), cells).get() == index)
}

/// The loss of a whole zone: writes, rows, bytes and time of the decisions against its targets.
fn zone_loss() {
    const CELL: u32 = 64;
    let mut writes = Vec::new();
    for targets in [128u32, 512, 1_024] {
        let now = Tick::from(60_000_000);
        let cells = targets / CELL;
        let shards = CELL * SHARDS_PER_TARGET;
        let mut driver = Driver {
            node: node("b", "rescuer", cells, shards * cells, now),
            now,
            holders: HashMap::new(),
            offers: 0,
            offer_bytes: 0,
            writes: Vec::new(),
            versions: HashMap::new(),
        };
        let mut rows = Vec::new();
        let mut listed = Vec::new();
        for index in 0..cells {
            rows.push((Version::from(1), guarded(cell_row(index, shards, CELL), "lost")));
            let mut spare = guarded(cell_row(index, 0, CELL), "rescuer");
            spare.name.zone = Zone::from("b");
            let mut names = names_in(index, cells);
            for target in &mut spare.targets {
                target.vm = names.next().unwrap_or_default();
                listed.push(VmRecord {
                    vm: target.vm.clone(),
                    role: "folds".into(),
                    zone: Zone::from("b"),
                    address: target.address,
                    state: VmState::Live,
                });
            }
            rows.push((Version::from(1), spare));
        }
        driver.feed(Event::Vms(listed));
        let peer = Peer { process: me("lost"), zone: Zone::from("a"), leaving: false };
        driver.feed(Event::TablePolled { started_at: now, rows });
        driver.feed(Event::PeerHeartbeat { peer, asked_at: now });
        driver.run(Duration::from_secs(3));
        driver.feed(Event::ProcessEnded(me("lost")));
        driver.writes.clear();
        driver.versions.clear();
        let (started, began) = (Instant::now(), driver.now);
        let mut owned = 0;
        while owned < (shards * cells) as usize && driver.now.since(began) < Duration::from_secs(60)
        {
            driver.run(Duration::from_millis(20));
            let slots = driver.node.rows().flat_map(|(_, row)| &row.slots);
            owned = slots.filter(|slot| slot.owner.is_some()).count();
            if driver
                .node
                .rows()
                .any(|(_, row)| row.name.zone.as_str() == "a" && !row.slots.is_empty())
            {
                owned = 0;
            }
        }
        let rows: usize = driver.writes.iter().map(|(rows, _)| rows).sum();
        let bytes: usize = driver.writes.iter().map(|(_, bytes)| bytes).sum();
        println!(
            "zone loss | {targets} targets, {} shards | {} writes of {rows} rows, {bytes} bytes | \
             owned again after {} ms of virtual time | {:.1} ms of decisions",
            shards * cells,
            driver.writes.len(),
            driver.now.since(began).as_millis(),
            started.elapsed().as_secs_f64() * 1e3,
        );
        writes.push((f64::from(targets), rows as f64));
    }
    stats::show("zone loss", "target", "rows", &writes);
}

/// A Bloom filter against the plain list, for the fingerprints that a peer holds.
fn set_summary() {
    /// The bits of an entry in a filter that is wrong once in a hundred times.
    const BITS: f64 = 9.585;
    const LIST_BYTES: f64 = 8.0;
    for count in [16.0, 180.0, 4_096.0] {
        println!(
            "summary of {count} fingerprints | list {} bytes | filter wrong 1 in 100: {:.0} bytes",
            count * LIST_BYTES,
            count * BITS / 8.0,
        );
    }
}

/// Measures idle fleets of several sizes.
pub(crate) async fn processes() {
    if std::env::args().nth(2).as_deref() == Some("changes") {
        return by_changes().await;
    }
    by_targets().await;
    by_entries().await;
    by_changes().await;
}

struct Idle {
    control: f64,
    memory_kb: f64,
    peer_bytes: f64,
    lease_bytes: f64,
    reads: f64,
    read_bytes: f64,
}

async fn idle(fleet: &Fleet) -> Idle {
    sleep(Duration::from_secs(2)).await;
    let peer_bytes = || {
        let names = fleet.entries.iter().map(|entry| entry.vm.to_string());
        names.map(|name| fleet.proxy(&name).passed()).sum::<u64>()
    };
    let lease_bytes = || {
        let names = fleet.targets.iter().map(|target| target.vm.to_string());
        names.map(|name| fleet.proxy(&name).passed()).sum::<u64>()
    };
    let (cpu, bytes, counts) =
        (fleet.entry_cpu(0, Some("control")), peer_bytes(), fleet.platform.counts());
    let leases = lease_bytes();
    sleep(IDLE).await;
    let seconds = IDLE.as_secs_f64();
    let after = fleet.platform.counts();
    Idle {
        control: (fleet.entry_cpu(0, Some("control")) - cpu).as_secs_f64() * 1e6 / seconds,
        memory_kb: fleet.entry_memory_kb(0) as f64,
        peer_bytes: (peer_bytes() - bytes) as f64 / seconds,
        lease_bytes: (lease_bytes() - leases) as f64 / seconds,
        reads: (after.reads - counts.reads) as f64 / seconds,
        read_bytes: (after.read_bytes - counts.read_bytes) as f64 / seconds,
    }
}

async fn by_targets() {
    let (mut control, mut memory, mut leases) = (Vec::new(), Vec::new(), Vec::new());
    for keyed in [4, 16, 48] {
        let shards = keyed as u32 * SHARDS_PER_TARGET;
        let plan = Plan { zones: 1, entries: 1, keyed, shards, ..Plan::default() };
        let fleet = Fleet::start(plan).await;
        let idle = idle(&fleet).await;
        control.push((keyed as f64, idle.control));
        memory.push((keyed as f64, idle.memory_kb));
        leases.push((keyed as f64, idle.lease_bytes));
    }
    stats::show("control thread of a guardian, idle", "target", "us/s", &control);
    stats::show("orders and answers on the wire", "target", "bytes/s", &leases);
    stats::show("memory of an entry, idle", "target", "KB", &memory);
}

/// Bytes between entries and writes to the table against configuration changes a second, and rows
/// written against targets that join.
async fn by_changes() {
    const SPAN_SECONDS: u64 = 10;
    let fleet = Fleet::start(Plan { zones: 3, entries: 2, keyed: 1, ..Plan::default() }).await;
    let passed = |fleet: &Fleet| {
        let names = fleet.entries.iter().map(|entry| entry.vm.to_string());
        names.map(|name| fleet.proxy(&name).passed()).sum::<u64>() as f64
    };
    let (mut bytes, mut rows) = (Vec::new(), Vec::new());
    let mut base = 1;
    for rate in [1u64, 4, 16] {
        let (before, counts) = (passed(&fleet), fleet.platform.counts());
        let started = Instant::now();
        for number in 0..rate * SPAN_SECONDS {
            let text = format!("// change {base}\n{}", fleet.plan.text());
            base = fleet.put(0, base, &text, "measure").await.unwrap_or(base);
            let due = Duration::from_secs_f64((number + 1) as f64 / rate as f64);
            sleep(due.saturating_sub(started.elapsed())).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        bytes.push((rate as f64, (passed(&fleet) - before) / seconds));
        let written = fleet.platform.counts().rows_written - counts.rows_written;
        rows.push((rate as f64, written as f64 / seconds));
    }
    println!("text of {} bytes, 6 entries in 3 zones", fleet.plan.text().len());
    stats::show("between entries", "change/s", "bytes/s", &bytes);
    stats::show("table", "change/s", "rows/s", &rows);
    joining().await;
}

/// Rows written while targets join, moves of their shares included.
async fn joining() {
    let mut points = Vec::new();
    for targets in [1usize, 2, 4] {
        let mut fleet =
            Fleet::start(Plan { zones: 1, entries: 1, keyed: 4, ..Plan::default() }).await;
        let before = fleet.platform.counts().rows_written;
        for _ in 0..targets {
            fleet.add_target(trial::KEYED, 0).await;
        }
        sleep(IDLE).await;
        points.push((targets as f64, (fleet.platform.counts().rows_written - before) as f64));
    }
    stats::show("table, targets that join a cell of 4", "target", "rows", &points);
}

async fn by_entries() {
    let (mut control, mut bytes, mut reads, mut read_bytes) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for entries in [1, 2, 4] {
        let plan = Plan { zones: 1, entries: entries * 3, keyed: 1, voices: 0, ..Plan::default() };
        let fleet = Fleet::start(plan).await;
        let idle = idle(&fleet).await;
        let all = (entries * 3) as f64;
        control.push((all, idle.control));
        bytes.push((all * (all - 1.0), idle.peer_bytes));
        reads.push((all, idle.reads));
        read_bytes.push((all, idle.read_bytes));
    }
    stats::show("control thread of an entry, idle", "entry", "us/s", &control);
    stats::show("signs of life within a zone", "pair of entries", "bytes/s", &bytes);
    stats::show("looks at table and list", "entry", "reads/s", &reads);
    stats::show("looks at table and list", "entry", "bytes/s", &read_bytes);
}
