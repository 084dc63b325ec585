//! Sending and renewing grants.

use {
    super::{Action, Grant, Outcome, Planner, session::Lost},
    crate::{
        map::{Assignment, Holder, Instance, Span},
        registry::Registry,
    },
    key::{Fence, clock::Tick},
    std::time::Duration,
};

impl Planner {
    pub(super) fn renewals(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.refenced {
            // A former leader's fence must not reach a later run of a target, which this process
            // could not tell from the earlier one.
            return actions;
        }
        let given = self.given_away();
        for (holder, assignments) in self.map.by_holder() {
            if self.has_ended(registry, &holder) || !self.may_order(&holder, now) {
                continue;
            }
            let due = self.is_due(&holder.instance, now);
            let grants = self.due_grants(&holder.instance, &assignments, &given, due, now);
            if grants.is_empty() {
                continue;
            }
            let first = now.before(self.phase(&holder.instance));
            for grant in &grants {
                self.ledger.begin_send(&holder.instance, grant.span);
            }
            let contact = self.contacts.entry(holder.instance.clone()).or_default();
            contact.busy = true;
            if due {
                contact.renewed = Some(contact.renewed.map_or(first, |_| now));
            }
            actions.push(Action::Grant {
                instance: holder.instance,
                address: holder.address,
                grants,
            });
        }
        actions
    }

    /// Tells whether orders may go to a target now: after a failure it is left alone for a while.
    fn may_order(&self, holder: &Holder, now: Tick) -> bool {
        self.contacts.get(&holder.instance).is_none_or(|contact| contact.may_order(now))
    }

    /// Tells whether all grants of a target are to be renewed.
    fn is_due(&self, instance: &Instance, now: Tick) -> bool {
        let renewed = self.contacts.get(instance).and_then(|contact| contact.renewed);
        renewed.is_none_or(|renewed| now.since(renewed) >= self.config.renewal_interval)
    }

    /// Returns by how much sooner a target's first renewal comes than the others, so that the renewals
    /// of many targets are spread over time.
    fn phase(&self, instance: &Instance) -> Duration {
        let rank = key::rank(instance.vm.as_str(), self.service.as_str());
        self.config.renewal_interval.mul_f64(rank as f64 / u64::MAX as f64)
    }

    /// Returns the grants to send to a target: all if they are due, or else those that it has not
    /// answered to.
    fn due_grants(
        &self,
        instance: &Instance,
        assignments: &[Assignment],
        given: &[(Span, Option<Instance>)],
        due: bool,
        now: Tick,
    ) -> Vec<Grant> {
        let contact = self.contacts.get(instance);
        let mut grants = Vec::new();
        let barrier = contact.map_or(Fence::ZERO, |contact| contact.barrier);
        for assignment in assignments.iter().filter(|assignment| assignment.fence > barrier) {
            for span in kept(assignment.span, instance, given) {
                if !due && contact.is_some_and(|contact| contact.covers(span, assignment.fence)) {
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

    /// Returns the spans that their holders do not keep: those that are being moved, and those that
    /// a write gives to another holder that is under way or may still take effect. A successor would
    /// rest on that row.
    fn given_away(&self) -> Vec<(Span, Option<Instance>)> {
        let moving = self.moves.iter().map(|moving| (moving.span, None));
        let writes = self.writing.iter().chain(&self.doubtful);
        let changed = writes.flat_map(|map| {
            let is_new = |assignment: &&Assignment| assignment.fence == Fence::ZERO;
            map.assignments.iter().filter(is_new).map(|assignment| {
                (assignment.span, map.holder(assignment).map(|holder| holder.instance.clone()))
            })
        });
        moving.chain(changed).collect()
    }

    /// Takes the results of grants that were sent, in order, and tells whether another process
    /// seems to lead.
    pub fn record_grants(
        &mut self,
        instance: &Instance,
        results: &[(Grant, Outcome)],
        now: Tick,
    ) -> bool {
        let until = now.plus(self.config.max_grant_validity());
        let mut failed = false;
        let mut fenced = false;
        for (grant, outcome) in results {
            self.ledger.end_send(instance, grant.span);
            if *outcome != Outcome::Unsent {
                let contact = self.contacts.entry(instance.clone()).or_default();
                contact.highest = contact.highest.max(grant.fence);
            }
            match outcome {
                Outcome::Granted => {
                    self.ledger.replace(instance, grant.span, until);
                    self.handovers.remove(&grant.span);
                    let contact = self.contacts.entry(instance.clone()).or_default();
                    contact.answer(grant.span, grant.fence);
                }
                Outcome::Lost => {
                    self.ledger.extend(instance, grant.span, until);
                    let contact = self.contacts.entry(instance.clone()).or_default();
                    contact.lost.retain(|grant| grant.until > now);
                    contact.lost.push(Lost { span: grant.span, fence: grant.fence, until });
                    failed = true;
                }
                Outcome::Unsent => failed = true,
                Outcome::Refused => failed = true,
                Outcome::Ended => {
                    failed = true;
                    self.record_instance_end(instance);
                }
                Outcome::Fenced => fenced = true,
            }
        }
        let contact = self.contacts.entry(instance.clone()).or_default();
        contact.busy = false;
        contact.answered = now;
        if failed {
            contact.fail(now);
        } else {
            contact.failures = 0;
        }
        fenced
    }
}

/// Returns the parts of a span that stay with their holder for now.
fn kept(span: Span, instance: &Instance, given: &[(Span, Option<Instance>)]) -> Vec<Span> {
    let gone = given.iter().filter(|(_, to)| to.as_ref() != Some(instance)).map(|(span, _)| *span);
    gone.fold(vec![span], |parts, gone| {
        parts.into_iter().flat_map(|part| part.without(gone)).flatten().collect()
    })
}
