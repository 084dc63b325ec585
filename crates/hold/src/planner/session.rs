//! What the planner knows of its commands to one instance of a target.

use {
    crate::map::Span,
    key::{Fence, clock::Tick},
    std::{collections::BTreeMap, time::Duration},
};

/// The time after the latest answer to a grant during which no keys are revoked.
///
/// A target may answer one command twice, so that each later answer on the connection belongs to
/// the previous command. The last answer then arrives unsolicited within this time and closes the
/// connection.
const STRAY_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The back-off after a failed command, during which no other is sent to the target.
const FAILURE_BACKOFF: Duration = Duration::from_millis(800);

/// A grant that was sent and not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostGrant {
    pub(super) span: Span,
    pub(super) fence: Fence,
    /// The instant after which the target cannot apply the grant any more.
    pub(super) until: Tick,
}

/// The state of the commands to one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetSession {
    /// Whether grants are in flight.
    pub(super) in_flight: bool,
    /// When all grants were last renewed together. The first renewal is dated back by the phase of
    /// the target, so that the renewals of many targets are spread over the interval.
    pub(super) renewed_at: Option<Tick>,
    /// The fence that the target acknowledged last, for each span.
    pub(super) acknowledged: BTreeMap<Span, Fence>,
    /// The highest fence that was sent.
    pub(super) highest_fence: Fence,
    /// Only higher fences may be sent: a command failed, so another instance may answer.
    pub(super) minimum_fence: Fence,
    /// Grants that the target may still apply.
    pub(super) lost_grants: Vec<LostGrant>,
    /// The number of consecutive failures.
    pub(super) failures: u32,
    /// When the outcome of grants was last recorded.
    pub(super) answered_at: Tick,
    /// When a command last failed.
    pub(super) failed_at: Tick,
}

impl TargetSession {
    /// Records that the target acknowledged a fence, which voids lost grants with lower ones.
    pub(super) fn record_acknowledgement(&mut self, span: Span, fence: Fence) {
        self.acknowledged.retain(|known, _| !known.overlaps(span));
        self.acknowledged.insert(span, fence);
        let lost_grants = std::mem::take(&mut self.lost_grants);
        for grant in lost_grants {
            if grant.fence >= fence {
                self.lost_grants.push(grant);
                continue;
            }
            let rest = grant.span.without(span).into_iter().flatten();
            self.lost_grants.extend(rest.map(|span| LostGrant { span, ..grant }));
        }
    }

    /// Forgets that the target acknowledged a fence for the keys of a span.
    pub(super) fn forget_acknowledgement(&mut self, span: Span) {
        let acknowledged = std::mem::take(&mut self.acknowledged);
        let rest = acknowledged.into_iter().flat_map(|(known, fence)| {
            known.without(span).into_iter().flatten().map(move |rest| (rest, fence))
        });
        self.acknowledged = rest.collect();
    }

    /// Records that a command failed, after which only fences above the highest sent are used.
    pub(super) fn record_failure(&mut self, now: Tick) {
        self.failures += 1;
        self.failed_at = now;
        self.minimum_fence = self.highest_fence;
    }

    /// Returns true if no answer to a grant can be outstanding.
    pub(super) fn is_settled(&self, now: Tick) -> bool {
        !self.in_flight && now.since(self.answered_at) >= STRAY_ANSWER_TIMEOUT
    }

    /// Returns true if a command may be sent now.
    pub(super) fn can_send(&self, now: Tick) -> bool {
        !self.in_flight && (self.failures == 0 || now.since(self.failed_at) >= FAILURE_BACKOFF)
    }

    /// Returns true if the target may still apply an unanswered grant.
    pub(super) fn has_lost_grants(&self, now: Tick) -> bool {
        self.lost_grants.iter().any(|grant| grant.until > now)
    }

    /// Returns true if the target has acknowledged a fence for every key of a span.
    pub(super) fn has_acknowledged(&self, span: Span, fence: Fence) -> bool {
        if self.acknowledged.get(&span) == Some(&fence) {
            return true;
        }
        let acknowledged = self.acknowledged.iter().filter(|(_, known)| **known == fence);
        let rest = acknowledged.fold(vec![span], |parts, (known, _)| {
            parts.into_iter().flat_map(|part| part.without(*known)).flatten().collect()
        });
        rest.is_empty()
    }
}
