//! Measures how costs grow with the size of a fleet; `docs/CAPACITY.md` is derived from these
//! slopes.

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
    trial::{Fleet, FleetPlan},
};

const SHARDS_PER_TARGET: u32 = 16;
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// Prints the slopes that need no processes.
pub(crate) fn measure_decisions() {
    measure_routing_table();
    measure_row_size();
    measure_renewals();
    measure_zone_loss();
    print_fingerprint_summary_sizes();
}

/// Prints the size of a routing table and the time to build it, by shards.
fn measure_routing_table() {
    let (mut bytes, mut times_us) = (Vec::new(), Vec::new());
    for shards in [1_000u32, 10_000, 50_000, 200_000] {
        let targets = shards / SHARDS_PER_TARGET;
        let mut inputs = RoutingInputs::new(shards, targets, (targets / 64).max(1));
        // The first build also allocates the state of the connections, which later builds reuse.
        drop(inputs.build());
        let region = Region::new(ALLOCATOR);
        let table = inputs.build();
        let change = region.change();
        bytes.push((f64::from(shards), (change.bytes_allocated - change.bytes_deallocated) as f64));
        drop(table);
        let mut times: Vec<f64> = (0..9)
            .map(|_| {
                let started_at = Instant::now();
                drop(inputs.build());
                started_at.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        times_us.push((f64::from(shards), stats::quantile(&mut times, 0.5)));
    }
    stats::print_fit("routing table", "shard", "bytes", &bytes);
    stats::print_fit("routing table made", "shard", "us", &times_us);
}

/// Prints the size of a cell's row, by shards and by targets.
fn measure_row_size() {
    let by_shards: Vec<_> = [256u32, 1_024, 4_096]
        .iter()
        .map(|shards| (f64::from(*shards), cell_row(1, *shards, 64).encode().len() as f64))
        .collect();
    stats::print_fit("row of a cell with 64 targets", "shard", "bytes", &by_shards);
    let by_targets: Vec<_> = [16u32, 64, 256]
        .iter()
        .map(|targets| (f64::from(*targets), cell_row(1, 1_024, *targets).encode().len() as f64))
        .collect();
    stats::print_fit("row of a cell with 1024 shards", "target", "bytes", &by_targets);
}

fn process(vm: &str) -> Process {
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
        me: process(vm),
        zone: Zone::from(zone),
        timing: Timing::from(&Lease::default()),
        balance_interval,
    };
    let mut node = Node::new(config, now);
    node.handle(Event::Services(text), now);
    node
}

/// Drives the decisions of a primary in virtual time, with targets that apply and answer every
/// grant and a table that commits every write.
struct Driver {
    node: Node,
    now: Tick,
    holders: HashMap<Vm, Holder>,
    grants: u64,
    grant_bytes: u64,
    writes: Vec<(usize, usize)>,
    versions: HashMap<String, u64>,
}

impl Driver {
    /// Handles an event and everything that follows from it at the same time.
    fn handle(&mut self, event: Event) {
        let mut pending = vec![event];
        while let Some(event) = pending.pop() {
            for action in self.node.handle(event, self.now) {
                match action {
                    Action::Grant { target, grant } => {
                        pending.push(self.apply_grant(&target, grant));
                    }
                    Action::Write(write) => {
                        let bytes = write.rows.iter().map(|(_, row)| row.encode().len()).sum();
                        self.writes.push((write.rows.len(), bytes));
                        let versions = write.rows.iter().map(|(base, _)| base.next()).collect();
                        pending.push(Event::Written {
                            id: write.id,
                            result: Commit::Committed(versions),
                        });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Applies a grant as the target would, and returns its reply.
    fn apply_grant(&mut self, target: &Target, grant: own::lease::Grant) -> Event {
        self.grants += 1;
        self.grant_bytes += serde_json::to_vec(&grant).map_or(0, |text| text.len() as u64);
        let new_holder = || Holder::new(conf::services::Fencing::Full, Incarnation::from(9));
        let holder = self.holders.entry(target.vm.clone()).or_insert_with(new_holder);
        let verdict = holder.apply(&grant);
        let reply = Reply {
            now_ms: self.now.as_millis(),
            incarnation: Incarnation::from(9),
            leaving: false,
            verdict,
            stamp: holder.stamp(),
            busy: Vec::new(),
        };
        let (vm, sent, received_at) = (target.vm.clone(), SentGrant::from(&grant), self.now);
        Event::TargetReplied(TargetReply { cell: grant.cell, vm, sent, received_at, reply })
    }

    /// Advances the virtual time in steps of 20 ms.
    fn run(&mut self, span: Duration) {
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(Duration::from_millis(20));
            self.handle(Event::Tick);
        }
    }
}

fn with_primary(row: Row, primary: &str) -> Row {
    Row { primary: Some(process(primary)), term: 1.into(), ..row }
}

/// Prints the CPU time of a primary's decisions and the bytes of its grants, by targets.
fn measure_renewals() {
    let (mut times_us, mut bytes) = (Vec::new(), Vec::new());
    for targets in [16u32, 64, 256] {
        let now = Tick::from(60_000_000);
        let shards = targets * SHARDS_PER_TARGET;
        let mut driver = Driver {
            node: node("a", "me", 1, shards, now),
            now,
            holders: HashMap::new(),
            grants: 0,
            grant_bytes: 0,
            writes: Vec::new(),
            versions: HashMap::new(),
        };
        let row = with_primary(cell_row(0, shards, targets), "me");
        driver.handle(Event::TablePolled { started_at: now, rows: vec![(Version::from(1), row)] });
        driver.run(Duration::from_secs(2));
        let (grants_before, bytes_before) = (driver.grants, driver.grant_bytes);
        let started_at = Instant::now();
        let span = Duration::from_secs(20);
        driver.run(span);
        let spent = started_at.elapsed();
        let rate = (driver.grants - grants_before) as f64 / span.as_secs_f64();
        times_us.push((f64::from(targets), spent.as_secs_f64() * 1e6 / span.as_secs_f64()));
        bytes.push((
            f64::from(targets),
            (driver.grant_bytes - bytes_before) as f64 / span.as_secs_f64(),
        ));
        println!("renewals | {targets} targets | {rate:.0} orders/s");
    }
    stats::print_fit("decisions of a guardian", "target", "us/s", &times_us);
    stats::print_fit("orders of a guardian, bodies only", "target", "bytes/s", &bytes);
}

/// Returns names of VMs whose hash assigns them to a cell.
fn vm_names_in_cell(index: u32, cells: u32) -> impl Iterator<Item = Vm> {
    let names = (0u32..).map(|number| Vm::from(format!("catalogue-b-{number:06}").as_str()));
    names.filter(move |vm| key::shard_of(vm.as_str().as_bytes(), cells).get() == index)
}

/// Prints the writes, rows, bytes and decision time after the loss of a whole zone, by its targets.
fn measure_zone_loss() {
    const TARGETS_PER_CELL: u32 = 64;
    let mut writes = Vec::new();
    for targets in [128u32, 512, 1_024] {
        let now = Tick::from(60_000_000);
        let cells = targets / TARGETS_PER_CELL;
        let shards = TARGETS_PER_CELL * SHARDS_PER_TARGET;
        let mut driver = Driver {
            node: node("b", "rescuer", cells, shards * cells, now),
            now,
            holders: HashMap::new(),
            grants: 0,
            grant_bytes: 0,
            writes: Vec::new(),
            versions: HashMap::new(),
        };
        let mut rows = Vec::new();
        let mut vm_records = Vec::new();
        for index in 0..cells {
            rows.push((
                Version::from(1),
                with_primary(cell_row(index, shards, TARGETS_PER_CELL), "lost"),
            ));
            let mut surviving_row = with_primary(cell_row(index, 0, TARGETS_PER_CELL), "rescuer");
            surviving_row.name.zone = Zone::from("b");
            let mut names = vm_names_in_cell(index, cells);
            for target in &mut surviving_row.targets {
                target.vm = names.next().unwrap_or_default();
                vm_records.push(VmRecord {
                    vm: target.vm.clone(),
                    role: "folds".into(),
                    zone: Zone::from("b"),
                    address: target.address,
                    state: VmState::Live,
                });
            }
            rows.push((Version::from(1), surviving_row));
        }
        driver.handle(Event::Vms(vm_records));
        let peer = Peer { process: process("lost"), zone: Zone::from("a"), leaving: false };
        driver.handle(Event::TablePolled { started_at: now, rows });
        driver.handle(Event::PeerHeartbeat { peer, asked_at: now });
        driver.run(Duration::from_secs(3));
        driver.handle(Event::ProcessEnded(process("lost")));
        driver.writes.clear();
        driver.versions.clear();
        let (started_at, failover_began_at) = (Instant::now(), driver.now);
        let mut owned = 0;
        while owned < (shards * cells) as usize
            && driver.now.since(failover_began_at) < Duration::from_secs(60)
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
            driver.now.since(failover_began_at).as_millis(),
            started_at.elapsed().as_secs_f64() * 1e3,
        );
        writes.push((f64::from(targets), rows as f64));
    }
    stats::print_fit("zone loss", "target", "rows", &writes);
}

/// Prints the size of a Bloom filter and of a plain list for the fingerprints that a peer holds.
fn print_fingerprint_summary_sizes() {
    /// The bits per fingerprint of a Bloom filter with a false-positive rate of 1 %.
    const BITS_PER_FINGERPRINT: f64 = 9.585;
    const LIST_BYTES_PER_FINGERPRINT: f64 = 8.0;
    for count in [16.0, 180.0, 4_096.0] {
        println!(
            "summary of {count} fingerprints | list {} bytes | filter wrong 1 in 100: {:.0} bytes",
            count * LIST_BYTES_PER_FINGERPRINT,
            count * BITS_PER_FINGERPRINT / 8.0,
        );
    }
}

/// Prints the slopes that are measured with running fleets.
pub(crate) async fn measure_fleets() {
    if std::env::args().nth(2).as_deref() == Some("changes") {
        return measure_by_changes().await;
    }
    measure_by_targets().await;
    measure_by_entries().await;
    measure_by_changes().await;
}

/// The load of an idle fleet per second; CPU time and memory are those of its first entry.
struct IdleUsage {
    control_us_per_s: f64,
    memory_kb: f64,
    peer_bytes: f64,
    lease_bytes: f64,
    reads: f64,
    read_bytes: f64,
}

async fn measure_idle_usage(fleet: &Fleet) -> IdleUsage {
    sleep(Duration::from_secs(2)).await;
    let peer_bytes = || {
        let names = fleet.entries.iter().map(|entry| entry.vm.to_string());
        names.map(|name| fleet.proxy(&name).forwarded_bytes()).sum::<u64>()
    };
    let lease_bytes = || {
        let names = fleet.targets.iter().map(|target| target.vm.to_string());
        names.map(|name| fleet.proxy(&name).forwarded_bytes()).sum::<u64>()
    };
    let (cpu_before, bytes_before, counts_before) =
        (fleet.entry_cpu_time(0, Some("control")), peer_bytes(), fleet.platform.counts());
    let lease_bytes_before = lease_bytes();
    sleep(IDLE_DURATION).await;
    let seconds = IDLE_DURATION.as_secs_f64();
    let after = fleet.platform.counts();
    IdleUsage {
        control_us_per_s: (fleet.entry_cpu_time(0, Some("control")) - cpu_before).as_secs_f64()
            * 1e6
            / seconds,
        memory_kb: fleet.entry_memory_kb(0) as f64,
        peer_bytes: (peer_bytes() - bytes_before) as f64 / seconds,
        lease_bytes: (lease_bytes() - lease_bytes_before) as f64 / seconds,
        reads: (after.reads - counts_before.reads) as f64 / seconds,
        read_bytes: (after.read_bytes - counts_before.read_bytes) as f64 / seconds,
    }
}

async fn measure_by_targets() {
    let (mut control_us_per_s, mut memory, mut lease_bytes) = (Vec::new(), Vec::new(), Vec::new());
    for keyed_per_zone in [4, 16, 48] {
        let shards = keyed_per_zone as u32 * SHARDS_PER_TARGET;
        let plan = FleetPlan {
            zones: 1,
            entries_per_zone: 1,
            keyed_per_zone,
            shards,
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(plan).await;
        let usage = measure_idle_usage(&fleet).await;
        control_us_per_s.push((keyed_per_zone as f64, usage.control_us_per_s));
        memory.push((keyed_per_zone as f64, usage.memory_kb));
        lease_bytes.push((keyed_per_zone as f64, usage.lease_bytes));
    }
    stats::print_fit("control thread of a guardian, idle", "target", "us/s", &control_us_per_s);
    stats::print_fit("orders and answers on the wire", "target", "bytes/s", &lease_bytes);
    stats::print_fit("memory of an entry, idle", "target", "KB", &memory);
}

/// Prints the bytes between entries and the rows written, by configuration changes per second, and
/// the rows written by joining targets.
async fn measure_by_changes() {
    const RATE_DURATION_SECONDS: u64 = 10;
    let fleet = Fleet::start(FleetPlan {
        zones: 3,
        entries_per_zone: 2,
        keyed_per_zone: 1,
        ..FleetPlan::default()
    })
    .await;
    let peer_bytes = |fleet: &Fleet| {
        let names = fleet.entries.iter().map(|entry| entry.vm.to_string());
        names.map(|name| fleet.proxy(&name).forwarded_bytes()).sum::<u64>() as f64
    };
    let (mut bytes, mut rows) = (Vec::new(), Vec::new());
    let mut base = 1;
    for rate in [1u64, 4, 16] {
        let (before, counts) = (peer_bytes(&fleet), fleet.platform.counts());
        let started_at = Instant::now();
        for number in 0..rate * RATE_DURATION_SECONDS {
            let text = format!("// change {base}\n{}", fleet.plan.operator_config());
            base = fleet.put_config(0, base, &text, "measure").await.unwrap_or(base);
            let due = Duration::from_secs_f64((number + 1) as f64 / rate as f64);
            sleep(due.saturating_sub(started_at.elapsed())).await;
        }
        let seconds = started_at.elapsed().as_secs_f64();
        bytes.push((rate as f64, (peer_bytes(&fleet) - before) / seconds));
        let written = fleet.platform.counts().rows_written - counts.rows_written;
        rows.push((rate as f64, written as f64 / seconds));
    }
    println!("text of {} bytes, 6 entries in 3 zones", fleet.plan.operator_config().len());
    stats::print_fit("between entries", "change/s", "bytes/s", &bytes);
    stats::print_fit("table", "change/s", "rows/s", &rows);
    measure_joining_targets().await;
}

/// Prints the rows written while targets join, including the reassignment of their shares.
async fn measure_joining_targets() {
    let mut points = Vec::new();
    for targets in [1usize, 2, 4] {
        let mut fleet = Fleet::start(FleetPlan {
            zones: 1,
            entries_per_zone: 1,
            keyed_per_zone: 4,
            ..FleetPlan::default()
        })
        .await;
        let before = fleet.platform.counts().rows_written;
        for _ in 0..targets {
            fleet.add_target(trial::KEYED, 0).await;
        }
        sleep(IDLE_DURATION).await;
        points.push((targets as f64, (fleet.platform.counts().rows_written - before) as f64));
    }
    stats::print_fit("table, targets that join a cell of 4", "target", "rows", &points);
}

async fn measure_by_entries() {
    let (mut control_us_per_s, mut bytes, mut reads, mut read_bytes) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for entries in [1, 2, 4] {
        let plan = FleetPlan {
            zones: 1,
            entries_per_zone: entries * 3,
            keyed_per_zone: 1,
            voices_per_zone: 0,
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(plan).await;
        let usage = measure_idle_usage(&fleet).await;
        let entry_count = (entries * 3) as f64;
        control_us_per_s.push((entry_count, usage.control_us_per_s));
        bytes.push((entry_count * (entry_count - 1.0), usage.peer_bytes));
        reads.push((entry_count, usage.reads));
        read_bytes.push((entry_count, usage.read_bytes));
    }
    stats::print_fit("control thread of an entry, idle", "entry", "us/s", &control_us_per_s);
    stats::print_fit("signs of life within a zone", "pair of entries", "bytes/s", &bytes);
    stats::print_fit("looks at table and list", "entry", "reads/s", &reads);
    stats::print_fit("looks at table and list", "entry", "bytes/s", &read_bytes);
}
