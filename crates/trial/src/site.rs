//! Entries and targets on the users' platform: its store runs in the test, all else are processes.

use {
    crate::{
        eventually,
        fleet::listen,
        process::{Process, free_port},
    },
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::json,
    standin::{
        caller::{self, Route},
        holder,
        journal::{self, Line},
        proxy::{self, Proxy},
        rows::RowStore,
    },
    std::{
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time},
};

const HOST: &str = "shop.example";
const ZONES: [&str; 3] = ["a", "b", "c"];
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What a site consists of.
#[derive(Clone, Copy, Debug)]
pub struct Sketch {
    /// The entries, dealt over three zones.
    pub entries: usize,
    /// The targets that hold keys.
    pub keyed: usize,
    /// The targets without keys.
    pub plain: usize,
    /// The life of a grant, in milliseconds.
    pub hold_ms: u64,
}

impl Default for Sketch {
    fn default() -> Self {
        Self { entries: 3, keyed: 4, plain: 3, hold_ms: 3_000 }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The key, for a service whose keys are held.
    pub key: Option<u16>,
    /// The time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

impl Request {
    /// Returns a lookup of a key.
    #[must_use]
    pub fn lookup(key: u16) -> Self {
        let path = format!("/catalogue/{key}");
        Self { method: Method::GET, path, key: Some(key), deadline_ms: 1_000 }
    }

    /// Returns an order.
    #[must_use]
    pub fn order() -> Self {
        let path = "/orders/new".to_owned();
        Self { method: Method::POST, path, key: None, deadline_ms: 1_000 }
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Response {
    /// The identity of the request.
    pub id: String,
    /// The status, or nothing where no whole answer came.
    pub status: Option<StatusCode>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Tells whether a target answered the request whole, and this request.
    #[must_use]
    pub fn is_served(&self) -> bool {
        let body = String::from_utf8_lossy(&self.body);
        self.status == Some(StatusCode::OK)
            && caller::is_signed(&self.headers)
            && body.split(' ').nth(1) == Some(self.id.as_str())
    }

    /// Tells whether the caller was promised that the request has not run and will not.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.status == Some(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// The routes that a site starts with.
const ROUTES: [Route; 2] = [
    Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" },
    Route { prefix: "/orders/", kind: "unsafe", service: "orders" },
];

#[derive(Debug)]
struct Entry {
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    process: Option<Process>,
}

/// A target with a proxy before it.
struct Target {
    address: SocketAddr,
    registered: SocketAddr,
    arguments: Vec<String>,
    proxy: Arc<Proxy>,
    process: Option<Process>,
}

/// A site.
pub struct Site {
    /// The store.
    pub store: Arc<RowStore>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    client: Client<HttpConnector, Full<Bytes>>,
    wire: wire::Client,
    folder: PathBuf,
    next: AtomicU64,
}

impl Site {
    /// Starts a site and waits until every key is served.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn start(sketch: Sketch) -> Self {
        let folder = env::temp_dir().join(format!(
            "almondworks-site-{}-{}",
            std::process::id(),
            free_port()
        ));
        fs::create_dir_all(&folder).expect("the folder can be made");
        let store = RowStore::new();
        let (listener, address) = listen().await;
        tokio::spawn(Arc::clone(&store).serve(listener));
        let mut site = Self {
            store,
            entries: Vec::new(),
            targets: Vec::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            wire: wire::Config::default().timeout(REQUEST_TIMEOUT).build(),
            folder,
            next: AtomicU64::new(1),
        };
        site.configure(1, &ROUTES);
        for number in 0..sketch.keyed + sketch.plain {
            site.add_target(number, number < sketch.keyed, address).await;
        }
        site.await_targets().await;
        for number in 0..sketch.entries {
            site.add_entry(number, sketch.hold_ms, address);
        }
        for number in 0..sketch.entries {
            for key in (0..=u16::MAX).step_by(8_191) {
                site.await_served(number, &Request::lookup(key)).await;
            }
            site.await_served(number, &Request::order()).await;
        }
        site
    }

    /// Waits until every target listens: requests are served before the last one does.
    async fn await_targets(&self) {
        for target in &self.targets {
            eventually("a target listens", || async {
                TcpStream::connect(target.address).await.ok().map(|_| ())
            })
            .await;
        }
    }

    async fn add_target(&mut self, number: usize, keyed: bool, store: SocketAddr) {
        let vm = format!("t{number}");
        let listen_at = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let proxy = Arc::new(Proxy::default());
        let (front, address) = listen().await;
        let (admin, _) = listen().await;
        tokio::spawn(Arc::clone(&proxy).serve(front, listen_at, admin));
        let service = if keyed { "catalogue" } else { "orders" };
        let journal = self.folder.join(format!("{vm}.journal"));
        let mut arguments: Vec<String> = ["holder", "--listen", &listen_at.to_string()]
            .iter()
            .map(ToString::to_string)
            .collect();
        for (name, value) in [
            ("--store", store.to_string()),
            ("--journal", journal.display().to_string()),
            ("--vm", vm),
            ("--service", service.to_owned()),
            ("--zone", ZONES[number % ZONES.len()].to_owned()),
            ("--address", address.to_string()),
        ] {
            arguments.extend([name.to_owned(), value]);
        }
        if keyed {
            arguments.push("--keyed".to_owned());
        }
        let process = Some(Process::start("standin", &arguments, &self.folder.join("targets.log")));
        let registered = address;
        self.targets.push(Target { address: listen_at, registered, arguments, proxy, process });
    }

    fn add_entry(&mut self, number: usize, hold_ms: u64, store: SocketAddr) {
        let [callers, ready, peers, metrics] =
            [(); 4].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port())));
        let vm = format!("e{number}");
        let settings = json!({
            "vm": vm,
            "zone": ZONES[number % ZONES.len()],
            "listen": callers,
            "ready_listen": ready,
            "peer_listen": peers,
            "metrics_listen": metrics,
            "store": store,
            "grace": "6s",
            "leaving": "2s",
            "hold_limit": "10s",
            "hold": format!("{hold_ms}ms"),
            "retries": { "ratio": 0.2, "extra": 60, "window": "10s" },
        });
        let path = self.folder.join(format!("{vm}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let entry = Entry { callers, ready, metrics, settings: path, process: None };
        self.entries.push(entry);
        self.start_entry(number);
    }

    /// Starts an entry that does not run.
    pub fn start_entry(&mut self, number: usize) {
        let settings = self.entries[number].settings.display().to_string();
        let arguments = ["entry".to_owned(), "--settings".to_owned(), settings];
        let process = Process::start("almondworks", &arguments, &self.log(number));
        self.entries[number].process = Some(process);
    }

    /// Returns where an entry writes its log.
    #[must_use]
    pub fn log(&self, number: usize) -> PathBuf {
        self.folder.join(format!("e{number}.log"))
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].process = None;
    }

    /// Tells an entry to stop.
    pub fn terminate_entry(&self, number: usize) {
        if let Some(process) = &self.entries[number].process {
            process.terminate();
        }
    }

    /// Returns the exit code of an entry that was told to stop.
    ///
    /// # Panics
    ///
    /// Panics if it does not end in time.
    pub fn exit_code(&mut self, number: usize) -> Option<i32> {
        let mut process = self.entries[number].process.take().expect("the entry runs");
        process.ended(Duration::from_secs(10)).expect("the entry ends").code()
    }

    /// Pauses an entry, or lets it go on.
    pub fn pause_entry(&self, number: usize, paused: bool) {
        if let Some(process) = &self.entries[number].process {
            if paused { process.pause() } else { process.resume() }
        }
    }

    /// Kills a target.
    pub fn kill_target(&mut self, number: usize) {
        self.targets[number].process = None;
    }

    /// Starts a target that does not run.
    pub fn start_target(&mut self, number: usize) {
        let log = self.folder.join("targets.log");
        let arguments = self.targets[number].arguments.clone();
        self.targets[number].process = Some(Process::start("standin", &arguments, &log));
    }

    /// Returns the address that a target registers.
    #[must_use]
    pub fn target_address(&self, number: usize) -> SocketAddr {
        self.targets[number].registered
    }

    /// Sets the faults of a target.
    ///
    /// # Panics
    ///
    /// Panics if the target does not answer.
    pub async fn upset_target(&self, number: usize, fault: holder::Fault) {
        let address = self.targets[number].address;
        let sent = self.wire.post::<_, ()>(address, "/admin/fault", &fault).await;
        sent.expect("the target takes the fault");
    }

    /// Sets the faults on the way to a target.
    pub fn upset_way(&self, number: usize, fault: proxy::Fault) {
        self.targets[number].proxy.set_fault(fault);
    }

    /// Writes a version of the routing text.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        let text = caller::routing_text(version, HOST, routes);
        self.store.write_row("op", "config", text.to_string().as_bytes());
    }

    /// Sends a request to an entry.
    pub async fn send(&self, entry: usize, request: &Request) -> Response {
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
        let mut response = Response {
            id: id.clone(),
            status: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let mut builder = http::Request::builder()
            .method(&request.method)
            .uri(format!("http://{}{}", self.entries[entry].callers, request.path))
            .header("host", HOST);
        for (name, value) in caller::request_headers(&id, request.deadline_ms, request.key) {
            builder = builder.header(name, value);
        }
        let body = if request.method == Method::GET { "" } else { "a body" };
        let built = builder.body(Full::new(Bytes::from(body))).expect("a whole request");
        let exchange = async {
            let answer = self.client.request(built).await.ok()?;
            let (parts, body) = answer.into_parts();
            Some((parts, body.collect().await.ok()?.to_bytes()))
        };
        if let Ok(Some((parts, body))) = time::timeout(REQUEST_TIMEOUT, exchange).await {
            response.status = Some(parts.status);
            response.headers = parts.headers;
            response.body = body;
        }
        response
    }

    /// Sends a request again and again until it is served.
    pub async fn await_served(&self, entry: usize, request: &Request) {
        let what = format!("{} is served through entry {entry}", request.path);
        eventually(&what, || async { self.send(entry, request).await.is_served().then_some(()) })
            .await;
    }

    /// Tells whether an entry says that it takes new connections.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let ready = self.entries[entry].ready;
        self.wire.send(Method::GET, ready, "/almondworks/ready", Bytes::new()).await.is_ok()
    }

    /// Returns the metrics of an entry as text.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not answer.
    pub async fn metrics(&self, entry: usize) -> String {
        let address = self.entries[entry].metrics;
        let text = self.wire.send(Method::GET, address, "/metrics", Bytes::new()).await;
        String::from_utf8_lossy(&text.expect("the entry answers")).into_owned()
    }

    /// Returns what the targets wrote into their journals.
    ///
    /// # Panics
    ///
    /// Panics if a journal cannot be read.
    #[must_use]
    pub fn journal(&self) -> Vec<Line> {
        journal::read_all(&self.folder).expect("the journals can be read")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.targets.clear();
        if std::thread::panicking() {
            eprintln!("the logs and journals are kept in {}", self.folder.display());
        } else if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("{}: {error}", self.folder.display());
        }
    }
}
