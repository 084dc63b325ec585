//! A running fleet.

use {
    crate::{
        Caller, FleetPlan, KEYED,
        process::{Process, free_port},
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

/// The longest wait for something that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(40);

const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The fleets that run at once, so that the processes of one do not starve those of another.
static FLEET_PERMITS: std::sync::LazyLock<Arc<Semaphore>> =
    std::sync::LazyLock::new(|| Arc::new(Semaphore::new(2)));

/// An entry of a fleet.
#[derive(Debug)]
pub struct Entry {
    /// The name of its VM.
    pub vm: Vm,
    /// The number of its zone.
    pub zone: usize,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where its peers connect, through a proxy.
    pub peer_address: SocketAddr,
    pub(crate) source_ip: IpAddr,
    pub(crate) settings: PathBuf,
    pub(crate) process: Option<Process>,
}

/// A target of a fleet.
#[derive(Debug)]
pub struct Target {
    /// The name of its VM.
    pub vm: Vm,
    /// The service it runs.
    pub service: String,
    /// The number of its zone.
    pub zone: usize,
    pub(crate) vm_record: VmRecord,
    pub(crate) arguments: Vec<String>,
    pub(crate) process: Option<Process>,
}

/// A proxy and the zone of the process behind it; the platform belongs to none.
pub(crate) struct ProcessProxy {
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) zone: Option<usize>,
    pub(crate) name: String,
}

/// A fleet of processes.
pub struct Fleet {
    /// The plan it was made from.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The targets.
    pub targets: Vec<Target>,
    /// A caller.
    pub caller: Caller,
    pub(crate) folder: PathBuf,
    pub(crate) proxies: Vec<ProcessProxy>,
    pub(crate) control_client: wire::Client,
    _permit: OwnedSemaphorePermit,
}

/// Waits until `done` gives a value.
///
/// # Panics
///
/// Panics with `what` if it does not within the limit for everything that must happen.
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

/// Listens on a port that is free; one that another process took meanwhile is passed over.
pub(crate) async fn bind_free_port() -> (TcpListener, SocketAddr) {
    loop {
        let address = loopback(free_port());
        if let Ok(listener) = TcpListener::bind(address).await {
            return (listener, address);
        }
    }
}

impl Fleet {
    /// Starts a fleet and waits until every shard is served.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not come up.
    pub async fn start(plan: FleetPlan) -> Self {
        let permit = Arc::clone(&FLEET_PERMITS)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let folder = env::temp_dir().join(format!("almondworks-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&folder).expect("the folder can be made");
        let journal = folder.join("platform.journal");
        let journal = Journal::open(Some(&journal), Vm::from("platform"), Incarnation::ZERO);
        let platform = Platform::new(journal.expect("the journal can be opened"));
        let mut fleet = Self {
            plan,
            platform,
            entries: Vec::new(),
            targets: Vec::new(),
            caller: Caller::default(),
            folder,
            proxies: Vec::new(),
            control_client: wire::Config::default().timeout(Duration::from_secs(20)).build(),
            _permit: permit,
        };
        let platform = fleet.start_platform().await;
        fleet.start_targets().await;
        fleet.start_entries(platform).await;
        let config = fleet.plan.operator_config();
        eventually("an entry accepts the first text", || async {
            fleet.put_config(0, 0, &config, "trial").await.ok()
        })
        .await;
        for index in 0..fleet.entries.len() {
            fleet.wait_until_converged(index).await;
        }
        fleet
    }

    async fn start_proxy(&mut self, to: SocketAddr, zone: Option<usize>, name: &str) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
        let proxy = Arc::new(Proxy::default());
        tokio::spawn(Arc::clone(&proxy).carry_all(listener, to));
        self.proxies.push(ProcessProxy { proxy, zone, name: name.to_owned() });
        address
    }

    async fn start_platform(&mut self) -> SocketAddr {
        let (listener, address) = bind_free_port().await;
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

    /// Starts one more target and puts it on the list of VMs.
    pub async fn add_target(&mut self, service: &str, zone: usize) -> usize {
        let index = self.targets.len();
        let vm = Vm::from(format!("{service}-{}{index}", zone_name(zone)).as_str());
        let address = loopback(free_port());
        let public = if self.plan.proxied {
            self.start_proxy(address, Some(zone), vm.as_str()).await
        } else {
            address
        };
        let journal = self.folder.join(format!("{vm}.journal"));
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
            address: public,
            state: VmState::Live,
        };
        self.platform.update_vms(vec![vm_record.clone()]);
        let service = service.to_owned();
        self.targets.push(Target { vm, service, zone, vm_record, arguments, process: None });
        self.start_target(index);
        index
    }

    async fn start_entries(&mut self, platform: SocketAddr) {
        for zone in 0..self.plan.zones {
            for number in 0..self.plan.entries_per_zone {
                let vm = Vm::from(format!("entry-{}{number}", zone_name(zone)).as_str());
                let peer_listen_address = loopback(free_port());
                let public = self.start_proxy(peer_listen_address, Some(zone), vm.as_str()).await;
                let source_ip =
                    IpAddr::from(Ipv4Addr::new(127, 0, zone as u8 + 1, number as u8 + 1));
                let (caller_address, operator_address) =
                    (loopback(free_port()), loopback(free_port()));
                let mut settings = json!({
                    "cluster": "trial", "vm": vm, "zone": zone_name(zone), "source": source_ip,
                    "listen": caller_address, "peer_listen": peer_listen_address, "operator_listen": operator_address,
                    "platform": platform, "log_level": "info",
                    "traffic": { "notice_ms": 50 },
                });
                merge_json(&mut settings, &self.plan.entry_settings);
                let file = self.folder.join(format!("{vm}.jsonc"));
                fs::write(&file, settings.to_string()).expect("the settings can be written");
                self.platform.update_vms(vec![VmRecord {
                    vm: vm.clone(),
                    role: ENTRY_ROLE.into(),
                    zone: zone_name(zone),
                    address: public,
                    state: VmState::Live,
                }]);
                self.entries.push(Entry {
                    vm,
                    zone,
                    caller_address,
                    operator_address,
                    source_ip,
                    peer_address: public,
                    settings: file,
                    process: None,
                });
            }
        }
        for index in 0..self.entries.len() {
            self.start_entry(index);
        }
    }

    /// Waits until an entry has a place for every shard and serves a key of each.
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

    /// Waits until an entry serves a key of every shard.
    pub async fn wait_until_keys_served(&self, index: usize) {
        for key in self.keys() {
            let path = format!("/{KEYED}/{key}");
            eventually(&format!("{} serves {path}", self.entries[index].vm), || async {
                let answer = self.caller.get(self.entries[index].caller_address, &path).await;
                answer.is_served().then_some(())
            })
            .await;
        }
    }

    /// Returns keys of different shards, one for each shard.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let mut found = vec![None; self.plan.shards as usize];
        for number in 0.. {
            let key = format!("gong-{number}");
            let shard = key::shard_of(key.as_bytes(), self.plan.shards);
            found[shard.get() as usize].get_or_insert(key);
            if found.iter().all(Option::is_some) {
                break;
            }
        }
        found.into_iter().flatten().collect()
    }

    /// Returns the lines of all journals.
    #[must_use]
    pub fn journal_lines(&self) -> Vec<Line> {
        journal::read_all(&self.folder).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.targets.clear();
        if std::thread::panicking() {
            eprintln!("logs and journals are kept in {}", self.folder.display());
        } else {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Puts the fields of `more` into `into`, object by object.
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
