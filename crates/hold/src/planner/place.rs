//! Computes the next assignment map.

use {
    super::{Action, Planner, ReleaseState},
    crate::{
        balance,
        map::{Assignment, Holder, Instance, Map, Span},
        registry::{Availability, RegisteredTarget, Registry},
    },
    key::clock::Tick,
};

/// The number of spans that each target gets in the first map.
const STRIPES_PER_TARGET: usize = 3;

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
            for reassignment in self.reassignments.clone() {
                let ReleaseState::Released(handover) = reassignment.state else { continue };
                let recipient = self.recipient(
                    registry,
                    reassignment.to.as_ref(),
                    &map,
                    reassignment.span,
                    now,
                );
                if let Some(recipient) = recipient {
                    map.assign(reassignment.span, Some(recipient));
                    if let Some(handover) = handover {
                        self.handovers.insert(reassignment.span, handover);
                    }
                    changed = true;
                }
            }
            changed |= self.assign_orphans(registry, &mut map, now);
        }
        // Any committed write makes the store refuse an unresolved one, since the version differs.
        let supersedes = !self.unresolved_writes.is_empty() || self.is_row_outdated;
        if !supersedes && (!changed || map == self.map) {
            return None;
        }
        map.coalesce();
        self.pending_write = Some(map.clone());
        Some(Action::Write(map))
    }

    /// Renews the fences of targets to which a command failed. Whichever instance acknowledges the
    /// new fence, earlier grants are void there.
    fn renew_failed_fences(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let mut changed = false;
        for holder in &self.map.holders {
            let Some(session) = self.sessions.get(&holder.instance) else { continue };
            let is_below_minimum = self
                .map
                .held_by(&holder.instance)
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
        let mut changed = false;
        for span in orphans {
            let recipient = self.recipient(registry, None, map, span, now);
            let recipient = recipient.filter(|recipient| {
                !self.ledger.is_held_by_another(Some(&recipient.instance), span, now)
            });
            if let Some(recipient) = recipient {
                map.assign(span, Some(recipient));
                changed = true;
            }
        }
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
        let ready: Vec<Holder> = self.ready_targets(registry, now).map(to_holder).collect();
        if ready.is_empty() {
            return false;
        }
        for (span, index) in balance::stripes(ready.len(), STRIPES_PER_TARGET) {
            map.assign(span, Some(ready[index].clone()));
        }
        true
    }

    /// Returns the target that gets keys: the preferred one if it can be used, or else the previous
    /// holder if it has restarted, or else the least loaded.
    pub(super) fn recipient(
        &self,
        registry: &Registry,
        preferred: Option<&Instance>,
        map: &Map,
        span: Span,
        now: Tick,
    ) -> Option<Holder> {
        let ready: Vec<(Holder, u32)> = self
            .ready_targets(registry, now)
            .map(|target| (to_holder(target), target.registration.slots))
            .filter(|(holder, _)| !self.is_unresponsive(&holder.instance))
            .filter(|(holder, _)| !self.ended_instances.contains(&holder.instance))
            .collect();
        let preferred = preferred
            .and_then(|instance| ready.iter().find(|(holder, _)| holder.instance == *instance));
        if let Some((holder, _)) = preferred {
            return Some(holder.clone());
        }
        // A target that has restarted under its name keeps the keys it had.
        let previous =
            self.map.assignment(span.first).and_then(|assignment| self.map.holder(assignment));
        let restarted = previous.and_then(|previous| {
            ready.iter().find(|(holder, _)| {
                holder.instance.vm == previous.instance.vm
                    && holder.instance.started_at_ms > previous.instance.started_at_ms
            })
        });
        if let Some((holder, _)) = restarted {
            return Some(holder.clone());
        }
        // All keys together weigh as much as one request per second, so that the number of keys
        // decides between targets with little load.
        let weight = |span: Span| self.load.rate(span) + f64::from(span.width()) / 65_536.0;
        let utilisation = |(holder, slots): &(Holder, u32)| {
            let held = map.held_by(&holder.instance).map(|assignment| weight(assignment.span));
            let rate = held.sum::<f64>() + weight(span);
            self.load.utilisation(&holder.instance, *slots, rate)
        };
        let least = ready.iter().min_by(|a, b| utilisation(a).total_cmp(&utilisation(b)));
        least.map(|(holder, _)| holder.clone())
    }
}

fn to_holder(target: &RegisteredTarget) -> Holder {
    Holder {
        instance: target.registration.instance(),
        address: target.registration.address,
        zone: target.registration.zone.clone(),
    }
}
