//! What the leader does with the reports of all entries, and its replies.

use {
    super::{State, leading::LastReport},
    crate::control::message::{LeavingNotice, Reply, Report},
    hold::election::is_better_placed,
    key::clock::Tick,
    std::time::{Duration, Instant},
};

/// The time for which the word of a target that it leaves is passed on.
const LEAVING_NOTICE_TTL: Duration = Duration::from_secs(6);

impl State {
    /// Records the targets that said to this entry that they leave.
    pub(super) fn collect_leaving_instances(&mut self) {
        let said = std::mem::take(&mut self.shared.feedback().leaving_instances);
        for (instance, said_at) in said {
            self.dirty |= self.registry.record_said_leaving(&instance, said_at);
        }
    }

    /// Returns the targets that said a short time ago, to any entry, that they leave.
    pub(super) fn leaving_notices(&self, now: Tick) -> Vec<LeavingNotice> {
        let said = self.registry.said_leaving_within(LEAVING_NOTICE_TTL, now);
        let to_notice = |(target, said_at)| LeavingNotice {
            target,
            age_ms: now.since(said_at).as_millis() as u64,
        };
        said.map(to_notice).collect()
    }

    /// Records the targets that said to other entries that they leave, as of the time `at`.
    pub(super) fn apply_leaving_notices(&mut self, notices: &[LeavingNotice], at: Tick) {
        for notice in notices {
            let said_at = at.before(Duration::from_millis(notice.age_ms));
            self.dirty |= self.registry.record_said_leaving(&notice.target, said_at);
        }
    }

    /// Returns true if another entry reaches far more targets than this one, the leader. Targets
    /// that nobody reaches make no difference.
    fn should_yield(&self, unreached_percent: u8, now: Tick) -> bool {
        self.live_reports(now)
            .any(|report| is_better_placed(report.unreached_percent, unreached_percent))
    }

    /// Records what an entry observed: crash reports, ended instances, load and latencies.
    pub(super) fn record_report(&mut self, report: &Report, now: Tick) {
        for notice in &report.crash_reports {
            self.quarantine_heard(*notice);
            self.crash_log.record(*notice, now);
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
        for notice in &report.deferrals {
            let Some(planner) = leadership.planners.get_mut(&notice.service) else { continue };
            let span = Duration::from_millis(notice.remaining_ms);
            planner.load_mut().record_deferral(&notice.target, span, now);
        }
        for stats in &report.latencies {
            if let Some(planner) = leadership.planners.get_mut(&stats.service) {
                let seconds = stats.mean_ms as f64 / 1_000.0;
                planner.load_mut().record_answers(&stats.instance, stats.count, seconds);
            }
        }
    }

    /// Records the report of another entry and returns what is newer here.
    pub(super) fn handle_report(&mut self, report: &Report, now: Tick) -> Reply {
        self.record_report(report, now);
        if report.orders_ended && report.leadership == self.leadership_version {
            self.confirm_former_leader(&report.vm, now);
        }
        self.record_heard_limits(report, now);
        self.apply_leaving_notices(&report.leaving, now);
        self.apply_reported_evacuations(&report.evacuations, now);
        let store_unavailable = self.is_store_unavailable(now);
        let unreached_percent = Some(self.shared.unreached_percent())
            .filter(|percent| !store_unavailable && self.should_yield(*percent, now));
        let resigning = store_unavailable || unreached_percent.is_some();
        let leads = self.leadership.is_some();
        if let Some(leadership) = &mut self.leadership {
            leadership.last_reports.insert(
                report.vm.clone(),
                LastReport { at: now, unreached_percent: report.unreached_percent },
            );
        }
        self.hear_reported_routing(&report.vm, report.routing, now);
        let targets = (report.wants_targets && !store_unavailable).then(|| {
            let registered = self.registry.targets().filter(|target| target.is_registered());
            registered.map(|target| self.versioned_registration(target, now)).collect()
        });
        let suspects = if report.wants_suspects {
            self.shared.quarantine().refused(Instant::now())
        } else {
            Vec::new()
        };
        let (limits, limit_revision) = self.limits_for(report.limit_revision, now);
        Reply {
            leads,
            resigning,
            unreached_percent,
            leaving: self.leaving_notices(now),
            evacuations: self.evacuation_notices(now),
            entries: self.entry_count,
            routing_version: self.routing_version(),
            routing_age_ms: self.routing.in_force_at().map(|at| now.since(at).as_millis() as u64),
            maps: self.maps_newer_than(&report.maps),
            targets,
            crash_reports: self.crash_log.passed_on(now),
            suspects,
            limits,
            limit_revision,
            coordinated_fraction: self
                .leadership
                .as_ref()
                .map_or(1.0, |leadership| leadership.coordinated_fraction),
        }
    }
}
