//! The pool of connections to one instance of a target, and what this entry has observed of it.

use {
    crate::{shared::lock, traffic::body::Body},
    hold::{Instance, Registration, Span},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    key::{Service, Version, Zone, clock::Tick},
    route::Deferral,
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

/// The largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The back-off after a target could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(400);

/// The time for which a target that only other entries reach is not tried from here.
const RELAYED_BACKOFF: Duration = Duration::from_millis(1_500);

/// The time for which requests to a target that no other entry reached are not passed on.
const UNREACHED_BACKOFF: Duration = Duration::from_secs(1);

/// The back-off after a target shed a request.
const SHED_BACKOFF: Duration = Duration::from_millis(60);

/// The time for which a target gets no requests for keys that it denied to hold.
const DENIAL_BACKOFF: Duration = Duration::from_millis(100);

/// The latency assumed for a target that has not answered yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 120_000;

/// The closing time of a target that is not leaving, in microseconds since boot.
const NEVER_CLOSES_US: u64 = u64::MAX;

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
    sender: SendRequest<Body>,
    driver: JoinHandle<()>,
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
    /// The number of responses since the last report, and the sum of their latencies in
    /// microseconds.
    answer_count: AtomicU32,
    latency_sum_us: AtomicU64,
    /// The end of the back-off after a shed request.
    shed_backoff_until: Mutex<Option<Instant>>,
    /// The end of the back-off after a failed connection.
    unreachable_until: Mutex<Option<Instant>>,
    /// The time until which no other entry is taken to reach the target.
    unreached_elsewhere_until: Mutex<Option<Instant>>,
    /// Whether another target answers at the address.
    ended: AtomicBool,
    /// When the target takes no more requests by its registration, in microseconds since boot.
    closes_at_us: AtomicU64,
    /// When the target takes no more requests by its own word, which it cannot take back.
    leaves_at_us: AtomicU64,
    deferral: Mutex<Deferral>,
    denied_spans: Mutex<Vec<DeniedSpan>>,
}

/// Keys that the target denied to hold.
#[derive(Debug)]
struct DeniedSpan {
    span: Span,
    /// The version of the map that names it as their holder.
    map_version: Version,
    until: Instant,
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
            answer_count: AtomicU32::new(0),
            latency_sum_us: AtomicU64::new(0),
            shed_backoff_until: Mutex::default(),
            unreachable_until: Mutex::default(),
            unreached_elsewhere_until: Mutex::default(),
            ended: AtomicBool::new(false),
            closes_at_us: AtomicU64::new(NEVER_CLOSES_US),
            leaves_at_us: AtomicU64::new(NEVER_CLOSES_US),
            deferral: Mutex::default(),
            denied_spans: Mutex::default(),
        }
    }

    /// Returns an idle connection of those that `reuse` allows, or opens a new one.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        reuse: Reuse,
    ) -> Result<Connection, ConnectError> {
        while let Some(channel) = self.check_out_idle(reuse) {
            if channel.sender.is_ready() {
                return Ok(Connection { target: Arc::clone(self), channel });
            }
        }
        let channel = self.open().await.inspect_err(|_| self.record_unreachable())?;
        *lock(&self.unreachable_until) = None;
        Ok(Connection { target: Arc::clone(self), channel })
    }

    /// Removes and returns the idle connection that was used last, and closes those that are too
    /// old.
    fn check_out_idle(&self, reuse: Reuse) -> Option<Channel> {
        if reuse == Reuse::None {
            return None;
        }
        let mut idle = lock(&self.idle);
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

    /// Opens a connection.
    async fn open(&self) -> Result<Channel, ConnectError> {
        let connect = async {
            let socket = wire::socket(self.address, self.source)?;
            SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
            let stream = socket.connect(self.address).await?;
            stream.set_nodelay(true)?;
            http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(std::io::Error::other)
        };
        let connected =
            time::timeout(CONNECT_TIMEOUT, connect).await.map_err(|_| ConnectError::Unreachable)?;
        let (sender, connection) = connected.map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ => ConnectError::Unreachable,
        })?;
        let driver = tokio::spawn(async move {
            // The next use of the sender shows that the connection has ended.
            connection.await.ok();
        });
        Ok(Channel { sender, driver })
    }

    /// Opens a connection to find out whether the target's process has ended, and returns true if
    /// the connection is refused.
    pub(crate) async fn probe_ended(&self) -> bool {
        match self.open().await {
            Ok(channel) => {
                lock(&self.idle).push(IdleConnection { channel, idle_since: Instant::now() });
                false
            }
            Err(error) => {
                self.record_unreachable();
                error == ConnectError::Refused
            }
        }
    }

    /// Closes the idle connections: after one has broken, the others may have too.
    pub(crate) fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Records that the target could not be reached.
    fn record_unreachable(&self) {
        self.close_idle();
        *lock(&self.unreachable_until) = Some(Instant::now() + UNREACHABLE_BACKOFF);
    }

    /// Keeps requests away from the target for a while, such as from an entry that reaches no target
    /// itself.
    pub(crate) fn avoid_for(&self, span: Duration) {
        *lock(&self.unreachable_until) = Some(Instant::now() + span);
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns true if the last connection to the target failed a short time ago, and another entry
    /// may reach it.
    pub(crate) fn may_be_reached_elsewhere(&self) -> bool {
        let now = Instant::now();
        let is_pending = |until: &Mutex<Option<Instant>>| lock(until).is_some_and(|at| now < at);
        is_pending(&self.unreachable_until)
            && !is_pending(&self.unreached_elsewhere_until)
            && !self.ended.load(Ordering::Relaxed)
            && !self.is_closed()
    }

    /// Records whether another entry reached the target that this one did not. If so, this entry
    /// leaves it to the others for longer.
    pub(crate) fn record_relayed(&self, reached: bool) {
        if reached {
            self.avoid_for(RELAYED_BACKOFF);
        } else {
            *lock(&self.unreached_elsewhere_until) = Some(Instant::now() + UNREACHED_BACKOFF);
        }
    }

    /// Records that the target shed a request.
    pub(crate) fn record_shed(&self) {
        *lock(&self.shed_backoff_until) = Some(Instant::now() + SHED_BACKOFF);
    }

    /// Records that another target answers at the address. Returns true if that is new.
    pub(crate) fn record_end(&self) -> bool {
        self.close_idle();
        !self.ended.swap(true, Ordering::Relaxed)
    }

    /// Records that the target denied to hold keys that a map assigns to it.
    pub(crate) fn record_denial(&self, span: Span, map_version: Version) {
        let now = Instant::now();
        let mut denied_spans = lock(&self.denied_spans);
        denied_spans.retain(|denied| now < denied.until && denied.span != span);
        denied_spans.push(DeniedSpan { span, map_version, until: now + DENIAL_BACKOFF });
    }

    /// Returns true if the target denied to hold a key recently, and no newer map assigns the key
    /// to it.
    pub(crate) fn has_denied(&self, key: u16, map_version: Version) -> bool {
        let now = Instant::now();
        lock(&self.denied_spans).iter().any(|denied| {
            now < denied.until && denied.map_version >= map_version && denied.span.contains(key)
        })
    }

    /// Records the latency of a response.
    pub(crate) fn record_latency(&self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        let previous = self.latency_us.load(Ordering::Relaxed);
        let average = (previous * (LATENCY_WEIGHT_DIVISOR - 1) + micros) / LATENCY_WEIGHT_DIVISOR;
        self.latency_us.store(average, Ordering::Relaxed);
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

    /// Sets when the target takes no more requests; `None` if it is not leaving.
    pub(crate) fn set_closing_time(&self, closes_at: Option<Tick>) {
        self.closes_at_us
            .store(closes_at.map_or(NEVER_CLOSES_US, Tick::as_micros), Ordering::Relaxed);
    }

    /// Returns true if the target takes no more requests.
    pub(crate) fn is_closed(&self) -> bool {
        let closes_at_us = self
            .closes_at_us
            .load(Ordering::Relaxed)
            .min(self.leaves_at_us.load(Ordering::Relaxed));
        closes_at_us != NEVER_CLOSES_US && Tick::now().as_micros() >= closes_at_us
    }

    /// Records that the target said that it leaves and takes no requests from `leaves_at` on. Returns
    /// true if that is new; a later word changes nothing.
    pub(crate) fn record_leaving(&self, leaves_at: Tick) -> bool {
        let (new, known) = (leaves_at.as_micros(), NEVER_CLOSES_US);
        let order = Ordering::Relaxed;
        self.leaves_at_us.compare_exchange(known, new, order, order).is_ok()
    }

    /// Records that the target wants nothing for `span`. Returns true if it wanted something before.
    pub(crate) fn record_deferral(&self, span: Duration) -> bool {
        lock(&self.deferral).begin(span, Instant::now())
    }

    /// Records that the target took a request: it wants more.
    pub(crate) fn end_deferral(&self) {
        lock(&self.deferral).end(Instant::now());
    }

    /// Returns for how long the target wants nothing, if it does.
    pub(crate) fn deferred_for(&self) -> Option<Duration> {
        lock(&self.deferral).remaining(Instant::now())
    }

    /// Returns true if the target may get a request besides `others` that are in flight: the first one
    /// after a deferral goes alone.
    pub(crate) fn admits(&self, others: usize) -> bool {
        lock(&self.deferral).admits(others, Instant::now())
    }

    /// Returns true if the target has ended, is closed, or could not be reached recently.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
            || self.is_closed()
            || lock(&self.unreachable_until).is_some_and(|until| Instant::now() < until)
    }

    /// Returns true if other targets should be preferred now.
    pub(crate) fn is_deprioritized(&self) -> bool {
        self.is_unreachable()
            || lock(&self.shed_backoff_until).is_some_and(|until| Instant::now() < until)
    }
}

impl Connection {
    /// Returns the sender of the connection.
    pub(crate) const fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.channel.sender
    }

    /// Returns the handle with which the connection can be closed at any time.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.channel.driver.abort_handle()
    }

    /// Returns the connection to the pool, unless it has closed.
    pub(crate) fn release(self) {
        let Self { target, channel } = self;
        if !channel.sender.is_closed() {
            lock(&target.idle).push(IdleConnection { channel, idle_since: Instant::now() });
        }
    }
}
