//! The work of the leader: planning who holds which keys, and renewing the grants.
//!
//! The planners of crate `hold` decide; this module sends their grants and releases, writes their
//! maps and feeds the results back to them. It acts only under the leadership lease, which a full
//! read of the rows extends. All calls run as tasks of the control thread and report through its
//! input queue, so no slow target or store delays the others.

use {
    super::{State, recovery::Recovery},
    crate::control::{
        feeds::send,
        input::Input,
        orders,
        peers::{Announcement, MapDelta, Reply, Report, VersionedRegistration},
        records::{LEADERSHIP_KEY, LeadershipRecord},
    },
    hold::{
        Action, Connections, Instance, Map, Planner, Span, connections,
        planner::{self, Grant, Outcome, WriteOutcome},
    },
    key::{Fence, Service, Version, Vm, clock::Tick},
    platform::{
        order::Connection,
        store::{Commit, Rows, Table, Write},
    },
    serde::Serialize,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The time for which the leader may renew grants after the store last confirmed its leadership. A
/// successor waits for this lease to run out before it reassigns keys that the former leader may
/// still be renewing.
pub(super) const LEADERSHIP_LEASE: Duration = Duration::from_secs(15);

/// The time between two reads by which the leader confirms its leadership.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(2_500);

/// The time between two renewals of a grant.
const GRANT_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The time that an order may still be in flight after its connection was closed.
pub(super) const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(400);

/// The time without a newly registered target before keys are assigned for the first time. It lets
/// the targets of a starting fleet register before the first map is planned.
const INITIAL_ASSIGNMENT_DELAY: Duration = Duration::from_millis(1_200);

/// The time between two journal lines that summarize each planner.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The time without a report after which an entry no longer counts towards the entries that share
/// limits.
pub(super) const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// The state that only the leader keeps.
pub(super) struct Leadership {
    pub(super) started_at: Tick,
    /// When the last successful confirmation was sent; the leadership lease starts here.
    confirmed_at: Tick,
    /// When the confirmation in flight was sent.
    confirmation_sent_at: Option<Tick>,
    /// Whether all rows have been read since this process became the leader.
    has_read_rows: bool,
    summary_logged_at: Tick,
    pub(super) planners: BTreeMap<Service, Planner>,
    /// What this process does about changes that the store may have lost.
    pub(super) recovery: Recovery,
    /// The connections over which targets get grants.
    connections: Connections<Connection>,
    /// When each other entry last reported.
    pub(super) last_report_at: HashMap<Vm, Tick>,
    /// The rate limits of targets, as the other entries are told.
    pub(super) limits: limit::Board,
    /// The fraction of each limit that coordinators hand out.
    pub(super) coordinated_fraction: f64,
}

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

/// The journal line with the summary of a planner.
#[derive(Serialize)]
struct BalanceLine<'a> {
    service: &'a Service,
    #[serde(flatten)]
    summary: planner::Summary,
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

impl Leadership {
    /// Makes the next read of the rows due at once.
    pub(super) const fn forget_confirmation(&mut self) {
        self.confirmation_sent_at = None;
    }
}

impl State {
    /// Starts to lead with empty planners, and reads all rows before it orders anything.
    pub(super) fn become_leader(&mut self, now: Tick) {
        self.log_belief(LEADERSHIP_KEY, self.leadership_version, "this process");
        self.resigning = false;
        self.leadership = Some(Leadership {
            started_at: now,
            confirmed_at: now,
            confirmation_sent_at: None,
            has_read_rows: false,
            summary_logged_at: now,
            planners: BTreeMap::new(),
            recovery: Recovery::default(),
            connections: Connections::default(),
            last_report_at: HashMap::new(),
            limits: limit::Board::default(),
            coordinated_fraction: 1.0,
        });
        self.read_rows(now);
    }

    /// Announces this process as the leader to all other entries. An entry that cannot be reached
    /// learns of it from the store.
    pub(super) fn announce_leadership(&self) {
        let Some(record) = self.leadership_record.clone() else { return };
        let announcement = Announcement { record, version: self.leadership_version };
        let (peers, others) = (self.peers.clone(), self.other_entries());
        tokio::task::spawn_local(async move {
            peers.announce_leadership(others, &announcement).await;
        });
    }

    /// Returns the peer addresses of all other entries.
    pub(super) fn other_entries(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(vm, _)| **vm != self.me.vm);
        others.map(|(_, member)| member.address).collect()
    }

    /// Extends the leadership lease after a full read of the rows, sent at `sent_at`, that still
    /// names this process as the leader. The lease counts from the sending of the read, since the
    /// store may have answered at any time after it.
    ///
    /// A record of an earlier era proves nothing: the store may have lost that another process
    /// became the leader. So it is written again, on the condition that nobody else has.
    pub(super) fn confirm_leadership(&mut self, entries: &Rows, sent_at: Tick, now: Tick) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.confirmation_sent_at = None;
        if sent_at < leadership.started_at {
            return;
        }
        let row = entries.rows.iter().find(|row| row.key == LEADERSHIP_KEY);
        let is_confirmed = row.is_some_and(|row| {
            let record = row.value.as_ref().map(|value| serde_json::from_slice(value));
            record.and_then(Result::ok).is_some_and(|record: LeadershipRecord| {
                record.is_held_by(&self.me) && record.version(row.version) == row.version
            })
        });
        if is_confirmed {
            leadership.confirmed_at = leadership.confirmed_at.max(sent_at);
        }
        leadership.has_read_rows = true;
        for (service, planner) in &mut leadership.planners {
            planner.record_row(self.stored_maps.get(service).cloned());
        }
        if !is_confirmed && !self.campaigning {
            self.campaign(now);
        }
    }

    /// Reads the rows of all entries and maps, unless such a read is in flight.
    pub(super) fn read_rows(&mut self, now: Tick) {
        const READ_TIMEOUT: Duration = Duration::from_secs(2);
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.confirmation_sent_at.is_some_and(|sent_at| now.since(sent_at) < READ_TIMEOUT)
        {
            return;
        }
        leadership.confirmation_sent_at = Some(now);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            // After a failed read the next tick past the timeout sends another one.
            let Ok(mut entries) = store.read(Table::Entries).await else { return };
            let Ok(maps) = store.read(Table::Maps).await else { return };
            if maps.version.era() != entries.version.era() {
                let Ok(rows) = store.read(Table::Entries).await else { return };
                entries = rows;
            }
            send(&inputs, Input::MapRows { rows: maps, entries: Some((entries, now)) }).await;
        });
    }

    /// Runs the periodic work of the leader: counts the entries, confirms the leadership and plans.
    pub(super) fn run_leader(&mut self, now: Tick) {
        let Some(leadership) = &mut self.leadership else { return };
        let needs_row = leadership.planners.values().any(Planner::needs_row);
        let confirmation_due = now.since(leadership.confirmed_at) >= CONFIRMATION_INTERVAL;
        let has_read_rows = leadership.has_read_rows;
        let reported = leadership.last_report_at.values();
        let entry_count =
            reported.filter(|reported_at| now.since(**reported_at) < ENTRY_TIMEOUT).count() + 1;
        if entry_count != self.entry_count {
            self.entry_count = entry_count;
            self.dirty = true;
        }
        if needs_row || confirmation_due || !has_read_rows {
            self.read_rows(now);
        }
        self.update_limits(now);
        self.plan(now);
    }

    /// Returns true if this process may send orders to targets: it holds the leadership lease and
    /// either a map exists or the registry has settled.
    fn can_issue_orders(&self, now: Tick) -> bool {
        let assignment_ready = !self.maps.is_empty()
            || self
                .registry_grew_at
                .is_some_and(|grew_at| now.since(grew_at) >= INITIAL_ASSIGNMENT_DELAY);
        let holds_lease = self.leadership.as_ref().is_some_and(|leadership| {
            leadership.has_read_rows && now.since(leadership.confirmed_at) < LEADERSHIP_LEASE
        });
        assignment_ready && holds_lease
    }

    /// Runs the planners and executes their actions, if this process may issue orders.
    pub(super) fn plan(&mut self, now: Tick) {
        if !self.can_issue_orders(now) || !self.has_recovered(now) {
            return;
        }
        self.add_planners();
        let Some(leadership) = &mut self.leadership else { return };
        for instance in leadership.connections.remove_closed(|connection| !connection.is_closed()) {
            leadership
                .planners
                .values_mut()
                .for_each(|planner| planner.record_connection_loss(&instance, now));
        }
        let registry = &self.registry;
        let actions_by_service: Vec<(Service, Vec<Action>)> = leadership
            .planners
            .iter_mut()
            .map(|(service, planner)| (service.clone(), planner.next_actions(registry, now)))
            .collect();
        if now.since(leadership.summary_logged_at) >= SUMMARY_INTERVAL {
            leadership.summary_logged_at = now;
            for (service, planner) in &leadership.planners {
                let summary = planner.summary(registry, now);
                self.shared.journal.log("balance", &BalanceLine { service, summary });
            }
        }
        for (service, actions) in actions_by_service {
            for action in actions {
                self.execute(&service, action);
            }
        }
    }

    /// Adds a planner for each keyed service that has none.
    fn add_planners(&mut self) {
        let Some(routing) = self.routing.clone() else { return };
        let config = planner::Config {
            grant_duration: self.shared.settings.hold.as_duration(),
            renewal_interval: GRANT_RENEWAL_INTERVAL,
            grant_timeout: orders::GRANT_TIMEOUT,
            in_flight_margin: IN_FLIGHT_MARGIN,
            leadership_lease: LEADERSHIP_LEASE,
        };
        let Some(leadership) = &mut self.leadership else { return };
        for service in routing.services.iter().filter(|service| service.keyed) {
            leadership.planners.entry(service.name.clone()).or_insert_with(|| {
                let map = self.maps.get(&service.name).map(|map| Map::clone(map));
                let elected_at = leadership.started_at;
                let mut planner = Planner::new(service.name.clone(), config, map, elected_at);
                planner.record_row(self.stored_maps.get(&service.name).cloned());
                planner
            });
        }
    }

    /// Starts an action of a planner; its result comes back as an input.
    fn execute(&mut self, service: &Service, action: Action) {
        let service = service.clone();
        match action {
            Action::Grant { instance, address, grants } => {
                self.send_grants(service, instance, address, grants);
            }
            Action::Release { instance, address, span, fence } => {
                self.log_order("release", &instance, span, fence, "sent");
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    let result = orders::send_release(&instance, address, span, fence).await;
                    send(&inputs, Input::ReleaseResult { service, instance, span, result }).await;
                });
            }
            Action::Write(map) => self.write_map(service, &map),
        }
    }

    fn log_order(&self, order: &str, instance: &Instance, span: Span, fence: Fence, outcome: &str) {
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

    /// Sends grants over the connection on which the target got earlier ones. Reports them as
    /// unsent if that connection has closed: another instance may have started at the address, and
    /// only a new fence makes a new connection safe.
    fn send_grants(
        &mut self,
        service: Service,
        instance: Instance,
        address: SocketAddr,
        grants: Vec<Grant>,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        let checkout =
            match leadership.connections.check_out(&instance, |connection| !connection.is_closed())
            {
                connections::Checkout::Reuse(connection) => orders::Checkout::Reuse(connection),
                connections::Checkout::Connect => orders::Checkout::Connect,
                connections::Checkout::Closed => {
                    let unsent: Vec<_> =
                        grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                    if let Some(planner) = leadership.planners.get_mut(&service) {
                        planner.record_grants(&instance, &unsent, Tick::now());
                    }
                    return;
                }
            };
        let (grant_duration, inputs) =
            (self.shared.settings.hold.as_duration(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (results, connection) =
                orders::send_grants(checkout, &instance, address, grant_duration, grants).await;
            send(&inputs, Input::GrantResults { service, instance, results, connection }).await;
        });
    }

    /// Passes the outcomes of grants to the planner and returns the connection to the pool.
    pub(super) fn handle_grant_results(
        &mut self,
        service: &Service,
        instance: &Instance,
        results: &[(Grant, Outcome)],
        connection: Option<Connection>,
        now: Tick,
    ) {
        for (grant, outcome) in results {
            if *outcome != Outcome::Granted {
                let outcome = format!("{outcome:?}");
                self.log_order("grant", instance, grant.span, grant.fence, &outcome);
            }
        }
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(connection) = connection {
            leadership.connections.check_in(instance, connection);
        }
        let Some(planner) = leadership.planners.get_mut(service) else { return };
        if planner.record_grants(instance, results, now) {
            self.read_rows(now);
        }
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
        self.plan(now);
    }

    /// Writes a map on the condition that neither it nor the leadership record has changed.
    fn write_map(&self, service: Service, map: &Map) {
        let planner =
            self.leadership.as_ref().and_then(|leadership| leadership.planners.get(&service));
        let Some(row_version) = planner.map(Planner::row_version) else { return };
        let era = self.store.era();
        let writes = [
            Write {
                table: Table::Entries,
                key: LEADERSHIP_KEY.into(),
                // A record of an earlier era is not enough, so the write waits for a new one.
                expected: self.leadership_version,
                // Only the version is compared; the row stays.
                value: None,
            },
            Write {
                table: Table::Maps,
                key: service.as_str().into(),
                expected: row_version,
                value: Some(map.to_bytes(era)),
            },
        ];
        self.log_plan(&service, map, "writing");
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = match store.commit(&writes).await {
                // The row says that it was written in the era before.
                Commit::Committed(version) if version.era() != era => Commit::Ambiguous,
                commit => commit,
            };
            send(&inputs, Input::MapWritten { service, commit }).await;
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
    /// committed.
    pub(super) fn handle_map_written(&mut self, service: &Service, commit: Commit, now: Tick) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(planner) = leadership.planners.get_mut(service) else { return };
        planner.record_write(match commit {
            Commit::Committed(version) => WriteOutcome::Committed(version),
            Commit::Refused => WriteOutcome::Refused,
            Commit::Conflict | Commit::Ambiguous => WriteOutcome::Unknown,
        });
        let map = planner.map().clone();
        self.log_plan(service, &map, &format!("{commit:?}"));
        if let Commit::Committed(_) = commit {
            let base = self.maps.get(service).map_or(Version::ZERO, |map| map.version);
            let delta = map.delta(base);
            self.apply_map(service.clone(), map);
            // New holders get their grants without waiting for the next tick.
            self.plan(now);
            self.push_delta(MapDelta { service: service.clone(), delta });
        } else {
            self.read_rows(now);
        }
    }

    /// Records what an entry observed: crash reports, ended instances, load and latencies.
    pub(super) fn record_report(&mut self, report: &Report, now: Tick) {
        for crash_report in &report.crash_reports {
            self.shared.quarantine().record_crash(*crash_report, Instant::now());
            self.crash_reports
                .push_back(super::RecentCrash { report: *crash_report, recorded_at: now });
        }
        let Some(leadership) = &mut self.leadership else { return };
        for instance in &report.ended_instances {
            leadership
                .planners
                .values_mut()
                .for_each(|planner| planner.record_instance_end(instance));
        }
        for load in &report.load {
            let Some(planner) = leadership.planners.get_mut(&load.service) else { continue };
            for count in &load.keys {
                planner.load_mut().record_requests(count.key, count.requests);
            }
        }
        for stats in &report.latencies {
            if let Some(planner) = leadership.planners.get_mut(&stats.service) {
                let seconds = stats.mean_ms as f64 / 1_000.0;
                planner.load_mut().record_service_time(&stats.instance, seconds);
            }
        }
    }

    /// Records the report of another entry and returns what is newer here.
    pub(super) fn handle_report(&mut self, report: &Report, now: Tick) -> Reply {
        self.record_report(report, now);
        self.record_heard_limits(report, now);
        let resigning = self.is_store_unavailable(now);
        let leads = self.leadership.is_some();
        if let Some(leadership) = &mut self.leadership {
            leadership.last_report_at.insert(report.vm.clone(), now);
        }
        if let Some(routing) = report.newer_routing.clone() {
            self.apply_routing(routing, "from a report");
        }
        let targets = (report.wants_targets && !resigning).then(|| {
            let registered = self.registry.targets().filter(|target| target.is_registered());
            registered
                .map(|target| VersionedRegistration {
                    registration: target.registration.clone(),
                    version: target.version,
                    leaving_for_ms: self.registry.leaving_for(target, now).as_millis() as u64,
                })
                .collect()
        });
        let (limits, limit_revision) = self.limits_for(report.limit_revision, now);
        Reply {
            leads,
            resigning,
            entries: self.entry_count,
            routing: self.newer_routing(report.routing),
            routing_version: self.routing.as_ref().map_or(Version::ZERO, |routing| routing.version),
            maps: self.maps_newer_than(&report.maps),
            targets,
            crash_reports: self.crash_reports.iter().map(|recent| recent.report).collect(),
            limits,
            limit_revision,
            coordinated_fraction: self
                .leadership
                .as_ref()
                .map_or(1.0, |leadership| leadership.coordinated_fraction),
        }
    }
}
