//! Sending and renewing grants.

use {
    super::{Action, Grant, Outcome, Planner, contact::Lost},
    crate::{
        list::Registry,
        map::{Holder, Holding, Life, Span},
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
        for (holder, holdings) in self.map.by_holder() {
            if self.has_ended(registry, &holder) || !self.may_order(&holder, now) {
                continue;
            }
            let due = self.is_due(&holder.life, now);
            let grants = self.due_grants(&holder.life, &holdings, &given, due, now);
            if grants.is_empty() {
                continue;
            }
            let first = now.before(self.phase(&holder.life));
            for grant in &grants {
                self.ledger.begin(&holder.life, grant.span);
            }
            let contact = self.contacts.entry(holder.life.clone()).or_default();
            contact.busy = true;
            if due {
                contact.renewed = Some(contact.renewed.map_or(first, |_| now));
            }
            actions.push(Action::Grant { life: holder.life, address: holder.address, grants });
        }
        actions
    }

    /// Tells whether orders may go to a target now: after a failure it is left alone for a while.
    fn may_order(&self, holder: &Holder, now: Tick) -> bool {
        self.contacts.get(&holder.life).is_none_or(|contact| contact.may_order(now))
    }

    /// Tells whether all grants of a target are to be renewed.
    fn is_due(&self, life: &Life, now: Tick) -> bool {
        let renewed = self.contacts.get(life).and_then(|contact| contact.renewed);
        renewed.is_none_or(|renewed| now.since(renewed) >= self.config.renew)
    }

    /// Returns by how much sooner a target's first renewal comes than the others, so that the renewals
    /// of many targets are spread over time.
    fn phase(&self, life: &Life) -> Duration {
        let rank = key::rendezvous_weight(life.vm.as_str(), self.service.as_str());
        self.config.renew.mul_f64(rank as f64 / u64::MAX as f64)
    }

    /// Returns the grants to send to a target: all if they are due, or else those that it has not
    /// answered to.
    fn due_grants(
        &self,
        life: &Life,
        holdings: &[Holding],
        given: &[(Span, Option<Life>)],
        due: bool,
        now: Tick,
    ) -> Vec<Grant> {
        let contact = self.contacts.get(life);
        let mut grants = Vec::new();
        let barrier = contact.map_or(Fence::ZERO, |contact| contact.barrier);
        for holding in holdings.iter().filter(|holding| holding.fence > barrier) {
            for span in kept(holding.span, life, given) {
                if !due && contact.is_some_and(|contact| contact.covers(span, holding.fence)) {
                    continue;
                }
                if !self.ledger.is_held_by_another(Some(life), span, now) {
                    let handover = self.handovers.get(&span).cloned();
                    grants.push(Grant { span, fence: holding.fence, handover });
                }
            }
        }
        grants
    }

    /// Returns the spans that their holders do not keep: those that are being moved, and those that
    /// a write gives to another holder that is under way or may still take effect. A successor would
    /// rest on that row.
    fn given_away(&self) -> Vec<(Span, Option<Life>)> {
        let moving = self.moves.iter().map(|moving| (moving.span, None));
        let writes = self.writing.iter().chain(&self.doubtful);
        let changed = writes.flat_map(|map| {
            let is_new = |holding: &&Holding| holding.fence == Fence::ZERO;
            map.holdings.iter().filter(is_new).map(|holding| {
                (holding.span, map.holder(holding).map(|holder| holder.life.clone()))
            })
        });
        moving.chain(changed).collect()
    }

    /// Takes the results of grants that were sent, in order, and tells whether another process
    /// seems to lead.
    pub fn granted(&mut self, life: &Life, results: &[(Grant, Outcome)], now: Tick) -> bool {
        let until = now.plus(self.config.longest());
        let mut failed = false;
        let mut fenced = false;
        for (grant, outcome) in results {
            self.ledger.end_of_order(life, grant.span);
            if *outcome != Outcome::Unsent {
                let contact = self.contacts.entry(life.clone()).or_default();
                contact.highest = contact.highest.max(grant.fence);
            }
            match outcome {
                Outcome::Granted => {
                    self.ledger.replace(life, grant.span, until);
                    self.handovers.remove(&grant.span);
                    let contact = self.contacts.entry(life.clone()).or_default();
                    contact.answer(grant.span, grant.fence);
                }
                Outcome::Lost => {
                    self.ledger.extend(life, grant.span, until);
                    let contact = self.contacts.entry(life.clone()).or_default();
                    contact.lost.retain(|grant| grant.until > now);
                    contact.lost.push(Lost { span: grant.span, fence: grant.fence, until });
                    failed = true;
                }
                Outcome::Unsent => failed = true,
                Outcome::Refused => failed = true,
                Outcome::Ended => {
                    failed = true;
                    self.end(life);
                }
                Outcome::Fenced => fenced = true,
            }
        }
        let contact = self.contacts.entry(life.clone()).or_default();
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
fn kept(span: Span, life: &Life, given: &[(Span, Option<Life>)]) -> Vec<Span> {
    let gone = given.iter().filter(|(_, to)| to.as_ref() != Some(life)).map(|(span, _)| *span);
    gone.fold(vec![span], |parts, gone| {
        parts.into_iter().flat_map(|part| part.without(gone)).flatten().collect()
    })
}
