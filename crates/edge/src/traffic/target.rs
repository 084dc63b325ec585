//! The connections of this entry to one run of a target, and what it has seen of it.

use {
    crate::{shared::lock, traffic::body::Body},
    hold::{Instance, Registration, Span},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    key::{Service, Version, Zone, clock::Tick},
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    thiserror::Error as Derive,
    tokio::{net::TcpSocket, task::JoinHandle, time},
};

/// The longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time that sent bytes may stay unacknowledged before a connection counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// The idle time after which a connection may have gone silent unnoticed. A request that must not
/// be sent twice takes a fresh connection instead.
const PROVEN: Duration = Duration::from_millis(400);

/// The idle time after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The largest head of an answer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The time for which a target is passed over after it could not be reached.
const UNREACHABLE_FOR: Duration = Duration::from_millis(400);

/// The time for which a target is passed over after it shed a request.
const SHEDDING_FOR: Duration = Duration::from_millis(60);

/// The time for which a target gets no request for keys that it said it does not hold.
const DENIED_FOR: Duration = Duration::from_millis(100);

/// The latency that a target is expected to have before it has answered, in microseconds.
const FIRST_LATENCY_US: u64 = 120_000;

/// The closing time of a target that is not leaving, in microseconds since boot.
const NEVER_US: u64 = u64::MAX;

/// The weight of a new latency is one part in this many.
const LATENCY_PARTS: u64 = 8;

/// Why no connection could be had. Nothing was sent.
#[derive(Clone, Copy, Debug, Derive, PartialEq, Eq)]
pub(crate) enum Error {
    /// The target refuses connections: no process listens there.
    #[error("the target refuses connections")]
    Refused,
    /// The target is leaving and takes no more requests.
    #[error("the target is leaving")]
    Leaving,
    /// The target does not answer.
    #[error("the target cannot be reached")]
    Unreachable,
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Instant,
}

/// A connection with the task that drives it; the task ends with it.
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

/// One run of a target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) instance: Instance,
    pub(crate) service: Service,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Zone,
    pub(crate) slots: u32,
    pub(crate) in_flight: AtomicUsize,
    idle: Mutex<Vec<Idle>>,
    /// A moving average, in microseconds.
    latency_us: AtomicU64,
    /// Answers since control last asked, and the sum of their latencies in microseconds.
    answers: AtomicU32,
    answers_us: AtomicU64,
    passed_over_until: Mutex<Option<Instant>>,
    unreachable_until: Mutex<Option<Instant>>,
    ended: AtomicBool,
    /// When the target takes no more requests, in microseconds since boot.
    closes_us: AtomicU64,
    denied: Mutex<Vec<Denied>>,
}

/// Keys that the target said it does not hold.
#[derive(Debug)]
struct Denied {
    span: Span,
    /// The version of the map by which it should.
    map: Version,
    until: Instant,
}

/// A connection in use. It goes back to its target only when its answer was read whole.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) target: Arc<Target>,
    channel: Channel,
}

impl Target {
    pub(crate) fn new(registration: &Registration) -> Self {
        Self {
            instance: registration.instance(),
            service: registration.service.clone(),
            address: registration.address,
            zone: registration.zone.clone(),
            slots: registration.slots,
            in_flight: AtomicUsize::new(0),
            idle: Mutex::default(),
            latency_us: AtomicU64::new(FIRST_LATENCY_US),
            answers: AtomicU32::new(0),
            answers_us: AtomicU64::new(0),
            passed_over_until: Mutex::default(),
            unreachable_until: Mutex::default(),
            ended: AtomicBool::new(false),
            closes_us: AtomicU64::new(NEVER_US),
            denied: Mutex::default(),
        }
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn connect(self: &Arc<Self>, proven: bool) -> Result<Connection, Error> {
        while let Some(channel) = self.take_idle(proven) {
            if channel.sender.is_ready() {
                return Ok(Connection { target: Arc::clone(self), channel });
            }
        }
        let channel = self.open().await.inspect_err(|_| self.note_unreachable())?;
        *lock(&self.unreachable_until) = None;
        Ok(Connection { target: Arc::clone(self), channel })
    }

    fn take_idle(&self, proven: bool) -> Option<Channel> {
        let mut idle = lock(&self.idle);
        idle.retain(|idle| idle.since.elapsed() < IDLE_LIMIT && !idle.channel.sender.is_closed());
        let newest = idle.pop()?;
        if proven && newest.since.elapsed() >= PROVEN {
            idle.push(newest);
            return None;
        }
        Some(newest.channel)
    }

    async fn open(&self) -> Result<Channel, Error> {
        let connect = async {
            let socket = TcpSocket::new_v4()?;
            SockRef::from(&socket).set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
            let stream = socket.connect(self.address).await?;
            stream.set_nodelay(true)?;
            http1::Builder::new()
                .max_buf_size(BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(std::io::Error::other)
        };
        let connected =
            time::timeout(CONNECT_TIMEOUT, connect).await.map_err(|_| Error::Unreachable)?;
        let (sender, connection) = connected.map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => Error::Unreachable,
        })?;
        let driver = tokio::spawn(async move {
            // The end of the connection shows on the next use of its sender.
            connection.await.ok();
        });
        Ok(Channel { sender, driver })
    }

    /// Tells whether a fresh connection is refused, so that no process runs there.
    pub(crate) async fn has_ended(&self) -> bool {
        match self.open().await {
            Ok(channel) => {
                lock(&self.idle).push(Idle { channel, since: Instant::now() });
                false
            }
            Err(error) => {
                self.note_unreachable();
                error == Error::Refused
            }
        }
    }

    /// Closes the idle connections, which may be as silent as the one that was found to be.
    pub(crate) fn retire_idle(&self) {
        lock(&self.idle).clear();
    }

    fn note_unreachable(&self) {
        self.retire_idle();
        *lock(&self.unreachable_until) = Some(Instant::now() + UNREACHABLE_FOR);
    }

    /// Notes that the target had no room.
    pub(crate) fn note_shedding(&self) {
        *lock(&self.passed_over_until) = Some(Instant::now() + SHEDDING_FOR);
    }

    /// Notes that another target answers at the address, and tells whether that is new.
    pub(crate) fn note_end(&self) -> bool {
        self.retire_idle();
        !self.ended.swap(true, Ordering::Relaxed)
    }

    /// Notes that the target does not hold keys that it should by a map.
    pub(crate) fn note_denial(&self, span: Span, map: Version) {
        let now = Instant::now();
        let mut denied = lock(&self.denied);
        denied.retain(|denied| now < denied.until && denied.span != span);
        denied.push(Denied { span, map, until: now + DENIED_FOR });
    }

    /// Tells whether the target said a moment ago that it does not hold a key, and no newer map
    /// says otherwise.
    pub(crate) fn denies(&self, key: u16, map: Version) -> bool {
        let now = Instant::now();
        lock(&self.denied)
            .iter()
            .any(|denied| now < denied.until && denied.map >= map && denied.span.contains(key))
    }

    /// Notes how long an answer took.
    pub(crate) fn note_latency(&self, latency: Duration) {
        let micros = latency.as_micros() as u64;
        let before = self.latency_us.load(Ordering::Relaxed);
        let after = (before * (LATENCY_PARTS - 1) + micros) / LATENCY_PARTS;
        self.latency_us.store(after, Ordering::Relaxed);
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.answers_us.fetch_add(micros, Ordering::Relaxed);
    }

    /// Takes the number of answers since the last call, and the sum of their latencies.
    pub(crate) fn take_answers(&self) -> (u32, Duration) {
        let answers = self.answers.swap(0, Ordering::Relaxed);
        (answers, Duration::from_micros(self.answers_us.swap(0, Ordering::Relaxed)))
    }

    /// Returns the expected time of the next answer.
    pub(crate) fn expected(&self) -> Duration {
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Relaxed));
        let waiting = self.in_flight.load(Ordering::Relaxed) as u32;
        latency + latency * waiting / self.slots.max(1)
    }

    /// Sets when the target takes no more requests, if it is leaving.
    pub(crate) fn close_at(&self, tick: Option<Tick>) {
        self.closes_us.store(tick.map_or(NEVER_US, Tick::as_micros), Ordering::Relaxed);
    }

    /// Tells whether the target takes no more requests.
    pub(crate) fn is_closed(&self) -> bool {
        let closes = self.closes_us.load(Ordering::Relaxed);
        closes != NEVER_US && Tick::now().as_micros() >= closes
    }

    /// Tells whether the target is closed or could not be reached a moment ago.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
            || self.is_closed()
            || lock(&self.unreachable_until).is_some_and(|until| Instant::now() < until)
    }

    /// Tells whether other targets should be preferred at present.
    pub(crate) fn is_passed_over(&self) -> bool {
        self.is_unreachable()
            || lock(&self.passed_over_until).is_some_and(|until| Instant::now() < until)
    }
}

impl Connection {
    /// Returns the sender of the connection.
    pub(crate) const fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.channel.sender
    }

    /// Gives the connection back for the next request.
    pub(crate) fn release(self) {
        let Self { target, channel } = self;
        if !channel.sender.is_closed() {
            lock(&target.idle).push(Idle { channel, since: Instant::now() });
        }
    }
}
