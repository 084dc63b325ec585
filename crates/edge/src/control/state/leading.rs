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
        Action, Life, Links, Map, Planner, Span, links,
        planner::{self, Grant, Outcome, Written},
    },
    key::{Fence, Service, Version, Vm, clock::Tick},
    platform::{
        order::Link,
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
    links: Links<Link>,
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
            links: Links::default(),
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
                planner.read(Map::clone(map));
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
            let Ok(own) = store.read(Table::Own).await else { return };
            let Ok(maps) = store.read(Table::Maps).await else { return };
            let own = Some((own.rows, now));
            send(&inputs, Input::Maps { rows: maps.rows, own }).await;
        });
    }

    /// Does the leader's work.
    pub(super) fn lead(&mut self, now: Tick) {
        let Some(leading) = &mut self.leading else { return };
        let unread = leading.planners.values().any(Planner::wants_reading);
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
        for life in leading.links.take_ended(|link| !link.is_closed()) {
            leading.planners.values_mut().for_each(|planner| planner.doubt(&life, now));
        }
        let registry = &self.registry;
        let steps: Vec<(Service, Vec<Action>)> = leading
            .planners
            .iter_mut()
            .map(|(service, planner)| (service.clone(), planner.step(registry, now)))
            .collect();
        if now.since(leading.summed) >= SUM_EVERY {
            leading.summed = now;
            for (service, planner) in &leading.planners {
                let summary = planner.summary(registry, now);
                self.shared.journal.note("balance", &Balance { service, summary });
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
            hold: self.shared.settings.hold.as_duration(),
            renew: RENEW_EVERY,
            order_timeout: orders::GRANT_TIMEOUT,
            margin: MARGIN,
            right: RIGHT,
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
            Action::Grant { life, address, grants } => self.grant(service, life, address, grants),
            Action::Release { life, address, span, fence } => {
                self.note_order("release", &life, span, fence, "sent");
                let inputs = self.inputs.clone();
                tokio::task::spawn_local(async move {
                    let result = orders::release(&life, address, span, fence).await;
                    send(&inputs, Input::Released { service, life, span, result }).await;
                });
            }
            Action::Write(map) => self.write(service, &map, now),
        }
    }

    fn note_order(&self, order: &str, life: &Life, span: Span, fence: Fence, outcome: &str) {
        self.shared.journal.note(
            "order",
            &Ordered {
                order,
                target: life.vm.as_str(),
                born: life.born,
                first: span.first,
                last: span.last,
                fence: fence.get(),
                outcome,
            },
        );
    }

    fn grant(&mut self, service: Service, life: Life, address: SocketAddr, grants: Vec<Grant>) {
        let Some(leading) = &mut self.leading else { return };
        let way = match leading.links.take(&life, |link| !link.is_closed()) {
            links::Way::Open(link) => Way::Open(link),
            links::Way::Fresh => Way::Fresh,
            links::Way::Ended => {
                let unsent: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                if let Some(planner) = leading.planners.get_mut(&service) {
                    planner.granted(&life, &unsent, Tick::now());
                }
                return;
            }
        };
        let (hold, inputs) = (self.shared.settings.hold.as_duration(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (results, link) = orders::grant(way, &life, address, hold, grants).await;
            send(&inputs, Input::Granted { service, life, results, link }).await;
        });
    }

    pub(super) fn take_granted(
        &mut self,
        service: &Service,
        life: &Life,
        results: &[(Grant, Outcome)],
        link: Option<Link>,
        now: Tick,
    ) {
        for (grant, outcome) in results {
            if *outcome != Outcome::Granted {
                let outcome = format!("{outcome:?}");
                self.note_order("grant", life, grant.span, grant.fence, &outcome);
            }
        }
        let Some(leading) = &mut self.leading else { return };
        if let Some(link) = link {
            leading.links.give_back(life, link);
        }
        let Some(planner) = leading.planners.get_mut(service) else { return };
        if planner.granted(life, results, now) {
            self.read_own(now);
        }
    }

    pub(super) fn take_released(
        &mut self,
        service: &Service,
        life: &Life,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
        now: Tick,
    ) {
        let outcome = format!("{:?}", result.as_ref().map(Option::is_some));
        self.note_order("released", life, span, Fence::ZERO, &outcome);
        let Some(leading) = &mut self.leading else { return };
        if let Some(planner) = leading.planners.get_mut(service) {
            planner.released(life, span, result);
        }
        // Nobody holds these keys until they are given on.
        self.plan(now);
    }

    fn write(&self, service: Service, map: &Map, _now: Tick) {
        let writes = [
            Write {
                table: Table::Own,
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
        self.shared.journal.note(
            "plan",
            &Planned {
                service: service.as_str(),
                version: map.version.get(),
                holdings: map.holdings.len(),
                holders: map.holders.len(),
                outcome,
            },
        );
    }

    pub(super) fn take_written(&mut self, service: &Service, commit: Commit, now: Tick) {
        let Some(leading) = &mut self.leading else { return };
        let Some(planner) = leading.planners.get_mut(service) else { return };
        planner.written(match commit {
            Commit::Committed(version) => Written::Done(version),
            Commit::Refused => Written::Refused,
            Commit::Conflict | Commit::Ambiguous => Written::Unknown,
        });
        let map = planner.map().clone();
        self.note_plan(service, &map, &format!("{commit:?}"));
        if let Commit::Committed(_) = commit {
            let base = self.maps.get(service).map_or(Version::ZERO, |map| map.version);
            let change = map.change(base);
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
            self.shared.quarantine().strike(*strike, Instant::now());
            self.strikes.push_back(super::Fresh { strike: *strike, since: now });
        }
        let Some(leading) = &mut self.leading else { return };
        for life in &report.ended {
            leading.planners.values_mut().for_each(|planner| planner.end(life));
        }
        for load in &report.load {
            let Some(planner) = leading.planners.get_mut(&load.service) else { continue };
            for count in &load.keys {
                planner.load().add(count.key, count.requests);
            }
        }
        for answers in &report.answers {
            if let Some(planner) = leading.planners.get_mut(&answers.service) {
                let seconds = answers.mean_ms as f64 / 1_000.0;
                planner.load().observe(&answers.life, seconds);
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
            let listed = self.registry.all().filter(|known| known.is_listed());
            listed
                .map(|known| Listed {
                    listing: known.listing.clone(),
                    version: known.version,
                    left_ms: self.registry.left_for(known, now).as_millis() as u64,
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
