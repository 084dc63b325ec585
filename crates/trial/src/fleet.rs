//! A running fleet.

use {
    crate::{
        Caller, KEYED, Plan,
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
const PATIENCE: Duration = Duration::from_secs(40);

const POLL: Duration = Duration::from_millis(25);

/// The fleets that run at once, so that the processes of one do not starve those of another.
static ROOM: std::sync::LazyLock<Arc<Semaphore>> =
    std::sync::LazyLock::new(|| Arc::new(Semaphore::new(2)));

/// An entry of a fleet.
#[derive(Debug)]
pub struct Entry {
    /// The name of its VM.
    pub vm: Vm,
    /// The number of its zone.
    pub zone: usize,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where its peers connect, through a proxy.
    pub peers: SocketAddr,
    pub(crate) source: IpAddr,
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
    pub(crate) listed: VmRecord,
    pub(crate) arguments: Vec<String>,
    pub(crate) process: Option<Process>,
}

/// A proxy and the zone of the process behind it; the platform belongs to none.
pub(crate) struct Way {
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) zone: Option<usize>,
    pub(crate) name: String,
}

/// A fleet of processes.
pub struct Fleet {
    /// The plan it was made from.
    pub plan: Plan,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The targets.
    pub targets: Vec<Target>,
    /// A caller.
    pub caller: Caller,
    pub(crate) folder: PathBuf,
    pub(crate) ways: Vec<Way>,
    pub(crate) wire: wire::Client,
    _room: OwnedSemaphorePermit,
}

/// Waits until `done` gives a value.
///
/// # Panics
///
/// Panics with `what` if it does not within the limit for everything that must happen.
pub async fn eventually<T, F>(what: &str, mut done: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(Instant::now() < deadline, "did not happen: {what}");
        time::sleep(POLL).await;
    }
}

pub(crate) fn zone_name(zone: usize) -> Zone {
    Zone::from(["a", "b", "c"][zone])
}

pub(crate) fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Listens on a port that is free; one that another process took meanwhile is passed over.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    loop {
        let address = local(free_port());
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
    pub async fn start(plan: Plan) -> Self {
        let room = Arc::clone(&ROOM).acquire_owned().await.expect("the semaphore is never closed");
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
            ways: Vec::new(),
            wire: wire::Config::default().timeout(Duration::from_secs(20)).build(),
            _room: room,
        };
        let platform = fleet.start_platform().await;
        fleet.start_targets().await;
        fleet.start_entries(platform).await;
        let text = fleet.plan.text();
        eventually("an entry accepts the first text", || async {
            fleet.put(0, 0, &text, "trial").await.ok()
        })
        .await;
        for at in 0..fleet.entries.len() {
            fleet.wait_whole(at).await;
        }
        fleet
    }

    async fn way(&mut self, to: SocketAddr, zone: Option<usize>, name: &str) -> SocketAddr {
        let (listener, address) = listen().await;
        let proxy = Arc::new(Proxy::default());
        tokio::spawn(Arc::clone(&proxy).forward_connections(listener, to));
        self.ways.push(Way { proxy, zone, name: name.to_owned() });
        address
    }

    async fn start_platform(&mut self) -> SocketAddr {
        let (listener, address) = listen().await;
        tokio::spawn(Arc::clone(&self.platform).serve(listener));
        self.way(address, None, "platform").await
    }

    async fn start_targets(&mut self) {
        let plan = self.plan.clone();
        let services = [(KEYED, plan.keyed), ("orders", plan.orders), ("voices", plan.voices)];
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
        let at = self.targets.len();
        let vm = Vm::from(format!("{service}-{}{at}", zone_name(zone)).as_str());
        let address = local(free_port());
        let public = if self.plan.proxied {
            self.way(address, Some(zone), vm.as_str()).await
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
        arguments.extend(["--clock-offset-ms".to_owned(), (at * 98_765).to_string()]);
        if service == KEYED {
            arguments.push("--keyed".to_owned());
        }
        if !self.plan.fenced {
            arguments.push("--unfenced".to_owned());
        }
        let listed = VmRecord {
            vm: vm.clone(),
            role: service.into(),
            zone: zone_name(zone),
            address: public,
            state: VmState::Live,
        };
        self.platform.update_vms(vec![listed.clone()]);
        let service = service.to_owned();
        self.targets.push(Target { vm, service, zone, listed, arguments, process: None });
        self.start_target(at);
        at
    }

    async fn start_entries(&mut self, platform: SocketAddr) {
        for zone in 0..self.plan.zones {
            for number in 0..self.plan.entries {
                let vm = Vm::from(format!("entry-{}{number}", zone_name(zone)).as_str());
                let peers = local(free_port());
                let public = self.way(peers, Some(zone), vm.as_str()).await;
                let source = IpAddr::from(Ipv4Addr::new(127, 0, zone as u8 + 1, number as u8 + 1));
                let (callers, operators) = (local(free_port()), local(free_port()));
                let mut settings = json!({
                    "cluster": "trial", "vm": vm, "zone": zone_name(zone), "source": source,
                    "listen": callers, "peer_listen": peers, "operator_listen": operators,
                    "platform": platform, "log_level": "info",
                    "traffic": { "notice_ms": 50 },
                });
                merge(&mut settings, &self.plan.settings);
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
                    callers,
                    operators,
                    source,
                    peers: public,
                    settings: file,
                    process: None,
                });
            }
        }
        for at in 0..self.entries.len() {
            self.start_entry(at);
        }
    }

    /// Waits until an entry has a place for every shard and serves a key of each.
    pub async fn wait_whole(&self, at: usize) {
        let shards = self.plan.shards as usize;
        eventually(&format!("{} knows an owner of every shard", self.entries[at].vm), || async {
            let status = self.status(at).await?;
            let cells = status.cells.iter().filter(|cell| cell.cell.starts_with(KEYED));
            let owned: usize = cells.map(|cell| cell.shards - cell.vacant).sum();
            let orders =
                status.services.iter().find(|service| service.name.as_str() == "orders")?;
            (owned == shards && orders.targets.len() >= self.plan.orders * self.plan.zones)
                .then_some(())
        })
        .await;
        self.wait_whole_keys(at).await;
    }

    /// Waits until an entry serves a key of every shard.
    pub async fn wait_whole_keys(&self, at: usize) {
        for key in self.keys() {
            let path = format!("/{KEYED}/{key}");
            eventually(&format!("{} serves {path}", self.entries[at].vm), || async {
                let answer = self.caller.get(self.entries[at].callers, &path).await;
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
    pub fn lines(&self) -> Vec<Line> {
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
pub(crate) fn merge(into: &mut Value, more: &Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (name, value) in more {
                merge(into.entry(name).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more.clone(),
    }
}
