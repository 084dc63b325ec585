//! Making the next map.

use {
    super::{Action, Planner, Step},
    crate::{
        balance,
        map::{Assignment, Holder, Instance, Map, Span},
        registry::{Availability, RegisteredTarget, Registry},
    },
    key::clock::Tick,
};

/// The stripes of each target in the first map.
const STRIPES: usize = 3;

impl Planner {
    /// Returns the new map, if anything in it has to change.
    pub(super) fn write(&mut self, registry: &Registry, now: Tick) -> Option<Action> {
        let mut map = self.map.clone();
        if !self.refenced {
            map.renew_fences();
        }
        let mut changed = !self.refenced;
        if self.refenced {
            changed |= self.renew_fences(registry, &mut map, now);
            for moving in self.moves.clone() {
                let Step::Released(handover) = moving.step else { continue };
                let to = self.receiver(registry, moving.to.as_ref(), &map, moving.span, now);
                if let Some(to) = to {
                    map.assign(moving.span, Some(to));
                    if let Some(handover) = handover {
                        self.handovers.insert(moving.span, handover);
                    }
                    changed = true;
                }
            }
            changed |= self.place_free_keys(registry, &mut map, now);
        }
        // Another write makes the condition of a doubtful one false.
        let supersedes = !self.doubtful.is_empty();
        if !supersedes && (!changed || map == self.map) {
            return None;
        }
        map.coalesce();
        self.writing = Some(map.clone());
        Some(Action::Write(map))
    }

    /// Gives new fences to targets to which an order failed. Whichever run answers to the new fence,
    /// earlier grants are void there.
    fn renew_fences(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let mut changed = false;
        for holder in &self.map.holders {
            let Some(contact) = self.contacts.get(&holder.instance) else { continue };
            let barred = self
                .map
                .held_by(&holder.instance)
                .any(|assignment| assignment.fence <= contact.barrier);
            if barred && contact.may_order(now) && !self.has_ended(registry, holder) {
                map.renew_holder_fences(&holder.instance);
                changed = true;
            }
        }
        changed
    }

    /// Gives keys that nobody can hold any more to targets that are ready.
    fn place_free_keys(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let free: Vec<Span> = self
            .map
            .assignments
            .iter()
            .filter(|assignment| {
                let moving = self.moves.iter().any(|moving| moving.span.overlaps(assignment.span));
                let later = self.later_run(registry, assignment);
                let held = self.ledger.is_held_by_another(later.as_ref(), assignment.span, now);
                let usable = self.map.holder(assignment).is_some_and(|holder| {
                    if self.has_ended(registry, holder) {
                        return false;
                    }
                    let known = registry.get(&holder.instance.vm);
                    known.is_some_and(|known| {
                        known.registration.instance() == holder.instance
                            && registry.availability(known, now) == Availability::Ready
                    }) && !self.is_silent(&holder.instance)
                });
                !moving && !held && !usable
            })
            .map(|assignment| assignment.span)
            .collect();
        if free == [Span::ALL] {
            return self.place_all(registry, map, now);
        }
        let mut changed = false;
        for span in free {
            let to = self.receiver(registry, None, map, span, now);
            let to = to.filter(|to| !self.ledger.is_held_by_another(Some(&to.instance), span, now));
            if let Some(to) = to {
                map.assign(span, Some(to));
                changed = true;
            }
        }
        changed
    }

    /// Returns the later run of a holder that started anew under the same name.
    fn later_run(&self, registry: &Registry, assignment: &Assignment) -> Option<Instance> {
        let holder = self.map.holder(assignment)?;
        let known = registry.get(&holder.instance.vm)?;
        (known.registration.started_at_ms > holder.instance.started_at_ms)
            .then(|| known.registration.instance())
    }

    fn place_all(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let ready: Vec<Holder> = self.ready(registry, now).map(holder).collect();
        if ready.is_empty() {
            return false;
        }
        for (span, at) in balance::stripes(ready.len(), STRIPES) {
            map.assign(span, Some(ready[at].clone()));
        }
        true
    }

    /// Returns who gets keys: the target that was meant, or else the least loaded.
    pub(super) fn receiver(
        &self,
        registry: &Registry,
        meant: Option<&Instance>,
        map: &Map,
        span: Span,
        now: Tick,
    ) -> Option<Holder> {
        let ready: Vec<Holder> = self
            .ready(registry, now)
            .map(holder)
            .filter(|holder| !self.is_silent(&holder.instance))
            .filter(|holder| !self.ended.contains(&holder.instance))
            .collect();
        let meant =
            meant.and_then(|instance| ready.iter().find(|holder| holder.instance == *instance));
        if let Some(holder) = meant {
            return Some(holder.clone());
        }
        // A target that started anew at the same place keeps the keys it had.
        let before =
            self.map.assignment(span.first).and_then(|assignment| self.map.holder(assignment));
        let again = before.and_then(|before| {
            ready.iter().find(|holder| {
                holder.instance.vm == before.instance.vm
                    && holder.instance.started_at_ms > before.instance.started_at_ms
            })
        });
        if let Some(holder) = again {
            return Some(holder.clone());
        }
        let weight = |holder: &Holder| {
            let held = map.held_by(&holder.instance);
            held.map(|assignment| {
                self.load.rate(assignment.span) + f64::from(assignment.span.width()) / 65_536.0
            })
            .sum::<f64>()
        };
        ready.into_iter().min_by(|a, b| weight(a).total_cmp(&weight(b)))
    }
}

fn holder(known: &RegisteredTarget) -> Holder {
    Holder {
        instance: known.registration.instance(),
        address: known.registration.address,
        zone: known.registration.zone.clone(),
    }
}
