//! The pool of connections to one instance of a target, and what this entry has observed of it.

use {
    crate::{
        sync::lock,
        traffic::{condition::Condition, reported::Reported},
    },
    bytes::Bytes,
    hold::{Instance, Registration},
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    key::{Service, Zone},
    quota::{Group, Phase},
    socket2::SockRef,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    thiserror::Error as Derive,
    tokio::{
        task::{AbortHandle, JoinHandle},
        time,
    },
    wire::{Lease, Limiter, Monitor},
};

/// The time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which sent bytes may stay unacknowledged before the connection is closed (TCP user
/// timeout).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle time after which a connection may have broken unnoticed. A request that must not be
/// sent twice then uses a new connection instead.
const MAX_TRUSTED_IDLE: Duration = Duration::from_millis(400);

/// The idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The time in which probes must show that the target's process has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which a connection must stay open to show that it has not.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(20);

/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The latency assumed for a target that has not answered yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 120_000;

/// The divisor of the moving average: a new latency has a weight of one part in this many.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// Why a target cannot be connected to. Nothing was sent.
#[derive(Clone, Copy, Debug, Derive, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The target refuses connections: no process listens there.
    #[error("the target refuses connections")]
    Refused,
    /// The target is leaving and takes no more requests.
    #[error("the target is leaving")]
    Leaving,
    /// The target said that it wants nothing for a while.
    #[error("the target wants nothing for a while")]
    Deferred,
    /// The target may be cold, and the request has no permit that can still be used.
    #[error("the target may be cold and there is no permit")]
    Unpermitted,
    /// This process has as many connections open as it may have.
    #[error("there is no room for a connection")]
    NoRoom,
    /// The target does not answer, or the request could not be sent because the connection
    /// closed or the deadline passed.
    #[error("the target cannot be reached")]
    Unreachable,
}

/// The idle connections that an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Every one.
    Any,
    /// One that was not idle for too long to be trusted.
    Trusted,
    /// None: the target has answered this request before, and a second copy of that answer could be
    /// taken for the answer to this attempt.
    None,
}

#[derive(Debug)]
struct IdleConnection {
    channel: Channel,
    idle_since: Instant,
}

/// A connection with the task that drives it; dropping it ends the task.
#[derive(Debug)]
struct Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    monitor: Monitor,
    lease: Lease,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// One instance of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) instance: Instance,
    pub(crate) service: Service,
    pub(crate) address: SocketAddr,
    /// The local address of connections to it.
    source: Option<IpAddr>,
    pub(crate) zone: Zone,
    pub(crate) slots: u32,
    pub(crate) in_flight: AtomicUsize,
    idle: Mutex<Vec<IdleConnection>>,
    /// The moving average of the latency, in microseconds.
    latency_us: AtomicU64,
    /// Its value before the first response.
    initial_latency_us: u64,
    /// Whether a connection was found closed that was open when it was last used.
    lost_connection: AtomicBool,
    /// The number of responses since the last report, and the sum of their latencies in
    /// microseconds.
    answer_count: AtomicU32,
    latency_sum_us: AtomicU64,
    /// Whether it can be used, as far as this entry knows.
    pub(crate) condition: Condition,
    /// What it reports of its load.
    pub(crate) reported: Reported,
}

/// A connection in use. It is released to the pool of its target only after the whole response was
/// read.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) target: Arc<Target>,
    channel: Channel,
}

impl Target {
    pub(crate) fn new(registration: &Registration, source: Option<IpAddr>) -> Self {
        Self {
            instance: registration.instance(),
            service: registration.service.clone(),
            address: registration.address,
            source,
            zone: registration.zone.clone(),
            slots: registration.slots,
            in_flight: AtomicUsize::new(0),
            idle: Mutex::default(),
            latency_us: AtomicU64::new(INITIAL_LATENCY_US),
            initial_latency_us: INITIAL_LATENCY_US,
            lost_connection: AtomicBool::new(false),
            answer_count: AtomicU32::new(0),
            latency_sum_us: AtomicU64::new(0),
            condition: Condition::default(),
            reported: Reported::default(),
        }
    }

    /// Returns the target with the usual latency of its service, if known, as its expected latency.
    /// With a flat one it would look like the fastest target of a slow service.
    pub(crate) fn expecting(self, usual: Option<Duration>) -> Self {
        let initial_latency_us =
            usual.map_or(self.initial_latency_us, |usual| usual.as_micros() as u64);
        Self { latency_us: AtomicU64::new(initial_latency_us), initial_latency_us, ..self }
    }

    /// Returns the moving average of the latency, if the target has responded.
    pub(crate) fn learned_latency(&self) -> Option<Duration> {
        let latency_us = self.latency_us.load(Ordering::Relaxed);
        (latency_us != self.initial_latency_us).then(|| Duration::from_micros(latency_us))
    }

    /// Returns true, once, if a connection was lost while it was not in use.
    pub(crate) fn take_lost_connection(&self) -> bool {
        self.lost_connection.swap(false, Ordering::Relaxed)
    }

    /// Returns an idle connection of those that `reuse` allows, or opens a new one.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        reuse: Reuse,
        limiter: &Limiter,
    ) -> Result<Connection, ConnectError> {
        while let Some(channel) = self.check_out_idle(reuse) {
            // The driver may not have run yet since the connection ended.
            if channel.sender.is_ready() && channel.monitor.is_quiet() && channel.lease.take() {
                return Ok(Connection { target: Arc::clone(self), channel });
            }
            self.lost_connection.store(true, Ordering::Relaxed);
        }
        let opened = self.open(limiter).await;
        let channel = opened.inspect_err(|error| {
            if *error != ConnectError::NoRoom {
                self.record_unreachable();
            }
        })?;
        self.condition.record_reached();
        Ok(Connection { target: Arc::clone(self), channel })
    }

    /// Removes and returns the idle connection that was used last, and closes those that are too
    /// old.
    fn check_out_idle(&self, reuse: Reuse) -> Option<Channel> {
        let mut idle = lock(&self.idle);
        if idle.iter().any(|idle| idle.channel.sender.is_closed()) {
            self.lost_connection.store(true, Ordering::Relaxed);
        }
        if reuse == Reuse::None {
            return None;
        }
        idle.retain(|idle| {
            idle.idle_since.elapsed() < MAX_IDLE && !idle.channel.sender.is_closed()
        });
        let newest = idle.pop()?;
        if reuse == Reuse::Trusted && newest.idle_since.elapsed() >= MAX_TRUSTED_IDLE {
            idle.push(newest);
            return None;
        }
        Some(newest.channel)
    }

    /// Opens a connection, if need be in place of the one that has been idle for longest.
    async fn open(&self, limiter: &Limiter) -> Result<Channel, ConnectError> {
        let permit = limiter.admit(Group::Targets).ok_or(ConnectError::NoRoom)?;
        let lease = permit.lease();
        permit.set_phase(Phase::Running);
        let connect = async {
            let socket = wire::socket(self.address, self.source)?;
            SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
            let stream = socket.connect(self.address).await?;
            stream.set_nodelay(true)?;
            // A request that is given up must not arrive later from the buffer of a closed socket.
            stream.set_zero_linger()?;
            let (socket, monitor) = wire::monitor(stream);
            let (sender, connection) = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .handshake(TokioIo::new(socket))
                .await
                .map_err(std::io::Error::other)?;
            Ok((sender, connection, monitor))
        };
        let connected =
            time::timeout(CONNECT_TIMEOUT, connect).await.map_err(|_| ConnectError::Unreachable)?;
        let (sender, connection, monitor) =
            connected.map_err(|error: std::io::Error| match error.kind() {
                std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
                _ => ConnectError::Unreachable,
            })?;
        let of_task = permit.clone();
        let driver = tokio::spawn(async move {
            // The next use of the sender shows that the connection has ended.
            connection.await.ok();
            drop(of_task);
        });
        permit.set_task(driver.abort_handle());
        Ok(Channel { sender, driver, monitor, lease })
    }

    /// Opens a connection to find out whether the target's process has ended, and returns true if
    /// the connection is refused. A process that is ending may still accept connections and close
    /// them, so one that is closed at once is followed by another, until [`PROBE_TIMEOUT`].
    pub(crate) async fn probe_ended(&self, limiter: &Limiter) -> bool {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        while Instant::now() < deadline {
            match self.open(limiter).await {
                Ok(channel) => {
                    time::sleep(PROBE_SETTLE_TIME).await;
                    if !channel.sender.is_closed() {
                        channel.lease.give_back();
                        lock(&self.idle)
                            .push(IdleConnection { channel, idle_since: Instant::now() });
                        return false;
                    }
                }
                Err(ConnectError::NoRoom) => return false,
                Err(error) => {
                    self.record_unreachable();
                    return error == ConnectError::Refused;
                }
            }
        }
        false
    }

    /// Closes the idle connections: after one has broken, the others may have too.
    pub(crate) fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Records that the target could not be reached.
    fn record_unreachable(&self) {
        self.close_idle();
        self.condition.record_unreachable();
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that another target answers at the address. Returns true if that is new.
    pub(crate) fn record_end(&self) -> bool {
        self.close_idle();
        self.condition.record_end()
    }

    /// Records that a request was not answered within its time. The target may be full and say so
    /// to nobody: it then counts as slow, and others are preferred.
    pub(crate) fn record_unanswered(&self, waited: Duration) {
        self.update_latency(waited);
        self.condition.record_shed();
    }

    fn update_latency(&self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        let previous = self.latency_us.load(Ordering::Relaxed);
        let average = (previous * (LATENCY_WEIGHT_DIVISOR - 1) + micros) / LATENCY_WEIGHT_DIVISOR;
        self.latency_us.store(average, Ordering::Relaxed);
    }

    /// Records the latency of a response.
    pub(crate) fn record_latency(&self, latency: Duration) {
        self.update_latency(latency);
        let micros = latency.as_micros() as u64;
        self.answer_count.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(micros, Ordering::Relaxed);
    }

    /// Returns and resets the number of responses and the sum of their latencies.
    pub(crate) fn take_latency_stats(&self) -> (u32, Duration) {
        let answer_count = self.answer_count.swap(0, Ordering::Relaxed);
        (answer_count, Duration::from_micros(self.latency_sum_us.swap(0, Ordering::Relaxed)))
    }

    /// Returns the expected latency of the next response, with the requests in flight shared among
    /// the slots.
    pub(crate) fn expected_latency(&self) -> Duration {
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Relaxed));
        let in_flight = self.in_flight.load(Ordering::Relaxed) as u32;
        latency + latency * in_flight / self.slots.max(1)
    }
}

impl Connection {
    /// Returns the sender of the connection.
    pub(crate) const fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.channel.sender
    }

    /// Returns the number of bytes that were written to the connection.
    pub(crate) fn written(&self) -> u64 {
        self.channel.monitor.written()
    }

    /// Closes the connection, and returns the number of bytes that were written to it.
    pub(crate) async fn close(mut self) -> u64 {
        self.channel.driver.abort();
        // Once the task has ended, it writes nothing more.
        (&mut self.channel.driver).await.ok();
        self.written()
    }

    /// Returns the handle with which the connection can be closed at any time.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.channel.driver.abort_handle()
    }

    /// Returns the connection to the pool, unless it has closed.
    pub(crate) fn release(self) {
        let Self { target, channel } = self;
        if !channel.sender.is_closed() {
            channel.lease.give_back();
            lock(&target.idle).push(IdleConnection { channel, idle_since: Instant::now() });
        }
    }
}
