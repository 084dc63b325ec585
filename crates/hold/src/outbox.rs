//! Decides when a batch of grants is sent.
//!
//! The first map of a service, or a takeover, makes grants to every target due at once. Sent in one
//! moment they wait for each other in this process, and those whose time limit runs out there look
//! like failures of their targets. So only a few batches begin at a time, and the next one begins
//! when an earlier one ends.
//!
//! A target that does not answer must not hold up the others. A batch therefore counts only while
//! it is young: one that takes much longer than those that were answered waits for its target and
//! no longer takes this process's time. In a process without processor time all batches are slow,
//! so none counts as waiting for its target, and no more begin.

use {
    key::clock::Tick,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The number of young batches.
const MAX_YOUNG_BATCHES: usize = 32;

/// The age up to which every batch is young.
const MIN_YOUNG_AGE: Duration = Duration::from_millis(60);

/// How many times as long as an answered batch takes a young one may take.
const YOUNG_FACTOR: u32 = 3;

/// The time that an answered batch is assumed to take before any was answered.
const INITIAL_ROUND_TIME: Duration = Duration::from_millis(100);

/// The divisor of the moving average: a new time has a weight of one part in this many.
const ROUND_TIME_WEIGHT_DIVISOR: u32 = 8;

/// Identifies a batch that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The batches that wait to be sent, and those that are being sent.
#[derive(Debug)]
pub struct Outbox<B> {
    waiting: VecDeque<B>,
    /// When each batch began that has not ended.
    begun_at: BTreeMap<Ticket, Tick>,
    /// The moving average of the time that answered batches take.
    round_time: Duration,
    next_ticket: u64,
}

impl<B> Default for Outbox<B> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            begun_at: BTreeMap::new(),
            round_time: INITIAL_ROUND_TIME,
            next_ticket: 0,
        }
    }
}

impl<B> Outbox<B> {
    /// Adds a batch, which is sent after those that wait already.
    pub fn push(&mut self, batch: B) {
        self.waiting.push_back(batch);
    }

    /// Returns the batch that begins now, if one may.
    pub fn begin_next(&mut self, now: Tick) -> Option<(Ticket, B)> {
        let young_age = (self.round_time * YOUNG_FACTOR).max(MIN_YOUNG_AGE);
        let is_young = |begun_at: &&Tick| now.since(**begun_at) < young_age;
        if self.begun_at.values().filter(is_young).count() >= MAX_YOUNG_BATCHES {
            return None;
        }
        let batch = self.waiting.pop_front()?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.begun_at.insert(ticket, now);
        Some((ticket, batch))
    }

    /// Records that a batch has ended, and whether its target answered.
    pub fn record_end(&mut self, ticket: Ticket, is_answered: bool, now: Tick) {
        let Some(begun_at) = self.begun_at.remove(&ticket) else { return };
        if is_answered {
            let rest = self.round_time * (ROUND_TIME_WEIGHT_DIVISOR - 1);
            self.round_time = (rest + now.since(begun_at)) / ROUND_TIME_WEIGHT_DIVISOR;
        }
    }

    /// Drops the batches that wait: the planner that asked for them is gone.
    pub fn discard_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Returns the number of batches that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
