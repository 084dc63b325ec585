//! The state of the control thread, and how each input changes it.
//!
//! Every input is handled to its end before the next, without waiting; calls to the store, to peers
//! and to targets run as tasks that send their results back as inputs. Whatever changes for traffic
//! marks the snapshot as outdated, and one new snapshot is published after the input.

mod announcing;
mod campaigning;
mod evacuating;
mod following;
pub(crate) mod granting;
mod leading;
mod limiting;
mod membership;
mod ordering;
mod publishing;
mod recovery;
mod registering;
pub(crate) mod relaying;
mod reporting;
mod routes;
mod rows;
mod suspects;
mod tables;
mod warming;

use {
    crate::{
        control::{
            feeds::send,
            input::Input,
            message::{Hello, LimitRevision},
            peers::Peers,
            records::{LeadershipRecord, Member, SUSPECTS_KEY, member_key},
        },
        shared::Shared,
        snapshot::TargetPool,
    },
    evacuating::{Answer, Logged},
    granting::GrantBatch,
    hold::{
        Election, Map, Outbox, Registry,
        map::{Format, Stored},
        recovery::EraClock,
        routing,
    },
    key::{Era, Process, Service, Version, Zone, clock::Tick},
    leading::Leadership,
    member::Roster,
    platform::Store,
    relaying::Relay,
    route::CrashLog,
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    suspects::StoredSuspects,
    tables::RelayedTables,
    tokio::sync::mpsc::Sender,
};

/// The time without an answer of the store after which it counts as unavailable.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The time after the end of a grace period for which each tick still publishes a new snapshot. A
/// target that is missing from the registry counts as leaving once its grace period ends, and no
/// input reports that end.
const GRACE_PERIOD_TAIL: Duration = Duration::from_millis(500);

/// The journal line about a change in what this process knows, or a row that it cannot use.
#[derive(Serialize)]
struct BeliefLine<'a> {
    subject: &'a str,
    version: u64,
    detail: &'a str,
}

/// The state of the control thread.
pub(crate) struct State {
    me: Process,
    shared: Arc<Shared>,
    store: Store,
    inputs: Sender<Input>,
    peers: Peers,
    routing: routing::Replica,
    /// The version of the store up to which the operators' table has been read.
    operator_rows_version: Version,
    /// Whether the newest routing configuration of the store cannot be read.
    routing_unreadable: bool,
    /// When the leader last asked the store whether the routing configuration is the newest one.
    routing_checked_at: Tick,
    registry: Registry,
    /// What this entry passes on of the registry.
    relay: Relay,
    /// The evacuations of availability zones that were logged.
    logged_evacuations: BTreeMap<Zone, Logged>,
    /// What this entry passes on of other tables.
    tables: RelayedTables,
    /// When the registry last gained a target.
    registry_grew_at: Option<Tick>,
    maps: BTreeMap<Service, Arc<Map>>,
    /// When this process learned of each of them.
    maps_learned_at: BTreeMap<Service, Tick>,
    members: Roster<Member>,
    /// Whether rows of entries that are gone are being removed, and when that last began.
    removal_in_flight: bool,
    rows_removed_at: Tick,
    leadership_record: Option<LeadershipRecord>,
    /// The version that the newest record got when it was written.
    leadership_version: Version,
    /// The version that the record has in the store, which a write has to expect.
    leadership_row: Version,
    /// The maps as they are stored, as far as this process knows.
    stored_maps: BTreeMap<Service, Stored>,
    /// The era of the store, and the one in which this process first heard from it.
    era: Era,
    first_era: Option<Era>,
    /// How old the era is by the store's clock.
    era_clock: EraClock,
    /// When this process learned of the leader.
    leadership_learned_at: Tick,
    /// The number of batches of grants that are under way.
    grant_batches: usize,
    /// The grants that wait to be sent.
    outbox: Outbox<GrantBatch>,
    /// Whether a round of planning is due shortly.
    plan_due: bool,
    /// The version of the newest leadership record of earlier eras.
    former_leadership_version: Version,
    /// Whether this entry's own row is being written.
    joining: bool,
    /// Whether the table of entries has been read in full since the start.
    entries_read: bool,
    election: Election,
    /// Whether the leader cannot reach the store and asked to be replaced.
    resigning: bool,
    /// Whether a write of the leadership record is in flight.
    campaigning: bool,
    /// Present while this process leads.
    leadership: Option<Leadership>,
    /// The number of entries that report to the leader, the leader included.
    entry_count: usize,
    store_available: bool,
    reported_at: Tick,
    report_in_flight: bool,
    map_read_in_flight: bool,
    maps_polled_at: Tick,
    /// The crash reports that are still passed on.
    crash_log: CrashLog,
    /// What is stored of the requests that are refused.
    stored_suspects: StoredSuspects,
    /// Whether the leader has told this process which requests are refused.
    has_leader_told: bool,
    /// The newest revision of rate limits that the leader has told this entry.
    limit_revision: LimitRevision,
    pool: TargetPool,
    /// The other entries, as targets of requests that are passed on.
    relays: TargetPool,
    /// Whether the published snapshot is outdated.
    dirty: bool,
}

impl State {
    pub(super) fn new(
        me: Process,
        shared: Arc<Shared>,
        store: Store,
        inputs: Sender<Input>,
        relay: Relay,
    ) -> Self {
        let now = Tick::now();
        let peers = Peers::new(shared.pace());
        Self {
            me,
            shared,
            store,
            inputs,
            peers,
            routing: routing::Replica::default(),
            operator_rows_version: Version::ZERO,
            routing_unreadable: false,
            routing_checked_at: Tick::default(),
            registry: Registry::default(),
            relay,
            logged_evacuations: BTreeMap::new(),
            tables: RelayedTables::default(),
            registry_grew_at: None,
            maps: BTreeMap::new(),
            maps_learned_at: BTreeMap::new(),
            members: Roster::default(),
            removal_in_flight: false,
            rows_removed_at: Tick::default(),
            leadership_record: None,
            leadership_version: Version::ZERO,
            leadership_row: Version::ZERO,
            stored_maps: BTreeMap::new(),
            era: Era::ZERO,
            first_era: None,
            era_clock: EraClock::default(),
            leadership_learned_at: now,
            grant_batches: 0,
            outbox: Outbox::default(),
            plan_due: false,
            former_leadership_version: Version::ZERO,
            joining: false,
            entries_read: false,
            election: Election::new(now),
            resigning: false,
            campaigning: false,
            leadership: None,
            entry_count: 1,
            store_available: true,
            reported_at: now,
            report_in_flight: false,
            map_read_in_flight: false,
            maps_polled_at: Tick::default(),
            crash_log: CrashLog::default(),
            stored_suspects: StoredSuspects::default(),
            has_leader_told: false,
            limit_revision: LimitRevision::default(),
            pool: TargetPool::default(),
            relays: TargetPool::default(),
            dirty: false,
        }
    }

    /// Starts the task that writes this entry's row, and repeats it until the store has committed
    /// it.
    pub(crate) fn join(&mut self) {
        self.joining = true;
        let settings = &self.shared.settings;
        let member = Member {
            incarnation: self.me.incarnation,
            address: settings.peer_listen,
            zone: settings.zone.clone(),
            power: settings.power,
            relay: settings.relay_listen,
            map_format: Format::Parts,
        };
        let key = member_key(&self.me.vm);
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            following::write_member(&store, key, &member).await;
            send(&inputs, Input::MemberWritten).await;
        });
    }

    /// Handles an input, then publishes a new snapshot if one is needed.
    pub(crate) fn handle(&mut self, input: Input, now: Tick) {
        self.observe_era(now);
        match input {
            Input::Tick => self.handle_tick(now),
            Input::OperatorRows { rows, complete, changed_at, at } => {
                let answer = Answer { complete, changed_at, newest_at: at };
                self.handle_operator_rows(&rows, answer, now);
                self.answer_registry_queries(now);
            }
            Input::RoutingFetched { routing } => {
                self.handle_fetched_routing(routing, now);
                self.answer_registry_queries(now);
            }
            Input::TargetRows { rows, complete, changed_at, given_at } => {
                self.registry.record_answer(given_at);
                self.registry.record_era(rows.version.era(), now);
                self.relay.record_read(rows.version, complete, given_at);
                self.relay.is_direct = true;
                self.apply_target_rows(rows, complete, changed_at, now);
                self.answer_registry_queries(now);
            }
            Input::RegistryUpdate { reader, update, answered_at } => {
                self.apply_registry_update(&reader, update, answered_at, now);
                self.answer_registry_queries(now);
            }
            Input::RegistryQuery { query, reply_to } => {
                self.handle_registry_query(query, reply_to, now);
            }
            Input::TargetsUnavailable => {
                self.registry.record_failure(now);
                self.relay.record_outage();
                self.answer_registry_queries(now);
            }
            Input::EntryRows { rows, complete } => {
                self.handle_entry_rows(&rows, complete, now);
                self.answer_registry_queries(now);
            }
            Input::TableUnavailable { table } => self.tables.record_failure(table),
            Input::MapRows { rows, entries } => self.apply_map_rows(&rows, entries, now),
            Input::MapRowsUnavailable => self.map_read_in_flight = false,
            Input::MemberWritten => self.joining = false,
            Input::SuspectsWritten { suspects, commit } => {
                self.stored_suspects.record_write(&suspects, commit);
                self.log_belief(SUSPECTS_KEY, Version::ZERO, &format!("{commit:?}"));
            }
            Input::MembersRemoved { commit } => {
                self.removal_in_flight = false;
                self.log_belief("members", Version::ZERO, &format!("{commit:?}"));
                // The feed brings the rows as they are now.
            }
            Input::KnowledgeCollected { era, answers } => self.handle_knowledge(era, answers, now),
            Input::Knowledge { query, reply_to } => {
                if reply_to.send(self.knowledge_for(&query)).is_err() {
                    self.shared.counters.count("replies", "too late");
                }
            }
            Input::MapDelta(delta) => self.apply_map_delta(&delta),
            Input::KeyMoves(moves) => self.apply_moves(moves, now),
            Input::CampaignResult { record, commit } => {
                self.handle_campaign_result(record, commit, now);
            }
            Input::PollResult { unresponsive, any_responsive } => {
                self.election.record_poll(unresponsive, any_responsive, self.entry_count, now);
            }
            Input::MapWritten { service, replacement, commit, sent_at } => {
                self.handle_map_written(&service, replacement, commit, sent_at, now);
            }
            Input::GrantResults { batch, connection } => {
                self.handle_grant_results(batch, connection, now);
            }
            Input::PlanDue => self.handle_plan_due(now),
            Input::ReleaseResult { service, instance, span, result } => {
                self.handle_release_result(&service, &instance, span, result, now);
            }
            Input::LeaderAnnounced { record, version } => {
                self.apply_leadership(record, self.with_era(version), now);
            }
            Input::Report { report, reply_to } => {
                let reply = self.handle_report(&report, now);
                // A peer whose call timed out reports again.
                if reply_to.send(reply).is_err() {
                    self.shared.counters.count("replies", "too late");
                }
            }
            Input::Hello { reply_to } => {
                let is_leader_responsive = self.leadership.is_some()
                    || (self.leadership_record.is_some()
                        && !self.election.is_leader_unresponsive(now));
                let reads_store = Some(self.relay.reads_store());
                if reply_to.send(Hello { is_leader_responsive, reads_store }).is_err() {
                    self.shared.counters.count("replies", "too late");
                }
            }
            Input::LeaderReplied { leader, reply } => self.handle_reply(&leader, reply, now),
        }
        if self.dirty {
            self.publish(now);
        }
    }

    /// Runs the periodic work: expires old state, leads or follows, and reports.
    fn handle_tick(&mut self, now: Tick) {
        self.update_store_availability(now);
        self.registry.expire(now);
        self.crash_log.expire(now);
        if self.leadership.is_some() {
            self.run_leader(now);
        } else {
            self.run_follower(now);
        }
        self.answer_registry_queries(now);
        self.update_followed(now);
        self.dirty |= self.members.expire(now);
        self.expire_limits(now);
        self.expire_warmups(now);
        self.collect_leaving_instances();
        self.watch_evacuations(now);
        self.fetch_routing(now);
        self.send_report(now);
        self.dirty |= self.registry.has_grace_period_within(GRACE_PERIOD_TAIL, now);
    }

    /// Logs when the store becomes unavailable, and when it answers again.
    fn update_store_availability(&mut self, now: Tick) {
        let available = !self.is_store_unavailable(now);
        if available != self.store_available {
            self.store_available = available;
            self.log_belief(
                "store",
                Version::ZERO,
                if available { "answers again" } else { "silent" },
            );
            if available {
                self.read_rows_anew(now);
            }
        }
    }

    /// Returns true if the store has not answered this process for the store timeout.
    fn is_store_unavailable(&self, now: Tick) -> bool {
        self.registry.unavailable_for(now) >= STORE_TIMEOUT
    }

    fn log_belief(&self, subject: &str, version: Version, detail: &str) {
        self.shared.journal.log("belief", &BeliefLine { subject, version: version.get(), detail });
    }
}
