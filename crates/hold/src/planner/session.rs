//! What is known of the orders to one run of a target.

use {
    crate::map::Span,
    key::{Fence, clock::Tick},
    std::{collections::BTreeMap, time::Duration},
};

/// The time after the last answer to a grant before keys are taken back. A target may answer one order
/// twice, so that each later answer on the connection is that of the order before; the last answer
/// then comes within this time, unasked, and ends the connection.
const SETTLED: Duration = Duration::from_millis(150);

/// The time for which a target is left alone after an order to it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// A grant that was sent and not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lost {
    pub(super) span: Span,
    pub(super) fence: Fence,
    pub(super) until: Tick,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    pub(super) busy: bool,
    /// When all grants were last sent together, or as if they had been.
    pub(super) renewed: Option<Tick>,
    /// The highest fence that the target has answered to, for each span.
    pub(super) fences: BTreeMap<Span, Fence>,
    /// The highest fence that was sent.
    pub(super) highest: Fence,
    /// Only higher fences may be sent: an order failed, so that the run of the target is in doubt.
    pub(super) barrier: Fence,
    /// Grants that may still be obeyed.
    pub(super) lost: Vec<Lost>,
    pub(super) failures: u32,
    /// When grants were last answered.
    pub(super) answered: Tick,
    /// When an order last failed.
    pub(super) failed: Tick,
}

impl Contact {
    /// Notes that the target has answered to a fence, which voids lower ones.
    pub(super) fn answer(&mut self, span: Span, fence: Fence) {
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

    /// Notes that an order failed, so that lower fences than the highest are of no use any more.
    pub(super) fn fail(&mut self, now: Tick) {
        self.failures += 1;
        self.failed = now;
        self.barrier = self.highest;
    }

    /// Tells whether no answer to a grant can be outstanding.
    pub(super) fn is_settled(&self, now: Tick) -> bool {
        !self.busy && now.since(self.answered) >= SETTLED
    }

    /// Tells whether an order may be sent now.
    pub(super) fn may_order(&self, now: Tick) -> bool {
        !self.busy && (self.failures == 0 || now.since(self.failed) >= FAILURE_PAUSE)
    }

    /// Tells whether a grant without an answer may still be obeyed.
    pub(super) fn may_obey(&self, now: Tick) -> bool {
        self.lost.iter().any(|grant| grant.until > now)
    }

    /// Tells whether the target has answered to a fence for every key of a span.
    pub(super) fn covers(&self, span: Span, fence: Fence) -> bool {
        if self.fences.get(&span) == Some(&fence) {
            return true;
        }
        let answered = self.fences.iter().filter(|(_, seen)| **seen == fence);
        let rest = answered.fold(vec![span], |parts, (known, _)| {
            parts.into_iter().flat_map(|part| part.without(*known)).flatten().collect()
        });
        rest.is_empty()
    }
}
