//! Keeping the connections and bytes of a process within its limits.
//!
//! The decisions are those of [`quota::Pool`]. This module tells it what connections do, and closes
//! those that it names by ending their tasks.

use {
    bytes::Bytes,
    quota::{Group, Id, Limits, Phase, Pool, Purpose, Usage},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::task::{self, AbortHandle},
};

/// The number of connections that are closed for one request at most.
const MAX_CLOSED_FOR_ONE: usize = 16;

/// The number of times that other tasks get their turn until a closed one has given back its bytes.
const TURNS: usize = 3;

#[derive(Debug)]
struct State {
    pool: Pool,
    tasks: HashMap<Id, AbortHandle>,
}

/// The limits of one process, for all its listeners.
#[derive(Clone, Debug)]
pub struct Limiter(Arc<Mutex<State>>);

impl Limiter {
    /// Returns a limiter with nothing held.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(State { pool: Pool::new(limits), tasks: HashMap::new() })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is held, and how often something was refused.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().pool.usage()
    }

    /// Returns a permit for a new connection, or `None` if it has to be refused.
    #[must_use]
    pub fn admit(&self, group: Group) -> Option<Permit> {
        let mut state = self.lock();
        let (opened, victim) = state.pool.open(group, Instant::now());
        state.end(victim);
        opened.map(|id| Permit(Arc::new(Open { limiter: self.clone(), id })))
    }

    /// Holds bytes of a response, or returns `None` if there is no room.
    #[must_use]
    pub fn hold_response(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            limiter: self.clone(),
            connection: None,
            bytes: 0,
            purpose: Purpose::Response,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl State {
    fn end(&self, victim: Option<Id>) {
        if let Some(task) = victim.and_then(|id| self.tasks.get(&id)) {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct Open {
    limiter: Limiter,
    id: Id,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.pool.close(self.id);
        state.tasks.remove(&self.id);
    }
}

/// The permit for one connection. The place is given back when its last copy is dropped.
#[derive(Clone, Debug)]
pub struct Permit(Arc<Open>);

impl Permit {
    /// Names the task of the connection, which is ended if the connection has to be closed.
    pub fn set_task(&self, task: AbortHandle) {
        let mut state = self.0.limiter.lock();
        if state.pool.is_closing(self.0.id) {
            task.abort();
        }
        state.tasks.insert(self.0.id, task);
    }

    /// Records what the connection is waiting for.
    pub fn set_phase(&self, phase: Phase) {
        self.0.limiter.lock().pool.set_phase(self.0.id, phase, Instant::now());
    }

    /// Records whether the other side accepts no more bytes.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.0.limiter.lock().pool.set_blocked(self.0.id, is_blocked, Instant::now());
    }

    /// Records that the other side sent bytes.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.0.limiter.lock().pool.record_received(self.0.id, bytes, Instant::now());
    }

    /// Records that the other side accepted bytes.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.0.limiter.lock().pool.record_sent(self.0.id, bytes, Instant::now());
    }

    /// Returns what takes and gives back the connection without keeping its place.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease { limiter: self.0.limiter.clone(), id: self.0.id }
    }

    /// Returns a reservation for a request on this connection, of no bytes yet.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        let connection = Some(self.0.id);
        let limiter = self.0.limiter.clone();
        Reservation { limiter, connection, bytes: 0, purpose: Purpose::Request }
    }
}

/// A connection that is kept open for several requests. Its permit is held by its task.
#[derive(Clone, Debug)]
pub struct Lease {
    limiter: Limiter,
    id: Id,
}

impl Lease {
    /// Records that a request uses the connection. Returns false if it is being closed.
    #[must_use]
    pub fn take(&self) -> bool {
        let mut state = self.limiter.lock();
        state.pool.set_phase(self.id, Phase::Running, Instant::now());
        !state.pool.is_closing(self.id)
    }

    /// Records that no request uses the connection, so that it may be closed.
    pub fn give_back(&self) {
        self.limiter.lock().pool.set_phase(self.id, Phase::Idle, Instant::now());
    }
}

/// Held bytes, which are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    limiter: Limiter,
    connection: Option<Id>,
    bytes: usize,
    purpose: Purpose,
}

impl Reservation {
    /// Holds more if less than `bytes` are held. Returns false if there is no room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let mut state = self.limiter.lock();
        let is_held = state.pool.hold(self.connection, more, bytes, self.purpose);
        if is_held {
            self.bytes = bytes;
        }
        is_held
    }

    /// Gives back what is more than `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.limiter.lock().pool.release(self.connection, less, self.purpose);
            self.bytes = bytes;
        }
    }

    /// Holds more like [`Self::grow_to`], and closes slow and idle connections if there is no room.
    pub async fn make_room(&mut self, bytes: usize) -> bool {
        for _ in 0..MAX_CLOSED_FOR_ONE {
            if self.grow_to(bytes) {
                return true;
            }
            if !self.close_one() {
                return false;
            }
            for _ in 0..TURNS {
                task::yield_now().await;
            }
        }
        self.grow_to(bytes)
    }

    /// Closes a slow or idle connection. Returns false if there is none.
    pub(crate) fn close_one(&self) -> bool {
        let mut state = self.limiter.lock();
        let victim = state.pool.make_room(Instant::now());
        state.end(victim);
        victim.is_some()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Bytes that stay held until nobody uses them any more.
#[derive(Debug)]
pub struct Held {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// What is held for them.
    pub reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Held> for Bytes {
    fn from(held: Held) -> Self {
        Self::from_owner(held)
    }
}
