//! Trying a request without a response at a second target.
//!
//! It addresses targets that never answer some requests. The first response is taken and the other
//! attempt is dropped, which resets its connection. Both attempts may have run, and a refusal after
//! them says so unless both are proved not to have.

use {
    super::{Attempts, choosing::Permitted},
    crate::{
        permit,
        traffic::{
            attempt::{self, AttemptResult, Way},
            choose,
            target::Target,
        },
    },
    futures::future::{self, Either},
    limit::Permit,
    platform::header::Denial,
    serde::Serialize,
    std::{
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// An attempt that has ended.
struct Ended {
    target: Arc<Target>,
    result: AttemptResult,
    begun_at: Instant,
    /// Whether its target was taken to let it hang.
    seemed_to_hang: bool,
}

impl Attempts<'_> {
    /// Sends the request to a target, and to a second one if there is no response for longer than
    /// such requests almost ever take. Returns the attempt that settles the request, with its target
    /// and its begin. The other one, if any, is accounted for.
    pub(super) async fn send_hedged(
        &mut self,
        permitted: Permitted,
    ) -> (Arc<Target>, AttemptResult, Instant) {
        let ended = self.send_and_wait(permitted).await;
        self.record_ended(&ended);
        (ended.target, ended.result, ended.begun_at)
    }

    async fn send_and_wait(&mut self, permitted: Permitted) -> Ended {
        let Permitted { target, use_by } = permitted;
        let target = &target;
        let (shared, call) = (self.shared, &self.admitted.call);
        let begun_at = Instant::now();
        let ended = |result, seemed_to_hang| {
            let target = Arc::clone(target);
            Ended { target, result, begun_at, seemed_to_hang }
        };
        let is_repeated = self.is_tried(target);
        let mut first = pin!(attempt::send(shared, call, target, Way::Direct, is_repeated, use_by));
        let Some(delay) = self.hedge_delay() else { return ended(first.await, false) };
        if let Ok(result) = time::timeout(delay, first.as_mut()).await {
            return ended(result, false);
        }
        target.condition.record_hang();
        shared.counters.count("hedges", "without response");
        let Some(Permitted { target: other, use_by }) = self.hedge_target(target).await else {
            return ended(first.await, true);
        };
        self.log_hedge(target, &other);
        let other_begun_at = Instant::now();
        let ended_other = |result| Ended {
            target: Arc::clone(&other),
            result,
            begun_at: other_begun_at,
            seemed_to_hang: false,
        };
        let is_repeated = self.is_tried(&other);
        let second = pin!(attempt::send(shared, call, &other, Way::Direct, is_repeated, use_by));
        match future::select(first, second).await {
            Either::Left((result, _)) if is_response(&result) => {
                shared.counters.count("hedges", "first won");
                self.record_dropped(&other);
                ended(result, true)
            }
            Either::Right((result, _)) if is_response(&result) => {
                shared.counters.count("hedges", "second won");
                self.record_dropped(target);
                // Its latency stays as it was, so that it is tried again after the back-off.
                target.close_idle();
                self.record_failure(target, "hung");
                ended_other(result)
            }
            Either::Left((result, second)) => {
                let last = ended_other(second.await);
                self.settle(ended(result, true), last).await
            }
            Either::Right((result, first)) => {
                let last = ended(first.await, true);
                self.settle(ended_other(result), last).await
            }
        }
    }

    fn is_tried(&self, target: &Arc<Target>) -> bool {
        self.tried.iter().any(|tried| Arc::ptr_eq(tried, target))
    }

    /// Returns the time after which an attempt counts as hanging. A key has one holder, so its
    /// requests have nowhere else to go.
    fn hedge_delay(&self) -> Option<Duration> {
        if self.admitted.keyed {
            return None;
        }
        self.shared.news.hedge_delay(&self.admitted.service)
    }

    /// Returns the target of a second attempt while `first` has not answered, if the request may
    /// have one.
    async fn hedge_target(&mut self, first: &Arc<Target>) -> Option<Permitted> {
        // The first attempt is not counted among those sent yet.
        let has_attempts = self.sent + 1 < self.admitted.route.attempts;
        let is_suspect = self.shared.quarantine().is_suspect(self.admitted.fingerprint);
        if self.admitted.call.at_most_once || !has_attempts || is_suspect {
            return None;
        }
        let mut tried = self.tried.clone();
        tried.push(Arc::clone(first));
        let snapshot = self.shared.snapshot.load_full();
        let service = &self.admitted.service;
        let call = &self.admitted.call;
        let other = choose::choose_unkeyed(self.shared, &snapshot, service, &tried, call, true)
            .filter(|other| !tried.iter().any(|tried| Arc::ptr_eq(tried, other)));
        let Some(other) = other else {
            self.shared.counters.count("hedges", "no other target");
            return None;
        };
        if !self.try_hedge() {
            self.shared.counters.count("hedges", "denied");
            return None;
        }
        let cold_permit = self.acquire_cold(&other, true).await;
        let permit = permit::acquire(self.shared, &other.instance, self.permit_request(true)).await;
        match (cold_permit, permit) {
            (Ok(use_by), Permit::After(Duration::ZERO)) => {
                Some(Permitted { target: other, use_by })
            }
            _ => {
                self.shared.counters.count("hedges", "no permit");
                None
            }
        }
    }

    fn log_hedge(&self, target: &Target, other: &Target) {
        #[derive(Serialize)]
        struct HedgeLine<'a> {
            id: &'a str,
            target: &'a str,
            other: &'a str,
            after_ms: u64,
        }
        let line = HedgeLine {
            id: &self.admitted.id,
            target: target.instance.vm.as_str(),
            other: other.instance.vm.as_str(),
            after_ms: self.admitted.arrived_at.elapsed().as_millis() as u64,
        };
        self.shared.journal.log("hedge", &line);
    }

    /// Records an attempt that is dropped without a result, since the other one was answered.
    fn record_dropped(&mut self, target: &Arc<Target>) {
        self.sent += 1;
        self.may_have_run = true;
        self.tried.push(Arc::clone(target));
    }

    /// Returns the one of two ended attempts that settles the request, and accounts for the other.
    async fn settle(&mut self, first: Ended, last: Ended) -> Ended {
        // A failure that a target answered is of more use to the caller than none.
        let answered = |ended: &Ended| matches!(ended.result, AttemptResult::Answered(_));
        let (kept, other) = if answered(&first) && !is_response(&last.result) {
            (first, last)
        } else {
            (last, first)
        };
        self.account_for(&other).await;
        kept
    }

    /// Records what an attempt shows that does not settle the request.
    async fn account_for(&mut self, other: &Ended) {
        let target = &other.target;
        if !matches!(other.result, AttemptResult::Unsent(_)) {
            self.sent += 1;
        }
        self.tried.push(Arc::clone(target));
        match &other.result {
            AttemptResult::Unsent(_) => self.record_failure(target, "unreachable"),
            AttemptResult::Denied(Denial::Shed) => {
                self.record_failure(target, "shed");
                target.condition.record_shed();
            }
            AttemptResult::Denied(denial) => self.record_misdirection(target, *denial),
            AttemptResult::Answered(_) => {
                self.may_have_run = true;
                self.record_failure(target, "failure of the target");
            }
            AttemptResult::Broken => {
                self.may_have_run = true;
                self.record_failure(target, "broken answer");
            }
            AttemptResult::Lost => {
                self.may_have_run = true;
                self.record_failure(target, "connection lost");
                self.report_crash(target).await;
            }
            AttemptResult::Late => {
                self.may_have_run = true;
                self.record_failure(target, "late");
                target.close_idle();
                target.record_unanswered(other.begun_at.elapsed());
            }
        }
    }

    /// Records the time of a response, from which the delay follows. A target that seemed to hang
    /// and answers does not.
    fn record_ended(&self, ended: &Ended) {
        if self.admitted.keyed || !is_response(&ended.result) {
            return;
        }
        let elapsed = ended.begun_at.elapsed();
        if ended.seemed_to_hang {
            ended.target.condition.record_late_answer();
        }
        self.shared.news.record_time(&self.admitted.service, elapsed);
    }
}

/// Returns true if a target answered and did not fail.
fn is_response(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Answered(response) if !attempt::is_failure(response))
}
