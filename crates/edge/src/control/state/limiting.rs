//! Spreading the rate limits of targets among the entries, as part of reports and replies.

use {
    super::State,
    crate::control::message::{LimitNotice, LimitRevision, Reply, Report},
    hold::Instance,
    key::clock::Tick,
    limit::{Candidate, Update, Word},
    member::Presence,
    std::collections::BTreeMap,
};

impl State {
    /// Returns the limits that answers to this entry have named since its last report.
    pub(super) fn heard_limits(&self, now: Tick) -> Vec<LimitNotice> {
        let heard = self.shared.limits().take_heard();
        let to_notice = |(target, word): (_, Word)| LimitNotice {
            target,
            rate: word.rate,
            age_ms: now.since(word.at).as_millis() as u64,
            coordinator: None,
        };
        heard.into_iter().map(to_notice).collect()
    }

    /// Records what another entry has heard of limits; a change goes to all entries.
    pub(super) fn record_heard_limits(&mut self, report: &Report, now: Tick) {
        let mut has_changed = false;
        for notice in &report.limits {
            let change = self.shared.limits().merge(&notice.target, notice.word(now));
            if let Some(change) = change {
                self.shared.log_limit(&notice.target, change, "report");
                has_changed = true;
            }
        }
        if has_changed {
            self.update_limits(now);
        }
    }

    /// Applies the limits and coordinators that the leader's reply names.
    pub(super) fn apply_limits(&mut self, reply: &Reply, now: Tick) {
        for notice in &reply.limits {
            let mut limits = self.shared.limits();
            let change = limits.merge(&notice.target, notice.word(now));
            limits.set_coordinator(&notice.target, notice.coordinator);
            drop(limits);
            if let Some(change) = change {
                self.shared.log_limit(&notice.target, change, "leader");
            }
        }
        self.shared.limits().set_coordinated_fraction(reply.coordinated_fraction);
        self.limit_revision = reply.limit_revision;
    }

    /// Returns the limits that an entry does not know yet, and the revision that they bring it to.
    pub(super) fn limits_for(
        &self,
        known: LimitRevision,
        now: Tick,
    ) -> (Vec<LimitNotice>, LimitRevision) {
        let Some(leadership) = &self.leadership else { return (Vec::new(), known) };
        let leader = self.me.incarnation;
        let known = if known.leader == leader { known.revision } else { 0 };
        let updates = leadership.limits.updates_since(known, &self.shared.limits(), now);
        let to_notice = |update: Update| LimitNotice {
            target: update.target,
            rate: update.rate,
            age_ms: update.age.as_millis() as u64,
            coordinator: update.coordinator,
        };
        let revision = LimitRevision { leader, revision: leadership.limits.revision() };
        (updates.into_iter().map(to_notice).collect(), revision)
    }

    /// Chooses the coordinator of each limited target, and tells the planners what targets take.
    pub(super) fn update_limits(&mut self, now: Tick) {
        if self.leadership.is_none() {
            return;
        }
        // A part of each limit is kept for silent entries, which may still reach targets.
        let counted =
            |least| self.members.iter().filter(|(vm, _)| self.presence(vm, now) <= least).count();
        let (live_count, known_count) = (counted(Presence::Live), counted(Presence::Silent));
        let fraction = live_count.max(1) as f64 / known_count.max(1) as f64;
        let live = self.members.iter();
        let live = live.filter(|(vm, _)| self.presence(vm, now) == Presence::Live);
        let candidates: Vec<Candidate> = live
            .map(|(vm, member)| Candidate {
                vm: vm.clone(),
                address: member.address,
                power: member.power,
            })
            .collect();
        let interval = self.report_interval();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.coordinated_fraction = fraction;
        leadership
            .last_reports
            .retain(|_, report| Presence::new(now.since(report.at), interval) < Presence::Gone);
        let mut limits = self.shared.limits();
        limits.set_coordinated_fraction(fraction);
        leadership.limits.update(&mut limits, &candidates);
        let rates = limits
            .words()
            .filter_map(|(target, word)| Some((target.clone(), word.rate?.requests_per_s())));
        let rates: BTreeMap<_, _> = rates.collect();
        for planner in leadership.planners.values_mut() {
            planner.load_mut().set_rate_limits(rates.clone());
        }
    }

    /// Forgets the limits of targets that the registry does not know.
    pub(super) fn expire_limits(&mut self, now: Tick) {
        let is_known = |instance: &Instance| self.registry.get(&instance.vm).is_some();
        let mut limits = self.shared.limits();
        if !limits.is_empty() {
            limits.expire(is_known, now);
        }
        let count = limits.words().filter(|(_, word)| word.rate.is_some()).count();
        drop(limits);
        self.shared.counters.set("limited_targets", count as u64);
    }
}
