//! Deciding who holds which keys of one service, and keeping the grants alive.
//!
//! The planner runs in the one entry that leads. It is told what happened and answers with
//! [`Action`]s; it never waits. Four rules keep one holder for each key:
//!
//! 1. A grant goes out only when the [`Ledger`] shows no other run of a target that may hold one of
//!    its keys.
//! 2. What is granted stands in the row first, and the fence is the version of the row.
//! 3. A grant without an answer may be obeyed late, also after the target released its keys. Keys are
//!    taken back only where a higher fence has been answered to since, or that grant has run out.
//! 4. A new leader gives every holding a new fence before it sends any grant. Until a target has answered to it, the former
//!    leader may still renew there, so the ledger counts what it might have granted at the latest.

use {
    crate::{
        balance::{self, Candidate, Load},
        ledger::Ledger,
        list::{Known, Presence, Registry},
        map::{Holder, Holding, Life, Map, Span},
    },
    key::{Fence, Service, Version, clock::Tick},
    serde::Serialize,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The share by which a target's clock may run slow.
const DRIFT: f64 = 0.02;

/// The stripes of each target in the first map.
const STRIPES: usize = 3;

/// The most moves at a time, for a small service.
const MOVES: usize = 8;

/// For a larger one, a move for each so many targets.
const TARGETS_A_MOVE: usize = 8;

/// The most releases at a time by one target that is leaving.
const MOVES_EACH: usize = 4;

/// The time for which a target is left alone after an order to it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// The failures of orders in a row after which a target counts as silent.
const SILENT_AFTER: u32 = 2;

/// The timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The life of a grant.
    pub hold: Duration,
    /// The time between renewals.
    pub renew: Duration,
    /// The time one order may take, and after which its connection is given up.
    pub order_timeout: Duration,
    /// The allowance for orders on their way when their connection is given up.
    pub margin: Duration,
    /// The longest time for which a former leader may renew without the store.
    pub right: Duration,
}

impl Config {
    fn longest(&self) -> Duration {
        self.hold.mul_f64(1.0 + DRIFT) + self.margin
    }
}

/// One grant to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// The fence.
    pub fence: Fence,
    /// What the last holder left, if the keys are new to the target.
    pub handover: Option<SmolStr>,
}

/// Something to do for the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send grants to a target, one after the other.
    Grant {
        /// The run of the target.
        life: Life,
        /// Where it listens.
        address: SocketAddr,
        /// The grants.
        grants: Vec<Grant>,
    },
    /// Take keys back.
    Release {
        /// The run of the target.
        life: Life,
        /// Where it listens.
        address: SocketAddr,
        /// The keys.
        span: Span,
        /// Their fence.
        fence: Fence,
    },
    /// Write the row if it still has its version.
    Write(Map),
}

/// What came of one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target holds the keys.
    Granted,
    /// The order was not sent.
    Unsent,
    /// The order may be obeyed, now or later.
    Lost,
    /// The target has seen a higher fence: another process leads.
    Fenced,
    /// The target refused.
    Refused,
    /// Another target answers at the address: the one that was meant has ended.
    Ended,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect with this version.
    Done(Version),
    /// It did not take effect.
    Refused,
    /// The row must be read to find out.
    Unknown,
}

/// What keeps a planner busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The spans of the map.
    pub holdings: usize,
    /// The runs of targets that hold keys by the map.
    pub holders: usize,
    /// The targets that may give keys away or take some.
    pub candidates: usize,
    /// The targets that are ready by the list.
    pub ready: usize,
    /// The targets to which orders are under way.
    pub busy: usize,
    /// The targets to which the last orders failed.
    pub silent: usize,
    /// The spans that are being taken back.
    pub releasing: usize,
    /// The spans that were taken back and not yet given on.
    pub released: usize,
    /// Whether the row is being written.
    pub writing: bool,
    /// The writes that may still take effect.
    pub doubtful: usize,
    /// The load of the busiest target, in percent of its slots.
    pub busiest_percent: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Releasing,
    Released(Option<SmolStr>),
}

#[derive(Clone, Debug)]
struct Move {
    span: Span,
    from: Life,
    to: Option<Life>,
    step: Step,
}

/// A grant that was sent and not answered.
#[derive(Clone, Copy, Debug)]
struct Lost {
    span: Span,
    fence: Fence,
    until: Tick,
}

#[derive(Clone, Debug, Default)]
struct Contact {
    busy: bool,
    /// When grants were last sent.
    sent: Option<Tick>,
    /// The highest fence that the target has answered to, for each span.
    fences: BTreeMap<Span, Fence>,
    /// The highest fence that was sent.
    highest: Fence,
    /// Only higher fences may be sent: an order failed, so that the run of the target is in doubt.
    barrier: Fence,
    /// Grants that may still be obeyed.
    lost: Vec<Lost>,
    failures: u32,
    /// When an order last failed.
    failed: Tick,
}

impl Contact {
    /// Notes that the target has answered to a fence, which voids lower ones.
    fn answer(&mut self, span: Span, fence: Fence) {
        self.fences.retain(|known, _| !known.overlaps(span));
        self.fences.insert(span, fence);
        let lost = std::mem::take(&mut self.lost);
        for grant in lost {
            if grant.fence >= fence {
                self.lost.push(grant);
                continue;
            }
            let rest = grant.span.without(span).into_iter().flatten();
            self.lost.extend(rest.map(|span| Lost { span, ..grant }));
        }
    }

    /// Tells whether an order may be sent now.
    fn may_order(&self, now: Tick) -> bool {
        !self.busy && (self.failures == 0 || now.since(self.failed) >= FAILURE_PAUSE)
    }

    /// Tells whether a grant without an answer may still be obeyed.
    fn may_obey(&self, now: Tick) -> bool {
        self.lost.iter().any(|grant| grant.until > now)
    }

    /// Tells whether the target has answered to a fence for every key of a span.
    fn covers(&self, span: Span, fence: Fence) -> bool {
        self.fences.iter().any(|(known, seen)| {
            known.first <= span.first && span.last <= known.last && *seen == fence
        })
    }
}

/// The decisions about one service.
#[derive(Clone, Debug)]
pub struct Planner {
    service: Service,
    config: Config,
    map: Map,
    ledger: Ledger,
    contacts: BTreeMap<Life, Contact>,
    moves: Vec<Move>,
    handovers: BTreeMap<Span, SmolStr>,
    /// Runs of targets that hold keys by the map and are proved to have ended.
    ended: BTreeSet<Life>,
    /// The map that is being written.
    writing: Option<Map>,
    /// Maps whose write had no answer and that the store may still take.
    doubtful: Vec<Map>,
    /// Whether the row must be read again before anything else is written.
    unread: bool,
    /// Whether every holding has had a new fence since this process leads.
    refenced: bool,
    load: Load,
    balanced: Tick,
}

impl Planner {
    /// Takes over a service at `now` with its row as it was read after this process came to lead.
    #[must_use]
    pub fn new(service: Service, config: Config, map: Option<Map>, now: Tick) -> Self {
        let map = map.unwrap_or_else(Map::vacant);
        let mut ledger = Ledger::default();
        let until = now.plus(config.right + config.longest());
        for holding in &map.holdings {
            if let Some(holder) = map.holder(holding) {
                ledger.extend(&holder.life, holding.span, until);
            }
        }
        Self {
            service,
            config,
            refenced: map.version == Version::ZERO,
            map,
            ledger,
            contacts: BTreeMap::new(),
            moves: Vec::new(),
            handovers: BTreeMap::new(),
            ended: BTreeSet::new(),
            writing: None,
            doubtful: Vec::new(),
            unread: false,
            load: Load::default(),
            balanced: now,
        }
    }

    /// Returns the map.
    #[must_use]
    pub const fn map(&self) -> &Map {
        &self.map
    }

    /// Returns what keeps the planner busy, for people.
    #[must_use]
    pub fn summary(&self, registry: &Registry, now: Tick) -> Summary {
        let candidates = self.candidates(registry, now);
        let utilisation = candidates
            .iter()
            .map(|candidate| balance::utilisation(&self.map, &self.load, candidate));
        let percent = |value: f64| (value * 100.0) as u32;
        Summary {
            holdings: self.map.holdings.len(),
            holders: self.map.holders.len(),
            candidates: candidates.len(),
            ready: self.ready(registry, now).count(),
            busy: self.contacts.values().filter(|contact| contact.busy).count(),
            silent: self.contacts.values().filter(|contact| contact.failures > 0).count(),
            releasing: self.moves.iter().filter(|moving| moving.step == Step::Releasing).count(),
            released: self.moves.len()
                - self.moves.iter().filter(|moving| moving.step == Step::Releasing).count(),
            writing: self.writing.is_some(),
            doubtful: self.doubtful.len(),
            busiest_percent: utilisation.map(percent).max().unwrap_or(0),
        }
    }

    /// Returns the load that entries have reported.
    pub const fn load(&mut self) -> &mut Load {
        &mut self.load
    }

    /// Tells whether the row must be read before the planner can go on.
    #[must_use]
    pub const fn wants_reading(&self) -> bool {
        self.unread
    }

    /// Notes the proof that a run of a target has ended.
    pub fn end(&mut self, life: &Life) {
        if self.map.holders.iter().any(|holder| holder.life == *life) {
            self.ended.insert(life.clone());
            self.ledger.end(life);
        }
    }

    /// Tells whether a holder of keys is proved to have ended.
    fn has_ended(&self, registry: &Registry, holder: &Holder) -> bool {
        self.ended.contains(&holder.life) || registry.has_ended(&holder.life, holder.address)
    }

    /// Looks at everything and returns what to do.
    pub fn step(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        self.ledger.expire(now);
        self.note_ends(registry);
        let mut actions = Vec::new();
        if self.writing.is_none() && !self.unread {
            if self.refenced {
                actions.extend(self.releases(registry, now));
            }
            actions.extend(self.write(registry, now));
        }
        actions.extend(self.renewals(registry, now));
        actions
    }

    fn note_ends(&mut self, registry: &Registry) {
        for holder in &self.map.holders {
            if !registry.has_ended(&holder.life, holder.address) {
                continue;
            }
            // What was sent to the earlier run may have reached the later one.
            match registry.get(&holder.life.vm).map(|known| known.listing.life()) {
                Some(later) if later != holder.life => self.ledger.pass_on(&holder.life, &later),
                _ => self.ledger.end(&holder.life),
            }
        }
    }

    fn renewals(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
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
            let grants = self.due_grants(&holder.life, &holdings, &given, now);
            if grants.is_empty() {
                continue;
            }
            for grant in &grants {
                self.ledger.begin(&holder.life, grant.span);
            }
            let contact = self.contacts.entry(holder.life.clone()).or_default();
            contact.busy = true;
            contact.sent = Some(now);
            actions.push(Action::Grant { life: holder.life, address: holder.address, grants });
        }
        actions
    }

    /// Tells whether orders may go to a target now: after a failure it is left alone for a while.
    fn may_order(&self, holder: &Holder, now: Tick) -> bool {
        self.contacts.get(&holder.life).is_none_or(|contact| contact.may_order(now))
    }

    fn due_grants(
        &self,
        life: &Life,
        holdings: &[Holding],
        given: &[(Span, Option<Life>)],
        now: Tick,
    ) -> Vec<Grant> {
        let contact = self.contacts.get(life);
        let sent = contact.and_then(|contact| contact.sent);
        let due = sent.is_none_or(|sent| now.since(sent) >= self.config.renew);
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
        if failed {
            contact.failures += 1;
            contact.failed = now;
            contact.barrier = contact.highest;
        } else {
            contact.failures = 0;
        }
        fenced
    }

    fn releases(&mut self, registry: &Registry, now: Tick) -> Vec<Action> {
        let mut wanted = self.departures(registry, now);
        if wanted.is_empty() && self.moves.is_empty() {
            wanted = self.rebalance(registry, now);
        }
        let mut actions = Vec::new();
        for moving in wanted {
            let Some(holder) = self.map.holders.iter().find(|holder| holder.life == moving.from)
            else {
                continue;
            };
            let Some(holding) = self.map.holding(moving.span.first) else { continue };
            actions.push(Action::Release {
                life: moving.from.clone(),
                address: holder.address,
                span: moving.span,
                fence: holding.fence,
            });
            self.moves.push(moving);
        }
        actions
    }

    /// Returns the moves away from targets that are leaving.
    fn departures(&self, registry: &Registry, now: Tick) -> Vec<Move> {
        let mut moves: Vec<Move> = Vec::new();
        if self.ready(registry, now).next().is_none() {
            return moves;
        }
        for holder in &self.map.holders {
            let mut under_way =
                self.moves.iter().filter(|moving| moving.from == holder.life).count();
            if !is_leaving(registry, holder, now) || !self.can_release(&holder.life, now) {
                continue;
            }
            for holding in self.map.held_by(&holder.life) {
                let span = holding.span;
                if under_way >= MOVES_EACH {
                    break;
                }
                if !self.moves.iter().any(|moving| moving.span.overlaps(span)) {
                    let from = holder.life.clone();
                    moves.push(Move { span, from, to: None, step: Step::Releasing });
                    under_way += 1;
                }
            }
        }
        moves
    }

    /// Tells whether keys can be taken from a target: it has answered to its present fences, so that
    /// no former leader can renew there, and no grant is on its way that could overtake a release or
    /// be obeyed after it.
    fn can_release(&self, life: &Life, now: Tick) -> bool {
        self.has_answered(life)
            && self.contacts.get(life).is_some_and(|contact| !contact.may_obey(now))
    }

    /// Tells whether a target has answered to all its present fences.
    fn has_answered(&self, life: &Life) -> bool {
        let Some(contact) = self.contacts.get(life).filter(|contact| !contact.busy) else {
            return false;
        };
        let answered = |span: Span, fence: Fence| {
            contact.fences.iter().any(|(known, seen)| known.overlaps(span) && *seen >= fence)
        };
        contact.failures == 0
            && self.map.held_by(life).all(|holding| answered(holding.span, holding.fence))
    }

    fn rebalance(&mut self, registry: &Registry, now: Tick) -> Vec<Move> {
        let seconds = now.since(self.balanced).as_secs_f64();
        self.balanced = now;
        self.load.decay(seconds);
        let candidates = self.candidates(registry, now);
        let limit = MOVES.max(candidates.len() / TARGETS_A_MOVE);
        balance::shifts(&self.map, &self.load, &candidates, limit)
            .into_iter()
            .map(|shift| Move {
                span: shift.span,
                from: shift.from,
                to: Some(shift.to),
                step: Step::Releasing,
            })
            .collect()
    }

    /// Returns the targets that may give keys away or take some.
    fn candidates(&self, registry: &Registry, now: Tick) -> Vec<Candidate> {
        self.ready(registry, now)
            .filter(|known| {
                let life = known.listing.life();
                self.can_release(&life, now)
                    || (self.map.held_by(&life).next().is_none() && known.listing.cold_ms == 0)
            })
            .map(|known| Candidate { life: known.listing.life(), slots: known.listing.slots })
            .collect()
    }

    fn ready<'a>(
        &'a self,
        registry: &'a Registry,
        now: Tick,
    ) -> impl Iterator<Item = &'a Known> + 'a {
        registry
            .of(&self.service)
            .filter(move |known| registry.presence(known, now) == Presence::Ready)
    }

    /// Takes the result of a release.
    pub fn released(&mut self, life: &Life, span: Span, result: Result<Option<SmolStr>, Outcome>) {
        let Some(at) =
            self.moves.iter().position(|moving| moving.from == *life && moving.span == span)
        else {
            return;
        };
        match result {
            Ok(handover) => {
                self.ledger.remove(life, span);
                self.moves[at].step = Step::Released(handover);
            }
            Err(outcome) => {
                self.moves.remove(at);
                if outcome == Outcome::Ended {
                    self.end(life);
                }
                // The target may have obeyed, so what it holds is granted anew.
                let contact = self.contacts.entry(life.clone()).or_default();
                contact.fences.retain(|known, _| !known.overlaps(span));
            }
        }
    }

    /// Returns the new map, if anything in it has to change.
    fn write(&mut self, registry: &Registry, now: Tick) -> Option<Action> {
        let mut map = self.map.clone();
        if !self.refenced {
            map.refence();
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
        map.join_neighbours();
        self.writing = Some(map.clone());
        Some(Action::Write(map))
    }

    /// Gives new fences to targets to which an order failed. Whichever run answers to the new fence,
    /// earlier grants are void there.
    fn renew_fences(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let mut changed = false;
        for holder in &self.map.holders {
            let Some(contact) = self.contacts.get(&holder.life) else { continue };
            let barred =
                self.map.held_by(&holder.life).any(|holding| holding.fence <= contact.barrier);
            if barred && contact.may_order(now) && !self.has_ended(registry, holder) {
                map.refence_holder(&holder.life);
                changed = true;
            }
        }
        changed
    }

    /// Gives keys that nobody can hold any more to targets that are ready.
    fn place_free_keys(&self, registry: &Registry, map: &mut Map, now: Tick) -> bool {
        let free: Vec<Span> = self
            .map
            .holdings
            .iter()
            .filter(|holding| {
                let moving = self.moves.iter().any(|moving| moving.span.overlaps(holding.span));
                let later = self.later_run(registry, holding);
                let held = self.ledger.is_held_by_another(later.as_ref(), holding.span, now);
                let usable = self.map.holder(holding).is_some_and(|holder| {
                    if self.has_ended(registry, holder) {
                        return false;
                    }
                    let known = registry.get(&holder.life.vm);
                    known.is_some_and(|known| {
                        known.listing.life() == holder.life
                            && registry.presence(known, now) == Presence::Ready
                    }) && !self.is_silent(&holder.life)
                });
                !moving && !held && !usable
            })
            .map(|holding| holding.span)
            .collect();
        if free == [Span::ALL] {
            return self.place_all(registry, map, now);
        }
        let mut changed = false;
        for span in free {
            let to = self.receiver(registry, None, map, span, now);
            let to = to.filter(|to| !self.ledger.is_held_by_another(Some(&to.life), span, now));
            if let Some(to) = to {
                map.assign(span, Some(to));
                changed = true;
            }
        }
        changed
    }

    /// Returns the later run of a holder that started anew under the same name.
    fn later_run(&self, registry: &Registry, holding: &Holding) -> Option<Life> {
        let holder = self.map.holder(holding)?;
        let known = registry.get(&holder.life.vm)?;
        (known.listing.born > holder.life.born).then(|| known.listing.life())
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

    /// Tells whether orders to a target failed and none has succeeded since.
    fn is_silent(&self, life: &Life) -> bool {
        self.contacts.get(life).is_some_and(|contact| contact.failures >= SILENT_AFTER)
    }

    /// Returns who gets keys: the target that was meant, or else the least loaded.
    fn receiver(
        &self,
        registry: &Registry,
        meant: Option<&Life>,
        map: &Map,
        span: Span,
        now: Tick,
    ) -> Option<Holder> {
        let ready: Vec<Holder> = self
            .ready(registry, now)
            .map(holder)
            .filter(|holder| !self.is_silent(&holder.life))
            .filter(|holder| !self.ended.contains(&holder.life))
            .collect();
        let meant = meant.and_then(|life| ready.iter().find(|holder| holder.life == *life));
        if let Some(holder) = meant {
            return Some(holder.clone());
        }
        // A target that started anew at the same place keeps the keys it had.
        let before = self.map.holding(span.first).and_then(|holding| self.map.holder(holding));
        let again = before.and_then(|before| {
            ready.iter().find(|holder| {
                holder.life.vm == before.life.vm && holder.life.born > before.life.born
            })
        });
        if let Some(holder) = again {
            return Some(holder.clone());
        }
        let weight = |holder: &Holder| {
            let held = map.held_by(&holder.life);
            held.map(|holding| {
                self.load.rate(holding.span) + f64::from(holding.span.width()) / 65_536.0
            })
            .sum::<f64>()
        };
        ready.into_iter().min_by(|a, b| weight(a).total_cmp(&weight(b)))
    }

    /// Takes the result of the write.
    pub fn written(&mut self, result: Written) {
        let Some(mut map) = self.writing.take() else { return };
        match result {
            Written::Done(version) => {
                for holding in &mut map.holdings {
                    if holding.fence == Fence::ZERO {
                        holding.fence = Fence::from(version.get());
                    }
                }
                map.version = version;
                self.settle(map);
            }
            Written::Refused => {}
            Written::Unknown => {
                self.doubtful.push(map);
                self.unread = true;
            }
        }
    }

    /// Takes the row as it was read; an older one than is known changes nothing.
    pub fn read(&mut self, map: Map) {
        if self.writing.is_some() {
            return;
        }
        self.unread = false;
        if map.version > self.map.version {
            self.settle(map);
        }
    }

    fn newest_fence(&self) -> Fence {
        self.map.holdings.iter().map(|holding| holding.fence).max().unwrap_or_default()
    }

    fn settle(&mut self, map: Map) {
        let oldest = map.holdings.iter().map(|holding| holding.fence).min().unwrap_or_default();
        self.refenced |= oldest > self.newest_fence();
        self.moves.retain(|moving| {
            let holder = map.holding(moving.span.first).and_then(|holding| map.holder(holding));
            holder.is_some_and(|holder| holder.life == moving.from)
        });
        let lives: BTreeSet<&Life> = map.holders.iter().map(|holder| &holder.life).collect();
        self.contacts.retain(|life, contact| contact.busy || lives.contains(life));
        self.doubtful.clear();
        self.ended.retain(|life| lives.contains(life));
        self.map = map;
    }
}

/// Returns the parts of a span that stay with their holder for now.
fn kept(span: Span, life: &Life, given: &[(Span, Option<Life>)]) -> Vec<Span> {
    let gone = given.iter().filter(|(_, to)| to.as_ref() != Some(life)).map(|(span, _)| *span);
    gone.fold(vec![span], |parts, gone| {
        parts.into_iter().flat_map(|part| part.without(gone)).flatten().collect()
    })
}

fn is_leaving(registry: &Registry, holder: &Holder, now: Tick) -> bool {
    match registry.get(&holder.life.vm) {
        Some(known) => {
            known.listing.life() == holder.life && registry.presence(known, now) != Presence::Ready
        }
        None => registry.is_complete(now),
    }
}

fn holder(known: &Known) -> Holder {
    Holder {
        life: known.listing.life(),
        address: known.listing.address,
        zone: known.listing.zone.clone(),
    }
}
