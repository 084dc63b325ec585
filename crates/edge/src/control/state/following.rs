//! The work of a follower: reports to the leader, and what to do when it is unresponsive.
//!
//! A report carries what this entry observed; the reply carries every newer row that the leader
//! knows, so it is the heartbeat of the leader as well. An entry that gets no replies reads the
//! maps from the store and polls its peers whether they still get replies; the election of crate
//! `hold` decides when it campaigns.

use {
    super::State,
    crate::{
        control::{
            feeds::send,
            input::Input,
            message::{DeferralNotice, KeyCount, KeyLoad, LatencyStats, Reply, Report},
            records::Member,
        },
        shared::Deferral,
    },
    hold::{
        Map,
        election::{Verdict, is_better_placed},
    },
    key::{Version, Vm, clock::Tick},
    platform::{
        Store,
        store::{Change, Commit, Table, Write},
    },
    route::crash_log::CrashNotice,
    smol_str::SmolStr,
    std::{collections::BTreeMap, time::Duration},
    tokio::time,
};

/// The time without a leader after which an entry campaigns that reaches no target.
const ISOLATED_CAMPAIGN_DELAY: Duration = Duration::from_secs(4);

/// The time between two reads of the maps, which an entry reads from the store while the leader is
/// unresponsive.
const MAP_POLL_INTERVAL: Duration = Duration::from_millis(800);

/// The time that the first read of the table of entries has, before the maps are read without knowing
/// the leader.
const FIRST_READ_TIME: Duration = Duration::from_millis(300);

/// The time that a fleet has to get its first leader, before an entry reads the maps from the store.
/// Without a leader nobody has written any.
const FIRST_LEADER_TIME: Duration = Duration::from_millis(1_600);

/// The time for which an entry with the least power waits before it campaigns for the first leader
/// of a fleet; more power shortens the wait.
const MAX_INITIAL_CAMPAIGN_DELAY: Duration = Duration::from_millis(800);

/// The time before a failed write of this entry's row is tried again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Writes the row of this entry, and retries until the store has committed it.
pub(super) async fn write_member(store: &Store, key: SmolStr, member: &Member) {
    // Serializing a struct of plain fields cannot fail.
    let value = serde_json::to_vec(member).unwrap_or_default();
    let mut version = Version::ZERO;
    loop {
        let change = Change::Put(value.clone());
        let expected = Some(version);
        let write = Write { table: Table::Entries, key: key.clone(), expected, change };
        if let Commit::Committed(_) = store.commit(&[write]).await {
            return;
        }
        time::sleep(WRITE_RETRY_INTERVAL).await;
        if let Ok(rows) = store.read(Table::Entries).await {
            let row = rows.rows.iter().find(|row| row.key == key);
            version = row.map_or(Version::ZERO, |row| row.version);
        }
    }
}

impl State {
    /// Runs the periodic work of a follower: polls the maps while the leader is unresponsive, and
    /// asks peers or campaigns when the election says so.
    pub(super) fn run_follower(&mut self, now: Tick) {
        let leader_unavailable =
            self.election.is_leader_unresponsive(now) || self.leadership_record.is_none();
        let is_due = now.since(self.maps_polled_at) >= MAP_POLL_INTERVAL;
        if leader_unavailable && is_due && !self.awaits_first_leader(now) {
            self.poll_maps(now);
        }
        if !self.entries_read
            || self.campaigning
            || self.is_store_unavailable(now)
            || self.shared.is_stopping()
        {
            return;
        }
        // An entry that reaches targets takes the lead before one that does not.
        if self.shared.is_isolated()
            && self.election.unresponsive_for(now) < ISOLATED_CAMPAIGN_DELAY
        {
            return;
        }
        let rank = self.rank();
        // At the first start no entry knows the others yet. The delay gives the most powerful entry
        // the best chance to lead.
        let weakness = (1.0 - self.shared.settings.power).clamp(0.0, 1.0);
        if self.leadership_record.is_none()
            && self.election.unresponsive_for(now) < MAX_INITIAL_CAMPAIGN_DELAY.mul_f64(weakness)
        {
            return;
        }
        match self.election.decide(self.leader(), rank, now) {
            Verdict::Wait => {}
            Verdict::Campaign => self.campaign(now),
            Verdict::Poll => self.poll_peers(now),
        }
    }

    /// Returns true if no leader is known and one may be shortly: this process has just started.
    fn awaits_first_leader(&self, now: Tick) -> bool {
        let limit = if self.entries_read { FIRST_LEADER_TIME } else { FIRST_READ_TIME };
        self.leadership_record.is_none() && self.election.unresponsive_for(now) < limit
    }

    /// Gets the maps after the table of entries has been read for the first time. In a large fleet
    /// they come from the leader, with the reply to a report that is sent at once, so that the start
    /// of a fleet costs no read for each entry. Without a leader there are none.
    pub(super) fn get_first_maps(&mut self, now: Tick) {
        if self.relay.follows_others() {
            self.reported_at = Tick::default();
        } else if self.leadership_record.is_some() {
            self.poll_maps(now);
        }
    }

    /// Reads the maps from the store; otherwise they come from the leader.
    fn poll_maps(&mut self, now: Tick) {
        self.maps_polled_at = now;
        if self.map_read_in_flight {
            return;
        }
        self.map_read_in_flight = true;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let input = match store.read(Table::Maps).await {
                Ok(rows) => Input::MapRows { rows, entries: None },
                Err(_) => Input::MapRowsUnavailable,
            };
            send(&inputs, input).await;
        });
    }

    /// Returns how many entries campaign before this one. The order follows power, and the
    /// rendezvous weight breaks ties.
    fn rank(&self) -> usize {
        let leader = self.leadership_record.as_ref().map(|record| &record.vm);
        let priority = |vm: &Vm, power: f64| {
            (power, key::rendezvous_weight(vm.as_str(), leader.map_or("", |vm| vm.as_str())))
        };
        let own_priority = priority(&self.me.vm, self.shared.settings.power);
        let others = self.members.iter().filter(|(vm, _)| Some(*vm) != leader);
        others.filter(|(vm, member)| priority(vm, member.power) > own_priority).count()
    }

    /// Asks the other entries whether the leader responds to them.
    fn poll_peers(&mut self, now: Tick) {
        self.election.record_attempt(now);
        let leader = self.leadership_record.as_ref().map(|record| &record.vm);
        let members = self
            .members
            .iter()
            .filter(|(vm, _)| Some(*vm) != leader && **vm != self.me.vm)
            .map(|(_, member)| member.address)
            .collect();
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let (unresponsive, any_responsive) = peers.poll(members).await;
            send(&inputs, Input::PollResult { unresponsive, any_responsive }).await;
        });
    }

    /// Sends a report to the leader if one is due; a leader records its own report directly.
    pub(super) fn send_report(&mut self, now: Tick) {
        let interval = self.report_interval();
        self.election.set_report_interval(interval);
        // A limit that is new binds the other entries as soon as the leader knows of it.
        let is_due = now.since(self.reported_at) >= interval || self.shared.limits().has_news();
        if self.report_in_flight || !is_due {
            return;
        }
        self.reported_at = now;
        let report = self.make_report(now);
        if self.leadership.is_some() {
            self.record_report(&report, now);
            self.crash_log.acknowledge();
            return;
        }
        let Some(record) = self.leadership_record.clone().filter(|record| record.vm != self.me.vm)
        else {
            return;
        };
        self.report_in_flight = true;
        let (peers, inputs) = (self.peers.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let reply = peers.report(record.address, &report).await;
            send(&inputs, Input::LeaderReplied { leader: record.vm, reply }).await;
        });
    }

    /// Collects a report, and resets the observations that it carries.
    fn make_report(&mut self, now: Tick) -> Report {
        let (requests_by_key, crashes, ended_instances, deferrals) = {
            let mut feedback = self.shared.feedback();
            (
                std::mem::take(&mut feedback.requests_by_key),
                std::mem::take(&mut feedback.crash_reports),
                std::mem::take(&mut feedback.ended_instances),
                std::mem::take(&mut feedback.deferrals),
            )
        };
        for report in crashes {
            self.crash_log.record(CrashNotice { report, age_ms: 0 }, now);
        }
        let to_notice = |deferral: Deferral| DeferralNotice {
            service: deferral.service,
            target: deferral.target,
            remaining_ms: deferral.until.since(now).as_millis() as u64,
        };
        let mut load = BTreeMap::new();
        for ((service, key), requests) in requests_by_key {
            let keys: &mut Vec<KeyCount> = load.entry(service).or_default();
            keys.push(KeyCount { key, requests });
        }
        let latencies = self.pool.iter().filter_map(|target| {
            let (count, sum) = target.take_latency_stats();
            (count > 0).then(|| LatencyStats {
                service: target.service.clone(),
                instance: target.instance.clone(),
                count,
                mean_ms: (sum / count).as_millis() as u64,
            })
        });
        Report {
            vm: self.me.vm.clone(),
            routing: self.routing_version(),
            maps: self.map_versions(),
            wants_targets: self.wants_targets(now),
            load: load.into_iter().map(|(service, keys)| KeyLoad { service, keys }).collect(),
            latencies: latencies.collect(),
            crash_reports: self.crash_log.report(now),
            ended_instances,
            orders_ended: self.grant_batches == 0,
            leadership: self.leadership_version,
            limits: self.heard_limits(now),
            limit_revision: self.limit_revision,
            unreached_percent: self.shared.unreached_percent(),
            leaving: self.leaving_notices(now),
            evacuations: self.evacuation_notices(now),
            deferrals: deferrals.into_iter().map(to_notice).collect(),
            wants_suspects: !self.has_leader_told,
        }
    }

    /// Returns true if the leader should send the registry: the store is unavailable here, or no
    /// target is known.
    fn wants_targets(&self, now: Tick) -> bool {
        self.is_store_unavailable(now) || self.registry.is_empty()
    }

    /// Returns true if this entry may replace a leader that resigns, and that does not reach a
    /// share of the targets if it resigns for that.
    fn may_succeed(&self, leader_unreached_percent: Option<u8>) -> bool {
        leader_unreached_percent
            .is_none_or(|percent| is_better_placed(self.shared.unreached_percent(), percent))
    }

    /// Applies the leader's reply to a report.
    pub(super) fn handle_reply(&mut self, leader: &Vm, reply: Option<Reply>, now: Tick) {
        self.report_in_flight = false;
        let Some(reply) = reply else { return };
        let is_leader = self.leadership_record.as_ref().is_some_and(|record| record.vm == *leader);
        if reply.leads && is_leader {
            self.apply_replied_evacuations(&reply.evacuations, now);
            if let Some(leader) = self.leadership_record.as_ref().map(|record| record.address) {
                self.hear_routing(reply.routing_version, leader, now);
            }
            if let Some(age_ms) = reply.routing_age_ms {
                let age = Duration::from_millis(age_ms);
                self.confirm_routing(reply.routing_version, self.reported_at.before(age));
            }
            self.apply_limits(&reply, now);
            self.apply_leaving_notices(&reply.leaving, self.reported_at);
            self.resigning = reply.resigning && self.may_succeed(reply.unreached_percent);
            if self.resigning {
                self.election.record_resignation(now);
            } else {
                self.election.record_heartbeat(now);
            }
            if self.entry_count != reply.entries {
                self.entry_count = reply.entries;
                self.dirty = true;
            }
        }
        self.apply_suspects(&reply.suspects, "leader");
        if reply.leads && is_leader {
            self.has_leader_told = true;
            self.shared.record_learned();
            self.crash_log.acknowledge();
        }
        for notice in reply.crash_reports {
            self.quarantine_heard(notice);
            if reply.leads && is_leader {
                self.crash_log.record_told(notice, now);
            } else {
                self.crash_log.record(notice, now);
            }
        }
        for update in reply.maps {
            let map = Map { version: self.with_era(update.version), ..update.map };
            self.apply_map(update.service, map);
        }
        // While the store answers here, its rows are newer than the leader's copy.
        let targets =
            reply.targets.filter(|targets| self.wants_targets(now) && !targets.is_empty());
        if let Some(targets) = targets {
            let is_listed = |vm: &Vm| targets.iter().any(|target| target.registration.vm == *vm);
            let removed = self.registry.retain(is_listed, self.reported_at);
            self.note_removals(&removed, leader.as_str(), self.reported_at, now);
            for target in targets {
                let left_at = self.reported_at.before(Duration::from_millis(target.leaving_for_ms));
                let (vm, row) = (target.registration.vm.clone(), target.version);
                let before = |ms: u64| self.reported_at.before(Duration::from_millis(ms));
                let written_at = target.written_ms.map(before);
                self.dirty |= self.registry.register(target.registration, row, left_at);
                self.dirty |= self.registry.record_warmup(&vm, row, written_at, now);
            }
        }
    }
}
