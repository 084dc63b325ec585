//! Every grant that may still be in force.
//!
//! The ledger is asked about each span many times a second, so entries are found by the part of the
//! key space that they lie in rather than by looking at all of them.

use {
    crate::map::{Instance, Span},
    key::clock::Tick,
};

/// The keys of one part are those with the same number after this shift.
const PART_SHIFT: u32 = 8;

const PARTS: usize = (u16::MAX >> PART_SHIFT) as usize + 1;

/// Until when a grant counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Term {
    /// It is being sent.
    Sending,
    /// Its time runs out then.
    Until(Tick),
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    span: Span,
    term: Term,
}

/// The ledger of one service.
///
/// A grant stands here from the moment before it is sent until its target released the keys, its
/// target's run is proved to have ended, or its time has run out by the most careful count.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// For each part of the key space the entries that have a key there; an entry that lies in
    /// several parts stands in each, cut to it.
    parts: Vec<Vec<Entry>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { parts: vec![Vec::new(); PARTS] }
    }
}

/// Returns the pieces of a span by the parts that they lie in.
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
    /// Notes that a grant is being sent.
    pub fn begin_send(&mut self, instance: &Instance, span: Span) {
        self.push(instance, span, Term::Sending);
    }

    /// Notes that the result of a grant is known; what it means is noted apart.
    pub fn end_send(&mut self, instance: &Instance, span: Span) {
        for (part, piece) in pieces(span) {
            self.parts[part].retain(|entry| {
                entry.term != Term::Sending || entry.instance != *instance || entry.span != piece
            });
        }
    }

    /// Notes that a target may hold keys until some moment, or longer if it is noted already.
    pub fn extend(&mut self, instance: &Instance, span: Span, until: Tick) {
        for (part, piece) in pieces(span) {
            let same = |entry: &&mut Entry| entry.instance == *instance && entry.span == piece;
            let known =
                self.parts[part].iter_mut().filter(same).find_map(|entry| match &mut entry.term {
                    Term::Until(known) => Some(known),
                    Term::Sending => None,
                });
            match known {
                Some(known) => *known = until.max(*known),
                None => self.parts[part].push(Entry {
                    instance: instance.clone(),
                    span: piece,
                    term: Term::Until(until),
                }),
            }
        }
    }

    /// Notes that a target holds keys under its newest grant only, until some moment.
    pub fn replace(&mut self, instance: &Instance, span: Span, until: Tick) {
        self.remove(instance, span);
        self.push(instance, span, Term::Until(until));
    }

    /// Notes that a target no longer holds keys.
    pub fn remove(&mut self, instance: &Instance, span: Span) {
        for (part, piece) in pieces(span) {
            let entries = &mut self.parts[part];
            let mut rest = Vec::new();
            entries.retain(|entry| {
                let hit = entry.instance == *instance
                    && entry.term != Term::Sending
                    && entry.span.overlaps(piece);
                if hit {
                    let left = entry.span.without(piece).into_iter().flatten();
                    rest.extend(left.map(|span| Entry { span, ..entry.clone() }));
                }
                !hit
            });
            entries.append(&mut rest);
        }
    }

    /// Notes that a later run of a target may hold what was sent to an earlier one.
    pub fn transfer(&mut self, instance: &Instance, later: &Instance) {
        let entries = self.parts.iter_mut().flatten();
        let settled =
            |entry: &&mut Entry| entry.instance == *instance && entry.term != Term::Sending;
        for entry in entries.filter(settled) {
            entry.instance = later.clone();
        }
    }

    /// Notes that a run of a target has ended.
    pub fn remove_instance(&mut self, instance: &Instance) {
        for entries in &mut self.parts {
            entries.retain(|entry| entry.instance != *instance || entry.term == Term::Sending);
        }
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now: Tick) {
        for entries in &mut self.parts {
            entries.retain(|entry| match entry.term {
                Term::Sending => true,
                Term::Until(until) => until > now,
            });
        }
    }

    /// Tells whether any run of a target other than `life` may hold a key of the span.
    #[must_use]
    pub fn is_held_by_another(&self, instance: Option<&Instance>, span: Span, now: Tick) -> bool {
        pieces(span).any(|(part, piece)| {
            self.parts[part].iter().any(|entry| {
                let runs = match entry.term {
                    Term::Sending => true,
                    Term::Until(until) => until > now,
                };
                runs && entry.span.overlaps(piece) && Some(&entry.instance) != instance
            })
        })
    }

    fn push(&mut self, instance: &Instance, span: Span, term: Term) {
        for (part, piece) in pieces(span) {
            self.parts[part].push(Entry { instance: instance.clone(), span: piece, term });
        }
    }
}
