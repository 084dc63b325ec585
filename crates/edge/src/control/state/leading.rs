//! The work of the leader: planning who holds which keys.
//!
//! The planners of crate `hold` decide, and module `ordering` carries out what they decide. The
//! leader acts only under the leadership lease, which a full read of the rows extends. All calls
//! run as tasks of the control thread and report through its input queue, so no slow target or
//! store delays the others.

use {
    super::{
        State,
        granting::{GrantCounts, GrantsLine},
        recovery::Recovery,
    },
    crate::control::{
        feeds::send,
        input::Input,
        message::Announcement,
        orders,
        records::{LEADERSHIP_KEY, LeadershipRecord},
    },
    hold::{Action, Connections, Map, Planner, map::Format, moves::Move, planner},
    key::{Service, Vm, clock::Tick},
    member::Presence,
    platform::{
        order::Connection,
        store::{Rows, Table},
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// The time for which the leader may renew grants after the store last confirmed its leadership. A
/// successor waits for this lease to run out before it reassigns keys that the former leader may
/// still be renewing.
pub(super) const LEADERSHIP_LEASE: Duration = Duration::from_secs(15);

/// The time after the store last confirmed the leadership within which grants go over new
/// connections. Later a successor may have granted keys to the target, and the target may have
/// restarted: it then does not remember the successor's fences.
pub(super) const CONNECT_LEASE: Duration = Duration::from_millis(800);

/// The time between two reads by which the leader confirms its leadership.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(2_500);

/// The time between two renewals of a grant.
const GRANT_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The time that an order may still be in flight after its connection was closed.
pub(super) const IN_FLIGHT_MARGIN: Duration = Duration::from_millis(400);

/// The time without a newly registered target before keys are assigned for the first time. It lets
/// the targets of a starting fleet register before the first map is planned.
const INITIAL_ASSIGNMENT_DELAY: Duration = Duration::from_millis(1_200);

/// The time between two beginnings of moves of keys for balance in a large fleet. With the ticks of the
/// control thread, the map of a service is then written some five times a second while keys move.
const MOVE_INTERVAL: Duration = Duration::from_millis(150);

/// The time between two journal lines that summarize each planner.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// What the leader remembers of an entry's last report.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    pub(super) at: Tick,
    /// The share of targets that the entry does not reach, in percent.
    pub(super) unreached_percent: u8,
}

/// The state that only the leader keeps.
pub(super) struct Leadership {
    pub(super) started_at: Tick,
    /// When the last successful confirmation was sent; the leadership lease starts here.
    pub(super) confirmed_at: Tick,
    /// When the confirmation in flight was sent.
    confirmation_sent_at: Option<Tick>,
    /// Whether all rows have been read since this process became the leader.
    has_read_rows: bool,
    summary_logged_at: Tick,
    pub(super) planners: BTreeMap<Service, Planner>,
    /// The former leaders that may still renew grants; `None` if they are not known.
    unconfirmed_leaders: Option<BTreeSet<Vm>>,
    /// Since when none of them does.
    former_leaders_ended_at: Option<Tick>,
    /// What this process does about changes that the store may have lost.
    pub(super) recovery: Recovery,
    /// The connections over which targets get grants.
    pub(super) connections: Connections<Connection>,
    /// What came of the grants since the last journal line about them.
    pub(super) grant_counts: GrantCounts,
    /// The last report of each other entry.
    pub(super) last_reports: HashMap<Vm, LastReport>,
    /// The rate limits of targets, as the other entries are told.
    pub(super) limits: limit::Board,
    /// The fraction of each limit that coordinators hand out.
    pub(super) coordinated_fraction: f64,
    /// The moves of keys that the other entries were told last, and how often they were.
    pub(super) told_moves: BTreeMap<Service, Vec<Move>>,
    pub(super) announcements: u64,
}

/// The journal line with the summary of a planner.
#[derive(Serialize)]
struct BalanceLine<'a> {
    service: &'a Service,
    #[serde(flatten)]
    summary: planner::Summary,
}

impl Leadership {
    /// Drops the planners, whose ledgers lack the grants of another leader. That leader is not
    /// among the former ones that this process knew when it took over.
    pub(super) fn start_over(&mut self, now: Tick) {
        self.planners.clear();
        self.started_at = now;
        self.unconfirmed_leaders = None;
        self.former_leaders_ended_at = None;
    }

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
        self.outbox.discard_waiting();
        let former = self.leadership_record.as_ref().and_then(|record| record.former.clone());
        self.leadership = Some(Leadership {
            started_at: now,
            confirmed_at: now,
            confirmation_sent_at: None,
            has_read_rows: false,
            summary_logged_at: now,
            planners: BTreeMap::new(),
            unconfirmed_leaders: former.map(|former| former.into_iter().collect()),
            former_leaders_ended_at: None,
            recovery: Recovery::default(),
            connections: Connections::default(),
            grant_counts: GrantCounts::default(),
            last_reports: HashMap::new(),
            limits: limit::Board::default(),
            coordinated_fraction: 1.0,
            told_moves: BTreeMap::new(),
            announcements: 0,
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
            let stored = self.stored_maps.get(service).cloned();
            planner.record_row(stored.map(|stored| (stored.map, stored.row_version)));
        }
        if !is_confirmed && !self.campaigning {
            self.campaign(now);
        }
    }

    /// Records that a former leader renews no grants any more. Once that is true of all of them,
    /// keys of lost targets need not wait for the end of their leases.
    pub(super) fn confirm_former_leader(&mut self, vm: &Vm, now: Tick) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(unconfirmed) = &mut leadership.unconfirmed_leaders else { return };
        unconfirmed.remove(vm);
        if !unconfirmed.is_empty() || leadership.former_leaders_ended_at.is_some() {
            return;
        }
        leadership.former_leaders_ended_at = Some(now);
        for planner in leadership.planners.values_mut() {
            planner.record_former_leaders_ended(now);
        }
        self.log_belief(LEADERSHIP_KEY, self.leadership_version, "no former leader renews grants");
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
        // An earlier process of this VM has ended, and an earlier leadership of this process with
        // its last batch.
        if self.grant_batches == 0 {
            let own_vm = self.me.vm.clone();
            self.confirm_former_leader(&own_vm, now);
        }
        let Some(leadership) = &mut self.leadership else { return };
        let needs_row = leadership.planners.values().any(Planner::needs_row);
        let confirmation_due = now.since(leadership.confirmed_at) >= CONFIRMATION_INTERVAL;
        let has_read_rows = leadership.has_read_rows;
        let entry_count = self.live_reports(now).count() + 1;
        if entry_count != self.entry_count {
            self.entry_count = entry_count;
            self.dirty = true;
        }
        if needs_row || confirmation_due || !has_read_rows {
            self.read_rows(now);
        }
        self.check_routing(now);
        self.update_limits(now);
        self.remove_gone_members(now);
        self.store_suspects(now);
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
        let format = self.map_format(now);
        let move_interval = self.move_interval();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.planners.values_mut().for_each(|planner| {
            planner.set_format(format);
            planner.set_move_interval(move_interval);
        });
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
            let counts = std::mem::take(&mut leadership.grant_counts);
            let waiting = self.outbox.waiting();
            self.shared.journal.log("grants", &GrantsLine { waiting, counts });
            for (service, planner) in &leadership.planners {
                let summary = planner.summary(registry, now);
                self.shared.journal.log("balance", &BalanceLine { service, summary });
            }
        }
        for (service, actions) in actions_by_service {
            self.execute(&service, actions);
            self.announce_moves(&service, now);
        }
        self.begin_grants(now);
    }

    /// Returns the time between two beginnings of moves for balance, which is zero in a small fleet.
    fn move_interval(&self) -> Duration {
        let zones = self.members.iter().map(|(_, member)| &member.zone);
        if member::has_followers(zones) { MOVE_INTERVAL } else { Duration::ZERO }
    }

    /// Returns the newest form of stored maps that every entry can read, but those that are gone.
    fn map_format(&self, now: Tick) -> Format {
        let counts = |vm: &Vm| self.presence(vm, now) < Presence::Gone;
        let others = self.members.iter().filter(|(vm, _)| **vm != self.me.vm && counts(vm));
        others.map(|(_, member)| member.map_format).min().unwrap_or(Format::Parts)
    }

    /// Adds a planner for each keyed service that has none.
    fn add_planners(&mut self) {
        let Some(routing) = self.routing.routing().cloned() else { return };
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
                let stored = self.stored_maps.get(&service.name).cloned();
                planner.record_row(stored.map(|stored| (stored.map, stored.row_version)));
                if let Some(ended_at) = leadership.former_leaders_ended_at {
                    planner.record_former_leaders_ended(ended_at);
                }
                planner
            });
        }
    }
}
