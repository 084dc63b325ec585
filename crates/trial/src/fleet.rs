//! Starting a fleet and waiting until it serves.

use {
    crate::{
        Caller, FleetPlan, KEYED,
        process::{Process, free_address},
    },
    key::{Incarnation, Vm, Zone},
    serde_json::{Value, json},
    standin::{
        journal::{self, Journal, Line},
        platform::Platform,
        proxy::Proxy,
    },
    std::{
        env, fs,
        future::Future,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::vms::{ENTRY_ROLE, VmRecord, VmState},
    tokio::{
        net::TcpListener,
        sync::{OwnedSemaphorePermit, Semaphore},
        time,
    },
};

/// The time within which the condition of [`eventually`] must hold.
const EVENT_TIMEOUT: Duration = Duration::from_secs(40);

const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Limits the fleets that run at the same time in one test process to 2, because the processes of
/// more fleets would starve each other of CPU time.
static FLEET_PERMITS: std::sync::LazyLock<Arc<Semaphore>> =
    std::sync::LazyLock::new(|| Arc::new(Semaphore::new(2)));

/// An entry of a [`Fleet`].
#[derive(Debug)]
pub struct Entry {
    /// The VM that the entry runs as.
    pub vm: Vm,
    /// The index of its zone.
    pub zone: usize,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The address for peers, which is that of a proxy.
    pub peer_address: SocketAddr,
    /// The local address of the entry's outgoing connections, by which proxies recognise it.
    pub(crate) source_ip: IpAddr,
    pub(crate) settings_path: PathBuf,
    pub(crate) process: Option<Process>,
}

/// A target of a [`Fleet`].
#[derive(Debug)]
pub struct Target {
    /// The VM that the target runs as.
    pub vm: Vm,
    /// The service that it runs.
    pub service: String,
    /// The index of its zone.
    pub zone: usize,
    pub(crate) vm_record: VmRecord,
    pub(crate) arguments: Vec<String>,
    pub(crate) process: Option<Process>,
}

/// A proxy in front of one process or of the platform.
pub(crate) struct ProcessProxy {
    pub(crate) proxy: Arc<Proxy>,
    /// The zone of the process behind the proxy; the platform has none.
    pub(crate) zone: Option<usize>,
    /// The VM of the process behind the proxy, or `platform`.
    pub(crate) name: String,
}

/// Running entries and targets of the router's own conventions, with a stand-in platform.
pub struct Fleet {
    /// The composition that the fleet was started with.
    pub plan: FleetPlan,
    /// The stand-in for the platform, which runs in the test process.
    pub platform: Arc<Platform>,
    /// The entries, by zone.
    pub entries: Vec<Entry>,
    /// The targets, in the order in which they were added.
    pub targets: Vec<Target>,
    /// An HTTP client for requests to the entries.
    pub caller: Caller,
    pub(crate) dir: PathBuf,
    pub(crate) proxies: Vec<ProcessProxy>,
    pub(crate) control_client: wire::Client,
    _permit: OwnedSemaphorePermit,
}

/// Polls `condition` until it returns a value, and returns that value.
///
/// # Panics
///
/// Panics with `description` if `condition` returns no value within 40 seconds.
pub async fn eventually<T, F>(description: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "did not happen: {description}");
        time::sleep(POLL_INTERVAL).await;
    }
}

pub(crate) fn zone_name(zone: usize) -> Zone {
    Zone::from(["a", "b", "c"][zone])
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Binds a listener to a free address.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub(crate) async fn bind_free_address() -> (TcpListener, SocketAddr) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.expect("the address cannot be bound");
    (listener, address)
}

impl Fleet {
    /// Starts a fleet and waits until every entry serves every shard.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not serve within the time limit of [`eventually`].
    pub async fn start(plan: FleetPlan) -> Self {
        let permit =
            Arc::clone(&FLEET_PERMITS).acquire_owned().await.expect("the semaphore was closed");
        let dir = env::temp_dir().join(format!("almondworks-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&dir).expect("the temporary directory cannot be created");
        let journal = dir.join("platform.journal");
        let journal = Journal::open(Some(&journal), Vm::from("platform"), Incarnation::ZERO);
        let platform =
            Platform::new(journal.expect("the journal of the platform cannot be opened"));
        let mut fleet = Self {
            plan,
            platform,
            entries: Vec::new(),
            targets: Vec::new(),
            caller: Caller::default(),
            dir,
            proxies: Vec::new(),
            control_client: wire::Config::default().timeout(Duration::from_secs(20)).build(),
            _permit: permit,
        };
        let platform_address = fleet.start_platform().await;
        fleet.start_targets().await;
        fleet.start_entries(platform_address).await;
        let config = fleet.plan.operator_config();
        eventually("an entry accepts the first configuration", || async {
            fleet.put_config(0, 0, &config, "trial").await.ok()
        })
        .await;
        for index in 0..fleet.entries.len() {
            fleet.wait_until_converged(index).await;
        }
        fleet
    }

    async fn start_proxy(
        &mut self,
        destination: SocketAddr,
        zone: Option<usize>,
        name: &str,
    ) -> SocketAddr {
        let (listener, address) = bind_free_address().await;
        let proxy = Arc::new(Proxy::default());
        tokio::spawn(Arc::clone(&proxy).forward_connections(listener, destination));
        self.proxies.push(ProcessProxy { proxy, zone, name: name.to_owned() });
        address
    }

    async fn start_platform(&mut self) -> SocketAddr {
        let (listener, address) = bind_free_address().await;
        tokio::spawn(Arc::clone(&self.platform).serve(listener));
        self.start_proxy(address, None, "platform").await
    }

    async fn start_targets(&mut self) {
        let plan = self.plan.clone();
        let services = [
            (KEYED, plan.keyed_per_zone),
            ("orders", plan.orders_per_zone),
            ("voices", plan.voices_per_zone),
        ];
        for zone in 0..plan.zones {
            for (service, count) in services {
                for _ in 0..count {
                    self.add_target(service, zone).await;
                }
            }
        }
    }

    /// Starts another target, adds it to the platform's list of VMs and returns its index.
    pub async fn add_target(&mut self, service: &str, zone: usize) -> usize {
        let index = self.targets.len();
        let vm = Vm::from(format!("{service}-{}{index}", zone_name(zone)).as_str());
        let address = free_address();
        let proxied_address = if self.plan.proxied {
            self.start_proxy(address, Some(zone), vm.as_str()).await
        } else {
            address
        };
        let journal = self.dir.join(format!("{vm}.journal"));
        let mut arguments: Vec<String> =
            ["target", "--listen", &address.to_string(), "--vm", vm.as_str()]
                .map(str::to_owned)
                .to_vec();
        arguments.extend(["--service".to_owned(), service.to_owned()]);
        arguments.extend(["--journal".to_owned(), journal.display().to_string()]);
        arguments.extend(["--work-ms".to_owned(), self.plan.work_ms.to_string()]);
        arguments.extend(["--clock-offset-ms".to_owned(), (index * 98_765).to_string()]);
        if service == KEYED {
            arguments.push("--keyed".to_owned());
        }
        if !self.plan.fenced {
            arguments.push("--unfenced".to_owned());
        }
        let vm_record = VmRecord {
            vm: vm.clone(),
            role: service.into(),
            zone: zone_name(zone),
            address: proxied_address,
            state: VmState::Live,
        };
        self.platform.update_vms(vec![vm_record.clone()]);
        let service = service.to_owned();
        self.targets.push(Target { vm, service, zone, vm_record, arguments, process: None });
        self.start_target(index);
        index
    }

    async fn start_entries(&mut self, platform_address: SocketAddr) {
        for zone in 0..self.plan.zones {
            for number in 0..self.plan.entries_per_zone {
                let vm = Vm::from(format!("entry-{}{number}", zone_name(zone)).as_str());
                let peer_listen_address = free_address();
                let proxied_address =
                    self.start_proxy(peer_listen_address, Some(zone), vm.as_str()).await;
                let source_ip =
                    IpAddr::from(Ipv4Addr::new(127, 0, zone as u8 + 1, number as u8 + 1));
                let (caller_address, operator_address) = (free_address(), free_address());
                let mut settings = json!({
                    "cluster": "trial", "vm": vm, "zone": zone_name(zone), "source": source_ip,
                    "listen": caller_address, "peer_listen": peer_listen_address,
                    "operator_listen": operator_address,
                    "platform": platform_address, "log_level": "info",
                    "traffic": { "notice_ms": 50 },
                });
                merge_json(&mut settings, &self.plan.entry_settings);
                let settings_path = self.dir.join(format!("{vm}.jsonc"));
                fs::write(&settings_path, settings.to_string())
                    .expect("the settings file cannot be written");
                self.platform.update_vms(vec![VmRecord {
                    vm: vm.clone(),
                    role: ENTRY_ROLE.into(),
                    zone: zone_name(zone),
                    address: proxied_address,
                    state: VmState::Live,
                }]);
                self.entries.push(Entry {
                    vm,
                    zone,
                    caller_address,
                    operator_address,
                    source_ip,
                    peer_address: proxied_address,
                    settings_path,
                    process: None,
                });
            }
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
    }

    /// Waits until an entry knows an owner of every shard and all targets of `orders`, and serves a
    /// key of every shard.
    pub async fn wait_until_converged(&self, index: usize) {
        let shards = self.plan.shards as usize;
        eventually(
            &format!("{} knows an owner of every shard", self.entries[index].vm),
            || async {
                let status = self.status(index).await?;
                let cells = status.cells.iter().filter(|cell| cell.cell.starts_with(KEYED));
                let owned: usize = cells.map(|cell| cell.shards - cell.vacant).sum();
                let orders =
                    status.services.iter().find(|service| service.name.as_str() == "orders")?;
                (owned == shards
                    && orders.targets.len() >= self.plan.orders_per_zone * self.plan.zones)
                    .then_some(())
            },
        )
        .await;
        self.wait_until_keys_served(index).await;
    }

    /// Waits until an entry serves one key of every shard.
    pub async fn wait_until_keys_served(&self, index: usize) {
        for key in self.keys() {
            let path = format!("/{KEYED}/{key}");
            eventually(&format!("{} serves {path}", self.entries[index].vm), || async {
                let response = self.caller.get(self.entries[index].caller_address, &path).await;
                response.is_served().then_some(())
            })
            .await;
        }
    }

    /// Returns one key of every shard, in the order of the shards.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let mut key_by_shard = vec![None; self.plan.shards as usize];
        for number in 0.. {
            let key = format!("gong-{number}");
            let shard = key::shard_of(key.as_bytes(), self.plan.shards);
            key_by_shard[shard.get() as usize].get_or_insert(key);
            if key_by_shard.iter().all(Option::is_some) {
                break;
            }
        }
        key_by_shard.into_iter().flatten().collect()
    }

    /// Returns the lines of the journals of all targets and of the platform.
    #[must_use]
    pub fn journal_lines(&self) -> Vec<Line> {
        journal::read_all(&self.dir).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.targets.clear();
        if std::thread::panicking() {
            eprintln!("logs and journals of the failed test are in {}", self.dir.display());
        } else {
            fs::remove_dir_all(&self.dir).ok();
        }
    }
}

/// Merges `more` into `into`; objects are merged field by field, other values are replaced.
pub(crate) fn merge_json(into: &mut Value, more: &Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (name, value) in more {
                merge_json(into.entry(name).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more.clone(),
    }
}
