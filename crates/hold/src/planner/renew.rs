//! Sends grants and renews them before they expire.

use {
    super::{Action, Grant, Outcome, Planner, session::LostGrant},
    crate::{
        map::{Assignment, Holder, Instance, Span},
        registry::{Availability, Registry},
    },
    key::{Fence, clock::Tick},
    std::time::Duration,
};

/// The number of targets whose grants are renewed in a second at most. With more targets each is
/// renewed less often, so that the leader's work stays within what a weak machine can do.
const MAX_RENEWALS_PER_S: f64 = 160.0;

/// The longest time between two renewals, as a fraction of the validity of a grant. It leaves time
/// for two more attempts.
const MAX_RENEWAL_FRACTION: f64 = 0.4;

impl Planner {
    /// Starts sending the grants that are due.
    pub(super) fn begin_grants(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.fences_renewed {
            // A fence of the former leader must not reach a later instance of a target, which this
            // process could not tell from the earlier one.
            return actions;
        }
        let withheld = self.withheld_spans();
        for (holder, assignments) in self.map.by_holder() {
            if self.has_ended(registry, &holder)
                || self.is_given_up(registry, &holder, now)
                || !self.can_send(&holder, now)
            {
                continue;
            }
            let is_due = self.is_renewal_due(&holder.instance, now);
            let grants = self.due_grants(&holder.instance, &assignments, &withheld, is_due, now);
            if grants.is_empty() {
                continue;
            }
            let first_renewed_at = now.before(self.renewal_phase(&holder.instance));
            for grant in &grants {
                self.ledger.begin_send(&holder.instance, grant.span);
            }
            let session = self.sessions.entry(holder.instance.clone()).or_default();
            session.in_flight = true;
            if is_due {
                session.renewed_at = Some(session.renewed_at.map_or(first_renewed_at, |_| now));
            }
            actions.push(Action::Grant {
                instance: holder.instance,
                address: holder.address,
                grants,
            });
        }
        actions
    }

    /// Returns true if a holder is gone from the registry and does not answer. Each further grant
    /// might take effect although its answer is lost, so that its keys could never be assigned to
    /// others.
    fn is_given_up(&self, registry: &Registry, holder: &Holder, now: Tick) -> bool {
        let is_gone = match registry.get(&holder.instance.vm) {
            Some(target) => {
                !target.is_registered()
                    && matches!(registry.availability(target, now), Availability::Leaving(_))
            }
            None => registry.is_complete(now),
        };
        is_gone && self.is_unresponsive(&holder.instance)
    }

    /// Returns true if a command may be sent to a target now: none is in flight, and the back-off
    /// after a failure has ended.
    fn can_send(&self, holder: &Holder, now: Tick) -> bool {
        self.sessions.get(&holder.instance).is_none_or(|session| session.can_send(now))
    }

    /// Returns true if all grants of a target are due for renewal.
    fn is_renewal_due(&self, instance: &Instance, now: Tick) -> bool {
        let renewed_at = self.sessions.get(instance).and_then(|session| session.renewed_at);
        renewed_at.is_none_or(|renewed_at| now.since(renewed_at) >= self.renewal_interval())
    }

    /// Returns the time between two renewals of a grant.
    fn renewal_interval(&self) -> Duration {
        let needed = Duration::from_secs_f64(self.map.holders.len() as f64 / MAX_RENEWALS_PER_S);
        let longest = self.config.grant_duration.mul_f64(MAX_RENEWAL_FRACTION);
        needed.min(longest).max(self.config.renewal_interval)
    }

    /// Returns by how much the first renewal of a target comes sooner than the later ones, so that
    /// the renewals of many targets are spread over the interval.
    fn renewal_phase(&self, instance: &Instance) -> Duration {
        let weight = key::rendezvous_weight(instance.vm.as_str(), self.service.as_str());
        self.renewal_interval().mul_f64(weight as f64 / u64::MAX as f64)
    }

    /// Returns the grants to send to a target: all of them if they are due for renewal, or else
    /// those that it has not acknowledged.
    fn due_grants(
        &self,
        instance: &Instance,
        assignments: &[Assignment],
        withheld: &[(Span, Option<Instance>)],
        is_due: bool,
        now: Tick,
    ) -> Vec<Grant> {
        let session = self.sessions.get(instance);
        let mut grants = Vec::new();
        let minimum_fence = session.map_or(Fence::ZERO, |session| session.minimum_fence);
        for assignment in assignments.iter().filter(|assignment| assignment.fence > minimum_fence) {
            for span in grantable_parts(assignment.span, instance, withheld) {
                if !is_due
                    && session
                        .is_some_and(|session| session.has_acknowledged(span, assignment.fence))
                {
                    continue;
                }
                if !self.ledger.is_held_by_another(Some(instance), span, now) {
                    let handover = self.handovers.get(&span).cloned();
                    grants.push(Grant { span, fence: assignment.fence, handover });
                }
            }
        }
        grants
    }

    /// Returns the spans that are not granted to their present holders, each with the only instance
    /// that may get it.
    ///
    /// These are the spans that are being reassigned, and those that a pending or unresolved write
    /// assigns to another holder: a later leader would act on that row.
    fn withheld_spans(&self) -> Vec<(Span, Option<Instance>)> {
        let reassigned = self.reassignments.iter().map(|reassignment| (reassignment.span, None));
        let writes = self.pending_write.iter().chain(&self.unresolved_writes);
        let changed = writes.flat_map(|map| {
            let is_new = |assignment: &&Assignment| assignment.fence == Fence::ZERO;
            map.assignments.iter().filter(is_new).map(|assignment| {
                (assignment.span, map.holder(assignment).map(|holder| holder.instance.clone()))
            })
        });
        reassigned.chain(changed).collect()
    }

    /// Records the outcomes of grants in the order in which they were sent, and returns true if
    /// another process seems to lead.
    pub fn record_grants(
        &mut self,
        instance: &Instance,
        outcomes: &[(Grant, Outcome)],
        now: Tick,
    ) -> bool {
        let until = now.plus(self.config.max_grant_validity());
        let mut failed = false;
        let mut fenced = false;
        for (grant, outcome) in outcomes {
            self.ledger.end_send(instance, grant.span);
            if !matches!(outcome, Outcome::Unsent | Outcome::Withheld) {
                let session = self.sessions.entry(instance.clone()).or_default();
                session.highest_fence = session.highest_fence.max(grant.fence);
            }
            match outcome {
                Outcome::Granted => {
                    self.ledger.replace(instance, grant.span, until);
                    self.handovers.remove(&grant.span);
                    let session = self.sessions.entry(instance.clone()).or_default();
                    session.record_acknowledgement(grant.span, grant.fence);
                }
                Outcome::Lost => {
                    self.ledger.extend(instance, grant.span, until);
                    let session = self.sessions.entry(instance.clone()).or_default();
                    session.lost_grants.retain(|grant| grant.until > now);
                    session.lost_grants.push(LostGrant {
                        span: grant.span,
                        fence: grant.fence,
                        until,
                    });
                    failed = true;
                }
                Outcome::Withheld => {}
                Outcome::Unsent => failed = true,
                Outcome::Refused => failed = true,
                Outcome::Ended => {
                    failed = true;
                    self.record_instance_end(instance);
                }
                Outcome::Fenced => fenced = true,
            }
        }
        let is_withheld = |(_, outcome): &(Grant, Outcome)| *outcome == Outcome::Withheld;
        let session = self.sessions.entry(instance.clone()).or_default();
        session.in_flight = false;
        if outcomes.iter().any(is_withheld) {
            return fenced;
        }
        session.answered_at = now;
        if failed {
            session.record_failure(now);
        } else {
            session.failures = 0;
        }
        fenced
    }
}

/// Returns the parts of a span that may be granted to an instance now.
fn grantable_parts(
    span: Span,
    instance: &Instance,
    withheld: &[(Span, Option<Instance>)],
) -> Vec<Span> {
    let excluded =
        withheld.iter().filter(|(_, to)| to.as_ref() != Some(instance)).map(|(span, _)| *span);
    excluded.fold(vec![span], |parts, excluded| {
        parts.into_iter().flat_map(|part| part.without(excluded)).flatten().collect()
    })
}
