//! A target as the platform's pages describe it.

use {
    hold::{Span, planner::Grant},
    key::{Fence, Vm},
};

const SLOW_CLOCK: f64 = 1.02;

struct Held {
    span: Span,
    until: u64,
}

/// One target; it outlives its runs.
pub struct Target {
    pub address_of: Vm,
    pub former: Vec<Vm>,
    pub run: u64,
    pub started_at_ms: u64,
    pub alive: bool,
    pub unlisted_until: u64,
    pub stale: Vec<String>,
    number: usize,
    held: Vec<Held>,
    fences: Vec<(Span, Fence)>,
    /// The fences of earlier runs under the same name.
    before: Vec<(Span, Fence)>,
}

impl Target {
    pub fn new(number: usize) -> Self {
        Self {
            address_of: Vm::from(format!("t{number}").as_str()),
            former: Vec::new(),
            run: 1,
            started_at_ms: 1,
            alive: true,
            unlisted_until: 0,
            stale: Vec::new(),
            number,
            held: Vec::new(),
            fences: Vec::new(),
            before: Vec::new(),
        }
    }

    pub fn name(&self) -> Vm {
        self.address_of.clone()
    }

    pub fn crash(&mut self) {
        self.alive = false;
        self.held.clear();
    }

    pub fn start(&mut self, same: bool, now: u64) {
        self.run += 1;
        self.started_at_ms = now + 1;
        self.alive = true;
        self.before.append(&mut self.fences);
        if !same {
            self.former.push(self.name());
            self.address_of = Vm::from(format!("t{}r{}", self.number, self.run).as_str());
            self.before.clear();
        }
    }

    /// Obeys a grant that arrived at `arrived`, unless a higher fence was seen.
    pub fn apply(&mut self, grant: &Grant, arrived: u64, hold_ms: u64, now: u64) -> bool {
        let higher =
            |(span, fence): &(Span, Fence)| span.overlaps(grant.span) && *fence > grant.fence;
        if self.fences.iter().any(higher) {
            return false;
        }
        let used =
            |(span, fence): &(Span, Fence)| span.overlaps(grant.span) && *fence >= grant.fence;
        if self.before.iter().any(used) {
            self.stale.push(format!("{now} ms: {} took fence {} again", self.name(), grant.fence));
        }
        if !self.fences.contains(&(grant.span, grant.fence)) {
            self.fences.push((grant.span, grant.fence));
        }
        let until = arrived + (hold_ms as f64 * SLOW_CLOCK) as u64;
        self.held
            .retain(|held| held.until > now && (held.span != grant.span || held.until > until));
        self.held.push(Held { span: grant.span, until });
        true
    }

    pub fn release(&mut self, span: Span) {
        let mut kept = Vec::new();
        for held in self.held.drain(..) {
            for span in held.span.without(span).into_iter().flatten() {
                kept.push(Held { span, until: held.until });
            }
        }
        self.held = kept;
    }

    /// Returns the keys that the target holds, each once.
    pub fn spans(&self, now: u64) -> impl Iterator<Item = Span> {
        let mut spans: Vec<Span> =
            self.held.iter().filter(|held| held.until > now).map(|held| held.span).collect();
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

    pub fn conflict(&self, other: &Self, now: u64) -> Option<String> {
        if !self.alive || !other.alive {
            return None;
        }
        let own: Vec<Span> = self.spans(now).collect();
        let theirs: Vec<Span> = other.spans(now).collect();
        own.iter()
            .flat_map(|a| theirs.iter().map(move |b| (a, b)))
            .find(|(a, b)| a.overlaps(**b))
            .map(|(a, b)| format!("{} holds {a:?}, {} holds {b:?}", self.name(), other.name()))
    }
}
