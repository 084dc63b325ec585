//! Builds routing tables alone, to measure their size and the time that it takes.

use {
    crate::{
        control::routing::{RoutingCache, Sources},
        shared::Shared,
        snapshot::Snapshot,
    },
    conf::{OperatorConfig, Settings},
    key::{Incarnation, Process, Version, Vm, Zone, clock::Tick},
    own::{
        Config, Event, Node, Row,
        cell::{Name, Slot, Target},
        lease::Timing,
    },
    report::Metrics,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// The inputs from which a routing table is built.
pub struct RoutingInputs {
    shared: Arc<Shared>,
    config: Arc<OperatorConfig>,
    node: Node,
    cache: RoutingCache,
}

/// A routing table, which is kept while its memory is counted.
pub struct RoutingTable {
    _snapshot: Snapshot,
}

/// The value of every interval and timeout, none of which affects the routing table.
const BENCHMARK_INTERVAL: Duration = Duration::from_secs(1);

impl RoutingInputs {
    /// Creates the inputs for one service with these numbers of shards, targets and cells.
    ///
    /// # Panics
    ///
    /// Panics if its own settings or configuration are invalid, or no metrics can be created.
    #[must_use]
    pub fn new(shards: u32, targets: u32, cells: u32) -> Self {
        let settings = Settings::parse(
            r#"{ "cluster": "probe", "vm": "probe", "zone": "z", "listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:2", "operator_listen": "127.0.0.1:3",
            "platform": "127.0.0.1:4" }"#,
        );
        let settings = settings.expect("the settings are valid");
        let text = format!(
            r#"{{ "services": [{{ "name": "folds", "keyed": {{ "key": {{ "segment": 1 }},
            "shards": {shards}, "cells_per_zone": {cells} }} }}] }}"#,
        );
        let config = Arc::new(OperatorConfig::parse(&text).expect("the configuration is valid"));
        let (feedback, _) = mpsc::channel(1);
        let metrics = Metrics::new(None).expect("no socket is needed");
        let shared = Shared::new(settings, feedback, metrics);
        let now = Tick::now();
        let me = Process { vm: Vm::from("probe"), incarnation: Incarnation::from(1) };
        let timing = Timing {
            ttl: BENCHMARK_INTERVAL,
            renewal_interval: BENCHMARK_INTERVAL,
            suspect_after: BENCHMARK_INTERVAL,
            drift_allowance: BENCHMARK_INTERVAL,
            peer_lost_after: BENCHMARK_INTERVAL,
            drain_timeout: BENCHMARK_INTERVAL,
        };
        let node_config =
            Config { me, zone: Zone::from("z"), timing, balance_interval: BENCHMARK_INTERVAL };
        let mut node = Node::new(node_config, now);
        node.handle(Event::Services(Arc::clone(&config)), now);
        for index in 0..cells {
            let row = cell_row(index, shards / cells, targets / cells);
            node.handle(Event::Row { version: Version::from(1), row }, now);
        }
        Self { shared, config, node, cache: RoutingCache::default() }
    }

    /// Builds the routing table.
    pub fn build(&mut self) -> RoutingTable {
        let drained = BTreeSet::new();
        let sources = Sources {
            shared: &self.shared,
            config: &self.config,
            node: &self.node,
            vms: &[],
            drained: &drained,
            entry_count: 1,
        };
        RoutingTable { _snapshot: self.cache.build(&sources) }
    }
}

/// Returns the row of the cell with this index, with so many shards and targets.
#[must_use]
pub fn cell_row(index: u32, shards: u32, targets: u32) -> Row {
    let name = Name { service: "folds".into(), zone: Zone::from("a"), index };
    let target = |number: u32| Target {
        vm: Vm::from(format!("catalogue-a-{index:04}-{number:04}").as_str()),
        address: SocketAddr::from(([10, 1, index as u8, number as u8], 8_080)),
    };
    let slot = |number: u32| Slot {
        shard: (index * shards + number).into(),
        owner: Some(number % targets.max(1)),
        fence: 12_345.into(),
    };
    Row {
        targets: (0..targets).map(target).collect(),
        slots: (0..shards).map(slot).collect(),
        ..Row::empty(name)
    }
}
