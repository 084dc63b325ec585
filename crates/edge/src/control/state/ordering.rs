//! Carrying out the actions of the planners: releases and writes of maps. Module `granting` sends
//! the grants.

use {
    super::{State, granting::GrantBatch},
    crate::control::{
        feeds::send, input::Input, message::MapDelta, orders, records::LEADERSHIP_KEY,
    },
    hold::{
        Action, Instance, Map, Span,
        map::{Replacement, Stored},
        planner::{Outcome, WriteOutcome},
    },
    key::{Fence, Service, clock::Tick},
    platform::{
        order::ReleaseLane,
        store::{Change, Commit, Table, Write},
    },
    serde::Serialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time,
};

/// The number of connections over which one target gets releases.
const MAX_RELEASE_LANES: usize = 4;

/// The time for which results are collected before the next round, for each registered target.
const PLAN_DELAY_PER_TARGET: Duration = Duration::from_micros(50);

/// The delay below which a round follows each result at once.
const MIN_PLAN_DELAY: Duration = Duration::from_millis(3);

/// The longest such delay.
const MAX_PLAN_DELAY: Duration = Duration::from_millis(50);

/// The releases for each target.
type Releases = BTreeMap<(Service, Instance, SocketAddr), Vec<(Span, Fence)>>;

/// The journal line about a grant or release.
#[derive(Serialize)]
struct OrderLine<'a> {
    order: &'a str,
    target: &'a str,
    born: u64,
    first: u16,
    last: u16,
    fence: u64,
    outcome: &'a str,
}

/// The journal line about the write of a map.
#[derive(Serialize)]
struct PlanLine<'a> {
    service: &'a str,
    version: u64,
    holdings: usize,
    holders: usize,
    outcome: &'a str,
}

impl State {
    /// Starts actions of a planner; their results come back as inputs.
    pub(super) fn execute(&mut self, service: &Service, actions: Vec<Action>) {
        let mut releases = BTreeMap::new();
        for action in actions {
            self.begin_action(service.clone(), action, &mut releases);
        }
        for ((service, instance, address), orders) in releases {
            self.send_releases(&service, &instance, address, &orders);
        }
    }

    /// Starts a write, queues grants and collects the releases for each target.
    fn begin_action(&mut self, service: Service, action: Action, releases: &mut Releases) {
        match action {
            Action::Grant { instance, address, grants } => {
                self.outbox.push(GrantBatch::new(service, instance, address, grants));
            }
            Action::Release { instance, address, span, fence } => {
                self.log_order("release", &instance, span, fence, "sent");
                let to = (service, instance, address);
                releases.entry(to).or_default().push((span, fence));
            }
            Action::Write(map) => self.write_map(service, &map),
        }
    }

    /// Sends the releases for one target over a few connections. Each is answered once the work on
    /// its keys has ended, so those of idle keys pass quickly; a connection for each would fill a
    /// busy target's queue.
    fn send_releases(
        &self,
        service: &Service,
        instance: &Instance,
        address: SocketAddr,
        releases: &[(Span, Fence)],
    ) {
        let lane_count = MAX_RELEASE_LANES.min(releases.len());
        for lane in 0..lane_count {
            let orders: Vec<(Span, Fence)> =
                releases.iter().skip(lane).step_by(lane_count).copied().collect();
            let source = self.shared.settings.source;
            let lane = ReleaseLane::new(instance.vm.clone(), address, source);
            let (service, instance, inputs) =
                (service.clone(), instance.clone(), self.inputs.clone());
            tokio::task::spawn_local(async move {
                for (span, fence) in orders {
                    let result = orders::send_release(&lane, span, fence).await;
                    let (service, instance) = (service.clone(), instance.clone());
                    let input = Input::ReleaseResult { service, instance, span, result };
                    send(&inputs, input).await;
                }
            });
        }
    }

    pub(super) fn destination(
        &self,
        instance: &Instance,
        address: SocketAddr,
    ) -> orders::Destination {
        let source = self.shared.settings.source;
        orders::Destination { instance: instance.clone(), address, source }
    }

    pub(super) fn log_order(
        &self,
        order: &str,
        instance: &Instance,
        span: Span,
        fence: Fence,
        outcome: &str,
    ) {
        self.shared.journal.log(
            "order",
            &OrderLine {
                order,
                target: instance.vm.as_str(),
                born: instance.started_at_ms,
                first: span.first,
                last: span.last,
                fence: fence.get(),
                outcome,
            },
        );
    }

    /// Passes the outcome of a release to the planner and plans again.
    pub(super) fn handle_release_result(
        &mut self,
        service: &Service,
        instance: &Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
        now: Tick,
    ) {
        let outcome = format!("{:?}", result.as_ref().map(Option::is_some));
        self.log_order("released", instance, span, Fence::ZERO, &outcome);
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(planner) = leadership.planners.get_mut(service) {
            planner.record_release(instance, span, result);
        }
        // No target holds these keys until they are assigned again, so this cannot wait for a tick.
        self.plan_soon(now);
    }

    /// Plans once the results that are about to arrive are in. A round takes longer the more targets
    /// there are, and one write of the map serves many results.
    fn plan_soon(&mut self, now: Tick) {
        let delay = PLAN_DELAY_PER_TARGET * self.registry.len() as u32;
        if delay < MIN_PLAN_DELAY {
            self.plan(now);
            return;
        }
        if std::mem::replace(&mut self.plan_due, true) {
            return;
        }
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            time::sleep(delay.min(MAX_PLAN_DELAY)).await;
            send(&inputs, Input::PlanDue).await;
        });
    }

    /// Plans after results have arrived.
    pub(super) fn handle_plan_due(&mut self, now: Tick) {
        self.plan_due = false;
        self.plan(now);
    }

    /// Writes a map on the condition that neither it nor the leadership record has changed.
    fn write_map(&self, service: Service, map: &Map) {
        let planner =
            self.leadership.as_ref().and_then(|leadership| leadership.planners.get(&service));
        let Some(planner) = planner else { return };
        let row_version = planner.row_version();
        let era = self.store.era();
        let stored = self.stored_maps.get(&service);
        let stored = stored.filter(|stored| stored.row_version == row_version).cloned();
        let replacement =
            stored.unwrap_or_else(Stored::absent).replace(&service, map, era, planner.format());
        let leadership = Write {
            table: Table::Entries,
            key: LEADERSHIP_KEY.into(),
            // A record of an earlier era is not enough, so the write waits for a new one.
            expected: Some(self.leadership_version),
            change: Change::Keep,
        };
        let first_row = Write {
            table: Table::Maps,
            key: service.as_str().into(),
            expected: Some(row_version),
            change: Change::Put(replacement.first_row.clone()),
        };
        // The first row is replaced with every part, so its version stands for theirs.
        let parts = replacement.parts.iter().map(|(key, bytes)| Write {
            table: Table::Maps,
            key: key.clone(),
            expected: None,
            change: Change::Put(bytes.clone()),
        });
        let writes: Vec<Write> = [leadership, first_row].into_iter().chain(parts).collect();
        let (row_bytes, rows) = replacement.size();
        self.log_plan(&service, map, &format!("writing {rows} rows, at most {row_bytes} bytes"));
        let sent_at = Tick::now();
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = match store.commit(&writes).await {
                // The row says that it was written in the era before.
                Commit::Committed(version) if version.era() != era => Commit::Ambiguous,
                commit => commit,
            };
            send(&inputs, Input::MapWritten { service, replacement, commit, sent_at }).await;
        });
    }

    /// Sends a delta to all other entries, which would otherwise learn of it only from the reply to
    /// their next report.
    fn push_delta(&self, delta: MapDelta) {
        let (peers, others) = (self.peers.clone(), self.other_entries());
        tokio::task::spawn_local(async move { peers.push_delta(others, &delta).await });
    }

    fn log_plan(&self, service: &Service, map: &Map, outcome: &str) {
        self.shared.journal.log(
            "plan",
            &PlanLine {
                service: service.as_str(),
                version: map.version.get(),
                holdings: map.assignments.len(),
                holders: map.holders.len(),
                outcome,
            },
        );
    }

    /// Passes the outcome of a write to the planner; applies and distributes a map that was
    /// committed. It was committed on the condition that this process leads, which confirms that.
    pub(super) fn handle_map_written(
        &mut self,
        service: &Service,
        replacement: Replacement,
        commit: Commit,
        sent_at: Tick,
        now: Tick,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        if matches!(commit, Commit::Committed(_)) && sent_at >= leadership.started_at {
            leadership.confirmed_at = leadership.confirmed_at.max(sent_at);
        }
        let Some(planner) = leadership.planners.get_mut(service) else { return };
        planner.record_write(match commit {
            Commit::Committed(version) => WriteOutcome::Committed(version),
            Commit::Refused => WriteOutcome::Refused,
            Commit::Rejected(_) => WriteOutcome::Rejected,
            Commit::Conflict | Commit::Ambiguous => WriteOutcome::Unknown,
        });
        let map = planner.map().clone();
        self.log_plan(service, &map, &format!("{commit:?}"));
        if let Commit::Rejected(status) = commit {
            let (row_bytes, rows) = replacement.size();
            self.shared.counters.count("map_writes", "rejected");
            let detail = format!("status {status}: {rows} rows, at most {row_bytes} bytes");
            self.log_plan(service, &map, &detail);
        }
        if let Commit::Committed(version) = commit {
            let stored = replacement.into_stored(map.clone(), version);
            self.stored_maps.insert(service.clone(), stored);
            let base = self.maps.get(service).cloned().unwrap_or_else(|| Map::vacant().into());
            let delta = map.delta(&base);
            self.apply_map(service.clone(), map);
            // New holders get their grants without waiting for the next tick.
            self.plan(now);
            self.push_delta(MapDelta { service: service.clone(), delta });
        } else {
            self.read_rows(now);
        }
    }
}
