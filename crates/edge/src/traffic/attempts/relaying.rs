//! Passing a request on to another entry, and what its answers mean.

use {
    super::Attempts,
    crate::traffic::{
        admission::Origin,
        attempt::{self, AttemptResult, Way},
        body::Body,
        relay::{self, Answer, MAX_RELAYS},
        target::Target,
    },
    http::Response,
    route::{Reason, Refusal},
    std::{sync::Arc, time::Duration},
};

/// The time for which no request is passed on to an entry that reaches no target either.
const ISOLATED_RELAY_BACKOFF: Duration = Duration::from_millis(800);

impl Attempts<'_> {
    /// Returns true if the request may be passed on to another entry.
    pub(super) fn can_relay(&self) -> bool {
        self.admitted.origin == Origin::Caller && self.relays.len() < MAX_RELAYS
    }

    /// Returns the entry to which the request is passed on next, if this one cannot reach a target
    /// for it: it is isolated, or it alone may have lost its link to the holder of the key.
    pub(super) fn next_relay(&mut self) -> Option<Arc<Target>> {
        if !self.can_relay() {
            return None;
        }
        let snapshot = self.shared.snapshot.load_full();
        self.unreached = None;
        if !self.shared.is_isolated() {
            let key = self.admitted.key.filter(|_| self.admitted.keyed)?;
            let holder = snapshot.holder(&self.admitted.service, key)?;
            if !holder.condition.may_be_reached_elsewhere() {
                return None;
            }
            self.unreached = Some(holder);
        }
        relay::choose(&snapshot, &self.relays)
    }

    /// Passes the request on to another entry. Returns its final response, or none if the request
    /// can be tried again.
    pub(super) async fn relay_through(
        &mut self,
        entry: &Arc<Target>,
    ) -> Result<Option<Response<Body>>, Refusal> {
        self.relays.push(Arc::clone(entry));
        let way = Way::Relayed { sent: self.sent };
        let unreached = self.unreached.take();
        match attempt::send(self.shared, &self.admitted.call, entry, way, false, None).await {
            AttemptResult::Answered(mut response) => {
                let answer = relay::take_answer(response.headers_mut());
                let reached = answer != Answer::Unreached;
                self.shared
                    .counters
                    .count("relayed", if reached { "answered" } else { "unreached" });
                match &unreached {
                    Some(holder) => holder.condition.record_relayed(reached),
                    None if !reached => entry.condition.avoid_for(ISOLATED_RELAY_BACKOFF),
                    None => {}
                }
                if !reached && self.can_relay() {
                    return Ok(None);
                }
                // The other entry does not know that an earlier attempt may have run.
                if answer != Answer::Final && self.may_have_run {
                    return Err(self.refusal(Reason::Unreachable));
                }
                Ok(Some(*response))
            }
            AttemptResult::Unsent(_) | AttemptResult::Denied(_) => {
                self.record_failure(entry, "relay unreachable");
                Ok(None)
            }
            AttemptResult::Lost => self.record_uncertain_relay(entry, Reason::ConnectionLost),
            AttemptResult::Broken => self.record_uncertain_relay(entry, Reason::MismatchedAnswer),
            AttemptResult::Late => {
                self.record_failure(entry, "relay late");
                self.may_have_run = true;
                Err(self.refusal(Reason::Deadline))
            }
        }
    }

    /// Records that a request may have run after it was passed on. It is tried again if its route
    /// allows repeats.
    fn record_uncertain_relay(
        &mut self,
        entry: &Target,
        reason: Reason,
    ) -> Result<Option<Response<Body>>, Refusal> {
        self.record_failure(entry, "relay lost");
        self.may_have_run = true;
        self.sent += 1;
        if self.can_repeat() { Ok(None) } else { Err(self.refusal(reason)) }
    }
}
