//! Deployments on the users' platform.
//!
//! The stand-in for the platform's store runs in the test; entries and targets are processes.

mod request;

pub use request::{SiteRequest, SiteResponse};

use {
    crate::{
        eventually,
        fleet::bind_free_address,
        process::{Process, free_address},
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
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
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time},
};

const HOST_HEADER: &str = "shop.example";
const ZONE_NAMES: [&str; 3] = ["a", "b", "c"];
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The composition of a [`Site`].
#[derive(Clone, Copy, Debug)]
pub struct SitePlan {
    /// The number of entries, which are spread evenly over three zones.
    pub entries: usize,
    /// The number of targets of the keyed service `catalogue`.
    pub keyed_targets: usize,
    /// The number of targets of the service `orders`, which has no keys.
    pub unkeyed_targets: usize,
    /// How long a grant is valid, in milliseconds.
    pub grant_duration_ms: u64,
    /// Whether targets register the address of a proxy. It accepts connections also while the target
    /// does not run.
    pub proxied: bool,
}

impl Default for SitePlan {
    fn default() -> Self {
        Self {
            entries: 3,
            keyed_targets: 4,
            unkeyed_targets: 3,
            grant_duration_ms: 3_000,
            proxied: true,
        }
    }
}

/// The routes that every site starts with, and one for orders that the operator adds later.
pub const ROUTES_WITH_LATER: [Route; 3] = [
    INITIAL_ROUTES[0],
    INITIAL_ROUTES[1],
    Route { prefix: "/later/", kind: "unsafe", service: "orders" },
];

/// The routes that every site starts with.
const INITIAL_ROUTES: [Route; 2] = [
    Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" },
    Route { prefix: "/orders/", kind: "unsafe", service: "orders" },
];

struct Entry {
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    settings_path: PathBuf,
    /// The proxy between the entry and the store.
    store_proxy: Arc<Proxy>,
    process: Option<Process>,
}

/// A target and the proxy in front of it.
struct Target {
    /// Where the process listens.
    listen_address: SocketAddr,
    /// The address of the proxy, which the target registers as its own.
    registered_address: SocketAddr,
    arguments: Vec<String>,
    proxy: Arc<Proxy>,
    process: Option<Process>,
}

/// Running entries and targets on the users' platform, with a stand-in store.
pub struct Site {
    /// The stand-in for the platform's store, which runs in the test process.
    pub store: Arc<RowStore>,
    entries: Vec<Entry>,
    targets: Vec<Target>,
    http_client: Client<HttpConnector, Full<Bytes>>,
    control_client: wire::Client,
    dir: PathBuf,
    next_request_id: AtomicU64,
}

impl Site {
    /// Starts a site and waits until every entry serves orders and a sample of the keys.
    ///
    /// # Panics
    ///
    /// Panics if the site does not serve within the time limit of [`eventually`].
    pub async fn start(plan: SitePlan) -> Self {
        let dir = env::temp_dir().join(format!(
            "almondworks-site-{}-{}",
            std::process::id(),
            free_address().port()
        ));
        fs::create_dir_all(&dir).expect("the temporary directory cannot be created");
        let store = RowStore::new();
        let (listener, store_address) = bind_free_address().await;
        tokio::spawn(Arc::clone(&store).serve(listener));
        let mut site = Self {
            store,
            entries: Vec::new(),
            targets: Vec::new(),
            http_client: Client::builder(TokioExecutor::new()).build_http(),
            control_client: wire::Config::default().timeout(REQUEST_TIMEOUT).build(),
            dir,
            next_request_id: AtomicU64::new(1),
        };
        site.write_routing(1, &INITIAL_ROUTES);
        for index in 0..plan.keyed_targets + plan.unkeyed_targets {
            site.add_target(index, &plan, store_address).await;
        }
        site.wait_until_targets_listen().await;
        for index in 0..plan.entries {
            site.add_entry(index, plan.grant_duration_ms, store_address).await;
        }
        for index in 0..plan.entries {
            for key in (0..=u16::MAX).step_by(8_191) {
                site.wait_until_served(index, &SiteRequest::lookup(key)).await;
            }
            site.wait_until_served(index, &SiteRequest::order()).await;
        }
        site
    }

    /// Waits until every target listens, since requests are already served before the last one does.
    async fn wait_until_targets_listen(&self) {
        for target in &self.targets {
            eventually("a target listens", || async {
                TcpStream::connect(target.listen_address).await.ok().map(|_| ())
            })
            .await;
        }
    }

    async fn add_target(&mut self, index: usize, plan: &SitePlan, store_address: SocketAddr) {
        let vm = format!("t{index}");
        let keyed = index < plan.keyed_targets;
        let listen_address = free_address();
        let proxy = Arc::new(Proxy::default());
        let (listener, proxy_address) = bind_free_address().await;
        let (admin_listener, _) = bind_free_address().await;
        let registered_address = if plan.proxied { proxy_address } else { listen_address };
        tokio::spawn(Arc::clone(&proxy).serve(listener, listen_address, admin_listener));
        let service = if keyed { "catalogue" } else { "orders" };
        let journal = self.dir.join(format!("{vm}.journal"));
        let mut arguments: Vec<String> = ["holder", "--listen", &listen_address.to_string()]
            .iter()
            .map(ToString::to_string)
            .collect();
        for (name, value) in [
            ("--store", store_address.to_string()),
            ("--journal", journal.display().to_string()),
            ("--vm", vm),
            ("--service", service.to_owned()),
            ("--zone", ZONE_NAMES[index % ZONE_NAMES.len()].to_owned()),
            ("--address", registered_address.to_string()),
        ] {
            arguments.extend([name.to_owned(), value]);
        }
        if keyed {
            arguments.push("--keyed".to_owned());
        }
        let process = Some(Process::start("standin", &arguments, &self.dir.join("targets.log")));
        self.targets.push(Target { listen_address, registered_address, arguments, proxy, process });
    }

    async fn add_entry(&mut self, index: usize, grant_duration_ms: u64, store_address: SocketAddr) {
        let store_proxy = Arc::new(Proxy::default());
        let (proxy_listener, proxied_store_address) = bind_free_address().await;
        tokio::spawn(Arc::clone(&store_proxy).forward_connections(proxy_listener, store_address));
        let [caller_address, ready_address, peer_address, relay_address, metrics_address] =
            [(); 5].map(|()| free_address());
        let vm = format!("e{index}");
        let settings = json!({
            "vm": vm,
            "zone": ZONE_NAMES[index % ZONE_NAMES.len()],
            "listen": caller_address,
            "ready_listen": ready_address,
            "peer_listen": peer_address,
            "relay_listen": relay_address,
            "metrics_listen": metrics_address,
            "store": proxied_store_address,
            "grace": "6s",
            "leaving": "2s",
            "hold_limit": "10s",
            "hold": format!("{grant_duration_ms}ms"),
            "retries": { "ratio": 0.2, "extra": 60, "window": "10s" },
        });
        let settings_path = self.dir.join(format!("{vm}.jsonc"));
        fs::write(&settings_path, settings.to_string())
            .expect("the settings file cannot be written");
        let entry = Entry {
            caller_address,
            ready_address,
            peer_address,
            metrics_address,
            settings_path,
            store_proxy,
            process: None,
        };
        self.entries.push(entry);
        self.start_entry(index);
    }

    /// Sets a field of an entry's settings for its next start.
    ///
    /// # Panics
    ///
    /// Panics if the settings file cannot be read and written.
    pub fn set_setting(&self, index: usize, field: &str, value: Value) {
        let path = &self.entries[index].settings_path;
        let text = fs::read_to_string(path).expect("the settings file cannot be read");
        let mut settings: Value = serde_json::from_str(&text).expect("settings in JSON");
        settings[field] = value;
        fs::write(path, settings.to_string()).expect("the settings file cannot be written");
    }

    /// Starts an entry that is not running.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.entries[index].settings_path.display().to_string();
        let arguments = ["entry".to_owned(), "--settings".to_owned(), settings];
        let process = Process::start("almondworks", &arguments, &self.entry_log_path(index));
        self.entries[index].process = Some(process);
    }

    /// Replaces the faults of the proxy between an entry and the store.
    pub fn set_store_proxy_fault(&self, index: usize, fault: proxy::Fault) {
        self.entries[index].store_proxy.set_fault(fault);
    }

    /// Returns the address at which an entry serves other entries.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.entries[index].peer_address
    }

    /// Returns the path of an entry's log file.
    #[must_use]
    pub fn entry_log_path(&self, index: usize) -> PathBuf {
        self.dir.join(format!("e{index}.log"))
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Kills an entry with SIGKILL while requests to the site are pending, and leaves it there.
    pub fn kill_entry_now(&self, index: usize) {
        if let Some(process) = &self.entries[index].process {
            process.send_kill();
        }
    }

    /// Sends SIGTERM to an entry, which starts a planned stop.
    pub fn terminate_entry(&self, index: usize) {
        if let Some(process) = &self.entries[index].process {
            process.terminate();
        }
    }

    /// Waits for an entry to exit and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not running or does not exit within 10 seconds.
    pub fn wait_for_exit_code(&mut self, index: usize) -> Option<i32> {
        let mut process = self.entries[index].process.take().expect("the entry is not running");
        process
            .wait_for_exit(Duration::from_secs(10))
            .expect("the entry did not exit in time")
            .code()
    }

    /// Returns the resident memory of an entry, in kilobytes; zero if it is not running.
    #[must_use]
    pub fn entry_memory_kb(&self, index: usize) -> u64 {
        self.entries[index].process.as_ref().map_or(0, Process::memory_kb)
    }

    /// Suspends an entry with SIGSTOP, or resumes it.
    pub fn set_entry_paused(&self, index: usize, paused: bool) {
        if let Some(process) = &self.entries[index].process {
            if paused { process.pause() } else { process.resume() }
        }
    }

    /// Kills a target with SIGKILL.
    pub fn kill_target(&mut self, index: usize) {
        self.targets[index].process = None;
    }

    /// Starts a target that is not running.
    pub fn start_target(&mut self, index: usize) {
        let log = self.dir.join("targets.log");
        let arguments = self.targets[index].arguments.clone();
        self.targets[index].process = Some(Process::start("standin", &arguments, &log));
    }

    /// Returns the address that a target registers, which is that of its proxy.
    #[must_use]
    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.targets[index].registered_address
    }

    /// Replaces the faults of a target process.
    ///
    /// # Panics
    ///
    /// Panics if the target does not accept them.
    pub async fn set_target_fault(&self, index: usize, fault: holder::Fault) {
        let address = self.targets[index].listen_address;
        let result = self.control_client.post::<_, ()>(address, "/admin/fault", &fault).await;
        result.expect("the target did not accept the faults");
    }

    /// Replaces the faults of the proxy in front of a target.
    pub fn set_proxy_fault(&self, index: usize, fault: proxy::Fault) {
        self.targets[index].proxy.set_fault(fault);
    }

    /// Writes a version of the routing configuration to the store.
    pub fn write_routing(&self, version: u64, routes: &[Route]) {
        let routing = caller::routing_text(version, HOST_HEADER, routes);
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Writes a version of the routing configuration that has `filler` routes more, which no request
    /// uses.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in makes a routing text without hosts.
    pub fn write_large_routing(&self, version: u64, routes: &[Route], filler: usize) {
        let mut routing = caller::routing_text(version, HOST_HEADER, routes);
        let paths = routing["hosts"][0]["paths"].as_array_mut().expect("a list of paths");
        let mut filler_route = paths[0].clone();
        for number in 0..filler {
            filler_route["name"] = format!("filler-{number}").into();
            filler_route["pathPrefix"] = format!("/filler-{number}/").into();
            paths.push(filler_route.clone());
        }
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Lists a target of the service `orders` that the test serves itself, until `stop` is set: its
    /// registration expires unless it is written again.
    pub async fn keep_listed(&self, address: SocketAddr, stop: &AtomicBool) {
        for sequence in 1_u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let registration = json!({
                "service": "orders", "address": address, "zone": "a", "version": "v1", "slots": 2,
                "state": "ready", "coldLeft": "0ms", "sequence": sequence, "born": 1,
            });
            self.store.write_row("servers", "of-the-test", registration.to_string().as_bytes());
            time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Sends a request to an entry and reads the whole response.
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
            .header("host", HOST_HEADER);
        for (name, value) in caller::request_headers(&id, request.deadline_ms, request.key) {
            builder = builder.header(name, value);
        }
        let body = if request.method == Method::GET { "" } else { "a body" };
        let built_request =
            builder.body(Full::new(Bytes::from(body))).expect("the request is invalid");
        let exchange = async {
            let reply = self.http_client.request(built_request).await.ok()?;
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

    /// Repeats a request until it is served.
    pub async fn wait_until_served(&self, entry: usize, request: &SiteRequest) {
        let description = format!("{} is served through entry {entry}", request.path);
        eventually(&description, || async {
            self.send(entry, request).await.is_served().then_some(())
        })
        .await;
    }

    /// Returns true if an entry reports that it accepts new connections.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let ready_address = self.entries[entry].ready_address;
        self.control_client
            .send(Method::GET, ready_address, "/almondworks/ready", Bytes::new())
            .await
            .is_ok()
    }

    /// Returns the metrics of an entry in the text format.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not answer.
    pub async fn metrics(&self, entry: usize) -> String {
        self.metrics_if_running(entry).await.expect("the entry did not return its metrics")
    }

    /// Returns the metrics of an entry in the text format, or `None` if it does not answer.
    pub async fn metrics_if_running(&self, entry: usize) -> Option<String> {
        let address = self.entries[entry].metrics_address;
        let text = self.control_client.send(Method::GET, address, "/metrics", Bytes::new()).await;
        Some(String::from_utf8_lossy(&text.ok()?).into_owned())
    }

    /// Returns the lines of the journals of all targets.
    ///
    /// # Panics
    ///
    /// Panics if a journal cannot be read.
    #[must_use]
    pub fn journal_lines(&self) -> Vec<Line> {
        journal::read_all(&self.dir).expect("the journals cannot be read")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.targets.clear();
        if std::thread::panicking() {
            eprintln!("logs and journals of the failed test are in {}", self.dir.display());
        } else if let Err(error) = fs::remove_dir_all(&self.dir) {
            eprintln!("cannot remove {}: {error}", self.dir.display());
        }
    }
}
