//! Taking keys back, from targets that leave and for balance.

use {
    super::{Action, Move, Outcome, Planner, Step, is_leaving},
    crate::{
        balance::{self, Candidate},
        map::{Instance, Span},
        registry::{RegisteredTarget, Registry},
    },
    key::{Fence, clock::Tick},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The most moves at a time, for a small service.
const MOVES: usize = 8;

/// For a larger one, a move for each so many targets.
const TARGETS_A_MOVE: usize = 8;

/// The most releases at a time by one target that is leaving.
const MOVES_EACH: usize = 4;

impl Planner {
    pub(super) fn releases(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        let mut wanted = self.departures(registry, now);
        if wanted.is_empty() && self.moves.is_empty() {
            wanted = self.rebalance(registry, now);
        }
        let mut actions = Vec::new();
        for moving in wanted {
            let Some((address, fence)) = self.present(&moving) else { continue };
            actions.push(Action::Release {
                instance: moving.from.clone(),
                address,
                span: moving.span,
                fence,
            });
            self.moves.push(moving);
        }
        actions
    }

    /// Returns where the target of a move listens and under which fence it has all the keys, if it
    /// has them.
    fn present(&self, moving: &Move) -> Option<(SocketAddr, Fence)> {
        let assignment = self.map.assignment(moving.span.first)?;
        let holder = self.map.holder(assignment)?;
        let whole = moving.span.without(assignment.span) == [None, None];
        (whole && holder.instance == moving.from).then_some((holder.address, assignment.fence))
    }

    /// Returns the moves away from targets that are leaving.
    fn departures(&self, registry: &Registry, now: Tick) -> Vec<Move> {
        let mut moves: Vec<Move> = Vec::new();
        if self.ready(registry, now).next().is_none() {
            return moves;
        }
        for holder in &self.map.holders {
            let mut under_way =
                self.moves.iter().filter(|moving| moving.from == holder.instance).count();
            if !is_leaving(registry, holder, now) || !self.can_release(&holder.instance, now) {
                continue;
            }
            for assignment in self.map.held_by(&holder.instance) {
                let span = assignment.span;
                if under_way >= MOVES_EACH {
                    break;
                }
                if !self.moves.iter().any(|moving| moving.span.overlaps(span)) {
                    let from = holder.instance.clone();
                    moves.push(Move::new(span, from, None));
                    under_way += 1;
                }
            }
        }
        moves
    }

    /// Tells whether keys can be taken from a target: it has answered to its present fences, so that
    /// no former leader can renew there, and no grant is on its way that could overtake a release or
    /// be obeyed after it.
    pub(super) fn can_release(&self, instance: &Instance, now: Tick) -> bool {
        self.has_answered(instance)
            && self
                .contacts
                .get(instance)
                .is_some_and(|contact| contact.is_settled(now) && !contact.may_obey(now))
    }

    /// Tells whether a target has answered to its present fence for each of its keys. A release under
    /// a fence that it has not seen for a key may leave that key with it.
    pub(super) fn has_answered(&self, instance: &Instance) -> bool {
        let Some(contact) = self.contacts.get(instance).filter(|contact| !contact.busy) else {
            return false;
        };
        contact.failures == 0
            && self
                .map
                .held_by(instance)
                .all(|assignment| contact.covers(assignment.span, assignment.fence))
    }

    fn rebalance(&mut self, registry: &Registry, now: Tick) -> Vec<Move> {
        let seconds = now.since(self.balanced).as_secs_f64();
        self.balanced = now;
        self.load.decay(seconds);
        let candidates = self.candidates(registry, now);
        let limit = MOVES.max(candidates.len() / TARGETS_A_MOVE);
        balance::rebalance(&self.map, &self.load, &candidates, limit)
            .into_iter()
            .map(|reassignment| {
                Move::new(reassignment.span, reassignment.from, Some(reassignment.to))
            })
            .collect()
    }

    /// Returns the targets that may give keys away or take some. One that has just started gets none
    /// while it is slow.
    pub(super) fn candidates(&self, registry: &Registry, now: Tick) -> Vec<Candidate> {
        let candidate = |known: &RegisteredTarget| {
            let instance = known.registration.instance();
            let starts = known.registration.warmup_remaining_ms > 0
                && self.map.held_by(&instance).next().is_none();
            let usable = !starts && !self.is_silent(&instance) && !self.ended.contains(&instance);
            let can_donate = self.can_release(&instance, now);
            usable.then_some(Candidate { instance, slots: known.registration.slots, can_donate })
        };
        self.ready(registry, now).filter_map(candidate).collect()
    }

    /// Takes the result of a release.
    pub fn record_release(
        &mut self,
        instance: &Instance,
        span: Span,
        result: Result<Option<SmolStr>, Outcome>,
    ) {
        let Some(at) =
            self.moves.iter().position(|moving| moving.from == *instance && moving.span == span)
        else {
            return;
        };
        // A target that no longer has the keys by the map cannot free them.
        let result =
            if self.present(&self.moves[at]).is_some() { result } else { Err(Outcome::Lost) };
        match result {
            Ok(handover) => {
                self.ledger.remove(instance, span);
                self.moves[at].step = Step::Released(handover);
            }
            Err(outcome) => {
                self.moves.remove(at);
                if outcome == Outcome::Ended {
                    self.record_instance_end(instance);
                }
                // The target may have obeyed, so what it holds is granted anew.
                let contact = self.contacts.entry(instance.clone()).or_default();
                contact.fences.retain(|known, _| !known.overlaps(span));
            }
        }
    }
}
