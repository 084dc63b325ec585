//! A stand-in for a target of the users' platform, with faults.
//!
//! The target registers in the store at a fixed interval. It accepts grants, each with a duration
//! that counts from the grant's arrival and a fencing token, and releases. It refuses requests for
//! keys that it does not hold, requests that are meant for another target, and requests beyond its
//! queue, and returns the attempt id with each response to a request.

use {
    crate::{
        crash::{self, Crash, Ending},
        journal::{Journal, Kind},
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    key::{Fence, Vm, clock::Tick},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::TcpListener, sync::Semaphore, time},
};

const REGISTRATION_INTERVAL: Duration = Duration::from_millis(400);
const MAX_BODY_BYTES: usize = 1 << 20;

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the target's VM.
    pub vm: Vm,
    /// The service that the target runs.
    pub service: String,
    /// The target's availability zone.
    pub zone: String,
    /// The address that the target registers.
    pub address: SocketAddr,
    /// The address of the store in which the target registers.
    pub store: SocketAddr,
    /// Whether the target runs only requests for keys that it holds.
    pub keyed: bool,
    /// The number of requests that run at once.
    pub slots: usize,
    /// The number of requests that may wait for a slot.
    pub queue: usize,
    /// The duration of a request's work, in milliseconds.
    pub work_ms: u64,
    /// The time after the start for which the target registers as cold, in milliseconds. Unless it
    /// is zero, each request that arrives is written to the journal.
    pub cold_ms: u64,
}

/// The faults to inject and the states to report, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Whether the target registers as draining.
    pub draining: bool,
    /// Whether the target stops renewing its registration in the store.
    pub unlisted: bool,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether each response breaks off before its end.
    pub cut_answers: bool,
    /// Whether each response carries the id of another attempt.
    pub crossed: bool,
    /// Whether requests run but get no response.
    pub lose_answers: bool,
    /// The delay before each grant is applied, in milliseconds.
    ///
    /// Unless it is zero, applied grants get no response.
    pub late_grants_ms: u64,
    /// The duration added to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Whether each response says that the target is leaving, whatever its registration says.
    pub says_leaving: bool,
    /// The time, in seconds, after which each refusal of a shed request tells the caller to come
    /// back; zero tells none.
    pub retry_after_s: u32,
    /// The rate limit that each response to a request names, in requests per second over all
    /// entries; zero names none. The target only names the limit and runs what arrives.
    pub limit_per_s: u32,
    /// The load that each response to a request names, as running and waiting requests and slots;
    /// no slots name none. The target runs what arrives, whatever it names.
    pub load: [u32; 3],
}

/// A span of keys that the target holds under a grant.
struct HeldSpan {
    first: u16,
    last: u16,
    expires_at: Tick,
}

#[derive(Default)]
struct State {
    held_spans: Vec<HeldSpan>,
    /// The first key, last key and fencing token of accepted grants.
    fences: Vec<(u16, u16, u64)>,
    fault: Fault,
}

/// The span of keys that a grant or a release names, with its fencing token.
#[derive(Clone, Copy, Deserialize)]
struct KeySpan {
    #[serde(rename = "from")]
    first: u16,
    #[serde(rename = "target")]
    last: u16,
    fence: u64,
}

#[derive(Deserialize)]
struct Grant {
    #[serde(flatten)]
    span: KeySpan,
    hold_time: String,
}

/// A target of the users' platform that serves keys under grants.
pub struct Holder {
    config: Config,
    started_at_ms: u64,
    started_at: Tick,
    state: Mutex<State>,
    slots: Semaphore,
    waiting_count: AtomicUsize,
    crash: Crash,
    journal: Journal,
}

type Reply = Response<Full<Bytes>>;

impl Holder {
    /// Returns a target that holds no keys.
    #[must_use]
    pub fn new(config: Config, journal: Journal) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at_ms = since_epoch.map_or(0, |span| span.as_millis() as u64);
        let slots = Semaphore::new(config.slots);
        let (state, waiting_count) = (Mutex::default(), AtomicUsize::new(0));
        let crash = Crash::default();
        let started_at = Tick::now();
        Arc::new(Self {
            config,
            started_at_ms,
            started_at,
            state,
            slots,
            waiting_count,
            crash,
            journal,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers in the store and serves requests on `listener`, forever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        tokio::spawn(Arc::clone(&self).keep_registered());
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if self.crash.check().is_err() {
                continue;
            }
            let holder = Arc::clone(&self);
            let service = service_fn(move |request| {
                let holder = Arc::clone(&holder);
                async move { holder.handle_request(request).await }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                // An error is expected if the caller disconnects or a fault cuts the response.
                connection.await.ok();
            });
        }
    }

    /// Returns for how much longer the target is cold.
    fn cold_left_ms(&self) -> u64 {
        let age = Tick::now().since(self.started_at).as_millis() as u64;
        self.config.cold_ms.saturating_sub(age)
    }

    /// Writes the registration to the store at each interval, forever.
    async fn keep_registered(self: Arc<Self>) {
        let client = wire::Config::default().timeout(REGISTRATION_INTERVAL).build();
        for sequence in 1_u64.. {
            let Fault { draining, unlisted, .. } = self.state().fault;
            let value = json!({
                "service": self.config.service,
                "address": self.config.address,
                "zone": self.config.zone,
                "version": "v1",
                "slots": self.config.slots,
                "state": if draining { "draining" } else { "ready" },
                "coldLeft": format!("{}ms", self.cold_left_ms()),
                "sequence": sequence,
                "born": self.started_at_ms,
            });
            let row = json!({ "table": "servers", "key": self.config.vm.as_str(), "value": value });
            if !unlisted
                && client.post::<_, ()>(self.config.store, "/admin/row", &row).await.is_err()
            {
                self.journal.write(
                    Tick::now(),
                    Kind::Refused { id: None, reason: "unregistered".to_owned() },
                );
            }
            time::sleep(REGISTRATION_INTERVAL).await;
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Result<Reply, Ending> {
        let path = request.uri().path().to_owned();
        let expected = header(request.headers(), "target-instance");
        if expected.is_some_and(|expected| expected != self.config.vm.as_str()) {
            return Ok(self.empty_reply(StatusCode::MISDIRECTED_REQUEST));
        }
        let reply = match path.as_str() {
            "/admin/fault" => self.handle_set_fault(request).await,
            "/admin/crash" => crash::now(),
            "/health" => self.empty_reply(StatusCode::OK),
            "/almondworks/grant" => self.handle_grant(request).await,
            "/almondworks/release" => self.handle_release(request).await,
            _ => self.handle_caller_request(request).await,
        };
        self.crash.check().map(|()| reply)
    }

    /// Returns a reply without a body that names this target.
    fn empty_reply(&self, status: StatusCode) -> Reply {
        let mut reply = wire::status(status);
        if let Ok(name) = self.config.vm.as_str().parse() {
            reply.headers_mut().insert("instance-id", name);
        }
        reply
    }

    async fn handle_set_fault(&self, request: Request<Incoming>) -> Reply {
        match wire::read_json(request, MAX_BODY_BYTES).await {
            Ok(fault) => {
                self.state().fault = fault;
                wire::json(StatusCode::OK, &())
            }
            Err(_) => wire::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn handle_grant(&self, request: Request<Incoming>) -> Reply {
        let arrived_at = Tick::now();
        let Ok(grant) = wire::read_json::<Grant>(request, MAX_BODY_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let delay_ms = self.state().fault.late_grants_ms;
        time::sleep(Duration::from_millis(delay_ms)).await;
        let duration_ms = grant.hold_time.strip_suffix("ms").and_then(|text| text.parse().ok());
        let expires_at = arrived_at.plus(Duration::from_millis(duration_ms.unwrap_or(0)));
        let KeySpan { first, last, fence } = grant.span;
        {
            let mut state = self.state();
            let is_newer =
                |known: &(u16, u16, u64)| known.0 <= last && first <= known.1 && known.2 > fence;
            if state.fences.iter().any(is_newer) {
                return wire::status(StatusCode::CONFLICT);
            }
            state.fences.retain(|known| known.0 < first || known.1 > last);
            state.fences.push((first, last, fence));
            let now = Tick::now();
            state
                .held_spans
                .retain(|held| held.expires_at > now && (held.first < first || held.last > last));
            state.held_spans.push(HeldSpan { first, last, expires_at });
        }
        let fence = Fence::from(fence);
        self.journal.write(Tick::now(), Kind::Granted { first, last, fence, until: expires_at });
        if delay_ms > 0 {
            std::future::pending::<()>().await;
        }
        wire::json(StatusCode::OK, &())
    }

    async fn handle_release(&self, request: Request<Incoming>) -> Reply {
        let Ok(span) = wire::read_json::<KeySpan>(request, MAX_BODY_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let KeySpan { first, last, .. } = span;
        let mut remaining = Vec::new();
        {
            let mut state = self.state();
            for held in state.held_spans.drain(..) {
                if held.last < first || last < held.first {
                    remaining.push(held);
                    continue;
                }
                if held.first < first {
                    remaining.push(HeldSpan { last: first - 1, ..held });
                }
                if held.last > last {
                    remaining.push(HeldSpan { first: last + 1, ..held });
                }
            }
            state.held_spans = remaining;
        }
        self.journal.write(Tick::now(), Kind::Released { first, last });
        let mut reply = wire::json(StatusCode::OK, &());
        if let Ok(token) = format!("{}-{first}", self.config.vm).parse() {
            reply.headers_mut().insert("handover", token);
        }
        reply
    }

    fn holds(&self, key: u16) -> bool {
        let now = Tick::now();
        let state = self.state();
        state
            .held_spans
            .iter()
            .any(|held| held.first <= key && key <= held.last && held.expires_at > now)
    }

    /// Runs or refuses a request of a caller, and says in the reply what the target wants.
    async fn handle_caller_request(&self, request: Request<Incoming>) -> Reply {
        let Fault { limit_per_s, says_leaving, retry_after_s, load, .. } = self.state().fault;
        let [running, waiting, slots] = load;
        let is_plain = limit_per_s == 0 && !says_leaving && retry_after_s == 0 && slots == 0;
        if is_plain && self.config.cold_ms == 0 {
            return self.run_request(request).await;
        }
        let id = header(request.headers(), "attempt-id").map(str::to_owned);
        self.journal.write(Tick::now(), Kind::Arrived { id });
        let mut reply = self.run_request(request).await;
        let is_shed = reply.status() == StatusCode::SERVICE_UNAVAILABLE;
        let headers = reply.headers_mut();
        if limit_per_s > 0 {
            headers.insert("server-limit", limit_per_s.into());
        }
        if slots > 0
            && let Ok(load) = format!("{running},{waiting},{slots}").parse()
        {
            headers.insert("server-load", load);
        }
        if says_leaving {
            headers.insert("server-leaving", 1.into());
        }
        if retry_after_s > 0 && is_shed {
            headers.insert("retry-after", retry_after_s.into());
        }
        reply
    }

    async fn run_request(&self, request: Request<Incoming>) -> Reply {
        let headers = request.headers().clone();
        let id = header(&headers, "attempt-id").map(str::to_owned);
        let key = header(&headers, "shard-key").and_then(|key| key.parse::<u16>().ok());
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        let fault = self.state().fault;
        if self.config.keyed && !key.is_some_and(|key| self.holds(key)) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, id.as_deref());
        }
        let is_full = self.waiting_count.fetch_add(1, Ordering::Relaxed) >= self.config.queue;
        let slot = if is_full || fault.shed { None } else { self.slots.acquire().await.ok() };
        self.waiting_count.fetch_sub(1, Ordering::Relaxed);
        let Some(_slot) = slot else {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, id.as_deref());
        };
        if request.into_body().collect().await.is_err() {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, id.as_deref());
        }
        // The grant may have expired or been released while the request waited.
        if self.config.keyed && !key.is_some_and(|key| self.holds(key)) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, id.as_deref());
        }
        let service = self.config.service.as_str().into();
        let held_key = key.filter(|_| self.config.keyed);
        self.journal.write(
            Tick::now(),
            Kind::Began { service, id: id.clone(), method, path: path.clone(), key: held_key },
        );
        time::sleep(Duration::from_millis(self.config.work_ms + fault.slow_ms)).await;
        self.crash.run(&path);
        if fault.lose_answers {
            std::future::pending::<()>().await;
        }
        let body = format!("{} {} {path}", self.config.vm, id.as_deref().unwrap_or("-"));
        let mut reply = Response::new(Full::new(Bytes::from(body)));
        let headers = reply.headers_mut();
        let echoed_id = if fault.crossed { Some("another".to_owned()) } else { id };
        for (name, value) in
            [("attempt-id", echoed_id), ("response-signature", Some("s1".to_owned()))]
        {
            if let Some(Ok(value)) = value.map(|value| value.parse()) {
                headers.insert(name, value);
            }
        }
        if fault.cut_answers {
            // The body is shorter than this length, so the connection closes before its end.
            if let Ok(length) = "100000".parse() {
                reply.headers_mut().insert("content-length", length);
            }
        }
        reply
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the refusal of a request that did not run.
fn not_run(status: StatusCode, id: Option<&str>) -> Reply {
    let mut reply = wire::status(status);
    let values = [("not-executed", Some("1")), ("attempt-id", id)];
    for (name, value) in values {
        if let Some(Ok(value)) = value.map(str::parse) {
            reply.headers_mut().insert(name, value);
        }
    }
    reply
}
