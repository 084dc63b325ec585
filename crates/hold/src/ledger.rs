//! Every grant that may still be in force.

use {
    crate::map::{Life, Span},
    key::clock::Tick,
};

#[derive(Clone, Debug)]
struct Entry {
    life: Life,
    span: Span,
    until: Tick,
}

/// The ledger of one service.
///
/// A grant stands here from the moment before it is sent until its target released the keys, its
/// target's run is proved to have ended, or its time has run out by the most careful count.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: Vec<Entry>,
    /// Grants that are being sent.
    orders: Vec<(Life, Span)>,
}

impl Ledger {
    /// Notes that a grant is being sent.
    pub fn begin(&mut self, life: &Life, span: Span) {
        self.orders.push((life.clone(), span));
    }

    /// Notes that the result of a grant is known; what it means is noted apart.
    pub fn end_of_order(&mut self, life: &Life, span: Span) {
        self.orders.retain(|(target, sent)| target != life || *sent != span);
    }

    /// Notes that a target may hold keys until some moment, or longer if it is noted already.
    pub fn extend(&mut self, life: &Life, span: Span, until: Tick) {
        let same = |entry: &&mut Entry| entry.life == *life && entry.span == span;
        match self.entries.iter_mut().find(same) {
            Some(entry) => entry.until = entry.until.max(until),
            None => self.entries.push(Entry { life: life.clone(), span, until }),
        }
    }

    /// Notes that a target holds keys under its newest grant only, until some moment.
    pub fn replace(&mut self, life: &Life, span: Span, until: Tick) {
        self.remove(life, span);
        self.entries.push(Entry { life: life.clone(), span, until });
    }

    /// Notes that a target no longer holds keys.
    pub fn remove(&mut self, life: &Life, span: Span) {
        let mut kept = Vec::with_capacity(self.entries.len() + 1);
        for entry in self.entries.drain(..) {
            if entry.life != *life {
                kept.push(entry);
                continue;
            }
            for span in entry.span.without(span).into_iter().flatten() {
                kept.push(Entry { span, ..entry.clone() });
            }
        }
        self.entries = kept;
    }

    /// Notes that a later run of a target may hold what was sent to an earlier one.
    pub fn pass_on(&mut self, life: &Life, later: &Life) {
        for entry in self.entries.iter_mut().filter(|entry| entry.life == *life) {
            entry.life = later.clone();
        }
    }

    /// Notes that a run of a target has ended.
    pub fn end(&mut self, life: &Life) {
        self.entries.retain(|entry| entry.life != *life);
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now: Tick) {
        self.entries.retain(|entry| entry.until > now);
    }

    /// Tells whether any run of a target other than `life` may hold a key of the span.
    #[must_use]
    pub fn is_held_by_another(&self, life: Option<&Life>, span: Span, now: Tick) -> bool {
        self.entries.iter().any(|entry| {
            entry.until > now && entry.span.overlaps(span) && Some(&entry.life) != life
        }) || self.orders.iter().any(|(target, sent)| sent.overlaps(span) && Some(target) != life)
    }
}
