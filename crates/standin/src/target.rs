//! A target: an HTTP server that owns keys under leases, with faults.

use {
    crate::journal::{Journal, Kind},
    bytes::Bytes,
    conf::services::Fencing,
    futures::stream,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_LENGTH},
    http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody},
    hyper::{
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    key::{Fence, Incarnation, Shard, Vm, clock::Tick},
    own::lease::{Grant, Holder, LEASE_PATH, Reply, Verdict},
    route::header,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        convert::Infallible,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{Semaphore, TryAcquireError},
        time,
    },
};

const BODY_LIMIT_BYTES: usize = 1 << 20;
const CHUNK_BYTES: usize = 16 << 10;
const CRASH_STATUS: i32 = 70;
const MICROS_PER_MILLI: u64 = 1_000;

type Body = BoxBody<Bytes, std::io::Error>;

/// How a target is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the VM.
    pub vm: Vm,
    /// The service it runs.
    pub service: SmolStr,
    /// Whether it owns keys under leases.
    pub keyed: bool,
    /// What it compares before it obeys.
    pub fencing: Fencing,
    /// The requests it works on at once.
    pub slots: usize,
    /// The requests that may wait for a slot.
    pub queue: usize,
    /// The connections it accepts.
    pub connections: usize,
    /// The milliseconds of work of a request.
    pub work_ms: u64,
    /// How far its clock is ahead of the machine's, so that a comparison of clocks is found out.
    pub clock_offset_ms: u64,
}

/// The faults and the moods of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// It says that it will stop soon, and takes no new work that it does not own.
    pub leaving: bool,
    /// Added to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Every request is shed.
    pub shed: bool,
    /// Its health endpoint says the opposite of the truth.
    pub health_lies: bool,
    /// Each answer bears the identity of another request.
    pub crossed: bool,
    /// The requests after a start that take longer, each by `cold_ms`.
    pub cold_requests: u64,
    /// The added work of a cold request, in milliseconds.
    pub cold_ms: u64,
}

struct State {
    lease: Holder,
    running: HashMap<Shard, usize>,
    fault: Fault,
    served: u64,
}

/// The target.
pub struct Target {
    config: Config,
    incarnation: Incarnation,
    state: Mutex<State>,
    slots: Semaphore,
    waiting: AtomicUsize,
    journal: Journal,
}

/// Why a request does not run.
type Denial = &'static str;

impl Target {
    /// Returns a target that has promised nothing.
    #[must_use]
    pub fn new(config: Config, incarnation: Incarnation, journal: Journal) -> Arc<Self> {
        let slots = Semaphore::new(config.slots);
        let state = Mutex::new(State {
            lease: Holder::new(config.fencing, incarnation),
            running: HashMap::new(),
            fault: Fault::default(),
            served: 0,
        });
        Arc::new(Self { config, incarnation, state, slots, waiting: AtomicUsize::new(0), journal })
    }

    /// Answers requests on `listener`, for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let connections = Arc::new(Semaphore::new(self.config.connections));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else { continue };
            stream.set_nodelay(true).ok();
            let target = Arc::clone(&self);
            let service = service_fn(move |request| {
                let target = Arc::clone(&target);
                async move { Ok::<_, Infallible>(target.answer(request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                connection.await.ok();
                drop(permit);
            });
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        Tick::now().as_millis() + self.config.clock_offset_ms
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        let mut response = match path {
            LEASE_PATH => self.control(request).await,
            "/admin/fault" => match wire::read_json(request, BODY_LIMIT_BYTES).await {
                Ok(fault) => {
                    self.state().fault = fault;
                    json(StatusCode::OK, &())
                }
                Err(_) => json(StatusCode::BAD_REQUEST, &()),
            },
            "/health" => self.health(),
            "/load" => json(StatusCode::OK, &self.waiting.load(Ordering::Relaxed)),
            _ => self.work(request).await,
        };
        let leaving = self.state().fault.leaving;
        let headers = response.headers_mut();
        headers.insert(header::TARGET_NOW_MS, self.now_ms().into());
        headers.insert(header::TARGET_INCARNATION, self.incarnation.get().into());
        if leaving {
            headers.insert(header::TARGET_STATE, HeaderValue::from_static(header::LEAVING));
        }
        response
    }

    fn health(&self) -> Response<Body> {
        let lies = self.state().fault.health_lies;
        json(if lies { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }, &self.incarnation)
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        match wire::read_json::<Grant>(request, BODY_LIMIT_BYTES).await {
            Ok(offer) => json(StatusCode::OK, &self.obey(&offer)),
            Err(_) => json(StatusCode::BAD_REQUEST, &()),
        }
    }

    /// Takes an order about the lease.
    fn obey(&self, offer: &Grant) -> Reply {
        let mut state = self.state();
        let now_ms = self.now_ms();
        let before = state.lease.digest();
        let verdict = state.lease.apply(offer);
        if verdict == Verdict::Accepted && offer.deadline_ms.is_some() {
            let fresh = state.lease.digest() != before;
            let until_ms = state.lease.deadline_ms().saturating_sub(self.config.clock_offset_ms);
            let listed = offer.shards.as_ref().filter(|_| fresh);
            let leased = Kind::Leased {
                service: self.config.service.clone(),
                until: Tick::from(until_ms * MICROS_PER_MILLI),
                shards: listed.map(|held| held.iter().map(|one| (one.shard, one.fence)).collect()),
            };
            self.journal.write(Tick::now(), leased);
        }
        let running = state.running.iter().filter(|(_, count)| **count > 0);
        let busy = running.map(|(shard, _)| *shard).filter(|shard| !state.lease.contains(*shard));
        Reply {
            now_ms,
            incarnation: self.incarnation,
            leaving: state.fault.leaving,
            verdict,
            stamp: state.lease.stamp(),
            busy: busy.collect(),
        }
    }

    /// Returns the held shard of a request, or why the target must not run it.
    fn admit(&self, state: &State, headers: &HeaderMap) -> Result<Option<(Shard, Fence)>, Denial> {
        let now_ms = self.now_ms();
        if number(headers, header::DEADLINE_AT_MS).is_some_and(|deadline| deadline <= now_ms) {
            return Err(header::reason::EXPIRED);
        }
        if !self.config.keyed {
            return if state.fault.leaving { Err(header::reason::DRAINING) } else { Ok(None) };
        }
        let shard = number(headers, header::SHARD).map(|shard| Shard::from(shard as u32));
        let fence = number(headers, header::FENCE).map(Fence::from);
        let (Some(shard), Some(fence)) = (shard, fence) else {
            return Err(header::reason::NOT_OWNER);
        };
        if state.lease.holds(shard, fence, now_ms) {
            return Ok(Some((shard, fence)));
        }
        Err(header::reason::NOT_OWNER)
    }

    async fn work(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let id = text(&headers, header::IDEMPOTENCY_KEY);
        let refuse = |reason: Denial| {
            self.journal
                .write(Tick::now(), Kind::Refused { id: id.clone(), reason: reason.to_owned() });
            self.refusal(&headers, reason)
        };
        let admitted = self.admit(&self.state(), &headers);
        let held = match admitted {
            Ok(held) => held,
            Err(denial) => return refuse(denial),
        };
        let shed = self.state().fault.shed;
        let _slot = match self.slots.try_acquire() {
            Ok(_) if shed => return refuse(header::reason::SHED),
            Ok(slot) => slot,
            Err(TryAcquireError::NoPermits)
                if self.waiting.load(Ordering::Relaxed) < self.config.queue =>
            {
                self.waiting.fetch_add(1, Ordering::Relaxed);
                let slot = self.slots.acquire().await;
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                match slot {
                    Ok(slot) => slot,
                    Err(_) => return refuse(header::reason::SHED),
                }
            }
            Err(_) => return refuse(header::reason::SHED),
        };
        let Ok(body) = Limited::new(body, BODY_LIMIT_BYTES).collect().await else {
            return refuse("bad-body");
        };
        let body = body.to_bytes();
        let path = parts.uri.path().to_owned();
        let _running = Running::new(self, held);
        let work = self.work_time();
        if !work.is_zero() {
            time::sleep(work).await;
        }
        if path.contains("poison") {
            std::process::exit(CRASH_STATUS);
        }
        if let Err(denial) = self.take_effect(&parts.method, &path, &headers, id.clone()) {
            return refuse(denial);
        }
        self.content(&parts.method, &path, &headers, &body).await
    }

    /// Runs a request, unless the right to it has been lost since it was admitted.
    fn take_effect(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        id: Option<String>,
    ) -> Result<(), Denial> {
        let state = self.state();
        let held = self.admit(&state, headers)?;
        let ran = Kind::Ran {
            service: self.config.service.clone(),
            id,
            method: method.to_string(),
            path: path.to_owned(),
            held,
        };
        self.journal.write(Tick::now(), ran);
        Ok(())
    }

    fn work_time(&self) -> Duration {
        let mut state = self.state();
        state.served += 1;
        let fault = state.fault;
        let cold = if state.served <= fault.cold_requests { fault.cold_ms } else { 0 };
        Duration::from_millis(self.config.work_ms + fault.slow_ms + cold)
    }

    fn refusal(&self, headers: &HeaderMap, reason: Denial) -> Response<Body> {
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &reason);
        response.headers_mut().insert(header::OUTCOME, HeaderValue::from_static("not-run"));
        response.headers_mut().insert(header::REASON, HeaderValue::from_static(reason));
        self.identify(headers, &mut response);
        response
    }

    fn identify(&self, headers: &HeaderMap, response: &mut Response<Body>) {
        let crossed = self.state().fault.crossed;
        let id = if crossed { Some(HeaderValue::from_static("another")) } else { None };
        if let Some(id) = id.or_else(|| headers.get(header::REQUEST_ID).cloned()) {
            response.headers_mut().insert(header::REQUEST_ID, id);
        }
    }

    /// Returns the answer: a download for `/service/download/BYTES/PAUSE_MS`, else an echo.
    async fn content(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Response<Body> {
        let mut segments = path.split('/').skip(2);
        let mut response = if segments.next() == Some("download") {
            let bytes = segments.next().and_then(|text| text.parse().ok()).unwrap_or_default();
            let pause = segments.next().and_then(|text| text.parse().ok()).unwrap_or_default();
            download(path, bytes, Duration::from_millis(pause))
        } else {
            let echo = Echo {
                vm: self.config.vm.clone(),
                method: method.to_string(),
                path: path.to_owned(),
                body: String::from_utf8_lossy(body).into_owned(),
            };
            json(StatusCode::OK, &echo)
        };
        self.identify(headers, &mut response);
        response
    }
}

/// The answer to an ordinary request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The target that answered.
    pub vm: Vm,
    /// The method of the request.
    pub method: String,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: String,
}

/// Counts a request as running on its shard.
struct Running<'a> {
    target: &'a Target,
    shard: Option<Shard>,
}

impl<'a> Running<'a> {
    fn new(target: &'a Target, held: Option<(Shard, Fence)>) -> Self {
        let shard = held.map(|(shard, _)| shard);
        if let Some(shard) = shard {
            *target.state().running.entry(shard).or_default() += 1;
        }
        Self { target, shard }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.target.state();
        if let Some(count) = self.shard.and_then(|shard| state.running.get_mut(&shard)) {
            *count -= 1;
        }
    }
}

/// Returns the byte at `at` of the download at `path`, so that a reader can check each byte.
#[must_use]
pub fn download_byte(path: &str, at: usize) -> u8 {
    (key::rendezvous_weight(path, "download") as usize).wrapping_add(at.wrapping_mul(31)) as u8
}

fn download(path: &str, bytes: usize, pause: Duration) -> Response<Body> {
    let path = path.to_owned();
    let chunks = stream::unfold(0usize, move |sent| {
        let path = path.clone();
        async move {
            if sent >= bytes {
                return None;
            }
            time::sleep(pause).await;
            let end = bytes.min(sent + CHUNK_BYTES);
            let start = key::rendezvous_weight(&path, "download") as usize;
            let chunk: Vec<u8> =
                (sent..end).map(|at| start.wrapping_add(at.wrapping_mul(31)) as u8).collect();
            Some((Ok(Frame::data(Bytes::from(chunk))), end))
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(chunks)))));
    response.headers_mut().insert(CONTENT_LENGTH, bytes.into());
    response
}

/// A stream that is only ever polled by its owner and may so be shared between threads.
struct SyncStream<S>(std::pin::Pin<Box<S>>);

impl<S: futures::Stream> futures::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(context)
    }
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let full = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed(full));
    *response.status_mut() = status;
    response
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
