//! Revokes keys from targets that are leaving and from busy targets.

use {
    super::{Action, Outcome, Planner, Reassignment, ReleaseState, is_leaving},
    crate::{
        balance::{self, Candidate, Pending},
        map::{Assignment, Holder, Holdings, Instance, Span},
        moves::Move,
        registry::{Availability, RegisteredTarget, Registry},
    },
    key::{Fence, clock::Tick},
    smol_str::SmolStr,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The number of concurrent reassignments for balance that every service may have.
const MIN_REASSIGNMENT_LIMIT: usize = 8;

/// A larger service may have one concurrent reassignment for this many targets.
const TARGETS_PER_REASSIGNMENT: usize = 4;

/// The limit of concurrent releases by one target that is leaving.
const MAX_RELEASES_PER_TARGET: usize = 4;

/// The number of concurrent releases by the targets of evacuated availability zones that every
/// service may have. The grants of so many begin at once (see [`Outbox`](crate::Outbox)).
const MIN_EVACUATION_RELEASES: usize = 32;

/// A larger map may have one more concurrent release by such targets for this many spans. A key has
/// no holder from its release to its grant, so keys leave a zone in several rounds, of which the
/// bound of some seconds allows a dozen.
const SPANS_PER_EVACUATION_RELEASE: usize = 16;

impl Planner {
    /// Starts the reassignments that are due and returns their releases.
    pub(super) fn begin_releases(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        let mut due = self.plan_departures(registry, now);
        if due.is_empty() && self.move_pace.is_due(now) {
            due = self.rebalance(registry, now);
            if !due.is_empty() {
                self.move_pace.record(now);
            }
        }
        let mut actions = Vec::new();
        for reassignment in due {
            let Some((address, fence)) = self.donor(&reassignment) else { continue };
            actions.push(Action::Release {
                instance: reassignment.from.clone(),
                address,
                span: reassignment.span,
                fence,
            });
            self.reassignments.push(reassignment);
        }
        actions
    }

    /// Returns the address of the donor and the fence under which it holds all of the keys, or
    /// nothing if it does not hold them.
    fn donor(&self, reassignment: &Reassignment) -> Option<(SocketAddr, Fence)> {
        let assignment = self.map.assignment(reassignment.span.first)?;
        let holder = self.map.holder(assignment)?;
        let is_whole = reassignment.span.without(assignment.span) == [None, None];
        (is_whole && holder.instance == reassignment.from)
            .then_some((holder.address, assignment.fence))
    }

    /// Returns the reassignments away from targets that are leaving.
    fn plan_departures(&self, registry: &Registry, now: Tick) -> Vec<Reassignment> {
        let mut due: Vec<Reassignment> = Vec::new();
        if self.ready_targets(registry, now).next().is_none() {
            return due;
        }
        let mut evacuation_room = self.evacuation_room(registry, now);
        for holder in self.map.holders.iter().filter(|holder| is_leaving(registry, holder, now)) {
            let mut releases = self
                .reassignments
                .iter()
                .filter(|reassignment| reassignment.from == holder.instance)
                .count();
            let is_evacuated = is_evacuated(registry, holder, now);
            if is_evacuated && evacuation_room == 0 {
                continue;
            }
            let held: Vec<&Assignment> = self.map.held_by(&holder.instance).collect();
            if !self.can_release(&holder.instance, &held, now) {
                continue;
            }
            for assignment in held {
                let span = assignment.span;
                if releases >= MAX_RELEASES_PER_TARGET || (is_evacuated && evacuation_room == 0) {
                    break;
                }
                if !self.reassignments.iter().any(|reassignment| reassignment.span.overlaps(span)) {
                    let from = holder.instance.clone();
                    due.push(Reassignment::new(span, from, None));
                    releases += 1;
                    evacuation_room = evacuation_room.saturating_sub(usize::from(is_evacuated));
                }
            }
        }
        due
    }

    /// Returns how many releases by targets of evacuated availability zones may begin now.
    fn evacuation_room(&self, registry: &Registry, now: Tick) -> usize {
        let evacuated =
            self.map.holders.iter().filter(|holder| is_evacuated(registry, holder, now));
        let instances: BTreeSet<&Instance> = evacuated.map(|holder| &holder.instance).collect();
        let begun = self.reassignments.iter().filter(|begun| instances.contains(&begun.from));
        let limit = self.map.assignments.len() / SPANS_PER_EVACUATION_RELEASE;
        limit.max(MIN_EVACUATION_RELEASES).saturating_sub(begun.count())
    }

    /// Returns true if keys can be revoked from a target, which holds `held`.
    ///
    /// It must have acknowledged its current fences, so that no former leader can renew there, and
    /// no grant may be in flight that could overtake a release or be applied after it.
    pub(super) fn can_release(&self, instance: &Instance, held: &[&Assignment], now: Tick) -> bool {
        self.has_acknowledged_all(instance, held)
            && self
                .sessions
                .get(instance)
                .is_some_and(|session| session.is_settled(now) && !session.has_lost_grants(now))
    }

    /// Returns true if a target has acknowledged its current fence for each of its keys. A release
    /// under a fence that it has not seen for a key may leave that key with it.
    fn has_acknowledged_all(&self, instance: &Instance, held: &[&Assignment]) -> bool {
        let Some(session) = self.sessions.get(instance).filter(|session| !session.in_flight) else {
            return false;
        };
        session.failures == 0
            && held
                .iter()
                .all(|assignment| session.has_acknowledged(assignment.span, assignment.fence))
    }

    /// Returns the reassignments that move load from the busiest targets to the least busy, besides
    /// those that have begun. One slow release then holds up no other.
    fn rebalance(&self, registry: &Registry, now: Tick) -> Vec<Reassignment> {
        let candidates = self.candidates(registry, now);
        let limit = MIN_REASSIGNMENT_LIMIT.max(candidates.len() / TARGETS_PER_REASSIGNMENT);
        let limit = limit.saturating_sub(self.reassignments.len());
        let limit = limit.min(self.map.room_for_splits(self.format));
        let pending: Vec<Pending> = self
            .reassignments
            .iter()
            .map(|begun| Pending {
                span: begun.span,
                from: begun.from.clone(),
                to: begun.to.clone(),
            })
            .collect();
        balance::rebalance(&self.map, &self.load, &candidates, &pending, limit)
            .into_iter()
            .map(|chosen| Reassignment::new(chosen.span, chosen.from, Some(chosen.to)))
            .collect()
    }

    /// Returns the targets that may donate or receive keys. A target that has just started receives
    /// none while it warms up.
    pub(super) fn candidates(&self, registry: &Registry, now: Tick) -> Vec<Candidate> {
        let holdings = Holdings::new(&self.map);
        let candidate = |target: &RegisteredTarget| {
            let instance = target.registration.instance();
            let held = holdings.of(&instance);
            let is_warming_up = target.registration.warmup_remaining_ms > 0 && held.is_empty();
            let is_usable = !is_warming_up
                && !self.is_unresponsive(&instance)
                && !self.ended_instances.contains(&instance);
            let can_donate = self.can_release(&instance, held, now);
            is_usable.then_some(Candidate {
                instance,
                slots: target.registration.slots,
                can_donate,
            })
        };
        self.ready_targets(registry, now).filter_map(candidate).collect()
    }

    /// Returns the keys that are being revoked, or were and have no new holder yet.
    #[must_use]
    pub fn moves(&self) -> Vec<Move> {
        let to_move = |begun: &Reassignment| Move { span: begun.span, from: begun.from.clone() };
        self.reassignments.iter().map(to_move).collect()
    }

    /// Records the result of a release: the handover data of the target, if any, or the failure.
    pub fn record_release(
        &mut self,
        instance: &Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    ) {
        let Some(index) = self
            .reassignments
            .iter()
            .position(|reassignment| reassignment.from == *instance && reassignment.span == span)
        else {
            return;
        };
        // A target that does not hold the keys according to the map cannot release them.
        let result = if self.donor(&self.reassignments[index]).is_some() {
            result
        } else {
            Err(Outcome::Lost)
        };
        match result {
            Ok(handover) => {
                self.ledger.remove(instance, span);
                self.reassignments[index].state = ReleaseState::Released(handover);
            }
            Err(outcome) => {
                self.reassignments.remove(index);
                if outcome == Outcome::Ended {
                    self.record_instance_end(instance);
                }
                // The target may have released the keys, so they are granted again. It still has the
                // others, of which more may be revoked meanwhile.
                self.sessions.entry(instance.clone()).or_default().forget_acknowledgement(span);
            }
        }
    }
}

/// Returns true if a holder would be ready if its availability zone were not evacuated.
fn is_evacuated(registry: &Registry, holder: &Holder, now: Tick) -> bool {
    let target = registry.get(&holder.instance.vm);
    target.is_some_and(|target| registry.availability(target, now) == Availability::Evacuated)
}
