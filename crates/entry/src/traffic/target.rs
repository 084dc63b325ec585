//! A target as this entry sees it: its connections, its failures and its clock.

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
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
};

/// The number of consecutive failures after which a target is ejected, which means that requests
/// prefer other targets.
pub(crate) const EJECTION_FAILURES: u32 = 3;

/// The time for which a target is ejected, from its latest failure.
const EJECTION_DURATION: Duration = Duration::from_secs(2);

/// The interval between two attempts at a target at which attempts keep failing.
const FAILING_TARGET_TRY_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which opening a connection has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The time in which probes of a target must show that its process has ended.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// The idle time after which a connection may be broken without this entry having noticed. A
/// request that must not be sent twice takes a new connection instead.
const MAX_TRUSTED_IDLE: Duration = Duration::from_millis(500);

/// The idle time after which a connection is not used again but closed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// The time for which a connection whose last response has just ended may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// The reason why there is no connection for a request, of which nothing was sent.
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
    idle_since: Instant,
}

#[derive(Debug)]
struct ConnectionLimit {
    /// The number of connections that may be open.
    max_open: usize,
    /// The number of permits to forget as connections are released, after the limit was lowered.
    permits_to_forget: usize,
}

/// A target, which is kept when the routing table is replaced so that its connections stay open.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) vm: Vm,
    pub(crate) zone: Zone,
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) incarnation: AtomicU64,
    pub(crate) leaving: AtomicBool,
    permits: Arc<Semaphore>,
    limit: Mutex<ConnectionLimit>,
    idle: Mutex<Vec<IdleConnection>>,
    clock_reading: Mutex<Option<(u64, Tick)>>,
    failures: AtomicU32,
    /// The time of the last attempt that was allowed in spite of failures, in microseconds.
    last_tried_us: AtomicU64,
    ejected_until: Mutex<Option<Instant>>,
    options: ConnectOptions,
}

/// The options with which connections to targets are opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectOptions {
    /// The size of the buffer of one connection.
    pub(crate) buffer_bytes: usize,
    /// The local address to connect from.
    pub(crate) source: Option<IpAddr>,
}

/// A connection in use, which is released to its target only after its response was read whole.
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
            limit: Mutex::new(ConnectionLimit { max_open: 1, permits_to_forget: 0 }),
            idle: Mutex::default(),
            clock_reading: Mutex::default(),
            failures: AtomicU32::new(0),
            last_tried_us: AtomicU64::new(0),
            ejected_until: Mutex::default(),
            options,
        })
    }

    /// Sets the number of connections that this entry may open to the target.
    ///
    /// If it is lowered, permits in use are withdrawn as their connections are released.
    pub(crate) fn set_limit(&self, limit: usize) {
        let mut current = lock(&self.limit);
        let limit = limit.max(1);
        if limit > current.max_open {
            let added = limit - current.max_open;
            let cancelled = added.min(current.permits_to_forget);
            current.permits_to_forget -= cancelled;
            self.permits.add_permits(added - cancelled);
        } else {
            let removed = current.max_open - limit;
            current.permits_to_forget += removed - self.permits.forget_permits(removed);
        }
        current.max_open = limit;
        lock(&self.idle).truncate(limit);
    }

    /// Takes an idle connection or opens a new one, waiting up to `timeout` for a permit.
    ///
    /// With `trusted_only`, idle connections older than [`MAX_TRUSTED_IDLE`] are not used.
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
        let max_idle = if trusted_only { MAX_TRUSTED_IDLE } else { MAX_IDLE };
        let mut idle = lock(&self.idle);
        let newest = idle.pop()?;
        if newest.idle_since.elapsed() < max_idle {
            return Some(newest.sender);
        }
        // All others have been idle for longer.
        if trusted_only {
            idle.push(newest);
        } else {
            idle.clear();
        }
        None
    }

    async fn open(&self) -> std::io::Result<SendRequest<Body>> {
        let socket = wire::socket(self.address, self.options.source)?;
        let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(self.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        // A request that is given up must not arrive later from the buffer of a closed socket.
        stream.set_zero_linger()?;
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

    /// Closes the idle connections, which may be broken like the one that has just timed out.
    pub(crate) fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Probes the target; returns true if the run with this incarnation has ended.
    ///
    /// That is concluded if no connection can be opened or another incarnation responds. A process
    /// that is ending may still accept connections and close them, so a probe without a response is
    /// repeated, until [`PROBE_TIMEOUT`].
    pub(crate) async fn probe_ended(&self, client: &wire::Client, incarnation_before: u64) -> bool {
        let probes = async {
            loop {
                match client.get::<u64>(self.address, "/health").await {
                    Ok(incarnation) => return incarnation != incarnation_before,
                    Err(error) if *error.kind() == wire::ErrorKind::Unsent => return true,
                    Err(_) => time::sleep(PROBE_INTERVAL).await,
                }
            }
        };
        time::timeout(PROBE_TIMEOUT, probes).await.unwrap_or(false)
    }

    /// Records the target's clock as it reported it in a response.
    pub(crate) fn record_clock(&self, target_ms: u64) {
        *lock(&self.clock_reading) = Some((target_ms, Tick::now()));
    }

    /// Returns the time `remaining` from now in milliseconds of the target's clock, if it is known.
    ///
    /// The result may be early, by the time that the response with the reading took to arrive.
    pub(crate) fn deadline_at(&self, remaining: Duration) -> Option<u64> {
        let (target_ms, received_at) = (*lock(&self.clock_reading))?;
        let target_now_ms = target_ms + Tick::now().since(received_at).as_millis() as u64;
        Some(target_now_ms + remaining.as_millis() as u64)
    }

    /// Records a response, which resets the failures and ends an ejection.
    pub(crate) fn record_success(&self) {
        if self.failures.swap(0, Ordering::Relaxed) >= EJECTION_FAILURES {
            *lock(&self.ejected_until) = None;
        }
    }

    /// Records a failed attempt; returns the number of consecutive failures if this one ejects the
    /// target.
    pub(crate) fn record_failure(&self) -> Option<u32> {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < EJECTION_FAILURES {
            return None;
        }
        *lock(&self.ejected_until) = Some(Instant::now() + EJECTION_DURATION);
        (failures == EJECTION_FAILURES).then_some(failures)
    }

    /// Returns true if an attempt may be made now.
    ///
    /// While attempts fail, one request per interval is let through to find out whether they still
    /// do. The others wait instead of using up their retries.
    pub(crate) fn reserve_attempt(&self) -> bool {
        if self.failures.load(Ordering::Relaxed) < EJECTION_FAILURES {
            return true;
        }
        let now = Tick::now();
        let last_tried_us = self.last_tried_us.load(Ordering::Relaxed);
        let is_due = now.since(Tick::from(last_tried_us)) >= FAILING_TARGET_TRY_INTERVAL;
        is_due
            && self
                .last_tried_us
                .compare_exchange(
                    last_tried_us,
                    now.as_micros(),
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok()
    }

    /// Returns true if the target is ejected at present.
    pub(crate) fn is_ejected(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= EJECTION_FAILURES
            && lock(&self.ejected_until).is_some_and(|until| Instant::now() < until)
    }
}

impl Connection {
    /// Returns the connection to its target for the next request, unless it is closed.
    pub(crate) fn release(self) {
        let Self { target, sender, permit } = self;
        if !sender.is_closed() {
            lock(&target.idle).push(IdleConnection { sender, idle_since: Instant::now() });
        }
        let mut limit = lock(&target.limit);
        if limit.permits_to_forget > 0 {
            limit.permits_to_forget -= 1;
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
