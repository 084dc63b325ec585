//! Deployments on the users' platform.
//!
//! The stand-in for the platform's store runs in the test; entries and targets are processes.

mod entries;
mod pipeline;
mod request;
mod targets;

pub use {
    pipeline::Pipeline,
    request::{SiteRequest, SiteResponse},
};

use {
    self::{entries::Entry, targets::Target},
    crate::{eventually, fleet::bind_free_address, process::free_address},
    bytes::Bytes,
    http::{HeaderMap, Method},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    standin::{
        caller::{self, Route},
        journal::{self, Kind, Line},
        rows::RowStore,
    },
    std::{
        collections::HashSet,
        env, fs,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time,
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
    /// Whether targets register the address of a proxy. It accepts connections also while the
    /// target does not run.
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
pub const INITIAL_ROUTES: [Route; 2] = [
    Route { prefix: "/catalogue/", kind: "safe", service: "catalogue" },
    Route { prefix: "/orders/", kind: "unsafe", service: "orders" },
];

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
        let mut site = Self::prepare(plan).await;
        site.start_entries().await;
        site
    }

    /// Starts the store and the targets of a site, whose entries have not started yet.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started.
    pub async fn prepare(plan: SitePlan) -> Self {
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
        site
    }

    /// Starts all entries and waits until each serves orders and a sample of the keys.
    ///
    /// # Panics
    ///
    /// Panics if one does not serve within the time limit of [`eventually`].
    pub async fn start_entries(&mut self) {
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
        for index in 0..self.entries.len() {
            for key in (0..=u16::MAX).step_by(8_191) {
                self.wait_until_served(index, &SiteRequest::lookup(key)).await;
            }
            self.wait_until_served(index, &SiteRequest::order()).await;
        }
    }

    /// Writes a version of the routing configuration to the store.
    pub fn write_routing(&self, version: u64, routes: &[Route]) {
        let routing = caller::routing_text(version, HOST_HEADER, routes);
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Writes a version of the routing configuration that states for each service how long a target
    /// is cold, and how many requests a second it tolerates until then.
    pub fn write_slow_start_routing(
        &self,
        version: u64,
        routes: &[Route],
        cold_start: &str,
        cold_per_s: f64,
    ) {
        let mut routing = caller::routing_text(version, HOST_HEADER, routes);
        caller::set_slow_start(&mut routing, cold_start, cold_per_s);
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Writes a version of the routing configuration in which each route allows `objective`
    /// for an answer.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in makes a routing text without hosts.
    pub fn write_patient_routing(&self, version: u64, routes: &[Route], objective: &str) {
        let mut routing = caller::routing_text(version, HOST_HEADER, routes);
        let paths = routing["hosts"][0]["paths"].as_array_mut().expect("a list of paths");
        for path in paths {
            path["targetLatency"] = objective.into();
            path["timeout"] = objective.into();
        }
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Writes a version of the routing configuration with bodies of up to `body_bytes`, in which each
    /// route allows `objective` for an answer.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in makes a routing text without hosts.
    pub fn write_routing_with_bodies(
        &self,
        version: u64,
        routes: &[Route],
        objective: &str,
        body_bytes: usize,
    ) {
        let mut routing = caller::routing_text(version, HOST_HEADER, routes);
        routing["limits"]["maxBodyBytes"] = body_bytes.into();
        let paths = routing["hosts"][0]["paths"].as_array_mut().expect("a list of paths");
        for path in paths {
            path["targetLatency"] = objective.into();
            path["timeout"] = objective.into();
        }
        self.store.write_row("op", "config", routing.to_string().as_bytes());
    }

    /// Writes a version of the routing configuration that has `filler` routes more, which no
    /// request uses.
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

    /// Returns the ids of the orders that a target has begun to run.
    #[must_use]
    pub fn orders_begun(&self, vm: &str) -> HashSet<String> {
        let lines = self.journal_lines().into_iter().filter(|line| line.vm.as_str() == vm);
        let order = |line: Line| match line.kind {
            Kind::Began { id, method, .. } if method == "POST" => id,
            _ => None,
        };
        lines.filter_map(order).collect()
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
