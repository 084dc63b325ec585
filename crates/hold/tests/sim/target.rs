//! A simulated target that behaves as the platform specifies.

use {
    hold::{Span, planner::Grant},
    key::{Fence, Vm},
};

/// The factor by which the clock of a target runs slow.
const CLOCK_SLOWDOWN: f64 = 1.02;

/// Keys that are held until an instant, in milliseconds.
struct HeldSpan {
    span: Span,
    until: u64,
}

/// One target, over all of its instances.
pub struct Target {
    pub current_name: Vm,
    pub former_names: Vec<Vm>,
    pub incarnation: u64,
    pub started_at_ms: u64,
    pub is_alive: bool,
    pub unregistered_until: u64,
    /// Grants that were applied although an earlier instance had seen their fence or a higher one.
    pub stale_grants: Vec<String>,
    number: usize,
    held: Vec<HeldSpan>,
    /// The fences that the current instance has seen.
    fences: Vec<(Span, Fence)>,
    /// The fences that earlier instances with the same name have seen.
    earlier_fences: Vec<(Span, Fence)>,
}

impl Target {
    pub fn new(number: usize) -> Self {
        Self {
            current_name: Vm::from(format!("t{number}").as_str()),
            former_names: Vec::new(),
            incarnation: 1,
            started_at_ms: 1,
            is_alive: true,
            unregistered_until: 0,
            stale_grants: Vec::new(),
            number,
            held: Vec::new(),
            fences: Vec::new(),
            earlier_fences: Vec::new(),
        }
    }

    pub fn name(&self) -> Vm {
        self.current_name.clone()
    }

    pub fn crash(&mut self) {
        self.is_alive = false;
        self.held.clear();
    }

    pub fn restart(&mut self, keeps_name: bool, now_ms: u64) {
        self.incarnation += 1;
        self.started_at_ms = now_ms + 1;
        self.is_alive = true;
        self.earlier_fences.append(&mut self.fences);
        if !keeps_name {
            self.former_names.push(self.name());
            self.current_name = Vm::from(format!("t{}r{}", self.number, self.incarnation).as_str());
            self.earlier_fences.clear();
        }
    }

    /// Applies a grant that arrived at `arrived_at`, unless the target has seen a higher fence.
    /// Returns true if it was applied.
    pub fn apply(
        &mut self,
        grant: &Grant,
        arrived_at: u64,
        grant_duration_ms: u64,
        now_ms: u64,
    ) -> bool {
        let is_higher =
            |(span, fence): &(Span, Fence)| span.overlaps(grant.span) && *fence > grant.fence;
        if self.fences.iter().any(is_higher) {
            return false;
        }
        let is_reused =
            |(span, fence): &(Span, Fence)| span.overlaps(grant.span) && *fence >= grant.fence;
        if self.earlier_fences.iter().any(is_reused) {
            self.stale_grants.push(format!(
                "{now_ms} ms: {} accepted fence {} again",
                self.name(),
                grant.fence
            ));
        }
        if !self.fences.contains(&(grant.span, grant.fence)) {
            self.fences.push((grant.span, grant.fence));
        }
        let until = arrived_at + (grant_duration_ms as f64 * CLOCK_SLOWDOWN) as u64;
        self.held
            .retain(|held| held.until > now_ms && (held.span != grant.span || held.until > until));
        self.held.push(HeldSpan { span: grant.span, until });
        true
    }

    pub fn release(&mut self, span: Span) {
        let mut kept = Vec::new();
        for held in self.held.drain(..) {
            for span in held.span.without(span).into_iter().flatten() {
                kept.push(HeldSpan { span, until: held.until });
            }
        }
        self.held = kept;
    }

    /// Returns the spans that the target holds, merged where they overlap.
    pub fn spans(&self, now_ms: u64) -> impl Iterator<Item = Span> {
        let mut spans: Vec<Span> =
            self.held.iter().filter(|held| held.until > now_ms).map(|held| held.span).collect();
        spans.sort();
        let mut merged: Vec<Span> = Vec::new();
        for span in spans {
            match merged.last_mut() {
                Some(last) if span.first <= last.last => last.last = last.last.max(span.last),
                _ => merged.push(span),
            }
        }
        merged.into_iter()
    }

    /// Describes a pair of overlapping spans that both targets hold, if there is one.
    pub fn conflict(&self, other: &Self, now_ms: u64) -> Option<String> {
        if !self.is_alive || !other.is_alive {
            return None;
        }
        let own: Vec<Span> = self.spans(now_ms).collect();
        let theirs: Vec<Span> = other.spans(now_ms).collect();
        own.iter()
            .flat_map(|a| theirs.iter().map(move |b| (a, b)))
            .find(|(a, b)| a.overlaps(**b))
            .map(|(a, b)| format!("{} holds {a:?}, {} holds {b:?}", self.name(), other.name()))
    }
}
