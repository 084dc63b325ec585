//! Keeping the routing configuration up to date, from the store or from another entry.

use {
    super::State,
    crate::control::{feeds::send, input::Input},
    conf::routing::Routing,
    hold::routing::Newer,
    key::{Service, Version, Vm, clock::Tick},
    platform::{
        store::{ROUTING_KEY, Rows, Table},
        text,
    },
    std::{net::SocketAddr, time::Duration},
};

/// The time between two reads by which the leader confirms that the routing configuration is the
/// newest one. The other entries learn it from the replies to their reports.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Returns the version of the routing configuration known here.
    pub(super) fn routing_version(&self) -> Version {
        self.routing.version()
    }

    /// Applies the routing configuration from an answer about the operators' table, which says what
    /// was newest at the time `at`; ignores other rows.
    pub(super) fn apply_operator_rows(&mut self, rows: &Rows, at: Tick) {
        self.operator_rows_version = self.operator_rows_version.max(rows.version);
        for row in rows.rows.iter().filter(|row| row.key == ROUTING_KEY) {
            let Some(value) = &row.value else { continue };
            let parsed = text::parse_routing(value);
            self.routing_unreadable = parsed.is_err();
            match parsed {
                Ok(routing) => self.apply_routing(routing, "read from the store"),
                Err(error) => self.log_belief("routing", row.version, &error.to_string()),
            }
        }
        // The store may have a newer version that this process cannot read.
        if !self.routing_unreadable {
            self.confirm_routing(self.routing_version(), at);
        }
    }

    /// Replaces the routing configuration by a newer one, and removes registrations of services
    /// that it no longer names.
    pub(super) fn apply_routing(&mut self, routing: Routing, source: &str) {
        let version = routing.version;
        if !self.routing.replace(routing) {
            return;
        }
        self.log_belief("routing", version, source);
        self.shared.counters.set("routing_version", version.get());
        if let Some(routing) = self.routing.routing() {
            let is_named = |service: &Service| routing.service(service).is_some();
            let known = self.registry.targets().count();
            self.registry.remove_if(|registration| !is_named(&registration.service));
            if self.registry.targets().count() < known {
                // An entry that this one follows passes on only what changes there.
                self.relay.following.send_modify(|following| following.full_reads += 1);
            }
        }
        self.dirty = true;
    }

    /// Records that `version` was the newest one at the time `at`.
    pub(super) fn confirm_routing(&mut self, version: Version, at: Tick) {
        self.routing.confirm(version, at);
        self.publish_routing_state();
    }

    /// Records that the entry at `holder` has a version of the routing configuration.
    pub(super) fn hear_routing(&mut self, version: Version, holder: SocketAddr, now: Tick) {
        let was_behind = self.routing.newer().is_some();
        self.routing.hear(version, holder, now);
        if !was_behind && self.routing.newer().is_some() {
            self.log_belief("routing", version, "another entry has a newer one");
        }
        self.publish_routing_state();
    }

    /// Tells traffic until when the routing configuration counts as in force, and since when this
    /// process is known to be behind.
    fn publish_routing_state(&self) {
        let behind_since = self.routing.newer().map(|newer| newer.since);
        self.shared.freshness.set(self.routing.in_force_at(), behind_since);
    }

    /// Fetches a newer routing configuration from another entry, if this process has been behind
    /// for long enough.
    pub(super) fn fetch_routing(&mut self, now: Tick) {
        self.routing.expire(now);
        self.publish_routing_state();
        // No poll of the store brings the version while another entry tells of it.
        let polls_store = !self.is_store_unavailable(now) && !self.is_told_of_routing(now);
        let Some((newer, attempt)) = self.routing.start_fetch(polls_store, now) else { return };
        let from = self.routing_source(newer, attempt);
        let known = self.routing_version();
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let routing = peers.fetch_routing(from, known).await;
            send(&inputs, Input::RoutingFetched { routing }).await;
        });
    }

    /// Returns the entry to fetch from: one of the most powerful entries and the one that is known
    /// to have the version take turns, since many entries may be behind at once.
    ///
    /// A follower gets it from the entry that told it, which certainly has it.
    fn routing_source(&self, newer: Newer, attempt: usize) -> SocketAddr {
        if self.tables.routing_told_by(newer.holder) {
            return newer.holder;
        }
        let others = self.members.iter().filter(|(vm, _)| **vm != self.me.vm);
        let strongest = others.clone().map(|(_, member)| member.power).fold(0.0, f64::max);
        let strong: Vec<SocketAddr> = others
            .filter(|(_, member)| member.power >= strongest)
            .map(|(_, member)| member.address)
            .collect();
        if strong.is_empty() || strong.contains(&newer.holder) || attempt % 2 == 1 {
            return newer.holder;
        }
        strong[rand::random_range(0..strong.len())]
    }

    /// Applies a routing configuration that another entry sent, if it had a newer one.
    pub(super) fn handle_fetched_routing(&mut self, routing: Option<Routing>, now: Tick) {
        self.routing.end_fetch(now);
        match routing {
            Some(routing) => self.apply_routing(routing, "from a peer"),
            None => self.shared.counters.count("routing_fetches", "failed"),
        }
        self.publish_routing_state();
    }

    /// Records that another entry reported a version of the routing configuration.
    pub(super) fn hear_reported_routing(&mut self, vm: &Vm, version: Version, now: Tick) {
        if let Some(address) = self.members.get(vm).map(|member| member.address) {
            self.hear_routing(version, address, now);
        }
    }

    /// Asks the store, in the leader, whether the routing configuration is still the newest one.
    pub(super) fn check_routing(&mut self, now: Tick) {
        let is_due = now.since(self.routing_checked_at) >= CONFIRMATION_INTERVAL;
        if !is_due || self.operator_rows_version == Version::ZERO {
            return;
        }
        self.routing_checked_at = now;
        let after = self.operator_rows_version;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            // The feed reports an unavailable store, and reads everything after a lost history.
            if let Ok(rows) = store.changes(Table::Operator, after).await {
                let (complete, changed_at) = (false, Tick::default());
                send(&inputs, Input::OperatorRows { rows, complete, changed_at, at: now }).await;
            }
        });
    }
}
