//! Entries and targets on the users' platform: its store runs in the test, all else are processes.

use {
    crate::{
        eventually,
        fleet::bind_free_port,
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
        rows::Rows,
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
pub struct SitePlan {
    /// The entries, dealt over three zones.
    pub entries: usize,
    /// The targets that hold keys.
    pub keyed_targets: usize,
    /// The targets without keys.
    pub unkeyed_targets: usize,
    /// The life of a grant, in milliseconds.
    pub grant_duration_ms: u64,
}

impl Default for SitePlan {
    fn default() -> Self {
        Self { entries: 3, keyed_targets: 4, unkeyed_targets: 3, grant_duration_ms: 3_000 }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct SiteRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The key, for a service whose keys are held.
    pub key: Option<u16>,
    /// The time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

impl SiteRequest {
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
pub struct SiteResponse {
    /// The identity of the request.
    pub id: String,
    /// The status, or nothing where no whole answer came.
    pub status: Option<StatusCode>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl SiteResponse {
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
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    metrics_address: SocketAddr,
    settings: PathBuf,
    process: Option<Process>,
}

/// A target with a proxy before it.
struct Target {
    address: SocketAddr,
    registered_address: SocketAddr,
    arguments: Vec<String>,
    proxy: Arc<Proxy>,
    process: Option<Process>,
}

/// A site.
pub struct Site {
    /// The store.
    pub store: Arc<Rows>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    http_client: Client<HttpConnector, Full<Bytes>>,
    control_client: wire::Client,
    folder: PathBuf,
    next_request_id: AtomicU64,
}

impl Site {
    /// Starts a site and waits until every key is served.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn start(plan: SitePlan) -> Self {
        let folder = env::temp_dir().join(format!(
            "almondworks-site-{}-{}",
            std::process::id(),
            free_port()
        ));
        fs::create_dir_all(&folder).expect("the folder can be made");
        let store = Rows::new();
        let (listener, address) = bind_free_port().await;
        tokio::spawn(Arc::clone(&store).serve(listener));
        let mut site = Self {
            store,
            entries: Vec::new(),
            targets: Vec::new(),
            http_client: Client::builder(TokioExecutor::new()).build_http(),
            control_client: wire::Config::default().timeout(REQUEST_TIMEOUT).build(),
            folder,
            next_request_id: AtomicU64::new(1),
        };
        site.write_routing(1, &ROUTES);
        for index in 0..plan.keyed_targets + plan.unkeyed_targets {
            site.add_target(index, index < plan.keyed_targets, address).await;
        }
        site.wait_until_targets_listen().await;
        for index in 0..plan.entries {
            site.add_entry(index, plan.grant_duration_ms, address);
        }
        for index in 0..plan.entries {
            for key in (0..=u16::MAX).step_by(8_191) {
                site.wait_until_served(index, &SiteRequest::lookup(key)).await;
            }
            site.wait_until_served(index, &SiteRequest::order()).await;
        }
        site
    }

    /// Waits until every target listens: requests are served before the last one does.
    async fn wait_until_targets_listen(&self) {
        for target in &self.targets {
            eventually("a target listens", || async {
                TcpStream::connect(target.address).await.ok().map(|_| ())
            })
            .await;
        }
    }

    async fn add_target(&mut self, index: usize, keyed: bool, store: SocketAddr) {
        let vm = format!("t{index}");
        let listen_at = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let proxy = Arc::new(Proxy::default());
        let (front, address) = bind_free_port().await;
        let (admin, _) = bind_free_port().await;
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
            ("--zone", ZONES[index % ZONES.len()].to_owned()),
            ("--address", address.to_string()),
        ] {
            arguments.extend([name.to_owned(), value]);
        }
        if keyed {
            arguments.push("--keyed".to_owned());
        }
        let process = Some(Process::start("standin", &arguments, &self.folder.join("targets.log")));
        let registered_address = address;
        self.targets.push(Target {
            address: listen_at,
            registered_address,
            arguments,
            proxy,
            process,
        });
    }

    fn add_entry(&mut self, index: usize, grant_duration_ms: u64, store: SocketAddr) {
        let [caller_address, ready_address, peer_address, metrics_address] =
            [(); 4].map(|()| SocketAddr::from(([127, 0, 0, 1], free_port())));
        let vm = format!("e{index}");
        let settings = json!({
            "vm": vm,
            "zone": ZONES[index % ZONES.len()],
            "listen": caller_address,
            "ready_listen": ready_address,
            "peer_listen": peer_address,
            "metrics_listen": metrics_address,
            "store": store,
            "grace": "6s",
            "leaving": "2s",
            "hold_limit": "10s",
            "hold": format!("{grant_duration_ms}ms"),
            "retries": { "ratio": 0.2, "extra": 60, "window": "10s" },
        });
        let path = self.folder.join(format!("{vm}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let entry =
            Entry { caller_address, ready_address, metrics_address, settings: path, process: None };
        self.entries.push(entry);
        self.start_entry(index);
    }

    /// Starts an entry that does not run.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.entries[index].settings.display().to_string();
        let arguments = ["entry".to_owned(), "--settings".to_owned(), settings];
        let process = Process::start("almondworks", &arguments, &self.entry_log(index));
        self.entries[index].process = Some(process);
    }

    /// Returns where an entry writes its log.
    #[must_use]
    pub fn entry_log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("e{index}.log"))
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Tells an entry to stop.
    pub fn terminate_entry(&self, index: usize) {
        if let Some(process) = &self.entries[index].process {
            process.terminate();
        }
    }

    /// Returns the exit code of an entry that was told to stop.
    ///
    /// # Panics
    ///
    /// Panics if it does not end in time.
    pub fn wait_for_exit_code(&mut self, index: usize) -> Option<i32> {
        let mut process = self.entries[index].process.take().expect("the entry runs");
        process.wait_for_exit(Duration::from_secs(10)).expect("the entry ends").code()
    }

    /// Pauses an entry, or lets it go on.
    pub fn set_entry_paused(&self, index: usize, paused: bool) {
        if let Some(process) = &self.entries[index].process {
            if paused { process.pause() } else { process.resume() }
        }
    }

    /// Kills a target.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].process = None;
    }

    /// Starts a target that does not run.
    pub fn start_target(&mut self, index: usize) {
        let log = self.folder.join("targets.log");
        let arguments = self.targets[index].arguments.clone();
        self.targets[index].process = Some(Process::start("standin", &arguments, &log));
    }

    /// Returns the address that a target registers.
    #[must_use]
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.targets[index].registered_address
    }

    /// Sets the faults of a target.
    ///
    /// # Panics
    ///
    /// Panics if the target does not answer.
    pub async fn set_target_fault(&self, index: usize, fault: holder::Fault) {
        let address = self.targets[index].address;
        let sent = self.control_client.post::<_, ()>(address, "/admin/fault", &fault).await;
        sent.expect("the target takes the fault");
    }

    /// Sets the faults on the way to a target.
    pub fn set_proxy_fault(&self, index: usize, fault: proxy::Fault) {
        self.targets[index].proxy.set(fault);
    }

    /// Writes a version of the routing text.
    pub fn write_routing(&self, version: u64, routes: &[Route]) {
        let text = caller::routing(version, HOST, routes);
        self.store.write("op", "config", text.to_string().as_bytes());
    }

    /// Sends a request to an entry.
    pub async fn send(&self, entry: usize, request: &SiteRequest) -> SiteResponse {
        let id = format!("{:016x}", self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let mut response = SiteResponse {
            id: id.clone(),
            status: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let mut builder = http::Request::builder()
            .method(&request.method)
            .uri(format!("http://{}{}", self.entries[entry].caller_address, request.path))
            .header("host", HOST);
        for (name, value) in caller::headers(&id, request.deadline_ms, request.key) {
            builder = builder.header(name, value);
        }
        let body = if request.method == Method::GET { "" } else { "a body" };
        let built = builder.body(Full::new(Bytes::from(body))).expect("a whole request");
        let exchange = async {
            let reply = self.http_client.request(built).await.ok()?;
            let (parts, body) = reply.into_parts();
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
    pub async fn wait_until_served(&self, entry: usize, request: &SiteRequest) {
        let what = format!("{} is served through entry {entry}", request.path);
        eventually(&what, || async { self.send(entry, request).await.is_served().then_some(()) })
            .await;
    }

    /// Tells whether an entry says that it takes new connections.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let ready_address = self.entries[entry].ready_address;
        self.control_client
            .send(Method::GET, ready_address, "/almondworks/ready", Bytes::new())
            .await
            .is_ok()
    }

    /// Returns the metrics of an entry as text.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not answer.
    pub async fn metrics(&self, entry: usize) -> String {
        let address = self.entries[entry].metrics_address;
        let text = self.control_client.send(Method::GET, address, "/metrics", Bytes::new()).await;
        String::from_utf8_lossy(&text.expect("the entry answers")).into_owned()
    }

    /// Returns what the targets wrote into their journals.
    ///
    /// # Panics
    ///
    /// Panics if a journal cannot be read.
    #[must_use]
    pub fn journal_lines(&self) -> Vec<Line> {
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
