//! How the commands of leaders reach the targets, and their writes the store.

use {
    super::{Event, GRANT_DURATION_MS, World, tick_at_ms},
    hold::{
        Action, Instance, Map, Span,
        connections::Checkout,
        planner::{Grant, Outcome, WriteOutcome},
    },
    key::{Era, Version},
    rand::Rng,
    smol_str::SmolStr,
};

pub(super) const GRANT_TIMEOUT_MS: u64 = 400;
const RELEASE_TIMEOUT_MS: u64 = 2_000;
/// The time after a confirmation within which a leader opens connections to targets.
const CONNECT_LEASE_MS: u64 = 800;

/// Grants that are being sent to one target, one after the other.
pub(super) struct Batch {
    pub(super) leader: usize,
    target_index: usize,
    instance: Instance,
    connection: u64,
    grants: Vec<Grant>,
    done: Vec<(Grant, Outcome)>,
}

impl World {
    pub(super) fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Grant { instance, grants, .. } => self.begin_batch(index, instance, grants),
            Action::Release { instance, span, .. } => {
                let target_index = self.target_index_of(&instance);
                self.schedule(
                    1,
                    Event::SendRelease { leader: index, target_index, instance, span },
                );
            }
            Action::Write(map) => self.send_write(index, &map),
        }
    }

    /// Starts to send grants over the connection to their target, or over a new one.
    fn begin_batch(&mut self, index: usize, instance: Instance, grants: Vec<Grant>) {
        let target_index = self.target_index_of(&instance);
        let incarnation = self.targets[target_index].incarnation;
        let silent_reconnect = self.mutation.silent_reconnect;
        let unreachable_target = self.leaders[index].unreachable_target;
        let is_reachable = self.targets[target_index].is_alive
            && (unreachable_target.0 != target_index || unreachable_target.1 <= self.now_ms);
        let leader = &mut self.leaders[index];
        let may_connect = self.now_ms - leader.confirmed_at < CONNECT_LEASE_MS;
        let mut checkout =
            leader.connections.check_out(&instance, |connection| *connection == incarnation);
        if silent_reconnect && checkout == Checkout::Closed {
            checkout = Checkout::Connect;
        }
        let connection = match checkout {
            Checkout::Reuse(connection) => Some(connection),
            Checkout::Connect if !may_connect => {
                let withheld: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Withheld)).collect();
                leader.planner.record_grants(&instance, &withheld, tick_at_ms(self.now_ms));
                leader.needs_confirmation = true;
                return;
            }
            // A new connection names the target that it is for.
            Checkout::Connect
                if is_reachable && self.targets[target_index].current_name == instance.vm =>
            {
                Some(incarnation)
            }
            Checkout::Connect => None,
            Checkout::Closed => {
                let unsent: Vec<_> =
                    grants.into_iter().map(|grant| (grant, Outcome::Unsent)).collect();
                leader.planner.record_grants(&instance, &unsent, tick_at_ms(self.now_ms));
                return;
            }
        };
        if let Some(connection) = connection {
            let done = Vec::new();
            let batch = Batch { leader: index, target_index, instance, connection, grants, done };
            self.schedule(1, Event::SendGrants(Box::new(batch)));
        } else {
            let results = grants.into_iter().map(|grant| (grant, Outcome::Unsent));
            let results = results.collect();
            self.schedule(
                5,
                Event::GrantsDone { leader: index, instance, results, connection: None },
            );
        }
    }

    fn send_write(&mut self, index: usize, map: &Map) {
        let term = self.leaders[index].term;
        let partitioned = self.leaders[index].partitioned_until > self.now_ms;
        let lost = self.draw(self.faults.write_lost);
        let late = self.draw(self.faults.write_late);
        let event =
            |is_answered| Event::Write { leader: index, term, map: map.clone(), is_answered };
        if partitioned || lost {
            if lost && !partitioned {
                let delay_ms = if late { self.rng.random_range(1_000..6_000) } else { 4 };
                self.schedule(delay_ms, event(false));
            }
            let result = WriteOutcome::Unknown;
            self.schedule(1_200, Event::WriteDone { leader: index, result });
        } else {
            self.schedule(4, event(true));
        }
    }

    pub(super) fn send_next_grant(&mut self, mut batch: Batch) {
        let paused_until = self.leaders[batch.leader].paused_until;
        if paused_until > self.now_ms {
            self.schedule(paused_until - self.now_ms, Event::SendGrants(Box::new(batch)));
            return;
        }
        if batch.grants.is_empty() {
            let Batch { leader, instance, connection, done, .. } = batch;
            self.schedule(
                1,
                Event::GrantsDone { leader, instance, results: done, connection: Some(connection) },
            );
            return;
        }
        let grant = batch.grants.remove(0);
        let target = &self.targets[batch.target_index];
        let is_closed = !target.is_alive || target.incarnation != batch.connection;
        let lost = is_closed || self.draw(self.faults.command_lost);
        let unanswered = self.draw(self.faults.answer_lost);
        let late = self.draw(self.faults.grant_late);
        let mut outcome = Outcome::Granted;
        if !lost {
            if late {
                let delay_ms = self.rng.random_range(500..6_000);
                let (target_index, incarnation) =
                    (batch.target_index, self.targets[batch.target_index].incarnation);
                let arrived_at = self.now_ms;
                self.schedule(
                    delay_ms,
                    Event::ApplyGrant {
                        target_index,
                        incarnation,
                        grant: grant.clone(),
                        arrived_at,
                    },
                );
            } else if !self.targets[batch.target_index].apply(
                &grant,
                self.now_ms,
                GRANT_DURATION_MS,
                self.now_ms,
            ) {
                outcome = Outcome::Fenced;
            }
        }
        if lost || unanswered || late {
            let Batch { leader, instance, grants, mut done, .. } = batch;
            done.push((grant, Outcome::Lost));
            done.extend(grants.into_iter().map(|grant| (grant, Outcome::Unsent)));
            let event = Event::GrantsDone { leader, instance, results: done, connection: None };
            self.schedule(GRANT_TIMEOUT_MS, event);
            return;
        }
        batch.done.push((grant, outcome));
        self.schedule(2, Event::SendGrants(Box::new(batch)));
    }

    pub(super) fn send_release(
        &mut self,
        leader: usize,
        target_index: usize,
        instance: Instance,
        span: Span,
    ) {
        let unreachable_target = self.leaders[leader].unreachable_target;
        let is_reachable = self.targets[target_index].is_alive
            && self.targets[target_index].current_name == instance.vm
            && (unreachable_target.0 != target_index || unreachable_target.1 <= self.now_ms);
        let lost = !is_reachable || self.draw(self.faults.command_lost);
        let unanswered = self.draw(self.faults.answer_lost);
        let mut result = Err(Outcome::Lost);
        let mut delay_ms = RELEASE_TIMEOUT_MS;
        if !lost {
            self.targets[target_index].release(span);
            if !unanswered {
                result = Ok(Some(SmolStr::from("warm")));
                delay_ms = self.rng.random_range(2..300);
            }
        }
        self.schedule(delay_ms, Event::ReleaseDone { leader, instance, span, result });
    }

    pub(super) fn commit_write(&mut self, leader: usize, term: u64, map: &Map, is_answered: bool) {
        self.trace(|| format!("leader {leader} writes {map:?}"));
        let current = self.row.as_ref().map_or(0, |(_, version)| *version);
        let is_current = term == self.current_term && map.version.get() == current;
        let mut result = WriteOutcome::Unknown;
        if is_current {
            self.version += 1;
            self.row = Some((map.to_bytes(Era::ZERO), self.version));
            result = WriteOutcome::Committed(Version::from(self.version));
        }
        if is_answered {
            self.schedule(2, Event::WriteDone { leader, result });
        }
    }

    pub(super) fn read_row(&mut self, index: usize) {
        let leader = &mut self.leaders[index];
        if leader.partitioned_until > self.now_ms || leader.term != self.current_term {
            return;
        }
        if let Some((bytes, version)) = &self.row {
            let map = Map::parse(bytes, Version::from(*version)).expect("a complete row");
            leader.planner.record_row(Some((map, Version::from(*version))));
        }
    }
}
