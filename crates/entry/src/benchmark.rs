//! The routing table alone, for measurements of its size and of the time it takes to make.

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

/// What a routing table is made from.
pub struct RoutingInputs {
    shared: Arc<Shared>,
    text: Arc<OperatorConfig>,
    node: Node,
    cache: RoutingCache,
}

/// A routing table, to be held while its memory is counted.
pub struct RoutingTable {
    _snapshot: Snapshot,
}

const SPAN: Duration = Duration::from_secs(1);

impl RoutingInputs {
    /// Returns the rows of one service with so many shards, targets and cells.
    ///
    /// # Panics
    ///
    /// Panics if its own settings were wrong, or no socket for metrics can be opened.
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
        let text = Arc::new(OperatorConfig::parse(&text).expect("the text is valid"));
        let (feedback, _) = mpsc::channel(1);
        let metrics = Metrics::new(None).expect("no socket is needed");
        let shared = Shared::new(settings, feedback, metrics);
        let now = Tick::now();
        let me = Process { vm: Vm::from("probe"), incarnation: Incarnation::from(1) };
        let timing = Timing {
            ttl: SPAN,
            renewal_interval: SPAN,
            suspect_after: SPAN,
            drift_allowance: SPAN,
            peer_lost_after: SPAN,
            drain_timeout: SPAN,
        };
        let config = Config { me, zone: Zone::from("z"), timing, balance_interval: SPAN };
        let mut node = Node::new(config, now);
        node.handle(Event::Services(Arc::clone(&text)), now);
        for index in 0..cells {
            let row = cell_row(index, shards / cells, targets / cells);
            node.handle(Event::Row { version: Version::from(1), row }, now);
        }
        Self { shared, text, node, cache: RoutingCache::default() }
    }

    /// Makes the routing table.
    pub fn build(&mut self) -> RoutingTable {
        let drained = BTreeSet::new();
        let sources = Sources {
            shared: &self.shared,
            config: &self.text,
            node: &self.node,
            vms: &[],
            drained: &drained,
            entry_count: 1,
        };
        RoutingTable { _snapshot: self.cache.build(&sources) }
    }
}

/// Returns the row of a cell with its share of the shards and targets.
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
