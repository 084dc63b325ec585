//! A stand-in for a target of the product's own conventions, with faults.
//!
//! The target is an HTTP server that applies lease grants through a [`Holder`]. A keyed target
//! refuses requests whose shard and fencing token its lease does not cover. It checks a request
//! when the request arrives and again when it takes effect, and writes leases, effects and refusals
//! to its journal.

use {
    crate::{
        crash::Crash,
        journal::{Journal, Kind},
    },
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

const MAX_BODY_BYTES: usize = 1 << 20;
const DOWNLOAD_CHUNK_BYTES: usize = 16 << 10;

const MICROS_PER_MILLI: u64 = 1_000;

type Body = BoxBody<Bytes, std::io::Error>;

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the target's VM.
    pub vm: Vm,
    /// The service that the target runs.
    pub service: SmolStr,
    /// Whether the target owns keys under leases.
    pub keyed: bool,
    /// What the target checks before it applies a grant or runs a request.
    pub fencing: Fencing,
    /// The number of requests that run at once.
    pub slots: usize,
    /// The number of requests that may wait for a slot.
    pub queue: usize,
    /// The number of connections that are open at once; further ones are closed.
    pub connections: usize,
    /// The duration of a request's work, in milliseconds.
    pub work_ms: u64,
    /// How far the target's clock is ahead of the machine's, in milliseconds.
    ///
    /// An offset makes tests fail if an entry compares its own clock with the target's.
    pub clock_offset_ms: u64,
}

/// The faults to inject and the states to report, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Whether the target reports that it is about to stop and, unless it is keyed, refuses new
    /// requests.
    pub leaving: bool,
    /// The duration added to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether the health endpoint reports failure although the target works.
    pub health_lies: bool,
    /// Whether each response carries the id of another request.
    pub crossed: bool,
    /// The number of requests after the start that take longer, each by `cold_ms`.
    pub cold_requests: u64,
    /// The duration added to the work of each of these requests, in milliseconds.
    pub cold_ms: u64,
}

struct State {
    lease: Holder,
    /// The number of requests that run on each shard.
    running_counts: HashMap<Shard, usize>,
    fault: Fault,
    request_count: u64,
}

/// A target that is an HTTP server and owns keys under leases.
pub struct Target {
    config: Config,
    incarnation: Incarnation,
    state: Mutex<State>,
    slots: Semaphore,
    waiting_count: AtomicUsize,
    crash: Crash,
    journal: Journal,
}

/// The reason for which a request does not run, as the response header states it.
type RefusalReason = &'static str;

impl Target {
    /// Returns a target without a lease.
    #[must_use]
    pub fn new(config: Config, incarnation: Incarnation, journal: Journal) -> Arc<Self> {
        let slots = Semaphore::new(config.slots);
        let state = Mutex::new(State {
            lease: Holder::new(config.fencing, incarnation),
            running_counts: HashMap::new(),
            fault: Fault::default(),
            request_count: 0,
        });
        Arc::new(Self {
            config,
            incarnation,
            state,
            slots,
            waiting_count: AtomicUsize::new(0),
            crash: Crash::default(),
            journal,
        })
    }

    /// Serves requests on `listener`, forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let connections = Arc::new(Semaphore::new(self.config.connections));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if self.crash.check().is_err() {
                continue;
            }
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else { continue };
            stream.set_nodelay(true).ok();
            let target = Arc::clone(&self);
            let service = service_fn(move |request| {
                let target = Arc::clone(&target);
                async move {
                    let response = target.handle_request(request).await;
                    target.crash.check().map(|()| response)
                }
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

    /// Returns the time on the target's clock.
    fn now_ms(&self) -> u64 {
        Tick::now().as_millis() + self.config.clock_offset_ms
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        let mut response = match path {
            LEASE_PATH => self.handle_grant(request).await,
            "/admin/fault" => match wire::read_json(request, MAX_BODY_BYTES).await {
                Ok(fault) => {
                    self.state().fault = fault;
                    json(StatusCode::OK, &())
                }
                Err(_) => json(StatusCode::BAD_REQUEST, &()),
            },
            "/health" => self.health(),
            "/load" => json(StatusCode::OK, &self.waiting_count.load(Ordering::Relaxed)),
            _ => self.run_request(request).await,
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
        let reports_failure = self.state().fault.health_lies;
        json(
            if reports_failure { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK },
            &self.incarnation,
        )
    }

    async fn handle_grant(&self, request: Request<Incoming>) -> Response<Body> {
        match wire::read_json::<Grant>(request, MAX_BODY_BYTES).await {
            Ok(grant) => json(StatusCode::OK, &self.apply_grant(&grant)),
            Err(_) => json(StatusCode::BAD_REQUEST, &()),
        }
    }

    /// Applies a grant and returns the reply to it.
    ///
    /// The journal gets the shards only if the grant changed them.
    fn apply_grant(&self, grant: &Grant) -> Reply {
        let mut state = self.state();
        let now_ms = self.now_ms();
        let old_digest = state.lease.digest();
        let verdict = state.lease.apply(grant);
        if verdict == Verdict::Accepted && grant.deadline_ms.is_some() {
            let has_changed = state.lease.digest() != old_digest;
            let expires_at_ms =
                state.lease.deadline_ms().saturating_sub(self.config.clock_offset_ms);
            let new_shards = grant.shards.as_ref().filter(|_| has_changed);
            let leased = Kind::Leased {
                service: self.config.service.clone(),
                until: Tick::from(expires_at_ms * MICROS_PER_MILLI),
                shards: new_shards
                    .map(|leased| leased.iter().map(|one| (one.shard, one.fence)).collect()),
            };
            self.journal.write(Tick::now(), leased);
        }
        let running = state.running_counts.iter().filter(|(_, count)| **count > 0);
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

    /// Returns the leased shard of a request, or the reason for which the target must not run it.
    fn admit(
        &self,
        state: &State,
        headers: &HeaderMap,
    ) -> Result<Option<(Shard, Fence)>, RefusalReason> {
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

    async fn run_request(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let id = text(&headers, header::IDEMPOTENCY_KEY);
        let refuse = |reason: RefusalReason| {
            self.journal
                .write(Tick::now(), Kind::Refused { id: id.clone(), reason: reason.to_owned() });
            self.refusal(&headers, reason)
        };
        let admitted = self.admit(&self.state(), &headers);
        let held = match admitted {
            Ok(held) => held,
            Err(reason) => return refuse(reason),
        };
        let sheds_all = self.state().fault.shed;
        let _slot = match self.slots.try_acquire() {
            Ok(_) if sheds_all => return refuse(header::reason::SHED),
            Ok(slot) => slot,
            Err(TryAcquireError::NoPermits)
                if self.waiting_count.load(Ordering::Relaxed) < self.config.queue =>
            {
                self.waiting_count.fetch_add(1, Ordering::Relaxed);
                let slot = self.slots.acquire().await;
                self.waiting_count.fetch_sub(1, Ordering::Relaxed);
                match slot {
                    Ok(slot) => slot,
                    Err(_) => return refuse(header::reason::SHED),
                }
            }
            Err(_) => return refuse(header::reason::SHED),
        };
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return refuse("bad-body");
        };
        let body = body.to_bytes();
        let path = parts.uri.path().to_owned();
        let _running = RunningGuard::new(self, held);
        let work_duration = self.next_work_duration();
        if !work_duration.is_zero() {
            time::sleep(work_duration).await;
        }
        self.crash.run(&path);
        if self.crash.check().is_err() {
            return json(StatusCode::OK, &());
        }
        if let Err(reason) = self.execute(&parts.method, &path, &headers, id.clone()) {
            return refuse(reason);
        }
        self.response(&parts.method, &path, &headers, &body).await
    }

    /// Makes a request take effect, unless the target must no longer run it.
    fn execute(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        id: Option<String>,
    ) -> Result<(), RefusalReason> {
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

    /// Counts a request and returns the duration of its work.
    fn next_work_duration(&self) -> Duration {
        let mut state = self.state();
        state.request_count += 1;
        let fault = state.fault;
        let cold_ms = if state.request_count <= fault.cold_requests { fault.cold_ms } else { 0 };
        Duration::from_millis(self.config.work_ms + fault.slow_ms + cold_ms)
    }

    fn refusal(&self, headers: &HeaderMap, reason: RefusalReason) -> Response<Body> {
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &reason);
        response.headers_mut().insert(header::OUTCOME, HeaderValue::from_static("not-run"));
        response.headers_mut().insert(header::REASON, HeaderValue::from_static(reason));
        self.set_request_id(headers, &mut response);
        response
    }

    /// Copies the id of the request to the response, or sets another one as the fault asks.
    fn set_request_id(&self, headers: &HeaderMap, response: &mut Response<Body>) {
        let crossed = self.state().fault.crossed;
        let id = if crossed { Some(HeaderValue::from_static("another")) } else { None };
        if let Some(id) = id.or_else(|| headers.get(header::REQUEST_ID).cloned()) {
            response.headers_mut().insert(header::REQUEST_ID, id);
        }
    }

    /// Returns the response: a download for `/SERVICE/download/BYTES/PAUSE_MS`, else an echo.
    async fn response(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Response<Body> {
        let mut segments = path.split('/').skip(2);
        let mut response = if segments.next() == Some("download") {
            let length = segments.next().and_then(|text| text.parse().ok()).unwrap_or_default();
            let pause_ms = segments.next().and_then(|text| text.parse().ok()).unwrap_or_default();
            download(path, length, Duration::from_millis(pause_ms))
        } else {
            let echo = Echo {
                vm: self.config.vm.clone(),
                method: method.to_string(),
                path: path.to_owned(),
                body: String::from_utf8_lossy(body).into_owned(),
            };
            json(StatusCode::OK, &echo)
        };
        self.set_request_id(headers, &mut response);
        response
    }
}

/// The body of the response to an ordinary request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The target that ran the request.
    pub vm: Vm,
    /// The method of the request.
    pub method: String,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: String,
}

/// Counts a request as running on its shard until it is dropped.
struct RunningGuard<'a> {
    target: &'a Target,
    shard: Option<Shard>,
}

impl<'a> RunningGuard<'a> {
    fn new(target: &'a Target, held: Option<(Shard, Fence)>) -> Self {
        let shard = held.map(|(shard, _)| shard);
        if let Some(shard) = shard {
            *target.state().running_counts.entry(shard).or_default() += 1;
        }
        Self { target, shard }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.target.state();
        if let Some(count) = self.shard.and_then(|shard| state.running_counts.get_mut(&shard)) {
            *count -= 1;
        }
    }
}

/// Returns the byte at `index` of the download at `path`, for readers that check each byte.
#[must_use]
pub fn download_byte(path: &str, index: usize) -> u8 {
    (key::rendezvous_weight(path, "download") as usize).wrapping_add(index.wrapping_mul(31)) as u8
}

/// Returns a download of `length` bytes that pauses before each chunk.
fn download(path: &str, length: usize, pause: Duration) -> Response<Body> {
    let path = path.to_owned();
    let chunks = stream::unfold(0usize, move |sent| {
        let path = path.clone();
        async move {
            if sent >= length {
                return None;
            }
            time::sleep(pause).await;
            let end = length.min(sent + DOWNLOAD_CHUNK_BYTES);
            let start = key::rendezvous_weight(&path, "download") as usize;
            let chunk: Vec<u8> =
                (sent..end).map(|index| start.wrapping_add(index.wrapping_mul(31)) as u8).collect();
            Some((Ok(Frame::data(Bytes::from(chunk))), end))
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(chunks)))));
    response.headers_mut().insert(CONTENT_LENGTH, length.into());
    response
}

/// A pinned stream, which only its owner polls although `BoxBody` requires a `Sync` body.
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

/// Returns a response with a JSON body.
fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let full = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed(full));
    *response.status_mut() = status;
    response
}

/// Returns a header's value as text.
fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns a header's value as a number.
fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
