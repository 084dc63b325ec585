//! Writes to the table whose result is not known yet.

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

/// The delay before a write is retried, and before another write of a cell after a refused one.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The reason for a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WritePurpose {
    Create,
    TakeOver,
    Update(cell::Name),
    Resign(cell::Name),
    DeclareFailover(cell::Name),
    Transfer,
}

/// A write whose result is not known.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) purpose: WritePurpose,
    pub(crate) rows: Vec<(Version, Row)>,
    pub(crate) decisions: Vec<Decision>,
    /// Whether an earlier attempt may still take effect.
    pub(crate) uncertain: bool,
    retry_at: Option<Tick>,
}

/// The pending writes of one process; a cell is never part of two at once.
#[derive(Debug)]
pub(crate) struct PendingWrites {
    incarnation: Incarnation,
    next_id: u64,
    pending: BTreeMap<u64, PendingWrite>,
    backed_off_until: HashMap<cell::Name, Tick>,
}

impl PendingWrites {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, next_id: 1, pending: BTreeMap::new(), backed_off_until: HashMap::new() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Reports whether a write of the cell is pending.
    pub(crate) fn is_pending(&self, name: &cell::Name) -> bool {
        self.pending.values().any(|write| write.rows.iter().any(|(_, row)| row.name == *name))
    }

    /// Reports whether a write of the cell may start now.
    pub(crate) fn can_start(&self, name: &cell::Name, now: Tick) -> bool {
        !self.is_pending(name) && self.backed_off_until.get(name).is_none_or(|until| now >= *until)
    }

    /// Starts a write and marks its rows with a token that no other write has.
    pub(crate) fn start(
        &mut self,
        purpose: WritePurpose,
        mut rows: Vec<(Version, Row)>,
        decisions: Vec<Decision>,
        actions: &mut Vec<Action>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
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

    /// Removes and returns a write whose result has arrived.
    pub(crate) fn remove(&mut self, id: u64) -> Option<PendingWrite> {
        self.pending.remove(&id)
    }

    /// Delays further writes of the cells of a refused write.
    pub(crate) fn back_off(&mut self, pending: &PendingWrite, now: Tick) {
        self.backed_off_until.retain(|_, until| *until > now);
        for (_, row) in &pending.rows {
            self.backed_off_until.insert(row.name.clone(), now.plus(WRITE_RETRY_DELAY));
        }
    }

    /// Schedules a retry of a write whose result is unknown, with the same rows under a new id.
    ///
    /// Each row is written only at the version given with it, so at most one attempt takes effect.
    pub(crate) fn schedule_retry(&mut self, mut pending: PendingWrite, now: Tick) {
        pending.uncertain = true;
        pending.retry_at = Some(now.plus(WRITE_RETRY_DELAY));
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, pending);
    }

    /// Sends the retries that are due.
    pub(crate) fn send_due_retries(&mut self, now: Tick, actions: &mut Vec<Action>) {
        for (id, pending) in &mut self.pending {
            if pending.retry_at.is_some_and(|retry_at| retry_at <= now) {
                pending.retry_at = None;
                actions.push(Action::Write(Write { id: *id, rows: pending.rows.clone() }));
            }
        }
    }
}
