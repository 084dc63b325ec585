//! Writes whose result is not known yet.

use {
    crate::{
        cell::{self, Row},
        decision::Decision,
        node::{Action, Write},
    },
    key::{Incarnation, Version, clock::Tick},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The pause before a write is tried again.
const RETRY: Duration = Duration::from_millis(150);

/// Why a write was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WritePurpose {
    Create,
    TakeOver,
    Update(cell::Name),
    Resign(cell::Name),
    DeclareFailover(cell::Name),
    Transfer,
}

/// One write.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) purpose: WritePurpose,
    pub(crate) rows: Vec<(Version, Row)>,
    pub(crate) decisions: Vec<Decision>,
    /// Whether an earlier try may still take effect.
    pub(crate) uncertain: bool,
    retry_at: Option<Tick>,
}

/// The writes of one process; a cell is never in two at once.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    incarnation: Incarnation,
    next: u64,
    pending: BTreeMap<u64, PendingWrite>,
    resting: HashMap<cell::Name, Tick>,
}

impl PendingWrites {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next: 1, pending: BTreeMap::new(), resting: HashMap::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Tells whether a write of the cell is on its way.
    pub(crate) fn is_in_flight(&self, name: &cell::Name) -> bool {
        self.pending.values().any(|write| write.rows.iter().any(|(_, row)| row.name == *name))
    }

    /// Tells whether a write of the cell may start now.
    pub(crate) fn can_start(&self, name: &cell::Name, now: Tick) -> bool {
        !self.is_in_flight(name) && self.resting.get(name).is_none_or(|until| now >= *until)
    }

    /// Starts a write, marking each row with a token of its own.
    pub(crate) fn start(
        &mut self,
        purpose: WritePurpose,
        mut rows: Vec<(Version, Row)>,
        decisions: Vec<Decision>,
        actions: &mut Vec<Action>,
    ) {
        let id = self.next;
        self.next += 1;
        let mut token = key::Digest::default();
        token.add(&self.incarnation.get().to_le_bytes());
        token.add(&id.to_le_bytes());
        for (_, row) in &mut rows {
            row.token = token.finish();
        }
        actions.push(Action::Write(Write { id, rows: rows.clone() }));
        let pending = PendingWrite { purpose, rows, decisions, uncertain: false, retry_at: None };
        self.pending.insert(id, pending);
    }

    /// Removes a write whose result has come.
    pub(crate) fn remove(&mut self, id: u64) -> Option<PendingWrite> {
        self.pending.remove(&id)
    }

    /// Leaves the cells of a refused write alone for a moment.
    pub(crate) fn back_off(&mut self, pending: &PendingWrite, now: Tick) {
        self.resting.retain(|_, until| *until > now);
        for (_, row) in &pending.rows {
            self.resting.insert(row.name.clone(), now.plus(RETRY));
        }
    }

    /// Keeps a write whose result is unknown, to send it again unchanged.
    ///
    /// The version that each row must have makes sure that at most one of the tries takes effect.
    pub(crate) fn schedule_retry(&mut self, mut pending: PendingWrite, now: Tick) {
        pending.uncertain = true;
        pending.retry_at = Some(now.plus(RETRY));
        let id = self.next;
        self.next += 1;
        self.pending.insert(id, pending);
    }

    /// Sends again what is due.
    pub(crate) fn resend_due(&mut self, now: Tick, actions: &mut Vec<Action>) {
        for (id, pending) in &mut self.pending {
            if pending.retry_at.is_some_and(|at| at <= now) {
                pending.retry_at = None;
                actions.push(Action::Write(Write { id: *id, rows: pending.rows.clone() }));
            }
        }
    }
}
