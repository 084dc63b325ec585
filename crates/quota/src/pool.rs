//! What is held now, and which connection is closed for want of room.

use {
    crate::limits::{CONNECTION_BYTES, Group, Limits, SMALL_BYTES},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// The minimum rate of a sender or reader, in bytes a second. Links of callers carry at least 10
/// Mbit/s; a hundredth of that is the rate of a caller in trouble, not of a slow link.
const MIN_BYTES_PER_S: u64 = 12_500;

/// How far ahead of the minimum rate a connection can get, and the time that a new one has for its
/// first bytes.
const MAX_CREDIT: Duration = Duration::from_millis(250);

/// The largest number of connections that are being closed at the same time. They are not counted
/// any more but still have their descriptors until their tasks end.
const MAX_CLOSING: usize = 16;

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id(u64);

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was received since the last response.
    Idle,
    /// A request has been received in part, or the connection is new.
    Receiving,
    /// A request was received whole, and may be running at a target.
    Running,
    /// The response is on its way.
    Sending,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request.
    Request,
    /// A response that is read before it is passed on.
    Response,
}

#[derive(Debug)]
struct Connection {
    group: Group,
    phase: Phase,
    /// Whether the other side accepts no more bytes.
    is_blocked: bool,
    /// Until when the connection is as fast as it has to be. While it is idle: since when.
    due: Instant,
    /// The bytes that are held for it in addition to [`CONNECTION_BYTES`].
    held: usize,
    is_closing: bool,
}

impl Connection {
    /// Returns whether the connection is slow rather than idle, and for how long; `None` if it must
    /// not be closed.
    fn slowness(&self, now: Instant) -> Option<(bool, Duration)> {
        let lag = now.checked_duration_since(self.due)?;
        match self.phase {
            _ if self.is_closing => None,
            Phase::Running => None,
            _ if self.is_blocked => Some((true, lag)),
            Phase::Sending => None,
            Phase::Idle => Some((false, lag)),
            Phase::Receiving => Some((true, lag)),
        }
    }
}

/// What is held, and how often something was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The bytes that are held.
    pub bytes: usize,
    /// The connections that are open.
    pub connections: usize,
    /// The connections that were refused since the start.
    pub refused: u64,
    /// The connections that were closed for being slow or idle since the start.
    pub closed: u64,
    /// How often bytes were not granted since the start.
    pub denied: u64,
}

/// The bytes and connections of one process.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    usage: Usage,
    response_bytes: usize,
    counts: [usize; Group::COUNT],
    closing: usize,
    connections: HashMap<Id, Connection>,
    next_id: u64,
}

impl Pool {
    /// Returns a pool that holds nothing.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            usage: Usage::default(),
            response_bytes: 0,
            counts: [0; Group::COUNT],
            closing: 0,
            connections: HashMap::new(),
            next_id: 0,
        }
    }

    /// Returns what is held, and how often something was refused.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage { connections: self.connections.len(), ..self.usage }
    }

    /// Takes a place for a new connection, or returns `None` if there is none. The second value is a
    /// connection that has to be closed for it.
    pub fn open(&mut self, group: Group, now: Instant) -> (Option<Id>, Option<Id>) {
        let has_place = self.counts[group as usize] < self.limits.connections(group);
        let has_room = self.usage.bytes + CONNECTION_BYTES <= self.limits.bytes;
        let mut victim = None;
        if !has_place || !has_room {
            victim = self.close_slowest(|connection| has_place || connection.group == group, now);
            if victim.is_none() {
                self.usage.refused += 1;
                return (None, None);
            }
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            group,
            phase: Phase::Receiving,
            is_blocked: false,
            due: now + MAX_CREDIT,
            held: 0,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        self.counts[group as usize] += 1;
        self.usage.bytes += CONNECTION_BYTES;
        (Some(id), victim)
    }

    /// Gives back the place of a connection that has ended.
    pub fn close(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if connection.is_closing {
            self.closing -= 1;
        } else {
            self.counts[connection.group as usize] -= 1;
        }
        self.usage.bytes -= CONNECTION_BYTES;
    }

    /// Returns true if a connection has to be closed.
    #[must_use]
    pub fn is_closing(&self, id: Id) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.is_closing)
    }

    /// Records that a connection enters a phase.
    pub fn set_phase(&mut self, id: Id, phase: Phase, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == phase {
            return;
        }
        connection.phase = phase;
        connection.due = if phase == Phase::Idle { now } else { now + MAX_CREDIT };
    }

    /// Records whether the other side accepts no more bytes.
    pub fn set_blocked(&mut self, id: Id, is_blocked: bool, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.is_blocked != is_blocked {
            connection.is_blocked = is_blocked;
            connection.due = now + MAX_CREDIT;
        }
    }

    /// Records that the other side sent bytes, which begin a request on an idle connection.
    pub fn record_received(&mut self, id: Id, bytes: usize, now: Instant) {
        if self.connections.get(&id).is_some_and(|connection| connection.phase == Phase::Idle) {
            self.set_phase(id, Phase::Receiving, now);
        }
        self.record_transfer(id, bytes, now);
    }

    /// Records that the other side accepted bytes.
    pub fn record_sent(&mut self, id: Id, bytes: usize, now: Instant) {
        self.record_transfer(id, bytes, now);
    }

    fn record_transfer(&mut self, id: Id, bytes: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase != Phase::Idle || connection.is_blocked {
            let gained = Duration::from_micros(bytes as u64 * 1_000_000 / MIN_BYTES_PER_S);
            connection.due = (connection.due + gained).min(now + MAX_CREDIT);
        }
    }

    /// Holds `more` bytes for something that then has `total`, and returns whether there is room.
    /// What is small has a part of the budget to itself.
    pub fn hold(&mut self, id: Option<Id>, more: usize, total: usize, purpose: Purpose) -> bool {
        let limit = if total <= SMALL_BYTES { self.limits.bytes } else { self.limits.large_bytes };
        let is_response = purpose == Purpose::Response;
        let fits = self.usage.bytes.saturating_add(more) <= limit
            && (!is_response
                || self.response_bytes.saturating_add(more) <= self.limits.response_bytes);
        if !fits {
            self.usage.denied += 1;
            return false;
        }
        self.usage.bytes += more;
        if is_response {
            self.response_bytes += more;
        }
        if let Some(connection) = id.and_then(|id| self.connections.get_mut(&id)) {
            connection.held += more;
        }
        true
    }

    /// Gives bytes back.
    pub fn release(&mut self, id: Option<Id>, bytes: usize, purpose: Purpose) {
        self.usage.bytes -= bytes;
        if purpose == Purpose::Response {
            self.response_bytes -= bytes;
        }
        if let Some(connection) = id.and_then(|id| self.connections.get_mut(&id)) {
            connection.held = connection.held.saturating_sub(bytes);
        }
    }

    /// Returns the connection that has to be closed so that bytes are given back, if there is one
    /// that is slow or idle. One that holds bytes of a request or response goes first.
    pub fn make_room(&mut self, now: Instant) -> Option<Id> {
        self.close_slowest(|connection| connection.held > 0, now)
            .or_else(|| self.close_slowest(|_| true, now))
    }

    /// Marks the slowest connection of those that `is_candidate` accepts as closing. Slow ones go
    /// before idle ones, since an idle caller may just be sending its next request.
    fn close_slowest(
        &mut self,
        is_candidate: impl Fn(&Connection) -> bool,
        now: Instant,
    ) -> Option<Id> {
        if self.closing >= MAX_CLOSING {
            return None;
        }
        let candidates = self.connections.iter().filter(|(_, connection)| is_candidate(connection));
        let slow = candidates.filter_map(|(id, connection)| {
            connection.slowness(now).map(|slowness| (slowness, *id))
        });
        let (_, id) = slow.max_by_key(|(slowness, _)| *slowness)?;
        let connection = self.connections.get_mut(&id)?;
        connection.is_closing = true;
        self.counts[connection.group as usize] -= 1;
        self.closing += 1;
        self.usage.closed += 1;
        Some(id)
    }
}
