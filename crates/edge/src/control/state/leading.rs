//! Leading: planning who holds which keys, and keeping the grants alive.

use {
    super::State,
    crate::control::{
        feeds::send,
        input::Input,
        lead::LEAD_KEY,
        orders::{self, Way},
        peers::{Announcement, Listed, NewChange, NewMap, Reply, Report},
    },
    hold::{
        Action, Connections, Instance, Map, Planner, Span, connections,
        planner::{self, Grant, Outcome, WriteOutcome},
    },
    key::{Fence, Service, Version, Vm, clock::Tick},
    platform::{
        order::Connection,
        store::{Commit, Table, Write},
    },
    serde::Serialize,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The time for which the leader may renew grants after the store last confirmed that it leads. A
/// successor counts on it.
const RIGHT: Duration = Duration::from_secs(15);

/// The time between two confirmations.
const CONFIRM_EVERY: Duration = Duration::from_millis(2_500);

/// The time between two renewals of a grant.
const RENEW_EVERY: Duration = Duration::from_millis(1_500);

/// The allowance for orders on their way when their connection is given up.
const MARGIN: Duration = Duration::from_millis(400);

/// The time without a new target after which keys are given out for the first time.
const GATHER: Duration = Duration::from_millis(1_200);

/// The time between two lines of the log on the state of the planners.
const SUM_EVERY: Duration = Duration::from_secs(1);

/// The silence after which an entry is no longer counted.
const ENTRY_SILENCE: Duration = Duration::from_secs(3);

/// What only the leader has.
pub(super) struct Leading {
    since: Tick,
    confirmed: Tick,
    confirming: Option<Tick>,
    /// Whether all rows have been read since this process leads.
    ready: bool,
    /// When the state of the planners was last logged.
    summed: Tick,
    planners: BTreeMap<Service, Planner>,
    links: Connections<Connection>,
    reports: HashMap<Vm, Tick>,
}

#[derive(Serialize)]
struct Ordered<'a> {
    order: &'a str,
    target: &'a str,
    born: u64,
    first: u16,
    last: u16,
    fence: u64,
    outcome: &'a str,
}

#[derive(Serialize)]
struct Balance<'a> {
    service: &'a Service,
    #[serde(flatten)]
    summary: planner::Summary,
}

#[derive(Serialize)]
struct Planned<'a> {
    service: &'a str,
    version: u64,
    holdings: usize,
    holders: usize,
    outcome: &'a str,
}

impl State {
    pub(super) fn begin_to_lead(&mut self, now: Tick) {
        self.believe(LEAD_KEY, self.lead_version, "this process");
        self.resigning = false;
        self.leading = Some(Leading {
            since: now,
            confirmed: now,
            confirming: None,
            ready: false,
            summed: now,
            planners: BTreeMap::new(),
            links: Connections::default(),
            reports: HashMap::new(),
        });
        self.read_own(now);
    }

    /// Tells all other entries that this process leads; those that cannot be reached read it.
    pub(super) fn announce_lead(&self) {
        let Some(lead) = self.lead.clone() else { return };
        let announcement = Announcement { lead, version: self.lead_version };
        let (peers, others) = (self.peers.clone(), self.others());
        tokio::task::spawn_local(async move { peers.announce(others, &announcement).await });
    }

    fn others(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(vm, _)| **vm != self.me.vm);
        others.map(|(_, member)| member.address).collect()
    }

    /// Notes that a whole reading of the rows, asked for at `asked`, still names this process.
    pub(super) fn confirm_lead(&mut self, asked: Tick) {
        let Some(leading) = &mut self.leading else { return };
        leading.confirming = None;
        if asked < leading.since {
            return;
        }
        leading.confirmed = leading.confirmed.max(asked);
        leading.ready = true;
        for (service, planner) in &mut leading.planners {
            if let Some(map) = self.maps.get(service) {
                planner.record_row(Map::clone(map));
            }
        }
    }

    fn read_own(&mut self, now: Tick) {
        const PATIENCE: Duration = Duration::from_secs(2);
        let Some(leading) = &mut self.leading else { return };
        if leading.confirming.is_some_and(|since| now.since(since) < PATIENCE) {
            return;
        }
        leading.confirming = Some(now);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            // Without an answer the leader asks again before long.
            let Ok(own) = store.read(Table::Entries).await else { return };
            let Ok(maps) = store.read(Table::Maps).await else { return };
            let own = Some((own.rows, now));
            send(&inputs, Input::Maps { rows: maps.rows, own }).await;
        });
    }

    /// Does the leader's work.
    pub(super) fn lead(&mut self, now: Tick) {
        let Some(leading) = &mut self.leading else { return };
        let unread = leading.planners.values().any(Planner::needs_row);
        let unconfirmed = now.since(leading.confirmed) >= CONFIRM_EVERY;
        let ready = leading.ready;
        leading.reports.retain(|_, at| now.since(*at) < ENTRY_SILENCE);
        let entries = leading.reports.len() + 1;
        if entries != self.entries {
            self.entries = entries;
            self.dirty = true;
        }
        if unread || unconfirmed || !ready {
            self.read_own(now);
        }
        self.plan(now);
    }

    /// Tells whether this process may order anything now.
    fn has_right(&self, now: Tick) -> bool {
        let gathered =
            !self.maps.is_empty() || self.list_grew.is_some_and(|grew| now.since(grew) >= GATHER);
        let confirmed = self
            .leading
            .as_ref()
            .is_some_and(|leading| leading.ready && now.since(leading.confirmed) < RIGHT);
        gathered && confirmed
    }

    fn plan(&mut self, now: Tick) {
        if !self.has_right(now) {
            return;
        }
        self.make_planners(now);
        let Some(leading) = &mut self.leading else { return };
        for instance in leading.links.remove_closed(|link| !link.is_closed()) {
            leading
                .planners
                .values_mut()
                .for_each(|planner| planner.record_connection_loss(&instance, now));
        }
        let registry = &self.registry;
        let steps: Vec<(Service, Vec<Action>)> = leading
            .planners
            .iter_mut()
            .map(|(service, planner)| (service.clone(), planner.next_actions(registry, now)))
            .collect();
        if now.since(leading.summed) >= SUM_EVERY {
            leading.summed = now;
            for (service, planner) in &leading.planners {
                let summary = planner.summary(registry, now);
                self.shared.journal.log("balance", &Balance { service, summary });
            }
        }
        for (service, actions) in steps {
            for action in actions {
                self.carry_out(&service, action, now);
            }
        }
    }

    fn make_planners(&mut self, now: Tick) {
        let Some(routing) = self.routing.clone() else { return };
        let config = planner::Config {
            grant_duration: self.shared.settings.hold.as_duration(),
            renewal_interval: RENEW_EVERY,
            grant_timeout: orders::GRANT_TIMEOUT,
            in_flight_margin: MARGIN,
            leadership_lease: RIGHT,
        };
        let Some(leading) = &mut self.leading else { return };
        for service in routing.services.iter().filter(|service| service.keyed) {
            leading.planners.entry(service.name.clone()).or_insert_with(|| {
                let map = self.maps.get(&service.name).map(|map| Map::clone(map));
                Planner::new(service.name.clone(), config, map, now)
            });
        }
    }

    fn carry_out(&mut self, service: &Service, action: Action, now: Tick) {
        let service = service.clone();
        match action {
            Action::Grant { instance, address, grants } => {
                self.grant(service, instance, address, grants);
            }
            Action::Release { instance, address, span, fence } => {
                self.note_order("release", &instance, span, fence, "sent");
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    let result = orders::release(&instance, address, span, fence).await;
                    send(&inputs, Input::Released { service, instance, span, result }).await;
                });
            }
            Action::Write(map) => self.write(service, &map, now),
        }
    }

    fn note_order(
        &self,
        order: &str,
        instance: &Instance,
        span: Span,
        fence: Fence,
        outcome: &str,
    ) {
        self.shared.journal.log(
            "order",
            &Ordered {
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

    fn grant(
        &mut self,
        service: Service,
        instance: Instance,
        address: SocketAddr,
        grants: Vec<Grant>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let way = match leading.links.check_out(&instance, |link| !link.is_closed()) {
            connections::Checkout::Reuse(link) => Way::Open(link),
            connections::Checkout::Connect => Way::Fresh,
            connections::Checkout::Closed => {
                let unsent: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                if let Some(planner) = leading.planners.get_mut(&service) {
                    planner.record_grants(&instance, &unsent, Tick::now());
                }
                return;
            }
        };
        let (hold, inputs) = (self.shared.settings.hold.as_duration(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (results, link) = orders::grant(way, &instance, address, hold, grants).await;
            send(&inputs, Input::Granted { service, instance, results, link }).await;
        });
    }

    pub(super) fn take_granted(
        &mut self,
        service: &Service,
        instance: &Instance,
        results: &[(Grant, Outcome)],
        link: Option<Connection>,
        now: Tick,
    ) {
        for (grant, outcome) in results {
            if *outcome != Outcome::Granted {
                let outcome = format!("{outcome:?}");
                self.note_order("grant", instance, grant.span, grant.fence, &outcome);
            }
        }
        let Some(leading) = &mut self.leading else { return };
        if let Some(link) = link {
            leading.links.check_in(instance, link);
        }
        let Some(planner) = leading.planners.get_mut(service) else { return };
        if planner.record_grants(instance, results, now) {
            self.read_own(now);
        }
    }

    pub(super) fn take_released(
        &mut self,
        service: &Service,
        instance: &Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
        now: Tick,
    ) {
        let outcome = format!("{:?}", result.as_ref().map(Option::is_some));
        self.note_order("released", instance, span, Fence::ZERO, &outcome);
        let Some(leading) = &mut self.leading else { return };
        if let Some(planner) = leading.planners.get_mut(service) {
            planner.record_release(instance, span, result);
        }
        // Nobody holds these keys until they are given on.
        self.plan(now);
    }

    fn write(&self, service: Service, map: &Map, _now: Tick) {
        let writes = [
            Write {
                table: Table::Entries,
                key: LEAD_KEY.into(),
                expected: self.lead_version,
                value: None,
            },
            Write {
                table: Table::Maps,
                key: service.as_str().into(),
                expected: map.version,
                value: Some(map.to_bytes()),
            },
        ];
        self.note_plan(&service, map, "writing");
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let commit = store.commit(&writes).await;
            send(&inputs, Input::Written { service, commit }).await;
        });
    }

    /// Sends a change to all other entries, which would otherwise learn of it with their next report.
    fn push(&self, change: NewChange) {
        let (peers, others) = (self.peers.clone(), self.others());
        tokio::task::spawn_local(async move { peers.push(others, &change).await });
    }

    fn note_plan(&self, service: &Service, map: &Map, outcome: &str) {
        self.shared.journal.log(
            "plan",
            &Planned {
                service: service.as_str(),
                version: map.version.get(),
                holdings: map.assignments.len(),
                holders: map.holders.len(),
                outcome,
            },
        );
    }

    pub(super) fn take_written(&mut self, service: &Service, commit: Commit, now: Tick) {
        let Some(leading) = &mut self.leading else { return };
        let Some(planner) = leading.planners.get_mut(service) else { return };
        planner.record_write(match commit {
            Commit::Committed(version) => WriteOutcome::Committed(version),
            Commit::Refused => WriteOutcome::Refused,
            Commit::Conflict | Commit::Ambiguous => WriteOutcome::Unknown,
        });
        let map = planner.map().clone();
        self.note_plan(service, &map, &format!("{commit:?}"));
        if let Commit::Committed(_) = commit {
            let base = self.maps.get(service).map_or(Version::ZERO, |map| map.version);
            let change = map.delta(base);
            self.adopt_map(service.clone(), map);
            // New holders get their grants at once.
            self.plan(now);
            self.push(NewChange { service: service.clone(), change });
        } else {
            self.read_own(now);
        }
    }

    pub(super) fn take_load(&mut self, report: &Report, now: Tick) {
        for strike in &report.strikes {
            self.shared.quarantine().record_crash(*strike, Instant::now());
            self.strikes.push_back(super::Fresh { strike: *strike, since: now });
        }
        let Some(leading) = &mut self.leading else { return };
        for instance in &report.ended {
            leading.planners.values_mut().for_each(|planner| planner.record_instance_end(instance));
        }
        for load in &report.load {
            let Some(planner) = leading.planners.get_mut(&load.service) else { continue };
            for count in &load.keys {
                planner.load_mut().record_requests(count.key, count.requests);
            }
        }
        for answers in &report.answers {
            if let Some(planner) = leading.planners.get_mut(&answers.service) {
                let seconds = answers.mean_ms as f64 / 1_000.0;
                planner.load_mut().record_service_time(&answers.instance, seconds);
            }
        }
    }

    pub(super) fn take_report(&mut self, report: &Report, now: Tick) -> Reply {
        self.take_load(report, now);
        let resigning = self.is_turned_away(now);
        let leads = self.leading.is_some();
        if let Some(leading) = &mut self.leading {
            leading.reports.insert(report.vm.clone(), now);
        }
        let routing =
            self.routing.as_deref().filter(|routing| routing.version > report.routing).cloned();
        let known = |service: &Service| {
            let known = report.maps.iter().find(|known| known.service == *service);
            known.map_or(Version::ZERO, |known| known.version)
        };
        let maps = self.maps.iter().filter(|(service, map)| map.version > known(service));
        let maps = maps.map(|(service, map)| NewMap {
            service: service.clone(),
            version: map.version,
            map: Map::clone(map),
        });
        let targets = (report.wants_targets && !resigning).then(|| {
            let listed = self.registry.targets().filter(|known| known.is_registered());
            listed
                .map(|known| Listed {
                    registration: known.registration.clone(),
                    version: known.version,
                    left_ms: self.registry.leaving_for(known, now).as_millis() as u64,
                })
                .collect()
        });
        Reply {
            leads,
            resigning,
            entries: self.entries,
            routing,
            maps: maps.collect(),
            targets,
            strikes: self.strikes.iter().map(|fresh| fresh.strike).collect(),
        }
    }
}
