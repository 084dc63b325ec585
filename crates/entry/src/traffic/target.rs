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
pub(crate) const EJECTION_FAILURES: u32 = 3;

/// The time a target is passed over.
const EJECTION_DURATION: Duration = Duration::from_secs(2);

/// The time between two requests to a target at which attempts fail.
const FAILING_TARGET_TRY_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The idle time after which a connection may have gone silent unnoticed. A request that must not
/// be sent twice takes a fresh connection instead.
const MAX_TRUSTED_IDLE: Duration = Duration::from_millis(500);

/// The idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// The wait for a connection whose last answer has just ended.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Why no connection could be had. Nothing was sent.
#[derive(Clone, Copy, Debug, Derive, PartialEq, Eq)]
pub(crate) enum ConnectError {
    #[error("every connection is in use")]
    Busy,
    #[error("the target cannot be reached")]
    Unreachable,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Body>,
    since: Instant,
}

#[derive(Debug)]
struct Limit {
    /// The connections that may be open.
    granted: usize,
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
    idle: Mutex<Vec<IdleConnection>>,
    clock_reading: Mutex<Option<(u64, Tick)>>,
    failures: AtomicU32,
    /// When a request was last sent in spite of failures, in microseconds.
    last_tried_us: AtomicU64,
    ejected_until: Mutex<Option<Instant>>,
    options: ConnectOptions,
}

/// How connections to targets are opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectOptions {
    /// The buffer of one connection, in bytes.
    pub(crate) buffer_bytes: usize,
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
    pub(crate) fn new(
        vm: Vm,
        zone: Zone,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> Arc<Self> {
        Arc::new(Self {
            vm,
            zone,
            address,
            in_flight: AtomicUsize::new(0),
            incarnation: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(1)),
            limit: Mutex::new(Limit { granted: 1, debt: 0 }),
            idle: Mutex::default(),
            clock_reading: Mutex::default(),
            failures: AtomicU32::new(0),
            last_tried_us: AtomicU64::new(0),
            ejected_until: Mutex::default(),
            options,
        })
    }

    /// Sets the share of the target's connections that this entry may use.
    pub(crate) fn set_limit(&self, limit: usize) {
        let mut current = lock(&self.limit);
        let limit = limit.max(1);
        if limit > current.granted {
            let more = limit - current.granted;
            let cancelled = more.min(current.debt);
            current.debt -= cancelled;
            self.permits.add_permits(more - cancelled);
        } else {
            let fewer = current.granted - limit;
            current.debt += fewer - self.permits.forget_permits(fewer);
        }
        current.granted = limit;
        lock(&self.idle).truncate(limit);
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        trusted_only: bool,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let permit = time::timeout(timeout, Arc::clone(&self.permits).acquire_owned()).await;
        let permit = permit.map_err(|_| ConnectError::Busy)?.map_err(|_| ConnectError::Busy)?;
        while let Some(sender) = self.take_idle(trusted_only) {
            if let Some(sender) = wait_until_ready(sender).await {
                return Ok(Connection { target: Arc::clone(self), sender, permit });
            }
        }
        let sender = self.open().await.map_err(|_| ConnectError::Unreachable)?;
        Ok(Connection { target: Arc::clone(self), sender, permit })
    }

    fn take_idle(&self, trusted_only: bool) -> Option<SendRequest<Body>> {
        let limit = if trusted_only { MAX_TRUSTED_IDLE } else { MAX_IDLE };
        let mut idle = lock(&self.idle);
        let newest = idle.pop()?;
        if newest.since.elapsed() < limit {
            return Some(newest.sender);
        }
        // The rest are older still.
        if trusted_only {
            idle.push(newest);
        } else {
            idle.clear();
        }
        None
    }

    async fn open(&self) -> std::io::Result<SendRequest<Body>> {
        let socket =
            if self.address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = self.options.source {
            socket.bind((source, 0).into())?;
        }
        let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(self.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(self.options.buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            connection.await.ok();
        });
        Ok(sender)
    }

    /// Closes the idle connections, which may be as silent as the one that was found to be.
    pub(crate) fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Tells whether a fresh connection to the target is refused or answered by another run of it.
    pub(crate) async fn has_crashed(&self, client: &wire::Client, incarnation_before: u64) -> bool {
        match client.get::<u64>(self.address, "/health").await {
            Ok(incarnation) => incarnation != incarnation_before,
            Err(error) => *error.kind() == wire::ErrorKind::Unsent,
        }
    }

    /// Notes the target's clock, read from an answer.
    pub(crate) fn record_clock(&self, target_ms: u64) {
        *lock(&self.clock_reading) = Some((target_ms, Tick::now()));
    }

    /// Returns the moment `remaining` from now in the target's clock, or a little before.
    pub(crate) fn deadline_at(&self, remaining: Duration) -> Option<u64> {
        let (target_ms, received_at) = (*lock(&self.clock_reading))?;
        let now = target_ms + Tick::now().since(received_at).as_millis() as u64;
        Some(now + remaining.as_millis() as u64)
    }

    pub(crate) fn record_success(&self) {
        if self.failures.swap(0, Ordering::Relaxed) >= EJECTION_FAILURES {
            *lock(&self.ejected_until) = None;
        }
    }

    /// Notes a failed attempt and returns the failures in a row if the target is passed over now.
    pub(crate) fn record_failure(&self) -> Option<u32> {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < EJECTION_FAILURES {
            return None;
        }
        *lock(&self.ejected_until) = Some(Instant::now() + EJECTION_DURATION);
        (failures == EJECTION_FAILURES).then_some(failures)
    }

    /// Tells whether a request may be sent now: while attempts fail, one at a time finds out whether
    /// they still do, and the others wait instead of using up their retries.
    pub(crate) fn reserve_attempt(&self) -> bool {
        if self.failures.load(Ordering::Relaxed) < EJECTION_FAILURES {
            return true;
        }
        let now = Tick::now();
        let last = self.last_tried_us.load(Ordering::Relaxed);
        let due = now.since(Tick::from(last)) >= FAILING_TARGET_TRY_INTERVAL;
        due && self
            .last_tried_us
            .compare_exchange(last, now.as_micros(), Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Tells whether the target is passed over at present.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= EJECTION_FAILURES
            && lock(&self.ejected_until).is_some_and(|until| Instant::now() < until)
    }
}

impl Connection {
    /// Gives the connection back for the next request.
    pub(crate) fn release(self) {
        let Self { target, sender, permit } = self;
        if !sender.is_closed() {
            lock(&target.idle).push(IdleConnection { sender, since: Instant::now() });
        }
        let mut limit = lock(&target.limit);
        if limit.debt > 0 {
            limit.debt -= 1;
            permit.forget();
        }
    }
}

async fn wait_until_ready(mut sender: SendRequest<Body>) -> Option<SendRequest<Body>> {
    if sender.is_ready() {
        return Some(sender);
    }
    if sender.is_closed() {
        return None;
    }
    time::timeout(READY_TIMEOUT, sender.ready()).await.ok()?.ok()?;
    Some(sender)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
