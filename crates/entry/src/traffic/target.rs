//! The connections of this entry to one target.

use {
    crate::traffic::body::Body,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    key::{Vm, Zone, clock::Tick},
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    thiserror::Error as Derive,
    tokio::{
        net::TcpSocket,
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
};

/// The failures in a row after which a target is passed over.
pub(crate) const EJECT_AFTER: u32 = 3;

/// The time a target is passed over.
const EJECTION: Duration = Duration::from_secs(2);

/// The time between two requests to a target at which attempts fail.
const TRY_EVERY: Duration = Duration::from_millis(100);

/// The longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The idle time after which a connection may have gone silent unnoticed. A request that must not
/// be sent twice takes a fresh connection instead.
const PROVEN: Duration = Duration::from_millis(500);

/// The idle time after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// The wait for a connection whose last answer has just ended.
const SETTLE: Duration = Duration::from_millis(5);

/// Why no connection could be had. Nothing was sent.
#[derive(Clone, Copy, Debug, Derive, PartialEq, Eq)]
pub(crate) enum Error {
    #[error("every connection is in use")]
    Busy,
    #[error("the target cannot be reached")]
    Unreachable,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
}

#[derive(Debug)]
struct Limit {
    /// The connections that may be open.
    now: usize,
    /// Permits to take away as soon as they come back.
    debt: usize,
}

/// One target, kept across routing tables so that its connections are.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) vm: Vm,
    pub(crate) zone: Zone,
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) incarnation: AtomicU64,
    pub(crate) leaving: AtomicBool,
    permits: Arc<Semaphore>,
    limit: Mutex<Limit>,
    idle: Mutex<Vec<Idle>>,
    reading: Mutex<Option<(u64, Tick)>>,
    failures: AtomicU32,
    /// When a request was last sent in spite of failures, in microseconds.
    tried: AtomicU64,
    ejected_until: Mutex<Option<Instant>>,
    way: Way,
}

/// How connections to targets are opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    /// The buffer of one connection, in bytes.
    pub(crate) buffer: usize,
    /// The address to connect from.
    pub(crate) source: Option<IpAddr>,
}

/// A connection in use. It goes back to its target only when its answer was read whole.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) target: Arc<Target>,
    pub(crate) sender: SendRequest<Body>,
    permit: OwnedSemaphorePermit,
}

impl Target {
    pub(crate) fn new(vm: Vm, zone: Zone, address: SocketAddr, way: Way) -> Arc<Self> {
        Arc::new(Self {
            vm,
            zone,
            address,
            in_flight: AtomicUsize::new(0),
            incarnation: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(1)),
            limit: Mutex::new(Limit { now: 1, debt: 0 }),
            idle: Mutex::default(),
            reading: Mutex::default(),
            failures: AtomicU32::new(0),
            tried: AtomicU64::new(0),
            ejected_until: Mutex::default(),
            way,
        })
    }

    /// Sets the share of the target's connections that this entry may use.
    pub(crate) fn set_limit(&self, limit: usize) {
        let mut current = lock(&self.limit);
        let limit = limit.max(1);
        if limit > current.now {
            let more = limit - current.now;
            let forgiven = more.min(current.debt);
            current.debt -= forgiven;
            self.permits.add_permits(more - forgiven);
        } else {
            let fewer = current.now - limit;
            current.debt += fewer - self.permits.forget_permits(fewer);
        }
        current.now = limit;
        lock(&self.idle).truncate(limit);
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        proven: bool,
        patience: Duration,
    ) -> Result<Connection, Error> {
        let permit = time::timeout(patience, Arc::clone(&self.permits).acquire_owned()).await;
        let permit = permit.map_err(|_| Error::Busy)?.map_err(|_| Error::Busy)?;
        while let Some(sender) = self.take_idle(proven) {
            if let Some(sender) = settle(sender).await {
                return Ok(Connection { target: Arc::clone(self), sender, permit });
            }
        }
        let sender = self.open().await.map_err(|_| Error::Unreachable)?;
        Ok(Connection { target: Arc::clone(self), sender, permit })
    }

    fn take_idle(&self, proven: bool) -> Option<SendRequest<Body>> {
        let limit = if proven { PROVEN } else { IDLE_LIMIT };
        let mut idle = lock(&self.idle);
        let newest = idle.pop()?;
        if newest.since.elapsed() < limit {
            return Some(newest.sender);
        }
        // The rest are older still.
        if proven {
            idle.push(newest);
        } else {
            idle.clear();
        }
        None
    }

    async fn open(&self) -> std::io::Result<SendRequest<Body>> {
        let socket =
            if self.address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = self.way.source {
            socket.bind((source, 0).into())?;
        }
        let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(self.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.way.buffer)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            connection.await.ok();
        });
        Ok(sender)
    }

    /// Closes the idle connections, which may be as silent as the one that was found to be.
    pub(crate) fn retire_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Tells whether a fresh connection to the target is refused or answered by another run of it.
    pub(crate) async fn has_died(&self, client: &wire::Client, before: u64) -> bool {
        match client.get::<u64>(self.address, "/health").await {
            Ok(incarnation) => incarnation != before,
            Err(error) => *error.kind() == wire::ErrorKind::Unsent,
        }
    }

    /// Notes the target's clock, read from an answer.
    pub(crate) fn note_clock(&self, target_ms: u64) {
        *lock(&self.reading) = Some((target_ms, Tick::now()));
    }

    /// Returns the moment `remaining` from now in the target's clock, or a little before.
    pub(crate) fn deadline_at(&self, remaining: Duration) -> Option<u64> {
        let (target_ms, received) = (*lock(&self.reading))?;
        let now = target_ms + Tick::now().since(received).as_millis() as u64;
        Some(now + remaining.as_millis() as u64)
    }

    pub(crate) fn succeeded(&self) {
        if self.failures.swap(0, Ordering::Relaxed) >= EJECT_AFTER {
            *lock(&self.ejected_until) = None;
        }
    }

    /// Notes a failed attempt and returns the failures in a row if the target is passed over now.
    pub(crate) fn failed(&self) -> Option<u32> {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < EJECT_AFTER {
            return None;
        }
        *lock(&self.ejected_until) = Some(Instant::now() + EJECTION);
        (failures == EJECT_AFTER).then_some(failures)
    }

    /// Tells whether a request may be sent now: while attempts fail, one at a time finds out whether
    /// they still do, and the others wait instead of using up their retries.
    pub(crate) fn may_try(&self) -> bool {
        if self.failures.load(Ordering::Relaxed) < EJECT_AFTER {
            return true;
        }
        let now = Tick::now();
        let last = self.tried.load(Ordering::Relaxed);
        let due = now.since(Tick::from(last)) >= TRY_EVERY;
        due && self
            .tried
            .compare_exchange(last, now.as_micros(), Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Tells whether the target is passed over at present.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= EJECT_AFTER
            && lock(&self.ejected_until).is_some_and(|until| Instant::now() < until)
    }
}

impl Connection {
    /// Gives the connection back for the next request.
    pub(crate) fn release(self) {
        let Self { target, sender, permit } = self;
        if !sender.is_closed() {
            lock(&target.idle).push(Idle { sender, since: Instant::now() });
        }
        let mut limit = lock(&target.limit);
        if limit.debt > 0 {
            limit.debt -= 1;
            permit.forget();
        }
    }
}

async fn settle(mut sender: SendRequest<Body>) -> Option<SendRequest<Body>> {
    if sender.is_ready() {
        return Some(sender);
    }
    if sender.is_closed() {
        return None;
    }
    time::timeout(SETTLE, sender.ready()).await.ok()?.ok()?;
    Some(sender)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
