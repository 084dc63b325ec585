//! Records every grant that may still be in force.
//!
//! The planner queries the ledger for each span many times a second, so entries are indexed by the
//! part of the key space that they lie in.

use {
    crate::map::{Instance, Span},
    key::clock::Tick,
};

/// Keys that are equal after a right shift by this many bits belong to the same part.
const PART_SHIFT: u32 = 8;

const PART_COUNT: usize = (u16::MAX >> PART_SHIFT) as usize + 1;

/// How long a grant counts as in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Validity {
    /// The grant is being sent.
    Sending,
    /// The grant expires at that instant.
    Until(Tick),
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    span: Span,
    validity: Validity,
}

/// The grants of one service that may still be in force.
///
/// A grant is recorded from just before it is sent until the target has released the keys, the
/// instance is known to have ended, or the longest time for which the grant can be in force has
/// passed.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// The entries of each part of the key space. A grant that spans several parts has an entry in
    /// each, limited to the keys of that part.
    parts: Vec<Vec<Entry>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { parts: vec![Vec::new(); PART_COUNT] }
    }
}

/// Splits a span at the boundaries of parts and returns each piece with the index of its part.
fn pieces(span: Span) -> impl Iterator<Item = (usize, Span)> {
    let first = usize::from(span.first >> PART_SHIFT);
    let last = usize::from(span.last >> PART_SHIFT);
    (first..=last).map(move |part| {
        let start = (part << PART_SHIFT) as u16;
        let end = start | ((1 << PART_SHIFT) - 1);
        (part, Span { first: span.first.max(start), last: span.last.min(end) })
    })
}

impl Ledger {
    /// Records that a grant is about to be sent.
    pub fn begin_send(&mut self, instance: &Instance, span: Span) {
        self.push(instance, span, Validity::Sending);
    }

    /// Removes the record of [`Ledger::begin_send`]. The caller records the outcome separately.
    pub fn end_send(&mut self, instance: &Instance, span: Span) {
        for (part, piece) in pieces(span) {
            self.parts[part].retain(|entry| {
                entry.validity != Validity::Sending
                    || entry.instance != *instance
                    || entry.span != piece
            });
        }
    }

    /// Records that an instance may hold keys until `until`, or later if that is already recorded.
    pub fn extend(&mut self, instance: &Instance, span: Span, until: Tick) {
        for (part, piece) in pieces(span) {
            let is_same = |entry: &&mut Entry| entry.instance == *instance && entry.span == piece;
            let expiry = self.parts[part].iter_mut().filter(is_same).find_map(|entry| {
                match &mut entry.validity {
                    Validity::Until(expiry) => Some(expiry),
                    Validity::Sending => None,
                }
            });
            match expiry {
                Some(expiry) => *expiry = until.max(*expiry),
                None => self.parts[part].push(Entry {
                    instance: instance.clone(),
                    span: piece,
                    validity: Validity::Until(until),
                }),
            }
        }
    }

    /// Records that an instance holds keys under its latest grant only, until `until`.
    pub fn replace(&mut self, instance: &Instance, span: Span, until: Tick) {
        self.remove(instance, span);
        self.push(instance, span, Validity::Until(until));
    }

    /// Records that an instance no longer holds keys.
    pub fn remove(&mut self, instance: &Instance, span: Span) {
        for (part, piece) in pieces(span) {
            let entries = &mut self.parts[part];
            let mut rest = Vec::new();
            entries.retain(|entry| {
                let is_match = entry.instance == *instance
                    && entry.validity != Validity::Sending
                    && entry.span.overlaps(piece);
                if is_match {
                    let remainder = entry.span.without(piece).into_iter().flatten();
                    rest.extend(remainder.map(|span| Entry { span, ..entry.clone() }));
                }
                !is_match
            });
            entries.append(&mut rest);
        }
    }

    /// Records that a later instance may hold what was granted to an earlier one.
    pub fn transfer(&mut self, earlier: &Instance, later: &Instance) {
        let entries = self.parts.iter_mut().flatten();
        let is_sent =
            |entry: &&mut Entry| entry.instance == *earlier && entry.validity != Validity::Sending;
        for entry in entries.filter(is_sent) {
            entry.instance = later.clone();
        }
    }

    /// Removes the grants of an instance that has ended, except those that are being sent.
    pub fn remove_instance(&mut self, instance: &Instance) {
        for entries in &mut self.parts {
            entries
                .retain(|entry| entry.instance != *instance || entry.validity == Validity::Sending);
        }
    }

    /// Records that every grant that was sent so far expires at `until` at the latest.
    pub fn limit(&mut self, until: Tick) {
        for entry in self.parts.iter_mut().flatten() {
            if let Validity::Until(expiry) = &mut entry.validity {
                *expiry = until.min(*expiry);
            }
        }
    }

    /// Removes the grants that have expired.
    pub fn expire(&mut self, now: Tick) {
        for entries in &mut self.parts {
            entries.retain(|entry| match entry.validity {
                Validity::Sending => true,
                Validity::Until(until) => until > now,
            });
        }
    }

    /// Returns true if any instance other than `instance` may hold a key of the span.
    #[must_use]
    pub fn is_held_by_another(&self, instance: Option<&Instance>, span: Span, now: Tick) -> bool {
        pieces(span).any(|(part, piece)| {
            self.parts[part].iter().any(|entry| {
                let is_in_force = match entry.validity {
                    Validity::Sending => true,
                    Validity::Until(until) => until > now,
                };
                is_in_force && entry.span.overlaps(piece) && Some(&entry.instance) != instance
            })
        })
    }

    fn push(&mut self, instance: &Instance, span: Span, validity: Validity) {
        for (part, piece) in pieces(span) {
            self.parts[part].push(Entry { instance: instance.clone(), span: piece, validity });
        }
    }
}
