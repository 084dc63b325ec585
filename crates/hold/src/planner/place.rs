//! Computes the next assignment map.

use {
    super::{Action, Planner, ReleaseState, recipient::Recipients},
    crate::{
        balance,
        map::{Assignment, Holder, Holdings, Instance, Map, Span},
        registry::{Availability, RegisteredTarget, Registry},
    },
    key::clock::Tick,
    smol_str::SmolStr,
};

/// The number of spans that each target gets in the first map of a service. Several spread busy
/// neighbouring keys over several targets.
const STRIPES_PER_TARGET: usize = 3;

/// The number of spans in the first map above which targets get fewer, since each span costs a
/// grant in every renewal. The stripes of so many targets are narrow enough to spread busy keys.
const MAX_STRIPES: usize = 600;

impl Planner {
    /// Starts a write of the next map, if anything in it has to change.
    pub(super) fn begin_write(&mut self, registry: &Registry, now: Tick) -> Option<Action> {
        let mut map = self.map.clone();
        if !self.fences_renewed {
            map.renew_fences();
        }
        let mut changed = !self.fences_renewed;
        if self.fences_renewed {
            changed |= self.renew_failed_fences(registry, &mut map, now);
            changed |= self.assign_released(registry, &mut map, now);
            changed |= self.assign_orphans(registry, &mut map, now);
        }
        // Any committed write makes the store refuse an unresolved one, since the version differs.
        let supersedes = !self.unresolved_writes.is_empty() || self.is_row_outdated;
        if !supersedes && (!changed || map == self.map) {
            return None;
        }
        map.coalesce();
        if self.rejected_write.as_ref() == Some(&map) {
            return None;
        }
        self.pending_write = Some(map.clone());
        Some(Action::Write(map))
    }

    /// Assigns keys that their holders have released.
    fn assign_released(&mut self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let released: Vec<(Span, Option<Instance>, Option<SmolStr>)> = self
            .reassignments
            .iter()
            .filter_map(|reassignment| match &reassignment.state {
                ReleaseState::Released(handover) => {
                    Some((reassignment.span, reassignment.to.clone(), handover.clone()))
                }
                ReleaseState::InFlight => None,
            })
            .collect();
        if released.is_empty() {
            return false;
        }
        let mut recipients = Recipients::new(self, registry, map, now);
        let mut assigned = Vec::new();
        let mut handovers = Vec::new();
        for (span, to, handover) in released {
            let from = self.map.assignment(span.first);
            let previous = from.and_then(|assignment| self.map.holder(assignment));
            let Some(recipient) = recipients.choose(to.as_ref(), previous, span).cloned() else {
                continue;
            };
            recipients.record(span, from, &self.map, &recipient);
            assigned.push((span, Some(recipient)));
            handovers.extend(handover.map(|handover| (span, handover)));
        }
        self.handovers.extend(handovers);
        let changed = !assigned.is_empty();
        map.assign_each(assigned);
        changed
    }

    /// Renews the fences of targets to which a command failed. Whichever instance acknowledges the
    /// new fence, earlier grants are void there.
    fn renew_failed_fences(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let mut changed = false;
        let holdings = Holdings::new(&self.map);
        for holder in &self.map.holders {
            let Some(session) = self.sessions.get(&holder.instance) else { continue };
            let is_below_minimum = holdings
                .of(&holder.instance)
                .iter()
                .any(|assignment| assignment.fence <= session.minimum_fence);
            if is_below_minimum && session.can_send(now) && !self.has_ended(registry, holder) {
                map.renew_holder_fences(&holder.instance);
                changed = true;
            }
        }
        changed
    }

    /// Assigns keys that no instance can hold any more to targets that are ready.
    fn assign_orphans(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let orphans: Vec<Span> = self
            .map
            .assignments
            .iter()
            .filter(|assignment| {
                let is_reassigned = self
                    .reassignments
                    .iter()
                    .any(|reassignment| reassignment.span.overlaps(assignment.span));
                let later = self.later_instance(registry, assignment);
                let is_held = self.ledger.is_held_by_another(later.as_ref(), assignment.span, now);
                let is_usable = self.map.holder(assignment).is_some_and(|holder| {
                    if self.has_ended(registry, holder) {
                        return false;
                    }
                    let target = registry.get(&holder.instance.vm);
                    target.is_some_and(|target| {
                        target.registration.instance() == holder.instance
                            && registry.availability(target, now) == Availability::Ready
                    }) && !self.is_unresponsive(&holder.instance)
                });
                !is_reassigned && !is_held && !is_usable
            })
            .map(|assignment| assignment.span)
            .collect();
        if orphans == [Span::ALL] {
            return self.assign_all(registry, map, now);
        }
        if orphans.is_empty() {
            return false;
        }
        let mut recipients = Recipients::new(self, registry, map, now);
        let mut assigned = Vec::new();
        for span in orphans {
            let from = self.map.assignment(span.first);
            let previous = from.and_then(|assignment| self.map.holder(assignment));
            let recipient = recipients.choose(None, previous, span).filter(|recipient| {
                !self.ledger.is_held_by_another(Some(&recipient.instance), span, now)
            });
            if let Some(recipient) = recipient.cloned() {
                recipients.record(span, from, &self.map, &recipient);
                assigned.push((span, Some(recipient)));
            }
        }
        let changed = !assigned.is_empty();
        map.assign_each(assigned);
        changed
    }

    /// Returns the later instance of a holder that has restarted under the same name.
    fn later_instance(&self, registry: &Registry, assignment: &Assignment) -> Option<Instance> {
        let holder = self.map.holder(assignment)?;
        let target = registry.get(&holder.instance.vm)?;
        (target.registration.started_at_ms > holder.instance.started_at_ms)
            .then(|| target.registration.instance())
    }

    /// Divides all keys among the targets that are ready.
    fn assign_all(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let ready = self.ready_targets(registry, now).map(to_holder);
        let ready: Vec<Holder> = ready.take(self.format.max_holders()).collect();
        if ready.is_empty() {
            return false;
        }
        let stripes_per_target = (MAX_STRIPES / ready.len()).clamp(1, STRIPES_PER_TARGET);
        let stripes = balance::stripes(ready.len(), stripes_per_target);
        map.assign_each(
            stripes.into_iter().map(|(span, index)| (span, Some(ready[index].clone()))),
        );
        true
    }
}

/// Returns a registered target as a holder.
pub(super) fn to_holder(target: &RegisteredTarget) -> Holder {
    Holder {
        instance: target.registration.instance(),
        address: target.registration.address,
        zone: target.registration.zone.clone(),
    }
}
