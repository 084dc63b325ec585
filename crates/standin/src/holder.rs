//! A target as the users' pages describe it: it takes grants with a relative life and a fence,
//! releases, sheds, echoes ids, and checks which target a request means.

use {
    crate::journal::{Journal, Kind},
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    key::{Fence, Vm, clock::Tick},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{net::TcpListener, sync::Semaphore, time},
};

const BEAT: Duration = Duration::from_millis(400);
const CRASH_STATUS: i32 = 70;
const BODY_LIMIT_BYTES: usize = 1 << 20;

/// How a target is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub vm: Vm,
    /// The service it runs.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The store in which it registers.
    pub store: SocketAddr,
    /// Whether it runs only requests for keys that it holds.
    pub keyed: bool,
    /// The requests it works on at once.
    pub slots: usize,
    /// The requests that may wait.
    pub queue: usize,
    /// The milliseconds of work of a request.
    pub work_ms: u64,
}

/// The faults and moods, set by a POST to `/admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// It says that it is leaving.
    pub draining: bool,
    /// It does not reach the store.
    pub unlisted: bool,
    /// Every request is shed.
    pub shed: bool,
    /// Each answer breaks off.
    pub cut_answers: bool,
    /// Each answer bears the id of another request.
    pub crossed: bool,
    /// Each answer of a target that ran the request is lost.
    pub lose_answers: bool,
    /// Each grant is obeyed this much later, without an answer, in milliseconds.
    pub late_grants_ms: u64,
    /// Added to the work of each request, in milliseconds.
    pub slow_ms: u64,
}

struct Held {
    first: u16,
    last: u16,
    until: Tick,
}

#[derive(Default)]
struct State {
    held: Vec<Held>,
    fences: Vec<(u16, u16, u64)>,
    fault: Fault,
}

#[derive(Clone, Copy, Deserialize)]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
}

#[derive(Deserialize)]
struct Grant {
    #[serde(flatten)]
    order: Order,
    hold_time: String,
}

/// The target.
pub struct Holder {
    config: Config,
    born: u64,
    state: Mutex<State>,
    slots: Semaphore,
    waiting: AtomicUsize,
    journal: Journal,
}

type Answer = Response<Full<Bytes>>;

impl Holder {
    /// Returns a target that holds nothing.
    #[must_use]
    pub fn new(config: Config, journal: Journal) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |span| span.as_millis() as u64);
        let slots = Semaphore::new(config.slots);
        let (state, waiting) = (Mutex::default(), AtomicUsize::new(0));
        Arc::new(Self { config, born, state, slots, waiting, journal })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers in the store and answers requests, for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        tokio::spawn(Arc::clone(&self).register());
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let holder = Arc::clone(&self);
            let service = service_fn(move |request| {
                let holder = Arc::clone(&holder);
                async move { holder.answer(request).await }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                // A caller that went away, or an answer that was broken off on purpose.
                connection.await.ok();
            });
        }
    }

    async fn register(self: Arc<Self>) {
        let client = wire::Config::default().timeout(BEAT).build();
        for sequence in 1_u64.. {
            let Fault { draining, unlisted, .. } = self.state().fault;
            let value = json!({
                "service": self.config.service,
                "address": self.config.address,
                "zone": self.config.zone,
                "version": "v1",
                "slots": self.config.slots,
                "state": if draining { "draining" } else { "ready" },
                "coldLeft": "0ms",
                "sequence": sequence,
                "born": self.born,
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
            time::sleep(BEAT).await;
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Infallible> {
        let path = request.uri().path().to_owned();
        let meant = header(request.headers(), "target-instance");
        if meant.is_some_and(|meant| meant != self.config.vm.as_str()) {
            return Ok(self.plain(StatusCode::MISDIRECTED_REQUEST));
        }
        let answer = match path.as_str() {
            "/admin/fault" => self.set_fault(request).await,
            "/admin/crash" => std::process::exit(CRASH_STATUS),
            "/health" => self.plain(StatusCode::OK),
            "/almondworks/grant" => self.grant(request).await,
            "/almondworks/release" => self.release(request).await,
            _ => self.run(request).await,
        };
        Ok(answer)
    }

    fn plain(&self, status: StatusCode) -> Answer {
        let mut answer = wire::status(status);
        if let Ok(name) = self.config.vm.as_str().parse() {
            answer.headers_mut().insert("instance-id", name);
        }
        answer
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Answer {
        match wire::read_json(request, BODY_LIMIT_BYTES).await {
            Ok(fault) => {
                self.state().fault = fault;
                wire::json(StatusCode::OK, &())
            }
            Err(_) => wire::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn grant(&self, request: Request<Incoming>) -> Answer {
        let arrived = Tick::now();
        let Ok(grant) = wire::read_json::<Grant>(request, BODY_LIMIT_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let late = self.state().fault.late_grants_ms;
        time::sleep(Duration::from_millis(late)).await;
        let millis = grant.hold_time.strip_suffix("ms").and_then(|text| text.parse().ok());
        let until = arrived.plus(Duration::from_millis(millis.unwrap_or(0)));
        let Order { from, target, fence } = grant.order;
        {
            let mut state = self.state();
            let higher =
                |known: &(u16, u16, u64)| known.0 <= target && from <= known.1 && known.2 > fence;
            if state.fences.iter().any(higher) {
                return wire::status(StatusCode::CONFLICT);
            }
            state.fences.retain(|known| known.0 < from || known.1 > target);
            state.fences.push((from, target, fence));
            let now = Tick::now();
            state.held.retain(|held| held.until > now && (held.first < from || held.last > target));
            state.held.push(Held { first: from, last: target, until });
        }
        let fence = Fence::from(fence);
        self.journal.write(Tick::now(), Kind::Granted { first: from, last: target, fence, until });
        if late > 0 {
            std::future::pending::<()>().await;
        }
        wire::json(StatusCode::OK, &())
    }

    async fn release(&self, request: Request<Incoming>) -> Answer {
        let Ok(order) = wire::read_json::<Order>(request, BODY_LIMIT_BYTES).await else {
            return wire::status(StatusCode::BAD_REQUEST);
        };
        let Order { from, target, .. } = order;
        let mut rest = Vec::new();
        {
            let mut state = self.state();
            for held in state.held.drain(..) {
                if held.last < from || target < held.first {
                    rest.push(held);
                    continue;
                }
                if held.first < from {
                    rest.push(Held { last: from - 1, ..held });
                }
                if held.last > target {
                    rest.push(Held { first: target + 1, ..held });
                }
            }
            state.held = rest;
        }
        self.journal.write(Tick::now(), Kind::Released { first: from, last: target });
        let mut answer = wire::json(StatusCode::OK, &());
        if let Ok(token) = format!("{}-{from}", self.config.vm).parse() {
            answer.headers_mut().insert("handover", token);
        }
        answer
    }

    fn holds(&self, key: u16) -> bool {
        let now = Tick::now();
        let state = self.state();
        state.held.iter().any(|held| held.first <= key && key <= held.last && held.until > now)
    }

    async fn run(&self, request: Request<Incoming>) -> Answer {
        let headers = request.headers().clone();
        let id = header(&headers, "attempt-id").map(str::to_owned);
        let key = header(&headers, "shard-key").and_then(|key| key.parse::<u16>().ok());
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        let fault = self.state().fault;
        if self.config.keyed && !key.is_some_and(|key| self.holds(key)) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, id.as_deref());
        }
        let full = self.waiting.fetch_add(1, Ordering::Relaxed) >= self.config.queue;
        let place = if full || fault.shed { None } else { self.slots.acquire().await.ok() };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(_place) = place else {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, id.as_deref());
        };
        if request.into_body().collect().await.is_err() {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, id.as_deref());
        }
        if self.config.keyed && !key.is_some_and(|key| self.holds(key)) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, id.as_deref());
        }
        let service = self.config.service.as_str().into();
        let key_held = key.filter(|_| self.config.keyed);
        self.journal.write(
            Tick::now(),
            Kind::Began { service, id: id.clone(), method, path: path.clone(), key: key_held },
        );
        time::sleep(Duration::from_millis(self.config.work_ms + fault.slow_ms)).await;
        if fault.lose_answers {
            std::future::pending::<()>().await;
        }
        let body = format!("{} {} {path}", self.config.vm, id.as_deref().unwrap_or("-"));
        let mut answer = Response::new(Full::new(Bytes::from(body)));
        let headers = answer.headers_mut();
        let echoed = if fault.crossed { Some("another".to_owned()) } else { id };
        for (name, value) in [("attempt-id", echoed), ("response-signature", Some("s1".to_owned()))]
        {
            if let Some(Ok(value)) = value.map(|value| value.parse()) {
                headers.insert(name, value);
            }
        }
        if fault.cut_answers {
            // More is promised than comes, so that the connection breaks off.
            if let Ok(length) = "100000".parse() {
                answer.headers_mut().insert("content-length", length);
            }
        }
        answer
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn not_run(status: StatusCode, id: Option<&str>) -> Answer {
    let mut answer = wire::status(status);
    let values = [("not-executed", Some("1")), ("attempt-id", id)];
    for (name, value) in values {
        if let Some(Ok(value)) = value.map(str::parse) {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}
